"""Timeouts of a router whose own loop is late."""

import asyncio
import socket
import time
from unittest import mock

import pytest

from tamarackrill.router import lateness
from tamarackrill.router.channels import open_channel

TIMEOUT_S = 0.15


def block_s(*blocks_s):
    """Block the loop for some times, with an iteration after each."""

    def block(left):
        if left:
            time.sleep(left[0])
            asyncio.get_running_loop().call_soon(block, left[1:])

    asyncio.get_running_loop().call_soon(block, blocks_s)


@pytest.mark.parametrize(
    "blocks_s", [(0.3,), (0.1, 0.1, 0.1), (0.0, 0.2, 0.2), (0.14, 0.1)]
)
def test_connection_made_in_time_is_taken_though_the_loop_is_late(blocks_s):
    # Guards against a busy router that takes all endpoints for unreachable.
    async def run():
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
            block_s(*blocks_s)
            channel = await open_channel(f"127.0.0.1:{port}", TIMEOUT_S)
            channel.close()

    asyncio.run(run())


@pytest.mark.parametrize("is_late", [False, True])
def test_connection_that_is_never_made_times_out(is_late):
    # Guards against a router that waits for a silent endpoint without end.
    async def run():
        loop = asyncio.get_running_loop()
        never = loop.create_future()
        if is_late:
            block_s(0.2)
        with (
            mock.patch.object(loop, "create_connection", lambda *args: never),
            pytest.raises(TimeoutError),
        ):
            await open_channel("127.0.0.1:1", TIMEOUT_S)

    asyncio.run(run())


def test_timer_of_a_loop_that_is_always_late_fires_at_last():
    # Guards against a timeout that never ends in a router that is overloaded for good.
    async def run():
        loop = asyncio.get_running_loop()
        fired = asyncio.Event()

        def keep_late():
            time.sleep(2 * lateness.LATE_S)
            loop.call_later(0.0, keep_late)

        keep_late()
        lateness.LateTimer(loop.time(), fired.set)
        await fired.wait()

    asyncio.run(run())
