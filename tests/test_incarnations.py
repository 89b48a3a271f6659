"""Endpoints that restart under the same name."""

import asyncio

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.incarnations import STARTS_KEPT, Incarnations
from tamarackrill.decisions.poison import CRASH_DEDUP_S, PoisonTracker
from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.worker import make_streaming

PROMPT = "aa:800,bb:4000,cc:90"
CHAT = make_route("/chat/", "streaming", attempts=1, session_affinity=True)
ENGINE = {"kv_token_bytes": 192_512, "link_mbps": 350_000.0}


def make(name, started_ms):
    return Endpoint(name, "engine", ("m",), "h:1", "a", started_ms=started_ms)


def test_restart_is_reported_once():
    incarnations = Incarnations()
    assert incarnations.observe([make("a", 1), make("b", 1)]) == []
    assert incarnations.observe([make("a", 2), make("b", 1)]) == ["a"]
    assert incarnations.observe([make("a", 2), make("b", 1)]) == []


def test_start_time_is_remembered_while_the_endpoint_is_absent():
    # An endpoint crashes, its entry expires, and seconds later it is back under its
    # name.  Treated as the same process, it would get sessions whose cache is lost.
    incarnations = Incarnations()
    incarnations.observe([make("a", 1)])
    incarnations.observe([])
    assert incarnations.observe([make("a", 2)]) == ["a"]


def test_earlier_start_time_after_a_clock_change_is_a_restart():
    incarnations = Incarnations()
    incarnations.observe([make("a", 5000)])
    assert incarnations.observe([make("a", 2000)]) == ["a"]


def test_endpoint_without_a_start_time_counts_as_the_same_process():
    incarnations = Incarnations()
    for started_ms in (None, 1, None, 1, None):
        assert incarnations.observe([make("a", started_ms)]) == []


def test_remembered_start_times_are_bounded():
    incarnations = Incarnations()
    incarnations.observe([make("first", 1)])
    for number in range(STARTS_KEPT):
        incarnations.observe([make(f"e{number}", 1)])
    assert incarnations.observe([make("first", 2)]) == []


def test_second_crash_under_one_name_counts_after_a_restart():
    # A request crashes an engine, which is back at once, and crashes it again.  If two
    # crashes under one name within seconds counted as one, the request would go on to
    # crash other engines.
    poison = PoisonTracker()
    assert poison.observe_crash(7, "a", 0.0)
    assert not poison.observe_crash(7, "a", 0.1)
    poison.observe_restart("a")
    assert poison.find_crashed_endpoints(7, 0.2) == set()
    assert poison.observe_crash(7, "a", CRASH_DEDUP_S / 2)
    assert [count.crashes for count in poison.digest(3.0)] == [2]


def test_restarted_engine_is_no_copy_source():
    # An engine restarts under its name with an empty cache.  A session whose prompt it
    # held continues at another engine, which would be told to copy the prompt from one
    # that lacks it, and would compute it only after that has failed.
    async def act():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, CHAT, engine=ENGINE)
            for name in ("w1", "w2"):
                await fleet.add_worker(
                    name, make_streaming(1), models=[{"name": "m"}], born=1000
                )
            router = await fleet.add_router()
            await fleet.wait(lambda: len(router.view.list_live("desk")) == 2)
            await ask(router, "/chat/a", "id-1", X_Prompt_Prefix=PROMPT)
            (first,) = [worker for worker in fleet.workers if worker.requests]
            session = next(iter(router.placer.index.list_recent(1, router.clock())))[0]
            restarted = first.describe("desk", models=[{"name": "m"}], born=2000)
            await fleet.store.write("servers", first.name, restarted)
            await fleet.wait(
                lambda: not router.placer.index.holders(session, router.clock())
            )
            answer = await ask(router, "/chat/a", "id-2", X_Prompt_Prefix=PROMPT)
            assert answer.is_whole
            requests = [r for worker in fleet.workers for r in worker.requests]
            sources = {request.headers.get("kv-fetch") for request in requests}
            assert first.address not in sources

    asyncio.run(act())
