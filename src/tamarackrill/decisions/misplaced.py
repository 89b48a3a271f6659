"""Endpoints whose addresses now belong to other endpoints.

Load pattern: endpoints restart under new names at the same addresses, or their
addresses go to other services, while the store is unavailable and lists the old ones.
Each request sent there is rejected by whoever answers.  Without this state the next
request goes there too, and every router finds it out anew for every endpoint: an eighth
of all requests can be rejected that way, each of which uses up the endpoints that it
may be sent to.

A rejection is certain and holds for all routers, so one reports it to the others.  The
entry may become correct again, so it is tried again after a while.

Whoever answers there has started, and writes its own entry at about that time.  A
request without another endpoint is worth a read of the entries, unless they have been
read since.
"""

from collections.abc import Collection
from collections.abc import Set as AbstractSet

# An entry that stays wrong costs each router one rejected request in this time.  Stores
# are unavailable for seconds to minutes.
MISPLACED_KEPT_S = 5.0


class MisplacedEndpoints:
    """Endpoints known not to be at their addresses, with an expiry for each."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def observe(self, endpoint: str, now_s: float) -> bool:
        """Record that another endpoint answered; return whether that is new."""
        is_news = endpoint not in self.find(now_s)
        self._until_s[endpoint] = now_s + MISPLACED_KEPT_S
        return is_news

    def has_moved_since(self, names: Collection[str], known_s: float) -> bool:
        """Return whether any of some endpoints was found misplaced later.

        Parameters
        ----------
        names : collection of str
            The endpoints.
        known_s : float
            Time as of which their entries are known.
        """
        return any(
            until_s - MISPLACED_KEPT_S > known_s
            for name, until_s in self._until_s.items()
            if name in names
        )

    def remove(self, endpoint: str) -> None:
        """Forget an endpoint that has restarted."""
        self._until_s.pop(endpoint, None)

    def retain(self, names: Collection[str]) -> None:
        """Forget endpoints that are not among `names`."""
        for name in [name for name in self._until_s if name not in names]:
            del self._until_s[name]

    def find(self, now_s: float) -> AbstractSet[str]:
        """Return the names of the misplaced endpoints, which get no work."""
        if not self._until_s:
            return frozenset()
        for name in [n for n, until_s in self._until_s.items() if until_s <= now_s]:
            del self._until_s[name]
        return self._until_s.keys()
