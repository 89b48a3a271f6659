"""Simulated worker of a plain service, with slots and a queue of its own."""

import asyncio
from collections import Counter

from tamarackrill.testing.worker import Worker, WorkerRequest, make_answer


class SlotWorker(Worker):
    """Worker that runs as many requests as it has slots, and states its load.

    Parameters
    ----------
    name : str
        Id under which the store lists the worker.
    slots, waiting_max : int
        Requests that it runs concurrently, and that it queues; others get a 503.
    work_s : float
        Time that it takes for a request.
    slowdown_percent : int or None, default=None
        How long work takes, 100 as usual; stated in each response unless it is None.

    Attributes
    ----------
    may_end : asyncio.Event
        Requests don't end before this is set, as it is at first.
    runs : Counter
        How often each request was run, by its id.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        waiting_max: int,
        work_s: float,
        slowdown_percent: int | None = None,
    ) -> None:
        super().__init__(name, self._act)
        self.slots = slots
        self.waiting_max = waiting_max
        self.slowdown_percent = slowdown_percent
        self.may_end = asyncio.Event()
        self.may_end.set()
        self.runs: Counter[str] = Counter()
        self.accepted = 0
        self._work_s = work_s
        self._in_work = asyncio.Semaphore(slots)

    def describe(self, service: str, zone: str = "z", **fields: object) -> dict:
        """Return the worker's entry in the store."""
        return super().describe(service, zone, **{"slots": self.slots, **fields})

    async def _act(self, request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
        if self.accepted >= self.slots + self.waiting_max:
            self._answer(request, writer, 503, X_Not_Executed="1")
            return
        self.accepted += 1
        try:
            async with self._in_work:
                self.runs[request.request_id] += 1
                await asyncio.sleep(self._work_s * (self.slowdown_percent or 100) / 100)
                await self.may_end.wait()
        finally:
            self.accepted -= 1
        self._answer(request, writer, 200)

    def _answer(
        self,
        request: WorkerRequest,
        writer: asyncio.StreamWriter,
        status: int,
        **headers: str,
    ) -> None:
        running = min(self.slots, self.accepted)
        load = f"{running},{self.accepted - running},{self.slots}"
        if self.slowdown_percent is not None:
            load += f",{self.slowdown_percent}"
        headers["X_Instance_Load"] = load
        writer.write(make_answer(request, b"ok", status, **headers))
