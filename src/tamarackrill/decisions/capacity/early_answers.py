"""What becomes of an answer whose body a router can't hold until it is complete.

Load pattern: an endpoint sends a body that is long, or that never ends, as fast as it
is read.  A router that collects each body before it answers fills its memory within a
second or two, and the requests of all its clients end with its process.  One that
refuses what is too long denies its clients sound answers.

So a body is held while it fits, which lets an attempt that fails be retried, and its
answer begins early otherwise: it is forwarded as its client reads it.  An answer that
has begun can't be taken back.  A failure need not begin if another attempt may bring
more, and one that arrives where a stream goes on can't be answered at all.
"""

from typing import Literal

SERVER_ERROR_MIN = 500
# The body of a refusal says nothing that a router needs; one that is read to its end
# leaves its connection usable.  Endpoints explain a refusal in less than this.
REFUSAL_MAX_BYTES = 4 * 1024

EarlyStep = Literal["begin", "retry", "break"]


def decide_early(status: int, has_begun: bool, may_retry: bool) -> EarlyStep:
    """Decide what becomes of an answer that can't be held.

    Parameters
    ----------
    status : int
        Its status.
    has_begun : bool
        Whether the client has received part of a stream, which this answer can't go on.
    may_retry : bool
        Whether another attempt may answer the request if this one has failed.

    Returns
    -------
    {"begin", "retry", "break"}
        Forward it from now on; treat it as a failure without a body; treat it as an
        invalid answer.
    """
    is_failure = status >= SERVER_ERROR_MIN
    if is_failure and (has_begun or may_retry):
        return "retry"
    return "break" if has_begun else "begin"


def must_read_refusal(read_bytes: int) -> bool:
    """Return whether more of the body of a refusal is read."""
    return read_bytes < REFUSAL_MAX_BYTES
