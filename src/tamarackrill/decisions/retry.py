"""Whether a request that failed at one endpoint may go to another.

Load pattern: endpoints fail or time out because they are overloaded.  Without a
bound, each failure sends one or two further requests to the rest, which then fail
too: load is multiplied just when there is too much of it, seen as endpoints that
fall one after the other and do not come up again.

Retries are paid from a budget that successes fill: in steady work one request in ten
may be a retry, so that a pool never gets more than 1.1 times what its callers send.
An endpoint that answers that it is overloaded says nothing about the next one being
free; such an answer is passed on, with Retry-After, and is never tried again here.
"""

from typing import Literal, NamedTuple

# Share of a retry that a success pays for: the usual figure; a pool at the 80 % that
# it is planned for then stays below 88 %.
BUDGET_SHARE = 0.1
# At the start there is credit for what runs on one endpoint, by default eight slots:
# it may crash before there were successes to pay for its requests.
INITIAL_CREDIT = 8.0
# Retries saved up: the failures of one endpoint's slots, not those of a whole pool.
BUDGET_MAX = 20.0

Outcome = Literal["not_sent", "refused", "overloaded", "cut"]
RetryDecision = Literal["retry", "may_have_run", "overload", "budget", "deadline"]


class Failure(NamedTuple):
    """How an attempt failed.

    Parameters
    ----------
    outcome : {"not_sent", "refused", "overloaded", "cut"}
        No byte was sent; the endpoint answered with an error; it answered that it
        has too much to do; or the answer did not come or was cut.
    idempotent : bool
        Whether the request may run twice.
    started : bool
        Whether the caller has got a part of the answer.
    """

    outcome: Outcome
    idempotent: bool
    started: bool = False


class RetryBudget:
    """Retries that one pool may still have."""

    def __init__(self) -> None:
        self._credit = INITIAL_CREDIT

    @property
    def credit(self) -> float:
        """Number of retries that are paid for."""
        return self._credit

    def note_success(self) -> None:
        """Take note of an answer that came whole at the first attempt or later."""
        self._credit = min(BUDGET_MAX, self._credit + BUDGET_SHARE)

    def decide(
        self, failure: Failure, pool_full: bool, time_left_s: float, service_s: float
    ) -> RetryDecision:
        """Decide whether to try again, and pay for it if so.

        Parameters
        ----------
        failure : Failure
            How the last attempt failed.
        pool_full : bool
            Whether requests wait for this pool: a retry would take the turn of one
            that has not been tried.
        time_left_s : float
            Until the caller's deadline.
        service_s : float
            What an answer is expected to need.

        Returns
        -------
        str
            ``"retry"``, or the reason why not.
        """
        ran = failure.outcome != "not_sent"
        if failure.started or (ran and not failure.idempotent):
            return "may_have_run"
        if failure.outcome == "overloaded":
            return "overload"
        if time_left_s < service_s:
            return "deadline"
        # What was not sent has cost no endpoint anything.
        if not ran and not pool_full:
            return "retry"
        if self._credit < 1.0:
            return "budget"
        self._credit -= 1.0
        return "retry"
