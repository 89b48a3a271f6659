"""Streams while endpoints of several software versions serve side by side."""

import asyncio

import pytest

from tamarackrill.testing.edge import ask, read_reason
from tamarackrill.testing.versioned_fleet import VersionedFleet, find_versions

STREAMS = 12


def run_fleet(act, **settings):
    async def run():
        async with VersionedFleet() as fleet:
            await fleet.start(**settings)
            await act(fleet)

    asyncio.run(run())


async def take_up_all(fleet, router, begun):
    """Take streams up and check their versions; return how many went on."""
    went_on = 0
    for number, (resumed, versions) in enumerate(begun.items()):
        answer = await fleet.take_up(router, f"take-{number}", resumed)
        if answer.status == 200:
            assert answer.is_whole
            assert find_versions(answer.body) == versions
            went_on += 1
        else:
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
    return went_on


@pytest.mark.parametrize("taker", [0, 1, 2], ids=["same", "own_zone", "other_zone"])
def test_stream_that_a_client_takes_up_goes_on_at_its_version(taker):
    # Guards against streams with events of two software versions, which don't fit
    # together, after a client has come back to any router.
    async def act(fleet):
        begun = await fleet.begin_all(STREAMS, fleet.routers[0])
        assert {b"v1"} in begun.values()
        assert {b"v2"} in begun.values()
        assert await take_up_all(fleet, fleet.routers[taker], begun) == STREAMS

    run_fleet(act)


@pytest.mark.parametrize("killed", [(0,), (0, 1), (0, 2)], ids=["one", "zone", "half"])
def test_stream_of_a_killed_router_goes_on_at_its_version(killed):
    # Guards against streams of two versions after the router that began them has ended,
    # with all it knew.
    async def act(fleet):
        routers = list(fleet.routers)
        begun = await fleet.begin_all(STREAMS, routers[0])
        for number in killed:
            await fleet.kill_router(routers[number])
        assert await take_up_all(fleet, routers[3], begun) >= STREAMS / 2

    run_fleet(act)


def test_routers_that_have_just_become_known_are_told_at_once():
    # Guards against streams that nobody knows, as their router has ended between two
    # looks at the list of routers, of whom it had just heard.
    async def act(fleet):
        first, neighbour, _, taker = fleet.routers
        others = [m for m in first.members.list_all() if m != first.members.own]
        first.members.replace([])
        first.keepers.update()
        begun = await fleet.begin_all(STREAMS, first)
        first.members.replace(others)
        for router in (first, neighbour):
            await fleet.kill_router(router)
        assert await take_up_all(fleet, taker, begun) >= STREAMS / 2

    run_fleet(act)


def test_stream_taken_up_again_names_its_first_attempt():
    # Guards against a stream whose version is known for its first interruption only.
    async def act(fleet):
        begun = await fleet.begin_all(STREAMS, fleet.routers[0])
        for router in (fleet.routers[1], fleet.routers[2], fleet.routers[0]):
            assert await take_up_all(fleet, router, begun) == STREAMS

    run_fleet(act)


def test_version_that_joins_leaves_streams_at_the_one_that_began_them():
    # Guards against streams that began before a second version served: nobody had to
    # know their version then.
    async def act(fleet):
        routers = list(fleet.routers)
        begun = await fleet.begin_all(STREAMS, routers[0])
        for _ in range(3):
            await fleet.add_version("v2")
        await fleet.wait_known(routers)
        await fleet.kill_router(routers[0])
        assert await take_up_all(fleet, routers[2], begun) >= STREAMS / 2

    run_fleet(act, versions=("v1", "v1"))


def test_stream_of_a_version_that_has_left_is_refused():
    # Guards against a stream that is joined to another version's for want of its own.
    async def act(fleet):
        begun = await fleet.begin_all(STREAMS, fleet.routers[0])
        for worker in fleet.workers[:2]:
            spec = worker.describe("desk", version="v1", state="draining")
            await fleet.store.write("servers", worker.name, spec)
        await fleet.wait(
            lambda: all(len(r.view.list_live("desk")) == 2 for r in fleet.routers)
        )
        left = {name: begun[name] for name in begun if begun[name] == {b"v1"}}
        assert left
        assert await take_up_all(fleet, fleet.routers[2], left) == 0

    run_fleet(act)


@pytest.mark.parametrize("resumed", ["never-sent", ""], ids=["unknown", "missing"])
def test_stream_of_an_unknown_version_is_refused_at_once(resumed):
    # Guards against a stream that is joined to another version's because the router
    # that knew its version is gone.
    async def act(fleet):
        for number in range(STREAMS):
            answer = await fleet.take_up(fleet.routers[0], f"take-{number}", resumed)
            assert (answer.status, read_reason(answer)) == (503, "version_unknown")
            assert float(answer.headers["retry-after"]) > 0
        assert not fleet.list_resumed()

    run_fleet(act)


def test_stream_goes_on_without_its_first_router_if_all_endpoints_have_one_version():
    # Guards against refusals that a service with one version doesn't need.
    async def act(fleet):
        for number in range(STREAMS):
            answer = await fleet.take_up(fleet.routers[0], f"take-{number}", "unknown")
            assert (answer.status, answer.is_whole) == (200, True)

    run_fleet(act, versions=("v1", "v1"))


def test_restarted_router_learns_that_another_version_has_just_left():
    # Guards against a router that takes the only version it has seen for that of a
    # stream which began at another one a moment before the router started.
    async def act(fleet):
        for worker in fleet.workers[:2]:
            await fleet.store.write("servers", worker.name, None)
        await fleet.wait(
            lambda: all(len(r.view.list_live("desk")) == 2 for r in fleet.routers)
        )
        router = await fleet.add_router("late", "b")
        await fleet.wait_fleet()
        answer = await fleet.take_up(router, "take", "unknown")
        assert (answer.status, read_reason(answer)) == (503, "version_unknown")

    run_fleet(act)


def test_stream_is_remembered_for_as_long_as_its_client_waits():
    # Guards against streams joined to another version's, if a client comes back later
    # than after the timeout of the route.
    async def act(fleet):
        begun = await fleet.begin_all(STREAMS, fleet.routers[0])
        for worker in fleet.workers[:2]:
            await fleet.store.write("servers", worker.name, None)
        await asyncio.sleep(4.0)
        left = {name: begun[name] for name in begun if begun[name] == {b"v1"}}
        assert await take_up_all(fleet, fleet.routers[2], left) == 0

    run_fleet(act, timeout_ms=300)


def test_stream_is_resumed_within_an_answer_at_its_version():
    # Guards against a stream that goes on at another version after its endpoint's end.
    async def act(fleet):
        for number in range(STREAMS):
            answer = await ask(fleet.routers[0], "/stream/a", f"id-{number}", b"x")
            assert answer.is_whole
            assert len(find_versions(answer.body)) == 1

    run_fleet(act, is_cut=True)


def test_stream_without_another_endpoint_of_its_version_is_cut():
    # Guards against a stream that is resumed at the only endpoint left, of any version.
    async def act(fleet):
        for number in range(STREAMS):
            answer = await ask(fleet.routers[0], "/stream/a", f"id-{number}", b"x")
            assert len(find_versions(answer.body)) == 1
            assert not answer.is_whole
        assert not fleet.list_resumed()

    run_fleet(act, versions=("v1", "v2"), is_cut=True)


def test_nothing_is_told_while_all_endpoints_have_one_version():
    # Guards against a cost for each stream while nobody needs to know its version.
    async def act(fleet):
        await fleet.begin_all(STREAMS, fleet.routers[0])
        assert not any(router.keepers.counts["told"] for router in fleet.routers)

    run_fleet(act, versions=("v1", "v1"))


def test_new_stream_does_not_change_the_version_of_the_one_that_it_names():
    # Guards against a client that names another attempt without taking a stream up, so
    # that the version of its new stream is taken for that of the other one.
    async def act(fleet):
        router = fleet.routers[0]
        begun = await fleet.begin_all(STREAMS, router)
        for number, name in enumerate(begun):
            client, _ = await fleet.begin(router, f"new-{number}", Resumes=name)
            client.close()
        assert await take_up_all(fleet, router, begun) == STREAMS

    run_fleet(act)


def test_version_that_joins_while_a_stream_waits_does_not_get_it(monkeypatch):
    # Guards against a list of endpoints of other versions that is older than the wait
    # for routers which reach an endpoint.
    async def run():
        async with VersionedFleet() as fleet:
            await fleet.start(("v1",) * 2, timeout_ms=15_000)
            taker = fleet.routers[0]
            _, versions = await fleet.begin(taker, "first")
            for worker in list(fleet.workers):
                await fleet.store.write("servers", worker.name, None)
            await fleet.wait(lambda: not taker.view.list_live("desk"))
            waits = []

            async def wait_replies():
                waits.append(True)
                if len(waits) == 1:
                    await fleet.add_version("v2")
                    await fleet.wait(lambda: taker.view.list_live("desk"))
                return len(waits) == 1

            monkeypatch.setattr(taker.relays, "wait_replies", wait_replies)
            answer = await fleet.take_up(taker, "take", "first")
            assert waits
            assert not find_versions(answer.body) - versions

    asyncio.run(run())
