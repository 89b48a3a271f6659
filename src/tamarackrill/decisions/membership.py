"""Which routers exist, by gossip among themselves.

Load pattern: routers start, leave, fail and freeze, whole availability zones are cut
off, the platform's VM list lags, and each router may spend 3 KB/s at 370 routers.
Without gossip every router would follow the VM list and go on forwarding chats to
routers that died; were each to ping each, 370 routers would send 370 messages a
second each.

Each router pings one other a second, mostly in its own zone, and is answered with an
ack; both carry changes as rumours.  A router that misses two pings is suspected, and
is removed unless it refutes the suspicion by a higher incarnation.  Routers whose
views differ ask one another for the rest, page by page.

When a fleet starts at once, all know the same few routers by their settings and ask
these alone.  Their budgets are spent within a second, and answers without room for
records would leave hundreds of routers knowing three others for good.  So whoever knows
far less is introduced to a few others by each answer, whatever the budget.

Nothing that must always hold may rest on these views being the same everywhere.
docs/design/membership.md has what was weighed and the measured figures.
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
# Below a tick, so that a tick that comes a little early still sees the timeout.
PING_TIMEOUT_S = 0.9
PING_TRIES = 2
# A rumour reaches 370 routers, the suspect among them, within this time in the runs of
# bench/gossip.py; a shorter one removes routers that only missed two pings.
SUSPICION_TIMEOUT_S = 5.0
# A tick so late means that the process was frozen: its view of others is old, and
# theirs of it may say that it is dead.
FREEZE_THRESHOLD_S = 3.0
# Removed routers are probed for so long, since a cut zone comes back within minutes.
# Longer for those on the VM list.
GONE_RETENTION_S = 600.0
# One ping in so many crosses zones.
CROSS_ZONE_ONE_IN = 4
CATCH_UP_PINGS = 4
# A router that knows fewer than this share of its peer's routers is catching up.
CATCH_UP_SHARE = 0.9
# Routers that one who is catching up is told of in any case, half of them of its zone.
INTRODUCTION_RECORDS = 6
ANNOUNCE_PINGS = 6

# Sent and received together stay below 3 KB/s in any minute, as each message sent is
# received once and the burst is what a quiet router has not spent.
SENT_BYTES_PER_S = 850
SENT_BURST_BYTES = 38_000
# What is sent beyond that in a start of all, the budget makes up for in some seconds.
DEBT_MAX_BYTES = 5_000
MESSAGE_MIN_BYTES = 300
MESSAGE_MAX_BYTES = 1_200
ENTRIES_MAX_BYTES = 300

Pick = Callable[[int], int]


class Send(NamedTuple):
    """Send a message to a router, by UDP; it weighs at most `estimated_bytes`."""

    peer_address: str
    message: Gossip
    estimated_bytes: int


class MemberChanged(NamedTuple):
    """A router joined or changed its state; `before` is None for a new one."""

    record: MemberRecord
    before: MemberState | None


class PeerStateReceived(NamedTuple):
    """A router told what configuration it holds and what other modules exchange."""

    sender: str
    address: str
    configuration: tuple[ConfigurationDigest, ...]
    entries: PiggybackedEntries


class StaleMessageDropped(NamedTuple):
    """A message was a replay or was overtaken by a later one."""

    sender: str


class ProcessFroze(NamedTuple):
    """The process did not run for a while."""

    gap_s: float


Action = Send | MemberChanged | PeerStateReceived | StaleMessageDropped | ProcessFroze


class _Ping(NamedTuple):
    sent_s: float
    tries: int


class Membership:
    """What one router knows of the others.

    Parameters
    ----------
    own : MemberRecord
        This router; its incarnation must be above that of any earlier process of the
        same name, such as the start in ms since the epoch.
    contacts : tuple of str, optional
        Peer addresses of some routers, asked when the VM list can't be had.

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
        self._heard: dict[str, tuple[int, int]] = {}
        self._pings: dict[str, _Ping] = {}
        self._accused: set[str] = set()
        self._contacts = contacts
        self._seeds: dict[str, Vm] = {}
        self._once_listed: set[str] = set()
        # Not all ask for the same page first when many start at once.
        self._after = own.name
        self._differs = False
        self._behind = False
        self._ticked_s: float | None = None
        self._allowance_bytes = float(SENT_BURST_BYTES)
        self._introductions = 0

    @property
    def own(self) -> MemberRecord:
        """The record of this router."""
        return self._view.own

    @property
    def view(self) -> int:
        """Hash over the view; equal at routers that agree."""
        return self._view.content

    def live_members(self) -> list[MemberRecord]:
        """Return the routers that may get new work, by name; suspects included."""
        members = [
            record
            for record in self.list_members()
            if record.state in SERVING_STATES
            and not self._is_listed_leaving(record.name)
        ]
        return sorted(members)

    def list_members(self) -> list[MemberRecord]:
        """Return all routers that are not gone, by name."""
        others = (r for r in self._view.records.values() if r.state not in GONE_STATES)
        return sorted([self.own, *others])

    def update_vm_list(self, vms: Iterable[Vm]) -> None:
        """Take the platform's VM list, which lags.

        It gives addresses of routers to ping and says early who is leaving.  It
        neither adds nor removes a router: one that it lacks may be new, and one that
        it still has may have failed.  But a suspect that has gone from it is removed
        at once, as two signs agree.
        """
        named = {vm.name: vm for vm in vms if vm.name != self.own.name}
        self._once_listed |= named.keys()
        self._seeds = {name: vm for name, vm in named.items() if vm.peer_address}

    def tick(self, now_s: float, pick: Pick) -> list[Action]:
        """Let time pass; called each `TICK_S`.

        Parameters
        ----------
        now_s : float
            Present time, monotonic.
        pick : callable
            ``pick(n)`` returns a random number from 0 to n - 1.

        Returns
        -------
        list of Action
        """
        actions = self._note_time(now_s)
        if self.own.state in GONE_STATES:
            return actions
        actions += self._expire_pings(now_s)
        actions += self._expire_suspects(now_s)
        self._forget_gone(now_s)
        for _ in range(self._count_pings()):
            actions += self._ping_someone(now_s, pick)
        actions += self._tell_accused(pick)
        actions += self._probe_absent(pick)
        return actions

    def receive(self, message: Gossip, now_s: float) -> list[Action]:
        """Take a message whose sender is proved, and return what to do."""
        mark = (message.session, message.sequence)
        if mark <= self._heard.get(message.sender, (-1, -1)):
            return [StaleMessageDropped(message.sender)]
        if not self._is_current(message):
            return [StaleMessageDropped(message.sender)]
        self._heard[message.sender] = mark
        self._pings.pop(message.sender, None)
        actions: list[Action] = []
        for record in message.members:
            actions += self._take_record(record, now_s, is_news=True)
        for record in message.page:
            actions += self._take_record(record, now_s, is_news=False)
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

    def announce(self, state: MemberState, pick: Pick) -> list[Action]:
        """Tell several routers at once that this one is leaving, or has left.

        A router that merely stopped would be pinged and suspected first, and chats
        would be forwarded to it for seconds.
        """
        self._view.set_own(self.own._replace(state=state))
        peers = [record for record in self.list_members() if record != self.own]
        actions: list[Action] = []
        while peers and len(actions) < ANNOUNCE_PINGS:
            peer = peers.pop(pick(len(peers)))
            actions.append(self._build(peer, Purpose.PUSH))
        return actions

    def push_entries(self, name: str, entries: PiggybackedEntries) -> list[Action]:
        """Send entries to one router at once, as far as they and the budget allow."""
        peer = self._view.get(name)
        if peer is None or peer == self.own or self._allowance_bytes < 0:
            return []
        return [self._build(peer, Purpose.PUSH, entries=entries)]

    def _is_current(self, message: Gossip) -> bool:
        """Return whether a message is the sender's own and not of an earlier process.

        A late message of the process that had this name before would bring back its
        loads and its digest of the configuration.
        """
        first = message.members[0] if message.members else None
        if first is None or first.name != message.sender or first.name == self.own.name:
            return False
        held = self._view.get(first.name)
        return held is None or held.incarnation <= first.incarnation

    def _is_listed_leaving(self, name: str) -> bool:
        return name in self._seeds and self._seeds[name].state == "leaving"

    def _note_time(self, now_s: float) -> list[Action]:
        gap_s = now_s - self._ticked_s if self._ticked_s is not None else TICK_S
        self._ticked_s = now_s
        refilled = self._allowance_bytes + gap_s * SENT_BYTES_PER_S
        self._allowance_bytes = min(SENT_BURST_BYTES, refilled)
        if gap_s < FREEZE_THRESHOLD_S:
            return []
        # Every timer is overdue after a freeze.  Were they to fire, the one router
        # that did not run would suspect all those that did.
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
                    self._accused.add(name)
                    actions.append(MemberChanged(self._view.records[name], before))
        return actions

    def _expire_suspects(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for record in self._view.list_suspects():
            unlisted = record.name in self._once_listed - self._seeds.keys()
            waited_s = now_s - self._view.changed_s[record.name]
            if unlisted or waited_s >= SUSPICION_TIMEOUT_S:
                dead = record._replace(state=MemberState.DEAD)
                self._view.apply(dead, now_s)
                actions.append(MemberChanged(dead, record.state))
        return actions

    def _forget_gone(self, now_s: float) -> None:
        for record in list(self._view.records.values()):
            old = now_s - self._view.changed_s[record.name] >= GONE_RETENTION_S
            if record.state in GONE_STATES and old and record.name not in self._seeds:
                self._view.forget(record.name)
                self._once_listed.discard(record.name)
                self._heard.pop(record.name, None)

    def _ping_someone(self, now_s: float, pick: Pick) -> list[Action]:
        others = [r for r in self.list_members() if r != self.own]
        near = [r for r in others if r.zone == self.own.zone]
        far = [r for r in others if r.zone != self.own.zone]
        cross = far and (not near or pick(CROSS_ZONE_ONE_IN) == 0)
        choice = far if cross else near
        if not choice:
            return []
        return [self._ping(choice[pick(len(choice))], now_s, 1)]

    def _tell_accused(self, pick: Pick) -> list[Action]:
        """Ping a router that this one holds for suspect, so that it can refute.

        By rumour alone the suspicion may reach it too late, and on a network that
        loses messages routers that run would be removed all the time.
        """
        suspects = {record.name for record in self._view.list_suspects()}
        self._accused &= suspects
        accused = sorted(self._accused)
        if not accused:
            return []
        record = self._view.records[accused[pick(len(accused))]]
        return [self._build(record, Purpose.PING)]

    def _count_pings(self) -> int:
        affordable = int(self._allowance_bytes) // MESSAGE_MAX_BYTES
        # Not all to the few routers that every new one knows.
        others = (self._view.known - 1) // 2
        catch_up = min(CATCH_UP_PINGS, affordable, others)
        return max(1, catch_up) if self._behind else 1

    def _probe_absent(self, pick: Pick) -> list[Action]:
        """Ping one that is gone or was never heard, more often the more there are.

        Without it two sides of a healed cut, which hold one another for dead, would
        never speak again.
        """
        records = self._view.records
        absent = [r for r in records.values() if r.state == MemberState.DEAD]
        known = {record.peer_address for record in (self.own, *records.values())}
        addresses = {vm.peer_address for vm in self._seeds.values()}
        absent += [
            MemberRecord(address, 0, MemberState.ALIVE, peer_address=address)
            for address in sorted(addresses.union(self._contacts) - known)
        ]
        present = self._view.known - 1
        if not absent or pick(len(absent) + present) >= max(len(absent), present // 10):
            return []
        return [self._build(absent[pick(len(absent))], Purpose.PING)]

    def _ping(self, peer: MemberRecord, now_s: float, tries: int) -> Send:
        self._pings.setdefault(peer.name, _Ping(now_s, tries))
        return self._build(peer, Purpose.PING)

    def _ack(self, sender: MemberRecord, message: Gossip) -> Send:
        if message.view == self.view:
            return self._build(sender, Purpose.ACK)
        if not message.buckets or self._allowance_bytes < MESSAGE_MAX_BYTES:
            # Half of a small page would be the message around it, so a router that is
            # short of its budget sends none.
            is_behind = message.known < self._view.known * CATCH_UP_SHARE
            page = self._introduce(sender) if is_behind else []
            return self._build(sender, Purpose.ACK, after=message.after, page=page)
        return self._build(sender, Purpose.ACK, asked=message)

    def _introduce(self, newcomer: MemberRecord) -> list[MemberRecord]:
        """Return some routers, other ones each time, half of them of its own zone."""
        others = [r for r in self.list_members() if r not in (self.own, newcomer)]
        near = [r for r in others if r.zone == newcomer.zone]
        far = [r for r in others if r.zone != newcomer.zone]
        half = INTRODUCTION_RECORDS // 2
        start = self._introductions * half
        self._introductions += 1
        return [*rotate(near, start, half), *rotate(far, start, half)]

    def _take_record(
        self, record: MemberRecord, now_s: float, is_news: bool
    ) -> list[Action]:
        if record.name == self.own.name:
            if record.replaces(self.own):
                # Someone holds this router for dead, or remembers a process of this
                # name with a later clock.  Its chats would move away for good.
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
        self._differs = message.view != self.view
        self._behind = self._view.known < message.known * CATCH_UP_SHARE

    def _build(
        self,
        peer: MemberRecord,
        purpose: Purpose,
        after: str = "",
        asked: Gossip | None = None,
        entries: PiggybackedEntries | None = None,
        page: list[MemberRecord] | None = None,
    ) -> Send:
        asks = purpose == Purpose.PING and self._differs
        after = self._after if asks else after
        buckets = self._view.list_buckets() if asks else b""
        members = [self.own, *self._list_unrefuted(peer)]
        left = self._limit_message() - self._weigh(after, buckets, members)
        room = min(ENTRIES_MAX_BYTES, max(0, left) // 2)
        chosen, entries_bytes = choose_entries(entries or self.entries, room)
        left -= entries_bytes
        page = page or []
        if asked is not None:
            page, after = self._view.list_differing(asked.buckets, asked.after, left)
            left -= sum(estimate_record_bytes(record) for record in page)
        rumours = self._view.take_rumours(left)
        members += [r for r in rumours if r.name not in (self.own.name, peer.name)]
        weight = self._weigh(after, buckets, [*members, *page]) + entries_bytes
        self._allowance_bytes = max(-DEBT_MAX_BYTES, self._allowance_bytes - weight)
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
        return Send(peer.peer_address, message, weight)

    def _weigh(self, after: str, buckets: bytes, records: list[MemberRecord]) -> int:
        digests = len(self.configuration)
        base = estimate_base_bytes(self.own.name, after, buckets, digests)
        return base + sum(estimate_record_bytes(record) for record in records)

    def _limit_message(self) -> int:
        affordable = max(MESSAGE_MIN_BYTES, int(self._allowance_bytes))
        return min(MESSAGE_MAX_BYTES, affordable)

    def _list_unrefuted(self, peer: MemberRecord) -> list[MemberRecord]:
        """Return what is held against a router, so that it can refute it."""
        held = self._view.records.get(peer.name)
        if held is None or held.state in SUSPECT_STATES:
            return []
        return [held]
