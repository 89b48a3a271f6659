"""Sends model load orders to engines, under a lease with an increasing fencing number.

Only the lease holder sends orders.  Of the other routers, only the one that rendezvous
hashing of the lease name ranks first tries to acquire the lease, so that the cost to
the platform does not grow with the fleet.  That selection only saves requests; mutual
exclusion comes from the lease.
"""

import asyncio
import json
from collections.abc import Callable
from typing import NamedTuple

from tamarackrill.contracts import Contract, Endpoint
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.decisions.leases import (
    Lease,
    LeaseRecord,
    LeaseTiming,
    ReadLease,
    WriteLease,
    read_lease_record,
)
from tamarackrill.decisions.loading import (
    LoadOrder,
    PendingLoad,
    drop_finished_loads,
    list_needed_models,
    plan_loads,
)
from tamarackrill.events import (
    OBJECT_FAULTY,
    ORDER_GIVEN,
    ORDER_LEASE_MOVED,
    ORDER_NOT_TAKEN,
    log_event,
)
from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.background import run_restarting
from tamarackrill.router.members import Members
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.router.upstream import (
    Exchange,
    UpstreamClient,
    UpstreamError,
)
from tamarackrill.store_api import PlatformObject

LEASE_KIND = "lease"
LEASE_NAME = "engine-orders"
ORDERS_PATH = "/v1/orders"
STEP_INTERVAL_S = 0.5
STATUS_OK = 200


class FleetView(NamedTuple):
    """Live routers, contracts and endpoints, from which load orders are planned.

    Parameters
    ----------
    members : Members
        Live routers.
    list_contracts, list_endpoints : callable
        Return the contracts and endpoints in force now.
    """

    members: Members
    list_contracts: Callable[[], list[Contract]]
    list_endpoints: Callable[[], list[Endpoint]]


class ModelLoadController:
    """Background task that holds the lease and sends load orders.

    Parameters
    ----------
    identity : str
        Unique per start of a router.
    fleet : FleetView
        Input of the planning.
    platform : PlatformClient
        Not owned.
    client : UpstreamClient
        For requests to engines; not owned.
    clock : callable
        Returns the current time.
    timing : LeaseTiming, optional
        Durations of the lease.
    """

    def __init__(
        self,
        identity: str,
        fleet: FleetView,
        platform: PlatformClient,
        client: UpstreamClient,
        clock: Callable[[], float],
        timing: LeaseTiming | None = None,
    ) -> None:
        self._timing = timing or LeaseTiming()
        self._identity = identity
        self._lease = Lease(identity, self._timing)
        self._fleet = fleet
        self._platform = platform
        self._client = client
        self._clock = clock
        self._pending: dict[str, PendingLoad] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task."""
        self._task = asyncio.create_task(run_restarting("orders", self._run))

    async def stop(self) -> None:
        """Stop the task; the lease is left to expire."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            # The holder keeps the lease even if it no longer ranks first.  Otherwise
            # each returning router would first wait for the lease and the longest
            # order to expire, and engines would get no orders meanwhile.
            if self._lease.may_order(self._clock()) or self._ranks_first():
                await self._step()
            await asyncio.sleep(STEP_INTERVAL_S)

    def _ranks_first(self) -> bool:
        names = [member.name for member in self._fleet.members.list_live()]
        first = rendezvous_order(LEASE_NAME, names, 1)
        return first == [self._fleet.members.own.name]

    async def _step(self) -> None:
        try:
            await self._advance_lease()
        except PlatformUnavailable:
            # The write may have taken effect, which only a read can show.  Until then
            # the held lease is not extended, and expires along with the right to order.
            self._lease.handle_lost_write()
            return
        engines = [
            endpoint
            for endpoint in self._fleet.list_endpoints()
            if endpoint.kind == "engine" and endpoint.state == "live"
        ]
        now_s = self._clock()
        self._pending = drop_finished_loads(self._pending, engines, now_s)
        if not self._lease.may_order(now_s):
            return
        needed = list_needed_models(self._fleet.list_contracts())
        by_name = {engine.name: engine for engine in engines}
        for order in plan_loads(needed, engines, self._pending):
            await self._send_order(order, by_name[order.engine])

    async def _advance_lease(self) -> None:
        before = self._lease.holder
        await self._run_lease_action(self._lease.next_action(self._clock()))
        holder = self._lease.holder
        if holder != before:
            log_event(
                ORDER_LEASE_MOVED,
                holder=holder,
                fence=self._lease.fence,
                is_own=holder == self._identity,
            )

    async def _run_lease_action(self, action: ReadLease | WriteLease | None) -> None:
        if isinstance(action, ReadLease):
            found = await self._platform.get(LEASE_KIND, LEASE_NAME)
            record = self._read_record(found) if found else None
            version = found.version if found else None
            self._lease.handle_read(record, version, self._clock())
        elif isinstance(action, WriteLease):
            sent_s = self._clock()
            result = await self._platform.put(
                LEASE_KIND, LEASE_NAME, action.record._asdict(), action.expected_version
            )
            self._lease.handle_write(action, result.version, sent_s, self._clock())

    def _read_record(self, found: PlatformObject) -> LeaseRecord:
        try:
            return read_lease_record(found.value)
        except ValueError as error:
            log_event(
                OBJECT_FAULTY,
                kind=found.kind,
                object=found.name,
                version=found.version,
                message=str(error),
            )
            # Somebody may hold it, so that it is taken over only once it has expired.
            return LeaseRecord("", 0, 0)

    async def _send_order(self, order: LoadOrder, engine: Endpoint) -> None:
        now_s = self._clock()
        # The process may have been frozen since planning.  An engine that ignores
        # fencing numbers would then accept this order after those of the successor.
        if not self._lease.may_order(now_s):
            return
        self._pending[order.engine] = PendingLoad(order, now_s)
        body = {"order": "load", **order._asdict(), "fence": self._lease.fence}
        status = await self._post_order(engine, json.dumps(body).encode())
        event = ORDER_GIVEN if status == STATUS_OK else ORDER_NOT_TAKEN
        log_event(
            event,
            endpoint=order.engine,
            model=order.model,
            replaces=order.replaces,
            fence=self._lease.fence,
        )
        if status != STATUS_OK:
            del self._pending[order.engine]

    async def _post_order(self, engine: Endpoint, body: bytes) -> int:
        exchange = Exchange(
            self._client,
            "POST",
            f"http://{engine.address}{ORDERS_PATH}",
            {"Content-Type": "application/json"},
            body,
            self._timing.order_delivery_max_s,
            repeatable=False,
        )
        try:
            return (await exchange.head()).status
        except UpstreamError:
            return 0
        finally:
            await exchange.close()
