"""Randomized soak test of workers that fall silent and go on while others refuse.

``python -m soak.silences --seed 1 --seeds 50`` runs seeds one after the other.  All
routers of a seed run in one process.  No worker breaks off what it has begun to answer,
so that no answer may end early.
"""

import asyncio
import math
import random
import sys
from typing import NamedTuple

from soak.command import run_seeds
from tamarackrill.testing.edge import EdgeAnswer, EdgeFleet, ask, make_route
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
ROUTES = (
    make_route(
        "/lookup/",
        "idempotent",
        attempts=3,
        target_latency_ms=300,
        timeout_ms=TIME_MAX_MS,
    ),
    make_route(
        "/stream/", "streaming", attempts=3, stream_resume=True, timeout_ms=TIME_MAX_MS
    ),
)
# Time after the faults, and the share of its requests that is served.
RECOVERY_S = 2.0
SERVED_SHARE_MIN = 0.9


class SilentWorker(Worker):
    """Worker that can be silent in the middle of its answers, or refuse requests.

    Attributes
    ----------
    refusal : str
        What new requests get; empty if they are served.
    ended : list of str
        Ids of requests whose answers were ended while it worked on them.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name, self._act)
        self.refusal = ""
        self.ended: list[str] = []
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
        try:
            await self._serve_request(request, writer)
        except asyncio.CancelledError:
            self.ended.append(request.request_id)
            raise

    async def _serve_request(
        self, request: WorkerRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.target.startswith("/lookup/"):
            await asyncio.sleep(LOOKUP_S)
            await self._goes_on.wait()
            writer.write(make_answer(request))
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
    """What callers got, by request id, and the sound answers that routers ended.

    `late` are the requests sent after all faults.
    """

    answers: dict[str, EdgeAnswer | None]
    ended: set[str]
    late: set[str]

    @property
    def served(self) -> set[str]:
        """Requests with a whole answer."""
        return {name for name, a in self.answers.items() if a and _is_served(a)}

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
        served = len(self.late & self.served)
        if served < SERVED_SHARE_MIN * len(self.late):
            violations.append(f"{served} of {len(self.late)} served after all faults")
        return violations


def _is_served(answer: EdgeAnswer) -> bool:
    body = WHOLE if answer.body.startswith(b"id:") else b"ok"
    return answer.status == 200 and answer.is_whole and answer.body == body


async def run_silences(seed: int) -> SilenceResult:
    """Run callers while workers fall silent and refuse requests, in any order."""
    rng = random.Random(seed)
    answers: dict[str, EdgeAnswer | None] = {}
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, *ROUTES)
        workers = [SilentWorker(f"w{number}") for number in range(WORKERS)]
        for worker in workers:
            await fleet.register_worker(worker)
        for number in range(ROUTERS):
            await fleet.add_router(f"r{number}", has_slow_peers=number == 0)
        until_s = asyncio.get_running_loop().time() + FAULTS_S
        faults = asyncio.create_task(_inject(workers, rng, until_s))
        late: set[str] = set()
        callers = [
            asyncio.create_task(_call(fleet, number, rng, faults, answers, late))
            for number in range(CALLERS)
        ]
        await asyncio.gather(faults, *callers)
        ended = {name for worker in workers for name in worker.ended}
    return SilenceResult(answers, ended, late)


async def _inject(
    workers: list[SilentWorker], rng: random.Random, until_s: float
) -> None:
    faults: set[asyncio.Task[None]] = set()
    while asyncio.get_running_loop().time() < until_s:
        worker = rng.choice(workers)
        silent_s = rng.uniform(SILENCE_MIN_S, SILENCE_MAX_S)
        faults.add(asyncio.create_task(worker.fall_silent(silent_s)))
        for other in workers:
            other.refusal = (
                rng.choice(REFUSALS) if rng.random() < REFUSING_SHARE else ""
            )
        await asyncio.sleep(rng.random() * 2 * FAULT_PAUSE_S)
    for worker in workers:
        worker.refusal = ""
    await asyncio.gather(*faults)


async def _call(
    fleet: EdgeFleet,
    caller: int,
    rng: random.Random,
    faults: asyncio.Task[None],
    answers: dict[str, EdgeAnswer | None],
    late: set[str],
) -> None:
    """Send requests until some time after all faults."""
    loop = asyncio.get_running_loop()
    number, end_s = 0, math.inf
    while loop.time() < end_s:
        number += 1
        request_id = f"{caller}-{number}"
        if faults.done():
            end_s = min(end_s, loop.time() + RECOVERY_S)
            late.add(request_id)
        answers[request_id] = None
        target = rng.choice(["/lookup/a", "/stream/a"])
        fields = {"X_Deadline_Ms": str(TIME_MAX_MS)}
        router = rng.choice(fleet.routers)
        answers[request_id] = await ask(router, target, request_id, b"x", **fields)
        await asyncio.sleep(rng.random() * CALL_PAUSE_S)


def run_seed(seed: int) -> list[str]:
    """Run one seed, and return a description of each violated guarantee."""
    result = asyncio.run(run_silences(seed))
    print(
        f"seed {seed}: {len(result.served)} of {len(result.answers)} served, "
        f"{len(result.ended)} answers ended",
        flush=True,
    )
    violations = result.find_violations()
    for line in violations:
        print(f"  BROKEN {line}", flush=True)
    return violations


if __name__ == "__main__":
    sys.exit(run_seeds("Soak test of workers that fall silent.", run_seed))
