import asyncio
import time

import pytest
from tornado.web import Application, RequestHandler

from tamarackrill.contracts import Contract, Endpoint
from tamarackrill.router.attempts import attempt_call
from tamarackrill.router.calls import Call
from tamarackrill.router.outlets import Outlet
from tamarackrill.router.replies import Reply
from tamarackrill.router.upstream import (
    UNREAD_MAX_BYTES,
    Exchange,
    Head,
    UpstreamError,
    make_client,
)
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.tcp_server import TcpServer

CHUNK = b"x" * 8192
CHUNKS = 2000


class _FastHandler(RequestHandler):
    written = 0

    async def get(self):
        type(self).written = 0
        for _ in range(CHUNKS):
            self.write(CHUNK)
            await self.flush()
            type(self).written += len(CHUNK)


class _SlowReader(Outlet):
    def __init__(self):
        super().__init__()
        self.size = 0
        self.room = False

    def take(self, piece):
        self.size += len(piece)
        return self.room


class _CutHandler(RequestHandler):
    def get(self):
        self.set_header("Content-Length", "100")
        self.write(b"x" * 10)
        self.flush()
        self.request.connection.detach().close()


def _run(path, act):
    async def run():
        routes = [("/fast", _FastHandler), ("/cut", _CutHandler)]
        server, address = listen(Application(routes, log_function=lambda h: None))
        client = make_client()
        try:
            target = "127.0.0.1:1" if path == "/nobody" else address
            url = f"http://{target}{path}"
            exchange = Exchange(client, "GET", url, {}, b"", 30.0, True)
            return await act(exchange)
        finally:
            client.close()
            server.stop()

    return asyncio.run(run())


def test_slow_reader_pauses_a_fast_endpoint():
    # A client on a slow connection requests a long response.  Without backpressure the
    # router would buffer all of it and, with many such clients, run out of memory.
    async def act(exchange):
        await exchange.head()
        reader = _SlowReader()
        pumping = asyncio.create_task(exchange.pump(reader))
        held = 0
        # The endpoint writes until libcurl has stopped reading and the socket buffers
        # are full; its count then stays the same over many event loop iterations.
        seen, same = -1, 0
        while same < 200:
            await asyncio.sleep(0)
            same = same + 1 if seen == _FastHandler.written else 0
            seen = _FastHandler.written
            held = max(held, exchange.unread_bytes + reader.size)
        reader.room = True
        reader.on_writable()
        await pumping
        await exchange.close()
        return held, reader.size

    held, size = _run("/fast", act)
    assert held < UNREAD_MAX_BYTES + 2 * 16384
    assert size == len(CHUNK) * CHUNKS


@pytest.mark.parametrize(("path", "sent"), [("/cut", True), ("/nobody", False)])
def test_failed_exchange_reports_whether_anything_was_sent(path, sent):
    # The response is cut off, or the connection is refused.  Only in the second case
    # may the client be told that its request has not run.
    async def act(exchange):
        with pytest.raises(UpstreamError) as caught:
            await exchange.head()
            await exchange.pump(_SlowReader())
        await exchange.close()
        return caught.value.sent

    assert _run(path, act) is sent


def test_cancel_ends_an_exchange_at_once():
    async def act(exchange):
        await exchange.head()
        exchange.cancel()
        await exchange.close()
        return True

    assert _run("/fast", act)


async def _answer_once_and_crash(reader, writer):
    """Answer the first request, read the second, and return as if crashing."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    await reader.readuntil(b"\r\n\r\n")


def test_request_that_crashed_its_endpoint_on_a_reused_connection_was_sent():
    # An engine reads a request on a reused connection and crashes.  libcurl reconnects
    # by itself and reports only that the connection is refused.  Taken as not sent, the
    # request would be reported as not run, and would crash one engine after another
    # without being counted as a suspect.
    async def run():
        async def serve(reader, writer):
            await _answer_once_and_crash(reader, writer)
            server.close()
            writer.transport.abort()

        client = make_client()
        try:
            async with TcpServer(serve) as server:
                url = f"http://{server.address}/"
                first = Exchange(client, "GET", url, {}, b"", 30.0, True)
                assert (await first.head()).status == 200
                await first.close()
                second = Exchange(client, "POST", url, {}, b"order", 30.0, True)
                with pytest.raises(UpstreamError) as caught:
                    await second.head()
                await second.close()
                return caught.value.sent
        finally:
            client.close()

    assert asyncio.run(run()) is True


def make_call():
    return Call(
        request_id="id",
        contract=Contract("t", ()),
        kind="engine",
        pool="m",
        method="POST",
        path="/v1/chat/completions",
        headers={},
        body=b"{}",
        chat="",
        sequence=None,
        key="",
        idempotent=True,
        stream=False,
        last_event_id=0,
        deadline_s=time.monotonic() + 30.0,
        size_tokens=1,
        priority=0,
        fingerprint="00",
    )


def test_request_is_not_blamed_for_an_engine_that_already_crashed():
    # A crashing engine has closed its listening socket, but a connection kept from a
    # load report is still open.  A request sent on it would be lost and counted as the
    # cause of the crash; after two such engines it would be refused permanently.
    async def run():
        async def serve(reader, writer):
            await _answer_once_and_crash(reader, writer)
            writer.transport.abort()

        client = make_client()
        try:
            async with TcpServer(serve) as server:
                url = f"http://{server.address}/"
                report = Exchange(client, "GET", url, {}, b"", 30.0, True)
                assert (await report.head()).status == 200
                await report.close()
                server.close()
                engine = Endpoint("e", "engine", ("m",), server.address, "z")
                attempt = await attempt_call(
                    client, make_call(), engine, Reply(False), 0, False, time.monotonic
                )
                return attempt.outcome
        finally:
            client.close()

    assert asyncio.run(run()) == "not_sent"


async def _attempt_at(call, answer, events=()):
    """Return the outcome of an attempt at an endpoint that answers with these bytes.

    Parameters
    ----------
    events : sequence of bytes
        Events that the caller has from an earlier attempt.
    """

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()

    client = make_client()
    try:
        async with TcpServer(serve) as server:
            endpoint = Endpoint("e", call.kind, (call.pool,), server.address, "z")
            reply = Reply(False)
            if events:
                reply.start(Head(200, {"Content-Type": "text/event-stream"}))
                reply.extend(list(events))
            attempt = await attempt_call(
                client, call, endpoint, reply, len(events), False, time.monotonic
            )
            return attempt.outcome, reply.count
    finally:
        client.close()


HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1234\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
    "bare_lf": b"HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 1234\n\n",
    "not_found": b"HTTP/1.1 404 Not Found\r\nContent-Length: 1234\r\n\r\n",
    "after_103": b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
}


@pytest.mark.parametrize("kind", ["service", "engine"])
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
def test_answer_that_ends_within_its_head_is_none(head, kind):
    # Guards against an empty answer that is forwarded as complete, if an endpoint stops
    # within the head of its answer and closes the connection.
    async def run():
        call = make_call()._replace(kind=kind)
        return [await _attempt_at(call, head[:cut]) for cut in range(1, len(head))]

    assert set(asyncio.run(run())) == {("cut", 0)}


@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
def test_answer_behind_a_part_of_a_head_does_not_get_its_status(head):
    # Guards against an error page that its caller gets with status 200, if an endpoint
    # stops within a head and answers with the page on the same connection.
    async def run():
        call = make_call()._replace(kind="service", method="GET", body=b"")
        page = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
        cuts = range(1, len(head))
        return [await _attempt_at(call, head[:cut] + page) for cut in cuts]

    outcomes = {outcome for outcome, _ in asyncio.run(run())}
    assert outcomes <= {"cut", "refused"}


UNFRAMED_STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
EVENT = b"id: 1\ndata: word\n\n"
DONE = b"data: [DONE]\n\n"


@pytest.mark.parametrize(
    "body, outcome",
    [
        (EVENT + DONE, "answered"),
        (EVENT, "cut"),
        (EVENT + b"id: 2", "cut"),
        (EVENT + DONE[:-1], "cut"),
        (b"", "cut"),
    ],
    ids=["whole", "between_events", "in_event", "in_final_event", "empty"],
)
def test_engine_stream_without_framing_ends_with_its_final_event(body, outcome):
    # Guards against a partial answer of an engine that crashed, if its response has no
    # framing and the end of its connection is taken for the end of the stream.
    call = make_call()._replace(stream=True)
    assert asyncio.run(_attempt_at(call, UNFRAMED_STREAM + body))[0] == outcome


@pytest.mark.parametrize(
    "body, expected",
    [
        (EVENT + EVENT, ("answered", 1)),
        (EVENT + b": end", ("answered", 1)),
        (EVENT + b"id: 2", ("cut", 0)),
        (EVENT + EVENT[:-1], ("cut", 0)),
    ],
    ids=["whole", "comment", "in_event", "before_its_blank_line"],
)
def test_event_stream_of_a_service_does_not_end_inside_an_event(body, expected):
    # Guards against an event stream of a plain service that was broken off and is
    # forwarded as complete.
    call = make_call()._replace(kind="service", method="GET", body=b"")
    assert asyncio.run(_attempt_at(call, UNFRAMED_STREAM + body)) == expected


@pytest.mark.parametrize("status", [200, 404, 503])
def test_answer_that_is_no_stream_does_not_continue_one(status):
    # Guards against a stream that ends as complete with an error page, if its engine
    # has restarted, or is full, when it is asked to go on.
    call = make_call()._replace(stream=True)
    answer = b"HTTP/1.1 %d Status\r\nContent-Length: 4\r\n\r\ngone" % status
    assert asyncio.run(_attempt_at(call, answer, [EVENT])) == ("cut", 1)
