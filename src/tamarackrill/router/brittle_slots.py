"""Reserves slots of brittle endpoints at the routers that own these."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Sequence

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import hashing
from tamarackrill.decisions.brittle import OWNER_PAUSE_S, REJECTED_HOLD_S
from tamarackrill.decisions.leaving import FleetNews
from tamarackrill.decisions.retry_shares import FleetSize
from tamarackrill.decisions.slot_ceilings import (
    ROUTER_RETENTION_S,
    GrantedRequests,
    SlotCeilings,
    SlotTerms,
    Tenures,
)
from tamarackrill.events import BRITTLE_REJECTION, log_event
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_calls import EdgeCall
from tamarackrill.router.edge_placing import EdgePlacement, EdgePlacer
from tamarackrill.router.members import Members
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.owners import UNCOUNTED, Owners, Ticket

# Ticket of a request that this router counts itself because the owner is silent.
_UNRESERVED = Ticket("", 1)
# Longest time to wait for an owner that answers late, as over a loaded link.
OWNER_TIMEOUT_MAX_S = 0.4
# Ranking 370 routers for each of 780 endpoints takes too long for each housekeeping.
OBSERVE_EVERY_S = 1.0


def choose_owner(endpoint: Endpoint, pool_size: int, routers: Sequence[str]) -> str:
    """Return the owner of an endpoint, another router for each endpoint of a pool."""
    return hashing.rendezvous_order(f"brittle/{endpoint.name}", routers, 1)[0]


class BrittleSlots:
    """Reservations of this router's requests at brittle endpoints.

    Parameters
    ----------
    view : DeploymentView
        Current endpoints.
    placer : EdgePlacer
        Knows which services are brittle, and what their endpoints have turned away.
    members : Members
        Live routers, including this one.
    send : callable
        Sends a datagram to a peer address.
    peer_keys : tuple of str
        The first key signs; all of them verify.
    metrics : Metrics
        Receives the counts of reservations by outcome.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        view: DeploymentView,
        placer: EdgePlacer,
        members: Members,
        send: Callable[[str, bytes], None],
        peer_keys: tuple[str, ...],
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._placer = placer
        self._members = members
        self._metrics = metrics
        self._clock = clock
        self._observed_s = -math.inf
        self._fleet_size = FleetSize(ROUTER_RETENTION_S)
        self._ceilings = SlotCeilings(members.own.name)
        self._tenures = Tenures()
        self._granted = GrantedRequests()
        # Requests in flight that no owner has granted.
        self._unreserved: Counter[str] = Counter()
        self._paused_until_s: dict[str, float] = {}
        self.owners = Owners(
            members,
            1.0,
            view.list_endpoints,
            send,
            peer_keys,
            clock,
            choose_owner,
            self._may_grant,
            OWNER_TIMEOUT_MAX_S,
        )
        self.owners.on_served = self._observe_served
        self.owners.on_late_answer = self._end_pause
        self.handle_datagram = self.owners.handle_datagram

    def update(self) -> None:
        """End what has expired, and tell owners; call a few times per second."""
        self.owners.expire()
        now_s = self._clock()
        for name in [n for n, at_s in self._paused_until_s.items() if at_s <= now_s]:
            del self._paused_until_s[name]
        self._tell_owners(now_s)
        if now_s < self._observed_s + OBSERVE_EVERY_S:
            return
        self._observed_s = now_s
        live = len(self._members.list_live())
        self._fleet_size.observe(live, now_s)
        owned = [endpoint.name for endpoint in self.owners.list_owned()]
        self._tenures.observe(owned, live >= self._fleet_size.largest, now_s)
        self._ceilings.retain([e.name for e in self._view.list_endpoints()])

    def _tell_owners(self, now_s: float) -> None:
        """Tell owners of the requests at their endpoints that they haven't granted."""
        for endpoint in self._view.list_endpoints():
            name = endpoint.name
            in_flight = self._placer.placement.loads.own(name)
            if not in_flight or not self._is_brittle(endpoint, now_s):
                continue
            owner = self.owners.find_owner(endpoint).name
            session = self.owners.find_session(owner)
            count = self._granted.count_untold(name, owner, session, in_flight)
            if owner == self._members.own.name:
                self.owners.told.observe(owner, name, count, now_s)
            elif count:
                self.owners.tell(owner, name, count)

    def _is_brittle(self, endpoint: Endpoint, now_s: float) -> bool:
        is_brittle = self._placer.brittle.is_brittle
        return any(is_brittle(service, now_s) for service in endpoint.serves)

    def count_fleet(self) -> int:
        """Return how many routers may be sending requests to the endpoints."""
        return max(self._fleet_size.largest, len(self._members.list_live()))

    def observe_news(self, news: FleetNews) -> None:
        """Apply what another router knows of brittle services and of the fleet."""
        now_s = self._clock()
        for service, limit in news.brittle:
            self._placer.brittle.observe_service(service, limit, now_s)
        self._fleet_size.observe(news.routers, now_s)

    def must_reserve(self, call: EdgeCall) -> bool:
        """Return whether the endpoints that serve a request are brittle."""
        return self._placer.brittle.is_brittle(call.service, self._clock())

    async def reserve(
        self, call: EdgeCall, placed: EdgePlacement
    ) -> EdgePlacement | None:
        """Return the placement with its reservation; None if it must not be used."""
        name, now_s = placed.endpoint.name, self._clock()
        owner = self.owners.find_owner(placed.endpoint).name
        if owner in self._paused_until_s:
            return self._use_unreserved(placed)
        reply, ticket = await self.owners.reserve(
            placed.endpoint,
            max(0.0, call.deadline_s - now_s) + REJECTED_HOLD_S,
            is_last=True,
        )
        if reply is None:
            self._paused_until_s[owner] = self._clock() + OWNER_PAUSE_S
            return self._use_unreserved(placed)
        self._metrics.count("slots", "granted" if reply.is_granted else "refused")
        if not reply.is_granted:
            return None
        self._granted.start(name, ticket.owner, ticket.session)
        return placed._replace(ticket=ticket)

    def _use_unreserved(self, placed: EdgePlacement) -> EdgePlacement | None:
        """Use a slot for which this router itself has evidence."""
        endpoint, now_s = placed.endpoint, self._clock()
        terms = self._make_terms(endpoint, 1, is_established=False)
        in_use = self._unreserved[endpoint.name]
        may_send = self._ceilings.may_start(endpoint.name, in_use, terms, now_s)
        self._metrics.count("slots", "unreserved" if may_send else "owner_silent")
        if not may_send:
            return None
        self._unreserved[endpoint.name] += 1
        return placed._replace(ticket=_UNRESERVED)

    def _make_terms(
        self, endpoint: Endpoint, routers: int, is_established: bool
    ) -> SlotTerms:
        known = max(self.count_fleet(), routers)
        rejections_max = self._placer.brittle.find_limit(endpoint.name, endpoint.serves)
        share = routers / known
        return SlotTerms(endpoint.slots, rejections_max, share, is_established)

    def _may_grant(self, endpoint: Endpoint, load: int, now_s: float) -> bool:
        """Return whether this router may grant a request as the owner."""
        own = self._members.own.name
        if self.owners.find_owner(endpoint).name != own:
            return False
        in_use = load + self.owners.told.count(endpoint.name, now_s)
        live = len(self._members.list_live())
        is_established = self._tenures.is_established(endpoint.name)
        terms = self._make_terms(endpoint, live, is_established)
        return self._ceilings.may_start(endpoint.name, in_use, terms, now_s)

    def _observe_served(self, name: str) -> None:
        self._ceilings.observe_served(name, self._clock())

    def _end_pause(self, owner: str) -> None:
        self._paused_until_s.pop(owner, None)

    def finish(self, placed: EdgePlacement, is_rejected: bool, is_served: bool) -> None:
        """End the reservation of a placement, later if its request was turned away.

        Parameters
        ----------
        placed : EdgePlacement
            The placement.
        is_rejected : bool
            Whether the endpoint has turned the request away.
        is_served : bool
            Whether it had accepted it; neither if it wasn't reached.
        """
        ticket = placed.ticket
        if is_rejected:
            self._record_rejected(placed)
        if ticket == UNCOUNTED:
            return
        if ticket.owner:
            self._granted.finish(placed.endpoint.name, ticket.owner, ticket.session)
        if is_rejected:
            asyncio.get_running_loop().call_later(
                REJECTED_HOLD_S, self._release, placed, False
            )
        else:
            self._release(placed, is_served)

    def _record_rejected(self, placed: EdgePlacement) -> None:
        if not self._is_brittle(placed.endpoint, self._clock()):
            return
        basis = self._find_basis(placed.ticket)
        self._metrics.count("slots_rejected", basis)
        owner = placed.ticket.owner
        log_event(
            BRITTLE_REJECTION, endpoint=placed.endpoint.name, basis=basis, owner=owner
        )

    def _find_basis(self, ticket: Ticket) -> str:
        if ticket.owner:
            return "own" if self.owners.owns(ticket) else "granted"
        return "uncounted" if ticket == UNCOUNTED else "unreserved"

    def _release(self, placed: EdgePlacement, is_served: bool) -> None:
        name, ticket = placed.endpoint.name, placed.ticket
        if ticket == _UNRESERVED:
            self._unreserved[name] -= 1
            if not self._unreserved[name]:
                del self._unreserved[name]
        is_silent = ticket.owner in self._paused_until_s
        if is_served and (ticket == _UNRESERVED or is_silent):
            # The slot stays with this router, as its owner can't grant it to another.
            self._observe_served(name)
        elif ticket != _UNRESERVED:
            self.owners.release(ticket, is_served)
