import pytest

from tamarackrill.decisions.attempts import (
    CONNECTS_MAX,
    ELSEWHERE_SPREAD_S,
    MISPLACED_MAX,
    RETURN_MIN_S,
    RETURN_SPREAD_S,
    AttemptHistory,
    add_attempt,
    choose_retry_after_s,
    decide_next,
)


def follow(outcomes, may_repeat, attempts_max=2, repeats_left=9.0, time_left_s=1.0):
    tried = AttemptHistory()
    for outcome in outcomes:
        tried = add_attempt(tried, outcome)
    return decide_next(
        outcomes[-1], tried, may_repeat, attempts_max, repeats_left, time_left_s
    )


@pytest.mark.parametrize(
    ("outcomes", "may_repeat", "following"),
    [
        (["failed"], True, "repeat"),
        (["failed", "failed"], True, "answer"),
        (["failed"], False, "answer"),
        (["lost"], True, "repeat"),
        (["lost", "lost"], True, "give_up"),
        (["lost"], False, "give_up"),
        (["not_run"], True, "repeat"),
        (["not_run"], False, "repeat"),
        (["not_run", "not_run"], False, "refuse"),
        (["misplaced", "misplaced"], False, "repeat"),
        (["misplaced"] * (MISPLACED_MAX + 1), False, "refuse"),
        (["not_run", "misplaced"], False, "repeat"),
        (["not_run", "misplaced", "not_run"], False, "refuse"),
        (["lost", "misplaced"], False, "give_up"),
        (["lost", "not_run"], True, "give_up"),
        (["not_sent"], False, "repeat"),
        (["not_sent", "not_sent", "lost"], False, "give_up"),
        (["not_sent", "not_sent", "not_run"], False, "repeat"),
        (["not_sent"] * CONNECTS_MAX, True, "refuse"),
    ],
)
def test_next_step(outcomes, may_repeat, following):
    assert follow(outcomes, may_repeat) == following


def test_request_that_may_have_run_is_never_told_that_it_has_not():
    # A confirmation is sent, and its connection breaks.  The worker may have run it; a
    # client that is told otherwise sends it again, and a family is billed twice.
    assert follow(["lost"], may_repeat=False) == "give_up"
    assert follow(["lost"], may_repeat=False, repeats_left=0.0) == "give_up"


def test_spent_budget_ends_the_attempts():
    assert follow(["failed"], True, repeats_left=0.9) == "answer"
    assert follow(["not_run"], True, repeats_left=0.9) == "refuse"


def test_what_was_not_sent_costs_no_budget():
    assert follow(["not_sent"], True, repeats_left=0.0) == "repeat"


def test_no_attempt_is_begun_without_time():
    assert follow(["lost"], True, time_left_s=0.01) == "give_up"


def test_one_endpoint_is_all_that_such_a_route_allows():
    assert follow(["not_run"], True, attempts_max=1) == "refuse"


def test_returns_are_spread():
    # A full service refuses a hundred requests in one moment.  Were all told the same
    # time, they would come back together and be refused together.
    found = [choose_retry_after_s(f"request-{n}", False, 3.0) for n in range(200)]
    assert min(found) >= RETURN_MIN_S
    assert max(found) <= RETURN_MIN_S + RETURN_SPREAD_S
    assert len({round(wait_s, 1) for wait_s in found}) >= 5


@pytest.mark.parametrize("time_left_s", [0.6, 3.0, 15.0])
def test_client_of_a_cut_zone_comes_back_late_but_in_time(time_left_s):
    # A zone is cut off for six seconds.  A client that is told to come back at once
    # spends its one retry while nothing has changed; one that is told more than a third
    # of its time does not come back.
    found = [
        choose_retry_after_s(f"request-{n}", True, time_left_s) for n in range(200)
    ]
    assert max(found) <= time_left_s / 3
    assert min(found) >= 0.2 * time_left_s


def test_client_of_a_cut_zone_comes_back_as_soon_as_it_is_sent_elsewhere():
    # The zone of a client is cut off, and the balancer will send it to another zone in
    # half a second. Told to come back by a share of its time, it would be late.
    found = [choose_retry_after_s(f"r-{n}", True, 15.0, 0.5) for n in range(200)]
    assert min(found) >= 0.5 and max(found) <= 0.5 + ELSEWHERE_SPREAD_S
    short = [choose_retry_after_s(f"r-{n}", True, 3.0, 2.0) for n in range(200)]
    assert max(short) < 3.0 / 3
