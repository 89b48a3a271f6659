"""Placement of requests on the platform's interface, with what they must reserve."""

import contextlib
from collections.abc import Awaitable, Callable, Collection

from tamarackrill.decisions.brittle import RESERVATION_ATTEMPTS_MAX
from tamarackrill.exceptions import Refusal
from tamarackrill.router.attempt_results import AttemptResult
from tamarackrill.router.brittle_slots import BrittleSlots
from tamarackrill.router.capacity.slot_client import SlotClient
from tamarackrill.router.cold_permits import ColdPermits
from tamarackrill.router.edge_placing import EdgePlacement, EdgePlacer, Overloaded
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.prompt_guard import PromptGuard
from tamarackrill.router.relay_client import RelayClient
from tamarackrill.router.request_progress import RequestAttempt, RequestProgress
from tamarackrill.router.unexpected_errors import tolerate
from tamarackrill.router.version_keepers import VersionKeepers

UNAVAILABLE_STATUS = 503
# Cold endpoints for which a request asks permits before it goes to one that isn't cold:
# an answer takes a few milliseconds, and a silent owner ten times that.
PERMIT_REQUESTS_MAX = 2
# How often a request without an endpoint waits for news of them.  The first reply of
# other routers may come from one that is cut off too.
NEWS_WAITS_MAX = 3


class PlacementRefusal(Refusal):
    """No endpoint may get a request now; when to retry is not known."""


class _AllCold(PlacementRefusal):
    """All endpoints that could take a request are cold and get enough already."""

    def __init__(self) -> None:
        super().__init__("cold", UNAVAILABLE_STATUS, "all endpoints are starting")


class _AllFull(PlacementRefusal):
    """No brittle endpoint has a free slot."""

    def __init__(self) -> None:
        super().__init__("full", UNAVAILABLE_STATUS, "all endpoints are full")


class _VersionUnknown(PlacementRefusal):
    """It is not known at which software version a stream began."""

    def __init__(self) -> None:
        message = "the software version that began the stream is not known"
        super().__init__("version_unknown", UNAVAILABLE_STATUS, message)


class EdgeReserver:
    """Places requests, and reserves what they need at their endpoints.

    Parameters
    ----------
    placer : EdgePlacer
        Chooses endpoints.
    clock : callable
        Returns the present time.
    metrics : Metrics
        Counts unexpected errors.

    Attributes
    ----------
    permits : ColdPermits or None
        Permits requests to cold endpoints; None permits all of them.
    slots : BrittleSlots or None
        Reserves slots of brittle endpoints; None reserves none.
    keepers : VersionKeepers or None
        Know the software versions of streams; None lets a stream go on anywhere.
    guard : PromptGuard or None
        Keeps parts of prompts that crash endpoints away from these; None keeps none.
    capacity : SlotClient or None
        Asks for slots of services whose capacity is shared; None asks for none.
    relays : RelayClient or None
        Other routers through which endpoints are reached.
    read_moved : callable
        ``await read_moved(service)`` reads the endpoints of a service again if they
        have moved, and returns whether it has.
    """

    def __init__(
        self, placer: EdgePlacer, clock: Callable[[], float], metrics: Metrics
    ) -> None:
        self._placer = placer
        self._clock = clock
        self._metrics = metrics
        self.permits: ColdPermits | None = None
        self.slots: BrittleSlots | None = None
        self.keepers: VersionKeepers | None = None
        self.guard: PromptGuard | None = None
        self.capacity: SlotClient | None = None
        self.relays: RelayClient | None = None
        self.read_moved: Callable[[str], Awaitable[bool]] = _read_nothing

    def _find_closed(self, attempt: RequestAttempt) -> Collection[str]:
        """Return the endpoints that must not get the request's prompt.

        Raises
        ------
        Refusal
            If these are all endpoints of its service.
        """
        if self.guard is not None and attempt.trial is None:
            found = self.guard.find_closed(attempt.progress.call.prompt)
            attempt.closed, attempt.trial = found
        return attempt.closed

    def end_trial(self, attempt: RequestAttempt) -> None:
        """End the trial that an attempt is of a suspect part of its prompt."""
        if self.guard is not None and attempt.trial is not None:
            self.guard.end_trial(attempt.trial)
            attempt.trial = None

    async def _restrict_version(self, progress: RequestProgress) -> None:
        """Find the version that a stream which a client takes up may go on at.

        Raises
        ------
        _VersionUnknown
            If it may have begun at more than one.
        """
        call = progress.call
        is_known = bool(progress.software_version)
        if is_known or not call.is_taken_up or self.keepers is None:
            return
        version = await self.keepers.find_version(call)
        if version is None:
            raise _VersionUnknown
        progress.software_version = version

    async def place(self, attempt: RequestAttempt) -> EdgePlacement | None:
        """Choose an endpoint for an attempt, and reserve a slot if that is needed.

        Returns
        -------
        EdgePlacement or None
            None if no endpoint can take the request.

        Raises
        ------
        Refusal
            If no endpoint may get it now.
        """
        progress = attempt.progress
        await self._restrict_version(progress)
        slots = self.slots
        if slots is None or not slots.must_reserve(progress.call):
            placed = await self._choose(attempt, frozenset())
            return await self._share(attempt, placed)
        refused: set[str] = set()
        while len(refused) < RESERVATION_ATTEMPTS_MAX:
            placed = await self._choose(attempt, refused)
            if placed is None:
                break
            with self._tolerate("reserve", attempt, placed):
                reserved = await slots.reserve(progress.call, placed)
                if reserved is not None:
                    return reserved
            refused.add(placed.endpoint.name)
        if refused:
            raise _AllFull
        return None

    def finish(self, placed: EdgePlacement, result: AttemptResult | None) -> None:
        """End what was reserved for an attempt.

        Parameters
        ----------
        placed : EdgePlacement
            The placement.
        result : AttemptResult or None
            Result of the attempt; None if it was not made or its client disconnected.
        """
        has_run = result is not None and result.outcome in ("answered", "failed")
        if self.slots is not None:
            is_rejected = result is not None and result.outcome == "not_run"
            self.slots.finish(placed, is_rejected, has_run)
        if self.capacity is not None:
            took_s = result.first_s if result is not None and has_run else None
            self.capacity.finish(placed, result.load if result else None, took_s)

    def _tolerate(
        self, step: str, attempt: RequestAttempt, placed: EdgePlacement | None
    ) -> contextlib.AbstractContextManager[None]:
        """Pass over an undeclared error, as if the step had granted nothing."""
        name = "" if placed is None else placed.endpoint.name
        return tolerate(self._metrics, step, attempt.progress.call.request_id, name)

    async def _share(
        self, attempt: RequestAttempt, placed: EdgePlacement | None
    ) -> EdgePlacement | None:
        """Ask for a slot if the capacity of the request's service is shared.

        Raises
        ------
        NoCapacity
            If it gets none.
        """
        progress = attempt.progress
        call, capacity, permits = progress.call, self.capacity, self.permits
        if capacity is None or not capacity.must_ask(call, placed):
            return placed
        others = self._find_others(progress)
        avoid = [*progress.find_avoided(), *attempt.closed, *others]
        if permits is not None:
            # A request that has a permit for a cold endpoint goes there.
            if placed is not None and permits.must_request(placed.endpoint):
                return placed
            avoid += permits.find_cold()
        with self._tolerate("acquire", attempt, placed):
            granted = await capacity.acquire(call, placed, avoid)
            if granted is not None:
                return granted
        # Without a grant, as loads and endpoints are known after the wait.
        return await self._choose(attempt, frozenset())

    async def _choose(
        self, attempt: RequestAttempt, full: Collection[str]
    ) -> EdgePlacement | None:
        """Choose an endpoint that may get the request; None if none can take it.

        Raises
        ------
        Refusal
            If no endpoint may get it now.
        """
        progress, permits = attempt.progress, self.permits
        call = progress.call
        closed = self._find_closed(attempt)
        refused: set[str] = set()
        permit_requests = news_waits = 0
        while True:
            # Endpoints may have joined while the request waited.
            others = self._find_others(progress)
            avoid = progress.find_avoided().union(refused, full, closed, others)
            placed = self._choose_settled(attempt, avoid)
            if placed is None and refused:
                raise _AllCold
            if placed is None and news_waits < NEWS_WAITS_MAX:
                news_waits += 1
                if await self._wait_news(attempt):
                    continue
            if placed is None or permits is None:
                return placed
            if not permits.must_request(placed.endpoint):
                return placed
            if permit_requests < PERMIT_REQUESTS_MAX:
                permit_requests += 1
                with self._tolerate("request permit", attempt, placed):
                    if await permits.request(call.request_id, placed.endpoint):
                        return placed
                refused |= permits.find_refused()
            else:
                refused |= permits.find_cold()
            refused.add(placed.endpoint.name)

    def _choose_settled(
        self, attempt: RequestAttempt, avoid: Collection[str]
    ) -> EdgePlacement | None:
        """Choose an endpoint, if possible of a version that all routers know.

        Raises
        ------
        Refusal
            If no endpoint may get the request now.
        """
        call, now_s = attempt.progress.call, self._clock()
        may_refuse = not attempt.find_history().sent
        joining = self._find_joining(attempt.progress)
        if joining:
            with contextlib.suppress(Overloaded):
                settled = joining.union(avoid)
                placed = self._placer.choose(call, settled, now_s, may_refuse)
                if placed is not None:
                    return placed
        return self._placer.choose(call, avoid, now_s, may_refuse)

    def _find_joining(self, progress: RequestProgress) -> set[str]:
        call = progress.call
        is_new = not progress.software_version and not call.is_taken_up
        if self.keepers is None or not is_new or not call.route.is_resumable:
            return set()
        return self.keepers.find_joining(call.service)

    def _find_others(self, progress: RequestProgress) -> set[str]:
        """Return the endpoints of other versions than the one that began the stream."""
        return self._placer.find_other_versions(
            progress.call.service, progress.software_version
        )

    async def _wait_news(self, attempt: RequestAttempt) -> bool:
        """Wait for news of endpoints; return whether there may be any."""
        relays = self.relays
        if relays is not None and await relays.wait_replies():
            return True
        with self._tolerate("read endpoints", attempt, None):
            return await self.read_moved(attempt.progress.call.service)
        return False


async def _read_nothing(service: str) -> bool:
    return False
