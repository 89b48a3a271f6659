"""Simulated worker that crashes on some parts of prompts, and comes back."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tamarackrill.testing.worker import (
    Worker,
    WorkerRequest,
    make_answer,
    make_chunk,
    make_event,
    make_stream_head,
)

MISDIRECTED_STATUS = 421


class CrashBehavior(NamedTuple):
    """How workers answer and crash; the durations are in seconds.

    Parameters
    ----------
    prefill_s : float
        Time from a request to the beginning of its answer.
    event_s : float
        Time between two events of a stream.
    events : int
        Number of events of a stream.
    down_s : float
        Time from a crash until the worker is back.
    sent_before_crash : int
        Events of a stream that it still sends before it crashes.
    """

    prefill_s: float = 0.03
    event_s: float = 0.01
    events: int = 6
    down_s: float = 1.0
    sent_before_crash: int = 0


DEFAULT_BEHAVIOR = CrashBehavior()


class CrashingWorker(Worker):
    """Worker that ends when it begins to answer a prompt with a bad part.

    It is back after some time as a new process, under another name at the same address,
    and answers 421 to requests for an earlier one.

    Parameters
    ----------
    name : str
        Id of its first process.
    is_bad : callable
        Returns whether a process, given by its software version, crashes on the part
        with an id.
    on_start, on_end : callable
        Awaited after a start, and some time after a crash with the id that has ended;
        they write and remove the worker's entry in the store.
    behavior : CrashBehavior, optional
        How it answers and crashes.

    Attributes
    ----------
    arrived : list of (float, WorkerRequest)
        Requests for the present process, with the time of their arrival.
    crashed_s, crashed_by_part_s : list of float
        Times of its crashes, and of those that a part caused.
    events_sent : int
        Events that it has sent.
    """

    def __init__(
        self,
        name: str,
        is_bad: Callable[[str, str], bool],
        on_start: Callable[["CrashingWorker"], Awaitable[None]],
        on_end: Callable[[str], Awaitable[None]],
        behavior: CrashBehavior = DEFAULT_BEHAVIOR,
    ) -> None:
        super().__init__(name, self._act)
        self.arrived: list[tuple[float, WorkerRequest]] = []
        self.crashed_s: list[float] = []
        self.crashed_by_part_s: list[float] = []
        self.events_sent = 0
        self.software_version = "v1"
        self._is_bad = is_bad
        self._on_start = on_start
        self._on_end = on_end
        self._behavior = behavior
        self._first_name = name
        self._crash_task: asyncio.Task[None] | None = None

    async def stop(self) -> None:
        """Stop for good, also after a crash."""
        if self._crash_task is not None:
            self._crash_task.cancel()
            await asyncio.gather(self._crash_task, return_exceptions=True)
        await super().stop()

    async def crash(self) -> None:
        """Crash for another reason than a request."""
        self._begin_crash()

    def describe(self, service: str, zone: str = "z", **fields: object) -> dict:
        """Return the worker's entry in the store."""
        fields = {"version": self.software_version, **fields}
        return super().describe(service, zone, **fields)

    async def _act(self, request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
        if request.headers.get("x-expect-instance", self.name) != self.name:
            self.ran.remove(request)
            unsigned = {"X_Not_Executed": "1", "X_Response_Signature": ""}
            writer.write(make_answer(request, b"", MISDIRECTED_STATUS, **unsigned))
            return
        behavior = self._behavior
        self.arrived.append((asyncio.get_running_loop().time(), request))
        await asyncio.sleep(behavior.prefill_s)
        start = int(request.headers.get("last-event-id", 0)) + 1
        is_stream = request.target.startswith("/stream")
        if is_stream:
            writer.write(make_stream_head(request))
        if any(self._is_bad(self.software_version, part) for part in _parts(request)):
            for number in range(start, start + behavior.sent_before_crash):
                writer.write(make_chunk(make_event(number)))
            await writer.drain()
            if self._begin_crash():
                self.crashed_by_part_s.append(self.crashed_s[-1])
            return
        if not is_stream:
            writer.write(make_answer(request))
            return
        for number in range(start, behavior.events + 1):
            writer.write(make_chunk(make_event(number)))
            self.events_sent += 1
            await asyncio.sleep(behavior.event_s)
        writer.write(make_chunk(b""))

    def _begin_crash(self) -> bool:
        """Crash, unless it is down already; return whether it does."""
        if self._crash_task is not None and not self._crash_task.done():
            return False
        self.crashed_s.append(asyncio.get_running_loop().time())
        self._crash_task = asyncio.create_task(self._crash())
        return True

    async def _crash(self) -> None:
        await super().stop()
        ended = self.name
        await asyncio.sleep(self._behavior.down_s)
        self.name = f"{self._first_name}.{len(self.crashed_s)}"
        await self._server.start(self.address)
        await self._on_end(ended)
        await self._on_start(self)


def _parts(request: WorkerRequest) -> list[str]:
    text = request.headers.get("x-prompt-prefix", "")
    return [entry.partition(":")[0] for entry in text.split(",") if entry]
