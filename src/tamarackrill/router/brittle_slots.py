"""Reserves slots of brittle endpoints at the routers that own these."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import hashing
from tamarackrill.decisions.brittle import (
    OWNER_PAUSE_S,
    REJECTED_HOLD_S,
    compute_own_limit,
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
    count_routers : callable
        Returns how many routers share the endpoints.
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
        count_routers: Callable[[], int],
    ) -> None:
        self._count_routers = count_routers
        self._unreserved: Counter[str] = Counter()
        self._placer = placer
        self._metrics = metrics
        self._clock = clock
        self._paused_until_s: dict[str, float] = {}
        self.owners = Owners(
            members, 1.0, view.list_endpoints, send, peer_keys, clock, choose_owner
        )
        self.handle_datagram = self.owners.handle_datagram

    def expire(self) -> None:
        """End expired reservations and pauses; call a few times per second."""
        self.owners.expire()
        now_s = self._clock()
        for name in [n for n, at_s in self._paused_until_s.items() if at_s <= now_s]:
            del self._paused_until_s[name]

    def must_reserve(self, call: EdgeCall) -> bool:
        """Return whether the endpoints that serve a request are brittle."""
        return self._placer.brittle.is_brittle(call.service, self._clock())

    async def reserve(
        self, call: EdgeCall, placed: EdgePlacement
    ) -> EdgePlacement | None:
        """Return the placement with its reservation; None if it must not be used."""
        name, now_s = placed.endpoint.name, self._clock()
        if now_s < self._paused_until_s.get(name, now_s):
            return self._use_unreserved(placed)
        reply, ticket = await self.owners.reserve(
            placed.endpoint,
            max(0.0, call.deadline_s - now_s) + REJECTED_HOLD_S,
            is_last=True,
        )
        if reply is None:
            self._paused_until_s[name] = self._clock() + OWNER_PAUSE_S
            return self._use_unreserved(placed)
        self._metrics.count("slots", "granted" if reply.is_granted else "refused")
        return placed._replace(ticket=ticket) if reply.is_granted else None

    def _use_unreserved(self, placed: EdgePlacement) -> EdgePlacement | None:
        endpoint = placed.endpoint
        limit = compute_own_limit(endpoint.slots, self._count_routers())
        may_send = self._unreserved[endpoint.name] < limit
        self._metrics.count("slots", "unreserved" if may_send else "owner_silent")
        if not may_send:
            return None
        self._unreserved[endpoint.name] += 1
        return placed._replace(ticket=_UNRESERVED)

    def finish(self, placed: EdgePlacement, is_rejected: bool) -> None:
        """End the reservation of a placement, later if its request was turned away."""
        if is_rejected:
            self._record_rejected(placed)
        if placed.ticket == UNCOUNTED:
            return
        if is_rejected:
            asyncio.get_running_loop().call_later(
                REJECTED_HOLD_S, self._release, placed
            )
        else:
            self._release(placed)

    def _record_rejected(self, placed: EdgePlacement) -> None:
        services, now_s = placed.endpoint.serves, self._clock()
        if not any(self._placer.brittle.is_brittle(name, now_s) for name in services):
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

    def _release(self, placed: EdgePlacement) -> None:
        name = placed.endpoint.name
        if placed.ticket == _UNRESERVED:
            self._unreserved[name] -= 1
            if not self._unreserved[name]:
                del self._unreserved[name]
        else:
            self.owners.release(placed.ticket)
