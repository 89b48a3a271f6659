"""Event streams: each event once, in order, and no partial stream that looks whole."""

import asyncio
import re

import pytest

from tamarackrill.testing.edge import EdgeClient, EdgeFleet, ask, make_route
from tamarackrill.testing.worker import (
    frame_answer,
    in_turn,
    make_chunk,
    make_event,
    make_stream_head,
    reset_connection,
)

ROUTES = (
    make_route("/stream/", "streaming", stream_resume=True, attempts=3),
    make_route("/once/", "streaming", attempts=1),
    make_route("/other/", "idempotent", service="other"),
)
EVENTS = 6
FRAMINGS = ("length", "chunked", "close")
STREAM = {"Content_Type": "text/event-stream"}


def make_events(first, last=EVENTS, line_end=b"\n"):
    events = b"".join(make_event(number) for number in range(first, last + 1))
    return events.replace(b"\n", line_end)


def run_in_fleet(act):
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, *ROUTES)
            await act(fleet)

    asyncio.run(run())


def cut_after(framing, body, sent_bytes, end="close"):
    """Return a behaviour whose answer breaks off after some bytes of its body.

    It ends in order, by a reset, or ``"framed"``: with the frame of what was sent.
    """

    async def act(request, writer):
        if end == "framed":
            writer.write(frame_answer(request, framing, body[:sent_bytes], **STREAM))
        elif framing == "chunked":
            writer.write(make_stream_head(request))
            if sent_bytes:
                writer.write(make_chunk(body[:sent_bytes]))
        else:
            whole = frame_answer(request, framing, body, **STREAM)
            writer.write(whole[: len(whole) - len(body) + sent_bytes])
        await writer.drain()
        if end == "reset":
            # What has arrived is read before the reset is seen.
            await asyncio.sleep(0.005)
            await reset_connection(writer)
        writer.close()

    return act


def go_on(make_body):
    """Return a behaviour that answers with the events after the last one received."""

    async def act(request, writer):
        first = int(request.headers.get("last-event-id", 0)) + 1
        writer.write(frame_answer(request, "chunked", make_body(first), **STREAM))

    return act


def find_ids(body):
    return [int(text) for text in re.findall(rb"id: (\d+)\r?\n", body)]


def check_whole(answer):
    assert (answer.status, answer.is_whole) == (200, True)
    events = re.findall(rb"id: (\d+)\r?\ndata: word-(\d+)(?:\r?\n){2}", answer.body)
    numbers = [b"%d" % number for number in range(1, EVENTS + 1)]
    assert events == list(zip(numbers, numbers, strict=True))


# What another endpoint sends that is asked to go on with event `first`.
RESUMED = {
    "goes_on": make_events,
    "crlf": lambda first: make_events(first, line_end=b"\r\n"),
    "from_the_start": lambda first: make_events(1),
    "one_early": lambda first: make_events(max(1, first - 1)),
    "again_and_again": lambda first: make_events(1, 4) + make_events(2),
    "with_comments": lambda first: b": ping\n\nretry: 9\n\n" + make_events(first),
}


@pytest.mark.parametrize(
    "framing, end",
    [
        ("length", "close"),
        ("length", "reset"),
        ("chunked", "close"),
        ("chunked", "reset"),
        ("close", "reset"),
    ],
)
@pytest.mark.parametrize("make_body", RESUMED.values(), ids=RESUMED)
def test_events_come_once_and_in_order_wherever_an_endpoint_ends(
    make_body, framing, end
):
    # Guards against events that are missing, come twice or are joined from parts after
    # an endpoint has ended at any byte of its stream.
    async def act(fleet):
        whole = make_events(1)
        for name in ("w1", "w2"):
            await fleet.add_worker(name)
        router = await fleet.add_router()
        for sent_bytes in range(0, len(make_events(1, 3)), 5):
            cut = cut_after(framing, whole, sent_bytes, end)
            behave = in_turn(cut, go_on(make_body))
            for worker in fleet.workers:
                worker.behave = behave
            answer = await ask(router, "/stream/a", f"id-{sent_bytes}", b"x")
            check_whole(answer)

    run_in_fleet(act)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_stream_goes_on_twice_within_an_answer(framing):
    async def act(fleet):
        first = cut_after(framing, make_events(1, 3)[:-1], 500, "framed")
        second = cut_after(framing, make_events(3, 5)[:-1], 500, "framed")
        behave = in_turn(first, second, go_on(make_events))
        for name in ("w1", "w2", "w3"):
            await fleet.add_worker(name, behave)
        router = await fleet.add_router()
        check_whole(await ask(router, "/stream/a", body=b"x"))

    run_in_fleet(act)


def test_late_event_of_the_endpoint_before_is_dropped():
    # Guards against two endpoints in one answer: one that was silent for too long sends
    # its next event after another one has taken over.
    async def act(fleet):
        has_sent = asyncio.Event()

        async def stall(request, writer):
            writer.write(make_stream_head(request) + make_chunk(make_events(1, 2)))
            await asyncio.sleep(1.8)
            writer.write(make_chunk(make_events(3, 4)))
            has_sent.set()
            await asyncio.sleep(1)

        async def go_on_slowly(request, writer):
            writer.write(make_stream_head(request) + make_chunk(make_events(3, 3)))
            await asyncio.sleep(0.6)
            writer.write(make_chunk(make_events(4)) + make_chunk(b""))

        behave = in_turn(stall, go_on_slowly)
        for name in ("w1", "w2"):
            await fleet.add_worker(name, behave)
        router = await fleet.add_router()
        check_whole(await ask(router, "/stream/a", body=b"x"))

    run_in_fleet(act)


@pytest.mark.parametrize("make_body", RESUMED.values(), ids=RESUMED)
@pytest.mark.parametrize("last_id", [0, 2, EVENTS, EVENTS + 3])
def test_client_that_takes_a_stream_up_gets_what_it_lacks(last_id, make_body):
    # Guards against events that a client gets again, or never, because it has fewer of
    # them than its router had forwarded, or all.
    async def act(fleet):
        for name in ("w1", "w2"):
            await fleet.add_worker(name, go_on(make_body))
        routers = [await fleet.add_router(name) for name in ("r1", "r2")]
        client = await EdgeClient.connect(routers[0])
        client.send("/stream/a", "first", b"x")
        await client.read()
        client.close()
        headers = {"Last_Event_Id": str(last_id), "Resumes": "first"}
        answer = await ask(routers[1], "/stream/a", "take", b"x", **headers)
        assert (answer.status, answer.is_whole) == (200, True)
        assert find_ids(answer.body) == list(range(last_id + 1, EVENTS + 1))

    run_in_fleet(act)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_stream_is_not_complete_before_an_event_that_had_begun(framing):
    # Guards against a partial stream that looks complete: its first endpoint broke off
    # inside an event, and the next one ends before that event.
    async def act(fleet):
        behave = in_turn(
            cut_after(framing, make_events(1, 3), len(make_events(1, 3)) - 4),
            cut_after(framing, b"", 0, "framed"),
            go_on(make_events),
        )
        for name in ("w1", "w2", "w3"):
            await fleet.add_worker(name, behave)
        router = await fleet.add_router()
        check_whole(await ask(router, "/stream/a", body=b"x"))

    run_in_fleet(act)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_stream_without_events_is_not_complete(framing):
    # Guards against an empty stream that looks complete, because something in front of
    # a crashed endpoint has completed its frame.
    async def act(fleet):
        behave = in_turn(cut_after(framing, b"", 0, "framed"), go_on(make_events))
        for name in ("w1", "w2"):
            await fleet.add_worker(name, behave)
        router = await fleet.add_router()
        check_whole(await ask(router, "/stream/a", body=b"x"))

    run_in_fleet(act)


@pytest.mark.parametrize("has_other_service", [True, False])
@pytest.mark.parametrize("routers", [1, 3])
def test_crash_is_no_end_of_a_stream_if_the_other_endpoints_have_crashed_too(
    routers, has_other_service
):
    # Guards against a partial stream that is forwarded as complete, because the
    # endpoints with which the crashed one is compared have ended before it.
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        other = await fleet.add_worker("w2")
        if has_other_service:
            await fleet.add_worker("w3", service="other")
        for number in range(routers):
            await fleet.add_router(f"r{number}")
        router = fleet.routers[0]
        await fleet.wait(lambda: len(router.members.list_live()) == routers)

        async def crash(request, writer):
            writer.write(frame_answer(request, "close", make_events(1, 3), **STREAM))
            await writer.drain()
            await other.crash()
            await worker.crash()

        worker.behave = other.behave = crash
        answer = await ask(router, "/once/a", body=b"x")
        assert (answer.body, answer.is_whole) == (make_events(1, 3), False)

    run_in_fleet(act)
