"""Admits calls: holds the futures of waiting calls and asks `AdmissionQueue`."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable

from tamarackrill.contracts import EndpointKind
from tamarackrill.decisions.admission import Action, AdmissionQueue, Refuse, Start
from tamarackrill.decisions.waiting import WaitingRequest
from tamarackrill.exceptions import Refusal
from tamarackrill.router.attempts import Attempt
from tamarackrill.router.calls import Call

EXPIRE_WAIT_S = 0.25
_MESSAGES = {
    "queue_full": "too many requests wait for this model or service",
    "deadline_unmeetable": "the answer cannot be ready by the deadline",
    "no_endpoint": "no endpoint can take the call",
}


class Admitter:
    """Waiting calls of this router.

    Parameters
    ----------
    count_free : callable
        Returns how many more calls the pool of a call can take now.
    queue_max : int
        Waiting calls for each pool.
    clock : callable
        Returns the present time.
    """

    def __init__(
        self,
        count_free: Callable[[Call], int],
        queue_max: int,
        clock: Callable[[], float],
    ) -> None:
        self._count_free = count_free
        self._clock = clock
        self._queue = AdmissionQueue(queue_max)
        self._waiters: dict[str, asyncio.Future[None]] = {}
        # Latest call of each pool: what `count_free` is asked about.
        self._latest: dict[str, Call] = {}
        self._granted: Counter[str] = Counter()

    async def run(self) -> None:
        """Refuse calls that can no longer be in time, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_WAIT_S)
            now_s = self._clock()
            self._apply(self._queue.expire(now_s))
            for pool in self._latest:
                self._take(pool, now_s)

    async def acquire_slot(self, call: Call, now_s: float) -> None:
        """Return when the call may be placed; must be followed by `release_slot`.

        Raises
        ------
        Refusal
            If there is no room for the call or it can't be served in time.
        """
        pool = _name_pool(call.kind, call.pool)
        self._latest[pool] = call
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters[call.request_id] = future
        self._apply(self._queue.offer(_make_request(call, pool, now_s), now_s))
        self._take(pool, now_s)
        try:
            await future
        except asyncio.CancelledError:
            self.cancel(call)
            self._queue.release(call.request_id, now_s, completed=False)
            raise
        finally:
            del self._waiters[call.request_id]
            # From here to the endpoint's count of running calls there is no wait,
            # so that a slot is never counted as free in between.
            if future.done() and not future.cancelled() and not future.exception():
                self._granted[pool] -= 1

    def release_slot(self, call: Call, attempt: Attempt, now_s: float) -> None:
        """Count a call as over and admit those that can go next."""
        # Only a stream tells its length: each event carries about one token.
        size_tokens = float(attempt.chunks) if call.stream else None
        completed = attempt.outcome == "answered"
        self._queue.release(
            call.request_id, now_s, size_tokens if completed else None, completed
        )
        self._take(_name_pool(call.kind, call.pool), now_s)

    def cancel(self, call: Call) -> None:
        """Take a call whose caller has gone out of the queue."""
        if self._queue.cancel(call.request_id):
            refusal = Refusal("cancelled", 499, "the caller went away")
            self._waiters[call.request_id].set_exception(refusal)

    def has_waiting(self, call: Call) -> bool:
        """Return whether calls wait for the pool of this one."""
        return self._queue.count_waiting(_name_pool(call.kind, call.pool)) > 0

    def estimate_service_s(self, call: Call) -> float:
        """Return how long an endpoint may need for a call, by what was measured."""
        pool = _name_pool(call.kind, call.pool)
        return self._queue.estimate_service_s(pool, call.size_tokens)

    def admit_waiting(self, pool: str) -> None:
        """Admit waiting calls of a model or service that may have free slots."""
        now_s = self._clock()
        self._take(_name_pool("engine", pool), now_s)
        self._take(_name_pool("service", pool), now_s)

    def describe(self) -> dict[str, int]:
        """Return the number of waiting calls of each pool, for queries."""
        return {pool: self._queue.count_waiting(pool) for pool in self._latest}

    def _take(self, pool: str, now_s: float) -> None:
        if pool in self._latest:
            free = self._count_free(self._latest[pool]) - self._granted[pool]
            self._apply(self._queue.dispatch(pool, max(0, free), now_s))

    def _apply(self, actions: Iterable[Action]) -> None:
        for action in actions:
            future = self._waiters[action.request_id]
            if future.done():
                # Its task was cancelled and has not run since; it releases the slot.
                continue
            if isinstance(action, Start):
                self._granted[self._queue.find_pool(action.request_id)] += 1
                future.set_result(None)
            else:
                future.set_exception(_make_refusal(action))


def _name_pool(kind: EndpointKind, pool: str) -> str:
    # A model and a service may have the same name.
    return f"{kind}:{pool}"


def _make_request(call: Call, pool: str, now_s: float) -> WaitingRequest:
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
    message = _MESSAGES[action.code]
    return Refusal(action.code, 503, message, retry_after_s=action.retry_after_s)
