"""Time that a VM stood still, which its steady clock doesn't count."""

import time


def read_clock() -> float:
    """Return a steady time that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def find_suspended_s() -> float:
    """Return for how long the VM was suspended in all, since its start."""
    return read_clock() - time.monotonic()
