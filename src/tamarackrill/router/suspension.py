"""Time for which a VM was suspended, which its monotonic clock doesn't count."""

import time


def read_clock() -> float:
    """Return a monotonic time that includes suspension of the VM."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def find_suspended_s() -> float:
    """Return the total time for which the VM was suspended since it booted."""
    return read_clock() - time.monotonic()
