"""Choice of the endpoint for a request: cache reuse first, under a bound on load.

Load pattern: chats return to the engine that holds their prefix, and a few teams or
chats are far hotter than the rest.  Without reuse each return computes its prefix
again; without the bound the engine of a hot chat or team fills up, and the callers of
all the chats that share it wait.

The bound: an endpoint takes a request only while its load, counting that request, is at
most ``load_factor`` times the mean of the endpoints that may take it.  The unit of load
is one request in flight.  The product is rounded up, so that the bound is never below
one: with a mean below 1 it means that no endpoint gets a second request while the
product is at most 1, and that some endpoint is always free.  An endpoint's slots bound
it as well.

A chat is tried at the engine that rendezvous hashing gives it if that engine holds
enough of its prefix, then at the engines that hold it, then along its rendezvous order.
So the loss of an engine moves only that engine's chats, and they come back.
"""

import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.cache_index import CacheEvent, CacheIndex
from tamarackrill.decisions.loads import EndpointLoad, Loads
from tamarackrill.decisions.pools import SHORTLIST_SIZE, EndpointPool, make_pool

LOAD_FACTOR_DEFAULT = 1.5
# A chat goes back to its first engine when that holds this share of the longest known
# prefix: the rest is computed in one short step, and the load returns with the chats.
RETURN_SHARE = 0.5


class PlacementRequest(NamedTuple):
    """What a placement depends on.

    Parameters
    ----------
    key : str
        Identifies the request; spreads requests without a chat.
    chat : str
        Name of the chat, with its team; empty if the request belongs to none.
    zone : str
        Availability zone of the caller.
    tokens : int
        Tokens of the prompt, or an estimate.
    """

    key: str
    chat: str = ""
    zone: str = ""
    tokens: int = 0


class EndpointChoice(NamedTuple):
    """An endpoint for a request, and why.

    Parameters
    ----------
    endpoint : Endpoint
        Where the request goes.
    reason : str
        ``"cached"``, ``"hashed"``, ``"overflow"`` or ``"least_of_two"``.
    runners_up : tuple of str
        The endpoints that came next, for the log.
    load, bound : int
        Estimated requests in flight there, and the most there may be.
    """

    endpoint: Endpoint
    reason: str
    runners_up: tuple[str, ...] = ()
    load: int = 0
    bound: int = 0


def compute_bound(load_factor: float, total: int, count: int, slack: int = 0) -> int:
    """Return the most requests that one of `count` endpoints may have in flight.

    Parameters
    ----------
    load_factor : float
        Multiple of the mean, at least 1.
    total : int
        Requests in flight at all of them, counting the one to be placed.
    count : int
        Number of endpoints.
    slack : int, default=0
        Requests beyond the multiple.

    Returns
    -------
    int
        At least 1, and such that an endpoint below it always exists.
    """
    return max(1, math.ceil(load_factor * total / count) + slack)


class LoadBalancer:
    """State of the placement of one router.

    Parameters
    ----------
    load_factor : float
        The multiple of the mean load that no endpoint exceeds; see
        docs/design/routing.md for the setting of each deployment.
    loads : Loads, optional
        Load estimates.
    cache : CacheIndex, optional
        Known prefixes.
    slack : int, default=0
        Requests beyond the multiple that an endpoint may have.  At a mean of two
        requests, a burst of one session would otherwise be sent on to endpoints that
        have to read its prompt first, though nothing waits where it is cached.
    """

    def __init__(
        self,
        load_factor: float = LOAD_FACTOR_DEFAULT,
        loads: Loads | None = None,
        cache: CacheIndex | None = None,
        slack: int = 0,
    ) -> None:
        self.slack = slack
        self.load_factor = load_factor
        self.loads = Loads() if loads is None else loads
        self.cache = CacheIndex() if cache is None else cache

    def choose(
        self,
        request: PlacementRequest,
        endpoints: Sequence[Endpoint] | EndpointPool,
        now_s: float,
        shares: Mapping[str, float] | None = None,
        refused: Collection[str] = (),
        slots_multiple: int = 1,
        bounded_by: EndpointPool | None = None,
    ) -> EndpointChoice | None:
        """Return where `request` goes, or None if all endpoints are full.

        Parameters
        ----------
        request : PlacementRequest
            The request.
        endpoints : sequence of Endpoint, or EndpointPool
            Those that serve it and are healthy; leaving ones are passed over.
        now_s : float
            The present time.
        shares : mapping of str to float, optional
            Share of the bound for each endpoint in slow start; 1 for all others.
        refused : collection of str, optional
            Endpoints whose owner has refused this request.
        slots_multiple : int, default=1
            Requests in flight at which an endpoint is full, in multiples of its slots.
        bounded_by : EndpointPool, optional
            Those whose mean load bounds the load of each; `endpoints` by default.  The
            ones that are left out by choice belong to it: the others are not to carry
            all that was theirs.

        Returns
        -------
        Choice or None
            Nothing is counted until `start`.
        """
        pool = make_pool(endpoints)
        if not len(pool):
            return None
        look = self._look(
            pool, bounded_by or pool, now_s, shares or {}, refused, slots_multiple
        )
        if request.chat:
            choice = self._choose_for_chat(request, pool, look, now_s)
        else:
            choice = _choose_of_two(request, pool, look)
        if choice is None:
            return None
        load = look.find_load(choice.endpoint.name)
        return choice._replace(load=load, bound=look.bound)

    def start(self, endpoint: str, request: PlacementRequest, now_s: float) -> None:
        """Count a request that is being sent to `endpoint`."""
        self.loads.start(endpoint, now_s)
        if request.chat:
            self.cache.record_send(request.chat, endpoint, request.tokens, now_s)

    def finish(self, endpoint: str, now_s: float) -> None:
        """Count a request that has ended at `endpoint`, whatever its outcome."""
        self.loads.finish(endpoint, now_s)

    def observe_report(
        self, endpoint: str, load: int, reported_s: float, now_s: float
    ) -> None:
        """Take an endpoint's report of its load; see `Loads.observe_report`."""
        self.loads.observe_report(endpoint, load, reported_s, now_s)

    def observe_peer(self, entries: Iterable[EndpointLoad], now_s: float) -> None:
        """Take a peer's digest; see `Loads.observe_peer`."""
        self.loads.observe_peer(entries, now_s)

    def observe_event(self, event: CacheEvent) -> None:
        """Take an engine's cache event."""
        self.cache.observe_event(event)

    def _look(
        self,
        pool: EndpointPool,
        bounded_by: EndpointPool,
        now_s: float,
        shares: Mapping[str, float],
        refused: Collection[str],
        slots_multiple: int,
    ) -> "_Look":
        summary = self.loads.summarize(pool.by_name, now_s)
        total = summary.total
        if bounded_by is not pool:
            total = self.loads.summarize(bounded_by.by_name, now_s).total
        bound = compute_bound(self.load_factor, total + 1, len(bounded_by), self.slack)

        def find_load(name: str) -> int:
            return self.loads.estimate_one(name, summary, now_s)

        def is_free(name: str) -> bool:
            if name in refused:
                return False
            share = shares.get(name, 1.0)
            limit = bound if share >= 1.0 else max(1, int(bound * share))
            slots = pool.by_name[name].slots * slots_multiple
            return find_load(name) < min(limit, slots)

        return _Look(bound, find_load, is_free)

    def _choose_for_chat(
        self, request: PlacementRequest, pool: EndpointPool, look: "_Look", now_s: float
    ) -> EndpointChoice | None:
        order = pool.rank(request.chat, SHORTLIST_SIZE)
        holders = self._rank_holders(request.chat, order[0], now_s)
        holders = [name for name in holders if name in pool.by_name]
        walk = [*holders, *(name for name in order if name not in holders)]
        open_ones = [name for name in walk if look.is_free(name)]
        if not open_ones:
            everyone = pool.rank(request.chat, len(pool))
            open_ones = [name for name in everyone if look.is_free(name)]
        if not open_ones:
            return None
        chosen = open_ones[0]
        if chosen in holders:
            reason = "cached"
        else:
            reason = "hashed" if chosen == order[0] else "overflow"
        return EndpointChoice(pool.by_name[chosen], reason, tuple(open_ones[1:3]))

    def _rank_holders(self, chat: str, first: str, now_s: float) -> list[str]:
        holders = self.cache.holders(chat, now_s)
        longest = max((holder.tokens for holder in holders), default=0)
        names = [holder.endpoint for holder in holders]
        for holder in holders:
            if holder.endpoint == first and holder.tokens >= RETURN_SHARE * longest:
                names.remove(first)
                names.insert(0, first)
        return names


class _Look(NamedTuple):
    """Loads as they are now.

    Parameters
    ----------
    bound : int
        Most requests in flight at an endpoint.
    find_load : callable
        Returns the estimated requests in flight at an endpoint.
    is_free : callable
        Returns whether an endpoint may take one more.
    """

    bound: int
    find_load: Callable[[str], int]
    is_free: Callable[[str], bool]


def _choose_of_two(
    request: PlacementRequest, pool: EndpointPool, look: _Look
) -> EndpointChoice | None:
    """Return the emptier of two, in the caller's zone if one there is free.

    The two are drawn by the request's own key, so that routers that know the same
    loads do not all take the same endpoint.
    """
    for among in (pool.select_zone(request.zone), pool):
        for count in (SHORTLIST_SIZE, len(among)):
            ranked = among.rank(request.key, count)
            drawn = [name for name in ranked if look.is_free(name)][:2]
            if len(drawn) == 2:
                break
        if drawn:
            drawn.sort(key=look.find_load)
            return EndpointChoice(
                pool.by_name[drawn[0]], "least_of_two", tuple(drawn[1:])
            )
    return None
