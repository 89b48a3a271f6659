"""Dating of answers from a store that is slow or read late."""

import pytest

from tamarackrill.decisions.answer_times import AnswerTimes, StoreAnswer

PLAIN = StoreAnswer(10.0, 10.24, 0.0, False)
WAITED = StoreAnswer(10.0, 12.24, 2.0, True)


@pytest.mark.parametrize(
    ("answer", "as_of_s"),
    [
        (PLAIN, 10.0),
        (PLAIN._replace(is_empty=True), 10.0),
        (WAITED, 12.0),
        # The store ended the watch early, at an unknown time.
        (WAITED._replace(begun_s=11.0), 10.0),
    ],
)
def test_delayed_answer_is_not_dated_too_late(answer, as_of_s):
    # Guards against passing on outdated content of the store as current.
    assert AnswerTimes().find_as_of_s(answer) == as_of_s


@pytest.mark.parametrize("known", [PLAIN, WAITED])
def test_change_that_ends_a_watch_is_dated_by_the_last_latency(known):
    # Guards against passing on delayed changes of a slow store as current.
    times = AnswerTimes()
    times.observe(known)
    changed = StoreAnswer(20.0, 21.5, 2.0, False)
    assert times.find_as_of_s(changed) == pytest.approx(21.5 - 0.24)
    times.observe(changed)
    assert times.find_as_of_s(changed) == pytest.approx(21.5 - 0.24)


def test_change_that_arrived_while_the_router_stood_still_is_dated_before():
    # Guards against a router that takes what it reads after standing still for news.
    times = AnswerTimes()
    times.observe(PLAIN)
    changed = StoreAnswer(20.0, 29.0, 2.0, False, arrived_s=20.5)
    assert times.find_as_of_s(changed) == pytest.approx(20.5 - 0.24)


def test_change_that_ends_a_watch_is_not_dated_before_its_call():
    times = AnswerTimes()
    times.observe(PLAIN)
    changed = StoreAnswer(20.0, 20.1, 2.0, False)
    assert times.find_as_of_s(changed) == 20.0
