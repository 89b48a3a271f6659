"""Keeps the versions of services in the platform's store."""

import asyncio
import contextlib
from collections.abc import Callable

from tamarackrill.decisions.stream_versions import (
    Router,
    StreamVersions,
)
from tamarackrill.decisions.version_records import (
    RECORDER_DELAY_S,
    UNKNOWN_ERA,
    VersionRecord,
    find_recorder_rank,
    update_record,
)
from tamarackrill.events import (
    VERSION_RECORD_INVALID,
    VERSION_RECORD_WRITTEN,
    log_event,
)
from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.background import run_restarting
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.store_api import PlatformObject

# Objects of a kind of the system's own.
RECORD_KIND = "stream-versions"

# Between two checks of the records, which are decisions without a call.
CHECK_INTERVAL_S = 0.1
# After a call that failed.
RETRY_S = 0.5
FIRST_RETRY_S = 0.1
# How long a router that has just started waits before it writes a record, as it may not
# know the other recorders yet.
SETTLE_S = 0.3
# How long a request waits for records that are being read.
READ_WAIT_S = 0.3


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
    is_current : callable
        Returns whether the known endpoints are as the platform has them now.
    clock : callable
        Returns the current time.

    """

    def __init__(
        self,
        platform: PlatformClient,
        state: StreamVersions,
        own: Router,
        is_current: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._services: tuple[str, ...] = ()
        self._routers: tuple[Router, ...] = ()
        # Rank among the routers that write records; None if this one doesn't.
        self._rank: int | None = None
        self._platform = platform
        self._state = state
        self._own = own
        self._is_current = is_current
        self._clock = clock
        self._started_s = clock()
        self._tasks: list[asyncio.Task[None]] = []
        self._records: dict[str, tuple[int, VersionRecord]] = {}
        self._has_services = asyncio.Event()
        self._are_read = asyncio.Event()
        self._era = 0
        # When this router is to write the record of a service.
        self._due_s: dict[str, float] = {}

    def start(self) -> None:
        """Start the tasks."""
        self._tasks.append(
            asyncio.create_task(run_restarting("version records", self._run_records))
        )

    async def stop(self) -> None:
        """Cancel the tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def update_services(self, services: tuple[str, ...]) -> None:
        """Set the services whose streams may be resumed."""
        self._services = services
        if services:
            self._has_services.set()

    def update_routers(self, routers: tuple[Router, ...]) -> None:
        """Set the live routers."""
        self._routers = routers
        names = (router.name for router in routers)
        self._rank = find_recorder_rank(self._own.name, names)
        self._due_s.clear()

    def observe_restored(self) -> None:
        """Read the records again, as the store has been restored from a copy."""
        self._are_read.clear()

    async def wait_records(self) -> None:
        """Wait a moment for the records of the services' versions."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READ_WAIT_S):
                await self._are_read.wait()

    def _log_invalid(self, item: PlatformObject, error: ValueError) -> None:
        log_event(
            VERSION_RECORD_INVALID, kind=item.kind, object=item.name, message=str(error)
        )

    async def _run_records(self) -> None:
        retry_s = FIRST_RETRY_S
        while True:
            await self._has_services.wait()
            try:
                if not self._are_read.is_set():
                    await self._read_records()
                await self._update_records()
                retry_s = FIRST_RETRY_S
            except PlatformUnavailable:
                await asyncio.sleep(retry_s)
                retry_s = min(RETRY_S, 2 * retry_s)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _read_records(self) -> None:
        listing = await self._platform.list(RECORD_KIND)
        self._era = listing.era
        self._records.clear()
        for item in listing.items:
            self._take_record(item)
        self._are_read.set()

    def _take_record(self, item: PlatformObject) -> None:
        """Take over a record that was read."""
        try:
            record = VersionRecord.parse(item.value)
        except ValueError as error:
            self._log_invalid(item, error)
            record = VersionRecord((), UNKNOWN_ERA)
        self._records[item.name] = item.version, record
        self._state.learn_record(
            item.name, record.versions, record.era == self._era, self._clock()
        )

    async def _update_records(self) -> None:
        if self._rank is None:
            return
        for service in self._services:
            await self._update_record(service, self._rank)

    async def _update_record(self, service: str, rank: int) -> None:
        if self._find_wanted(service) is None:
            self._due_s.pop(service, None)
            return
        now_s = self._clock()
        settled_s = max(now_s, self._started_s + SETTLE_S)
        due_s = self._due_s.setdefault(service, settled_s + rank * RECORDER_DELAY_S)
        if now_s < due_s:
            return
        self._due_s[service] = now_s + RETRY_S
        if rank:
            # One of the recorders before this one should have written it.
            await self._read_record(service)
        wanted = self._find_wanted(service)
        if wanted is not None:
            await self._write_record(service, wanted)

    def _find_wanted(self, service: str) -> VersionRecord | None:
        _, record = self._records.get(service, (0, None))
        return update_record(
            record, service, self._state, self._era, self._is_current(), self._clock()
        )

    async def _read_record(self, service: str) -> None:
        reading = await self._platform.read(RECORD_KIND, service)
        self._era = reading.era
        self._records.pop(service, None)
        if reading.found is not None:
            self._take_record(reading.found)

    async def _write_record(self, service: str, wanted: VersionRecord) -> None:
        # Without an answer, it isn't known which version the record has.
        version, _ = self._records.pop(service, (None, None))
        result = await self._platform.put(
            RECORD_KIND, service, wanted.format(), version
        )
        if result.version is None:
            if result.current is not None:
                self._take_record(result.current)
            return
        self._records[service] = result.version, wanted
        self._state.learn_record(service, (), wanted.era == result.era, self._clock())
        log_event(
            VERSION_RECORD_WRITTEN,
            service=service,
            versions=wanted.versions,
            era=wanted.era,
        )
