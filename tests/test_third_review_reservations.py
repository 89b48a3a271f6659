"""Retries that are reserved for a race which ends before its second attempt begins."""

import asyncio
import time

import pytest

from tamarackrill.decisions.retry_shares import BudgetTerms
from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.worker import make_answer

# 2.5 latency objectives.
RACE_AFTER_S = 0.75
BUDGET = BudgetTerms(ratio=0.0, window_s=1.0, fixed=10.0)
REQUESTS = 16


async def answer_as_race_is_due(request, writer):
    """Answer just before the race, at a router that is busy for 8 ms then."""
    await asyncio.sleep(RACE_AFTER_S - 0.005)
    writer.write(make_answer(request, b"late"))
    time.sleep(0.008)  # noqa: ASYNC251


async def leave_as_race_is_due(router):
    """Send a request, and leave as it falls silent."""
    on_silent = router.flow.attempts.on_silent

    def observe(attempt, silent_s, pause_s):
        on_silent(attempt, silent_s, pause_s)
        # What the end of the client's connection does, read in the same iteration.
        for task in router.server.in_flight:
            task.cancel()

    router.flow.attempts.on_silent = observe
    with pytest.raises((asyncio.IncompleteReadError, TimeoutError)):
        async with asyncio.timeout(RACE_AFTER_S + 0.5):
            await ask(router, "/l/a", method="GET")
    router.flow.attempts.on_silent = on_silent


async def ask_as_race_is_due(router):
    assert (await ask(router, "/l/a", method="GET")).status == 200


@pytest.mark.parametrize("send", [ask_as_race_is_due, leave_as_race_is_due])
def test_race_that_ends_as_it_begins_returns_its_retry_to_the_budget(send):
    # Guards against a retry budget that shrinks for good: reservations of attempts that
    # are cancelled before their tasks have run are never released.
    async def run():
        async with EdgeFleet() as fleet:
            route = make_route("/l/", "idempotent", target_latency_ms=300)
            await fleet.put_manifest(1, route)
            for name in ("w0", "w1"):
                await fleet.add_worker(name, answer_as_race_is_due)
            router = await fleet.add_router(retry_budget=BUDGET)
            await fleet.wait(lambda: len(router.view.list_endpoints()) == 2)
            for _ in range(REQUESTS):
                await send(router)
            await asyncio.sleep(1.5 * BUDGET.window_s)
            return router.flow.list_retries_left()["desk"]

    assert asyncio.run(run()) == 0.8 * BUDGET.fixed
