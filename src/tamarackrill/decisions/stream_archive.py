"""Batches of stream records that outlive all routers.

Load pattern: endpoints of several versions serve side by side, and all routers are
killed at once or replaced one after the other.  Hundreds of clients come back with
streams whose versions no router remembers, and would all be refused although endpoints
of the right version serve.

While a service has several versions, some routers of each zone, the archivers, collect
the records of the streams that begin there, and write them to the store in batches.  A
router that finds nobody who knows a stream reads them.  A record never becomes wrong,
as it names the version at which an attempt began; those of streams that must have ended
are overwritten.  An archiver writes to a few objects in turn, each for a share of a
stream's lifetime, so that a batch doesn't repeat all records that are still needed.
"""

import base64
import bisect
import sys
from array import array
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from typing import Any, NamedTuple

from tamarackrill.decisions import hashing
from tamarackrill.decisions.stream_versions import Router, StreamRecord

# Routers of a zone for each archiver there.
ROUTERS_PER_ARCHIVER = 16
# Writes of all archivers of a fleet together; the store takes several hundred.
FLEET_WRITES_PER_S = 48.0
WRITE_INTERVAL_MIN_S = 0.3
# Objects that an archiver writes in turn, and those of them that cover the lifetime of
# a stream.  The one that is overwritten next is older than that.
SEGMENTS = 15
SEGMENTS_PER_LIFETIME = 12
# Streams in an object; at 11 bytes each that is far below the size limit of a value.
# More are begun only while the store is away, and then the oldest are dropped.
STREAMS_MAX = 8192
_STREAM_BYTES = 8
# An archiver's write, and its datagram before that; the store takes 4 ms, 250 ms when
# it is slow.
WRITE_MAX_S = 0.1
# How long a request waits for a record that may be on its way to the archive, and the
# share of its time that it has left for the stream.
ARCHIVE_WAIT_MAX_S = 1.5
STREAM_SHARE = 0.5


def count_archivers(routers: int) -> int:
    """Return the number of archivers in a zone of so many routers."""
    return -(-routers // ROUTERS_PER_ARCHIVER)


def choose_archiver(stream: int, routers: tuple[Router, ...], teller: Router) -> str:
    """Return the router of the teller's zone that archives a stream.

    Parameters
    ----------
    stream : int
        The stream.
    routers : tuple of Router
        Live routers.
    teller : Router
        The router that knows the version; it may be the archiver itself.
    """
    names = {router.name for router in routers if router.zone == teller.zone}
    zone = sorted({*names, teller.name})
    group = stream % count_archivers(len(zone))
    return hashing.rendezvous_order(f"archive/{group}", zone, 1)[0]


def find_write_interval_s(routers: Iterable[Router]) -> float:
    """Return the time between two writes of an archiver."""
    zones: dict[str, int] = defaultdict(int)
    for router in routers:
        zones[router.zone] += 1
    archivers = sum(map(count_archivers, zones.values()))
    return max(WRITE_INTERVAL_MIN_S, archivers / FLEET_WRITES_PER_S)


class ArchiveWait(NamedTuple):
    """Wait of a request whose stream no router knows.

    Parameters
    ----------
    sent_s : float
        A read that is sent from then on has all streams that began before the request.
    until_s : float
        When the request is refused.
    """

    sent_s: float
    until_s: float


def find_archive_wait(
    silent: Collection[str],
    lost_s: Mapping[str, float],
    lost_zones: Collection[str],
    routers: Iterable[Router],
    lifetime_s: float,
    arrived_s: float,
    deadline_s: float,
) -> ArchiveWait | None:
    """Return how long a stream that no router knows may still be archived.

    A router that isn't reached, or has ended, may have told nobody but its archiver.
    If there is none, the stream is unknown to all, and there is nothing to wait for.

    Parameters
    ----------
    silent : collection of str
        Possible keepers that have not replied.
    lost_s : mapping of str to float
        Routers that have ended or were taken for dead, and when.
    lost_zones : collection of str
        Zones all of whose routers have; more probably they aren't reached.
    routers : iterable of Router
        Live routers.
    lifetime_s : float
        For how long a client may come back to a stream.
    arrived_s : float
        When the stream was taken up.
    deadline_s : float
        Deadline of the request.

    Returns
    -------
    ArchiveWait or None
        None if the stream can't be archived any more, or only too late.
    """
    may_be_unknown = (
        silent
        or lost_zones
        or any(arrived_s - since_s < lifetime_s for since_s in lost_s.values())
    )
    sent_s = arrived_s + find_write_interval_s(routers) + WRITE_MAX_S
    until_s = min(
        arrived_s + ARCHIVE_WAIT_MAX_S,
        arrived_s + (1.0 - STREAM_SHARE) * (deadline_s - arrived_s),
    )
    return ArchiveWait(sent_s, until_s) if may_be_unknown and sent_s < until_s else None


def format_streams(records: Iterable[StreamRecord]) -> dict[str, Any]:
    """Return records as the JSON value of an object."""
    streams: dict[str, bytearray] = defaultdict(bytearray)
    for record in records:
        streams[record.software_version] += record.stream.to_bytes(_STREAM_BYTES)
    return {
        "streams": {
            version: base64.b64encode(packed).decode()
            for version, packed in streams.items()
        }
    }


class ArchivedStreams:
    """Streams read from the store, in a few bytes each."""

    def __init__(self) -> None:
        self._streams: dict[str, array[int]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._streams.values()))

    def add(self, value: Any) -> None:
        """Add the JSON value of an object.

        Raises
        ------
        ValueError
            If it isn't valid.
        """
        try:
            found = {
                str(version): array("Q", base64.b64decode(packed, validate=True))
                for version, packed in value["streams"].items()
            }
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise ValueError("not the records of streams") from error
        for version, streams in found.items():
            if sys.byteorder == "little":
                streams.byteswap()
            self._streams.setdefault(version, array("Q")).extend(streams)

    def sort(self) -> None:
        """Prepare for `find`, after the last object."""
        self._streams = {
            version: array("Q", sorted(streams))
            for version, streams in self._streams.items()
        }

    def find(self, stream: int) -> str | None:
        """Return the version of a stream; None if it isn't archived."""
        for version, streams in self._streams.items():
            place = bisect.bisect_left(streams, stream)
            if place < len(streams) and streams[place] == stream:
                return version
        return None


class Batch(NamedTuple):
    """Records to be written to one of an archiver's objects.

    Parameters
    ----------
    segment : int
        Number of the object.
    records : tuple of StreamRecord
        All that it has to hold.
    """

    segment: int
    records: tuple[StreamRecord, ...]


class ArchiveBuffer:
    """Records that one archiver has still to write, and those that it writes again."""

    def __init__(self) -> None:
        self._segment = 0
        self._opened_s: float | None = None
        self._records: dict[int, StreamRecord] = {}
        self._unwritten: set[int] = set()

    @property
    def has_unwritten(self) -> bool:
        """Whether there is anything to write."""
        return bool(self._unwritten)

    def add(self, record: StreamRecord) -> None:
        """Add a record to the next batch, unless it has been written."""
        if record.stream in self._records:
            return
        if len(self._records) >= STREAMS_MAX:
            oldest = next(iter(self._records))
            del self._records[oldest]
            self._unwritten.discard(oldest)
        self._records[record.stream] = record._replace(must_archive=False)
        self._unwritten.add(record.stream)

    def take(self, now_s: float) -> Batch:
        """Return what is to be written now."""
        if self._opened_s is None:
            self._opened_s = now_s
        return Batch(self._segment, tuple(self._records.values()))

    def observe_written(self, batch: Batch, lifetime_s: float, now_s: float) -> None:
        """Record that a batch has been written.

        Parameters
        ----------
        batch : Batch
            The batch.
        lifetime_s : float
            For how long a client may come back to a stream.
        now_s : float
            Current time.
        """
        self._unwritten.difference_update(record.stream for record in batch.records)
        opened_s = now_s if self._opened_s is None else self._opened_s
        is_full = len(batch.records) >= STREAMS_MAX
        if not is_full and now_s - opened_s < lifetime_s / SEGMENTS_PER_LIFETIME:
            return
        self._segment = (self._segment + 1) % SEGMENTS
        self._opened_s = None
        self._records = {
            stream: record
            for stream, record in self._records.items()
            if stream in self._unwritten
        }
