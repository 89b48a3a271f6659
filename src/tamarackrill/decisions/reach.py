"""Which endpoints and zones this router can reach, from its own connections.

Load pattern: an availability zone is cut off, or an endpoint's VM goes dark.  Nothing
refuses a connection then; each one hangs until its timeout.  If every request found
that out for itself, each one sent across the cut would lose the timeout, and while the
store's list still names those endpoints a third of all requests would.

So a connection that was not made marks its endpoint, and two endpoints of one zone mark
the zone.  What is marked is tried last, and again after a pause that doubles: one
request in a pause finds out whether the path is back.  Answers unmark at once.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from tamarackrill.contracts import Endpoint

# A connection inside a region takes 3 ms; the first pause costs a path that is back at
# once half a second, and a dark one two timeouts a second.
PAUSE_MIN_S = 0.5
# Zones are cut for seconds to minutes; a path that is back is found within this time.
PAUSE_MAX_S = 4.0
# One endpoint is a crash; two of a zone at once are the zone, unless it has just two.
ZONE_ENDPOINTS_MIN = 2


class _Mark(NamedTuple):
    until_s: float
    pause_s: float


class Reach:
    """Paths of one router that failed."""

    def __init__(self) -> None:
        self._marks: dict[str, _Mark] = {}
        self._zones: dict[str, str] = {}

    def observe_failure(self, endpoint: Endpoint, now_s: float) -> None:
        """Take that no connection to an endpoint could be made, or that it died."""
        known = self._marks.get(endpoint.name)
        if known is not None and now_s < known.until_s:
            return
        pause_s = PAUSE_MIN_S if known is None else min(PAUSE_MAX_S, 2 * known.pause_s)
        self._marks[endpoint.name] = _Mark(now_s + pause_s, pause_s)
        self._zones[endpoint.name] = endpoint.zone

    def observe_answer(self, endpoint: Endpoint) -> None:
        """Take that an endpoint has answered."""
        self._marks.pop(endpoint.name, None)
        self._zones.pop(endpoint.name, None)

    def retain(self, names: Iterable[str]) -> None:
        """Forget endpoints that are not among `names`."""
        kept = set(names)
        for name in [name for name in self._marks if name not in kept]:
            del self._marks[name]
            del self._zones[name]

    def find_doubtful(self, endpoints: Sequence[Endpoint], now_s: float) -> set[str]:
        """Return the names of those that are to be tried after all others."""
        marked = {name for name, mark in self._marks.items() if now_s < mark.until_s}
        zones = [self._zones[name] for name in marked]
        cut = {zone for zone in zones if zones.count(zone) >= ZONE_ENDPOINTS_MIN}
        return {e.name for e in endpoints if e.name in marked or e.zone in cut}
