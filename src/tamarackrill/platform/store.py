"""API of the platform's object store: paths, and fields of requests and responses."""

import json
from typing import Any
from urllib.parse import quote, urlencode

from tamarackrill.store_api import (
    Listing,
    ObjectPage,
    PlatformObject,
    StoreApi,
    WriteRequest,
    make_object,
    read_each,
    read_revision,
)


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{kind}/{quote(name, safe='')}"


def _list_path(kind: str, after: str) -> str:
    # `after_revision` takes not a revision but the name of the last object of the
    # previous page.
    fields = {"after_revision": after}
    query = f"?{urlencode(fields, errors='surrogatepass')}" if after else ""
    return f"/objects/{kind}{query}"


def _watch_path(kind: str, since: int, wait_s: float) -> str:
    query = urlencode({"watch": since, "wait_ms": int(wait_s * 1000)})
    return f"/objects/{kind}?{query}"


def _stale_path(path: str) -> str:
    return f"{path}{'&' if '?' in path else '?'}allow_stale=1"


def _make_put(
    kind: str, name: str, value: Any, expected_version: int | None
) -> WriteRequest:
    metadata: dict[str, Any] = {"name": name}
    method, path = "POST", f"/objects/{kind}"
    if expected_version is not None:
        metadata["revision"] = expected_version
        method, path = "PUT", _object_path(kind, name)
    return WriteRequest(
        method,
        path,
        {"Content-Type": "application/json"},
        json.dumps({"metadata": metadata, "spec": value}),
        lambda body: read_revision(body["metadata"]["revision"]),
    )


def _make_delete(kind: str, name: str, expected_version: int) -> WriteRequest:
    query = urlencode({"revision": expected_version})
    path = f"{_object_path(kind, name)}?{query}"

    def read_version(body: Any) -> int:
        # The API doesn't specify which revision the answer has, if any.
        if not isinstance(body, dict):
            raise TypeError("the answer is not a JSON object")
        return expected_version + 1

    return WriteRequest("DELETE", path, {}, None, read_version)


def _read_object(kind: str, fields: dict[str, Any], is_removed: bool) -> PlatformObject:
    metadata = fields["metadata"]
    value = None if is_removed else fields.get("spec")
    if value is None and not is_removed:
        # An object without contents exists; a value of None would mean its deletion.
        value = {}
    return make_object(kind, metadata["name"], metadata["revision"], value)


def _read_event(kind: str, event: dict[str, Any]) -> PlatformObject:
    item = _read_object(kind, event["object"], event["removed"])
    if not event["removed"]:
        return item
    # The event has the revision of the deletion or of the object's last write; both are
    # below that of its next creation.
    return item._replace(version=item.version + 1)


def _read_page(kind: str, body: dict[str, Any]) -> ObjectPage:
    items = read_each(
        kind, lambda fields: _read_object(kind, fields, False), body["items"]
    )
    after = ""
    if body.get("has_more"):
        # A page may have no object with a name that can be used.
        after = items[-1].name if items else body["items"][-1]["metadata"]["name"]
    return ObjectPage(items, read_revision(body["store_revision"]), after)


def _read_events(kind: str, body: dict[str, Any]) -> Listing:
    events = read_each(kind, lambda event: _read_event(kind, event), body["events"])
    return Listing(events, read_revision(body["store_revision"]))


def _read_history(kind: str, body: dict[str, Any]) -> Listing:
    events = read_each(
        kind, lambda event: _read_object(kind, event["object"], False), body["events"]
    )
    return Listing(events, read_revision(body["store_revision"]))


STORE_FORM = StoreApi(
    base="",
    list_path=_list_path,
    watch_path=_watch_path,
    stale_path=_stale_path,
    object_path=_object_path,
    make_put=_make_put,
    make_delete=_make_delete,
    read_page=_read_page,
    read_events=_read_events,
    read_history=_read_history,
    read_object=lambda kind, body: _read_object(kind, body, False),
    read_conflict=lambda kind, body: _read_object(kind, body, False),
    era_header="Store-Era",
)
