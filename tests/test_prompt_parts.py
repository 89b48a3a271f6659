"""Parts of prompts that crash each endpoint that begins to answer them."""

import asyncio

import pytest
from soak.links import EndpointLinks

from tamarackrill.testing.crashing_fleet import BAD, CrashingFleet, make_prompts
from tamarackrill.testing.crashing_worker import DEFAULT_BEHAVIOR

# Time after which routers in touch know of what happened before.
STABLE_WINDOW_S = 3.0
# Requests that may still reach workers once the part has crashed five of them.
LATE_SENDS_MAX = 3
CRASHES_KNOWN = 5
# Share of sound requests that are served at the first attempt.
SERVED_MIN = 0.9
WORKERS = 12
ZONES = ("a", "a", "b", "c")


def run_fleet(act, **options):
    async def run():
        async with CrashingFleet(**options) as fleet:
            await fleet.start(ZONES, WORKERS)
            await act(fleet)

    asyncio.run(run())


def check_late_sends(fleet):
    crashes_s = fleet.list_part_crashes_s()
    assert len(crashes_s) >= 2
    if len(crashes_s) >= CRASHES_KNOWN:
        known_s = crashes_s[CRASHES_KNOWN - 1] + STABLE_WINDOW_S
        assert fleet.count_sends(known_s) <= LATE_SENDS_MAX
    counted = crashes_s[:CRASHES_KNOWN][-1]
    assert fleet.find_served_share(counted + 2 * STABLE_WINDOW_S) >= SERVED_MIN


@pytest.mark.parametrize("target", ["/stream/", "/plain/"])
@pytest.mark.parametrize("position", [0, 1, 3])
def test_part_that_crashes_workers_stops_reaching_them(position, target):
    # Guards against one part of many prompts, no two alike, that crashes one endpoint
    # after another, although sound prompts share its caller and its other parts.
    async def act(fleet):
        await fleet.ask_for(9.0, make_prompts(position), target)
        check_late_sends(fleet)

    run_fleet(act)


def make_sound_prompt(number):
    return [
        "shared0",
        f"shared{1 + number % 3}",
        f"session{number % 40}",
        f"own{number}",
    ]


def test_no_part_is_refused_when_workers_crash_for_other_reasons():
    # Guards against sound requests that are refused because endpoints end for reasons
    # that have nothing to do with their prompts.
    async def act(fleet):
        asking = asyncio.create_task(fleet.ask_for(6.0, make_sound_prompt))
        for worker in fleet.crashing[:10]:
            await asyncio.sleep(0.4)
            await worker.crash()
        await asking
        assert len(fleet.list_crashes_s()) == 10
        assert not any(router.guard.faults.list_blocks() for router in fleet.routers)
        assert fleet.find_served_share(0.0) >= SERVED_MIN

    run_fleet(act)


def test_router_that_starts_later_knows_what_is_blocked():
    # Guards against a router that has just started and sends parts to endpoints which
    # all others know to crash these.
    async def act(fleet):
        await fleet.ask_for(3.0, make_prompts(1))
        await fleet.wait(lambda: fleet.routers[0].guard.faults.list_blocks())
        sends = fleet.count_sends(0.0)
        late = await fleet.add_router("late", "b")
        await fleet.wait(late.guard.faults.list_blocks)
        prompt = ["shared0", BAD, "own"]
        await asyncio.gather(
            *(
                fleet.ask_router(late, f"/stream/{n}", f"late-{n}", prompt)
                for n in range(20)
            )
        )
        assert fleet.count_sends(0.0) == sends

    run_fleet(act)


def test_part_that_one_software_version_takes_is_served_there():
    # Guards against requests that are refused, or crash endpoints, while endpoints of
    # another software version would serve them.
    async def act(fleet):
        for worker in fleet.crashing[::2]:
            await fleet.change_version(worker, "v2")
        await fleet.wait_versions({"v1", "v2"})
        await fleet.ask_for(5.0, make_prompts(1))
        late_s = fleet.asked[-1].sent_s - 2.0
        bad = [a.is_served for a in fleet.asked if a.is_bad and a.sent_s > late_s]
        assert all(bad)
        assert fleet.find_served_share(late_s) >= SERVED_MIN

    run_fleet(act)


def test_crash_of_a_worker_that_is_back_at_once_counts():
    # Guards against crashes that go unseen because another process accepts connections
    # at the endpoint's address by the time that a router checks it.
    async def act(fleet):
        await fleet.ask_for(9.0, make_prompts(1))
        check_late_sends(fleet)

    run_fleet(act, behavior=DEFAULT_BEHAVIOR._replace(down_s=0.0))


def test_worker_that_ends_within_the_first_event_counts():
    # Guards against crashes that go unseen because part of an answer has arrived.
    async def act(fleet):
        await fleet.ask_for(9.0, make_prompts(1))
        check_late_sends(fleet)

    run_fleet(act, behavior=DEFAULT_BEHAVIOR._replace(sent_before_crash=1))


def test_part_is_kept_from_endpoints_that_are_reached_through_another_router():
    # Guards against a router that is cut off from endpoints, and sends them a bad part
    # through others without counting the crashes.
    async def run():
        async with CrashingFleet() as fleet:
            links = EndpointLinks()
            await fleet.start(("a", "b", "c"), WORKERS, links.connect)
            links.cut("silent", [worker.address for worker in fleet.workers])
            cut = fleet.routers[0]
            others = fleet.routers
            fleet.routers = [cut]
            await fleet.ask_for(9.0, make_prompts(1))
            check_late_sends(fleet)
            fleet.routers = others
            await links.stop()

    asyncio.run(run())


def test_router_that_was_cut_off_from_the_others_learns_what_is_blocked():
    # Guards against a router that comes back from a network partition, and sends parts
    # to endpoints that the others have found to crash these meanwhile.
    async def act(fleet):
        cut, *others = fleet.routers
        handlers = cut._peer_socket.handlers
        cut._peer_socket.handlers = []
        fleet.routers = others
        await fleet.ask_for(3.0, make_prompts(1))
        await fleet.wait(others[0].guard.faults.list_blocks)
        assert not cut.guard.faults.list_blocks()
        cut._peer_socket.handlers = handlers
        await fleet.wait(cut.guard.faults.list_blocks)
        sends = fleet.count_sends(0.0)
        prompt = ["shared0", BAD, "own"]
        await fleet.ask_router(cut, "/stream/a", "late", prompt)
        assert fleet.count_sends(0.0) == sends
        fleet.routers = [cut, *others]

    run_fleet(act)
