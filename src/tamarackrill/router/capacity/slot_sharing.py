"""Shares the capacity of plain services between teams, as one part of a router."""

from collections.abc import Callable, Mapping

from tamarackrill.decisions.capacity.sharing_scope import SharingScope
from tamarackrill.protocol.slot_codec import (
    SlotAnswer,
    SlotAsk,
    SlotRelease,
    decode_slot_message,
    encode_slot_message,
)
from tamarackrill.router.capacity.slot_asks import SlotAsks
from tamarackrill.router.capacity.slot_client import SlotClient
from tamarackrill.router.capacity.slot_server import SlotServer
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_placing import EdgePlacer
from tamarackrill.router.members import Members
from tamarackrill.router.metrics import Metrics


class SlotSharing:
    """Client and server of slots; docs/design/capacity-sharing.md.

    Parameters
    ----------
    scope : SharingScope
        Services whose capacity is shared.
    view : DeploymentView
        Current endpoints and services.
    placer : EdgePlacer
        Chooses endpoints, and knows which ones can't be reached.
    members : Members
        Live routers, including this one.
    send : callable
        Sends a datagram to a peer address.
    peer_keys : tuple of str
        The first key signs; all of them verify.
    metrics : Metrics
        Receives counts and gauges.
    clock : callable
        Returns the current time.

    Attributes
    ----------
    client : SlotClient
        Asks for this router's requests.
    server : SlotServer
        Allocates for other routers and this one.
    """

    def __init__(
        self,
        scope: SharingScope,
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
        self._send = send
        self._peer_keys = peer_keys
        self._clock = clock
        self.server = SlotServer(self._find_slots, view.find_endpoint, clock)
        self._asks = SlotAsks(self.server, members, send, peer_keys, clock)
        self.client = SlotClient(
            scope, self._asks, view, placer, members.own.zone, metrics, clock
        )
        metrics.add_gauge("slots_in_use", lambda: self._sum("in_use"))
        metrics.add_gauge("slots_waiting", lambda: self._sum("waiting"))

    def handle_datagram(self, datagram: bytes, source: str) -> bool:
        """Process a datagram; return whether it was about slots."""
        message = decode_slot_message(datagram, self._peer_keys)
        if isinstance(message, SlotAsk):
            self.server.ask(message, lambda answer: self._answer(source, answer))
        elif isinstance(message, SlotAnswer):
            self._asks.take_answer(message, source)
        elif isinstance(message, SlotRelease):
            self.server.release(message)
        return message is not None

    def _answer(self, address: str, answer: SlotAnswer) -> None:
        self._send(address, encode_slot_message(answer, self._peer_keys))

    def _find_slots(self, service: str, zone: str) -> Mapping[str, int]:
        pool = self._view.find_pool(service).select_zone(zone)
        slots = {name: endpoint.slots for name, endpoint in pool.by_name.items()}
        now_s = self._clock()
        misplaced = self._placer.misplaced.find(now_s)
        unusable = {*self._placer.reach.unreachable, *misplaced}
        # A router that reaches none of them is cut off itself; others may reach them.
        return {n: s for n, s in slots.items() if n not in unusable} or slots

    def _sum(self, field: str) -> dict[str, float]:
        found: dict[str, float] = {}
        for (service, _), summary in self.server.describe().items():
            found[service] = found.get(service, 0.0) + getattr(summary, field)
        return found
