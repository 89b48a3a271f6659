"""What routers tell each other about endpoints: who is full, who fails, who has moved.

Load pattern: many routers before many endpoints, so that each router sees an answer of
an endpoint once in seconds.  Whatever it judges by its own answers comes too late: it
goes on sending to an engine that is three times as full as the others, for which it
takes the usual load, and each router finds out by failures of its own, at the cost of
as many clients, that an endpoint fails or has another one at its address.

So each router tells what it has seen in the last tick, as evidence and not as verdicts:
the load that an endpoint reported, if it is above most; the failures that it saw; that
an endpoint's address is another's by now.  Of endpoints that are well nothing is told,
so that the bytes don't grow with their number.  Everything is a hint: what is lost
costs what it would have cost without news, and what is doubled counts once.
"""

from collections import Counter
from typing import NamedTuple

from tamarackrill.decisions import hashing
from tamarackrill.decisions.loads import EndpointLoad

# A load of less than this share of the bound keeps nobody from sending there.  Told
# from 0.6 of it on, 1.1 in 100 of the requests named at `loads.NEWS_KEPT_S` came to an
# engine above the bound, and 0.8 with this: others push aside what counts.
LOAD_REPORTED_SHARE = 0.8
# Endpoints whose load one router tells in one tick, the fullest ones; it hears of two
# in that time at 6,500 requests a second over 370 routers.
LOADS_REPORTED_MAX = 4
# Endpoints whose failures one router tells in one tick.
FAILURES_REPORTED_MAX = 6
# Failures of one endpoint that one router tells in one tick: they fit into a byte.
FAILED_MAX = 127


class FailureReport(NamedTuple):
    """Failures that one router saw at an endpoint in one tick.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    reporter : int
        The router; see `hash_reporter`.
    sequence : int
        Number of the tick; with the teller and the endpoint it is told once.
    failed : int
        Answers that told of a failure, broke off or did not come in time.
    """

    endpoint: str
    reporter: int
    sequence: int
    failed: int


class MisplacedReport(NamedTuple):
    """Another endpoint answers at the address of this one."""

    endpoint: str


EndpointReport = EndpointLoad | FailureReport | MisplacedReport


def hash_reporter(router: str) -> int:
    """Return the number of 31 bits by which a router tells who it is."""
    return hashing.hash_name(router) >> 33


class EndpointNews:
    """What one router has to tell of endpoints.

    Parameters
    ----------
    reporter : int
        See `hash_reporter`.
    sequence : int
        Number of its first tick, above all of an earlier process of its name.
    """

    def __init__(self, reporter: int, sequence: int) -> None:
        self._teller = reporter
        self._sequence = sequence
        self._loads: dict[str, int] = {}
        self._failed: Counter[str] = Counter()
        self._misplaced: set[str] = set()

    def observe_load(self, endpoint: str, load: int, bound: int) -> None:
        """Take the load that an endpoint has just reported.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        load : int
            Requests in flight there.
        bound : int
            Most requests that it may have; see `routing.compute_bound`.
        """
        if load >= LOAD_REPORTED_SHARE * bound:
            self._loads[endpoint] = load
        else:
            self._loads.pop(endpoint, None)

    def observe_failure(self, endpoint: str) -> None:
        """Take that a request has failed at an endpoint, or waits too long there."""
        self._failed[endpoint] += 1

    def observe_misplaced(self, endpoint: str) -> None:
        """Take that another endpoint has answered at the address of one."""
        self._misplaced.add(endpoint)

    def take(self) -> list[EndpointReport]:
        """Return what is to be told now, and forget it."""
        self._sequence += 1
        fullest = sorted(self._loads.items(), key=lambda item: (-item[1], item[0]))
        facts: list[EndpointReport] = [
            EndpointLoad(*item) for item in fullest[:LOADS_REPORTED_MAX]
        ]
        facts += [
            FailureReport(name, self._teller, self._sequence, min(failed, FAILED_MAX))
            for name, failed in self._failed.most_common(FAILURES_REPORTED_MAX)
        ]
        facts += [MisplacedReport(name) for name in sorted(self._misplaced)]
        self._loads.clear()
        self._failed.clear()
        self._misplaced.clear()
        return facts
