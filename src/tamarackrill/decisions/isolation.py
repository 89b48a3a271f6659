"""When a router asks the balancer to send its clients to other zones.

Load pattern: an availability zone, or one router's VM, is cut off from the others while
its clients still reach it.  If all endpoints of a service are behind the cut, each
request for it has to be refused for as long as the cut lasts, though routers of other
zones could serve it.  A balancer that finds no router of a zone ready sends the zone's
new connections to the next zones.

So a router is not ready if it can reach nothing outside its zone and, for some service,
no endpoint at all.  Both conditions are needed: a service all of whose endpoints have
ended is unreachable for every router, and if all became unready for it, nobody would
serve the other services or tell clients when to retry.  For the same reason some
routers of other zones are probed as witnesses: an answer from one shows that there is
no cut.  A cut-off zone that has an endpoint of each service keeps serving.
"""

from collections.abc import Collection, Iterable, Sequence

from tamarackrill.contracts import Endpoint

# A balancer checks once a second and removes a router after two misses.  For this long
# after a router became unready, clients that retry may still be sent to it.
BALANCER_DETECTION_S = 2.2
# A single unreachable endpoint is no evidence about the path to its zone.
OUTSIDE_MIN = 2
# Routers of each other zone that are probed; one of them may be restarting.
WITNESSES_PER_ZONE = 2


def is_isolated(
    zone: str,
    pools: Iterable[Sequence[Endpoint]],
    witnesses: Iterable[Endpoint],
    unreachable: Collection[str],
) -> bool:
    """Return whether a router is cut off from a service that its clients need.

    Parameters
    ----------
    zone : str
        Availability zone of the router.
    pools : iterable of sequence of Endpoint
        Live endpoints of each service.
    witnesses : iterable of Endpoint
        Routers of other zones.
    unreachable : collection of str
        Names of the endpoints and witnesses that can't be reached.
    """
    known = [pool for pool in pools if pool]
    outside = {e.name for pool in known for e in pool if e.zone != zone}
    outside.update(witness.name for witness in witnesses)
    if len(outside) < OUTSIDE_MIN or not outside.issubset(unreachable):
        return False
    return any(all(e.name in unreachable for e in pool) for pool in known)


def choose_witnesses(zone: str, routers: Iterable[Endpoint]) -> list[Endpoint]:
    """Return the routers to probe, some of each zone but `zone`."""
    chosen: dict[str, list[Endpoint]] = {}
    for router in sorted(routers):
        found = chosen.setdefault(router.zone, [])
        if router.zone != zone and len(found) < WITNESSES_PER_ZONE:
            found.append(router)
    return [router for found in chosen.values() for router in found]


class Isolation:
    """Tracks since when one router is cut off.

    Parameters
    ----------
    zone : str
        Its availability zone.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._since_s: float | None = None

    @property
    def is_cut_off(self) -> bool:
        """Whether clients should go to other zones."""
        return self._since_s is not None

    def observe(
        self,
        pools: Iterable[Sequence[Endpoint]],
        witnesses: Iterable[Endpoint],
        unreachable: Collection[str],
        now_s: float,
    ) -> bool:
        """Record what is reachable; return whether `is_cut_off` has changed."""
        before = self.is_cut_off
        if not is_isolated(self._zone, pools, witnesses, unreachable):
            self._since_s = None
        elif self._since_s is None:
            self._since_s = now_s
        return self.is_cut_off != before

    def compute_failover_s(self, now_s: float) -> float | None:
        """Return the time until clients reach other zones, None if not cut off."""
        if self._since_s is None:
            return None
        return max(0.0, self._since_s + BALANCER_DETECTION_S - now_s)
