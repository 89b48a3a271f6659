"""Zones that operators evacuate, on the platform's interface."""

import asyncio

import pytest

from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_app import READERS
from tamarackrill.testing.edge import EdgeFleet, ask, make_route, read_reason
from tamarackrill.testing.worker import Worker, answer_ok

LOOKUP = make_route("/lookup/", "idempotent")
ZONES = ("a", "b")
SETTINGS = {"has_evacuations": True, "zones": ZONES}


def run_in_fleet(act):
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, LOOKUP)
            for zone in ZONES:
                await fleet.add_worker(f"worker-{zone}", zone=zone)
            await act(fleet)

    asyncio.run(run())


async def send_many(router):
    return [(await ask(router, "/lookup/x", f"id-{n}")).status for n in range(12)]


def test_evacuated_zone_gets_no_request_until_it_is_taken_back():
    # Guards against work for a zone that the operator empties: the endpoints there may
    # be stopped at any moment, and what was sent to them is lost.
    async def act(fleet):
        router = await fleet.add_router(zone="a", **SETTINGS)
        await fleet.evacuate("a")
        await fleet.wait(lambda: router.view.evacuated_zones == {"a"})
        assert set(await send_many(router)) == {200}
        evacuated, other = fleet.workers
        assert (len(evacuated.requests), len(other.requests)) == (0, 12)
        await fleet.evacuate("a", False)
        await fleet.wait(lambda: not router.view.evacuated_zones)
        assert set(await send_many(router)) == {200}
        assert evacuated.requests

    run_in_fleet(act)


def test_request_is_refused_if_all_its_endpoints_are_in_evacuated_zones():
    # Guards against requests that are sent to an evacuated zone for want of others, or
    # that wait for their deadline instead.
    async def act(fleet):
        router = await fleet.add_router(zone="a", **SETTINGS)
        for zone in ZONES:
            await fleet.evacuate(zone)
        await fleet.wait(lambda: router.view.evacuated_zones == set(ZONES))
        answer = await ask(router, "/lookup/x")
        assert (answer.status, read_reason(answer)) == (503, "no_endpoint")
        assert float(answer.headers["retry-after"]) > 0
        assert not any(worker.requests for worker in fleet.workers)

    run_in_fleet(act)


@pytest.mark.parametrize("evacuated", [set(), {"a"}])
def test_router_that_starts_without_the_store_learns_evacuations_from_a_peer(evacuated):
    # Guards against a router that starts while the store turns it away, gets manifest
    # and endpoints from a peer, and sends into a zone whose evacuation it doesn't know.
    async def act(fleet):
        for zone in evacuated:
            await fleet.evacuate(zone)
        await fleet.add_router("first", "a", **SETTINGS)
        second = fleet.make_router(
            "second", "a", store_address="127.0.0.1:1", **SETTINGS
        )
        await second.start()
        await fleet.wait(second.is_ready)
        assert second.view.evacuated_zones == evacuated
        assert set(await send_many(second)) == {200}
        assert bool(fleet.workers[0].requests) == (not evacuated)

    run_in_fleet(act)


def test_router_is_not_ready_before_it_knows_the_evacuated_zones():
    # Guards against the first requests of a router that has read manifest and endpoints
    # from the store, but not yet the evacuated zones.
    view = DeploymentView(READERS, knows_evacuations=lambda: False)
    worker = Worker("w", answer_ok)
    worker.address = "127.0.0.1:8000"
    view.take(ObjectVersion("servers", "w", 1, worker.describe("desk")), 0.0)
    assert not view.is_complete
    assert not view.list_live("desk")
    assert not view.list_usable_endpoints()


@pytest.mark.parametrize("spec", [None, {}, {"since": 1}])
@pytest.mark.parametrize("faulty", [[], "yes", 7])
def test_malformed_evacuation_leaves_the_zone_as_it_was(spec, faulty):
    # Guards against an entry with unreadable contents that empties a zone, or that puts
    # one back into use.
    view = DeploymentView(READERS, zones=ZONES)
    if spec is not None:
        view.take(ObjectVersion("evacuations", "a", 1, spec), 0.0)
    before = view.evacuated_zones
    view.take(ObjectVersion("evacuations", "a", 2, faulty), 0.0)
    assert view.evacuated_zones == before
    view.take(ObjectVersion("evacuations", "a", 3, None), 0.0)
    assert not view.evacuated_zones


def test_evacuation_of_an_unknown_zone_is_logged(caplog):
    # Guards against a misspelt name that leaves the operator believing that a zone is
    # empty.
    view = DeploymentView(READERS, zones=ZONES)
    view.take(ObjectVersion("evacuations", "aa", 1, {}), 0.0)
    assert "evacuation_unknown_zone zone=aa" in caplog.text


def test_evacuations_cost_no_query_while_the_store_does_not_change():
    # Guards against one more watch for a kind that changes a few times a year: each
    # query of the store is paid for.
    async def act(fleet):
        router = await fleet.add_router(zone="a", **SETTINGS)

        def count(kind):
            return sum(f"/objects/{kind}" in path for path in fleet.store.calls)

        await fleet.wait(lambda: count("config") > 12)
        assert count("evacuations") <= 3
        # A change of another kind doesn't hide that of this one.
        await fleet.evacuate("b")
        await fleet.add_worker("worker-c", zone="a")
        await fleet.wait(lambda: router.view.evacuated_zones == {"b"})

    run_in_fleet(act)
