"""Tests of clients that read slowly or not at all."""

import asyncio
import contextlib
import itertools
import socket
from types import SimpleNamespace

import pytest
from tornado.http1connection import HTTP1Connection

from tamarackrill.decisions.capacity import buffers
from tamarackrill.router import edge_server
from tamarackrill.router.channels import open_channel
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.slow_clients import SlowClients
from tamarackrill.testing.edge import (
    KEY,
    EdgeClient,
    EdgeFleet,
    ask,
    make_manifest,
    make_route,
)
from tamarackrill.testing.worker import (
    Worker,
    in_turn,
    make_answer,
    make_chunk,
    make_stream_head,
    make_streaming,
)

TIMES = {"timeout_ms": 20_000, "target_latency_ms": 5_000, "attempts": 2}
STREAM = make_route("/stream/", "streaming", stream_resume=True, **TIMES)
THRICE = make_route(
    "/thrice/", "streaming", stream_resume=True, **{**TIMES, "attempts": 3}
)
LOOKUP = make_route("/lookup/", "idempotent", **TIMES)
RACE = make_route("/race/", "idempotent", **{**TIMES, "target_latency_ms": 100})
OTHER_KEY = "the-other-key"
EVENT_BYTES = 16 * 1024
# Well above what the kernel takes of a response, and below the bound of each.
LONG_BYTES = 640 * 1024
ENDLESS_BYTES = 64 << 20


def run_in_fleet(act):
    async def run():
        async with EdgeFleet() as fleet:
            manifest = make_manifest(1, STREAM, THRICE, LOOKUP, RACE)
            other = {"name": "other", "api_keys": [OTHER_KEY], "priority": 1}
            manifest["tenants"].append(other)
            manifest["services"][0]["max_connections"] = 1000
            await fleet.store.write("config", "main", manifest)
            await act(fleet)

    asyncio.run(run())


def make_impatient(size_bytes, patience_s=0.8):
    """Stream large events; abort the connection if one stays unread for so long."""

    async def act(request, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32 * 1024)
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(make_stream_head(request))
        for number in range(1, size_bytes // EVENT_BYTES + 1):
            data = b"x" * EVENT_BYTES
            writer.write(make_chunk(b"id: %d\ndata: %s\n\n" % (number, data)))
            try:
                async with asyncio.timeout(patience_s):
                    await writer.drain()
            except TimeoutError:
                act.aborted += 1
                writer.transport.abort()
                return
        writer.write(make_chunk(b""))
        act.completed += 1

    act.aborted = act.completed = 0
    return act


async def answer_long(request, writer):
    body = b"y" * (LONG_BYTES if "long" in request.target else 9)
    writer.write(make_answer(request, body))


async def start_slow(
    fleet, router, target, request_id="id-1", key=KEY, deadline_ms=20_000
):
    """Send a request, and read nothing of the response until told to."""
    host, _, port = router.settings.callers_address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    client = EdgeClient(*await asyncio.open_connection(sock=sock, limit=2048))
    fleet.add_client(client)
    client.send(target, request_id, X_Deadline_Ms=str(deadline_ms), X_Api_Key=key)
    return client


def read_metrics(router):
    lines = router.metrics.format_text().splitlines()
    pairs = (line.rsplit(" ", 1) for line in lines)
    return {name.removeprefix("tamarackrill_"): float(value) for name, value in pairs}


def find_held_bytes(router):
    return read_metrics(router)['client_buffer_bytes{label=""}']


async def wait_still(read):
    """Wait until a value has stopped changing."""
    values = [None]
    while len(values) < 40:
        value = read()
        values = [*values, value] if value == values[-1] else [value]
        await asyncio.sleep(0.005)


def note_blame(router):
    """Return the failures of endpoints that the router records from now on."""
    found = []
    observe = router.placer.observe_result

    def note(call, placed, is_ok, *rest):
        if not is_ok:
            found.append(placed.endpoint.name)
        observe(call, placed, is_ok, *rest)

    router.placer.observe_result = note
    return found


def test_endpoint_that_aborts_an_unread_response_is_not_blamed():
    # Guards against a healthy endpoint that is ejected, checked for a crash or sent a
    # retry because a client did not read, and against a truncated stream that passes
    # for complete.
    async def act(fleet):
        behave = make_impatient(ENDLESS_BYTES)
        workers = [await fleet.add_worker(name, behave) for name in ("w1", "w2")]
        router = await fleet.add_router(has_slow_peers=True)
        blamed = note_blame(router)
        client = await start_slow(fleet, router, "/stream/a")
        await fleet.wait(lambda: behave.aborted)
        assert not (await client.read()).is_whole
        await fleet.wait(lambda: not router.server.in_flight)
        assert not blamed
        assert sum(worker.connections for worker in workers) == 1
        found = read_metrics(router)
        assert found['streams_cut_total{label="slow_client"}'] == 1
        assert found['client_buffers_total{label="response"}'] == 1
        assert 'attempts_failed_total{label="lost"}' not in found
        assert not found['client_buffer_bytes{label=""}']

    run_in_fleet(act)


def test_endpoint_that_breaks_a_response_off_while_it_is_read_is_blamed():
    # Guards against crashed endpoints that go unnoticed where clients may read slowly.
    async def act(fleet):
        async def break_off(request, writer):
            writer.write(make_stream_head(request) + make_chunk(b"id: 1\ndata: a\n\n"))
            await writer.drain()
            writer.transport.abort()

        await fleet.add_worker("w1", break_off)
        router = await fleet.add_router(has_slow_peers=True)
        blamed = note_blame(router)
        assert not (await ask(router, "/stream/a")).is_whole
        assert blamed == ["w1"]

    run_in_fleet(act)


@pytest.mark.parametrize("target", ["/stream/long", "/lookup/long"])
def test_unread_response_does_not_hold_its_endpoint_and_arrives_whole(target):
    # Guards against an endpoint's slot and connection that stay in use for a client
    # that reads slowly, against bytes lost or reordered in the buffer, and against an
    # answer that is counted before its client has it.
    async def act(fleet):
        stream = make_impatient(LONG_BYTES)
        behave = stream if "stream" in target else answer_long
        worker = await fleet.add_worker("w1", behave)
        router = await fleet.add_router(has_slow_peers=True)
        client = await start_slow(fleet, router, target)
        await fleet.wait(lambda: router.flow.attempts.pool.take("w1", router.clock()))
        assert not stream.aborted
        assert find_held_bytes(router) > 0
        assert len(router.server.in_flight) == 1
        assert not [name for name in read_metrics(router) if "calls_answered" in name]
        worker.behave = answer_long
        answer = await client.read()
        assert answer.is_whole
        if target == "/lookup/long":
            assert answer.body == b"y" * LONG_BYTES
        else:
            ids = [n for n in answer.body.split(b"\n") if n.startswith(b"id")]
            count = LONG_BYTES // EVENT_BYTES
            assert ids == [b"id: %d" % n for n in range(1, count + 1)]
        client.send("/lookup/b", "id-2")
        assert (await client.read()).body == b"y" * 9
        await fleet.wait(lambda: not router.server.in_flight)
        assert not find_held_bytes(router)

    run_in_fleet(act)


def test_buffered_response_is_delivered_before_shutdown():
    # Guards against responses cut off by a graceful shutdown because their endpoint has
    # completed them, though their client has not read them.
    async def act(fleet):
        behave = make_impatient(LONG_BYTES)
        await fleet.add_worker("w1", behave)
        router = await fleet.add_router(has_slow_peers=True, grace_s=10.0)
        client = await start_slow(fleet, router, "/stream/a")
        await fleet.wait(lambda: behave.completed)
        draining = asyncio.create_task(router.drain())
        await fleet.wait(lambda: not router.server.accepts_requests)
        assert (await client.read()).is_whole
        await draining
        assert not router.server.in_flight

    run_in_fleet(act)


@pytest.mark.parametrize("how", ["leaves", "lets its deadline pass"])
@pytest.mark.parametrize("size_bytes", [LONG_BYTES, ENDLESS_BYTES])
def test_buffer_of_a_client_is_freed_when_it(how, size_bytes):
    # Guards against memory, connections and slots that are held for clients that have
    # gone, or that can no longer use their response.
    async def act(fleet):
        behave = make_impatient(size_bytes, patience_s=60.0)
        worker = await fleet.add_worker("w1", behave)
        router = await fleet.add_router(has_slow_peers=True)
        is_late = how != "leaves"
        client = await start_slow(
            fleet, router, "/stream/a", deadline_ms=1500 if is_late else 20_000
        )
        await fleet.wait(lambda: find_held_bytes(router) > LONG_BYTES / 4)
        if not is_late:
            client.writer.transport.abort()
        await fleet.wait(lambda: not router.server.in_flight)
        assert not find_held_bytes(router)
        assert read_metrics(router).get('clients_left_total{label=""}', 0) == (
            0 if is_late else 1
        )
        if size_bytes == ENDLESS_BYTES:
            await fleet.wait(worker.closed.is_set)
        if is_late:
            assert not (await client.read()).is_whole

    run_in_fleet(act)


def test_many_clients_that_read_nothing_cost_the_others_nothing():
    # Guards against a team whose clients read nothing and that uses up the router's
    # memory, so that responses of other teams are cut off or no longer buffered.
    async def act(fleet):
        behave = make_impatient(2 * LONG_BYTES, patience_s=60.0)
        await fleet.add_worker("w1", behave, slots=1000)
        router = await fleet.add_router(
            has_slow_peers=True, memory_bytes=64_000_000, load_cap=1000.0
        )
        total_bytes = buffers.TOTAL_SHARE * 64_000_000
        slow = [
            await start_slow(fleet, router, "/stream/a", f"slow-{n}", OTHER_KEY)
            for n in range(300)
        ]
        team_bound = 'client_buffers_total{label="team"}'
        await fleet.wait(lambda: read_metrics(router).get(team_bound, 0) > 100)
        worker = await fleet.add_worker("w2", make_impatient(LONG_BYTES))
        await fleet.store.write("servers", "w1", None)
        await fleet.wait(lambda: router.view.find_endpoint("w1") is None)
        one = await start_slow(fleet, router, "/stream/a", "one")
        await fleet.wait(lambda: worker.behave.completed)
        for number in range(20):
            answer = await ask(router, "/stream/a", f"id-{number}")
            assert answer.is_whole
        assert (await one.read()).is_whole
        # Each stopped response holds the piece that was read when its bound fell.
        assert find_held_bytes(router) < total_bytes / 2 + 300 * 2 * EVENT_BYTES
        for client in slow:
            client.writer.transport.abort()
        await fleet.wait(lambda: not router.server.in_flight)
        assert not find_held_bytes(router)

    run_in_fleet(act)


def test_stopped_response_goes_on_when_another_one_is_freed():
    # Guards against a response whose endpoint stays stopped after the memory of its
    # team has been freed, until its own client reads.
    async def act(fleet):
        await fleet.add_worker("w1", make_impatient(ENDLESS_BYTES, 60.0))
        router = await fleet.add_router(has_slow_peers=True, memory_bytes=16_000_000)
        first = await start_slow(fleet, router, "/stream/a", "first")
        team_bound = 'client_buffers_total{label="team"}'
        await fleet.wait(lambda: read_metrics(router).get(team_bound) == 1)
        second = await start_slow(fleet, router, "/stream/a", "second")
        await fleet.wait(lambda: read_metrics(router).get(team_bound) == 2)
        await wait_still(lambda: find_held_bytes(router))
        first.writer.transport.abort()
        await fleet.wait(lambda: len(router.server.in_flight) == 1)
        await fleet.wait(lambda: find_held_bytes(router) > 900_000)
        second.writer.transport.abort()

    run_in_fleet(act)


def test_small_bodies_that_stay_unread_do_not_exceed_the_bound():
    # Guards against memory used up by complete responses, which no endpoint waits for
    # and which therefore can't be stopped.
    async def act(fleet):
        async def answer(request, writer):
            writer.write(make_answer(request, b"y" * buffers.KERNEL_BYTES))

        await fleet.add_worker("w1", answer)
        router = await fleet.add_router(has_slow_peers=True, memory_bytes=800_000)
        clients = [
            await start_slow(fleet, router, "/lookup/a", f"{n}-0") for n in range(3)
        ]
        for client, number in itertools.product(clients, range(20)):
            client.send("/lookup/a", f"id-{number}", X_Deadline_Ms="20000")
        cut = 'streams_cut_total{label="slow_client"}'
        await fleet.wait(lambda: read_metrics(router).get(cut) == 2)
        assert 0 < find_held_bytes(router) <= buffers.TOTAL_SHARE * 800_000

    run_in_fleet(act)


def test_response_whose_last_bytes_wait_is_counted_as_answered():
    # Guards against a delivered response that is counted as left by its client, because
    # the router closes the connection after it.
    async def act(fleet):
        await fleet.add_worker("w1", make_impatient(EVENT_BYTES))
        router = await fleet.add_router(has_slow_peers=True)
        make_reply = router.server.make_reply

        def make(connection, *args):
            finish = connection.finish

            def fill_and_finish():
                with contextlib.suppress(BlockingIOError):
                    while True:
                        connection.stream.socket.send(b"x" * EVENT_BYTES)
                finish()

            connection.finish = fill_and_finish
            return make_reply(connection, *args)

        router.server.make_reply = make
        client = await fleet.connect(router)
        client.send("/stream/a", Connection="close")
        await client.reader.read()
        await fleet.wait(lambda: not router.server.in_flight)
        assert read_metrics(router)['calls_answered_total{label="streaming"}'] == 1

    run_in_fleet(act)


def test_failure_of_an_endpoint_is_delivered_until_the_deadline(monkeypatch):
    # Guards against the long body of a failed response that is cut off after the short
    # time that a client has for the router's own refusals.
    monkeypatch.setattr(edge_server, "REFUSAL_DELIVERY_S", -1.0)

    async def act(fleet):
        async def fail(request, writer):
            writer.write(make_answer(request, b"y" * LONG_BYTES, 500))

        await fleet.add_worker("w1", fail)
        router = await fleet.add_router(has_slow_peers=True)
        client = await start_slow(fleet, router, "/lookup/a")
        failed = 'calls_failed_total{label="endpoint"}'
        await fleet.wait(lambda: read_metrics(router).get(failed))
        await wait_still(lambda: find_held_bytes(router))
        answer = await client.read()
        assert answer.status == 500
        assert answer.body == b"y" * LONG_BYTES

    run_in_fleet(act)


def test_failed_body_does_not_stop_the_stream_that_goes_on_elsewhere():
    # Guards against the body of a failed attempt that still counts for its response, so
    # that the rest of the stream waits for it until the deadline.
    async def act(fleet):
        async def fail(request, writer):
            body = b"y" * (buffers.RESPONSE_MAX_BYTES + 1)
            writer.write(make_answer(request, body, 500))

        behave = in_turn(make_streaming(1, is_cut=True), fail, make_streaming(30))
        for name in ("w1", "w2", "w3"):
            await fleet.add_worker(name, behave)
        router = await fleet.add_router(has_slow_peers=True)
        answer = await ask(router, "/thrice/a", X_Deadline_Ms="5000")
        assert answer.is_whole
        ids = [n for n in answer.body.split(b"\n") if n.startswith(b"id")]
        assert ids == [b"id: %d" % n for n in range(1, 31)]

    run_in_fleet(act)


@pytest.mark.parametrize(
    ("target", "step"),
    [("/lookup/a", "write_headers"), ("/stream/a", "write"), ("/stream/a", "finish")],
)
def test_response_whose_write_fails_at_once_is_not_counted_as_answered(target, step):
    # Guards against a response that counts as answered although its last bytes could
    # not be written, as its client had just left.
    async def act(fleet):
        stream = make_streaming(1)
        await fleet.add_worker("w1", stream if "stream" in target else answer_long)
        router = await fleet.add_router(has_slow_peers=True)
        make_reply = router.server.make_reply

        def make(connection, *args):
            run = getattr(connection, step)

            def run_after_loss(*step_args):
                # As after a reset that the event loop has not seen yet.
                connection.stream.socket.shutdown(socket.SHUT_WR)
                return run(*step_args)

            setattr(connection, step, run_after_loss)
            return make_reply(connection, *args)

        router.server.make_reply = make
        client = await fleet.connect(router)
        client.send(target)
        await client.reader.read()
        await fleet.wait(lambda: not router.server.in_flight)
        found = read_metrics(router)
        assert found['clients_left_total{label=""}'] == 1
        assert not [name for name in found if "calls_answered" in name]
        assert not find_held_bytes(router)

    run_in_fleet(act)


class StoppedReply:
    """Stopped response that does not read on once it is woken."""

    team = "team"

    def __init__(self):
        self.woken = asyncio.Event()
        self.wait_change = self.woken.wait
        self.wake = self.woken.set


def test_all_stopped_responses_go_on_though_the_first_ones_have_ended():
    # Guards against a response that stays stopped while there is room, because those
    # woken before it had nothing more to read.
    async def run():
        held = buffers.ClientBuffers(800)
        held.add("team", 60)
        clients = SlowClients(held, Metrics(), asyncio.get_running_loop().time)
        async with asyncio.timeout(5.0), asyncio.TaskGroup() as group:
            for _ in range(3):
                group.create_task(clients.wait_room(StoppedReply()))
            await asyncio.sleep(0)
            clients.release("team", 20)

    asyncio.run(run())


def test_two_attempts_for_which_there_is_no_memory_do_not_wait_for_each_other():
    # Guards against a router that spins, or attempts that stand still, while memory is
    # short and each of two attempts of a request reads a body.
    async def run():
        held = buffers.ClientBuffers(800_000)
        clients = SlowClients(held, Metrics(), asyncio.get_running_loop().time)
        clients.buffers.add("other", 200_000)
        with socket.socket() as sock:
            stream = SimpleNamespace(closed=lambda: False, socket=sock)
            connection = SimpleNamespace(stream=stream)
            reply = clients.make_reply(connection, False)
            for _ in range(2):
                assert reply.reserve(40_000, 40_000) == "total"
            assert clients.buffers.held_bytes == 280_000
            reply.drop_reserved(40_000)
            reply.drop_reserved()
            assert clients.buffers.held_bytes == 200_000

    asyncio.run(run())


def test_bodies_that_together_exceed_the_bound_are_completed():
    # Guards against complete responses that wait for each other's memory until their
    # deadlines, each read in part, although their clients read at once.
    async def act(fleet):
        async def answer(request, writer):
            data = make_answer(request, b"y" * LONG_BYTES)
            for start in range(0, len(data), EVENT_BYTES):
                writer.write(data[start : start + EVENT_BYTES])
                await writer.drain()
                await asyncio.sleep(0.001)

        await fleet.add_worker("w1", answer, slots=100)
        router = await fleet.add_router(
            has_slow_peers=True, memory_bytes=32_000_000, load_cap=100.0
        )
        answers = await asyncio.gather(
            *(
                ask(router, "/lookup/a", f"id-{number}", X_Deadline_Ms="8000")
                for number in range(8)
            )
        )
        assert {answer.status for answer in answers} == {200}
        found = read_metrics(router)
        assert found['client_buffers_total{label="team"}'] >= 2
        await fleet.wait(lambda: not router.server.in_flight)
        assert not find_held_bytes(router)

    run_in_fleet(act)


def test_bodies_of_two_attempts_that_together_exceed_the_bound_are_completed():
    # Guards against a request that waits for its own memory until its deadline, as its
    # first endpoint, silent within its body, and the one beside it hold more together
    # than one body may.
    async def act(fleet):
        asked = []

        async def answer(request, writer):
            asked.append(request)
            data = make_answer(request, b"y" * LONG_BYTES)
            writer.write(data[:-1])
            await writer.drain()
            await asyncio.sleep(1.0)
            writer.write(data[-1:])

        for number in range(2):
            await fleet.add_worker(f"w{number}", answer)
        # One of the bodies is held; both together exceed the bound of their team.
        router = await fleet.add_router(has_slow_peers=True, memory_bytes=12_000_000)
        await fleet.wait(lambda: len(router.view.list_endpoints()) == 2)
        answered = await ask(router, "/race/a", X_Deadline_Ms="4000")
        assert (answered.status, len(asked)) == (200, 2)
        await fleet.wait(lambda: not router.server.in_flight)
        assert not find_held_bytes(router)

    run_in_fleet(act)


def test_stream_of_a_client_that_reads_steadily_goes_on_at_another_endpoint():
    # Guards against a stream that is cut, and a crash that goes unnoticed, because many
    # short waits for a client that reads steadily add up.
    async def act(fleet):
        events, crashed = 500, []

        async def stream(request, writer):
            writer.transport.set_write_buffer_limits(high=0)
            writer.write(make_stream_head(request))
            first = int(request.headers.get("last-event-id", 0)) + 1
            for number in range(first, events + 1):
                event = b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)
                writer.write(make_chunk(event))
                await writer.drain()
                if number == events - 100 and not crashed:
                    crashed.append(number)
                    writer.close()
                    return
            writer.write(make_chunk(b""))

        for name in ("w1", "w2"):
            await fleet.add_worker(name, stream)
        router = await fleet.add_router(has_slow_peers=True)
        client = await start_slow(fleet, router, "/stream/a")
        body, read_bytes = bytearray(), 0
        while not body.endswith(b"\r\n0\r\n\r\n"):
            piece = await client.reader.read(65536)
            assert piece
            body += piece
            if len(body) > read_bytes + 65536:
                read_bytes = len(body)
                await asyncio.sleep(0.02)
        assert body.count(b"\ndata: ") == events
        found = read_metrics(router)
        assert found['client_buffers_total{label="response"}'] == 1
        assert found['attempts_failed_total{label="lost"}'] == 1

    run_in_fleet(act)


def test_pause_of_one_response_does_not_explain_the_break_of_the_next():
    # Guards against a crash that is attributed to the client of an earlier request on
    # the same connection, or to the time that it was kept idle.
    async def run():
        worker = Worker("w1", answer_long)
        await worker.start()
        loop = asyncio.get_running_loop()
        channel = await open_channel(worker.address, 1.0)
        headers = [("Host", "w1"), ("Content-Length", "0")]
        channel.send("POST", "/long", headers, b"")
        await channel.read_head()
        await asyncio.sleep(buffers.PAUSE_MIN_S + 0.1)
        while await channel.read_chunk():
            pass
        assert channel.pauses.explain_abort(loop.time())
        assert channel.finish()
        channel.send("POST", "/short", headers, b"")
        await channel.read_head()
        assert not channel.pauses.explain_abort(loop.time())
        channel.close()
        await worker.stop()

    asyncio.run(run())


def test_response_ends_at_once_if_its_buffer_can_not_be_written(monkeypatch):
    # Guards against a client that waits until its deadline for the rest of a response,
    # because the callback that writes it has raised.
    write = HTTP1Connection.write

    def act(connection, chunk):
        # Larger than one event: what was staged while the client read nothing.
        if len(chunk) > 2 * EVENT_BYTES:
            raise MemoryError
        return write(connection, chunk)

    async def run(fleet):
        await fleet.add_worker("w", make_impatient(LONG_BYTES, patience_s=20.0))
        router = await fleet.add_router(has_slow_peers=True)
        client = await start_slow(fleet, router, "/stream/a")
        await fleet.wait(lambda: find_held_bytes(router) > 4 * EVENT_BYTES)
        monkeypatch.setattr(HTTP1Connection, "write", act)
        async with asyncio.timeout(5.0):
            answer = await client.read()
        assert not answer.is_whole
        await fleet.wait(lambda: not router.server.in_flight)

    run_in_fleet(run)
