"""Objects of a store, and how one store spells the calls for them.

Both the client of stores and the adapters to them build on these types.
"""

from collections.abc import Callable
from typing import Any, NamedTuple


class PlatformObject(NamedTuple):
    """One version of an object; a value of None is a deletion."""

    kind: str
    name: str
    version: int
    value: Any


class Listing(NamedTuple):
    """Objects of a kind, the revision up to which they are known, and their size."""

    items: tuple[PlatformObject, ...]
    revision: int
    size_bytes: int = 0


class ObjectPage(NamedTuple):
    """One page of a list; `after` is where the next one begins, empty at the end."""

    items: tuple[PlatformObject, ...]
    revision: int
    after: str = ""


class StoreForm(NamedTuple):
    """How one store spells its calls and answers.

    Parameters
    ----------
    base : str
        What all paths begin with.
    list_path : callable
        ``list_path(kind, after)`` for the page that follows the name `after`.
    watch_path : callable
        ``watch_path(kind, since, wait_s)``.
    object_path : callable
        ``object_path(kind, name)``.
    read_page, read_events, read_object : callable
        ``read(kind, body)`` returns what an answer holds; KeyError, TypeError and
        ValueError tell that it is not of this form.
    """

    base: str
    list_path: Callable[[str, str], str]
    watch_path: Callable[[str, int, float], str]
    object_path: Callable[[str, str], str]
    read_page: Callable[[str, Any], ObjectPage]
    read_events: Callable[[str, Any], Listing]
    read_object: Callable[[str, Any], PlatformObject]
