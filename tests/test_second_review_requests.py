"""Proper requests that no endpoint gets, as a step on the way can't write them."""

import asyncio

import pytest

from tamarackrill.testing.edge import HOST, KEY, EdgeFleet, make_route

TRIES = 3


async def send_raw(fleet, router, lines):
    """Send a request with these header lines; return its status, None without one."""
    client = await fleet.connect(router)
    head = [
        b"POST /u/a HTTP/1.1",
        b"Host: " + HOST.encode(),
        b"X-Api-Key: " + KEY.encode(),
        b"X-Deadline-Ms: 2000",
        b"Content-Length: 1",
        *lines,
    ]
    client.writer.write(b"\r\n".join(head) + b"\r\n\r\nx")
    try:
        async with asyncio.timeout(5.0):
            return (await client.read()).status
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def play(line, **limits):
    async with EdgeFleet() as fleet:
        route = make_route("/u/", "non_idempotent")
        await fleet.put_manifest(1, route, limits=limits)
        worker = await fleet.add_worker("w0")
        router = await fleet.add_router()
        await fleet.wait(lambda: router.view.list_endpoints())
        statuses = []
        for number in range(TRIES):
            name = b"X-Request-Attempt-Id: id-%d" % number
            statuses.append(await send_raw(fleet, router, [name, line]))
        return statuses, [request.headers for request in worker.ran]


@pytest.mark.parametrize(
    "value", [b"Jos\xc3\xa9", b"Jos\xe9"], ids=["utf-8", "latin-1"]
)
def test_request_with_a_header_beyond_ascii_reaches_its_endpoint(value):
    # Guards against requests that no endpoint ever gets, though HTTP allows any byte
    # above 127 in the value of a header (RFC 9110, 5.5).
    statuses, ran = asyncio.run(play(b"X-User: " + value))
    assert statuses == [200] * TRIES
    assert [headers["x-user"].encode("latin-1") for headers in ran] == [value] * TRIES


def test_request_within_a_large_limit_of_heads_is_answered():
    # Guards against connections that are closed without an answer where a manifest
    # allows longer heads than the server reads.
    line = b"X-Long: " + b"a" * 100_000
    statuses, _ = asyncio.run(play(line, max_header_bytes=200_000))
    assert None not in statuses
