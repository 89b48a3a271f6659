"""Overload protection of engines: prompts arrive faster than they can be read."""

import random

import pytest

from tamarackrill.decisions.engine_waits import (
    HALF_LIFE_S,
    LAST_WAIT_TTL_S,
    PRIORITY_MAX,
    EngineWaits,
    choose_priority,
    compute_wait_limit_s,
    rank_urgency,
)

OBJECTIVE_S = 0.3
ENGINE = "engine-1"


def make_waits(sent_s=()):
    waits = EngineWaits()
    for number, at_s in enumerate(sent_s):
        waits.start(ENGINE, f"r-{number}", at_s)
    return waits


def test_wait_of_an_engine_is_the_age_of_its_oldest_waiting_prompt():
    # An overloaded engine stops answering.  Without the age of the waiting prompts,
    # this would remain unnoticed until the first of them gets an answer.
    waits = make_waits([1.0, 1.4])
    assert waits.find_wait_s(ENGINE, 2.0) == pytest.approx(1.0)
    waits.finish(ENGINE, "r-0")
    assert waits.find_wait_s(ENGINE, 2.0) == pytest.approx(0.6)


def test_completed_wait_decays():
    waits = make_waits([1.0])
    waits.answer(ENGINE, "r-0", 1.8)
    assert waits.find_wait_s(ENGINE, 1.8) == pytest.approx(0.8)
    assert waits.find_wait_s(ENGINE, 1.8 + HALF_LIFE_S) == pytest.approx(0.4)
    waits.find_slow_engines(OBJECTIVE_S, 1, (), 1.9 + LAST_WAIT_TTL_S)
    assert waits.find_wait_s(ENGINE, 1.8 + LAST_WAIT_TTL_S) == 0.0


def test_prompt_that_ended_without_an_event_is_ignored():
    # The client disconnects or the engine refuses; neither shows how long others wait.
    waits = make_waits([1.0])
    waits.finish(ENGINE, "r-0")
    waits.answer(ENGINE, "r-0", 9.0)
    assert waits.find_wait_s(ENGINE, 9.0) == 0.0


def test_engine_without_requests_is_not_slow():
    assert EngineWaits().find_wait_s(ENGINE, 1.0) == 0.0
    assert EngineWaits().find_slow_engines(OBJECTIVE_S, 1, (), 1.0) == {}


def test_cached_prompt_has_a_higher_wait_limit_than_an_uncached_one():
    # An engine has a backlog of uncached prompts.  One more of them would take as long
    # as twenty cached ones.
    waits = make_waits([1.0])
    now_s = 1.0 + 0.75 * OBJECTIVE_S
    assert waits.find_slow_engines(OBJECTIVE_S, 1, (), now_s) == {ENGINE: now_s - 1.0}
    assert waits.find_slow_engines(OBJECTIVE_S, 1, (ENGINE,), now_s) == {}


def test_urgent_prompt_is_rejected_last():
    urgent = compute_wait_limit_s(OBJECTIVE_S, 0, is_cached=True)
    assert urgent > compute_wait_limit_s(OBJECTIVE_S, 1, is_cached=True)


@pytest.mark.parametrize(
    ("team", "route", "urgency"),
    [(None, 0, 0), (None, 2, 2), (1, 0, 0), (1, 2, 2), (0, 2, 0), (2, 0, 2), (9, 9, 4)],
)
def test_team_priority_takes_precedence_over_route_priority(team, route, urgency):
    assert rank_urgency(team, route) == urgency


def test_priority_at_an_engine_is_within_its_valid_range():
    found = {choose_priority(u, held) for u in range(5) for held in (True, False)}
    assert min(found) >= 0
    assert max(found) <= PRIORITY_MAX
    assert choose_priority(1, True) < choose_priority(0, False)


STEP_S = 0.025
TOKENS_PER_STEP = 2_048
SLOTS = 48
CACHED_TOKENS, UNCACHED_TOKENS = 500, 9_000
DEADLINE_S = 6.0
SIMULATION_S = 30.0
ROUTERS = 8


class Prompt:
    def __init__(self, name, router, sent_s, tokens):
        self.name = name
        self.router = router
        self.sent_s = sent_s
        self.tokens_left = self.tokens = tokens

    @property
    def is_cached(self):
        return self.tokens == CACHED_TOKENS


def simulate_engine(calls_per_s, has_limit):
    """Simulate an engine; return first-event times, None if refused or timed out.

    The engine shares each step among the prompts in its slots, which are filled in
    order of priority, and drops a prompt only when its deadline has passed.
    """
    rng = random.Random(1)
    routers = [EngineWaits() for _ in range(ROUTERS)]
    queue, times, count, now_s = [], [], 0, 0.0
    while now_s < SIMULATION_S:
        now_s += STEP_S
        arrivals = sum(rng.random() < calls_per_s * STEP_S / 4 for _ in range(4))
        for _ in range(arrivals):
            count += 1
            router = rng.choice(routers)
            tokens = UNCACHED_TOKENS if rng.random() < 0.4 else CACHED_TOKENS
            prompt = Prompt(f"r-{count}", router, now_s, tokens)
            holders = (ENGINE,) if prompt.is_cached else ()
            if has_limit and router.find_slow_engines(OBJECTIVE_S, 1, holders, now_s):
                times.append(None)
                continue
            router.start(ENGINE, prompt.name, now_s)
            queue.append(prompt)
        if has_limit:
            queue.sort(key=lambda p: choose_priority(1, p.is_cached))
        running = queue[:SLOTS]
        share = TOKENS_PER_STEP / max(1, len(running))
        for prompt in running:
            prompt.tokens_left -= share
        for prompt in [p for p in queue if now_s - p.sent_s >= DEADLINE_S]:
            prompt.router.finish(ENGINE, prompt.name)
            queue.remove(prompt)
            times.append(None)
        for prompt in [p for p in running if p.tokens_left <= 0 and p in queue]:
            prompt.router.answer(ENGINE, prompt.name, now_s)
            queue.remove(prompt)
            times.append(now_s - prompt.sent_s)
    return times


def count_in_time(times):
    return sum(time_s is not None and time_s <= OBJECTIVE_S for time_s in times)


def compute_mean_value(times):
    """Return the mean value of the answers; a late one counts a third."""
    answered = sum(time_s is not None for time_s in times)
    return (count_in_time(times) + (answered - count_in_time(times)) / 3) / len(times)


@pytest.mark.parametrize("calls_per_s", [30, 40, 60])
def test_overloaded_engine_still_serves_clients_in_time(calls_per_s):
    # Only one engine is left, and prompts arrive twice as fast as it can read them.
    # Without a limit it accepts them all, and every client waits for seconds, including
    # those that would have been served immediately.
    without = simulate_engine(calls_per_s, has_limit=False)
    limited = simulate_engine(calls_per_s, has_limit=True)
    assert count_in_time(limited) > 2.5 * count_in_time(without)
    assert compute_mean_value(limited) > 1.2 * compute_mean_value(without)


def test_no_prompt_is_rejected_without_overload():
    assert None not in simulate_engine(calls_per_s=4, has_limit=True)
