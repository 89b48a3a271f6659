"""Which requests a router still passes on after it was told to stop.

Load pattern: a router is told to stop and is killed after a grace period, while clients
go on using its open connections, and a balancer sends new ones for two seconds. Some
requests take longer than what is left. If all were taken, those that outlast the grace
period would be cut off, among them some that may not run twice, though another router
would have served them. If none were taken, each request that takes milliseconds would
have to come back.

A request that ends by itself before the grace period does, by its deadline at the
latest, is always served. Otherwise the time that such requests have taken decides.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

# Time until SIGKILL in which connections are closed; by then all requests have ended.
STOP_MARGIN_S = 0.3
# Time before that in which requests in flight are answered: 300 take an eighth of a
# second of a core. With STOP_MARGIN_S it is less than a sixth of a grace period of four
# seconds, and at most this share of a shorter one.
ANSWER_MARGIN_MAX_S = 0.5
ANSWER_MARGIN_SHARE = 1 / 12
# A client that is refused goes to another router at once; the pause spreads them.
RETRY_AFTER_S = 0.2
# Durations that are kept of each kind of request, and kinds of requests.
DURATIONS_MAX = 64
KINDS_MAX = 1024
# Durations from which on those to come are known.
DURATIONS_MIN = 3
# Of requests that may be repeated nine in ten have to fit, since one that doesn't is
# sent again by its client. The others are expected to take a quarter more than any has.
REPEATABLE_QUANTILE = 0.9
UNREPEATABLE_FACTOR = 1.25
# Time for a response to reach its client.
ANSWER_TRANSIT_S = 0.05
# Share of its timeout that a request which may be repeated is expected to take if
# nothing is known: timeouts are set to about twice the longest usual duration.
UNKNOWN_TIMEOUT_SHARE = 0.5


class StopPlan(NamedTuple):
    """Times of a planned stop.

    Parameters
    ----------
    serving_end_s : float
        Until when requests that arrive may still be served.
    answers_end_s : float
        When requests without an answer are told what is known of them.
    end_s : float
        When responses that have begun are cut off and connections are closed.
    """

    serving_end_s: float
    answers_end_s: float
    end_s: float


class StopDecision(NamedTuple):
    """Whether a request is passed on, and why.

    Parameters
    ----------
    must_serve : bool
        Whether it is passed on.
    work_s : float or None
        Time that it is expected to take; None if that is not known.
    left_s : float
        Time in which it has to end.
    """

    must_serve: bool
    work_s: float | None
    left_s: float


def plan_stop(requested_s: float, grace_s: float, serving_max_s: float) -> StopPlan:
    """Return the times of a stop.

    Parameters
    ----------
    requested_s : float
        When the router was told to stop.
    grace_s : float
        Time from then until it is killed.
    serving_max_s : float
        Time for which requests still arrive; at most half of the grace period is used.
    """
    end_s = requested_s + grace_s - STOP_MARGIN_S
    margin_s = min(ANSWER_MARGIN_MAX_S, ANSWER_MARGIN_SHARE * grace_s)
    serving_s = min(serving_max_s, grace_s / 2)
    return StopPlan(requested_s + serving_s, end_s - margin_s, end_s)


class WorkDurations:
    """Time that requests of each kind have taken, from being sent to their end.

    Responses count as a whole, streams too.
    """

    def __init__(self) -> None:
        self._durations_s: dict[tuple[str, str], deque[float]] = {}

    def observe(self, kind: tuple[str, str], work_s: float) -> None:
        """Record a request of a route and service."""
        known_s = self._durations_s.get(kind)
        if known_s is None:
            if len(self._durations_s) >= KINDS_MAX:
                del self._durations_s[next(iter(self._durations_s))]
            known_s = self._durations_s[kind] = deque(maxlen=DURATIONS_MAX)
        known_s.append(work_s)

    def list_known_s(self, kind: tuple[str, str]) -> Sequence[float]:
        """Return the last durations of a route and service."""
        return self._durations_s.get(kind, ())


def estimate_work_s(
    known_s: Sequence[float], ages_s: Iterable[float], may_repeat: bool
) -> float | None:
    """Return the time that a request is expected to take, None if it isn't known.

    Parameters
    ----------
    known_s : sequence of float
        Durations of earlier requests of its kind.
    ages_s : iterable of float
        For how long requests of its kind that haven't ended have been at work.
    may_repeat : bool
        Whether it may run more than once.
    """
    if len(known_s) < DURATIONS_MIN:
        return None
    if not may_repeat:
        return UNREPEATABLE_FACTOR * max(*known_s, *ages_s)
    found_s = _find_quantile_s(known_s)
    # Younger ones say nothing yet.
    return _find_quantile_s([*known_s, *(age for age in ages_s if age > found_s)])


def _find_quantile_s(durations_s: Sequence[float]) -> float:
    last = len(durations_s) - 1
    return sorted(durations_s)[round(REPEATABLE_QUANTILE * last)]


def decide_at_stop(
    plan: StopPlan,
    now_s: float,
    deadline_s: float,
    may_repeat: bool,
    has_others: bool,
    known_s: Sequence[float],
    ages_s: Sequence[float],
) -> StopDecision:
    """Decide whether a request is passed on by a router that stops.

    Parameters
    ----------
    plan : StopPlan
        The stop.
    now_s : float
        Present time.
    deadline_s : float
        Client's deadline or end of the route's timeout, whichever is earlier.
    may_repeat : bool
        Whether the request may run more than once.
    has_others : bool
        Whether there is another router that the client can turn to.
    known_s : sequence of float
        Durations of earlier requests of its kind.
    ages_s : sequence of float
        For how long others of its kind have been at work.
    """
    left_s = plan.answers_end_s - now_s
    work_s = estimate_work_s(known_s, ages_s, may_repeat)
    if left_s <= 0:
        return StopDecision(False, work_s, left_s)
    if deadline_s + ANSWER_TRANSIT_S <= plan.answers_end_s:
        return StopDecision(True, work_s, left_s)
    if not has_others:
        # Another router may be there only after this one has been started again.
        return StopDecision(min(known_s, default=0.0) <= left_s, work_s, left_s)
    if work_s is not None:
        return StopDecision(work_s + ANSWER_TRANSIT_S <= left_s, work_s, left_s)
    if not may_repeat:
        return StopDecision(False, None, left_s)
    least_s = max((*known_s, *ages_s), default=0.0)
    expected_s = max(least_s, UNKNOWN_TIMEOUT_SHARE * (deadline_s - now_s))
    return StopDecision(expected_s <= left_s, None, left_s)
