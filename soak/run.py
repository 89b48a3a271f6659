"""Randomized soak test: router processes with stand-ins and injected faults.

``make soak SEEDS=50`` runs seeds one after the other, ``python -m soak.run --seed 7``
one of them.  Each runs callers for a few seconds under sequential and overlapping
faults, ends the faults, and checks the guarantees against what callers and workers
observed.  It signals only processes that it started.
"""

import argparse
import asyncio
import random
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

from soak.callers import (
    EVENTS,
    LONG_TIMEOUT_MS,
    Caller,
    Exchange,
    find_violations,
    send_long,
)
from soak.faults import Proxy
from soak.peers import PeerNetwork
from tamarackrill.testing.edge import EdgeFleet, make_route
from tamarackrill.testing.edge_processes import EdgeProcess, choose_addresses
from tamarackrill.testing.ports import find_free_port
from tamarackrill.testing.worker import (
    Behave,
    Worker,
    WorkerRequest,
    answer_ok,
    in_turn,
    make_streaming,
    refuse_full,
)

WORKERS = 3
CALLERS = 8
# Maximum number of seed routers in the settings of each router.
SEED_ROUTERS_MAX = 3
FAULTS_S = 8.0
RECOVERY_S = 4.0
FAULT_PAUSE_S = 0.7
PAUSE_MAX_S = 1.5
# Requests that take long and are sent to a router before it is told to stop, and as
# many after that; they outlast the grace period of four seconds.
LONG_CALLS = 3
LONG_WORK_S = 3.7
ROUTES = (
    make_route("/lookup/", "idempotent"),
    make_route("/confirm/", "non_idempotent", attempts=1),
    make_route("/resumed/", "streaming", stream_resume=True, service="writer"),
    make_route("/long/", "non_idempotent", attempts=1, timeout_ms=LONG_TIMEOUT_MS),
)


FaultInjector = Callable[[EdgeFleet], Awaitable[None]]


class Topology(NamedTuple):
    """Routers of a soak test, and the kinds of faults that it injects.

    Parameters
    ----------
    zones : tuple of str
        Availability zone of each router.
    has_peer_faults : bool
        Whether to inject faults into the traffic between routers too, and to send
        signals to routers while they start.
    has_evacuations : bool, optional
        Whether to evacuate zones of workers.
    has_restores : bool, optional
        Whether the store goes back to an earlier revision.
    """

    zones: tuple[str, ...]
    has_peer_faults: bool
    has_evacuations: bool = False
    has_restores: bool = False


ONE_ZONE = Topology(("z", "z", "z"), has_peer_faults=False)
TWO_ZONES = Topology(("a", "a", "b", "b"), has_peer_faults=True)
THREE_ZONES = Topology(("a", "a", "a", "b", "b", "b", "c", "c"), has_peer_faults=True)
SIXTY_ROUTERS = Topology(tuple("abcdef") * 10, has_peer_faults=True)
EVACUATED_ZONES = Topology(
    ("a", "a", "b", "b"), has_peer_faults=True, has_evacuations=True
)
RESTORED_STORE = Topology(
    ("a", "a", "a", "b", "b"), has_peer_faults=True, has_restores=True
)
TOPOLOGIES = {
    "one": ONE_ZONE,
    "two": TWO_ZONES,
    "three": THREE_ZONES,
    "many": SIXTY_ROUTERS,
    "evacuated": EVACUATED_ZONES,
    "restored": RESTORED_STORE,
}
# Zones of the workers of each service, if zones are evacuated.
WORKER_ZONES = ("a", "b", "c")
# Twice the time in which the settings demand an evacuation to be in force.
EVACUATION_BOUND_S = 2.0
EVACUATION_APPLY_MAX_S = 2 * EVACUATION_BOUND_S
# Limit for applying a manifest change: twice the normal one, since all routers share
# one machine.
MANIFEST_APPLY_MAX_S = 4.0
WATCH_POLL_S = 0.02
# Most revisions that a restore of the store loses.
REVISIONS_LOST_MAX = 6


async def _lose_answer(request: object, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def _answer_desk(request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
    if request.target.startswith("/long/"):
        await asyncio.sleep(LONG_WORK_S)
    await answer_ok(request, writer)


class Soak:
    """Soak test of one seed."""

    # Whether routers are stopped with requests that take long.
    has_long_calls = True

    def __init__(self, seed: int, folder: Path, topology: Topology = ONE_ZONE) -> None:
        self._rng = random.Random(seed)
        self._topology = topology
        self._network = PeerNetwork(random.Random(seed))
        self._unexpected_exits: list[str] = []
        self._unanswered: list[str] = []
        self._stops = 0
        self._folder = folder
        self._routers: list[EdgeProcess] = []
        self._proxies: list[Proxy] = []
        self._store_proxies: list[Proxy] = []
        self._version = 1
        self._worker_zones: dict[str, str] = {}
        self._entries: dict[str, dict[str, Any]] = {}
        self.settings_fields: dict[str, Any] = {}
        self.faults: list[str] = []
        self.exchanges: list[Exchange] = []

    async def run(self) -> list[str]:
        """Run the test, and return a description of each violated guarantee."""
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, *ROUTES)
            try:
                await self._start(fleet)
                violations = await self._run_scenario(fleet)
            finally:
                for router in self._routers:
                    router.kill()
                await self._network.stop()
                for proxy in [*self._proxies, *self._store_proxies]:
                    await proxy.stop()
        return violations

    async def _start_workers(self, fleet: EdgeFleet) -> None:
        for number in range(WORKERS):
            await self._add_worker(fleet, f"desk-{number}", "desk", _answer_desk)
            await self._add_worker(
                fleet, f"writer-{number}", "writer", make_streaming(EVENTS)
            )

    async def _start(self, fleet: EdgeFleet) -> None:
        await self._start_workers(fleet)
        peer_port = find_free_port()
        for number, zone in enumerate(self._topology.zones):
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
        seeds = [
            r.peer_address or r.addresses.peers
            for r in self._routers[:SEED_ROUTERS_MAX]
        ]
        # All VMs of a fleet use the same ports, so each router needs its own IP.
        addresses = choose_addresses(f"127.0.1.{number + 1}", peer_port)
        router = EdgeProcess(
            name,
            zone,
            proxy.address,
            seeds,
            self._folder,
            addresses=addresses,
            bounds={"evacuate_ms": 1000 * EVACUATION_BOUND_S}
            if self._topology.has_evacuations
            else None,
            fields=self.settings_fields,
        )
        if self._topology.has_peer_faults:
            advertised_address = f"127.0.2.{number + 1}:{peer_port}"
            router.peer_address = advertised_address
            await self._network.add(name, zone, addresses.peers, advertised_address)
        router.start()
        self._routers.append(router)

    async def _add_worker(
        self,
        fleet: EdgeFleet,
        name: str,
        service: str,
        behave: Behave,
        version: str = "v1",
    ) -> None:
        worker = Worker(name, behave)
        await worker.start()
        fleet.workers.append(worker)
        proxy = Proxy(worker.address)
        await proxy.start()
        self._proxies.append(proxy)
        zone = "z"
        if self._topology.has_evacuations:
            zone = WORKER_ZONES[len(self._worker_zones) // 2 % len(WORKER_ZONES)]
        spec = worker.describe(service, zone, address=proxy.address, version=version)
        self._worker_zones[name] = zone
        self._entries[name] = spec
        await fleet.store.write("servers", name, spec)

    async def _run_scenario(self, fleet: EdgeFleet) -> list[str]:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + FAULTS_S + RECOVERY_S
        addresses = [router.addresses.callers for router in self._routers]
        callers = [
            self._make_caller(f"caller-{number}", addresses)
            for number in range(CALLERS)
        ]
        caller_tasks = [asyncio.create_task(caller.run(until_s)) for caller in callers]
        watch_task = asyncio.create_task(self._watch_exits())
        end_s = loop.time() + FAULTS_S
        fault_tasks: set[asyncio.Task[None]] = set()
        while loop.time() < end_s:
            fault_tasks.add(asyncio.create_task(self._inject_fault(fleet)))
            await asyncio.sleep(self._rng.random() * 2 * FAULT_PAUSE_S)
        await asyncio.gather(*fault_tasks)
        await self._recover(fleet)
        recovered_s = loop.time()
        outdated = (
            await self._find_outdated_routers(fleet)
            if self._topology.has_peer_faults
            else []
        )
        if self._topology.has_restores:
            outdated += await self._check_restore(fleet)
        if self._topology.has_evacuations:
            outdated += await self._check_evacuation(fleet, caller_tasks)
        await asyncio.gather(*caller_tasks)
        watch_task.cancel()
        violations = [
            *self._unexpected_exits,
            *self._unanswered,
            *outdated,
            *self._find_violations(fleet),
        ]
        late = [a for a in self.exchanges if a.sent_s > recovered_s + RECOVERY_S / 2]
        served = [
            a for a in late if a.response is not None and a.response.status == 200
        ]
        if len(served) < 0.9 * len(late):
            violations.append(f"{len(served)} of {len(late)} served after recovery")
        return violations

    def _make_caller(self, name: str, addresses: list[str]) -> Caller:
        return Caller(name, addresses, self._rng, self.exchanges)

    def _find_violations(self, fleet: EdgeFleet) -> list[str]:
        return find_violations(self.exchanges, fleet.workers)

    async def _watch_exits(self) -> None:
        """Record unexpected exits of routers, and restart these routers."""
        while True:
            for router in self._routers:
                fault = router.describe_unexpected_exit()
                if fault:
                    self._unexpected_exits.append(fault)
                    router.start()
            await asyncio.sleep(WATCH_POLL_S)

    async def _find_outdated_routers(self, fleet: EdgeFleet) -> list[str]:
        """Change the manifest, and report the routers that don't apply it in time."""
        await self._change_manifest(fleet)
        outdated = {router.name for router in self._routers}
        loop = asyncio.get_running_loop()
        until_s = loop.time() + MANIFEST_APPLY_MAX_S
        while outdated and loop.time() < until_s:
            for router in self._routers:
                if await router.read_metric("manifest_version") == self._version:
                    outdated.discard(router.name)
            await asyncio.sleep(WATCH_POLL_S)
        return [f"{name} lacks version {self._version}" for name in sorted(outdated)]

    async def _check_restore(self, fleet: EdgeFleet) -> list[str]:
        """Restore the store below what routers hold, and change the manifest."""
        for _ in range(REVISIONS_LOST_MAX):
            await self._change_manifest(fleet)
        outdated = await self._find_outdated_routers(fleet)
        await fleet.store.restore(fleet.store.state.revision - REVISIONS_LOST_MAX)
        return outdated + await self._find_outdated_routers(fleet)

    async def _check_evacuation(
        self, fleet: EdgeFleet, caller_tasks: list[asyncio.Task[None]]
    ) -> list[str]:
        """Evacuate a zone; report routers that don't apply it in time, and requests."""
        zone = self._rng.choice(WORKER_ZONES)
        evacuated = [w for w in fleet.workers if self._worker_zones[w.name] == zone]
        await fleet.evacuate(zone)
        late = {router.name for router in self._routers}
        loop = asyncio.get_running_loop()
        until_s = loop.time() + EVACUATION_APPLY_MAX_S
        while late and loop.time() < until_s:
            for router in self._routers:
                if await router.read_metric("evacuated", zone):
                    late.discard(router.name)
            await asyncio.sleep(WATCH_POLL_S)
        if late:
            return [f"{name} sends to evacuated zone {zone}" for name in sorted(late)]
        counts = [len(worker.requests) for worker in evacuated]
        await asyncio.gather(*caller_tasks)
        return [
            f"{worker.name} got requests in evacuated zone {zone}"
            for worker, count in zip(evacuated, counts, strict=True)
            if len(worker.requests) > count
        ]

    async def _evacuate_zone(self, fleet: EdgeFleet) -> None:
        """Evacuate a zone for a while."""
        zone = self._rng.choice(WORKER_ZONES)
        self.faults.append(f"zone {zone} evacuated")
        await fleet.evacuate(zone)
        await asyncio.sleep(self._rng.random() * 2 * PAUSE_MAX_S)
        await fleet.evacuate(zone, False)

    async def _inject_fault(self, fleet: EdgeFleet) -> None:
        await self._rng.choice(self._list_injectors())(fleet)

    def _list_injectors(self) -> tuple[FaultInjector, ...]:
        injectors: tuple[FaultInjector, ...] = (
            self._fault_router,
            self._fault_worker_path,
            self._fault_store,
            self._fault_worker,
            self._change_manifest,
        )
        if self._topology.has_peer_faults:
            injectors += (
                self._fault_startup,
                self._fault_peer_datagrams,
                self._partition_zone,
            )
        if self._topology.has_evacuations:
            injectors += (self._evacuate_zone,)
        return injectors

    async def _fault_startup(self, fleet: EdgeFleet) -> None:
        """Restart a router, and send it one to three signals while it starts."""
        router = self._rng.choice(self._routers)
        count = self._rng.randint(1, 3)
        numbers = [
            self._rng.choice([signal.SIGHUP, signal.SIGTERM]) for _ in range(count)
        ]
        names = " ".join(number.name for number in numbers)
        self.faults.append(f"{router.name} starts {names}")
        router.signal(signal.SIGKILL)
        await router.wait_ended()
        if router.is_running:
            return
        router.start()
        over_s = self._rng.random()
        are_sent = await router.signal_listening(*numbers, over_s=over_s)
        if are_sent and signal.SIGTERM in numbers:
            await router.wait_ended()
            if not router.is_running:
                router.start()

    async def _fault_peer_datagrams(self, fleet: EdgeFleet) -> None:
        """Delay or drop datagrams to a router for a while."""
        name = self._rng.choice(self._routers).name
        kind = self._rng.choice(["late", "lossy"])
        self.faults.append(f"datagrams to {name} {kind}")
        affected = self._network.late if kind == "late" else self._network.lossy
        affected.add(name)
        await asyncio.sleep(self._rng.random() * 2 * PAUSE_MAX_S)
        affected.discard(name)

    async def _partition_zone(self, fleet: EdgeFleet) -> None:
        """Drop datagrams between a zone and the others, one way or both."""
        zones = sorted(set(self._topology.zones))
        zone = self._rng.choice(zones)
        ways = self._rng.choice(["to", "from", "both"])
        self.faults.append(f"datagrams {ways} zone {zone} cut")
        others = [other for other in zones if other != zone]
        to = {(other, zone) for other in others} if ways != "from" else set()
        back = {(zone, other) for other in others} if ways != "to" else set()
        self._network.cut |= to | back
        await asyncio.sleep(self._rng.random() * 2 * PAUSE_MAX_S)
        self._network.cut -= to | back

    async def _fault_router(self, fleet: EdgeFleet) -> None:
        router = self._rng.choice(self._routers)
        kind = self._rng.choice(["kill", "stop", "pause", "hup"])
        self.faults.append(f"{router.name} {kind}")
        if kind == "hup":
            await router.signal_listening(signal.SIGHUP)
        elif kind == "pause":
            router.signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.random() * PAUSE_MAX_S)
            router.signal(signal.SIGCONT)
        else:
            if kind == "kill":
                router.signal(signal.SIGKILL)
                await router.wait_ended()
            elif not await self._stop_router(router):
                return
            if not router.is_running:
                router.start()

    async def _stop_router(self, router: EdgeProcess) -> bool:
        """Stop a router that is at work; return whether it was told to stop."""
        self._stops += 1
        calls = self._send_long(router, f"long-{self._stops}-before")
        is_told = await router.signal_listening(signal.SIGTERM)
        calls += self._send_long(router, f"long-{self._stops}-after")
        code = await router.wait_ended() if is_told else None
        unanswered = [name for name in await asyncio.gather(*calls) if name]
        # Another fault may have killed it meanwhile.
        if code == 0:
            self._unanswered += [f"{name} got no answer" for name in unanswered]
        return is_told

    def _send_long(
        self, router: EdgeProcess, name: str
    ) -> list[asyncio.Task[str | None]]:
        address = router.addresses.callers
        count = LONG_CALLS if self.has_long_calls else 0
        return [
            asyncio.create_task(send_long(address, f"{name}-{n}", self.exchanges))
            for n in range(count)
        ]

    async def _fault_worker_path(self, fleet: EdgeFleet) -> None:
        await self._fault_proxy(self._rng.choice(self._proxies), "worker")

    async def _fault_store(self, fleet: EdgeFleet) -> None:
        kinds = ["path", "busy", "history"]
        if self._topology.has_restores:
            kinds += ["restore", "restore"]
        kind = self._rng.choice(kinds)
        if kind == "path":
            await self._fault_proxy(self._rng.choice(self._store_proxies), "store")
            return
        self.faults.append(f"store {kind}")
        if kind == "history":
            await fleet.store.compact_history()
            return
        if kind == "restore":
            await self._restore_store(fleet)
            return
        fleet.store.status = 503
        await asyncio.sleep(self._rng.random() * PAUSE_MAX_S)
        fleet.store.status = 200

    async def _restore_store(self, fleet: EdgeFleet) -> None:
        """Let the store lose its last revisions; workers and operator write again."""
        lost = self._rng.randint(1, REVISIONS_LOST_MAX)
        await fleet.store.restore(max(1, fleet.store.state.revision - lost))
        await asyncio.sleep(self._rng.random() * PAUSE_MAX_S)
        for name, spec in self._entries.items():
            held = fleet.store.state.read("servers", name)
            if held is None or held.value is None:
                await fleet.store.write("servers", name, spec)
        await fleet.put_manifest(self._version, *ROUTES)

    async def _fault_proxy(self, proxy: Proxy, what: str) -> None:
        modes = ["delay", "silence", "one_way", "refuse", "reset"]
        mode = self._rng.choice(modes)
        self.faults.append(f"path to {what} {mode}")
        if mode == "reset":
            proxy.reset()
            return
        proxy.mode = mode  # type: ignore[assignment]
        await asyncio.sleep(self._rng.random() * PAUSE_MAX_S)
        proxy.mode = "pass"

    async def _fault_worker(self, fleet: EdgeFleet) -> None:
        worker = self._rng.choice(fleet.workers)
        is_desk = worker.name.startswith("desk")
        if is_desk:
            behave = self._rng.choice([_lose_answer, refuse_full])
            normal: Behave = _answer_desk
        else:
            last = self._rng.randrange(EVENTS)
            normal = make_streaming(EVENTS)
            behave = in_turn(make_streaming(last, is_cut=True), normal)
        self.faults.append(f"{worker.name} misbehaves")
        worker.behave = behave
        await asyncio.sleep(self._rng.random() * PAUSE_MAX_S)
        worker.behave = normal

    async def _change_manifest(self, fleet: EdgeFleet) -> None:
        self._version += 1
        self.faults.append(f"manifest {self._version}")
        await fleet.put_manifest(self._version, *ROUTES)

    async def _recover(self, fleet: EdgeFleet) -> None:
        fleet.store.status = 200
        self._network.cut.clear()
        for router in self._routers:
            if not router.is_running:
                router.start()
        for router in self._routers:
            await router.wait_ready()


def run_seed(seed: int, folder: Path, topology: Topology = ONE_ZONE) -> list[str]:
    """Run one seed, and return a description of each violated guarantee."""
    return report(seed, Soak(seed, folder, topology))


def report(seed: int, soak: Soak) -> list[str]:
    """Run a soak test, print its result, and return the violated guarantees."""
    violations = asyncio.run(soak.run())
    statuses: dict[str, int] = {}
    for item in soak.exchanges:
        key = "none" if item.response is None else str(item.response.status)
        statuses[key] = statuses.get(key, 0) + 1
    print(f"seed {seed}: {len(soak.faults)} faults, answers {statuses}", flush=True)
    for line in violations:
        print(f"  BROKEN {line}", flush=True)
    if violations:
        print(f"  faults: {', '.join(soak.faults)}", flush=True)
    return violations


def main() -> int:
    """Run the seeds of the command line; return 0 if all passed, else 1."""
    parser = argparse.ArgumentParser(
        description="Randomized soak test of router processes."
    )
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--shape", choices=TOPOLOGIES, default="one", help="topology of the fleet"
    )
    parser.add_argument(
        "--logs", type=Path, help="folder in which to keep the routers' logs"
    )
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            if options.logs is not None:
                folder = options.logs / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            failed += bool(run_seed(seed, folder, TOPOLOGIES[options.shape]))
    print(f"{options.seeds - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
