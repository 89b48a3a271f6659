"""Detects endpoints that have restarted under the same name.

Load pattern: an endpoint crashes, and its process is back within seconds under the same
name, with an empty cache and nothing in flight.  Routers still hold the state of the
old process: they route sessions to a cache that is empty, name the endpoint as a source
to copy from, count its old requests as load, and keep it ejected for the old process's
failures.  Prompts are then computed again, and a healthy endpoint stays idle.

An endpoint reports when its process started; a different start time invalidates that
state.  Start times of removed endpoints are remembered too, as an entry usually expires
between the crash and the restart.
"""

from collections import OrderedDict
from collections.abc import Iterable

from tamarackrill.contracts import Endpoint

# Endpoints remembered: five times as many as one fleet is expected to have, so that an
# ordinary day of restarts does not evict those that are absent.
STARTS_KEPT = 4096


class Incarnations:
    """Known start times of endpoint processes."""

    def __init__(self) -> None:
        self._started_ms: OrderedDict[str, int] = OrderedDict()

    def observe(self, endpoints: Iterable[Endpoint]) -> list[str]:
        """Record all current endpoints; return the names of those that have restarted.

        An endpoint that reports no start time counts as the same process.  A start time
        may also be earlier than the known one, if the endpoint's clock was set back.
        """
        restarted = []
        for endpoint in endpoints:
            if endpoint.started_ms is None:
                continue
            known_ms = self._started_ms.get(endpoint.name)
            if known_ms is not None and known_ms != endpoint.started_ms:
                restarted.append(endpoint.name)
            self._started_ms[endpoint.name] = endpoint.started_ms
            self._started_ms.move_to_end(endpoint.name)
        while len(self._started_ms) > STARTS_KEPT:
            self._started_ms.popitem(last=False)
        return restarted
