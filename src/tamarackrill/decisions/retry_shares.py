"""Retries that this router may still send to a service, out of the fleet's budget.

Load pattern: endpoints of a service fail, and every router that sees it retries.  The
budget binds the sum: in any window a service may get `ratio` times its requests, plus a
fixed number, as repeats.  Were each router to spend the whole of it, a fleet of 60
would send 60 times the fixed part just when the service is weakest.

Each router takes the ratio of its own requests, which adds up by itself, and an equal
part of the fixed number.  It asks nobody, so that a cut zone goes on retrying within
its part.  What it costs: the parts of routers that see no failures lie idle.  A margin
covers routers that have not yet heard that others have left or joined.
"""

from collections import deque
from typing import NamedTuple

# Part of the budget that is spent: windows of the routers and of whoever counts do not
# begin at the same moment, and one request may straddle two.
MARGIN = 0.8
# How long a router that has gone still counts.  A zone that is cut off takes the others
# for gone, and they it: were each side to divide the fixed part anew, the service would
# get it twice.  Cuts last seconds; one that is replaced is counted twice for so long.
REMEMBERED_S = 30.0


class FleetSize:
    """The most routers that were live at a time of late."""

    def __init__(self) -> None:
        self._seen: deque[tuple[float, int]] = deque()

    def observe(self, live: int, now_s: float) -> None:
        """Take how many are live now."""
        while self._seen and self._seen[-1][1] <= live:
            self._seen.pop()
        self._seen.append((now_s, live))
        while self._seen[0][0] < now_s - REMEMBERED_S:
            self._seen.popleft()

    @property
    def largest(self) -> int:
        """Routers that may be spending the budget."""
        return self._seen[0][1] if self._seen else 1


class BudgetTerms(NamedTuple):
    """The fleet's budget for one service.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    window_s : float
        Length of any window.
    fixed : float
        Repeats in a window beyond the ratio.
    """

    ratio: float
    window_s: float
    fixed: float


class RetryShare:
    """Requests and repeats of one router to one service."""

    def __init__(self, terms: BudgetTerms) -> None:
        self._terms = terms
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def note_request(self, now_s: float) -> None:
        """Count a request of a client."""
        self._requests.append(now_s)
        self._forget(now_s)

    def note_retry(self, now_s: float) -> None:
        """Count a request that is sent to one endpoint more."""
        self._repeats.append(now_s)

    def count_retries_left(self, routers: int, now_s: float) -> float:
        """Return how many repeats may still be sent now.

        Parameters
        ----------
        routers : int
            Routers that share the budget, this one among them.
        now_s : float
            The present time.
        """
        self._forget(now_s)
        part = self._terms.ratio * len(self._requests)
        part += self._terms.fixed / max(1, routers)
        return MARGIN * part - len(self._repeats)

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self._terms.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] <= oldest_s:
                times.popleft()
