"""Answers of a store that is slow, or that is read late."""

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
        # The store has ended the watch sooner; when, nobody can tell.
        (WAITED._replace(begun_s=11.0), 10.0),
    ],
)
def test_slow_answer_is_no_newer_than_the_store_can_have_given_it(answer, as_of_s):
    # Guards against what the store said long ago being told to others as new.
    assert AnswerTimes().find_as_of_s(answer) == as_of_s


@pytest.mark.parametrize("known", [PLAIN, WAITED])
def test_change_that_ends_a_watch_took_as_long_as_the_answer_before(known):
    # Guards against changes of a slow store being told to others as new.
    times = AnswerTimes()
    times.observe(known)
    changed = StoreAnswer(20.0, 21.5, 2.0, False)
    assert times.find_as_of_s(changed) == pytest.approx(21.5 - 0.24)
    times.observe(changed)
    assert times.find_as_of_s(changed) == pytest.approx(21.5 - 0.24)


def test_change_that_ends_a_watch_at_once_is_as_of_its_call():
    times = AnswerTimes()
    times.observe(PLAIN)
    changed = StoreAnswer(20.0, 20.1, 2.0, False)
    assert times.find_as_of_s(changed) == 20.0
