"""Heads of clients' requests with odd bytes, numbers and lengths."""

import asyncio

import pytest
from soak.links import EndpointLinks

from tamarackrill.testing.edge import (
    HOST,
    KEY,
    TEAM,
    EdgeFleet,
    ask,
    make_manifest,
    make_route,
)
from test_unexpected_native_errors import KEY as NATIVE_KEY
from test_unexpected_native_errors import run_router

ANSWER_MAX_S = 3.0
ODD_TEAM = "krojač-ż"


def make_head(line, *fields):
    named = (
        b"Host: " + HOST.encode(),
        b"X-Request-Attempt-Id: id-1",
        b"X-Deadline-Ms: 2000",
        b"X-Api-Key: " + KEY.encode(),
        b"Authorization: Bearer " + NATIVE_KEY.encode(),
    )
    return b"\r\n".join([line, *named, *fields, b"", b""])


async def exchange(address, data):
    """Return the status of the answer to bytes, and all bytes of the answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        async with asyncio.timeout(ANSWER_MAX_S):
            head = await reader.readuntil(b"\r\n\r\n")
        return int(head.split(b" ")[1]), head
    finally:
        writer.close()


async def start(fleet, **settings):
    await fleet.put_manifest(1, make_route("/a/", "non_idempotent"))
    worker = await fleet.add_worker("w")
    router = await fleet.add_router(**settings)
    return worker, router


def test_headers_with_bytes_above_ascii_are_forwarded_unchanged():
    # Guards against a request that no endpoint gets, and that is refused each time its
    # client comes back, because of a byte that is allowed in a header.
    async def run():
        async with EdgeFleet() as fleet:
            worker, router = await start(fleet)
            fields = {"X-Note": "caf\u00e9 \u00ff", "X-Request-Attempt-Id": "\u00e9"}
            head = "".join(f"{name}: {text}\r\n" for name, text in fields.items())
            head += f"Host: {HOST}\r\nX-Api-Key: {KEY}\r\nContent-Length: 0\r\n\r\n"
            data = b"POST /a/b HTTP/1.1\r\n" + head.encode("latin-1")
            status, _ = await exchange(router.settings.callers_address, data)
            assert status == 200
            (request,) = worker.ran
            assert request.request_id == "\u00e9"
            assert request.headers["x-note"] == fields["X-Note"]

    asyncio.run(run())


@pytest.mark.parametrize("is_relayed", [False, True])
def test_team_may_have_any_name(is_relayed):
    # Guards against a team all of whose requests are refused because of its name.
    async def run():
        async with EdgeFleet() as fleet:
            manifest = make_manifest(1, make_route("/a/", "idempotent", attempts=3))
            manifest["tenants"][0]["name"] = ODD_TEAM
            await fleet.store.write("config", "main", manifest)
            workers = [await fleet.add_worker(f"w{n}") for n in range(3)]
            links = EndpointLinks()
            router = await fleet.add_router(connect=links.connect)
            if is_relayed:
                await fleet.add_router("helper", "y")
                await fleet.wait(lambda: len(router.members.list_live()) == 2)
                links.cut("reset", [worker.address for worker in workers])
                await ask(router, "/a/", "first")
                names = {worker.name for worker in workers}
                await fleet.wait(lambda: names <= set(router.relays.paths.reachable))
            assert (await ask(router, "/a/", "second")).status == 200
            (request,) = [r for w in workers for r in w.ran if r.request_id == "second"]
            team = request.headers["x-tenant-id"].encode("latin-1").decode()
            assert team == ODD_TEAM != TEAM
            await links.stop()

    asyncio.run(run())


@pytest.mark.parametrize("target", [b"/a/\xc3\xa9", b"/a/\x7f", b"/a/?q=\xff"])
def test_target_that_is_no_ascii_is_refused_for_good(target):
    # Guards against a client that is told to come back with a request that no endpoint
    # can get.
    async def run():
        async with EdgeFleet() as fleet:
            worker, router = await start(fleet)
            head = make_head(b"POST " + target + b" HTTP/1.1", b"Content-Length: 0")
            status, _ = await exchange(router.settings.callers_address, head)
            assert status == 400
            assert not worker.requests

    asyncio.run(run())


NATIVE = {
    b"/services/s/\xc3\xa9": (400, None),
    b"/services/s/a?q=\xff": (400, None),
    b"/services/s/a#b": (400, None),
    b"/services/s/a/../b": (200, "/a/../b"),
    b"/services/s/./b/%2E%2E/c": (200, "/./b/%2E%2E/c"),
}


@pytest.mark.parametrize("target", NATIVE)
def test_native_call_runs_under_the_path_that_was_checked(target):
    # Guards against a call that may run once and is taken for one that may run more
    # often, as another path is sent than the one that the contract was checked for, and
    # against endpoints that are taken for crashed by odd targets.
    status, path = NATIVE[target]

    async def run():
        async with run_router() as (router, states):
            head = make_head(b"GET " + target + b" HTTP/1.1")
            found, _ = await exchange(router.address, head)
            assert found == status
            assert sum(state.total for state in states) == (path is not None)
            if path is not None:
                answer = await ask(
                    router.address,
                    target.decode(),
                    method="GET",
                    Authorization=f"Bearer {NATIVE_KEY}",
                )
                assert f'"path": "{path}"'.encode() in answer.body

    asyncio.run(run())
