"""Answers that end with their connection, and answers that were broken off."""

import asyncio
import contextlib
import time

import pytest
from soak.links import EndpointLinks

from tamarackrill.router.channels import open_channel
from tamarackrill.testing.edge import (
    HOST,
    KEY,
    EdgeFleet,
    ask,
    make_route,
    read_reason,
)
from tamarackrill.testing.worker import (
    frame_answer,
    in_turn,
    make_answer,
    make_event,
    make_stream_head,
    make_streaming,
    reset_connection,
)

ROUTES = (
    make_route("/stream/", "streaming", stream_resume=True),
    make_route("/once/", "streaming", attempts=1),
    make_route("/lookup/", "idempotent"),
    make_route("/confirm/", "non_idempotent", attempts=1),
)
EVENTS = 6
EVENT_STREAM = {"Content_Type": "text/event-stream"}
WHOLE = b"".join(make_event(number) for number in range(1, EVENTS + 1))
THREE = b"".join(make_event(number) for number in range(1, 4))
FRAMINGS = ("length", "chunked", "close")
# Where the body of an endpoint that has crashed ends, and what of it is complete.
CUTS = {
    "in_first_event": (make_event(1)[:5], b""),
    "in_event": (THREE + make_event(4)[:5], THREE),
    "in_event_of_crlf": (
        (THREE + make_event(4)[:-1]).replace(b"\n", b"\r\n"),
        THREE.replace(b"\n", b"\r\n"),
    ),
    "before_its_blank_line": (THREE + make_event(4)[:-1], THREE),
}


def run_in_fleet(act):
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, *ROUTES)
            await act(fleet)

    asyncio.run(run())


def stream_of(framing, body):
    """Return a behaviour that answers with this body and closes the connection."""

    async def act(request, writer):
        headers = {"Content_Type": "text/event-stream"}
        writer.write(frame_answer(request, framing, body, **headers))
        await writer.drain()
        writer.close()

    return act


def body_of(framing, body):
    async def act(request, writer):
        writer.write(frame_answer(request, framing, body))
        await writer.drain()
        writer.close()

    return act


def crash_after(worker, body, **headers):
    """Return a behaviour that sends a body without framing and crashes the worker."""

    async def act(request, writer):
        writer.write(frame_answer(request, "close", body, **headers))
        await writer.drain()
        await worker.crash()

    return act


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("sent, complete", CUTS.values(), ids=CUTS)
def test_stream_that_ends_inside_an_event_does_not_look_complete(
    sent, complete, framing
):
    # Guards against a partial answer that its client takes for the whole one, because
    # the end of a connection or a frame is taken for the end of the stream.
    async def act(fleet):
        await fleet.add_worker("w1", stream_of(framing, sent))
        router = await fleet.add_router()
        answer = await ask(router, "/once/a", body=b"x")
        if complete:
            assert (answer.body, answer.is_whole) == (complete, False)
        else:
            assert (answer.status, read_reason(answer)) == (502, "lost")

    run_in_fleet(act)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("sent", [cut for cut, _ in CUTS.values()], ids=CUTS)
def test_stream_that_ends_inside_an_event_is_resumed_elsewhere(sent, framing):
    # Guards against a stream that is cut although another endpoint could go on with it.
    async def act(fleet):
        behave = in_turn(stream_of(framing, sent), make_streaming(EVENTS))
        for name in ("w1", "w2"):
            await fleet.add_worker(name, behave)
        router = await fleet.add_router()
        answer = await ask(router, "/stream/a", body=b"x")
        assert answer.is_whole
        assert answer.body.replace(b"\r", b"") == WHOLE

    run_in_fleet(act)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("rest", [b"", b"\n", b"\r\n", b": end\n", b": end"])
def test_whole_stream_is_complete_in_any_framing(framing, rest):
    async def act(fleet):
        worker = await fleet.add_worker("w1", stream_of(framing, WHOLE + rest))
        router = await fleet.add_router()
        answer = await ask(router, "/once/a", body=b"x")
        assert (answer.body, answer.is_whole) == (WHOLE + rest, True)
        assert len(worker.requests) == 1

    run_in_fleet(act)


def test_stream_without_framing_that_is_reset_does_not_look_complete():
    # Guards against a reset that is taken for the end of a body without framing.
    async def act(fleet):
        async def reset(request, writer):
            head = make_stream_head(request)
            writer.write(head.replace(b"Transfer-Encoding: chunked\r\n", b"") + THREE)
            await reset_connection(writer)

        await fleet.add_worker("w1", reset)
        router = await fleet.add_router()
        answer = await ask(router, "/once/a", body=b"x")
        assert answer.status == 502 or not answer.is_whole

    run_in_fleet(act)


def test_stream_without_framing_and_events_is_no_answer():
    # Guards against an empty stream that is forwarded as complete, if an endpoint
    # crashes after the head of a response that ends with its connection.
    async def act(fleet):
        behave = in_turn(stream_of("close", b""), make_streaming(EVENTS))
        for name in ("w1", "w2"):
            await fleet.add_worker(name, behave)
        router = await fleet.add_router()
        answer = await ask(router, "/stream/a", body=b"x")
        assert (answer.body, answer.is_whole) == (WHOLE, True)

    run_in_fleet(act)


def test_stream_taken_up_after_its_last_event_may_be_empty():
    # Guards against a stream that fails for a client that has all of its events.
    async def act(fleet):
        await fleet.add_worker("w1", stream_of("close", b""))
        router = await fleet.add_router()
        answer = await ask(router, "/stream/a", body=b"x", Last_Event_Id="6")
        assert (answer.status, answer.body, answer.is_whole) == (200, b"", True)

    run_in_fleet(act)


def end_without_events(framing):
    """Return a behaviour that breaks a stream off, and then sends no rest of it."""
    return in_turn(make_streaming(3, is_cut=True), stream_of(framing, b""))


@pytest.mark.parametrize("framing", FRAMINGS)
def test_connection_that_ends_after_the_head_is_no_rest_of_a_stream(framing):
    # Guards against half a stream that its client takes for the whole one, because the
    # endpoint that should go on with it ends its connection after the head.
    async def act(fleet):
        behave = end_without_events(framing)
        workers = [await fleet.add_worker(name, behave) for name in ("w1", "w2")]
        router = await fleet.add_router()
        answer = await ask(router, "/stream/a", body=b"x")
        assert sum(len(worker.requests) for worker in workers) == 2
        assert (answer.body, answer.is_whole) == (THREE, False)

    run_in_fleet(act)


def test_crash_between_events_is_no_end_of_a_stream_without_framing():
    # Guards against a partial answer that is forwarded as complete, if an endpoint
    # crashes between two events of a stream that ends with its connection.
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        headers = {"Content_Type": "text/event-stream"}
        worker.behave = crash_after(worker, THREE, **headers)
        router = await fleet.add_router()
        answer = await ask(router, "/once/a", body=b"x")
        assert (answer.body, answer.is_whole) == (THREE, False)

    run_in_fleet(act)


def test_crash_within_a_body_without_framing_is_no_end_of_it():
    # Guards against half an answer that is forwarded with a length as if it were whole.
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        worker.behave = crash_after(worker, b"half an ans")
        router = await fleet.add_router()
        answer = await ask(router, "/confirm/a", body=b"x")
        assert (answer.status, read_reason(answer)) == (502, "lost")

    run_in_fleet(act)


def test_leaving_endpoint_may_end_with_its_last_answer():
    # Guards against a complete stream that is cut because its endpoint ends after it.
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        headers = {"Content_Type": "text/event-stream", "Server_Leaving": "1"}
        worker.behave = crash_after(worker, WHOLE, **headers)
        router = await fleet.add_router()
        answer = await ask(router, "/once/a", body=b"x")
        assert (answer.body, answer.is_whole) == (WHOLE, True)

    run_in_fleet(act)


def test_connection_taken_while_the_endpoint_ends_is_no_sign_of_life():
    # Guards against a partial stream that is forwarded as complete, because its process
    # closes its listening socket after its connections.
    async def act(fleet):
        worker = await fleet.add_worker("w1")

        async def end_slowly(request, writer):
            headers = {"Content_Type": "text/event-stream"}
            writer.write(frame_answer(request, "close", THREE, **headers))
            await writer.drain()
            writer.close()

        async def end_at_the_second_connection():
            while worker.connections < 2:
                await asyncio.sleep(0.001)
            await worker.crash()

        worker.behave = end_slowly
        router = await fleet.add_router()
        ending = asyncio.create_task(end_at_the_second_connection())
        answer = await ask(router, "/once/a", body=b"x")
        assert (answer.body, answer.is_whole) == (THREE, False)
        await ending

    run_in_fleet(act)


@pytest.mark.parametrize("block_s", [0.008, 0.05])
def test_late_router_waits_for_an_endpoint_that_ends(block_s):
    # Guards against a partial stream that is forwarded as complete, because a late
    # router counts its own lateness as time in which the process didn't end.
    async def act(fleet):
        worker = await fleet.add_worker("w1")

        async def end_slowly(request, writer):
            headers = {"Content_Type": "text/event-stream"}
            writer.write(frame_answer(request, "close", THREE, **headers))
            await writer.drain()
            writer.close()

        async def end_at_the_second_connection():
            while worker.connections < 2:
                await asyncio.sleep(0.0005)
            time.sleep(block_s)
            await asyncio.sleep(0.003)
            await worker.crash()

        worker.behave = end_slowly
        router = await fleet.add_router()
        ending = asyncio.create_task(end_at_the_second_connection())
        answer = await ask(router, "/once/a", body=b"x")
        assert (answer.body, answer.is_whole) == (THREE, False)
        await ending

    run_in_fleet(act)


@pytest.mark.parametrize("target", ["/once/a", "/stream/a"])
@pytest.mark.parametrize("late_s", [0.0, 0.05, 0.3])
def test_crash_that_is_seen_at_the_deadline_is_no_end_of_a_stream(late_s, target):
    # Guards against a partial stream that is forwarded as complete, because a router
    # that stood still meanwhile sees its endpoint's end when the deadline has passed.
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        crash = crash_after(worker, THREE, **EVENT_STREAM)

        async def crash_and_block(request, writer):
            left_ms = int(request.headers["x-deadline-ms"])
            due_s = time.monotonic() + left_ms / 1000
            await crash(request, writer)
            time.sleep(max(0.0, due_s + late_s - time.monotonic()))

        worker.behave = crash_and_block
        router = await fleet.add_router()
        answer = await ask(router, target, body=b"x", X_Deadline_Ms="300")
        assert answer.status != 200 or not answer.is_whole

    run_in_fleet(act)


@pytest.mark.parametrize("seen", ["answer", "probe"])
def test_what_a_late_router_saw_before_is_no_sign_of_life(seen):
    # Guards against a partial stream that is forwarded as complete, because another
    # router that is late takes what it saw before the endpoint's crash for news.
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        has_ended = asyncio.Event()

        async def connect_late(address, timeout_s):
            try:
                channel = await open_channel(address, timeout_s)
            except ConnectionRefusedError:
                if seen == "answer":
                    asyncio.get_running_loop().call_soon(paths.record_answer, endpoint)
                raise
            await has_ended.wait()
            return channel

        router = await fleet.add_router()
        other = await fleet.add_router("other", "y", connect=connect_late)
        await fleet.wait(lambda: len(router.members.list_live()) == 2)
        paths = other.flow.attempts.paths
        endpoint = other.view.find_endpoint("w1")
        crash = crash_after(worker, THREE, **EVENT_STREAM)

        async def crash_when_probed(request, writer):
            if seen == "probe":
                paths.probe(endpoint)
                await fleet.wait(lambda: worker.connections == 2)
            await crash(request, writer)

        worker.behave = crash_when_probed
        asking = asyncio.create_task(ask(router, "/once/a", body=b"x"))
        await worker.closed.wait()
        # The answer to the probe is due as soon as the other router has been asked.
        await asyncio.sleep(0.05)
        has_ended.set()
        answer = await asking
        assert (answer.body, answer.is_whole) == (THREE, False)

    run_in_fleet(act)


@pytest.mark.parametrize("sent", [THREE, WHOLE])
def test_stream_of_an_endpoint_that_leaves_is_resumed_when_it_exits(sent):
    # Guards against part of a stream that is forwarded as complete, because the process
    # that sends it without framing exits as planned.
    async def act(fleet):
        leaving = await fleet.add_worker("w1")
        router = await fleet.add_router()
        crash = crash_after(leaving, sent, Content_Type="text/event-stream")

        async def leave(request, writer):
            await fleet.add_worker("w2", make_streaming(EVENTS))
            entry = leaving.describe("desk", state="draining", sequence=2)
            await fleet.store.write("servers", "w1", entry)
            await fleet.wait(lambda: len(router.view.list_endpoints()) == 2)
            await fleet.wait(lambda: len(router.view.list_live("desk")) == 1)
            await crash(request, writer)

        leaving.behave = leave
        answer = await ask(router, "/stream/a", body=b"x")
        assert (answer.body, answer.is_whole) == (WHOLE, True)

    run_in_fleet(act)


def test_whole_answer_is_delivered_if_its_endpoint_can_no_longer_be_reached():
    # Guards against an answer that is ready and is lost at its deadline, while the
    # router tries to learn whether the endpoint has crashed.
    async def act(fleet):
        links = EndpointLinks()
        worker = await fleet.add_worker("w1")
        router = await fleet.add_router(connect=links.connect)

        async def answer_and_fall_silent(request, writer):
            links.cut("new", [worker.address])
            links.mode = "silent"
            writer.write(frame_answer(request, "close", b"whole"))
            await writer.drain()
            writer.close()

        worker.behave = answer_and_fall_silent
        answer = await ask(router, "/confirm/a", body=b"x", X_Deadline_Ms="100")
        assert (answer.status, answer.body) == (200, b"whole")
        await links.stop()

    run_in_fleet(act)


def test_answers_without_framing_cost_no_second_connection_each():
    # Guards against twice the connections to an endpoint whose answers have no framing.
    async def act(fleet):
        worker = await fleet.add_worker("w1", body_of("close", b"whole"))
        router = await fleet.add_router()
        for number in range(5):
            answer = await ask(router, "/lookup/a", f"id-{number}")
            assert (answer.status, answer.body) == (200, b"whole")
        assert worker.connections <= 6

    run_in_fleet(act)


@pytest.mark.parametrize("method, status", [("HEAD", 200), ("GET", 204), ("GET", 304)])
def test_answer_without_a_body_is_complete(method, status):
    async def act(fleet):
        async def no_body(request, writer):
            headers = {"Content_Length": "", "Content_Type": "text/event-stream"}
            writer.write(make_answer(request, b"", status, **headers))

        await fleet.add_worker("w1", no_body)
        router = await fleet.add_router()
        client = await fleet.connect(router)
        client.send("/lookup/a", method=method, Connection="close")
        answer = await client.reader.read()
        client.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 %d " % status)
        assert body == b""

    run_in_fleet(act)


def test_client_of_http_1_0_sees_that_a_stream_was_cut():
    # Guards against a cut stream that looks complete to a client without chunks, for
    # which the end of its connection is the end of the answer.
    async def act(fleet):
        await fleet.add_worker("w1", make_streaming(3, is_cut=True))
        router = await fleet.add_router()
        client = await fleet.connect(router)
        lines = ("POST /once/a HTTP/1.0", f"Host: {HOST}", f"X-Api-Key: {KEY}")
        client.writer.write("\r\n".join(lines).encode())
        client.writer.write(b"\r\nX-Request-Attempt-Id: id-1\r\nContent-Length: 0\r\n")
        client.writer.write(b"X-Deadline-Ms: 3000\r\n\r\n")
        with pytest.raises(ConnectionResetError):
            while await client.reader.read(100):
                pass
        client.close()

    run_in_fleet(act)


@contextlib.asynccontextmanager
async def run_cut_off_router(fleet):
    """Start a router that reaches endpoints only through another one."""
    links = EndpointLinks()
    router = await fleet.add_router("cut-off", connect=links.connect)
    await fleet.add_router("helper", "y")
    await fleet.wait(lambda: len(router.members.list_live()) == 2)
    links.cut("reset", [worker.address for worker in fleet.workers])
    names = {worker.name for worker in fleet.workers}
    await ask(router, "/lookup/a", "id-0")
    await fleet.wait(lambda: names <= set(router.relays.paths.reachable))
    for worker in fleet.workers:
        worker.requests.clear()
    yield router
    await links.stop()


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("sent, complete", CUTS.values(), ids=CUTS)
def test_broken_off_stream_through_another_router_does_not_look_complete(
    sent, complete, framing
):
    # Guards against a partial answer that a router forwards for another one, which
    # takes the framing of that router for the endpoint's.
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        async with run_cut_off_router(fleet) as router:
            worker.behave = stream_of(framing, sent)
            answer = await ask(router, "/once/a", body=b"x")
            assert len(worker.requests) == 1
            if complete:
                assert (answer.body, answer.is_whole) == (complete, False)
            else:
                assert (answer.status, read_reason(answer)) == (502, "lost")

    run_in_fleet(act)


def test_rest_of_a_stream_through_another_router_may_be_empty():
    # Guards against a stream that is cut after its last event because the router that
    # forwards its rest expects an event.
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        async with run_cut_off_router(fleet) as router:
            worker.behave = stream_of("close", b"")
            answer = await ask(router, "/stream/a", body=b"x", Last_Event_Id="6")
            assert (answer.status, answer.body, answer.is_whole) == (200, b"", True)

    run_in_fleet(act)


def test_end_after_the_head_is_no_rest_of_a_stream_through_another_router():
    # Guards against half a stream that its client takes for the whole one, because the
    # router that forwards the rest frames what ended with its connection.
    async def act(fleet):
        workers = [await fleet.add_worker(name) for name in ("w1", "w2")]
        async with run_cut_off_router(fleet) as router:
            behave = end_without_events("close")
            for worker in workers:
                worker.behave = behave
            answer = await ask(router, "/stream/a", body=b"x")
            assert sum(len(worker.requests) for worker in workers) == 2
            assert (answer.body, answer.is_whole) == (THREE, False)

    run_in_fleet(act)


@pytest.mark.parametrize(
    "target, sent, headers",
    [
        ("/once/a", THREE, EVENT_STREAM),
        ("/once/a", b"", EVENT_STREAM),
        ("/confirm/a", b"half an ans", {}),
    ],
    ids=["between_events", "before_first_event", "no_stream"],
)
def test_crash_through_another_router_is_no_end_of_an_answer(target, sent, headers):
    # Guards against half an answer without framing that another router frames as whole.
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        async with run_cut_off_router(fleet) as router:
            worker.behave = crash_after(worker, sent, **headers)
            answer = await ask(router, target, body=b"x")
            assert len(worker.requests) == 1
            assert answer.status == 502 or not answer.is_whole

    run_in_fleet(act)


def test_answer_through_another_router_that_ends_within_its_head_is_lost():
    # Guards against an empty answer that looks complete, as the router that forwards it
    # writes a head of its own.
    async def act(fleet):
        async def stop(request, writer):
            whole = make_answer(request, b"")
            writer.write(whole[: int(request.headers["cut"])])
            await writer.drain()
            writer.close()

        worker = await fleet.add_worker("w1")
        async with run_cut_off_router(fleet) as router:
            await ask(router, "/confirm/a", body=b"x")
            size_bytes = len(make_answer(worker.requests[0], b""))
            worker.behave = stop
            for cut in range(size_bytes):
                answer = await ask(router, "/confirm/a", body=b"x", Cut=str(cut))
                assert (answer.status, read_reason(answer)) == (502, "lost"), cut
            assert len(worker.requests) == 1 + size_bytes

    run_in_fleet(act)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_whole_answer_through_another_router_is_complete(framing):
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        async with run_cut_off_router(fleet) as router:
            worker.behave = stream_of(framing, WHOLE)
            answer = await ask(router, "/once/a", body=b"x")
            assert (answer.body, answer.is_whole) == (WHOLE, True)

    run_in_fleet(act)
