"""Which endpoints this router can reach, from its own connections.

Load pattern: an availability zone is cut off, or an endpoint's VM goes dark.  Nothing
refuses a connection then; each one hangs until its timeout.  If every request found
that out for itself, each one sent across the cut would lose the timeout, and a client
of the cut zone would be refused after trying the far ends of three other zones.

So a connection that was not made marks its endpoint, which is then tried after all
others.  Whether the path is back is asked by a connection of the router's own, after a
pause that doubles, so that no request pays for the question.  And since a dark endpoint
is seldom alone, some more of its zone are asked at once: two rounds find a cut zone.
"""

from collections.abc import Iterable, Sequence
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from tamarackrill.contracts import Endpoint

# The first pause: a path that is back is used again within half a second.
PAUSE_MIN_S = 0.4
# Paths are cut for seconds to minutes.  Asking costs a connection each time, and a path
# that is back is of use at once: it may be the only one left.
PAUSE_MAX_S = 0.8
# Endpoints of the zone that are asked when one has failed: each that fails as well has
# as many asked again, so that a hundred are known after four rounds.
SAME_ZONE_PROBES_MAX = 3


class _Mark(NamedTuple):
    ask_s: float
    pause_s: float


class Reachability:
    """Paths of one router that failed."""

    def __init__(self) -> None:
        self._marks: dict[str, _Mark] = {}

    def observe_failure(self, endpoint: Endpoint, now_s: float) -> bool:
        """Take that no connection to an endpoint could be made, or that it died.

        Returns
        -------
        bool
            Whether that is news: it was taken to be reachable.
        """
        known = self._marks.get(endpoint.name)
        if known is None:
            self._marks[endpoint.name] = _Mark(now_s + PAUSE_MIN_S, PAUSE_MIN_S)
            return True
        # Many requests may wait for one endpoint; their failures are one.
        if now_s >= known.ask_s - known.pause_s / 2:
            pause_s = min(PAUSE_MAX_S, 2 * known.pause_s)
            self._marks[endpoint.name] = _Mark(now_s + pause_s, pause_s)
        return False

    def observe_answer(self, endpoint: Endpoint) -> bool:
        """Take that an endpoint has answered; return whether that is news."""
        return self._marks.pop(endpoint.name, None) is not None

    def remove(self, name: str) -> None:
        """Forget an endpoint; its path is tried like that of a new one."""
        self._marks.pop(name, None)

    def retain(self, names: Iterable[str]) -> None:
        """Forget endpoints that are not among `names`."""
        kept = set(names)
        for name in [name for name in self._marks if name not in kept]:
            del self._marks[name]

    def find_unreachable(self, endpoints: Sequence[Endpoint]) -> set[str]:
        """Return the names of those that are to be tried after all others."""
        return {e.name for e in endpoints if e.name in self._marks}

    @property
    def unreachable(self) -> AbstractSet[str]:
        """Names of all that are to be tried after all others."""
        return self._marks.keys()

    def list_due(self, endpoints: Sequence[Endpoint], now_s: float) -> list[Endpoint]:
        """Return the marked endpoints that are to be asked now."""
        return [
            endpoint
            for endpoint in endpoints
            if (mark := self._marks.get(endpoint.name)) and mark.ask_s <= now_s
        ]

    def list_same_zone(
        self, failed: Endpoint, endpoints: Sequence[Endpoint]
    ) -> list[Endpoint]:
        """Return endpoints near one that has failed, which may have failed too."""
        near = [
            endpoint
            for endpoint in endpoints
            if endpoint.zone == failed.zone and endpoint.name not in self._marks
        ]
        return near[:SAME_ZONE_PROBES_MAX]

    def list_other_zones(
        self, failed: Endpoint, endpoints: Sequence[Endpoint]
    ) -> list[Endpoint]:
        """Return an endpoint of each other zone than that of one that has failed.

        It may be this router's own zone that is cut off.
        """
        first: dict[str, Endpoint] = {}
        for endpoint in endpoints:
            if endpoint.zone != failed.zone and endpoint.name not in self._marks:
                first.setdefault(endpoint.zone, endpoint)
        return list(first.values())
