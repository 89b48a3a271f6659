"""Endpoints that send bodies without end, or long ones, and a router process."""

import asyncio
import contextlib
import itertools
from collections import Counter

import pytest
from soak.links import EndpointLinks

from tamarackrill.decisions.capacity.early_answers import decide_early
from tamarackrill.testing.edge import (
    POLL_S,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    ask,
    make_route,
)
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.long_bodies import (
    FRAMINGS,
    PIECE_BYTES,
    BodyClient,
    ReadAnswer,
    find_checksum,
    make_target,
    send_body,
)
from tamarackrill.testing.worker import answer_ok, in_turn

TIMES = {"timeout_ms": 20_000, "target_latency_ms": 5_000}
ROUTES = (
    make_route("/body/", "idempotent", service="writer", **TIMES),
    make_route("/once/", "non_idempotent", service="writer", **TIMES),
    make_route("/lookup/", "idempotent"),
)
STATUSES = (200, 204, 421, 500, 503)
PACES = ("fast", "stalled", "trickling")
ENDLESS = [
    make_target(prefix, framing, status)
    for framing in FRAMINGS
    for prefix, status in [
        *(("/body/", status) for status in STATUSES),
        ("/body/x-not-executed/", 503),
        ("/once/", 200),
    ]
]
# Time that a request has, and its transit.
DEADLINE_S = 3.0
TRANSIT_S = 0.5
BYTES_PER_MB = 1_000_000
# Memory of the smallest VM.
SMALL_VM_MB = 200
# 100 MB.
LONG_PIECES = 1600


@contextlib.asynccontextmanager
async def start_router(folder, memory_mb, has_slow_peers):
    """Start a router process, endpoints that send bodies, and a sound one."""
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, *ROUTES)
        for number in range(2):
            name = f"writer-{number}"
            await fleet.add_worker(name, send_body, service="writer", slots=1000)
        await fleet.add_worker("other", answer_ok)
        fields = {
            "limits": {"memory_mb": memory_mb},
            "contracts": ["base", *(["pressure"] if has_slow_peers else [])],
        }
        router = EdgeProcess("r", "z", fleet.store_address, [], folder, fields=fields)
        router.start()
        try:
            await router.wait_ready()
            yield router
        finally:
            router.kill()


async def ask_others(address, duration_s):
    """Send requests of another route at a fixed rate; return how many had which end."""

    async def ask_one(number):
        try:
            async with asyncio.timeout(DEADLINE_S + TRANSIT_S):
                return (await ask(address, "/lookup/x", f"other-{number}")).status
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return "none"

    tasks = []
    for number in range(int(10 * duration_s)):
        tasks.append(asyncio.create_task(ask_one(number)))
        await asyncio.sleep(0.1)
    return Counter(await asyncio.gather(*tasks))


async def play_endless(router, requests):
    """Send requests that are answered without end, beside others."""
    address = router.addresses.callers
    _, others = await asyncio.gather(
        asyncio.gather(
            *(
                BodyClient(address, pace).ask(target, f"id-{number}", DEADLINE_S)
                for number, (target, pace) in enumerate(requests)
            )
        ),
        ask_others(address, DEADLINE_S),
    )
    return others


MANY = [(make_target("/body/", "chunked", 200), "stalled")] * 300
MIXED = list(itertools.product(ENDLESS, PACES))


@pytest.mark.parametrize("has_slow_peers", [False, True])
@pytest.mark.parametrize("requests", [MIXED, MANY], ids=["mixed", "many"])
def test_bodies_without_end_leave_a_router_its_memory(
    requests, has_slow_peers, tmp_path
):
    # Guards against one faulty endpoint whose answers take the memory of a router, and
    # with it the requests of all clients.
    async def run():
        async with start_router(tmp_path, SMALL_VM_MB, has_slow_peers) as router:
            others = await play_endless(router, requests)
            assert router.is_running
            return others, router.read_peak_memory_bytes()

    others, peak_bytes = asyncio.run(run())
    assert peak_bytes < SMALL_VM_MB * BYTES_PER_MB
    assert others == {200: 10 * DEADLINE_S}


LONG_ANSWERS = [
    ("chunked", 200),
    ("length", 404),
    ("close", 200),
    ("length", 500),
]


def make_expected(status, pieces=LONG_PIECES):
    return ReadAnswer(status, pieces * PIECE_BYTES, find_checksum(pieces), True)


@pytest.mark.parametrize("has_slow_peers", [False, True])
@pytest.mark.parametrize(
    ("pace", "asked"), [("fast", LONG_ANSWERS), ("slow", LONG_ANSWERS[:1])]
)
def test_long_answers_arrive_whole(pace, asked, has_slow_peers, tmp_path):
    # Guards against long answers that are cut, altered or never completed because they
    # do not fit into a router's memory.
    async def run():
        async with start_router(tmp_path, SMALL_VM_MB, has_slow_peers) as router:
            client = BodyClient(router.addresses.callers, pace)
            answers = [
                await client.ask(
                    make_target("/body/", framing, status, LONG_PIECES), "id", 15.0
                )
                for framing, status in asked
            ]
            return answers, router.read_peak_memory_bytes()

    answers, peak_bytes = asyncio.run(run())
    assert answers == [make_expected(status) for _, status in asked]
    assert peak_bytes < SMALL_VM_MB * BYTES_PER_MB


def test_long_answers_arrive_whole_through_another_router():
    # Guards against answers that are cut or altered between two routers.
    async def run():
        links = EndpointLinks()
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, *ROUTES)
            worker = await fleet.add_worker("writer", send_body, service="writer")
            router = await fleet.add_router(connect=links.connect)
            await fleet.add_router("helper", "y")
            await fleet.wait(
                lambda: all(
                    len(r.members.list_live()) == 2 and r.view.list_endpoints()
                    for r in fleet.routers
                )
            )
            links.cut("new", [worker.address])
            client = BodyClient(router.settings.callers_address, "fast")
            short = make_target("/body/", "length", 200, 1)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while not (await client.ask(short, "id", 1.0)).is_whole:
                    await asyncio.sleep(POLL_S)
            answers = [
                await client.ask(
                    make_target("/body/", framing, 200, LONG_PIECES), "id", 15.0
                )
                for framing in ("length", "close")
            ]
            await links.stop()
            return answers

    assert asyncio.run(run()) == [make_expected(200)] * 2


def ask_in_fleet(behave, target, version="HTTP/1.1", **settings):
    """Return the answer to a request, its runs, and the metrics of the router."""

    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, *ROUTES)
            for number in range(2):
                await fleet.add_worker(f"w{number}", behave, service="writer")
            router = await fleet.add_router(**settings)
            client = BodyClient(router.settings.callers_address, "fast")
            answer = await client.ask(target, "id", 5.0, version)
            await fleet.wait(lambda: not router.server.in_flight)
            runs = sum(len(worker.ran) for worker in fleet.workers)
            return answer, runs, router.metrics.format_text()

    return asyncio.run(run())


@pytest.mark.parametrize("has_slow_peers", [False, True])
@pytest.mark.parametrize("version", ["HTTP/1.1", "HTTP/1.0"])
@pytest.mark.parametrize("framing", ["chunked", "length", "close"])
def test_long_answer_that_breaks_off_does_not_pass_for_complete(
    framing, version, has_slow_peers
):
    # Guards against the beginning of a body that its client takes for the whole, or
    # that is joined with the body of another attempt.
    target = make_target("/body/", framing, 200, 40, then="break")
    answer, runs, metrics = ask_in_fleet(
        send_body, target, version, has_slow_peers=has_slow_peers
    )
    assert (answer.status, answer.is_whole, runs) == (200, False, 1)
    assert 'tamarackrill_bodies_cut_total{label="lost"} 1' in metrics
    assert 'tamarackrill_client_buffer_bytes{label=""} 0' in metrics


@pytest.mark.parametrize("framing", ["chunked", "length", "close"])
def test_long_answer_arrives_whole_at_a_client_without_chunks(framing):
    # Guards against a client of HTTP/1.0 that waits for the end of a body of no length.
    target = make_target("/body/", framing, 200, 40)
    answer, *_ = ask_in_fleet(send_body, target, "HTTP/1.0")
    assert answer == make_expected(200, 40)


@pytest.mark.parametrize("has_slow_peers", [False, True])
def test_failure_with_a_body_without_end_is_retried_elsewhere(has_slow_peers):
    # Guards against a client that gets an endless failure though another endpoint
    # serves its request.
    target = make_target("/body/", "chunked", 500)
    answer, runs, _ = ask_in_fleet(
        in_turn(send_body, answer_ok), target, has_slow_peers=has_slow_peers
    )
    assert (answer.status, answer.is_whole, runs) == (200, True, 2)


def test_an_answer_begins_early_unless_another_attempt_may_bring_more():
    # Guards against failures that are forwarded before they are final, and against two
    # answers that are joined.
    assert decide_early(200, has_begun=False, may_retry=True) == "begin"
    assert decide_early(500, has_begun=False, may_retry=True) == "retry"
    assert decide_early(500, has_begun=False, may_retry=False) == "begin"
    assert decide_early(500, has_begun=True, may_retry=False) == "retry"
    assert decide_early(404, has_begun=True, may_retry=True) == "break"
