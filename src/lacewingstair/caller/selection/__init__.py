"""Selection of the VM for each attempt of a call."""
