"""Slots of one plain service in one zone: grants, queue and rejections.

Load pattern: more calls than slots, because workers or a zone are lost, or because one
team sends ten times its usual load or retries at once.  Without an allocator, routers
send until endpoints reject: whoever sends most gets most, queues at the endpoints are
full, and every response is late.

Here calls wait in one place, in weighted fair order (`waiting_calls`), and no longer
than they can be served in time.  The others are rejected at once, with a time to return
(`bookings`).  An endpoint gets what its slots can run (`endpoint_slots`).

Costs: a decision takes O(endpoints + log queued calls); a call that can't use a free
slot, because it has failed at that endpoint before, makes it scan the queue.
"""

import heapq
import math
from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple

from tamarackrill.decisions.capacity.bookings import (
    BOOKED_SHARE,
    RETRY_MAX_S,
    RETRY_MIN_S,
    Bookings,
)
from tamarackrill.decisions.capacity.endpoint_slots import EndpointPool, EndpointSlots
from tamarackrill.decisions.capacity.load_reports import LoadReport
from tamarackrill.decisions.capacity.slot_admission import (
    WAIT_MARGIN,
    Saturation,
    find_latest_return_s,
    find_lease_end_s,
    find_refusal,
    subtract_queue_time,
)
from tamarackrill.decisions.capacity.slots import (
    Decision,
    Granted,
    Queued,
    QueueSummary,
    Rejected,
    SlotRequest,
)
from tamarackrill.decisions.capacity.waiting_calls import (
    WaitingCall,
    WaitingCalls,
    limit_weight,
)

# Queued calls at most, besides the first of each team.  Admission keeps far fewer
# unless objectives are very long.
WAITING_MAX = 4_096
# Ended calls that are remembered, some 500 bytes each, to answer repeated asks and to
# learn from releases after a lease: half a second's at 2,000 calls/s.
ENDED_MAX = 1_024
# Interval in which state of idle teams and old bookings is removed.
CLEANUP_INTERVAL_S = 1.0
# Timers beyond the calls that have one, before the obsolete are removed.
TIMERS_SPARE = 256


class _Grant(NamedTuple):
    request: SlotRequest
    work_s: float
    endpoint: str
    # Expected time in the endpoint's own queue, no work.
    queued_s: float
    expires_s: float
    # When its team was charged, see `WaitingCalls.serve`; 0 if it found a free slot.
    charged_in: int


class _Ended(NamedTuple):
    decision: Decision
    # Of a call whose lease expired: its duration is still to be learnt from.
    grant: _Grant | None = None


class SlotQueue:
    """Slots of one plain service in one availability zone, granted by its allocator."""

    def __init__(self) -> None:
        self._now_s = -math.inf
        self._pool = EndpointPool()
        self._bookings = Bookings()
        self._waiting = WaitingCalls()
        self._grants: dict[str, _Grant] = {}
        self._ended: OrderedDict[str, _Ended] = OrderedDict()
        # When leases expire and queued calls can no longer meet their deadlines.
        self._timers: list[tuple[float, str]] = []
        self._cleanup_s = -math.inf
        self._saturation = Saturation()

    def set_endpoints(self, slots: Mapping[str, int], now_s: float) -> list[Decision]:
        """Set the live endpoints and their slots; the state of others is discarded."""
        now_s = self._advance(now_s)
        for name in [n for n in self._pool.endpoints if slots.get(n, 0) < 1]:
            self.remove_endpoint(name, now_s)
        self._pool.update(slots)
        return self._dispatch(now_s)

    def remove_endpoint(self, endpoint: str, now_s: float) -> None:
        """Remove an endpoint with its grants, counts and speed."""
        self._advance(now_s)
        for key in self._pool.remove(endpoint):
            grant = self._grants.pop(key)
            self._waiting.change_running(grant.request.team, -grant.work_s)
            self._remember(key, _Ended(Granted(key, endpoint)))

    def offer(self, request: SlotRequest, now_s: float) -> list[Decision]:
        """Grant a slot to a call, queue or reject it.

        Returns
        -------
        list of Decision
            First the one for this request, then others that follow.
        """
        now_s = self._advance(now_s)
        known = self._find_known(request.key)
        if known is not None:
            return [known]
        # Reports may have expired since the last dispatch; queued calls go first.
        others = self._expire_timers(now_s) + self._dispatch(now_s)
        left_s = request.objective_s - request.arrived_s
        work_s = self._pool.estimates.expect_s(request.route, request.team, left_s)
        is_booked = self._bookings.is_due(request.fingerprint, now_s)
        call = WaitingCall(request, work_s, is_booked)
        return [self._decide(call, now_s), *others]

    def release(self, key: str, took_s: float | None, now_s: float) -> list[Decision]:
        """End a granted call.

        Parameters
        ----------
        key : str
            Of a granted call; a queued one is cancelled, an unknown one ignored.
        took_s : float or None
            Duration of its attempt; None if it got no response.
        now_s : float
            Current time.
        """
        now_s = self._advance(now_s)
        grant = self._end_grant(key, keeps_grant=False)
        if grant is None:
            ended = self._ended.get(key)
            if ended is not None and ended.grant is not None:
                self._ended[key] = _Ended(ended.decision)
                self._learn(ended.grant, took_s, now_s)
            return self.cancel(key, now_s)
        self._learn(grant, took_s, now_s)
        return self._dispatch(now_s)

    def cancel(self, key: str, now_s: float) -> list[Decision]:
        """Withdraw a call that its router doesn't send, whether queued or granted."""
        now_s = self._advance(now_s)
        if self._waiting.remove(key) is not None:
            ended = Rejected(key, RETRY_MIN_S, "no_capacity")
            self._remember(key, _Ended(ended))
        self._end_grant(key, keeps_grant=False)
        return self._dispatch(now_s)

    def observe_load(
        self, endpoint: str, report: LoadReport, now_s: float
    ) -> list[Decision]:
        """Record a valid load report of an endpoint; unknown ones are ignored."""
        known = self._pool.endpoints.get(endpoint)
        if known is None:
            return []
        for key in known.observe(report, now_s):
            self._end_grant(key, keeps_grant=True)
        return self._dispatch(self._advance(now_s))

    def expire(self, now_s: float) -> list[Decision]:
        """End leases, and reject queued calls that can't meet their deadlines.

        Call every 0.02 s while anything is queued, otherwise every second.
        """
        now_s = self._advance(now_s)
        decisions = self._expire_timers(now_s)
        decisions += self._dispatch(now_s)
        decisions += self._reject_hopeless(now_s)
        if now_s >= self._cleanup_s:
            self._cleanup_s = now_s + CLEANUP_INTERVAL_S
            self._bookings.expire(now_s)
            self._waiting.remove_idle()
        return decisions

    def describe(self, now_s: float) -> QueueSummary:
        """Return the state for logs and metrics."""
        now_s = self._advance(now_s)
        endpoints = self._pool.endpoints.values()
        others = sum(endpoint.count_others(now_s) for endpoint in endpoints)
        if self._waiting:
            self._saturation.note(now_s)
        return QueueSummary(
            slots=sum(endpoint.slots for endpoint in endpoints),
            in_use=len(self._grants) + others,
            waiting=len(self._waiting),
            waiting_work_s=self._waiting.work_s,
            waiting_by_team=self._waiting.sum_by_team(),
            saturated_since_s=self._saturation.find_since_s(now_s),
        )

    def _advance(self, now_s: float) -> float:
        self._now_s = max(self._now_s, now_s)
        return self._now_s

    def _find_known(self, key: str) -> Decision | None:
        grant = self._grants.get(key)
        if grant is not None:
            return Granted(key, grant.endpoint)
        call = self._waiting.calls.get(key)
        if call is not None:
            return Queued(key, call.wait_s)
        ended = self._ended.get(key)
        return ended.decision if ended else None

    def _decide(self, call: WaitingCall, now_s: float) -> Decision:
        if not self._waiting and call.request.deadline_s > now_s:
            endpoint = self._pool.find_idle(call, now_s)
            if endpoint is not None:
                return self._grant(call, endpoint, now_s)
        if call.request.is_overflow:
            return self._reject(call, "no_capacity", now_s)
        # Calls ahead may all be unable to use an endpoint that this one can use.
        endpoint = self._pool.find_first(call, self._pool.list_free(now_s), now_s)
        if endpoint is not None:
            self._waiting.add(call)
            charged_in = self._waiting.serve(call.request.key)
            return self._grant(call, endpoint, now_s, charged_in)
        wait_s = self._estimate_wait_s(call, now_s)
        reason = self._find_refusal(call, wait_s, now_s)
        if reason is not None:
            return self._reject(call, reason, now_s)
        self._saturation.note(now_s)
        last_start_s = call.request.deadline_s - call.work_s
        call = call._replace(last_start_s=last_start_s, wait_s=wait_s)
        self._waiting.add(call)
        if call.is_booked:
            # Used up: equal calls of other clients have the same fingerprint.
            self._bookings.discard(call.request.fingerprint)
        self._start_timer(last_start_s, call.request.key)
        return Queued(call.request.key, wait_s)

    def _grant(
        self,
        call: WaitingCall,
        endpoint: EndpointSlots,
        now_s: float,
        charged_in: int = 0,
    ) -> Decision:
        request = call.request
        slowdown = self._pool.find_slowdown(endpoint, now_s)
        mean_s = self._waiting.measure_mean_s(len(self._grants)) * slowdown
        queued_s = (endpoint.estimate_factor(now_s) - 1.0) * mean_s
        expires_s = find_lease_end_s(call.work_s * slowdown, now_s)
        grant = _Grant(
            request, call.work_s, endpoint.name, queued_s, expires_s, charged_in
        )
        self._grants[request.key] = grant
        self._waiting.change_running(request.team, call.work_s)
        endpoint.grant(request.key, call.work_s * slowdown + queued_s, now_s)
        self._bookings.discard(request.fingerprint)
        self._start_timer(expires_s, request.key)
        return Granted(request.key, endpoint.name)

    def _dispatch(self, now_s: float) -> list[Decision]:
        """Grant free slots to queued calls."""
        decisions: list[Decision] = []
        while self._waiting:
            free = self._pool.list_free(now_s)
            found = self._find_startable(free, now_s) if free else None
            if found is None:
                break
            call, endpoint = found
            charged_in = self._waiting.serve(call.request.key)
            decisions.append(self._grant(call, endpoint, now_s, charged_in))
        return decisions

    def _find_startable(
        self, free: list[EndpointSlots], now_s: float
    ) -> tuple[WaitingCall, EndpointSlots] | None:
        first = self._waiting.find_first()
        if first is not None:
            endpoint = self._pool.find_first(first, free, now_s)
            if endpoint is not None:
                return first, endpoint
        for call in self._waiting.iterate():
            endpoint = self._pool.find_first(call, free, now_s)
            if endpoint is not None:
                return call, endpoint
        return None

    def _estimate_wait_s(self, call: WaitingCall, now_s: float) -> float:
        """Return how long `call` waits if it is queued now."""
        rate = self._pool.measure_rate(now_s)
        if not rate:
            return math.inf
        wait_s = self._waiting.estimate_work_s(call) / rate
        return wait_s if call.is_booked else WAIT_MARGIN * wait_s

    def _find_refusal(
        self, call: WaitingCall, wait_s: float, now_s: float
    ) -> str | None:
        has_queued = self._waiting.has_team(call.request.team)
        # One team with a long objective must not keep the others out.
        is_full = has_queued and len(self._waiting) >= WAITING_MAX
        if wait_s == math.inf or is_full or self._pool.are_all_in(call.request.avoid):
            return "no_capacity"
        took_s = self._pool.estimate_took_s(call.work_s, now_s)
        # A team with nothing queued uses less than its share.  While all queued work
        # fits into one objective, its call is better late than rejected.
        request, rate = call.request, self._pool.measure_rate(now_s)
        objective_s = request.objective_s - request.arrived_s
        fits = self._waiting.work_s <= rate * objective_s
        may_be_late = fits and not has_queued
        return find_refusal(call, wait_s, took_s, may_be_late, now_s)

    def _reject(self, call: WaitingCall, reason: str, now_s: float) -> Decision:
        request = call.request
        retry_s = self._choose_retry_s(call, now_s)
        retry_after_s = min(max(retry_s - now_s, RETRY_MIN_S), RETRY_MAX_S)
        decision = Rejected(request.key, retry_after_s, reason)
        self._remember(request.key, _Ended(decision))
        if reason == "no_capacity" and not request.is_overflow:
            self._saturation.note(now_s)
        return decision

    def _choose_retry_s(self, call: WaitingCall, now_s: float) -> float:
        """Return when a rejected call may return, and book that time if possible."""
        request, rate = call.request, self._pool.measure_rate(now_s)
        if not rate:
            return now_s + RETRY_MAX_S
        if request.is_overflow:
            return self._bookings.find_next(request.team, now_s)
        share = limit_weight(request.weight) / self._waiting.sum_weight(request)
        interval_s = call.work_s / (BOOKED_SHARE * share * rate)
        took_s = self._pool.estimate_took_s(call.work_s, now_s)
        latest_s = find_latest_return_s(request, took_s, now_s)
        return self._bookings.book(
            request.team, request.fingerprint, interval_s, latest_s, now_s
        ).retry_s

    def _reject_hopeless(self, now_s: float) -> list[Decision]:
        """Reject the last calls of teams while these can't meet their deadlines."""
        decisions: list[Decision] = []
        rate = self._pool.measure_rate(now_s)
        while self._waiting:
            late = [
                call
                for call in self._waiting.find_last_calls()
                if self._is_hopeless(call, rate, now_s)
            ]
            if not late:
                break
            for call in late:
                self._waiting.remove(call.request.key)
                decisions.append(self._reject(call, "deadline", now_s))
        return decisions

    def _is_hopeless(self, call: WaitingCall, rate: float, now_s: float) -> bool:
        if not rate or self._pool.are_all_in(call.request.avoid):
            return True
        ahead_s = self._waiting.sum_ahead_s(call) - call.work_s
        wait_s = self._waiting.share_work_s(call.request, ahead_s) / rate
        return now_s + wait_s > call.last_start_s

    def _expire_timers(self, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        has_freed = False
        while self._timers and self._timers[0][0] <= now_s:
            _, key = heapq.heappop(self._timers)
            grant = self._grants.get(key)
            if grant is not None and grant.expires_s <= now_s:
                self._end_grant(key, keeps_grant=True)
                has_freed = True
            call = self._waiting.calls.get(key)
            if call is not None and call.last_start_s <= now_s:
                self._waiting.remove(key)
                decisions.append(self._reject(call, "deadline", now_s))
        return decisions + (self._dispatch(now_s) if has_freed else [])

    def _start_timer(self, at_s: float, key: str) -> None:
        heapq.heappush(self._timers, (at_s, key))
        live = len(self._grants) + len(self._waiting)
        if len(self._timers) > 2 * live + TIMERS_SPARE:
            self._timers = [(grant.expires_s, k) for k, grant in self._grants.items()]
            self._timers += [
                (call.last_start_s, k) for k, call in self._waiting.calls.items()
            ]
            heapq.heapify(self._timers)

    def _end_grant(self, key: str, keeps_grant: bool) -> _Grant | None:
        grant = self._grants.pop(key, None)
        if grant is not None:
            self._pool.endpoints[grant.endpoint].granted.pop(key, None)
            self._waiting.change_running(grant.request.team, -grant.work_s)
            ended = Granted(key, grant.endpoint)
            self._remember(key, _Ended(ended, grant if keeps_grant else None))
        return grant

    def _learn(self, grant: _Grant, took_s: float | None, now_s: float) -> None:
        """Record a duration, and charge the team for the actual work."""
        endpoint = self._pool.endpoints.get(grant.endpoint)
        if took_s is None or endpoint is None:
            return
        request = grant.request
        slowdown = endpoint.find_slowdown(now_s)
        own_s = subtract_queue_time(took_s, grant.queued_s)
        work_s = self._pool.estimates.observe(
            request.route, request.team, endpoint.name, own_s, slowdown
        )
        if work_s is not None:
            difference_s = work_s - grant.work_s
            self._waiting.adjust_cost(request.team, difference_s, grant.charged_in)

    def _remember(self, key: str, ended: _Ended) -> None:
        self._ended[key] = ended
        if len(self._ended) > ENDED_MAX:
            self._ended.popitem(last=False)
