"""When an endpoint whose entry has disappeared is to be taken as gone.

Load pattern: endpoints keep their entries alive by heartbeats to the store.  While the
store is away heartbeats fail, and entries of endpoints that work well lapse, all of
them at once.  They are back within about two seconds of the store's return.  A router
that took each missing entry as the end of its endpoint would have nowhere to send
anything in just these seconds, and would refuse all its clients.

So an entry that disappears while the store is away or has just come back is held for
that time.  One that said it was leaving is not held, as its end is no surprise.

Whoever can't reach the store hears of a missing entry from a router that can.  The
store then answers again, so that such an entry is held no longer than that time either:
it may just as well have ended while the store turned away this router alone.
"""

import math

# Time in which entries are written again once the store is back, with a heartbeat's
# delay of the list on top.
EXPIRY_GRACE_S = 2.2


class ExpiryGrace:
    """Entries that disappeared around an outage of the store."""

    def __init__(self) -> None:
        self._is_lost = False
        self._back_s = -math.inf
        self._held: dict[str, float] = {}

    def observe_store(self, is_lost: bool, now_s: float) -> None:
        """Take whether the store answers."""
        if self._is_lost and not is_lost:
            self._back_s = now_s
        self._is_lost = is_lost

    def observe_removed(self, name: str, now_s: float) -> bool:
        """Take that an entry is missing; return whether it is held for now."""
        back_s = now_s if self._is_lost else self._back_s
        until_s = back_s + EXPIRY_GRACE_S
        if until_s <= now_s:
            return False
        self._held[name] = until_s
        return True

    def observe_present(self, name: str) -> None:
        """Take that an entry is there."""
        self._held.pop(name, None)

    def expire(self, now_s: float) -> list[str]:
        """Return the entries that are gone for good by now, each once."""
        gone = [name for name, until_s in self._held.items() if until_s <= now_s]
        for name in gone:
            del self._held[name]
        return gone
