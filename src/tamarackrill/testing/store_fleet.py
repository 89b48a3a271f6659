"""Fleet of routers in virtual time that spread the revisions of a store by gossip.

The decision and gossip modules are the daemon's.  The store, the network and the pull
of a change are simulated, so that hundreds of routers run through a minute of virtual
time within seconds.
"""

import math
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple

from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.news_shares import EVIDENCE_AGE_MAX_SHARE
from tamarackrill.decisions.watching import SETTLE_S, WatchPolicy
from tamarackrill.router.members import Member, Members
from tamarackrill.router.store_news import EvidenceExchange

KIND = "config"
STEP_S = 0.02
HOUSEKEEPING_S = 0.25
CALL_LATENCY_S = 0.02
CALL_PAUSE_S = 0.1
PULL_LATENCY_S = 0.04
RETRY_MIN_S = 0.5
RETRY_MAX_S = 0.8
# How long gossip takes to report a dead router, and to make all routers known to each
# other when a fleet starts.
FAILURE_DETECTION_S = 7.0
DISCOVERY_RANGE_S = (3.0, 9.0)
CONTACT_COUNT = 3
CLOCK_OFFSET_MAX_S = 1_000_000.0
KEYS = ("a key of this fleet",)
# Size of the IP and UDP headers of a datagram.
HEADERS_BYTES = 28


class _Datagram(NamedTuple):
    """A datagram in transit."""

    due_s: float
    sender: str
    address: str
    datagram: bytes


class SimulatedStore:
    """Store of one object with scheduled changes and injected failures.

    Parameters
    ----------
    acked_s : iterable of float, optional
        When each change was acknowledged; revision 1 exists from the start.
    """

    def __init__(self, acked_s: Iterable[float] = ()) -> None:
        self.acked_s = list(acked_s)
        self.calls: list[tuple[float, str]] = []
        self.rejected_routers: set[str] = set()
        self.is_down = False

    def find_newest(self, now_s: float) -> int:
        """Return the newest acknowledged revision."""
        return 1 + sum(acked_s <= now_s for acked_s in self.acked_s)

    def answers(self, name: str) -> bool:
        """Return whether the store answers a router."""
        return not self.is_down and name not in self.rejected_routers


class SimulatedRouter:
    """Router with simulated calls to the store and simulated pulls from peers."""

    def __init__(
        self, fleet: "SimulatedFleet", name: str, zone: str, knows_all: bool
    ) -> None:
        self.name = name
        self.started_s = fleet.now_s
        self.revision = 0
        self.received_s: dict[int, float] = {}
        self._fleet = fleet
        self._call_started_s: float | None = None
        self._call_until_s = math.inf
        self._next_call_s = fleet.now_s
        self._skipped_call = False
        self._retry_s = 0.0
        self._pending_pull: tuple[float, str] | None = None
        rng = random.Random(name)
        self._next_news_s = fleet.now_s + rng.uniform(0, HOUSEKEEPING_S)
        # Routers don't share a clock.
        self.clock_offset_s = rng.uniform(0, CLOCK_OFFSET_MAX_S)
        self.suspended_s = 0.0
        self.on_answer: Callable[[str, float], None] = lambda kind, as_of_s: None
        self.on_unavailable: Callable[[str, float], None] = lambda kind, now_s: None
        self.on_read: Callable[[str, float], None] = lambda kind, read_s: None
        self.find_poll_delay_s: Callable[[str, float], float] = lambda kind, now_s: 0.0
        self.find_watch_s: Callable[[str], float] = lambda kind: 0.0
        self.find_retry_s: Callable[[float], float] = lambda before_s: min(
            RETRY_MAX_S, max(RETRY_MIN_S, 2 * before_s)
        )
        settle_s = 0.0 if knows_all else SETTLE_S
        self.watching = WatchPolicy(
            name,
            zone,
            EVIDENCE_AGE_MAX_SHARE * fleet.propagation_max_s,
            self.clock() + settle_s,
            fleet.propagation_max_s,
            (KIND,),
        )
        self._members = Members(Member(name, name, zone, peer_address=name))
        self.news = EvidenceExchange(
            self.watching,
            self._members,
            self,  # type: ignore[arg-type]
            lambda address, datagram: fleet.send(name, address, datagram),
            KEYS,
            round(fleet.now_s * 1000) + 1,
            self.clock,
            tuple(contact for contact in fleet.contacts if contact != name),
            fleet.pick,
            lambda: self.suspended_s,
        )

    def clock(self) -> float:
        """Return the time of this router's monotonic clock."""
        return self._fleet.now_s + self.clock_offset_s

    def suspend(self, for_s: float) -> None:
        """Let time pass during which the clock stands still."""
        self.suspended_s += for_s
        self.clock_offset_s -= for_s

    def learn(self, members: list[Member]) -> None:
        """Replace the list of live routers."""
        self._members.replace(members)
        self.news.update_members()

    def is_comparable(self, digest: ConfigurationDigest) -> bool:
        """Return whether evidence with this digest may tell of something newer."""
        return True

    def digest(self) -> tuple[ConfigurationDigest, ...]:
        """Return the digest of the revision that this router holds."""
        return (ConfigurationDigest(KIND, self.revision, self.revision, self.revision),)

    def observe_evidence(
        self, sender: str, address: str, digest: ConfigurationDigest, as_of_s: float
    ) -> None:
        """Schedule a pull from a router that holds a newer revision."""
        if digest.newest > self.revision and self._pending_pull is None:
            self._pending_pull = (self._fleet.now_s + PULL_LATENCY_S, address)

    def step(self, now_s: float) -> None:
        """Send news, finish a pull and call the store, each when due."""
        if now_s >= self._next_news_s:
            self._next_news_s += HOUSEKEEPING_S
            self.news.repeat_evidence()
        if self._pending_pull is not None and now_s >= self._pending_pull[0]:
            self._finish_pull(self._pending_pull[1], now_s)
        if self._call_started_s is not None:
            self._poll_call(self._call_started_s, now_s)
        elif now_s >= self._next_call_s:
            self._start_call(now_s)

    def _finish_pull(self, address: str, now_s: float) -> None:
        self._pending_pull = None
        if self._fleet.reaches(self.name, address):
            self._adopt(self._fleet.routers[address].revision, now_s)
        self.news.tell()

    def _adopt(self, revision: int, now_s: float) -> None:
        if revision > self.revision:
            self.revision = revision
            self.received_s[revision] = now_s

    def _start_call(self, now_s: float) -> None:
        if self.revision and self.find_poll_delay_s(KIND, self.clock()) > 0.0:
            self._skipped_call = True
            return
        waits = bool(self.revision) and not self._skipped_call and not self._retry_s
        self._skipped_call = False
        self._fleet.store.calls.append((now_s, self.name))
        self._call_started_s = now_s
        wait_s = self.find_watch_s(KIND) if waits else 0.0
        self._call_until_s = now_s + CALL_LATENCY_S + wait_s

    def _poll_call(self, called_s: float, now_s: float) -> None:
        store = self._fleet.store
        if now_s < called_s + CALL_LATENCY_S:
            return
        if not store.answers(self.name):
            self._call_started_s = None
            self._retry_s = self.find_retry_s(self._retry_s)
            self._next_call_s = now_s + self._retry_s
            self.on_unavailable(KIND, self.clock())
            return
        newest = store.find_newest(now_s)
        if newest == self.revision and now_s < self._call_until_s:
            return
        self._call_started_s = None
        self._retry_s = 0.0
        self._next_call_s = now_s + CALL_PAUSE_S
        self._adopt(newest, now_s)
        self.on_answer(KIND, self.clock())


class SimulatedFleet:
    """Simulated routers in zones, the network between them, and a store.

    A datagram takes one step, plus any latency set for its receiver.  What is sent to
    a frozen router waits in its socket buffer until the router runs again.

    Parameters
    ----------
    count : int
        Number of routers.
    store : SimulatedStore
        Store that the routers call.
    propagation_max_s : float
        Time within which a change must be in force.
    zones : int, optional
        Number of availability zones.
    knows_all : bool, optional
        Whether each router knows all others from its start.
    loss : float, optional
        Fraction of datagrams that are lost.
    seed : int, optional
        Seed of the loss, jitter, start-up delays and peer selection.

    Attributes
    ----------
    frozen : set of str
        Routers that don't run.
    suspended : set of str
        Routers that don't run and whose clocks stand still.
    cut_zones : set of str
        Zones partitioned from all others.
    extra_latency_s : dict of str to float
        Additional latency of datagrams, by receiver.
    jitter_s : float
        Maximum random latency added to each datagram, so that they are reordered.
    """

    def __init__(
        self,
        count: int,
        store: SimulatedStore,
        propagation_max_s: float,
        zones: int = 6,
        knows_all: bool = True,
        loss: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.now_s = 0.0
        self.store = store
        self.propagation_max_s = propagation_max_s
        self.names = [f"router-{number:03d}" for number in range(count)]
        self.contacts = self.names[:CONTACT_COUNT]
        self.routers: dict[str, SimulatedRouter] = {}
        self.frozen: set[str] = set()
        self.suspended: set[str] = set()
        self.cut_zones: set[str] = set()
        self.extra_latency_s: dict[str, float] = {}
        self.jitter_s = 0.0
        self.bytes: Counter[str] = Counter()
        self._zones = {n: f"zone-{i % zones}" for i, n in enumerate(self.names)}
        self._loss = loss
        self._random = random.Random(seed)
        self.pick = self._random.randrange
        self._member_update_s: dict[str, float] = {}
        self._queue: list[_Datagram] = []
        for name in self.names:
            router = SimulatedRouter(self, name, self._zones[name], knows_all)
            self.routers[name] = router
            if knows_all:
                router.learn(self._list_members())
            else:
                self._member_update_s[name] = self._random.uniform(*DISCOVERY_RANGE_S)

    def kill(self, names: Collection[str]) -> None:
        """End routers; the others learn of it after `FAILURE_DETECTION_S`."""
        for name in names:
            del self.routers[name]
            del self._zones[name]
        for name in self.routers:
            self._member_update_s[name] = self.now_s + FAILURE_DETECTION_S

    def find(self, is_wanted: Callable[[WatchPolicy], bool]) -> list[str]:
        """Return the names of the routers whose watch policy matches."""
        return [n for n, router in self.routers.items() if is_wanted(router.watching)]

    def reaches(self, name: str, other: str) -> bool:
        """Return whether `other` runs and is reachable from `name`."""
        return not self._is_stopped(other) and self._is_connected(name, other)

    def _is_stopped(self, name: str) -> bool:
        return name in self.frozen or name in self.suspended

    def _is_connected(self, name: str, other: str) -> bool:
        if other not in self.routers:
            return False
        zones = {self._zones.get(name), self._zones[other]}
        return len(zones) == 1 or not zones & self.cut_zones

    def send(self, name: str, address: str, datagram: bytes) -> None:
        """Queue a datagram, unless it is lost; a router's address is its name."""
        for who in (name, address):
            self.bytes[who] += HEADERS_BYTES + len(datagram)
        if self._random.random() < self._loss or not self._is_connected(name, address):
            return
        due_s = self.now_s + self.extra_latency_s.get(address, 0.0)
        if self.jitter_s:
            due_s += self._random.uniform(0.0, self.jitter_s)
        self._queue.append(_Datagram(due_s, name, address, datagram))

    def run(self, until_s: float) -> None:
        """Advance virtual time."""
        while self.now_s < until_s:
            self.now_s += STEP_S
            self._deliver()
            for name, router in self.routers.items():
                if name in self.suspended:
                    router.suspend(STEP_S)
                elif name not in self.frozen:
                    self._update_members_if_due(name, router)
                    router.step(self.now_s)

    def _deliver(self) -> None:
        sent, self._queue = self._queue, []
        for item in sent:
            if item.due_s >= self.now_s or self._is_stopped(item.address):
                self._queue.append(item)
            elif item.address in self.routers:
                router = self.routers[item.address]
                router.news.handle_datagram(item.datagram, item.sender)

    def _update_members_if_due(self, name: str, router: SimulatedRouter) -> None:
        if self.now_s >= self._member_update_s.get(name, math.inf):
            del self._member_update_s[name]
            router.learn(self._list_members())

    def _list_members(self) -> list[Member]:
        return [Member(n, n, z, peer_address=n) for n, z in self._zones.items()]

    def count_calls(self, from_s: float, until_s: float) -> int:
        """Return the number of calls to the store in an interval."""
        return sum(from_s <= at_s < until_s for at_s, _ in self.store.calls)

    def compute_delays_s(self, names: Sequence[str] | None = None) -> list[float]:
        """Return the delay from each change's acknowledgement to each router.

        For a router that started after the acknowledgement, the delay counts from its
        start.  Changes whose propagation time has not passed yet are left out.
        """
        delays_s = []
        for name in names or self.routers:
            router = self.routers[name]
            for revision, acked_s in enumerate(self.store.acked_s, 2):
                if acked_s + self.propagation_max_s > self.now_s:
                    continue
                held = [s for r, s in router.received_s.items() if r >= revision]
                received_s = min(held, default=math.inf)
                delays_s.append(received_s - max(acked_s, router.started_s))
        return delays_s
