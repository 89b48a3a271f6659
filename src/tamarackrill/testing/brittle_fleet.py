"""Routers before brittle workers under a surge, all in one process."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tamarackrill.router.edge_app import EdgeApplication
from tamarackrill.testing.edge import EdgeAnswer, EdgeFleet, ask, make_route
from tamarackrill.testing.peer_links import PeerLinks
from tamarackrill.testing.worker import BrittleWorker

ROUTE = make_route("/lookup/", "idempotent", attempts=3)
WORKERS = 6
SLOTS = 2
WORK_S = 0.3
CAPACITY_PER_S = WORKERS * SLOTS / WORK_S
CALM_SHARE = 0.3
SURGE_SHARE = 2.5
CALM_S = 2.0
SURGE_S = 9.0
# Time from the start of the surge until a fault is injected.
FAULT_AFTER_S = 2.0
# Time in which each request is answered: the deadline and some more.
ANSWER_MAX_S = 5.0
# Longest wait after which a refused caller still comes back.
RETURN_MAX_S = 1.0
# Falls that are tolerated while the workers of a service are brittle.
FALLS_MAX = 2 + WORKERS / 10


class SurgeResult(NamedTuple):
    """What callers and workers saw of a surge.

    Parameters
    ----------
    falls : int
        How often workers fell over.
    served, requests : int
        Callers that were served, with their second request at the latest, and all.
    errors : int
        Callers whose last answer was neither a success nor a refusal.
    """

    falls: int
    served: int
    requests: int
    errors: int

    @property
    def served_share(self) -> float:
        """Share of the callers that were served."""
        return self.served / max(1, self.requests)


class BrittleFleet:
    """Routers of one or more zones, and workers that let no request wait.

    Parameters
    ----------
    fleet : EdgeFleet
        Fleet to which routers and workers are added.
    links : PeerLinks
        Links between the routers.
    seed : int
        Seed of the arrivals.
    rejected_max : int
        Requests that each worker may turn away per second.
    """

    def __init__(
        self, fleet: EdgeFleet, links: PeerLinks, seed: int, rejected_max: int
    ) -> None:
        self.fleet = fleet
        self.links = links
        self.random = random.Random(seed)
        self.workers = [
            BrittleWorker(f"w{n}", SLOTS, 0, rejected_max, WORK_S)
            for n in range(WORKERS)
        ]
        self.answers: list[EdgeAnswer | None] = []
        self._started = 0

    async def start(self, routers: int) -> None:
        """Start workers and routers, and wait until the routers know one another."""
        await self.fleet.put_manifest(1, ROUTE)
        for worker in self.workers:
            await self.fleet.register_worker(worker)
        for _ in range(routers):
            await self.start_router()
        await self.fleet.wait(
            lambda: all(
                len(r.members.list_live()) == routers for r in self.fleet.routers
            )
        )

    async def start_router(self, name: str = "") -> EdgeApplication:
        """Start a router under a name, by default a new one."""
        self._started += 1
        return await self.fleet.add_router(name or f"router-{self._started}")

    async def replace_router(self, gap_s: float = 0.1) -> None:
        """Kill a router, and start it again."""
        router = self.random.choice(self.fleet.routers)
        await self.kill_router(router)
        await asyncio.sleep(gap_s)
        await self.start_router(router.settings.name)

    async def kill_router(self, router: EdgeApplication | None = None) -> None:
        """End a router without telling the others, by default any."""
        await self.fleet.kill_router(router or self.random.choice(self.fleet.routers))

    def cut(self, *sizes: int) -> None:
        """Cut the routers into groups of these sizes; the rest are alone."""
        ports = [router.settings.peer_port for router in self.fleet.routers]
        self.random.shuffle(ports)
        self.links.groups = [set()]
        for size in sizes:
            self.links.groups.append(set(ports[:size]))
            del ports[:size]

    async def load(self, share: float, for_s: float) -> None:
        """Let callers arrive at a share of the workers' capacity, and await them."""
        loop = asyncio.get_running_loop()
        arrival_s = loop.time()
        end_s = arrival_s + for_s
        callers = set()
        while arrival_s < end_s:
            arrival_s += self.random.expovariate(share * CAPACITY_PER_S)
            await asyncio.sleep(arrival_s - loop.time())
            number = len(self.answers)
            self.answers.append(None)
            callers.add(asyncio.create_task(self._call(number)))
        await asyncio.gather(*callers)

    async def _call(self, number: int) -> None:
        """Send a request, and once more if told to come back."""
        for attempt in range(2):
            router = self.random.choice(self.fleet.routers)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                async with asyncio.timeout(ANSWER_MAX_S):
                    answer = await ask(
                        router, "/lookup/a", f"{number}-{attempt}", b"%d" % number
                    )
                self.answers[number] = answer
                if answer.status != 503:
                    return
                wait_s = float(answer.headers.get("retry-after", 0))
                if wait_s > RETURN_MAX_S:
                    return
                await asyncio.sleep(wait_s)

    def summarize(self) -> SurgeResult:
        """Return what has been seen so far."""
        statuses = [answer.status if answer else 0 for answer in self.answers]
        return SurgeResult(
            falls=sum(worker.falls for worker in self.workers),
            served=statuses.count(200),
            requests=len(statuses),
            errors=sum(status not in (200, 503) for status in statuses),
        )


Fault = Callable[[BrittleFleet], Awaitable[None]]


async def run_surge(
    fault: Fault, seed: int = 1, routers: int = 16, rejected_max: int = 6
) -> SurgeResult:
    """Run a surge after calm, with a fault two seconds into it.

    Parameters
    ----------
    fault : callable
        ``await fault(fleet)`` injects the fault and ends it.
    seed : int, optional
        Seed of the arrivals.
    routers : int, optional
        Number of routers.
    rejected_max : int, optional
        Requests that each worker may turn away per second.
    """
    links = PeerLinks()
    async with EdgeFleet() as fleet:
        with links.intercept():
            surge = BrittleFleet(fleet, links, seed, rejected_max)
            await surge.start(routers)
            await surge.load(CALM_SHARE, CALM_S)

            async def inject() -> None:
                await asyncio.sleep(FAULT_AFTER_S)
                await fault(surge)

            await asyncio.gather(surge.load(SURGE_SHARE, SURGE_S), inject())
            links.restore()
            return surge.summarize()
