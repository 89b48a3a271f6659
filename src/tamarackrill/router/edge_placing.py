"""Places requests of the platform's interface: asks the decisions for an endpoint."""

import math
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.cache_index import CacheIndex
from tamarackrill.decisions.endpoint_news import (
    EndpointNews,
    EndpointReport,
    FailureReport,
    MisplacedReport,
)
from tamarackrill.decisions.engine_waits import EngineWaits, choose_priority
from tamarackrill.decisions.fleet_health import FleetHealth
from tamarackrill.decisions.health import Health
from tamarackrill.decisions.incarnations import Incarnations
from tamarackrill.decisions.loads import EndpointLoad
from tamarackrill.decisions.misplaced import MisplacedEndpoints
from tamarackrill.decisions.placement_news import Holding
from tamarackrill.decisions.poison import PoisonTracker
from tamarackrill.decisions.pools import EndpointPool
from tamarackrill.decisions.prefix_copies import COPY_S_PER_TOKEN_MAX, PrefixCopies
from tamarackrill.decisions.reach import Reachability
from tamarackrill.decisions.routing import (
    EndpointChoice,
    LoadBalancer,
    PlacementRequest,
)
from tamarackrill.events import (
    ENDPOINT_EJECTED,
    ENDPOINT_MISPLACED,
    ENDPOINT_PAUSED,
    ENDPOINT_RESTARTED,
    ENDPOINT_RETURNED,
    POOL_FAILING,
    log_event,
)
from tamarackrill.exceptions import Refusal
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_calls import EdgeCall

# Part of the greatest multiple of the mean load that an endpoint may have: a router
# knows of the others' requests only by the loads that come with answers, which are
# late.
LOAD_CAP_SHARE = 0.75
# Requests beyond the multiple.  Without it a burst of one session goes on to endpoints
# that have to read or copy its prompt first: on a played quiet day 564 thousand tokens
# were read again with 0 and 450 with 1, all of them read; of copied prompts, engines
# moved 154 GB with 1 and 113 GB with 2.  What nobody may exceed is 3 beyond twice the
# mean, which 2 beyond one and a half times it keeps away from.
LOAD_SLACK = 2
OVERLOADED_STATUS = 503
# Requests at an endpoint beyond its slots, in multiples of them, before a router looks
# on it as full: a lookup of 20 ms behind three others is still on time.
QUEUE_MULTIPLE = 4
# News of failures comes in batches, twice as far apart.
JUDGE_EVERY_S = 0.05
POOL_LOGGED_EVERY_S = 1.0


class Overloaded(Refusal):
    """All engines are too slow for a prompt.

    Parameters
    ----------
    waits_s : mapping of str to float
        How long others wait there for their first event.
    """

    def __init__(self, waits_s: Mapping[str, float]) -> None:
        super().__init__("overloaded", OVERLOADED_STATUS, "all engines are too slow")
        self.waits_s = waits_s


class EdgePlacement(NamedTuple):
    """An endpoint that was chosen, why, and what was known of its load.

    `copy_from` is the engine that probably holds what the chosen one lacks, `priority`
    the request's rank at an engine.
    """

    endpoint: Endpoint
    reason: str
    load: int
    bound: int
    copy_from: Endpoint | None = None
    priority: int | None = None


class EdgePlacer:
    """Knows what runs where, and which endpoints can be trusted.

    Parameters
    ----------
    view : DeploymentView
        Endpoints in force.
    zone : str
        Availability zone of this router, and so of its clients.
    load_cap : float
        Multiple of the mean load that no endpoint may exceed.
    news : EndpointNews
        Takes what other routers should know of endpoints.
    find_zone : callable
        Returns the availability zone of a router that tells news.

    Attributes
    ----------
    index : CacheIndex
        Holders of prefixes.
    tell : callable
        Called with what other routers may not know of an engine's prefixes, and
        whether they expect it.
    """

    def __init__(
        self,
        view: DeploymentView,
        zone: str,
        load_cap: float,
        news: EndpointNews,
        find_zone: Callable[[int], str | None],
    ) -> None:
        self._view = view
        self._zone = zone
        self.index = CacheIndex()
        self.placement = LoadBalancer(
            max(1.0, LOAD_CAP_SHARE * load_cap), cache=self.index, slack=LOAD_SLACK
        )
        self.health = Health()
        self.poison = PoisonTracker()
        self.reach = Reachability()
        self.copies = PrefixCopies(self.index)
        self.waits = EngineWaits()
        self.misplaced = MisplacedEndpoints()
        self.fleet_health = FleetHealth(find_zone, zone, load_cap)
        self._news = news
        self._incarnations = Incarnations()
        # When the failures of a service's endpoints were last judged, and logged.
        self._judged_s: dict[str, float] = {}
        self._told_s: dict[str, float] = {}
        self.list_endpoints = view.list_endpoints
        self.list_witnesses: Callable[[], list[Endpoint]] = list
        self.tell: Callable[[list[Holding], bool], None] = lambda found, expected: None

    def choose(
        self,
        call: EdgeCall,
        avoid: Collection[str],
        now_s: float,
        may_refuse: bool = True,
    ) -> EdgePlacement | None:
        """Return where a request goes, or None if nothing can take it.

        Parameters
        ----------
        call : EdgeCall
            The request.
        avoid : collection of str
            Endpoints that have failed it.
        now_s : float
            The present time.
        may_refuse : bool, default=True
            Whether it may be refused because all engines are too slow for it.  One
            whose stream its client has begun to read is served however late.

        Raises
        ------
        Overloaded
            If all engines are too slow for it.
        Refusal
            If it has crashed too many endpoints.
        """
        self.poison.check(call.fingerprint, now_s)
        pool = self._view.find_pool(call.service)
        probed = self._choose_probe(call, pool.exclude(avoid), now_s)
        if probed is not None:
            return probed
        slow = self._find_slow(call, now_s) if may_refuse else {}
        pools = self._list_pools(pool, call, avoid, now_s)
        for narrowed in pools:
            choice = self._choose_among(call, narrowed, pools[-1], slow, now_s)
            if choice is not None:
                return self._place(call, choice, avoid, now_s)
        if slow.keys() & pools[-1].by_name.keys():
            raise Overloaded(slow)
        return None

    def _find_slow(self, call: EdgeCall, now_s: float) -> dict[str, float]:
        if not call.is_stream:
            return {}
        holders = [h.endpoint for h in self.index.holders(call.session, now_s)]
        return self.waits.find_slow_engines(
            call.route.objective_s, call.urgency, holders, now_s
        )

    def _place(
        self,
        call: EdgeCall,
        choice: EndpointChoice,
        avoid: Collection[str],
        now_s: float,
    ) -> EdgePlacement:
        is_cached = choice.reason == "cached"
        return EdgePlacement(
            choice.endpoint,
            choice.reason,
            choice.load,
            choice.bound,
            self._find_source(call, choice.endpoint, avoid, now_s),
            choose_priority(call.urgency, is_cached) if call.is_stream else None,
        )

    def _find_barred(self, avoid: Collection[str], now_s: float) -> set[str]:
        """Return the endpoints that can't serve a request now."""
        return {*self.reach.unreachable, *self.misplaced.find(now_s), *avoid}

    def has_endpoint(
        self, call: EdgeCall, avoid: Collection[str], now_s: float
    ) -> bool:
        """Return whether an endpoint besides those to avoid can be reached."""
        pool = self._view.find_pool(call.service)
        return bool(len(pool.exclude(self._find_barred(avoid, now_s))))

    def _find_source(
        self, call: EdgeCall, chosen: Endpoint, avoid: Collection[str], now_s: float
    ) -> Endpoint | None:
        if not call.prefixes or not self._can_copy(call.service):
            return None
        engines = self._view.find_full_pool(call.service)
        barred = self._find_barred(avoid, now_s)
        return self.copies.find_source(
            call.prefixes, chosen.name, engines, barred, now_s
        )

    def _can_copy(self, service_name: str) -> bool:
        table = self._view.routes
        service = None if table is None else table.services.get(service_name)
        if service is None or service.copy_token_s is None:
            return False
        return service.copy_token_s <= COPY_S_PER_TOKEN_MAX

    def _list_pools(
        self, pool: EndpointPool, call: EdgeCall, avoid: Collection[str], now_s: float
    ) -> list[EndpointPool]:
        """Return the endpoints that can be reached, only the trusted ones first.

        A request for endpoints none of which can be reached is refused at once: it
        would only wait for one timeout after the other, as those before it did.
        """
        unreachable = self._find_barred(avoid, now_s)
        unsound = unreachable | self.health.find_excluded(pool.by_name, now_s)
        unsound |= self._find_failing(call.service, pool, now_s)
        suspected = unsound | self.poison.find_endpoints_to_avoid(
            call.fingerprint, now_s
        )
        return [pool.exclude(names) for names in (suspected, unsound, unreachable)]

    def _find_failing(self, service: str, pool: EndpointPool, now_s: float) -> set[str]:
        if self.fleet_health.has_no_failures:
            return set()
        if now_s >= self._judged_s.get(service, -math.inf) + JUDGE_EVERY_S:
            self._judged_s[service] = now_s
            self._judge(service, pool, now_s)
        slots = {name: endpoint.slots for name, endpoint in pool.by_name.items()}
        in_flight = self.placement.loads.summarize(slots, now_s).total
        return self.fleet_health.find_paused(slots, in_flight, now_s)

    def _judge(self, service: str, pool: EndpointPool, now_s: float) -> None:
        known = self.fleet_health.describe(pool.by_name, now_s)
        for name in self.fleet_health.pause_failing(pool.by_name, now_s):
            log_event(ENDPOINT_PAUSED, endpoint=name, service=service)
        is_due = now_s >= self._told_s.get(service, -math.inf) + POOL_LOGGED_EVERY_S
        if known.failing and is_due:
            self._told_s[service] = now_s
            log_event(
                POOL_FAILING,
                service=service,
                endpoints=known.endpoints,
                failing=known.failing,
                paused=known.paused,
                failed_most=known.failed_most,
                failed_mean=round(known.failed_mean, 2),
            )

    def _choose_among(
        self,
        call: EdgeCall,
        pool: EndpointPool,
        reached: EndpointPool,
        slow: Collection[str],
        now_s: float,
    ) -> EndpointChoice | None:
        request = _make_request(call, self._zone)
        for multiple in (1, QUEUE_MULTIPLE):
            choice = self.placement.choose(
                request,
                pool,
                now_s,
                refused=slow,
                slots_multiple=multiple,
                bounded_by=reached,
            )
            if choice is not None:
                return choice
        return None

    def _choose_probe(
        self, call: EdgeCall, pool: EndpointPool, now_s: float
    ) -> EdgePlacement | None:
        # A probe of its own would be one more request to an endpoint, and would tell
        # less than a real one: an endpoint may answer probes and fail requests.
        if not call.route.may_repeat or len(pool) < 2:
            return None
        due = self.health.next_probe(now_s, pool.by_name)
        if due is None:
            return None
        return EdgePlacement(pool.by_name[due], "probe", 0, 0)

    def start(self, call: EdgeCall, placed: EdgePlacement, now_s: float) -> None:
        """Count a request as running."""
        name = placed.endpoint.name
        request = _make_request(call, self._zone)
        found = self.copies.record_send(call.prefixes, name, now_s)
        self.tell(found, placed.reason == "hashed")
        self.placement.start(name, request, now_s)
        self.poison.start(call.fingerprint, name, now_s)
        if call.is_stream:
            self.waits.start(name, call.request_id, now_s)

    def observe_response_start(
        self, call: EdgeCall, endpoint: Endpoint, now_s: float
    ) -> None:
        """Take the beginning of an answer."""
        self.waits.answer(endpoint.name, call.request_id, now_s)

    def observe_load(self, placed: EdgePlacement, load: int, now_s: float) -> None:
        """Take the load that an endpoint reports with an answer."""
        name = placed.endpoint.name
        self.placement.observe_report(name, load, now_s, now_s)
        self._news.observe_load(name, load, placed.bound)

    def observe_overdue(self, endpoint: Endpoint) -> None:
        """Take that a request waits for its answer for far longer than is usual."""
        self._news.observe_failure(endpoint.name)

    def observe_misplaced(self, endpoint: Endpoint, now_s: float) -> None:
        """Take that another endpoint answers at the address of one."""
        if self._take_misplaced(endpoint.name, "answer", now_s):
            self._news.observe_misplaced(endpoint.name)

    def observe_reports(self, facts: list[EndpointReport], now_s: float) -> None:
        """Take what routers tell of endpoints."""
        loads = [fact for fact in facts if isinstance(fact, EndpointLoad)]
        self.placement.loads.observe_hot_endpoints(loads, now_s)
        for fact in facts:
            if isinstance(fact, FailureReport):
                self.fleet_health.observe(fact, now_s)
            elif isinstance(fact, MisplacedReport):
                self._take_misplaced(fact.endpoint, "news", now_s)

    def _take_misplaced(self, name: str, source: str, now_s: float) -> bool:
        is_news = self.misplaced.observe(name, now_s)
        if is_news:
            log_event(ENDPOINT_MISPLACED, endpoint=name, source=source)
        return is_news

    def finish(self, call: EdgeCall, endpoint: Endpoint, now_s: float) -> None:
        """Count a request as over at an endpoint."""
        self.waits.finish(endpoint.name, call.request_id)
        self.placement.finish(endpoint.name, now_s)
        self.poison.finish(call.fingerprint, endpoint.name)

    def observe_result(
        self,
        call: EdgeCall,
        placed: EdgePlacement,
        is_ok: bool,
        first_s: float | None,
        now_s: float,
    ) -> None:
        """Take how an endpoint served a request that it was sent."""
        name = placed.endpoint.name
        pool = self._view.find_pool(call.service).by_name
        if is_ok:
            self.poison.observe_success(call.fingerprint)
        else:
            self._news.observe_failure(name)
        if placed.reason == "probe":
            if self.health.observe_probe(name, is_ok, first_s, pool, now_s):
                log_event(ENDPOINT_RETURNED, endpoint=name)
            return
        if self.health.observe_answer(name, is_ok, first_s, pool, now_s):
            outcome = "answered" if is_ok else "failed"
            log_event(ENDPOINT_EJECTED, endpoint=name, outcome=outcome)

    def is_poison(self, call: EdgeCall, now_s: float) -> bool:
        """Return whether a request must not reach another endpoint."""
        try:
            self.poison.check(call.fingerprint, now_s)
        except Refusal:
            return True
        return False

    def update_endpoints(self, now_s: float) -> list[str]:
        """Forget what is known of endpoints that are gone or have started anew.

        Returns
        -------
        list of str
            Those that have started anew.
        """
        endpoints = self._view.list_endpoints()
        known = {endpoint.name for endpoint in endpoints}
        self.reach.retain(known.union(e.name for e in self.list_witnesses()))
        self.health.retain(known)
        self.fleet_health.observe_endpoints(known, now_s)
        self.misplaced.retain(known)
        self.copies.observe_endpoints(known, now_s)
        restarted = self._incarnations.observe(endpoints)
        for name in restarted:
            self._forget(name, now_s)
        return restarted

    def _forget(self, name: str, now_s: float) -> None:
        log_event(ENDPOINT_RESTARTED, endpoint=name)
        self.copies.record_restart(name, now_s)
        self.placement.loads.remove(name)
        self.health.remove(name)
        self.fleet_health.remove(name)
        self.misplaced.remove(name)
        self.poison.observe_restart(name)
        self.reach.remove(name)
        self.waits.remove(name)


def _make_request(call: EdgeCall, zone: str) -> PlacementRequest:
    tokens = call.prefixes[0].tokens if call.prefixes else 0
    return PlacementRequest(call.request_id, call.session, zone, tokens)
