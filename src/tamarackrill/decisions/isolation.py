"""When a router asks the balancer to send its clients to other zones.

Load pattern: an availability zone, or one router's VM, is cut off from the others while
its clients still reach it.  Where all endpoints of a service stand behind the cut, each
request for that service can only be refused, for as long as the cut lasts, though the
routers of other zones could serve it.  A balancer that finds no router of a zone ready
sends the zone's new connections to the next zones.

So a router that is cut off from all that is outside its zone, and knows no endpoint
that it can reach for some service, is not ready.  Both are asked: a service all of
whose endpoints have ended is out of reach for every router, and were they all to go
unready for it, nobody would serve the other services, nor tell clients when to come
back.  So some routers of the other zones are asked as well, as witnesses: one that
answers tells that there is no cut.  A cut zone that has an endpoint of each service
goes on by itself.
"""

from collections.abc import Collection, Iterable, Sequence

from tamarackrill.contracts import Endpoint

# A balancer asks once a second and takes a router out after two misses; for so long
# after it has become unready, clients that come back may still be sent here.
BALANCER_DETECTION_S = 2.2
# A single endpoint that can't be reached tells nothing of the path to its zone.
OUTSIDE_MIN = 2
# Routers of each other zone that are asked: one of them may be restarting.
WITNESSES_PER_ZONE = 2


def is_isolated(
    zone: str,
    pools: Iterable[Sequence[Endpoint]],
    witnesses: Iterable[Endpoint],
    unreachable: Collection[str],
) -> bool:
    """Return whether a router is cut off from what its clients ask for.

    Parameters
    ----------
    zone : str
        Availability zone of the router.
    pools : iterable of sequence of Endpoint
        Live endpoints of each service.
    witnesses : iterable of Endpoint
        Routers of other zones.
    unreachable : collection of str
        Names of those that can't be reached.
    """
    known = [pool for pool in pools if pool]
    outside = {e.name for pool in known for e in pool if e.zone != zone}
    outside.update(witness.name for witness in witnesses)
    if len(outside) < OUTSIDE_MIN or not outside.issubset(unreachable):
        return False
    return any(all(e.name in unreachable for e in pool) for pool in known)


def choose_witnesses(zone: str, routers: Iterable[Endpoint]) -> list[Endpoint]:
    """Return the routers to be asked, some of each zone but `zone`."""
    chosen: dict[str, list[Endpoint]] = {}
    for router in sorted(routers):
        found = chosen.setdefault(router.zone, [])
        if router.zone != zone and len(found) < WITNESSES_PER_ZONE:
            found.append(router)
    return [router for found in chosen.values() for router in found]


class Isolation:
    """Since when one router is cut off.

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
        """Whether clients are to be sent elsewhere."""
        return self._since_s is not None

    def observe(
        self,
        pools: Iterable[Sequence[Endpoint]],
        witnesses: Iterable[Endpoint],
        unreachable: Collection[str],
        now_s: float,
    ) -> bool:
        """Take what can be reached now; return whether that is a change."""
        before = self.is_cut_off
        if not is_isolated(self._zone, pools, witnesses, unreachable):
            self._since_s = None
        elif self._since_s is None:
            self._since_s = now_s
        return self.is_cut_off != before

    def compute_failover_s(self, now_s: float) -> float | None:
        """Return in what time clients reach other zones; None if they stay here."""
        if self._since_s is None:
            return None
        return max(0.0, self._since_s + BALANCER_DETECTION_S - now_s)
