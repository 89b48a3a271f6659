"""Decisions of a router that stood still."""

import asyncio
import math
import time

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tamarackrill.decisions.answer_times import AnswerTimes, StoreAnswer
from tamarackrill.decisions.configuration import ConfigurationStore
from tamarackrill.decisions.loop_activity import TICK_S
from tamarackrill.decisions.standstill import (
    NEWS_WAIT_MAX_S,
    find_gap_s,
    find_news_wait_s,
    find_spent_wait_s,
    has_news,
    is_outdated,
)
from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.configuring import ConfigurationSync
from tamarackrill.router.relay_messages import (
    NOT_SENT,
    OUTCOME_HEADER,
    RelayedAttempt,
)
from tamarackrill.router.standstill import StandstillMonitor
from tamarackrill.store_api import Listing
from tamarackrill.testing.edge import EdgeFleet, ask, make_route

NEWS_MAX_S = 2.0
KINDS = ("manifest", "endpoints")


@pytest.mark.parametrize(
    ("age_s", "resumed_s", "expected"),
    [
        (0.5, -math.inf, False),
        (2.5, -math.inf, True),
        (math.inf, -math.inf, True),
        (1.5, 9.0, True),
        (0.5, 9.0, False),
    ],
)
def test_evidence_from_before_a_standstill_confirms_nothing(age_s, resumed_s, expected):
    # Guards against 404 and 401 for good by a manifest replaced during a standstill.
    assert is_outdated(age_s, NEWS_MAX_S, resumed_s, 10.0) is expected


@pytest.mark.parametrize(
    ("arrived_s", "as_of_s"), [(13.0, pytest.approx(12.99)), (9.5, 10.0)]
)
def test_change_that_waited_during_a_standstill_is_dated_by_its_call(
    arrived_s, as_of_s
):
    # Guards against evidence that other routers take for newer than it is.
    times = AnswerTimes()
    times.observe(StoreAnswer(9.0, 9.01, 0.0, True))
    answer = StoreAnswer(10.0, 13.0, 1.0, False, arrived_s)
    assert times.find_as_of_s(answer) == as_of_s


def test_requests_wait_for_news_once_and_not_for_long():
    # Guards against a router that refuses, or waits, as long as its store is away.
    async def run():
        loop = asyncio.get_running_loop()
        offset_s = 0.0

        def read_time():
            return loop.time() + offset_s

        monitor = StandstillMonitor(KINDS, NEWS_MAX_S, read_time, read_time)
        refreshes = []
        monitor.on_resumed = lambda: refreshes.append(loop.time())
        await monitor.wait_current()
        assert not refreshes
        offset_s = 3.0
        begun_s = loop.time()
        await asyncio.gather(*(monitor.wait_current() for _ in range(5)))
        waited_s = loop.time() - begun_s
        assert len(refreshes) == 1
        assert waited_s >= NEWS_WAIT_MAX_S
        begun_s = loop.time()
        await monitor.wait_current()
        assert loop.time() - begun_s < NEWS_WAIT_MAX_S / 2

    asyncio.run(run())


@pytest.mark.parametrize(
    ("spent_s", "waited_s", "current_s", "expected_s"),
    [
        (0.0, 0.2, 0.0, 0.1),
        (0.2, 0.2, 0.0, 0.0),
        (0.2, 9.0, 0.1, 0.1),
        (0.2, 9.0, NEWS_WAIT_MAX_S, NEWS_WAIT_MAX_S),
        (0.2, 0.2, -0.1, 0.0),
    ],
)
def test_standstills_in_a_row_share_one_wait(spent_s, waited_s, current_s, expected_s):
    # Guards against a wait that each standstill begins anew, and against one that
    # isn't regained once the router runs with news.
    spent_s = find_spent_wait_s(spent_s, waited_s, current_s)
    assert find_news_wait_s(False, 10.0, 10.0, spent_s) == pytest.approx(expected_s)


class MonitorMachine(RuleBasedStateMachine):
    """Beats, standstills, decisions and news in any order.

    The model knows when the process really stood still; the monitor sees only beats.
    """

    @initialize()
    def start(self):
        self.now_s = 100.0
        self.loop = asyncio.new_event_loop()
        self.monitor = self.loop.run_until_complete(self._make())
        self.refreshes = 0
        self.monitor.on_resumed = self._count
        self.stopped_s = -math.inf
        self.expected = 0
        self.news_s = dict.fromkeys(KINDS, -math.inf)

    async def _make(self):
        def read_time():
            return self.now_s

        return StandstillMonitor(KINDS, NEWS_MAX_S, read_time, read_time)

    def _count(self):
        self.refreshes += 1

    @rule(beats=st.integers(1, 30))
    def run(self, beats):
        for _ in range(beats):
            self.monitor.beat(self.now_s)
            self.now_s += TICK_S
        self.monitor.beat(self.now_s)

    @rule(gap_s=st.floats(1.2, 30.0), beats_first=st.booleans())
    def stand_still(self, gap_s, beats_first):
        self.now_s += gap_s
        self.stopped_s = self.now_s
        self.expected += 1
        if beats_first:
            self.monitor.beat(self.now_s)
        else:
            self.monitor.find_resumed_s()

    @rule(kind=st.sampled_from(KINDS), age_s=st.floats(0.0, 5.0))
    def hear(self, kind, age_s):
        as_of_s = self.now_s - age_s
        self.news_s[kind] = max(self.news_s[kind], as_of_s)
        self.monitor.observe_news(kind, as_of_s)

    @invariant()
    def each_standstill_asks_for_news_once(self):
        if hasattr(self, "monitor"):
            assert self.refreshes == self.expected
            assert self.monitor.find_resumed_s() == self.stopped_s

    @invariant()
    def requests_wait_only_for_what_is_older_than_the_standstill(self):
        if not hasattr(self, "monitor"):
            return
        is_current = has_news(KINDS, self.news_s, self.stopped_s)
        wait_s = find_news_wait_s(is_current, self.stopped_s, self.now_s)
        assert 0.0 <= wait_s <= NEWS_WAIT_MAX_S
        assert not (is_current and wait_s)
        assert self.monitor.has_news == is_current
        for kind, as_of_s in self.news_s.items():
            if as_of_s < self.stopped_s:
                age_s = self.now_s - as_of_s
                assert is_outdated(age_s, NEWS_MAX_S, self.stopped_s, self.now_s), kind

    def teardown(self):
        if hasattr(self, "loop"):
            self.loop.close()


TestMonitorMachine = MonitorMachine.TestCase
TestMonitorMachine.settings = settings(max_examples=60, deadline=None)


@pytest.mark.parametrize(("gap_s", "expected"), [(0.9, 0.0), (1.0, 1.0), (6.0, 6.0)])
def test_short_gap_is_no_standstill(gap_s, expected):
    # Guards against a busy router that asks the store again at each late beat.
    assert find_gap_s(10.0, 10.0 + gap_s, NEWS_MAX_S) == expected


def test_store_call_that_a_standstill_timed_out_doesnt_lose_the_store():
    # Guards against removed endpoints that are kept as if the store had been away.
    async def run():
        states, resumed_s = [], -math.inf

        class Store:
            """Fails its second call, during which the router stands still."""

            watch_wait_s = 0.01
            calls = 0

            async def list(self, kind, on_first_byte):
                return await self.watch(kind)

            async def watch(self, kind, *args):
                nonlocal resumed_s
                self.calls += 1
                await asyncio.sleep(0.01)
                if self.calls == 2:
                    resumed_s = time.monotonic()
                    raise PlatformUnavailable("timed out")
                return Listing((), 1)

        store = Store()
        sync = ConfigurationSync(
            ConfigurationStore(),
            store,
            lambda applied: None,
            None,
            time.monotonic,
            ("endpoints",),
        )
        sync.on_platform_state = states.append
        sync.find_resumed_s = lambda: resumed_s
        await sync.start()
        async with asyncio.timeout(5.0):
            while store.calls < 4:
                await asyncio.sleep(0.01)
        await sync.stop()
        assert not any(states)

    asyncio.run(run())


@pytest.mark.parametrize("is_relayed", [False, True])
def test_attempt_waits_for_news_before_it_is_sent(is_relayed):
    # Guards against attempts chosen before a standstill, here or by another router,
    # that go to a worker which has begun to leave meanwhile.
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, make_route("/lookup/", "idempotent"))
            for name in ("w0", "w1"):
                await fleet.add_worker(name)
            router = await fleet.add_router()
            left = []

            async def learn():
                # The worker at which the first attempt is about to arrive leaves.
                if left:
                    return
                endpoints = router.view.list_endpoints()
                left.append(endpoints[0] if is_relayed else router_choice[-1])
                router.view.observe_leaving_answer(left[0])

            router_choice = []
            choose = router.placer.choose

            def note(*args, **kwargs):
                placed = choose(*args, **kwargs)
                router_choice.append(placed.endpoint)
                return placed

            router.placer.choose = note
            router.flow.attempts.wait_current = learn
            router.relay_server.wait_current = learn
            if is_relayed:
                name = router.view.list_endpoints()[0].name
                fields = [("X-Request-Attempt-Id", "id-1")]
                attempt = RelayedAttempt(name, True, "POST", "/lookup/a", fields, b"")
                assert await router.relay_server._open(attempt) is not None
                reply = Reply()
                await router.relay_server.forward(attempt, reply, router.clock())
                assert reply.headers == [(OUTCOME_HEADER, NOT_SENT)]
            else:
                assert (await ask(router, "/lookup/a")).status == 200
            ran = [worker.name for worker in fleet.workers if worker.ran]
            assert left[0].name not in ran

    asyncio.run(run())


class Reply:
    """Reply to another router that keeps its headers."""

    async def begin(self, status, headers, body=None):
        self.headers = headers
