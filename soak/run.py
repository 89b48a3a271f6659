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
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from soak.callers import EVENTS, Asked, Caller, find_broken
from soak.faults import Proxy
from soak.peers import PeerNetwork
from tamarackrill.testing.edge import EdgeFleet, make_route
from tamarackrill.testing.edge_processes import EdgeProcess, choose_addresses
from tamarackrill.testing.ports import find_free_port
from tamarackrill.testing.worker import (
    Behave,
    Worker,
    answer_ok,
    in_turn,
    make_streaming,
    refuse_full,
)

WORKERS = 3
CALLERS = 8
# Routers that the settings of each name.
SEEDS = 3
PLAY_S = 8.0
HEAL_S = 4.0
FAULT_PAUSE_S = 0.7
PAUSE_MAX_S = 1.5
ROUTES = (
    make_route("/lookup/", "idempotent"),
    make_route("/confirm/", "non_idempotent", attempts=1),
    make_route("/resumed/", "streaming", stream_resume=True, service="writer"),
)


Harm = Callable[[EdgeFleet], Awaitable[None]]


class Shape(NamedTuple):
    """How many routers there are, and what may happen to them.

    Parameters
    ----------
    zones : tuple of str
        Availability zone of each router.
    has_network : bool
        Whether what routers send each other is harmed too, and whether they are
        signalled while they start.
    """

    zones: tuple[str, ...]
    has_network: bool


ONE_ZONE = Shape(("z", "z", "z"), has_network=False)
TWO_ZONES = Shape(("a", "a", "b", "b"), has_network=True)
THREE_ZONES = Shape(("a", "a", "a", "b", "b", "b", "c", "c"), has_network=True)
MANY = Shape(tuple("abcdef") * 10, has_network=True)
SHAPES = {"one": ONE_ZONE, "two": TWO_ZONES, "three": THREE_ZONES, "many": MANY}
# Time in which a change has to be in force; twice for a machine that plays it all.
IN_FORCE_MAX_S = 4.0
WATCH_EVERY_S = 0.02


async def _lose_answer(request: object, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


class Soak:
    """One seed."""

    def __init__(self, seed: int, folder: Path, shape: Shape = ONE_ZONE) -> None:
        self._chance = random.Random(seed)
        self._shape = shape
        self._network = PeerNetwork(random.Random(seed))
        self._ends: list[str] = []
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
                await self._network.stop()
                for proxy in [*self._proxies, *self._store_proxies]:
                    await proxy.stop()
        return broken

    async def _start(self, fleet: EdgeFleet) -> None:
        for number in range(WORKERS):
            await self._add_worker(fleet, f"desk-{number}", "desk", answer_ok)
            await self._add_worker(
                fleet, f"writer-{number}", "writer", make_streaming(EVENTS)
            )
        peer_port = find_free_port()
        for number, zone in enumerate(self._shape.zones):
            await self._add_router(fleet, number, zone, peer_port)
        for router in self._routers:
            await router.wait_ready()

    async def _add_router(
        self, fleet: EdgeFleet, number: int, zone: str, peer_port: int
    ) -> None:
        proxy = Proxy(fleet.store_address)
        await proxy.start()
        self._store_proxies.append(proxy)
        name = f"router-{number}"
        seeds = [r.peer_address or r.addresses.peers for r in self._routers[:SEEDS]]
        # Ports are the same on all VMs of a fleet, so that each has an address.
        addresses = choose_addresses(f"127.0.1.{number + 1}", peer_port)
        router = EdgeProcess(
            name,
            zone,
            proxy.address,
            seeds,
            self._folder,
            addresses=addresses,
        )
        if self._shape.has_network:
            reached_at = f"127.0.2.{number + 1}:{peer_port}"
            router.peer_address = reached_at
            await self._network.add(name, zone, addresses.peers, reached_at)
        router.start()
        self._routers.append(router)

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
        watching = asyncio.create_task(self._watch_ends())
        end_s = loop.time() + PLAY_S
        harms: set[asyncio.Task[None]] = set()
        while loop.time() < end_s:
            harms.add(asyncio.create_task(self._harm(fleet)))
            await asyncio.sleep(self._chance.random() * 2 * FAULT_PAUSE_S)
        await asyncio.gather(*harms)
        await self._heal(fleet)
        healed_s = loop.time()
        in_force = await self._find_late(fleet) if self._shape.has_network else []
        await asyncio.gather(*asking)
        watching.cancel()
        broken = [*self._ends, *in_force, *find_broken(self.asked, fleet.workers)]
        late = [a for a in self.asked if a.asked_s > healed_s + HEAL_S / 2]
        served = [a for a in late if a.answer is not None and a.answer.status == 200]
        if len(served) < 0.9 * len(late):
            broken.append(f"{len(served)} of {len(late)} served after all had healed")
        return broken

    async def _watch_ends(self) -> None:
        """Note routers that end without being told, and start them again."""
        while True:
            for router in self._routers:
                fault = router.find_fault()
                if fault:
                    self._ends.append(fault)
                    router.start()
            await asyncio.sleep(WATCH_EVERY_S)

    async def _find_late(self, fleet: EdgeFleet) -> list[str]:
        """Change the manifest, and return the routers that don't have it in time."""
        await self._change_manifest(fleet)
        late = {router.name for router in self._routers}
        loop = asyncio.get_running_loop()
        until_s = loop.time() + IN_FORCE_MAX_S
        while late and loop.time() < until_s:
            for router in self._routers:
                if await router.read_metric("manifest_version") == self._version:
                    late.discard(router.name)
            await asyncio.sleep(WATCH_EVERY_S)
        return [f"{name} lacks version {self._version}" for name in sorted(late)]

    async def _harm(self, fleet: EdgeFleet) -> None:
        harms: tuple[Harm, ...] = (
            self._harm_router,
            self._harm_path,
            self._harm_store,
            self._harm_worker,
            self._change_manifest,
        )
        if self._shape.has_network:
            harms += (self._harm_start, self._harm_peers, self._cut_zone)
        await self._chance.choice(harms)(fleet)

    async def _harm_start(self, fleet: EdgeFleet) -> None:
        """Start a router anew, and signal it in series while it starts."""
        router = self._chance.choice(self._routers)
        count = self._chance.randint(1, 3)
        numbers = [
            self._chance.choice([signal.SIGHUP, signal.SIGTERM]) for _ in range(count)
        ]
        names = " ".join(number.name for number in numbers)
        self.faults.append(f"{router.name} starts {names}")
        router.signal(signal.SIGKILL)
        await router.wait_ended()
        if router.is_running:
            return
        router.start()
        over_s = self._chance.random()
        are_sent = await router.signal_listening(*numbers, over_s=over_s)
        if are_sent and signal.SIGTERM in numbers:
            await router.wait_ended()
            if not router.is_running:
                router.start()

    async def _harm_peers(self, fleet: EdgeFleet) -> None:
        """Have datagrams to a router come late, or not."""
        name = self._chance.choice(self._routers).name
        kind = self._chance.choice(["late", "lossy"])
        self.faults.append(f"datagrams to {name} {kind}")
        harmed = self._network.late if kind == "late" else self._network.lossy
        harmed.add(name)
        await asyncio.sleep(self._chance.random() * 2 * PAUSE_MAX_S)
        harmed.discard(name)

    async def _cut_zone(self, fleet: EdgeFleet) -> None:
        """Cut a zone off from the others, one way or both."""
        zones = sorted(set(self._shape.zones))
        zone = self._chance.choice(zones)
        ways = self._chance.choice(["to", "from", "both"])
        self.faults.append(f"datagrams {ways} zone {zone} cut")
        others = [other for other in zones if other != zone]
        to = {(other, zone) for other in others} if ways != "from" else set()
        back = {(zone, other) for other in others} if ways != "to" else set()
        self._network.cut |= to | back
        await asyncio.sleep(self._chance.random() * 2 * PAUSE_MAX_S)
        self._network.cut -= to | back

    async def _harm_router(self, fleet: EdgeFleet) -> None:
        router = self._chance.choice(self._routers)
        kind = self._chance.choice(["kill", "stop", "pause", "hup"])
        self.faults.append(f"{router.name} {kind}")
        if kind == "hup":
            await router.signal_listening(signal.SIGHUP)
        elif kind == "pause":
            router.signal(signal.SIGSTOP)
            await asyncio.sleep(self._chance.random() * PAUSE_MAX_S)
            router.signal(signal.SIGCONT)
        else:
            if kind == "kill":
                router.signal(signal.SIGKILL)
            elif not await router.signal_listening(signal.SIGTERM):
                return
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
            await fleet.store.compact_history()
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
        self._network.cut.clear()
        for router in self._routers:
            if not router.is_running:
                router.start()
        for router in self._routers:
            await router.wait_ready()


def play_seed(seed: int, folder: Path, shape: Shape = ONE_ZONE) -> list[str]:
    """Play a seed, and return which promises were broken."""
    soak = Soak(seed, folder, shape)
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
    parser.add_argument("--shape", choices=SHAPES, default="one", help="of the fleet")
    parser.add_argument("--logs", type=Path, help="folder that keeps the routers' logs")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            if options.logs is not None:
                folder = options.logs / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            failed += bool(play_seed(seed, folder, SHAPES[options.shape]))
    print(f"{options.seeds - failed} seeds held, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
