"""One router's share of the fleet-wide retry budget of a service.

Load pattern: endpoints of a service fail, and every router that notices retries. The
budget limits the total: in any window, retries to a service may not exceed `ratio`
times its requests plus a fixed number. If each router spent the whole budget, a fleet
of 60 would send 60 times the fixed number just when the service is weakest.

Each router uses the ratio of its own requests, which adds up across routers, and an
equal share of the fixed number. This needs no coordination, so a partitioned zone can
keep retrying within its share. The cost is that shares of routers that see no failures
go unused. A safety factor covers routers that have not yet learned that others left or
joined. A router that doesn't hear of another one doesn't take over its share: that one
may be cut off and serve on.

Routers that all start at once know no others yet, and each would spend the fixed number
by itself. So they count those that are registered in the platform's store, and until
that is answered a router retries within the ratio of its own requests.
"""

from collections import deque
from typing import NamedTuple

# Fraction of the budget to spend: the windows of the routers and of whoever measures
# the budget start at different times, and a request may span two windows.
SAFETY_FACTOR = 0.8
# How long a departed router still counts. The two sides of a network partition each
# consider the other gone; if both redistributed the fixed part, the service would get
# it twice. Partitions last seconds; a replaced router is counted twice for this long.
ROUTER_RETENTION_S = 30.0
# Routers that are assumed until they are counted: no fleet has as many, so that nothing
# of the fixed number is left.
UNCOUNTED_ROUTERS = 1 << 20


class FleetSize:
    """Maximum number of live routers over a recent period.

    Parameters
    ----------
    retention_s : float, optional
        How long a departed router still counts.
    uncounted : int, default=1
        Number that is assumed until one is recorded.
    """

    def __init__(
        self, retention_s: float = ROUTER_RETENTION_S, uncounted: int = 1
    ) -> None:
        self._retention_s = retention_s
        self._uncounted = uncounted
        self._seen: deque[tuple[float, int]] = deque()

    def observe(self, live: int, now_s: float) -> None:
        """Record the current number of live routers."""
        while self._seen and self._seen[-1][1] <= live:
            self._seen.pop()
        self._seen.append((now_s, live))
        while self._seen[0][0] < now_s - self._retention_s:
            self._seen.popleft()

    @property
    def largest(self) -> int:
        """Number of routers that may be spending the budget."""
        return self._seen[0][1] if self._seen else self._uncounted


class BudgetTerms(NamedTuple):
    """Fleet-wide retry budget of one service.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    window_s : float
        Length of the sliding window.
    fixed : float
        Retries allowed in a window in addition to the ratio.
    """

    ratio: float
    window_s: float
    fixed: float


class RetryShare:
    """Requests and retries sent by one router to one service.

    A retry is reserved when it is decided on: many that are decided on at the same time
    would each find the whole share, as placing and connecting take a while.
    """

    def __init__(self, terms: BudgetTerms) -> None:
        self._terms = terms
        self._reserved = 0
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self, now_s: float) -> None:
        """Record a client request."""
        self._requests.append(now_s)
        self._forget(now_s)

    def note_retry(self, now_s: float) -> None:
        """Record a request being sent to another endpoint."""
        self._retries.append(now_s)

    def reserve(self) -> None:
        """Count a retry that is to be sent."""
        self._reserved += 1

    def release(self) -> None:
        """End the reservation of a retry, which was sent or won't be."""
        self._reserved -= 1

    def count_retries_left(self, routers: int, now_s: float) -> float:
        """Return how many retries may still be sent now.

        Parameters
        ----------
        routers : int
            Number of routers that share the budget, including this one.
        now_s : float
            Current time.
        """
        self._forget(now_s)
        allowance = self._terms.ratio * len(self._requests)
        allowance += self._terms.fixed / max(1, routers)
        return SAFETY_FACTOR * allowance - len(self._retries) - self._reserved

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self._terms.window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= oldest_s:
                times.popleft()
