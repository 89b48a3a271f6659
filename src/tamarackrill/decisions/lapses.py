"""Grace period for endpoint entries that expire around an outage of the store.

Load pattern: endpoints keep their entries alive by heartbeats to the store.  While the
store is down heartbeats fail, and the entries of healthy endpoints all expire at once.
They are back within about two seconds of the store's return.  A router that took each
missing entry as the end of its endpoint would have no endpoints during these seconds
and would refuse all its clients.

So an entry that disappears while the store is down or has just come back is kept for a
grace period.  An entry that was marked as leaving is not kept, as its end is expected.

A store that comes back from a copy lacks what was written since, until it is written
again: entries that are missing there are kept for the grace period too.

The copy may also have entries that have ended since.  They end again after three
heartbeats that fail to come, and are not used until then, unless they are written.  A
router that has not seen them end, as it has started since, is told by others.  One that
is late, or can't reach the store, would be told of that second end only after the time
in which it has to come: it uses an entry once the store has told that it kept it.

A router that cannot reach the store learns of a missing entry from one that can.  The
store then answers again, so such an entry is kept for no longer than the grace period:
its endpoint may have ended while the store refused only this router.
"""

import math
from collections import OrderedDict
from typing import NamedTuple

from tamarackrill.decisions.configuration import ObjectVersion

# Time in which entries are written again once the store is back, plus the delay of the
# list by one heartbeat.
EXPIRY_GRACE_S = 2.2
# Time in which the store removes the entry of an endpoint that no longer writes: three
# heartbeats of 1.2 s, plus the delay of the list.
SILENT_ENTRY_S = 4.0
# Ended entries remembered, so that they are recognized in a copy some seconds old: more
# than a rolling replacement of the largest expected fleet ends in a minute.
ENDED_KEPT = 1024
# Ended entries that one router tells another one of: several rolling replacements.
TOLD_MAX = 256


class ExpiryGrace:
    """Keeps entries that disappear around an outage of the store."""

    def __init__(self) -> None:
        self._is_lost = False
        self._recovered_s = -math.inf
        self._expires_s: dict[str, float] = {}

    def observe_store(self, is_lost: bool, now_s: float) -> None:
        """Record whether the store is unreachable."""
        if self._is_lost and not is_lost:
            self._recovered_s = now_s
        self._is_lost = is_lost

    def observe_restored(self, now_s: float) -> None:
        """Record that the store came back from a copy, which may lack entries."""
        self._recovered_s = now_s

    def is_settled(self, now_s: float) -> bool:
        """Return whether the store is available, and has been for the grace period."""
        return not self._is_lost and self._recovered_s + EXPIRY_GRACE_S <= now_s

    def observe_removed(self, name: str, now_s: float) -> bool:
        """Record that an entry is missing; return whether it is kept for now."""
        recovered_s = now_s if self._is_lost else self._recovered_s
        expires_s = recovered_s + EXPIRY_GRACE_S
        if expires_s <= now_s:
            return False
        self._expires_s[name] = expires_s
        return True

    def observe_present(self, name: str) -> None:
        """Record that an entry is present."""
        self._expires_s.pop(name, None)

    def is_kept(self, name: str) -> bool:
        """Return whether a missing entry is kept for now."""
        return name in self._expires_s

    def expire(self, now_s: float) -> list[str]:
        """Return, once each, the entries whose grace period is over."""
        expired = [
            name for name, expires_s in self._expires_s.items() if expires_s <= now_s
        ]
        for name in expired:
            del self._expires_s[name]
        return expired


class EndedNews(NamedTuple):
    """What a router tells others of entries whose end it has seen confirmed.

    Parameters
    ----------
    names : tuple of (str, int)
        The entries that it hasn't seen since, and the era in which each has ended.
    era : int
        Era of the store at the router.
    suspect_s : float
        How long it goes on to put such entries aside.
    """

    names: tuple[tuple[str, int], ...] = ()
    era: int = 0
    suspect_s: float = SILENT_ENTRY_S


class _ToldEnd(NamedTuple):
    """The end of an entry of which another router of some era has told.

    In that era, the entry is put aside until `until_s`.
    """

    ended_era: int
    era: int
    until_s: float


class _HeldEntry(NamedTuple):
    """An entry that is put aside, and the era in which its end was confirmed."""

    item: ObjectVersion
    until_s: float
    confirmed_era: int | None


class EndedEntries:
    """Recognizes ended entries that are back only because the store was restored.

    An end is confirmed if the store was undisturbed.  Other routers are told of such
    ends only: of an entry that is missing in a copy, or was put aside, its endpoint may
    be alive, and routers that told each other of it would not use it again.
    """

    def __init__(self) -> None:
        # The era in which the end was confirmed, None if it wasn't.
        self._ended: OrderedDict[str, int | None] = OrderedDict()
        # Those that had ended before the last restore, until they are seen again.
        self._suspects: dict[str, int | None] = {}
        self._suspect_until_s = -math.inf
        self._told: dict[str, _ToldEnd] = {}
        self._held: dict[str, _HeldEntry] = {}

    def observe_restored(self, now_s: float) -> None:
        """Record that the store came back from a copy."""
        self._suspects = dict(self._ended)
        self._suspect_until_s = now_s + SILENT_ENTRY_S
        for name, held in self._held.items():
            self._held[name] = held._replace(until_s=self._suspect_until_s)

    def observe_ended(self, name: str, confirmed_era: int | None = None) -> None:
        """Record that an entry has ended, and the era if its end is confirmed."""
        held = self._held.pop(name, None)
        known = self._ended.pop(name, None)
        if confirmed_era is None:
            confirmed_era = known if held is None else held.confirmed_era
        self._remember(name, confirmed_era)

    def _remember(self, name: str, confirmed_era: int | None) -> None:
        self._ended[name] = confirmed_era
        if len(self._ended) > ENDED_KEPT:
            forgotten, _ = self._ended.popitem(last=False)
            self._told.pop(forgotten, None)

    def observe_told(
        self, name: str, ended_era: int, news: EndedNews, now_s: float
    ) -> None:
        """Record that another router has seen the end of an entry confirmed.

        Parameters
        ----------
        name : str
            Name of the entry, which must not be in use.
        ended_era : int
            Era in which it has ended.
        news : EndedNews
            What the other router knows.
        now_s : float
            Current time.
        """
        if name in self._ended or name in self._held:
            return
        self._told[name] = _ToldEnd(
            ended_era,
            news.era,
            now_s + min(news.suspect_s, SILENT_ENTRY_S),
        )
        self._remember(name, ended_era)

    def list_confirmed(self, era: int, now_s: float) -> EndedNews:
        """Return the latest entries whose end is confirmed."""
        ends = [(n, e) for n, e in self._ended.items() if e is not None]
        ends += [
            (name, held.confirmed_era)
            for name, held in self._held.items()
            if held.confirmed_era is not None
        ]
        suspect_s = SILENT_ENTRY_S
        if self._suspect_until_s > -math.inf or self._held:
            until_s = [held.until_s for held in self._held.values()]
            suspect_s = max(0.0, max([self._suspect_until_s, *until_s]) - now_s)
        return EndedNews(tuple(ends[-TOLD_MAX:]), era, suspect_s)

    def must_hold(
        self,
        item: ObjectVersion,
        now_s: float,
        era: int = 0,
        is_new: bool = False,
        known_s: float | None = None,
    ) -> bool:
        """Return whether to put an entry aside, as its endpoint has ended before.

        An entry that was put aside and changes is written by its endpoint, and used.

        Parameters
        ----------
        item : ObjectVersion
            The entry.
        now_s : float
            Current time.
        era : int, default=0
            Era of the store.
        is_new : bool, default=False
            Whether it is known to have been written after the last restore.
        known_s : float, optional
            As of when the store's entries are known; now by default.
        """
        confirmed_era = self._ended.pop(item.name, None)
        self._held.pop(item.name, None)
        until_s = self._find_suspect_until_s(item.name, now_s, era)
        if is_new or (now_s if known_s is None else known_s) >= until_s:
            return False
        self._held[item.name] = _HeldEntry(item, until_s, confirmed_era)
        return True

    def _find_suspect_until_s(self, name: str, now_s: float, era: int) -> float:
        told = self._told.pop(name, None)
        if name in self._suspects:
            del self._suspects[name]
            return self._suspect_until_s
        if told is None or told.ended_era >= era:
            return -math.inf
        # The store may have come back only after this router was told.
        return told.until_s if told.era >= era else now_s + SILENT_ENTRY_S

    def release(self, known_s: float) -> list[ObjectVersion]:
        """Return, once each, the entries put aside that the store has kept.

        Parameters
        ----------
        known_s : float
            As of when the store's entries are known.
        """
        due = [name for name, held in self._held.items() if held.until_s <= known_s]
        return [self._held.pop(name).item for name in due]
