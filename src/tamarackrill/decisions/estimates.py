"""Measured estimates of how long work takes in one endpoint pool.

Load pattern: the speed of a pool changes (engines batch more, one becomes slow, a
new model version is loaded).  With a configured speed instead of a measured one,
deadlines would be promised that cannot be met, or refused although they can.
"""

import math

# Work is counted in tokens.  The first token takes as long as about seven further
# ones (0.32 s against 46 ms at the size the users expect), for any request.
REQUEST_OVERHEAD_TOKENS = 7.0
# Up to here a request counts as short: 64 tokens are about 3 s of an engine's
# slot, what somebody at a counter will wait for.
SHORT_TOKENS = 64
# A request weighs 1/50 in the estimate: 50 requests average out lengths that vary
# as much as they do on average (error about 1/sqrt(50) = 14 %).
_MEMORY = 1.0 - 1.0 / 50.0
# An answer is taken to need its mean time and twice the mean deviation, as TCP does
# for its timeouts with four; an answer that comes late has used its slot for nothing.
_DEVIATIONS = 2.0
# Window of the measured load of short work; shorter than the pauses between visits
# at a shop counter would forget them, longer would hold slots for nobody.
SHORT_WINDOW_S = 60.0
# Most of a pool that may be held for short work, and what long work gets of a pool
# however much short work waits.  Together half: the rest goes by turn and order.
RESERVED_SHARE_MAX = 0.25
LONG_SHARE_MIN = 0.25


def compute_cost(size_tokens: float) -> float:
    """Return the cost of a request, in tokens of slot time."""
    return max(size_tokens, 0.0) + REQUEST_OVERHEAD_TOKENS


def is_short(size_tokens: float) -> bool:
    """Return whether a request of this size counts as a short lookup."""
    return size_tokens <= SHORT_TOKENS


class ServiceEstimate:
    """Speed of one slot and load of short work, from finished requests."""

    def __init__(self) -> None:
        self._cost = 0.0
        self._time_s = 0.0
        self._deviation = 0.0
        self._short_time_s = 0.0
        self._short_seen_s = -math.inf
        self._updated_s = 0.0

    @property
    def tokens_per_s(self) -> float | None:
        """Speed of one slot; None as long as nothing has finished."""
        return self._cost / self._time_s if self._time_s > 0 else None

    def observe(self, cost: float, service_s: float, now_s: float, short: bool) -> None:
        """Take in a finished request."""
        speed = self.tokens_per_s
        if speed:
            error = abs(service_s * speed / cost - 1.0)
            self._deviation += (1.0 - _MEMORY) * (error - self._deviation)
        self._cost = self._cost * _MEMORY + cost
        self._time_s = self._time_s * _MEMORY + max(service_s, 1e-6)
        if short:
            elapsed_s = max(0.0, now_s - self._updated_s)
            self._short_time_s *= math.exp(-elapsed_s / SHORT_WINDOW_S)
            self._short_time_s += service_s
            self._updated_s = now_s

    def note_short(self, now_s: float) -> None:
        """Take note that short work has arrived."""
        self._short_seen_s = now_s

    def estimate_service_s(self, cost: float) -> float:
        """Return what an answer may need; 0 as long as nothing was measured."""
        speed = self.tokens_per_s
        margin = 1.0 + _DEVIATIONS * self._deviation
        return margin * cost / speed if speed else 0.0

    def count_reserved(self, slots: int, now_s: float) -> int:
        """Return how many of `slots` long work must leave to short work.

        By Little's law the mean number of short requests running is their time
        over the window; one more slot takes the next arrival.  Nothing is held
        when none came for a window, and never the only slot.
        """
        if slots < 2 or now_s - self._short_seen_s > SHORT_WINDOW_S:
            return 0
        elapsed_s = max(0.0, now_s - self._updated_s)
        busy_s = self._short_time_s * math.exp(-elapsed_s / SHORT_WINDOW_S)
        wanted = 1 + math.ceil(busy_s / SHORT_WINDOW_S)
        return min(wanted, max(1, int(slots * RESERVED_SHARE_MAX)))
