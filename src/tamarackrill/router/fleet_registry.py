"""Keeps the names of the fleet's routers in the platform's store."""

import asyncio
from collections.abc import Callable, Collection

from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.platform_client import PlatformClient

ROUTERS_KIND = "routers"
# After a call that failed; doubled each time, as all routers may write at once.
FIRST_RETRY_S = 0.5
RETRY_MAX_S = 16.0
# Longer than other routers remember one that they no longer reach.
CLEAN_UP_S = 1200.0


class FleetRegistry:
    """Counts the routers of the fleet when all of them may just have started.

    A router that starts knows no others, and neither does any that it can ask if all
    have been killed.  An object of each router in the store outlives them.

    Parameters
    ----------
    platform : PlatformClient
        Client of the store.
    name : str
        Name of this router.
    list_known : callable
        Returns the names of all routers that may run, as far as they are known.
    on_counted : callable
        Called with the number of registered routers, this one included.

    Attributes
    ----------
    has_asked : bool
        Whether the first read has ended, if without an answer too.
    """

    def __init__(
        self,
        platform: PlatformClient,
        name: str,
        list_known: Callable[[], Collection[str]],
        on_counted: Callable[[int], None],
    ) -> None:
        self.has_asked = False
        self._platform = platform
        self._name = name
        self._list_known = list_known
        self._on_counted = on_counted

    async def run(self) -> None:
        """Register this router, then remove those that have been gone for long."""
        retry_s = FIRST_RETRY_S
        while not await self._register():
            await asyncio.sleep(retry_s)
            retry_s = min(RETRY_MAX_S, 2 * retry_s)
        while True:
            await asyncio.sleep(CLEAN_UP_S)
            try:
                await self._clean_up()
            except PlatformUnavailable:
                # What is left over makes shares of routers that start smaller.
                continue

    async def _register(self) -> bool:
        """Count the registered routers and add this one; return whether it is there."""
        try:
            # Names of seconds ago will do, and cost less.
            listing = await self._platform.list(ROUTERS_KIND, allows_stale=True)
            names = {item.name for item in listing.items}
            self._on_counted(len(names | {self._name}))
        except PlatformUnavailable:
            return False
        finally:
            self.has_asked = True
        try:
            if self._name not in names:
                await self._platform.put(ROUTERS_KIND, self._name, {}, None)
        except PlatformUnavailable:
            return False
        return True

    async def _clean_up(self) -> None:
        known = {self._name, *self._list_known()}
        if self._name != min(known):
            return
        listing = await self._platform.list(ROUTERS_KIND)
        for item in listing.items:
            if item.name not in known:
                await self._platform.delete(ROUTERS_KIND, item.name, item.version)
