"""Allocates the slots of plain services for all routers of a zone."""

import asyncio
import math
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Mapping

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.capacity.load_reports import LoadReport
from tamarackrill.decisions.capacity.slot_queue import SlotQueue
from tamarackrill.decisions.capacity.slots import (
    Decision,
    Queued,
    QueueSummary,
)
from tamarackrill.decisions.loads import EndpointLoad
from tamarackrill.events import SERVICE_RELIEVED, SERVICE_SATURATED, log_event
from tamarackrill.protocol.slot_codec import SlotAnswer, SlotAsk, SlotRelease
from tamarackrill.router.capacity.slot_messages import (
    make_answer,
    make_request,
    name_request,
    read_report,
)

Reply = Callable[[SlotAnswer], None]

# Intervals of `SlotQueue.expire`.
BUSY_INTERVAL_S = 0.02
IDLE_INTERVAL_S = 1.0
# Time without an ask after which the state of a service and zone is discarded.
STATE_TTL_S = 10.0
# How long calls are queued or rejected before this is logged: bursts of less than a
# second come and go with each pool.
SATURATED_LOGGED_S = 1.0
TEAMS_LOGGED = 5
# Time in which an endpoint's own report is preferred to news of its load, which lack
# the slowdown and are older.
REPORT_PREFERRED_S = 0.5
# Tickets whose service and zone are known, some 200 bytes each: the calls of several
# seconds.
TICKETS_MAX = 8_192


class _Allocation:
    """Slots of one service and zone, and the asks that wait for them."""

    def __init__(self) -> None:
        self.queue = SlotQueue()
        self.slots: Mapping[str, int] = {}
        self.waiting: dict[str, tuple[int, Reply]] = {}
        self.asked_s = 0.0
        self.reported_s: dict[str, float] = {}
        # Since when a saturation that has been logged lasts.
        self.saturated_since_s: float | None = None


class SlotServer:
    """Allocator of the services and zones about which other routers ask this one.

    Parameters
    ----------
    find_slots : callable
        Returns the slots of the live endpoints of a service and zone.
    find_endpoint : callable
        Returns an endpoint by its name, None if it is unknown.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        find_slots: Callable[[str, str], Mapping[str, int]],
        find_endpoint: Callable[[str], Endpoint | None],
        clock: Callable[[], float],
    ) -> None:
        self._find_slots = find_slots
        self._find_endpoint = find_endpoint
        self._clock = clock
        self._allocations: dict[tuple[str, str], _Allocation] = {}
        self._tickets: OrderedDict[str, tuple[str, str]] = OrderedDict()
        self._timer: asyncio.TimerHandle | None = None
        self._described_s = -math.inf

    def ask(self, ask: SlotAsk, reply: Reply) -> None:
        """Decide about an ask; the answers are passed to `reply`.

        There is no answer if this router knows no endpoint of the service in the zone:
        it may not have been told of them yet, and the asking router does without.
        """
        now_s = self._clock()
        place = (ask.service_name, ask.zone)
        slots = self._find_slots(*place)
        if not slots:
            return
        allocation = self._allocations.get(place)
        if allocation is None:
            allocation = self._allocations[place] = _Allocation()
        allocation.asked_s = now_s
        self._update_endpoints(allocation, slots)
        request = make_request(ask, now_s)
        self._remember(request.key, place)
        allocation.waiting[request.key] = (ask.ticket, reply)
        self._tell(allocation, allocation.queue.offer(request, now_s))
        self._set_timer()

    def release(self, release: SlotRelease) -> None:
        """Process the end of an attempt, a cancelled ask or a report of a load."""
        report = read_report(release)
        endpoint = self._find_endpoint(release.endpoint) if report else None
        if report is not None and endpoint is not None:
            self.observe_load(endpoint, report)
        key = name_request(release.sender, release.ticket)
        allocation = self._allocations.get(self._tickets.get(key, ("", "")))
        if allocation is None or not release.ticket:
            return
        now_s = self._clock()
        allocation.waiting.pop(key, None)
        took_s = release.took_ms / 1000 if release.took_ms >= 0 else None
        if release.endpoint:
            decisions = allocation.queue.release(key, took_s, now_s)
        else:
            decisions = allocation.queue.cancel(key, now_s)
        self._tell(allocation, decisions)

    def observe_load(self, endpoint: Endpoint, report: LoadReport) -> None:
        """Record a valid load report of an endpoint."""
        now_s = self._clock()
        for service in endpoint.serves:
            allocation = self._allocations.get((service, endpoint.zone))
            if allocation is not None:
                allocation.reported_s[endpoint.name] = now_s
                decisions = allocation.queue.observe_load(endpoint.name, report, now_s)
                self._tell(allocation, decisions)

    def observe_news(self, loads: Iterable[EndpointLoad]) -> None:
        """Record loads of which other routers have told."""
        if not self._allocations:
            return
        for load in loads:
            endpoint = self._find_endpoint(load.endpoint)
            if endpoint is not None:
                self._observe_total(endpoint, load.in_flight)

    def _observe_total(self, endpoint: Endpoint, total: int) -> None:
        now_s = self._clock()
        running = min(endpoint.slots, total)
        for service in endpoint.serves:
            allocation = self._allocations.get((service, endpoint.zone))
            if allocation is None:
                continue
            reported_s = allocation.reported_s.get(endpoint.name, -math.inf)
            if now_s >= reported_s + REPORT_PREFERRED_S:
                report = LoadReport(running, total - running)
                decisions = allocation.queue.observe_load(endpoint.name, report, now_s)
                self._tell(allocation, decisions)

    def observe_restarted(self, names: Collection[str]) -> None:
        """Discard what is known of endpoints that have restarted under their names."""
        now_s = self._clock()
        for place, allocation in self._allocations.items():
            restarted = [name for name in names if name in allocation.slots]
            for name in restarted:
                allocation.queue.remove_endpoint(name, now_s)
            if restarted:
                allocation.slots = {}
                self._update_endpoints(allocation, self._find_slots(*place))

    def describe(self) -> dict[tuple[str, str], QueueSummary]:
        """Return the state by service and zone."""
        now_s = self._clock()
        return {p: a.queue.describe(now_s) for p, a in self._allocations.items()}

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _remember(self, key: str, place: tuple[str, str]) -> None:
        self._tickets[key] = place
        if len(self._tickets) > TICKETS_MAX:
            self._tickets.popitem(last=False)

    def _update_endpoints(
        self, allocation: _Allocation, slots: Mapping[str, int]
    ) -> None:
        if slots != allocation.slots:
            allocation.slots = slots
            reported_s = allocation.reported_s
            allocation.reported_s = {n: t for n, t in reported_s.items() if n in slots}
            now_s = self._clock()
            self._tell(allocation, allocation.queue.set_endpoints(slots, now_s))

    def _tell(self, allocation: _Allocation, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            asked = allocation.waiting.get(decision.key)
            if asked is None:
                continue
            if not isinstance(decision, Queued):
                del allocation.waiting[decision.key]
            ticket, reply = asked
            reply(make_answer(ticket, decision))

    def _set_timer(self) -> None:
        is_busy = any(a.waiting for a in self._allocations.values())
        interval_s = BUSY_INTERVAL_S if is_busy else IDLE_INTERVAL_S
        loop = asyncio.get_running_loop()
        due_s = loop.time() + interval_s
        if self._timer is not None:
            if self._timer.when() <= due_s:
                return
            self._timer.cancel()
        self._timer = loop.call_at(due_s, self._expire)

    def _expire(self) -> None:
        self._timer = None
        now_s = self._clock()
        is_due = now_s >= self._described_s + IDLE_INTERVAL_S
        for place, allocation in list(self._allocations.items()):
            if is_due:
                self._update_endpoints(allocation, self._find_slots(*place))
                self._log_saturation(place, allocation)
            self._tell(allocation, allocation.queue.expire(now_s))
            if now_s >= allocation.asked_s + STATE_TTL_S:
                del self._allocations[place]
        if is_due:
            self._described_s = now_s
        if self._allocations:
            self._set_timer()
        else:
            self._tickets.clear()

    def _log_saturation(self, place: tuple[str, str], allocation: _Allocation) -> None:
        now_s = self._clock()
        summary = allocation.queue.describe(now_s)
        since_s, logged_since_s = (
            summary.saturated_since_s,
            allocation.saturated_since_s,
        )
        if (since_s is None) == (logged_since_s is None):
            return
        if since_s is not None and now_s - since_s < SATURATED_LOGGED_S:
            return
        allocation.saturated_since_s = since_s
        work_s = summary.waiting_by_team
        log_event(
            SERVICE_RELIEVED if since_s is None else SERVICE_SATURATED,
            service=place[0],
            zone=place[1],
            slots=summary.slots,
            in_use=summary.in_use,
            waiting=summary.waiting,
            teams=sorted(work_s, key=lambda t: (-work_s[t], t))[:TEAMS_LOGGED],
            seconds=round(now_s - (since_s or logged_since_s or now_s), 1),
        )
