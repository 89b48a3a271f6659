"""Clients that use up the descriptors of a router."""

import asyncio
import contextlib
import signal
from collections import Counter

import pytest

from tamarackrill.decisions.capacity.descriptors import (
    DescriptorUsage,
    decide_connection,
    may_close_idle,
)
from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.worker import Worker, answer_ok

DESCRIPTORS_MAX = 200
GRACE_S = 8
REQUESTS = 20
WAIT_S = "9000"
ROUTES = (
    make_route("/confirm/", "non_idempotent", attempts=1, timeout_ms=9000),
    make_route("/lookup/", "idempotent"),
)


@contextlib.asynccontextmanager
async def run_router(tmp_path, behave):
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, *ROUTES, service={"max_connections": 1000})
        worker = await fleet.register_worker(Worker("w", behave), slots=500)
        router = EdgeProcess(
            "r",
            "z",
            fleet.store_address,
            [],
            tmp_path,
            grace_s=GRACE_S,
            descriptors_max=DESCRIPTORS_MAX,
        )
        router.start()
        try:
            await router.wait_ready()
            yield fleet, router, worker
        finally:
            router.kill()


async def ask_status(address, target, number):
    try:
        answer = await ask(
            address, target, f"{target}{number}", b"x", X_Deadline_Ms=WAIT_S
        )
    except (OSError, asyncio.IncompleteReadError):
        return "none"
    assert answer.status != 503 or "retry-after" in answer.headers
    return answer.status


async def open_idle(fleet, router):
    """Open more connections than the router has descriptors, without a request."""
    for _ in range(DESCRIPTORS_MAX):
        await fleet.connect(router.addresses.callers)


def test_stop_answers_requests_in_flight_though_descriptors_are_used_up(tmp_path):
    # Guards against a planned stop that fails because no connection can be accepted,
    # and ends the process with all requests that it has passed on.
    finish = asyncio.Event()

    async def answer_late(request, writer):
        await finish.wait()
        await answer_ok(request, writer)

    async def run():
        async with run_router(tmp_path, answer_late) as (fleet, router, worker):
            address = router.addresses.callers
            tasks = [
                asyncio.create_task(ask_status(address, "/confirm/x", number))
                for number in range(REQUESTS)
            ]
            await fleet.wait(lambda: len(worker.ran) == REQUESTS)
            await open_idle(fleet, router)
            router.signal(signal.SIGTERM)
            # Half of the grace, after which no request is taken any more.
            await asyncio.sleep(GRACE_S / 2)
            finish.set()
            statuses = Counter(await asyncio.gather(*tasks))
            return statuses, await router.wait_ended()

    statuses, code = asyncio.run(run())
    assert statuses == {200: REQUESTS}
    assert code == 0


def test_clients_that_use_up_descriptors_keep_no_request_from_its_endpoint(tmp_path):
    # Guards against idle connections that leave a router no descriptor for its
    # endpoints, so that it refuses all requests and accepts no connection.
    async def run():
        async with run_router(tmp_path, answer_ok) as (fleet, router, _):
            address = router.addresses.callers
            kept = await fleet.connect(address)
            kept.send("/lookup/x", "before")
            await kept.read()
            await open_idle(fleet, router)
            kept.send("/lookup/x", "kept")
            first = await kept.read()
            fresh = await asyncio.gather(
                *(ask_status(address, "/lookup/x", number) for number in range(10))
            )
            return first.status, fresh, router.log_path.read_text()

    status, fresh, log = asyncio.run(run())
    assert status == 200
    assert fresh == [200] * 10
    assert "endpoint_unreached" not in log
    assert '"descriptors_short"' in log


def test_requests_beyond_the_descriptors_are_refused_at_once(tmp_path):
    # Guards against requests in flight that leave none for the endpoints of others,
    # which then get no answer, or run and get one that says they did not.
    count = DESCRIPTORS_MAX
    finish = asyncio.Event()

    async def answer_late(request, writer):
        await finish.wait()
        await answer_ok(request, writer)

    async def run():
        async with run_router(tmp_path, answer_late) as (_, router, worker):
            address = router.addresses.callers
            tasks = [
                asyncio.create_task(ask_status(address, "/confirm/x", number))
                for number in range(count)
            ]
            # All but those that run, or wait to be accepted, are refused meanwhile.
            await asyncio.sleep(1.0)
            early = [task for task in tasks if task.done()]
            finish.set()
            statuses = Counter(await asyncio.gather(*tasks))
            return len(early), statuses, len(worker.ran), router.is_running

    early, statuses, ran, is_running = asyncio.run(run())
    assert set(statuses) == {200, 503}
    assert statuses[200] == ran
    assert early
    assert is_running


@pytest.mark.parametrize(
    ("clients", "endpoints", "decision"),
    [
        (0, 0, "serve"),
        (100, 18, "serve"),
        (101, 18, "refuse"),
        (110, 17, "refuse"),
        (110, 18, "wait"),
        (200, 0, "wait"),
    ],
)
def test_descriptors_are_kept_for_endpoints_of_open_connections(
    clients, endpoints, decision
):
    # Guards against connections of clients that take the last descriptors.
    assert decide_connection(DescriptorUsage(200, clients, endpoints)) == decision


@pytest.mark.parametrize(("since_s", "may_close"), [(9.0, True), (9.1, False)])
def test_connections_about_to_send_make_no_room(since_s, may_close):
    # Guards against closing a connection that its client has just opened.
    assert may_close_idle(since_s, 10.0) == may_close
