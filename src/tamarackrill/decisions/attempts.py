"""What follows an attempt that has not brought a request its answer.

Load pattern: endpoints refuse, fail, break off and fall silent, one by one or all of a
service together.  A request that can still be served elsewhere goes there at once; one
that can't gets its final answer at once.  Without the first, each endpoint that fails
costs its callers their answers; without the second, they wait out their deadlines.

What the client is told has to be true.  Only a request that no endpoint can have begun
is answered with a promise that it has not run, and with when to come back.  All others
get what the endpoint said, or that the outcome is not known.
"""

from typing import Literal, NamedTuple

from tamarackrill.decisions import hashing

Outcome = Literal["answered", "not_sent", "not_run", "failed", "lost", "misplaced"]
NextStep = Literal["repeat", "answer", "refuse", "give_up"]

# Less than this is no time in which a lookup of 20 ms could come back.
TIME_LEFT_MIN_S = 0.03
# Endpoints of one service to which a connection may be tried and fail for a request;
# each costs a timeout at worst, and nothing was sent.
CONNECTS_MAX = 4
# Endpoints that were no longer at their addresses, after which a request is refused.
# None of them has had it, so that they don't use up the endpoints that it may be sent
# to; each costs a few milliseconds and one of the fleet's repeats.
MISPLACED_MAX = 3
# A client that full endpoints refused comes back after a time drawn from this range.
# Work at full endpoints ends at some ten a second each, so a place is free soon; spread
# over half a second, the returns of one burst are not the next burst.
RETURN_MIN_S = 0.15
RETURN_SPREAD_S = 0.5
# Part of its time after which a client comes back to endpoints that can't be reached.
# Cuts last seconds, and clients come back once or twice: the later the better, but one
# that waits for more than a third of what it has left may not come back at all.
CUT_RETURN_SHARE = 0.22
CUT_RETURN_SPREAD_SHARE = 0.1
# Once the balancer sends clients to other zones, the first of them arrive spread over
# so much time, at routers that serve their own zone besides.
ELSEWHERE_SPREAD_S = 0.2


class AttemptHistory(NamedTuple):
    """What has happened to a request so far.

    Parameters
    ----------
    sent : int
        Endpoints that it was sent to and reached.
    unconnected : int
        Endpoints to which no connection could be made.
    may_have_run : bool
        Whether an endpoint can have begun to run it.
    misplaced : int
        Endpoints that were no longer where it was sent; they never had it.
    """

    sent: int = 0
    unconnected: int = 0
    may_have_run: bool = False
    misplaced: int = 0

    @property
    def was_delivered(self) -> bool:
        """Whether any endpoint has got it, so that another send repeats it."""
        return bool(self.sent or self.misplaced)


def add_attempt(tried: AttemptHistory, outcome: Outcome) -> AttemptHistory:
    """Return what has happened after one more attempt."""
    if outcome == "not_sent":
        return tried._replace(unconnected=tried.unconnected + 1)
    if outcome == "misplaced":
        return tried._replace(misplaced=tried.misplaced + 1)
    ran = outcome in ("failed", "lost")
    return tried._replace(sent=tried.sent + 1, may_have_run=tried.may_have_run or ran)


def decide_next(
    outcome: Outcome,
    tried: AttemptHistory,
    may_repeat: bool,
    attempts_max: int,
    repeats_left: float,
    time_left_s: float,
) -> NextStep:
    """Decide what follows an attempt.

    Parameters
    ----------
    outcome : {"not_sent", "not_run", "misplaced", "failed", "lost"}
        No connection; the endpoint says that it has not run the request; another
        endpoint has the address; a whole answer that tells of a failure; no whole
        answer came.
    tried : Tried
        All attempts, this one counted.
    may_repeat : bool
        Whether the request may run more than once.
    attempts_max : int
        Endpoints that it may be sent to.
    repeats_left : float
        What the budget still allows.
    time_left_s : float
        Until the client's deadline or the route's timeout.

    Returns
    -------
    {"repeat", "answer", "refuse", "give_up"}
        Try another endpoint; pass on the endpoint's answer; tell that it has not run
        and when to come back; tell that the outcome is not known.
    """
    if _may_repeat_now(
        outcome, tried, may_repeat, attempts_max, repeats_left, time_left_s
    ):
        return "repeat"
    if outcome == "failed":
        return "answer"
    return "give_up" if tried.may_have_run else "refuse"


def _may_repeat_now(
    outcome: Outcome,
    tried: AttemptHistory,
    may_repeat: bool,
    attempts_max: int,
    repeats_left: float,
    time_left_s: float,
) -> bool:
    if time_left_s < TIME_LEFT_MIN_S or tried.sent >= attempts_max:
        return False
    if tried.may_have_run and not may_repeat:
        return False
    if outcome == "not_sent":
        return tried.unconnected < CONNECTS_MAX
    if tried.misplaced > MISPLACED_MAX:
        return False
    return repeats_left >= 1.0


def choose_retry_after_s(
    key: str, is_cut: bool, time_left_s: float, elsewhere_s: float | None = None
) -> float:
    """Return when a refused client should come back, spread by its request.

    Parameters
    ----------
    key : str
        Identifies the request.
    is_cut : bool
        Whether its endpoints can't be reached, and not only full.
    time_left_s : float
        Until the client's deadline.
    elsewhere_s : float or None, default=None
        Time after which it reaches a router in another zone, if that is foreseen.
    """
    share = hashing.hash_name(key) % 1000 / 1000
    soon_s = RETURN_MIN_S + share * RETURN_SPREAD_S
    if not is_cut:
        return soon_s
    late_share = CUT_RETURN_SHARE + share * CUT_RETURN_SPREAD_SHARE
    late_s = late_share * time_left_s
    if elsewhere_s is not None:
        late_s = min(late_s, elsewhere_s + share * ELSEWHERE_SPREAD_S)
    return max(RETURN_MIN_S, late_s)
