"""For how long this VM stood still without its steady clock counting it."""

import time


def find_suspended_s() -> float:
    """Return the time since the start of the VM that the steady clock lacks."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
