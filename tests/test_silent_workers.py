"""Workers that fall silent for a second or so and go on."""

import asyncio
import socket

import pytest

from tamarackrill.decisions.attempt_timeouts import SILENCE_MAX_S
from tamarackrill.decisions.retry_shares import BudgetTerms
from tamarackrill.router.channels import Channel, open_channel
from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.tcp_server import TcpServer
from tamarackrill.testing.worker import (
    Worker,
    WorkerRequest,
    answer_ok,
    in_turn,
    make_answer,
    make_chunk,
    make_event,
    make_stream_head,
    make_streaming,
    refuse_full,
    reset_connection,
)

SILENCE_S = 1.2
# Time in which a worker reads nothing, for example while its machine stands still, and
# size of a body that fills all buffers on the way.
READ_PAUSE_S = 2.5
BODY_BYTES = 2_000_000


def test_connection_outlives_a_worker_that_acknowledges_nothing_for_a_second():
    # Guards against connections to sound workers that the kernel closes: the user
    # timeout also ends keepalive probes, whatever their number.
    async def run():
        async with EdgeFleet() as fleet:
            worker = await fleet.add_worker("w1")
            channel = await open_channel(worker.address, 1.0)
            sock = channel._transport.get_extra_info("socket")
            timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert timeout_ms > 1000 * SILENCE_S
            channel.close()

    asyncio.run(run())


@pytest.mark.parametrize("workers", [1, 2])
def test_stream_of_a_worker_that_pauses_is_served_by_it_alone(workers):
    # Guards against a second run of a stream whose worker is only silent for a second:
    # both would work on it.
    async def pause(request, writer):
        writer.write(make_stream_head(request) + make_chunk(make_event(1)))
        await writer.drain()
        await asyncio.sleep(SILENCE_S)
        writer.write(make_chunk(make_event(2)) + make_chunk(b""))

    async def run():
        route = make_route("/stream/", "streaming", stream_resume=True)
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, route)
            for number in range(workers):
                await fleet.add_worker(f"w{number}", pause)
            router = await fleet.add_router()
            await fleet.wait(lambda: len(router.view.list_endpoints()) == workers)
            answer = await ask(router, "/stream/a", body=b"x")
            assert answer.body == make_event(1) + make_event(2)
            assert sum(len(worker.requests) for worker in fleet.workers) == 1

    asyncio.run(run())


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_body_is_sent_on_to_a_worker_that_has_paused(kind):
    # Guards against a request that is lost because its worker reads no more of its body
    # for a while: the user timeout also ends connections whose window is closed.
    async def pause(reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(READ_PAUSE_S)
            body = await reader.readexactly(BODY_BYTES)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        lines = head.decode().lower().split("\r\n")
        headers = dict(line.split(": ") for line in lines if ": " in line)
        request = WorkerRequest("POST", "/a", headers, body)
        writer.write(make_answer(request, b"%d" % len(body)))

    async def run():
        async with EdgeFleet() as fleet, TcpServer(pause) as server:
            limits = {"max_body_bytes": BODY_BYTES}
            route = make_route("/a/", kind, timeout_ms=8000)
            await fleet.put_manifest(1, route, limits=limits)
            worker = Worker("w1", answer_ok)
            worker.address = server.address
            await fleet.store.write("servers", "w1", worker.describe("desk"))
            router = await fleet.add_router()
            body = b"x" * BODY_BYTES
            answer = await ask(router, "/a/a", body=body, X_Deadline_Ms="8000")
            assert (answer.status, answer.body) == (200, b"%d" % BODY_BYTES)

    asyncio.run(run())


@pytest.mark.parametrize("unacknowledged_s, requests", [(2.0, 2), (0.0, 1)])
def test_stream_is_asked_for_elsewhere_only_if_its_link_is_dead(
    monkeypatch, unacknowledged_s, requests
):
    # Guards against streams that wait for the first event of an endpoint whose link is
    # dead, and against ones that run twice while their engine reads a long prompt.
    monkeypatch.setattr(
        Channel, "find_unacknowledged_s", lambda channel: unacknowledged_s
    )
    sent = []

    async def begin_late(request, writer):
        sent.append(request)
        if len(sent) == 1:
            await asyncio.sleep(READ_PAUSE_S)
        writer.write(make_stream_head(request) + make_chunk(make_event(1)))
        writer.write(make_chunk(b""))

    async def run():
        route = make_route("/stream/", "streaming", stream_resume=True, timeout_ms=8000)
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, route)
            for number in range(2):
                await fleet.add_worker(f"w{number}", begin_late)
            router = await fleet.add_router()
            await fleet.wait(lambda: len(router.view.list_endpoints()) == 2)
            answer = await ask(router, "/stream/a", body=b"x", X_Deadline_Ms="8000")
            assert (answer.body, answer.is_whole) == (make_event(1), True)
            assert len(sent) == requests

    asyncio.run(run())


def test_machine_that_acknowledges_is_not_taken_for_a_dead_one():
    # Guards against links that are suspected because a worker reads nothing.
    async def run():
        async def read_nothing(reader, writer):
            await asyncio.sleep(READ_PAUSE_S)

        async with TcpServer(read_nothing) as server:
            idle = await open_channel(server.address, 1.0)
            full = await open_channel(server.address, 1.0)
            size = [("Host", "a"), ("Content-Length", str(BODY_BYTES))]
            full.send("POST", "/", size, b"x" * BODY_BYTES)
            for _ in range(5):
                await asyncio.sleep(0.4)
                for channel in (idle, full):
                    assert channel.is_open
                    assert channel.find_unacknowledged_s() < SILENCE_MAX_S
            idle.close()
            full.close()

    asyncio.run(run())


async def close_after_pause(request, writer):
    await asyncio.sleep(SILENCE_S)
    writer.close()


async def reset_after_pause(request, writer):
    await asyncio.sleep(SILENCE_S)
    await reset_connection(writer)


@pytest.mark.parametrize(
    ("kind", "budget", "status", "requests"),
    [
        ("idempotent", 56.0, 200, 3),
        ("streaming", 56.0, 200, 3),
        ("idempotent", 0.0, 502, 2),
    ],
)
@pytest.mark.parametrize("end", [close_after_pause, reset_after_pause])
def test_kept_connection_that_ends_unanswered_is_opened_again(
    kind, budget, status, requests, end
):
    # Guards against a request that fails at a sound worker whose idle timeout passed
    # while it was silent: it closes its connections, with what it hasn't read.
    async def run():
        route = make_route(
            "/a/", kind, timeout_ms=8000, stream_resume=kind == "streaming"
        )
        serve = make_streaming(2) if kind == "streaming" else answer_ok
        terms = BudgetTerms(ratio=0.0, window_s=10.0, fixed=budget)
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, route)
            worker = await fleet.add_worker("w0", in_turn(serve, end, serve))
            router = await fleet.add_router(retry_budget=terms)
            assert (await ask(router, "/a/a", body=b"x")).status == 200
            client = await fleet.connect(router)
            client.send("/a/a", "id-2", b"x", X_Deadline_Ms="8000")
            reading = asyncio.create_task(client.read())
            await fleet.wait(lambda: len(worker.requests) == 2)
            others = [await fleet.add_worker(f"w{n}", refuse_full) for n in (1, 2)]
            answer = await reading
            assert (answer.status, answer.is_whole) == (status, True)
            assert len(worker.requests) == requests
            assert not any(other.requests for other in others)

    asyncio.run(run())


def test_kept_connection_that_ends_while_its_router_waits_for_news_is_not_used():
    # Guards against a request that counts as lost, and costs a retry, because a router
    # that stood still sends it on a connection which has ended meanwhile.
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, make_route("/a/", "idempotent"))
            ended = asyncio.Event()

            async def serve_until_ended(request, writer):
                await answer_ok(request, writer)
                await writer.drain()
                await ended.wait()
                writer.close()

            worker = await fleet.add_worker("w0", in_turn(serve_until_ended, answer_ok))
            terms = BudgetTerms(ratio=0.0, window_s=10.0, fixed=56.0)
            router = await fleet.add_router(retry_budget=terms)
            assert (await ask(router, "/a/a", method="GET")).status == 200
            left = router.flow.list_retries_left()

            async def wait_for_end():
                ended.set()
                await asyncio.sleep(0.1)

            router.flow.attempts.wait_current = wait_for_end
            assert (await ask(router, "/a/a", "id-2", method="GET")).status == 200
            assert len(worker.requests) == 2
            assert router.flow.list_retries_left() == left

    asyncio.run(run())
