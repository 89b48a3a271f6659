"""Router processes that are stopped while requests of all lengths arrive."""

import asyncio
import itertools
import math
import signal
import tempfile
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from tamarackrill.testing.edge import EdgeAnswer, EdgeClient, EdgeFleet, make_route
from tamarackrill.testing.edge_processes import EdgeProcess, choose_addresses
from tamarackrill.testing.ports import find_free_port
from tamarackrill.testing.worker import (
    WorkerRequest,
    make_answer,
    make_chunk,
    make_event,
    make_stream_head,
)

TIMEOUT_MS = 9000
# Time in which a slow body arrives.
BODY_S = 1.2
EVENTS = 5
# Work of a worker that never answers.
SILENT_S = 100.0
# Requests that routers have served of each kind before they are told to stop.
WARM_UPS = 4
WORKERS = 3
# Requests are sent each sixteenth of the grace period, from before the signal until
# after its end.
MOMENTS = range(-2, 17)
MOMENTS_PER_GRACE = 16
# Clients that connect at the same time, fewer than a listener keeps waiting.
CONNECTING_MAX = 32
# Time to connect all clients before the first request.
CONNECT_S = 0.6
# Kinds of requests, with the kind of their routes and whether streams may be resumed.
KINDS = {
    "lookup": ("idempotent", False),
    "confirm": ("non_idempotent", False),
    "resumed": ("streaming", True),
    "once": ("streaming", False),
}


class SentRequest(NamedTuple):
    """A request to a router that is killed `grace_s` after it was told to stop.

    Parameters
    ----------
    request_id : str
        Identifies the request.
    kind : str
        One of `KINDS`.
    work_s : float
        How long a worker is at work on it.
    grace_s : int
        Grace period of the router.
    sent_s : float or None
        When its last byte was sent, after the signal; None if it wasn't sent.
    answer : EdgeAnswer or None
        Its answer; None if the connection ended without one.
    """

    request_id: str
    kind: str
    work_s: float
    grace_s: int
    sent_s: float | None
    answer: EdgeAnswer | None


class StoppingRouters:
    """Stops a router of each grace period at once, beside one that stays.

    Parameters
    ----------
    graces_s : sequence of int
        Grace period of each router that is stopped.
    works_s : sequence of float
        How long workers are at work on requests.

    Attributes
    ----------
    sent : list of SentRequest
        All requests after the first ones, which the routers have served before.
    ran_s : dict of str to float
        When a worker began with a request after the signal, by the request's id.
    told_s : dict of int to float
        When a router had noticed its signal, by its grace period.
    ended_s : dict of int to float
        When it had ended, in the same way.
    """

    def __init__(self, graces_s: Sequence[int], works_s: Sequence[float]) -> None:
        self._graces_s = graces_s
        self._works_s = works_s
        self._numbers = itertools.count()
        self._signalled_s = math.inf
        self._connecting = asyncio.Semaphore(CONNECTING_MAX)
        self._began_s: dict[str, float] = {}
        self.sent: list[SentRequest] = []
        self.told_s: dict[int, float] = {}
        self.ended_s: dict[int, float] = {}

    @property
    def ran_s(self) -> dict[str, float]:
        """When a worker began with a request after the signal."""
        return {name: at_s - self._signalled_s for name, at_s in self._began_s.items()}

    async def run(self) -> None:
        """Start and stop the routers."""
        graces_s = (*self._graces_s, max(self._graces_s))
        peer_port = find_free_port()
        routers: list[EdgeProcess] = []
        with tempfile.TemporaryDirectory() as folder:
            async with EdgeFleet() as fleet:
                await self._start_workers(fleet)
                try:
                    for number, grace_s in enumerate(graces_s):
                        router = EdgeProcess(
                            f"router-{number}",
                            "z",
                            fleet.store_address,
                            [other.addresses.peers for other in routers],
                            Path(folder),
                            grace_s,
                            choose_addresses(f"127.0.7.{number + 1}", peer_port),
                        )
                        router.start()
                        routers.append(router)
                    await self._stop(routers)
                finally:
                    for router in routers:
                        router.kill()

    async def _start_workers(self, fleet: EdgeFleet) -> None:
        routes: list[dict[str, Any]] = [
            make_route(
                f"/{kind}-{int(1000 * work_s)}/",
                rule,
                stream_resume=is_resumable,
                timeout_ms=TIMEOUT_MS,
                service="mute" if work_s == SILENT_S else "desk",
                attempts=2 if kind == "lookup" else 1,
            )
            for kind, (rule, is_resumable) in KINDS.items()
            for work_s in self._works_s
        ]
        await fleet.put_manifest(1, *routes, service={"max_connections": 4000})
        for service, number in itertools.product(("desk", "mute"), range(WORKERS)):
            name = f"{service}-{number}"
            await fleet.add_worker(name, self._work, service=service, slots=999)

    async def _work(self, request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        self._began_s.setdefault(request.request_id, loop.time())
        kind, _, work_ms = request.target.split("/")[1].partition("-")
        work_s = float(work_ms) / 1000
        if KINDS[kind][0] != "streaming" or work_s == SILENT_S:
            await asyncio.sleep(work_s)
            writer.write(make_answer(request))
            return
        writer.write(make_stream_head(request))
        for number in range(1, EVENTS + 1):
            writer.write(make_chunk(make_event(number)))
            await writer.drain()
            await asyncio.sleep(work_s / EVENTS)
        writer.write(make_chunk(b""))

    async def _stop(self, routers: list[EdgeProcess]) -> None:
        loop = asyncio.get_running_loop()
        for router in routers:
            await router.wait_ready()
            while (await router.read_metric("routers") or 0) < len(routers):
                await asyncio.sleep(0.05)
        stopped = dict(zip(self._graces_s, routers, strict=False))
        await self._warm_up(stopped)
        plans = [await self._plan(*item) for item in stopped.items()]
        self._signalled_s = loop.time() + CONNECT_S + max(stopped) / 8
        sending = [asyncio.create_task(send()) for plan in plans for send in plan]
        await asyncio.sleep(-self._find_now_s())
        for router in stopped.values():
            router.signal(signal.SIGTERM)
        await asyncio.gather(*(self._wait_told(*item) for item in stopped.items()))
        await asyncio.gather(*(self._end(*item) for item in stopped.items()), *sending)

    async def _warm_up(self, stopped: dict[int, EdgeProcess]) -> None:
        """Let routers know how long requests take."""
        sending = [
            self._send(router, grace_s, kind, work_s, None, False)
            for grace_s, router in stopped.items()
            for kind in KINDS
            for work_s in self._works_s
            if work_s != SILENT_S
            for _ in range(WARM_UPS)
        ]
        await asyncio.gather(*sending)
        answers = [item.answer for item in self.sent]
        assert all(answer and answer.status == 200 for answer in answers)
        self.sent.clear()

    async def _wait_told(self, grace_s: int, router: EdgeProcess) -> None:
        while await router.is_ready():
            pass
        self.told_s[grace_s] = self._find_now_s()

    async def _end(self, grace_s: int, router: EdgeProcess) -> None:
        """Kill a router that has not ended within its grace period."""
        ending = asyncio.create_task(router.wait_ended())
        await asyncio.wait([ending], timeout=grace_s - self._find_now_s())
        router.kill()
        await ending
        self.ended_s[grace_s] = self._find_now_s()

    def _find_now_s(self) -> float:
        """Return the present time after the signal."""
        return asyncio.get_running_loop().time() - self._signalled_s

    async def _plan(
        self, grace_s: int, router: EdgeProcess
    ) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Connect clients, and return what sends their requests."""
        plan: list[Callable[[], Coroutine[Any, Any, None]]] = []
        numbers = range(len(MOMENTS) * len(KINDS) * len(self._works_s))
        keeping = [self._keep(router) if n % 2 else _keep_none() for n in numbers]
        kept = await asyncio.gather(*keeping)
        requests = itertools.product(MOMENTS, KINDS, self._works_s)
        for number, (moment, kind, work_s) in enumerate(requests):

            async def send(
                due_s: float = (moment + 0.5) * grace_s / MOMENTS_PER_GRACE,
                kind: str = kind,
                work_s: float = work_s,
                client: EdgeClient | None = kept[number],
                has_slow_body: bool = number % 5 == 0,
            ) -> None:
                await asyncio.sleep(due_s - self._find_now_s())
                await self._send(router, grace_s, kind, work_s, client, has_slow_body)

            plan.append(send)
        return plan

    async def _keep(self, router: EdgeProcess) -> EdgeClient:
        """Return a connection that has had a response."""
        async with self._connecting:
            client = await EdgeClient.connect(router.addresses.callers)
        client.send(f"/lookup-{int(1000 * self._works_s[0])}/a", "first")
        await client.read()
        return client

    async def _send(
        self,
        router: EdgeProcess,
        grace_s: int,
        kind: str,
        work_s: float,
        client: EdgeClient | None,
        has_slow_body: bool,
    ) -> None:
        """Send a request, on a kept connection if one is given, and await its end."""
        request_id = f"id-{next(self._numbers)}"
        target, body = f"/{kind}-{int(1000 * work_s)}/a", request_id.encode()
        fields = {
            "X_Deadline_Ms": str(TIMEOUT_MS),
            "Content_Length": str(2 * len(body)),
        }
        sent_s, answer = None, None
        try:
            if client is None:
                client = await EdgeClient.connect(router.addresses.callers)
            client.send(target, request_id, body, **fields)
            await asyncio.sleep(BODY_S if has_slow_body else 0.0)
            client.writer.write(body)
            await client.writer.drain()
            sent_s = self._find_now_s()
            answer = await client.read()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if client is not None:
                client.close()
        self.sent.append(SentRequest(request_id, kind, work_s, grace_s, sent_s, answer))


async def _keep_none() -> None:
    """Keep no connection open."""
