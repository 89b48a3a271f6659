"""Stand-ins and helpers for the review scripts; standard library only.

`Store` is the platform's metadata store, `Worker` a server behind the routers, `Router`
starts the command of the deploy file as a process, and `Client` is a client channel.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
TEAM = "hule930"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SCRIPT_MAX_S = 100.0
PIECE_BYTES = 16 * 1024


class CaseNotRun(Exception):
    """The case could not be brought about, so that nothing is known of the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        path = folder / "record.txt"
        self._file = path.open("w", encoding="utf-8", errors="backslashreplace")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the script."""
        return time.monotonic() - self._started_s

    def add(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


def find_free_port(ip: str = "127.0.0.1") -> int:
    """Return a TCP port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *lines = head[:-4].split("\r\n")
    pairs = (text.partition(":") for text in lines)
    return line, [(name.lower(), value.strip()) for name, _, value in pairs]


class Server:
    """Base of the stand-ins: accepts channels and ends them when it is stopped."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a loopback address."""
        self._server = await asyncio.start_server(self._run, ip, port, limit=1 << 21)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and end all channels."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one channel."""
        raise NotImplementedError


class Store(Server):
    """Metadata store with lists, watches and their history, as in PROTOCOL.md.

    The operator and the workers write by `put` and `remove`, which return once the
    write is acknowledged.  The revision of a removed object in an event is that of its
    removal, its last change.

    Attributes
    ----------
    answer_s : float
        Time that each answer takes.
    raw : dict of str to bytes
        Bytes that stand in answers in place of a text, by that text.
    link_bytes_per_s : float
        Speed of the link over which answers are sent.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.answer_s = 0.004
        self.raw: dict[str, bytes] = {}
        self.link_bytes_per_s = 125e6
        self._record = record
        self._revision = 100
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()
        self._cuts = 0

    async def cut_watches(self) -> None:
        """Cut off the watches that wait: their channels end without an answer."""
        self._cuts += 1
        async with self._changed:
            self._changed.notify_all()

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object; one that is the same as before is not changed."""
        known = self._objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return
        self._revision += 1
        created = known["metadata"]["create_rev"] if known else self._revision
        await self._add(kind, name, spec, created, is_removed=False)

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        known = self._objects[kind, name]
        self._revision += 1
        created = known["metadata"]["create_rev"]
        await self._add(kind, name, known["spec"], created, is_removed=True)

    async def _add(
        self, kind: str, name: str, spec: Any, created: int, is_removed: bool
    ) -> None:
        item = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "create_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        if is_removed:
            del self._objects[kind, name]
        else:
            self._objects[kind, name] = item
        self._events.append((self._revision, kind, item, is_removed))
        verb = "removed" if is_removed else "written"
        self._record.add(
            f"store: {kind}/{name} {verb}, acknowledged at revision {self._revision}"
        )
        async with self._changed:
            self._changed.notify_all()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one channel."""
        while True:
            line, headers = await read_head(reader)
            length = int(dict(headers).get("content-length", "0"))
            await reader.readexactly(length)
            method, target, _ = line.split(" ")
            status, body = await self._answer(method, target)
            text = json.dumps(body).encode()
            for name, raw in self.raw.items():
                text = text.replace(json.dumps(name).encode(), raw)
            writer.write(
                b"HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n" % (status, len(text))
            )
            await self._write_paced(writer, text)

    async def _write_paced(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        for start in range(0, len(text), PIECE_BYTES):
            piece = text[start : start + PIECE_BYTES]
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(len(piece) / self.link_bytes_per_s)

    async def _answer(self, method: str, target: str) -> tuple[int, Any]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        _, root, kind, *names = parts.path.split("/")
        if method != "GET" or root != "objects":
            return 404, {}
        if names:
            await asyncio.sleep(self.answer_s)
            found = self._objects.get((kind, names[0]))
            return (200, found) if found else (404, {})
        if "watch" in query:
            since = int(query["watch"])
            wait_s = min(30.0, int(query.get("wait_ms", "0")) / 1000)
            return await self._watch(kind, since, wait_s)
        await asyncio.sleep(self.answer_s)
        items = [item for (k, _), item in sorted(self._objects.items()) if k == kind]
        rest = [
            item
            for item in items
            if item["metadata"]["name"] > query.get("after_revision", "")
        ]
        return 200, {
            "items": rest[:50],
            "has_more": len(rest) > 50,
            "store_revision": self._revision,
        }

    async def _watch(self, kind: str, since: int, wait_s: float) -> tuple[int, Any]:
        def find() -> list[tuple[int, str, dict[str, Any], bool]]:
            return [e for e in self._events if e[0] > since and e[1] == kind]

        cuts = self._cuts
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(lambda: find() or self._cuts > cuts)
            if not find() and self._cuts > cuts:
                raise ConnectionAbortedError("the watch is cut off")
            revision, found = self._revision, find()
        await asyncio.sleep(self.answer_s)
        events = [{"object": item, "removed": gone} for _, _, item, gone in found]
        return 200, {"events": events, "store_revision": revision}


class Request:
    """A request as a worker received it."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_s = time.monotonic()

    @property
    def id(self) -> str:
        """Id of the client's attempt."""
        return self.headers.get("x-request-attempt-id", "")


Behave = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class Worker(Server):
    """Worker whose answers a callable writes; it runs all that reaches it."""

    def __init__(self, name: str, record: Record, behave: Behave | None = None) -> None:
        super().__init__()
        self.name = name
        self.ran: list[Request] = []
        self._record = record
        self._behave = behave or answer_ok

    def describe(self, service: str, zone: str, **fields: Any) -> dict[str, Any]:
        """Return the worker's entry in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            **fields,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one channel."""
        while True:
            line, pairs = await read_head(reader)
            headers = dict(pairs)
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            method, target, _ = line.split(" ")
            request = Request(method, target, headers, body)
            if headers.get("x-expect-instance", self.name) != self.name:
                write_answer(writer, request, 421, b"", signature="")
                continue
            self.ran.append(request)
            self._record.add(
                f"worker {self.name} runs {method} {target} of {request.id}, "
                f"{len(body)} bytes of body"
            )
            await self._behave(request, writer)
            await writer.drain()


def write_answer(
    writer: asyncio.StreamWriter,
    request: Request,
    status: int,
    body: bytes,
    signature: str = "3e1b.07.5a2.600.0.c9f2a4d1",
) -> None:
    """Write an answer with its length."""
    lines = [
        f"HTTP/1.1 {status} Status",
        f"X-Request-Attempt-Id: {request.id}",
        f"Content-Length: {len(body)}",
    ]
    if signature:
        lines.append(f"X-Response-Signature: {signature}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


async def answer_ok(request: Request, writer: asyncio.StreamWriter) -> None:
    """Answer after 20 ms of work."""
    await asyncio.sleep(0.02)
    write_answer(writer, request, 200, b"done " + request.id.encode())


def make_route(prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a manifest."""
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


def make_manifest(version: int, *routes: dict[str, Any], **limits: int) -> dict:
    """Return a manifest with one service and one tenant."""
    service = {"name": "desk", "health_path": "/health", "max_connections": 100}
    return {
        "version": version,
        "routes": list(routes),
        "services": [service],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            **limits,
        },
        "tenants": [{"name": TEAM, "api_keys": [KEY], "priority": 1}],
    }


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(
        self,
        name: str,
        zone: str,
        store: Store,
        folder: Path,
        ip: str,
        ports: tuple[int, int, int],
        seeds: list[str],
        zones: dict[str, str],
        bounds: dict[str, Any] | None = None,
        contracts: tuple[str, ...] = (),
    ) -> None:
        self.name = name
        self.callers = f"{ip}:{ports[0]}"
        self.ready = f"{ip}:{ports[1]}"
        self._metrics_port = find_free_port(ip)
        self._settings = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._settings.write_text(
            json.dumps(
                {
                    "node_name": name,
                    "role": "router",
                    "machine_class": "edge",
                    "serves": ["edge", "control_plane"],
                    "ip": ip,
                    "zone": zone,
                    "region": "de-cymru",
                    "zones": zones,
                    "listen": {"front": self.callers, "ready": self.ready},
                    "internal_ports": [ports[2], ports[2] + 1],
                    "seeds": seeds,
                    "bootstrap": True,
                    "limits": {"memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0},
                    "data_dir": None,
                    "heartbeat_ms": 1200,
                    "contracts": ["base", "drain", "config", "cost", "retry"]
                    + ["recover", "tenants", "platform", *contracts],
                    "bounds": {
                        "stable_window_ms": 3000,
                        "drain_ms": 2000,
                        "grace_s": 8,
                        "config_ms": 2000,
                        "retry_budget_ratio": 0.2,
                        "budget_window_s": 10,
                        "budget_slack": 56,
                        "cap_x": 2,
                        **(bounds or {}),
                    },
                    "platform": {
                        "address": store.address,
                        "form": "objects",
                        "writes_per_s": 400,
                        "reads_per_s": 2000,
                        "history_s": 20,
                        "value_bytes": 1048576,
                        "ttl_min_ms": 1000,
                    },
                }
            ),
            encoding="utf-8",
        )

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        role = deploy["roles"]["router"]
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    **role["env"],
                    "TAMARACKRILL_SETTINGS": str(self._settings),
                    "TAMARACKRILL_METRICS_PORT": str(self._metrics_port),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()

    async def wait_ready(self, wait_s: float = 20.0) -> None:
        """Wait for a 200 on the ready address."""
        end_s = time.monotonic() + wait_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CaseNotRun(f"{self.name} is not ready")

    async def is_ready(self) -> bool:
        """Return whether the ready address answers 200."""
        host, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                line, _ = await read_head(reader)
                writer.close()
        except (OSError, EOFError, TimeoutError):
            return False
        return line.split(" ")[1] == "200"


class Answer:
    """An answer as a client received it; status 0 is a closed channel."""

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes, is_whole: bool
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole


class Client:
    """One client channel to a router."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, record: Record
    ) -> None:
        self.reader = reader
        self.writer = writer
        self._record = record

    @classmethod
    async def connect(cls, router: Router, record: Record) -> "Client":
        """Connect to a router."""
        host, _, port = router.callers.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)), record)

    def send_head(
        self, target: str, request_id: str, method: str, length: int, wait_ms: int
    ) -> None:
        """Send the head of a request."""
        self._record.add(f"client sends {method} {target} as {request_id}")
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Attempt-Id: {request_id}",
            f"X-Deadline-Ms: {wait_ms}",
            f"X-Api-Key: {KEY}",
            f"Content-Length: {length}",
        ]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    async def read(self, request_id: str) -> Answer:
        """Read one answer."""
        answer = await self._read()
        self._record.add(
            f"client gets {answer.status or 'a closed channel'} for {request_id}, "
            f"{len(answer.body)} bytes, {'whole' if answer.is_whole else 'cut'}"
        )
        return answer

    async def _read(self) -> Answer:
        try:
            line, pairs = await read_head(self.reader)
        except (EOFError, ConnectionError):
            return Answer(0, {}, b"", False)
        headers = dict(pairs)
        status = int(line.split(" ")[1])
        body, is_whole = b"", False
        try:
            if "content-length" in headers:
                body = await self.reader.readexactly(int(headers["content-length"]))
                return Answer(status, headers, body, True)
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                body += (await self.reader.readexactly(size + 2))[:-2]
                if not size:
                    return Answer(status, headers, body, True)
        except (EOFError, ConnectionError):
            return Answer(status, headers, body, is_whole)

    def close(self) -> None:
        """Close the channel."""
        self.writer.close()


async def ask(
    router: Router,
    record: Record,
    target: str,
    request_id: str,
    body: bytes = b"",
    method: str = "POST",
    wait_ms: int = 3000,
) -> Answer:
    """Send a request on a new channel and return its answer."""
    client = await Client.connect(router, record)
    try:
        client.send_head(target, request_id, method, len(body), wait_ms)
        client.writer.write(body)
        async with asyncio.timeout(wait_ms / 1000 + 2.0):
            return await client.read(request_id)
    except TimeoutError:
        record.add(f"client gets no answer for {request_id}")
        return Answer(0, {}, b"", False)
    finally:
        client.close()


def run_case(case: Callable[[Record, Path], Awaitable[int]], folder: Path) -> None:
    """Run a case and exit with its result; record what happened."""
    record = Record(folder)
    record.add(f"TROUBLE={int(TROUBLE)}")

    async def run() -> int:
        with tempfile.TemporaryDirectory() as scratch:
            async with asyncio.timeout(SCRIPT_MAX_S):
                return await case(record, Path(scratch))

    try:
        code = asyncio.run(run())
    except Exception as error:  # noqa: BLE001 - any failure means that it didn't run
        record.add(f"the case couldn't run: {error!r}")
        traceback.print_exc()
        code = NOT_RUN
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}
    record.add(verdict.get(code, "the case couldn't run"))
    print(verdict.get(code, "the case couldn't run"))
    sys.exit(code)
