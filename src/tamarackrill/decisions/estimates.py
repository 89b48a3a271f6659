"""Estimates of service time in one endpoint pool, from finished requests.

Load pattern: the speed of a pool changes (engines batch more, one becomes slow, a
new model version is loaded).  With a configured speed, requests would be accepted
whose deadlines cannot be met, or refused although they can.
"""

import math

# Work is counted in tokens.  The first token takes as long as about seven further
# ones (0.32 s against 46 ms at the expected request size), for any request.
REQUEST_OVERHEAD_TOKENS = 7.0
# Requests up to this size are short: 64 tokens take about 3 s of an engine's slot,
# which is acceptable to a customer waiting at a counter.
SHORT_TOKENS = 64
# Decay per request of the moving averages.  A weight of 1/50 averages out request
# lengths that vary as much as their mean (error about 1/sqrt(50) = 14 %).
_DECAY = 1.0 - 1.0 / 50.0
# Service time is estimated as the mean plus two mean deviations (TCP adds four for
# its retransmission timeout): a late answer has wasted its slot.
_DEVIATION_FACTOR = 2.0
# Averaging window of the load of short requests.  A window shorter than the pauses
# between customers at a shop counter would lose the load; a longer one would reserve
# slots that nobody uses.
SHORT_WINDOW_S = 60.0
# Largest share of a pool reserved for short requests, and smallest share left to long
# requests however many short ones wait.  Together half of the pool; the rest is
# assigned by fair queueing and request order.
RESERVED_SHARE_MAX = 0.25
LONG_SHARE_MIN = 0.25


def compute_cost(size_tokens: float) -> float:
    """Return the cost of a request, in tokens of slot time."""
    return max(size_tokens, 0.0) + REQUEST_OVERHEAD_TOKENS


def is_short(size_tokens: float) -> bool:
    """Return whether a request of this size counts as short."""
    return size_tokens <= SHORT_TOKENS


class ServiceEstimate:
    """Speed of one slot and load of short requests, from finished requests."""

    def __init__(self) -> None:
        self._cost = 0.0
        self._time_s = 0.0
        # Of the time per token, in seconds.  Relative to the speed, one silence of an
        # otherwise fast endpoint would count a thousandfold.
        self._mean_deviation_s = 0.0
        self._short_busy_s = 0.0
        self._short_arrival_s = -math.inf
        self._short_updated_s = 0.0

    @property
    def tokens_per_s(self) -> float | None:
        """Speed of one slot; None until a request has finished."""
        return self._cost / self._time_s if self._time_s > 0 else None

    def observe(self, cost: float, service_s: float, now_s: float, short: bool) -> None:
        """Update the estimates with a finished request."""
        speed = self.tokens_per_s
        if speed:
            error_s = abs(service_s / cost - 1.0 / speed)
            self._mean_deviation_s += (1.0 - _DECAY) * (
                error_s - self._mean_deviation_s
            )
        self._cost = self._cost * _DECAY + cost
        self._time_s = self._time_s * _DECAY + max(service_s, 1e-6)
        if short:
            elapsed_s = max(0.0, now_s - self._short_updated_s)
            self._short_busy_s *= math.exp(-elapsed_s / SHORT_WINDOW_S)
            self._short_busy_s += service_s
            self._short_updated_s = now_s

    def record_short_arrival(self, now_s: float) -> None:
        """Record that a short request has arrived."""
        self._short_arrival_s = now_s

    def estimate_service_s(self, cost: float) -> float:
        """Return the estimated service time; 0 until a request has finished."""
        speed = self.tokens_per_s
        if not speed:
            return 0.0
        return cost * (1.0 / speed + _DEVIATION_FACTOR * self._mean_deviation_s)

    def count_reserved(self, slots: int, now_s: float) -> int:
        """Return how many of `slots` are reserved for short requests.

        By Little's law the mean number of short requests running is their service
        time over the window; one more slot takes the next arrival.  Nothing is
        reserved if none arrived within the window, and never the only slot.
        """
        if slots < 2 or now_s - self._short_arrival_s > SHORT_WINDOW_S:
            return 0
        elapsed_s = max(0.0, now_s - self._short_updated_s)
        busy_s = self._short_busy_s * math.exp(-elapsed_s / SHORT_WINDOW_S)
        wanted = 1 + math.ceil(busy_s / SHORT_WINDOW_S)
        return min(wanted, max(1, int(slots * RESERVED_SHARE_MAX)))
