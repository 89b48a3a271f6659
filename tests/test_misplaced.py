"""Endpoints at whose addresses others answer."""

import asyncio

from tamarackrill.decisions.misplaced import MISPLACED_KEPT_S, MisplacedEndpoints
from tamarackrill.testing.edge import EdgeFleet, ask, make_route, read_reason
from tamarackrill.testing.worker import answer_ok, make_answer

CONFIRM = make_route("/confirm/", "non_idempotent", attempts=1)


async def turn_back(request, writer):
    """Answer as another worker does that has got the address."""
    writer.write(
        make_answer(request, b"", 421, X_Instance_Id="i-new", X_Response_Signature="")
    )


def test_endpoint_is_left_alone_for_a_while():
    known = MisplacedEndpoints()
    assert known.observe("a", 1.0)
    assert not known.observe("a", 2.0)
    assert known.find(2.0 + MISPLACED_KEPT_S - 0.1) == {"a"}
    assert not known.find(2.0 + MISPLACED_KEPT_S)
    assert known.observe("a", 9.0)


def test_endpoint_that_has_started_anew_or_gone_is_forgotten():
    known = MisplacedEndpoints()
    for name in ("a", "b", "c"):
        known.observe(name, 1.0)
    known.remove("a")
    known.retain({"a", "b"})
    assert known.find(1.0) == {"b"}


def play(act):
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, CONFIRM)
            await act(fleet)

    asyncio.run(run())


async def add_workers(fleet, *behaviours):
    workers = [
        await fleet.add_worker(f"w{number}", behave)
        for number, behave in enumerate(behaviours)
    ]
    router = await fleet.add_router()
    await fleet.wait(lambda: len(router.view.list_live("desk")) == len(workers))
    return router, workers


def test_confirmation_is_served_past_endpoints_that_are_no_longer_there():
    # Two of three workers have started again under new names while the store is away.
    # Whoever has their addresses turns a confirmation back, which has then not run; it
    # must not be refused because it has no further endpoint to be sent to.
    async def act(fleet):
        router, workers = await add_workers(fleet, turn_back, turn_back, answer_ok)
        for number in range(8):
            answer = await ask(router, "/confirm/a", f"id-{number}")
            assert answer.status == 200
        assert sum(len(worker.requests) for worker in workers[:2]) <= 2
        assert len(workers[2].ran) == 8

    play(act)


def test_requests_are_refused_at_once_while_nobody_is_where_the_store_says():
    # All workers have started again, and the store is away.  A client is told at once
    # that its confirmation has not run, instead of after being turned back each time.
    async def act(fleet):
        router, workers = await add_workers(fleet, turn_back, turn_back)
        for number in range(6):
            answer = await ask(router, "/confirm/a", f"id-{number}")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
        assert read_reason(answer) == "no_endpoint"
        assert sum(len(worker.requests) for worker in workers) == 2

    play(act)


def test_one_router_learns_from_another_that_an_endpoint_has_moved():
    # Each router would be turned back by each endpoint that has moved, at the cost of
    # as many of the fleet's repeats.
    async def act(fleet):
        first, workers = await add_workers(fleet, turn_back, answer_ok)
        second = await fleet.add_router("router-2")
        await fleet.wait(lambda: len(first.members.list_live()) == 2)
        await fleet.wait(lambda: len(second.view.list_live("desk")) == 2)
        while not workers[0].requests:
            await ask(first, "/confirm/a", f"id-{len(workers[1].requests)}")
        await fleet.wait(lambda: second.placer.misplaced.find(second.clock()))
        for number in range(4):
            answer = await ask(second, "/confirm/a", f"more-{number}")
            assert answer.status == 200
        assert len(workers[0].requests) == 1

    play(act)
