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
heartbeats that fail to come, and are not used until then, unless they are written.

A router that cannot reach the store learns of a missing entry from one that can.  The
store then answers again, so such an entry is kept for no longer than the grace period:
its endpoint may have ended while the store refused only this router.
"""

import math
from collections import OrderedDict

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

    def expire(self, now_s: float) -> list[str]:
        """Return, once each, the entries whose grace period is over."""
        expired = [
            name for name, expires_s in self._expires_s.items() if expires_s <= now_s
        ]
        for name in expired:
            del self._expires_s[name]
        return expired


class EndedEntries:
    """Recognizes ended entries that are back only because the store was restored."""

    def __init__(self) -> None:
        self._ended: OrderedDict[str, None] = OrderedDict()
        # Names that had ended before the last restore, until they are seen again.
        self._suspects: set[str] = set()
        self._suspect_until_s = -math.inf
        self._held: dict[str, ObjectVersion] = {}

    def observe_restored(self, now_s: float) -> None:
        """Record that the store came back from a copy."""
        self._suspects = set(self._ended)
        self._suspect_until_s = now_s + SILENT_ENTRY_S

    def observe_ended(self, name: str) -> None:
        """Record that an entry has ended."""
        self._held.pop(name, None)
        self._ended[name] = None
        self._ended.move_to_end(name)
        if len(self._ended) > ENDED_KEPT:
            self._ended.popitem(last=False)

    def must_hold(self, item: ObjectVersion, now_s: float) -> bool:
        """Return whether to put an entry aside, as its endpoint has ended before.

        An entry that was put aside and changes is written by its endpoint, and used.
        """
        self._ended.pop(item.name, None)
        self._held.pop(item.name, None)
        if now_s >= self._suspect_until_s or item.name not in self._suspects:
            return False
        self._suspects.remove(item.name)
        self._held[item.name] = item
        return True

    def release(self, now_s: float) -> list[ObjectVersion]:
        """Return, once each, the entries put aside that the store has kept."""
        if now_s < self._suspect_until_s or not self._held:
            return []
        released = list(self._held.values())
        self._held.clear()
        return released
