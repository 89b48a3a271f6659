"""Calls of the platform's object store: paths, status codes and fields of answers."""

from typing import Any
from urllib.parse import quote, urlencode

from tamarackrill.router.platform_client import (
    Listing,
    ObjectPage,
    PlatformObject,
    StoreForm,
)


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{kind}/{quote(name, safe='')}"


def _list_path(kind: str, after: str) -> str:
    # `after_revision` holds a name, that of the last object of the page before.
    query = f"?{urlencode({'after_revision': after})}" if after else ""
    return f"/objects/{kind}{query}"


def _watch_path(kind: str, since: int, wait_s: float) -> str:
    query = urlencode({"watch": since, "wait_ms": int(wait_s * 1000)})
    return f"/objects/{kind}?{query}"


def _read_object(kind: str, fields: dict[str, Any], is_removed: bool) -> PlatformObject:
    metadata = fields["metadata"]
    value = None if is_removed else fields["spec"]
    return PlatformObject(kind, metadata["name"], metadata["revision"], value)


def _read_page(kind: str, body: dict[str, Any]) -> ObjectPage:
    items = tuple(_read_object(kind, item, False) for item in body["items"])
    after = items[-1].name if body.get("has_more") and items else ""
    return ObjectPage(items, body["store_revision"], after)


def _read_events(kind: str, body: dict[str, Any]) -> Listing:
    events = []
    for event in body["events"]:
        item = _read_object(kind, event["object"], event["removed"])
        if event["removed"]:
            # The object comes with the revision of its last change, which its end
            # must outrank.
            item = item._replace(version=item.version + 1)
        events.append(item)
    return Listing(tuple(events), body["store_revision"])


STORE_FORM = StoreForm(
    base="",
    list_path=_list_path,
    watch_path=_watch_path,
    object_path=_object_path,
    read_page=_read_page,
    read_events=_read_events,
    read_object=lambda kind, body: _read_object(kind, body, False),
)
