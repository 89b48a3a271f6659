"""Selects endpoints for calls and feeds outcomes back to health and load tracking."""

from collections.abc import Callable, Collection
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.backoff import Backoffs
from tamarackrill.decisions.health import Health
from tamarackrill.decisions.poison import (
    CrashCount,
    PoisonTracker,
    shorten_fingerprint,
)
from tamarackrill.decisions.prompt_reports import (
    TrialReport,
)
from tamarackrill.decisions.reservations import RESERVATION_ATTEMPTS_MAX, must_reserve
from tamarackrill.decisions.routing import (
    LOAD_FACTOR_DEFAULT,
    EndpointChoice,
    LoadBalancer,
    PlacementRequest,
)
from tamarackrill.decisions.set_aside import SetAside
from tamarackrill.events import (
    ENDPOINT_BACKOFF,
    ENDPOINT_CRASHED,
    ENDPOINT_EJECTED,
    ENDPOINT_RETURNED,
    log_event,
)
from tamarackrill.router.calls import Call
from tamarackrill.router.owners import UNCOUNTED, Owners, Ticket
from tamarackrill.router.prompt_guard import SOUND_EVENTS_MIN, Exposure, PromptGuard
from tamarackrill.router.unexpected_errors import leave_out_faulty

# Prompts are mostly English or Welsh text, at about four bytes per token.  The result
# only needs the right order of magnitude, to compare two engines that cache parts of
# the same chat.
TOKEN_BYTES = 4
# An attempt that ended this close to its deadline counts as timed out, not crashed.
DEADLINE_SLACK_S = 0.05


class PlacementResult(NamedTuple):
    """The selected endpoint, the reason, and the reservation there."""

    endpoint: Endpoint
    reason: str
    runners_up: tuple[str, ...]
    ticket: Ticket = UNCOUNTED


class Placer:
    """Selects endpoints by their health, load and reservations.

    Parameters
    ----------
    list_endpoints : callable
        Returns all known endpoints.
    load_factor : float, optional
        Maximum load of an endpoint as a multiple of the mean load.
    zone : str, optional
        Availability zone of this router, and so of its callers.
    owners : Owners, optional
        Grants reservations; without it only load estimates are used.

    Attributes
    ----------
    tell_crash : callable
        Called with the crash count to send to peers when an endpoint has crashed.
    guard : PromptGuard or None
        Keeps parts of prompts that crash endpoints away from these; None keeps none.
    """

    def __init__(
        self,
        list_endpoints: Callable[[], list[Endpoint]],
        load_factor: float = LOAD_FACTOR_DEFAULT,
        zone: str = "",
        owners: Owners | None = None,
    ) -> None:
        self._list_endpoints = list_endpoints
        self._owners = owners
        self._zone = zone
        self._known_names: set[str] = set()
        self.placement = LoadBalancer(load_factor)
        self.health = Health()
        self.backoffs = Backoffs()
        self.poison = PoisonTracker()
        self.tell_crash: Callable[[CrashCount], None] = lambda count: None
        self._set_aside = SetAside()
        self.guard: PromptGuard | None = None
        # Trials of parts, and what endpoints are exposed to, by request.
        self._trials: dict[str, TrialReport] = {}
        self._exposures: dict[str, Exposure] = {}

    def update_endpoints(self, now_s: float) -> None:
        """Update health tracking for endpoints that have joined or left."""
        names = {endpoint.name for endpoint in self._list_endpoints()}
        for name in names - self._known_names:
            self.health.observe_present(name, now_s)
        for name in self._known_names - names:
            self.health.observe_absent(name, now_s)
        self._known_names = names

    def list_candidates(self, call: Call) -> list[Endpoint]:
        """Return the live endpoints that serve the call's model or service."""
        return [
            endpoint
            for endpoint in self._list_endpoints()
            if endpoint.kind == call.kind
            and call.pool in endpoint.serves
            and endpoint.state == "live"
        ]

    def _takes_work(self, call: Call, endpoint: Endpoint) -> bool:
        return any(
            (known.name, known.address) == (endpoint.name, endpoint.address)
            for known in self.list_candidates(call)
        )

    def count_free(self, call: Call, now_s: float) -> int:
        """Return the number of free slots in the pool of a call."""
        allowed = self._list_allowed(call, now_s)
        names = [endpoint.name for endpoint in allowed]
        loads = self.placement.loads.estimate(names, now_s)
        return sum(
            max(0, endpoint.slots - load)
            for endpoint, load in zip(allowed, loads, strict=True)
        )

    async def place(
        self, call: Call, avoid: Collection[str], now_s: float
    ) -> PlacementResult | None:
        """Select an endpoint, with a reservation if needed; None if all are full.

        Raises
        ------
        Refusal
            If the call has crashed too many endpoints, or a part of its prompt has.
        """
        avoid = {*avoid, *self._find_closed(call)}
        placed = None
        try:
            placed = await self._place(call, avoid, now_s)
        finally:
            if placed is None:
                self._end_trial(call)
        return placed

    def _find_closed(self, call: Call) -> Collection[str]:
        """Return the endpoints that must not get a call's prompt.

        Raises
        ------
        Refusal
            If these are all endpoints that serve the call.
        """
        if self.guard is None:
            return ()
        closed, trial = self.guard.find_closed(call.prompt)
        if trial is not None:
            self._trials[call.request_id] = trial
        return closed

    def _end_trial(self, call: Call) -> None:
        trial = self._trials.pop(call.request_id, None)
        if trial is not None and self.guard is not None:
            self.guard.end_trial(trial)

    async def _place(
        self, call: Call, avoid: Collection[str], now_s: float
    ) -> PlacementResult | None:
        refused = set(avoid)
        for _ in range(RESERVATION_ATTEMPTS_MAX - 1):
            allowed = self._list_allowed(call, now_s)
            choice = self._choose(call, allowed, refused, now_s)
            if choice is None:
                break
            if not self._needs_reservation(choice, len(allowed)):
                return PlacementResult(
                    choice.endpoint, choice.reason, choice.runners_up
                )
            placed = await self._reserve(call, choice, now_s)
            if placed is not None and placed.ticket == UNCOUNTED:
                allowed = self._list_allowed(call, now_s)
                return self._place_without_owner(allowed, placed, avoid, now_s)
            if placed is not None:
                return placed
            refused.add(choice.endpoint.name)
        if refused == set(avoid):
            return None
        # All owners that were asked refused, based on mean loads that lag behind a
        # burst.
        allowed = self._list_allowed(call, now_s)
        last = self._choose_least_loaded(allowed, avoid, now_s)
        return await self._reserve(call, last, now_s, is_last=True) if last else None

    def choose(
        self, call: Call, avoid: Collection[str], now_s: float
    ) -> PlacementResult | None:
        """Select an endpoint by this router's load estimates, without a reservation.

        Raises
        ------
        Refusal
            If the call has crashed too many endpoints.
        """
        allowed = self._list_allowed(call, now_s)
        choice = self._choose(call, allowed, avoid, now_s)
        if choice is None:
            return None
        return PlacementResult(choice.endpoint, choice.reason, choice.runners_up)

    def is_servable(self, call: Call, avoid: Collection[str], now_s: float) -> bool:
        """Return whether any endpoint, free or full, may run the call.

        Ejected endpoints may not.  A call that failed on all others would otherwise
        wait for one until its deadline, when its caller could have retried earlier.
        """
        return any(e.name not in avoid for e in self._list_allowed(call, now_s))

    def compute_backoff_s(self, call: Call, now_s: float) -> float:
        """Return how long until an endpoint takes calls of a pool again.

        Returns
        -------
        float
            Zero unless all endpoints that serve the call are in backoff.
        """
        names = [endpoint.name for endpoint in self.list_candidates(call)]
        return self.backoffs.compute_shortest_s(names, now_s) if names else 0.0

    def observe_retry_after(
        self, endpoint: Endpoint, retry_after_s: float, now_s: float
    ) -> None:
        """Record that an endpoint has asked for no calls for a while."""
        if self.backoffs.observe(endpoint.name, retry_after_s, now_s):
            log_event(
                ENDPOINT_BACKOFF, endpoint=endpoint.name, retry_after_s=retry_after_s
            )

    def release(self, placed: PlacementResult) -> None:
        """End the reservation of a call after its attempt."""
        if self._owners is not None and placed.ticket != UNCOUNTED:
            self._owners.release(placed.ticket)

    def _choose(
        self,
        call: Call,
        allowed: list[Endpoint],
        refused: Collection[str],
        now_s: float,
    ) -> EndpointChoice | None:
        self.poison.check(shorten_fingerprint(call.fingerprint), now_s)
        return leave_out_faulty(
            lambda left_out: self._compare(
                call, [e for e in allowed if e.name not in left_out], refused, now_s
            ),
            [endpoint.name for endpoint in allowed],
            self._set_aside,
            now_s,
            call.request_id,
        )

    def _compare(
        self,
        call: Call,
        allowed: list[Endpoint],
        refused: Collection[str],
        now_s: float,
    ) -> EndpointChoice | None:
        fingerprint = shorten_fingerprint(call.fingerprint)
        names = [endpoint.name for endpoint in allowed]
        shares = self.health.find_slow_start_shares(names, now_s)
        request = _make_request(call, self._zone)
        avoided = self.poison.find_endpoints_to_avoid(fingerprint, now_s).union(refused)
        choice = self.placement.choose(request, allowed, now_s, shares, avoided)
        if choice is not None:
            return choice
        # A suspect must still run if it can't be isolated from other calls: with one
        # engine left, it would otherwise be refused because of that engine's crash.
        return self.placement.choose(request, allowed, now_s, shares, refused)

    def _choose_least_loaded(
        self, allowed: list[Endpoint], avoid: Collection[str], now_s: float
    ) -> EndpointChoice | None:
        names = [endpoint.name for endpoint in allowed]
        loads = self.placement.loads.estimate(names, now_s)
        available = [
            (load, endpoint.name, endpoint)
            for load, endpoint in zip(loads, allowed, strict=True)
            if endpoint.name not in avoid and load < endpoint.slots
        ]
        return EndpointChoice(min(available)[2], "emptiest") if available else None

    def _place_without_owner(
        self,
        allowed: list[Endpoint],
        placed: PlacementResult,
        avoid: Collection[str],
        now_s: float,
    ) -> PlacementResult:
        """Return the least loaded endpoint, for a call whose owner did not answer.

        A silent owner still grants its own calls.  If each router filled the engine of
        a hot chat up to its own bound meanwhile, the engine would get a multiple of
        the bound; spread evenly, the calls of each router stay within its share.
        """
        least = self._choose_least_loaded(allowed, avoid, now_s)
        if least is None:
            return placed
        names = [placed.endpoint.name, least.endpoint.name]
        load, least_load = self.placement.loads.estimate(names, now_s)
        if load <= least_load:
            return placed
        return PlacementResult(least.endpoint, least.reason, (names[0],))

    def _needs_reservation(self, choice: EndpointChoice, pool_size: int) -> bool:
        is_engine = choice.endpoint.kind == "engine"
        return (
            self._owners is not None and is_engine and must_reserve(choice, pool_size)
        )

    async def _reserve(
        self, call: Call, choice: EndpointChoice, now_s: float, is_last: bool = False
    ) -> PlacementResult | None:
        assert self._owners is not None
        name = choice.endpoint.name
        # The call counts as running while the owner is asked.  Otherwise its slot would
        # appear free and the next call would be admitted to it.
        self.placement.loads.start(name, now_s)
        expires_in_s = max(0.0, call.deadline_s - now_s)
        try:
            grant, ticket = await self._owners.reserve(
                choice.endpoint, expires_in_s, is_last
            )
        finally:
            self.placement.loads.finish(name, now_s)
        if not self._takes_work(call, choice.endpoint):
            # It has begun to leave while its owner was asked.
            if grant is not None and grant.is_granted:
                self._owners.release(ticket)
            return None
        if grant is not None:
            others = grant.in_flight - grant.is_granted
            self.placement.observe_report(name, others, now_s, now_s)
            if not grant.is_granted:
                return None
        return PlacementResult(
            choice.endpoint, choice.reason, choice.runners_up, ticket
        )

    def start(self, call: Call, endpoint: Endpoint, now_s: float) -> None:
        """Count a call as running on an endpoint."""
        request = _make_request(call, self._zone)
        self.placement.start(endpoint.name, request, now_s)
        fingerprint = shorten_fingerprint(call.fingerprint)
        self.poison.start(fingerprint, endpoint.name, now_s)
        if self.guard is not None:
            exposure = self.guard.record_sent(call.prompt, endpoint)
            if exposure is not None:
                self._exposures[call.request_id] = exposure

    def finish(
        self,
        call: Call,
        endpoint: Endpoint,
        outcome: str,
        first_byte_s: float | None,
        now_s: float,
        chunks: int = 0,
    ) -> None:
        """Count a call as ended and record its outcome.

        Parameters
        ----------
        call : Call
            The call.
        endpoint : Endpoint
            The endpoint that ran it.
        outcome : {"answered", "refused", "not_sent", "cut", "cancelled"}
            Outcome of the attempt; ``"refused"`` is a response status of at least 500.
        first_byte_s : float or None
            Time from sending to the first byte of the response.
        now_s : float
            Current time.
        chunks : int, default=0
            Events of a stream that the endpoint sent.
        """
        self.placement.finish(endpoint.name, now_s)
        has_begun = outcome == "answered" or chunks >= SOUND_EVENTS_MIN
        is_cut = outcome == "cut" and now_s < call.deadline_s - DEADLINE_SLACK_S
        self._tell_guard(call, has_begun, is_cut, now_s)
        fingerprint = shorten_fingerprint(call.fingerprint)
        self.poison.finish(fingerprint, endpoint.name)
        if outcome == "cancelled":
            return
        if is_cut:
            self.health.observe_crash(endpoint.name, now_s)
            self._record_crash(fingerprint, endpoint.name, now_s, is_late=has_begun)
            return
        if outcome == "answered":
            self.poison.observe_success(fingerprint)
        # Without streaming, the first byte arrives only after the whole response has
        # been generated, so it would measure response length, not endpoint latency.
        is_timed = call.stream or call.kind == "service"
        pool = [candidate.name for candidate in self.list_candidates(call)]
        is_ejected = self.health.observe_answer(
            endpoint.name,
            outcome == "answered",
            first_byte_s if is_timed else None,
            pool,
            now_s,
        )
        if is_ejected:
            log_event(ENDPOINT_EJECTED, endpoint=endpoint.name, outcome=outcome)

    def observe_probe(
        self, endpoint: Endpoint, is_ok: bool, first_byte_s: float | None, now_s: float
    ) -> None:
        """Record the result of probing an ejected endpoint."""
        pool = [
            other.name
            for other in self._list_endpoints()
            if other.kind == endpoint.kind and set(other.serves) & set(endpoint.serves)
        ]
        if self.health.observe_probe(endpoint.name, is_ok, first_byte_s, pool, now_s):
            log_event(ENDPOINT_RETURNED, endpoint=endpoint.name)

    def describe(self) -> list[dict[str, object]]:
        """Return all endpoints with their running calls, for the status page."""
        return [
            {
                **endpoint._asdict(),
                "running": self.placement.loads.own(endpoint.name),
            }
            for endpoint in self._list_endpoints()
        ]

    def _list_allowed(self, call: Call, now_s: float) -> list[Endpoint]:
        candidates = self.list_candidates(call)
        set_aside = self._set_aside.find(now_s)
        names = [e.name for e in candidates if e.name not in set_aside]
        allowed = leave_out_faulty(
            lambda left_out: set(
                self.health.find_allowed([n for n in names if n not in left_out], now_s)
            ),
            names,
            self._set_aside,
            now_s,
            call.request_id,
        )
        allowed -= self.backoffs.find(now_s)
        return [endpoint for endpoint in candidates if endpoint.name in allowed]

    def _tell_guard(
        self, call: Call, has_begun: bool, is_cut: bool, now_s: float
    ) -> None:
        exposure = self._exposures.pop(call.request_id, None)
        if self.guard is not None and exposure is not None:
            if has_begun:
                self.guard.record_sound(exposure)
            elif is_cut:
                self.guard.record_crash(exposure, now_s)
        self._end_trial(call)

    def _record_crash(
        self, fingerprint: int, endpoint: str, now_s: float, is_late: bool
    ) -> None:
        if not self.poison.observe_crash(fingerprint, endpoint, now_s, is_late):
            return
        crashed = self.poison.find_crashed_endpoints(fingerprint, now_s)
        log_event(
            ENDPOINT_CRASHED,
            endpoint=endpoint,
            fingerprint=f"{fingerprint:016x}",
            crashed=sorted(crashed),
        )
        self.tell_crash(self.poison.count_own(fingerprint, now_s))
        if self.poison.is_poison(fingerprint, now_s):
            for name in crashed:
                self.health.retract_crash(name, now_s)


def _make_request(call: Call, zone: str) -> PlacementRequest:
    chat = f"{call.team}\n{call.chat}" if call.chat and call.kind == "engine" else ""
    tokens = len(call.body) // TOKEN_BYTES
    return PlacementRequest(call.request_id, chat, zone, tokens)
