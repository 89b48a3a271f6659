"""Reservations: each endpoint has one owner router that counts its requests.

Load pattern: many routers, each with load data that is seconds old, send requests to
one engine at the same time.  Without an owner, each of them finds the engine just below
the bound and sends, so that the engine exceeds it.  No digest rate prevents this; see
docs/design/routing.md for the excess with estimates alone.

The home router of a chat selects an endpoint by its estimate, then requests a
reservation from the owner.  The owner alone decides, by its own count, and returns that
count.  A reservation ends when the request does, when its router is known to have
failed, or when it expires.  A new owner has not counted its predecessor's grants: until
those requests end it sees them in the endpoint's own reports.

When the owner doesn't answer (partition, crash, no CPU time), availability takes
precedence over the bound: the home router sends the request to the endpoint that has
the least load by its own estimate, so that an engine of hot chats isn't filled by each
router up to its own bound.  The endpoint's reports show the owner the requests that it
did not grant.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import hashing
from tamarackrill.decisions.loads import DIGEST_ENTRIES_MAX, EndpointLoad, Loads
from tamarackrill.decisions.routing import EndpointChoice, compute_bound

# Reservations attempted per request.  Each refusal returns the owner's current count,
# so a second one is rare; the limit keeps a request from cycling through owners in an
# outage.
RESERVATION_ATTEMPTS_MAX = 4
# Largest pool that a single router owns as a whole.  It then knows the exact mean; with
# a small mean one request can change the rounded bound.  At 8.3 requests/s per engine,
# 8 engines cost their owner 66 replies/s of 40 bytes, which is 2.7 of the 3 KB/s
# available for control traffic.
SINGLE_OWNER_POOL_MAX = 8
# In a larger pool a reservation is needed only from this share of the bound on.  At
# full size (34 engines of 166 requests) that is one request in nine, and the bound is
# kept as well as with reservations for all (0.0014 of requests exceed it, with 0.95 it
# would be 0.0044).
RESERVE_FROM_SHARE = 0.9
# How long the home router waits for the owner: two round trips between availability
# zones (1.5 ms one way) plus a garbage collection pause.
RESERVATION_TIMEOUT_S = 0.05


class ReservationReply(NamedTuple):
    """An owner's reply to a reservation request.

    Parameters
    ----------
    is_granted : bool
        Whether the request may be sent.
    in_flight : int
        The owner's count for the endpoint, including the request if granted.
    """

    is_granted: bool
    in_flight: int


class _Reservation(NamedTuple):
    endpoint: str
    router: str
    expires_s: float


def find_owner(endpoint: Endpoint, pool_size: int, routers: Sequence[str]) -> str:
    """Return the router that owns `endpoint`.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    pool_size : int
        Number of endpoints in its pool.
    routers : sequence of str
        Live routers, preferably those of the endpoint's availability zone, so that a
        zone that is cut off still owns its own endpoints.
    """
    has_single_owner = pool_size <= SINGLE_OWNER_POOL_MAX
    key = ",".join(sorted(endpoint.serves)) if has_single_owner else endpoint.name
    return hashing.rendezvous_order(f"owner/{key}", routers, 1)[0]


def must_reserve(choice: EndpointChoice, pool_size: int) -> bool:
    """Return whether a request needs a reservation before it is sent.

    Parameters
    ----------
    choice : EndpointChoice
        Endpoint that the home router selected by its estimate.
    pool_size : int
        Number of endpoints in its pool.
    """
    has_single_owner = pool_size <= SINGLE_OWNER_POOL_MAX
    return has_single_owner or choice.load >= RESERVE_FROM_SHARE * choice.bound


class Reservations:
    """Reservations granted by one router for the endpoints that it owns.

    Parameters
    ----------
    load_factor : float
        Multiple of the mean load that no endpoint exceeds.
    may_grant : callable, optional
        ``may_grant(endpoint, load, now_s)`` returns whether a further request may be
        granted that is within the bound.
    """

    def __init__(
        self,
        load_factor: float,
        may_grant: Callable[[Endpoint, int, float], bool] = (
            lambda endpoint, load, now_s: True
        ),
    ) -> None:
        self.load_factor = load_factor
        self._may_grant = may_grant
        self.loads = Loads()
        self._active: dict[str, _Reservation] = {}

    def reserve(
        self,
        request: str,
        endpoint: Endpoint,
        pool: Sequence[Endpoint],
        router: str,
        expires_s: float,
        now_s: float,
        is_last: bool = False,
    ) -> ReservationReply:
        """Grant or refuse a request to one of this router's endpoints.

        Parameters
        ----------
        request : str
            Attempt ID; repeated calls for the same ID count once.
        endpoint : Endpoint
            The endpoint that the home router selected.
        pool : sequence of Endpoint
            All eligible endpoints; the bound is a multiple of their mean load.
        router : str
            The requesting home router.
        expires_s : float
            When the reservation expires unless released: the request's deadline.
        now_s : float
            Current time.
        is_last : bool, default=False
            Whether this is attempt `RESERVATION_ATTEMPTS_MAX`, at the least loaded
            endpoint known.  In a burst all owners know an old, lower mean and refuse;
            that endpoint is then below the true bound, and the request is granted
            unless its slots are full.

        Returns
        -------
        ReservationReply
        """
        names = [other.name for other in pool if other.state == "live"]
        estimates = dict(zip(names, self.loads.estimate(names, now_s), strict=True))
        if endpoint.name not in estimates:
            return ReservationReply(False, self.loads.own(endpoint.name))
        load = estimates[endpoint.name]
        # The reply to the first call may have been lost; counting the request twice
        # would leave a slot of the endpoint unused until the reservation expires.
        if request in self._active:
            return ReservationReply(True, load)
        total = sum(estimates.values()) + 1
        bound = compute_bound(self.load_factor, total, len(names))
        if load >= (endpoint.slots if is_last else min(bound, endpoint.slots)):
            return ReservationReply(False, load)
        if not self._may_grant(endpoint, load, now_s):
            return ReservationReply(False, load)
        self._active[request] = _Reservation(endpoint.name, router, expires_s)
        self.loads.start(endpoint.name, now_s)
        return ReservationReply(True, load + 1)

    def release(self, request: str, now_s: float) -> str | None:
        """End a reservation; return its endpoint, None if it has already ended."""
        reservation = self._active.pop(request, None)
        if reservation is None:
            return None
        self.loads.finish(reservation.endpoint, now_s)
        return reservation.endpoint

    def release_router(self, router: str, now_s: float) -> None:
        """End all reservations of a failed router."""
        for request, reservation in list(self._active.items()):
            if reservation.router == router:
                self.release(request, now_s)

    def expire(self, now_s: float) -> None:
        """End expired reservations; call about once a second."""
        for request, reservation in list(self._active.items()):
            if reservation.expires_s <= now_s:
                self.release(request, now_s)

    def digest(
        self, owned: Iterable[str], now_s: float, limit: int = DIGEST_ENTRIES_MAX
    ) -> list[EndpointLoad]:
        """Return the entries of this router's next load digest, highest load first."""
        names = list(owned)
        entries = map(EndpointLoad, names, self.loads.estimate(names, now_s))
        return sorted(entries, key=lambda entry: -entry.in_flight)[:limit]
