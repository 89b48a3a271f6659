"""Reservations: one router owns each endpoint and counts all that is sent to it.

Load pattern: the requests of many routers, each with a view that is some seconds old,
meet at one engine.  Without an owner each of them finds the engine just below the
bound and sends, so that the engine ends up above it; docs/design/routing.md has the
measured excess of estimates, which no digest rate removed.

The home router of a chat chooses an endpoint from its estimate, then asks the owner
for a reservation; the owner alone decides, by its own count, and answers with that
count.  A reservation ends when the request does, when its router is known to have
failed, or when it expires.  An owner that is new has not counted what its predecessor
granted: until those requests end it sees them in the endpoint's own reports.

When the owner doesn't answer (a cut, a crash), the home sends by its estimate alone:
serving what it can goes before the bound, and the endpoint's reports show the owner
what it did not grant.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import hashing
from tamarackrill.decisions.loads import DIGEST_ENTRIES_MAX, EndpointLoad, Loads
from tamarackrill.decisions.routing import EndpointChoice, compute_bound

# Owners asked for one request.  Each refusal brings the owner's fresh count, so a
# second one is rare; the limit keeps a request from going round in an outage.
RESERVATION_ATTEMPTS_MAX = 4
# Endpoints of a pool that one router owns together: it then knows their mean exactly,
# where the rounded bound of a small mean hangs on a single request.  At 8.3 requests
# a second for each engine, 8 engines cost their owner 66 answers of 40 bytes a second,
# which is 2.7 of the 3 KB/s for control.
POOL_ONE_OWNER_MAX = 8
# In a larger pool the owner is asked only from this share of the bound on.  At full
# size (34 engines of 166 requests) that is one send in nine, and it keeps the bound as
# well as asking for all (0.0014 of sends over it); 0.95 does not (0.0044).
ASK_FROM_SHARE = 0.9
# How long the home waits for the owner: two round trips between availability zones
# (1.5 ms one way), and the pause of a garbage collection.
RESERVATION_TIMEOUT_S = 0.05


class ReservationReply(NamedTuple):
    """An owner's answer.

    Parameters
    ----------
    is_granted : bool
        Whether the request may be sent.
    in_flight : int
        The owner's count for the endpoint, with the request if it was granted.
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
        Number of endpoints that serve the same.
    routers : sequence of str
        Live routers, best those of the endpoint's availability zone, so that a zone
        that is cut off still owns its own endpoints.
    """
    is_small = pool_size <= POOL_ONE_OWNER_MAX
    key = ",".join(sorted(endpoint.serves)) if is_small else endpoint.name
    return hashing.rendezvous_order(f"owner/{key}", routers, 1)[0]


def must_reserve(choice: EndpointChoice, pool_size: int) -> bool:
    """Return whether the owner has to be asked before a request is sent.

    Parameters
    ----------
    choice : Choice
        What the home has chosen by its estimate.
    pool_size : int
        Number of endpoints that serve the same.
    """
    is_small = pool_size <= POOL_ONE_OWNER_MAX
    return is_small or choice.load >= ASK_FROM_SHARE * choice.bound


class Reservations:
    """State of one router as the owner of endpoints."""

    def __init__(self, load_factor: float) -> None:
        self.load_factor = load_factor
        self.loads = Loads()
        self._held: dict[str, _Reservation] = {}

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
        """Decide on a request to one of this router's endpoints.

        Parameters
        ----------
        request : str
            Identifies the attempt; asking again for the same one counts once.
        endpoint : Endpoint
            The endpoint that the home chose.
        pool : sequence of Endpoint
            All that may take the request; the bound is a multiple of their mean.
        router : str
            The home router that asks.
        expires_s : float
            When the reservation lapses if nobody ends it: the request's deadline.
        now_s : float
            The present time.
        is_last : bool, default=False
            Whether this is attempt `RESERVATION_ATTEMPTS_MAX`, at the least loaded
            endpoint known.  In a burst all owners know an old, lower mean and refuse;
            that endpoint is then below the true bound, and the request is granted
            unless its slots are full.

        Returns
        -------
        Grant
        """
        names = [other.name for other in pool if other.state == "live"]
        estimates = dict(zip(names, self.loads.estimate(names, now_s), strict=True))
        if endpoint.name not in estimates:
            return ReservationReply(False, self.loads.own(endpoint.name))
        load = estimates[endpoint.name]
        # The answer to the first ask may have been lost; counting the request twice
        # would keep a slot of the endpoint empty until the reservation lapses.
        if request in self._held:
            return ReservationReply(True, load)
        total = sum(estimates.values()) + 1
        bound = compute_bound(self.load_factor, total, len(names))
        if load >= (endpoint.slots if is_last else min(bound, endpoint.slots)):
            return ReservationReply(False, load)
        self._held[request] = _Reservation(endpoint.name, router, expires_s)
        self.loads.start(endpoint.name, now_s)
        return ReservationReply(True, load + 1)

    def release(self, request: str, now_s: float) -> None:
        """End a reservation; one that has ended already is passed over."""
        reservation = self._held.pop(request, None)
        if reservation is not None:
            self.loads.finish(reservation.endpoint, now_s)

    def release_router(self, router: str, now_s: float) -> None:
        """End the reservations of a router that has failed."""
        for request, held in list(self._held.items()):
            if held.router == router:
                self.release(request, now_s)

    def expire(self, now_s: float) -> None:
        """End the reservations past their time; call about once a second."""
        for request, held in list(self._held.items()):
            if held.expires_s <= now_s:
                self.release(request, now_s)

    def digest(
        self, owned: Iterable[str], now_s: float, limit: int = DIGEST_ENTRIES_MAX
    ) -> list[EndpointLoad]:
        """Return the entries for this router's next digest, the largest first."""
        names = list(owned)
        entries = map(EndpointLoad, names, self.loads.estimate(names, now_s))
        return sorted(entries, key=lambda entry: -entry.in_flight)[:limit]
