"""What an error that no step of a request declares means for the request.

Load pattern: a fault of the router, or something odd in an entry or an answer, raises
an error in one step.  If it ended the request, its client would see a connection that
ends without an answer, though other endpoints could serve it.

What the client is told must be true: a request is reported as not run only if nothing
of it can have been sent.
"""

from tamarackrill.decisions.attempts import Outcome

SERVICE_UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
# Retry-After if not even the step that computes it works.  Others of the same kind may
# be served by another router, or by this one once the cause is gone.
RETRY_AFTER_S = 0.5


def classify_attempt(has_sent: bool, is_answered: bool) -> Outcome:
    """Return the outcome of an attempt that raised an undeclared error.

    Parameters
    ----------
    has_sent : bool
        Whether any of the request may have been written to the endpoint.
    is_answered : bool
        Whether the client's response is complete, so that only recording it failed.
    """
    if is_answered:
        return "answered"
    return "lost" if has_sent else "not_sent"


def choose_status(has_sent: bool, is_late: bool) -> int:
    """Return the status of a request that is ended by an undeclared error.

    Parameters
    ----------
    has_sent : bool
        Whether any of the request may have been written to an endpoint.
    is_late : bool
        Whether its deadline has passed.
    """
    if not has_sent:
        return SERVICE_UNAVAILABLE
    return GATEWAY_TIMEOUT if is_late else BAD_GATEWAY
