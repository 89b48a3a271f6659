"""Calls that wait for news at a native router that stands still again and again."""

import asyncio
import time

from tamarackrill.router.catching_up import CatchUp

STALL_S, RUN_S = 0.7, 0.3
# CATCH_UP_MAX_S, twice for a router that runs a third of the time.
DECIDED_MAX_S = 2.0 * (STALL_S + RUN_S) / RUN_S


def test_calls_are_decided_though_standstills_follow_each_other():
    # Guards against calls that wait until their deadline: each standstill starts the
    # wait anew while the platform doesn't answer.
    async def run():
        async def hang():
            await asyncio.Event().wait()

        async def stall():
            while True:
                time.sleep(STALL_S)
                await asyncio.sleep(RUN_S)

        catch_up = CatchUp(hang, time.monotonic)
        tasks = [asyncio.create_task(catch_up.run())]
        await asyncio.sleep(0.15)
        tasks.append(asyncio.create_task(stall()))
        await asyncio.sleep(0.05)
        started_s = time.monotonic()
        try:
            await asyncio.wait_for(catch_up.wait(), 2 * DECIDED_MAX_S)
        finally:
            waited_s = time.monotonic() - started_s
            for task in tasks:
                task.cancel()
            await catch_up.stop()
        assert waited_s < DECIDED_MAX_S

    asyncio.run(run())
