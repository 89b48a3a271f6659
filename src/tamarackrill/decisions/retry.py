"""Retry budget: whether a request that failed at one endpoint may go to another.

Load pattern: endpoints fail or time out because they are overloaded. Without a limit
each failure sends one or two more requests to the remaining endpoints, which then fail
too: load multiplies when it is already too high, so endpoints fail one after another
and do not recover.

Retries are paid from a budget that successes refill: in steady state one request in ten
may be a retry, so a pool never gets more than 1.1 times the load its callers send. An
overload response says nothing about whether another endpoint has capacity; it is
forwarded with Retry-After and never retried here.
"""

from typing import Literal, NamedTuple

# Retries earned per success. This is the usual value; a pool planned for 80 % load then
# stays below 88 %.
RETRY_RATIO = 0.1
# Initial credit covers the requests running on one endpoint, eight slots by default: it
# may crash before any success has earned retries for them.
INITIAL_CREDIT = 8.0
# Maximum accumulated retries: enough for the slots of one failing endpoint, not for a
# whole pool.
CREDIT_MAX = 20.0

Outcome = Literal["not_sent", "refused", "overloaded", "cut"]
RetryDecision = Literal["retry", "may_have_run", "overload", "budget", "deadline"]


class Failure(NamedTuple):
    """How an attempt failed.

    Parameters
    ----------
    outcome : {"not_sent", "refused", "overloaded", "cut"}
        No byte was sent; the endpoint responded with an error; it responded that it is
        overloaded; or the response did not arrive or was truncated.
    idempotent : bool
        Whether the request may run more than once.
    response_started : bool
        Whether the caller has received part of the response.
    """

    outcome: Outcome
    idempotent: bool
    response_started: bool = False


class RetryBudget:
    """Retry budget of one pool."""

    def __init__(self) -> None:
        self._credit = INITIAL_CREDIT

    @property
    def credit(self) -> float:
        """Number of retries available."""
        return self._credit

    def note_success(self) -> None:
        """Record a complete response, whether from the first attempt or a retry."""
        self._credit = min(CREDIT_MAX, self._credit + RETRY_RATIO)

    def decide(
        self, failure: Failure, pool_full: bool, time_left_s: float, service_s: float
    ) -> RetryDecision:
        """Decide whether to retry, and charge the budget if so.

        Parameters
        ----------
        failure : Failure
            How the last attempt failed.
        pool_full : bool
            Whether requests are queued for this pool: a retry would then take the place
            of a request that has not been tried.
        time_left_s : float
            Time until the caller's deadline.
        service_s : float
            Expected response time.

        Returns
        -------
        str
            ``"retry"``, or the reason not to.
        """
        was_sent = failure.outcome != "not_sent"
        if failure.response_started or (was_sent and not failure.idempotent):
            return "may_have_run"
        if failure.outcome == "overloaded":
            return "overload"
        if time_left_s < service_s:
            return "deadline"
        # A request that was not sent has cost no endpoint anything.
        if not was_sent and not pool_full:
            return "retry"
        if self._credit < 1.0:
            return "budget"
        self._credit -= 1.0
        return "retry"
