"""The router application: creates and closes every resource of the daemon."""

import asyncio
import socket
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.netutil import bind_sockets
from tornado.web import Application

from tamarackrill.contracts import Contract, Endpoint
from tamarackrill.decisions.capacity.request_bytes import RequestBytes
from tamarackrill.decisions.catching_up import Standstill
from tamarackrill.decisions.claims import Claims
from tamarackrill.decisions.configuration import (
    ChangeSet,
    ConfigurationStore,
    ObjectVersion,
)
from tamarackrill.decisions.leases import LeaseTiming
from tamarackrill.decisions.members import MemberRecord, MemberState
from tamarackrill.decisions.prompts import Prompt
from tamarackrill.decisions.stopping import STOP_MARGIN_S, plan_stop
from tamarackrill.events import (
    ROUTER_LEAVING,
    ROUTER_STARTED,
    ROUTER_STOPPED,
    log_event,
)
from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router import suspension
from tamarackrill.router.admitting import Admitter
from tamarackrill.router.background import RESTART_PAUSE_S, run_restarting
from tamarackrill.router.binding import report_bind_error
from tamarackrill.router.catching_up import CatchUp
from tamarackrill.router.chats import ChatCoordinator
from tamarackrill.router.claiming import Claimer
from tamarackrill.router.client_streams import RequestLimits
from tamarackrill.router.configuring import KINDS, ConfigurationSync
from tamarackrill.router.datagrams import PeerSocket
from tamarackrill.router.draining_server import DrainingServer
from tamarackrill.router.explaining import ExplainQuery, explain
from tamarackrill.router.flow import CallRunner
from tamarackrill.router.front import FrontContext, OpenCalls, refuse_unread
from tamarackrill.router.gossip import Gossiper
from tamarackrill.router.guarded_requests import RequestGuard
from tamarackrill.router.known_objects import KnownObjects
from tamarackrill.router.limiting import Limiter
from tamarackrill.router.load_reports import LoadReader
from tamarackrill.router.members import Member, Members
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.orders import FleetView, ModelLoadController
from tamarackrill.router.owners import Owners
from tamarackrill.router.peer_api import (
    list_handlers,
    pull_changes,
)
from tamarackrill.router.peer_news import CrashLoadExchange
from tamarackrill.router.placing import Placer
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.router.probing import Prober
from tamarackrill.router.prompt_guard import PromptGuard
from tamarackrill.router.upstream import close_client, make_client
from tamarackrill.router.views import make_front_application
from tamarackrill.settings import Settings

VM_LIST_POLL_S = 1.0
INCARNATION_DIGITS = 16
UNLIMITED_BYTES = 1 << 40
BUFFER_MAX_BYTES = 256 * 1024
HEADERS_MAX_BYTES = 32 * 1024
# The smallest VM of a router; no setting says how much memory it has.
VM_MEMORY_BYTES = 200 * 1024 * 1024
# Without these timeouts a client that sends its headers or body byte by byte would
# hold a connection for ever.  A load balancer's idle timeout is usually 60 s.
HEADERS_TIMEOUT_S = 75.0
BODY_TIMEOUT_S = 30.0


class RouterApplication:
    """One router of the fleet.

    Parameters
    ----------
    settings : Settings
        Checked settings.

    Notes
    -----
    Life cycle: `start` opens the sockets and starts the tasks, `drain` refuses new
    calls and waits for those in flight, `stop` closes everything `start` opened.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = time.monotonic
        self.address = ""
        self.peer_address = ""
        self.store = ConfigurationStore()
        self.metrics = Metrics()
        self._request_bytes = RequestBytes(VM_MEMORY_BYTES)
        self.open_calls = OpenCalls()
        self.known = KnownObjects()
        self._leaving = False
        self._failed_tasks: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the sockets and start the tasks."""
        settings = self.settings
        address = f"{settings.address}:{settings.port}"
        with report_bind_error("--address, --port", address):
            sockets = bind_sockets(settings.port, settings.address)
        self.address = f"{self.settings.address}:{sockets[0].getsockname()[1]}"
        await self._open_peer_socket()
        self._make_clients()
        self._make_admission()
        self._make_call_runner()
        await self._start_configuration()
        await self._start_gossip()
        await self._start_orders()
        self._start_tasks()
        self._serve_callers(sockets)
        log_event(
            ROUTER_STARTED,
            router=self.settings.name,
            zone=self.settings.zone,
            address=self.address,
            peer_address=self.peer_address,
        )

    async def _open_peer_socket(self) -> None:
        settings = self.settings
        self._peer_socket = PeerSocket()
        address = f"{settings.address}:{settings.peer_port}"
        with report_bind_error("--address, --peer-port", address):
            self.peer_address = await self._peer_socket.start(
                settings.address, settings.peer_port
            )
        self.members = Members(
            Member(
                settings.name,
                self.address,
                settings.zone,
                peer_address=self.peer_address,
            )
        )

    def _make_clients(self) -> None:
        self._endpoint_client = make_client()
        self._router_client = make_client()
        self._platform_client = CurlAsyncHTTPClient(force_instance=True)
        self.platform = PlatformClient(
            self.settings.platform, self.settings.zone, self._platform_client
        )

    def _make_admission(self) -> None:
        settings = self.settings
        # Also counts the time suspended, in which no news can be read.
        self.catch_up = CatchUp(
            lambda: self.configuration_sync.read_news(), suspension.read_clock
        )
        self.owners = Owners(
            self.members,
            settings.load_bound,
            self.list_endpoints,
            self._peer_socket.send,
            settings.peer_keys,
            self.clock,
        )
        self.placer = Placer(
            self.list_endpoints, settings.load_bound, settings.zone, self.owners
        )
        self.guard = PromptGuard(
            self._list_candidates,
            self.list_endpoints,
            self.members,
            self._peer_socket.send,
            settings.peer_keys,
            self.metrics,
            self.clock,
        )
        self.placer.guard = self.guard
        self.admitter = Admitter(
            lambda call: self.placer.count_free(call, self.clock()),
            settings.queue_max,
            self.clock,
            self.catch_up.is_current,
        )
        self.limiter = Limiter(
            self.members,
            self.known.find_contract,
            self._peer_socket.send,
            settings.peer_keys,
            self.clock,
        )
        self._peer_socket.handlers.append(self.owners.handle_datagram)
        self._peer_socket.handlers.append(self.limiter.handle_datagram)
        self._peer_socket.handlers.append(self.guard.handle_datagram)

    def _make_call_runner(self) -> None:
        self.chats = ChatCoordinator(self.clock)
        self.claimer = Claimer(
            Claims(self.settings.name, uuid.uuid4().hex[:INCARNATION_DIGITS]),
            self.platform,
            lambda: [member.name for member in self.members.list_live()],
        )
        self.claimer.notice_standstill = self.catch_up.is_current
        self.call_runner = CallRunner(
            self._endpoint_client,
            self.chats,
            self.claimer,
            self.limiter,
            self.admitter,
            self.placer,
            self.metrics,
            self.clock,
            self.catch_up.wait,
        )

    async def _start_configuration(self) -> None:
        self.configuration_sync = ConfigurationSync(
            self.store,
            self.platform,
            self._apply_objects,
            self._pull_changes,
            self.clock,
        )
        await self.configuration_sync.start()

    async def _start_gossip(self) -> None:
        self.gossiper = self._make_gossiper()
        exchange = CrashLoadExchange(
            self.placer, self.owners, self.members, self.gossiper.report, self.clock
        )
        self.gossiper.subscribe(self.configuration_sync.observe_peer_state)
        self.gossiper.subscribe(exchange.handle_peer_state)
        self.gossiper.add_source(exchange.collect)
        self.placer.tell_crash = exchange.tell_crash
        # Must be the last handler: it counts the datagrams that no handler accepted
        # as those of unknown senders.
        self._peer_socket.handlers.append(self.gossiper.handle_datagram)
        await self.gossiper.start()

    async def _start_orders(self) -> None:
        self.load_controller = ModelLoadController(
            f"{self.settings.name}/{uuid.uuid4().hex}",
            FleetView(self.members, self.list_contracts, self.list_endpoints),
            self.platform,
            self._router_client,
            # Also counts the time suspended, during which the lease may expire.
            suspension.read_clock,
            LeaseTiming(self.settings.lease_s, self.settings.lease_s / 2),
        )
        await self.load_controller.start()

    def _start_tasks(self) -> None:
        prober = Prober(
            self._endpoint_client,
            self.placer,
            self.list_endpoints,
            self._wake_waiting,
            self.clock,
        )
        reader = LoadReader(self._endpoint_client, self.owners, self.placer, self.clock)
        self.catch_up.on_standstill = self._observe_standstill
        self.catch_up.on_current = self.admitter.admit_all
        self._start_task("catch_up", self.catch_up.run)
        self._start_task("owners", self.owners.run)
        self._start_task("vm_list", self._poll_vm_list)
        self._start_task("admitter", self.admitter.run)
        self._start_task("limiter", self.limiter.run)
        self._start_task("guard", self.guard.run)
        self._start_task("chats", self.chats.run)
        self._start_task("prober", prober.run)
        self._start_task("load_reader", reader.run)

    def _start_task(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        work = run_restarting(name, lambda: self._run_observed(name, run))
        self._tasks.append(asyncio.create_task(work, name=name))

    async def _run_observed(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        # Without one of its tasks a router must not report itself ready: for example,
        # it would no longer refuse calls that wait too long.  One that fails each time
        # that it is started must not make the router ready for a moment.
        recovery = asyncio.get_running_loop().call_later(
            RESTART_PAUSE_S, self._failed_tasks.discard, name
        )
        try:
            await run()
        except BaseException:
            self._failed_tasks.add(name)
            raise
        finally:
            recovery.cancel()

    def _serve_callers(self, sockets: list[socket.socket]) -> None:
        self._server = DrainingServer(
            self._make_web_application(),
            # The request handler enforces the limit and answers with an error code.
            max_body_size=UNLIMITED_BYTES,
            max_buffer_size=BUFFER_MAX_BYTES,
            max_header_size=HEADERS_MAX_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=HEADERS_TIMEOUT_S,
        )
        self._server.guard = RequestGuard(refuse_unread, self.metrics)
        self._server.limits = RequestLimits(self._request_bytes)
        self._server.add_sockets(sockets)

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new calls to this router."""
        has_contracts = bool(self.known.list_contracts())
        return has_contracts and not self._leaving and not self._failed_tasks

    async def drain(self, stop_requested_s: float | None = None) -> None:
        """Refuse new calls; return when none is in flight, or after the drain limit.

        Shortly before the limit, the callers of those in flight are told what is known.

        Parameters
        ----------
        stop_requested_s : float, optional
            When the router was told to stop, which the limit counts from; defaults
            to now.
        """
        if stop_requested_s is None:
            stop_requested_s = self.clock()
        # The process ends after the drain limit.
        grace_s = self.settings.drain_max_s + STOP_MARGIN_S
        plan = plan_stop(stop_requested_s, grace_s, 0.0)
        self._leaving = True
        self._server.leave()
        self.members.own = self.members.own._replace(state="leaving")
        self.gossiper.leave()
        log_event(
            ROUTER_LEAVING, router=self.settings.name, in_flight=self.open_calls.count
        )
        self.call_runner.begin_stop(plan, self._has_other_routers)
        if not await self._wait_for_calls(plan.answers_end_s):
            self.call_runner.end_all()
            self.open_calls.stop_all()
            await self._wait_for_calls(plan.end_s)

    async def _wait_for_calls(self, end_s: float) -> bool:
        """Wait until no call is open; return False if that is not so in time."""
        try:
            async with asyncio.timeout(end_s - self.clock()):
                await self.call_runner.drain()
                await self.open_calls.wait_until_zero()
        except TimeoutError:
            return False
        return True

    def _has_other_routers(self) -> bool:
        own = self.settings.name
        return any(member.name != own for member in self.members.list_live())

    async def stop(self) -> None:
        """Close everything that `start` opened."""
        await self._server.finish()
        await self._server.close_all_connections()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.catch_up.stop()
        await self.claimer.stop()
        await self.load_controller.stop()
        await self.gossiper.stop()
        await self.configuration_sync.stop()
        self._peer_socket.stop()
        close_client(self._endpoint_client)
        close_client(self._router_client)
        close_client(self._platform_client)
        log_event(
            ROUTER_STOPPED,
            router=self.settings.name,
            in_flight=self.call_runner.running,
        )

    def list_contracts(self) -> list[Contract]:
        """Return the contracts in force."""
        return self.known.list_contracts()

    def list_endpoints(self) -> list[Endpoint]:
        """Return the endpoints that are known now."""
        return self.known.list_endpoints()

    def _list_candidates(self, prompt: Prompt) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self.list_endpoints()
            if prompt.service in endpoint.serves and endpoint.state == "live"
        ]

    def describe(self) -> dict[str, Any]:
        """Return the status of this router, for `/v1/status`."""
        return {
            "router": self.settings.name,
            "zone": self.settings.zone,
            "revision": self.store.revision,
            # By kind, because `contract apply` waits for contracts: the highest version
            # of all kinds also rises with an endpoint, before the contract arrives.
            "complete": {kind: self.store.get_complete(kind) for kind in KINDS},
            "faulty": [faulty._asdict() for faulty in self.known.list_faulty()],
            "evacuated": self.known.list_evacuated(),
            "state": "leaving" if self._leaving else "alive",
            "in_flight": self.open_calls.count,
            "waiting": self.admitter.describe(),
            "limits": self.limiter.describe(),
            "gossip": self.gossiper.describe(),
            "members": [member._asdict() for member in self.members.list_all()],
            "endpoints": self.placer.describe(),
        }

    def describe_vm(self) -> dict[str, str]:
        """Return this router's entry for the VM list."""
        return {
            "name": self.settings.name,
            "address": self.address,
            "zone": self.settings.zone,
            "peer_address": self.peer_address,
        }

    def explain(self, query: ExplainQuery) -> dict[str, Any]:
        """Return where a call would be routed, for `/v1/explain`."""
        found = explain(
            query,
            self.list_contracts(),
            self.members.list_live(),
            self.placer,
            self.clock(),
        )
        return {"router": self.settings.name, **found}

    def _make_gossiper(self) -> Gossiper:
        own = MemberRecord(
            self.settings.name,
            # The incarnation is not stored, so it must exceed that of any earlier
            # process of the same name.
            int(time.time() * 1000),
            MemberState.ALIVE,
            self.settings.zone,
            self.address,
            self.peer_address,
        )
        return Gossiper(
            own,
            self._peer_socket.send,
            self.settings.peer_keys,
            self.members,
            self.configuration_sync.digest,
            self.clock,
            self.settings.peers,
        )

    def _pull_changes(
        self, address: str, kind: str, since: int
    ) -> Awaitable[ChangeSet]:
        keys = self.settings.peer_keys
        return pull_changes(self._router_client, address, kind, since, keys)

    def _make_web_application(self) -> Application:
        application = make_front_application(self._make_front_context())
        handlers = list_handlers(
            self.store, self.settings.peer_keys, self.metrics.count
        )
        application.add_handlers(".*", handlers)
        return application

    def _make_front_context(self) -> FrontContext:
        return FrontContext(
            self.call_runner,
            self.members,
            self._router_client,
            self.metrics,
            self.open_calls,
            self.settings.body_max_bytes,
            self._request_bytes,
            self.settings.peer_keys,
            self.known.find_holder,
            lambda: self._leaving,
            self.is_ready,
            self.describe,
            self.explain,
            self.catch_up,
            self.clock,
        )

    def _apply_objects(self, taken: list[ObjectVersion]) -> None:
        for item in taken:
            self.known.take(item)
        self.placer.update_endpoints(self.clock())
        self.guard.observe_endpoints(())
        for endpoint in self.list_endpoints():
            self._wake_waiting(endpoint)

    def _observe_standstill(self, standstill: Standstill) -> None:
        self.chats.observe_standstill(standstill)
        self.claimer.observe_standstill(standstill)

    def _wake_waiting(self, endpoint: Endpoint) -> None:
        for pool in endpoint.serves:
            self.admitter.admit_waiting(pool)

    async def _poll_vm_list(self) -> None:
        while True:
            try:
                vms = await self.platform.list_vms()
                self.gossiper.update_vm_list(vms)
                self.known.update_vm_list(vms)
            except PlatformUnavailable:
                pass
            await asyncio.sleep(VM_LIST_POLL_S)
