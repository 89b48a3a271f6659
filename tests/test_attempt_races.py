"""Races of attempts, decided without any I/O."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tamarackrill.decisions.attempt_races import (
    AttemptRace,
    RaceAttempt,
    decide_on_silence,
    find_failure_wait_s,
    must_await_others,
)
from tamarackrill.decisions.attempts import AttemptHistory
from tamarackrill.decisions.event_stream import EventStream, EventStreamError
from tamarackrill.testing.worker import make_event

NOW_S, PAUSE_S = 10.0, 1.5
FRESH = RaceAttempt(NOW_S - 1.0, is_sent=True)
OLD = RaceAttempt(NOW_S - 5.0, is_sent=True)
UNSENT = RaceAttempt(NOW_S - 5.0)


def decide(others=(), sent=1, retries_left=1.0, time_left_s=1.0, has_other=True):
    history = AttemptHistory(sent, may_have_run=True)
    return decide_on_silence(
        others, PAUSE_S, history, 3, retries_left, time_left_s, has_other, NOW_S
    )


@pytest.mark.parametrize(
    ("fields", "step"),
    [
        ({}, "race"),
        ({"sent": 2}, "race"),
        ({"sent": 2, "others": [OLD]}, "race"),
        # An attempt beside it has only just begun, or waits for a slot.
        ({"others": [FRESH]}, "racing"),
        ({"others": [OLD, UNSENT]}, "racing"),
        ({"sent": 3}, "attempts"),
        # All endpoints of a service are slow: more requests would make them slower.
        ({"retries_left": 0.9}, "budget"),
        ({"time_left_s": 0.02}, "no_time"),
        # All other endpoints are gone, unreachable or at work on the request.
        ({"has_other": False}, "no_other"),
    ],
)
def test_another_attempt_starts_only_within_the_limits_of_retries(fields, step):
    # Guards against silent endpoints whose requests exceed the retry budget or the
    # attempts of their route.
    assert decide(**fields) == step


def test_attempt_that_is_overtaken_cannot_answer():
    race = AttemptRace()
    first, second = race.start(0.0), race.start(1.0)
    assert race.lead(second) == [first]
    assert not race.is_running(first)
    assert race.lead(second) == []


def test_attempts_under_way_count_towards_those_of_the_route():
    # Guards against a request that runs at more endpoints than its route allows.
    race = AttemptRace()
    first, second, third = (race.start(0.0) for _ in range(3))
    race.note_sent(first)
    history = race.add_others(AttemptHistory(sent=1), second)
    assert history == AttemptHistory(sent=2, may_have_run=True)
    race.end(first)
    assert race.add_others(AttemptHistory(), third) == AttemptHistory()


def test_failure_is_left_to_an_attempt_that_is_not_silent():
    assert must_await_others([OLD])
    assert must_await_others([OLD._replace(is_silent=True), FRESH])
    # Guards against a stream that only waits for an endpoint that never goes on.
    assert not must_await_others([OLD._replace(is_silent=True)])
    assert not must_await_others([])


SILENT = OLD._replace(is_silent=True)


@pytest.mark.parametrize(
    ("others", "sent", "time_left_s", "wait_s"),
    [
        # A second for a connection, and 2.5 goals.
        ([SILENT], 1, 3.0, 1.25),
        ([SILENT, SILENT], 1, 1.6, 0.0),
        ([SILENT, FRESH], 1, 3.0, None),
        ([SILENT], 0, 3.0, None),
        ([SILENT], 1, 1.4, None),
        ([], 1, 3.0, None),
    ],
)
def test_failure_is_answered_only_beside_silence_and_to_clients_that_can_come_back(
    others, sent, time_left_s, wait_s
):
    # Guards against a sound endpoint that is given up while nothing is gained by it.
    failed = AttemptHistory(sent, may_have_run=True)
    assert find_failure_wait_s(others, failed, 0.3, time_left_s) == wait_s


EVENTS = 6
WHOLE = b"".join(make_event(number) for number in range(1, EVENTS + 1))


class _Source:
    """An endpoint that supplies the rest of a stream from some event on."""

    def __init__(self, number, stream, first):
        self.number = number
        self.stream = stream.fork()
        self.rest = b"".join(make_event(n) for n in range(first, EVENTS + 1))


class RaceMachine(RuleBasedStateMachine):
    """Random order of what up to four attempts of one stream bring, and how they end.

    Guards against events that are missing, come twice or are joined from parts, against
    two attempts that both answer, and against a stream that ends before its attempt.
    """

    def __init__(self):
        super().__init__()
        self.race = AttemptRace()
        self.stream = EventStream()
        self.sources = {}
        self.received = b""
        self.is_complete = False
        self.overtaken = []

    def _pick(self, data):
        return self.sources[data.draw(st.sampled_from(sorted(self.sources)))]

    def _lead(self, source):
        assert self.race.is_running(source.number)
        overtaken = self.race.lead(source.number)
        for number in overtaken:
            self.overtaken.append(self.sources.pop(number))
        for other in self.overtaken:
            other.stream.end()
        assert list(self.sources) == [source.number]

    @precondition(lambda self: len(self.sources) < 4 and not self.is_complete)
    @rule(overlap=st.integers(0, 2))
    def start(self, overlap):
        """Ask another endpoint, which begins up to two events early."""
        number = self.race.start(0.0)
        first = max(1, (self.stream.last_id or 0) + 1 - overlap)
        self.sources[number] = _Source(number, self.stream, first)

    @precondition(lambda self: self.sources and not self.is_complete)
    @rule(data=st.data(), size=st.integers(1, 45))
    def bring(self, data, size):
        """Receive a piece of any size from one of the endpoints."""
        source = self._pick(data)
        piece, source.rest = source.rest[:size], source.rest[size:]
        if not piece:
            return
        events = source.stream.take(piece)
        if events:
            self._lead(source)
            self.received += events

    @precondition(lambda self: self.sources and not self.is_complete)
    @rule(data=st.data())
    def break_off(self, data):
        """End one attempt, maybe inside an event; the others go on."""
        source = self._pick(data)
        del self.sources[source.number]
        source.stream.end()
        self.race.end(source.number)

    @precondition(lambda self: self.sources and not self.is_complete)
    @rule(data=st.data())
    def complete(self, data):
        """Let an endpoint bring all that it has; the stream is whole then."""
        source = self._pick(data)
        events = source.stream.take(source.rest)
        source.rest = b""
        if events:
            self._lead(source)
            self.received += events
        assert source.stream.finish(is_framed=True) == b""
        self._lead(source)
        self.is_complete = True
        assert self.received == WHOLE

    @precondition(lambda self: self.sources and not self.is_complete)
    @rule(data=st.data())
    def end_early(self, data):
        """End a body while another endpoint has begun an event."""
        source = self._pick(data)
        others = [s for s in self.sources.values() if s is not source]
        if any(other.stream.partial_bytes for other in others):
            with pytest.raises(EventStreamError):
                source.stream.finish(is_framed=True)

    @rule()
    def bring_too_late(self):
        """Receive what an endpoint sent before its attempt was overtaken."""
        for source in self.overtaken:
            assert not self.race.is_running(source.number)
            assert source.stream.take(source.rest) == b""

    @invariant()
    def events_are_in_order_and_whole(self):
        assert WHOLE.startswith(self.received)
        count = self.stream.events
        assert self.received == b"".join(make_event(n) for n in range(1, count + 1))


TestRaceMachine = RaceMachine.TestCase
