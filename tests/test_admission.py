"""Tests of admission, by the outcomes that callers see."""

from collections import Counter

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackrill.decisions.admission import AdmissionQueue, Start
from tamarackrill.decisions.estimates import compute_cost, is_short
from tamarackrill.decisions.waiting import WaitingRequest
from tamarackrill.testing.load import SLOT_TOKENS_PER_S, make_calls, simulate_load

SLOTS = 16
LONG_TOKENS = 200
# Rate of long requests that keeps all slots busy.
CAPACITY_PER_S = SLOTS * SLOT_TOKENS_PER_S / compute_cost(LONG_TOKENS)


def count(outcomes, team=None, since_s=0.0, short=None):
    return Counter(
        o.result
        for o in outcomes
        if team in (None, o.call.team)
        and o.sent_s >= since_s
        and short in (None, is_short(o.call.size_tokens))
    )


def list_waits(outcomes, result, short=None):
    return sorted(
        o.ended_s - o.sent_s
        for o in outcomes
        if o.result == result and short in (None, is_short(o.call.size_tokens))
    )


def make_request(id="a", team="t", size_tokens=0, deadline_s=1e9, **fields):
    fields = {"weight": 1, "priority": 0, "arrived_s": 0.0, **fields}
    return WaitingRequest(
        id=id,
        team=team,
        pool="p",
        size_tokens=size_tokens,
        deadline_s=deadline_s,
        **fields,
    )


def learn_speed(queue, service_s=1.0, size_tokens=LONG_TOKENS):
    queue.offer(make_request("first", size_tokens=size_tokens), 0.0)
    queue.dispatch("p", 1, 0.0)
    queue.release("first", service_s)


def start_all(queue, slots, now_s):
    return [a.request_id for a in queue.dispatch("p", slots, now_s)]


def test_burst_is_answered_in_time_or_refused_at_once():
    # A burst exceeds what can be answered by the deadlines.  Without wait estimates
    # on arrival and in the queue, callers wait until their deadline and get no answer
    # or a late one.
    steady = make_calls("t", 0.5 * CAPACITY_PER_S, 0, 90, LONG_TOKENS, 20)
    burst = make_calls("t", 20 * CAPACITY_PER_S, 60, 61, LONG_TOKENS, 20)
    outcomes = simulate_load(AdmissionQueue(512), steady + burst, SLOTS, 120)
    results = count(outcomes)
    assert results["timeout"] <= 0.01 * len(outcomes)
    assert results["deadline_unmeetable"] > 5
    assert max(list_waits(outcomes, "deadline_unmeetable")) < 15
    refused_s = list_waits(outcomes, "deadline_unmeetable")
    assert refused_s[len(refused_s) // 2] == 0.0


@pytest.mark.parametrize("load", [2, 10])
def test_goodput_holds_in_overload_and_recovers(load):
    # Clients retry after a refusal or a timeout.  A queue that serves requests whose
    # caller has gone stays full of them: goodput falls under overload and does not
    # recover with the load.
    steady = make_calls("t", 0.7 * CAPACITY_PER_S, 0, 600, LONG_TOKENS, 20, retries=5)
    surge = make_calls(
        "t", load * CAPACITY_PER_S, 60, 120, LONG_TOKENS, 20, seed=2, retries=5
    )
    outcomes = simulate_load(AdmissionQueue(512), steady + surge, SLOTS, 600)
    full = [o for o in outcomes if 80 <= o.ended_s < 340]
    assert count(full)["answered"] >= 0.9 * 260 * CAPACITY_PER_S
    after = count(outcomes, since_s=500)
    assert after["answered"] == after.total() > 50


def test_hot_team_does_not_slow_other_teams():
    # One of five teams sends ten times the pool's capacity.  In order of arrival,
    # the other four would wait behind its queue and be refused with it.
    calls = make_calls("hot", 10 * CAPACITY_PER_S, 0, 120, LONG_TOKENS, 20)
    quiet = [f"quiet{i}" for i in range(4)]
    for team in quiet:
        calls += make_calls(team, 0.1 * CAPACITY_PER_S, 0, 120, LONG_TOKENS, 20)
    outcomes = simulate_load(AdmissionQueue(64), calls, SLOTS, 140)
    for team in quiet:
        results = count(outcomes, team)
        assert results["answered"] == results.total() > 15
    # A quiet team waits for the next slot, not behind the hot team's queue.
    quiet_waits = list_waits([o for o in outcomes if o.call.team != "hot"], "answered")
    hot_waits = list_waits([o for o in outcomes if o.call.team == "hot"], "answered")
    assert quiet_waits[len(quiet_waits) // 2] < 0.8 * hot_waits[len(hot_waits) // 2]
    assert count(outcomes, "hot")["answered"] >= 0.5 * 120 * CAPACITY_PER_S


@pytest.mark.parametrize("weights", [(1, 1), (1, 3)])
def test_shares_follow_weights(weights):
    # Both teams send more than the pool can serve: three times the weight must get
    # three times the throughput, and equal weights the same.
    calls = []
    for team, weight in zip("ab", weights, strict=True):
        calls += make_calls(
            team, 2 * CAPACITY_PER_S, 0, 200, LONG_TOKENS, 20, weight=weight
        )
    outcomes = simulate_load(AdmissionQueue(512), calls, SLOTS, 220)
    done = [count(outcomes, team, since_s=20)["answered"] for team in "ab"]
    assert done[1] / done[0] == pytest.approx(weights[1] / weights[0], rel=0.15)


def test_short_requests_do_not_wait_for_long_ones():
    # Long drafts could fill every slot while a shop counter looks up stock.  Without
    # slots reserved for short requests, a lookup waits for a draft to end.
    calls = make_calls("desk", 1.5 * CAPACITY_PER_S, 0, 120, LONG_TOKENS, 30)
    calls += make_calls("counter", 1.0, 5, 120, 0, 2)
    outcomes = simulate_load(AdmissionQueue(512), calls, SLOTS, 150)
    results = count(outcomes, "counter")
    assert results["answered"] >= 0.97 * results.total()
    waits = list_waits(outcomes, "answered", short=True)
    assert waits[int(0.99 * len(waits))] < 1.0


def test_flood_of_short_requests_leaves_slots_to_long_ones():
    # Lookups arrive at ten times the pool's capacity, and drafts are due in twice
    # their service time.  By size and age alone, few drafts would be in time.
    lookups_per_s = 10 * SLOTS * SLOT_TOKENS_PER_S / compute_cost(20)
    drafts_per_s = SLOTS * SLOT_TOKENS_PER_S / compute_cost(400)
    calls = make_calls("t", lookups_per_s, 0, 150, 20, 5)
    calls += make_calls("t", drafts_per_s, 0, 150, 400, 40)
    outcomes = simulate_load(AdmissionQueue(512), calls, SLOTS, 180)
    assert count(outcomes, short=False)["answered"] >= 0.2 * 150 * drafts_per_s
    assert count(outcomes, short=True)["answered"] >= 0.06 * 150 * lookups_per_s


def test_retry_after_is_spread():
    # A thousand refused callers with the same Retry-After would return as the same
    # burst.  Retry-After must spread them over time.
    queue = AdmissionQueue(8)
    learn_speed(queue)
    queue.dispatch("p", 0, 1.0)
    refusals = []
    for i in range(1000):
        request = make_request(str(i), size_tokens=LONG_TOKENS, deadline_s=4.0)
        refusals += queue.offer(request, 1.0)
    seconds = Counter(int(refusal.retry_after_s) for refusal in refusals)
    assert len(refusals) >= 990
    assert max(seconds.values()) <= 0.1 * len(refusals)


def test_waiting_request_is_dropped_when_pool_slows_down():
    # An endpoint slows down while requests wait.  Those that will miss their
    # deadline must be refused at once, not when it has passed.
    queue = AdmissionQueue(8)
    learn_speed(queue, service_s=1.0)
    for id in ("running", "waiting"):
        queue.offer(make_request(id, size_tokens=LONG_TOKENS, deadline_s=10.0), 1.0)
        queue.dispatch("p", int(id == "running"), 1.0)
    assert queue.expire(2.0) == []
    queue.release("running", 6.0)
    assert [r.request_id for r in queue.expire(6.0)] == ["waiting"]


def test_request_is_refused_when_no_endpoint_is_available():
    # Every endpoint of a pool is ejected or gone, so nothing will free a slot and the
    # caller would be refused only when its deadline has passed.
    queue = AdmissionQueue(8)
    learn_speed(queue)
    queue.offer(make_request("a", deadline_s=60.0, arrived_s=1.0), 1.0)
    assert queue.dispatch("p", 0, 1.0) == queue.expire(5.0) == []
    assert [refusal.code for refusal in queue.expire(6.0)] == ["no_endpoint"]


def test_full_queue_evicts_from_the_team_over_its_share():
    # A surge of one team fills the queue.  Without eviction, the next request of
    # another team is refused although that team has none waiting.
    queue = AdmissionQueue(4)
    for i in range(4):
        assert queue.offer(make_request(f"hot{i}", "hot"), 0.0) == []
    assert queue.offer(make_request("hot4", "hot"), 0.0)[0].request_id == "hot4"
    refusals = queue.offer(make_request("quiet", "quiet"), 0.0)
    assert [(r.request_id, r.code) for r in refusals] == [("hot3", "queue_full")]


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ([{"priority": 0}, {"priority": 1}], ["1", "0"]),
        ([{"size_tokens": 500}, {"size_tokens": 0}], ["1", "0"]),
        # Ageing: the long request arrived a minute earlier.
        ([{"size_tokens": 500}, {"size_tokens": 0, "arrived_s": 60.0}], ["0", "1"]),
        # Priority counts inside a team only: the first team is served first.
        ([{"team": "a"}, {"team": "b", "priority": 9}], ["0", "1"]),
    ],
)
def test_requests_start_in_order(fields, expected):
    queue = AdmissionQueue(8)
    for i, given in enumerate(fields):
        queue.offer(make_request(str(i), **given), given.get("arrived_s", 0.0))
    assert start_all(queue, 2, 60.0) == expected


class QueueMachine(RuleBasedStateMachine):
    """Every request ends exactly once, and only reserved slots are idle."""

    def __init__(self):
        super().__init__()
        self.queue = AdmissionQueue(6)
        self.now_s = 0.0
        self.next_id = 0
        self.waiting, self.running, self.ended = {}, {}, set()

    def end(self, actions):
        for action in actions:
            request = self.waiting.pop(action.request_id)
            if isinstance(action, Start):
                self.running[action.request_id] = request
            else:
                assert action.request_id not in self.ended
                assert action.retry_after_s >= 1.0
                self.ended.add(action.request_id)

    @rule(
        team=st.sampled_from("abc"),
        priority=st.integers(0, 2),
        size_tokens=st.sampled_from([0, 10, 200, 2000]),
        patience_s=st.sampled_from([0.5, 5.0, 60.0]),
    )
    def offer(self, team, priority, size_tokens, patience_s):
        self.next_id += 1
        request = make_request(
            str(self.next_id),
            team,
            size_tokens,
            self.now_s + patience_s,
            weight={"a": 1, "b": 1, "c": 3}[team],
            priority=priority,
            arrived_s=self.now_s,
        )
        self.waiting[request.id] = request
        self.end(self.queue.offer(request, self.now_s))

    @rule(slots=st.integers(0, 5))
    def take(self, slots):
        actions = self.queue.dispatch("p", slots, self.now_s)
        self.end(actions)
        started = sum(isinstance(action, Start) for action in actions)
        assert started <= slots
        if started < slots:
            # Only reserved slots are idle, and only if no short request waits.
            assert not any(is_short(r.size_tokens) for r in self.waiting.values())
            kept = self.queue.count_reserved("p", self.now_s)
            assert not self.waiting or slots - started <= kept

    @rule(data=st.data(), service_s=st.floats(0.1, 5.0), completed=st.booleans())
    def release(self, data, service_s, completed):
        if not self.running:
            return
        request_id = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[request_id]
        self.now_s += service_s
        self.ended.add(request_id)
        self.queue.release(request_id, self.now_s, 50, completed)

    @rule(elapsed_s=st.floats(0.0, 70.0))
    def expire(self, elapsed_s):
        self.now_s += elapsed_s
        self.end(self.queue.expire(self.now_s))
        assert all(r.deadline_s >= self.now_s for r in self.waiting.values())

    @rule(data=st.data())
    def cancel(self, data):
        if not self.waiting:
            return
        request_id = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.queue.cancel(request_id)
        assert not self.queue.cancel(request_id)
        del self.waiting[request_id]

    @invariant()
    def counts_agree(self):
        assert self.queue.count_waiting("p") == len(self.waiting) <= 6
        assert self.queue.count_running("p") == len(self.running)


TestQueueMachine = QueueMachine.TestCase
