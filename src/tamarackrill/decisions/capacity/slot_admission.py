"""Whether a call is queued for a slot, and until when it may return if it isn't.

Load pattern: a lasting overload.  Without a limit, the queue grows until every response
is late, which is worth half, and it never gets shorter by serving them late.
"""

import math

from tamarackrill.decisions.capacity.slots import SlotRequest
from tamarackrill.decisions.capacity.waiting_calls import WaitingCall

# Factor of expected waits: booked calls go before those that are queued, and arrivals
# of other teams vary.  With 1.6 fewer of the served calls are in time at 1.8 times
# capacity, at the same throughput.
WAIT_MARGIN = 2.0
# A lease outlasts calls that take several times as long as expected; without a release
# a slot is unused for this long.
LEASE_MIN_S = 0.25
LEASE_WORK_FACTOR = 6.0
# Least part of a call's duration that counts as work, whatever its endpoint had queued.
OWN_TIME_MIN = 0.5
# Part of its remaining time that a rejected client waits before it returns.
RETRY_TIME_SHARE = 1 / 3
# Longest time without a queued or rejected call within one saturation.
RELIEF_S = 1.0


def find_refusal(
    call: WaitingCall, wait_s: float, took_s: float, may_be_late: bool, now_s: float
) -> str | None:
    """Return why `call` is not queued, or None.

    Parameters
    ----------
    call : WaitingCall
        A call that finds no free slot.
    wait_s : float
        Its expected wait.
    took_s : float
        Its expected duration.
    may_be_late : bool
        Whether it may end after its objective.
    now_s : float
        Current time.
    """
    request = call.request
    if now_s + took_s > request.deadline_s:
        return "deadline"
    if now_s + took_s <= request.objective_s:
        limit_s = request.objective_s
    else:
        limit_s = now_s + 2 * took_s
    if call.is_booked or may_be_late:
        limit_s = math.inf
    is_late = now_s + wait_s + took_s > min(limit_s, request.deadline_s)
    return "no_capacity" if is_late else None


def find_latest_return_s(request: SlotRequest, took_s: float, now_s: float) -> float:
    """Return the latest time at which a rejected client returns and can be served."""
    client_s = now_s + RETRY_TIME_SHARE * (request.deadline_s - now_s)
    return min(client_s, request.deadline_s - took_s)


def find_lease_end_s(took_s: float, now_s: float) -> float:
    """Return when a grant of a call that is expected to take `took_s` expires."""
    return now_s + max(LEASE_MIN_S, LEASE_WORK_FACTOR * took_s)


def subtract_queue_time(took_s: float, queued_s: float) -> float:
    """Return a call's duration without the time in its endpoint's own queue."""
    return max(took_s - queued_s, OWN_TIME_MIN * took_s)


class Saturation:
    """Since when calls have been queued or rejected."""

    def __init__(self) -> None:
        self._since_s = -math.inf
        self._last_s = -math.inf

    def note(self, now_s: float) -> None:
        """Record that a call is queued or rejected for lack of slots."""
        if now_s - self._last_s > RELIEF_S:
            self._since_s = now_s
        self._last_s = now_s

    def find_since_s(self, now_s: float) -> float | None:
        """Return the start of the current saturation, or None."""
        return self._since_s if now_s - self._last_s <= RELIEF_S else None
