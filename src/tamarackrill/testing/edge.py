"""Test fixture: routers for the platform interface, with stand-ins, on loopback."""

import asyncio
import json
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Self

from tamarackrill.decisions.retry_shares import BudgetTerms
from tamarackrill.platform.settings_file import PlatformSettings
from tamarackrill.router.channels import Channel, Connect, open_channel
from tamarackrill.router.edge_app import EdgeApplication
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.object_store import ObjectStore
from tamarackrill.testing.ports import find_free_port
from tamarackrill.testing.worker import Behave, Worker, answer_ok

HOST = "shop.example"
KEY = "the-key"
TEAM = "the-team"
PEER_KEYS = ("peer-key",)
WAIT_TIMEOUT_S = 20.0
POLL_S = 0.005
BUDGET = BudgetTerms(ratio=0.2, window_s=10.0, fixed=56.0)


async def connect_patiently(address: str, timeout_s: float) -> Channel:
    """Connect to an endpoint, however late the event loop is.

    A process that stalls for longer than the timeout takes reachable endpoints for
    unreachable, which tests of other matters must not depend on.
    """
    return await open_channel(address, max(timeout_s, WAIT_TIMEOUT_S))


class EdgeAnswer(NamedTuple):
    """Response as a client received it.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers, with names in lower case.
    body : bytes
        The part of the body that arrived.
    is_whole : bool
        Whether the body arrived completely.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


def make_route(prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a manifest route in the platform's format."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "priority": 0,
        "service": "desk",
        "attempts": 2,
        "anonymous": False,
        "session_affinity": False,
        "stream_resume": False,
        **fields,
    }


def make_manifest(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Return a manifest with one team, in the platform's format."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {"name": "desk", "health_path": "/health", "max_connections": 100}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TEAM, "api_keys": [KEY], "priority": 1}],
    }


class EdgeFleet:
    """Store, workers, routers and clients of one test, as an async context manager."""

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.workers: list[Worker] = []
        self.routers: list[EdgeApplication] = []
        self._clients: list[EdgeClient] = []
        self.store_address = ""

    async def __aenter__(self) -> Self:
        self._server, self.store_address = listen(self.store.make_application())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for client in self._clients:
            client.close()
        for router in self.routers:
            await router.stop()
        # Connections that routers have just opened reach their workers.
        await asyncio.sleep(POLL_S)
        for worker in self.workers:
            await worker.stop()
        self._server.stop()
        await self._server.close_all_connections()

    async def add_worker(
        self, name: str, behave: Behave = answer_ok, **fields: Any
    ) -> Worker:
        """Start a worker and register it in the store."""
        return await self.register_worker(Worker(name, behave), **fields)

    async def register_worker(self, worker: Worker, **fields: Any) -> Worker:
        """Start a worker that a test has created, and register it in the store."""
        await worker.start()
        self.workers.append(worker)
        spec = worker.describe(fields.pop("service", "desk"), **fields)
        await self.store.write("servers", worker.name, spec)
        return worker

    async def put_manifest(
        self,
        version: int,
        *routes: dict[str, Any],
        engine: dict[str, Any] | None = None,
        limits: dict[str, Any] | None = None,
        service: dict[str, Any] | None = None,
        teams: Iterable[str] = (),
    ) -> None:
        """Write a manifest to the store.

        `engine` makes its service one of model engines; `limits` overrides the default
        limits, and `service` fields of the service.  Names of further `teams` are their
        keys.
        """
        manifest = make_manifest(version, *routes)
        manifest["services"][0] |= service or {}
        manifest["limits"] |= limits or {}
        for team in teams:
            fields = {"name": team, "api_keys": [team], "priority": 1}
            manifest["tenants"].append(fields)
        if engine is not None:
            manifest["services"][0]["engine"] = engine
        await self.store.write("config", "main", manifest)

    async def evacuate(self, zone: str, is_evacuated: bool = True) -> None:
        """Evacuate a zone, or take it back into use."""
        await self.store.write("evacuations", zone, {} if is_evacuated else None)

    async def add_router(
        self, name: str = "router", zone: str = "z", **settings: Any
    ) -> EdgeApplication:
        """Start a router and wait until it is ready; see `make_router`."""
        router = self.make_router(name, zone, **settings)
        await router.start()
        await self.wait(router.is_ready)
        return router

    async def connect(self, router: EdgeApplication | str) -> "EdgeClient":
        """Connect a client to a router, given as an application or an address."""
        return self.add_client(await EdgeClient.connect(router))

    def add_client(self, client: "EdgeClient") -> "EdgeClient":
        """Take over a client, which is closed before the routers stop."""
        self._clients.append(client)
        return client

    async def kill_router(self, router: EdgeApplication) -> None:
        """End a router without telling the others."""
        self.routers.remove(router)
        router._peer_socket.stop()
        await router.stop()

    async def start_routers(self, routers: Iterable[EdgeApplication]) -> None:
        """Start routers at the same time and wait until they are ready."""
        routers = list(routers)
        await asyncio.gather(*(router.start() for router in routers))
        await self.wait(lambda: all(router.is_ready() for router in routers))

    async def restart_router(self, router: EdgeApplication) -> EdgeApplication:
        """Kill a router, and start another process with its name and addresses."""
        await self.kill_router(router)
        again = self.remake_router(router)
        await self.start_routers([again])
        return again

    def remake_router(self, router: EdgeApplication) -> EdgeApplication:
        """Create a router like one that was killed, without starting it."""
        again = EdgeApplication(router.settings, PEER_KEYS, router._metrics_port)
        self.routers.append(again)
        return again

    def make_router(
        self,
        name: str,
        zone: str = "z",
        connect: Connect = open_channel,
        **settings: Any,
    ) -> EdgeApplication:
        """Create a router without starting it.

        Parameters
        ----------
        name, zone : str
            Name of the router and its availability zone.
        connect : callable, optional
            Opens its connections to workers.
        **settings : Any
            Fields of `PlatformSettings` that differ from the defaults.
        """
        seeds = tuple(
            f"127.0.0.1:{router.settings.peer_port}" for router in self.routers
        )
        default = PlatformSettings(
            name=name,
            zone=zone,
            ip="127.0.0.1",
            callers_address=f"127.0.0.1:{find_free_port()}",
            readiness_address=f"127.0.0.1:{find_free_port()}",
            peer_port=find_free_port(),
            seeds=seeds,
            store_address=self.store_address,
            grace_s=4.0,
            news_max_s=2.0,
            load_cap=2.0,
            retry_budget=BUDGET,
        )
        router = EdgeApplication(
            default._replace(**settings),
            PEER_KEYS,
            find_free_port(),
            connect=connect,
        )
        self.routers.append(router)
        return router

    async def wait(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds.

        Raises
        ------
        TimeoutError
            If it doesn't hold within `WAIT_TIMEOUT_S`.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_S)


async def ask(
    router: EdgeApplication | str,
    target: str,
    request_id: str = "id-1",
    body: bytes = b"",
    method: str = "POST",
    **headers: str,
) -> EdgeAnswer:
    """Send a request on a new connection, and return the response."""
    client = await EdgeClient.connect(router)
    try:
        client.send(target, request_id, body, method, **headers)
        return await client.read()
    finally:
        client.close()


class EdgeClient:
    """A client connection; the keyword argument ``X_Y`` is sent as header ``X-Y``.

    Attributes
    ----------
    received : bytes
        What has arrived of a body in chunks, also if its client stops reading.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.received = b""

    @classmethod
    async def connect(cls, router: EdgeApplication | str) -> "EdgeClient":
        """Connect to a router, given as an application or an address."""
        address = _find_address(router)
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(
        self,
        target: str,
        request_id: str = "id-1",
        body: bytes = b"",
        method: str = "POST",
        **headers: str,
    ) -> None:
        """Send a request, without waiting for the response."""
        fields = {
            "Host": HOST,
            "X-Request-Attempt-Id": request_id,
            "X-Deadline-Ms": "3000",
            "X-Api-Key": KEY,
            "Content-Length": str(len(body)),
        }
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items() if value]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def read(self) -> EdgeAnswer:
        """Read one response."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *lines = head.rstrip("\r\n").split("\r\n")
        pairs = (text.partition(":") for text in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        status = int(line.split(" ")[1])
        if "content-length" in headers:
            body = await self.reader.readexactly(int(headers["content-length"]))
            return EdgeAnswer(status, headers, body, True)
        body, is_whole = await self._read_chunks()
        return EdgeAnswer(status, headers, body, is_whole)

    async def _read_chunks(self) -> tuple[bytes, bool]:
        self.received = b""
        try:
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                self.received += (await self.reader.readexactly(size + 2))[:-2]
                if not size:
                    return self.received, True
        except (asyncio.IncompleteReadError, ConnectionError):
            return self.received, False

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def _find_address(router: EdgeApplication | str) -> str:
    return router if isinstance(router, str) else router.settings.callers_address


def read_reason(answer: EdgeAnswer) -> str:
    """Return the reason given in an error response."""
    return str(json.loads(answer.body)["error"])
