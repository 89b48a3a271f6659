"""A router of the platform's interface on loopback, with stand-ins around it."""

import asyncio
import json
from collections.abc import Callable
from typing import Any, NamedTuple

from tamarackrill.decisions.retry_shares import BudgetTerms
from tamarackrill.platform.settings_file import PlatformSettings
from tamarackrill.router.edge_app import EdgeApplication
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.object_store import ObjectStore
from tamarackrill.testing.ports import find_free_port
from tamarackrill.testing.worker import Behave, Worker, answer_ok

HOST = "shop.example"
KEY = "the-key"
TEAM = "the-team"
PEER_KEYS = ("peer-key",)
PATIENCE_S = 20.0
POLL_S = 0.005
BUDGET = BudgetTerms(ratio=0.2, window_s=10.0, fixed=56.0)


class EdgeAnswer(NamedTuple):
    """What a client received.

    Parameters
    ----------
    status : int
        Status.
    headers : dict of str to str
        Headers, names in lower case.
    body : bytes
        What came of the body.
    is_whole : bool
        Whether the body ended in order.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


def make_route(prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a manifest, in the platform's form."""
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
    """Return a manifest with one team, in the platform's form."""
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
    """Store, workers and routers of one test; to be used with ``async with``."""

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.workers: list[Worker] = []
        self.routers: list[EdgeApplication] = []
        self.store_address = ""

    async def __aenter__(self) -> "EdgeFleet":
        self._server, self.store_address = listen(self.store.make_application())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for router in self.routers:
            await router.stop()
        for worker in self.workers:
            await worker.stop()
        self._server.stop()
        await self._server.close_all_connections()

    async def add_worker(
        self, name: str, behave: Behave = answer_ok, **fields: Any
    ) -> Worker:
        """Start a worker and list it."""
        worker = Worker(name, behave)
        await worker.start()
        self.workers.append(worker)
        spec = worker.describe(fields.pop("service", "desk"), **fields)
        await self.store.write("servers", name, spec)
        return worker

    async def put_manifest(
        self,
        version: int,
        *routes: dict[str, Any],
        engine: dict[str, Any] | None = None,
        limits: dict[str, Any] | None = None,
    ) -> None:
        """Write a manifest.

        With `engine` its service is one of model engines; `limits` replaces some.
        """
        manifest = make_manifest(version, *routes)
        manifest["limits"] |= limits or {}
        if engine is not None:
            manifest["services"][0]["engine"] = engine
        await self.store.write("config", "main", manifest)

    async def add_router(
        self, name: str = "router", zone: str = "z"
    ) -> EdgeApplication:
        """Start a router and wait until it is ready."""
        router = self.make_router(name, zone)
        await router.start()
        await self.wait(router.is_ready)
        return router

    def make_router(self, name: str, zone: str = "z") -> EdgeApplication:
        """Return a router that has not been started."""
        seeds = tuple(
            f"127.0.0.1:{router.settings.peer_port}" for router in self.routers
        )
        settings = PlatformSettings(
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
        router = EdgeApplication(settings, PEER_KEYS, find_free_port())
        self.routers.append(router)
        return router

    async def wait(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds.

        Raises
        ------
        TimeoutError
            If it does not within `PATIENCE_S`.
        """
        async with asyncio.timeout(PATIENCE_S):
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
    """Send a request as a client does, and return what it received."""
    client = await EdgeClient.connect(router)
    try:
        client.send(target, request_id, body, method, **headers)
        return await client.read()
    finally:
        client.close()


class EdgeClient:
    """A client's connection; a header `X_Y` is sent as ``X-Y``."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, router: EdgeApplication | str) -> "EdgeClient":
        """Connect to a router, or to the address of one."""
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
        """Send a request."""
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
        """Read one answer."""
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
        body = b""
        try:
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                body += (await self.reader.readexactly(size + 2))[:-2]
                if not size:
                    return body, True
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def _find_address(router: EdgeApplication | str) -> str:
    return router if isinstance(router, str) else router.settings.callers_address


def read_reason(answer: EdgeAnswer) -> str:
    """Return the reason of a refusal."""
    return str(json.loads(answer.body)["error"])
