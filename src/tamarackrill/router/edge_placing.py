"""Endpoint selection for requests of the platform's interface."""

import math
from collections.abc import Callable, Collection, Mapping
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.backoff import Backoffs
from tamarackrill.decisions.brittle import BrittleServices
from tamarackrill.decisions.cache_index import CacheIndex
from tamarackrill.decisions.capacity.load_reports import LoadReport
from tamarackrill.decisions.endpoint_news import (
    BrittleReport,
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
    RoomSharing,
)
from tamarackrill.decisions.set_aside import SetAside
from tamarackrill.events import (
    ENDPOINT_BACKOFF,
    ENDPOINT_EJECTED,
    ENDPOINT_MISPLACED,
    ENDPOINT_REJECTING,
    ENDPOINT_RESTARTED,
    ENDPOINT_RETURNED,
    SERVICE_BRITTLE,
    log_event,
)
from tamarackrill.exceptions import Refusal
from tamarackrill.router.capacity.slot_grants import NO_GRANT, SlotGrant
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_calls import EdgeCall
from tamarackrill.router.endpoint_pauses import EndpointPauses
from tamarackrill.router.owners import UNCOUNTED, Ticket
from tamarackrill.router.unexpected_errors import leave_out_faulty

# Share of the load cap that a router uses as its own bound: it learns of the requests
# of other routers only from the loads reported with responses, which lag behind.
LOAD_CAP_SHARE = 0.75
# Requests allowed beyond the multiple.  Without them a burst of one session overflows
# to endpoints that have to read or copy its prompt first.  In a load test of a quiet
# day, 564 thousand tokens were read again with 0 and 450 thousand with 1, without
# copying; with copying, engines moved 154 GB with 1 and 113 GB with 2.  The hard limit
# is 3 requests beyond twice the mean; 2 beyond one and a half times the mean stays
# below it.
LOAD_SLACK = 2
OVERLOADED_STATUS = 503
# If no endpoint has a free slot, requests queue at endpoints up to this multiple of
# their slots: a lookup of 20 ms behind three others is still on time.
QUEUE_MULTIPLE = 4
# Share of what may be in flight at a pool from which routers share the last room too.
# Each knows of the same few free places, and most of those that use them are turned
# away by the endpoint.
NEARLY_FULL_SHARE = 0.9


class Overloaded(Refusal):
    """All engines are too slow for a prompt.

    Parameters
    ----------
    waits_s : mapping of str to float
        How long prompts wait at each engine for their first event.
    """

    def __init__(self, waits_s: Mapping[str, float]) -> None:
        super().__init__("overloaded", OVERLOADED_STATUS, "all engines are too slow")
        self.waits_s = waits_s


class EdgePlacement(NamedTuple):
    """The endpoint selected for a request, the reason, and its known load.

    `copy_from` is the engine that most likely caches the prefixes that the selected one
    lacks, `priority` the request's priority in an engine's queue, `ticket` identifies
    its reservation at the owner of a brittle endpoint, `grant` the slot that an
    allocator has granted, `chosen_s` is the time of the choice.
    """

    endpoint: Endpoint
    reason: str
    load: int
    bound: int
    chosen_s: float
    copy_from: Endpoint | None = None
    priority: int | None = None
    ticket: Ticket = UNCOUNTED
    grant: SlotGrant = NO_GRANT


class EdgePlacer:
    """Selects endpoints by load, cached prefixes and health.

    Parameters
    ----------
    view : DeploymentView
        Current endpoints.
    router, zone : str
        Name of this router, and its availability zone, which is that of its clients.
    load_cap : float
        Multiple of the mean load that no endpoint may exceed.
    news : EndpointNews
        Queues reports about endpoints for other routers.
    find_zone : callable
        Returns the availability zone of a reporting router.

    Attributes
    ----------
    index : CacheIndex
        Engines that cache each prefix.
    reports_slowdown : callable
        Returns whether an endpoint of a service has reported its slowdown; see
        `Slowdowns.is_reported`.
    relayed : set of str
        Endpoints that this router can reach only through other routers.
    count_routers : callable
        Returns how many routers send requests to the endpoints.
    tell : callable
        Called with prefixes that an engine has newly cached, and whether other routers
        expect them there.
    send_brittle : callable
        Called when there are urgent reports about brittle endpoints.
    """

    def __init__(
        self,
        view: DeploymentView,
        router: str,
        zone: str,
        load_cap: float,
        news: EndpointNews,
        find_zone: Callable[[int], str | None],
    ) -> None:
        self._view = view
        self._router = router
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
        self.backoffs = Backoffs()
        self.brittle = BrittleServices(router)
        self.fleet_health = FleetHealth(find_zone, zone, load_cap)
        self._news = news
        self._incarnations = Incarnations()
        self._set_aside = SetAside()
        self._pauses = EndpointPauses(self.fleet_health, self.placement.loads)
        self.relayed: AbstractSet[str] = frozenset()
        self.reports_slowdown = self.placement.slowdowns.is_reported
        self.list_endpoints = view.list_usable_endpoints
        self.takes_work = view.takes_work
        self.observe_leaving = view.observe_leaving_answer
        self.list_witnesses: Callable[[], list[Endpoint]] = list
        self.tell: Callable[[list[Holding], bool], None] = lambda found, expected: None
        self.send_brittle: Callable[[], None] = lambda: None
        self.count_routers: Callable[[], int] = lambda: 1
        self._last_sequences: dict[int, int] = {}

    def choose(
        self,
        call: EdgeCall,
        avoid: Collection[str],
        now_s: float,
        may_refuse: bool = True,
    ) -> EdgePlacement | None:
        """Select the endpoint for a request; None if no endpoint can take it.

        Parameters
        ----------
        call : EdgeCall
            The request.
        avoid : collection of str
            Endpoints that have failed the request.
        now_s : float
            Current time.
        may_refuse : bool, default=True
            Whether it may be refused because all engines are too slow, or the last
            room of a full pool is shared.  If its client has received part of the
            stream, the request is served however late.

        Raises
        ------
        Overloaded
            If all engines are too slow for the request.
        Refusal
            If the request has crashed too many endpoints.
        """
        self.poison.check(call.fingerprint, now_s)
        pool = self._find_pool(call.service, now_s)
        return leave_out_faulty(
            lambda left_out: self._choose(
                call, pool.exclude(left_out), avoid, now_s, may_refuse
            ),
            pool.by_name.keys(),
            self._set_aside,
            now_s,
            call.request_id,
        )

    def _find_pool(self, service: str, now_s: float) -> EndpointPool:
        """Return the live endpoints of a service that can be compared."""
        return self._view.find_pool(service).exclude(self._set_aside.find(now_s))

    def _choose(
        self,
        call: EdgeCall,
        pool: EndpointPool,
        avoid: Collection[str],
        now_s: float,
        may_refuse: bool,
    ) -> EdgePlacement | None:
        available = pool.exclude(self._find_unavailable(avoid, now_s))
        probed = self._choose_probe(call, available, now_s)
        if probed is not None:
            return probed
        slow = self._find_slow_engines(call, now_s) if may_refuse else {}
        pools = self._list_pools(pool, call, avoid, now_s)
        for narrowed in pools:
            choice = self._choose_among(
                call, narrowed, pools[-1], slow, may_refuse, now_s
            )
            if choice is not None:
                return self._place(call, choice, avoid, now_s)
        if slow.keys() & pools[-1].by_name.keys():
            raise Overloaded(slow)
        return None

    def _find_slow_engines(self, call: EdgeCall, now_s: float) -> dict[str, float]:
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
            now_s,
            self._find_copy_source(call, choice.endpoint, avoid, now_s),
            choose_priority(call.urgency, is_cached) if call.is_stream else None,
        )

    def _find_unavailable(self, avoid: Collection[str], now_s: float) -> set[str]:
        """Return the endpoints that can't or don't want to take a request now."""
        return {*self._find_unreachable(), *self._find_unwilling(now_s), *avoid}

    def _find_unreachable(self) -> AbstractSet[str]:
        """Return the endpoints that no router can reach for this one."""
        return self.reach.unreachable - self.relayed

    def _find_unwilling(self, now_s: float) -> set[str]:
        return {
            *self.misplaced.find(now_s),
            *self.backoffs.find(now_s),
            *self.brittle.find_closed(now_s),
        }

    def find_unusable(self, now_s: float) -> set[str]:
        """Return the endpoints that can't take a request over this router's links."""
        return {*self.reach.unreachable, *self._find_unwilling(now_s)}

    def has_endpoint(
        self, call: EdgeCall, avoid: Collection[str], now_s: float
    ) -> bool:
        """Return whether any endpoint but those to avoid is available."""
        pool = self._find_pool(call.service, now_s)
        return bool(len(pool.exclude(self._find_unavailable(avoid, now_s))))

    def has_moved_since(self, service: str, known_s: float) -> bool:
        """Return whether an endpoint of a service was found misplaced later."""
        pool = self._view.find_pool(service)
        return self.misplaced.has_moved_since(pool.by_name, known_s)

    def find_refused(
        self, call: EdgeCall, avoid: Collection[str], now_s: float
    ) -> set[str]:
        """Return endpoints that must not get a request, as long as there are others."""
        pool = self._view.find_pool(call.service)
        pools = self._list_pools(pool, call, avoid, now_s)
        usable = next((p for p in pools if len(p)), pools[-1])
        return {*avoid, *(pool.by_name.keys() - usable.by_name.keys())}

    def find_other_versions(self, service: str, software_version: str) -> set[str]:
        """Return the endpoints of a service whose software has another version.

        Parameters
        ----------
        service : str
            The service.
        software_version : str
            The version that a stream began at; empty if it may go to any.
        """
        if not software_version:
            return set()
        pool = self._view.find_full_pool(service)
        return {
            name
            for name, endpoint in pool.by_name.items()
            if endpoint.software_version != software_version
        }

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is known to be leaving, or to be gone."""
        known = self._view.find_endpoint(endpoint.name)
        return known is None or known.state == "leaving"

    def is_draining(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is known to be leaving, and still there."""
        known = self._view.find_endpoint(endpoint.name)
        return known is not None and known.state == "leaving"

    def list_others(self, endpoint: Endpoint) -> list[Endpoint]:
        """Return the other live endpoints of an endpoint's service."""
        pool = self._view.find_pool(endpoint.serves[0])
        return [e for name, e in pool.by_name.items() if name != endpoint.name]

    def compute_backoff_s(self, call: EdgeCall, now_s: float) -> float | None:
        """Return how long until an endpoint takes requests of a service again.

        Returns
        -------
        float or None
            None unless all endpoints that could take the request are in backoff, or
            have just turned others away.
        """
        pool = self._view.find_pool(call.service)
        at_address = pool.exclude(
            {*self._find_unreachable(), *self.misplaced.find(now_s)}
        )
        waits_s = [
            max(
                self.backoffs.compute_shortest_s([name], now_s),
                self.brittle.compute_closed_s(name, now_s),
            )
            for name in at_address.by_name
        ]
        backoff_s = min(waits_s, default=math.inf)
        return backoff_s if 0.0 < backoff_s < math.inf else None

    def _find_copy_source(
        self, call: EdgeCall, chosen: Endpoint, avoid: Collection[str], now_s: float
    ) -> Endpoint | None:
        if not call.prefixes or not self._can_copy(call.service):
            return None
        engines = self._view.find_full_pool(call.service)
        unavailable = self._find_unavailable(avoid, now_s)
        return self.copies.find_source(
            call.prefixes, chosen.name, engines, unavailable, now_s
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
        """Return the pools to try in order, the most trusted endpoints first.

        None of them contains unavailable endpoints: if there are no others, a request
        is refused at once instead of waiting for one timeout after another.
        """
        unavailable = self._find_unavailable(avoid, now_s)
        untrusted = unavailable | self.health.find_excluded(pool.by_name, now_s)
        untrusted |= self._pauses.find(call.service, pool, now_s)
        suspected = untrusted | self.poison.find_endpoints_to_avoid(
            call.fingerprint, now_s
        )
        return [pool.exclude(names) for names in (suspected, untrusted, unavailable)]

    def _choose_among(
        self,
        call: EdgeCall,
        pool: EndpointPool,
        reachable: EndpointPool,
        slow: Collection[str],
        may_refuse: bool,
        now_s: float,
    ) -> EndpointChoice | None:
        request = _make_request(call, self._zone)
        sharing = RoomSharing(self._router, self.count_routers())
        in_flight = self.placement.loads.summarize(pool.by_name, now_s).total
        is_full = in_flight >= NEARLY_FULL_SHARE * QUEUE_MULTIPLE * pool.slots
        last_sharing = sharing if is_full and may_refuse else None
        # A session waits at the endpoint that has its prefix rather than overflow to
        # one whose last room all routers know of.
        for multiple, shared, ranks_all in (
            (1, sharing, False),
            (QUEUE_MULTIPLE, sharing, False),
            (QUEUE_MULTIPLE, last_sharing, True),
        ):
            choice = self.placement.choose(
                request,
                pool,
                now_s,
                refused=slow,
                slots_multiple=multiple,
                bounded_by=reachable,
                sharing=shared,
                ranks_all=ranks_all,
            )
            if choice is not None:
                return choice
        return None

    def _choose_probe(
        self, call: EdgeCall, pool: EndpointPool, now_s: float
    ) -> EdgePlacement | None:
        # Ejected endpoints are probed with real requests: a synthetic probe is an extra
        # request and shows less, as an endpoint may answer probes and fail requests.
        if not call.route.may_repeat or len(pool) < 2:
            return None
        due = self.health.next_probe(now_s, pool.by_name)
        if due is None:
            return None
        return EdgePlacement(pool.by_name[due], "probe", 0, 0, now_s)

    def start(self, call: EdgeCall, placed: EdgePlacement, now_s: float) -> None:
        """Count a request that is being sent to an endpoint."""
        name = placed.endpoint.name
        request = _make_request(call, self._zone)
        learned = self.copies.record_send(call.prefixes, name, now_s)
        self.tell(learned, placed.reason == "hashed")
        self.placement.start(name, request, now_s)
        self.poison.start(call.fingerprint, name, now_s)
        if call.is_stream:
            self.waits.start(name, call.request_id, now_s)

    def observe_response_start(
        self, call: EdgeCall, endpoint: Endpoint, now_s: float
    ) -> None:
        """Record that a response has begun."""
        self.waits.answer(endpoint.name, call.request_id, now_s)

    def observe_load(
        self, placed: EdgePlacement, load: LoadReport, now_s: float
    ) -> None:
        """Record the valid load that an endpoint reports with a response."""
        name = placed.endpoint.name
        self.placement.observe_report(name, load.total, now_s, now_s)
        self.placement.slowdowns.observe(placed.endpoint, load.slowdown, now_s)
        self._news.observe_load(name, load.total, placed.bound)

    def observe_retry_after(
        self, endpoint: Endpoint, retry_after_s: float, now_s: float
    ) -> None:
        """Record that an endpoint has asked for no requests for a while."""
        if self.backoffs.observe(endpoint.name, retry_after_s, now_s):
            log_event(
                ENDPOINT_BACKOFF, endpoint=endpoint.name, retry_after_s=retry_after_s
            )

    def observe_brittle(
        self, endpoint: Endpoint, limit: int, is_rejected: bool, now_s: float
    ) -> None:
        """Record that an endpoint says that it is brittle, maybe in a rejection."""
        self._record_brittle(endpoint, limit, int(is_rejected), now_s)
        must_tell = [s for s in endpoint.serves if self.brittle.must_tell(s, now_s)]
        if is_rejected or must_tell:
            self._news.observe_brittle(endpoint.name, limit, int(is_rejected))
            self.send_brittle()

    def _record_brittle(
        self, endpoint: Endpoint, limit: int, rejected: int, now_s: float
    ) -> None:
        services, name = endpoint.serves, endpoint.name
        for service in self.brittle.observe(services, name, limit, now_s):
            log_event(SERVICE_BRITTLE, service=service, endpoint=name, limit=limit)
        if not rejected:
            return
        was_closed = self.brittle.compute_closed_s(name, now_s) > 0.0
        self.brittle.observe_rejected(name, rejected, now_s)
        closed_s = self.brittle.compute_closed_s(name, now_s)
        if not was_closed:
            log_event(ENDPOINT_REJECTING, endpoint=name, closed_s=round(closed_s, 3))

    def _observe_brittle_report(self, report: BrittleReport, now_s: float) -> None:
        last = self._last_sequences.get(report.reporter, -1)
        endpoint = self._view.find_endpoint(report.endpoint)
        if report.reporter == self._news.reporter or report.sequence <= last:
            return
        self._last_sequences[report.reporter] = report.sequence
        if endpoint is not None:
            self._record_brittle(endpoint, report.limit, report.rejected, now_s)

    def observe_overdue(self, endpoint: Endpoint) -> None:
        """Report a failure of an endpoint whose response is long overdue."""
        self._news.observe_failure(endpoint.name)

    def observe_misplaced(self, endpoint: Endpoint, now_s: float) -> None:
        """Record that another endpoint responds at an endpoint's address."""
        if self._record_misplaced(endpoint.name, "answer", now_s):
            self._news.observe_misplaced(endpoint.name)

    def observe_reports(self, reports: list[EndpointReport], now_s: float) -> None:
        """Process endpoint reports of routers."""
        loads = [report for report in reports if isinstance(report, EndpointLoad)]
        self.placement.loads.observe_hot_endpoints(loads, now_s)
        for report in reports:
            if isinstance(report, FailureReport):
                self.fleet_health.observe(report, now_s)
            elif isinstance(report, MisplacedReport):
                self._record_misplaced(report.endpoint, "news", now_s)
            elif isinstance(report, BrittleReport):
                self._observe_brittle_report(report, now_s)

    def _record_misplaced(self, name: str, source: str, now_s: float) -> bool:
        is_new = self.misplaced.observe(name, now_s)
        if is_new:
            log_event(ENDPOINT_MISPLACED, endpoint=name, source=source)
        return is_new

    def finish(self, call: EdgeCall, endpoint: Endpoint, now_s: float) -> None:
        """Count a request that has ended at an endpoint."""
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
        slowdown: float = 1.0,
    ) -> None:
        """Record the outcome of a request at an endpoint; see `Health`."""
        name = placed.endpoint.name
        pool = self._view.find_pool(call.service).by_name
        if is_ok:
            self.poison.observe_success(call.fingerprint)
        else:
            self._news.observe_failure(name)
        if placed.reason == "probe":
            if self.health.observe_probe(name, is_ok, first_s, pool, now_s, slowdown):
                log_event(ENDPOINT_RETURNED, endpoint=name)
            return
        if self.health.observe_answer(name, is_ok, first_s, pool, now_s, slowdown):
            outcome = "answered" if is_ok else "failed"
            log_event(ENDPOINT_EJECTED, endpoint=name, outcome=outcome)

    def is_poison(self, call: EdgeCall, now_s: float) -> bool:
        """Return whether a request has crashed too many endpoints."""
        try:
            self.poison.check(call.fingerprint, now_s)
        except Refusal:
            return True
        return False

    def update_endpoints(self, now_s: float) -> list[str]:
        """Drop the state of endpoints that are gone or have restarted.

        Returns
        -------
        list of str
            Endpoints that have restarted.
        """
        endpoints = self._view.list_endpoints()
        known = {endpoint.name for endpoint in endpoints}
        self.reach.retain(known.union(e.name for e in self.list_witnesses()))
        self.health.retain(known)
        self.placement.slowdowns.retain(endpoints)
        self.fleet_health.observe_endpoints(known, now_s)
        self.misplaced.retain(known)
        self.brittle.retain(known)
        self.copies.observe_endpoints(known, now_s)
        restarted = self._incarnations.observe(endpoints)
        for name in restarted:
            self._reset_endpoint(name, now_s)
        return restarted

    def _reset_endpoint(self, name: str, now_s: float) -> None:
        log_event(ENDPOINT_RESTARTED, endpoint=name)
        self.copies.record_restart(name, now_s)
        self.placement.loads.remove(name)
        self.placement.slowdowns.remove(name)
        self.health.remove(name)
        self.fleet_health.remove(name)
        self.misplaced.remove(name)
        self.poison.observe_restart(name)
        self.reach.remove(name)
        self.waits.remove(name)


def _make_request(call: EdgeCall, zone: str) -> PlacementRequest:
    tokens = call.prefixes[0].tokens if call.prefixes else 0
    return PlacementRequest(call.request_id, call.session, zone, tokens)
