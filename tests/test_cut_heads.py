"""Answers of endpoints and of the store that end within their head."""

import asyncio
import contextlib
import itertools

import pytest
from tornado.curl_httpclient import CurlAsyncHTTPClient

from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.platform.store import STORE_FORM
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.testing.edge import (
    EdgeClient,
    EdgeFleet,
    ask,
    make_route,
    read_reason,
)
from tamarackrill.testing.worker import answer_ok, make_answer, reset_connection

ROUTES = (
    make_route("/stream/", "streaming", stream_resume=True),
    make_route("/lookup/", "idempotent", attempts=1),
    make_route("/confirm/", "non_idempotent", attempts=1),
)


def run_in_fleet(act):
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, *ROUTES)
            await act(fleet)

    asyncio.run(run())


def make_head(request, *, has_hints=False, line_end=b"\r\n"):
    """Return the head of an answer, optionally after an informational one."""
    head = make_answer(request, b"whole")[: -len(b"whole")]
    hints = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" if has_hints else b""
    return (hints + head).replace(b"\r\n", line_end)


@pytest.mark.parametrize("late", [0, 1, 2])
@pytest.mark.parametrize("must_reset", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("has_hints", [False, True], ids=["", "after_103"])
def test_answer_that_ends_within_its_head_is_lost(has_hints, must_reset, late):
    # Guards against an empty answer that is forwarded as complete, also behind late
    # answers to other requests, which arrive in the same packet on a kept connection.
    async def act(fleet):
        async def stop(request, writer):
            other = request._replace(headers={"x-request-attempt-id": "another"})
            head = make_head(request, has_hints=has_hints)
            cut = int(request.headers["cut"])
            writer.write(late * make_answer(other) + head[:cut])
            await writer.drain()
            await reset_connection(writer) if must_reset else writer.close()

        worker = await fleet.add_worker("w1")
        router = await fleet.add_router()
        await ask(router, "/lookup/a", body=b"x")
        for cut in range(len(make_head(worker.requests[0], has_hints=has_hints))):
            worker.behave = answer_ok
            await ask(router, "/lookup/a", body=b"x")
            worker.behave = stop
            answer = await ask(router, "/lookup/a", body=b"x", Cut=str(cut))
            assert (answer.status, read_reason(answer)) == (502, "lost"), cut

    run_in_fleet(act)


@pytest.mark.parametrize("target", ["/lookup/a", "/confirm/a"])
@pytest.mark.parametrize("has_hints", [False, True], ids=["", "after_103"])
@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"], ids=["crlf", "lf"])
def test_answer_behind_a_part_of_a_head_does_not_get_its_status(
    target, has_hints, line_end
):
    # Guards against an error page that its client gets with status 200, if an endpoint
    # stops within a head and answers with the page on the same connection.
    async def act(fleet):
        async def stop_and_fail(request, writer):
            head = make_head(request, has_hints=has_hints, line_end=line_end)
            page = make_answer(request, b"", 500, Connection="close")
            writer.write(head[: int(request.headers["cut"])] + page)
            await writer.drain()
            writer.close()

        worker = await fleet.add_worker("w1")
        router = await fleet.add_router()
        example = await ask(router, target, body=b"x")
        assert example.status == 200
        worker.behave = stop_and_fail
        whole = make_head(worker.requests[0], has_hints=has_hints, line_end=line_end)
        for cut in range(1, len(whole)):
            answer = await ask(router, target, body=b"x", Cut=str(cut))
            assert answer.status in (500, 502), cut

    run_in_fleet(act)


@pytest.mark.parametrize("target, status", [("/lookup/a", 502), ("/none/a", 404)])
def test_head_request_that_fails_gets_an_answer_without_a_body(target, status):
    # Guards against a connection that is closed without an answer, as the body of an
    # error page can't be sent to a HEAD request.
    async def act(fleet):
        async def stop(request, writer):
            writer.write(make_head(request)[:40])
            await writer.drain()
            writer.close()

        await fleet.add_worker("w1", stop)
        router = await fleet.add_router()
        with contextlib.closing(await EdgeClient.connect(router)) as client:
            for number in range(2):
                client.send(target, f"id-{number}", method="HEAD")
                head = await client.reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 %d " % status)

    run_in_fleet(act)


STORE_CALLS = {
    "get": lambda store: store.get("servers", "w1"),
    "list": lambda store: store.list("servers"),
    "watch": lambda store: store.watch("servers", 1, 0.0),
    "put": lambda store: store.put("servers", "w1", {}, 1),
    "delete": lambda store: store.delete("servers", "w1", 1),
}


async def ask_store(call, answers):
    """Return what a call raises for each answer of a store that then closes."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = CurlAsyncHTTPClient(force_instance=True)
    store = PlatformClient(f"{host}:{port}", "z", client, STORE_FORM)
    raised = []
    for text in answers:
        sent = text.encode()
        with pytest.raises(Exception) as caught:
            await call(store)
        raised.append(caught.type)
    client.close()
    server.close()
    return raised


@pytest.mark.parametrize("call", STORE_CALLS.values(), ids=STORE_CALLS)
@pytest.mark.parametrize("status", [200, 404, 409, 410])
def test_answer_of_the_store_that_ends_within_its_head_is_none(status, call):
    # Guards against an object that counts as missing, and a task that ends with a
    # TypeError, if the store stops within the head of its answer.
    hints = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
    head = f"{hints}HTTP/1.1 {status} Status\r\nContent-Length: 2\r\n\r\n"
    cuts = [head[:end] for end in range(1, len(head))]
    cuts += [head[len(hints) : end] for end in range(len(hints) + 1, len(head))]
    raised = asyncio.run(ask_store(call, cuts))
    assert set(raised) == {PlatformUnavailable}


def list_malformed():
    """Return answers to writes that are none, with their calls.

    The API specifies neither the body of 404, for an object that doesn't exist, nor
    that of the answer to a deletion.
    """
    for name, status, body in itertools.product(
        ["put", "delete"],
        [200, 404, 409, 410, 412],
        ["", "{}", "[]", '{"current": 1}'],
    ):
        is_vague = status == 404 or (status, name) == (200, "delete")
        if not is_vague or not body.startswith("{"):
            yield pytest.param(
                status, body, STORE_CALLS[name], id=f"{name}-{status}-{body}"
            )


@pytest.mark.parametrize("status, body, call", [*list_malformed()])
def test_malformed_answer_to_a_write_tells_nothing(status, body, call):
    # Guards against a write that is never ended, because its task doesn't expect the
    # TypeError of an answer without a version.
    answer = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    assert asyncio.run(ask_store(call, [answer])) == [PlatformUnavailable]
