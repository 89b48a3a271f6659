"""Steps of a request that raise an error which nobody expects."""

import asyncio

import pytest
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from tamarackrill.decisions.event_stream import EventStream
from tamarackrill.decisions.routing import LoadBalancer
from tamarackrill.router import edge_attempts, edge_flow, edge_server
from tamarackrill.router.channels import Channel
from tamarackrill.router.edge_placing import EdgePlacer
from tamarackrill.router.edge_reply import EdgeReply
from tamarackrill.router.edge_reserving import EdgeReserver
from tamarackrill.router.slow_clients import BufferedReply
from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.injection import raising
from tamarackrill.testing.worker import (
    answer_ok,
    make_chunk,
    make_event,
    make_stream_head,
    make_streaming,
)

ROUTES = {
    "idempotent": make_route("/idempotent/", "idempotent"),
    "non_idempotent": make_route("/non_idempotent/", "non_idempotent"),
    "streaming": make_route("/streaming/", "streaming"),
    "stream_resume": make_route("/stream_resume/", "streaming", stream_resume=True),
}
EVENTS = 3
# The deadline of the requests.
ANSWER_MAX_S = 3.0
EVENT_TEXT = b"".join(map(make_event, range(1, EVENTS + 1)))
ERRORS = (
    ValueError("odd"),
    KeyError("odd"),
    UnicodeError("odd"),
    RecursionError("odd"),
    MemoryError(),
    AssertionError(),
    OverflowError("odd"),
    asyncio.CancelledError(),
)
# Steps that concern one endpoint, before anything has been sent to it.
BEFORE_SENDING = {
    "connect": (edge_attempts.EdgeAttempts, "open_own_channel"),
    "start": (EdgePlacer, "start"),
    "build headers": (edge_attempts, "build_request_headers"),
    "send": (Channel, "send"),
}
# Steps that concern one endpoint, which may have run the request.
AFTER_SENDING = {
    "read head": (Channel, "read_head"),
    "parse headers": (edge_attempts, "parse_response_headers"),
    "observe head": (EdgePlacer, "observe_response_start"),
    "read body": (Channel, "read_chunk"),
    "parse events": (EventStream, "take"),
    "filter headers": (edge_attempts, "filter_response_headers"),
    "begin": (EdgeReply, "begin"),
}
# Steps that record what an endpoint has answered.
RECORDING = {
    "end connection": (Channel, "finish"),
    "finish": (EdgePlacer, "finish"),
    "observe result": (EdgePlacer, "observe_result"),
    "release": (EdgeReserver, "finish"),
}
# Steps that concern the request, before anything has been sent.
BEFORE_PLACING = {
    "parse request": (edge_server, "parse_request_headers"),
    "match": (edge_server.EdgeServer, "match"),
    "begin": (edge_flow, "RequestProgress"),
    "place": (EdgeReserver, "place"),
    "choose": (EdgePlacer, "choose"),
}
# Steps after an attempt that failed.
AFTER_FAILURE = {
    "count attempts": (edge_flow, "add_attempt"),
    "decide": (edge_flow, "decide_next"),
    "choose again": (EdgePlacer, "choose"),
}


async def start_fleet(fleet, kind, behave, settings):
    await fleet.put_manifest(1, *ROUTES.values())
    is_stream = kind.startswith("stream")
    default = make_streaming(EVENTS) if is_stream else answer_ok
    for number in range(4):
        await fleet.add_worker(f"w{number}", behave or default)
    return await fleet.add_router(**settings)


def count_runs(fleet, request_id):
    ran = [request for worker in fleet.workers for request in worker.ran]
    return sum(request.request_id == request_id for request in ran)


def is_complete(kind, answer):
    if not kind.startswith("stream"):
        return answer.status == 200
    return answer.status == 200 and answer.is_whole and answer.body == EVENT_TEXT


async def ask_during(fleet, router, kind, step, error, skipped=0):
    """Return the answer to a request, one of whose steps raises, and its runs."""
    request_id = f"{kind}-{type(error).__name__}"
    with raising(*step, error, skipped):
        async with asyncio.timeout(ANSWER_MAX_S):
            answer = await ask(router, f"/{kind}/", request_id)
    runs = count_runs(fleet, request_id)
    if answer.status == 503:
        assert runs == 0
        assert "retry-after" in answer.headers
    if kind.startswith("stream") and answer.status == 200:
        assert EVENT_TEXT.startswith(answer.body)
    if not ROUTES[kind]["stream_resume"] and kind != "idempotent":
        assert runs <= 1
    # The router serves the next request.
    assert is_complete(kind, await ask(router, f"/{kind}/", f"{request_id}-next"))
    return answer, runs


def run_each(kind, step, check, behave=None, skipped=0, **settings):
    """Check the answer to a request in whose step each of the errors is raised."""

    async def run():
        async with EdgeFleet() as fleet:
            router = await start_fleet(fleet, kind, behave, settings)
            for error in ERRORS:
                found = await ask_during(fleet, router, kind, step, error, skipped)
                check(*found)

    asyncio.run(run())


def can_repeat(kind):
    return kind in ("idempotent", "stream_resume")


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize("step", BEFORE_SENDING)
def test_request_that_was_not_sent_goes_to_another_endpoint(step, kind):
    # Guards against a request that ends without an answer because connecting or
    # sending raises an error other than OSError.
    def check(answer, runs):
        assert is_complete(kind, answer)
        assert runs == 1

    run_each(kind, BEFORE_SENDING[step], check)


@pytest.mark.parametrize(
    ("step", "kind"),
    [
        (step, kind)
        for step in AFTER_SENDING
        for kind in ROUTES
        if step != "parse events" or kind.startswith("stream")
    ],
)
def test_unexpected_error_in_an_answer_is_a_failed_attempt(step, kind):
    # Guards against a request that ends without an answer because what an endpoint
    # answers raises an unexpected error, and against one that is told as not run.
    def check(answer, runs):
        if can_repeat(kind):
            assert is_complete(kind, answer)
        else:
            assert answer.status == 502 or not answer.is_whole
            assert runs <= 1

    run_each(kind, AFTER_SENDING[step], check)


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize("step", RECORDING)
def test_answer_is_complete_though_recording_it_fails(step, kind):
    # Guards against an answer that is lost or requested again because the router fails
    # to record it.
    def check(answer, runs):
        assert is_complete(kind, answer)
        assert runs == 1

    run_each(kind, RECORDING[step], check)


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize("step", BEFORE_PLACING)
def test_request_that_was_not_placed_is_refused_as_not_run(step, kind):
    # Guards against a connection that ends without an answer because a step before any
    # attempt raises an unexpected error.
    def check(answer, runs):
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) >= 0.0

    run_each(kind, BEFORE_PLACING[step], check)


@pytest.mark.parametrize(
    ("step", "kind"),
    [
        (step, kind)
        for step in AFTER_FAILURE
        for kind in ROUTES
        if step != "choose again" or can_repeat(kind)
    ],
)
def test_request_that_was_sent_is_not_refused_as_not_run(step, kind):
    # Guards against a 503 for a request that an endpoint may have run, and against none
    # at all, because a step after its failed attempt raises an unexpected error.
    async def fail(request, writer):
        if request.request_id.endswith("-next"):
            await (make_streaming(EVENTS) if kind.startswith("s") else answer_ok)(
                request, writer
            )
        else:
            writer.close()

    def check(answer, runs):
        assert answer.status == 502
        assert runs >= 1

    skipped = 1 if step == "choose again" else 0
    run_each(kind, AFTER_FAILURE[step], check, fail, skipped)


@pytest.mark.parametrize("kind", ["streaming", "stream_resume"])
@pytest.mark.parametrize("skipped", [0, 1])
@pytest.mark.parametrize("reply", [EdgeReply, BufferedReply])
def test_stream_is_cut_if_it_is_unknown_what_was_written(reply, kind, skipped):
    # Guards against a stream that goes on without events, or with some of them twice,
    # after an error while they were passed on.
    async def send_slowly(request, writer):
        writer.write(make_stream_head(request))
        for number in range(1, EVENTS + 1):
            writer.write(make_chunk(make_event(number)))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(make_chunk(b""))

    def check(answer, runs):
        assert not answer.is_whole
        assert runs == 1

    is_buffered = reply is BufferedReply
    step = (reply, "write")
    run_each(kind, step, check, send_slowly, skipped, has_slow_peers=is_buffered)


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize("name", ["begin", "drop_reserved", "finish", "deliver"])
def test_request_is_answered_though_buffering_its_response_fails(name, kind):
    # Guards against a request that ends without an answer because of the memory that
    # its response takes.
    def check(answer, runs):
        assert answer.status in (200, 502)
        assert runs >= 1

    is_stream = kind.startswith("stream")
    owner = BufferedReply
    if name == "finish" and not is_stream:
        owner, name = HTTP1Connection, "finish"
    run_each(kind, (owner, name), check, has_slow_peers=True)


@pytest.mark.parametrize("kind", ROUTES)
def test_request_is_refused_if_its_response_can_not_be_buffered(kind):
    # Guards against a connection that stays open without an answer.
    def check(answer, runs):
        assert answer.status == 503

    run_each(kind, (BufferedReply, "__init__"), check, has_slow_peers=True)


@pytest.mark.parametrize("raising_names", [{"w0"}, {"w0", "w1", "w2", "w3"}])
def test_endpoint_is_ejected_only_for_errors_of_its_own(raising_names, monkeypatch):
    # Guards against endpoints that are ejected for a fault of the router, and against
    # one whose answers raise each time and that goes on getting requests.
    observe = EdgePlacer.observe_response_start

    def act(placer, call, endpoint, now_s):
        if endpoint.name in raising_names:
            raise ValueError("odd")
        observe(placer, call, endpoint, now_s)

    async def run():
        monkeypatch.setattr(EdgePlacer, "observe_response_start", act)
        async with EdgeFleet() as fleet:
            router = await start_fleet(fleet, "idempotent", None, {})
            for number in range(40):
                await ask(router, "/idempotent/", f"id-{number}")
            names = {worker.name for worker in fleet.workers}
            health = router.placer.health
            excluded = health.find_excluded(names, router.clock())
            assert excluded == (raising_names if len(raising_names) == 1 else set())

    asyncio.run(run())


def test_endpoint_that_can_not_be_compared_is_left_out(monkeypatch):
    # Guards against a service whose requests are all refused because what is known of
    # one endpoint makes the choice raise.
    choose = LoadBalancer.choose

    def act(placement, request, pool, *args, **kwargs):
        if "w0" in pool.by_name:
            raise OverflowError("odd")
        return choose(placement, request, pool, *args, **kwargs)

    async def run():
        monkeypatch.setattr(LoadBalancer, "choose", act)
        async with EdgeFleet() as fleet:
            router = await start_fleet(fleet, "idempotent", None, {})
            for number in range(12):
                answer = await ask(router, "/idempotent/", f"id-{number}")
                assert answer.status == 200
            assert router.placer.health.find_excluded(["w0"], router.clock()) == set()

    asyncio.run(run())


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize(
    ("step", "status"),
    [
        (BEFORE_PLACING["match"], 503),
        (BEFORE_PLACING["place"], 503),
        (AFTER_SENDING["observe head"], 502),
    ],
)
def test_error_of_another_connection_is_no_disconnect_of_the_client(step, status, kind):
    # Guards against a client that waits until its deadline because a step raises what
    # means that the client has left.
    async def run():
        async with EdgeFleet() as fleet:
            router = await start_fleet(fleet, kind, None, {})
            found = await ask_during(fleet, router, kind, step, StreamClosedError())
            assert found[0].status == status

    asyncio.run(run())
