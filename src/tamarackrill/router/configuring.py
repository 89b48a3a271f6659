"""Synchronizes this router's configuration with the platform and its peers."""

import asyncio
import contextlib
import functools
import math
import random
from collections.abc import Awaitable, Callable

from tamarackrill.contracts import CONTRACT_KIND, ENDPOINT_KIND, EVACUATION_KIND
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
    STORE_RESTORED,
    log_event,
)
from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.background import log_task_failure, run_restarting
from tamarackrill.router.peer_api import PeerUnavailable
from tamarackrill.router.platform_client import AnswerTooLong, PlatformClient, WatchLost
from tamarackrill.store_api import Listing

KINDS = (CONTRACT_KIND, ENDPOINT_KIND, EVACUATION_KIND)
# 370 routers that retry three kinds every 5 s make 222 reads a second; the platform
# handles about 2,000.
RETRY_MIN_S = 0.5
RETRY_MAX_S = 5.0
# A kind that waits for the first kind to find the platform recovered waits longer than
# the first kind's own retry.
RECOVERY_WAIT_FACTOR = 2.0
# A failure right after a success is most often a closed connection; a longer backoff
# would only delay the next change.
FIRST_RETRY_S = 0.02
# A watch delivers a change within milliseconds; a peer is asked only if it did not.
PULL_AFTER_S = 1.0
# Time a router that has just started waits for the first byte from the platform before
# it also asks a peer.  A healthy platform takes up to 5 ms, over a loaded link some
# tens.
FIRST_PULL_DELAY_S = 0.15
# Time a peer that advertised a change has to send it before the platform is asked.  The
# peer may be frozen, or its link saturated.
PLATFORM_FALLBACK_S = 0.3

# Interval of queries for a polled kind, as a multiple of the time for which other kinds
# are watched: their answers come slightly later than that, and make most of them
# needless.
POLL_INTERVAL_FACTOR = 1.3

PullChanges = Callable[[str, str, int], Awaitable[ChangeSet]]


class ConfigurationSync:
    """Watches the platform, and pulls from peers what the watch did not deliver.

    Parameters
    ----------
    store : ConfigurationStore
        Stores the objects that were read.
    platform : PlatformClient
        Not owned.
    on_applied : callable
        Called with the list of objects that came into force; with an empty one when a
        polled kind turns out to have no objects.
    pull : callable
        ``await pull(address, kind, since)`` returns a peer's `ChangeSet`.
    clock : callable
        Returns the current time.
    kinds : tuple of str, optional
        Kinds of objects to synchronize.
    retry_max_s : float, optional
        Maximum backoff between failed calls.
    large_kinds : tuple of str, optional
        Kinds whose objects may be too large to transfer from a peer, or to read more
        versions than the newest; the platform is asked if a peer doesn't send them
        within `PLATFORM_FALLBACK_S`.
    polled_kinds : tuple of str, optional
        Kinds that change seldom.  They are queried without waiting for a change, and
        only if the answers for other kinds leave open whether they have changed.
    pause_s : float, optional
        Pause between an answer and the next call, so that changes close together need
        only one call.

    Attributes
    ----------
    on_platform_state : callable
        Called after each call with whether the platform is unavailable.
    on_answer : callable
        Called with the kind of an answer and the time as of which the answer is valid.
    on_current : callable
        Called with the kind of an answer to `read_changes`, and the time as of which it
        is valid.
    on_unchanged : callable
        Called likewise with each polled kind that an answer for another kind shows to
        be unchanged, before `on_answer`.
    on_unavailable : callable
        Called with the kind and the time of a call that failed.
    on_restored : callable
        Called with the kind whose store has been restored from a copy, before the
        changes that this brings are applied.
    on_read : callable
        Called with the kind of a change that was read, and the time from the answer's
        first byte until the change was in force.
    find_arrived_s : callable
        ``find_arrived_s(now_s)`` returns a time after which something that is read now
        has arrived, which is earlier after this router stood still.
    find_watch_s : callable
        ``find_watch_s(kind)`` returns the maximum wait of a watch; None for the
        client's default.
    find_resumed_s : callable
        Returns when this process last went on after a standstill.
    find_retry_s : callable
        ``find_retry_s(before_s)`` returns the backoff after a failed call, given the
        previous backoff.
    find_poll_delay_s : callable
        ``find_poll_delay_s(kind, now_s)`` returns for how long no call to the platform
        is needed, because another router's evidence is fresh.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        platform: PlatformClient,
        on_applied: Callable[[list[ObjectVersion]], None],
        pull: PullChanges,
        clock: Callable[[], float],
        kinds: tuple[str, ...] = KINDS,
        retry_max_s: float = RETRY_MAX_S,
        large_kinds: tuple[str, ...] = (),
        pause_s: float = 0.0,
        polled_kinds: tuple[str, ...] = (),
    ) -> None:
        self._polled_kinds = polled_kinds
        # As of when each polled kind was last known.
        self._known_as_of_s: dict[str, float] = {}
        self._pause_s = pause_s
        self._kinds = kinds
        self.find_retry_s: Callable[[float], float] = lambda before_s: min(
            retry_max_s, max(RETRY_MIN_S, before_s * 2)
        )
        self.on_platform_state: Callable[[bool], None] = lambda is_lost: None
        self.on_answer: Callable[[str, float], None] = lambda kind, as_of_s: None
        self.on_current: Callable[[str, float], None] = lambda kind, as_of_s: None
        self.on_unchanged: Callable[[str, float], None] = lambda kind, as_of_s: None
        self.on_unavailable: Callable[[str, float], None] = lambda kind, now_s: None
        self.on_restored: Callable[[str], None] = lambda kind: None
        self.on_read: Callable[[str, float], None] = lambda kind, read_s: None
        self.find_arrived_s: Callable[[float], float] = lambda now_s: now_s
        self.find_watch_s: Callable[[str], float | None] = lambda kind: None
        self.find_resumed_s: Callable[[], float] = lambda: -math.inf
        self.find_poll_delay_s: Callable[[str, float], float] = lambda kind, now_s: 0.0
        self._read_requested = {kind: asyncio.Event() for kind in kinds}
        # Set for the kinds that are read anew without waiting for a change.
        self._refresh_requested = {kind: asyncio.Event() for kind in kinds}
        self._store = store
        self._platform = platform
        self._on_applied = on_applied
        self._pull = pull
        self._clock = clock
        self._tasks: list[asyncio.Task[None]] = []
        self._pulls: dict[str, asyncio.Task[None]] = {}
        # Latest peer state, by kind, that advertises changes missing here.
        self._newest_advertised: dict[str, PeerStateReceived] = {}
        self._behind_since_s: dict[str, float] = {}
        self._read_planners = {kind: ReadPlanner() for kind in large_kinds}
        # When the first byte arrived, by kind, of the answers being read.
        self._first_byte_s: dict[str, float] = {}
        # Kinds with a call to the platform in progress.
        self._calls_in_progress: set[str] = set()
        self._answer_times = AnswerTimes()
        self._is_lost = False
        self._lost_s = -math.inf
        self._recovered = asyncio.Event()

    async def start(self) -> None:
        """Start the watches."""
        for kind in self._kinds:
            name = f"follow {kind}"
            run = functools.partial(self._sync, kind)
            self._tasks.append(
                asyncio.create_task(run_restarting(name, run), name=name)
            )

    async def stop(self) -> None:
        """Stop the watches and pulls."""
        tasks = [*self._tasks, *self._pulls.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def is_lost(self) -> bool:
        """Whether the platform is unavailable."""
        return self._is_lost

    def is_pulling(self, kind: str) -> bool:
        """Return whether another router is being asked for what is missing here."""
        return kind in self._pulls

    def request_news(self) -> None:
        """Ask the platform for all that has changed, without waiting for a change."""
        for kind in self._kinds:
            self._refresh_requested[kind].set()
            self._read_requested[kind].set()

    async def read_changes(self, kind: str) -> None:
        """Bring a kind up to date by a call that is sent now.

        Raises
        ------
        PlatformUnavailable
            If the platform did not answer.
        """
        asked_s = self._clock()
        since = self._store.get_complete(kind)
        try:
            if not since:
                raise WatchLost(f"no revision of {kind} is known")
            listing = await self._platform.watch(kind, since, wait_s=0.0)
            self._check_era(kind, listing, is_snapshot=False)
            self._apply_listing(kind, listing, is_snapshot=False)
        except WatchLost:
            listing = await self._platform.list(kind)
            self._check_era(kind, listing, is_snapshot=True)
            self._apply_listing(kind, listing, is_snapshot=True)
        self.on_current(kind, asked_s)

    async def read_news(self) -> bool:
        """Read what has changed, without waiting for changes.

        Returns
        -------
        bool
            Whether the platform has answered for all kinds.
        """
        known = [kind for kind in self._kinds if self._store.get_complete(kind)]
        outcomes = await asyncio.gather(
            *(self._watch(kind, 0.0) for kind in known), return_exceptions=True
        )
        failed = [outcome for outcome in outcomes if outcome is not None]
        for error in failed:
            # The watches handle an unavailable platform.
            if not isinstance(error, PlatformUnavailable):
                raise error
        return len(known) == len(self._kinds) and not failed

    def digest(self) -> tuple[ConfigurationDigest, ...]:
        """Return the digests of all kinds."""
        return tuple(self._store.digest(kind) for kind in self._kinds)

    def observe_peer_state(self, peer_state: PeerStateReceived) -> None:
        """Pull from a peer what it holds and this router still lacks after a delay."""
        for digest in peer_state.configuration:
            if digest.kind not in self._kinds or not self._store.is_comparable(digest):
                continue
            if not needs_changes(self._store.digest(digest.kind), digest):
                continue
            if digest.kind in self._read_planners:
                self._note_newer_version(digest)
                self._start_pull(peer_state, digest.kind)
                continue
            now_s = self._clock()
            since_s = self._behind_since_s.setdefault(digest.kind, now_s)
            # A router that has just started holds nothing.  If it waited for a platform
            # that doesn't answer, it would refuse its clients for another second.
            holds_nothing = self._store.get_complete(digest.kind) == 0
            is_late = now_s - since_s >= PULL_AFTER_S
            if holds_nothing or self._is_lost or is_late:
                self._start_pull(peer_state, digest.kind)

    def observe_evidence(
        self,
        sender: str,
        address: str,
        digest: ConfigurationDigest,
        as_of_s: float,
    ) -> None:
        """Process another router's evidence of a recent answer of the platform.

        The evidence also shows that the platform is available, if it is newer than this
        router's own loss of it.  A router whose calls were once refused, and that makes
        none since, would otherwise consider the platform lost forever, and mistake each
        endpoint that is removed for one whose entry has expired.
        """
        if as_of_s > self._lost_s:
            self._set_platform_lost(lost=False)
        if not self._store.is_comparable(digest):
            return
        if not needs_changes(self._store.digest(digest.kind), digest):
            is_first = self._is_first(digest.kind)
            self._store.adopt_complete_revision(digest)
            if is_first and self._store.get_complete(digest.kind):
                self._on_applied([])
            return
        if digest.kind in self._read_planners:
            self._note_newer_version(digest)
        peer_state = PeerStateReceived(sender, address, (digest,), PiggybackedEntries())
        self._start_pull(peer_state, digest.kind)

    def is_comparable(self, digest: ConfigurationDigest) -> bool:
        """Return whether evidence with this digest may tell of something newer."""
        return self._store.is_comparable(digest)

    def knows_newer_version(self, kind: str) -> bool:
        """Return whether another router is known to hold a newer version."""
        planner = self._read_planners.get(kind)
        return planner is not None and planner.knows_newer_version(
            self._store.digest(kind)
        )

    def _note_newer_version(self, digest: ConfigurationDigest) -> None:
        self._read_planners[digest.kind].observe_peer(digest)

    def _start_pull(self, peer_state: PeerStateReceived, kind: str) -> None:
        self._newest_advertised[kind] = peer_state
        # While an answer of the platform arrives, the same data from a peer would
        # compete for the link and delay both; for a manifest by half a second, at this
        # router and at the peer.
        if kind in self._pulls or kind in self._first_byte_s:
            return
        task = asyncio.create_task(self._pull_unless_read(peer_state, kind))
        task.add_done_callback(functools.partial(self._end_pull, kind))
        self._pulls[kind] = task

    def _end_pull(self, kind: str, task: asyncio.Task[None]) -> None:
        del self._pulls[kind]
        log_task_failure(task)

    async def _pull_unless_read(self, peer_state: PeerStateReceived, kind: str) -> None:
        if self._awaits_first_answer(kind):
            await asyncio.sleep(FIRST_PULL_DELAY_S)
            if kind in self._first_byte_s or self._store.get_complete(kind):
                return
        await self._pull_or_request_read(peer_state, kind)

    async def _pull_or_request_read(
        self, peer_state: PeerStateReceived, kind: str
    ) -> None:
        pulling = asyncio.ensure_future(self._pull_from(peer_state, kind))
        try:
            await asyncio.wait([pulling], timeout=PLATFORM_FALLBACK_S)
            newest = self._newest_advertised[kind]
            if (
                pulling.done()
                and newest is not peer_state
                and self.knows_newer_version(kind)
            ):
                # Another change was advertised during the pull.
                await self._pull_from(newest, kind)
            if self.knows_newer_version(kind):
                self._read_requested[kind].set()
            await pulling
        finally:
            pulling.cancel()

    def _awaits_first_answer(self, kind: str) -> bool:
        # When half of a fleet starts at once, each router learns of a peer before the
        # platform's first byte arrives, mostly of the same few that kept running.  If
        # each pulled, a peer would send the manifest to five routers and refuse its own
        # callers for two seconds.
        return kind in self._calls_in_progress and self._store.get_complete(kind) == 0

    async def _pull_from(self, peer_state: PeerStateReceived, kind: str) -> None:
        (digest,) = (d for d in peer_state.configuration if d.kind == kind)
        since = self._store.find_revision_to_pull(digest)
        try:
            changes = await self._pull(peer_state.address, kind, since)
            self._apply(changes, peer_state.sender)
        except PeerUnavailable as error:
            log_event(
                CONFIGURATION_PULL_FAILED,
                kind=kind,
                peer=peer_state.sender,
                reason=error.message,
            )

    async def _sync(self, kind: str) -> None:
        must_list = True
        wait_s: float | None = None
        retry_s = FIRST_RETRY_S
        while True:
            has_waited = await self._wait_while_fresh(kind)
            if has_waited or self._refresh_requested[kind].is_set():
                wait_s = 0.0
            self._refresh_requested[kind].clear()
            must_list = must_list or self._must_list(kind)
            asked_s = self._clock()
            try:
                await (self._list(kind) if must_list else self._watch(kind, wait_s))
                must_list, wait_s, retry_s = False, None, FIRST_RETRY_S
                self._set_platform_lost(lost=False)
                await self._pause(kind)
            except (WatchLost, AnswerTooLong):
                must_list = True
            except PlatformUnavailable as error:
                if asked_s < self.find_resumed_s():
                    # This process timed out, which says nothing of the platform.
                    must_list = self._store.get_complete(kind) == 0
                    wait_s = 0.0
                    continue
                self._set_platform_lost(lost=True, reason=error.message)
                self.on_unavailable(kind, self._clock())
                # After an outage, a router that holds the configuration asks only for
                # changes.  If all listed everything at once, the recovering platform
                # would send 370 times a megabyte.  The watch doesn't wait, so that the
                # recovery is detected at once.
                must_list = self._store.get_complete(kind) == 0
                wait_s = 0.0
                await self._pause_before_retry(kind, retry_s * random.uniform(0.5, 1.0))
                retry_s = self.find_retry_s(retry_s)

    async def _pause(self, kind: str) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._pause_s):
                await self._refresh_requested[kind].wait()

    async def _pause_before_retry(self, kind: str, retry_s: float) -> None:
        if kind == self._kinds[0] or retry_s < RETRY_MIN_S / 2:
            await asyncio.sleep(retry_s)
            return
        # Only the first kind's calls probe whether the platform has recovered.
        self._recovered.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECOVERY_WAIT_FACTOR * retry_s):
                await self._recovered.wait()

    def _must_list(self, kind: str) -> bool:
        planner = self._read_planners.get(kind)
        return planner is not None and planner.must_list(self._store.digest(kind))

    async def _wait_while_fresh(self, kind: str) -> bool:
        """Wait while other routers' evidence is fresh; return whether it waited."""
        has_waited = False
        read_requested = self._read_requested[kind]
        must_refresh = self._refresh_requested[kind].is_set()
        if not self.knows_newer_version(kind) and not must_refresh:
            # The previous answer has delivered the requested version.
            read_requested.clear()
        while not read_requested.is_set() and self._store.get_complete(kind):
            poll_delay_s = self._find_poll_delay_s(kind)
            if poll_delay_s <= 0.0:
                break
            has_waited = True
            try:
                async with asyncio.timeout(poll_delay_s):
                    await read_requested.wait()
            except TimeoutError:
                continue
        read_requested.clear()
        return has_waited

    def _find_poll_delay_s(self, kind: str) -> float:
        now_s = self._clock()
        delay_s = self.find_poll_delay_s(kind, now_s)
        if kind in self._polled_kinds:
            known_s = self._known_as_of_s.get(kind, -math.inf)
            interval_s = POLL_INTERVAL_FACTOR * self._find_watch_s(kind)
            delay_s = max(delay_s, known_s + interval_s - now_s)
        return delay_s

    def _find_watch_s(self, kind: str) -> float:
        return self.find_watch_s(kind) or self._platform.watch_wait_s

    async def _list(self, kind: str) -> None:
        await self._read(kind, self._platform.list, 0.0, is_snapshot=True)

    async def _watch(self, kind: str, wait_s: float | None) -> None:
        since = self._store.get_complete(kind)
        if wait_s is None:
            wait_s = self._find_watch_s(kind)
        if kind in self._polled_kinds:
            wait_s = 0.0
        planner = self._read_planners.get(kind)
        max_bytes = None if planner is None else planner.watch_max_bytes

        def ask(kind: str, on_first_byte: Callable[[], None]) -> Awaitable[Listing]:
            return self._platform.watch(kind, since, wait_s, on_first_byte, max_bytes)

        await self._read(kind, ask, wait_s, is_snapshot=False)

    async def _read(
        self,
        kind: str,
        ask: Callable[[str, Callable[[], None]], Awaitable[Listing]],
        wait_s: float,
        is_snapshot: bool,
    ) -> None:
        has_ended = False
        asked_s = self._clock()
        arrived_s: float | None = None

        def record_first_byte() -> None:
            nonlocal arrived_s
            # A call that timed out may still be answered.  Counted as an answer being
            # read, it would keep this router from ever pulling from its peers again.
            if not has_ended:
                now_s = self._clock()
                self._first_byte_s.setdefault(kind, now_s)
                arrived_s = self.find_arrived_s(now_s)

        self._calls_in_progress.add(kind)
        try:
            listing = await ask(kind, record_first_byte)
            begun_s = self._first_byte_s.get(kind, self._clock())
        finally:
            has_ended = True
            self._calls_in_progress.discard(kind)
            self._first_byte_s.pop(kind, None)
        self._check_era(kind, listing, is_snapshot)
        applied = self._apply_listing(kind, listing, is_snapshot)
        # Reported only after the changes are applied; otherwise other routers would
        # take the previous configuration for the platform's latest answer.
        answer = StoreAnswer(asked_s, begun_s, wait_s, not listing.items, arrived_s)
        as_of_s = self._answer_times.find_as_of_s(answer)
        self._record_polled(kind, listing.revision, as_of_s)
        self.on_answer(kind, as_of_s)
        self._answer_times.observe(answer)
        if listing.items:
            self.on_read(kind, self._clock() - begun_s)
        planner = self._read_planners.get(kind)
        if planner is not None and is_snapshot:
            planner.observe_list(bool(applied), listing.size_bytes)
        elif planner is not None:
            planner.observe_watch(item.name for item in listing.items)

    def _apply_listing(
        self, kind: str, listing: Listing, is_snapshot: bool
    ) -> list[ObjectVersion]:
        source = "list" if is_snapshot else "watch"
        era = listing.era or self._store.get_era(kind)
        changes = _to_changes(kind, listing._replace(era=era), is_snapshot)
        return self._apply(changes, source)

    def _check_era(self, kind: str, listing: Listing, is_snapshot: bool) -> None:
        known_era = self._store.get_era(kind)
        if listing.era and listing.era < known_era:
            raise PlatformUnavailable(
                f"platform: the answer is of era {listing.era}, before {known_era}"
            )
        if listing.era > known_era and not is_snapshot:
            raise WatchLost(f"the store is in era {listing.era}: list {kind} anew")

    def _record_polled(self, answered: str, revision: int, as_of_s: float) -> None:
        """Record which polled kinds an answer of any kind shows to be known."""
        for kind in self._polled_kinds:
            if kind == answered:
                self._known_as_of_s[kind] = as_of_s
            elif self._store.advance_if_unchanged(kind, self._kinds, revision):
                self._known_as_of_s[kind] = as_of_s
                self.on_unchanged(kind, as_of_s)

    def _apply(self, changes: ChangeSet, source: str) -> list[ObjectVersion]:
        self._behind_since_s.pop(changes.kind, None)
        is_first = self._is_first(changes.kind)
        before = self._store.digest(changes.kind)
        applied = self._store.apply_changes(changes)
        if before.complete and self._store.get_era(changes.kind) != before.era:
            self._log_restored(changes, before.complete, source)
            self.on_restored(changes.kind)
        for item in applied:
            log_event(
                CONFIGURATION_TAKEN,
                kind=item.kind,
                object=item.name,
                version=item.version,
                source=source,
            )
        if applied or is_first:
            self._on_applied(applied)
        return applied

    def _log_restored(self, changes: ChangeSet, complete: int, source: str) -> None:
        log_event(
            STORE_RESTORED,
            kind=changes.kind,
            era=changes.era,
            revision=changes.complete,
            revision_before=complete,
            source=source,
        )

    def _is_first(self, kind: str) -> bool:
        """Return whether a polled kind is not known yet."""
        return kind in self._polled_kinds and not self._store.get_complete(kind)

    def _set_platform_lost(self, lost: bool, reason: str = "") -> None:
        if lost and not self._is_lost:
            self._lost_s = self._clock()
            log_event(PLATFORM_LOST, reason=reason)
        elif self._is_lost and not lost:
            log_event(PLATFORM_BACK)
            self._recovered.set()
        self._is_lost = lost
        self.on_platform_state(lost)


def _to_changes(kind: str, listing: Listing, is_snapshot: bool) -> ChangeSet:
    objects = tuple(ObjectVersion(*item) for item in listing.items)
    return ChangeSet(kind, objects, listing.revision, is_snapshot, listing.era)
