"""Endpoints that fail more than their peers, from the failure reports of all routers.

Load pattern: one of many endpoints fails every second request, doesn't answer, or fails
all requests while its health check passes.  One router among 76 sees an answer of it
once in ten seconds; if each waited for five of them, the endpoint would fail hundreds
of clients before the last router avoided it.  Together the routers detect it within a
second.

Failures are compared with those of the other endpoints of the pool, never with a
threshold alone: if all fail alike, because of the requests or the network, excluding
some would only overload the rest.  Any part of a pool may fail together; see
`failure_clusters`.  Failure counts can be compared without the successes, which are not
reported, because bounded loads give all endpoints about as many requests.  An endpoint
that has just joined, or gets work again, has received fewer; its low count is no
evidence that others are worse.

One router whose own link is bad fails everywhere and must not make all routers exclude
endpoints: the failures counted per router are limited, and at least two routers have to
report.  An endpoint that fails only for callers of one zone is excluded only there:
reports of other zones count only if two of them report.

How many are excluded is limited by the capacity of the rest and by the multiple of the
mean load that no endpoint may exceed: at twice the mean, half of a pool at most.  An
excluded endpoint gets work again after a pause, which doubles if it fails again.
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from tamarackrill.decisions.endpoint_news import FailureReport
from tamarackrill.decisions.failure_clusters import FAILED_MIN as FAILED_MIN
from tamarackrill.decisions.failure_clusters import FailureCounts, find_failing

# Sliding window over which the failures of an endpoint are added up.
WINDOW_S = 5.0
# Failures that count per endpoint, reporting router and window.
REPORTER_FAILURES_MAX = 3
REPORTERS_MIN = 2
# Other zones that must report before their reports count in this one.
ZONES_MIN = 2
# First and longest pause.  Endpoints fail for seconds to minutes; each return of one
# that still fails costs the fleet a few requests.
PAUSE_MIN_S = 2.5
PAUSE_MAX_S = 20.0
# An endpoint that fails again this soon after its pause has not recovered.
RELAPSE_S = 6.0
LOAD_CAP_DEFAULT = 2.0
# Largest share of the remaining endpoints' slots that the requests in flight may take.
OCCUPANCY_MAX = 0.5
# How long a report is remembered, so that a duplicate that comes late isn't counted.
REPORT_KEPT_S = 30.0


class PoolFailures(NamedTuple):
    """Failures of a pool, for the log.

    Parameters
    ----------
    endpoints : int
        Endpoints of the pool.
    failing : int
        Those with enough failures to be paused, if others are healthy.
    paused : int
        Those that get no work, as far as the others have capacity.
    failed_most, failed_mean : float
        Highest and mean count of failures of the endpoints that are not paused.
    """

    endpoints: int
    failing: int
    paused: int
    failed_most: int
    failed_mean: float


class _Report(NamedTuple):
    received_s: float
    reporter: int
    failed: int


class _Pause(NamedTuple):
    until_s: float
    pause_s: float


_NO_FAILURES = FailureCounts(0, 0)


class _EndpointFailures:
    """Reports on one endpoint within the window, and their sums by reporter.

    The sums are kept up to date, as 60 routers that report in each tick make over a
    thousand reports of a window.
    """

    __slots__ = ("_reports", "_sizes", "by_reporter", "total")

    def __init__(self) -> None:
        self._reports: deque[_Report] = deque()
        # Reports by reporter.
        self._sizes: Counter[int] = Counter()
        self.by_reporter: dict[int, int] = {}
        self.total = 0

    def __len__(self) -> int:
        return len(self._reports)

    def add(self, report: _Report) -> None:
        self._reports.append(report)
        failed = self.by_reporter.get(report.reporter, 0) + report.failed
        self.by_reporter[report.reporter] = failed
        self._sizes[report.reporter] += 1
        self.total += report.failed

    def expire(self, oldest_s: float) -> bool:
        """Drop reports up to a time; return whether any are left."""
        reports = self._reports
        while reports and reports[0].received_s <= oldest_s:
            report = reports.popleft()
            self.total -= report.failed
            self.by_reporter[report.reporter] -= report.failed
            self._sizes[report.reporter] -= 1
            if not self._sizes[report.reporter]:
                del self._sizes[report.reporter], self.by_reporter[report.reporter]
        return bool(reports)


class FleetHealth:
    """Failures of endpoints, from the reports of all routers.

    Parameters
    ----------
    find_zone : callable
        Returns the availability zone of a reporting router, None if it is unknown.
    own_zone : str
        Availability zone of this router.
    load_cap : float, optional
        Multiple of the mean load that no endpoint may exceed.
    """

    def __init__(
        self,
        find_zone: Callable[[int], str | None],
        own_zone: str,
        load_cap: float = LOAD_CAP_DEFAULT,
    ) -> None:
        self._load_cap = load_cap
        self._find_zone = find_zone
        self._own_zone = own_zone
        self._counts: dict[str, _EndpointFailures] = {}
        self._received_s: dict[tuple[str, int, int], float] = {}
        self._pauses: dict[str, _Pause] = {}
        # When endpoints joined; minus infinity if before this router started.
        self._joined_s: dict[str, float] = {}

    def observe_endpoints(self, names: Collection[str], now_s: float) -> None:
        """Record the endpoints that exist, and forget the others."""
        self.retain(names)
        joined_s = now_s if self._joined_s else -math.inf
        for name in names:
            self._joined_s.setdefault(name, joined_s)

    def observe(self, reported: FailureReport, now_s: float) -> None:
        """Record a router's report; ignore duplicates."""
        key = (reported.endpoint, reported.reporter, reported.sequence)
        if key in self._received_s:
            return
        self._received_s[key] = now_s
        if reported.endpoint not in self._counts:
            self._counts[reported.endpoint] = _EndpointFailures()
        report = _Report(now_s, reported.reporter, reported.failed)
        self._counts[reported.endpoint].add(report)

    def remove(self, endpoint: str) -> None:
        """Forget an endpoint that is gone or has restarted."""
        self._counts.pop(endpoint, None)
        self._pauses.pop(endpoint, None)
        self._joined_s.pop(endpoint, None)

    def retain(self, names: Collection[str]) -> None:
        """Forget endpoints that are not among `names`."""
        for name in {*self._counts, *self._pauses, *self._joined_s}:
            if name not in names:
                self.remove(name)

    @property
    def has_no_failures(self) -> bool:
        """Whether there are neither recent failures nor pauses."""
        return not self._counts and not self._pauses

    @property
    def has_evidence(self) -> bool:
        """Whether any endpoint has enough failures to be paused."""
        return any(f.total >= FAILED_MIN for f in self._counts.values())

    @property
    def has_no_pauses(self) -> bool:
        """Whether no endpoint is paused, or was until lately."""
        return not self._pauses

    def pause_failing(self, pool: Collection[str], now_s: float) -> list[str]:
        """Pause the failing endpoints of a pool; return the newly paused ones."""
        self._expire(now_s)
        if not self.has_evidence:
            return []
        failed = {name: self._count(name) for name in pool if name in self._counts}
        if not any(counts.accepted >= FAILED_MIN for counts in failed.values()):
            return []
        compared = {
            name: failed.get(name, _NO_FAILURES)
            for name in pool
            if not self._is_paused(name, now_s)
        }
        found = find_failing(
            {
                name: counts
                for name, counts in compared.items()
                if counts.accepted >= FAILED_MIN or self._has_full_window(name, now_s)
            }
        )
        for name in sorted(found):
            self._pause(name, now_s)
        return sorted(found)

    def describe(self, pool: Collection[str], now_s: float) -> PoolFailures:
        """Return a summary of a pool's failures, for the log."""
        unpaused = [name for name in pool if not self._is_paused(name, now_s)]
        counts = [self._count(name) for name in unpaused if name in self._counts]
        return PoolFailures(
            len(pool),
            sum(count.accepted >= FAILED_MIN for count in counts),
            len(pool) - len(unpaused),
            max((count.reported for count in counts), default=0),
            sum(count.reported for count in counts) / max(1, len(unpaused)),
        )

    def find_paused(
        self, slots: Mapping[str, int], in_flight: int, now_s: float
    ) -> set[str]:
        """Return the paused endpoints of a pool, as many as the rest can replace.

        Parameters
        ----------
        slots : mapping of str to int
            Requests that each endpoint of the pool can run at once, by its name.
        in_flight : int
            Requests in flight at all of them.
        now_s : float
            The present time.
        """
        paused = [name for name in slots if self._is_paused(name, now_s)]
        # The longest pauses belong to the endpoints that have failed most often.
        paused.sort(key=lambda name: (-self._pauses[name].pause_s, name))
        most = len(slots) - math.ceil(len(slots) / self._load_cap)
        return _limit_by_capacity(paused[:most], slots, in_flight)

    def _is_paused(self, name: str, now_s: float) -> bool:
        pause = self._pauses.get(name)
        return pause is not None and pause.until_s > now_s

    def _pause(self, name: str, now_s: float) -> None:
        last = self._pauses.get(name)
        pause_s = PAUSE_MIN_S if last is None else min(PAUSE_MAX_S, 2 * last.pause_s)
        self._pauses[name] = _Pause(now_s + pause_s, pause_s)
        # Reports from before the pause are no evidence about the endpoint after it.
        self._counts.pop(name, None)

    def _has_full_window(self, name: str, now_s: float) -> bool:
        """Return whether an endpoint received requests for the whole window."""
        pause = self._pauses.get(name)
        since_s = self._joined_s.get(name, -math.inf)
        if pause is not None:
            since_s = max(since_s, pause.until_s)
        return since_s <= now_s - WINDOW_S

    def _count(self, name: str) -> FailureCounts:
        failures = self._counts[name]
        # As a base of comparison all reports count.  If each zone sends to its own
        # endpoints, those of another zone are reported by that zone alone, which must
        # not make them look healthier.
        accepted = self._sum_accepted(failures.by_reporter)
        return FailureCounts(accepted, failures.total)

    def _sum_accepted(self, by_reporter: Mapping[int, int]) -> int:
        """Return the failures that count, 0 if too few routers report."""
        here: list[int] = []
        elsewhere: list[int] = []
        other_zones: set[str] = set()
        find_zone, own_zone = self._find_zone, self._own_zone
        for reporter, failed in by_reporter.items():
            zone = find_zone(reporter)
            if zone == own_zone:
                here.append(min(REPORTER_FAILURES_MAX, failed))
            elif zone is not None:
                elsewhere.append(min(REPORTER_FAILURES_MAX, failed))
                other_zones.add(zone)
        counted = here + elsewhere if len(other_zones) >= ZONES_MIN else here
        return sum(counted) if len(counted) >= REPORTERS_MIN else 0

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - WINDOW_S
        for name, failures in list(self._counts.items()):
            if not failures.expire(oldest_s):
                del self._counts[name]
        received_s = now_s - REPORT_KEPT_S
        while self._received_s:
            key = next(iter(self._received_s))
            if self._received_s[key] > received_s:
                break
            del self._received_s[key]
        for name, pause in list(self._pauses.items()):
            if pause.until_s + RELAPSE_S < now_s:
                del self._pauses[name]


def _limit_by_capacity(
    names: Collection[str], slots: Mapping[str, int], in_flight: int
) -> set[str]:
    remaining_slots = sum(slots.values())
    chosen: set[str] = set()
    for name in names:
        remaining_slots -= slots[name]
        if len(chosen) + 1 >= len(slots) or in_flight > OCCUPANCY_MAX * remaining_slots:
            break
        chosen.add(name)
    return chosen
