"""Randomized soak test of surges and leaving workers while the fleet changes.

``python -m soak.surges --seed 1 --seeds 50`` runs seeds one after the other: odd ones a
surge on brittle workers, even ones a worker that leaves and a store that is restored;
with every fourth the worker's entry is deleted.  In every sixth, routers are killed
while requests wait for slots and the worker leaves.
All routers of a seed run in one process, whose datagrams can be lost or late.
"""

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable

from soak.command import run_seeds
from tamarackrill.testing.brittle_fleet import (
    FALLS_MAX,
    SURGE_S,
    BrittleFleet,
    SurgeResult,
    run_surge,
)
from tamarackrill.testing.drain_fleet import DrainFleet, run_drain

ROUTERS = (6, 10, 16)
REJECTED_MAX = (2, 4, 6, 10)
FAULTS_UNTIL_S = SURGE_S - 3.0
FAULT_PAUSE_S = 0.8
FAULT_MAX_S = 3.0
# Routers that keep running through all faults.
LIVE_MIN = 4
# Least share of the callers that is served; 0.4 fit in at most.
SERVED_SHARE_MIN = 0.15
# Time after which the platform removes the entry of a worker that doesn't write it.
HEARTBEATS_S = 3.6
# Share of the requests answered while a worker leaves and the store is restored.
ANSWERED_SHARE_MIN = 0.9


class SurgeFaults:
    """Faults of one seed, in series and overlapping."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.names: list[str] = []

    async def inject(self, surge: BrittleFleet) -> None:
        """Inject random faults until shortly before the surge ends."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + FAULTS_UNTIL_S
        choices: tuple[Callable[[BrittleFleet], Awaitable[None]], ...] = (
            self._replace,
            self._kill,
            self._start,
            self._cut,
            self._delay,
            self._delay_some,
        )
        faults: list[asyncio.Task[None]] = []
        while loop.time() < end_s:
            fault = self._rng.choice(choices)
            self.names.append(fault.__name__.strip("_"))
            faults.append(asyncio.ensure_future(fault(surge)))  # type: ignore[arg-type]
            await asyncio.sleep(self._rng.random() * 2 * FAULT_PAUSE_S)
        await asyncio.gather(*faults)

    async def _replace(self, surge: BrittleFleet) -> None:
        if len(surge.fleet.routers) > LIVE_MIN:
            await surge.replace_router(self._rng.random() * 0.5)

    async def _kill(self, surge: BrittleFleet) -> None:
        if len(surge.fleet.routers) > LIVE_MIN:
            await surge.kill_router()

    async def _start(self, surge: BrittleFleet) -> None:
        await surge.start_router()

    async def _cut(self, surge: BrittleFleet) -> None:
        count = len(surge.fleet.routers)
        surge.cut(*self._rng.choice([(), (count // 2, count), (count - 2,)]))
        await asyncio.sleep(self._rng.random() * FAULT_MAX_S)
        surge.links.groups = []

    async def _delay(self, surge: BrittleFleet) -> None:
        surge.links.latency_s = self._rng.choice([0.03, 0.08, 0.2])
        await asyncio.sleep(self._rng.random() * FAULT_MAX_S)
        surge.links.latency_s = 0.0

    async def _delay_some(self, surge: BrittleFleet) -> None:
        routers = self._rng.sample(surge.fleet.routers, LIVE_MIN // 2)
        ports = [router.settings.peer_port for router in routers]
        surge.links.latencies_s |= dict.fromkeys(ports, self._rng.choice([0.08, 1.0]))
        await asyncio.sleep(self._rng.random() * FAULT_MAX_S)
        for port in ports:
            surge.links.latencies_s.pop(port, None)


def find_surge_violations(result: SurgeResult) -> list[str]:
    """Describe the violated guarantees of a surge."""
    violations = []
    if result.falls > FALLS_MAX:
        violations.append(f"brittle workers fell over {result.falls} times")
    if result.served_share < SERVED_SHARE_MIN:
        violations.append(f"{result.served} of {result.requests} callers served")
    return violations


def _run_surge_seed(seed: int) -> list[str]:
    rng = random.Random(seed)
    faults = SurgeFaults(seed)
    routers, rejected_max = rng.choice(ROUTERS), rng.choice(REJECTED_MAX)
    result = asyncio.run(run_surge(faults.inject, seed, routers, rejected_max))
    print(
        f"seed {seed}: {routers} routers, {rejected_max} rejections, {result.falls} "
        f"falls, {result.served} of {result.requests} served; "
        f"{', '.join(faults.names)}",
        flush=True,
    )
    return find_surge_violations(result)


async def _disturb_drain(fleet: DrainFleet, rng: random.Random) -> None:
    """Restore the store, and replace routers before, while and after it is away."""
    away_s, again_s = rng.uniform(0.2, 1.2), rng.uniform(0.5, HEARTBEATS_S)

    async def restore() -> None:
        await fleet.restore_store(away_s)
        await asyncio.sleep(again_s)
        await fleet.write_leaving()

    await asyncio.sleep(rng.uniform(0.5, 1.5))
    restoring = asyncio.ensure_future(restore())
    for _ in range(rng.randint(1, 3)):
        await fleet.replace_routers(fleet.choose_routers(rng.randint(1, 4)))
        await asyncio.sleep(rng.random())
    await restoring


async def _kill_routers(fleet: DrainFleet, rng: random.Random) -> None:
    """Kill some routers, those that grant slots among them, while requests wait."""
    for _ in range(rng.randint(1, LIVE_MIN - 2)):
        await asyncio.sleep(rng.uniform(0.0, 1.5))
        await fleet.fleet.kill_router(rng.choice(fleet.fleet.routers))


def _run_waiting_seed(seed: int) -> list[str]:
    rng = random.Random(seed)
    fleet = asyncio.run(
        run_drain(
            lambda fleet: _kill_routers(fleet, rng),
            seed,
            is_deleted=rng.random() < 0.5,
            is_waiting=True,
            routers=LIVE_MIN,
        )
    )
    late_s, answered = fleet.find_late_s(), fleet.answers.count(200)
    print(
        f"seed {seed}: waiting, {len(late_s)} late, "
        f"{answered} of {len(fleet.answers)} served",
        flush=True,
    )
    return [f"{len(late_s)} requests reached the worker late: {late_s}"] * bool(late_s)


def _run_drain_seed(seed: int) -> list[str]:
    rng = random.Random(seed)
    is_deleted = seed % 4 == 0
    fleet = asyncio.run(
        run_drain(lambda fleet: _disturb_drain(fleet, rng), seed, is_deleted)
    )
    late_s, answered = fleet.find_late_s(), fleet.answers.count(200)
    print(
        f"seed {seed}: {'deleted' if is_deleted else 'draining'}, {len(late_s)} late, "
        f"{answered} of {len(fleet.answers)} served",
        flush=True,
    )
    violations = []
    if late_s:
        violations.append(f"{len(late_s)} requests reached the worker late: {late_s}")
    if answered < ANSWERED_SHARE_MIN * len(fleet.answers):
        violations.append(f"{answered} of {len(fleet.answers)} requests answered")
    return violations


def run_seed(seed: int) -> list[str]:
    """Run one seed, and return a description of each violated guarantee."""
    if seed % 2:
        violations = _run_surge_seed(seed)
    else:
        run = _run_waiting_seed if seed % 6 == 0 else _run_drain_seed
        violations = run(seed)
    for line in violations:
        print(f"  BROKEN {line}", flush=True)
    return violations


if __name__ == "__main__":
    sys.exit(run_seeds("Soak test of surges and leaving workers.", run_seed))
