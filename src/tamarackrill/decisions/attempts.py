"""Next step after an attempt that did not get a response for a request.

Load pattern: endpoints refuse, fail, break off or stop responding, one at a time or all
endpoints of a service together. A request that another endpoint can still serve is sent
there at once; any other gets its final response at once. Without the first rule every
failing endpoint costs its callers their responses; without the second they wait until
their deadlines.

What the client is told must be true. Only a request that no endpoint can have started
is reported as not run, with a time to retry. All others get the endpoint's response, or
are told that the outcome is unknown.
"""

from typing import Literal, NamedTuple

from tamarackrill.decisions import hashing

Outcome = Literal["answered", "not_sent", "not_run", "failed", "lost", "misplaced"]
NextStep = Literal["repeat", "answer", "refuse", "give_up"]

# Minimum time left for another attempt; a 20 ms lookup could not complete in less.
ATTEMPT_TIME_MIN_S = 0.03
# Failed connection attempts allowed per request, over the endpoints of one service.
# Each costs at most a connect timeout, and nothing was sent.
CONNECT_ATTEMPTS_MAX = 4
# Endpoints found to have moved from their address, after which a request is refused.
# None of them received the request, so they don't count towards the endpoints it may be
# sent to; each costs a few milliseconds and one retry of the fleet's budget.
MISPLACED_MAX = 3
# Range of Retry-After when all endpoints are full. Full endpoints complete about ten
# requests per second each, so a slot is free soon; the half second of jitter keeps the
# retries of one burst from forming the next.
RETRY_AFTER_MIN_S = 0.15
RETRY_AFTER_JITTER_S = 0.5
# Retry-After when endpoints are unreachable, as a share of the client's remaining time.
# Network partitions last seconds and clients retry once or twice, so a late retry is
# better, but a client that has to wait for more than a third of its remaining time may
# not retry at all.
UNREACHABLE_RETRY_AFTER_SHARE = 0.22
UNREACHABLE_JITTER_SHARE = 0.1
# Jitter for clients that come back once another zone's routers or an endpoint can serve
# them, so that their retries don't arrive together.
AVAILABLE_JITTER_S = 0.2


class AttemptHistory(NamedTuple):
    """Attempts made so far for a request.

    Parameters
    ----------
    sent : int
        Endpoints that received the request.
    unconnected : int
        Endpoints to which no connection could be made.
    may_have_run : bool
        Whether an endpoint may have started to run it.
    misplaced : int
        Endpoints that had moved from the address it was sent to; they never received
        it.
    """

    sent: int = 0
    unconnected: int = 0
    may_have_run: bool = False
    misplaced: int = 0

    @property
    def was_delivered(self) -> bool:
        """Whether the request reached any host, so that another send is a retry."""
        return bool(self.sent or self.misplaced)


def add_attempt(history: AttemptHistory, outcome: Outcome) -> AttemptHistory:
    """Return the history including one more attempt."""
    if outcome == "not_sent":
        return history._replace(unconnected=history.unconnected + 1)
    if outcome == "misplaced":
        return history._replace(misplaced=history.misplaced + 1)
    may_have_begun = outcome in ("failed", "lost")
    return history._replace(
        sent=history.sent + 1, may_have_run=history.may_have_run or may_have_begun
    )


def decide_next(
    outcome: Outcome,
    history: AttemptHistory,
    is_idempotent: bool,
    attempts_max: int,
    repeats_left: float,
    time_left_s: float,
) -> NextStep:
    """Decide what to do after an attempt.

    Parameters
    ----------
    outcome : {"not_sent", "not_run", "misplaced", "failed", "lost"}
        No connection; the endpoint reports that it did not run the request; another
        endpoint now has the address; a complete response that reports a failure; no
        complete response.
    history : AttemptHistory
        All attempts, including this one.
    is_idempotent : bool
        Whether the request may run more than once.
    attempts_max : int
        Maximum number of endpoints to send it to.
    repeats_left : float
        Retries left in the budget.
    time_left_s : float
        Time until the client's deadline or the route's timeout.

    Returns
    -------
    {"repeat", "answer", "refuse", "give_up"}
        Try another endpoint; forward the endpoint's response; report that the request
        has not run and when to retry; report that the outcome is unknown.
    """
    if _can_retry(
        outcome, history, is_idempotent, attempts_max, repeats_left, time_left_s
    ):
        return "repeat"
    if outcome == "failed":
        return "answer"
    return "give_up" if history.may_have_run else "refuse"


def _can_retry(
    outcome: Outcome,
    history: AttemptHistory,
    is_idempotent: bool,
    attempts_max: int,
    repeats_left: float,
    time_left_s: float,
) -> bool:
    if time_left_s < ATTEMPT_TIME_MIN_S or history.sent >= attempts_max:
        return False
    if history.may_have_run and not is_idempotent:
        return False
    if outcome == "not_sent":
        return history.unconnected < CONNECT_ATTEMPTS_MAX
    if history.misplaced > MISPLACED_MAX:
        return False
    return repeats_left >= 1.0


def choose_retry_after_s(
    key: str,
    is_unreachable: bool,
    time_left_s: float,
    available_in_s: float | None = None,
) -> float:
    """Return when a refused client should retry, with jitter by request.

    Parameters
    ----------
    key : str
        Identifies the request.
    is_unreachable : bool
        Whether the endpoints are unreachable or in backoff, rather than full.
    time_left_s : float
        Time until the client's deadline.
    available_in_s : float or None, default=None
        Expected time until an endpoint can be reached, if known: one in backoff, or
        another one through a router in another zone.
    """
    jitter = hashing.hash_name(key) % 1000 / 1000
    busy_retry_s = RETRY_AFTER_MIN_S + jitter * RETRY_AFTER_JITTER_S
    if not is_unreachable:
        return busy_retry_s
    retry_share = UNREACHABLE_RETRY_AFTER_SHARE + jitter * UNREACHABLE_JITTER_SHARE
    retry_s = retry_share * time_left_s
    if available_in_s is not None:
        retry_s = min(retry_s, available_in_s + jitter * AVAILABLE_JITTER_S)
    return max(RETRY_AFTER_MIN_S, retry_s)
