"""Randomized soak test of routers cut off from endpoints, and of brittle endpoints.

``python -m soak.cuts --seed 1 --seeds 50`` runs seeds one after the other.  All routers
of a seed run in one process, so that the links of each of them can be cut while
clients, the store and the other routers reach it.
"""

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable

from soak.callers import EVENTS, Caller, Exchange, find_violations
from soak.command import run_seeds
from soak.links import CutMode, EndpointLinks
from tamarackrill.testing.edge import EdgeFleet, make_route
from tamarackrill.testing.worker import BrittleWorker, make_streaming

ZONES = ("a", "a", "a", "b", "b", "c")
ROUTES = (
    make_route("/lookup/", "idempotent", attempts=3),
    make_route("/confirm/", "non_idempotent"),
    make_route("/resumed/", "streaming", stream_resume=True, service="writer"),
)
CUT_MODES: tuple[CutMode, ...] = ("silent", "reset", "new")
WORKERS = 3
SLOTS = 6
WAITING_MAX = 4
REJECTED_MAX = 10
# Falls tolerated while the workers of a service are brittle.
FALLS_MAX = 2 + WORKERS / 10
CALLERS = 20
FAULTS_S = 8.0
RECOVERY_S = 4.0
FAULT_PAUSE_S = 0.7
FAULT_MAX_S = 3.0
SETTLE_MAX_S = 5.0
# Share of late requests that must be served.
SERVED_SHARE_MIN = 0.9


class CutSoak:
    """Soak test of one seed."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._links = [EndpointLinks() for _ in ZONES]
        self._workers: list[BrittleWorker] = []
        self.faults: list[str] = []
        self.exchanges: list[Exchange] = []

    async def run(self) -> list[str]:
        """Run the test, and return a description of each violated guarantee."""
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, *ROUTES)
            for number in range(WORKERS):
                zone = "abc"[number]
                worker = BrittleWorker(
                    f"desk-{number}", SLOTS, WAITING_MAX, REJECTED_MAX
                )
                self._workers.append(worker)
                await fleet.register_worker(worker, zone=zone)
                await fleet.add_worker(
                    f"writer-{number}",
                    make_streaming(EVENTS),
                    service="writer",
                    zone=zone,
                )
            for number, zone in enumerate(ZONES):
                await fleet.add_router(
                    f"router-{number}", zone, connect=self._links[number].connect
                )
            try:
                return await self._run_scenario(fleet)
            finally:
                for links in self._links:
                    await links.stop()

    async def _run_scenario(self, fleet: EdgeFleet) -> list[str]:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + FAULTS_S
        addresses = [router.settings.callers_address for router in fleet.routers]
        callers = [
            asyncio.create_task(
                Caller(f"caller-{n}", addresses, self._rng, self.exchanges).run(
                    end_s + RECOVERY_S
                )
            )
            for n in range(CALLERS)
        ]
        injectors: tuple[Callable[[EdgeFleet], Awaitable[None]], ...] = (
            self._cut_routers,
            self._shrink_waiting_room,
        )
        faults = set()
        while loop.time() < end_s:
            inject = self._rng.choice(injectors)
            faults.add(asyncio.create_task(inject(fleet)))  # type: ignore[arg-type]
            await asyncio.sleep(self._rng.random() * 2 * FAULT_PAUSE_S)
        await asyncio.gather(*faults)
        for links in self._links:
            links.restore()
        recovered_s = loop.time()
        violations = await self._find_paths_kept(fleet)
        await asyncio.gather(*callers)
        violations += find_violations(self.exchanges, fleet.workers)
        falls = sum(worker.falls for worker in self._workers)
        if falls > FALLS_MAX:
            violations.append(f"brittle workers fell over {falls} times")
        late = [e for e in self.exchanges if e.sent_s > recovered_s + RECOVERY_S / 2]
        served = [e for e in late if e.response and e.response.status == 200]
        if len(served) < SERVED_SHARE_MIN * len(late):
            violations.append(f"{len(served)} of {len(late)} served after recovery")
        return violations

    async def _cut_routers(self, fleet: EdgeFleet) -> None:
        """Cut some routers off from the endpoints of one service, or of all."""
        mode = self._rng.choice(CUT_MODES)
        service = self._rng.choice(["desk", "writer", ""])
        numbers = self._rng.sample(range(len(ZONES)), self._rng.randint(1, 4))
        self.faults.append(f"routers {numbers} {mode} from {service or 'all'}")
        addresses = [w.address for w in fleet.workers if w.name.startswith(service)]
        for number in numbers:
            self._links[number].cut(mode, addresses)
        await asyncio.sleep(self._rng.random() * FAULT_MAX_S)
        for number in numbers:
            self._links[number].restore()

    async def _shrink_waiting_room(self, fleet: EdgeFleet) -> None:
        """Let fewer requests wait at brittle workers."""
        waiting_max = self._rng.randint(0, 1)
        self.faults.append(f"{waiting_max} may wait")
        for worker in self._workers:
            worker.waiting_max = waiting_max
        await asyncio.sleep(self._rng.random() * FAULT_MAX_S)
        for worker in self._workers:
            worker.waiting_max = WAITING_MAX

    async def _find_paths_kept(self, fleet: EdgeFleet) -> list[str]:
        """Report routers that keep paths through others after all cuts have ended."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + SETTLE_MAX_S
        kept = fleet.routers
        while kept and loop.time() < until_s:
            await asyncio.sleep(FAULT_PAUSE_S / 10)
            kept = [r for r in kept if r.relays.paths.reachable]
        return [f"{r.settings.name} keeps paths through others" for r in kept]


def run_seed(seed: int) -> list[str]:
    """Run one seed, and return a description of each violated guarantee."""
    soak = CutSoak(seed)
    violations = asyncio.run(soak.run())
    served = sum(
        item.response is not None and item.response.status == 200
        for item in soak.exchanges
    )
    print(
        f"seed {seed}: {len(soak.faults)} faults, "
        f"{served} of {len(soak.exchanges)} served",
        flush=True,
    )
    for line in violations:
        print(f"  BROKEN {line}", flush=True)
    if violations:
        print(f"  faults: {', '.join(soak.faults)}", flush=True)
    return violations


if __name__ == "__main__":
    sys.exit(run_seeds("Soak test of cut links.", run_seed))
