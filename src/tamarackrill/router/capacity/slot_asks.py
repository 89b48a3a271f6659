"""Asks of this router for slots that have been sent, and their answers."""

import asyncio
import itertools
import secrets
from collections.abc import Callable, Iterable
from typing import NamedTuple

from tamarackrill.decisions.capacity.allocators import (
    AllocatorTimeouts,
    order_allocators,
)
from tamarackrill.events import ALLOCATOR_SILENT, log_event
from tamarackrill.protocol.slot_codec import (
    SlotAnswer,
    SlotAsk,
    SlotMessage,
    SlotRelease,
    Verdict,
    encode_slot_message,
)
from tamarackrill.router.capacity.slot_grants import SlotGrant
from tamarackrill.router.capacity.slot_messages import make_cancellation, remove_load
from tamarackrill.router.capacity.slot_server import SlotServer
from tamarackrill.router.members import Member, Members

# Two round trips between availability zones, and a late event loop on either side.
ASK_TIMEOUT_S = 0.04
TICKET_BITS = 48
# Releases are sent a second time after this: if one of twenty were lost, throughput in
# an overload would fall by 0.07, as slots stay taken until their leases expire.
RELEASE_REPEAT_S = 0.02
# A wait that ends this much late shows that this router's event loop was blocked.
# Answers may have arrived meanwhile, and the loop reads one datagram in an iteration,
# so they get this time to be read.
LATE_S = 0.01
# Such times in a row.  A router that is always late takes a silent allocator for one.
LATE_WAITS_MAX = 10


class SentAsk(NamedTuple):
    """An ask that was sent, with its answers.

    `first` is the first answer, `final` the first that grants or rejects the ask.
    """

    service: str
    zone: str
    grant: SlotGrant
    first: asyncio.Future[SlotAnswer]
    final: asyncio.Future[SlotAnswer]


class SlotAsks:
    """Sends asks and releases to allocators, and receives their answers.

    Parameters
    ----------
    server : SlotServer
        Allocator in this router.
    members : Members
        Live routers, including this one.
    send : callable
        Sends a datagram to a peer address.
    peer_keys : tuple of str
        The first key signs.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        server: SlotServer,
        members: Members,
        send: Callable[[str, bytes], None],
        peer_keys: tuple[str, ...],
        clock: Callable[[], float],
    ) -> None:
        self._server = server
        self._members = members
        self._send = send
        self._peer_keys = peer_keys
        self._clock = clock
        # Random, so that an answer to an earlier process on this address fits no ask.
        self._tickets = itertools.count(1 + secrets.randbits(TICKET_BITS))
        # Asks that wait for an answer, or whose grant is in use.
        self._open: dict[int, SentAsk] = {}
        self._timeouts = AllocatorTimeouts()
        # Cached until a router joins or leaves: ranking takes 0.14 ms at 370 routers.
        self._live: list[Member] = []
        self._orders: dict[tuple[str, str], list[SlotGrant]] = {}

    def find_allocator(self, service: str, zone: str) -> SlotGrant | None:
        """Return the allocator of a service and zone, None if none answers."""
        live = self._members.list_live()
        if live != self._live:
            self._live = live
            self._orders.clear()
            self._timeouts.retain([member.name for member in live])
        order = self._orders.get((service, zone))
        if order is None:
            order = self._orders[service, zone] = self._order_allocators(service, zone)
        candidates = [allocator.allocator for allocator in order]
        name = self._timeouts.choose(candidates, self._clock())
        return next((grant for grant in order if grant.allocator == name), None)

    def _order_allocators(self, service: str, zone: str) -> list[SlotGrant]:
        live = {member.name: member for member in self._live}
        zones = {name: member.zone for name, member in live.items()}
        names = order_allocators(service, zone, zones)
        return [SlotGrant(name, live[name].peer_address, 0) for name in names]

    def send(self, allocator: SlotGrant, ask: SlotAsk) -> SentAsk:
        """Send an ask, whose sender and ticket are set here, to an allocator."""
        ticket = next(self._tickets)
        loop = asyncio.get_running_loop()
        sent = SentAsk(
            ask.service_name,
            ask.zone,
            allocator._replace(ticket=ticket),
            loop.create_future(),
            loop.create_future(),
        )
        self._open[ticket] = sent
        ask = ask._replace(sender=self._members.own.name, ticket=ticket)
        if allocator.allocator == self._members.own.name:
            self._server.ask(ask, lambda answer: self.take_answer(answer, ""))
        else:
            self._send_message(allocator.address, ask)
        return sent

    def take_answer(self, answer: SlotAnswer, source: str) -> None:
        """Process an answer from the address `source`, empty if from this router."""
        sent = self._open.get(answer.ticket)
        if sent is None:
            # Of an ask that timed out: the slot would be held until the lease expires.
            if answer.decision == Verdict.GRANTED:
                self._release(SlotGrant("", source, answer.ticket), make_cancellation())
            return
        self._timeouts.observe_answer(sent.grant.allocator)
        if not sent.first.done():
            sent.first.set_result(answer)
        if answer.decision != Verdict.QUEUED and not sent.final.done():
            sent.final.set_result(answer)

    def cancel(self, sent: SentAsk) -> None:
        """Withdraw an ask, or give its grant back; ignored after its end."""
        if self._open.pop(sent.grant.ticket, None) is None:
            return
        is_rejected = sent.final.done() and sent.final.result().decision == (
            Verdict.REJECTED
        )
        if not is_rejected:
            self._release(sent.grant, make_cancellation())

    def release(self, grant: SlotGrant, release: SlotRelease) -> None:
        """End a grant, or with ticket 0 report a load to an allocator."""
        self._open.pop(grant.ticket, None)
        self._release(grant, release)

    def observe_timeout(self, sent: SentAsk) -> None:
        """Record that an allocator has not answered in time."""
        allocator = sent.grant.allocator
        if self._timeouts.observe_timeout(allocator, self._clock()):
            log_event(
                ALLOCATOR_SILENT,
                service=sent.service,
                zone=sent.zone,
                allocator=allocator,
            )

    def _release(self, grant: SlotGrant, release: SlotRelease) -> None:
        own = self._members.own.name
        release = release._replace(sender=own, ticket=grant.ticket)
        if grant.allocator == own:
            self._server.release(release)
        elif grant.address:
            self._send_message(grant.address, release)
            if grant.ticket:
                repeated = remove_load(release)
                asyncio.get_running_loop().call_later(
                    RELEASE_REPEAT_S, self._send_message, grant.address, repeated
                )

    def _send_message(self, address: str, message: SlotMessage) -> None:
        self._send(address, encode_slot_message(message, self._peer_keys))


async def wait_any(
    futures: Iterable[asyncio.Future[SlotAnswer]], timeout_s: float
) -> None:
    """Wait until any future is done, or the time has passed."""
    pending, loop = list(futures), asyncio.get_running_loop()
    if any(future.done() for future in pending):
        return
    timeout_s = max(0.0, timeout_s)
    for _ in range(LATE_WAITS_MAX):
        late_s = loop.time() + timeout_s + LATE_S
        done, _ = await asyncio.wait(
            pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        if done or loop.time() < late_s:
            return
        timeout_s = LATE_S
