"""Endpoints that make the choice of an endpoint raise an undeclared error.

Load pattern: something that is known of one endpoint, such as a number that nobody has
foreseen, raises while endpoints are compared.  Each request of its service would be
refused, though the other endpoints could serve it.
"""

from collections.abc import Callable, Collection, Sequence

# Time for which such an endpoint is left out.  What is known of it changes with its
# next answers and entries.
SET_ASIDE_S = 10.0
# Endpoints that are searched for; if there are more, the error isn't theirs.
FAULTY_MAX = 4
# Time after a search that found none, or too many, in which none is begun.
SEARCH_PAUSE_S = 1.0


class _TooMany(Exception):
    """More endpoints raise than are searched for."""


class SetAside:
    """Endpoints that are left out for a while."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}
        self._next_search_s = 0.0

    def find(self, now_s: float) -> Collection[str]:
        """Return the endpoints that are left out now."""
        if self._until_s:
            self._until_s = {n: s for n, s in self._until_s.items() if s > now_s}
        return self._until_s.keys()

    def search(
        self, names: Sequence[str], works: Callable[[Sequence[str]], bool], now_s: float
    ) -> list[str]:
        """Leave out the endpoints for which a choice raises; return these.

        Parameters
        ----------
        names : sequence of str
            Endpoints of a choice that has raised.
        works : callable
            Returns whether the choice among some of them raises nothing.
        now_s : float
            Current time.
        """
        if now_s < self._next_search_s:
            return []
        try:
            found = _bisect(names, works, FAULTY_MAX)
        except _TooMany:
            found = []
        if not found or len(found) == len(names):
            self._next_search_s = now_s + SEARCH_PAUSE_S
            return []
        self._until_s |= dict.fromkeys(found, now_s + SET_ASIDE_S)
        return found


def _bisect(
    names: Sequence[str], works: Callable[[Sequence[str]], bool], count_max: int
) -> list[str]:
    if not names or works(names):
        return []
    if not count_max:
        raise _TooMany
    if len(names) == 1:
        return list(names)
    half = len(names) // 2
    found = _bisect(names[:half], works, count_max)
    return found + _bisect(names[half:], works, count_max - len(found))
