"""Randomized soak test of routers that stand still while their surroundings change.

``python -m soak.standstills --seed 1 --seeds 50`` runs seeds one after the other.  One
of three router processes at a time is stopped for 1 to 6 s and goes on, repeatedly.
Meanwhile workers leave, are deleted, come back or are in evacuated zones, and manifests
change in series.  Callers keep connections open and use them also while their router
stands still.
"""

import asyncio
import random
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from soak.command import run_logged_seeds
from tamarackrill.testing.edge import EdgeAnswer, EdgeClient, make_route
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.stopped_router import NEWS_MAX_S, StoppedRouter
from tamarackrill.testing.worker import Worker, WorkerRequest, make_answer

DURATION_S = 14.0
STOPPED_S = (1.0, 6.0)
CHANGE_PAUSE_S = 0.4
CALLERS = 12
CALL_PAUSES_S = (0.02, 0.25, 0.7)
IDLE_TIMEOUTS_S = (0.6, 1.0, 15.0)
# A request this long after an answer is in time on a kept connection; the rest of the
# shortest idle timeout is for a busy machine.
KEPT_MAX_S = 0.35
WORKERS = 5
# A change is in force within `NEWS_MAX_S` at a router that runs; the rest is for a busy
# machine, and for what a router that stood still waits for.
IN_FORCE_S = NEWS_MAX_S + 0.5
ANSWER_TIMEOUT_S = 12.0


class StandstillRun(StoppedRouter):
    """One seed: faults, changes and callers.

    Attributes
    ----------
    violations : list of str
        Guarantees that did not hold.
    statuses : Counter
        Answers by status.
    """

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._rng = random.Random(seed)
        self.violations: list[str] = []
        self.statuses: Counter[int] = Counter()
        # Since when each worker must get nothing.
        self._out_s: dict[str, float] = {}
        self._version = 1
        self._ran: Counter[str] = Counter()

    async def run(self, folder: Path) -> None:
        """Run the seed."""
        await self._put(idle_s=IDLE_TIMEOUTS_S[-1])
        for number in range(WORKERS):
            await self.add_worker(
                f"w{number}", self._make_behaviour(f"w{number}"), zone=f"z{number}"
            )
        await self.start(folder)
        ends_s = asyncio.get_running_loop().time() + DURATION_S
        await asyncio.gather(
            self._stop_routers(ends_s),
            self._change(ends_s),
            *(self._call(number, ends_s) for number in range(CALLERS)),
        )
        for process in self.processes:
            exited = process.describe_unexpected_exit()
            if exited:
                self.violations.append(exited)

    def _make_behaviour(self, name: str) -> Any:
        async def behave(request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
            now_s = asyncio.get_running_loop().time()
            self._ran[request.request_id] += 1
            out_s = now_s - self._out_s.get(name, now_s)
            if out_s > IN_FORCE_S:
                self.violations.append(f"request at {name}, out for {out_s:.2f} s")
            writer.write(make_answer(request))

        return behave

    async def _put(self, idle_s: float) -> None:
        await self.put_manifest(
            self._version,
            make_route("/lookup/", "idempotent"),
            make_route("/order/", "non_idempotent"),
            *self._rng.choice([(), (make_route("/more/", "idempotent"),)]),
            limits={"idle_timeout_ms": int(idle_s * 1000)},
        )

    async def _stop_routers(self, ends_s: float) -> None:
        while asyncio.get_running_loop().time() < ends_s:
            router = self._rng.choice(self.processes)
            router.signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(self._rng.uniform(*STOPPED_S))
            finally:
                router.signal(signal.SIGCONT)
            await asyncio.sleep(self._rng.random())

    async def _change(self, ends_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < ends_s:
            kind = self._rng.choice(["manifest", "leaving", "deleted", "evacuated"])
            if kind == "manifest":
                self._version += 1
                await self._put(self._rng.choice(IDLE_TIMEOUTS_S))
            else:
                # The first two workers stay, so that there is always one.
                await self._take_out_or_back(self._rng.choice(self.workers[2:]), kind)
            await asyncio.sleep(self._rng.random() * 2 * CHANGE_PAUSE_S)

    async def _take_out_or_back(self, worker: Worker, kind: str) -> None:
        name, loop = worker.name, asyncio.get_running_loop()
        zone = f"z{name[1:]}"
        if name in self._out_s:
            del self._out_s[name]
            await self.evacuate(zone, False)
            # Another process at the address: one that was leaving doesn't come back.
            born = int(loop.time() * 1000)
            spec = worker.describe("desk", zone=zone, born=born)
            await self.store.write("servers", name, spec)
            return
        if kind == "evacuated":
            await self.evacuate(zone)
        elif kind == "deleted":
            await self.store.write("servers", name, None)
        else:
            spec = worker.describe("desk", zone=zone, state="draining")
            await self.store.write("servers", name, spec)
        self._out_s[name] = loop.time()

    async def _call(self, number: int, ends_s: float) -> None:
        loop, rng = asyncio.get_running_loop(), random.Random(f"{number}")
        router = self.processes[number % len(self.processes)]
        client: EdgeClient | None = None
        calls, answered_s = 0, 0.0
        while loop.time() < ends_s:
            if client is None or loop.time() > answered_s + KEPT_MAX_S:
                client = await self.connect(router.addresses.callers)
            calls += 1
            request_id = f"{number}-{calls}"
            target = rng.choice(["/lookup/a", "/order/a"])
            client.send(target, request_id, b"x", X_Deadline_Ms="10000")
            answer = await self._read(client, router, request_id)
            if answer is None or answer.headers.get("connection") == "close":
                client = None
            answered_s = loop.time()
            await asyncio.sleep(rng.choice(CALL_PAUSES_S))

    async def _read(
        self, client: EdgeClient, router: EdgeProcess, request_id: str
    ) -> EdgeAnswer | None:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await client.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.violations.append(
                f"{request_id} has no answer, and ran {self._ran[request_id]} times"
            )
            self.statuses[0] += 1
            return None
        except TimeoutError:
            self.violations.append(f"{request_id} has no answer from {router.name}")
            return None
        self.statuses[answer.status] += 1
        if answer.status not in (200, 503):
            self.violations.append(f"{request_id}: status {answer.status}")
        ran = self._ran[request_id]
        if answer.status == 503 and ran:
            self.violations.append(f"{request_id} was refused and ran")
        return answer


def run_seed(seed: int, folder: Path) -> list[str]:
    """Run one seed; return a description of each violated guarantee."""

    async def run() -> StandstillRun:
        async with StandstillRun(seed) as fleet:
            await fleet.run(folder)
            return fleet

    fleet = asyncio.run(run())
    outcome = "BROKEN " + "; ".join(fleet.violations[:5]) if fleet.violations else "ok"
    print(f"seed {seed}: {dict(fleet.statuses)} {outcome}", flush=True)
    return fleet.violations


if __name__ == "__main__":
    sys.exit(run_logged_seeds("Soak test of routers that stand still.", run_seed))
