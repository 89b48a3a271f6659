"""Which endpoints a router reaches through other routers, and through which of them.

Load pattern: some routers lose their links to all endpoints of a service, or to most,
while clients and the other routers still reach them.  Clients keep their connections,
and a balancer that finds most of a zone unready goes on using all of it, so a router
that only refuses leaves its clients unserved for as long as the cut lasts.

So it asks a few other routers which of these endpoints they reach, and sends single
attempts through them.  It makes all decisions about a request itself, so that attempts,
deadlines and the retry budget are counted in one place; the other router only forwards
the attempt over its own link, and never to a third one.

A few routers of each zone are asked, other ones by each router, so that a cut of half
of a large fleet doesn't make a few routers carry the rest.  An endpoint is used through
a router that said it reaches it, until an attempt shows otherwise.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from tamarackrill.decisions import hashing

# Routers of each zone that are asked at the same time: one may be cut off itself.
ROUTERS_PER_ZONE = 2
# Share of the endpoints of a service that is out of reach when others are asked.  With
# fewer missing, the rest serves its callers, and a crashed endpoint costs no messages.
MISSING_SHARE_MIN = 0.5
# Endpoints to which a router looks for paths, over all services, and the least number
# of each.  Each costs the routers that are asked a probe, and a router serves some tens
# of requests per second, which few endpoints can bear.
WANTED_MAX = 64
WANTED_PER_SERVICE_MIN = 2
# Time between two questions to one router about endpoints that it didn't reach.
QUESTION_INTERVAL_S = 0.5
# How long a router that didn't answer, or reaches nothing, is not asked again.
ROUTER_PAUSE_S = 1.0


class RelayRouter(NamedTuple):
    """A live router that may forward attempts."""

    name: str
    zone: str


class Question(NamedTuple):
    """Endpoints about which a router is to be asked."""

    router: str
    endpoints: tuple[str, ...]


class _Asked(NamedTuple):
    """When a router was last asked, and about which endpoints."""

    at_s: float
    endpoints: frozenset[str]


_NEVER_ASKED = _Asked(-math.inf, frozenset())


def choose_wanted(
    router: str, pools: Sequence[Collection[str]], unreachable: Collection[str]
) -> set[str]:
    """Return the unreachable endpoints to which a router looks for other paths.

    Parameters
    ----------
    router : str
        Name of the router; each one chooses other endpoints if there are many.
    pools : sequence of collection of str
        Names of the live endpoints of each service.
    unreachable : collection of str
        Names of the endpoints that the router can't reach.
    """
    most = max(WANTED_PER_SERVICE_MIN, WANTED_MAX // max(1, len(pools)))
    found: set[str] = set()
    for pool in pools:
        missing = [name for name in pool if name in unreachable]
        if missing and len(missing) >= MISSING_SHARE_MIN * len(pool):
            found.update(hashing.rendezvous_order(router, missing, most))
    return found


class RelayPaths:
    """Paths of one router to endpoints through other routers.

    Parameters
    ----------
    own : RelayRouter
        This router.
    """

    def __init__(self, own: RelayRouter) -> None:
        self._own = own
        self._zones: dict[str, str] = {}
        # Routers that reach each endpoint, in the order in which they said so.
        self._paths: dict[str, dict[str, None]] = {}
        self._wanted: frozenset[str] = frozenset()
        self._asked: dict[str, _Asked] = {}
        self._paused_until_s: dict[str, float] = {}
        # Routers whose last question got no answer.
        self._unanswered: set[str] = set()

    @property
    def wanted(self) -> frozenset[str]:
        """Endpoints that need another path."""
        return self._wanted

    @property
    def reachable(self) -> set[str]:
        """Endpoints that some other router reaches for this one."""
        return set(self._paths)

    def observe_routers(self, routers: Iterable[RelayRouter]) -> None:
        """Set the live routers; paths through others end."""
        self._zones = {r.name: r.zone for r in routers if r.name != self._own.name}
        for name in {r for paths in self._paths.values() for r in paths}:
            if name not in self._zones:
                self._drop_router(name)
        self._unanswered &= self._zones.keys()
        for known in (self._asked, self._paused_until_s):
            for name in [name for name in known if name not in self._zones]:
                del known[name]

    def observe_wanted(self, wanted: Collection[str]) -> None:
        """Set the endpoints that need another path; paths to all others end."""
        self._wanted = frozenset(wanted)
        for name in [name for name in self._paths if name not in self._wanted]:
            del self._paths[name]

    def list_questions(
        self, now_s: float, asked: Collection[str] = ()
    ) -> list[Question]:
        """Return the questions that are due, and record that they are asked.

        Parameters
        ----------
        now_s : float
            Current time.
        asked : collection of str, optional
            Routers that have not yet answered the last question; they get no other.
        """
        questions = []
        candidates = self._list_candidates(now_s) if self._wanted else ()
        for router in candidates:
            if router in asked:
                continue
            known = {n for n, paths in self._paths.items() if router in paths}
            unknown = self._wanted - known
            last = self._asked.get(router, _NEVER_ASKED)
            is_due = now_s >= last.at_s + QUESTION_INTERVAL_S
            if unknown and (is_due or not unknown <= last.endpoints):
                self._asked[router] = _Asked(now_s, unknown)
                questions.append(Question(router, tuple(sorted(unknown))))
        return questions

    def _list_candidates(self, now_s: float) -> list[str]:
        paused = {n for n, until_s in self._paused_until_s.items() if now_s < until_s}
        if not self._paths and paused >= self._zones.keys():
            # All of them silent at once: more likely this router was late itself.
            paused = set()
        by_zone: dict[str, list[str]] = {}
        for name, zone in self._zones.items():
            if name not in paused:
                by_zone.setdefault(zone, []).append(name)
        return [
            name
            for names in by_zone.values()
            for name in hashing.rendezvous_order(
                self._own.name, sorted(names), ROUTERS_PER_ZONE
            )
        ]

    def observe_reply(
        self, router: str, reached: Iterable[str], now_s: float
    ) -> list[str]:
        """Record which endpoints a router reaches; return the newly known paths.

        Returns
        -------
        list of str
            Endpoints that are now reachable through this router.
        """
        self._unanswered.discard(router)
        if router not in self._zones:
            # It left the list of routers while it was asked.
            return []
        found = [
            name
            for name in reached
            if name in self._wanted and router not in self._paths.get(name, {})
        ]
        for name in found:
            self._paths.setdefault(name, {})[router] = None
        if not any(router in paths for paths in self._paths.values()):
            self._paused_until_s[router] = now_s + ROUTER_PAUSE_S
        return found

    def observe_unanswered(self, router: str, now_s: float) -> None:
        """Record that a question to a router got no answer.

        Only a second one in a row pauses it: after a moment in which this router itself
        was late, all its questions are unanswered.
        """
        self._asked.pop(router, None)
        if router in self._unanswered:
            self._unanswered.discard(router)
            self._paused_until_s[router] = now_s + ROUTER_PAUSE_S
        else:
            self._unanswered.add(router)

    def observe_refused(self, router: str, endpoint: str) -> None:
        """Record that a router could not forward an attempt to an endpoint."""
        paths = self._paths.get(endpoint, {})
        paths.pop(router, None)
        if not paths:
            self._paths.pop(endpoint, None)

    def observe_lost(self, router: str, now_s: float) -> None:
        """Record that a router is silent or has ended its connections."""
        self._asked.pop(router, None)
        self._paused_until_s[router] = now_s + ROUTER_PAUSE_S
        self._drop_router(router)

    def _drop_router(self, router: str) -> None:
        for endpoint in list(self._paths):
            self.observe_refused(router, endpoint)

    def choose(self, endpoint: str, endpoint_zone: str, key: str) -> str | None:
        """Return the router through which to send an attempt; None if there is none.

        A router in this router's zone or in the endpoint's adds no traffic between
        zones, so one of these is chosen if there is any.

        Parameters
        ----------
        endpoint, endpoint_zone : str
            The endpoint and its availability zone.
        key : str
            Identifies the request; spreads requests over the routers.
        """
        routers = sorted(self._paths.get(endpoint, ()))
        near = [r for r in routers if self._zones[r] in (self._own.zone, endpoint_zone)]
        ranked = hashing.rendezvous_order(key, near or routers, 1)
        return ranked[0] if ranked else None

    def count_endpoints(self) -> Mapping[str, int]:
        """Return the number of endpoints reachable through each router, for metrics."""
        counts: dict[str, int] = {}
        for paths in self._paths.values():
            for router in paths:
                counts[router] = counts.get(router, 0) + 1
        return counts
