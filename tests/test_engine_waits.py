"""Prompts that arrive faster than engines can read them."""

import random

import pytest

from tamarackrill.decisions.engine_waits import (
    FORGET_S,
    HALF_LIFE_S,
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


def test_engine_is_as_slow_as_its_oldest_prompt_waits():
    # An engine has fallen silent under its load and answers nobody.  Without the age of
    # those who wait, nothing would tell of it until the first of them gets an answer.
    waits = make_waits([1.0, 1.4])
    assert waits.find_wait_s(ENGINE, 2.0) == pytest.approx(1.0)
    waits.finish(ENGINE, "r-0")
    assert waits.find_wait_s(ENGINE, 2.0) == pytest.approx(0.6)


def test_wait_that_has_ended_fades():
    waits = make_waits([1.0])
    waits.answer(ENGINE, "r-0", 1.8)
    assert waits.find_wait_s(ENGINE, 1.8) == pytest.approx(0.8)
    assert waits.find_wait_s(ENGINE, 1.8 + HALF_LIFE_S) == pytest.approx(0.4)
    waits.find_slow_engines(OBJECTIVE_S, 1, (), 1.9 + FORGET_S)
    assert waits.find_wait_s(ENGINE, 1.8 + FORGET_S) == 0.0


def test_prompt_that_ended_without_an_event_tells_nothing_of_the_engine():
    # A client leaves, or the engine refuses.  Neither says how long others wait.
    waits = make_waits([1.0])
    waits.finish(ENGINE, "r-0")
    waits.answer(ENGINE, "r-0", 9.0)
    assert waits.find_wait_s(ENGINE, 9.0) == 0.0


def test_engine_that_nobody_was_sent_to_is_not_slow():
    assert EngineWaits().find_wait_s(ENGINE, 1.0) == 0.0
    assert EngineWaits().find_slow_engines(OBJECTIVE_S, 1, (), 1.0) == {}


def test_prompt_that_is_held_tolerates_more_than_one_that_must_be_read():
    # An engine has a backlog of unread prompts.  One more of them would take as long as
    # twenty of those whose prompts it holds.
    waits = make_waits([1.0])
    now_s = 1.0 + 0.75 * OBJECTIVE_S
    assert waits.find_slow_engines(OBJECTIVE_S, 1, (), now_s) == {ENGINE: now_s - 1.0}
    assert waits.find_slow_engines(OBJECTIVE_S, 1, (ENGINE,), now_s) == {}


def test_urgent_prompt_is_refused_last():
    urgent = compute_wait_limit_s(OBJECTIVE_S, 0, is_cached=True)
    assert urgent > compute_wait_limit_s(OBJECTIVE_S, 1, is_cached=True)


@pytest.mark.parametrize(
    ("team", "route", "urgency"),
    [(None, 0, 0), (None, 2, 2), (1, 0, 0), (1, 2, 2), (0, 2, 0), (2, 0, 2), (9, 9, 4)],
)
def test_team_s_priority_goes_before_the_route_s(team, route, urgency):
    assert rank_urgency(team, route) == urgency


def test_priority_at_an_engine_is_one_that_engines_know():
    found = {choose_priority(u, held) for u in range(5) for held in (True, False)}
    assert min(found) >= 0
    assert max(found) <= PRIORITY_MAX
    assert choose_priority(1, True) < choose_priority(0, False)


STEP_S = 0.025
TOKENS_A_STEP = 2_048
SLOTS = 48
HELD_TOKENS, UNREAD_TOKENS = 500, 9_000
DEADLINE_S = 6.0
PLAY_S = 30.0
ROUTERS = 8


class Prompt:
    def __init__(self, name, router, sent_s, tokens):
        self.name = name
        self.router = router
        self.sent_s = sent_s
        self.left = self.tokens = tokens

    @property
    def is_cached(self):
        return self.tokens == HELD_TOKENS


def play_engine(calls_per_s, has_limit):
    """Return the first-event times of an engine's prompts; None if never or refused.

    The engine reads all prompts in its slots in turn, those with the first priority
    before others, and lets none go whose client has not left.
    """
    chance = random.Random(1)
    routers = [EngineWaits() for _ in range(ROUTERS)]
    queue, times, count, now_s = [], [], 0, 0.0
    while now_s < PLAY_S:
        now_s += STEP_S
        arrivals = sum(chance.random() < calls_per_s * STEP_S / 4 for _ in range(4))
        for _ in range(arrivals):
            count += 1
            router = chance.choice(routers)
            tokens = UNREAD_TOKENS if chance.random() < 0.4 else HELD_TOKENS
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
        share = TOKENS_A_STEP / max(1, len(running))
        for prompt in running:
            prompt.left -= share
        for prompt in [p for p in queue if now_s - p.sent_s >= DEADLINE_S]:
            prompt.router.finish(ENGINE, prompt.name)
            queue.remove(prompt)
            times.append(None)
        for prompt in [p for p in running if p.left <= 0 and p in queue]:
            prompt.router.answer(ENGINE, prompt.name, now_s)
            queue.remove(prompt)
            times.append(now_s - prompt.sent_s)
    return times


def count_in_time(times):
    return sum(time_s is not None and time_s <= OBJECTIVE_S for time_s in times)


def weigh(times):
    """Return what clients got: an answer that is late is worth a third."""
    answered = sum(time_s is not None for time_s in times)
    return (count_in_time(times) + (answered - count_in_time(times)) / 3) / len(times)


@pytest.mark.parametrize("calls_per_s", [30, 40, 60])
def test_overloaded_engine_goes_on_serving_clients_in_time(calls_per_s):
    # All engines but one are gone, and prompts arrive twice as fast as it can read
    # them.  It takes them all, and every client waits for seconds, those too who would
    # have been served at once.
    without = play_engine(calls_per_s, has_limit=False)
    limited = play_engine(calls_per_s, has_limit=True)
    assert count_in_time(limited) > 2.5 * count_in_time(without)
    assert weigh(limited) > 1.2 * weigh(without)


def test_nobody_is_refused_at_an_engine_that_keeps_up():
    assert None not in play_engine(calls_per_s=4, has_limit=True)
