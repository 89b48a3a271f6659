"""Randomized soak test of parts of prompts that crash endpoints.

``python -m soak.parts --seed 1 --seeds 50`` runs seeds one after the other.  All
routers of a seed run in one process, so that their links can be cut one by one.
"""

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable

from soak.command import run_seeds
from soak.links import CutMode, EndpointLinks
from tamarackrill.decisions.hashing import hash_name
from tamarackrill.testing.crashing_fleet import BAD, CrashingFleet, make_prompts
from tamarackrill.testing.crashing_worker import CrashBehavior

CUT_MODES: tuple[CutMode, ...] = ("silent", "reset", "new")
FAULTS_S = 10.0
QUIET_S = 3.0
FAULT_PAUSE_S = 1.0
FAULT_MAX_S = 2.0
STABLE_WINDOW_S = 3.0
CRASHES_KNOWN = 5
LATE_SENDS_MAX = 3
# Share of sound requests that are served once the part is known.
SERVED_SHARE_MIN = 0.9


class PartSoak:
    """Soak test of one seed."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        # A proxy accepts connections to an endpoint that has ended, so that crashes
        # look like cut links.
        self._links = EndpointLinks()
        self._links.is_direct = True
        behavior = CrashBehavior(
            down_s=self._rng.choice([0.0, 0.5, 2.0]),
            sent_before_crash=self._rng.randint(0, 1),
        )
        self._fleet = CrashingFleet(behavior)
        self.faults: list[str] = []
        self.summary = ""

    async def run(self) -> list[str]:
        """Run the test, and return a description of each violated guarantee."""
        async with self._fleet as fleet:
            zones = tuple(
                self._rng.choice("abc") for _ in range(self._rng.randint(2, 6))
            )
            workers = self._rng.randint(8, 14)
            await fleet.start(zones, workers, self._links.connect)
            try:
                return await self._run_scenario(fleet)
            finally:
                await self._links.stop()

    async def _run_scenario(self, fleet: CrashingFleet) -> list[str]:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + FAULTS_S
        prompts = make_prompts(self._rng.randint(0, 3), self._rng.randint(3, 12))
        target = self._rng.choice(["/stream/", "/plain/"])
        asking = asyncio.create_task(fleet.ask_for(FAULTS_S + QUIET_S, prompts, target))
        injectors: tuple[Callable[[CrashingFleet], Awaitable[None]], ...] = (
            self._crash_workers,
            self._cut_router,
            self._replace_router,
        )
        faults = set()
        while loop.time() < end_s:
            await asyncio.sleep(self._rng.random() * 2 * FAULT_PAUSE_S)
            inject = self._rng.choice(injectors)
            faults.add(asyncio.create_task(inject(fleet)))  # type: ignore[arg-type]
        await asyncio.gather(*faults)
        self._links.restore()
        await asyncio.gather(asking)
        return self._find_violations(fleet, end_s)

    async def _crash_workers(self, fleet: CrashingFleet) -> None:
        """Crash some workers for other reasons than a part."""
        count = self._rng.randint(1, 3)
        self.faults.append(f"{count} workers end")
        for worker in self._rng.sample(fleet.crashing, count):
            await worker.crash()

    async def _cut_router(self, fleet: CrashingFleet) -> None:
        """Cut the first router off from all workers."""
        mode = self._rng.choice(CUT_MODES)
        self.faults.append(f"first router {mode}")
        self._links.cut(mode, [worker.address for worker in fleet.crashing])
        await asyncio.sleep(self._rng.random() * FAULT_MAX_S)
        self._links.restore()

    async def _replace_router(self, fleet: CrashingFleet) -> None:
        """Start one more router, and end another without a word."""
        name = f"router-{len(self.faults)}-later"
        self.faults.append(f"{name} starts")
        await fleet.add_router(name, self._rng.choice("abc"))
        started_s = asyncio.get_running_loop().time()
        fleet.in_touch_s[name] = started_s + STABLE_WINDOW_S
        if len(fleet.routers) > 2:
            ended = fleet.routers[1]
            self.faults.append(f"{ended.settings.name} ends")
            await fleet.kill_router(ended)

    def _find_violations(self, fleet: CrashingFleet, end_s: float) -> list[str]:
        violations = []
        crashes_s = fleet.list_part_crashes_s()
        late = 0
        if len(crashes_s) >= CRASHES_KNOWN:
            late = fleet.count_sends(crashes_s[CRASHES_KNOWN - 1] + STABLE_WINDOW_S)
        if late > LATE_SENDS_MAX:
            violations.append(f"{late} late sends of the part")
        for router in fleet.routers:
            for block in router.guard.faults.list_blocks():
                # A block keeps away only the prompts that have all of its parts.
                if hash_name(BAD) not in block.parts:
                    violations.append(f"{router.settings.name}: sound parts blocked")
        served = fleet.find_served_share(end_s)
        if served < SERVED_SHARE_MIN:
            violations.append(f"{served:.2f} of sound requests served at the end")
        self.summary = (
            f"{len(self.faults)} faults, {len(crashes_s)} crashes by the part, "
            f"{late} late sends, {served:.2f} of sound requests served at the end"
        )
        return violations


def run_seed(seed: int) -> list[str]:
    """Run one seed, and return a description of each violated guarantee."""
    soak = PartSoak(seed)
    violations = asyncio.run(soak.run())
    print(f"seed {seed}: {soak.summary}", flush=True)
    for line in violations:
        print(f"  BROKEN {line}", flush=True)
    if violations:
        print(f"  faults: {', '.join(soak.faults)}", flush=True)
    return violations


if __name__ == "__main__":
    sys.exit(run_seeds("Soak test of parts of prompts.", run_seed))
