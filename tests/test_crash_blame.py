"""Requests that are, or are not, blamed for the crash of an endpoint."""

import asyncio

import pytest

from tamarackrill.decisions.poison import CRASHES_MAX
from tamarackrill.testing.crashing_worker import CrashBehavior, CrashingWorker
from tamarackrill.testing.edge import EdgeFleet, ask, make_route, read_reason
from tamarackrill.testing.worker import make_event

STREAM = make_route("/stream/", "streaming", stream_resume=True, attempts=4)
EVENTS = 100
CRASHES = 3
BEHAVIOR = CrashBehavior(prefill_s=0.0, event_s=0.01, events=EVENTS, down_s=60.0)
# Workers that a request crashes, and what they do.
WORKERS = 4
LATE = CrashBehavior(prefill_s=0.0, event_s=0.02, events=20, down_s=1.0)
BAD = "bad"
OTHERS = 100
STABLE_WINDOW_S = 3.0
RETRIES_MAX = 3


async def do_nothing(changed):
    return None


def test_stream_is_not_blamed_for_crashes_after_it_has_begun():
    # Guards against a sound stream that is refused because endpoints that it had been
    # served by crashed for other reasons.
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, STREAM)
            for number in range(CRASHES + 1):
                worker = CrashingWorker(
                    f"w{number}",
                    lambda version, part: False,
                    do_nothing,
                    do_nothing,
                    BEHAVIOR,
                )
                await fleet.register_worker(worker)
            router = await fleet.add_router()
            await fleet.wait(lambda: len(router.view.list_live("desk")) == CRASHES + 1)
            asking = asyncio.create_task(ask(router, "/stream/a", body=b"x"))
            for _ in range(CRASHES):
                await fleet.wait(lambda: find_serving(fleet) is not None)
                await find_serving(fleet).crash()
            answer = await asking
            expected = [make_event(number) for number in range(1, EVENTS + 1)]
            assert answer.is_whole
            assert answer.body == b"".join(expected)

    def find_serving(fleet):
        """Return the worker that has sent several events of the stream, if any."""
        serving = [w for w in fleet.workers if w.events_sent > 5 and not w.crashed_s]
        return serving[0] if serving else None

    asyncio.run(run())


async def add_worker(fleet, name, events_before_crash):
    async def write_entry(worker):
        await fleet.store.write("servers", worker.name, worker.describe("desk"))

    async def remove_entry(ended):
        await fleet.store.write("servers", ended, None)

    worker = CrashingWorker(
        name,
        lambda version, part: part == BAD,
        write_entry,
        remove_entry,
        LATE._replace(sent_before_crash=events_before_crash),
    )
    await fleet.register_worker(worker)


async def is_served(router, request_id, body, **headers):
    try:
        answer = await ask(router, "/stream/a", request_id, body, **headers)
    except (OSError, asyncio.IncompleteReadError):
        return False
    return answer.status == 200 and answer.is_whole


async def send_poison(routers):
    for number in range(8):
        router = routers[number % 2]
        part = {"X_Prompt_Prefix": f"{BAD}:100", "X_Model": "m"}
        await is_served(router, f"poison-{number}", b"poison", **part)
        await asyncio.sleep(1.0)


async def send_others(routers):
    tasks = []
    for number in range(OTHERS):
        asking = is_served(routers[number % 2], f"other-{number}", b"%d" % number)
        tasks.append(asyncio.create_task(asking))
        await asyncio.sleep(0.1)
    return sum(await asyncio.gather(*tasks))


def count_late_retries(fleet):
    crashes_s = sorted(s for worker in fleet.workers for s in worker.crashed_s)
    if len(crashes_s) < 3:
        return 0
    return sum(
        request.body == b"poison" and arrived_s > crashes_s[2] + STABLE_WINDOW_S
        for worker in fleet.workers
        for arrived_s, request in worker.arrived
    )


@pytest.mark.parametrize("events_before_crash", [1, 2, 4, 10, 19])
def test_request_that_crashes_workers_late_is_stopped(events_before_crash):
    # Guards against a request that crashes one worker after another, since each has
    # sent some events of the stream before, and against sound requests that are
    # refused because they ran beside it.
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, STREAM)
            for number in range(WORKERS):
                await add_worker(fleet, f"w{number}", events_before_crash)
            routers = [await fleet.add_router(f"r{number}", "z") for number in (1, 2)]
            for router in routers:
                await fleet.wait(
                    lambda r=router: len(r.view.list_live("desk")) == WORKERS
                )
            poison = asyncio.create_task(send_poison(routers))
            whole = await send_others(routers)
            await poison
            assert count_late_retries(fleet) <= RETRIES_MAX
            assert whole >= 0.9 * OTHERS

    asyncio.run(run())


def test_request_that_crashes_the_whole_pool_is_known_for_it():
    # Guards against a crash that isn't counted since all other endpoints have crashed
    # too, so that the request takes down the next processes as well.
    async def run():
        async with EdgeFleet() as fleet:

            async def crash(request, writer):
                worker = next(w for w in fleet.workers if request in w.ran)
                await asyncio.wait([asyncio.create_task(worker.crash())])

            await fleet.put_manifest(1, make_route("/lookup/", "idempotent"))
            for number in range(CRASHES_MAX):
                await fleet.add_worker(f"w{number}", crash)
            router = await fleet.add_router()
            await fleet.wait(lambda: len(router.view.list_live("desk")) == CRASHES_MAX)
            reasons = [read_reason(await ask(router, "/lookup/a")) for _ in range(2)]
            assert reasons == ["lost", "poison"]

    asyncio.run(run())
