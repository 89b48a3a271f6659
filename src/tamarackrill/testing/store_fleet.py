"""A fleet in virtual time that tells itself what a store has said.

The modules that decide and tell are the daemon's.  The store, the datagrams and the
reading of a change are played, so that hundreds of routers run for a minute of their
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
from tamarackrill.router.store_news import StoreNews

KIND = "config"
STEP_S = 0.02
HOUSEKEEPING_S = 0.25
CALL_S = 0.02
PAUSE_S = 0.1
PULL_S = 0.04
RETRY_MIN_S = 0.5
RETRY_MAX_S = 0.8
# How long gossip takes to tell of a router's end, and of all when a fleet starts.
REMOVED_S = 7.0
KNOWN_S = (3.0, 9.0)
CONTACTS = 3
CLOCK_OFFSET_MAX_S = 1_000_000.0
KEYS = ("a key of this fleet",)
# Of a datagram, below what is encoded.
HEADERS_BYTES = 28


class _Sent(NamedTuple):
    """A datagram on its way."""

    due_s: float
    sender: str
    address: str
    datagram: bytes


class SimulatedStore:
    """Revisions of one object, when they were acknowledged, and who is turned away.

    Parameters
    ----------
    acked_s : iterable of float, optional
        When each change was acknowledged; there is one version from the beginning.
    """

    def __init__(self, acked_s: Iterable[float] = ()) -> None:
        self.acked_s = list(acked_s)
        self.calls: list[tuple[float, str]] = []
        self.rejected_routers: set[str] = set()
        self.is_down = False

    def find_newest(self, now_s: float) -> int:
        """Return the newest revision."""
        return 1 + sum(acked_s <= now_s for acked_s in self.acked_s)

    def answers(self, name: str) -> bool:
        """Return whether a router gets an answer."""
        return not self.is_down and name not in self.rejected_routers


class SimulatedRouter:
    """One router: stands in for what asks the store and takes what others hold."""

    def __init__(
        self, fleet: "SimulatedFleet", name: str, zone: str, knows_all: bool
    ) -> None:
        self.name = name
        self.started_s = fleet.now_s
        self.revision = 0
        self.held_s: dict[int, float] = {}
        self._fleet = fleet
        self._asked_s: float | None = None
        self._asked_until_s = math.inf
        self._free_s = fleet.now_s
        self._has_rested = False
        self._retry_s = 0.0
        self._pull: tuple[float, str] | None = None
        chance = random.Random(name)
        self._told_s = fleet.now_s + chance.uniform(0, HOUSEKEEPING_S)
        # No two routers have a clock in common.
        self.clock_offset_s = chance.uniform(0, CLOCK_OFFSET_MAX_S)
        self.suspended_s = 0.0
        self.on_answer: Callable[[str, float], None] = lambda kind, as_of_s: None
        self.on_refused: Callable[[str, float], None] = lambda kind, now_s: None
        self.on_read: Callable[[str, float], None] = lambda kind, read_s: None
        self.find_rest_s: Callable[[str, float], float] = lambda kind, now_s: 0.0
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
        self.news = StoreNews(
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
        """Return this router's own time."""
        return self._fleet.now_s + self.clock_offset_s

    def suspend(self, for_s: float) -> None:
        """Let time pass that the clock doesn't count."""
        self.suspended_s += for_s
        self.clock_offset_s -= for_s

    def learn(self, members: list[Member]) -> None:
        """Take the routers that live."""
        self._members.replace(members)
        self.news.take_members()

    def digest(self) -> tuple[ConfigurationDigest, ...]:
        """Return what this router holds."""
        return (ConfigurationDigest(KIND, self.revision, self.revision, self.revision),)

    def hear_news(
        self, sender: str, address: str, digest: ConfigurationDigest, as_of_s: float
    ) -> None:
        """Pull from a router that holds more."""
        if digest.newest > self.revision and self._pull is None:
            self._pull = (self._fleet.now_s + PULL_S, address)

    def step(self, now_s: float) -> None:
        """Do what is due."""
        if now_s >= self._told_s:
            self._told_s += HOUSEKEEPING_S
            self.news.keep_telling()
        if self._pull is not None and now_s >= self._pull[0]:
            self._end_pull(self._pull[1], now_s)
        if self._asked_s is not None:
            self._wait(self._asked_s, now_s)
        elif now_s >= self._free_s:
            self._ask(now_s)

    def _end_pull(self, address: str, now_s: float) -> None:
        self._pull = None
        if self._fleet.reaches(self.name, address):
            self._take(self._fleet.routers[address].revision, now_s)
        self.news.tell()

    def _take(self, revision: int, now_s: float) -> None:
        if revision > self.revision:
            self.revision = revision
            self.held_s[revision] = now_s

    def _ask(self, now_s: float) -> None:
        if self.revision and self.find_rest_s(KIND, self.clock()) > 0.0:
            self._has_rested = True
            return
        waits = bool(self.revision) and not self._has_rested and not self._retry_s
        self._has_rested = False
        self._fleet.store.calls.append((now_s, self.name))
        self._asked_s = now_s
        wait_s = self.find_watch_s(KIND) if waits else 0.0
        self._asked_until_s = now_s + CALL_S + wait_s

    def _wait(self, asked_s: float, now_s: float) -> None:
        store = self._fleet.store
        if now_s < asked_s + CALL_S:
            return
        if not store.answers(self.name):
            self._asked_s = None
            self._retry_s = self.find_retry_s(self._retry_s)
            self._free_s = now_s + self._retry_s
            self.on_refused(KIND, self.clock())
            return
        newest = store.find_newest(now_s)
        if newest == self.revision and now_s < self._asked_until_s:
            return
        self._asked_s = None
        self._retry_s = 0.0
        self._free_s = now_s + PAUSE_S
        self._take(newest, now_s)
        self.on_answer(KIND, self.clock())


class SimulatedFleet:
    """Routers in zones, the datagrams between them, and a store.

    A datagram takes one step, and more to or from a router that is late.  What is sent
    to a frozen router waits in its socket, and is read when it runs again.

    Parameters
    ----------
    count : int
        Routers.
    store : SimulatedStore
        What they ask.
    propagation_max_s : float
        Time in which a change has to be in force.
    zones : int, optional
        Availability zones.
    knows_all : bool, optional
        Whether each router knows all others from its start.
    loss : float, optional
        Share of the datagrams that are lost.
    seed : int, optional
        Of all that is random.

    Attributes
    ----------
    frozen : set of str
        Routers that don't run.
    suspended : set of str
        Routers that don't run, and whose clocks stand still.
    cut_zones : set of str
        Zones that neither send to others nor hear them.
    extra_latency_s : dict of str to float
        Time that each datagram to a router takes longer.
    jitter_s : float
        Longest time that any datagram takes longer, by chance; later ones overtake it.
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
        self.contacts = self.names[:CONTACTS]
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
        self._learns_s: dict[str, float] = {}
        self._queue: list[_Sent] = []
        for name in self.names:
            router = SimulatedRouter(self, name, self._zones[name], knows_all)
            self.routers[name] = router
            if knows_all:
                router.learn(self._describe_all())
            else:
                self._learns_s[name] = self._random.uniform(*KNOWN_S)

    def kill(self, names: Collection[str]) -> None:
        """End routers without a word; the others learn of it later."""
        for name in names:
            del self.routers[name]
            del self._zones[name]
        for name in self.routers:
            self._learns_s[name] = self.now_s + REMOVED_S

    def find(self, is_wanted: Callable[[WatchPolicy], bool]) -> list[str]:
        """Return the names of routers."""
        return [n for n, router in self.routers.items() if is_wanted(router.watching)]

    def reaches(self, name: str, other: str) -> bool:
        """Return whether one router reaches another that runs."""
        return not self._is_stopped(other) and self._has_path(name, other)

    def _is_stopped(self, name: str) -> bool:
        return name in self.frozen or name in self.suspended

    def _has_path(self, name: str, other: str) -> bool:
        if other not in self.routers:
            return False
        zones = {self._zones.get(name), self._zones[other]}
        return len(zones) == 1 or not zones & self.cut_zones

    def send(self, name: str, address: str, datagram: bytes) -> None:
        """Carry a datagram; the address of a router is its name."""
        for who in (name, address):
            self.bytes[who] += HEADERS_BYTES + len(datagram)
        if self._random.random() < self._loss or not self._has_path(name, address):
            return
        due_s = self.now_s + self.extra_latency_s.get(address, 0.0)
        if self.jitter_s:
            due_s += self._random.uniform(0.0, self.jitter_s)
        self._queue.append(_Sent(due_s, name, address, datagram))

    def run(self, until_s: float) -> None:
        """Let time pass."""
        while self.now_s < until_s:
            self.now_s += STEP_S
            self._deliver()
            for name, router in self.routers.items():
                if name in self.suspended:
                    router.suspend(STEP_S)
                elif name not in self.frozen:
                    self._learn_if_due(name, router)
                    router.step(self.now_s)

    def _deliver(self) -> None:
        sent, self._queue = self._queue, []
        for item in sent:
            if item.due_s >= self.now_s or self._is_stopped(item.address):
                self._queue.append(item)
            elif item.address in self.routers:
                router = self.routers[item.address]
                router.news.take_datagram(item.datagram, item.sender)

    def _learn_if_due(self, name: str, router: SimulatedRouter) -> None:
        if self.now_s >= self._learns_s.get(name, math.inf):
            del self._learns_s[name]
            router.learn(self._describe_all())

    def _describe_all(self) -> list[Member]:
        return [Member(n, n, z, peer_address=n) for n, z in self._zones.items()]

    def count_calls(self, from_s: float, until_s: float) -> int:
        """Return the calls to the store within a time."""
        return sum(from_s <= at_s < until_s for at_s, _ in self.store.calls)

    def compute_delays_s(self, names: Sequence[str] | None = None) -> list[float]:
        """Return how long each version took to each router, from its acknowledgement.

        A router that was started later has as long from its start; a version that was
        acknowledged too late to tell is left out.
        """
        delays_s = []
        for name in names or self.routers:
            router = self.routers[name]
            for revision, acked_s in enumerate(self.store.acked_s, 2):
                if acked_s + self.propagation_max_s > self.now_s:
                    continue
                held = [s for r, s in router.held_s.items() if r >= revision]
                held_s = min(held, default=math.inf)
                delays_s.append(held_s - max(acked_s, router.started_s))
        return delays_s
