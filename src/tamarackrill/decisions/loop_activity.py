"""When the event loop of this router last stood still.

Load pattern: a router stands still for seconds, as its process was stopped, its VM was
suspended or its event loop was busy.  When it goes on, the requests, questions and
answers that waited for it are processed before its timers, so that it takes what it
knew before for its present knowledge.
"""

import math

# Between two observations.
TICK_S = 0.1
# Garbage collection and a batch of requests take less.
PAUSE_MAX_S = 0.3
# What arrived during a pause has been read this much after its end.
CATCH_UP_S = 0.1


class LoopActivity:
    """Pauses of an event loop, from observations at short intervals.

    All times are those of a clock that doesn't count suspension of the VM, except for
    `elapsed_s`, which does.

    Parameters
    ----------
    now_s, elapsed_s : float
        Current time.
    """

    def __init__(self, now_s: float, elapsed_s: float) -> None:
        self._last_s = now_s
        self._last_elapsed_s = elapsed_s
        # Begin and end of the last pause.
        self._paused_s = -math.inf
        self._resumed_s = -math.inf

    def observe(self, now_s: float, elapsed_s: float) -> None:
        """Record that the loop runs."""
        if elapsed_s - self._last_elapsed_s > PAUSE_MAX_S:
            self._paused_s, self._resumed_s = self._last_s, now_s
        self._last_s, self._last_elapsed_s = now_s, elapsed_s

    def find_resumed_s(self, now_s: float, elapsed_s: float) -> float:
        """Return when the last pause ended; now if it has just ended."""
        self.observe(now_s, elapsed_s)
        return self._resumed_s

    def find_arrived_s(self, now_s: float, elapsed_s: float) -> float:
        """Return a time after which something that is read now has arrived."""
        self.observe(now_s, elapsed_s)
        has_caught_up = now_s - self._resumed_s > CATCH_UP_S
        return now_s if has_caught_up else self._paused_s
