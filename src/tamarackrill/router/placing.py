"""Places calls on endpoints: asks the decisions, and logs what they decide."""

from collections.abc import Callable, Collection
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.health import Health
from tamarackrill.decisions.poison import (
    CRASHES_MAX,
    CrashCount,
    PoisonTracker,
    shorten_fingerprint,
)
from tamarackrill.decisions.reservations import RESERVATION_ATTEMPTS_MAX, must_reserve
from tamarackrill.decisions.routing import (
    LOAD_FACTOR_DEFAULT,
    EndpointChoice,
    LoadBalancer,
    PlacementRequest,
)
from tamarackrill.events import (
    ENDPOINT_CRASHED,
    ENDPOINT_EJECTED,
    ENDPOINT_RETURNED,
    log_event,
)
from tamarackrill.router.calls import Call
from tamarackrill.router.owners import UNCOUNTED, Owners, Ticket

# Prompts are mostly English or Welsh text, at about four bytes a token; only their
# order of size matters, between two engines that hold parts of the same chat.
TOKEN_BYTES = 4
# An attempt that ended this close to its deadline was ended by it.
DEADLINE_SLACK_S = 0.05


class PlacementResult(NamedTuple):
    """An endpoint that was chosen, why, and the reservation there."""

    endpoint: Endpoint
    reason: str
    runners_up: tuple[str, ...]
    ticket: Ticket = UNCOUNTED


class Placer:
    """Knows the endpoints, their health and what runs on each.

    Parameters
    ----------
    list_endpoints : callable
        Returns all endpoints known now.
    load_factor : float, optional
        Multiple of the mean load that no endpoint exceeds.
    zone : str, optional
        Availability zone of this router, and so of its callers.
    owners : Owners, optional
        Where reservations are made; without it the estimate alone decides.

    Attributes
    ----------
    tell_crash : callable
        Called with what to tell the peers when an endpoint has crashed.
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
        self._known: set[str] = set()
        self.placement = LoadBalancer(load_factor)
        self.health = Health()
        self.poison = PoisonTracker()
        self.tell_crash: Callable[[CrashCount], None] = lambda count: None

    def update_endpoints(self, now_s: float) -> None:
        """Take note of endpoints that have joined or left."""
        names = {endpoint.name for endpoint in self._list_endpoints()}
        for name in names - self._known:
            self.health.observe_present(name, now_s)
        for name in self._known - names:
            self.health.observe_absent(name, now_s)
        self._known = names

    def list_candidates(self, call: Call) -> list[Endpoint]:
        """Return the live endpoints that serve what the call asks for."""
        return [
            endpoint
            for endpoint in self._list_endpoints()
            if endpoint.kind == call.kind
            and call.pool in endpoint.serves
            and endpoint.state == "live"
        ]

    def count_free(self, call: Call, now_s: float) -> int:
        """Return how many more calls the pool can take."""
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
        """Return where the call should go, or None if no endpoint can take it.

        Raises
        ------
        Refusal
            If the call has crashed too many endpoints.
        """
        allowed = self._list_allowed(call, now_s)
        refused = set(avoid)
        for _ in range(RESERVATION_ATTEMPTS_MAX - 1):
            choice = self._choose(call, allowed, refused, now_s)
            if choice is None:
                break
            if not self._needs_owner(choice, len(allowed)):
                return PlacementResult(
                    choice.endpoint, choice.reason, choice.runners_up
                )
            placed = await self._reserve(call, choice, now_s)
            if placed is not None:
                return placed
            refused.add(choice.endpoint.name)
        if refused == set(avoid):
            return None
        # All that were asked refused, by means that lag behind a burst.
        last = self._choose_emptiest(allowed, avoid, now_s)
        return await self._reserve(call, last, now_s, is_last=True) if last else None

    def choose(
        self, call: Call, avoid: Collection[str], now_s: float
    ) -> PlacementResult | None:
        """Return where the call would go by this router's estimate; for queries.

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
        """Return whether an endpoint, free or full, may take the call.

        An ejected one may not.  A call that failed at all others would otherwise wait
        for it until its deadline, while its caller could have come back by then.
        """
        return any(e.name not in avoid for e in self._list_allowed(call, now_s))

    def release(self, placed: PlacementResult) -> None:
        """End the reservation of a call, whose attempts are over."""
        if self._owners is not None and placed.ticket != UNCOUNTED:
            self._owners.release(placed.ticket)

    def _choose(
        self,
        call: Call,
        allowed: list[Endpoint],
        refused: Collection[str],
        now_s: float,
    ) -> EndpointChoice | None:
        fingerprint = shorten_fingerprint(call.fingerprint)
        self.poison.check(fingerprint, now_s)
        names = [endpoint.name for endpoint in allowed]
        shares = self.health.find_slow_start_shares(names, now_s)
        request = _make_request(call, self._zone)
        suspected = self.poison.find_endpoints_to_avoid(fingerprint, now_s).union(
            refused
        )
        choice = self.placement.choose(request, allowed, now_s, shares, suspected)
        if choice is not None:
            return choice
        # A suspect that nobody can take apart from others still has to run: with one
        # engine left it would otherwise be refused for that engine's own crash.
        return self.placement.choose(request, allowed, now_s, shares, refused)

    def _choose_emptiest(
        self, allowed: list[Endpoint], avoid: Collection[str], now_s: float
    ) -> EndpointChoice | None:
        names = [endpoint.name for endpoint in allowed]
        loads = self.placement.loads.estimate(names, now_s)
        open_ones = [
            (load, endpoint.name, endpoint)
            for load, endpoint in zip(loads, allowed, strict=True)
            if endpoint.name not in avoid and load < endpoint.slots
        ]
        return EndpointChoice(min(open_ones)[2], "emptiest") if open_ones else None

    def _needs_owner(self, choice: EndpointChoice, pool_size: int) -> bool:
        is_engine = choice.endpoint.kind == "engine"
        return (
            self._owners is not None and is_engine and must_reserve(choice, pool_size)
        )

    async def _reserve(
        self, call: Call, choice: EndpointChoice, now_s: float, is_last: bool = False
    ) -> PlacementResult | None:
        assert self._owners is not None
        name = choice.endpoint.name
        # The call counts while the owner is asked.  Otherwise its slot would be taken
        # for free and the next call admitted to it.
        self.placement.loads.start(name, now_s)
        lapses_s = max(0.0, call.deadline_s - now_s)
        try:
            grant, ticket = await self._owners.reserve(
                choice.endpoint, lapses_s, is_last
            )
        finally:
            self.placement.loads.finish(name, now_s)
        if grant is not None:
            others = grant.in_flight - grant.is_granted
            self.placement.observe_report(name, others, now_s, now_s)
            if not grant.is_granted:
                return None
        return PlacementResult(
            choice.endpoint, choice.reason, choice.runners_up, ticket
        )

    def start(self, call: Call, endpoint: Endpoint, now_s: float) -> None:
        """Count a call as running."""
        request = _make_request(call, self._zone)
        self.placement.start(endpoint.name, request, now_s)
        fingerprint = shorten_fingerprint(call.fingerprint)
        self.poison.start(fingerprint, endpoint.name, now_s)

    def finish(
        self,
        call: Call,
        endpoint: Endpoint,
        outcome: str,
        first_byte_s: float | None,
        now_s: float,
    ) -> None:
        """Count a call as over.

        Parameters
        ----------
        call : Call
            The call.
        endpoint : Endpoint
            Where it ran.
        outcome : {"answered", "refused", "not_sent", "cut", "cancelled"}
            How it went; ``"refused"`` is an answer with a status of 500 or above.
        first_byte_s : float or None
            Time from sending to the first byte of the answer.
        now_s : float
            Present time.
        """
        self.placement.finish(endpoint.name, now_s)
        fingerprint = shorten_fingerprint(call.fingerprint)
        self.poison.finish(fingerprint, endpoint.name)
        if outcome == "cancelled":
            return
        if outcome == "cut" and now_s < call.deadline_s - DEADLINE_SLACK_S:
            self._take_crash(fingerprint, endpoint.name, now_s)
            return
        if outcome == "answered":
            self.poison.observe_success(fingerprint)
        # The first byte of a whole answer comes when all of it has been generated;
        # a pool's times would then tell the length of answers, not a slow endpoint.
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
        """Take the result of a probe of an ejected endpoint."""
        pool = [
            other.name
            for other in self._list_endpoints()
            if other.kind == endpoint.kind and set(other.serves) & set(endpoint.serves)
        ]
        if self.health.observe_probe(endpoint.name, is_ok, first_byte_s, pool, now_s):
            log_event(ENDPOINT_RETURNED, endpoint=endpoint.name)

    def describe(self) -> list[dict[str, object]]:
        """Return each endpoint with what runs on it, for queries."""
        return [
            {
                **endpoint._asdict(),
                "running": self.placement.loads.own(endpoint.name),
            }
            for endpoint in self._list_endpoints()
        ]

    def _list_allowed(self, call: Call, now_s: float) -> list[Endpoint]:
        candidates = self.list_candidates(call)
        names = [endpoint.name for endpoint in candidates]
        allowed = set(self.health.find_allowed(names, now_s))
        return [endpoint for endpoint in candidates if endpoint.name in allowed]

    def _take_crash(self, fingerprint: int, endpoint: str, now_s: float) -> None:
        self.health.observe_crash(endpoint, now_s)
        if not self.poison.observe_crash(fingerprint, endpoint, now_s):
            return
        crashed = self.poison.find_crashed_endpoints(fingerprint, now_s)
        log_event(
            ENDPOINT_CRASHED,
            endpoint=endpoint,
            fingerprint=f"{fingerprint:016x}",
            crashed=sorted(crashed),
        )
        self.tell_crash(CrashCount(fingerprint, len(crashed)))
        if len(crashed) >= CRASHES_MAX:
            for name in crashed:
                self.health.retract_crash(name, now_s)


def _make_request(call: Call, zone: str) -> PlacementRequest:
    chat = f"{call.team}\n{call.chat}" if call.chat and call.kind == "engine" else ""
    tokens = len(call.body) // TOKEN_BYTES
    return PlacementRequest(call.request_id, chat, zone, tokens)
