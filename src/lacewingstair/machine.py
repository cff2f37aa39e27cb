"""What the operating system tells of the machine."""

import os


def machine_memory_bytes() -> int:
    """Return the memory of the machine, in bytes."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
