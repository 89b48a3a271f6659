"""Which endpoints have started anew under the name that they had.

Load pattern: an endpoint crashes, and its process is back within seconds under the same
name, with an empty cache and nothing in flight.  What routers believe of it is then
about a process that is gone: they send sessions after caches that hold nothing, name it
to copy from, take its old requests for load, and keep it from work for failures of the
process before.  Each of these prompts is read again, and a sound endpoint stays idle.

An endpoint tells when its process started.  Another start than the one known ends what
was believed.  The starts of endpoints that have gone are remembered too, as an entry
most often lapses between the crash and the new start.
"""

from collections import OrderedDict
from collections.abc import Iterable

from tamarackrill.contracts import Endpoint

# Endpoints remembered: five times as many as one fleet is expected to have, so that an
# ordinary day of restarts does not push out those that are away.
STARTS_KEPT = 4096


class Incarnations:
    """Starts of the processes behind endpoints, as one router has heard of them."""

    def __init__(self) -> None:
        self._started_ms: OrderedDict[str, int] = OrderedDict()

    def observe(self, endpoints: Iterable[Endpoint]) -> list[str]:
        """Take all endpoints known now; return those that have started anew.

        One that does not tell when it started is taken to be the process that it was.
        A start may also lie before the known one, where the endpoint's clock was set.
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
