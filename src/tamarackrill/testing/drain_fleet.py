"""Routers of three zones that get requests while a worker leaves, in one process."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Iterable, Iterator
from unittest import mock

from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router import edge_app
from tamarackrill.router.edge_app import EdgeApplication
from tamarackrill.router.peer_api import PeerUnavailable
from tamarackrill.testing.edge import (
    EdgeFleet,
    ask,
    connect_patiently,
    make_route,
)
from tamarackrill.testing.peer_links import PeerLinks
from tamarackrill.testing.slot_worker import SlotWorker
from tamarackrill.testing.worker import Worker, WorkerRequest, answer_ok

ROUTE = make_route("/lookup/", "idempotent", attempts=3)
# Requests wait for up to six seconds at workers of two slots, which run 32 a second.
WAIT_S = 6.0
WAITING_ROUTE = make_route(
    "/lookup/", "idempotent", attempts=3, target_latency_ms=3000, timeout_ms=6000
)
SLOTS, QUEUE_MAX, WORK_S = 2, 8, 0.25
ZONES = ("a", "b", "c")
WORKERS = 4
REQUESTS_PER_S = 60.0
# When requests wait everywhere for slots.
WAITING_AFTER_S = 2.5
# Time after the acknowledgement of a worker's leaving from which it gets no requests.
DRAIN_S = 2.0
ANSWER_MAX_S = 5.0


class DrainFleet:
    """Routers, workers and a store; the first worker leaves during a test.

    Parameters
    ----------
    fleet : EdgeFleet
        Fleet to which routers and workers are added.
    links : PeerLinks
        Links between the routers.
    seed : int
        Seed of the arrivals.
    is_deleted : bool, default=False
        Whether the worker's entry is deleted, instead of stating that it leaves; the
        worker runs on in both cases.
    is_waiting : bool, default=False
        Whether routers share the slots of the workers, for which requests wait.

    Attributes
    ----------
    copied_revision : int
        Revision of the store before the worker began to leave.
    answers : list of int
        Status of each answer; 0 if there was none.
    """

    def __init__(
        self,
        fleet: EdgeFleet,
        links: PeerLinks,
        seed: int,
        is_deleted: bool = False,
        is_waiting: bool = False,
    ) -> None:
        self.fleet = fleet
        self.links = links
        self._is_deleted = is_deleted
        self._is_waiting = is_waiting
        self.random = random.Random(seed)
        self.copied_revision = 0
        self.answers: list[int] = []
        self._arrivals_s: list[float] = []
        self._drained_s = 0.0
        self._leaving = self._make_worker(0)

    async def start(self, routers: int = 9) -> None:
        """Start workers and routers, and wait until the routers know one another."""
        fleet = self.fleet
        await fleet.put_manifest(1, WAITING_ROUTE if self._is_waiting else ROUTE)
        self._record_arrivals()
        await fleet.register_worker(self._leaving, zone=ZONES[0])
        for number in range(1, WORKERS):
            worker = self._make_worker(number)
            await fleet.register_worker(worker, zone=self._find_zone(number))
        for number in range(routers):
            await self._add_router(f"r{number}", self._find_zone(number))
        await fleet.wait(
            lambda: all(len(r.members.list_live()) == routers for r in fleet.routers)
        )

    def _find_zone(self, number: int) -> str:
        # With two workers in each zone, slots are given to either of them.
        zones = ZONES[:2] if self._is_waiting else ZONES
        return zones[number % len(zones)]

    def _make_worker(self, number: int) -> Worker:
        if self._is_waiting:
            return SlotWorker(f"w{number}", SLOTS, QUEUE_MAX, WORK_S)
        return Worker(f"w{number}", answer_ok)

    async def _add_router(self, name: str, zone: str) -> None:
        if self._is_waiting:
            await self.fleet.add_router(
                name, zone, connect=connect_patiently, capacity_sharing="on"
            )
        else:
            await self.fleet.add_router(name, zone)

    def _record_arrivals(self) -> None:
        behave = self._leaving.behave

        async def record(request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
            self._arrivals_s.append(asyncio.get_running_loop().time())
            await behave(request, writer)

        self._leaving.behave = record

    async def drain_worker(self) -> None:
        """Let the first worker leave."""
        self.copied_revision = self.fleet.store.state.revision
        await self.write_leaving()
        self._drained_s = asyncio.get_running_loop().time()

    async def write_leaving(self) -> None:
        """Write that the first worker leaves, or delete its entry."""
        entry = self._leaving.describe("desk", ZONES[0], state="draining", sequence=2)
        await self.fleet.store.write(
            "servers", self._leaving.name, None if self._is_deleted else entry
        )

    async def restore_store(self, away_s: float = 0.7) -> None:
        """Let the store come back from the copy made before the worker left."""
        self.fleet.store.status = 503
        await asyncio.sleep(away_s)
        await self.fleet.store.restore(self.copied_revision)
        self.fleet.store.status = 200

    async def replace_routers(self, routers: Iterable[EdgeApplication]) -> None:
        """Kill routers at the same time, and start them again."""

        async def replace(router: EdgeApplication) -> None:
            await self.fleet.kill_router(router)
            await self._add_router(router.settings.name, router.settings.zone)

        await asyncio.gather(*(replace(router) for router in list(routers)))

    @contextlib.contextmanager
    def cut_off(self, routers: Iterable[EdgeApplication]) -> Iterator[None]:
        """Cut routers off from the store and from all others; callers reach them."""
        cut = list(routers)
        others = [r for r in self.fleet.routers if r not in cut]
        self.links.groups = [[r.settings.peer_port for r in others]]

        async def fail(*args: object, **kwargs: object) -> None:
            raise PeerUnavailable("cut off")

        async def fail_store(*args: object, **kwargs: object) -> None:
            raise PlatformUnavailable("cut off")

        with contextlib.ExitStack() as patches:
            for router in cut:
                sync = router.configuration_sync
                for owner, name, act in (
                    (sync, "_pull", fail),
                    (router.fleet_news, "_pull", fail),
                    (sync._platform, "list", fail_store),
                    (sync._platform, "watch", fail_store),
                ):
                    patches.enter_context(mock.patch.object(owner, name, act))
            yield
        self.links.restore()

    def choose_routers(self, count: int) -> list[EdgeApplication]:
        """Return some routers."""
        return self.random.sample(self.fleet.routers, count)

    async def load(self, for_s: float) -> None:
        """Let callers arrive at any router, and await them."""
        loop = asyncio.get_running_loop()
        arrival_s = loop.time()
        end_s = arrival_s + for_s
        callers: set[asyncio.Task[None]] = set()
        while arrival_s < end_s:
            arrival_s += self.random.expovariate(REQUESTS_PER_S)
            await asyncio.sleep(arrival_s - loop.time())
            callers.add(asyncio.create_task(self._call(len(callers))))
        await asyncio.gather(*callers)

    async def _call(self, number: int) -> None:
        router, status = self.random.choice(self.fleet.routers), 0
        name, headers = f"call-{number}", {}
        if self._is_waiting:
            headers["X_Deadline_Ms"] = f"{1000 * WAIT_S:.0f}"
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            async with asyncio.timeout(WAIT_S + ANSWER_MAX_S):
                answer = await ask(router, "/lookup/a", name, name.encode(), **headers)
                status = answer.status
        self.answers.append(status)

    def find_late_s(self) -> list[float]:
        """Return how long after it began to leave the worker got its late requests."""
        after_s = [at_s - self._drained_s for at_s in self._arrivals_s]
        return [late_s for late_s in after_s if late_s > DRAIN_S]


Disturbance = Callable[[DrainFleet], Awaitable[None]]


async def run_drain(
    disturb: Disturbance,
    seed: int = 1,
    is_deleted: bool = False,
    is_waiting: bool = False,
    routers: int = 9,
    prepare: Callable[[DrainFleet], None] = lambda fleet: None,
) -> DrainFleet:
    """Let a worker leave, with a disturbance from then on.

    Parameters
    ----------
    disturb : callable
        ``await disturb(fleet)`` begins right after the acknowledgement.
    seed : int, optional
        Seed of the arrivals.
    is_deleted, is_waiting : bool, default=False
        See `DrainFleet`.
    routers : int, default=9
        Routers at the start.
    prepare : callable, optional
        Called right before the worker leaves.

    Returns
    -------
    DrainFleet
        What callers and the worker have seen; its routers have stopped.
    """
    links = PeerLinks()
    # A fleet that has just started polls the store, and may not have read the entry
    # when the store goes away; then no router can know of it.
    has_settled = mock.patch.object(edge_app, "SETTLE_S", 0.0)
    async with EdgeFleet() as fleet:
        with links.intercept(), has_settled:
            drained = DrainFleet(fleet, links, seed, is_deleted, is_waiting)
            await drained.start(routers)

            async def act() -> None:
                await asyncio.sleep(WAITING_AFTER_S if is_waiting else 1.0)
                prepare(drained)
                await drained.drain_worker()
                await disturb(drained)

            await asyncio.gather(drained.load(8.0), act())
            return drained
