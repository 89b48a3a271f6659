"""Slowdowns that endpoints report: how long work takes there now, relative to usual.

Load pattern: the machines of a plain service are shared, and a part of them, which
changes from one moment to the next, takes several times as long for the same call.
Without the slowdown an endpoint that is two and a half times as slow gets as many calls
as its peers: its calls take that much longer, and those that queue there are late while
slots of its peers are free.

A report counts for `VALID_S`: slow machines change about every 0.6 s, and a longer time
would keep calls away from machines that have become fast again.  It is also what an
endpoint can lose by a report that is too high, since its slowdown is then unknown again
and counts as usual.
"""

from collections.abc import Iterable
from typing import NamedTuple

from tamarackrill.contracts import Endpoint

VALID_S = 1.0
USUAL = 1.0
# A slowdown below this is taken as this: machines don't become several times as fast,
# and an endpoint that claims it would attract all calls.
SLOWDOWN_MIN = 0.5


class _Report(NamedTuple):
    slowdown: float
    reported_s: float


class Slowdowns:
    """Slowdowns that the endpoints of plain services reported last."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._services: set[str] = set()

    def observe(self, endpoint: Endpoint, slowdown: float | None, now_s: float) -> None:
        """Record the slowdown of a valid load report, None if it has none.

        Engines are ignored: prompts are not placed by the slowdown.
        """
        if endpoint.kind != "service":
            return
        if slowdown is None:
            self.remove(endpoint.name)
            return
        self._reports[endpoint.name] = _Report(max(SLOWDOWN_MIN, slowdown), now_s)
        self._services.update(endpoint.serves)

    def find(self, endpoint: str, now_s: float) -> float | None:
        """Return the slowdown of an endpoint, None if it is unknown."""
        report = self._reports.get(endpoint)
        if report is None or now_s - report.reported_s > VALID_S:
            return None
        return report.slowdown

    def is_reported(self, service: str) -> bool:
        """Return whether any endpoint of a service has reported its slowdown.

        It is remembered for as long as the service has endpoints, as the report of an
        endpoint without calls expires.
        """
        return service in self._services

    def remove(self, endpoint: str) -> None:
        """Forget the slowdown of an endpoint that has restarted."""
        self._reports.pop(endpoint, None)

    def retain(self, endpoints: Iterable[Endpoint]) -> None:
        """Forget the endpoints that are gone, and the services without endpoints."""
        known = {endpoint.name: endpoint for endpoint in endpoints}
        for name in self._reports.keys() - known.keys():
            self.remove(name)
        self._services &= {s for endpoint in known.values() for s in endpoint.serves}


def estimate_time(load: int, slowdown: float | None, slots: int) -> float:
    """Return how long a further call takes at an endpoint, relative to an idle slot.

    Parameters
    ----------
    load : int
        Calls in flight there, without the further one.
    slowdown : float or None
        None if unknown, which counts as usual.
    slots : int
        Calls that it processes concurrently.
    """
    return (load + 1) * (USUAL if slowdown is None else slowdown) / slots
