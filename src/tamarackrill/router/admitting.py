"""Runs the admission queue: waiting calls await futures, `AdmissionQueue` decides."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable

from tamarackrill.contracts import EndpointKind
from tamarackrill.decisions.admission import Action, AdmissionQueue, Refuse, Start
from tamarackrill.decisions.waiting import WaitingRequest
from tamarackrill.exceptions import Refusal
from tamarackrill.router.attempts import Attempt
from tamarackrill.router.calls import Call
from tamarackrill.router.unexpected_errors import log_unexpected

EXPIRE_INTERVAL_S = 0.25
_REFUSAL_MESSAGES = {
    "queue_full": "too many requests wait for this model or service",
    "deadline_unmeetable": "the answer cannot be ready by the deadline",
    "no_endpoint": "no endpoint can take the call",
}


class Admitter:
    """Admission control for the calls of this router.

    Parameters
    ----------
    count_free : callable
        Returns the number of free slots in the pool of a call.
    queue_max : int
        Largest number of calls that wait for one pool.
    clock : callable
        Returns the current time.
    is_current : callable, optional
        Returns whether calls may be admitted or refused by what is known now.
    """

    def __init__(
        self,
        count_free: Callable[[Call], int],
        queue_max: int,
        clock: Callable[[], float],
        is_current: Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_current = is_current
        self._count_free = count_free
        self._clock = clock
        self._queue = AdmissionQueue(queue_max)
        self._waiters: dict[str, asyncio.Future[None]] = {}
        # Latest call of each pool, the argument for `count_free`.
        self._latest_calls: dict[str, Call] = {}
        # Slots granted to calls whose task has not resumed yet, by pool.
        self._granted: Counter[str] = Counter()

    async def run(self) -> None:
        """Refuse calls that can no longer meet their deadline, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            if self._is_current():
                self.admit_all()

    def admit_all(self) -> None:
        """Admit or refuse the waiting calls of all pools."""
        now_s = self._clock()
        self._apply(self._queue.expire(now_s))
        for pool in self._latest_calls:
            try:
                self._dispatch(pool, now_s)
            except Exception as error:
                # The calls that wait for other pools are admitted all the same.
                log_unexpected("admit", error)

    async def acquire_slot(self, call: Call, now_s: float) -> None:
        """Wait until the call has a slot; the caller must then call `release_slot`.

        Raises
        ------
        Refusal
            If the queue is full or the call can't meet its deadline.
        """
        pool = _make_pool_key(call.kind, call.pool)
        self._latest_calls[pool] = call
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters[call.request_id] = future
        request = _make_waiting_request(call, pool, now_s)
        try:
            self._apply(self._queue.offer(request, now_s))
            self._dispatch(pool, now_s)
            await future
        except Refusal:
            raise
        except BaseException:
            # A request that nobody waits for would hold its slot for ever.
            self._queue.cancel(call.request_id)
            self._queue.release(call.request_id, now_s, completed=False)
            raise
        finally:
            del self._waiters[call.request_id]
            # There is no await between here and the start of the endpoint's running
            # count, so the slot never appears free in between.
            if future.done() and not future.cancelled() and not future.exception():
                self._granted[pool] -= 1

    def release_slot(self, call: Call, attempt: Attempt, now_s: float) -> None:
        """Release the slot of a finished call and admit waiting calls."""
        # Only a stream shows its length: each event carries about one token.
        size_tokens = float(attempt.chunks) if call.stream else None
        completed = attempt.outcome == "answered"
        self._queue.release(
            call.request_id, now_s, size_tokens if completed else None, completed
        )
        self._dispatch(_make_pool_key(call.kind, call.pool), now_s)

    def cancel(self, call: Call) -> None:
        """Remove a call from the queue because its caller disconnected."""
        if self._queue.cancel(call.request_id):
            refusal = Refusal("cancelled", 499, "the caller went away")
            self._waiters[call.request_id].set_exception(refusal)

    def has_waiting(self, call: Call) -> bool:
        """Return whether calls are waiting for the pool of `call`."""
        return self._queue.count_waiting(_make_pool_key(call.kind, call.pool)) > 0

    def estimate_service_s(self, call: Call) -> float:
        """Return the estimated service time of a call, from past calls to its pool."""
        pool = _make_pool_key(call.kind, call.pool)
        return self._queue.estimate_service_s(pool, call.size_tokens)

    def admit_waiting(self, pool: str) -> None:
        """Admit waiting calls for a model or service that may have free slots."""
        now_s = self._clock()
        self._dispatch(_make_pool_key("engine", pool), now_s)
        self._dispatch(_make_pool_key("service", pool), now_s)

    def describe(self) -> dict[str, int]:
        """Return the number of waiting calls by pool, for the status page."""
        return {pool: self._queue.count_waiting(pool) for pool in self._latest_calls}

    def _dispatch(self, pool: str, now_s: float) -> None:
        if pool in self._latest_calls and self._is_current():
            free = self._count_free(self._latest_calls[pool]) - self._granted[pool]
            self._apply(self._queue.dispatch(pool, max(0, free), now_s))

    def _apply(self, actions: Iterable[Action]) -> None:
        for action in actions:
            future = self._waiters[action.request_id]
            if future.done():
                # The task was cancelled but has not run yet; it releases the slot.
                continue
            if isinstance(action, Start):
                self._granted[self._queue.find_pool(action.request_id)] += 1
                future.set_result(None)
            else:
                future.set_exception(_make_refusal(action))


def _make_pool_key(kind: EndpointKind, pool: str) -> str:
    # The kind tells apart a model and a service of the same name.
    return f"{kind}:{pool}"


def _make_waiting_request(call: Call, pool: str, now_s: float) -> WaitingRequest:
    return WaitingRequest(
        id=call.request_id,
        team=call.team,
        pool=pool,
        weight=call.contract.weight,
        priority=call.priority,
        size_tokens=call.size_tokens,
        deadline_s=call.deadline_s,
        arrived_s=now_s,
    )


def _make_refusal(action: Refuse) -> Refusal:
    message = _REFUSAL_MESSAGES[action.code]
    return Refusal(action.code, 503, message, retry_after_s=action.retry_after_s)
