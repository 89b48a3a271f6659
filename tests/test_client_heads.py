"""Heads of clients' requests with odd bytes, numbers and lengths."""

import asyncio

import pytest
from soak.links import EndpointLinks

from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.testing.edge import (
    HOST,
    KEY,
    TEAM,
    EdgeFleet,
    ask,
    make_manifest,
    make_route,
)
from tamarackrill.testing.worker import make_answer, make_streaming
from test_unexpected_native_errors import CONTRACT, run_router
from test_unexpected_native_errors import KEY as NATIVE_KEY

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


HOST_LINE = b"Host: " + HOST.encode()
OTHER_LINE = b"Host: other.example"
HOSTS = {
    "one": ([HOST_LINE], b"HTTP/1.1", 200),
    "none": ([], b"HTTP/1.1", 400),
    "none in 1.0": ([], b"HTTP/1.0", 404),
    "the same twice": ([HOST_LINE, HOST_LINE], b"HTTP/1.1", 400),
    "two": ([HOST_LINE, OTHER_LINE], b"HTTP/1.1", 400),
    "two, the other first": ([OTHER_LINE, HOST_LINE], b"HTTP/1.1", 400),
    "two in 1.0": ([HOST_LINE, OTHER_LINE], b"HTTP/1.0", 400),
    "another": ([OTHER_LINE], b"HTTP/1.1", 404),
}


@pytest.mark.parametrize("case", HOSTS)
def test_head_without_exactly_one_host_is_malformed(case):
    # Guards against a client that is told that its route doesn't exist, though its
    # head is malformed.
    lines, version, status = HOSTS[case]

    async def run():
        async with EdgeFleet() as fleet:
            worker, router = await start(fleet)
            head = make_head(b"POST /a/b " + version, b"Content-Length: 0")
            head = head.replace(HOST_LINE + b"\r\n", b"")
            line, _, fields = head.partition(b"\r\n")
            head = b"\r\n".join([line, *lines, fields])
            found, _ = await exchange(router.settings.callers_address, head)
            assert found == status
            assert len(worker.requests) == (status == 200)

    asyncio.run(run())


ODD_NUMBERS = ("1e308", "9" * 400, "1e999", "-1", "nan", "1_0", "\xb2")


@pytest.mark.parametrize("name", ["X-Prompt-Prefix", "X-Token-Count", "X-Deadline-Ms"])
def test_number_of_any_size_harms_nobody(name, caplog):
    # Guards against a request that is refused for a number in its head, and against
    # one that ends the exchange of news between routers.
    async def run():
        async with EdgeFleet() as fleet:
            route = make_route("/a/", "streaming", session_affinity=True)
            await fleet.put_manifest(1, route, engine={"kv_token_bytes": 9})
            await fleet.add_worker("w0", make_streaming(1))
            await fleet.add_worker("w1", make_streaming(1))
            routers = [await fleet.add_router(f"r{n}") for n in range(2)]
            await fleet.wait(lambda: len(routers[0].members.list_live()) == 2)
            for number in ODD_NUMBERS:
                prefix = f"a:{number},b:{number},{hash(number):x}:1"
                value = prefix if name == "X-Prompt-Prefix" else number
                for _ in range(2):
                    fields = {name.replace("-", "_"): value}
                    answer = await ask(routers[0], "/a/", number[:9], **fields)
                    is_due = name == "X-Deadline-Ms" and number == "-1"
                    assert answer.status == (503 if is_due else 200)
            # The session of the last request is told to the other router.
            index, other = (router.placer.index for router in routers)
            told = {key for key, _ in index.list_recent(1, routers[0].clock())}
            await fleet.wait(
                lambda: all(other.holders(key, routers[1].clock()) for key in told)
            )
        assert "unexpected_error" not in caplog.text
        assert "task_restarted" not in caplog.text

    asyncio.run(run())


@pytest.mark.parametrize("number", [*ODD_NUMBERS, "0,1"])
@pytest.mark.parametrize("name", ["Server_Brittle", "X_Instance_Load", "Retry_After"])
def test_answer_with_an_odd_number_is_passed_on(name, number, caplog):
    # Guards against an answer that is lost for a number in its head.
    async def run():
        async with EdgeFleet() as fleet:
            worker, router = await start(fleet)
            await fleet.add_router("other")
            await fleet.wait(lambda: len(router.members.list_live()) == 2)

            async def behave(request, writer):
                writer.write(make_answer(request, **{name: number}))

            worker.behave = behave
            assert (await ask(router, "/a/b")).status == 200
        assert "unexpected_error" not in caplog.text

    asyncio.run(run())


NATIVE_FIELDS = {
    "twice": ((b"Content-Length: 2", b"Content-Length: 2"), b"hi", 200),
    "no number": ((b"Content-Length: x",), b"hi", 400),
    "thousands of digits": ((b"Content-Length: " + b"9" * 5000,), b"hi", 400),
    "other digits": ((b"Content-Length: \xb2",), b"hi", 400),
}


@pytest.mark.parametrize("case", NATIVE_FIELDS)
def test_odd_length_of_a_native_call_is_no_internal_error(case):
    # Guards against a caller who is told to come back with a call that is malformed.
    fields, body, status = NATIVE_FIELDS[case]

    async def run():
        async with run_router() as (router, _):
            head = make_head(b"POST /services/s/look HTTP/1.1", *fields)
            assert (await exchange(router.address, head + body))[0] == status

    asyncio.run(run())


@pytest.mark.parametrize("number", ["9" * 4000, str(1 << 64), "0", "1e3"])
def test_native_call_for_too_many_tokens_is_refused_for_good(number):
    # Guards against a caller who is told to come back with a call that is malformed.
    async def run():
        async with run_router() as (router, _):
            contract = {**CONTRACT, "models": ["m"]}
            router.known.take(ObjectVersion("contract", "t", 2, contract))
            body = b'{"model": "m", "messages": [{"content": "x"}], "max_tokens": %s}'
            body %= number.encode()
            length = b"Content-Length: %d" % len(body)
            head = make_head(b"POST /v1/chat/completions HTTP/1.1", length)
            assert (await exchange(router.address, head + body))[0] == 400

    asyncio.run(run())


CHUNKED = b"Transfer-Encoding: chunked"
TOO_LONG = {
    "head": ((b"X-Note: " + b"a" * 70_000,), b"", 431),
    "long head": ((b"X-Note: " + b"a" * 2_000_000,), b"", 431),
    "chunk extension": ((CHUNKED,), b"2;a=" + b"b" * 100 + b"\r\nhi\r\n", 400),
    "chunk size": ((CHUNKED,), b"0" * 100 + b"2\r\nhi\r\n0\r\n\r\n", 400),
}


@pytest.mark.parametrize("is_native", [False, True])
@pytest.mark.parametrize("case", TOO_LONG)
def test_what_is_too_long_to_be_read_is_refused(case, is_native):
    # Guards against a connection that is closed without an answer, so that its client
    # sends the same again and again.
    fields, body, status = TOO_LONG[case]

    async def run():
        if is_native:
            async with run_router() as (router, _):
                head = make_head(b"POST /services/s/look HTTP/1.1", *fields)
                assert (await exchange(router.address, head + body))[0] == status
            return
        async with EdgeFleet() as fleet:
            _, router = await start(fleet)
            head = make_head(b"POST /a/b HTTP/1.1", *fields)
            address = router.settings.callers_address
            assert (await exchange(address, head + body))[0] == status
            await fleet.wait(lambda: not router.server.server._connections)

    asyncio.run(run())
