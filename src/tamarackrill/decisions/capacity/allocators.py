"""Which router is the slot allocator of a service and zone, and which don't answer.

Load pattern: routers join, leave, hang, are cut off or run an older version, while each
call needs an answer within milliseconds.  Without a common order, routers would ask
different allocators, which would all grant the same slots.  Without the state of
timeouts, each call would wait for an allocator that doesn't answer.

The order is that of rendezvous hashing, so the loss of a router moves only the services
that it allocated.  Timeouts are known to each router alone; two concurrent allocators
see each other's calls in the load reports of the endpoints.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from tamarackrill.decisions import hashing

# Candidates of a service and zone: with half of the routers on a version that doesn't
# answer, one of 64 zones has no allocator.  More would cost a router two timeouts each.
CANDIDATES_MAX = 6
# Consecutive timeouts that exclude an allocator; a single one may be a lost datagram.
TIMEOUTS_MAX = 2
# First exclusion, about the time in which a failed router leaves the membership.
EXCLUSION_MIN_S = 1.0
# Longest one: a router of an older version then costs a timeout of 0.04 s in 30 s.
EXCLUSION_MAX_S = 30.0


def order_allocators(service: str, zone: str, routers: Mapping[str, str]) -> list[str]:
    """Return the routers that may be the allocator, first choice first.

    Parameters
    ----------
    service : str
        Name of a plain service.
    zone : str
        Availability zone whose endpoints are allocated.
    routers : mapping of str to str
        Availability zone of each live router, by name.
    """
    in_zone = sorted(name for name, where in routers.items() if where == zone)
    candidates = in_zone or sorted(routers)
    key = f"slots/{service}/{zone}"
    return hashing.rendezvous_order(key, candidates, CANDIDATES_MAX)


class _Silence(NamedTuple):
    timeouts: int
    until_s: float


class AllocatorTimeouts:
    """Allocators that didn't answer this router."""

    def __init__(self) -> None:
        self._silent: dict[str, _Silence] = {}

    def choose(self, candidates: Iterable[str], now_s: float) -> str | None:
        """Return the first candidate that isn't excluded, or None."""
        return next((n for n in candidates if not self.is_excluded(n, now_s)), None)

    def is_excluded(self, allocator: str, now_s: float) -> bool:
        """Return whether an allocator isn't asked now."""
        silence = self._silent.get(allocator)
        return silence is not None and now_s < silence.until_s

    def observe_timeout(self, allocator: str, now_s: float) -> bool:
        """Record an ask without an answer; return whether this excludes the allocator.

        Timeouts during an exclusion are those of asks that were sent before it.  They
        don't count: with many calls in flight, one short pause of an allocator would
        exclude it for the longest time at once.
        """
        if self.is_excluded(allocator, now_s):
            return False
        known = self._silent.get(allocator)
        timeouts = 1 + (known.timeouts if known else 0)
        if timeouts < TIMEOUTS_MAX:
            self._silent[allocator] = _Silence(timeouts, -math.inf)
            return False
        doublings = min(timeouts - TIMEOUTS_MAX, 16)
        excluded_s = min(EXCLUSION_MIN_S * 2**doublings, EXCLUSION_MAX_S)
        self._silent[allocator] = _Silence(timeouts, now_s + excluded_s)
        return True

    def observe_answer(self, allocator: str) -> None:
        """Record an answer, which ends the exclusion."""
        self._silent.pop(allocator, None)

    def retain(self, routers: Collection[str]) -> None:
        """Forget routers that are not among the live `routers`."""
        for name in [name for name in self._silent if name not in routers]:
            del self._silent[name]
