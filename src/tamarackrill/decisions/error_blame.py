"""Whether an endpoint is to blame for an undeclared error of the router's code.

Load pattern: a step of an attempt raises.  If it counted as a failure or a crash of the
endpoint each time, a fault of the router would have a third of a pool ejected, and
sound requests refused as those that crash endpoints.  If it never counted, an endpoint
whose answers raise each time would go on getting requests and failing them.

An error is taken for the endpoint's if it is raised there again, and at no other.
"""

from typing import NamedTuple

# Errors of the same place at one endpoint before it is blamed.
ERRORS_MIN = 2
# Time after which an error is forgotten, as its cause may be gone.
MEMORY_S = 60.0
# Places and their endpoints that are remembered; the oldest are dropped.
RECORDS_MAX = 1000


class _Record(NamedTuple):
    errors: int
    last_s: float


class ErrorBlame:
    """Undeclared errors of attempts, by the place in the code and the endpoint."""

    def __init__(self) -> None:
        self._records: dict[tuple[str, str], _Record] = {}

    def observe(self, place: str, endpoint: str, now_s: float) -> bool:
        """Record an error; return whether the endpoint is to blame for it.

        Parameters
        ----------
        place : str
            Where in the code it was raised, and its type.
        endpoint : str
            The endpoint that was tried.
        now_s : float
            Current time.
        """
        key = (place, endpoint)
        self._forget(now_s)
        # At the end, so that the oldest record is the first.
        last = self._records.pop(key, _Record(0, now_s))
        self._records[key] = _Record(last.errors + 1, now_s)
        if len(self._records) > RECORDS_MAX:
            del self._records[next(iter(self._records))]
        is_elsewhere = any(
            other == place and name != endpoint for other, name in self._records
        )
        return last.errors + 1 >= ERRORS_MIN and not is_elsewhere

    def _forget(self, now_s: float) -> None:
        while self._records:
            oldest = next(iter(self._records))
            if now_s - self._records[oldest].last_s < MEMORY_S:
                return
            del self._records[oldest]
