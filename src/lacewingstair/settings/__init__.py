"""Settings of the daemon: declarations, reader and pages derived from them."""
