"""Routers that ask slot queues, for the simulation of `slot_load`.

They ask, overflow and stop waiting as docs/design/capacity-sharing.md says.  All other
decisions are the slot queues'.
"""

import math
from collections.abc import Callable, Iterable
from typing import Any

from tamarackrill.decisions.capacity.load_reports import LoadReport
from tamarackrill.decisions.capacity.slot_queue import SlotQueue
from tamarackrill.decisions.capacity.slots import (
    Decision,
    Granted,
    Queued,
    SlotRequest,
)
from tamarackrill.testing.slot_load import FULL_RETRY_S, Attempt, SlotWorld, Worker

# As on the design page.
ASK_FROM_SHARE = 0.5
ASK_TIMEOUT_S = 0.04
OVERFLOW_WAIT_SHARE = 0.1
REPORT_INTERVAL_S = 0.1
TICK_S = 0.02


class Allocators:
    """Routers that ask a slot queue of each zone.

    Parameters
    ----------
    old_routers : int, default=0
        How many routers are of an older version and send directly.
    release_loss : float, default=0.0
        Part of the releases that is lost.
    """

    def __init__(self, old_routers: int = 0, release_loss: float = 0.0) -> None:
        self.queues: dict[int, SlotQueue] = {}
        self.gave_up = 0
        self._old_routers = old_routers
        self._release_loss = release_loss
        self._attempts: dict[str, Attempt] = {}
        self._reported_s: dict[tuple[int, str], float] = {}
        self._sequence = 0

    def start(self, world: SlotWorld) -> None:
        """Create the slot queues."""
        self._world = world
        for zone in sorted({worker.zone for worker in world.workers}):
            slots = {w.name: w.slots for w in world.workers if w.zone == zone}
            self.queues[zone] = SlotQueue()
            self.queues[zone].set_endpoints(slots, 0.0)
            world.after(0.0, self._tick, zone)

    def handle(self, attempt: Attempt) -> None:
        """Send directly while the load is low, otherwise ask."""
        world = self._world
        worker = world.choose(attempt.router)
        if attempt.router < self._old_routers or worker is None:
            world.send_directly(attempt)
        elif world.estimate(attempt.router, worker) < ASK_FROM_SHARE * worker.slots:
            world.send(attempt, worker, self._end_direct)
        else:
            home = world.get_zone(attempt.router)
            self._ask(attempt, home if home in self.queues else worker.zone)

    def _tick(self, zone: int) -> None:
        self._tell(zone, self.queues[zone].expire(self._world.now_s))
        self._world.after(TICK_S, self._tick, zone)

    def _message(self, attempt: Attempt, zone: int, action: Callable, *a: Any) -> None:
        self._world.messages += 1
        router_zone = self._world.get_zone(attempt.router)
        self._world.after(self._world.get_delay_s(router_zone, zone), action, *a)

    def _ask(self, attempt: Attempt, zone: int, is_overflow: bool = False) -> None:
        self._sequence += 1
        key = f"{attempt.router}/{self._sequence}"
        attempt.asks[key] = zone
        self._attempts[key] = attempt
        call = attempt.call
        request = SlotRequest(
            key,
            call.route,
            call.team,
            call.weight,
            call.urgency,
            attempt.client,
            call.arrives_s + call.objective_s,
            call.arrives_s + call.deadline_s,
            self._world.now_s,
            is_overflow,
        )
        self._message(attempt, zone, self._offer, zone, request)

    def _offer(self, zone: int, request: SlotRequest) -> None:
        self._tell(zone, self.queues[zone].offer(request, self._world.now_s))

    def _tell(self, zone: int, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            attempt = self._attempts[decision.key]
            self._message(attempt, zone, self._receive, attempt, zone, decision)

    def _receive(self, attempt: Attempt, zone: int, decision: Decision) -> None:
        if attempt.is_decided or decision.key not in attempt.asks:
            if isinstance(decision, Granted):
                self._message(attempt, zone, self._cancel, zone, decision.key)
        elif isinstance(decision, Granted):
            del attempt.asks[decision.key]
            self._close(attempt)
            self._send_granted(attempt, zone, decision)
        elif isinstance(decision, Queued):
            wait_s = 2 * decision.wait_s + ASK_TIMEOUT_S
            self._world.after(wait_s, self._give_up, attempt)
            if decision.wait_s > OVERFLOW_WAIT_SHARE * attempt.call.objective_s:
                self._overflow(attempt, zone)
        else:
            del attempt.asks[decision.key]
            if zone == self._get_home(attempt, zone):
                attempt.retry_after_s = decision.retry_after_s
                self._overflow(attempt, zone)
            if not attempt.asks and attempt.retry_after_s is not None:
                attempt.is_decided = True
                self._world.refuse(attempt, attempt.retry_after_s)

    def _get_home(self, attempt: Attempt, zone: int) -> int:
        home = self._world.get_zone(attempt.router)
        return home if home in self.queues else zone

    def _overflow(self, attempt: Attempt, zone: int) -> None:
        others = [worker for worker in self._world.workers if worker.zone != zone]
        if others and not attempt.has_overflowed:
            attempt.has_overflowed = True
            worker = min(
                self._world.random.sample(others, min(2, len(others))),
                key=lambda w: self._world.estimate(attempt.router, w) / w.slots,
            )
            self._ask(attempt, worker.zone, is_overflow=True)

    def _close(self, attempt: Attempt) -> None:
        attempt.is_decided = True
        for key, zone in attempt.asks.items():
            self._message(attempt, zone, self._cancel, zone, key)
        attempt.asks.clear()

    def _give_up(self, attempt: Attempt) -> None:
        if not attempt.is_decided and attempt.retry_after_s is None:
            self.gave_up += 1
            self._close(attempt)
            self._world.send_directly(attempt)

    def _cancel(self, zone: int, key: str) -> None:
        self._tell(zone, self.queues[zone].cancel(key, self._world.now_s))

    def _send_granted(self, attempt: Attempt, zone: int, grant: Granted) -> None:
        world = self._world
        worker = next(w for w in world.workers if w.name == grant.endpoint)

        def end(
            attempt: Attempt, worker: Worker, took_s: float, load: LoadReport | None
        ) -> None:
            took = took_s if load else None
            if world.random.random() >= self._release_loss:
                args = (zone, grant.key, worker, took, load)
                self._message(attempt, zone, self._release, *args)
            if load:
                world.answer(attempt)
            else:
                world.refuse(attempt, FULL_RETRY_S)

        world.send(attempt, worker, end)

    def _release(
        self,
        zone: int,
        key: str,
        worker: Worker,
        took_s: float | None,
        load: LoadReport | None,
    ) -> None:
        queue, now_s = self.queues[zone], self._world.now_s
        if load is not None:
            self._tell(zone, queue.observe_load(worker.name, load, now_s))
        self._tell(zone, queue.release(key, took_s, now_s))

    def _end_direct(
        self, attempt: Attempt, worker: Worker, took_s: float, load: LoadReport | None
    ) -> None:
        if load is None:
            self._world.send_directly(attempt, (worker.name,))
            return
        self._world.answer(attempt)
        key = (attempt.router, worker.name)
        last_s = self._reported_s.get(key, -math.inf)
        is_new = self._world.now_s >= last_s + REPORT_INTERVAL_S
        if is_new and load.total >= ASK_FROM_SHARE * worker.slots:
            self._reported_s[key] = self._world.now_s
            self._message(attempt, worker.zone, self._observe, worker, load)

    def _observe(self, worker: Worker, load: LoadReport) -> None:
        queue = self.queues[worker.zone]
        self._tell(
            worker.zone, queue.observe_load(worker.name, load, self._world.now_s)
        )
