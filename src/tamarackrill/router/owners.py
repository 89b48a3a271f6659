"""Requests reservations from the owners of endpoints, and serves those owned here."""

import asyncio
import itertools
import secrets
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.loads import EndpointLoad
from tamarackrill.decisions.reservations import (
    RESERVATION_TIMEOUT_S,
    ReservationReply,
    Reservations,
    find_owner,
)
from tamarackrill.decisions.slot_ceilings import RoundTrips, ToldRequests
from tamarackrill.events import OWNER_SILENT, log_event
from tamarackrill.protocol.owner_codec import (
    Answer,
    Ask,
    OwnerMessage,
    Release,
    Told,
    decode_owner_message,
    encode_owner_message,
)
from tamarackrill.router import lateness
from tamarackrill.router.members import Member, Members

EXPIRE_EVERY_S = 1.0
# How long the answer of a silent owner shows that it is only late.
LATE_ANSWER_MAX_S = 2.0
TICKET_BITS = 48


class Ticket(NamedTuple):
    """Identifies a reservation at its owner; `owner` is empty if there is none.

    `session` is the owner's process that has granted it, 0 if unknown.
    """

    owner: str
    number: int
    session: int = 0


UNCOUNTED = Ticket("", 0)


class Owners:
    """Client and server of the reservation protocol between routers.

    As the home router of a chat it requests reservations, as the owner of endpoints it
    grants them; see `decisions.reservations`.

    Parameters
    ----------
    members : Members
        Live routers.
    load_factor : float
        Multiple of the mean load that no endpoint exceeds.
    list_endpoints : callable
        Returns all known endpoints.
    send : callable
        Sends a datagram to a peer address.
    peer_keys : tuple of str
        Keys shared by the routers.
    clock : callable
        Returns the current time.
    choose_owner : callable, optional
        Returns the owner of an endpoint; see `find_owner` for its arguments.
    may_grant : callable, optional
        Returns whether this router may grant a request; see `Reservations`.
    timeout_max_s : float, optional
        Longest time to wait for an owner whose answers take long.

    Attributes
    ----------
    told : ToldRequests
        Requests that this router has not granted.
    on_served : callable
        Called with the endpoint of a reservation whose request it had accepted.
    on_late_answer : callable
        Called with the name of an owner that has answered after the timeout.
    """

    def __init__(
        self,
        members: Members,
        load_factor: float,
        list_endpoints: Callable[[], list[Endpoint]],
        send: Callable[[str, bytes], None],
        peer_keys: tuple[str, ...],
        clock: Callable[[], float],
        choose_owner: Callable[[Endpoint, int, Sequence[str]], str] = find_owner,
        may_grant: Callable[[Endpoint, int, float], bool] | None = None,
        timeout_max_s: float = RESERVATION_TIMEOUT_S,
    ) -> None:
        self._choose_owner = choose_owner
        self._members = members
        self._list_endpoints = list_endpoints
        self._send = send
        self._peer_keys = peer_keys
        self._clock = clock
        # Random, so that a router that restarts under its name doesn't reuse earlier
        # ticket numbers: its requests would pass for repeated ones and not be counted.
        self._numbers = itertools.count(secrets.randbits(TICKET_BITS))
        self._pending: dict[int, asyncio.Future[ReservationReply]] = {}
        self._known_routers: set[str] = set()
        self._owners_input: tuple[list[tuple[str, tuple[str, ...]]], list[str]] = (
            [],
            [],
        )
        self._owner_names: dict[str, str] = {}
        self._round_trips = RoundTrips(RESERVATION_TIMEOUT_S, timeout_max_s)
        self._asked: dict[int, tuple[str, float]] = {}
        self.session = secrets.randbits(TICKET_BITS)
        self._sessions: dict[str, int] = {}
        self.told = ToldRequests()
        self.on_served: Callable[[str], None] = lambda endpoint: None
        self.on_late_answer: Callable[[str], None] = lambda owner: None
        self.reservations = (
            Reservations(load_factor, may_grant)
            if may_grant is not None
            else Reservations(load_factor)
        )

    async def run(self) -> None:
        """Expire reservations once a second until cancelled."""
        while True:
            self.expire()
            await asyncio.sleep(EXPIRE_EVERY_S)

    def expire(self) -> None:
        """End reservations that have expired or whose router is gone."""
        now_s = self._clock()
        # A router that is leaving or only suspected still has calls in flight.
        present = {member.name for member in self._members.list_all()}
        for name in self._known_routers - present:
            self.reservations.release_router(name, now_s)
        self._known_routers = present
        self.reservations.expire(now_s)
        self.told.expire(now_s)
        self._round_trips.retain(present)
        self._sessions = {n: s for n, s in self._sessions.items() if n in present}
        for number, (_, sent_s) in list(self._asked.items()):
            if sent_s <= now_s - LATE_ANSWER_MAX_S:
                del self._asked[number]

    async def reserve(
        self, endpoint: Endpoint, lifetime_s: float, is_last: bool
    ) -> tuple[ReservationReply | None, Ticket]:
        """Request a reservation from the owner of an endpoint.

        Returns
        -------
        grant : ReservationReply or None
            None if the owner did not reply in time, or doesn't know the endpoint.
        ticket : Ticket
            To be passed to `release`.
        """
        number = next(self._numbers)
        owner = self.find_owner(endpoint)
        own = self._members.own.name
        ask = Ask(own, number, endpoint.name, int(lifetime_s * 1000), is_last)
        if owner.name == own:
            return self._decide(ask), Ticket(own, number, self.session)
        future: asyncio.Future[ReservationReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = future
        self._asked[number] = (owner.name, self._clock())
        self._send_message(owner, ask)
        ticket = Ticket(owner.name, number)
        timeout_s = self._round_trips.compute_timeout_s(owner.name)
        try:
            async with lateness.timeout(timeout_s):
                await asyncio.wait([future])
            reply = future.result()
            return reply, ticket._replace(session=self.find_session(owner.name))
        except TimeoutError:
            log_event(
                OWNER_SILENT,
                endpoint=endpoint.name,
                owner=owner.name,
                waited_s=timeout_s,
            )
            # The owner may have granted it and only the reply was lost.
            self.release(ticket)
            return None, UNCOUNTED
        finally:
            del self._pending[number]

    def owns(self, ticket: Ticket) -> bool:
        """Return whether this router has granted a reservation itself."""
        return ticket.owner == self._members.own.name

    def release(self, ticket: Ticket, is_served: bool = False) -> None:
        """End a reservation; `is_served` if its endpoint had accepted the request."""
        release = Release(self._members.own.name, ticket.number, is_served)
        if self.owns(ticket):
            self._end_reservation(release)
        else:
            self._send_to(ticket.owner, release)

    def tell(self, owner: str, endpoint: str, count: int) -> None:
        """Tell an owner how many requests it has not granted this router has."""
        self._send_to(owner, Told(self._members.own.name, endpoint, count))

    def find_session(self, owner: str) -> int:
        """Return the process of an owner that was last heard of, 0 if unknown."""
        if owner == self._members.own.name:
            return self.session
        return self._sessions.get(owner, 0)

    def handle_datagram(self, datagram: bytes, source: str) -> bool:
        """Process a datagram; return whether it was a reservation message."""
        message = decode_owner_message(datagram, self._peer_keys)
        if isinstance(message, Ask):
            self._answer(message)
        elif isinstance(message, Answer):
            self._take_answer(message)
        elif isinstance(message, Release):
            self._end_reservation(message)
        elif isinstance(message, Told):
            self.told.observe(*message, self._clock())
        return message is not None

    def _take_answer(self, answer: Answer) -> None:
        owner, sent_s = self._asked.pop(answer.ticket, ("", 0.0))
        if not owner:
            return
        self._round_trips.observe(owner, self._clock() - sent_s)
        self._sessions[owner] = answer.session
        future = self._pending.get(answer.ticket)
        if future is None:
            self.on_late_answer(owner)
        elif not future.done():
            future.set_result(ReservationReply(answer.is_granted, answer.in_flight))

    def _end_reservation(self, release: Release) -> None:
        request = _name_request(release.sender, release.ticket)
        endpoint = self.reservations.release(request, self._clock())
        if endpoint is not None and release.is_served:
            self.on_served(endpoint)

    def list_owned(self) -> list[Endpoint]:
        """Return the endpoints that this router owns."""
        own = self._members.own.name
        routers = sorted(member.name for member in self._members.list_live())
        owners = self._list_owners(routers)
        return [e for e in self._list_endpoints() if owners.get(e.name, own) == own]

    def digest(self) -> list[EndpointLoad]:
        """Return the loads of the endpoints owned here, for gossip."""
        names = [endpoint.name for endpoint in self.list_owned()]
        return self.reservations.digest(names, self._clock())

    def _answer(self, ask: Ask) -> None:
        grant = self._decide(ask)
        for member in self._members.list_live():
            if member.name == ask.sender and grant is not None:
                answer = Answer(ask.ticket, *grant, session=self.session)
                self._send_message(member, answer)

    def _decide(self, ask: Ask) -> ReservationReply | None:
        now_s = self._clock()
        endpoints = {endpoint.name: endpoint for endpoint in self._list_endpoints()}
        endpoint = endpoints.get(ask.endpoint)
        # This router may not know the endpoint yet.  Without a reply the home router
        # uses its own estimate, so that a new endpoint doesn't stay idle.
        if endpoint is None:
            return None
        return self.reservations.reserve(
            _name_request(ask.sender, ask.ticket),
            endpoint,
            self._list_pool(endpoint),
            ask.sender,
            now_s + ask.lapses_ms / 1000,
            now_s,
            ask.is_last,
        )

    def _list_pool(self, endpoint: Endpoint) -> list[Endpoint]:
        return [
            other
            for other in self._list_endpoints()
            if other.kind == endpoint.kind and set(other.serves) & set(endpoint.serves)
        ]

    def find_owner(self, endpoint: Endpoint) -> Member:
        """Return the owner of an endpoint, as this router sees the fleet."""
        routers = {member.name: member for member in self._members.list_live()}
        owner = self._list_owners(sorted(routers)).get(endpoint.name, "")
        return routers.get(owner, self._members.own)

    def _list_owners(self, routers: list[str]) -> dict[str, str]:
        """Return the owner of each endpoint.

        Cached until endpoints or routers change: ranking 370 routers for each of 780
        endpoints takes a good part of a second, and this is needed every second.
        """
        endpoints = self._list_endpoints()
        current = (
            [(endpoint.name, endpoint.serves) for endpoint in endpoints],
            routers,
        )
        if current != self._owners_input:
            sizes = Counter(name for e in endpoints for name in e.serves)
            self._owners_input = current
            self._owner_names = {
                e.name: self._choose_owner(
                    e, max(sizes[name] for name in e.serves), routers
                )
                for e in endpoints
                if routers and e.serves
            }
        return self._owner_names

    def _send_to(self, name: str, message: OwnerMessage) -> None:
        for member in self._members.list_all():
            if member.name == name:
                self._send_message(member, message)

    def _send_message(self, member: Member, message: OwnerMessage) -> None:
        if member.peer_address:
            datagram = encode_owner_message(message, self._peer_keys)
            self._send(member.peer_address, datagram)


def _name_request(router: str, number: int) -> str:
    return f"{router}/{number}"
