"""Test fixture: routers and workers that crash on a part of prompts, on loopback."""

import asyncio
import itertools
from collections.abc import Callable
from typing import NamedTuple

from tamarackrill.router.channels import Connect, open_channel
from tamarackrill.router.edge_app import EdgeApplication
from tamarackrill.testing.crashing_worker import (
    DEFAULT_BEHAVIOR,
    CrashBehavior,
    CrashingWorker,
)
from tamarackrill.testing.edge import EdgeFleet, ask, make_route

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
REQUEST_INTERVAL_S = 0.05
BAD_EVERY = 4

MakePrompt = Callable[[int], list[str]]


class Asked(NamedTuple):
    """A request that a client has sent, and whether its first attempt was served."""

    sent_s: float
    is_bad: bool
    is_served: bool


class CrashingFleet(EdgeFleet):
    """Routers and workers, of which each crashes on some parts of prompts.

    Parameters
    ----------
    behavior : CrashBehavior, optional
        How the workers answer and crash.

    Attributes
    ----------
    bad_parts, bad_versions : set of str
        Parts that crash workers, and the software versions whose workers they crash.
    asked : list of Asked
        Requests that have been answered.
    in_touch_s : dict of str to float
        When routers that have started later know what the others do.
    """

    def __init__(self, behavior: CrashBehavior = DEFAULT_BEHAVIOR) -> None:
        super().__init__()
        self.behavior = behavior
        self.bad_parts = {BAD}
        self.bad_versions = {"v1"}
        self.crashing: list[CrashingWorker] = []
        self.asked: list[Asked] = []
        self.in_touch_s: dict[str, float] = {}

    async def start(
        self, zones: tuple[str, ...], workers: int, connect: Connect = open_channel
    ) -> None:
        """Start all; `connect` opens the connections of the first router to workers."""
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

    async def add_crashing_worker(self, name: str, zone: str) -> CrashingWorker:
        """Start a worker and register it in the store."""

        async def write_entry(worker: CrashingWorker) -> None:
            await self.store.write(
                "servers", worker.name, worker.describe("desk", zone)
            )

        async def remove_entry(name: str) -> None:
            await self.store.write("servers", name, None)

        def is_bad(version: str, part: str) -> bool:
            return part in self.bad_parts and version in self.bad_versions

        worker = CrashingWorker(name, is_bad, write_entry, remove_entry, self.behavior)
        await self.register_worker(worker, zone=zone)
        self.crashing.append(worker)
        return worker

    async def change_version(self, worker: CrashingWorker, version: str) -> None:
        """Change the software version of a worker."""
        worker.software_version = version
        await self.store.write("servers", worker.name, worker.describe("desk"))

    async def wait_versions(self, versions: set[str]) -> None:
        """Wait until all routers know workers of some software versions."""

        def has_versions(router: EdgeApplication) -> bool:
            endpoints = router.view.list_live("desk")
            return {e.software_version for e in endpoints} == versions

        await self.wait(lambda: all(map(has_versions, self.routers)))

    def list_crashes_s(self) -> list[float]:
        """Return the times of all crashes."""
        return sorted(s for worker in self.crashing for s in worker.crashed_s)

    def list_part_crashes_s(self) -> list[float]:
        """Return the times of the crashes that a part caused."""
        return sorted(s for worker in self.crashing for s in worker.crashed_by_part_s)

    def count_sends(self, since_s: float, part: str = BAD) -> int:
        """Return how many requests with a part have reached workers since a time.

        Those of routers that were not in touch yet don't count.
        """
        return sum(
            arrived_s >= max(since_s, self._find_in_touch_s(request.request_id))
            and part in request.headers["x-prompt-prefix"]
            for worker in self.crashing
            for arrived_s, request in worker.arrived
        )

    def _find_in_touch_s(self, request_id: str) -> float:
        return self.in_touch_s.get(request_id.partition(" ")[0], 0.0)

    async def ask_for(
        self,
        duration_s: float,
        make_prompt: MakePrompt,
        target: str = "/stream/",
        label: str = "a",
    ) -> None:
        """Send requests to the routers in turn, at a fixed rate."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        tasks = []
        for number in itertools.count():
            if loop.time() >= end_s:
                break
            router = self.routers[number % len(self.routers)]
            prompt = make_prompt(number)
            asking = self.ask_router(
                router, f"{target}{number}", f"{label}-{number}", prompt
            )
            tasks.append(asyncio.create_task(asking))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def ask_router(
        self, router: EdgeApplication, target: str, request_id: str, prompt: list[str]
    ) -> None:
        """Send one request, and record whether it was served.

        Its id begins with the name of the router.
        """
        request_id = f"{router.settings.name} {request_id}"
        sent_s = asyncio.get_running_loop().time()
        text = ",".join(f"{part}:100" for part in prompt)
        headers = {"X_Prompt_Prefix": text, "X_Model": "m"}
        try:
            answer = await ask(router, target, request_id, body=b"x", **headers)
            is_served = answer.status == 200 and answer.is_whole
        except (OSError, asyncio.IncompleteReadError):
            # The router has ended.
            is_served = False
        self.asked.append(Asked(sent_s, bool(self.bad_parts & {*prompt}), is_served))

    def find_served_share(self, since_s: float) -> float:
        """Return the share of sound requests since a time that were served."""
        sound = [a.is_served for a in self.asked if not a.is_bad and a.sent_s > since_s]
        if not sound:
            raise ValueError("no sound request was answered")
        return sum(sound) / len(sound)


def make_prompts(position: int, bad_every: int = BAD_EVERY) -> MakePrompt:
    """Return a function that makes prompts, of which some have a bad part.

    The others share all parts but that and the last one with these.
    """

    def make(number: int) -> list[str]:
        prompt = ["shared0", f"shared{1 + number % 3}", "shared9"]
        if number % bad_every == bad_every - 1:
            prompt.insert(position, BAD)
        return [*prompt, f"own{number}"]

    return make
