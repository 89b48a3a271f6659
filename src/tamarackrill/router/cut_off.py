"""Detects that this router is cut off from a service, for its readiness check."""

from collections.abc import Callable

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.isolation import Isolation, choose_witnesses
from tamarackrill.events import (
    ROUTER_CUT_OFF,
    ROUTER_REJOINED,
    SERVICE_REACHED,
    SERVICE_UNREACHED,
    log_event,
)
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_placing import EdgePlacer
from tamarackrill.router.members import Members


class CutOffMonitor:
    """Tracks whether this router is cut off; see `decisions.isolation`.

    Parameters
    ----------
    zone : str
        Availability zone of this router.
    view : DeploymentView
        Current services and endpoints.
    placer : EdgePlacer
        Records which endpoints are unreachable.
    members : Members
        Live routers; those of other zones are witnesses.
    clock : callable
        Returns the current time.

    Attributes
    ----------
    unreached_services : set of str
        Services of which this router can reach no endpoint.
    """

    def __init__(
        self,
        zone: str,
        view: DeploymentView,
        placer: EdgePlacer,
        members: Members,
        clock: Callable[[], float],
    ) -> None:
        self._zone = zone
        self._view = view
        self._placer = placer
        self._members = members
        self._clock = clock
        self._isolation = Isolation(zone)
        self.unreached_services: set[str] = set()

    @property
    def is_cut_off(self) -> bool:
        """Whether the router is cut off from a service and from the other zones."""
        return self._isolation.is_cut_off

    def compute_failover_s(self) -> float | None:
        """Return the time until clients reach other zones, None if not cut off."""
        return self._isolation.compute_failover_s(self._clock())

    def list_witnesses(self) -> list[Endpoint]:
        """Return the routers of other zones that are probed to confirm a cut."""
        routers = [
            Endpoint(f"router {m.name}", "service", (), m.peer_address, m.zone)
            for m in self._members.list_live()
        ]
        return choose_witnesses(self._zone, routers)

    def update(self) -> bool:
        """Update `is_cut_off`; return whether it has changed."""
        table = self._view.routes
        reach = self._placer.reach
        # Skipped if nothing is unreachable: this runs four times a second, over
        # thousands of endpoints in a large deployment.
        if table is None or not (reach.unreachable or self.is_cut_off):
            return False
        pools = [self._view.list_live(name) for name in table.services]
        witnesses = self.list_witnesses()
        known = [*self._view.list_endpoints(), *witnesses]
        unreachable = reach.find_unreachable(known)
        if not self._isolation.observe(pools, witnesses, unreachable, self._clock()):
            return False
        event = ROUTER_CUT_OFF if self.is_cut_off else ROUTER_REJOINED
        log_event(event, zone=self._zone, unreached=len(unreachable))
        return True

    def update_services(self, probes_failed: int) -> None:
        """Update `unreached_services`, and log each change.

        Parameters
        ----------
        probes_failed : int
            Failed probes of endpoints so far.
        """
        unreachable = self._placer.reach.unreachable
        if not (unreachable or self.unreached_services):
            return
        pools = self._view.list_pools()
        unreached = {
            name
            for name, pool in pools.items()
            if len(pool) and pool.by_name.keys() <= unreachable
        }
        for name in sorted(unreached ^ self.unreached_services):
            log_event(
                SERVICE_UNREACHED if name in unreached else SERVICE_REACHED,
                service=name,
                endpoints=len(pools.get(name, ())),
                probes_failed=probes_failed,
            )
        self.unreached_services = unreached
