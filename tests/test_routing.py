import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import reservations as owners
from tamarackrill.decisions.cache_index import CacheEvent
from tamarackrill.decisions.loads import EndpointLoad, Loads
from tamarackrill.decisions.pools import EndpointPool
from tamarackrill.decisions.reservations import Reservations, find_owner
from tamarackrill.decisions.routing import LoadBalancer, PlacementRequest, compute_bound

ZONES = ("kranj-hall", "kamnik-hall")


def make_pool(count, slots=1000):
    return [
        Endpoint(
            f"engine-{i}", "engine", ("krojni-model",), "", ZONES[i % 2], "live", slots
        )
        for i in range(count)
    ]


def ask(chat, number=0, zone=""):
    return PlacementRequest(f"{chat}/{number}", chat, zone, 100)


def send(placement, request, pool, now_s=0.0):
    choice = placement.choose(request, pool, now_s)
    placement.start(choice.endpoint.name, request, now_s)
    return choice.endpoint.name


def place_all(pool, chats=300, placement=None, now_s=0.0):
    """Send one request of each chat, one after the other."""
    placement = placement or LoadBalancer(2.0)
    places = {}
    for number in range(chats):
        name = send(placement, ask(f"chat-{number}"), pool, now_s)
        placement.finish(name, now_s)
        places[f"chat-{number}"] = name
    return places


@pytest.mark.parametrize(
    ("load_factor", "total", "count", "bound"),
    [(1.5, 1, 5, 1), (1.5, 4, 5, 2), (1.25, 20, 5, 5), (2.0, 21, 5, 9), (1.0, 6, 5, 2)],
)
def test_bound_is_rounded_up(load_factor, total, count, bound):
    assert compute_bound(load_factor, total, count) == bound


@pytest.mark.parametrize("left_out", [1, 3, 5])
def test_excluded_endpoints_do_not_raise_the_bound(left_out):
    # Guards against a few engines carrying several times the mean load because the
    # others are excluded after failures.
    placement, engines = LoadBalancer(1.5), EndpointPool(make_pool(6))
    names = list(engines.by_name)
    well = engines.exclude(names[:left_out])
    for name in names:
        for _ in range(4):
            placement.start(name, ask(name), 0.0)
    placed = 0
    while True:
        request = ask(f"chat-{placed}")
        choice = placement.choose(request, well, 0.0, bounded_by=engines)
        if choice is None:
            break
        placement.start(choice.endpoint.name, request, 0.0)
        placed += 1
        most = max(placement.loads.estimate(names, 0.0))
        assert most <= compute_bound(1.5, 24 + placed, 6)
    assert placed >= 2 * len(well)


def test_hot_chat_does_not_fill_its_engine():
    # One chat (a shared pattern sheet that all fitters open) gets far more requests
    # than the rest.  Sent to the same engine each time, they would fill it, and the
    # callers of all other chats there would wait.
    placement, pool = LoadBalancer(1.5), make_pool(5)
    loads = dict.fromkeys((endpoint.name for endpoint in pool), 0)
    for number in range(100):
        loads[send(placement, ask("hot", number), pool)] += 1
    assert max(loads.values()) <= compute_bound(1.5, 100, 5)


def test_returning_chat_goes_to_the_engine_with_its_longest_prefix():
    # A chat that overflowed to a second engine returns for its next turn.  At its first
    # engine, which caches only the older part of the prefix, the caller would wait
    # while the rest is computed.
    placement, pool = LoadBalancer(1.5), make_pool(5)
    first = placement.choose(ask("c"), pool, 0.0).endpoint.name
    placement.start(first, ask("c")._replace(tokens=100), 0.0)
    for _ in range(5):
        placement.loads.start(first, 0.0)
    second = placement.choose(ask("c", 1), pool, 1.0).endpoint.name
    assert second != first
    placement.start(second, ask("c", 1)._replace(tokens=900), 1.0)
    for name in [second, *[first] * 6]:
        placement.finish(name, 2.0)
    choice = placement.choose(ask("c", 2), pool, 3.0)
    assert (choice.endpoint.name, choice.reason) == (second, "cached")


@pytest.mark.parametrize("is_known", [True, False])
def test_flapping_engine_moves_only_its_own_chats(is_known):
    # An engine is briefly unavailable.  If other chats moved as well, callers that
    # never used the failed engine would wait for their prompts to be read again.  The
    # same applies to a router that has just replaced another and knows no chats.
    pool, placement = make_pool(5), LoadBalancer(2.0) if is_known else None
    before = place_all(pool, placement=placement)
    rest = [endpoint for endpoint in pool if endpoint.name != "engine-2"]
    during = place_all(rest, placement=placement, now_s=1.0)
    moved = {chat for chat in before if before[chat] != during[chat]}
    assert moved == {chat for chat in before if before[chat] == "engine-2"}
    assert place_all(pool, placement=placement, now_s=2.0) == before


def test_chat_with_an_evicted_prefix_goes_to_its_first_engine():
    # An engine evicts a chat that overflowed to it.  Without processing the eviction
    # event, the router would keep sending the chat to an engine with no cached prefix.
    placement, pool = LoadBalancer(1.5), make_pool(5)
    first = placement.choose(ask("c"), pool, 0.0).endpoint.name
    other = next(e.name for e in pool if e.name != first)
    placement.start(other, ask("c"), 0.0)
    placement.finish(other, 1.0)
    assert placement.choose(ask("c"), pool, 2.0).endpoint.name == other
    placement.observe_event(CacheEvent(other, 1, "evicted", "c", 0, 1.5))
    assert placement.choose(ask("c"), pool, 2.0).endpoint.name == first


def test_requests_without_a_chat_prefer_the_zone_of_the_caller():
    placement, pool = LoadBalancer(2.0), make_pool(6)
    for number in range(12):
        request = PlacementRequest(f"lookup-{number}", zone="kamnik-hall")
        choice = placement.choose(request, pool, 0.0)
        assert choice.endpoint.zone == "kamnik-hall"
    zones = {ask("c", zone=zone): zone for zone in ZONES}
    assert len({placement.choose(r, pool, 0.0).endpoint.name for r in zones}) == 1


def test_full_and_leaving_endpoints_get_no_requests():
    placement, pool = LoadBalancer(2.0), make_pool(2, slots=1)
    leaving = [pool[0]._replace(state="leaving"), pool[1]]
    assert send(placement, ask("a"), leaving) == "engine-1"
    assert placement.choose(ask("b"), leaving, 0.0) is None
    assert placement.choose(ask("b"), [], 0.0) is None


def test_slow_start_limits_an_endpoint_to_its_share_of_the_bound():
    placement, pool = LoadBalancer(2.0), make_pool(4)
    taken = {endpoint.name: 0 for endpoint in pool}
    for number in range(80):
        choice = placement.choose(
            ask(f"c{number}"), pool, 0.0, shares={"engine-0": 0.1}
        )
        placement.start(choice.endpoint.name, ask(f"c{number}"), 0.0)
        taken[choice.endpoint.name] += 1
    assert 0 < taken["engine-0"] <= 4


@pytest.mark.parametrize("is_silent", [False, True])
def test_routers_do_not_herd_onto_the_engine_that_last_reported_idle(is_silent):
    # One engine reports idle, and its next reports are late or lost.  If all routers
    # relied on that report alone, they would send all their requests to this engine,
    # whose callers would wait behind each other.
    pool = make_pool(5)
    names = [endpoint.name for endpoint in pool]
    taken = dict.fromkeys(names, 0)
    for router in range(7):
        placement = LoadBalancer(1.5)
        for name in names:
            load = 0 if name == "engine-3" else 20
            placement.observe_report(name, load, 0.0, 1.0)
        now_s = 4.0
        if is_silent:
            now_s = 12.0
            for name in names:
                if name != "engine-3":
                    placement.observe_report(name, 20, 11.0, now_s)
        for number in range(20):
            request = PlacementRequest(f"{router}/{number}")
            taken[send(placement, request, pool, now_s)] += 1
    # Sampling two of five engines sends at most 2/5 of the requests to one of them,
    # even if all others seem full.
    assert taken["engine-3"] <= (140 / 5 * 1.5 if is_silent else 140 * 2 / 5 * 1.2)


def test_late_report_does_not_count_own_requests_twice():
    # A report that predates own sends arrives after them, followed by an even older
    # one.  Counted wrongly, the engine seems idle and is overloaded, or seems full and
    # is avoided.
    loads = Loads()
    loads.start("e", 1.0)
    loads.start("e", 3.0)
    loads.observe_report("e", 5, reported_s=2.0, now_s=4.0)
    assert loads.estimate(["e"], 4.0) == [6]
    loads.observe_report("e", 50, reported_s=0.5, now_s=4.5)
    loads.finish("e", 4.6)
    assert loads.estimate(["e"], 5.0) == [5]


def test_digest_that_predates_the_end_of_an_own_request_is_corrected():
    # The owner counts this router's only request, and its digest arrives just after the
    # request has ended.  Attributed to another router, it keeps the engine's chats away
    # from their cache for seconds, and a slow engine isn't detected.
    loads = Loads()
    loads.start("e", 1.0)
    loads.finish("e", 2.0)
    loads.observe_peer([EndpointLoad("e", 1)], now_s=2.5)
    assert loads.estimate(["e"], 2.5) == [0]
    loads.observe_peer([EndpointLoad("e", 1)], now_s=3.5)
    assert loads.estimate(["e"], 3.5) == [1]


class OwnedPool(RuleBasedStateMachine):
    """Several routers place on one pool, with lost and late reports.

    The bound holds at each placement, by the true loads, and every request that was
    sent ends in exactly one release.
    """

    routers = ("a", "b", "c")
    load_factor = 1.25

    def __init__(self):
        super().__init__()
        self.pool = make_pool(5, slots=12)
        self.now_s = 0.0
        self.number = 0
        self.placements = {
            name: LoadBalancer(self.load_factor) for name in self.routers
        }
        self.owned = {name: Reservations(self.load_factor) for name in self.routers}
        self.running = {}
        self.seen = [dict.fromkeys((e.name for e in self.pool), 0)]

    def count(self):
        loads = dict.fromkeys((endpoint.name for endpoint in self.pool), 0)
        for endpoint, _ in self.running.values():
            loads[endpoint] += 1
        return loads

    @rule(
        router=st.sampled_from(routers), chat=st.integers(0, 3), burst=st.integers(1, 6)
    )
    def place(self, router, chat, burst):
        for _ in range(burst):
            self.place_one(router, chat)

    def place_one(self, router, chat):
        self.number += 1
        request = ask(f"chat-{chat}", self.number)
        refused = []
        while len(refused) < owners.RESERVATION_ATTEMPTS_MAX:
            choice = self.placements[router].choose(
                request, self.pool, self.now_s, None, refused
            )
            if choice is None:
                return
            name = choice.endpoint.name
            owner = self.owned[find_owner(choice.endpoint, 5, self.routers)]
            grant = owner.reserve(
                request.key, choice.endpoint, self.pool, router, 1e9, self.now_s
            )
            if grant.is_granted:
                self.placements[router].start(name, request, self.now_s)
                self.running[request.key] = (name, router)
                loads = self.count()
                bound = compute_bound(self.load_factor, sum(loads.values()), 5)
                assert loads[name] <= min(bound, 12)
                return
            refused.append(name)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def finish(self, data):
        key = data.draw(st.sampled_from(sorted(self.running)))
        name, router = self.running.pop(key)
        self.placements[router].finish(name, self.now_s)
        for owner in self.owned.values():
            owner.release(key, self.now_s)

    @rule(router=st.sampled_from(routers), lag=st.integers(0, 3))
    def report_to_home(self, router, lag):
        """An old report reaches one home only; the others lost it."""
        loads = self.seen[max(0, len(self.seen) - 1 - lag)]
        for name, load in loads.items():
            self.placements[router].observe_report(
                name, load, self.now_s - lag, self.now_s
            )

    @rule()
    def tick(self):
        self.seen.append(self.count())
        self.now_s += 1.0

    @invariant()
    def owners_hold_what_runs(self):
        held = dict.fromkeys((endpoint.name for endpoint in self.pool), 0)
        for owner in self.owned.values():
            for name in held:
                held[name] += owner.loads.own(name)
        assert held == self.count()


TestOwnedPool = OwnedPool.TestCase
TestOwnedPool.settings = settings(max_examples=60, stateful_step_count=40)
