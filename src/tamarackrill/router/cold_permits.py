"""Asks the owners of cold endpoints for permits, and answers for those owned here."""

import asyncio
import itertools
import secrets
from collections.abc import Callable

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.cold_endpoints import (
    OWNER_SETTLE_S,
    Refusals,
    StartPermits,
    Visibility,
    find_owner,
    find_share,
)
from tamarackrill.decisions.retry_shares import FleetSize
from tamarackrill.events import PERMIT_REFUSED, log_event
from tamarackrill.protocol.owner_codec import (
    PermitReply,
    PermitRequest,
    decode_owner_message,
    encode_owner_message,
)
from tamarackrill.router import lateness
from tamarackrill.router.cold_monitor import ColdMonitor
from tamarackrill.router.members import Members

# Two round trips between availability zones, and a late event loop on either side.
PERMIT_TIMEOUT_S = 0.04
TICKET_BITS = 48


class ColdPermits:
    """Client and server of the permits for cold endpoints; see `cold_endpoints`.

    Parameters
    ----------
    members : Members
        Live routers, including this one.
    monitor : ColdMonitor
        Knows which endpoints are cold.
    send : callable
        Sends a datagram to a peer address.
    peer_keys : tuple of str
        The first key signs; all of them verify.
    count : callable
        Called with a counter's name and a label.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        members: Members,
        monitor: ColdMonitor,
        send: Callable[[str, bytes], None],
        peer_keys: tuple[str, ...],
        count: Callable[[str, str], None],
        clock: Callable[[], float],
    ) -> None:
        self._members = members
        self._monitor = monitor
        self._send = send
        self._peer_keys = peer_keys
        self._count = count
        self._clock = clock
        self._started_s = clock()
        # Random, so that a reply to an earlier process on this address fits no request.
        self._tickets = itertools.count(secrets.randbits(TICKET_BITS))
        self._pending: dict[int, asyncio.Future[bool]] = {}
        self._permits = StartPermits()
        self._refusals = Refusals()
        self._zones: dict[str, list[str]] = {}
        self._addresses: dict[str, str] = {}
        self._zone_size = FleetSize()
        self._fleet_size = FleetSize()
        self.update_members()

    def update_members(self) -> None:
        """Update the live routers from `Members`, and forget what is no longer cold."""
        now_s = self._clock()
        live = self._members.list_live()
        self._zones = {}
        for member in live:
            self._zones.setdefault(member.zone, []).append(member.name)
        self._addresses = {member.name: member.peer_address for member in live}
        own_zone = self._zones.get(self._members.own.zone, ())
        self._zone_size.observe(len(own_zone), now_s)
        self._fleet_size.observe(len(live), now_s)

        self._permits.retain(self._monitor.find_cold())

    def must_request(self, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent to an endpoint only with a permit."""
        return self._monitor.is_cold(endpoint.name)

    def find_refused(self) -> set[str]:
        """Return the endpoints for which a permit was refused a moment ago."""
        return self._refusals.find(self._clock())

    def find_cold(self) -> set[str]:
        """Return all endpoints that need a permit."""
        return self._monitor.find_cold()

    async def request(self, request_id: str, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent to a cold endpoint.

        Parameters
        ----------
        request_id : str
            For the log.
        endpoint : Endpoint
            The endpoint.
        """
        owner = find_owner(endpoint, self._zones)
        outcome = await self._ask(owner, endpoint)
        self._count("cold_permits", outcome)
        if outcome == "granted":
            return True
        self._refusals.observe(endpoint.name, self._clock())
        log_event(
            PERMIT_REFUSED,
            request=request_id,
            endpoint=endpoint.name,
            owner=owner or "",
            outcome=outcome,
        )
        return False

    async def _ask(self, owner: str | None, endpoint: Endpoint) -> str:
        if owner is None:
            return "no_owner"
        if owner == self._members.own.name:
            return "granted" if self._grant(endpoint.name) else "refused"
        ticket = next(self._tickets)
        reply: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending[ticket] = reply
        request = PermitRequest(ticket, endpoint.name)
        datagram = encode_owner_message(request, self._peer_keys)
        self._send(self._addresses[owner], datagram)
        try:
            async with lateness.timeout(PERMIT_TIMEOUT_S):
                return "granted" if await reply else "refused"
        except TimeoutError:
            return "silent"
        finally:
            del self._pending[ticket]

    def handle_datagram(self, datagram: bytes, source: str) -> bool:
        """Process a datagram; return whether it was about permits."""
        message = decode_owner_message(datagram, self._peer_keys)
        if isinstance(message, PermitRequest):
            is_granted = self._grant(message.endpoint)
            self._count("cold_permits_asked", "granted" if is_granted else "refused")
            reply = PermitReply(message.ticket, is_granted)
            self._send(source, encode_owner_message(reply, self._peer_keys))
        elif isinstance(message, PermitReply):
            pending = self._pending.get(message.ticket)
            if pending is not None and not pending.done():
                pending.set_result(message.is_granted)
        return isinstance(message, PermitRequest | PermitReply)

    def _grant(self, endpoint_name: str) -> bool:
        now_s = self._clock()
        found = self._monitor.find_terms(endpoint_name)
        if found is None or now_s < self._started_s + OWNER_SETTLE_S:
            return False
        endpoint, terms = found
        own = self._members.own
        if find_owner(endpoint, self._zones) != own.name:
            return False
        if not self._see_routers(endpoint.zone).has_majority:
            return False
        share = find_share(endpoint, own.zone)
        return self._permits.take(endpoint_name, terms, share, now_s)

    def _see_routers(self, zone: str) -> Visibility:
        if zone == self._members.own.zone:
            live = len(self._zones.get(zone, ()))
            return Visibility(live, self._zone_size.largest)
        return Visibility(len(self._addresses), self._fleet_size.largest)
