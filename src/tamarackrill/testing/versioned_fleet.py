"""Test fixture: routers, and endpoints of several software versions, on loopback."""

import asyncio
import re
from collections.abc import Iterable, Sequence
from typing import Any

from tamarackrill.router.edge_app import EdgeApplication
from tamarackrill.testing.edge import (
    EdgeAnswer,
    EdgeClient,
    EdgeFleet,
    ask,
    make_route,
)
from tamarackrill.testing.ports import find_free_port
from tamarackrill.testing.worker import (
    Behave,
    Worker,
    WorkerRequest,
    make_chunk,
    make_stream_head,
)

# Last events of a stream from the start, and of one that is taken up.
BEGUN = 3
LAST = 6
SEEDS_MAX = 3
DEADLINE_MS = "20000"


def make_versioned_event(version: str, number: int) -> bytes:
    """Return a server-sent event that names the endpoint's version."""
    return b"id: %d\ndata: %s\n\n" % (number, version.encode())


def find_versions(body: bytes) -> set[bytes]:
    """Return the versions that the events of a body name."""
    return set(re.findall(rb"data: (v\d)", body))


def stream_of(version: str, is_cut: bool = False) -> Behave:
    """Return a behaviour whose events name the endpoint's version.

    A stream from the start stops after some events: it hangs, or is cut.
    """

    async def act(request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
        start = int(request.headers.get("last-event-id", 0)) + 1
        writer.write(make_stream_head(request))
        for number in range(start, (BEGUN if start == 1 else LAST) + 1):
            writer.write(make_chunk(make_versioned_event(version, number)))
        if start > 1:
            writer.write(make_chunk(b""))
        elif is_cut:
            await writer.drain()
            writer.close()
        else:
            await asyncio.Event().wait()

    return act


class VersionedFleet(EdgeFleet):
    """Routers in two zones, and endpoints of several versions.

    Attributes
    ----------
    versions : list of str
        The version at which each of `workers` was started.
    """

    def __init__(self) -> None:
        super().__init__()
        self.versions: list[str] = []

    async def start(
        self,
        versions: Sequence[str] = ("v1", "v1", "v2", "v2"),
        zones: Sequence[str] = ("a", "a", "b", "b"),
        is_cut: bool = False,
        timeout_ms: int = 3000,
        **settings: Any,
    ) -> None:
        """Start endpoints of these versions, and a router in each of the zones.

        Parameters
        ----------
        versions, zones : sequence of str
            Versions of the endpoints, and availability zones of the routers.
        is_cut : bool, default=False
            Whether endpoints cut the streams that they begin.
        timeout_ms : int, default=3000
            Longest duration of a stream.
        **settings : Any
            Fields of `PlatformSettings` that differ from the defaults.
        """
        await self.put_manifest(
            1,
            make_route(
                "/stream/", "streaming", stream_resume=True, timeout_ms=timeout_ms
            ),
            make_route("/lookup/", "idempotent"),
        )
        for version in versions:
            await self.add_version(version, is_cut)
        ports = [find_free_port() for _ in zones]
        for number, (zone, port) in enumerate(zip(zones, ports, strict=True)):
            seeds = tuple(f"127.0.0.1:{other}" for other in ports if other != port)
            await self.add_router(
                f"router-{number}",
                zone,
                peer_port=port,
                seeds=seeds[:SEEDS_MAX],
                **settings,
            )
        await self.wait_fleet()

    async def wait_fleet(self) -> None:
        """Wait until the routers know each other."""
        count = len(self.routers)
        await self.wait(
            lambda: all(len(r.members.list_live()) == count for r in self.routers)
        )

    async def add_version(self, version: str, is_cut: bool = False) -> Worker:
        """Start an endpoint of a version."""
        self.versions.append(version)
        behave = stream_of(version, is_cut)
        name = f"w{len(self.workers)}"
        return await self.add_worker(name, behave, version=version)

    async def wait_known(self, routers: Iterable[EdgeApplication]) -> None:
        """Wait until these routers know all endpoints."""
        names = {worker.name for worker in self.workers}
        await self.wait(
            lambda: all(
                names <= {e.name for e in r.view.list_live("desk")} for r in routers
            )
        )

    async def begin(
        self, router: EdgeApplication, request_id: str, **headers: str
    ) -> tuple[EdgeClient, set[bytes]]:
        """Begin a stream; return its client after the first events, and its version."""
        client = await self.connect(router)
        fields = {"X_Deadline_Ms": DEADLINE_MS, **headers}
        client.send("/stream/a", request_id, b"x", **fields)
        body = b""
        while body.count(b"data: ") < BEGUN:
            body += await client.reader.read(1000)
        return client, find_versions(body)

    async def begin_all(
        self, count: int, *routers: EdgeApplication
    ) -> dict[str, set[bytes]]:
        """Begin streams at routers in turn, and break them off.

        Returns
        -------
        dict of str to set of bytes
            The version that began each stream, by its attempt.
        """
        begun = {}
        for number in range(count):
            name = f"first-{number}"
            router = routers[number % len(routers)]
            client, begun[name] = await self.begin(router, name)
            client.close()
        return begun

    async def take_up(
        self, router: EdgeApplication, request_id: str, resumed: str, **headers: str
    ) -> EdgeAnswer:
        """Go on with a stream after its first events."""
        fields = {
            "Last_Event_Id": str(BEGUN),
            "Resumes": resumed,
            "X_Deadline_Ms": DEADLINE_MS,
            **headers,
        }
        return await ask(router, "/stream/a", request_id, b"x", **fields)

    def list_resumed(self) -> list[WorkerRequest]:
        """Return the requests that endpoints got to go on with a stream."""
        return [
            request
            for worker in self.workers
            for request in worker.requests
            if "last-event-id" in request.headers
        ]
