"""Application object of a router on the platform, which owns its resources."""

import asyncio
import contextlib
import math
import socket
import time
from collections.abc import Awaitable, Callable
from functools import partial

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.routing import AnyMatches, Router, Rule, RuleRouter
from tornado.web import Application

from tamarackrill.decisions.capacity.sharing_scope import SharingScope
from tamarackrill.decisions.capacity.store_answers import make_answer_limits
from tamarackrill.decisions.configuration import (
    ChangeSet,
    ConfigurationStore,
    ObjectVersion,
)
from tamarackrill.decisions.endpoint_news import (
    EndpointNews,
    EndpointReport,
    hash_reporter,
)
from tamarackrill.decisions.leaving import FleetNews
from tamarackrill.decisions.loads import EndpointLoad
from tamarackrill.decisions.loop_activity import TICK_S, LoopActivity
from tamarackrill.decisions.manifest_relay import RelayBudget
from tamarackrill.decisions.members import MemberRecord, MemberState, PiggybackedEntries
from tamarackrill.decisions.membership import PeerStateReceived
from tamarackrill.decisions.news_shares import EVIDENCE_AGE_MAX_SHARE, WATCH_MAX_SHARE
from tamarackrill.decisions.placement_news import PlacementNews
from tamarackrill.decisions.retry_shares import UNCOUNTED_ROUTERS, FleetSize
from tamarackrill.decisions.standstill import is_outdated
from tamarackrill.decisions.stopping import plan_stop
from tamarackrill.decisions.stream_versions import Router as VersionRouter
from tamarackrill.decisions.stream_versions import StreamVersions
from tamarackrill.decisions.watching import SETTLE_S, WatchPolicy
from tamarackrill.events import (
    ROUTER_LATE,
    ROUTER_LEAVING,
    ROUTER_STARTED,
    ROUTER_STOPPED,
    STORE_CALL_ENDED,
    log_event,
)
from tamarackrill.platform.objects import (
    ENDPOINT_KIND,
    EVACUATION_KIND,
    MANIFEST_KIND,
    MANIFEST_NAME,
    read_endpoint,
    read_evacuation,
    read_manifest,
)
from tamarackrill.platform.settings_file import PlatformSettings
from tamarackrill.platform.store import STORE_FORM
from tamarackrill.router import lateness
from tamarackrill.router.background import run_restarting
from tamarackrill.router.binding import report_bind_error
from tamarackrill.router.brittle_slots import BrittleSlots
from tamarackrill.router.capacity.slot_sharing import SlotSharing
from tamarackrill.router.channels import Connect, open_channel
from tamarackrill.router.cold_monitor import ColdMonitor
from tamarackrill.router.cold_permits import ColdPermits
from tamarackrill.router.configuring import ConfigurationSync
from tamarackrill.router.cut_off import CutOffMonitor
from tamarackrill.router.datagrams import PeerSocket
from tamarackrill.router.deployment_view import DeploymentView, ObjectReaders
from tamarackrill.router.draining_server import DrainingServer
from tamarackrill.router.early_listener import open_listener
from tamarackrill.router.edge_flow import EdgeFlow
from tamarackrill.router.edge_gauges import add_gauges
from tamarackrill.router.edge_pages import (
    make_metrics_page,
    make_readiness_page,
    make_silent,
)
from tamarackrill.router.edge_placing import EdgePlacer
from tamarackrill.router.edge_server import EdgeServer
from tamarackrill.router.ended_checks import EndedChecks
from tamarackrill.router.endpoint_history import read_endpoint_history
from tamarackrill.router.fleet_news import FleetNewsExchange
from tamarackrill.router.fleet_registry import FleetRegistry
from tamarackrill.router.gossip import Gossiper
from tamarackrill.router.manifest_recovery import ManifestRecovery
from tamarackrill.router.members import Member, Members
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.peer_api import (
    PLACEMENTS_PATH,
    list_handlers,
    pull,
    pull_changes,
)
from tamarackrill.router.placement_gossip import PlacementGossip
from tamarackrill.router.platform_client import (
    PlatformClient,
    StoreCall,
    StoreTiming,
)
from tamarackrill.router.prompt_guard import PromptGuard
from tamarackrill.router.relay_client import RelayClient
from tamarackrill.router.relay_server import RelayedRequestMatcher, RelayServer
from tamarackrill.router.slow_clients import choose_replies
from tamarackrill.router.standstill import StandstillMonitor, chain
from tamarackrill.router.store_checks import StoreChecks
from tamarackrill.router.store_news import EvidenceExchange
from tamarackrill.router.suspension import find_suspended_s, read_clock
from tamarackrill.router.upstream import close_client, make_client
from tamarackrill.router.version_keepers import VersionKeepers
from tamarackrill.router.version_store import VersionStore

# Timeout of a store call: at most this long, and this share of `news_max_s`. The store
# responds in 4 ms, and in 250 ms when it is slow.
STORE_CALL_TIMEOUT_MAX_S = 0.5
STORE_CALL_TIMEOUT_SHARE = 0.25
# Maximum backoff between calls to an unavailable store, so that its return is noticed
# within this time; a shorter one would cost more calls.
STORE_RETRY_BACKOFF_MAX_S = 0.8
# Pause between a response of the store and the next call, so that changes in quick
# succession cost one call: a rolling replacement changes endpoint entries in pairs.
STORE_CALL_PAUSE_S = 0.1
# Maximum time that a new router keeps callers waiting for its first manifest and
# endpoints, which a healthy store delivers within some tens of milliseconds.
INITIAL_CONFIG_WAIT_S = 0.3
# One bulletin per interval costs a router in a zone of fifteen 9 KB/s inside the zone.
HOUSEKEEPING_INTERVAL_S = 0.25
# Time after the stop signal during which requests are still served: a balancer checks
# once a second and removes a router after two misses, so new connections still arrive.
DRAIN_SERVING_S = 2.6
# Event-loop lag that is logged. It equals the connect timeout of endpoints, so a router
# lagging this much takes reachable endpoints for unreachable.
LOOP_LAG_LOGGED_S = 0.15
# Time that a request whose endpoints have moved waits for their entries: as long as a
# slow store takes.
ENTRIES_WAIT_S = 0.3
# How often a drain checks whether anything is left to wait for.
DRAIN_POLL_S = 0.1
# Body of a request to a page of the router, and time in which the body of an attempt of
# another router arrives: 1 MB over 5 Mbit/s takes 1.7 s.
BODY_MAX_BYTES = 64 * 1024
BODY_MAX_S = 5.0

READERS = ObjectReaders(
    MANIFEST_KIND,
    MANIFEST_NAME,
    ENDPOINT_KIND,
    EVACUATION_KIND,
    read_manifest,
    read_endpoint,
    read_evacuation,
)


class EdgeApplication:
    """One router on the platform.

    Parameters
    ----------
    settings : PlatformSettings
        Checked settings.
    peer_keys : tuple of str
        Keys that authenticate messages between routers; the first one signs, all of
        them verify.
    metrics_port : int
        Port of the metrics endpoint.
    flush_log : callable, optional
        Writes buffered log lines, as far as their reader accepts them.
    peer_address : str, optional
        ``host:port`` at which other routers reach this one, if it differs from the
        listen address.
    connect : callable, optional
        Opens connections to endpoints.

    Notes
    -----
    Life cycle: `start` opens the sockets and starts the tasks, `drain` waits for
    requests in flight, `stop` closes everything that `start` opened.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        peer_keys: tuple[str, ...],
        metrics_port: int,
        flush_log: Callable[[], None] = lambda: None,
        peer_address: str = "",
        connect: Connect = open_channel,
    ) -> None:
        self._flush_log = flush_log
        self.settings = settings
        self._metrics_port = metrics_port
        self.clock = time.monotonic
        self._peer_keys = peer_keys
        self._tasks: list[asyncio.Task[None]] = []
        self._configured = asyncio.Event()
        self._servers: list[HTTPServer] = []
        self._activity = LoopActivity(self.clock(), read_clock())
        self.metrics = Metrics()
        self.store = ConfigurationStore()
        self.view = DeploymentView(
            READERS, self._knows_evacuations, settings.zones, self.store
        )
        # No state survives a restart, so the wall clock makes this number higher than
        # that of any earlier process of the same name.
        self._session = int(time.time() * 1000)
        self._endpoint_news = EndpointNews(hash_reporter(settings.name), self._session)
        self._reporter_zones: dict[int, str] = {}
        self.placer = EdgePlacer(
            self.view,
            settings.name,
            settings.zone,
            settings.load_cap,
            self._endpoint_news,
            self._reporter_zones.get,
        )
        address = peer_address or f"{settings.ip}:{settings.peer_port}"
        self.members = Members(
            Member(settings.name, address, settings.zone, peer_address=address)
        )
        self._relay_budget = RelayBudget(settings.link_bytes_per_s)
        self._fleet_size = FleetSize(uncounted=UNCOUNTED_ROUTERS)
        self.cut_off = CutOffMonitor(
            settings.zone, self.view, self.placer, self.members, self.clock
        )
        self.placer.count_routers = lambda: len(self.members.list_live())
        self.placer.list_witnesses = self.cut_off.list_witnesses
        self.flow = EdgeFlow(
            self.placer,
            settings.retry_budget,
            lambda: self._fleet_size.largest,
            self.metrics,
            self.clock,
            connect,
        )
        self.standstill = StandstillMonitor(
            self._list_kinds(), settings.news_max_s, self.clock, read_clock
        )
        self.flow.attempts.wait_current = self.standstill.wait_current
        self.flow.stopping.has_others = self._has_others
        self.capacity: SlotSharing | None = None
        self.cold = ColdMonitor(self.view, settings.cold_tolerance, self.clock)
        self.flow.attempts.paths.on_reached = self.cold.observe_reached
        self.flow.compute_failover_s = self.cut_off.compute_failover_s
        self.relays = RelayClient(self.view, self.placer, self.members, self.clock)
        self.flow.attempts.use_relays(self.relays, peer_keys[0])
        self.flow.reserver.relays = self.relays
        self.server = EdgeServer(
            self.view, self.flow, self.metrics, self.clock, settings.memory_bytes
        )
        self.relay_server = RelayServer(
            self.view,
            self.placer,
            self.flow.attempts,
            peer_keys,
            self.metrics,
            self.clock,
            self.server.request_bytes,
        )
        self.relay_server.wait_current = self.standstill.wait_current
        self.server.wait_current = self.standstill.wait_current
        if settings.sockets_max is not None:
            self.server.server.limit_descriptors(settings.sockets_max)
        self.server.make_reply = choose_replies(settings, self.metrics, self.clock)

    async def start(self, listener: socket.socket | None = None) -> None:
        """Open the sockets and start the tasks.

        Parameters
        ----------
        listener : socket.socket, optional
            Socket that already listens for callers; opened here by default.
        """
        settings = self.settings
        self._run_task("loop activity", self._run_activity)
        self._peer_socket = PeerSocket(self.metrics.count)
        peer_address = f"{settings.ip}:{settings.peer_port}"
        with report_bind_error(settings.get_field_location("peer_port"), peer_address):
            await self._peer_socket.start(settings.ip, settings.peer_port)
        self._store_client = CurlAsyncHTTPClient(force_instance=True)
        self._router_client = make_client()
        self.relays.pull = self._pull_from_peer
        self._make_placement_gossip()
        self.slots = BrittleSlots(
            self.view,
            self.placer,
            self.members,
            self._peer_socket.send,
            self._peer_keys,
            self.metrics,
            self.clock,
        )
        self.flow.reserver.slots = self.slots
        self._make_fleet_news_exchange()
        self._listen_for_peers()
        self._listen_readiness()
        self._make_configurer()
        await self._start_gossip()
        add_gauges(self)
        self._registry = FleetRegistry(
            self._platform, settings.name, self._list_serving, self._observe_fleet
        )
        self._run_task("fleet registry", self._registry.run)
        self.fleet_news.start()
        self.keepers.store.start()
        await self.configuration_sync.start()
        listener = listener or open_listener(settings.callers_address)
        with contextlib.suppress(TimeoutError):
            async with lateness.timeout(INITIAL_CONFIG_WAIT_S):
                await self._configured.wait()
                await self.fleet_news.first_answer.wait()
        self.server.server.add_sockets([listener])
        self._run_task("housekeeping", self._run_housekeeping)
        log_event(
            ROUTER_STARTED,
            router=settings.name,
            zone=settings.zone,
            address=settings.callers_address,
            peer_address=self.members.own.peer_address,
        )

    def _run_task(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(run_restarting(name, run)))

    def _listen_for_peers(self) -> None:
        handlers = list_handlers(
            self.store,
            self._peer_keys,
            self.metrics.count,
            self.placement_gossip.encode_snapshot,
            lambda size_bytes: self._relay_budget.take(size_bytes, self.clock()),
            self.relay_server.find_reached,
            self.fleet_news.encode_news,
            self.manifest_recovery.encode,
        )
        pages = make_silent(Application(handlers))
        peers = RuleRouter(
            [
                Rule(RelayedRequestMatcher(), self.relay_server),
                Rule(AnyMatches(), pages),
            ]
        )
        settings = self.settings
        peer_address = f"{settings.ip}:{settings.peer_port}"
        self._listen(peers, peer_address, settings.get_field_location("peer_port"))
        metrics = make_metrics_page(self.metrics)
        self._listen(metrics, f"{settings.ip}:{self._metrics_port}", "metrics port")

    def _listen_readiness(self) -> None:
        readiness = make_readiness_page(self.is_ready)
        place = self.settings.get_field_location("readiness_address")
        self._listen(readiness, self.settings.readiness_address, place)

    def _listen(self, pages: Router, address: str, place: str) -> None:
        host, _, port = address.rpartition(":")
        # Only attempts of other routers have a body, up to the limit of the manifest.
        server = DrainingServer(
            pages, max_body_size=BODY_MAX_BYTES, body_timeout=BODY_MAX_S
        )
        server.limits = self.server.server.limits
        with report_bind_error(place, address):
            server.listen(int(port), host)
        self._servers.append(server)

    def _make_configurer(self) -> None:
        news_max_s = self.settings.news_max_s
        self._platform = PlatformClient(
            self.settings.store_address,
            self.settings.zone,
            self._store_client,
            STORE_FORM,
            StoreTiming(
                call_s=min(
                    STORE_CALL_TIMEOUT_MAX_S, STORE_CALL_TIMEOUT_SHARE * news_max_s
                ),
                watch_wait_s=WATCH_MAX_SHARE * news_max_s,
            ),
        )
        self._platform.limits = make_answer_limits(self.settings.memory_bytes)
        self.configuration_sync = ConfigurationSync(
            self.store,
            self._platform,
            self._apply_objects,
            self._pull,
            self.clock,
            self._list_kinds(),
            STORE_RETRY_BACKOFF_MAX_S,
            (MANIFEST_KIND,),
            STORE_CALL_PAUSE_S,
            (EVACUATION_KIND,),
        )
        self.configuration_sync.find_arrived_s = self._find_arrived_s
        self.configuration_sync.on_platform_state = self._observe_store
        self.configuration_sync.on_restored = self._observe_restored
        self.server.is_outdated = self._is_outdated
        self._platform.on_call = self._record_store_call

    def _list_kinds(self) -> tuple[str, ...]:
        kinds = (MANIFEST_KIND, ENDPOINT_KIND)
        return (*kinds, EVACUATION_KIND) if self.settings.has_evacuations else kinds

    def _knows_evacuations(self) -> bool:
        if not self.settings.has_evacuations:
            return True
        return self.store.get_complete(EVACUATION_KIND) > 0

    def _is_outdated(self) -> bool:
        if self.configuration_sync.knows_newer_version(MANIFEST_KIND):
            return True
        resumed_s, now_s = self.standstill.find_resumed_s(), self.clock()
        age_s = self.store_news.find_ages_s(now_s).get(MANIFEST_KIND, math.inf)
        return is_outdated(age_s, self.settings.news_max_s, resumed_s, now_s)

    def _knows_current_endpoints(self) -> bool:
        return self.clock() - self._find_known_s() <= self.settings.news_max_s

    def _find_known_s(self) -> float:
        """Return the time as of which the known endpoints are those of the store."""
        now_s = self.clock()
        ages_s = self.store_news.find_ages_s(now_s)
        return now_s - ages_s.get(ENDPOINT_KIND, math.inf)

    def _find_confirmed_s(self, now_s: float) -> float:
        """Return as of when the store's endpoints are known, and nothing is missing."""
        if self.configuration_sync.is_pulling(ENDPOINT_KIND):
            return -math.inf
        return min(now_s, self._find_known_s())

    def _find_arrived_s(self, now_s: float) -> float:
        return self._activity.find_arrived_s(now_s, read_clock())

    def _find_resumed_s(self) -> float:
        return self._activity.find_resumed_s(self.clock(), read_clock())

    async def _read_versions(self) -> None:
        """Bring the versions of services up to date with the store."""
        await self.configuration_sync.read_changes(ENDPOINT_KIND)
        await self.keepers.store.complete_history()

    async def _read_moved(self, service: str) -> bool:
        """Read the endpoints of a service again if they have moved since."""
        has_moved = self.placer.has_moved_since(service, self._find_known_s())
        if not has_moved or self.configuration_sync.is_lost:
            return False
        with contextlib.suppress(TimeoutError):
            async with lateness.timeout(ENTRIES_WAIT_S):
                return await self._entry_checks.check()
        return False

    async def _run_activity(self) -> None:
        while True:
            now_s = self.clock()
            self._activity.observe(now_s, read_clock())
            self.standstill.beat(now_s)
            await asyncio.sleep(TICK_S)

    def _record_store_call(self, call: StoreCall) -> None:
        self.metrics.record_store_call(
            call.kind, call.outcome, call.duration_s, call.size_bytes
        )
        log_event(
            STORE_CALL_ENDED,
            call=call.kind,
            path=call.path,
            outcome=call.outcome,
            first_byte_s=round(call.first_byte_s, 4),
            duration_s=round(call.duration_s, 4),
            size_bytes=call.size_bytes,
            era=call.era,
        )

    def _pull(self, address: str, kind: str, since: int) -> Awaitable[ChangeSet]:
        return pull_changes(self._router_client, address, kind, since, self._peer_keys)

    def _make_placement_gossip(self) -> None:
        self.placement_gossip = PlacementGossip(
            PlacementNews(self.settings.name, self.settings.zone),
            self._endpoint_news,
            self.placer.index,
            self._observe_reports,
            self.members,
            self._peer_socket.send,
            self._pull_placements,
            self._peer_keys,
            self.metrics,
            self.clock,
        )
        self.placer.tell = self.placement_gossip.tell
        self.placer.send_brittle = self.placement_gossip.send_brittle

    def _observe_reports(self, reports: list[EndpointReport]) -> None:
        self.placer.observe_reports(reports, self.clock())
        if self.capacity is not None:
            loads = [report for report in reports if isinstance(report, EndpointLoad)]
            self.capacity.server.observe_news(loads)

    def _share_capacity(self) -> None:
        settings = self.settings
        if settings.capacity_sharing == "off":
            return
        self.capacity = SlotSharing(
            SharingScope(settings.capacity_sharing, settings.has_slow_peers),
            self.view,
            self.placer,
            self.members,
            self._peer_socket.send,
            self._peer_keys,
            self.metrics,
            self.clock,
        )
        self.flow.reserver.capacity = self.capacity.client
        self._peer_socket.handlers.append(self.capacity.handle_datagram)

    def _pull_from_peer(
        self, address: str, uri: str, timeout_s: float
    ) -> Awaitable[bytes]:
        return pull(self._router_client, address, uri, self._peer_keys, timeout_s)

    def _pull_placements(self, address: str) -> Awaitable[bytes]:
        return pull(self._router_client, address, PLACEMENTS_PATH, self._peer_keys)

    def _make_fleet_news_exchange(self) -> None:
        own_address = self.members.own.peer_address
        self.fleet_news = FleetNewsExchange(
            self.members,
            (seed for seed in self.settings.seeds if seed != own_address),
            self._list_fleet_news,
            self._observe_fleet_news,
            self._pull_from_peer,
            self.clock,
        )
        self.manifest_recovery = ManifestRecovery(
            self.view, self._pull_from_peer, lambda: self._apply_objects([])
        )
        self.fleet_news.find_arrived_s = self._find_arrived_s
        self.fleet_news.observe_manifest = self.manifest_recovery.observe

    def _list_fleet_news(self) -> FleetNews:
        return self.view.list_leaving_news(self.clock())._replace(
            brittle=self.placer.brittle.list_services(self.clock()),
            routers=self.slots.count_fleet(),
            manifest=self.view.tell_manifest(),
        )

    def _observe_fleet_news(self, news: FleetNews) -> None:
        self.slots.observe_news(news)
        self.view.observe_leaving_news(news, self.clock())

    def _observe_restored(self, kind: str) -> None:
        self.view.observe_restored(kind, self.clock())
        if kind == ENDPOINT_KIND:
            self.fleet_news.ask_again()
            self.keepers.store.read_again()

    def _observe_store(self, is_lost: bool) -> None:
        self.view.observe_store(is_lost, self.clock())

    def _apply_objects(self, versions: list[ObjectVersion]) -> None:
        now_s = self.clock()
        for item in versions:
            self.view.take(item, now_s)
        self._drop_removed_endpoints()
        if self.view.is_complete:
            self._configured.set()
        table = self.view.routes
        if table is not None:
            self.server.set_limits(table.manifest.limits)
        self.manifest_recovery.update()
        self.store_news.tell()
        self.keepers.update()

    def _drop_removed_endpoints(self) -> None:
        self.cold.update()
        restarted = self.placer.update_endpoints(self.clock())
        for name in restarted:
            self.flow.attempts.pool.drop(name)
        if self.capacity is not None:
            self.capacity.server.observe_restarted(restarted)
        self.guard.observe_endpoints(restarted)
        self.flow.attempts.pool.retain(e.name for e in self.view.list_endpoints())

    async def _start_gossip(self) -> None:
        session = self._session
        own_address = self.members.own.peer_address
        seeds = tuple(s for s in self.settings.seeds if s != own_address)
        self.store_news = EvidenceExchange(
            WatchPolicy(
                self.settings.name,
                self.settings.zone,
                EVIDENCE_AGE_MAX_SHARE * self.settings.news_max_s,
                self.clock() + SETTLE_S,
                self.settings.news_max_s,
                (MANIFEST_KIND,),
            ),
            self.members,
            self.configuration_sync,
            self._peer_socket.send,
            self._peer_keys,
            session,
            self.clock,
            seeds,
            find_suspended_s=find_suspended_s,
        )
        self.view.find_known_s = self._find_confirmed_s
        self._watch_standstills()
        own = MemberRecord(
            self.settings.name,
            session,
            MemberState.ALIVE,
            self.settings.zone,
            self.members.own.address,
            self.members.own.peer_address,
        )
        self.gossiper = Gossiper(
            own,
            self._peer_socket.send,
            self._peer_keys,
            self.members,
            self.configuration_sync.digest,
            self.clock,
            seeds,
        )
        self.permits = ColdPermits(
            self.members,
            self.cold,
            self._peer_socket.send,
            self._peer_keys,
            self.metrics.count,
            self.clock,
        )
        self.flow.reserver.permits = self.permits
        self._store_checks = StoreChecks(
            self._read_versions, lambda: len(self.members.list_live()), self.clock
        )
        self._entry_checks = StoreChecks(
            lambda: self.configuration_sync.read_changes(ENDPOINT_KIND),
            lambda: len(self.members.list_live()),
            self.clock,
        )
        self.flow.reserver.read_moved = self._read_moved
        self._ended = EndedChecks(self.members, open_channel, self.clock)
        self.keepers = VersionKeepers(
            self.view,
            self.members,
            self._peer_socket.send,
            self._peer_keys,
            self.clock,
            self._knows_current_endpoints,
            self.settings.zones,
            self.settings.news_max_s,
            self._find_known_s,
            self._find_resumed_s,
            self.standstill.find_resumed_s,
            self._ended,
            self._store_checks.check,
            lambda: self.configuration_sync.is_lost,
            bool(seeds),
            self._make_version_store,
        )
        self.flow.reserver.keepers = self.keepers
        self.guard = PromptGuard(
            lambda prompt: self.view.list_live(prompt.service),
            self.view.list_endpoints,
            self.members,
            self._peer_socket.send,
            self._peer_keys,
            self.metrics,
            self.clock,
        )
        self.flow.use_guard(self.guard)
        self.flow.attempts.on_first_event = self.keepers.record_begin
        self.gossiper.subscribe(self.configuration_sync.observe_peer_state)
        self.gossiper.subscribe(self._observe_peer)
        self.gossiper.add_source(self._collect_entries)
        self.flow.attempts.crashes.on_crash = self._broadcast_crash
        self._peer_socket.handlers.append(self.store_news.handle_datagram)
        self._peer_socket.handlers.append(self.placement_gossip.handle_datagram)
        self._peer_socket.handlers.append(self.permits.handle_datagram)
        self._peer_socket.handlers.append(self.keepers.handle_datagram)
        self._peer_socket.handlers.append(self.slots.handle_datagram)
        self._peer_socket.handlers.append(self.guard.handle_datagram)
        self._share_capacity()
        self._peer_socket.handlers.append(self.gossiper.handle_datagram)
        await self.gossiper.start()
        self.guard.ask(seeds)
        await self.placement_gossip.start()

    def _watch_standstills(self) -> None:
        sync = self.configuration_sync
        sync.find_resumed_s = self.standstill.find_resumed_s
        self.standstill.on_resumed = sync.request_news
        sync.on_answer = chain(self.standstill.observe_news, sync.on_answer)
        sync.on_unchanged = chain(self.standstill.observe_news, sync.on_unchanged)
        self.standstill.start()

    def _make_version_store(
        self, versions: StreamVersions, own: VersionRouter
    ) -> VersionStore:
        return VersionStore(
            self._platform,
            versions,
            own,
            self._session,
            self._knows_current_endpoints,
            self.clock,
            partial(read_endpoint_history, self._platform, READERS),
        )

    def _collect_entries(self) -> PiggybackedEntries:
        return PiggybackedEntries(tuple(self.placer.poison.digest(self.clock())))

    def _observe_peer(self, received: PeerStateReceived) -> None:
        now_s = self.clock()
        for count in received.entries.crashes:
            self.placer.poison.observe_peer(received.sender, *count, now_s)

    def _broadcast_crash(self, fingerprint: int) -> None:
        # Gossip takes seconds to reach all routers, and the client of a request that
        # crashes endpoints retries at once, at any router.
        count = self.placer.poison.count_own(fingerprint, self.clock())
        for member in self.members.list_live():
            if member.name != self.members.own.name:
                self.gossiper.report(member.name, PiggybackedEntries((count,)))

    async def _run_housekeeping(self) -> None:
        while True:
            due_s = self.clock() + HOUSEKEEPING_INTERVAL_S
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._record_loop_lag(self.clock() - due_s)
            self.view.expire(self.clock())
            self.server.end_overdue()
            self.flow.attempts.paths.probe_due()
            self.relays.update()
            self.cut_off.update_services(
                self.flow.attempts.paths.probe_outcomes["failed"]
            )
            if self.cut_off.update():
                # The balancer directs only new connections; a kept-alive one stays with
                # this router until the router closes it.
                self.server.sheds_connections = self.cut_off.is_cut_off
            if self._registry.has_asked:
                self._observe_fleet(self.members.count_serving())
            self.store_news.update_members()
            self.permits.update_members()
            self.keepers.update()
            self.slots.update()
            self.guard.update()
            self._update_reporter_zones()
            self.store_news.repeat_evidence()
            self._flush_log()

    def _observe_fleet(self, routers: int) -> None:
        self._fleet_size.observe(routers, self.clock())

    def _list_serving(self) -> list[str]:
        return [m.name for m in (*self.members.list_all(), *self.members.lost)]

    def _update_reporter_zones(self) -> None:
        self._reporter_zones.clear()
        for member in self.members.list_live():
            self._reporter_zones[hash_reporter(member.name)] = member.zone

    def _record_loop_lag(self, lag_s: float) -> None:
        self.metrics.record_loop_lag(lag_s)
        if lag_s >= LOOP_LAG_LOGGED_S:
            log_event(ROUTER_LATE, lag_s=round(lag_s, 4))

    def _has_others(self) -> bool:
        own = self.members.own.name
        return any(member.name != own for member in self.members.list_live())

    def is_ready(self) -> bool:
        """Return whether the balancer may send new connections to this router."""
        if self.server.is_leaving or self.cut_off.is_cut_off:
            return False
        return self.view.is_complete and self.fleet_news.may_serve

    async def drain(self, stop_requested_s: float | None = None) -> None:
        """Let requests in flight complete within the platform's grace period.

        Parameters
        ----------
        stop_requested_s : float, optional
            When the router was told to stop, possibly long before it had started; now
            by default.
        """
        if stop_requested_s is None:
            stop_requested_s = self.clock()
        grace_s = self.settings.grace_s
        plan = plan_stop(stop_requested_s, grace_s, DRAIN_SERVING_S)
        stopping = self.flow.stopping
        stopping.plan = plan
        self.server.leave()
        self.relay_server.is_leaving = True
        self.gossiper.leave()
        log_event(
            ROUTER_LEAVING,
            router=self.settings.name,
            in_flight=len(self.server.in_flight),
        )
        self._run_task("refuse unfit", stopping.refuse_unfit)
        await asyncio.sleep(plan.serving_end_s - self.clock())
        self.server.accepts_requests = False
        await self.server.server.finish(plan.answers_end_s - self.clock())
        await self._wait_idle(plan.answers_end_s)
        stopping.end_unanswered()
        await self.server.refuse_unread()
        self.relay_server.cut(is_last=False)
        await self._wait_idle(plan.end_s)
        await stopping.cut_begun()
        await self.server.refuse_unread()
        self.relay_server.cut(is_last=True)

    async def _wait_idle(self, until_s: float) -> None:
        """Wait until no request is being read or served, at most until `until_s`."""
        while (left_s := until_s - self.clock()) > 0:
            wait_s = min(DRAIN_POLL_S, left_s)
            if in_flight := self.server.in_flight | self.relay_server.in_flight:
                await asyncio.wait(in_flight, timeout=wait_s)
            elif self.server.reading:
                await asyncio.sleep(wait_s)
            else:
                return

    async def stop(self) -> None:
        """Close everything that `start` opened."""
        for server in (self.server.server, *self._servers):
            server.stop()
            await server.close_all_connections()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.capacity is not None:
            self.capacity.server.stop()
        await self.fleet_news.stop()
        await self.manifest_recovery.stop()
        await self.placement_gossip.stop()
        await self.gossiper.stop()
        await self.configuration_sync.stop()
        await self._store_checks.stop()
        await self._entry_checks.stop()
        await self._ended.stop()
        await self.keepers.store.stop()
        self._peer_socket.stop()
        await self.relays.stop()
        await self.flow.attempts.paths.stop()
        self.flow.attempts.pool.close()
        close_client(self._store_client)
        close_client(self._router_client)
        log_event(
            ROUTER_STOPPED,
            router=self.settings.name,
            in_flight=len(self.server.in_flight),
        )
        self._flush_log()
