"""Gossip of placements between routers, with crashes, partitions and losses."""

import math
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackrill.decisions.placement_news import (
    BATCH_MAX,
    BURST_S,
    FLEET_ENTRIES_PER_S,
    KEPT_S,
    QUEUE_MAX,
    TICK_S,
    Holding,
    News,
    PlacementNews,
    Stage,
    list_receivers,
)

ZONES = ("hall-a", "hall-b", "hall-c")
HELD = Holding("engine-1", "0123456789abcdef", 9000)


def make_held(number, tokens=1000):
    return Holding("engine-1", f"{number:016x}", tokens)


class Fleet:
    """Routers that exchange news; datagrams arrive unless a test drops them."""

    def __init__(self, counts):
        self.zones = {
            f"{zone}-{n}": zone
            for zone, count in zip(ZONES, counts, strict=False)
            for n in range(count)
        }
        self.routers = {n: PlacementNews(n, z) for n, z in self.zones.items()}
        self.heard = {name: set() for name in self.routers}
        self.received = Counter()
        self.sent = Counter()
        self.now_s = 0.0
        self.is_lost = lambda sender, receiver: False
        self.spread_members(self.zones)

    def spread_members(self, names):
        for router in self.routers.values():
            router.set_members((name, self.zones[name]) for name in names)

    def tell(self, name, held):
        self.heard[name].add(held)
        self.routers[name].tell(held, False, self.now_s)

    def tick(self):
        self.now_s += TICK_S
        for name, router in list(self.routers.items()):
            self.deliver(name, router.tick(self.now_s))

    def deliver(self, sender, actions):
        for action in actions:
            self.sent[sender] += 1
            receiver = action.router
            if receiver not in self.routers or self.is_lost(sender, receiver):
                continue
            self.received[receiver] += 1
            self.heard[receiver].update(action.news.entries)
            self.deliver(receiver, self.routers[receiver].receive(action.news))


@pytest.mark.parametrize("counts", [(1,), (2,), (3, 1, 2), (15, 15, 15), (46, 2, 1)])
def test_news_reaches_every_router_within_three_ticks(counts):
    # A session's engine is full and its prompt goes to another one.  A router without
    # this news sends the next prompt to a third.
    fleet = Fleet(counts)
    origin = sorted(fleet.routers)[-1]
    fleet.tell(origin, HELD)
    for _ in range(3):
        fleet.tick()
    assert all(HELD in heard for heard in fleet.heard.values())


@pytest.mark.parametrize("counts", [(3, 1, 2), (15, 15, 15), (46, 2, 1)])
def test_news_is_received_once_and_each_router_sends_few_datagrams(counts):
    # If routers sent news to all others, each of 370 would send 370 datagrams for each
    # session that moves, and the hub of a zone as many as its zone has routers.
    fleet = Fleet(counts)
    for number, name in enumerate(fleet.routers):
        fleet.tell(name, make_held(number))
    zones, others = len(counts), max(counts) - 1
    helpers = math.isqrt(others)
    served = math.ceil((others - helpers) / max(1, helpers))
    for _ in range(3):
        fleet.sent.clear()
        fleet.received.clear()
        fleet.tick()
        assert max(fleet.sent.values(), default=0) <= max(
            helpers + zones - 1, served + 1
        )
        hubs = {name for name, router in fleet.routers.items() if router.is_hub}
        leaves = [n for name, n in fleet.received.items() if name not in hubs]
        assert max(leaves, default=0) <= 1


@given(st.integers(1, 200))
def test_each_router_of_a_zone_is_served_once(count):
    order = [f"router-{number}" for number in range(count)]
    served = [name for own in order for name in list_receivers(order, own)]
    assert sorted(served) == sorted(order[1:])


def test_news_is_lost_only_until_a_dead_hub_is_replaced():
    # The hub of a zone is killed.  Its zone neither sends nor receives news until the
    # others notice, which refuses or misplaces no request; then the next router in
    # order takes over.
    fleet = Fleet((4, 2))
    hub = next(
        n for n, r in fleet.routers.items() if r.is_hub and n.startswith("hall-a")
    )
    del fleet.routers[hub]
    left = sorted(fleet.routers)
    fleet.tell(left[0], make_held(1))
    for _ in range(3):
        fleet.tick()
    assert sum(make_held(1) in fleet.heard[name] for name in left) == 1
    fleet.spread_members(left)
    fleet.tell(left[0], make_held(2))
    for _ in range(3):
        fleet.tick()
    assert all(make_held(2) in fleet.heard[name] for name in left)


def test_news_sent_to_a_former_hub_still_reaches_the_zone():
    # A router joins and becomes the hub, which one of the others doesn't know yet.
    fleet = Fleet((5, 1))
    hub = next(
        n for n, r in fleet.routers.items() if r.is_hub and n.startswith("hall-a")
    )
    old = sorted(n for n in fleet.routers if n.startswith("hall-a") and n != hub)
    old_hub, origin = old[0], old[1]
    news = News(origin, Stage.TO_HUB, (HELD,))
    fleet.deliver(old_hub, fleet.routers[old_hub].receive(news))
    fleet.heard[old_hub].add(HELD)
    fleet.heard[origin].add(HELD)
    for _ in range(3):
        fleet.tick()
    assert all(HELD in heard for heard in fleet.heard.values())


def test_longest_prefixes_are_sent_first_within_the_rate_limit():
    # Every session moves at once, as when a zone is cut off.  Announcing all of them
    # would exceed the budget for control traffic, so those that cost most to read again
    # go first.
    own = PlacementNews("hall-a-0", "hall-a")
    fleet = [(f"hall-a-{n}", "hall-a") for n in range(60)]
    own.set_members(fleet)
    for number in range(100):
        own.tell(make_held(number, tokens=number), False, 0.0)
    sent = [held for action in own.tick(0.0) for held in action.news.entries]
    allowance = int(FLEET_ENTRIES_PER_S / len(fleet) * BURST_S)
    assert {held.tokens for held in sent} == set(range(100 - allowance, 100))


def test_expected_placements_are_sent_last():
    # A fleet starts and every session is new.  Most go where rendezvous hashing sends
    # them anyway; announced first, they would use up the rate limit of the few others.
    own = PlacementNews("hall-a-0", "hall-a")
    own.set_members([(f"hall-a-{n}", "hall-a") for n in range(60)])
    for number in range(100):
        own.tell(make_held(number, tokens=9000), True, 0.0)
    surprise = make_held(100, tokens=10)
    own.tell(surprise, False, 0.0)
    first = own.tick(0.0)[0]
    assert first.news.entries[0] == surprise


def test_news_that_waits_too_long_is_dropped_and_counted():
    own = PlacementNews("hall-a-0", "hall-a")
    own.set_members([(f"hall-a-{n}", "hall-a") for n in range(600)])
    for number in range(10):
        own.tell(make_held(number), False, 0.0)
    own.tick(0.0)
    assert own.tick(KEPT_S + TICK_S) == []
    assert own.dropped == 10 - int(FLEET_ENTRIES_PER_S / 600 * BURST_S)


def test_queues_are_bounded():
    own = PlacementNews("hall-a-0", "hall-a")
    for number in range(QUEUE_MAX + 10):
        own.tell(make_held(number), False, 0.0)
    assert own.dropped == 10
    own.receive(
        News("b", Stage.HUB_TO_HUB, tuple(map(make_held, range(2 * QUEUE_MAX))))
    )
    own.set_members([("hall-a-1", "hall-a")])
    spread = [a for a in own.tick(0.0) if a.news.stage == Stage.TO_ZONE]
    assert sum(len(action.news.entries) for action in spread) <= 2 * QUEUE_MAX
    assert max(len(action.news.entries) for action in spread) <= BATCH_MAX


class NewsMachine(RuleBasedStateMachine):
    """Routers leave, return and disagree about members, and datagrams are lost."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet((4, 3, 1))
        self.told = set()
        self.count = 0

    @rule(which=st.integers(0, 7))
    def tell(self, which):
        self.count += 1
        names = sorted(self.fleet.routers)
        held = make_held(self.count)
        self.told.add(held)
        self.fleet.tell(names[which % len(names)], held)

    @rule(which=st.integers(0, 7))
    def stop(self, which):
        if len(self.fleet.routers) > 1:
            names = sorted(self.fleet.routers)
            del self.fleet.routers[names[which % len(names)]]

    @rule(which=st.integers(0, 7))
    def start_again(self, which):
        name = sorted(self.fleet.zones)[which]
        if name not in self.fleet.routers:
            own = PlacementNews(name, self.fleet.zones[name])
            self.fleet.routers[name] = own

    @rule(who=st.integers(0, 7), believed=st.sets(st.integers(0, 7)))
    def disagree(self, who, believed):
        names = sorted(self.fleet.zones)
        if names[who] in self.fleet.routers:
            live = [(names[n], self.fleet.zones[names[n]]) for n in believed]
            self.fleet.routers[names[who]].set_members(live)

    @rule(lost=st.sets(st.tuples(st.integers(0, 7), st.integers(0, 7))))
    def lose(self, lost):
        names = sorted(self.fleet.zones)
        pairs = {(names[a], names[b]) for a, b in lost}
        self.fleet.is_lost = lambda sender, receiver: (sender, receiver) in pairs

    @rule()
    def tick(self):
        self.fleet.tick()

    @invariant()
    def nothing_is_heard_that_nobody_told(self):
        assert set().union(*self.fleet.heard.values()) <= self.told

    @invariant()
    def no_news_goes_in_circles(self):
        # Even if routers disagree about the hub, forwarding must end.
        self.fleet.received.clear()
        for _ in range(6):
            self.fleet.tick()
        quiet = sum(self.fleet.received.values())
        self.fleet.tick()
        assert sum(self.fleet.received.values()) == quiet

    def teardown(self):
        # Once all agree and nothing is lost, news reaches every live router.
        self.fleet.is_lost = lambda sender, receiver: False
        self.fleet.spread_members(sorted(self.fleet.routers))
        self.tell(0)
        for _ in range(3):
            self.fleet.tick()
        held = make_held(self.count)
        assert all(held in self.fleet.heard[name] for name in self.fleet.routers)


TestNewsMachine = NewsMachine.TestCase
