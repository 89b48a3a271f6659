import pytest

from tamarackrill.decisions.retry import CREDIT_MAX, Failure, RetryBudget


@pytest.mark.parametrize(
    ("failure", "time_left_s", "expected"),
    [
        (Failure("not_sent", idempotent=False), 9, "retry"),
        (Failure("cut", idempotent=True), 9, "retry"),
        (Failure("refused", idempotent=True), 9, "retry"),
        # Retrying a confirmation that may have run could bill a family twice.
        (Failure("cut", idempotent=False), 9, "may_have_run"),
        (Failure("refused", idempotent=False), 9, "may_have_run"),
        # The caller already has the start of another response.
        (Failure("cut", idempotent=True, response_started=True), 9, "may_have_run"),
        (Failure("overloaded", idempotent=True), 9, "overload"),
        (Failure("cut", idempotent=True), 1, "deadline"),
    ],
)
def test_retry_decision(failure, time_left_s, expected):
    decided = RetryBudget().decide(failure, False, time_left_s, service_s=2.0)
    assert decided == expected


@pytest.mark.parametrize("failing", [0.05, 0.5, 1.0])
@pytest.mark.parametrize("pool_full", [False, True])
def test_failing_endpoints_do_not_multiply_the_load(failing, pool_full):
    # Some or all endpoints fail their requests. If each failure were retried twice,
    # they would get three times the load of their callers and fail even more.
    budget = RetryBudget()
    attempts, failures = 0, 0.0
    for _ in range(2000):
        for _ in range(3):
            attempts += 1
            failures += failing
            if failures < 1.0:
                budget.note_success()
                break
            failures -= 1.0
            failure = Failure("cut", idempotent=True)
            if budget.decide(failure, pool_full, 9.0, 1.0) != "retry":
                break
    assert attempts <= 2000 * 1.1 + CREDIT_MAX
    # A low failure rate is hidden from the callers.
    assert failing > 0.1 or attempts >= 2000 * (1.0 + failing)
