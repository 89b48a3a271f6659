"""Keeps the versions of services and of streams in the platform's store."""

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from typing import Any

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.stream_archive import (
    ArchiveBuffer,
    ArchivedStreams,
    ArchiveWait,
    Batch,
    find_write_interval_s,
    format_streams,
)
from tamarackrill.decisions.stream_versions import (
    Router,
    StreamRecord,
    StreamVersions,
)
from tamarackrill.decisions.version_records import (
    FIRST_ERA,
    RECORDER_DELAY_S,
    RECORDERS,
    UNKNOWN_ERA,
    VersionRecord,
    find_past_versions,
    find_recorder_rank,
    lacks_version,
    update_record,
)
from tamarackrill.events import (
    STREAM_RECORDS_READ,
    VERSION_RECORD_INVALID,
    VERSION_RECORD_WRITTEN,
    log_event,
)
from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router import lateness
from tamarackrill.router.background import run_restarting
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.store_api import Listing, PlatformObject

# Objects of the system's own kinds: a record for each service, and batches of streams.
RECORD_KIND = "stream-versions"
STREAMS_KIND = "stream-records"

# Between two checks of the records, which are decisions without a call.
CHECK_INTERVAL_S = 0.1
# After a call that failed.
RETRY_S = 0.5
READ_RETRY_MAX_S = 16.0
FIRST_RETRY_S = 0.1
# How long a router that has just started waits before it writes a record, as it may not
# know the other recorders yet.
SETTLE_S = 0.3
# How long a request waits for streams that are being read.
READ_WAIT_S = 0.3
# Between two reads of the streams: what no router knows and is not in the store may be
# written in the meantime.  Doubled after each read but one that found nothing new.
READ_INTERVAL_S = 1.0
READ_INTERVAL_MAX_S = 8.0
# Interval between two looks for objects of archivers that have ended, in lifetimes of
# streams.
CLEAN_UP_LIFETIMES = 2
# Objects that are deleted at a time, as records aren't written meanwhile.
DELETIONS_MAX = 32
# A write whose answer was lost leaves an object of an unknown version.
WRITES_MAX = 2


class VersionStore:
    """Reads and writes what the store keeps of versions.

    Parameters
    ----------
    platform : PlatformClient
        Client of the store.
    state : StreamVersions
        What this router knows; gets what is read.
    own : Router
        This router.
    session : int
        Start of this process, in ms since the epoch.
    is_current : callable
        Returns whether the known endpoints are as the platform has them now.
    clock : callable
        Returns the current time.
    read_history : callable
        ``await read_history(since, now)``; see `endpoint_history`.
    """

    def __init__(
        self,
        platform: PlatformClient,
        state: StreamVersions,
        own: Router,
        session: int,
        is_current: Callable[[], bool],
        clock: Callable[[], float],
        read_history: Callable[
            [int, Listing], Awaitable[Iterable[tuple[int, Endpoint]]]
        ],
    ) -> None:
        self._read_history = read_history
        self._services: tuple[str, ...] = ()
        self._routers: tuple[Router, ...] = ()
        # Rank among the routers that write records; None if this one doesn't.
        self._rank: int | None = None
        self._platform = platform
        self._state = state
        self._own = own
        self._session = session
        self._is_current = is_current
        self._clock = clock
        self._started_s = clock()
        self._tasks: list[asyncio.Task[None]] = []
        self._records: dict[str, tuple[int, VersionRecord]] = {}
        self._has_services = asyncio.Event()
        self._must_read = True
        self._era = 0
        # When this router is to write the record of a service.
        self._due_s: dict[str, float] = {}
        self._read_retries_s: dict[str, float] = {}
        # Services with a write that may take effect later, as it got no answer.
        self._unanswered: set[str] = set()
        self._writes = 0
        self._buffer = ArchiveBuffer()
        self._has_unwritten = asyncio.Event()
        self._segment_versions: dict[int, int] = {}
        self._reading: asyncio.Task[None] | None = None
        self._next_read_s = 0.0
        # When the last read of the streams was sent.
        self._read_s = -math.inf
        self._read_interval_s = READ_INTERVAL_S / 2
        self._archived_count = 0
        # Objects with streams at the last clean-up.
        self._left: dict[str, int] = {}
        self._clean_up_s: float | None = None

    def start(self) -> None:
        """Start the tasks."""
        for name, run in (
            ("version records", self._run_records),
            ("stream archive", self._run_archive),
        ):
            self._tasks.append(
                asyncio.create_task(run_restarting(name, run), name=name)
            )

    async def stop(self) -> None:
        """Cancel the tasks."""
        tasks = [*self._tasks, *([self._reading] if self._reading else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_services(self, services: tuple[str, ...]) -> None:
        """Set the services whose streams may be resumed."""
        self._services = services
        if services:
            self._has_services.set()

    def update_routers(self, routers: tuple[Router, ...]) -> None:
        """Set the live routers."""
        self._routers = routers
        names = (router.name for router in routers)
        rank = find_recorder_rank(self._own.name, names)
        if rank != self._rank:
            self._rank = rank
            self._due_s.clear()

    def read_again(self) -> None:
        """Read the records again, as versions may have come and gone unnoticed."""
        self._must_read = True

    async def complete_history(self) -> None:
        """Read the records if versions may have come and gone unnoticed.

        Raises
        ------
        PlatformUnavailable
            If the platform did not answer.
        """
        now_s = self._clock()
        if not all(self._state.has_history(name, now_s) for name in self._services):
            await self._read_records()

    def archive(self, record: StreamRecord) -> None:
        """Write the record of a stream with the next batch."""
        self._buffer.add(record)
        if self._buffer.has_unwritten:
            self._has_unwritten.set()

    async def read_streams(self) -> None:
        """Read the streams that routers have archived, unless that was just done."""
        if self._reading is None or self._reading.done():
            if self._clock() < self._next_read_s:
                return
            self._reading = asyncio.create_task(self._read_streams())
        await self._wait_read(self._reading, READ_WAIT_S)

    async def read_streams_later(self, wait: ArchiveWait) -> None:
        """Read the archived streams once more, as soon as and while that may help."""
        while True:
            if self._reading is None or self._reading.done():
                if self._read_s >= wait.sent_s:
                    return
                due_s = max(wait.sent_s, self._next_read_s)
                if due_s >= wait.until_s:
                    return
                await asyncio.sleep(due_s - self._clock())
                if self._reading is None or self._reading.done():
                    self._reading = asyncio.create_task(self._read_streams())
            left_s = wait.until_s - self._clock()
            if left_s <= 0:
                return
            await self._wait_read(self._reading, left_s)

    @staticmethod
    async def _wait_read(reading: asyncio.Task[None], timeout_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with lateness.timeout(timeout_s):
                # Others wait for the same task, so that it must not be cancelled here.
                await asyncio.wait([reading])

    async def _read_streams(self) -> None:
        self._read_s = self._clock()
        interval_s = max(READ_INTERVAL_S, self._read_interval_s)
        self._next_read_s = self._read_s + interval_s
        try:
            listing = await self._platform.list(STREAMS_KIND)
        except PlatformUnavailable:
            self._next_read_s = self._clock() + FIRST_RETRY_S
            return
        archived = ArchivedStreams()
        for item in listing.items:
            try:
                archived.add(item.value)
            except ValueError as error:
                self._log_invalid(item, error)
            # The requests of this router go on meanwhile.
            await asyncio.sleep(0)
        archived.sort()
        self._state.take_archived(archived.find, self._clock())
        # What is in the store changes while streams begin.
        is_new = len(archived) != self._archived_count
        self._archived_count = len(archived)
        self._read_interval_s = (
            READ_INTERVAL_S / 2
            if is_new
            else min(READ_INTERVAL_MAX_S, 2 * self._read_interval_s)
        )
        interval_s = max(READ_INTERVAL_S, self._read_interval_s)
        self._next_read_s = self._clock() + interval_s
        log_event(
            STREAM_RECORDS_READ, streams=len(archived), objects=len(listing.items)
        )

    def _log_invalid(self, item: PlatformObject, error: ValueError) -> None:
        log_event(
            VERSION_RECORD_INVALID, kind=item.kind, object=item.name, message=str(error)
        )

    async def _run_records(self) -> None:
        retry_s = FIRST_RETRY_S
        while True:
            await self._has_services.wait()
            try:
                if self._must_read:
                    await self._read_records()
                await self._update_records()
                retry_s = FIRST_RETRY_S
            except PlatformUnavailable:
                await asyncio.sleep(retry_s)
                retry_s = min(RETRY_S, 2 * retry_s)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _read_records(self) -> None:
        # Set again if there is a reason to read while the answer is on its way.
        self._must_read = False
        try:
            listing = await self._platform.list(RECORD_KIND)
            past = await self._read_past_versions(listing)
        except PlatformUnavailable:
            self._must_read = True
            raise
        self._era = listing.era
        for service, versions in past.items():
            now_s = self._clock()
            self._state.learn_record(service, versions, False, now_s, is_news=True)
        self._records.clear()
        for item in listing.items:
            self._take_record(item, is_news=True)
        for service in self._services:
            self._trust_missing(service)

    async def _read_past_versions(
        self, listing: Listing
    ) -> Mapping[str, Collection[str]]:
        """Return versions that have come since records that are taken for complete."""
        now_s = self._clock()
        recorded = {item.name: item for item in listing.items}
        wanted = {}
        for service in self._services:
            if self._state.has_history(service, now_s):
                continue
            item = recorded.get(service)
            if item is None and listing.era <= FIRST_ERA:
                wanted[service] = 0
            elif item is not None and _find_era(item) == listing.era:
                wanted[service] = item.version
        if not wanted:
            return {}
        past = await self._read_history(min(wanted.values()), listing)
        return find_past_versions(past, wanted)

    def _take_record(self, item: PlatformObject, is_news: bool = False) -> None:
        """Take over a record that was read."""
        try:
            record = VersionRecord.parse(item.value)
        except ValueError as error:
            self._log_invalid(item, error)
            record = VersionRecord((), UNKNOWN_ERA)
        self._records[item.name] = item.version, record
        self._state.observe_recorded(item.name, record.versions)
        self._state.learn_record(
            item.name,
            record.versions,
            record.era == self._era,
            self._clock(),
            is_news=is_news,
        )

    async def _update_records(self) -> None:
        for service in self._services:
            await self._update_record(service)
        if self._rank == 0:
            await self._clean_up()

    async def _update_record(self, service: str) -> None:
        """Write the record if it must change, or read what other routers wrote."""
        if not self._must_update(service):
            self._due_s.pop(service, None)
            self._read_retries_s.pop(service, None)
            return
        now_s = self._clock()
        rank = RECORDERS if self._rank is None else self._rank
        settled_s = max(now_s, self._started_s + SETTLE_S)
        due_s = self._due_s.setdefault(service, settled_s + rank * RECORDER_DELAY_S)
        if now_s < due_s:
            return
        self._due_s[service] = now_s + self._find_retry_s(service)
        if rank:
            # One of the recorders before this one should have written it.
            await self._read_record(service)
        wanted = self._find_wanted(service)
        if wanted is not None and self._rank is not None:
            await self._write_record(service, wanted)

    def _find_retry_s(self, service: str) -> float:
        if self._rank is not None:
            return RETRY_S
        # All routers but a few read what is not on record yet, perhaps for long.
        retry_s = self._read_retries_s.get(service, RETRY_S)
        self._read_retries_s[service] = min(READ_RETRY_MAX_S, 2 * retry_s)
        return retry_s

    def _must_update(self, service: str) -> bool:
        if self._rank is not None:
            return self._find_wanted(service) is not None
        _, record = self._records.get(service, (0, None))
        return lacks_version(record, service, self._state, self._clock())

    def _find_wanted(self, service: str) -> VersionRecord | None:
        _, record = self._records.get(service, (0, None))
        wanted = update_record(
            record, service, self._state, self._era, self._is_current(), self._clock()
        )
        # A later write prevents the unanswered one.
        return wanted or (record if service in self._unanswered else None)

    async def _read_record(self, service: str) -> None:
        reading = await self._platform.read(RECORD_KIND, service)
        self._era = reading.era
        self._records.pop(service, None)
        if reading.found is not None:
            self._take_record(reading.found)
        self._trust_missing(service)

    def _trust_missing(self, service: str) -> None:
        """Take a record that was never written for one of a service that is new."""
        if service not in self._records and self._era <= FIRST_ERA:
            self._state.learn_record(service, (), True, self._clock())

    async def _write_record(self, service: str, wanted: VersionRecord) -> None:
        # Without an answer, it isn't known which version the record has.
        version, _ = self._records.pop(service, (None, None))
        was_unanswered = service in self._unanswered
        self._unanswered.add(service)
        self._writes += 1
        writer = f"{self._own.name}.{self._session}.{self._writes}"
        result = await self._platform.put(
            RECORD_KIND, service, wanted.format(writer), version
        )
        self._era = result.era
        if result.version is not None or not was_unanswered:
            self._unanswered.discard(service)
        if result.version is None:
            if result.current is not None:
                self._take_record(result.current)
            return
        self._records[service] = result.version, wanted
        self._state.observe_recorded(service, wanted.versions)
        self._state.learn_record(service, (), wanted.era == result.era, self._clock())
        log_event(
            VERSION_RECORD_WRITTEN,
            service=service,
            versions=wanted.versions,
            era=wanted.era,
        )

    async def _run_archive(self) -> None:
        while True:
            while self._buffer.has_unwritten:
                await asyncio.sleep(await self._write_batch())
            self._has_unwritten.clear()
            await self._has_unwritten.wait()

    async def _write_batch(self) -> float:
        """Write the unwritten records; return how long to wait before the next."""
        interval_s = find_write_interval_s(self._routers)
        batch = self._buffer.take(self._clock())
        try:
            await self._write_segment(batch)
        except PlatformUnavailable:
            return max(interval_s, RETRY_S)
        self._buffer.observe_written(batch, self._state.lifetime_s, self._clock())
        return interval_s

    async def _write_segment(self, batch: Batch) -> None:
        name = f"{self._own.name}.{self._session}.{batch.segment}"
        value: Any = format_streams(batch.records)
        for _ in range(WRITES_MAX):
            expected = self._segment_versions.pop(batch.segment, None)
            result = await self._platform.put(STREAMS_KIND, name, value, expected)
            if result.version is not None:
                self._segment_versions[batch.segment] = result.version
                return
            if result.current is not None:
                self._segment_versions[batch.segment] = result.current.version
        raise PlatformUnavailable(f"{name} is written by another process")

    async def _clean_up(self) -> None:
        """Delete the objects of archivers that have ended."""
        now_s = self._clock()
        if self._clean_up_s is None:
            if not self._state.has_several:
                return
            self._clean_up_s = now_s + CLEAN_UP_LIFETIMES * self._state.lifetime_s
        if now_s < self._clean_up_s:
            return
        self._clean_up_s = None
        listing = await self._platform.list(STREAMS_KIND)
        await self._delete_unchanged(listing.items)
        if listing.items:
            self._clean_up_s = now_s + CLEAN_UP_LIFETIMES * self._state.lifetime_s

    async def _delete_unchanged(self, items: Iterable[PlatformObject]) -> None:
        before, self._left = self._left, {item.name: item.version for item in items}
        unchanged = [n for n, version in self._left.items() if before.get(n) == version]
        for name in unchanged[:DELETIONS_MAX]:
            await self._platform.delete(STREAMS_KIND, name, self._left[name])


def _find_era(item: PlatformObject) -> int:
    """Return the era of a record."""
    try:
        return VersionRecord.parse(item.value).era
    except ValueError:
        return UNKNOWN_ERA
