"""Which endpoints fail more than their peers, by what all routers see together.

Load pattern: one of many endpoints fails every second request, answers nothing, or
fails all while its health check is good.  One router among 76 sees its answers once in
ten seconds; were it to wait for five of them, the endpoint would have failed hundreds
of clients before the last router left it alone.  Together the routers see it within a
second.

Failures are compared with those of the other endpoints of the pool, never with a
threshold alone: where all fail alike, because requests are at fault or the network is,
leaving some out would only push the rest.  All endpoints get about as many requests, as
their loads are bounded, so that failures alone can be compared, and of answers that are
well nothing need be told.

One router whose own link is bad fails everywhere and must not have endpoints left out
by all: what one router tells counts up to a limit, and at least two must tell.  An
endpoint that is out of order for the callers of one zone only is left out there alone:
what other zones tell counts only where two of them do.

How many are left out follows from the room that the rest has.  An endpoint that was
left out gets work again after a pause, which doubles while it fails again.
"""

import math
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from tamarackrill.decisions.endpoint_news import Failures

# Failures of one endpoint within this time are looked at together.
WINDOW_S = 3.0
# What is usual is also taken from a longer time, as chance spares most of a pool for
# three seconds now and then.
USUAL_WINDOW_S = 15.0
# Failures at least, beyond a multiple of what is usual.  Endpoints lose a few answers
# in a hundred for seconds, and some of these come together.  Of six engines that lose
# one answer in twenty at 8 requests a second, none is left out in ten minutes.
FAILED_MIN = 5
PEERS_MULTIPLE = 4.0
# Part of the peers with the most failures that is not looked at to find what is usual:
# a third of a pool may fail together, as when they share a release.
PEERS_TRIMMED = 0.34
# Of one router no more than this counts for an endpoint, within one window.
TELLER_MAX = 3
TELLERS_MIN = 2
# Other zones that must tell before what they tell counts in this one.
ZONES_MIN = 2
# The first pause, and the longest.  Endpoints fail for seconds to minutes; each return
# costs the fleet a few requests.
PAUSE_MIN_S = 2.5
PAUSE_MAX_S = 20.0
# One that fails again so soon after its pause has not recovered.
RELAPSE_S = 6.0
# Part of the slots of those that are left that may be taken by all requests.
ROOM_SHARE = 0.5
# What was told is remembered for so long, so that it counts once however late it comes
# again.
HEARD_KEPT_S = 30.0


class _Count(NamedTuple):
    heard_s: float
    teller: int
    failed: int


class _Pause(NamedTuple):
    until_s: float
    pause_s: float


class FleetHealth:
    """Failures of endpoints, as all routers tell them.

    Parameters
    ----------
    find_zone : callable
        Returns the availability zone of a teller, None if it is not known.
    own_zone : str
        Availability zone of this router.
    """

    def __init__(self, find_zone: Callable[[int], str | None], own_zone: str) -> None:
        self._find_zone = find_zone
        self._own_zone = own_zone
        self._counts: dict[str, list[_Count]] = {}
        self._heard_s: dict[tuple[str, int, int], float] = {}
        self._pauses: dict[str, _Pause] = {}

    def observe(self, told: Failures, now_s: float) -> None:
        """Take what a router tells; the second time it is passed over."""
        key = (told.endpoint, told.teller, told.sequence)
        if key in self._heard_s:
            return
        self._heard_s[key] = now_s
        counts = self._counts.setdefault(told.endpoint, [])
        counts.append(_Count(now_s, told.teller, told.failed))

    def remove(self, endpoint: str) -> None:
        """Forget an endpoint that is gone or has started anew."""
        self._counts.pop(endpoint, None)
        self._pauses.pop(endpoint, None)

    def retain(self, names: Collection[str]) -> None:
        """Forget endpoints that are not among `names`."""
        for name in [*self._counts, *self._pauses]:
            if name not in names:
                self.remove(name)

    def _is_failing(self, name: str, pool: Collection[str], oldest_s: float) -> bool:
        failed = self._count_believed(name, oldest_s)
        if failed < FAILED_MIN:
            return False
        # Of the peers everything counts.  Where each zone sends to its own endpoints,
        # their failures are told by one other zone alone, and are no fewer for that.
        peers = [peer for peer in pool if peer != name]
        now = [sum(self._sum_by_teller(peer, oldest_s).values()) for peer in peers]
        long = [sum(self._sum_by_teller(peer, -math.inf).values()) for peer in peers]
        long_share = WINDOW_S / USUAL_WINDOW_S
        usual = max(_find_usual(now), long_share * _find_usual(long))
        return failed >= FAILED_MIN + PEERS_MULTIPLE * usual

    @property
    def is_quiet(self) -> bool:
        """Whether nothing was told of late, so that there is nothing to work out."""
        return not self._counts and not self._pauses

    def pause_failing(self, pool: Collection[str], now_s: float) -> list[str]:
        """Pause the endpoints of a pool that fail; return those that are new."""
        self._forget(now_s)
        oldest_s = now_s - WINDOW_S
        found = [
            name
            for name in self._counts
            if name in pool
            and not self._is_paused(name, now_s)
            and self._is_failing(name, pool, oldest_s)
        ]
        for name in found:
            self._pause(name, now_s)
        return found

    def find_left_out(
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
        return _take_while_room(paused, slots, in_flight)

    def _is_paused(self, name: str, now_s: float) -> bool:
        pause = self._pauses.get(name)
        return pause is not None and pause.until_s > now_s

    def _pause(self, name: str, now_s: float) -> None:
        last = self._pauses.get(name)
        pause_s = PAUSE_MIN_S if last is None else min(PAUSE_MAX_S, 2 * last.pause_s)
        self._pauses[name] = _Pause(now_s + pause_s, pause_s)
        # What was told before the pause says nothing of the endpoint after it.
        self._counts.pop(name, None)

    def _sum_by_teller(self, name: str, oldest_s: float) -> dict[int, int]:
        by_teller: dict[int, int] = {}
        for count in self._counts.get(name, ()):
            if count.heard_s > oldest_s:
                by_teller[count.teller] = by_teller.get(count.teller, 0) + count.failed
        return by_teller

    def _count_believed(self, name: str, oldest_s: float) -> int:
        """Return the failures of an endpoint that count, 0 if too few tell of them."""
        by_teller = self._sum_by_teller(name, oldest_s)
        zones = {teller: self._find_zone(teller) for teller in by_teller}
        elsewhere = set(zones.values()) - {self._own_zone, None}
        counts_all = len(elsewhere) >= ZONES_MIN
        counted = [
            min(TELLER_MAX, failed)
            for teller, failed in by_teller.items()
            if zones[teller] == self._own_zone
            or (counts_all and zones[teller] is not None)
        ]
        return sum(counted) if len(counted) >= TELLERS_MIN else 0

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - USUAL_WINDOW_S
        for name, counts in list(self._counts.items()):
            kept = [count for count in counts if count.heard_s > oldest_s]
            if kept:
                self._counts[name] = kept
            else:
                del self._counts[name]
        heard_s = now_s - HEARD_KEPT_S
        while self._heard_s:
            key = next(iter(self._heard_s))
            if self._heard_s[key] > heard_s:
                break
            del self._heard_s[key]
        for name, pause in list(self._pauses.items()):
            if pause.until_s + RELAPSE_S < now_s:
                del self._pauses[name]


def _find_usual(failed: Sequence[float]) -> float:
    """Return the mean of most; there is none to compare with without peers."""
    kept = sorted(failed)[: len(failed) - int(PEERS_TRIMMED * len(failed))]
    return sum(kept) / len(kept) if kept else math.inf


def _take_while_room(
    names: Collection[str], slots: Mapping[str, int], in_flight: int
) -> set[str]:
    left = sum(slots.values())
    taken: set[str] = set()
    for name in names:
        left -= slots[name]
        if len(taken) + 1 >= len(slots) or in_flight > ROOM_SHARE * left:
            break
        taken.add(name)
    return taken
