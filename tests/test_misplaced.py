"""Endpoints whose addresses now belong to other endpoints."""

import asyncio

from tamarackrill.decisions.misplaced import MISPLACED_KEPT_S, MisplacedEndpoints
from tamarackrill.testing.crashing_worker import CrashBehavior, CrashingWorker
from tamarackrill.testing.edge import EdgeFleet, ask, make_route, read_reason
from tamarackrill.testing.worker import answer_ok, make_answer

CONFIRM = make_route("/confirm/", "non_idempotent", attempts=1)


async def reject(request, writer):
    """Reject a request as another worker that now has the address does."""
    writer.write(
        make_answer(request, b"", 421, X_Instance_Id="i-new", X_Response_Signature="")
    )


def test_misplaced_endpoint_is_excluded_until_it_expires():
    known = MisplacedEndpoints()
    assert known.observe("a", 1.0)
    assert not known.observe("a", 2.0)
    assert known.find(2.0 + MISPLACED_KEPT_S - 0.1) == {"a"}
    assert not known.find(2.0 + MISPLACED_KEPT_S)
    assert known.observe("a", 9.0)


def test_restarted_or_removed_endpoint_is_forgotten():
    known = MisplacedEndpoints()
    for name in ("a", "b", "c"):
        known.observe(name, 1.0)
    known.remove("a")
    known.retain({"a", "b"})
    assert known.find(1.0) == {"b"}


def test_entries_read_since_are_not_read_again():
    # Guards against a read of the store for each request that no endpoint can take.
    known = MisplacedEndpoints()
    known.observe("a", 1.0)
    assert known.has_moved_since({"a", "b"}, 0.9)
    assert not known.has_moved_since({"a", "b"}, 1.0)
    assert not known.has_moved_since({"b"}, 0.9)


def run_with_fleet(act):
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


def test_confirmation_is_served_despite_misplaced_endpoints():
    # Two of three workers have restarted under new names while the store is down.  The
    # workers now at their addresses reject a confirmation, which has then not run; it
    # must not be refused for lack of another endpoint.
    async def act(fleet):
        router, workers = await add_workers(fleet, reject, reject, answer_ok)
        for number in range(8):
            answer = await ask(router, "/confirm/a", f"id-{number}")
            assert answer.status == 200
        assert sum(len(worker.requests) for worker in workers[:2]) <= 2
        assert len(workers[2].ran) == 8

    run_with_fleet(act)


def test_requests_are_refused_at_once_while_all_endpoints_are_misplaced():
    # All workers have restarted, and the store is down.  A client must learn at once
    # that its confirmation has not run, instead of after a rejection each time.
    async def act(fleet):
        router, workers = await add_workers(fleet, reject, reject)
        for number in range(6):
            answer = await ask(router, "/confirm/a", f"id-{number}")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
        assert read_reason(answer) == "no_endpoint"
        assert sum(len(worker.requests) for worker in workers) == 2

    run_with_fleet(act)


def test_request_is_served_if_all_endpoints_have_just_restarted():
    # Guards against requests that are refused until the next poll of the store, though
    # it has the entries of the processes that reject them.
    async def act(fleet):
        async def write_entry(worker):
            await fleet.store.write("servers", worker.name, worker.describe("desk"))

        async def remove_entry(name):
            await fleet.store.write("servers", name, None)

        workers = [
            CrashingWorker(
                name,
                lambda version, part: False,
                write_entry,
                remove_entry,
                CrashBehavior(down_s=0.0),
            )
            for name in ("w0", "w1")
        ]
        for worker in workers:
            await fleet.register_worker(worker)
        router = await fleet.add_router()
        await fleet.wait(lambda: len(router.view.list_live("desk")) == len(workers))
        for worker in workers:
            await worker.crash()
            await fleet.wait(worker._crash_task.done)
        answers = [await ask(router, "/confirm/a", f"id-{n}") for n in range(4)]
        assert [answer.status for answer in answers] == [200] * 4

    run_with_fleet(act)


def test_one_router_learns_from_another_that_an_endpoint_has_moved():
    # Without gossip each router would be rejected by each endpoint that has moved, at
    # the cost of as many retries of the fleet.
    async def act(fleet):
        first, workers = await add_workers(fleet, reject, answer_ok)
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

    run_with_fleet(act)
