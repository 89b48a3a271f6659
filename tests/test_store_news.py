"""Fleets in virtual time: who asks the store, and when a change is in force everywhere.

The modules that decide and tell are the product's; the store, the network between the
routers and the reading of a change are played.
"""

import math
import random
from collections import Counter

import pytest

from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.news_shares import TRUST_MAX_SHARE
from tamarackrill.decisions.watching import SETTLE_S, Watching
from tamarackrill.router.members import Member, Members
from tamarackrill.router.store_news import StoreNews

KIND = "config"
NEWS_MAX_S = 4.0
ZONES = 6
STEP_S = 0.02
HOUSEKEEPING_S = 0.25
CALL_S = 0.02
PAUSE_S = 0.1
PULL_S = 0.04
# How long gossip takes to tell of a router's end.
REMOVED_S = 7.0
# Of a datagram, below what is encoded.
HEADERS_BYTES = 28
KEYS = ("a key of this test",)


class Store:
    """Revisions of one object, when they were acknowledged, and who is turned away."""

    def __init__(self, acked_s=()):
        self.acked_s = list(acked_s)
        self.calls = []
        self.turned_away = set()
        self.is_down = False

    def newest(self, now_s):
        return 1 + sum(acked_s <= now_s for acked_s in self.acked_s)

    def answers(self, name):
        return not self.is_down and name not in self.turned_away


class Router:
    """One router: stands in for what asks the store and takes what others hold."""

    def __init__(self, fleet, name, zone, started_s, knows_all):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.started_s = started_s
        self.revision = 0
        self.held_s = {}
        self.asked_s = None
        self.asked_until_s = math.inf
        self.waits = False
        self.free_s = started_s
        self.has_rested = False
        self.retry_s = 0.0
        self.pull = None
        self.told_s = started_s + random.Random(name).uniform(0, HOUSEKEEPING_S)
        self.find_retry_s = lambda before_s: min(0.8, max(0.5, 2 * before_s))
        settled_s = started_s if knows_all else started_s + SETTLE_S
        self.watching = Watching(
            name, zone, TRUST_MAX_SHARE * NEWS_MAX_S, settled_s, NEWS_MAX_S, (KIND,)
        )
        own = Member(name, name, zone, peer_address=name)
        self.members = Members(own)
        self.news = StoreNews(
            self.watching,
            self.members,
            self,
            lambda address, datagram: fleet.send(name, address, datagram),
            KEYS,
            round(started_s * 1000) + 1,
            lambda: fleet.now_s,
            tuple(c for c in fleet.contacts if c != name),
        )
        if knows_all:
            self.learn(fleet.describe_all())

    def learn(self, members):
        self.members.replace(members)
        self.news.take_members()

    def digest(self):
        return (ConfigurationDigest(KIND, self.revision, self.revision, self.revision),)

    def hear_news(self, sender, address, digest, as_of_s):
        if digest.newest > self.revision and self.pull is None:
            self.pull = (self.fleet.now_s + PULL_S, address)

    def step(self, now_s):
        if now_s >= self.told_s:
            self.told_s += HOUSEKEEPING_S
            self.news.keep_telling()
        if self.pull and now_s >= self.pull[0]:
            self._end_pull(now_s)
        if self.asked_s is not None:
            self._wait(now_s)
        elif now_s >= self.free_s:
            self._ask(now_s)

    def _end_pull(self, now_s):
        peer = self.fleet.routers.get(self.pull[1])
        self.pull = None
        if peer is not None and self.fleet.reaches(self.name, peer.name):
            self._take(peer.revision, now_s)
        self.news.tell()

    def _take(self, revision, now_s):
        if revision > self.revision:
            self.revision = revision
            self.held_s[revision] = now_s

    def _ask(self, now_s):
        if self.revision and self.find_rest_s(KIND, now_s) > 0.0:
            self.has_rested = True
            return
        wait_s = self.find_watch_s(KIND)
        self.waits = bool(self.revision) and not self.has_rested and not self.retry_s
        self.has_rested = False
        self.fleet.store.calls.append((now_s, self.name))
        self.asked_s = now_s
        self.asked_until_s = now_s + CALL_S + (wait_s if self.waits else 0.0)

    def _wait(self, now_s):
        store = self.fleet.store
        if not store.answers(self.name):
            if now_s >= self.asked_s + CALL_S:
                self.asked_s = None
                self.retry_s = self.find_retry_s(self.retry_s)
                self.free_s = now_s + self.retry_s
                self.on_refused(KIND, now_s)
            return
        newest = store.newest(now_s)
        has_changed = newest > self.revision and now_s >= self.asked_s + CALL_S
        if not has_changed and now_s < self.asked_until_s:
            return
        self.asked_s = None
        self.retry_s = 0.0
        self.free_s = now_s + PAUSE_S
        self._take(newest, now_s)
        self.on_answer(KIND, now_s)


class Fleet:
    """Routers in zones, the datagrams between them, and a store."""

    def __init__(self, count, store, knows_all=True, loss=0.0, seed=1):
        self.now_s = 0.0
        self.store = store
        self.random = random.Random(seed)
        self.loss = loss
        self.cut_zones = set()
        self.names = [f"router-{number:03d}" for number in range(count)]
        self.zones = {n: f"zone-{i % ZONES}" for i, n in enumerate(self.names)}
        self.contacts = self.names[:3]
        self.routers = {}
        self.frozen = set()
        self.learns_s = {}
        self.queue = []
        self.bytes = Counter()
        for name in self.names:
            self.start(name, knows_all)

    def start(self, name, knows_all=True):
        self.routers[name] = Router(self, name, self.zones[name], self.now_s, knows_all)
        if not knows_all:
            self.learns_s[name] = self.now_s + self.random.uniform(3.0, 9.0)

    def describe_all(self):
        return [Member(n, n, z, peer_address=n) for n, z in self.zones.items()]

    def kill(self, names):
        for name in names:
            del self.routers[name]
            del self.zones[name]
        for name in self.routers:
            self.learns_s[name] = self.now_s + REMOVED_S

    def find(self, is_wanted):
        return [n for n, r in self.routers.items() if is_wanted(r.watching)]

    def reaches(self, name, other):
        if other not in self.routers or other in self.frozen:
            return False
        zones = {self.zones.get(name), self.zones.get(other)}
        return len(zones) == 1 or not zones & self.cut_zones

    def send(self, name, address, datagram):
        for who in (name, address):
            self.bytes[who] += HEADERS_BYTES + len(datagram)
        if self.random.random() >= self.loss and self.reaches(name, address):
            self.queue.append((name, address, datagram))

    def run(self, until_s):
        while self.now_s < until_s:
            self.now_s += STEP_S
            sent, self.queue = self.queue, []
            for name, address, datagram in sent:
                if address in self.routers and address not in self.frozen:
                    self.routers[address].news.take_datagram(datagram, name)
            for name, router in self.routers.items():
                if name in self.frozen:
                    continue
                if self.now_s >= self.learns_s.get(name, math.inf):
                    del self.learns_s[name]
                    router.learn(self.describe_all())
                router.step(self.now_s)

    def count_calls(self, from_s, until_s):
        return sum(from_s <= at_s < until_s for at_s, _ in self.store.calls)

    def check_in_force(self, names=None):
        """Each router has each version in force in time, from its own start on."""
        for name in names or self.routers:
            router = self.routers[name]
            for revision, acked_s in enumerate(self.store.acked_s, 2):
                if acked_s + NEWS_MAX_S > self.now_s:
                    continue
                held_s = min(
                    (s for r, s in router.held_s.items() if r >= revision),
                    default=math.inf,
                )
                assert held_s - max(acked_s, router.started_s) <= NEWS_MAX_S


# One watcher's calls, and as many again for those who ask when its word is late.
CALLS_PER_S = 2 / (NEWS_MAX_S / 2)


@pytest.mark.parametrize("count", [8, 76, 195, 370])
def test_calls_to_the_store_do_not_grow_with_the_fleet(count):
    # Guards against each router asking the store for what one of them knows.
    fleet = Fleet(count, Store([10.0 + 4 * n for n in range(4)]))
    fleet.run(25.0)
    fleet.check_in_force()
    assert fleet.count_calls(5.0, 25.0) <= 20 * CALLS_PER_S + 4


@pytest.mark.parametrize("count", [8, 76, 195, 370])
def test_no_router_sends_and_hears_more_than_its_share(count):
    # Guards against a head that tells each router of a large zone by itself.  Control
    # may take 3 kB/s of a node, of which gossip takes half a kilobyte.
    fleet = Fleet(count, Store([30.0]))
    fleet.run(5.0)
    fleet.bytes.clear()
    fleet.run(25.0)
    assert max(fleet.bytes.values()) / 20.0 <= 2_500


@pytest.mark.parametrize("count", [8, 76, 195])
def test_fleet_that_starts_at_once_finds_one_watcher_before_it_knows_itself(count):
    # Guards against each router taking itself for the watcher until gossip has told of
    # all others, which takes longer the more there are.
    fleet = Fleet(count, Store([3.0, 5.5, 12.0]), knows_all=False)
    fleet.run(20.0)
    fleet.check_in_force()
    assert fleet.count_calls(0.0, 9.0) <= 3 * count
    assert fleet.count_calls(9.0, 20.0) <= 11 * CALLS_PER_S + 4


@pytest.mark.parametrize("who", ["watcher", "heads", "watcher and heads", "contacts"])
def test_changes_are_in_force_in_time_though_those_who_tell_are_killed(who):
    # Guards against routers that go on believing the last word of one that is gone.
    fleet = Fleet(76, Store([12.0 + 0.7 * n for n in range(20)]))
    fleet.run(11.5)
    killed = {
        "watcher": fleet.find(lambda w: w.is_watcher),
        "heads": fleet.find(lambda w: w.is_head and not w.is_watcher),
        "watcher and heads": fleet.find(lambda w: w.is_head or w.is_watcher),
        "contacts": list(fleet.contacts),
    }[who]
    fleet.kill(killed)
    fleet.run(32.0)
    fleet.check_in_force()


@pytest.mark.parametrize("frozen_s", [0.5, 2.0, 5.0])
def test_changes_are_in_force_in_time_though_the_watcher_is_frozen(frozen_s):
    # Guards against a watcher that does not run, and is still counted as alive.
    fleet = Fleet(76, Store([12.0 + 0.7 * n for n in range(12)]))
    fleet.run(11.5)
    fleet.frozen = set(fleet.find(lambda w: w.is_watcher))
    fleet.run(11.5 + frozen_s)
    thawed, fleet.frozen = fleet.frozen, set()
    fleet.run(26.0)
    fleet.check_in_force([n for n in fleet.routers if n not in thawed])


def test_zone_that_is_cut_off_asks_the_store_by_itself():
    # Guards against a zone that waits for the word of routers it can't hear.
    fleet = Fleet(76, Store([12.0 + 0.7 * n for n in range(12)]))
    fleet.run(11.5)
    fleet.cut_zones = {"zone-2"}
    fleet.run(26.0)
    fleet.check_in_force()


def test_watcher_that_is_turned_away_leaves_the_work_to_others():
    # Guards against a watcher whom the store refuses: it asks again and again, or the
    # fleet hears of nothing.
    fleet = Fleet(76, Store([12.0 + 0.7 * n for n in range(12)]))
    fleet.run(11.5)
    fleet.store.turned_away = set(fleet.find(lambda w: w.is_watcher))
    fleet.run(26.0)
    fleet.check_in_force()
    (refused,) = fleet.store.turned_away
    tries = sum(name == refused and at_s > 15.0 for at_s, name in fleet.store.calls)
    assert tries <= 6


@pytest.mark.parametrize("share", [0.33, 0.8])
def test_routers_that_are_turned_away_hear_from_those_that_are_served(share):
    # Guards against a third of the fleet that asks again for as long as it is refused.
    fleet = Fleet(195, Store([12.0 + 1.4 * n for n in range(6)]))
    fleet.run(11.5)
    fleet.store.turned_away = set(fleet.names[: int(share * len(fleet.names))])
    fleet.run(22.0)
    fleet.check_in_force()
    assert fleet.count_calls(12.0, 22.0) <= 0.2 * 10 * len(fleet.store.turned_away)


def test_store_that_is_down_is_not_asked_by_all_all_the_time():
    # Guards against a store that comes back to hundreds of calls a second.
    fleet = Fleet(195, Store())
    fleet.run(11.5)
    fleet.store.is_down = True
    fleet.run(21.5)
    fleet.store.is_down = False
    fleet.store.acked_s = [21.5]
    fleet.run(28.0)
    fleet.check_in_force()
    # Fewer than one call a router in each second.
    assert fleet.count_calls(15.0, 21.5) <= 0.5 * 6.5 * 195


def test_lost_datagrams_cost_few_calls():
    # Guards against a fleet that asks the store for each datagram that is lost.
    fleet = Fleet(76, Store([12.0 + 1.4 * n for n in range(6)]), loss=0.1)
    fleet.run(25.0)
    fleet.check_in_force()
    assert fleet.count_calls(10.0, 25.0) <= 2 * 15 * CALLS_PER_S
