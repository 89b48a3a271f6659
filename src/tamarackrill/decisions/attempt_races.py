"""Races of attempts of one request: when another one starts, and which one answers.

Load pattern: endpoints fall silent for a second or more and go on, because of a garbage
collection or a queue behind a pause, while the others are full or fail.  A router that
ends the attempt at the silent endpoint before another one has the answer cuts a stream
that its endpoint would have completed.  A router that only waits loses the streams of
endpoints that never go on.

So a silent attempt goes on, and another one is sent beside it, within the same limits
as a retry.  The first one that brings a whole event, or a whole answer that is no
failure, answers the request; the others are ended at that moment, so that no two
endpoints work on a request whose answer has come.  An endpoint that takes long for its
first event answers once it has begun it.  Until then a failure of one attempt
leaves the others alone, unless what is left of its client's time is needed for the
client to come back: a failure that arrives with the deadline is of no use.
"""

from collections.abc import Collection
from typing import Literal, NamedTuple

from tamarackrill.decisions.attempt_timeouts import ATTEMPT_TIMEOUT_OBJECTIVES
from tamarackrill.decisions.attempts import ATTEMPT_TIME_MIN_S, AttemptHistory

# An endpoint that has begun an event answers the request after this long, though the
# event isn't complete: two endpoints may work on a request for 0.4 s, and a router
# beside other work reads the event up to 0.2 s late.
BEGUN_LEAD_S = 0.1
# Clients that come back allow this long for their new connection.
CLIENT_CONNECT_MAX_S = 1.0
# A loaded router notices that much later that the client's time is short.
GIVE_UP_LATE_MAX_S = 0.25

SilenceStep = Literal["race", "racing", "attempts", "no_time", "budget", "no_other"]


class RaceAttempt(NamedTuple):
    """An attempt that is under way.

    Parameters
    ----------
    started_s : float
        When it began.
    is_sent : bool
        Whether its endpoint has been sent the request, or it is still being placed.
    is_silent : bool
        Whether its endpoint has been silent for too long.
    """

    started_s: float
    is_sent: bool = False
    is_silent: bool = False


class AttemptRace:
    """Attempts of one request that are under way; at most one of them answers it."""

    def __init__(self) -> None:
        self._attempts: dict[int, RaceAttempt] = {}
        self._started = 0

    def start(self, now_s: float) -> int:
        """Add an attempt, and return its number."""
        self._started += 1
        self._attempts[self._started] = RaceAttempt(now_s)
        return self._started

    def is_running(self, number: int) -> bool:
        """Return whether an attempt is under way, and so may answer."""
        return number in self._attempts

    def has_others(self, number: int) -> bool:
        """Return whether other attempts are under way than this one."""
        return len(self._attempts) > (number in self._attempts)

    def list_others(self, number: int) -> list[RaceAttempt]:
        """Return the other attempts that are under way."""
        return [a for other, a in self._attempts.items() if other != number]

    def note_sent(self, number: int) -> None:
        """Record that an attempt has been sent to its endpoint."""
        self._replace(number, is_sent=True)

    def note_silent(self, number: int, is_silent: bool) -> None:
        """Record that an attempt's endpoint is silent, or goes on."""
        self._replace(number, is_silent=is_silent)

    def lead(self, number: int) -> list[int]:
        """Let an attempt answer the request.

        Returns
        -------
        list of int
            The attempts that it has overtaken, which must be ended at once.
        """
        overtaken = [other for other in self._attempts if other != number]
        for other in overtaken:
            del self._attempts[other]
        return overtaken

    def give_up(self) -> list[int]:
        """Let no attempt answer any more, and return those that must be ended."""
        given_up = list(self._attempts)
        self._attempts.clear()
        return given_up

    def end(self, number: int) -> None:
        """Record that an attempt has ended."""
        self._attempts.pop(number, None)

    def add_others(self, history: AttemptHistory, number: int) -> AttemptHistory:
        """Return the history of a request as if its other attempts had failed."""
        sent = sum(other.is_sent for other in self.list_others(number))
        return history._replace(
            sent=history.sent + sent, may_have_run=history.may_have_run or sent > 0
        )

    def _replace(self, number: int, **fields: bool) -> None:
        if number in self._attempts:
            self._attempts[number] = self._attempts[number]._replace(**fields)


def decide_on_silence(
    others: Collection[RaceAttempt],
    pause_s: float,
    history: AttemptHistory,
    attempts_max: int,
    retries_left: float,
    time_left_s: float,
    has_other: bool,
    now_s: float,
) -> SilenceStep:
    """Decide whether another attempt is sent beside a silent one.

    Parameters
    ----------
    others : collection of RaceAttempt
        Attempts that are already under way beside it.
    pause_s : float
        How long an attempt that has begun is given before the next one.
    history : AttemptHistory
        All attempts that have been sent, including those under way.
    attempts_max : int
        Maximum number of endpoints to send the request to.
    retries_left : float
        Retries left in the budget.
    time_left_s : float
        Time until the client's deadline or the route's timeout.
    has_other : bool
        Whether another endpoint is available.
    now_s : float
        Present time.

    Returns
    -------
    {"race", "racing", "attempts", "no_time", "budget", "no_other"}
        Send another attempt; wait, as one beside it has only just begun, or why there
        can be no other.
    """
    if any(not a.is_sent or now_s - a.started_s < pause_s for a in others):
        return "racing"
    if history.sent >= attempts_max:
        return "attempts"
    if time_left_s < ATTEMPT_TIME_MIN_S:
        return "no_time"
    if retries_left < 1.0:
        return "budget"
    return "race" if has_other else "no_other"


def must_await_others(others: Collection[RaceAttempt]) -> bool:
    """Return whether a failed attempt is left to the others instead of retried.

    A silent endpoint may never go on, so that a failure of the attempt beside it is
    retried at once.
    """
    return any(not other.is_silent for other in others)


def may_give_up(others: Collection[RaceAttempt], failed: AttemptHistory) -> bool:
    """Return whether silent attempts may be ended, as another one has failed.

    Parameters
    ----------
    others : collection of RaceAttempt
        Attempts that are still under way.
    failed : AttemptHistory
        Attempts that have ended without an answer.
    """
    return (
        failed.was_delivered
        and bool(others)
        and all(other.is_silent for other in others)
    )


def find_failure_wait_s(
    others: Collection[RaceAttempt],
    failed: AttemptHistory,
    objective_s: float,
    client_time_left_s: float,
) -> float | None:
    """Return how long silent attempts are awaited before a failure is answered.

    A client that comes back needs time for its connection, and for an endpoint beside
    one that is silent again.

    Parameters
    ----------
    others : collection of RaceAttempt
        Attempts that are still under way.
    failed : AttemptHistory
        Attempts that have ended without an answer.
    objective_s : float
        Response-time goal of the route.
    client_time_left_s : float
        Time until the client's deadline.

    Returns
    -------
    float or None
        None if there is no failure, if an attempt isn't silent, or if too little time
        is left for a client to come back, so that the silent ones are its only chance.
    """
    needed_s = CLIENT_CONNECT_MAX_S + ATTEMPT_TIMEOUT_OBJECTIVES * objective_s
    has_time = client_time_left_s >= needed_s - GIVE_UP_LATE_MAX_S
    if not has_time or not may_give_up(others, failed):
        return None
    return max(0.0, client_time_left_s - needed_s)
