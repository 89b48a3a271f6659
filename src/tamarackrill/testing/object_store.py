"""Simulated object store with the published HTTP API, backed by `PlatformState`.

====== ============================ ==========================================
GET    /objects/<kind>              a page of the list; with ``watch`` and
                                    ``wait_ms``, a long poll for changes
POST   /objects/<kind>              creates the object named in ``metadata``
GET    /objects/<kind>/<name>       one object, or 404
PUT    /objects/<kind>/<name>       replaces the ``spec``
DELETE /objects/<kind>/<name>       removes the object
====== ============================ ==========================================

A write is answered with the object.  One that creates an existing object, or carries a
``revision`` that isn't the object's, is answered with 409 and the existing object.
"""

import asyncio
import enum
import json
from collections import Counter
from typing import Any

from tornado.web import Application, RequestHandler

from tamarackrill.testing.platform import PlatformState, StoredObject

PAGE_ITEMS = 50
HANG_S = 3600.0


class RemovalRevision(enum.Enum):
    """Revision that the event of a removal carries; the API doesn't specify it."""

    REMOVAL = "removal"
    BEFORE_REMOVAL = "before removal"
    LAST_WRITE = "last write"


class ObjectStore:
    """Stored objects and the faults to inject.

    Attributes
    ----------
    state : PlatformState
        Objects and their history.
    status : int
        Status of every response; 200 injects no fault.
    watches_hang : bool
        Whether watches stay open without reporting changes.
    compacted_revision : int
        Watches from an earlier revision are answered with 410.
    body_delay_s : float
        Delay between the headers and the body of a list or watch response.
    removal_revision : RemovalRevision
        Revision in the events of removals.
    substitutes : dict of str to bytes
        Strings, and the bytes that answers to reads have in place of their JSON.
    writes_lost : int
        Number of next writes that take effect and whose connection is closed without
        an answer.
    write_delay_s : float
        Delay of the answer to a write after it took effect.
    write_calls : Counter
        Write calls by kind, including refused ones.
    era : int
        Value of the header ``Store-Era``; 0 leaves it out.
    calls : list of str
        Path and query of each request.
    """

    def __init__(self) -> None:
        self.state = PlatformState()
        self.status = 200
        self.watches_hang = False
        self.compacted_revision = 0
        self.body_delay_s = 0.0
        self.removal_revision = RemovalRevision.BEFORE_REMOVAL
        self.substitutes: dict[str, bytes] = {}
        self.writes_lost = 0
        self.write_delay_s = 0.0
        self.write_calls: Counter[str] = Counter()
        self.era = 1
        self.calls: list[str] = []

    async def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object, or delete it if `spec` is None; return its revision."""
        return (await self.state.write(kind, name, spec)).version

    async def compact_history(self) -> None:
        """Drop the history without notifying the watches that wait."""
        self.compacted_revision = self.state.revision

    async def restore(self, revision: int) -> None:
        """Come back from a copy made at a revision, in a new era."""
        self.era += 1
        await self.state.restore(revision)

    def make_application(self) -> Application:
        """Return the tornado application that serves the store."""
        bound = {"store": self}
        return Application(
            [
                (r"/objects/([^/]+)", _KindHandler, bound),
                (r"/objects/([^/]+)/(.+)", _ObjectHandler, bound),
            ],
            log_function=lambda handler: None,
        )


def _write_object(item: StoredObject) -> dict[str, Any]:
    metadata = {"name": item.name, "revision": item.version}
    return {"metadata": metadata, "spec": item.value, "status": None}


class _Handler(RequestHandler):
    def initialize(self, store: ObjectStore) -> None:
        self.store = store

    def prepare(self) -> None:
        self.store.calls.append(self.request.uri or "")
        if self.request.method != "GET":
            self.store.write_calls[self.path_args[0]] += 1
        if self.store.era:
            self.set_header("Store-Era", str(self.store.era))
        if self.store.status != 200:
            self.set_status(self.store.status)
            self.finish({"error": "unavailable"})

    def finish_json(self, body: dict[str, Any]) -> None:
        """Answer with a body, in which substitutes replace their strings."""
        text = json.dumps(body).encode()
        for written, substitute in self.store.substitutes.items():
            text = text.replace(json.dumps(written).encode(), substitute)
        self.set_header("Content-Type", "application/json")
        self.finish(text)

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        found = self.store.state.read(kind, name)
        return found if found is not None and found.value is not None else None

    async def finish_write(self, written: StoredObject) -> None:
        """Answer a write that took effect."""
        await asyncio.sleep(self.store.write_delay_s)
        if self.store.writes_lost:
            self.store.writes_lost -= 1
            self.detach().close()
            return
        self.finish(_write_object(written))

    def finish_conflict(self, current: StoredObject) -> None:
        """Answer a write whose condition failed."""
        self.set_status(409)
        self.finish(_write_object(current))


class _ObjectHandler(_Handler):
    def get(self, kind: str, name: str) -> None:
        found = self.find(kind, name)
        if found is None:
            self._finish_missing()
            return
        self.finish_json(_write_object(found))

    async def put(self, kind: str, name: str) -> None:
        body = json.loads(self.request.body)
        await self._replace(kind, name, body["spec"], body["metadata"].get("revision"))

    async def delete(self, kind: str, name: str) -> None:
        revision = self.get_query_argument("revision", None)
        await self._replace(kind, name, None, int(revision) if revision else None)

    async def _replace(
        self, kind: str, name: str, spec: Any, revision: int | None
    ) -> None:
        current = self.find(kind, name)
        if current is None:
            self._finish_missing()
        elif revision not in (None, current.version):
            self.finish_conflict(current)
        elif spec == current.value:
            await self.finish_write(current)
        else:
            await self.finish_write(await self.store.state.write(kind, name, spec))

    def _finish_missing(self) -> None:
        self.set_status(404)
        self.finish({})


class _KindHandler(_Handler):
    async def post(self, kind: str) -> None:
        body = json.loads(self.request.body)
        name = body["metadata"]["name"]
        current = self.find(kind, name)
        if current is not None:
            self.finish_conflict(current)
            return
        written = await self.store.state.write(kind, name, body["spec"])
        await self.finish_write(written)

    async def get(self, kind: str) -> None:
        since = self.get_argument("watch", None)
        if since is not None:
            wait_s = float(self.get_argument("wait_ms", "0")) / 1000
            await self._watch(kind, int(since), wait_s)
            return
        items, revision = self.store.state.list_kind(kind)
        after = self.get_argument("after_revision", "")
        by_name = sorted(items, key=lambda item: item.name)
        rest = [item for item in by_name if item.name > after]
        await self._finish_slowly(
            {
                "items": [_write_object(item) for item in rest[:PAGE_ITEMS]],
                "has_more": len(rest) > PAGE_ITEMS,
                "store_revision": revision,
            }
        )

    async def _watch(self, kind: str, since: int, wait_s: float) -> None:
        state = self.store.state
        is_unknown = since > state.revision
        if since < self.store.compacted_revision or is_unknown:
            self.set_status(410)
            self.finish({"store_revision": state.revision})
            return
        if self.store.watches_hang:
            await asyncio.sleep(HANG_S)
        async with state.changed:
            try:
                async with asyncio.timeout(wait_s):
                    await state.changed.wait_for(
                        lambda: bool(state.events_since(kind, since))
                    )
            except TimeoutError:
                pass
        events = [
            {"object": self._write_event(item), "removed": item.value is None}
            for item in state.events_since(kind, since)
        ]
        body = {"events": events, "store_revision": state.revision}
        await self._finish_slowly(body)

    def _write_event(self, item: StoredObject) -> dict[str, Any]:
        written = _write_object(item)
        if item.value is None:
            written["metadata"]["revision"] = self._find_removal_revision(item)
        return written

    def _find_removal_revision(self, removal: StoredObject) -> int:
        told = self.store.removal_revision
        if told is RemovalRevision.REMOVAL:
            return removal.version
        if told is RemovalRevision.BEFORE_REMOVAL:
            return removal.version - 1
        earlier = (
            item.version
            for item in self.store.state.history
            if (item.kind, item.name) == (removal.kind, removal.name)
            and item.version < removal.version
        )
        return max(earlier, default=0)

    async def _finish_slowly(self, body: dict[str, Any]) -> None:
        if self.store.body_delay_s:
            await self.flush()
            await asyncio.sleep(self.store.body_delay_s)
        self.finish_json(body)
