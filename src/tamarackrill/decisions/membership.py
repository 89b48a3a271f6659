"""Membership of the router fleet: a SWIM-like gossip protocol.

Load pattern: routers start, leave, fail and freeze, whole availability zones are cut
off, the platform's VM list lags, and each router may spend 3 KB/s at 370 routers.
Without gossip every router would rely on the VM list and keep forwarding chats to
routers that have failed; if each pinged every other, 370 routers would send 370
messages a second each.

Each router pings one other a second, mostly in its own zone, and gets an ack; both
carry recent changes.  A router that misses two pings is suspected, and is removed
unless it refutes the suspicion with a higher incarnation.  Routers whose views differ
request the missing records from one another, page by page.

When a whole fleet starts at once, all routers know the same few contacts from their
settings and ping only these.  The contacts spend their byte budgets within a second,
and acks without room for records would leave hundreds of routers knowing three others
for good.  So an ack to a router that knows far fewer members always introduces a few,
whatever the budget.

Views may differ between routers at any time: no invariant may depend on their being
equal.  docs/design/membership.md has the alternatives and the measurements.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from tamarackrill.contracts import Vm
from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.members import (
    GONE_STATES,
    SERVING_STATES,
    SUSPECT_STATES,
    Gossip,
    MemberRecord,
    MemberState,
    PiggybackedEntries,
    Purpose,
    choose_entries,
    estimate_base_bytes,
    estimate_record_bytes,
)
from tamarackrill.decisions.views import View, rotate

TICK_S = 1.0
# Shorter than a tick, so that a tick that fires slightly early still sees the timeout.
PING_TIMEOUT_S = 0.9
PING_TRIES = 2
# A suspicion reaches all of 370 routers, the suspect included, within this time
# (bench/gossip.py); a shorter one removes routers that merely missed two pings.
SUSPICION_TIMEOUT_S = 5.0
# A tick this late means that the process was frozen: its view of the others is stale,
# and they may have declared it dead.
FREEZE_THRESHOLD_S = 3.0
# Removed routers are still probed for this long, as a partitioned zone comes back
# within minutes; those on the VM list are probed for as long as they are on it.
GONE_RETENTION_S = 600.0
# One ping in this many goes to another zone.
CROSS_ZONE_ONE_IN = 4
CATCH_UP_PINGS = 4
# A router that knows fewer than this share of its peer's members is catching up.
CATCH_UP_SHARE = 0.9
# Records that an ack to a router that is catching up always carries, half of them from
# its zone.
INTRODUCTION_RECORDS = 6
ANNOUNCE_PINGS = 6

# Token bucket for sent bytes.  Sent and received bytes together stay below 3 KB/s in
# any minute: each message is received once, and the burst is unspent budget.
SENT_BYTES_PER_S = 850
SENT_BURST_BYTES = 38_000
# Overdraft while a whole fleet starts; the budget recovers within seconds.
DEBT_MAX_BYTES = 5_000
MESSAGE_MIN_BYTES = 300
MESSAGE_MAX_BYTES = 1_200
ENTRIES_MAX_BYTES = 300

RandomIndex = Callable[[int], int]


class Send(NamedTuple):
    """Send a message to a router by UDP; `estimated_bytes` is an upper bound."""

    peer_address: str
    message: Gossip
    estimated_bytes: int


class MemberChanged(NamedTuple):
    """A router joined or changed its state; `before` is None for a new one."""

    record: MemberRecord
    before: MemberState | None


class MemberForgotten(NamedTuple):
    """A router that failed or left long ago is no longer remembered."""

    name: str


class PeerStateReceived(NamedTuple):
    """A peer's message reported its configuration and its piggybacked entries."""

    sender: str
    address: str
    configuration: tuple[ConfigurationDigest, ...]
    entries: PiggybackedEntries


class StaleMessageDropped(NamedTuple):
    """A message was dropped as a replay or because a later one came first."""

    sender: str


class ProcessFroze(NamedTuple):
    """The process did not run for a while."""

    gap_s: float


Action = (
    Send
    | MemberChanged
    | MemberForgotten
    | PeerStateReceived
    | StaleMessageDropped
    | ProcessFroze
)


class _Ping(NamedTuple):
    sent_s: float
    tries: int


class Membership:
    """One router's side of the membership protocol.

    Parameters
    ----------
    own : MemberRecord
        This router; its incarnation must be above that of any earlier process of the
        same name, such as its start time in ms since the epoch.
    contacts : tuple of str, optional
        Peer addresses of some routers, pinged when the VM list is unavailable.

    Attributes
    ----------
    configuration : tuple of ConfigurationDigest
        Sent with each message; set by the owner.
    entries : Entries
        Sent with each message as far as they fit; set by the owner.
    """

    def __init__(self, own: MemberRecord, contacts: tuple[str, ...] = ()) -> None:
        self.configuration: tuple[ConfigurationDigest, ...] = ()
        self.entries = PiggybackedEntries()
        self._view = View(own)
        self._session = own.incarnation
        self._sequence = 0
        self._last_sequences: dict[str, tuple[int, int]] = {}
        self._pings: dict[str, _Ping] = {}
        self._suspected_here: set[str] = set()
        self._contacts = contacts
        self._listed_vms: dict[str, Vm] = {}
        self._ever_listed: set[str] = set()
        # Routers that start together begin at different pages.
        self._after = own.name
        self._views_differ = False
        self._is_behind = False
        self._last_tick_s: float | None = None
        self._budget_bytes = float(SENT_BURST_BYTES)
        self._introduction_count = 0

    @property
    def own(self) -> MemberRecord:
        """The record of this router."""
        return self._view.own

    @property
    def view(self) -> int:
        """Hash over the view; equal at routers that agree."""
        return self._view.content_hash

    def live_members(self) -> list[MemberRecord]:
        """Return the routers that accept new work, by name; suspects included."""
        members = [
            record
            for record in self.list_members()
            if record.state in SERVING_STATES
            and not self._is_listed_leaving(record.name)
        ]
        return sorted(members)

    def list_members(self) -> list[MemberRecord]:
        """Return all routers that have neither failed nor left, by name."""
        others = (r for r in self._view.records.values() if r.state not in GONE_STATES)
        return sorted([self.own, *others])

    def list_dead(self) -> list[MemberRecord]:
        """Return the routers that were taken for dead, by name; not those that left."""
        records = self._view.records.values()
        return sorted(r for r in records if r.state == MemberState.DEAD)

    def update_vm_list(self, vms: Iterable[Vm]) -> None:
        """Update the platform's VM list, which lags.

        It supplies addresses to ping and early notice of VMs that are leaving.  It
        neither adds nor removes a router: one that it lacks may be new, and one that
        it still has may have failed.  But a suspect that has disappeared from it is
        removed at once, as two independent signs agree.
        """
        named = {vm.name: vm for vm in vms if vm.name != self.own.name}
        self._ever_listed |= named.keys()
        self._listed_vms = {name: vm for name, vm in named.items() if vm.peer_address}

    def tick(self, now_s: float, pick: RandomIndex) -> list[Action]:
        """Run timers and send pings; called every `TICK_S`.

        Parameters
        ----------
        now_s : float
            Current time, monotonic.
        pick : callable
            ``pick(n)`` returns a random number from 0 to n - 1.

        Returns
        -------
        list of Action
        """
        actions = self._advance_clock(now_s)
        if self.own.state in GONE_STATES:
            return actions
        actions += self._expire_pings(now_s)
        actions += self._expire_suspects(now_s)
        actions += self._purge_gone(now_s)
        for _ in range(self._count_pings()):
            actions += self._ping_random(now_s, pick)
        actions += self._ping_suspect(pick)
        actions += self._probe_unreachable(pick)
        return actions

    def receive(self, message: Gossip, now_s: float) -> list[Action]:
        """Process a message whose sender is authenticated, and return the actions."""
        position = (message.session, message.sequence)
        if position <= self._last_sequences.get(message.sender, (-1, -1)):
            return [StaleMessageDropped(message.sender)]
        if not self._is_current(message):
            return [StaleMessageDropped(message.sender)]
        self._last_sequences[message.sender] = position
        self._pings.pop(message.sender, None)
        actions: list[Action] = []
        for record in message.members:
            actions += self._merge_record(record, now_s, is_news=True)
        for record in message.page:
            actions += self._merge_record(record, now_s, is_news=False)
        self._compare_views(message)
        sender = message.members[0]
        if message.purpose == Purpose.PING:
            actions.append(self._ack(sender, message))
        actions.append(
            PeerStateReceived(
                sender.name, sender.address, message.configuration, message.entries
            )
        )
        return actions

    def announce(self, state: MemberState, pick: RandomIndex) -> list[Action]:
        """Tell several routers at once that this one is leaving, or has left.

        Otherwise it would first be pinged and suspected, and chats would be forwarded
        to it for seconds.
        """
        self._view.set_own(self.own._replace(state=state))
        peers = [record for record in self.list_members() if record != self.own]
        actions: list[Action] = []
        while peers and len(actions) < ANNOUNCE_PINGS:
            peer = peers.pop(pick(len(peers)))
            actions.append(self._build(peer, Purpose.PUSH))
        return actions

    def push_entries(self, name: str, entries: PiggybackedEntries) -> list[Action]:
        """Send entries to one router at once, as far as size and budget allow."""
        peer = self._view.get(name)
        if peer is None or peer == self.own or self._budget_bytes < 0:
            return []
        return [self._build(peer, Purpose.PUSH, entries=entries)]

    def _is_current(self, message: Gossip) -> bool:
        """Return whether a message is from the sender's current process.

        A late message of an earlier process of this name would bring back outdated
        loads and an outdated configuration digest.
        """
        first = message.members[0] if message.members else None
        if first is None or first.name != message.sender or first.name == self.own.name:
            return False
        held = self._view.get(first.name)
        return held is None or held.incarnation <= first.incarnation

    def _is_listed_leaving(self, name: str) -> bool:
        return name in self._listed_vms and self._listed_vms[name].state == "leaving"

    def _advance_clock(self, now_s: float) -> list[Action]:
        gap_s = now_s - self._last_tick_s if self._last_tick_s is not None else TICK_S
        self._last_tick_s = now_s
        refilled = self._budget_bytes + gap_s * SENT_BYTES_PER_S
        self._budget_bytes = min(SENT_BURST_BYTES, refilled)
        if gap_s < FREEZE_THRESHOLD_S:
            return []
        # Every timer is overdue after a freeze.  If they fired, the router that was
        # frozen would suspect all those that were not.
        self._pings.clear()
        for record in self._view.list_suspects():
            self._view.changed_s[record.name] = now_s
        self._raise_incarnation(self.own.incarnation)
        return [ProcessFroze(gap_s)]

    def _raise_incarnation(self, seen: int) -> None:
        higher = max(seen, self.own.incarnation) + 1
        self._view.set_own(self.own._replace(incarnation=higher))

    def _expire_pings(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        overdue = [
            (name, ping)
            for name, ping in self._pings.items()
            if now_s - ping.sent_s >= PING_TIMEOUT_S
        ]
        for name, ping in overdue:
            del self._pings[name]
            record = self._view.get(name)
            if record is None or record.state in GONE_STATES:
                continue
            if ping.tries < PING_TRIES:
                actions.append(self._ping(record, now_s, ping.tries + 1))
            else:
                before = record.state
                if self._view.suspect(name, now_s):
                    self._suspected_here.add(name)
                    actions.append(MemberChanged(self._view.records[name], before))
        return actions

    def _expire_suspects(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for record in self._view.list_suspects():
            unlisted = record.name in self._ever_listed - self._listed_vms.keys()
            waited_s = now_s - self._view.changed_s[record.name]
            if unlisted or waited_s >= SUSPICION_TIMEOUT_S:
                dead = record._replace(state=MemberState.DEAD)
                self._view.apply(dead, now_s)
                actions.append(MemberChanged(dead, record.state))
        return actions

    def _purge_gone(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for record in list(self._view.records.values()):
            old = now_s - self._view.changed_s[record.name] >= GONE_RETENTION_S
            if (
                record.state in GONE_STATES
                and old
                and record.name not in self._listed_vms
            ):
                self._view.forget(record.name)
                self._ever_listed.discard(record.name)
                self._last_sequences.pop(record.name, None)
                actions.append(MemberForgotten(record.name))
        return actions

    def _ping_random(self, now_s: float, pick: RandomIndex) -> list[Action]:
        others = [r for r in self.list_members() if r != self.own]
        near = [r for r in others if r.zone == self.own.zone]
        far = [r for r in others if r.zone != self.own.zone]
        cross = far and (not near or pick(CROSS_ZONE_ONE_IN) == 0)
        choice = far if cross else near
        if not choice:
            return []
        return [self._ping(choice[pick(len(choice))], now_s, 1)]

    def _ping_suspect(self, pick: RandomIndex) -> list[Action]:
        """Ping a router that this one has suspected, so that it can refute.

        By gossip alone the suspicion may reach it too late, and on a lossy network
        healthy routers would be removed all the time.
        """
        suspects = {record.name for record in self._view.list_suspects()}
        self._suspected_here &= suspects
        pending = sorted(self._suspected_here)
        if not pending:
            return []
        record = self._view.records[pending[pick(len(pending))]]
        return [self._build(record, Purpose.PING)]

    def _count_pings(self) -> int:
        affordable = int(self._budget_bytes) // MESSAGE_MAX_BYTES
        # Spares the few contacts that every new router knows.
        others = (self._view.known - 1) // 2
        catch_up = min(CATCH_UP_PINGS, affordable, others)
        return max(1, catch_up) if self._is_behind else 1

    def _probe_unreachable(self, pick: RandomIndex) -> list[Action]:
        """Ping a router that is dead or was never heard, more often if there are many.

        Otherwise the two sides of a healed partition, which have declared each other
        dead, would never communicate again.
        """
        records = self._view.records
        unreachable = [r for r in records.values() if r.state == MemberState.DEAD]
        known = {record.peer_address for record in (self.own, *records.values())}
        addresses = {vm.peer_address for vm in self._listed_vms.values()}
        unreachable += [
            MemberRecord(address, 0, MemberState.ALIVE, peer_address=address)
            for address in sorted(addresses.union(self._contacts) - known)
        ]
        present = self._view.known - 1
        if not unreachable or pick(len(unreachable) + present) >= max(
            len(unreachable), present // 10
        ):
            return []
        return [self._build(unreachable[pick(len(unreachable))], Purpose.PING)]

    def _ping(self, peer: MemberRecord, now_s: float, tries: int) -> Send:
        self._pings.setdefault(peer.name, _Ping(now_s, tries))
        return self._build(peer, Purpose.PING)

    def _ack(self, sender: MemberRecord, message: Gossip) -> Send:
        if message.view == self.view:
            return self._build(sender, Purpose.ACK)
        if not message.buckets or self._budget_bytes < MESSAGE_MAX_BYTES:
            # In a small page half of the bytes would be message overhead, so a router
            # with little budget left sends none.
            is_behind = message.known < self._view.known * CATCH_UP_SHARE
            page = self._introduce(sender) if is_behind else []
            return self._build(sender, Purpose.ACK, after=message.after, page=page)
        return self._build(sender, Purpose.ACK, request=message)

    def _introduce(self, newcomer: MemberRecord) -> list[MemberRecord]:
        """Return some routers, different ones each time, half of them of its zone."""
        others = [r for r in self.list_members() if r not in (self.own, newcomer)]
        near = [r for r in others if r.zone == newcomer.zone]
        far = [r for r in others if r.zone != newcomer.zone]
        half = INTRODUCTION_RECORDS // 2
        start = self._introduction_count * half
        self._introduction_count += 1
        return [*rotate(near, start, half), *rotate(far, start, half)]

    def _merge_record(
        self, record: MemberRecord, now_s: float, is_news: bool
    ) -> list[Action]:
        if record.name == self.own.name:
            if record.replaces(self.own):
                # A peer has this router as suspect or dead, or remembers a process of
                # this name with a later clock.  Its chats would move away for good.
                self._raise_incarnation(record.incarnation)
            return []
        held = self._view.get(record.name)
        if not self._view.apply(record, now_s, is_news):
            return []
        before = held.state if held is not None else None
        return [MemberChanged(self._view.records[record.name], before)]

    def _compare_views(self, message: Gossip) -> None:
        if message.purpose == Purpose.ACK:
            self._after = message.after
        self._views_differ = message.view != self.view
        self._is_behind = self._view.known < message.known * CATCH_UP_SHARE

    def _build(
        self,
        peer: MemberRecord,
        purpose: Purpose,
        after: str = "",
        request: Gossip | None = None,
        entries: PiggybackedEntries | None = None,
        page: list[MemberRecord] | None = None,
    ) -> Send:
        requests_page = purpose == Purpose.PING and self._views_differ
        after = self._after if requests_page else after
        buckets = self._view.list_buckets() if requests_page else b""
        members = [self.own, *self._list_suspicion(peer)]
        left = self._find_size_limit() - self._estimate_bytes(after, buckets, members)
        room = min(ENTRIES_MAX_BYTES, max(0, left) // 2)
        chosen, entries_bytes = choose_entries(entries or self.entries, room)
        left -= entries_bytes
        page = page or []
        if request is not None:
            page, after = self._view.list_differing(
                request.buckets, request.after, left
            )
            left -= sum(estimate_record_bytes(record) for record in page)
        changes = self._view.take_changes_to_send(left)
        members += [r for r in changes if r.name not in (self.own.name, peer.name)]
        size_bytes = (
            self._estimate_bytes(after, buckets, [*members, *page]) + entries_bytes
        )
        self._budget_bytes = max(-DEBT_MAX_BYTES, self._budget_bytes - size_bytes)
        self._sequence += 1
        message = Gossip(
            self.own.name,
            self._session,
            self._sequence,
            purpose,
            tuple(members),
            tuple(page),
            self.view,
            self._view.known,
            after,
            buckets,
            self.configuration,
            chosen,
        )
        return Send(peer.peer_address, message, size_bytes)

    def _estimate_bytes(
        self, after: str, buckets: bytes, records: list[MemberRecord]
    ) -> int:
        digests = len(self.configuration)
        base = estimate_base_bytes(self.own.name, after, buckets, digests)
        return base + sum(estimate_record_bytes(record) for record in records)

    def _find_size_limit(self) -> int:
        affordable = max(MESSAGE_MIN_BYTES, int(self._budget_bytes))
        return min(MESSAGE_MAX_BYTES, affordable)

    def _list_suspicion(self, peer: MemberRecord) -> list[MemberRecord]:
        """Return a record that suspects or removes this peer, for it to refute."""
        held = self._view.records.get(peer.name)
        if held is None or held.state in SUSPECT_STATES:
            return []
        return [held]
