"""Asks allocators for slots on behalf of this router's requests."""

import math
from collections.abc import Callable, Collection, Iterable, Mapping

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.capacity.load_reports import LoadReport
from tamarackrill.decisions.capacity.sharing_scope import SharingScope
from tamarackrill.decisions.capacity.slot_admission import RETRY_TIME_SHARE
from tamarackrill.decisions.hashing import hash_name
from tamarackrill.events import SLOT_QUEUED, SLOT_REJECTED, log_event
from tamarackrill.exceptions import Refusal
from tamarackrill.protocol.slot_codec import AVOID_MAX, SlotAnswer, Verdict
from tamarackrill.router.capacity.slot_asks import (
    ASK_TIMEOUT_S,
    SentAsk,
    SlotAsks,
    wait_any,
)
from tamarackrill.router.capacity.slot_grants import NO_GRANT
from tamarackrill.router.capacity.slot_messages import make_ask, make_release
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_calls import EdgeCall
from tamarackrill.router.edge_placing import EdgePlacement, EdgePlacer
from tamarackrill.router.metrics import Metrics

UNAVAILABLE_STATUS = 503
# Share of its slots from which on requests to an endpoint need a grant.
ASK_FROM_SHARE = 0.5
# Share of the objective that a request waits in its zone before it asks another one.
OVERFLOW_WAIT_SHARE = 0.1
# Interval in which the loads of requests without a grant are reported, by endpoint.
REPORT_INTERVAL_S = 0.1
# A refused client whose time is over gets this; 0 would stand for no value.
RETRY_AFTER_MIN_S = 0.001


class NoCapacity(Refusal):
    """An allocator has rejected a request.

    Parameters
    ----------
    retry_after_s : float
        When the client may return.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(
            "no_capacity",
            UNAVAILABLE_STATUS,
            "the service has no capacity left for the team",
            retry_after_s=retry_after_s,
        )


class SlotClient:
    """Grants for this router's requests to plain services.

    Parameters
    ----------
    scope : SharingScope
        Services whose capacity is shared.
    asks : SlotAsks
        Sends asks.
    view : DeploymentView
        Current endpoints and services.
    placer : EdgePlacer
        Estimates loads, and knows which endpoints a request can't be sent to.
    zone : str
        Availability zone of this router.
    metrics : Metrics
        Counts asks by outcome.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        scope: SharingScope,
        asks: SlotAsks,
        view: DeploymentView,
        placer: EdgePlacer,
        zone: str,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._scope = scope
        self._asks = asks
        self._view = view
        self._placer = placer
        self._zone = zone
        self._metrics = metrics
        self._clock = clock
        # When the load of an endpoint was last reported without a grant.
        self._reported_s: dict[str, float] = {}

    def must_ask(self, call: EdgeCall, placed: EdgePlacement | None) -> bool:
        """Return whether a request needs a grant.

        Parameters
        ----------
        call : EdgeCall
            The request.
        placed : EdgePlacement or None
            The endpoint chosen for it; None if by this router's estimate all are full.
        """
        if not self._is_shared(call.service):
            return False
        if placed is None:
            return True
        return placed.load >= ASK_FROM_SHARE * placed.endpoint.slots

    async def acquire(
        self, call: EdgeCall, placed: EdgePlacement | None, avoid: Collection[str]
    ) -> EdgePlacement | None:
        """Return the placement with its grant, None if no allocator has decided.

        Parameters
        ----------
        call : EdgeCall
            The request.
        placed : EdgePlacement or None
            The endpoint chosen for it.
        avoid : collection of str
            Endpoints that it can't be sent to.

        Raises
        ------
        NoCapacity
            If it is rejected.
        """
        usable, avoid = self._find_usable(call, avoid)
        zone = self._choose_zone(call, placed, usable)
        sent = None if zone is None else self._ask(call, zone, avoid, False)
        if sent is None:
            return None
        granted = None
        try:
            granted = await self._wait(call, sent, usable, avoid)
        finally:
            # Also if the client has disconnected.
            if granted is not sent:
                self._asks.cancel(sent)
        if granted is None:
            return None
        return self._use(call, granted, usable, placed)

    def finish(
        self, placed: EdgePlacement, load: LoadReport | None, took_s: float | None
    ) -> None:
        """End the grant of a placement, or report a load that an endpoint stated.

        Parameters
        ----------
        placed : EdgePlacement
            The placement.
        load : LoadReport or None
            Valid load that the response stated.
        took_s : float or None
            Duration of the attempt; None if it got no response.
        """
        endpoint = placed.endpoint
        if load is not None and load.slowdown is not None:
            for service in endpoint.serves:
                self._scope.observe_slowdown(service)
        if placed.grant != NO_GRANT:
            release = make_release(endpoint.name, load, took_s)
            self._asks.release(placed.grant, release)
        elif load is not None and self._must_report(endpoint, load):
            allocator = self._asks.find_allocator(endpoint.serves[0], endpoint.zone)
            if allocator is not None:
                release = make_release(endpoint.name, load, None)
                self._asks.release(allocator, release)

    def _is_shared(self, service: str) -> bool:
        if not self._scope.includes(service):
            return False
        table = self._view.routes
        known = None if table is None else table.services.get(service)
        return known is not None and not known.is_engine

    def _must_report(self, endpoint: Endpoint, load: LoadReport) -> bool:
        if load.total < ASK_FROM_SHARE * endpoint.slots:
            return False
        if not self._is_shared(endpoint.serves[0]):
            return False
        now_s = self._clock()
        due_s = self._reported_s.get(endpoint.name, -math.inf) + REPORT_INTERVAL_S
        if now_s < due_s:
            return False
        # Endpoints that are gone would stay otherwise.
        oldest_s = now_s - REPORT_INTERVAL_S
        self._reported_s = {n: t for n, t in self._reported_s.items() if t > oldest_s}
        self._reported_s[endpoint.name] = now_s
        return True

    def _find_usable(
        self, call: EdgeCall, avoid: Collection[str]
    ) -> tuple[dict[str, list[str]], list[str]]:
        """Return the endpoints that may get a request by zone, and those that can't."""
        refused = self._placer.find_refused(call, avoid, self._clock())
        usable: dict[str, list[str]] = {}
        for name, endpoint in self._view.find_pool(call.service).by_name.items():
            if name not in refused:
                usable.setdefault(endpoint.zone, []).append(name)
        # Those that have failed the request come first, as the list is limited.
        return usable, [*avoid, *sorted(refused.difference(avoid))]

    def _choose_zone(
        self,
        call: EdgeCall,
        placed: EdgePlacement | None,
        usable: Mapping[str, Collection[str]],
    ) -> str | None:
        if self._zone in usable:
            return self._zone
        if placed is not None:
            return placed.endpoint.zone
        return next(iter(self._order_zones(call, usable, "")), None)

    def _order_zones(
        self, call: EdgeCall, usable: Mapping[str, Collection[str]], other_than: str
    ) -> list[str]:
        """Return zones by the estimated load of their least loaded endpoint."""
        pool, loads = self._view.find_pool(call.service), self._placer.placement.loads
        summary = loads.summarize(pool.by_name, self._clock())

        def rank(zone: str) -> tuple[float, int]:
            shares = (
                loads.estimate_one(name, summary, self._clock())
                / max(1, pool.by_name[name].slots)
                for name in usable[zone]
            )
            # Routers with the same estimates don't all choose the same zone.
            return min(shares), hash_name(call.request_id + zone)

        return sorted((zone for zone in usable if zone != other_than), key=rank)

    def _ask(
        self, call: EdgeCall, zone: str, avoid: Iterable[str], is_overflow: bool
    ) -> SentAsk | None:
        allocator = self._asks.find_allocator(call.service, zone)
        if allocator is None:
            return None
        pool = self._view.find_pool(call.service).select_zone(zone)
        here = [name for name in avoid if name in pool.by_name][:AVOID_MAX]
        ask = make_ask(call, zone, here, is_overflow, self._clock())
        return self._asks.send(allocator, ask)

    async def _wait(
        self,
        call: EdgeCall,
        sent: SentAsk,
        usable: Mapping[str, Collection[str]],
        avoid: Collection[str],
    ) -> SentAsk | None:
        """Return the ask that is granted; None if the allocator is silent.

        Raises
        ------
        NoCapacity
            If the request is rejected.
        """
        await wait_any([sent.first], ASK_TIMEOUT_S)
        if not sent.first.done():
            self._give_up(sent)
            return None
        first = sent.first.result()
        self._count(Verdict(first.decision).name.lower())
        if _is_granted(sent):
            return sent
        wait_s = first.wait_ms / 1000
        is_queued = first.decision == Verdict.QUEUED
        if is_queued:
            self._log_queued(call, sent, wait_s)
        if not is_queued or wait_s > OVERFLOW_WAIT_SHARE * call.route.objective_s:
            granted = await self._overflow(call, sent, usable, avoid)
            if granted is not None:
                return granted
        left_s = call.deadline_s - self._clock()
        await wait_any([sent.final], min(2 * wait_s + ASK_TIMEOUT_S, left_s))
        if not sent.final.done():
            # The allocator has answered, so that this is no sign that it is gone; a
            # later ask finds out.
            self._count("overdue")
            return None
        if _is_granted(sent):
            return sent
        raise self._reject(call, sent, sent.final.result())

    async def _overflow(
        self,
        call: EdgeCall,
        sent: SentAsk,
        usable: Mapping[str, Collection[str]],
        avoid: Collection[str],
    ) -> SentAsk | None:
        """Ask another zone; return the ask that is granted, None if neither is."""
        others = self._order_zones(call, usable, sent.zone)
        second = self._ask(call, others[0], avoid, True) if others else None
        if second is None:
            return None
        due_s = self._clock() + ASK_TIMEOUT_S
        granted = None
        try:
            # The first ask may be decided meanwhile.
            undecided = [] if sent.final.done() else [sent.final]
            await wait_any([second.first, *undecided], ASK_TIMEOUT_S)
            if not _is_granted(sent):
                await wait_any([second.first], due_s - self._clock())
            if _is_granted(sent):
                granted = sent
            elif _is_granted(second):
                granted = second
                self._count("overflow_granted")
            elif second.first.done():
                self._count("overflow_rejected")
            else:
                self._give_up(second)
        finally:
            if granted is not second:
                self._asks.cancel(second)
        return granted

    def _use(
        self,
        call: EdgeCall,
        granted: SentAsk,
        usable: Mapping[str, Collection[str]],
        placed: EdgePlacement | None,
    ) -> EdgePlacement | None:
        """Return the placement at the granted endpoint, None if it can't be used."""
        name = granted.final.result().endpoint
        endpoint = self._view.find_pool(call.service).by_name.get(name)
        if endpoint is None or name not in usable.get(endpoint.zone, ()):
            self._asks.cancel(granted)
            return None
        now_s = self._clock()
        load = self._placer.placement.loads.estimate([name], now_s)[0]
        bound = endpoint.slots if placed is None else placed.bound
        return EdgePlacement(
            endpoint, "granted", load, bound, now_s, grant=granted.grant
        )

    def _give_up(self, sent: SentAsk) -> None:
        self._asks.observe_timeout(sent)
        self._count("silent")

    def _reject(self, call: EdgeCall, sent: SentAsk, answer: SlotAnswer) -> NoCapacity:
        left_s = call.deadline_s - self._clock()
        if call.headers.wait_s is not None:
            left_s = call.arrived_s + call.headers.wait_s - self._clock()
        retry_after_s = min(answer.wait_ms / 1000, RETRY_TIME_SHARE * left_s)
        retry_after_s = max(RETRY_AFTER_MIN_S, retry_after_s)
        log_event(
            SLOT_REJECTED,
            request=call.request_id,
            team=call.team or "",
            service=call.service,
            zone=sent.zone,
            reason=answer.reason,
            retry_after_s=round(retry_after_s, 3),
        )
        return NoCapacity(retry_after_s)

    def _log_queued(self, call: EdgeCall, sent: SentAsk, wait_s: float) -> None:
        log_event(
            SLOT_QUEUED,
            request=call.request_id,
            team=call.team or "",
            service=call.service,
            zone=sent.zone,
            wait_s=wait_s,
        )

    def _count(self, outcome: str) -> None:
        self._metrics.count("slot_asks", outcome)


def _is_granted(sent: SentAsk) -> bool:
    return sent.final.done() and sent.final.result().decision == Verdict.GRANTED
