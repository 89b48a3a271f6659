"""Planned stops of routers that are late, or have no descriptor left."""

import asyncio
import signal
from collections import Counter

import pytest

from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.worker import Worker

GRACE_S = 4
DESCRIPTORS_MAX = 200
ROUTES = (make_route("/confirm/", "non_idempotent", attempts=1, timeout_ms=9000),)


async def ask_status(address, number):
    try:
        answer = await ask(
            address, "/confirm/x", f"c{number}", b"x", X_Deadline_Ms="9000"
        )
    except ConnectionResetError:
        # It was never accepted.
        return "reset"
    except asyncio.IncompleteReadError:
        return "closed"
    return answer.status


@pytest.mark.parametrize(
    ("requests", "descriptors_max", "pause_s"),
    [(100, DESCRIPTORS_MAX, 0.0), (100, None, 0.8)],
    ids=["no descriptor left", "stood still at the end"],
)
def test_requests_in_flight_are_answered_at_the_end_of_a_stop(
    requests, descriptors_max, pause_s, tmp_path
):
    # Guards against a drain that goes on for longer than planned, so that connections
    # are closed, or the process is killed, before requests in flight are answered.
    async def never_answer(request, writer):
        await asyncio.Event().wait()

    async def run():
        async with EdgeFleet() as fleet:
            service = {"max_connections": 1000}
            await fleet.put_manifest(1, *ROUTES, service=service)
            worker = await fleet.register_worker(Worker("w", never_answer), slots=1000)
            router = EdgeProcess(
                "r",
                "z",
                fleet.store_address,
                [],
                tmp_path,
                grace_s=GRACE_S,
                descriptors_max=descriptors_max,
            )
            router.start()
            try:
                await router.wait_ready()
                address = router.addresses.callers
                tasks = [
                    asyncio.create_task(ask_status(address, number))
                    for number in range(requests)
                ]
                await asyncio.sleep(1.5)
                ran = len(worker.ran)
                router.signal(signal.SIGTERM)
                await asyncio.sleep(GRACE_S - 1.0)
                if pause_s:
                    router.signal(signal.SIGSTOP)
                    await asyncio.sleep(pause_s)
                    router.signal(signal.SIGCONT)
                    await asyncio.sleep(0.5)
                else:
                    await asyncio.sleep(1.0)
                router.kill()
                return ran, Counter(await asyncio.gather(*tasks))
            finally:
                router.kill()

    ran, statuses = asyncio.run(run())
    assert ran > 0
    assert statuses[502] == ran
