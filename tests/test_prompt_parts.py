"""Parts of prompts that crash each endpoint that begins to answer them."""

import asyncio
import itertools
from typing import NamedTuple

import pytest
from soak.links import EndpointLinks

from tamarackrill.router.channels import open_channel
from tamarackrill.testing.crashing_worker import DEFAULT_BEHAVIOR, CrashingWorker
from tamarackrill.testing.edge import EdgeFleet, ask, make_route

ENGINE = {"weights": "m", "slots": 8, "kv_capacity": 100_000}
ROUTES = (
    make_route(
        "/stream/",
        "streaming",
        stream_resume=True,
        attempts=3,
        session_affinity=True,
    ),
    make_route("/plain/", "idempotent", attempts=3, session_affinity=True),
)
BAD = "bad0"
# Time after which routers in touch know of what happened before.
STABLE_WINDOW_S = 3.0
# Requests that may still reach workers once the part has crashed five of them.
LATE_SENDS_MAX = 3
CRASHES_KNOWN = 5
# Share of sound requests that are served at the first attempt.
SERVED_MIN = 0.9
WORKERS = 12
ZONES = ("a", "a", "b", "c")
REQUEST_INTERVAL_S = 0.05
BAD_EVERY = 4


class Asked(NamedTuple):
    """A request that a client has sent, and whether its first attempt was served."""

    sent_s: float
    is_bad: bool
    is_served: bool


class Fleet(EdgeFleet):
    """Routers and workers, of which each crashes on the parts in `bad_parts`."""

    def __init__(self, behavior=DEFAULT_BEHAVIOR):
        super().__init__()
        self.behavior = behavior
        self.bad_parts = {BAD}
        self.bad_versions = {"v1"}
        self.asked = []

    async def start(self, zones=ZONES, workers=WORKERS, connect=open_channel):
        await self.put_manifest(1, *ROUTES)
        for number in range(workers):
            await self.add_crashing_worker(f"w{number}", "abc"[number % 3])
        for number, zone in enumerate(zones):
            # Only the links of the first router to the workers can be cut.
            chosen = connect if number == 0 else open_channel
            await self.add_router(f"router-{number}", zone, connect=chosen)
        await self.wait(
            lambda: all(len(r.members.list_live()) == len(zones) for r in self.routers)
        )

    async def add_crashing_worker(self, name, zone):
        async def write_entry(worker):
            await self.store.write(
                "servers", worker.name, worker.describe("desk", zone)
            )

        async def remove_entry(name):
            await self.store.write("servers", name, None)

        def is_bad(version, part):
            return part in self.bad_parts and version in self.bad_versions

        worker = CrashingWorker(name, is_bad, write_entry, remove_entry, self.behavior)
        await self.register_worker(worker, zone=zone)
        return worker

    async def change_version(self, worker, version):
        worker.software_version = version
        await self.store.write("servers", worker.name, worker.describe("desk"))

    async def wait_versions(self, versions):
        def has_versions(router):
            endpoints = router.view.list_live("desk")
            return {e.software_version for e in endpoints} == versions

        await self.wait(lambda: all(map(has_versions, self.routers)))

    def list_crashes_s(self):
        return sorted(s for worker in self.workers for s in worker.crashed_s)

    def count_sends(self, since_s, part=BAD):
        return sum(
            arrived_s >= since_s and part in request.headers["x-prompt-prefix"]
            for worker in self.workers
            for arrived_s, request in worker.arrived
        )

    async def ask_for(self, duration_s, make_prompts, target="/stream/", label="a"):
        """Send requests to the routers in turn, at a fixed rate."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        tasks = []
        for number in itertools.count():
            if loop.time() >= end_s:
                break
            router = self.routers[number % len(self.routers)]
            prompt = make_prompts(number)
            asking = self._ask(router, f"{target}{number}", f"{label}-{number}", prompt)
            tasks.append(asyncio.create_task(asking))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def _ask(self, router, target, request_id, prompt):
        sent_s = asyncio.get_running_loop().time()
        text = ",".join(f"{part}:100" for part in prompt)
        answer = await ask(
            router, target, request_id, body=b"x", X_Prompt_Prefix=text, X_Model="m"
        )
        is_served = answer.status == 200 and answer.is_whole
        self.asked.append(Asked(sent_s, bool(self.bad_parts & {*prompt}), is_served))

    def find_served_share(self, since_s):
        sound = [a.is_served for a in self.asked if not a.is_bad and a.sent_s > since_s]
        assert sound
        return sum(sound) / len(sound)


def make_prompts(position):
    """Return a function that makes prompts, of which some have a bad part.

    The others share all parts but that and the last one with these.
    """

    def make(number):
        prompt = ["shared0", f"shared{1 + number % 3}", "shared9"]
        if number % BAD_EVERY == BAD_EVERY - 1:
            prompt.insert(position, BAD)
        return [*prompt, f"own{number}"]

    return make


def run_fleet(act, **options):
    async def run():
        async with Fleet(**options) as fleet:
            await fleet.start()
            await act(fleet)

    asyncio.run(run())


def check_late_sends(fleet):
    crashes_s = fleet.list_crashes_s()
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
        for worker in fleet.workers[:10]:
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
            *(fleet._ask(late, f"/stream/{n}", f"late-{n}", prompt) for n in range(20))
        )
        assert fleet.count_sends(0.0) == sends

    run_fleet(act)


def test_part_that_one_software_version_takes_is_served_there():
    # Guards against requests that are refused, or crash endpoints, while endpoints of
    # another software version would serve them.
    async def act(fleet):
        for worker in fleet.workers[::2]:
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
        async with Fleet() as fleet:
            links = EndpointLinks()
            await fleet.start(zones=("a", "b", "c"), connect=links.connect)
            links.cut("silent", [worker.address for worker in fleet.workers])
            cut = fleet.routers[0]
            others = fleet.routers
            fleet.routers = [cut]
            await fleet.ask_for(9.0, make_prompts(1))
            check_late_sends(fleet)
            fleet.routers = others
            await links.stop()

    asyncio.run(run())
