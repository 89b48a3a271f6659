"""Keeps the configuration of this router at the newest versions known."""

import asyncio
from collections.abc import Callable

from tamarackrill.contracts import CONTRACT_KIND, ENDPOINT_KIND
from tamarackrill.decisions.configuration import (
    Changes,
    ConfigurationStore,
    ObjectVersion,
)
from tamarackrill.events import (
    CONFIGURATION_TAKEN,
    PLATFORM_BACK,
    PLATFORM_LOST,
    log_event,
)
from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.platform_client import Listing, PlatformClient, WatchLost

KINDS = (CONTRACT_KIND, ENDPOINT_KIND)
RETRY_WAIT_S = 0.5


class Configurer:
    """Watches the platform; owns one task for each kind of object.

    Parameters
    ----------
    store : ConfigurationStore
        Gets what was read.
    platform : PlatformClient
        Not owned.
    on_taken : callable
        Called with the list of objects that are newly in force.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        platform: PlatformClient,
        on_taken: Callable[[list[ObjectVersion]], None],
    ) -> None:
        self._store = store
        self._platform = platform
        self._on_taken = on_taken
        self._tasks: list[asyncio.Task[None]] = []
        self._lost = False

    async def start(self) -> None:
        """Start the watches."""
        self._tasks = [asyncio.create_task(self._follow(kind)) for kind in KINDS]

    async def stop(self) -> None:
        """End the watches."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _follow(self, kind: str) -> None:
        must_list = True
        while True:
            try:
                await (self._list(kind) if must_list else self._watch(kind))
                must_list = False
                self._report(lost=False)
            except WatchLost:
                must_list = True
            except PlatformUnavailable as error:
                must_list = True
                self._report(lost=True, reason=error.message)
                await asyncio.sleep(RETRY_WAIT_S)

    async def _list(self, kind: str) -> None:
        self._take(kind, await self._platform.list(kind), whole=True)

    async def _watch(self, kind: str) -> None:
        since = self._store.get_complete(kind)
        self._take(kind, await self._platform.watch(kind, since), whole=False)

    def _take(self, kind: str, listing: Listing, whole: bool) -> None:
        objects = tuple(ObjectVersion(*item) for item in listing.items)
        changes = Changes(kind, objects, listing.revision, whole)
        taken = self._store.take_changes(changes)
        for item in taken:
            log_event(
                CONFIGURATION_TAKEN,
                kind=item.kind,
                name=item.name,
                version=item.version,
                source="platform",
            )
        if taken:
            self._on_taken(taken)

    def _report(self, lost: bool, reason: str = "") -> None:
        if lost and not self._lost:
            log_event(PLATFORM_LOST, reason=reason)
        elif self._lost and not lost:
            log_event(PLATFORM_BACK)
        self._lost = lost
