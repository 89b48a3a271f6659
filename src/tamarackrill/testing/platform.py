"""Simulated platform with an object API, a VM list, call counts and faults.

The API is JSON over HTTP.  Every object carries the global revision at which it was
written; a deletion gets a revision too, so that a watch can report it.

====== ============================== =======================================
GET    /v1/objects/<kind>             all objects of a kind, with the revision
GET    /v1/objects/<kind>/<name>      one object, or 404
PUT    /v1/objects/<kind>/<name>      ``If-Match: <version>`` or
                                      ``If-None-Match: *``; 412 on conflict
DELETE /v1/objects/<kind>/<name>      ``If-Match: <version>``
GET    /v1/watch/<kind>               ``since`` and ``wait_s``; long poll
GET    /v1/vms                        the VM list
GET    /admin/counts                  call counts by type
PUT    /admin/faults                  replaces all fields of `Faults`
PUT    /admin/vms                     replaces the VM list
====== ============================== =======================================
"""

import asyncio
import json
from typing import Any, NamedTuple

from tornado.web import Application, HTTPError, RequestHandler

VALUE_MAX_BYTES = 1_000_000
HISTORY_MAX = 10_000
WATCH_MAX_S = 60.0


class StoredObject(NamedTuple):
    """One version of an object; a value of None marks a deletion."""

    kind: str
    name: str
    version: int
    value: Any


class Faults(NamedTuple):
    """Faults that the platform injects.

    Parameters
    ----------
    outage : bool
        Every call of the object API and VM list is answered with 503.
    lose_answers : int
        Number of next writes that take effect and are answered with 503.
    drop_writes : int
        Number of next writes answered with 503 without taking effect.
    delay_s : float
        Delay of every call before it takes effect.
    answer_delay_s : float
        Delay of every write after it took effect.
    stale_reads : int
        Number of newest revisions that reads and lists leave out.
    cut : tuple of str
        Zones whose calls are answered with 503, by the client's ``Zone`` header.
    """

    outage: bool = False
    lose_answers: int = 0
    drop_writes: int = 0
    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    stale_reads: int = 0
    cut: tuple[str, ...] = ()


class PlatformState:
    """Objects, history, VM list, call counts and faults of the platform."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.history: list[StoredObject] = []
        self.vms: list[dict[str, Any]] = []
        self.counts = {"read": 0, "write": 0, "watch": 0, "conflict": 0, "vms": 0}
        self.faults = Faults()
        # Strings, and the bytes that answers have in place of their JSON.
        self.substitutes: dict[str, bytes] = {}
        self.changed = asyncio.Condition()

    async def write(self, kind: str, name: str, value: Any) -> StoredObject:
        """Store a new version and notify the watches."""
        self.revision += 1
        stored = StoredObject(kind, name, self.revision, value)
        self.objects[kind, name] = stored
        self.history.append(stored)
        del self.history[:-HISTORY_MAX]
        async with self.changed:
            self.changed.notify_all()
        return stored

    async def restore(self, revision: int) -> None:
        """Go back to the state at a revision; later revisions are given out again."""
        self.revision = revision
        self.history = [item for item in self.history if item.version <= revision]
        self.objects = {(item.kind, item.name): item for item in self.history}
        async with self.changed:
            self.changed.notify_all()

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version visible to a read under `Faults.stale_reads`."""
        if not self.faults.stale_reads:
            return self.objects.get((kind, name))
        horizon = self.revision - self.faults.stale_reads
        seen = [
            item
            for item in self.history
            if (item.kind, item.name) == (kind, name) and item.version <= horizon
        ]
        return seen[-1] if seen else None

    def list_kind(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return the objects of a kind without deletions, and the list's revision."""
        names = [name for known, name in self.objects if known == kind]
        found = [self.read(kind, name) for name in names]
        live = [item for item in found if item and item.value is not None]
        return live, self.revision - self.faults.stale_reads

    def events_since(self, kind: str, since: int) -> list[StoredObject]:
        """Return the changes of a kind after a revision, oldest first."""
        return [i for i in self.history if i.kind == kind and i.version > since]


class _Handler(RequestHandler):
    def initialize(self, state: PlatformState) -> None:
        self.state = state

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        self.finish({"error": self._reason})

    def send_json(self, body: Any, status: int = 200) -> None:
        self.set_status(status)
        text = json.dumps(body).encode()
        for written, substitute in self.state.substitutes.items():
            text = text.replace(json.dumps(written).encode(), substitute)
        self.set_header("Content-Type", "application/json; charset=UTF-8")
        self.finish(text)


class _ObjectApiHandler(_Handler):
    async def prepare(self) -> None:
        faults = self.state.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.outage or self.request.headers.get("Zone") in faults.cut:
            raise HTTPError(503)


class _KindHandler(_ObjectApiHandler):
    async def get(self, kind: str) -> None:
        self.state.counts["read"] += 1
        items, revision = self.state.list_kind(kind)
        body = [item._asdict() for item in items]
        self.send_json({"items": body, "revision": revision})


class _ObjectHandler(_ObjectApiHandler):
    async def get(self, kind: str, name: str) -> None:
        self.state.counts["read"] += 1
        found = self.state.read(kind, name)
        if found is None or found.value is None:
            raise HTTPError(404)
        self.send_json(found._asdict())

    async def put(self, kind: str, name: str) -> None:
        if len(self.request.body) > VALUE_MAX_BYTES:
            raise HTTPError(413)
        await self._write(kind, name, json.loads(self.request.body))

    async def delete(self, kind: str, name: str) -> None:
        await self._write(kind, name, None)

    async def _write(self, kind: str, name: str, value: Any) -> None:
        self.state.counts["write"] += 1
        faults = self.state.faults
        if faults.drop_writes:
            self.state.faults = faults._replace(drop_writes=faults.drop_writes - 1)
            raise HTTPError(503)
        current = self.state.objects.get((kind, name))
        if not self._matches(current):
            self.state.counts["conflict"] += 1
            body = current._asdict() if current else None
            self.send_json({"current": body}, 412)
            return
        stored = await self.state.write(kind, name, value)
        if faults.answer_delay_s:
            await asyncio.sleep(faults.answer_delay_s)
        if faults.lose_answers:
            self.state.faults = faults._replace(lose_answers=faults.lose_answers - 1)
            raise HTTPError(503)
        self.send_json({"version": stored.version})

    def _matches(self, current: StoredObject | None) -> bool:
        live = current is not None and current.value is not None
        if self.request.headers.get("If-None-Match") == "*":
            return not live
        wanted = self.request.headers.get("If-Match")
        if wanted is None:
            return True
        return live and current is not None and str(current.version) == wanted


class _WatchHandler(_ObjectApiHandler):
    async def get(self, kind: str) -> None:
        self.state.counts["watch"] += 1
        since = int(self.get_argument("since", "0"))
        wait_s = min(float(self.get_argument("wait_s", "30")), WATCH_MAX_S)
        if self.state.history and since < self.state.history[0].version - 1:
            raise HTTPError(410)
        events = await self._wait(kind, since, wait_s)
        if self.state.faults.outage:
            raise HTTPError(503)
        revision = max([since, *(event.version for event in events)])
        body = [event._asdict() for event in events]
        self.send_json({"events": body, "revision": revision})

    async def _wait(self, kind: str, since: int, wait_s: float) -> list[StoredObject]:
        def ready() -> bool:
            events = self.state.events_since(kind, since)
            return bool(events) or self.state.faults.outage

        async with self.state.changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self.state.changed.wait_for(ready)
            except TimeoutError:
                return []
        return self.state.events_since(kind, since)


class _VmsHandler(_ObjectApiHandler):
    async def get(self) -> None:
        self.state.counts["vms"] += 1
        self.send_json({"vms": self.state.vms})


class _AdminHandler(_Handler):
    async def get(self, what: str) -> None:
        if what == "counts":
            self.send_json(self.state.counts)
        else:
            self.send_json(self.state.faults._asdict())

    async def put(self, what: str) -> None:
        body = json.loads(self.request.body)
        if what == "vms":
            self.state.vms = body["vms"]
        else:
            self.state.faults = Faults(**{**body, "cut": tuple(body.get("cut", ()))})
        # An outage must also end the watches that are waiting.
        async with self.state.changed:
            self.state.changed.notify_all()
        self.send_json({})


def make_platform(state: PlatformState) -> Application:
    """Return the tornado application that serves the platform API."""
    bound = {"state": state}
    return Application(
        [
            (r"/v1/objects/([^/]+)", _KindHandler, bound),
            (r"/v1/objects/([^/]+)/(.+)", _ObjectHandler, bound),
            (r"/v1/watch/([^/]+)", _WatchHandler, bound),
            (r"/v1/vms", _VmsHandler, bound),
            (r"/admin/(counts|faults|vms)", _AdminHandler, bound),
        ],
        log_function=lambda handler: None,
    )
