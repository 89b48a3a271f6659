"""Endpoints that begin to leave while requests to them wait before they are sent."""

import asyncio

import pytest

from tamarackrill.router.channels import open_channel
from tamarackrill.testing.edge import EdgeFleet, ask, connect_patiently, make_route
from tamarackrill.testing.slot_worker import SlotWorker

TIMES = {"target_latency_ms": 5_000, "timeout_ms": 20_000}
ROUTE = make_route("/lookup/", "idempotent", attempts=3, **TIMES)
LONG = {"X_Deadline_Ms": "20000"}


class HeldConnects:
    """Connections to endpoints that are not opened until a test lets them."""

    def __init__(self):
        self.may_open = asyncio.Event()
        self.may_open.set()
        self.waiting = []
        self.refused = set()

    async def connect(self, address, timeout_s):
        if address in self.refused:
            raise ConnectionRefusedError
        self.waiting.append(address)
        await self.may_open.wait()
        return await open_channel(address, 20.0)


async def take_away(fleet, how, worker):
    """Let a worker leave, and wait until all routers know."""
    if how == "evacuated":
        await fleet.evacuate("a")
    else:
        spec = worker.describe("desk", zone="a", state="draining", sequence=2)
        await fleet.store.write(
            "servers", worker.name, None if how == "deleted" else spec
        )
    for router in fleet.routers:
        await fleet.wait(
            lambda r=router: (
                worker.name
                not in {endpoint.name for endpoint in r.view.list_live("desk")}
            )
        )


async def start_fleet(fleet, held, routers=1, **settings):
    await fleet.put_manifest(1, ROUTE)
    leaving = await fleet.add_worker("w0", zone="a")
    await fleet.add_worker("w1", zone="b")
    for number in range(routers):
        await fleet.add_router(
            f"r{number}",
            "a",
            connect=held.connect,
            has_evacuations=True,
            zones=("a", "b"),
            **settings,
        )
    return leaving


@pytest.mark.parametrize("how", ["draining", "deleted", "evacuated"])
def test_request_is_not_sent_to_an_endpoint_that_left_while_it_connected(how):
    # Guards against a choice of before a wait that is carried out after it, though the
    # endpoint has begun to leave meanwhile.
    async def run():
        async with EdgeFleet() as fleet:
            held = HeldConnects()
            leaving = await start_fleet(fleet, held)
            held.may_open.clear()
            calls = send_all(fleet.routers[0], 8, "id")
            await fleet.wait(lambda: leaving.address in held.waiting)
            await take_away(fleet, how, leaving)
            held.may_open.set()
            answers = await asyncio.gather(*calls)
            assert leaving.requests == []
            assert {answer.status for answer in answers} == {200}

    asyncio.run(run())


def test_request_is_not_forwarded_to_an_endpoint_that_left_while_a_relay_connected():
    # Guards against another router that sends an attempt to an endpoint which began to
    # leave while it opened its own connection.
    async def run():
        async with EdgeFleet() as fleet:
            held, relay = HeldConnects(), HeldConnects()
            leaving = await start_fleet(fleet, held)
            held.refused = {worker.address for worker in fleet.workers}
            asking = fleet.routers[0]
            await fleet.add_router("relay", "a", connect=relay.connect)
            await fleet.wait(
                lambda: all(len(r.members.list_live()) == 2 for r in fleet.routers)
            )
            asking.flow.attempts.pool.close()
            # Until it knows that it reaches no endpoint, and who does.
            for number in range(20):
                if (await ask(asking, "/lookup/a", f"try-{number}")).status == 200:
                    break
                await asyncio.sleep(0.1)
            await fleet.wait(lambda: "w0" in asking.placer.relayed)
            fleet.routers[1].flow.attempts.pool.close()
            relay.waiting.clear()
            relay.may_open.clear()
            calls = send_all(asking, 8, "id")
            await fleet.wait(lambda: leaving.address in relay.waiting)
            await take_away(fleet, "draining", leaving)
            before = len(leaving.requests)
            relay.may_open.set()
            await asyncio.gather(*calls)
            assert len(leaving.requests) == before

    asyncio.run(run())


def test_request_without_a_grant_is_not_sent_to_an_endpoint_that_has_left():
    # Guards against a request that waits for an allocator which is killed, and is then
    # sent to the endpoint that was chosen before the wait.
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, ROUTE)
            for name in ("w0", "w1"):
                worker = SlotWorker(name, 2, 50, 0.05)
                await fleet.register_worker(worker, zone="a")
            for number in range(3):
                await fleet.add_router(
                    f"r{number}", "a", connect=connect_patiently, capacity_sharing="on"
                )
            await fleet.wait(
                lambda: all(len(r.members.list_live()) == 3 for r in fleet.routers)
            )
            asking, allocator = find_asking_and_allocator(fleet)
            await asyncio.gather(*send_all(asking, 8, "first"))
            for worker in fleet.workers:
                worker.may_end.clear()
            calls = []
            while count_waiting(allocator) < 4:
                calls += send_all(asking, 1, f"held-{len(calls)}")
                await asyncio.sleep(0.01)
            leaving, other = fleet.workers
            await take_away(fleet, "draining", leaving)
            before = len(leaving.requests)
            await fleet.kill_router(allocator)
            await fleet.wait(lambda: len(other.requests) + before >= 8 + len(calls))
            for worker in fleet.workers:
                worker.may_end.set()
            answers = await asyncio.gather(*calls)
            assert len(leaving.requests) == before
            assert {answer.status for answer in answers} == {200}

    asyncio.run(run())


def send_all(router, count, prefix):
    """Return the tasks of concurrent requests."""
    return [
        asyncio.create_task(ask(router, "/lookup/a", f"{prefix}-{n}", **LONG))
        for n in range(count)
    ]


def find_asking_and_allocator(fleet):
    first = fleet.routers[0]
    name = first.capacity._asks.find_allocator("desk", "a").allocator
    (allocator,) = [r for r in fleet.routers if r.settings.name == name]
    return next(r for r in fleet.routers if r is not allocator), allocator


def count_waiting(router):
    return sum(s.waiting for s in router.capacity.server.describe().values())
