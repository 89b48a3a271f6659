"""Timeouts of single attempts: when a request is retried at another endpoint.

Load pattern: endpoints stop answering because a process hangs, packets are dropped
silently, or an answer is lost.  A router that waits until the deadline has no time left
for another endpoint, and the client gets nothing although another endpoint could have
served it in time.  A router that gives up too early sends its request twice, just when
endpoints are slow because of overload.

So silence ends no attempt.  After a multiple of the latency objective, or a pause
within a stream, another attempt may be sent beside the silent one; see `attempt_races`.
All wait for as long as the client does, since a late answer is still useful.
"""

from tamarackrill.decisions.manifests import Route

# Transit time of an answer that an endpoint completes just at its deadline.
RESPONSE_TRANSIT_S = 0.08
# An idempotent request is sent elsewhere too after this many latency objectives without
# an answer; failures of such requests arrive within one.
ATTEMPT_TIMEOUT_OBJECTIVES = 2.5
# Usual silence of an endpoint that goes on afterwards, for example during a garbage
# collection or a short loss of its link.  Streams are not asked for elsewhere earlier;
# idempotent requests are sooner.
SILENCE_MAX_S = 1.5
# Connections on which nothing is acknowledged, or nothing read, for this long are
# closed.  Sound endpoints whose machine stands still go on after up to four seconds.
CONNECTION_TIMEOUT_S = 5.0
# A resumable stream is asked for at another endpoint too after this long without data:
# clients disconnect after two seconds, and the other one has to read the prompt first.
STREAM_STALL_TIMEOUT_S = SILENCE_MAX_S
# An endpoint is suspected after this many objectives without an answer, although it may
# still answer: 95 in 100 answers arrive within one.
SUSPECT_OBJECTIVES = 4.0


def find_suspicion_timeout_s(route: Route) -> float:
    """Return the time without an answer after which an endpoint is suspected."""
    return SUSPECT_OBJECTIVES * route.objective_s


def find_header_timeout_s(route: Route, has_begun: bool = False) -> float | None:
    """Return the silence before the headers, or a complete answer, that starts a race.

    An endpoint may take any time for the first event of a stream, but not for the
    rest of one that its client is reading.

    Parameters
    ----------
    route : Route
        Route of the request.
    has_begun : bool, default=False
        Whether the client has received part of the stream.

    Returns
    -------
    float or None
        None if no other attempt may be sent beside this one.
    """
    if route.kind == "idempotent":
        return ATTEMPT_TIMEOUT_OBJECTIVES * route.objective_s
    return STREAM_STALL_TIMEOUT_S if route.may_repeat and has_begun else None


def find_link_timeout_s(route: Route) -> float | None:
    """Return the time without an acknowledgement that starts a race.

    It holds until the first event of a stream, which may take any time while the link
    works.

    Returns
    -------
    float or None
        None if no other attempt may be sent beside this one.
    """
    return SILENCE_MAX_S if route.may_repeat else None


def find_chunk_timeout_s(
    route: Route, earlier_attempts: int, has_begun: bool
) -> float | None:
    """Return the silence within a stream that starts a race; None if none does.

    If no other attempt can be sent then, it is considered again after as long.

    Parameters
    ----------
    route : Route
        Route of the request.
    earlier_attempts : int
        Number of earlier attempts.
    has_begun : bool
        Whether the client has received part of the stream.
    """
    has_attempt_left = earlier_attempts + 1 < route.attempts_max
    if route.may_repeat and has_attempt_left and has_begun:
        return STREAM_STALL_TIMEOUT_S
    return None
