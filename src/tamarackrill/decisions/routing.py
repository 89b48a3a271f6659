"""Load balancing: prefix cache affinity first, limited by a bound on endpoint load.

Load pattern: chats return to the engine that caches their prefix, and a few teams or
chats are far hotter than the rest.  Without affinity each follow-up request computes
its prefix again.  Without the bound the engine of a hot chat or team is overloaded, and
the callers of all other chats on it wait.

The bound: an endpoint takes a request only while its load, including that request, is
at most ``load_factor`` times the mean load of the eligible endpoints.  The unit of load
is one request in flight.  The product is rounded up, so the bound is at least 1 and
some endpoint is always free; while the product is at most 1, no endpoint gets a second
request.  An endpoint's slots limit it as well.

A chat is tried at its first engine in rendezvous order if that caches enough of its
prefix, then at the other engines that cache it, then along the rendezvous order.  So
the loss of an engine moves only that engine's chats, and they come back with it.
"""

import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from itertools import islice
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.cache_index import CacheEvent, CacheIndex
from tamarackrill.decisions.capacity.slowdowns import Slowdowns, estimate_time
from tamarackrill.decisions.loads import EndpointLoad, Loads
from tamarackrill.decisions.pools import SHORTLIST_SIZE, EndpointPool, make_pool

LOAD_FACTOR_DEFAULT = 1.5
# A chat returns to its first engine in rendezvous order when that caches this share of
# the longest known prefix: the rest is computed in one short step, and the load moves
# back with the chats.
HOME_PREFIX_SHARE_MIN = 0.5


class PlacementRequest(NamedTuple):
    """The properties of a request that endpoint selection depends on.

    Parameters
    ----------
    key : str
        Request ID; the hash key of requests without a chat.
    chat : str
        Chat name, including its team; empty if the request has no chat.
    zone : str
        Availability zone of the caller.
    tokens : int
        Prompt length, possibly an estimate.
    """

    key: str
    chat: str = ""
    zone: str = ""
    tokens: int = 0


class EndpointChoice(NamedTuple):
    """The endpoint selected for a request, and the reason.

    Parameters
    ----------
    endpoint : Endpoint
        The selected endpoint.
    reason : str
        ``"cached"``, ``"hashed"``, ``"overflow"`` or ``"least_of_two"``.
    runners_up : tuple of str
        The next candidates in order, for the log.
    load, bound : int
        Estimated requests in flight at the endpoint, and their upper bound.
    """

    endpoint: Endpoint
    reason: str
    runners_up: tuple[str, ...] = ()
    load: int = 0
    bound: int = 0


class RoomSharing(NamedTuple):
    """Routers that overflow to the same endpoints, and this one's name."""

    router: str
    routers: int


def compute_bound(load_factor: float, total: int, count: int, slack: int = 0) -> int:
    """Return the maximum number of requests in flight at one of `count` endpoints.

    Parameters
    ----------
    load_factor : float
        Multiple of the mean load, at least 1.
    total : int
        Requests in flight at all of them, including the one being routed.
    count : int
        Number of endpoints.
    slack : int, default=0
        Requests allowed beyond the multiple.

    Returns
    -------
    int
        At least 1, and large enough that some endpoint is always below it.
    """
    return max(1, math.ceil(load_factor * total / count) + slack)


class LoadBalancer:
    """Selects endpoints for the requests of one router.

    Parameters
    ----------
    load_factor : float
        Maximum load of an endpoint, as a multiple of the mean load; see
        docs/design/routing.md for the setting of each deployment.
    loads : Loads, optional
        Load estimates.
    cache : CacheIndex, optional
        Index of cached prefixes.
    slack : int, default=0
        Requests that an endpoint may have beyond the multiple.  Without it, at a mean
        of two requests, a burst of one session overflows to endpoints that have to read
        its prompt first, although nothing waits where it is cached.

    Attributes
    ----------
    slowdowns : Slowdowns
        Slowdowns that the endpoints of plain services report.
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
        self.slowdowns = Slowdowns()

    def choose(
        self,
        request: PlacementRequest,
        endpoints: Sequence[Endpoint] | EndpointPool,
        now_s: float,
        shares: Mapping[str, float] | None = None,
        refused: Collection[str] = (),
        slots_multiple: int = 1,
        bounded_by: EndpointPool | None = None,
        sharing: "RoomSharing | None" = None,
        ranks_all: bool | None = None,
    ) -> EndpointChoice | None:
        """Select the endpoint for `request`, or return None if all are full.

        Parameters
        ----------
        request : PlacementRequest
            The request.
        endpoints : sequence of Endpoint, or EndpointPool
            Healthy endpoints that serve the request; leaving ones are skipped.
        now_s : float
            Current time.
        shares : mapping of str to float, optional
            Fraction of the bound that applies to each endpoint in slow start; 1 for
            all others.
        refused : collection of str, optional
            Endpoints whose owner has refused this request.
        slots_multiple : int, default=1
            Requests in flight at which an endpoint is full, in multiples of its slots.
        bounded_by : EndpointPool, optional
            Endpoints whose mean load defines the bound; `endpoints` by default.  It
            includes endpoints that are excluded deliberately, so that the remaining
            ones don't take over their whole load.
        sharing : RoomSharing, optional
            Routers that share the room of endpoints to which sessions overflow; by
            default this router uses all of it.
        ranks_all : bool, optional
            Whether all endpoints are tried for a session, not only the first ones of
            its order; by default unless the room is shared.

        Returns
        -------
        EndpointChoice or None
            The request is not counted until `start` is called.
        """
        pool = make_pool(endpoints)
        if not len(pool):
            return None
        snapshot = self._snapshot_loads(
            pool,
            bounded_by or pool,
            now_s,
            shares or {},
            refused,
            slots_multiple,
            sharing,
        )
        if request.chat:
            ranks_all = sharing is None if ranks_all is None else ranks_all
            choice = self._choose_for_chat(request, pool, snapshot, ranks_all, now_s)
        else:
            choice = _choose_less_loaded_of_two(request, pool, snapshot)
        if choice is None:
            return None
        load = snapshot.find_load(choice.endpoint.name)
        return choice._replace(load=load, bound=snapshot.bound)

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
        """Process an endpoint's load report; see `Loads.observe_report`."""
        self.loads.observe_report(endpoint, load, reported_s, now_s)

    def observe_peer(self, entries: Iterable[EndpointLoad], now_s: float) -> None:
        """Process a peer's load digest; see `Loads.observe_peer`."""
        self.loads.observe_peer(entries, now_s)

    def observe_event(self, event: CacheEvent) -> None:
        """Process a cache event of an engine."""
        self.cache.observe_event(event)

    def _snapshot_loads(
        self,
        pool: EndpointPool,
        bounded_by: EndpointPool,
        now_s: float,
        shares: Mapping[str, float],
        refused: Collection[str],
        slots_multiple: int,
        sharing: "RoomSharing | None",
    ) -> "_LoadSnapshot":
        summary = self.loads.summarize(pool.by_name, now_s)
        total = summary.total
        if bounded_by is not pool:
            total = self.loads.summarize(bounded_by.by_name, now_s).total
        bound = compute_bound(self.load_factor, total + 1, len(bounded_by), self.slack)

        def find_load(name: str) -> int:
            return self.loads.estimate_one(name, summary, now_s)

        def find_room(name: str) -> int:
            share = shares.get(name, 1.0)
            limit = bound if share >= 1.0 else max(1, int(bound * share))
            slots = pool.by_name[name].slots * slots_multiple
            return min(limit, slots) - find_load(name)

        def is_free(name: str) -> bool:
            return name not in refused and find_room(name) > 0

        def has_part(name: str) -> bool:
            if name in refused:
                return False
            room = find_room(name)
            if sharing is None or room <= 0:
                return room > 0
            return self.loads.find_part(name, room, *sharing, now_s) > 0

        def find_slowdown(name: str) -> float | None:
            return self.slowdowns.find(name, now_s)

        return _LoadSnapshot(bound, find_load, is_free, has_part, find_slowdown)

    def _choose_for_chat(
        self,
        request: PlacementRequest,
        pool: EndpointPool,
        snapshot: "_LoadSnapshot",
        ranks_all: bool,
        now_s: float,
    ) -> EndpointChoice | None:
        order = pool.rank(request.chat, SHORTLIST_SIZE)
        holders = self._rank_holders(request.chat, order[0], now_s)
        holders = [name for name in holders if name in pool.by_name]
        candidates = [*holders, *(name for name in order if name not in holders)]
        known = {*holders, order[0]}

        def is_available(name: str) -> bool:
            return snapshot.is_free(name) if name in known else snapshot.has_part(name)

        # The chosen one and two runners-up; in a surge this runs for each request.
        available = list(islice(filter(is_available, candidates), 3))
        if not available and ranks_all:
            full_order = pool.rank(request.chat, len(pool))
            available = list(islice(filter(is_available, full_order), 3))
        if not available:
            return None
        chosen = available[0]
        if chosen in holders:
            reason = "cached"
        else:
            reason = "hashed" if chosen == order[0] else "overflow"
        return EndpointChoice(pool.by_name[chosen], reason, tuple(available[1:3]))

    def _rank_holders(self, chat: str, first: str, now_s: float) -> list[str]:
        holders = self.cache.holders(chat, now_s)
        longest = max((holder.tokens for holder in holders), default=0)
        names = [holder.endpoint for holder in holders]
        for holder in holders:
            if (
                holder.endpoint == first
                and holder.tokens >= HOME_PREFIX_SHARE_MIN * longest
            ):
                names.remove(first)
                names.insert(0, first)
        return names


class _LoadSnapshot(NamedTuple):
    """Load estimates and the bound at one point in time.

    Parameters
    ----------
    bound : int
        Maximum number of requests in flight at an endpoint.
    find_load : callable
        Returns the estimated number of requests in flight at an endpoint.
    is_free : callable
        Returns whether an endpoint may take one more request.
    has_part : callable
        Returns whether an endpoint is free, and this router may use its room for a
        session that it has no prefix of.
    find_slowdown : callable
        Returns the slowdown that an endpoint reports; None if unknown.
    """

    bound: int
    find_load: Callable[[str], int]
    is_free: Callable[[str], bool]
    has_part: Callable[[str], bool]
    find_slowdown: Callable[[str], float | None]


def _choose_less_loaded_of_two(
    request: PlacementRequest, pool: EndpointPool, snapshot: _LoadSnapshot
) -> EndpointChoice | None:
    """Return the less loaded of two endpoints, in the caller's zone if one is free.

    The two are sampled by hashing the request's key, so that routers with the same
    load estimates don't all select the same endpoint.  If the slowdown of one is known,
    the one at which the request takes less time is selected.
    """
    for scope in (pool.select_zone(request.zone), pool):
        for count in (SHORTLIST_SIZE, len(scope)):
            ranked = scope.rank(request.key, count)
            sampled = [name for name in ranked if snapshot.is_free(name)][:2]
            if len(sampled) == 2:
                break
        if sampled:
            sampled.sort(key=_make_order(sampled, pool, snapshot))
            return EndpointChoice(
                pool.by_name[sampled[0]], "least_of_two", tuple(sampled[1:])
            )
    return None


def _make_order(
    sampled: Sequence[str], pool: EndpointPool, snapshot: _LoadSnapshot
) -> Callable[[str], float]:
    slowdowns = {name: snapshot.find_slowdown(name) for name in sampled}
    if all(slowdown is None for slowdown in slowdowns.values()):
        return snapshot.find_load
    return lambda name: estimate_time(
        snapshot.find_load(name), slowdowns[name], pool.by_name[name].slots
    )
