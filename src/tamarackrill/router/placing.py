"""Places calls on endpoints."""

from collections import Counter
from collections.abc import Callable, Collection
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.router.calls import Call


class Placed(NamedTuple):
    """An endpoint that was chosen, and why."""

    endpoint: Endpoint
    reason: str
    runners_up: tuple[str, ...]


class Placer:
    """Knows the endpoints and what this router has running on each.

    Parameters
    ----------
    list_endpoints : callable
        Returns all endpoints known now.
    """

    def __init__(self, list_endpoints: Callable[[], list[Endpoint]]) -> None:
        self._list_endpoints = list_endpoints
        self._running: Counter[str] = Counter()

    def list_candidates(self, call: Call) -> list[Endpoint]:
        """Return the live endpoints that serve what the call asks for."""
        return [
            endpoint
            for endpoint in self._list_endpoints()
            if endpoint.kind == call.kind
            and call.pool in endpoint.serves
            and endpoint.state == "live"
        ]

    def count_free(self, call: Call) -> int:
        """Return how many more calls the pool can take."""
        candidates = self.list_candidates(call)
        return sum(max(0, e.slots - self._running[e.name]) for e in candidates)

    def choose(self, call: Call, avoid: Collection[str], now_s: float) -> Placed | None:
        """Return where the call should go, or None if no endpoint can take it."""
        free = [
            (self._running[endpoint.name] / endpoint.slots, endpoint.name, endpoint)
            for endpoint in self.list_candidates(call)
            if endpoint.name not in avoid
            and self._running[endpoint.name] < endpoint.slots
        ]
        if not free:
            return None
        free.sort()
        names = tuple(name for _, name, _ in free[1:3])
        return Placed(free[0][2], "least_running", names)

    def start(self, call: Call, endpoint: Endpoint, now_s: float) -> None:
        """Count a call as running."""
        self._running[endpoint.name] += 1

    def finish(
        self,
        call: Call,
        endpoint: Endpoint,
        outcome: str,
        first_byte_s: float | None,
        now_s: float,
    ) -> None:
        """Count a call as over.

        Parameters
        ----------
        call : Call
            The call.
        endpoint : Endpoint
            Where it ran.
        outcome : {"answered", "refused", "not_sent", "cut", "cancelled"}
            How it went; ``"refused"`` is an answer with a status of 500 or above.
        first_byte_s : float or None
            Time from sending to the first byte of the answer.
        now_s : float
            Present time.
        """
        self._running[endpoint.name] -= 1

    def describe(self) -> list[dict[str, object]]:
        """Return each endpoint with what runs on it, for queries."""
        return [
            {**endpoint._asdict(), "running": self._running[endpoint.name]}
            for endpoint in self._list_endpoints()
        ]
