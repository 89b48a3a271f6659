"""Gossip between routers about full, failing and misplaced endpoints.

Load pattern: many routers send to many endpoints, so that each router sees an answer of
an endpoint once in several seconds.  What it concludes from its own answers comes too
late: it keeps sending to an engine three times as full as the others, for which it
assumes the usual load, and each router finds out by its own failures, at the cost of as
many clients, that an endpoint fails or that its address belongs to another one.

So each router reports what it saw in the last tick, as evidence and not as a verdict:
the load that an endpoint reported, if it is near its bound; failures; and addresses
that now belong to another endpoint.  Healthy endpoints are not reported, so that the
traffic doesn't grow with their number.  Reports are hints: a lost one costs what it
would cost without gossip, and a duplicate counts once.
"""

from collections import Counter
from typing import NamedTuple

from tamarackrill.decisions import hashing
from tamarackrill.decisions.loads import EndpointLoad

# Share of the bound from which a load is reported; a lower load keeps no router from
# sending there.  With 0.6, less important loads crowd out the important ones: 1.1 % of
# the requests described at `loads.NEWS_TTL_S` reach an engine above the bound, with
# 0.8 it is 0.8 %.
LOAD_REPORTED_SHARE = 0.8
# Endpoints whose load one router reports per tick, the fullest ones.  At 6,500 requests
# a second over 370 routers it receives the loads of two per tick.
LOADS_REPORTED_MAX = 4
# Endpoints whose failures one router reports per tick.
FAILURES_REPORTED_MAX = 6
# Failures of one endpoint that one router reports per tick: they fit into a byte.
FAILED_MAX = 127


class FailureReport(NamedTuple):
    """Failures that one router saw at an endpoint in one tick.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    reporter : int
        Number of the router; see `hash_reporter`.
    sequence : int
        Number of the tick; with reporter and endpoint it identifies the report.
    failed : int
        Answers that reported a failure, broke off or were late.
    """

    endpoint: str
    reporter: int
    sequence: int
    failed: int


class MisplacedReport(NamedTuple):
    """Report that another endpoint answers at the address of this one."""

    endpoint: str


class BrittleReport(NamedTuple):
    """Report that an endpoint is brittle, and of requests that it has turned away.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    reporter, sequence : int
        Number of the router, see `hash_reporter`, and of its report; together they
        identify the report.
    limit : int
        Requests that the endpoint may turn away per second.
    rejected : int
        Requests of this router that it has turned away since the last report.
    """

    endpoint: str
    reporter: int
    sequence: int
    limit: int
    rejected: int


EndpointReport = EndpointLoad | FailureReport | MisplacedReport | BrittleReport


def hash_reporter(router: str) -> int:
    """Return the 31-bit number that identifies a router in its reports."""
    return hashing.hash_name(router) >> 33


class EndpointNews:
    """Collects the reports of one router about endpoints.

    Parameters
    ----------
    reporter : int
        See `hash_reporter`.
    sequence : int
        Number before its first tick, above all of earlier processes of its name.
    """

    def __init__(self, reporter: int, sequence: int) -> None:
        self._reporter = reporter
        self._sequence = sequence
        self._loads: dict[str, int] = {}
        self._failed: Counter[str] = Counter()
        self._misplaced: set[str] = set()
        self._brittle: dict[str, int] = {}
        self._rejected: Counter[str] = Counter()

    @property
    def reporter(self) -> int:
        """Number of this router in its reports."""
        return self._reporter

    def observe_load(self, endpoint: str, load: int, bound: int) -> None:
        """Record the load that an endpoint has just reported.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        load : int
            Requests in flight there.
        bound : int
            Bound of its load; see `routing.compute_bound`.
        """
        if load >= LOAD_REPORTED_SHARE * bound:
            self._loads[endpoint] = load
        else:
            self._loads.pop(endpoint, None)

    def observe_failure(self, endpoint: str) -> None:
        """Record that a request failed at an endpoint or waits too long there."""
        self._failed[endpoint] += 1

    def observe_misplaced(self, endpoint: str) -> None:
        """Record that another endpoint answered at the address of one."""
        self._misplaced.add(endpoint)

    def observe_brittle(self, endpoint: str, limit: int, rejected: int) -> None:
        """Record that an endpoint is brittle, and requests that it turned away."""
        self._brittle[endpoint] = limit
        self._rejected[endpoint] += rejected

    def take_brittle(self) -> list[BrittleReport]:
        """Return the reports of brittle endpoints, and clear them."""
        reports = []
        for endpoint, limit in self._brittle.items():
            self._sequence += 1
            rejected = self._rejected[endpoint]
            reports.append(
                BrittleReport(endpoint, self._reporter, self._sequence, limit, rejected)
            )
        self._brittle.clear()
        self._rejected.clear()
        return reports

    def take(self) -> list[EndpointReport]:
        """Return the reports of the current tick, and clear them."""
        self._sequence += 1
        fullest = sorted(self._loads.items(), key=lambda item: (-item[1], item[0]))
        reports: list[EndpointReport] = [
            EndpointLoad(*item) for item in fullest[:LOADS_REPORTED_MAX]
        ]
        reports += [
            FailureReport(name, self._reporter, self._sequence, min(failed, FAILED_MAX))
            for name, failed in self._failed.most_common(FAILURES_REPORTED_MAX)
        ]
        reports += [MisplacedReport(name) for name in sorted(self._misplaced)]
        reports += self.take_brittle()
        self._loads.clear()
        self._failed.clear()
        self._misplaced.clear()
        return reports
