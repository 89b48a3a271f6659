"""Types of stored objects and of the HTTP API of a store.

The store client and the adapters for each store build on these types.
"""

from collections.abc import Callable
from typing import Any, NamedTuple


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


class ObjectPage(NamedTuple):
    """One page of a list; `after` is the next page's start, empty on the last page."""

    items: tuple[PlatformObject, ...]
    revision: int
    after: str = ""


class StoreApi(NamedTuple):
    """Paths and response parsers of one store's HTTP API.

    Parameters
    ----------
    base : str
        Prefix of all paths.
    list_path : callable
        ``list_path(kind, after)``, for the page after the name `after`.
    watch_path : callable
        ``watch_path(kind, since, wait_s)``.
    object_path : callable
        ``object_path(kind, name)``.
    read_page, read_events, read_object : callable
        ``read(kind, body)`` parses a response body; raises KeyError, TypeError or
        ValueError if it is not in the expected format.
    era_header : str, default=""
        Header of all responses that has the era; empty if there is none.
    """

    base: str
    list_path: Callable[[str, str], str]
    watch_path: Callable[[str, int, float], str]
    object_path: Callable[[str, str], str]
    read_page: Callable[[str, Any], ObjectPage]
    read_events: Callable[[str, Any], Listing]
    read_object: Callable[[str, Any], PlatformObject]
    era_header: str = ""
