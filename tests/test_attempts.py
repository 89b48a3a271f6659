import pytest

from tamarackrill.decisions.attempts import (
    AVAILABLE_JITTER_S,
    CONNECT_ATTEMPTS_MAX,
    MISPLACED_MAX,
    RETRY_AFTER_JITTER_S,
    RETRY_AFTER_MIN_S,
    AttemptHistory,
    add_attempt,
    choose_retry_after_s,
    decide_next,
)


def decide_after(
    outcomes, is_idempotent, attempts_max=2, repeats_left=9.0, time_left_s=1.0
):
    history = AttemptHistory()
    for outcome in outcomes:
        history = add_attempt(history, outcome)
    return decide_next(
        outcomes[-1], history, is_idempotent, attempts_max, repeats_left, time_left_s
    )


@pytest.mark.parametrize(
    ("outcomes", "is_idempotent", "expected"),
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
        (["not_sent"] * CONNECT_ATTEMPTS_MAX, True, "refuse"),
    ],
)
def test_next_step(outcomes, is_idempotent, expected):
    assert decide_after(outcomes, is_idempotent) == expected


def test_request_that_may_have_run_is_never_reported_as_not_run():
    # A confirmation is sent and its connection breaks. The worker may have run it; a
    # client that is told otherwise resends it, and a family is billed twice.
    assert decide_after(["lost"], is_idempotent=False) == "give_up"
    assert decide_after(["lost"], is_idempotent=False, repeats_left=0.0) == "give_up"


def test_exhausted_budget_stops_retries():
    assert decide_after(["failed"], True, repeats_left=0.9) == "answer"
    assert decide_after(["not_run"], True, repeats_left=0.9) == "refuse"


def test_unsent_request_costs_no_budget():
    assert decide_after(["not_sent"], True, repeats_left=0.0) == "repeat"


def test_no_attempt_is_started_without_time_left():
    assert decide_after(["lost"], True, time_left_s=0.01) == "give_up"


def test_route_limited_to_one_endpoint_is_not_retried():
    assert decide_after(["not_run"], True, attempts_max=1) == "refuse"


def test_retry_after_is_jittered():
    # A full service refuses a hundred requests at once. If all got the same
    # Retry-After, they would return together and be refused again.
    delays = [choose_retry_after_s(f"request-{n}", False, 3.0) for n in range(200)]
    assert min(delays) >= RETRY_AFTER_MIN_S
    assert max(delays) <= RETRY_AFTER_MIN_S + RETRY_AFTER_JITTER_S
    assert len({round(wait_s, 1) for wait_s in delays}) >= 5


@pytest.mark.parametrize("time_left_s", [0.6, 3.0, 15.0])
def test_client_of_a_partitioned_zone_retries_late_but_in_time(time_left_s):
    # A zone is partitioned for six seconds. A client told to retry immediately uses its
    # one retry while nothing has changed; a client told to wait for more than a third
    # of its remaining time does not retry.
    delays = [
        choose_retry_after_s(f"request-{n}", True, time_left_s) for n in range(200)
    ]
    assert max(delays) <= time_left_s / 3
    assert min(delays) >= 0.2 * time_left_s


def test_client_of_a_partitioned_zone_retries_upon_failover():
    # A client's zone is partitioned, and the load balancer will send the client to
    # another zone in half a second. A Retry-After computed from its remaining time
    # would be too late.
    delays = [choose_retry_after_s(f"r-{n}", True, 15.0, 0.5) for n in range(200)]
    assert min(delays) >= 0.5 and max(delays) <= 0.5 + AVAILABLE_JITTER_S
    short_delays = [choose_retry_after_s(f"r-{n}", True, 3.0, 2.0) for n in range(200)]
    assert max(short_delays) < 3.0 / 3
