"""Whether some endpoints of a pool fail, or all of them alike.

Load pattern: a third, a half or nine in ten of a pool answer with errors at once, as
when they share a release or a rack, while the others are healthy.  Compared with the
mean or the median of the pool they look normal and keep their work.  Compared with a
fixed threshold, a pool that fails as a whole loses all its endpoints.

Random variation divides any pool somehow, and an endpoint may have failed rarely only
because it received few requests.  So a division into failing and healthy endpoints is
accepted only if its likelihood is far above that of two alternatives: that all share
one failure rate, and that the healthy part has the failing part's rate at half as many
requests.  The number of subsets of the failing part's size is a penalty (a correction
for multiple comparisons).
"""

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

# Least failures of a failing endpoint.  What counts per router is less, so that at
# least two routers have to report.
FAILED_MIN = 4
# Least multiple of the healthy endpoints' mean failures.  Endpoints receive different
# numbers of requests, up to the bound of their loads.
MULTIPLE_MIN = 4.0
# Least requests that a healthy endpoint is assumed to get, as a share of those that a
# failing one gets.
REQUESTS_SHARE_MIN = 0.5
# Least log-likelihood ratio of a division, and what is added in proportion to the
# failing share of the pool: excluding most of a pool by mistake costs most.
EVIDENCE_MIN = 6.0
EVIDENCE_SHARE = 2.0


class FailureCounts(NamedTuple):
    """Failures of one endpoint within one window.

    Parameters
    ----------
    accepted : int
        Failures that count against it.
    reported : int
        All reported failures, which count when others are compared with it.
    """

    accepted: int
    reported: int


class _Division(NamedTuple):
    """A pool divided into a failing and a healthy part by accepted failures.

    Parameters
    ----------
    failing_size : int
        Endpoints of the failing part.
    evidence : float
        Log-likelihood ratio against the likelier of the alternatives, less the
        logarithm of the number of possible divisions.
    healthy_mean : float
        Mean failures of an endpoint of the healthy part.
    failing_mean : float
        Mean failures of an endpoint of the failing part.
    """

    failing_size: int
    evidence: float
    healthy_mean: float
    failing_mean: float


def find_failing(failed: Mapping[str, FailureCounts]) -> set[str]:
    """Return the endpoints that fail while others of their pool are healthy.

    Parameters
    ----------
    failed : mapping of str to FailureCounts
        Every endpoint of the pool that received its usual share of the requests.

    Returns
    -------
    set of str
        Empty if the counts don't show that some fail more than others.
    """
    division = _divide([*failed.values()])
    if division is None:
        return set()
    failing_share = division.failing_size / len(failed)
    if division.evidence < EVIDENCE_MIN + EVIDENCE_SHARE * failing_share:
        return set()
    least = max(FAILED_MIN, MULTIPLE_MIN * division.healthy_mean)
    return {name for name, counts in failed.items() if counts.accepted >= least}


def _divide(counts: Sequence[FailureCounts]) -> _Division | None:
    """Return the division with the most evidence whose parts differ enough."""
    ordered = sorted(counts, key=lambda item: -item.accepted)
    reported = sum(item.reported for item in ordered)
    accepted = 0
    best: _Division | None = None
    for size, (last, following) in enumerate(
        zip(ordered, ordered[1:], strict=False), 1
    ):
        accepted += last.accepted
        reported -= last.reported
        if last.accepted == following.accepted:
            continue
        division = _score_division(accepted, size, reported, len(ordered) - size)
        if division.failing_mean < MULTIPLE_MIN * division.healthy_mean:
            continue
        if best is None or division.evidence > best.evidence:
            best = division
    return best


def _score_division(
    failing_count: int, failing_size: int, healthy_count: int, healthy_size: int
) -> _Division:
    size = failing_size + healthy_size
    failing_mean = failing_count / failing_size
    mean = (failing_count + healthy_count) / size
    against_equal_rates = _compute_log_ratio(failing_count, failing_size * mean)
    against_equal_rates += _compute_log_ratio(healthy_count, healthy_size * mean)
    few_requests_mean = REQUESTS_SHARE_MIN * failing_mean
    against_few_requests = _compute_log_ratio(
        healthy_count, healthy_size * few_requests_mean
    )
    evidence = min(against_equal_rates, against_few_requests)
    return _Division(
        failing_size,
        evidence - _compute_log_binomial(size, failing_size),
        healthy_count / healthy_size,
        failing_mean,
    )


def _compute_log_ratio(count: int, expected: float) -> float:
    """Return the Poisson log-likelihood ratio of mean `count` over `expected`."""
    return expected - count + (count * math.log(count / expected) if count else 0.0)


def _compute_log_binomial(size: int, part: int) -> float:
    """Return the logarithm of the binomial coefficient."""
    return math.lgamma(size + 1) - math.lgamma(part + 1) - math.lgamma(size - part + 1)
