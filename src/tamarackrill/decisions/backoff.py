"""Endpoints that have asked not to be sent requests for a while.

Load pattern: endpoints shed load for seconds, each with a 503 that says when to come
back.  Without this state a router sends them the next request at once, and each request
that is turned away goes on to another endpoint that sheds load too: both get several
times their usual requests when they can serve none, the fleet's retry budget is spent,
and clients are refused after attempts that could not succeed.

An endpoint asks one router at a time, by what it knows of that router's requests, so
routers don't tell each other.  A backoff outlasts the endpoint's entry in the store,
which may lapse and return meanwhile.
"""

import math
from collections.abc import Iterable
from collections.abc import Set as AbstractSet


class Backoffs:
    """Endpoints that this router must not send to, and until when."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def observe(self, endpoint: str, retry_after_s: float, now_s: float) -> bool:
        """Record that an endpoint wants no requests; return whether that is new.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        retry_after_s : float
            How long, counted from its answer.
        now_s : float
            When the answer arrived, so that the backoff ends no earlier than asked.
        """
        if retry_after_s <= 0.0:
            return False
        is_new = endpoint not in self.find(now_s)
        known_s = self._until_s.get(endpoint, -math.inf)
        self._until_s[endpoint] = max(known_s, now_s + retry_after_s)
        return is_new

    def find(self, now_s: float) -> AbstractSet[str]:
        """Return the names of the endpoints that want no requests now."""
        for name in [n for n, until_s in self._until_s.items() if until_s <= now_s]:
            del self._until_s[name]
        return self._until_s.keys()

    def compute_shortest_s(self, endpoints: Iterable[str], now_s: float) -> float:
        """Return how long until the first of some endpoints takes requests.

        Returns
        -------
        float
            Zero if one of them takes requests now; infinity without endpoints.
        """
        left_s = (self._until_s.get(name, now_s) - now_s for name in endpoints)
        return max(0.0, min(left_s, default=math.inf))
