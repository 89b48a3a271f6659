"""Whom a router serves next, who waits, and who is refused.

Load patterns and what happens without this module:

- A burst or lasting overload.  A queue served in order of arrival grows until every
  answer is late, and clients that retry keep it there after the burst has gone.
  Here a request whose deadline cannot be met by the measured wait is refused at
  once, and one that waits is dropped as soon as it can no longer be in time.
- A team that surges.  Turns go by the weight of the contract (`fairness`), and when
  the queue is full, room comes from the team that exceeds its share most.
- Long model work among short lookups.  A few slots are kept for short work as long
  as there is any, and inside a team the order is by size, with ageing.  A flood of
  short work leaves a quarter of the slots to long work.
- Refused clients that come back together.  Retry-After is an appointment: each
  refusal of a team books the next place at the rate at which the team is served,
  and a hash of the request's identity spreads it.

Costs: a decision takes O(log n) comparisons in the number of waiting teams;
`expire` and a full queue look at all that wait, at most ``queue_max``.
"""

import math
import zlib
from heapq import merge
from typing import Literal, NamedTuple

from tamarackrill.decisions.estimates import compute_cost, is_short
from tamarackrill.decisions.waiting import Entry, Pool, Running, WaitingRequest

# Order inside a team: a request may be overtaken by work that arrives up to its own
# length later, at the users' target of 46 ms a token.  So short goes first, and
# nothing is overtaken for longer than that.
AGEING_S_PER_TOKEN = 0.046
# A step of priority counts like having come 30 s earlier, the default deadline of a
# contract: it decides among requests that can be in time, and still ages.
PRIORITY_STEP_S = 30.0
# The estimate of a wait is wrong by about 14 % (`estimates`); a request is accepted
# with twice that in hand, and dropped later only when the plain estimate is past
# its deadline, so that an accepted request is not lost to noise.
ACCEPT_MARGIN = 1.28
# A client that comes back in under a second finds the same queue; one that is told
# more than 30 s could as well be told to give up, by the default deadline.
RETRY_MIN_S = 1.0
RETRY_MAX_S = 30.0

# With no slot to be had and nothing running that could free one, nothing says that a
# wait will end.  An ejected endpoint is probed, and a restarted one back, within 5 s.
NO_SLOT_WAIT_S = 5.0

RefusalCode = Literal["queue_full", "deadline_unmeetable", "no_endpoint"]


class Start(NamedTuple):
    """Send this request to an endpoint now."""

    request_id: str


class Refuse(NamedTuple):
    """Give this request its final answer now; it has not run."""

    request_id: str
    code: RefusalCode
    retry_after_s: float


Action = Start | Refuse


class AdmissionQueue:
    """Waiting requests of one router, a bounded queue for each endpoint pool.

    Parameters
    ----------
    queue_max : int
        Most requests that wait for one pool.
    """

    def __init__(self, queue_max: int) -> None:
        self._queue_max = queue_max
        self._pools: dict[str, Pool] = {}
        self._waiting: dict[str, Entry] = {}
        self._running: dict[str, str] = {}
        self._sequence = 0

    def offer(self, request: WaitingRequest, now_s: float) -> list[Refuse]:
        """Queue `request`, or refuse it or one that has less right to wait.

        Returns
        -------
        list of Refuse
            Empty if `request` waits and nobody had to make room.  Call `dispatch`
            next: there may be a free slot.
        """
        pool = self._pools.setdefault(request.pool, Pool())
        short = is_short(request.size_tokens)
        if short:
            pool.estimate.note_short(now_s)
        entry = self._make_entry(request)
        queue = pool.teams.get(request.team)
        before = queue.sum_before(entry) if queue else 0.0
        rates = pool.measure_rates(now_s)
        wait_s = ACCEPT_MARGIN * pool.estimate_wait_s(request, before, rates)
        late_s = _estimate_late_s(pool, entry, wait_s, now_s)
        if late_s > 0:
            return [_refuse(pool, entry, "deadline_unmeetable", late_s, now_s)]
        refusals = []
        if pool.waiting >= self._queue_max:
            victim = self._find_victim(pool, request)
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
            Present time.

        Returns
        -------
        list of Start or Refuse
            Refusals are requests that could no longer be in time.
        """
        pool = self._pools.get(pool_name)
        actions: list[Action] = []
        if pool is None:
            return actions
        pool.slots = len(pool.running) + slots_free
        while slots_free > 0 and pool.waiting:
            size_class = pool.choose_lane(now_s)
            team = pool.scheduler.find_first(size_class)
            if team is None:
                break
            entry = pool.teams[team].find_first(size_class)
            late_s = _estimate_late_s(pool, entry, 0.0, now_s)
            if late_s <= 0:
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
        """Take note that a started request has left its endpoint.

        Parameters
        ----------
        request_id : str
            A request that was started; others are ignored.
        now_s : float
            Present time.
        size_tokens : float, optional
            Length that the answer really had; the team's turn is corrected by it.
        completed : bool, default=True
            False if it failed or was cancelled: it then says nothing about speed.
        """
        pool_name = self._running.pop(request_id, None)
        if pool_name is None:
            return
        pool = self._pools[pool_name]
        request, cost, started_s = pool.running.pop(request_id)
        short = is_short(request.size_tokens)
        pool.running_long -= not short
        real_cost = cost if size_tokens is None else compute_cost(size_tokens)
        pool.scheduler.charge(request.team, real_cost - cost, request.weight)
        if completed:
            pool.estimate.observe(real_cost, now_s - started_s, now_s, short)

    def expire(self, now_s: float) -> list[Refuse]:
        """Refuse all that can no longer be in time; call it every 250 ms or so."""
        refusals = []
        for pool in self._pools.values():
            refusals += self._expire_pool(pool, now_s)
            pool.scheduler.remove_idle()
            for team in [t for t, at_s in pool.bookings.items() if at_s <= now_s]:
                del pool.bookings[team]
        return refusals

    def cancel(self, request_id: str) -> bool:
        """Forget a waiting request; returns whether it was waiting."""
        entry = self._waiting.get(request_id)
        if entry is None:
            return False
        self._remove_waiting(self._pools[entry.request.pool], entry)
        return True

    def find_pool(self, request_id: str) -> str:
        """Return the pool of a started request."""
        return self._running[request_id]

    def estimate_service_s(self, pool_name: str, size_tokens: float) -> float:
        """Return what an answer of this length may need; 0 if nothing is known."""
        pool = self._pools.get(pool_name)
        return (
            pool.estimate.estimate_service_s(compute_cost(size_tokens)) if pool else 0.0
        )

    def count_waiting(self, pool_name: str) -> int:
        """Return how many requests wait for a pool."""
        pool = self._pools.get(pool_name)
        return pool.waiting if pool else 0

    def count_running(self, pool_name: str) -> int:
        """Return how many requests of a pool were started and not released."""
        pool = self._pools.get(pool_name)
        return len(pool.running) if pool else 0

    def count_reserved(self, pool_name: str, now_s: float) -> int:
        """Return how many slots of a pool long work leaves to short work."""
        pool = self._pools.get(pool_name)
        return pool.count_reserved(now_s) if pool else 0

    def _make_entry(self, request: WaitingRequest) -> Entry:
        self._sequence += 1
        cost = compute_cost(request.size_tokens)
        order_s = (
            request.arrived_s
            + AGEING_S_PER_TOKEN * cost
            - PRIORITY_STEP_S * request.priority
        )
        return Entry(order_s, self._sequence, request, cost)

    def _find_victim(self, pool: Pool, request: WaitingRequest) -> Entry | None:
        own = pool.teams.get(request.team)
        own_share = request.weight / (pool.weight + (0.0 if own else request.weight))
        if own and len(own) >= self._queue_max * own_share:
            return None
        heaviest = max(pool.teams.values(), key=lambda queue: len(queue) / queue.weight)
        return None if heaviest is own else heaviest.find_last()

    def _start(self, pool: Pool, entry: Entry, now_s: float) -> None:
        request = entry.request
        pool.scheduler.serve(request.team, entry.cost, request.weight)
        self._remove_waiting(pool, entry)
        pool.running[request.id] = Running(request, entry.cost, now_s)
        pool.running_long += not is_short(request.size_tokens)
        self._running[request.id] = request.pool

    def _remove_waiting(self, pool: Pool, entry: Entry) -> None:
        pool.remove(entry)
        del self._waiting[entry.request.id]

    def _expire_pool(self, pool: Pool, now_s: float) -> list[Refuse]:
        refusals = []
        rates = pool.measure_rates(now_s)
        for _, queue in pool.list_in_order():
            before = 0.0
            for entry in list(merge(*queue.lines.values())):
                wait_s = pool.estimate_wait_s(entry.request, before, rates)
                late_s = _estimate_late_s(pool, entry, wait_s, now_s)
                code = _find_refusal(pool, entry, late_s, now_s)
                if code is None:
                    before += entry.cost
                    continue
                self._remove_waiting(pool, entry)
                refusals.append(_refuse(pool, entry, code, late_s, now_s))
        return refusals


def _estimate_late_s(pool: Pool, entry: Entry, wait_s: float, now_s: float) -> float:
    """Return by how much the answer would be late; not above 0 if in time."""
    service_s = pool.estimate.estimate_service_s(entry.cost)
    return now_s + wait_s + service_s - entry.request.deadline_s


def _find_refusal(
    pool: Pool, entry: Entry, late_s: float, now_s: float
) -> RefusalCode | None:
    if late_s > 0:
        return "deadline_unmeetable"
    has_slots = pool.slots > 0 or pool.running
    if not has_slots and now_s - entry.request.arrived_s >= NO_SLOT_WAIT_S:
        return "no_endpoint"
    return None


def _refuse(
    pool: Pool, entry: Entry, code: RefusalCode, late_s: float, now_s: float
) -> Refuse:
    retry_after_s = _book_retry(pool, entry, late_s, now_s)
    return Refuse(entry.request.id, code, retry_after_s)


def _book_retry(pool: Pool, entry: Entry, late_s: float, now_s: float) -> float:
    """Return when to come back: after all that were refused before.

    With the same Retry-After for all, a refused burst would come back as a burst,
    seen as goodput that dips once every Retry-After.
    """
    request = entry.request
    share = request.weight / max(pool.weight, request.weight)
    rate = pool.measure_rates(now_s).all_tokens_per_s * share
    step_s = entry.cost / rate if rate else 0.0
    earliest_s = now_s + max(RETRY_MIN_S, min(late_s, RETRY_MAX_S))
    booked_s = max(earliest_s, pool.bookings.get(request.team, 0.0)) + step_s
    booked_s = min(booked_s, now_s + RETRY_MAX_S)
    pool.bookings[request.team] = booked_s
    spread = 0.5 + zlib.crc32(request.id.encode()) / 2**32
    return max(RETRY_MIN_S, math.ceil((booked_s - now_s) * spread * 1000.0) / 1000.0)
