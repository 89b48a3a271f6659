"""Reads from the store which endpoints have come and gone."""

from collections.abc import Iterable

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.version_records import choose_history_start
from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.deployment_view import ObjectReaders
from tamarackrill.router.platform_client import (
    AnswerTooLong,
    PlatformClient,
    WatchLost,
)
from tamarackrill.store_api import Listing, PlatformObject

# Answers that are read one after the other, if the store tells the changes in parts.
ANSWERS_MAX = 16


async def read_endpoint_history(
    platform: PlatformClient, readers: ObjectReaders, since: int, now: Listing
) -> list[tuple[int, Endpoint]]:
    """Return past entries of endpoints, with their revisions.

    Parameters
    ----------
    platform : PlatformClient
        Client of the store.
    readers : ObjectReaders
        Parsers of its objects.
    since : int
        Revision since which entries are wanted.  If the store no longer tells them,
        they are read since the oldest revision since which it does.
    now : Listing
        Any answer of the store; changes are read up to its revision.

    Raises
    ------
    PlatformUnavailable
        If the platform did not answer, or was restored meanwhile.
    """
    changes: list[PlatformObject] = []
    start: int | None = since
    lost, told = since, None
    while start is not None:
        try:
            changes = await _read_since(platform, readers.endpoint_kind, start, now)
        except (WatchLost, AnswerTooLong):
            lost = start
        else:
            told = start
        start = choose_history_start(lost, told, now.revision)
    return _parse_entries(readers, changes)


async def _read_since(
    platform: PlatformClient, kind: str, start: int, now: Listing
) -> list[PlatformObject]:
    changes: list[PlatformObject] = []
    for _ in range(ANSWERS_MAX):
        listing = await platform.read_history(kind, start)
        if listing.era != now.era:
            raise PlatformUnavailable(
                "the store was restored while its history was read"
            )
        changes += listing.items
        if listing.revision >= now.revision or listing.revision <= start:
            break
        start = listing.revision
    return changes


def _parse_entries(
    readers: ObjectReaders, changes: Iterable[PlatformObject]
) -> list[tuple[int, Endpoint]]:
    entries = []
    for item in changes:
        try:
            endpoint = readers.read_endpoint(item.name, item.value)
        except (KeyError, TypeError, ValueError, AttributeError):
            # Reported when it was current, or the store doesn't tell what was removed.
            continue
        entries.append((item.version, endpoint))
    return entries
