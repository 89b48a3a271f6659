"""Decides which request a router serves next, which wait and which are refused.

Load patterns and what happens without this module:

- A burst or lasting overload.  A queue served in order of arrival grows until every
  answer is late, and clients that retry keep it full after the burst has ended.
  Here a request whose deadline cannot be met at the estimated wait is refused at
  once, and a waiting one is dropped as soon as it can no longer meet its deadline.
- A team that surges.  Teams are served by the weight of their contracts
  (`fairness`); when the queue is full, the team that most exceeds its share loses a
  request.
- Long model requests among short lookups.  A few slots are reserved for short
  requests while there are any, and within a team requests are ordered by size, with
  ageing.  A flood of short requests leaves a quarter of the slots to long ones.
- Refused clients that return together.  Each refusal of a team schedules a later
  retry time at the rate at which the team is served, and a hash of the request id
  adds jitter to Retry-After.

Costs: a decision takes O(log n) comparisons in the number of waiting teams;
`expire` and a full queue scan all waiting requests, at most ``queue_max``.
"""

import math
import zlib
from heapq import merge
from typing import Literal, NamedTuple

from tamarackrill.decisions.estimates import compute_cost, is_short
from tamarackrill.decisions.waiting import Entry, Pool, RunningRequest, WaitingRequest

# Order inside a team: a request may be overtaken only by requests that arrive within
# the time of its own length, at the target of 46 ms a token.  Short requests go
# first, and no request is overtaken for longer than that.
AGEING_S_PER_TOKEN = 0.046
# A step of priority counts like arriving 30 s earlier, the default deadline of a
# contract: it decides among requests that can meet their deadlines, and still ages.
PRIORITY_STEP_S = 30.0
# Wait estimates are wrong by about 14 % (`estimates`).  A request is accepted with
# twice that as margin, and dropped later only if the estimate without margin is past
# its deadline, so that estimation noise does not drop accepted requests.
ACCEPT_MARGIN = 1.28
# A client that retries within a second finds the same queue; with the default
# deadline of 30 s, waiting longer than that is as good as giving up.
RETRY_MIN_S = 1.0
RETRY_MAX_S = 30.0

# With no slot available and nothing running that could free one, a wait may never
# end.  An ejected endpoint is probed, and a restarted one back, within 5 s.
NO_SLOT_WAIT_S = 5.0

RefusalCode = Literal["queue_full", "deadline_unmeetable", "no_endpoint"]


class Start(NamedTuple):
    """Send this request to an endpoint now."""

    request_id: str


class Refuse(NamedTuple):
    """Refuse this request now; it has not run."""

    request_id: str
    code: RefusalCode
    retry_after_s: float


Action = Start | Refuse


class AdmissionQueue:
    """Waiting requests of one router, in a bounded queue for each endpoint pool.

    Parameters
    ----------
    queue_max : int
        Largest number of requests that wait for one pool.
    """

    def __init__(self, queue_max: int) -> None:
        self._queue_max = queue_max
        self._pools: dict[str, Pool] = {}
        self._waiting: dict[str, Entry] = {}
        self._running: dict[str, str] = {}
        self._sequence = 0

    def offer(self, request: WaitingRequest, now_s: float) -> list[Refuse]:
        """Queue `request`, or refuse it or one of a team that exceeds its share.

        Returns
        -------
        list of Refuse
            Empty if `request` is queued and no other request was evicted.  Call
            `dispatch` next, since there may be a free slot.
        """
        pool = self._pools.setdefault(request.pool, Pool())
        short = is_short(request.size_tokens)
        if short:
            pool.estimate.record_short_arrival(now_s)
        entry = self._make_entry(request)
        queue = pool.teams.get(request.team)
        cost_ahead = queue.sum_cost_ahead(entry) if queue else 0.0
        rates = pool.measure_rates(now_s)
        wait_s = ACCEPT_MARGIN * pool.estimate_wait_s(request, cost_ahead, rates)
        lateness_s = _estimate_lateness_s(pool, entry, wait_s, now_s)
        if lateness_s > 0:
            return [_refuse(pool, entry, "deadline_unmeetable", lateness_s, now_s)]
        refusals = []
        if pool.waiting >= self._queue_max:
            victim = self._choose_victim(pool, request)
            if victim is None:
                return [_refuse(pool, entry, "queue_full", 0.0, now_s)]
            self._remove_waiting(pool, victim)
            refusals.append(_refuse(pool, victim, "queue_full", 0.0, now_s))
        pool.add(entry)
        self._waiting[request.id] = entry
        return refusals

    def dispatch(self, pool_name: str, slots_free: int, now_s: float) -> list[Action]:
        """Start as many requests as there are free slots.

        Parameters
        ----------
        pool_name : str
            Model or service.
        slots_free : int
            Slots that this router may fill now.
        now_s : float
            Current time.

        Returns
        -------
        list of Start or Refuse
            Refused requests could no longer meet their deadlines.
        """
        pool = self._pools.get(pool_name)
        actions: list[Action] = []
        if pool is None:
            return actions
        pool.slots = len(pool.running) + slots_free
        while slots_free > 0 and pool.waiting:
            size_class = pool.choose_size_class(now_s)
            team = pool.scheduler.find_first(size_class)
            if team is None:
                break
            entry = pool.teams[team].find_first(size_class)
            lateness_s = _estimate_lateness_s(pool, entry, 0.0, now_s)
            if lateness_s <= 0:
                self._start(pool, entry, now_s)
                actions.append(Start(entry.request.id))
                slots_free -= 1
                continue
            self._remove_waiting(pool, entry)
            actions.append(_refuse(pool, entry, "deadline_unmeetable", 0.0, now_s))
        return actions

    def release(
        self,
        request_id: str,
        now_s: float,
        size_tokens: float | None = None,
        completed: bool = True,
    ) -> None:
        """Release the slot of a started request.

        Parameters
        ----------
        request_id : str
            A request that was started; others are ignored.
        now_s : float
            Current time.
        size_tokens : float, optional
            Actual length of the answer; corrects the cost charged to the team.
        completed : bool, default=True
            False if it failed or was cancelled; it is then left out of the speed.
        """
        pool_name = self._running.pop(request_id, None)
        if pool_name is None:
            return
        pool = self._pools[pool_name]
        request, cost, started_s = pool.running.pop(request_id)
        short = is_short(request.size_tokens)
        pool.running_long_count -= not short
        actual_cost = cost if size_tokens is None else compute_cost(size_tokens)
        pool.scheduler.charge(request.team, actual_cost - cost, request.weight)
        if completed:
            pool.estimate.observe(actual_cost, now_s - started_s, now_s, short)

    def expire(self, now_s: float) -> list[Refuse]:
        """Refuse requests that cannot meet their deadlines; call about every 250 ms."""
        refusals = []
        for pool in self._pools.values():
            refusals += self._expire_pool(pool, now_s)
            pool.scheduler.remove_idle()
            for team in [t for t, at_s in pool.next_retry_s.items() if at_s <= now_s]:
                del pool.next_retry_s[team]
        return refusals

    def cancel(self, request_id: str) -> bool:
        """Remove a waiting request; return whether it was waiting."""
        entry = self._waiting.get(request_id)
        if entry is None:
            return False
        self._remove_waiting(self._pools[entry.request.pool], entry)
        return True

    def find_pool(self, request_id: str) -> str:
        """Return the pool of a started request."""
        return self._running[request_id]

    def estimate_service_s(self, pool_name: str, size_tokens: float) -> float:
        """Return the estimated service time of an answer; 0 if unknown."""
        pool = self._pools.get(pool_name)
        return (
            pool.estimate.estimate_service_s(compute_cost(size_tokens)) if pool else 0.0
        )

    def count_waiting(self, pool_name: str) -> int:
        """Return how many requests wait for a pool."""
        pool = self._pools.get(pool_name)
        return pool.waiting if pool else 0

    def count_running(self, pool_name: str) -> int:
        """Return how many started requests of a pool are not released yet."""
        pool = self._pools.get(pool_name)
        return len(pool.running) if pool else 0

    def count_reserved(self, pool_name: str, now_s: float) -> int:
        """Return how many slots of a pool are reserved for short requests."""
        pool = self._pools.get(pool_name)
        return pool.count_reserved(now_s) if pool else 0

    def _make_entry(self, request: WaitingRequest) -> Entry:
        self._sequence += 1
        cost = compute_cost(request.size_tokens)
        sort_key_s = (
            request.arrived_s
            + AGEING_S_PER_TOKEN * cost
            - PRIORITY_STEP_S * request.priority
        )
        return Entry(sort_key_s, self._sequence, request, cost)

    def _choose_victim(self, pool: Pool, request: WaitingRequest) -> Entry | None:
        own_queue = pool.teams.get(request.team)
        own_share = request.weight / (
            pool.waiting_weight + (0.0 if own_queue else request.weight)
        )
        if own_queue and len(own_queue) >= self._queue_max * own_share:
            return None
        longest = max(pool.teams.values(), key=lambda queue: len(queue) / queue.weight)
        return None if longest is own_queue else longest.find_last()

    def _start(self, pool: Pool, entry: Entry, now_s: float) -> None:
        request = entry.request
        pool.scheduler.serve(request.team, entry.cost, request.weight)
        self._remove_waiting(pool, entry)
        pool.running[request.id] = RunningRequest(request, entry.cost, now_s)
        pool.running_long_count += not is_short(request.size_tokens)
        self._running[request.id] = request.pool

    def _remove_waiting(self, pool: Pool, entry: Entry) -> None:
        pool.remove(entry)
        del self._waiting[entry.request.id]

    def _expire_pool(self, pool: Pool, now_s: float) -> list[Refuse]:
        refusals = []
        rates = pool.measure_rates(now_s)
        for _, queue in pool.list_in_order():
            cost_ahead = 0.0
            for entry in list(merge(*queue.entries.values())):
                wait_s = pool.estimate_wait_s(entry.request, cost_ahead, rates)
                lateness_s = _estimate_lateness_s(pool, entry, wait_s, now_s)
                code = _find_refusal(pool, entry, lateness_s, now_s)
                if code is None:
                    cost_ahead += entry.cost
                    continue
                self._remove_waiting(pool, entry)
                refusals.append(_refuse(pool, entry, code, lateness_s, now_s))
        return refusals


def _estimate_lateness_s(
    pool: Pool, entry: Entry, wait_s: float, now_s: float
) -> float:
    """Return how late the answer would be; not above 0 if in time."""
    service_s = pool.estimate.estimate_service_s(entry.cost)
    return now_s + wait_s + service_s - entry.request.deadline_s


def _find_refusal(
    pool: Pool, entry: Entry, lateness_s: float, now_s: float
) -> RefusalCode | None:
    if lateness_s > 0:
        return "deadline_unmeetable"
    has_slots = pool.slots > 0 or pool.running
    if not has_slots and now_s - entry.request.arrived_s >= NO_SLOT_WAIT_S:
        return "no_endpoint"
    return None


def _refuse(
    pool: Pool, entry: Entry, code: RefusalCode, lateness_s: float, now_s: float
) -> Refuse:
    retry_after_s = _schedule_retry(pool, entry, lateness_s, now_s)
    return Refuse(entry.request.id, code, retry_after_s)


def _schedule_retry(pool: Pool, entry: Entry, lateness_s: float, now_s: float) -> float:
    """Return the Retry-After, later than those of the team's earlier refusals.

    With the same Retry-After for all, a refused burst would return as a burst, and
    goodput would dip once every Retry-After.
    """
    request = entry.request
    share = request.weight / max(pool.waiting_weight, request.weight)
    rate = pool.measure_rates(now_s).all_tokens_per_s * share
    step_s = entry.cost / rate if rate else 0.0
    earliest_s = now_s + max(RETRY_MIN_S, min(lateness_s, RETRY_MAX_S))
    retry_s = max(earliest_s, pool.next_retry_s.get(request.team, 0.0)) + step_s
    retry_s = min(retry_s, now_s + RETRY_MAX_S)
    pool.next_retry_s[request.team] = retry_s
    jitter = 0.5 + zlib.crc32(request.id.encode()) / 2**32
    return max(RETRY_MIN_S, math.ceil((retry_s - now_s) * jitter * 1000.0) / 1000.0)
