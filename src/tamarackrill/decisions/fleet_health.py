"""Which endpoints fail more than their peers, by what all routers see together.

Load pattern: one of many endpoints fails every second request, answers nothing, or
fails all while its health check is good.  One router among 76 sees its answers once in
ten seconds; were it to wait for five of them, the endpoint would have failed hundreds
of clients before the last router left it alone.  Together the routers see it within a
second.

Failures are compared with those of the other endpoints of the pool, never with a
threshold alone: where all fail alike, because requests are at fault or the network is,
leaving some out would only push the rest.  Any part of a pool may fail together; see
`failure_clusters`.  All endpoints get about as many requests, as their loads are
bounded, so that failures alone can be compared, and of answers that are well nothing
need be told.  An endpoint that has just joined, or gets work again, has not had its
share of them, so that its few failures say nothing of the others.

One router whose own link is bad fails everywhere and must not have endpoints left out
by all: what one router tells counts up to a limit, and at least two must tell.  An
endpoint that is out of order for the callers of one zone only is left out there alone:
what other zones tell counts only where two of them do.

How many are left out follows from the room that the rest has, and from the multiple of
the mean load that none of them may carry: with twice the mean, half of a pool at most.
An endpoint that was left out gets work again after a pause, which doubles while it
fails again.
"""

import math
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from tamarackrill.decisions.endpoint_news import FailureReport
from tamarackrill.decisions.failure_clusters import FAILED_MIN as FAILED_MIN
from tamarackrill.decisions.failure_clusters import FailureCounts, find_failing

# Failures of one endpoint within this time are looked at together.
WINDOW_S = 5.0
# Of one router no more than this counts for an endpoint, within one window.
REPORTER_FAILURES_MAX = 3
REPORTERS_MIN = 2
# Other zones that must tell before what they tell counts in this one.
ZONES_MIN = 2
# The first pause, and the longest.  Endpoints fail for seconds to minutes; each return
# costs the fleet a few requests.
PAUSE_MIN_S = 2.5
PAUSE_MAX_S = 20.0
# One that fails again so soon after its pause has not recovered.
RELAPSE_S = 6.0
LOAD_CAP_DEFAULT = 2.0
# Part of the slots of those that are left that may be taken by all requests.
OCCUPANCY_MAX = 0.5
# What was told is remembered for so long, so that it counts once however late it comes
# again.
REPORT_KEPT_S = 30.0


class PoolFailures(NamedTuple):
    """What is known of the failures of a pool.

    Parameters
    ----------
    endpoints : int
        Endpoints of the pool.
    failing : int
        Those with failures enough to be left out, if others are well.
    paused : int
        Those that are left out, as far as the others have room.
    failed_most, failed_mean : float
        Failures of one endpoint that is not paused.
    """

    endpoints: int
    failing: int
    paused: int
    failed_most: int
    failed_mean: float


class _Count(NamedTuple):
    heard_s: float
    reporter: int
    failed: int


class _Pause(NamedTuple):
    until_s: float
    pause_s: float


_NONE_FAILED = FailureCounts(0, 0)


class FleetHealth:
    """Failures of endpoints, as all routers tell them.

    Parameters
    ----------
    find_zone : callable
        Returns the availability zone of a teller, None if it is not known.
    own_zone : str
        Availability zone of this router.
    load_cap : float, optional
        Multiple of the mean load that no endpoint may exceed.
    """

    def __init__(
        self,
        find_zone: Callable[[int], str | None],
        own_zone: str,
        load_cap: float = LOAD_CAP_DEFAULT,
    ) -> None:
        self._load_cap = load_cap
        self._find_zone = find_zone
        self._own_zone = own_zone
        self._counts: dict[str, list[_Count]] = {}
        self._heard_s: dict[tuple[str, int, int], float] = {}
        self._pauses: dict[str, _Pause] = {}
        # When endpoints joined; those that this router found when it started, never.
        self._joined_s: dict[str, float] = {}

    def observe_endpoints(self, names: Collection[str], now_s: float) -> None:
        """Take the endpoints that there are, and forget the others."""
        self.retain(names)
        joined_s = now_s if self._joined_s else -math.inf
        for name in names:
            self._joined_s.setdefault(name, joined_s)

    def observe(self, reported: FailureReport, now_s: float) -> None:
        """Take what a router tells; the second time it is passed over."""
        key = (reported.endpoint, reported.reporter, reported.sequence)
        if key in self._heard_s:
            return
        self._heard_s[key] = now_s
        counts = self._counts.setdefault(reported.endpoint, [])
        counts.append(_Count(now_s, reported.reporter, reported.failed))

    def remove(self, endpoint: str) -> None:
        """Forget an endpoint that is gone or has started anew."""
        self._counts.pop(endpoint, None)
        self._pauses.pop(endpoint, None)
        self._joined_s.pop(endpoint, None)

    def retain(self, names: Collection[str]) -> None:
        """Forget endpoints that are not among `names`."""
        for name in {*self._counts, *self._pauses, *self._joined_s}:
            if name not in names:
                self.remove(name)

    @property
    def has_no_failures(self) -> bool:
        """Whether nothing was told of late, so that there is nothing to work out."""
        return not self._counts and not self._pauses

    def pause_failing(self, pool: Collection[str], now_s: float) -> list[str]:
        """Pause the endpoints of a pool that fail; return those that are new."""
        self._forget(now_s)
        failed = {name: self._count(name) for name in pool if name in self._counts}
        if not any(counts.accepted >= FAILED_MIN for counts in failed.values()):
            return []
        compared = {
            name: failed.get(name, _NONE_FAILED)
            for name in pool
            if not self._is_paused(name, now_s)
        }
        found = find_failing(
            {
                name: counts
                for name, counts in compared.items()
                if counts.accepted >= FAILED_MIN or self._had_share(name, now_s)
            }
        )
        for name in sorted(found):
            self._pause(name, now_s)
        return sorted(found)

    def describe(self, pool: Collection[str], now_s: float) -> PoolFailures:
        """Return what is known of a pool, for the log."""
        unpaused = [name for name in pool if not self._is_paused(name, now_s)]
        counts = [self._count(name) for name in unpaused if name in self._counts]
        return PoolFailures(
            len(pool),
            sum(count.accepted >= FAILED_MIN for count in counts),
            len(pool) - len(unpaused),
            max((count.reported for count in counts), default=0),
            sum(count.reported for count in counts) / max(1, len(unpaused)),
        )

    def find_paused(
        self, slots: Mapping[str, int], in_flight: int, now_s: float
    ) -> set[str]:
        """Return the paused endpoints of a pool, as many as the rest has room for.

        Parameters
        ----------
        slots : mapping of str to int
            Requests that each endpoint of the pool works on at once, by its name.
        in_flight : int
            Requests at all of them.
        now_s : float
            The present time.
        """
        paused = [name for name in slots if self._is_paused(name, now_s)]
        # Those that were paused for longest have failed most often.
        paused.sort(key=lambda name: (-self._pauses[name].pause_s, name))
        most = len(slots) - math.ceil(len(slots) / self._load_cap)
        return _take_while_room(paused[:most], slots, in_flight)

    def _is_paused(self, name: str, now_s: float) -> bool:
        pause = self._pauses.get(name)
        return pause is not None and pause.until_s > now_s

    def _pause(self, name: str, now_s: float) -> None:
        last = self._pauses.get(name)
        pause_s = PAUSE_MIN_S if last is None else min(PAUSE_MAX_S, 2 * last.pause_s)
        self._pauses[name] = _Pause(now_s + pause_s, pause_s)
        # What was told before the pause says nothing of the endpoint after it.
        self._counts.pop(name, None)

    def _had_share(self, name: str, now_s: float) -> bool:
        """Return whether an endpoint was sent requests for the whole window."""
        pause = self._pauses.get(name)
        began_s = self._joined_s.get(name, -math.inf)
        if pause is not None:
            began_s = max(began_s, pause.until_s)
        return began_s <= now_s - WINDOW_S

    def _count(self, name: str) -> FailureCounts:
        by_teller: dict[int, int] = {}
        for count in self._counts[name]:
            by_teller[count.reporter] = by_teller.get(count.reporter, 0) + count.failed
        # Of the endpoints that others are compared with everything counts.  Where each
        # zone sends to its own endpoints, their failures are told by one other zone
        # alone, and are no fewer for that.
        return FailureCounts(self._sum_accepted(by_teller), sum(by_teller.values()))

    def _sum_accepted(self, by_teller: Mapping[int, int]) -> int:
        """Return the failures that count, 0 if too few tell of them."""
        zones = {reporter: self._find_zone(reporter) for reporter in by_teller}
        elsewhere = set(zones.values()) - {self._own_zone, None}
        counts_all = len(elsewhere) >= ZONES_MIN
        counted = [
            min(REPORTER_FAILURES_MAX, failed)
            for reporter, failed in by_teller.items()
            if zones[reporter] == self._own_zone
            or (counts_all and zones[reporter] is not None)
        ]
        return sum(counted) if len(counted) >= REPORTERS_MIN else 0

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - WINDOW_S
        for name, counts in list(self._counts.items()):
            kept = [count for count in counts if count.heard_s > oldest_s]
            if kept:
                self._counts[name] = kept
            else:
                del self._counts[name]
        heard_s = now_s - REPORT_KEPT_S
        while self._heard_s:
            key = next(iter(self._heard_s))
            if self._heard_s[key] > heard_s:
                break
            del self._heard_s[key]
        for name, pause in list(self._pauses.items()):
            if pause.until_s + RELAPSE_S < now_s:
                del self._pauses[name]


def _take_while_room(
    names: Collection[str], slots: Mapping[str, int], in_flight: int
) -> set[str]:
    left = sum(slots.values())
    taken: set[str] = set()
    for name in names:
        left -= slots[name]
        if len(taken) + 1 >= len(slots) or in_flight > OCCUPANCY_MAX * left:
            break
        taken.add(name)
    return taken
