"""Routers that lose their links to endpoints while all others reach them."""

import asyncio
import contextlib

import pytest
from soak.links import EndpointLinks

from tamarackrill.router.relay_messages import ENDPOINT_HEADER, PROOF_HEADER
from tamarackrill.testing.edge import TEAM, EdgeFleet, ask, make_route
from tamarackrill.testing.worker import answer_ok, make_streaming

ROUTES = (
    make_route("/lookup/", "idempotent", attempts=3),
    make_route("/confirm/", "non_idempotent"),
    make_route("/stream/", "streaming", stream_resume=True, service="writer"),
)
TARGETS = ("/lookup/a", "/confirm/a", "/stream/a")
ZONES = ("a", "a", "a", "b", "b", "c")
WORKERS = 3
WARM_UP = 9
# Time from the start of a cut to the first request that is judged.
STABLE_WINDOW_S = 3.0
JUDGED = 30
# First tries of the cut routers are served within a twentieth of the others' share.
SHARE_GAP_MAX = 0.05


class Fleet(EdgeFleet):
    """Routers with links of their own; `links` and `routers` have the same order."""

    async def start(self, zones=ZONES):
        await self.put_manifest(1, *ROUTES)
        await self.put_services()
        self.links = [EndpointLinks() for _ in zones]
        for number, zone in enumerate(zones):
            await self.add_router(
                f"router-{number}", zone, connect=self.links[number].connect
            )
        await self.wait(
            lambda: all(len(r.members.list_live()) == len(zones) for r in self.routers)
        )

    async def put_services(self):
        for number in range(WORKERS):
            zone = "abc"[number]
            await self.add_worker(f"desk-{number}", zone=zone)
            await self.add_worker(
                f"writer-{number}", make_streaming(2), service="writer", zone=zone
            )

    async def ask_in_turn(self, router, count, label):
        served = 0
        for number in range(count):
            target = TARGETS[number % len(TARGETS)]
            request_id = f"{router.settings.name}-{label}-{number}"
            answer = await ask(router, target, request_id, body=b"x")
            served += answer.status == 200 and answer.is_whole
        return served

    async def find_shares(self, routers, label):
        served = await asyncio.gather(
            *(self.ask_in_turn(router, JUDGED, label) for router in routers)
        )
        return [count / JUDGED for count in served]


@contextlib.asynccontextmanager
async def run_fleet(zones=ZONES):
    async with Fleet() as fleet:
        await fleet.start(zones)
        yield fleet
        for links in fleet.links:
            await links.stop()


async def check_cut_and_end(numbers, mode):
    async with run_fleet() as fleet:
        routers = fleet.routers
        await asyncio.gather(*(fleet.ask_in_turn(r, WARM_UP, "calm") for r in routers))
        for number in numbers:
            fleet.links[number].cut(mode, [w.address for w in fleet.workers])
        cut = [routers[number] for number in numbers]
        others = [r for r in routers if r not in cut]
        await asyncio.gather(
            asyncio.sleep(STABLE_WINDOW_S),
            *(fleet.ask_in_turn(r, WARM_UP, "start") for r in cut),
        )
        shares = await fleet.find_shares(cut, "cut")
        (others_share,) = await fleet.find_shares(others[:1], "cut")
        assert min(shares) >= others_share - SHARE_GAP_MAX
        for links in fleet.links:
            links.restore()
        await fleet.wait(lambda: not any(r.placer.reach.unreachable for r in cut))
        assert min(await fleet.find_shares(cut, "after")) == 1.0
        ran = [r.request_id for worker in fleet.workers for r in worker.ran]
        confirmed = [name for name in ran if int(name.rpartition("-")[2]) % 3 == 1]
        assert len(confirmed) == len(set(confirmed))


CUTS = {"one": (0,), "most_of_a_zone": (0, 1), "zone": (0, 1, 2), "half": (0, 3, 5)}


@pytest.mark.parametrize("mode", ["silent", "reset", "new"])
@pytest.mark.parametrize("numbers", CUTS.values(), ids=CUTS)
def test_routers_cut_off_from_all_endpoints_serve_their_callers(numbers, mode):
    # Guards against callers that are refused by a router that has lost its links to all
    # endpoints, although other routers reach these.
    asyncio.run(check_cut_and_end(numbers, mode))


async def start_cut_fleet(fleet, numbers=(0,)):
    """Cut routers off, and let them find other paths."""
    for number in numbers:
        fleet.links[number].cut("silent", [w.address for w in fleet.workers])
    cut = [fleet.routers[number] for number in numbers]
    await asyncio.gather(*(fleet.ask_in_turn(r, WARM_UP, "start") for r in cut))
    return cut


def test_router_that_reaches_one_endpoint_shares_its_requests_among_all():
    # Guards against a single endpoint that gets all requests of a router whose links to
    # the others are cut.
    async def run():
        async with run_fleet(("a", "a", "b")) as fleet:
            desks = [w for w in fleet.workers if w.name.startswith("desk")]
            reached = desks.pop(1)
            fleet.links[0].cut("silent", [worker.address for worker in desks])
            router = fleet.routers[0]
            await fleet.ask_in_turn(router, WARM_UP, "start")
            await fleet.wait(lambda: len(router.relays.paths.reachable) == 2)
            before = len(reached.requests)
            assert await fleet.ask_in_turn(router, JUDGED, "cut") == JUDGED
            assert len(reached.requests) - before < JUDGED / 3

    asyncio.run(run())


@pytest.mark.parametrize("target", TARGETS)
def test_worker_stops_when_the_client_of_a_forwarded_request_disconnects(target):
    # Guards against work for clients that have left, which holds slots of workers.
    async def run():
        async with run_fleet(("a", "a")) as fleet:
            (router,) = await start_cut_fleet(fleet)
            for worker in fleet.workers:
                worker.behave = hang
            client = await fleet.connect(router)
            client.send(target, "left")
            await fleet.wait(lambda: fleet.routers[1].relay_server.in_flight)
            await fleet.wait(
                lambda: any(w.requests[-1:] and is_left(w) for w in fleet.workers)
            )
            (busy,) = [w for w in fleet.workers if w.requests[-1:] and is_left(w)]
            client.close()
            await asyncio.wait_for(busy.closed.wait(), 2.0)
            await fleet.wait(lambda: not fleet.routers[1].relay_server.in_flight)

    asyncio.run(run())


async def hang(request, writer):
    await asyncio.Event().wait()


def is_left(worker):
    return worker.requests[-1].request_id == "left"


def test_confirmation_forwarded_by_a_router_that_stops_runs_at_most_once():
    # Guards against a second run of a request whose forwarding router ends before the
    # response, and against a refusal that says that it has not run.
    async def run():
        async with run_fleet(("a", "a", "b")) as fleet:
            (router,) = await start_cut_fleet(fleet)
            for worker in fleet.workers:
                worker.behave = hang
            client = await fleet.connect(router)
            client.send("/confirm/a", "once")
            helpers = fleet.routers[1:]
            await fleet.wait(lambda: any(r.relay_server.in_flight for r in helpers))
            (helper,) = [r for r in helpers if r.relay_server.in_flight]
            await fleet.wait(lambda: count_runs(fleet, "once") == 1)
            await helper.stop()
            fleet.routers.remove(helper)
            answer = await client.read()
            assert answer.status == 502
            assert count_runs(fleet, "once") == 1
            client.close()

    asyncio.run(run())


def count_runs(fleet, request_id):
    ran = [r.request_id for worker in fleet.workers for r in worker.ran]
    return ran.count(request_id)


def test_leaving_router_completes_forwarded_requests_and_takes_no_more():
    # Guards against responses cut off because the router that forwards them is stopped.
    async def run():
        async with run_fleet(("a", "a", "b")) as fleet:
            (router,) = await start_cut_fleet(fleet)
            go_on = asyncio.Event()

            async def wait(request, writer):
                await go_on.wait()
                await answer_ok(request, writer)

            for worker in fleet.workers:
                worker.behave = wait
            asking = asyncio.create_task(ask(router, "/confirm/a", "slow"))
            helpers = fleet.routers[1:]
            await fleet.wait(lambda: any(r.relay_server.in_flight for r in helpers))
            (helper,) = [r for r in helpers if r.relay_server.in_flight]
            await fleet.wait(lambda: count_runs(fleet, "slow") == 1)
            draining = asyncio.create_task(helper.drain())
            await fleet.wait(lambda: helper.relay_server.is_leaving)
            go_on.set()
            assert (await asking).status == 200
            answers = [await ask(router, "/confirm/a", f"later-{n}") for n in range(9)]
            assert {answer.status for answer in answers} == {200}
            assert not helper.relay_server.in_flight
            await draining

    asyncio.run(run())


def test_forwarded_request_keeps_its_headers_and_deadline():
    async def run():
        async with run_fleet(("a", "a")) as fleet:
            (router,) = await start_cut_fleet(fleet)
            answer = await ask(
                router, "/confirm/a?b=1", "whole", b"body", X_Deadline_Ms="900"
            )
            (request,) = [
                r for w in fleet.workers for r in w.requests if r.request_id == "whole"
            ]
            assert answer.status == 200
            assert (request.target, request.body) == ("/confirm/a?b=1", b"body")
            assert 0 < int(request.headers["x-deadline-ms"]) <= 900
            assert request.headers["x-tenant-id"] == TEAM
            named = [*request.headers, *answer.headers]
            assert not [name for name in named if name.startswith("tamarackrill")]

    asyncio.run(run())


@pytest.mark.parametrize("numbers", [(0,), (0, 1, 2)], ids=["one", "all"])
def test_reset_links_are_no_sign_of_a_request_that_crashes_endpoints(numbers):
    # Guards against requests that are refused everywhere because the links on which
    # they were sent were reset, and new connections refused, at one router or at all.
    async def run():
        async with run_fleet(("a", "a", "b")) as fleet:
            router = fleet.routers[0]
            crashes = []
            router.flow.attempts.crashes.on_crash = crashes.append
            desks = [w for w in fleet.workers if w.name.startswith("desk")]
            for worker in desks:
                worker.behave = hang
            asking = asyncio.create_task(ask(router, "/lookup/a", "innocent"))
            await fleet.wait(lambda: any(worker.requests for worker in desks))
            for worker in desks:
                worker.behave = answer_ok
            for number in numbers:
                fleet.links[number].cut("reset", [w.address for w in desks])
            assert ((await asking).status == 200) == (numbers == (0,))
            await fleet.wait(lambda: not router.flow.attempts.crashes.tasks)
            assert crashes == []

    asyncio.run(run())


def test_request_that_crashes_endpoints_is_stopped_through_other_routers_too():
    # Guards against a request that crashes one endpoint after the other, because the
    # router that counts crashes can't reach them itself.
    async def run():
        async with run_fleet(("a", "a", "b")) as fleet:
            for links in fleet.links[1:]:
                links.is_direct = True
            (router,) = await start_cut_fleet(fleet)
            crashed = []

            for worker in fleet.workers:

                async def crash(request, writer, worker=worker):
                    if request.body == b"poison":
                        crashed.append(worker.name)
                        writer.transport.abort()
                        await worker.stop()
                    else:
                        await answer_ok(request, writer)

                worker.behave = crash
            for number in range(6):
                await ask(router, "/lookup/a", f"poison-{number}", b"poison")
                await fleet.wait(lambda: not router.flow.attempts.crashes.tasks)
            assert len(crashed) <= 2
            answer = await ask(router, "/lookup/a", "harmless", b"x")
            assert answer.status == 200

    asyncio.run(run())


def test_silent_endpoint_is_no_reason_to_give_up_the_router_that_forwards_to_it():
    # Guards against a router without any path, because the one other router that
    # reaches the endpoints is blamed for an endpoint that hangs.
    async def run():
        async with run_fleet(("a", "a")) as fleet:
            (router,) = await start_cut_fleet(fleet)
            desks = [w for w in fleet.workers if w.name.startswith("desk")]
            for worker in desks[1:]:
                worker.behave = hang
            await asyncio.gather(
                *(
                    ask(router, "/lookup/a", f"slow-{n}", X_Deadline_Ms="700")
                    for n in range(6)
                )
            )
            await fleet.wait(lambda: not router.flow.attempts.crashes.tasks)
            assert len(router.relays.paths.reachable) == len(fleet.workers)

    asyncio.run(run())


def test_unsigned_request_on_the_peer_port_reaches_no_worker():
    # Guards against callers that use the port between routers to get past API keys.
    async def run():
        async with run_fleet(("a",)) as fleet:
            (router,) = fleet.routers
            address = router.members.own.peer_address
            for proof in ("", "wrong"):
                headers = {ENDPOINT_HEADER: "desk-0", PROOF_HEADER: proof}
                answer = await ask(address, "/confirm/a", "forged", **headers)
                assert answer.status in (403, 404)
            assert not any(worker.requests for worker in fleet.workers)

    asyncio.run(run())


def test_endpoint_in_backoff_gets_no_forwarded_request():
    # Guards against requests that reach an endpoint through a router which it has asked
    # for a pause.
    async def run():
        async with run_fleet(("a", "a")) as fleet:
            (router,) = await start_cut_fleet(fleet)
            helper = fleet.routers[1]
            desks = [w for w in fleet.workers if w.name.startswith("desk")]
            for worker in desks:
                endpoint = helper.view.find_endpoint(worker.name)
                helper.placer.observe_retry_after(endpoint, 30.0, helper.clock())
            before = [len(worker.requests) for worker in desks]
            answer = await ask(router, "/confirm/a", "paused")
            assert answer.status == 503
            assert [len(worker.requests) for worker in desks] == before

    asyncio.run(run())
