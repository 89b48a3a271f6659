"""Sets of interchangeable endpoints, with precomputed lookups for load balancing.

Load pattern: hundreds or thousands of endpoints serve one model, and one of them is
selected for each request.  Iterating over all of them for each request takes
milliseconds of a router's CPU time and delays every response behind it.  So whatever
depends only on the set of endpoints is computed once and cached here.
"""

from collections.abc import Collection, Iterable, Sequence
from functools import cached_property

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import hashing

# Cached subpools of one pool: those without the endpoints that are unreachable now, and
# those that also lack the few endpoints that single requests have to avoid.
SUBPOOLS_MAX = 16
# Endpoints ranked and tried first; all are ranked only if none of these is free.
SHORTLIST_SIZE = 8


class EndpointPool:
    """Immutable set of endpoints that serve the same requests.

    Parameters
    ----------
    endpoints : iterable of Endpoint
        Endpoints with distinct names.
    """

    def __init__(self, endpoints: Iterable[Endpoint]) -> None:
        self.by_name = {endpoint.name: endpoint for endpoint in endpoints}
        self._subpools: dict[frozenset[str], EndpointPool] = {}
        self._last_ranked: tuple[str, int, list[str]] = ("", 0, [])

    def __len__(self) -> int:
        return len(self.by_name)

    def rank(self, key: str, count: int) -> list[str]:
        """Return the first `count` names in rendezvous order of `key`."""
        # Endpoint selection and the search for a copy source ask for the same ranking
        # in succession.
        last_key, last_count, ranked = self._last_ranked
        if (last_key, last_count) != (key, count):
            ranked = hashing.order_members(key, self._members, count)
            self._last_ranked = (key, count, ranked)
        return list(ranked)

    def select_zone(self, zone: str) -> "EndpointPool":
        """Return the endpoints of one availability zone."""
        return self._zones.get(zone, _EMPTY_POOL)

    def exclude(self, names: Collection[str]) -> "EndpointPool":
        """Return the pool without some endpoints.

        Subpools are cached, since many requests exclude the same endpoints: those of a
        zone that is cut off, for seconds.
        """
        excluded = frozenset(name for name in names if name in self.by_name)
        if not excluded:
            return self
        subpool = self._subpools.get(excluded)
        if subpool is None:
            if len(self._subpools) >= SUBPOOLS_MAX:
                self._subpools.clear()
            remaining = [e for name, e in self.by_name.items() if name not in excluded]
            subpool = self._subpools[excluded] = EndpointPool(remaining)
        return subpool

    @cached_property
    def slots(self) -> int:
        """Requests that all endpoints process concurrently."""
        return sum(endpoint.slots for endpoint in self.by_name.values())

    @cached_property
    def _members(self) -> hashing.HashedMembers:
        return hashing.hash_members(self.by_name)

    @cached_property
    def _zones(self) -> dict[str, "EndpointPool"]:
        found: dict[str, list[Endpoint]] = {}
        for endpoint in self.by_name.values():
            found.setdefault(endpoint.zone, []).append(endpoint)
        return {zone: EndpointPool(endpoints) for zone, endpoints in found.items()}


_EMPTY_POOL = EndpointPool(())


def make_pool(endpoints: Sequence[Endpoint] | EndpointPool) -> EndpointPool:
    """Return a pool of the live endpoints; a pool is returned unchanged."""
    if isinstance(endpoints, EndpointPool):
        return endpoints
    return EndpointPool(e for e in endpoints if e.state == "live")
