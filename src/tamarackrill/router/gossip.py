"""Runs the gossip protocol: owns the membership state and exchanges messages."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from tamarackrill.contracts import Vm
from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.members import MemberRecord, MemberState, PiggybackedEntries
from tamarackrill.decisions.membership import (
    TICK_S,
    Action,
    MemberChanged,
    MemberForgotten,
    Membership,
    PeerStateReceived,
    ProcessFroze,
    Send,
    StaleMessageDropped,
)
from tamarackrill.events import (
    MEMBER_CHANGED,
    PEER_MESSAGES_DROPPED,
    ROUTER_FROZE,
    log_event,
)
from tamarackrill.protocol.codec import InvalidMessage, decode_gossip, encode_gossip
from tamarackrill.router.background import run_restarting
from tamarackrill.router.members import Member, Members

_STATE_NAMES = {state: state.name.lower() for state in MemberState}


class Gossiper:
    """Exchanges gossip messages and keeps `Members` up to date.

    Parameters
    ----------
    own : MemberRecord
        This router.
    send : callable
        Sends a datagram to a peer address.
    peer_keys : tuple of str
        The first key signs; all of them verify.
    members : Members
        Updated on each change.
    digest_configuration : callable
        Returns the digests of the current configuration.
    clock : callable
        Returns the current time.
    contacts : tuple of str, optional
        Peer addresses of some routers, used when the VM list is unavailable.
    """

    def __init__(
        self,
        own: MemberRecord,
        send: Callable[[str, bytes], None],
        peer_keys: tuple[str, ...],
        members: Members,
        digest_configuration: Callable[[], tuple[ConfigurationDigest, ...]],
        clock: Callable[[], float],
        contacts: tuple[str, ...] = (),
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._membership = Membership(own, contacts)
        self._send_datagram = send
        self._peer_keys = peer_keys
        self._members = members
        self._digest_configuration = digest_configuration
        self._clock = clock
        self._random = random.SystemRandom()
        self._subscribers: list[Callable[[PeerStateReceived], None]] = []
        self._entry_sources: list[Callable[[], PiggybackedEntries]] = []
        self._dropped: dict[str, tuple[int, str]] = {}
        self._tick_task: asyncio.Task[None] | None = None

    def subscribe(self, on_peer_state: Callable[[PeerStateReceived], None]) -> None:
        """Call `on_peer_state` with the state in each message of a peer."""
        self._subscribers.append(on_peer_state)

    def add_source(self, collect: Callable[[], PiggybackedEntries]) -> None:
        """Piggyback on messages what `collect` returns at each tick."""
        self._entry_sources.append(collect)

    async def start(self) -> None:
        """Start the periodic tick."""
        self._tick_task = asyncio.create_task(run_restarting("gossip", self._run_ticks))

    async def stop(self) -> None:
        """Announce that this router has left; the socket must still be open."""
        if self._tick_task is not None:
            self._tick_task.cancel()
            await asyncio.gather(self._tick_task, return_exceptions=True)
        self._announce(MemberState.LEFT)

    def leave(self) -> None:
        """Announce that this router is leaving and takes no new work."""
        self._announce(MemberState.LEAVING)

    def update_vm_list(self, vms: tuple[Vm, ...]) -> None:
        """Apply the platform's VM list."""
        self._membership.update_vm_list(vms)
        self._publish()

    def report(self, name: str, entries: PiggybackedEntries) -> None:
        """Send entries to one router now, as far as the byte budget allows."""
        self._execute(self._membership.push_entries(name, entries))

    def describe(self) -> dict[str, Any]:
        """Return the counts and the hash of the membership view, for queries."""
        view = f"{self._membership.view:016x}"
        return {"view": view, "known": len(self._membership.list_members())} | dict(
            self.counts
        )

    def handle_datagram(self, datagram: bytes, source: str) -> bool:
        """Process a datagram; never raises.

        It must be the last of the socket's handlers, because it counts datagrams that
        no other handler accepted as a stranger's.
        """
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(datagram)
        try:
            message = decode_gossip(datagram, self._peer_keys)
        except InvalidMessage as error:
            self._drop(error.reason, source)
            return True
        self._execute(self._membership.receive(message, self._clock()))
        return True

    async def _run_ticks(self) -> None:
        while True:
            self._update_payload()
            self._execute(self._membership.tick(self._clock(), self._random.randrange))
            self._log_dropped()
            await asyncio.sleep(TICK_S)

    def _update_payload(self) -> None:
        self._membership.configuration = self._digest_configuration()
        collected = [collect() for collect in self._entry_sources]
        self._membership.entries = PiggybackedEntries(
            tuple(crash for entries in collected for crash in entries.crashes),
            tuple(load for entries in collected for load in entries.loads),
        )

    def _announce(self, state: MemberState) -> None:
        self._execute(self._membership.announce(state, self._random.randrange))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, MemberChanged):
                self._log_change(action)
            elif isinstance(action, PeerStateReceived):
                for on_peer_state in self._subscribers:
                    on_peer_state(action)
            elif isinstance(action, StaleMessageDropped):
                self._drop("stale", action.sender)
            elif isinstance(action, ProcessFroze):
                log_event(ROUTER_FROZE, gap_s=action.gap_s)
        changes = (MemberChanged, MemberForgotten)
        if any(isinstance(action, changes) for action in actions):
            self._publish()

    def _send(self, action: Send) -> None:
        datagram = encode_gossip(action.message, self._peer_keys)
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(datagram)
        self._send_datagram(action.peer_address, datagram)

    def _log_change(self, change: MemberChanged) -> None:
        before = change.before
        log_event(
            MEMBER_CHANGED,
            router=change.record.name,
            before="unknown" if before is None else _STATE_NAMES[before],
            after=_STATE_NAMES[change.record.state],
            incarnation=change.record.incarnation,
        )

    def _publish(self) -> None:
        available = {record.name for record in self._membership.live_members()}
        members = []
        for record in self._membership.list_members():
            state = _STATE_NAMES[record.state]
            # The VM list shows it as leaving, but the router doesn't know yet.
            if state in ("alive", "suspect") and record.name not in available:
                state = "leaving"
            members.append(_make_member(record, state))
        dead = self._membership.list_dead()
        lost = [_make_member(record, _STATE_NAMES[record.state]) for record in dead]
        self._members.replace(members, lost)

    def _drop(self, reason: str, source: str) -> None:
        self.counts[f"dropped_{reason}"] += 1
        count, _ = self._dropped.get(reason, (0, ""))
        self._dropped[reason] = (count + 1, source)

    def _log_dropped(self) -> None:
        # One log line per datagram would let a stranger flood the log.
        for reason, (count, source) in self._dropped.items():
            log_event(PEER_MESSAGES_DROPPED, reason=reason, count=count, source=source)
        self._dropped.clear()


def _make_member(record: MemberRecord, state: str) -> Member:
    return Member(
        record.name,
        record.address,
        record.zone,
        state,
        record.peer_address,
        record.incarnation,
    )
