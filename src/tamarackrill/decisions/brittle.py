"""Keeps endpoints from falling over for the requests that they have to turn away.

Load pattern: a service says that its endpoints are brittle, then lets fewer requests
wait.  An endpoint that turns too many requests away within a second, from all routers
together, falls over for seconds, and its load makes the next one fall.  A router sees
only the rejections of its own requests, a hundredth of all in a large fleet, so no
share of the limit that it could keep by itself allows a single one.

So one router, the owner of an endpoint, counts its requests, and grants no more than it
has slots (see `reservations`): the room for waiting may be gone at any moment.  The
reservation of a request that was turned away is kept for a while, since its slot is in
use by something that the owner doesn't count; otherwise the owner would grant that slot
again at once, for one rejection after the other.

Besides, routers tell each other of each rejection.  Once the fleet has used a share of
the limit, the endpoint gets no requests for the rest of that second.  A request for
which no endpoint is left is refused, which costs its caller less than an endpoint that
is down.

What a router may send without an answer of the owner, and an owner may grant that has
just become one, is in `slot_ceilings`.
"""

import math
from collections.abc import Iterable

from tamarackrill.decisions import hashing

# How long a service counts as brittle after an answer that says so: long enough to
# bridge the gaps between the answers that routers of a large fleet tell each other of.
BRITTLE_TTL_S = 5.0
# Time between two messages to other routers that a service is brittle.
TOLD_INTERVAL_S = 1.0
# Window over which an endpoint counts the requests that it turns away, and some more
# for messages in transit.
WINDOW_S = 1.1
# Share of the limit that the fleet uses.  The rest is left for requests that are in
# flight while routers tell each other.
LIMIT_SHARE = 0.5
# Pause after each rejection, in which a slot becomes free, and its jitter by router, so
# that not all routers try the endpoint again at the same moment.
PAUSE_S = 0.02
PAUSE_JITTER_S = 0.03
# How long a slot stays reserved after its request was turned away.
REJECTED_HOLD_S = 1.0
# Owners asked for one request: each refusal takes a round trip.
RESERVATION_ATTEMPTS_MAX = 4
# How long a silent owner is not asked again.
OWNER_PAUSE_S = 1.0


class BrittleServices:
    """Brittle services, and the rejections of their endpoints, as one router knows.

    Parameters
    ----------
    router : str
        Name of this router.
    """

    def __init__(self, router: str) -> None:
        self._router = router
        self._until_s: dict[str, float] = {}
        self._told_s: dict[str, float] = {}
        # Times and numbers of rejections by endpoint.
        self._rejections: dict[str, list[tuple[float, int]]] = {}
        self._endpoint_limits: dict[str, int] = {}
        self._service_limits: dict[str, int] = {}

    def observe(
        self, services: Iterable[str], endpoint: str, limit: int, now_s: float
    ) -> list[str]:
        """Record that an endpoint says that it is brittle.

        Parameters
        ----------
        services : iterable of str
            Services of the endpoint.
        endpoint : str
            Name of the endpoint.
        limit : int
            Requests that it may turn away per second.
        now_s : float
            Current time.

        Returns
        -------
        list of str
            Services that were not known to be brittle.
        """
        new = [name for name in services if not self.is_brittle(name, now_s)]
        for name in services:
            self._until_s[name] = now_s + BRITTLE_TTL_S
            self._service_limits[name] = limit
        self._endpoint_limits[endpoint] = limit
        return new

    def list_services(self, now_s: float) -> tuple[tuple[str, int], ...]:
        """Return the brittle services, and the limits of their endpoints."""
        return tuple(
            (name, limit)
            for name, limit in self._service_limits.items()
            if self.is_brittle(name, now_s)
        )

    def observe_service(self, service: str, limit: int, now_s: float) -> None:
        """Record that another router knows a service to be brittle."""
        self._until_s[service] = now_s + BRITTLE_TTL_S
        self._service_limits.setdefault(service, limit)

    def is_brittle(self, service: str, now_s: float) -> bool:
        """Return whether the endpoints of a service are brittle."""
        return now_s < self._until_s.get(service, -math.inf)

    def find_limit(self, endpoint: str, services: Iterable[str]) -> int:
        """Return how many requests an endpoint may turn away per second.

        An endpoint that hasn't said so yet has the limit of another one of a service.
        """
        limits = [self._service_limits.get(name, 0) for name in services]
        return self._endpoint_limits.get(endpoint, min(limits, default=0))

    def must_tell(self, service: str, now_s: float) -> bool:
        """Return whether to tell other routers of a service, and record that."""
        if now_s < self._told_s.get(service, -math.inf) + TOLD_INTERVAL_S:
            return False
        self._told_s[service] = now_s
        return True

    def observe_rejected(self, endpoint: str, count: int, now_s: float) -> None:
        """Record that an endpoint has turned requests away."""
        known = self._list_recent(endpoint, now_s)
        self._rejections[endpoint] = [*known, (now_s, count)]

    def find_closed(self, now_s: float) -> set[str]:
        """Return the endpoints that get no requests now."""
        return {
            name
            for name in list(self._rejections)
            if self.compute_closed_s(name, now_s) > 0.0
        }

    def compute_closed_s(self, endpoint: str, now_s: float) -> float:
        """Return how long until an endpoint gets requests again, 0 if it does now."""
        recent = self._list_recent(endpoint, now_s)
        if not recent:
            self._rejections.pop(endpoint, None)
            return 0.0
        jitter = hashing.hash_name(f"{self._router} {endpoint}") % 1000 / 1000
        open_s = recent[-1][0] + PAUSE_S + jitter * PAUSE_JITTER_S
        limit = max(1, int(LIMIT_SHARE * self._endpoint_limits.get(endpoint, 0)))
        left = sum(count for _, count in recent)
        for at_s, count in recent:
            if left < limit:
                break
            left -= count
            open_s = max(open_s, at_s + WINDOW_S + jitter * PAUSE_JITTER_S)
        return max(0.0, open_s - now_s)

    def _list_recent(self, endpoint: str, now_s: float) -> list[tuple[float, int]]:
        oldest_s = now_s - WINDOW_S - PAUSE_JITTER_S
        known = self._rejections.get(endpoint, [])
        return [item for item in known if item[0] > oldest_s]

    def retain(self, endpoints: Iterable[str]) -> None:
        """Forget endpoints that are not among `endpoints`."""
        kept = set(endpoints)
        for known in (self._rejections, self._endpoint_limits):
            for name in [name for name in known if name not in kept]:
                del known[name]
