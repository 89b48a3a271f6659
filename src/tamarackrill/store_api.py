"""Types of stored objects and of the HTTP API of a store.

The store client and the adapters for each store build on these types.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TypeVar

from tamarackrill.decisions.capacity.store_answers import ENTRIES_MAX, FAULTS_LOGGED
from tamarackrill.events import OBJECT_FAULTY, log_event
from tamarackrill.lenient_json import is_sound

_T = TypeVar("_T")
# Replaces a value that can't be used.  No kind of object has arrays as values, so that
# each reader rejects it, while the object and its version are still known.
UNREADABLE_VALUE: list[Any] = []


class PlatformObject(NamedTuple):
    """One version of an object; a value of None marks a deletion."""

    kind: str
    name: str
    version: int
    value: Any


class Listing(NamedTuple):
    """Objects of a kind, the revision they are current to, and their size.

    `era` counts how often the store was restored from a copy; revisions of different
    eras can't be compared.  It is 0 for a store that doesn't tell.
    """

    items: tuple[PlatformObject, ...]
    revision: int
    size_bytes: int = 0
    era: int = 0


class Reading(NamedTuple):
    """An object, or None if there is none, and the era of the answer."""

    found: PlatformObject | None
    era: int


class WriteResult(NamedTuple):
    """Outcome of a conditional write that got an answer.

    Parameters
    ----------
    version : int or None
        Version written, or None if the condition failed.  For a deletion, a version
        above that of the deleted object.
    current : PlatformObject or None
        Existing object, if the condition failed.
    era : int, default=0
        Era of the answer; 0 if unknown.
    """

    version: int | None
    current: PlatformObject | None
    era: int = 0


class WriteRequest(NamedTuple):
    """HTTP request of a conditional write.

    `read_version` returns the version from the body of an answer that confirms the
    write; it raises KeyError, TypeError or ValueError for any other body.
    """

    method: str
    path: str
    headers: dict[str, str]
    text: str | None
    read_version: Callable[[Any], int]


class ObjectPage(NamedTuple):
    """One page of a list; `after` is the next page's start, empty on the last page."""

    items: tuple[PlatformObject, ...]
    revision: int
    after: str = ""


def make_object(kind: str, name: Any, version: Any, value: Any) -> PlatformObject:
    """Check what a store tells of an object; a value that can't be used is replaced.

    Raises
    ------
    TypeError, ValueError
        If the name or the version can't be used.
    """
    if not isinstance(name, str) or type(version) is not int:
        raise TypeError("an object has no name or no version")
    if not is_sound(name):
        raise ValueError(f"name {name!r} can't be encoded, or has control characters")
    return PlatformObject(
        kind, name, version, value if is_sound(value) else UNREADABLE_VALUE
    )


def read_revision(revision: Any) -> int:
    """Return the revision of an answer.

    Raises
    ------
    TypeError
        If it isn't one.
    """
    if type(revision) is not int:
        raise TypeError("the revision of the answer is not an integer")
    return revision


def read_each(
    kind: str, parse: Callable[[Any], _T], entries: Iterable[Any]
) -> tuple[_T, ...]:
    """Parse the entries of an answer; malformed ones are logged and skipped.

    Raises
    ------
    ValueError
        If there are too many.
    """
    items = []
    faults = 0
    entries = list(entries)
    if len(entries) > ENTRIES_MAX:
        raise ValueError(f"an answer has more than {ENTRIES_MAX} entries")
    for position, fields in enumerate(entries):
        try:
            items.append(parse(fields))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            faults += 1
            if faults > FAULTS_LOGGED:
                continue
            message = f"entry {position} of the answer: {error!r}"
            log_event(OBJECT_FAULTY, kind=kind, object="", version=0, message=message)
    return tuple(items)


class StoreApi(NamedTuple):
    """Paths, writes and response parsers of one store's HTTP API.

    Parameters
    ----------
    base : str
        Prefix of all paths.
    list_path : callable
        ``list_path(kind, after)``, for the page after the name `after`.
    watch_path : callable
        ``watch_path(kind, since, wait_s)``.
    stale_path : callable
        ``stale_path(path)``, for an answer that may be seconds old and costs less.
    object_path : callable
        ``object_path(kind, name)``.
    make_put : callable
        ``make_put(kind, name, value, expected_version)``; a version of None means that
        the object must not exist.
    make_delete : callable
        ``make_delete(kind, name, expected_version)``.
    read_page, read_events, read_history, read_object : callable
        ``read(kind, body)`` parses a response body; raises KeyError, TypeError or
        ValueError if it is not in the expected format.  In a history, objects that were
        removed have their last contents, if the store tells them.
    read_conflict : callable
        The same for the answer to a write whose condition failed; returns the existing
        object, or None.
    era_header : str, default=""
        Header of all responses that has the era; empty if there is none.
    """

    base: str
    list_path: Callable[[str, str], str]
    watch_path: Callable[[str, int, float], str]
    stale_path: Callable[[str], str]
    object_path: Callable[[str, str], str]
    make_put: Callable[[str, str, Any, int | None], WriteRequest]
    make_delete: Callable[[str, str, int], WriteRequest]
    read_page: Callable[[str, Any], ObjectPage]
    read_events: Callable[[str, Any], Listing]
    read_history: Callable[[str, Any], Listing]
    read_object: Callable[[str, Any], PlatformObject]
    read_conflict: Callable[[str, Any], PlatformObject | None]
    era_header: str = ""
