"""A randomized soak: router processes, stand-ins, and faults from outside.

``make soak SEEDS=50`` plays seeds one after the other, ``python -m soak.run --seed 7``
one of them.  Each plays a few seconds of callers while faults come in series and
overlap, then lets all heal, and checks the promises from what callers and workers saw.
Only processes that it started are signalled.
"""

import argparse
import asyncio
import random
import signal
import sys
import tempfile
from pathlib import Path

from soak.callers import EVENTS, Asked, Caller, find_broken
from soak.faults import Proxy
from tamarackrill.testing.edge import EdgeFleet, make_route
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.worker import (
    Behave,
    Worker,
    answer_ok,
    in_turn,
    make_streaming,
    refuse_full,
)

ROUTERS = 3
WORKERS = 3
CALLERS = 8
PLAY_S = 8.0
HEAL_S = 4.0
FAULT_PAUSE_S = 0.7
PAUSE_MAX_S = 1.5
ROUTES = (
    make_route("/lookup/", "idempotent"),
    make_route("/confirm/", "non_idempotent", attempts=1),
    make_route("/resumed/", "streaming", stream_resume=True, service="writer"),
)


async def _lose_answer(request: object, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


class Soak:
    """One seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        self._chance = random.Random(seed)
        self._folder = folder
        self._routers: list[EdgeProcess] = []
        self._proxies: list[Proxy] = []
        self._store_proxies: list[Proxy] = []
        self._version = 1
        self.faults: list[str] = []
        self.asked: list[Asked] = []

    async def run(self) -> list[str]:
        """Play, and return which promises were broken."""
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, *ROUTES)
            try:
                await self._start(fleet)
                broken = await self._play(fleet)
            finally:
                for router in self._routers:
                    router.kill()
                for proxy in [*self._proxies, *self._store_proxies]:
                    await proxy.stop()
        return broken

    async def _start(self, fleet: EdgeFleet) -> None:
        for number in range(WORKERS):
            await self._add_worker(fleet, f"desk-{number}", "desk", answer_ok)
            await self._add_worker(
                fleet, f"writer-{number}", "writer", make_streaming(EVENTS)
            )
        for number in range(ROUTERS):
            proxy = Proxy(fleet.store_address)
            await proxy.start()
            self._store_proxies.append(proxy)
            seeds = [router.addresses.peers for router in self._routers]
            router = EdgeProcess(
                f"router-{number}", "z", proxy.address, seeds, self._folder
            )
            router.start()
            self._routers.append(router)
        for router in self._routers:
            await router.wait_ready()

    async def _add_worker(
        self, fleet: EdgeFleet, name: str, service: str, behave: Behave
    ) -> None:
        worker = Worker(name, behave)
        await worker.start()
        fleet.workers.append(worker)
        proxy = Proxy(worker.address)
        await proxy.start()
        self._proxies.append(proxy)
        spec = worker.describe(service, address=proxy.address)
        await fleet.store.write("servers", name, spec)

    async def _play(self, fleet: EdgeFleet) -> list[str]:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + PLAY_S + HEAL_S
        addresses = [router.addresses.callers for router in self._routers]
        callers = [
            Caller(f"caller-{number}", addresses, self._chance, self.asked)
            for number in range(CALLERS)
        ]
        asking = [asyncio.create_task(caller.run(until_s)) for caller in callers]
        end_s = loop.time() + PLAY_S
        harms: set[asyncio.Task[None]] = set()
        while loop.time() < end_s:
            harms.add(asyncio.create_task(self._harm(fleet)))
            await asyncio.sleep(self._chance.random() * 2 * FAULT_PAUSE_S)
        await asyncio.gather(*harms)
        await self._heal(fleet)
        healed_s = loop.time()
        await asyncio.gather(*asking)
        broken = find_broken(self.asked, fleet.workers)
        late = [a for a in self.asked if a.asked_s > healed_s + HEAL_S / 2]
        served = [a for a in late if a.answer is not None and a.answer.status == 200]
        if len(served) < 0.9 * len(late):
            broken.append(f"{len(served)} of {len(late)} served after all had healed")
        return broken

    async def _harm(self, fleet: EdgeFleet) -> None:
        harms = (
            self._harm_router,
            self._harm_path,
            self._harm_store,
            self._harm_worker,
            self._change_manifest,
        )
        await self._chance.choice(harms)(fleet)

    async def _harm_router(self, fleet: EdgeFleet) -> None:
        router = self._chance.choice(self._routers)
        kind = self._chance.choice(["kill", "stop", "pause", "hup"])
        self.faults.append(f"{router.name} {kind}")
        if kind == "hup":
            router.signal(signal.SIGHUP)
        elif kind == "pause":
            router.signal(signal.SIGSTOP)
            await asyncio.sleep(self._chance.random() * PAUSE_MAX_S)
            router.signal(signal.SIGCONT)
        else:
            router.signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            await router.wait_ended()
            if not router.is_running:
                router.start()

    async def _harm_path(self, fleet: EdgeFleet) -> None:
        await self._harm_proxy(self._chance.choice(self._proxies), "worker")

    async def _harm_store(self, fleet: EdgeFleet) -> None:
        kind = self._chance.choice(["path", "busy", "history"])
        if kind == "path":
            await self._harm_proxy(self._chance.choice(self._store_proxies), "store")
            return
        self.faults.append(f"store {kind}")
        if kind == "history":
            await fleet.store.forget_history()
            return
        fleet.store.status = 503
        await asyncio.sleep(self._chance.random() * PAUSE_MAX_S)
        fleet.store.status = 200

    async def _harm_proxy(self, proxy: Proxy, what: str) -> None:
        modes = ["delay", "silence", "one_way", "refuse", "reset"]
        mode = self._chance.choice(modes)
        self.faults.append(f"path to {what} {mode}")
        if mode == "reset":
            proxy.reset()
            return
        proxy.mode = mode  # type: ignore[assignment]
        await asyncio.sleep(self._chance.random() * PAUSE_MAX_S)
        proxy.mode = "pass"

    async def _harm_worker(self, fleet: EdgeFleet) -> None:
        worker = self._chance.choice(fleet.workers)
        is_desk = worker.name.startswith("desk")
        if is_desk:
            behave = self._chance.choice([_lose_answer, refuse_full])
            sound: Behave = answer_ok
        else:
            last = self._chance.randrange(EVENTS)
            sound = make_streaming(EVENTS)
            behave = in_turn(make_streaming(last, is_cut=True), sound)
        self.faults.append(f"{worker.name} misbehaves")
        worker.behave = behave
        await asyncio.sleep(self._chance.random() * PAUSE_MAX_S)
        worker.behave = sound

    async def _change_manifest(self, fleet: EdgeFleet) -> None:
        self._version += 1
        self.faults.append(f"manifest {self._version}")
        await fleet.put_manifest(self._version, *ROUTES)

    async def _heal(self, fleet: EdgeFleet) -> None:
        fleet.store.status = 200
        for router in self._routers:
            if not router.is_running:
                router.start()
        for router in self._routers:
            await router.wait_ready()


def play_seed(seed: int, folder: Path) -> list[str]:
    """Play a seed, and return which promises were broken."""
    soak = Soak(seed, folder)
    broken = asyncio.run(soak.run())
    statuses: dict[str, int] = {}
    for item in soak.asked:
        key = "none" if item.answer is None else str(item.answer.status)
        statuses[key] = statuses.get(key, 0) + 1
    print(f"seed {seed}: {len(soak.faults)} faults, answers {statuses}", flush=True)
    for line in broken:
        print(f"  BROKEN {line}", flush=True)
    if broken:
        print(f"  faults: {', '.join(soak.faults)}", flush=True)
    return broken


def main() -> int:
    """Play the seeds of the command line; the exit code tells whether all held."""
    parser = argparse.ArgumentParser(description="Randomized soak of router processes.")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--logs", type=Path, help="folder that keeps the routers' logs")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            if options.logs is not None:
                folder = options.logs / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            failed += bool(play_seed(seed, folder))
    print(f"{options.seeds - failed} seeds held, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
