"""Allowances and turns of parsing, without a network."""

import asyncio

import pytest

from tamarackrill.decisions.parsing_turns import (
    ELEMENTS_PER_S,
    IDLE_ELEMENTS,
    LINES_MAX,
    TURN_ELEMENTS,
    ParsingAllowance,
    TurnQueue,
    count_text_elements,
    count_turns,
    find_text_end,
)
from tamarackrill.router.parsing_turns import wait_turn


def test_endless_answers_take_one_turn_an_iteration_in_order():
    # Guards against many answers in tiny pieces that add up to a long iteration, and
    # against one of them that is never parsed on.
    answers, iterations = 24, 240
    allowances = {number: ParsingAllowance(0.0) for number in range(answers)}
    queue = TurnQueue()
    parsed = dict.fromkeys(allowances, 0)

    def parse(number):
        done = 0
        while allowances[number].take() or allowances[number].refill(9.0, False):
            done += 1
        parsed[number] += done
        queue.add(number)
        return done

    for number in allowances:
        parse(number)
    for _ in range(iterations):
        number = queue.take_next()
        allowances[number].grant(0.0)
        assert parse(number) <= TURN_ELEMENTS
    assert len(set(parsed.values())) == 1


@pytest.mark.parametrize("per_s", [1 / 0.046, ELEMENTS_PER_S])
def test_sound_stream_waits_for_no_turn(per_s):
    # Guards against events of sound streams that are delayed.
    allowance = ParsingAllowance(0.0)
    for number in range(10_000):
        assert allowance.take() or allowance.refill(number / per_s, True)


@pytest.mark.parametrize("turn_s", [0.001, 0.002, 0.005])
@pytest.mark.parametrize("other_s", [0.0, 0.004, 0.03, 0.1])
def test_turns_leave_others_half_of_a_busy_loop(turn_s, other_s):
    # Guards against turns that lengthen each other's iterations.
    turns = 1
    for _ in range(100):
        turns = count_turns(turns * turn_s + other_s)
    assert turns == 1 or turns * turn_s <= other_s


def test_allowance_of_an_idle_connection_is_bounded():
    # Guards against an answer that holds the loop up since its connection was idle.
    allowance = ParsingAllowance(0.0)
    allowance.refill(1e6, True)
    elements = 0
    while allowance.take():
        elements += 1
    assert elements == IDLE_ELEMENTS


def test_one_that_no_longer_waits_gets_no_turn():
    # Guards against a turn that is lost to a request that has ended.
    queue = TurnQueue()
    for name in "abc":
        queue.add(name)
    queue.remove("b")
    queue.remove("unknown")
    assert [queue.take_next() for _ in range(3)] == ["a", "c", None]


@pytest.mark.parametrize("text", [b"\n" * 5000, b":\n\n" * 3000, b"x" * 9000, b"a\n\n"])
def test_parts_of_a_piece_are_short_and_lose_nothing(text):
    # Guards against a piece of empty lines that is split at once, and lost bytes.
    parts, start = [], 0
    while start < len(text):
        end = find_text_end(text, start)
        parts.append(text[start:end])
        start = end
    assert b"".join(parts) == text
    assert max(part.count(b"\n") for part in parts) <= LINES_MAX
    assert max(map(count_text_elements, parts)) <= TURN_ELEMENTS


def test_loop_grants_one_turn_an_iteration_also_if_some_are_cancelled():
    # Guards against a loop that grants many turns at once, or no more after one ended.
    async def run():
        turns, iterations = [], 0

        async def take(name):
            await wait_turn()
            turns.append((name, iterations))

        tasks = [asyncio.create_task(take(name)) for name in range(6)]
        await asyncio.sleep(0)
        tasks[2].cancel()
        for _ in range(12):
            await asyncio.sleep(0)
            iterations += 1
        await asyncio.gather(*tasks, return_exceptions=True)
        assert [name for name, _ in turns] == [0, 1, 3, 4, 5]
        assert len({iteration for _, iteration in turns}) == len(turns)
        await take("later")

    asyncio.run(run())
