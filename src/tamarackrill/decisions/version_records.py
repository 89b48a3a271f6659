"""What the platform's store has to know of the versions of each service.

Load pattern: a release replaces the endpoints of a service by those of another version,
and within the same seconds all routers are killed and started again.  Their clients
come back at once with the streams that broke off.  The endpoints that such a router
finds may all be of one version, and yet the streams began at another.

So the store has a record for each service with resumable streams: the versions that
streams may have begun at.  It is written when a version joins, and when the last stream
of a version that has left must have ended; a router reads the records as it starts.
Several routers watch over them, each a little later than the one before, so that one of
them suffices and none has to be chosen.

A store that refuses what routers write has no record of a version, or none at all, and
a version may come and go meanwhile.  So a router that reads the records also reads
which endpoints have come and gone since they were written, as far as the store still
tells: the endpoints write their own entries.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import Any, NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import hashing
from tamarackrill.decisions.stream_versions import StreamVersions

# Routers that write records, in case the first of them can't reach the store.
RECORDERS = 3
# How much later each of them writes than the one before it.  The first one waits too:
# a router that has just started may not know the others yet.
RECORDER_DELAY_S = 0.3
# A store that was restored may have lost a record, or never had one.
FIRST_ERA = 1
# Versions of one service; releases in turn have a few at a time.
VERSIONS_MAX = 1000
# Era of a record that may lack versions.
UNKNOWN_ERA = -1
# Part of the changes since a record that is asked for after those that the store no
# longer tells: about seven calls until all that it tells is known to an eighth.
HISTORY_STEP = 8
_RANK_KEY = "version-recorders"


class VersionRecord(NamedTuple):
    """Record of one service in the store.

    Parameters
    ----------
    versions : tuple of str
        Versions that streams may have begun at, sorted.
    era : int
        Era of the store in which no version was missing.  A store that is restored from
        a copy begins a new era, and its records may lack the newest versions.
    """

    versions: tuple[str, ...]
    era: int

    @classmethod
    def parse(cls, value: Any) -> "VersionRecord":
        """Parse the JSON value of an object.

        Raises
        ------
        ValueError
            If it isn't valid.
        """
        try:
            versions, era = value["versions"], value["era"]
            is_list = isinstance(versions, list) and len(versions) <= VERSIONS_MAX
            if not is_list or not all(isinstance(text, str) for text in versions):
                raise ValueError("versions: expected a list of strings")
            if type(era) is not int:
                raise ValueError("era: expected an integer")
            return cls(tuple(sorted(versions)), era)
        except (KeyError, TypeError) as error:
            raise ValueError("not the record of a service's versions") from error

    def format(self, writer: str) -> dict[str, Any]:
        """Return the JSON value of an object.

        Parameters
        ----------
        writer : str
            Differs between writes, so that each gives the object a new version.
        """
        return {"versions": list(self.versions), "era": self.era, "writer": writer}


def find_recorder_rank(name: str, routers: Iterable[str]) -> int | None:
    """Return a router's rank among those that write records; None if it doesn't."""
    recorders = hashing.rank(_RANK_KEY, sorted({*routers, name}))[:RECORDERS]
    return recorders.index(name) if name in recorders else None


def lacks_version(
    record: VersionRecord | None, service: str, state: StreamVersions, now_s: float
) -> bool:
    """Return whether a router sees a version that isn't on record."""
    versions = () if record is None else record.versions
    return not set(versions).issuperset(state.list_versions(service, now_s))


def update_record(
    record: VersionRecord | None,
    service: str,
    state: StreamVersions,
    era: int,
    is_current: bool,
    now_s: float,
) -> VersionRecord | None:
    """Return the record that the store should have instead of the one that it has.

    Parameters
    ----------
    record : VersionRecord or None
        Record in the store; None if there is none.
    service : str
        The service.
    state : StreamVersions
        What this router knows.
    era : int
        Present era of the store.
    is_current : bool
        Whether the endpoints that this router knows are as the platform has them now.
    now_s : float
        Current time.

    Returns
    -------
    VersionRecord or None
        None if the record needs no change.
    """
    seen = state.list_versions(service, now_s)
    knows_all = is_current and state.has_history(service, now_s)
    if record is None:
        is_complete = knows_all or era <= FIRST_ERA
        wanted = VersionRecord(tuple(sorted(seen)), era if is_complete else UNKNOWN_ERA)
        return wanted if seen else None
    obsolete: Collection[str] = ()
    if is_current:
        obsolete = state.list_obsolete(service, record.versions, now_s)
    versions = {*record.versions, *seen}.difference(obsolete) or {*record.versions}
    wanted = VersionRecord(tuple(sorted(versions)), era if knows_all else record.era)
    return None if wanted == record else wanted


def choose_history_start(lost: int, told: int | None, revision: int) -> int | None:
    """Return the next revision since which to ask for past changes.

    The store tells them for some time, and not how many that are.

    Parameters
    ----------
    lost : int
        Newest revision asked for since which it no longer tells them.
    told : int or None
        Oldest one since which it does; None if there is none yet.
    revision : int
        Present revision of the store.

    Returns
    -------
    int or None
        None if asking for more isn't worth a call.
    """
    if told is None:
        start = revision - max(1, (revision - lost) // HISTORY_STEP)
        return start if start > lost else None
    if told - lost <= 1 + (revision - told) // HISTORY_STEP:
        return None
    return (lost + told) // 2


def find_past_versions(
    changes: Iterable[tuple[int, Endpoint]], recorded: Mapping[str, int]
) -> dict[str, set[str]]:
    """Return the versions that endpoints had since the records were written.

    Parameters
    ----------
    changes : iterable of tuple of int and Endpoint
        Past entries of endpoints, with their revisions.
    recorded : mapping of str to int
        Revision of the record of each service; 0 without one.

    Returns
    -------
    dict of str to set of str
        Versions by service.
    """
    versions: dict[str, set[str]] = {}
    for revision, endpoint in changes:
        for service in endpoint.serves:
            if revision > recorded.get(service, revision):
                versions.setdefault(service, set()).add(endpoint.software_version)
    return versions
