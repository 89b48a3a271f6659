"""How long a request waits at one endpoint before it goes to another.

Load pattern: endpoints fall silent: a process hangs, a path dies without a word, an
answer is lost.  Whoever waits for one until the deadline has no time left for the next
endpoint, and the client gets nothing though another could have served it in time.  One
that gives up too early sends its request twice, just when endpoints are slow because
they have too much to do.

So only a request that may run twice, has an attempt left, finds the budget of repeats
open and another endpoint to go to is given up early, and only after a multiple of the
time in which its answer is expected.  All others wait for as long as their client does:
an answer that is late still serves it.
"""

from tamarackrill.decisions.manifests import Route

# An answer that an endpoint ends just at its deadline is on its way for so long.
RESPONSE_TRANSIT_S = 0.08
# An endpoint of lookups that is silent for this many objectives is given up for
# another; lookups that fail do so within one.
SILENT_OBJECTIVES = 2.5
# A stream that may go on elsewhere and is silent for so long does: a client leaves
# after two seconds, and the other endpoint has to read the prompt first.
STREAM_STALL_TIMEOUT_S = 1.0
# A request without an answer after this many objectives is evidence that its endpoint
# is out of order, though it may still answer: those of 95 in 100 come within one.
SUSPECT_OBJECTIVES = 4.0


def find_suspicion_timeout_s(route: Route) -> float:
    """Return after how long without an answer an endpoint is suspected."""
    return SUSPECT_OBJECTIVES * route.objective_s


def find_header_deadline_s(
    route: Route,
    sent: int,
    has_other: bool,
    repeats_left: float,
    started_s: float,
    limit_s: float,
) -> float:
    """Return until when the head of an answer is waited for.

    Parameters
    ----------
    route : Route
        Route of the request.
    sent : int
        Endpoints that it was sent to before this one.
    has_other : bool
        Whether there is another endpoint that it could go to.
    repeats_left : float
        What the budget still allows.
    started_s : float
        When this attempt began.
    limit_s : float
        When the client's deadline or the route's timeout is reached.
    """
    last_s = limit_s + RESPONSE_TRANSIT_S
    may_repeat = sent + 1 < route.attempts_max and repeats_left >= 1.0
    if route.kind != "idempotent" or not may_repeat or not has_other:
        return last_s
    return min(last_s, started_s + SILENT_OBJECTIVES * route.objective_s)


def find_chunk_timeout_s(route: Route, sent: int, has_begun: bool) -> float | None:
    """Return how long the next piece of a stream is waited for; None for its limit.

    A stream that has been silent for so long goes on elsewhere if there is another
    endpoint then, and else waits as long again.

    Parameters
    ----------
    route : Route
        Route of the request.
    sent : int
        Endpoints that it was sent to before this one.
    has_begun : bool
        Whether the client has got a part of the stream.
    """
    has_another = sent + 1 < route.attempts_max
    if route.may_repeat and has_another and has_begun:
        return STREAM_STALL_TIMEOUT_S
    return None
