"""The endpoints that may take the same requests, with what placements ask of them.

Load pattern: hundreds or thousands of endpoints serve one model, and each request has
to find one of them.  Going through all of them for each request takes milliseconds of a
router's processor, and delays every answer behind it.  So what can be worked out once
for each change of the endpoints is kept here.
"""

from collections.abc import Collection, Iterable, Sequence
from functools import cached_property

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import hashing

# Smaller pools kept by one pool: those of the endpoints that can't be reached now, with
# and without the few that single requests have to avoid.
NARROWED_KEPT = 16
# Endpoints that are looked at in order of preference before all are ranked.
RANK_SHORT = 8


class EndpointPool:
    """Endpoints that serve the same; never changed once made.

    Parameters
    ----------
    endpoints : iterable of Endpoint
        Each once.
    """

    def __init__(self, endpoints: Iterable[Endpoint]) -> None:
        self.by_name = {endpoint.name: endpoint for endpoint in endpoints}
        self._narrowed: dict[frozenset[str], EndpointPool] = {}
        self._last_ranked: tuple[str, int, list[str]] = ("", 0, [])

    def __len__(self) -> int:
        return len(self.by_name)

    def rank(self, key: str, count: int) -> list[str]:
        """Return the names that `key` prefers, best first; see `hashing`."""
        # Placement and the search for an engine to copy from ask the same in turn.
        last_key, last_count, ranked = self._last_ranked
        if (last_key, last_count) != (key, count):
            ranked = hashing.order_members(key, self._members, count)
            self._last_ranked = (key, count, ranked)
        return list(ranked)

    def select_zone(self, zone: str) -> "EndpointPool":
        """Return the endpoints of one availability zone."""
        return self._zones.get(zone, _EMPTY)

    def leave_out(self, names: Collection[str]) -> "EndpointPool":
        """Return the pool without some endpoints.

        The same ones are left out for many requests, those of a zone that is cut off
        for seconds, so that the smaller pools are kept.
        """
        barred = frozenset(name for name in names if name in self.by_name)
        if not barred:
            return self
        narrowed = self._narrowed.get(barred)
        if narrowed is None:
            if len(self._narrowed) >= NARROWED_KEPT:
                self._narrowed.clear()
            left = [e for name, e in self.by_name.items() if name not in barred]
            narrowed = self._narrowed[barred] = EndpointPool(left)
        return narrowed

    @cached_property
    def _members(self) -> hashing.HashedMembers:
        return hashing.hash_members(self.by_name)

    @cached_property
    def _zones(self) -> dict[str, "EndpointPool"]:
        found: dict[str, list[Endpoint]] = {}
        for endpoint in self.by_name.values():
            found.setdefault(endpoint.zone, []).append(endpoint)
        return {zone: EndpointPool(endpoints) for zone, endpoints in found.items()}


_EMPTY = EndpointPool(())


def make_pool(endpoints: Sequence[Endpoint] | EndpointPool) -> EndpointPool:
    """Return the live ones of some endpoints; a pool is returned as it is."""
    if isinstance(endpoints, EndpointPool):
        return endpoints
    return EndpointPool(e for e in endpoints if e.state == "live")
