"""Reachability of endpoints, from the connections of this router.

Load pattern: an availability zone is cut off, or an endpoint's VM goes down.
Connections are then not refused but hang until their timeout.  Without shared state
each request sent across the cut would lose that timeout, and a client of the cut zone
would be refused after trying endpoints of three other zones.

So an endpoint to which a connection failed is tried after all others.  The router
probes the path by connections of its own, with exponential backoff, so that no request
waits for that.  As an unreachable endpoint is seldom alone, more endpoints of its zone
are probed at once: two rounds detect a cut zone.
"""

from collections.abc import Iterable, Sequence
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from tamarackrill.contracts import Endpoint

# Initial backoff: a path that recovers is used again within half a second.
PAUSE_MIN_S = 0.4
# Longest backoff.  Paths are cut for seconds to minutes; a probe costs a connection,
# but a path that has recovered may be the only one left.
PAUSE_MAX_S = 0.8
# Endpoints of a zone that are probed when one of it has failed.  Each that fails too
# triggers as many, so that a hundred are known after four rounds.
SAME_ZONE_PROBES_MAX = 3
# How long an answer shows that an endpoint is reachable, if other routers ask: about as
# long as a router takes to find out that its links are cut.
ANSWER_VALID_S = 1.0


class _Backoff(NamedTuple):
    probe_s: float
    pause_s: float


class Reachability:
    """Endpoints that one router can't reach, and when to probe them again."""

    def __init__(self) -> None:
        self._backoffs: dict[str, _Backoff] = {}
        self._answered_s: dict[str, float] = {}

    def observe_failure(self, endpoint: Endpoint, now_s: float) -> bool:
        """Record that a connection to an endpoint failed or was lost.

        Returns
        -------
        bool
            Whether the endpoint was considered reachable before.
        """
        self._answered_s.pop(endpoint.name, None)
        known = self._backoffs.get(endpoint.name)
        if known is None:
            self._backoffs[endpoint.name] = _Backoff(now_s + PAUSE_MIN_S, PAUSE_MIN_S)
            return True
        # Requests that wait for one endpoint fail together; count that once.
        if now_s >= known.probe_s - known.pause_s / 2:
            pause_s = min(PAUSE_MAX_S, 2 * known.pause_s)
            self._backoffs[endpoint.name] = _Backoff(now_s + pause_s, pause_s)
        return False

    def observe_answer(self, endpoint: Endpoint) -> bool:
        """Record an answer; return whether the endpoint was unreachable before."""
        return self._backoffs.pop(endpoint.name, None) is not None

    def record_answer_time(self, endpoint: str, now_s: float) -> None:
        """Record when an endpoint last answered."""
        self._answered_s[endpoint] = now_s

    def has_answered(self, endpoint: str, now_s: float) -> bool:
        """Return whether an endpoint has answered recently."""
        answered_s = self._answered_s.get(endpoint)
        return answered_s is not None and now_s <= answered_s + ANSWER_VALID_S

    def remove(self, name: str) -> None:
        """Forget an endpoint; it counts as reachable again."""
        self._backoffs.pop(name, None)
        self._answered_s.pop(name, None)

    def retain(self, names: Iterable[str]) -> None:
        """Forget endpoints that are not among `names`."""
        kept = set(names)
        for known in (self._backoffs, self._answered_s):
            for name in [name for name in known if name not in kept]:
                del known[name]

    def find_unreachable(self, endpoints: Sequence[Endpoint]) -> set[str]:
        """Return the names of the unreachable ones among `endpoints`."""
        return {e.name for e in endpoints if e.name in self._backoffs}

    @property
    def unreachable(self) -> AbstractSet[str]:
        """Names of all unreachable endpoints, which are tried after all others."""
        return self._backoffs.keys()

    def list_due(self, endpoints: Sequence[Endpoint], now_s: float) -> list[Endpoint]:
        """Return the unreachable endpoints that are due for a probe."""
        return [
            endpoint
            for endpoint in endpoints
            if (backoff := self._backoffs.get(endpoint.name))
            and backoff.probe_s <= now_s
        ]

    def list_same_zone(
        self, failed: Endpoint, endpoints: Sequence[Endpoint]
    ) -> list[Endpoint]:
        """Return endpoints of the zone of a failed one, which may have failed too."""
        same_zone = [
            endpoint
            for endpoint in endpoints
            if endpoint.zone == failed.zone and endpoint.name not in self._backoffs
        ]
        return same_zone[:SAME_ZONE_PROBES_MAX]

    def list_other_zones(
        self, failed: Endpoint, endpoints: Sequence[Endpoint]
    ) -> list[Endpoint]:
        """Return one endpoint of each zone but that of a failed one.

        This router's own zone may be the one that is cut off.
        """
        first: dict[str, Endpoint] = {}
        for endpoint in endpoints:
            if endpoint.zone != failed.zone and endpoint.name not in self._backoffs:
                first.setdefault(endpoint.zone, endpoint)
        return list(first.values())
