"""Keeps the configuration of this router at the newest versions known."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from tamarackrill.contracts import CONTRACT_KIND, ENDPOINT_KIND
from tamarackrill.decisions.configuration import (
    Changes,
    ConfigurationDigest,
    ConfigurationStore,
    ObjectVersion,
    needs_changes,
)
from tamarackrill.decisions.members import Entries
from tamarackrill.decisions.membership import PeerHeard
from tamarackrill.events import (
    CONFIGURATION_PULL_FAILED,
    CONFIGURATION_TAKEN,
    PLATFORM_BACK,
    PLATFORM_LOST,
    log_event,
)
from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.background import log_failure
from tamarackrill.router.peer_api import PeerUnavailable
from tamarackrill.router.platform_client import Listing, PlatformClient, WatchLost

KINDS = (CONTRACT_KIND, ENDPOINT_KIND)
# 370 routers that ask again every 5 s for two kinds are 148 reads a second, of about
# 2,000 that the platform takes.
RETRY_MIN_S = 0.5
RETRY_MAX_S = 5.0
# A call that fails at once after a good one is most often a connection that was closed;
# waiting first would only make the next change late.
FIRST_RETRY_S = 0.02
# A watch brings a change within milliseconds; a peer is asked only if it did not.
PULL_AFTER_S = 1.0

PullChanges = Callable[[str, str, int], Awaitable[Changes]]


class Configurer:
    """Watches the platform, and asks peers for what the watch did not bring.

    Parameters
    ----------
    store : ConfigurationStore
        Gets what was read.
    platform : PlatformClient
        Not owned.
    on_taken : callable
        Called with the list of objects that are newly in force.
    pull : callable
        ``await pull(address, kind, since)`` returns a peer's `Changes`.
    clock : callable
        Returns the present time.
    kinds : tuple of str, optional
        Kinds of objects that are followed.
    retry_max_s : float, optional
        Longest pause between two calls that fail.
    read_directly : tuple of str, optional
        Kinds whose changes are too large to come from a peer.
    pause_s : float, optional
        Between an answer and the next call, so that changes that come together cost
        one call.

    Attributes
    ----------
    on_store : callable
        Called with whether the platform is lost, at each outcome of a call.
    on_answer : callable
        Called with the kind that the platform has answered about.
    find_rest_s : callable
        ``find_rest_s(kind, now_s)`` returns for how long the platform need not be
        asked, since another router's evidence is fresh.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        platform: PlatformClient,
        on_taken: Callable[[list[ObjectVersion]], None],
        pull: PullChanges,
        clock: Callable[[], float],
        kinds: tuple[str, ...] = KINDS,
        retry_max_s: float = RETRY_MAX_S,
        read_directly: tuple[str, ...] = (),
        pause_s: float = 0.0,
    ) -> None:
        self._pause_s = pause_s
        self._read_directly = read_directly
        self._kinds = kinds
        self._retry_max_s = retry_max_s
        self.on_store: Callable[[bool], None] = lambda is_lost: None
        self.on_answer: Callable[[str], None] = lambda kind: None
        self.find_rest_s: Callable[[str, float], float] = lambda kind, now_s: 0.0
        self._wanted = {kind: asyncio.Event() for kind in kinds}
        self._store = store
        self._platform = platform
        self._on_taken = on_taken
        self._pull = pull
        self._clock = clock
        self._tasks: list[asyncio.Task[None]] = []
        self._pulls: dict[str, asyncio.Task[None]] = {}
        self._behind_since_s: dict[str, float] = {}
        self._lost = False

    async def start(self) -> None:
        """Start the watches."""
        for kind in self._kinds:
            task = asyncio.create_task(self._follow(kind), name=f"follow {kind}")
            task.add_done_callback(log_failure)
            self._tasks.append(task)

    async def stop(self) -> None:
        """End the watches."""
        tasks = [*self._tasks, *self._pulls.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def digest(self) -> tuple[ConfigurationDigest, ...]:
        """Return the digests of all kinds."""
        return tuple(self._store.digest(kind) for kind in self._kinds)

    def hear_peer(self, heard: PeerHeard) -> None:
        """Ask a peer for what it holds and this router doesn't, if that lasts."""
        for digest in heard.configuration:
            if digest.kind not in self._kinds:
                continue
            if not needs_changes(self._store.digest(digest.kind), digest):
                continue
            now_s = self._clock()
            since_s = self._behind_since_s.setdefault(digest.kind, now_s)
            # A router that has just started holds nothing and serves nobody.  Were it
            # to wait for a store that is silent, it would refuse its clients for a
            # second; a store that answers has done so before any peer is heard.
            holds_nothing = self._store.get_complete(digest.kind) == 0
            is_late = now_s - since_s >= PULL_AFTER_S
            waited = holds_nothing or self._lost or is_late
            if waited and digest.kind not in self._pulls:
                task = asyncio.create_task(self._pull_from(heard, digest.kind))
                self._pulls[digest.kind] = task

    def hear_news(self, sender: str, address: str, digest: ConfigurationDigest) -> None:
        """Take what a router holds that the platform has just answered.

        It also tells that the platform answers.  A router that once was turned away and
        no longer asks itself would otherwise count it as lost for ever, and take each
        endpoint that ends for one whose entry has lapsed.

        A manifest may be hundreds of kilobytes, which one router of a zone could not
        send to all others in time; so the platform itself is asked for what is new.
        Changes of endpoints are small, and come from the peer.
        """
        was_lost = self._lost
        if self.find_rest_s(digest.kind, self._clock()) > 0.0:
            self._report(lost=False)
        if not needs_changes(self._store.digest(digest.kind), digest):
            self._store.adopt_complete(digest)
            return
        if digest.kind in self._read_directly and not was_lost:
            self._wanted[digest.kind].set()
        elif digest.kind not in self._pulls:
            heard = PeerHeard(sender, address, (digest,), Entries())
            task = asyncio.create_task(self._pull_from(heard, digest.kind))
            self._pulls[digest.kind] = task

    async def _pull_from(self, heard: PeerHeard, kind: str) -> None:
        since = self._store.get_complete(kind)
        try:
            changes = await self._pull(heard.address, kind, since)
            self._take(changes, heard.sender)
        except PeerUnavailable as error:
            log_event(
                CONFIGURATION_PULL_FAILED,
                kind=kind,
                peer=heard.sender,
                reason=error.message,
            )
        finally:
            del self._pulls[kind]

    async def _follow(self, kind: str) -> None:
        must_list = True
        wait_s: float | None = None
        retry_s = FIRST_RETRY_S
        while True:
            wait_s = 0.0 if await self._rest(kind) else wait_s
            try:
                await (self._list(kind) if must_list else self._watch(kind, wait_s))
                must_list, wait_s, retry_s = False, None, FIRST_RETRY_S
                self._report(lost=False)
                await asyncio.sleep(self._pause_s)
            except WatchLost:
                must_list = True
            except PlatformUnavailable as error:
                self._report(lost=True, reason=error.message)
                # After an outage a router that has the configuration asks what
                # changed.  Were all to list everything at once, the platform, just
                # back, would have to send 370 times a megabyte.  It asks without
                # waiting, so that the platform counts as back at once.
                must_list = self._store.get_complete(kind) == 0
                wait_s = 0.0
                await asyncio.sleep(retry_s * random.uniform(0.5, 1.0))
                retry_s = min(self._retry_max_s, max(RETRY_MIN_S, retry_s * 2))

    async def _rest(self, kind: str) -> bool:
        """Wait as long as others' evidence is enough; return whether that was so."""
        has_rested = False
        wanted = self._wanted[kind]
        while not wanted.is_set() and self._store.get_complete(kind):
            rest_s = self.find_rest_s(kind, self._clock())
            if rest_s <= 0.0:
                break
            has_rested = True
            try:
                async with asyncio.timeout(rest_s):
                    await wanted.wait()
            except TimeoutError:
                continue
        wanted.clear()
        return has_rested

    async def _list(self, kind: str) -> None:
        listing = await self._platform.list(kind)
        self.on_answer(kind)
        self._take(_to_changes(kind, listing, whole=True), "list")

    async def _watch(self, kind: str, wait_s: float | None) -> None:
        since = self._store.get_complete(kind)
        listing = await self._platform.watch(kind, since, wait_s)
        self.on_answer(kind)
        self._take(_to_changes(kind, listing, whole=False), "watch")

    def _take(self, changes: Changes, source: str) -> None:
        self._behind_since_s.pop(changes.kind, None)
        taken = self._store.take_changes(changes)
        for item in taken:
            log_event(
                CONFIGURATION_TAKEN,
                kind=item.kind,
                object=item.name,
                version=item.version,
                source=source,
            )
        if taken:
            self._on_taken(taken)

    def _report(self, lost: bool, reason: str = "") -> None:
        if lost and not self._lost:
            log_event(PLATFORM_LOST, reason=reason)
        elif self._lost and not lost:
            log_event(PLATFORM_BACK)
        self._lost = lost
        self.on_store(lost)


def _to_changes(kind: str, listing: Listing, whole: bool) -> Changes:
    objects = tuple(ObjectVersion(*item) for item in listing.items)
    return Changes(kind, objects, listing.revision, whole)
