"""Which client connections a router takes while its file descriptors run short.

Load pattern: clients open more connections than the process has descriptors, idle ones
or ones whose requests take long.  Each request needs a second descriptor, for its
endpoint.  A router that takes connections until none is left can't connect to any
endpoint, to the store or to other routers, so that it refuses all requests, those on
connections that it had before too, and takes its endpoints for unreachable.

So some descriptors are kept for what a router opens itself, and a share of the others
for the endpoints of requests that come on connections which are open already.  From
there on connections that have been idle for long make room.  Where none is idle, a new
connection is taken only to refuse its first request; without descriptors for that, it
waits to be accepted.
"""

from typing import Literal, NamedTuple

# Listeners, the store, the log, and connections to some other routers at a time.
OWN_DESCRIPTORS = 64
# Share of the others that is kept for connections to endpoints.
ENDPOINT_SHARE = 1 / 8
# Share of the others in which connections are taken only to be refused.
REFUSAL_SHARE = 1 / 16
# A client sends its first request right after connecting, and the next one of a series
# within this time.
IDLE_MIN_S = 1.0
# When a client that was refused may come back: connections end all the time, and the
# balancer sends it to another router.
RETRY_AFTER_S = 0.5

Decision = Literal["serve", "refuse", "wait"]


class DescriptorUsage(NamedTuple):
    """Descriptors of a process.

    Parameters
    ----------
    limit : int
        How many it may have.
    clients, endpoints : int
        Open connections of clients, and to endpoints.
    """

    limit: int
    clients: int
    endpoints: int

    @property
    def free(self) -> int:
        """How many are left beside those that a router keeps for itself."""
        return self.limit - OWN_DESCRIPTORS - self.clients - self.endpoints


def decide_connection(usage: DescriptorUsage) -> Decision:
    """Return what happens to a client's connection that waits to be accepted.

    Parameters
    ----------
    usage : DescriptorUsage
        Descriptors before it is accepted.

    Returns
    -------
    {"serve", "refuse", "wait"}
        Whether its requests are served, its first request is refused, or it is not
        accepted yet.
    """
    shared = max(0, usage.limit - OWN_DESCRIPTORS)
    kept = ENDPOINT_SHARE * shared
    if usage.free > kept:
        return "serve"
    return "refuse" if usage.free > kept - REFUSAL_SHARE * shared else "wait"


def may_close_idle(idle_since_s: float, now_s: float) -> bool:
    """Return whether an idle connection may be closed to make room for a new one.

    Parameters
    ----------
    idle_since_s : float
        When its last request ended, or when it was opened.
    now_s : float
        Present time.
    """
    return now_s - idle_since_s >= IDLE_MIN_S
