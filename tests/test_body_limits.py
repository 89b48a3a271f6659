"""Request bodies that arrive while a manifest changes their limit."""

import asyncio

import pytest

from tamarackrill.testing.edge import EdgeFleet, make_route, read_reason

CONFIRM = make_route("/confirm/", "non_idempotent", attempts=1)
BODY = bytes(range(256)) * 1600


@pytest.mark.parametrize(
    ("before_bytes", "after_bytes", "sent", "status", "reason"),
    [
        (65536, 1 << 20, 0.5, 503, "limit_raised"),
        (65536, 1 << 20, 0.1, 200, ""),
        (65536, 65536, 0.5, 413, "body_too_long"),
        (1 << 20, 65536, 0.5, 413, "body_too_long"),
    ],
)
@pytest.mark.parametrize("is_chunked", [False, True])
def test_body_is_forwarded_whole_or_not_at_all(
    before_bytes, after_bytes, sent, status, reason, is_chunked
):
    # Guards against a worker that runs a request whose body lacks its middle, because
    # its limit was raised while it arrived.
    async def run():
        async with EdgeFleet() as fleet:
            limits = {"max_body_bytes": before_bytes}
            await fleet.put_manifest(1, CONFIRM, limits=limits)
            worker = await fleet.add_worker("w")
            router = await fleet.add_router()
            client = await fleet.connect(router)
            first = BODY[: int(sent * len(BODY))]
            if is_chunked:
                fields = {"Content_Length": "", "Transfer_Encoding": "chunked"}
            else:
                fields = {"Content_Length": str(len(BODY))}
            client.send("/confirm/x", **fields)
            client.writer.write(frame(first, is_chunked))
            await asyncio.sleep(0.2)
            limits = {"max_body_bytes": after_bytes}
            await fleet.put_manifest(2, CONFIRM, limits=limits)
            await fleet.wait(lambda: router.view.routes.manifest.version == 2)
            client.writer.write(frame(BODY[len(first) :], is_chunked))
            client.writer.write(b"0\r\n\r\n" if is_chunked else b"")
            answer = await client.read()
            client.close()
            assert answer.status == status
            assert [request.body for request in worker.ran] == (
                [BODY] if status == 200 else []
            )
            if reason:
                assert read_reason(answer) == reason

    asyncio.run(run())


def frame(data, is_chunked):
    return b"%x\r\n%s\r\n" % (len(data), data) if is_chunked else data
