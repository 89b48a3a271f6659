"""Whether some endpoints of a pool fail, or all of them alike.

Load pattern: a third, a half or nine in ten of a pool answer with errors at once, as
when they share a release or a rack, while the others are well.  Compared with the mean
or the median of the pool they look usual, and keep their work.  Compared with a fixed
threshold, a pool that fails as a whole loses all its endpoints.

Chance divides any pool in some way, and an endpoint may also have failed seldom because
it was sent few requests.  So a division into those that fail and those that are well is
believed only if two explanations are far less likely: that all have one share of
failures, and that the lower part has the same one as the others at half as many
requests.  Each counts as often as there are ways to choose a part of that size.
"""

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

# Failures of one endpoint at least.  Two routers have to tell of them, as one counts
# for less.
FAILED_MIN = 4
# Times the failures of those that are well.  Endpoints differ in how many requests they
# get, up to the bound of their loads.
MULTIPLE_MIN = 4.0
# Requests that an endpoint gets at least, as a part of what those that fail get.
REQUESTS_SHARE_MIN = 0.5
# Logarithm of the odds by which a division must be likelier, and what is added for the
# failing part of the pool: to leave most of a pool out by mistake costs most.
EVIDENCE_MIN = 6.0
EVIDENCE_SHARE = 2.0


class FailureCounts(NamedTuple):
    """Failures of one endpoint within one time.

    Parameters
    ----------
    accepted : int
        Those that count against it.
    reported : int
        All that were told; they count where others are compared with it.
    """

    accepted: int
    reported: int


class _Division(NamedTuple):
    """A pool divided in two by the failures that are believed.

    Parameters
    ----------
    failing_size : int
        Endpoints of the upper part.
    evidence : float
        Logarithm of the odds against the likelier of the other explanations, less that
        of the ways to divide.
    well_mean : float
        Failures of an endpoint of the lower part, in the mean.
    failing_mean : float
        Those of the upper part.
    """

    failing_size: int
    evidence: float
    well_mean: float
    failing_mean: float


def find_failing(failed: Mapping[str, FailureCounts]) -> set[str]:
    """Return the endpoints that fail while others of their pool are well.

    Parameters
    ----------
    failed : mapping of str to Failed
        Every endpoint of the pool that got its usual share of the requests.

    Returns
    -------
    set of str
        Empty if all fail alike, as far as the counts tell.
    """
    division = _divide([*failed.values()])
    if division is None:
        return set()
    failing_share = division.failing_size / len(failed)
    if division.evidence < EVIDENCE_MIN + EVIDENCE_SHARE * failing_share:
        return set()
    least = max(FAILED_MIN, MULTIPLE_MIN * division.well_mean)
    return {name for name, counts in failed.items() if counts.accepted >= least}


def _divide(counts: Sequence[FailureCounts]) -> _Division | None:
    """Return the most likely division whose parts differ enough, if there is one."""
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
        division = _weigh(accepted, size, reported, len(ordered) - size)
        if division.failing_mean < MULTIPLE_MIN * division.well_mean:
            continue
        if best is None or division.evidence > best.evidence:
            best = division
    return best


def _weigh(
    failing_count: int, failing_size: int, well_count: int, well_size: int
) -> _Division:
    size = failing_size + well_size
    failing_mean = failing_count / failing_size
    mean = (failing_count + well_count) / size
    against_chance = _compare(failing_count, failing_size * mean)
    against_chance += _compare(well_count, well_size * mean)
    few_requests_mean = REQUESTS_SHARE_MIN * failing_mean
    against_few_requests = _compare(well_count, well_size * few_requests_mean)
    evidence = min(against_chance, against_few_requests)
    return _Division(
        failing_size,
        evidence - _count_ways_log(size, failing_size),
        well_count / well_size,
        failing_mean,
    )


def _compare(count: int, expected: float) -> float:
    """Return the logarithm of how much likelier a count is of its own mean."""
    return expected - count + (count * math.log(count / expected) if count else 0.0)


def _count_ways_log(size: int, part: int) -> float:
    """Return the logarithm of the ways to choose a part of a pool."""
    return math.lgamma(size + 1) - math.lgamma(part + 1) - math.lgamma(size - part + 1)
