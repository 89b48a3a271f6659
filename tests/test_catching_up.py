"""What a router reads, and for how long its decisions wait, after a standstill."""

import asyncio

import pytest

from tamarackrill.decisions.catching_up import (
    Standstill,
    find_standstill,
    find_waited_s,
    may_have_moved,
)
from tamarackrill.router.catching_up import CatchUp


@pytest.mark.parametrize(
    "received_s, now_s, waited_s",
    [(0.2, 10.5, 0.0), (0.8, 10.5, 0.8), (3.4, 10.5, 3.4), (9.0, 10.5, 3.5)],
    ids=["after", "during", "start", "before"],
)
def test_waiting_time_counts_only_the_standstill(received_s, now_s, waited_s):
    # A kept connection that was idle before must not age the call that comes next.
    assert find_waited_s(Standstill(3.0, 10.0), received_s, now_s) == waited_s


@pytest.mark.parametrize(
    "gap_s, waited_s, has_moved",
    [(8.0, 1.0, True), (8.0, 0.0, False), (3.0, 1.0, False)],
)
def test_chat_may_move_only_while_its_call_waits_through_a_long_standstill(
    gap_s, waited_s, has_moved
):
    assert may_have_moved(Standstill(gap_s, 10.0), waited_s) is has_moved


def test_lateness_of_a_loaded_router_is_no_standstill():
    assert find_standstill(0.3, 1.0) is None


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


async def fail():
    raise ValueError


async def hang():
    await asyncio.sleep(3600.0)


@pytest.mark.parametrize("refresh", [fail, hang])
def test_decisions_go_on_if_the_news_cannot_be_read(refresh):
    # Guards against a router that refuses to decide for ever after a standstill, if the
    # platform doesn't answer or the reading fails.
    async def run():
        clock = Clock()
        catch_up = CatchUp(refresh, clock)
        told = []
        catch_up.on_current = lambda: told.append(True)
        clock.now_s = 5.0
        assert not catch_up.is_current()
        await catch_up.wait()
        return told, catch_up.is_current()

    assert asyncio.run(run()) == ([True], True)


def test_news_is_read_again_after_a_second_standstill():
    # Guards against decisions by news that was read before the latest standstill.
    async def run():
        clock = Clock()
        asked = []
        answered = asyncio.Event()

        async def refresh():
            asked.append(clock())
            await answered.wait()
            return True

        catch_up = CatchUp(refresh, clock)
        for clock.now_s in (5.0, 9.0):
            assert not catch_up.is_current()
            await asyncio.sleep(0)
        answered.set()
        await catch_up.wait()
        return asked

    assert asyncio.run(run()) == [5.0, 9.0]
