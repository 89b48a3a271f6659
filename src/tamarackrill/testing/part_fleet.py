"""Fleet in virtual time whose endpoints crash on a part of prompts.

Drives `decisions.prompt_faults` for many routers without a network, to compare ways to
keep such a part away from endpoints.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from functools import partial
from typing import NamedTuple, Protocol

from tamarackrill.decisions.prompt_faults import Clearance, PromptFaults
from tamarackrill.decisions.prompt_reports import (
    BlockReport,
    CrashReport,
    SoundReport,
    TrialReport,
)

SCOPE = 1
TEAM = 1
BAD = 7
# How often a report is sent, and the pause between two sends.
SENDS = 3
SEND_INTERVAL_S = 0.25
# Time from the crash of an endpoint until its routers have checked it.
CHECK_S = 0.005
ATTEMPTS_MAX = 2

Report = CrashReport | SoundReport | TrialReport | BlockReport


class Faults(Protocol):
    """What a router knows of parts; `PromptFaults`, or another way to find them."""

    routers: int

    def check(
        self,
        scope: int,
        team: int,
        parts: Sequence[int],
        now_s: float,
        stagger_s: float = 0.0,
    ) -> Clearance:
        """Return whether a prompt may be sent."""

    def observe_crash(self, report: CrashReport, now_s: float) -> list[BlockReport]:
        """Record a crash; return new blocks."""

    def observe_sound(
        self, report: SoundReport, is_own: bool = False
    ) -> dict[int, float]:
        """Record an answer; return the parts that others should hear of."""

    def observe_block(self, report: BlockReport) -> list[SoundReport]:
        """Record a block that another router tells."""

    def begin_trial(self, report: TrialReport) -> None:
        """Record that a trial has begun."""

    def end_trial(self, report: TrialReport) -> None:
        """Record that a trial is over."""


class Load(NamedTuple):
    """Requests, endpoints and links of a fleet.

    Parameters
    ----------
    routers, endpoints : int
        Their numbers.
    rate_per_s : float
        Requests of the whole fleet.
    bad_share : float
        Share of the requests with the bad part.
    kills : tuple of (float, int)
        Times at which that many endpoints end for another reason.
    shared_parts, session_parts : int
        Parts that many prompts share, of which each has one, and those of a session.
    prefill_s, answer_s : float
        Time until an answer begins, and from then on to its end.
    down_s : float
        Time until a crashed endpoint is back.
    delay_s : float
        Largest delay of a message between routers.
    loss : float
        Share of these messages that are lost.
    """

    routers: int
    endpoints: int
    rate_per_s: float
    bad_share: float = 0.0
    kills: tuple[tuple[float, int], ...] = ()
    shared_parts: int = 4
    session_parts: int = 200
    prefill_s: float = 0.1
    answer_s: float = 1.0
    down_s: float = 3.0
    delay_s: float = 0.004
    loss: float = 0.0


class Tally(NamedTuple):
    """What came of the requests of a fleet.

    Parameters
    ----------
    crashes_s, sends_s : list of float
        Times of the crashes, and of the sends of requests with the bad part.
    sound, served, refused : int
        Sound requests, those that were served, and those that were refused for a part.
    messages : int
        Reports that arrived at routers.
    """

    crashes_s: list[float]
    sends_s: list[float]
    sound: int
    served: int
    refused: int
    messages: int


class _Attempt:
    """A request at an endpoint."""

    def __init__(
        self, router: int, parts: tuple[int, ...], sent_s: float, number: int
    ) -> None:
        self.router = router
        self.parts = parts
        self.sent_s = sent_s
        self.number = number
        self.has_begun = False
        self.trial: TrialReport | None = None


class PartFleet:
    """Routers, endpoints and requests in virtual time.

    Parameters
    ----------
    load : Load
        Their numbers and times.
    make_faults : callable
        Returns what a router knows of parts at its start.
    seed : int, optional
        Seed of all that is random.
    """

    def __init__(
        self,
        load: Load,
        make_faults: Callable[[], Faults] = PromptFaults,
        seed: int = 1,
    ) -> None:
        self.load = load
        self.faults = [make_faults() for _ in range(load.routers)]
        for faults in self.faults:
            faults.routers = load.routers
        self.now_s = 0.0
        self._chance = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._processes = itertools.count(1)
        self._running: dict[int, dict[_Attempt, None]] = {
            next(self._processes): {} for _ in range(load.endpoints)
        }
        self.crashes_s: list[float] = []
        self.sends_s: list[float] = []
        self._counts = dict.fromkeys(("sound", "served", "refused", "messages"), 0)

    def run(self, duration_s: float) -> Tally:
        """Play requests for some time; return what came of them."""
        self._schedule(0.0, self._arrive)
        for kill_s, count in self.load.kills:
            self._schedule(kill_s, partial(self._kill, count))
        while self._events and self._events[0][0] <= duration_s:
            self.now_s, _, act = heapq.heappop(self._events)
            act()
        return Tally(self.crashes_s, self.sends_s, **self._counts)

    def _schedule(self, delay_s: float, act: Callable[[], None]) -> None:
        event = (self.now_s + delay_s, next(self._numbers), act)
        heapq.heappush(self._events, event)

    def _arrive(self) -> None:
        load, chance = self.load, self._chance
        self._schedule(chance.expovariate(load.rate_per_s), self._arrive)
        shared = 100 + chance.randrange(load.shared_parts)
        session = 1000 + chance.randrange(load.session_parts)
        parts: tuple[int, ...] = (shared, session)
        if chance.random() < load.bad_share:
            parts = (shared, BAD, session)
        else:
            self._counts["sound"] += 1
        self._send(chance.randrange(load.routers), parts, 1)

    def _send(self, router: int, parts: tuple[int, ...], number: int) -> None:
        if not self._running:
            return
        stagger_s = self._chance.random() * min(0.5, 0.01 * self.load.routers)
        faults = self.faults[router]
        clearance = faults.check(SCOPE, TEAM, parts, self.now_s, stagger_s)
        if clearance.state in ("wait", "blocked"):
            self._counts["refused"] += BAD not in parts
            return
        attempt = _Attempt(router, parts, self.now_s, number)
        if clearance.state == "trial":
            attempt.trial = TrialReport(SCOPE, clearance.parts, self.now_s, False)
            faults.begin_trial(attempt.trial)
            self._tell(router, attempt.trial, 1)
        if BAD in parts:
            self.sends_s.append(self.now_s)
        endpoint = self._chance.choice(list(self._running))
        self._running[endpoint][attempt] = None
        prefill_s = self.load.prefill_s * self._chance.uniform(0.5, 1.5)
        self._schedule(prefill_s, lambda: self._begin(endpoint, attempt))

    def _begin(self, endpoint: int, attempt: _Attempt) -> None:
        if attempt not in self._running.get(endpoint, ()):
            return
        if BAD in attempt.parts:
            self._crash(endpoint)
            return
        attempt.has_begun = True
        sound = SoundReport(SCOPE, attempt.parts, self.now_s)
        self._end_trial(attempt)
        if cleared := self.faults[attempt.router].observe_sound(sound, True):
            self._tell(attempt.router, sound._replace(parts=tuple(cleared)), SENDS)
        self._schedule(self.load.answer_s, lambda: self._finish(endpoint, attempt))

    def _finish(self, endpoint: int, attempt: _Attempt) -> None:
        if attempt in self._running.get(endpoint, ()):
            del self._running[endpoint][attempt]
            self._counts["served"] += 1

    def _end_trial(self, attempt: _Attempt) -> None:
        if attempt.trial is not None:
            self.faults[attempt.router].end_trial(attempt.trial)
            self._tell(attempt.router, attempt.trial._replace(is_over=True), 1)
            attempt.trial = None

    def _kill(self, count: int) -> None:
        running = list(self._running)
        for endpoint in self._chance.sample(running, min(count, len(running))):
            self._crash(endpoint)

    def _crash(self, endpoint: int) -> None:
        crashed_s = self.now_s
        self.crashes_s.append(crashed_s)
        for attempt in self._running.pop(endpoint):
            report = CrashReport(
                SCOPE, endpoint, TEAM, attempt.parts, attempt.sent_s, crashed_s
            )
            self._schedule(CHECK_S, partial(self._observe, attempt, report))
        self._schedule(self.load.down_s, self._start_endpoint)

    def _start_endpoint(self) -> None:
        self._running[next(self._processes)] = {}

    def _observe(self, attempt: _Attempt, report: CrashReport) -> None:
        if not attempt.has_begun:
            faults = self.faults[attempt.router]
            blocks = faults.observe_crash(report, self.now_s)
            told: list[Report] = [report, *blocks]
            for news in told:
                self._tell(attempt.router, news, SENDS)
        self._end_trial(attempt)
        if attempt.number < ATTEMPTS_MAX:
            self._send(attempt.router, attempt.parts, attempt.number + 1)

    def _tell(self, router: int, report: Report, sends: int) -> None:
        for number in range(sends):
            for other in range(self.load.routers):
                if other != router and self._chance.random() >= self.load.loss:
                    delay_s = self._chance.random() * self.load.delay_s
                    self._schedule(
                        number * SEND_INTERVAL_S + delay_s,
                        partial(self._hear, other, report),
                    )

    def _hear(self, router: int, report: Report) -> None:
        faults = self.faults[router]
        self._counts["messages"] += 1
        if isinstance(report, CrashReport):
            faults.observe_crash(report, self.now_s)
        elif isinstance(report, SoundReport):
            faults.observe_sound(report)
        elif isinstance(report, BlockReport):
            faults.observe_block(report)
        elif report.is_over:
            faults.end_trial(report)
        else:
            faults.begin_trial(report)
