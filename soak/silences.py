"""Randomized soak test of workers that fall silent and go on while others refuse.

``python -m soak.silences --seed 1 --seeds 50`` runs seeds one after the other.  All
routers of a seed run in one process.  No worker breaks off what it has begun to answer,
so that no answer may end early.  Meanwhile routes change and move to another service,
a zone is evacuated, workers leave or lose their entries and others join, a router
stops, and some clients leave.
"""

import asyncio
import math
import random
import sys
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from soak.command import run_seeds
from tamarackrill.router.edge_app import EdgeApplication
from tamarackrill.testing.edge import (
    EdgeAnswer,
    EdgeClient,
    EdgeFleet,
    make_manifest,
    make_route,
)
from tamarackrill.testing.worker import (
    Worker,
    WorkerRequest,
    make_answer,
    make_chunk,
    make_event,
    make_stream_head,
    refuse_full,
)

ROUTERS, WORKERS, CALLERS = 3, 4, 16
SERVICES = ("desk", "annex")
ANNEX_WORKERS = 2
ZONES = ("z", "y")
EVENTS = 12
WHOLE = b"".join(make_event(number) for number in range(1, EVENTS + 1))
EVENT_S, LOOKUP_S = 0.05, 0.1
FAULTS_S = 8.0
CALL_PAUSE_S = 0.4
FAULT_PAUSE_S = 0.7
REFUSING_SHARE = 0.4
SILENCE_MIN_S, SILENCE_MAX_S = 1.0, 4.0
REFUSALS = ("full", "error", "close", "cut", "hang")
# Longer than all silences together.
TIME_MAX_MS = 20_000
# A router that stops has time for all silences.
GRACE_S = 30.0
LEAVING_SHARE = 0.1
LEAVES_MAX_S = 3.0
# After this long no worker may work for a client that has left.
GONE_S = 0.5
GONE_SHARE_MAX = 0.25
# Two workers may work on a stream for this long.
TOGETHER_MAX_S = 0.4
LAG_PERIOD_S = 0.01
# Time after the faults, and the share of its requests that is served.
RECOVERY_S = 2.0
SERVED_SHARE_MIN = 0.9


class Run:
    """What one worker did for one request.

    Attributes
    ----------
    began_s : float or None
        When it began to send events, None if it didn't.
    ended_s : float
        When it ended.
    was_ended : bool
        Whether the router ended it.
    """

    def __init__(self, request_id: str, service: str) -> None:
        self.request_id = request_id
        self.service = service
        self.began_s: float | None = None
        self.ended_s = math.inf
        self.was_ended = False


class SilentWorker(Worker):
    """Worker that can be silent in the middle of its answers, or refuse requests.

    Attributes
    ----------
    refusal : str
        What new requests get; empty if they are served.
    runs : list of Run
        Requests that it worked on.
    """

    def __init__(self, name: str, service: str, zone: str) -> None:
        super().__init__(name, self._act)
        self.service = service
        self.zone = zone
        self.refusal = ""
        self.runs: list[Run] = []
        self._goes_on = asyncio.Event()
        self._goes_on.set()

    async def fall_silent(self, silent_s: float) -> None:
        """Send nothing for a while."""
        self._goes_on.clear()
        await asyncio.sleep(silent_s)
        self._goes_on.set()

    async def _act(self, request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
        if self.refusal:
            await self._refuse(request, writer)
            return
        run = Run(request.request_id, self.service)
        self.runs.append(run)
        try:
            await self._serve_request(request, writer, run)
        except asyncio.CancelledError:
            run.was_ended = True
            raise
        finally:
            run.ended_s = _read_clock()

    async def _serve_request(
        self, request: WorkerRequest, writer: asyncio.StreamWriter, run: Run
    ) -> None:
        if request.target.startswith("/lookup/"):
            await asyncio.sleep(LOOKUP_S)
            answer = make_answer(request)
            # A silence may begin within the body.
            for part in (answer[:-1], answer[-1:]):
                await self._goes_on.wait()
                writer.write(part)
                await asyncio.sleep(EVENT_S / 2)
            return
        writer.write(make_stream_head(request))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            data = make_chunk(make_event(number))
            half = len(data) // 2
            # A silence may begin inside an event.
            for part in (data[:half], data[half:]):
                await asyncio.sleep(EVENT_S / 2)
                await self._goes_on.wait()
                if run.began_s is None:
                    run.began_s = _read_clock()
                writer.write(part)
        writer.write(make_chunk(b""))

    async def _refuse(
        self, request: WorkerRequest, writer: asyncio.StreamWriter
    ) -> None:
        is_new_stream = "last-event-id" not in request.headers and (
            request.target.startswith("/stream/")
        )
        # A new stream is not sent elsewhere before its first event.
        if self.refusal == "full" or (self.refusal == "hang" and is_new_stream):
            await refuse_full(request, writer)
        elif self.refusal == "error":
            writer.write(make_answer(request, b"", 500))
        elif self.refusal == "hang":
            await asyncio.Event().wait()
        else:
            if self.refusal == "cut":
                writer.write(make_stream_head(request) + make_chunk(b"id: "))
                await writer.drain()
            writer.close()


class SilenceResult(NamedTuple):
    """What callers got, by request id, and what workers did.

    `left_s` is when clients left; `late` are the requests sent after all faults;
    `lag_s` is how late the event loop of all parts was at most.
    """

    answers: dict[str, EdgeAnswer | None]
    runs: list[Run]
    left_s: dict[str, float]
    late: set[str]
    lag_s: float

    @property
    def served(self) -> set[str]:
        """Requests with a whole answer."""
        return {name for name, a in self.answers.items() if a and _is_served(a)}

    @property
    def ended(self) -> set[str]:
        """Requests of which a router has ended an answer, though its client stayed."""
        ended = {run.request_id for run in self.runs if run.was_ended}
        return ended - self.left_s.keys()

    def find_violations(self) -> list[str]:
        """Describe the violated guarantees."""
        lost = sorted(self.ended - self.served)
        violations = [
            f"{name} was ended, and got {self.answers[name]}" for name in lost
        ]
        for name, answer in self.answers.items():
            is_stream = answer is not None and answer.body.startswith(b"id:")
            if is_stream and not WHOLE.startswith(answer.body):
                violations.append(f"{name} got {answer.body!r}")
        late = self.late - self.left_s.keys()
        served = len(late & self.served)
        if served < SERVED_SHARE_MIN * len(late):
            violations.append(f"{served} of {len(late)} served after all faults")
        return [*violations, *self._find_left(), *self._find_together()]

    def _find_left(self) -> list[str]:
        """Describe runs for clients that have left."""
        runs = [r for r in self.runs if r.ended_s > self.left_s.get(r.request_id, 1e9)]
        late = [
            run.request_id
            for run in runs
            if run.ended_s > self.left_s[run.request_id] + GONE_S + self.lag_s
        ]
        is_broken = len(late) > GONE_SHARE_MAX * len(runs)
        return [f"workers worked on for clients of {late}"] if is_broken else []

    def _find_together(self) -> list[str]:
        """Describe requests at two services, and streams at two workers for long."""
        runs: dict[str, list[Run]] = {}
        for run in self.runs:
            runs.setdefault(run.request_id, []).append(run)
        violations = []
        for name, found in runs.items():
            services = {run.service for run in found}
            if len(services) > 1:
                violations.append(f"{name} was sent to {services}")
            began = sorted(r.began_s for r in found if r.began_s is not None)
            for later_s in began[1:]:
                together_s = max(
                    run.ended_s - later_s
                    for run in found
                    if run.began_s is not None and run.began_s < later_s
                )
                if together_s > TOGETHER_MAX_S + self.lag_s:
                    violations.append(f"{name} ran twice for {together_s:.2f} s")
        return violations


def _is_served(answer: EdgeAnswer) -> bool:
    body = WHOLE if answer.body.startswith(b"id:") else b"ok"
    return answer.status == 200 and answer.is_whole and answer.body == body


def _read_clock() -> float:
    return asyncio.get_running_loop().time()


class SilenceRun:
    """One seed: workers, routers, faults, changes and callers."""

    def __init__(self, fleet: EdgeFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._version = 0
        self._workers: list[SilentWorker] = []
        self._all_workers: list[SilentWorker] = []
        self._routers: list[EdgeApplication] = []
        self._stopping: set[asyncio.Task[None]] = set()
        self._answers: dict[str, EdgeAnswer | None] = {}
        self._left_s: dict[str, float] = {}
        self._late: set[str] = set()
        self._lag_s = 0.0

    async def run(self) -> SilenceResult:
        """Run callers while workers fall silent and refuse requests, in any order."""
        await self._change_routes(is_final=True)
        for number in range(WORKERS + ANNEX_WORKERS):
            await self._add_worker(SERVICES[number >= WORKERS])
        for number in range(ROUTERS):
            self._routers.append(await self._add_router(f"r{number}", number == 0))
        measuring = asyncio.create_task(self._measure_lag())
        until_s = _read_clock() + FAULTS_S
        faults = asyncio.create_task(self._inject(until_s))
        callers = [
            asyncio.create_task(self._call(number, faults)) for number in range(CALLERS)
        ]
        await asyncio.gather(faults, *callers)
        # The end of a client's connection reaches its worker.
        await asyncio.sleep(GONE_S)
        await asyncio.gather(*self._stopping)
        measuring.cancel()
        runs = [run for worker in self._all_workers for run in worker.runs]
        return SilenceResult(self._answers, runs, self._left_s, self._late, self._lag_s)

    def _add_router(
        self, name: str, has_slow_peers: bool
    ) -> Awaitable[EdgeApplication]:
        return self._fleet.add_router(
            name,
            has_slow_peers=has_slow_peers,
            has_evacuations=True,
            zones=ZONES,
            grace_s=GRACE_S,
        )

    async def _add_worker(self, service: str) -> None:
        number = len(self._all_workers)
        worker = SilentWorker(f"w{number}", service, ZONES[number % len(ZONES)])
        self._workers.append(worker)
        self._all_workers.append(worker)
        await self._fleet.register_worker(worker, service=service, zone=worker.zone)

    async def _measure_lag(self) -> None:
        while True:
            due_s = _read_clock() + LAG_PERIOD_S
            await asyncio.sleep(LAG_PERIOD_S)
            self._lag_s = max(self._lag_s, _read_clock() - due_s)

    async def _inject(self, until_s: float) -> None:
        """Inject faults and changes, and end all of them."""
        rng = self._rng
        changes: tuple[Callable[[], Awaitable[None]], ...] = (
            self._change_routes,
            self._evacuate,
            self._replace_worker,
            self._replace_worker,
            self._write_again,
        )
        faults: set[asyncio.Task[None]] = set()
        stops_router = True
        while _read_clock() < until_s:
            worker = rng.choice(self._workers)
            silent_s = rng.uniform(SILENCE_MIN_S, SILENCE_MAX_S)
            faults.add(asyncio.create_task(worker.fall_silent(silent_s)))
            for other in self._workers:
                other.refusal = (
                    rng.choice(REFUSALS) if rng.random() < REFUSING_SHARE else ""
                )
            await asyncio.sleep(rng.random() * FAULT_PAUSE_S)
            await rng.choice(changes)()
            if stops_router and _read_clock() > until_s - FAULTS_S / 2:
                stops_router = False
                await self._replace_router()
            await asyncio.sleep(rng.random() * FAULT_PAUSE_S)
        for worker in self._workers:
            worker.refusal = ""
        await self._evacuate(is_evacuated=False)
        await self._change_routes(is_final=True)
        await asyncio.gather(*faults)

    async def _change_routes(self, is_final: bool = False) -> None:
        """Write a manifest whose routes have other services and limits."""
        rng = self._rng
        self._version += 1

        def make(prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
            attempts = 3 if is_final else rng.choice((2, 3, 4))
            factor = 1 if is_final else rng.choice((1, 2))
            route = make_route(
                prefix,
                kind,
                attempts=attempts,
                timeout_ms=factor * TIME_MAX_MS,
                **fields,
            )
            if not is_final and rng.random() < 0.5:
                weights = rng.choice(((0, 1), (1, 1), (1, 3)))
                route["traffic_split"] = [
                    {"service": service, "weight": weight}
                    for service, weight in zip(SERVICES, weights, strict=True)
                ]
            return route

        lookup = make("/lookup/", "idempotent", target_latency_ms=300)
        stream = make("/stream/", "streaming", stream_resume=True)
        manifest = make_manifest(self._version, lookup, stream)
        manifest["services"].append({**manifest["services"][0], "name": SERVICES[1]})
        await self._fleet.store.write("config", "main", manifest)

    async def _evacuate(self, is_evacuated: bool | None = None) -> None:
        if is_evacuated is None:
            is_evacuated = self._rng.random() < 0.5
        await self._fleet.evacuate(ZONES[1], is_evacuated)

    async def _replace_worker(self) -> None:
        """Let a worker leave, with news of it or without; another one joins first.

        It goes on with what it has.
        """
        worker = self._rng.choice(self._workers)
        await self._add_worker(worker.service)
        self._workers.remove(worker)
        spec = None
        if self._rng.random() < 0.5:
            spec = worker.describe(
                worker.service, worker.zone, state="draining", sequence=2
            )
        await self._fleet.store.write("servers", worker.name, spec)

    async def _write_again(self) -> None:
        """Delete the entry of a worker that stays, and write it again."""
        worker = self._rng.choice(self._workers)
        spec = worker.describe(worker.service, worker.zone)
        await self._fleet.store.write("servers", worker.name, None)
        await asyncio.sleep(self._rng.random())
        await self._fleet.store.write("servers", worker.name, spec)

    async def _replace_router(self) -> None:
        """Stop a router as a SIGTERM does; another one joins first."""
        self._routers.append(await self._add_router(f"r{ROUTERS}", False))
        router = self._routers.pop(self._rng.randrange(ROUTERS))
        self._stopping.add(asyncio.create_task(router.drain()))

    async def _call(self, caller: int, faults: asyncio.Task[None]) -> None:
        """Send requests until some time after all faults."""
        rng = self._rng
        number, end_s = 0, math.inf
        while _read_clock() < end_s:
            number += 1
            request_id = f"{caller}-{number}"
            if faults.done():
                end_s = min(end_s, _read_clock() + RECOVERY_S)
                self._late.add(request_id)
            self._answers[request_id] = None
            target = rng.choice(["/lookup/a", "/stream/a"])
            leaves_s = None
            if rng.random() < LEAVING_SHARE:
                leaves_s = rng.random() * LEAVES_MAX_S
            self._answers[request_id] = await self._ask(request_id, target, leaves_s)
            await asyncio.sleep(rng.random() * CALL_PAUSE_S)

    async def _ask(
        self, request_id: str, target: str, leaves_s: float | None
    ) -> EdgeAnswer | None:
        """Send a request; its client leaves after a while if a time is given."""
        client = await EdgeClient.connect(self._rng.choice(self._routers))
        try:
            client.send(target, request_id, b"x", X_Deadline_Ms=str(TIME_MAX_MS))
            async with asyncio.timeout(leaves_s):
                return await client.read()
        except TimeoutError:
            self._left_s[request_id] = _read_clock()
            return None
        finally:
            client.close()


async def run_silences(seed: int) -> SilenceResult:
    """Run one seed in a fleet of its own."""
    async with EdgeFleet() as fleet:
        return await SilenceRun(fleet, random.Random(seed)).run()


def run_seed(seed: int) -> list[str]:
    """Run one seed, and return a description of each violated guarantee."""
    result = asyncio.run(run_silences(seed))
    print(
        f"seed {seed}: {len(result.served)} of {len(result.answers)} served, "
        f"{len(result.ended)} answers ended, {len(result.left_s)} clients left, "
        f"lag {result.lag_s:.2f} s",
        flush=True,
    )
    violations = result.find_violations()
    for line in violations:
        print(f"  BROKEN {line}", flush=True)
    return violations


if __name__ == "__main__":
    sys.exit(run_seeds("Soak test of workers that fall silent.", run_seed))
