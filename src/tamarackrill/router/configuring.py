"""Keeps the configuration of this router at the newest versions known."""

import asyncio
import contextlib
import math
import random
from collections.abc import Awaitable, Callable

from tamarackrill.contracts import CONTRACT_KIND, ENDPOINT_KIND
from tamarackrill.decisions.answer_times import AnswerTimes, StoreAnswer
from tamarackrill.decisions.configuration import (
    ChangeSet,
    ConfigurationDigest,
    ConfigurationStore,
    ObjectVersion,
    needs_changes,
)
from tamarackrill.decisions.members import PiggybackedEntries
from tamarackrill.decisions.membership import PeerStateReceived
from tamarackrill.decisions.reading import ReadPlanner
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
from tamarackrill.router.platform_client import AnswerTooLong, PlatformClient, WatchLost
from tamarackrill.store_api import Listing

KINDS = (CONTRACT_KIND, ENDPOINT_KIND)
# 370 routers that ask again every 5 s for two kinds are 148 reads a second, of about
# 2,000 that the platform takes.
RETRY_MIN_S = 0.5
RETRY_MAX_S = 5.0
# Whoever waits for another kind to find the platform back waits longer than that one.
BACK_SOON_FACTOR = 2.0
# A call that fails at once after a good one is most often a connection that was closed;
# waiting first would only make the next change late.
FIRST_RETRY_S = 0.02
# A watch brings a change within milliseconds; a peer is asked only if it did not.
PULL_AFTER_S = 1.0
# A router that has just started gives the platform so long to begin its answer before
# it asks a peer as well.  A platform that is well begins within 5 ms, over a loaded
# link within some tens.
HEAD_START_S = 0.15
# A peer that tells of a change has so long to send it before the platform is asked.  It
# may be frozen, or its link full.
HAND_ON_MAX_S = 0.3

PullChanges = Callable[[str, str, int], Awaitable[ChangeSet]]


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
        ``await pull(address, kind, since)`` returns a peer's `ChangeSet`.
    clock : callable
        Returns the present time.
    kinds : tuple of str, optional
        Kinds of objects that are followed.
    retry_max_s : float, optional
        Longest pause between two calls that fail.
    read_directly : tuple of str, optional
        Kinds whose changes may be too large to come from a peer, or to read more of
        them than the newest; the platform is asked if a peer doesn't send them soon.
    pause_s : float, optional
        Between an answer and the next call, so that changes that come together cost
        one call.

    Attributes
    ----------
    on_store : callable
        Called with whether the platform is lost, at each outcome of a call.
    on_answer : callable
        Called with the kind that the platform has answered about, and as of when.
    on_refused : callable
        Called with the kind that the platform has not answered about, and when.
    on_read : callable
        Called with a kind of which a change was read, and how long that took from the
        answer's first byte to its being in force.
    find_watch_s : callable
        ``find_watch_s(kind)`` returns the longest wait of a watch; None for the
        client's own.
    find_retry_s : callable
        ``find_retry_s(before_s)`` returns the pause after a call that failed, from the
        one before it.
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
        self._kinds = kinds
        self.find_retry_s: Callable[[float], float] = lambda before_s: min(
            retry_max_s, max(RETRY_MIN_S, before_s * 2)
        )
        self.on_store: Callable[[bool], None] = lambda is_lost: None
        self.on_answer: Callable[[str, float], None] = lambda kind, as_of_s: None
        self.on_refused: Callable[[str, float], None] = lambda kind, now_s: None
        self.on_read: Callable[[str, float], None] = lambda kind, read_s: None
        self.find_watch_s: Callable[[str], float | None] = lambda kind: None
        self.find_rest_s: Callable[[str, float], float] = lambda kind, now_s: 0.0
        self._wanted = {kind: asyncio.Event() for kind in kinds}
        self._store = store
        self._platform = platform
        self._on_taken = on_taken
        self._pull = pull
        self._clock = clock
        self._tasks: list[asyncio.Task[None]] = []
        self._pulls: dict[str, asyncio.Task[None]] = {}
        # Who told last of what this router lacks.
        self._tellers: dict[str, PeerStateReceived] = {}
        self._behind_since_s: dict[str, float] = {}
        self._readings = {kind: ReadPlanner() for kind in read_directly}
        # When the first byte came of the answers that are being read.
        self._begun_s: dict[str, float] = {}
        # Kinds that the platform has been asked for.
        self._asking: set[str] = set()
        self._answer_times = AnswerTimes()
        self._lost = False
        self._lost_s = -math.inf
        self._back = asyncio.Event()

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

    def hear_peer(self, heard: PeerStateReceived) -> None:
        """Ask a peer for what it holds and this router doesn't, if that lasts."""
        for digest in heard.configuration:
            if digest.kind not in self._kinds:
                continue
            if not needs_changes(self._store.digest(digest.kind), digest):
                continue
            if digest.kind in self._readings:
                self._note_news(digest)
                self._start_pull(heard, digest.kind)
                continue
            now_s = self._clock()
            since_s = self._behind_since_s.setdefault(digest.kind, now_s)
            # A router that has just started holds nothing and serves nobody.  Were it
            # to wait for a platform that is silent, it would refuse its clients for a
            # second.
            holds_nothing = self._store.get_complete(digest.kind) == 0
            is_late = now_s - since_s >= PULL_AFTER_S
            if holds_nothing or self._lost or is_late:
                self._start_pull(heard, digest.kind)

    def hear_news(
        self,
        sender: str,
        address: str,
        digest: ConfigurationDigest,
        as_of_s: float,
    ) -> None:
        """Take what a router holds that the platform has just answered.

        It also tells that the platform answers.  A router that once was turned away and
        no longer asks itself would otherwise count it as lost for ever, and take each
        endpoint that ends for one whose entry has lapsed.  What it answered before this
        router lost it tells nothing of that.
        """
        if as_of_s > self._lost_s:
            self._report(lost=False)
        if not needs_changes(self._store.digest(digest.kind), digest):
            self._store.adopt_complete_revision(digest)
            return
        if digest.kind in self._readings:
            self._note_news(digest)
        heard = PeerStateReceived(sender, address, (digest,), PiggybackedEntries())
        self._start_pull(heard, digest.kind)

    def has_news(self, kind: str) -> bool:
        """Return whether another router is known to hold what this one doesn't yet."""
        reading = self._readings.get(kind)
        return reading is not None and reading.has_news(self._store.digest(kind))

    def _note_news(self, digest: ConfigurationDigest) -> None:
        self._readings[digest.kind].observe_peer(digest)

    def _start_pull(self, heard: PeerStateReceived, kind: str) -> None:
        self._tellers[kind] = heard
        # An answer of the store that has begun is on its way.  The same from a peer
        # would share the link with it, and both would come later; of a manifest that
        # is half a second, at this router and at the peer.
        if kind in self._pulls or kind in self._begun_s:
            return
        task = asyncio.create_task(self._pull_when_due(heard, kind))
        self._pulls[kind] = task

    async def _pull_when_due(self, heard: PeerStateReceived, kind: str) -> None:
        try:
            if self._is_first_answer_due(kind):
                await asyncio.sleep(HEAD_START_S)
                if kind in self._begun_s or self._store.get_complete(kind):
                    return
            await self._pull_in_time(heard, kind)
        finally:
            del self._pulls[kind]

    async def _pull_in_time(self, heard: PeerStateReceived, kind: str) -> None:
        pulling = asyncio.ensure_future(self._pull_from(heard, kind))
        try:
            await asyncio.wait([pulling], timeout=HAND_ON_MAX_S)
            newest = self._tellers[kind]
            if pulling.done() and newest is not heard and self.has_news(kind):
                # Another change came meanwhile.
                await self._pull_from(newest, kind)
            if self.has_news(kind):
                self._wanted[kind].set()
            await pulling
        finally:
            pulling.cancel()

    def _is_first_answer_due(self, kind: str) -> bool:
        # Half of a fleet may start at once.  Each of them hears of a peer before the
        # platform's first byte is there, most of the same few that were left: these had
        # to send a manifest to five routers, and their own callers were refused for two
        # seconds.
        return kind in self._asking and self._store.get_complete(kind) == 0

    async def _pull_from(self, heard: PeerStateReceived, kind: str) -> None:
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

    async def _follow(self, kind: str) -> None:
        must_list = True
        wait_s: float | None = None
        retry_s = FIRST_RETRY_S
        while True:
            wait_s = 0.0 if await self._rest(kind) else wait_s
            must_list = must_list or self._must_list(kind)
            try:
                await (self._list(kind) if must_list else self._watch(kind, wait_s))
                must_list, wait_s, retry_s = False, None, FIRST_RETRY_S
                self._report(lost=False)
                await asyncio.sleep(self._pause_s)
            except (WatchLost, AnswerTooLong):
                must_list = True
            except PlatformUnavailable as error:
                self._report(lost=True, reason=error.message)
                self.on_refused(kind, self._clock())
                # After an outage a router that has the configuration asks what
                # changed.  Were all to list everything at once, the platform, just
                # back, would have to send 370 times a megabyte.  It asks without
                # waiting, so that the platform counts as back at once.
                must_list = self._store.get_complete(kind) == 0
                wait_s = 0.0
                await self._pause_before_retry(kind, retry_s * random.uniform(0.5, 1.0))
                retry_s = self.find_retry_s(retry_s)

    async def _pause_before_retry(self, kind: str, retry_s: float) -> None:
        if kind == self._kinds[0] or retry_s < RETRY_MIN_S / 2:
            await asyncio.sleep(retry_s)
            return
        # Whether the platform is back is found out with the first kind alone.
        self._back.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(BACK_SOON_FACTOR * retry_s):
                await self._back.wait()

    def _must_list(self, kind: str) -> bool:
        reading = self._readings.get(kind)
        return reading is not None and reading.must_list(self._store.digest(kind))

    async def _rest(self, kind: str) -> bool:
        """Wait as long as others' evidence is enough; return whether that was so."""
        has_rested = False
        wanted = self._wanted[kind]
        if not self.has_news(kind):
            # What was wanted has come with the answer before.
            wanted.clear()
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
        await self._read(kind, self._platform.list, 0.0, whole=True)

    async def _watch(self, kind: str, wait_s: float | None) -> None:
        since = self._store.get_complete(kind)
        if wait_s is None:
            wait_s = self.find_watch_s(kind) or self._platform.watch_wait_s
        reading = self._readings.get(kind)
        max_bytes = None if reading is None else reading.watch_max_bytes

        def ask(kind: str, on_begin: Callable[[], None]) -> Awaitable[Listing]:
            return self._platform.watch(kind, since, wait_s, on_begin, max_bytes)

        await self._read(kind, ask, wait_s, whole=False)

    async def _read(
        self,
        kind: str,
        ask: Callable[[str, Callable[[], None]], Awaitable[Listing]],
        wait_s: float,
        whole: bool,
    ) -> None:
        is_over = False
        asked_s = self._clock()

        def begin() -> None:
            # A call that was given up may still be answered; taken for one that is
            # being read, it would keep this router from asking its peers for good.
            if not is_over:
                self._begun_s.setdefault(kind, self._clock())

        self._asking.add(kind)
        try:
            listing = await ask(kind, begin)
            begun_s = self._begun_s.get(kind, self._clock())
        finally:
            is_over = True
            self._asking.discard(kind)
            self._begun_s.pop(kind, None)
        source = "list" if whole else "watch"
        taken = self._take(_to_changes(kind, listing, whole), source)
        # Told before, others would take what this router held until now for what the
        # platform has just said.
        answer = StoreAnswer(asked_s, begun_s, wait_s, not listing.items)
        self.on_answer(kind, self._answer_times.find_as_of_s(answer))
        self._answer_times.observe(answer)
        if listing.items:
            self.on_read(kind, self._clock() - begun_s)
        reading = self._readings.get(kind)
        if reading is not None and whole:
            reading.observe_list(bool(taken), listing.size_bytes)
        elif reading is not None:
            reading.observe_watch(item.name for item in listing.items)

    def _take(self, changes: ChangeSet, source: str) -> list[ObjectVersion]:
        self._behind_since_s.pop(changes.kind, None)
        taken = self._store.apply_changes(changes)
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
        return taken

    def _report(self, lost: bool, reason: str = "") -> None:
        if lost and not self._lost:
            self._lost_s = self._clock()
            log_event(PLATFORM_LOST, reason=reason)
        elif self._lost and not lost:
            log_event(PLATFORM_BACK)
            self._back.set()
        self._lost = lost
        self.on_store(lost)


def _to_changes(kind: str, listing: Listing, whole: bool) -> ChangeSet:
    objects = tuple(ObjectVersion(*item) for item in listing.items)
    return ChangeSet(kind, objects, listing.revision, whole)
