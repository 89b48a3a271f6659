"""API of the platform's object store: paths and fields of its responses."""

from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import quote, urlencode

from tamarackrill.events import OBJECT_FAULTY, log_event
from tamarackrill.store_api import Listing, ObjectPage, PlatformObject, StoreApi


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{kind}/{quote(name, safe='')}"


def _list_path(kind: str, after: str) -> str:
    # `after_revision` takes not a revision but the name of the last object of the
    # previous page.
    query = f"?{urlencode({'after_revision': after})}" if after else ""
    return f"/objects/{kind}{query}"


def _watch_path(kind: str, since: int, wait_s: float) -> str:
    query = urlencode({"watch": since, "wait_ms": int(wait_s * 1000)})
    return f"/objects/{kind}?{query}"


def _read_object(kind: str, fields: dict[str, Any], is_removed: bool) -> PlatformObject:
    metadata = fields["metadata"]
    name, revision = metadata["name"], metadata["revision"]
    if not isinstance(name, str) or not isinstance(revision, int):
        raise TypeError("metadata without a name or a revision")
    value = None if is_removed else fields.get("spec")
    if value is None and not is_removed:
        # An object without contents exists; a value of None would mean its deletion.
        value = {}
    return PlatformObject(kind, name, revision, value)


def _read_event(kind: str, event: dict[str, Any]) -> PlatformObject:
    item = _read_object(kind, event["object"], event["removed"])
    if not event["removed"]:
        return item
    # The event has the revision of the deletion or of the object's last write; both are
    # below that of its next creation.
    return item._replace(version=item.version + 1)


def _read_valid(
    kind: str, parse: Callable[[Any], PlatformObject], entries: Iterable[Any]
) -> tuple[PlatformObject, ...]:
    """Parse entries; malformed ones are logged and skipped."""
    items = []
    for fields in entries:
        try:
            items.append(parse(fields))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log_event(
                OBJECT_FAULTY, kind=kind, object="", version=0, message=repr(error)
            )
    return tuple(items)


def _read_page(kind: str, body: dict[str, Any]) -> ObjectPage:
    items = _read_valid(
        kind, lambda fields: _read_object(kind, fields, False), body["items"]
    )
    after = items[-1].name if body.get("has_more") and items else ""
    return ObjectPage(items, body["store_revision"], after)


def _read_events(kind: str, body: dict[str, Any]) -> Listing:
    events = _read_valid(kind, lambda event: _read_event(kind, event), body["events"])
    return Listing(events, body["store_revision"])


STORE_FORM = StoreApi(
    base="",
    list_path=_list_path,
    watch_path=_watch_path,
    object_path=_object_path,
    read_page=_read_page,
    read_events=_read_events,
    read_object=lambda kind, body: _read_object(kind, body, False),
    era_header="Store-Era",
)
