"""What a log line costs a router: ``python bench/log_lines.py``.

Measured against a line that is left out because its event has had its share of the
second, and against no line at all.
"""

import logging
import os
import resource
from collections.abc import Callable

from tamarackrill.events import CALL_SENT, log_event
from tamarackrill.logs import EVENT_LINES_PER_S, BoundedHandler

LINES = 20_000
ROUNDS = 5
FIELDS = {
    "request": "ccc310c732c785ca",
    "route": "r-pxdtecs",
    "endpoint": "i-cd87d6cf73",
    "reason": "hashed",
    "load": 5,
    "bound": 17,
    "time_left_s": 2.9997,
    "copy_from": "",
}


def measure_us(act: Callable[[int], None]) -> float:
    """Return the processor time of one call, the least of some rounds."""
    times_us = []
    for _ in range(ROUNDS):
        before_s = resource.getrusage(resource.RUSAGE_SELF).ru_utime
        for number in range(LINES):
            act(number)
        after_s = resource.getrusage(resource.RUSAGE_SELF).ru_utime
        times_us.append((after_s - before_s) / LINES * 1e6)
    return min(times_us)


def main() -> None:
    """Print the figures."""
    handler = BoundedHandler(os.open(os.devnull, os.O_WRONLY))
    root = logging.getLogger()
    root.handlers = [handler]
    logger = logging.getLogger("absl")
    logger.handlers, logger.propagate = [], True
    logger.setLevel(logging.INFO)

    def write(number: int) -> None:
        # A second of its own for each share of lines, so that none is left out.
        handler.buffer._counts.clear()
        log_event(CALL_SENT, **FIELDS)
        if number % EVENT_LINES_PER_S == 0:
            handler.flush()

    def leave_out(number: int) -> None:
        log_event(CALL_SENT, **FIELDS)

    nothing_us = measure_us(lambda number: None)
    print(f"written   {measure_us(write) - nothing_us:6.1f} us a line")
    print(f"left out  {measure_us(leave_out) - nothing_us:6.1f} us a line")


if __name__ == "__main__":
    main()
