"""Streams while endpoints of several software versions serve side by side."""

import asyncio
import re

import pytest

from tamarackrill.testing.edge import (
    EdgeFleet,
    ask,
    make_route,
    read_reason,
)
from tamarackrill.testing.worker import make_chunk, make_stream_head

ROUTES = (
    make_route("/stream/", "streaming", stream_resume=True),
    make_route("/lookup/", "idempotent"),
)
BEGUN = 3
LAST = 6
STREAMS = 12
ZONES = ("a", "a", "b", "b")


def make_versioned_event(version, number):
    return b"id: %d\ndata: %s\n\n" % (number, version.encode())


def stream_of(version, is_cut=False):
    """Return a behaviour whose events name the endpoint's version.

    A stream from the start stops after some events: it hangs, or is cut.
    """

    async def act(request, writer):
        start = int(request.headers.get("last-event-id", 0)) + 1
        writer.write(make_stream_head(request))
        for number in range(start, (BEGUN if start == 1 else LAST) + 1):
            writer.write(make_chunk(make_versioned_event(version, number)))
        if start > 1:
            writer.write(make_chunk(b""))
        elif is_cut:
            await writer.drain()
            writer.close()
        else:
            await asyncio.Event().wait()

    return act


class Fleet(EdgeFleet):
    """Routers in two zones, and endpoints of several versions."""

    async def start(self, versions=("v1", "v1", "v2", "v2"), zones=ZONES, is_cut=False):
        await self.put_manifest(1, *ROUTES)
        for version in versions:
            await self.add_version(version, is_cut)
        for number, zone in enumerate(zones):
            await self.add_router(f"router-{number}", zone)
        await self.wait_fleet()

    async def wait_fleet(self):
        count = len(self.routers)
        await self.wait(
            lambda: all(len(r.members.list_live()) == count for r in self.routers)
        )

    async def add_version(self, version, is_cut=False):
        behave = stream_of(version, is_cut)
        name = f"w{len(self.workers)}"
        return await self.add_worker(name, behave, version=version)

    async def wait_known(self, routers):
        names = {worker.name for worker in self.workers}
        await self.wait(
            lambda: all(
                names <= {e.name for e in r.view.list_live("desk")} for r in routers
            )
        )

    async def begin(self, router, request_id, **headers):
        """Begin a stream, and return its client after the first events."""
        client = await self.connect(router)
        client.send("/stream/a", request_id, b"x", X_Deadline_Ms="20000", **headers)
        body = b""
        while body.count(b"data: ") < BEGUN:
            body += await client.reader.read(1000)
        return client, find_versions(body)

    async def take_up(self, router, request_id, resumed, **headers):
        return await ask(
            router,
            "/stream/a",
            request_id,
            b"x",
            Last_Event_Id=str(BEGUN),
            Resumes=resumed,
            X_Deadline_Ms="20000",
            **headers,
        )

    def list_resumed(self):
        """Return the requests that endpoints got to go on with a stream."""
        return [
            request
            for worker in self.workers
            for request in worker.requests
            if "last-event-id" in request.headers
        ]


def find_versions(body):
    return set(re.findall(rb"data: (v\d)", body))


def run_fleet(act, **settings):
    async def run():
        async with Fleet() as fleet:
            await fleet.start(**settings)
            await act(fleet)

    asyncio.run(run())


async def begin_all(fleet, router, count=STREAMS):
    """Begin streams; return the versions that began them, by their attempts."""
    begun = {}
    for number in range(count):
        client, begun[f"first-{number}"] = await fleet.begin(router, f"first-{number}")
        client.close()
    return begun


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
        begun = await begin_all(fleet, fleet.routers[0])
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
        begun = await begin_all(fleet, routers[0])
        for number in killed:
            await fleet.kill_router(routers[number])
        assert await take_up_all(fleet, routers[3], begun) >= STREAMS / 2

    run_fleet(act)


def test_stream_taken_up_again_names_its_first_attempt():
    # Guards against a stream whose version is known for its first interruption only.
    async def act(fleet):
        begun = await begin_all(fleet, fleet.routers[0])
        for router in (fleet.routers[1], fleet.routers[2], fleet.routers[0]):
            assert await take_up_all(fleet, router, begun) == STREAMS

    run_fleet(act)


def test_version_that_joins_leaves_streams_at_the_one_that_began_them():
    # Guards against streams that began before a second version served: nobody had to
    # know their version then.
    async def act(fleet):
        routers = list(fleet.routers)
        begun = await begin_all(fleet, routers[0])
        for _ in range(3):
            await fleet.add_version("v2")
        await fleet.wait_known(routers)
        await fleet.kill_router(routers[0])
        assert await take_up_all(fleet, routers[2], begun) >= STREAMS / 2

    run_fleet(act, versions=("v1", "v1"))


def test_stream_of_a_version_that_has_left_is_refused():
    # Guards against a stream that is joined to another version's for want of its own.
    async def act(fleet):
        begun = await begin_all(fleet, fleet.routers[0])
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
        await begin_all(fleet, fleet.routers[0])
        assert not any(router.keepers.counts["told"] for router in fleet.routers)

    run_fleet(act, versions=("v1", "v1"))


def test_new_stream_does_not_change_the_version_of_the_one_that_it_names():
    # Guards against a client that names another attempt without taking a stream up, so
    # that the version of its new stream is taken for that of the other one.
    async def act(fleet):
        router = fleet.routers[0]
        begun = await begin_all(fleet, router)
        for number, name in enumerate(begun):
            client, _ = await fleet.begin(router, f"new-{number}", Resumes=name)
            client.close()
        assert await take_up_all(fleet, router, begun) == STREAMS

    run_fleet(act)
