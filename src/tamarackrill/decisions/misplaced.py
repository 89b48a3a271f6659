"""Endpoints at whose addresses others answer by now.

Load pattern: endpoints start again under new names at the addresses that they had, or
their addresses go to other services, while the store is away and lists the old ones.
Each request that is sent there is turned back by whoever answers.  Without a memory of
that the next request goes there too, and every router learns it anew for every
endpoint: an eighth of all requests were turned back on a played day of this kind, each
of which had spent the endpoints that it might be sent to.

To be turned back is certain news, and for all routers at once, so that one tells the
others.  The entry may come true again, so that it is tried anew after a while.
"""

from collections.abc import Collection
from collections.abc import Set as AbstractSet

# One request of each router is turned back in this time for an entry that stays wrong;
# stores are away for seconds to minutes.
MISPLACED_KEPT_S = 5.0


class MisplacedEndpoints:
    """Endpoints that are known not to be at their addresses."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def observe(self, endpoint: str, now_s: float) -> bool:
        """Take that another endpoint answered for one; return whether that is news."""
        is_news = endpoint not in self.find(now_s)
        self._until_s[endpoint] = now_s + MISPLACED_KEPT_S
        return is_news

    def remove(self, endpoint: str) -> None:
        """Forget an endpoint that has started anew."""
        self._until_s.pop(endpoint, None)

    def retain(self, names: Collection[str]) -> None:
        """Forget endpoints that are not among `names`."""
        for name in [name for name in self._until_s if name not in names]:
            del self._until_s[name]

    def find(self, now_s: float) -> AbstractSet[str]:
        """Return the names of those that get no work now."""
        if not self._until_s:
            return frozenset()
        for name in [n for n, until_s in self._until_s.items() if until_s <= now_s]:
            del self._until_s[name]
        return self._until_s.keys()
