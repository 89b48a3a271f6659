"""Permits for cold endpoints, between routers over sockets."""

import asyncio
import logging
import time

import pytest

from tamarackrill.decisions.cold_endpoints import ColdTolerance
from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.router import cold_permits, edge_attempts
from tamarackrill.router.cold_monitor import ColdMonitor
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_app import READERS
from tamarackrill.testing.edge import (
    WAIT_TIMEOUT_S,
    EdgeFleet,
    ask,
    make_manifest,
    make_route,
    read_reason,
)
from tamarackrill.testing.worker import Worker, answer_ok

LOOKUP = make_route("/lookup/", "idempotent")
COLD = {"cold_s": 30.0, "cold_per_s": 8.0}
TOLERANCE = ColdTolerance(1.5, 4.0)
LIMIT_PER_S = 1.5 * 8.0 + 4.0
REQUESTS = 24


@pytest.fixture(autouse=True)
def settled_owners(monkeypatch):
    monkeypatch.setattr(cold_permits, "OWNER_SETTLE_S", 0.0)
    # All routers share one event loop, which is late on a busy machine.
    monkeypatch.setattr(edge_attempts, "CONNECT_TIMEOUT_S", WAIT_TIMEOUT_S)


def run_in_fleet(act, routers=3):
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, LOOKUP, service=COLD)
            arrived_s = []

            async def answer_timed(request, writer):
                arrived_s.append(time.monotonic())
                await answer_ok(request, writer)

            await fleet.add_worker("cold", answer_timed, cold_remaining_ms=30_000)
            for number in range(routers):
                await fleet.add_router(f"router-{number}", cold_tolerance=TOLERANCE)
            for router in fleet.routers:
                await fleet.wait(lambda r=router: len(r.members.list_live()) == routers)
                router.permits.update_members()
            await act(fleet)
            counts = [sum(t <= u < t + 1.0 for u in arrived_s) for t in arrived_s]
            assert max(counts, default=0) <= LIMIT_PER_S

    asyncio.run(run())


async def send_all(fleet):
    async def send(router):
        name = router.settings.name
        return [await ask(router, "/lookup/x", f"{name}-{n}") for n in range(REQUESTS)]

    # One after the other at each router, which is still far above the limit.
    answers = await asyncio.gather(*(send(router) for router in fleet.routers))
    return [answer for answers_of_router in answers for answer in answers_of_router]


def test_requests_to_a_cold_endpoint_stay_within_its_limit_over_all_routers():
    # Guards against a cold endpoint that crashes, because each of many routers sends it
    # what would be fine if it were the only one.
    async def act(fleet):
        await fleet.add_worker("warm", slots=100)
        for router in fleet.routers:
            await fleet.wait(lambda r=router: len(r.view.list_live("desk")) == 2)
        answers = await send_all(fleet)
        assert {answer.status for answer in answers} == {200}
        cold, warm = fleet.workers
        assert len(cold.requests) + len(warm.requests) == len(answers)

    run_in_fleet(act)


def test_requests_are_refused_truthfully_if_all_endpoints_are_cold():
    # Guards against requests that wait until their deadline for an endpoint that may
    # not get them, and against refusals that don't say when to come back.
    async def act(fleet):
        answers = await send_all(fleet)
        refused = [answer for answer in answers if answer.status != 200]
        assert {(a.status, read_reason(a)) for a in refused} == {(503, "cold")}
        assert all(float(a.headers["retry-after"]) > 0 for a in refused)
        (cold,) = fleet.workers
        assert len(cold.requests) == len(answers) - len(refused)

    run_in_fleet(act)


def test_routers_that_are_not_the_owner_get_permits_too():
    # Guards against requests for permits that never reach the owner: a cold endpoint
    # would get the requests of one router only, and stay idle.
    async def act(fleet):
        for router in fleet.routers:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while (await ask(router, "/lookup/x")).status != 200:
                    pass

    run_in_fleet(act)


def test_silent_owner_permits_nothing(caplog):
    # Guards against a router that can't reach the owner and sends all the same: the
    # owner goes on permitting requests of others.
    caplog.set_level(logging.INFO, logger="absl")

    async def act(fleet):
        for router in fleet.routers:
            router._peer_socket.handlers.remove(router.permits.handle_datagram)
        await send_all(fleet)
        assert "permit_refused" in caplog.text
        assert "outcome=silent" in caplog.text

    run_in_fleet(act)


def test_entries_that_arrive_before_the_manifest_count():
    # Guards against a router that has just started, knows cold endpoints before it
    # knows their services, and then takes them for warm.
    view = DeploymentView(READERS)
    monitor = ColdMonitor(view, TOLERANCE, lambda: 10.0)
    worker = Worker("cold", answer_ok)
    worker.address = "127.0.0.1:8000"
    spec = worker.describe("desk", cold_remaining_ms=2000)
    view.take(ObjectVersion("servers", "cold", 1, spec), 10.0)
    monitor.update()
    manifest = make_manifest(1, LOOKUP)
    manifest["services"][0] |= COLD
    view.take(ObjectVersion("config", "main", 2, manifest), 10.0)
    monitor.update()
    assert monitor.find_cold() == {"cold"}


def test_services_without_terms_need_no_permit():
    async def act(fleet):
        await fleet.put_manifest(2, LOOKUP)
        for router in fleet.routers:
            await fleet.wait(lambda r=router: r.view.routes.manifest.version == 2)
            assert router.cold.find_terms("cold") is None

    run_in_fleet(act, routers=1)
