"""Bookings: times at which rejected clients return and are served first in their team.

Load pattern: more calls than capacity for seconds; each rejected client returns once.
Without bookings, a client that waited as it was told competes with new arrivals and is
rejected again with the same probability.  With bookings for all, the capacity of a
sustained overload would go to returning clients, whose responses are late already.

So the bookings of a team use at most a fixed part of its share: they are spaced by the
time that this part needs for one call.  A booking reserves no slot, so nothing is lost
if its client doesn't return.
"""

from collections import OrderedDict
from typing import NamedTuple

# Part of the capacity that returning clients may use.  They are late already: at 1.8
# times capacity 0.85 of the responses are in time with a tenth, 0.67 with a quarter,
# and as many calls are served.
BOOKED_SHARE = 0.1
# Stored bookings, some 250 bytes each: 1 MB at most.
BOOKINGS_MAX = 4_096
# How long after its time a booking holds: two round trips between zones and the delays
# of a busy client.
BOOKING_TTL_S = 0.5
# A client may be early by the rounding of Retry-After to milliseconds and the
# resolution of its timer.
EARLY_S = 0.005
# Limits of Retry-After: an earlier return finds the same queue, and no client of a
# plain service waits longer.
RETRY_MIN_S = 0.05
RETRY_MAX_S = 5.0


class RetryTime(NamedTuple):
    """When a rejected client may return.

    Parameters
    ----------
    retry_s : float
        The time, on the clock of ``now_s``.
    is_booked : bool
        Whether the client is then served first in its team.
    """

    retry_s: float
    is_booked: bool


class Bookings:
    """Booked times by fingerprint, and the next possible one of each team."""

    def __init__(self) -> None:
        self._booked_s: OrderedDict[int, float] = OrderedDict()
        self._next_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._booked_s)

    def is_due(self, fingerprint: int, now_s: float) -> bool:
        """Return whether a call has a booking whose time has come."""
        booked_s = self._booked_s.get(fingerprint)
        if booked_s is None:
            return False
        return booked_s - EARLY_S <= now_s <= booked_s + BOOKING_TTL_S

    def discard(self, fingerprint: int) -> None:
        """Remove the booking of a call that is being served."""
        self._booked_s.pop(fingerprint, None)

    def find_next(self, team: str, now_s: float) -> float:
        """Return when the next booking of `team` could be."""
        next_s = max(now_s + RETRY_MIN_S, self._next_s.get(team, now_s))
        return min(next_s, now_s + RETRY_MAX_S)

    def book(
        self,
        team: str,
        fingerprint: int,
        interval_s: float,
        latest_s: float,
        now_s: float,
    ) -> RetryTime:
        """Book a time for a rejected call if the share of its team allows.

        Parameters
        ----------
        team : str
            Team of the caller.
        fingerprint : int
            The same for each attempt of the client.
        interval_s : float
            Time between two bookings of the team.
        latest_s : float
            Latest time that the client can wait for.
        now_s : float
            Current time.
        """
        known_s = self._booked_s.get(fingerprint)
        if known_s is not None and known_s - EARLY_S > now_s:
            # The client came early.  A second booking would give it two of its team's.
            return RetryTime(max(known_s, now_s + RETRY_MIN_S), True)
        next_s = self.find_next(team, now_s)
        if next_s > latest_s:
            return RetryTime(next_s, False)
        self._booked_s.pop(fingerprint, None)
        self._booked_s[fingerprint] = next_s
        if len(self._booked_s) > BOOKINGS_MAX:
            self._booked_s.popitem(last=False)
        self._next_s[team] = next_s + interval_s
        return RetryTime(next_s, True)

    def expire(self, now_s: float) -> None:
        """Remove old bookings; call about once a second."""
        oldest_s = now_s - BOOKING_TTL_S
        for fingerprint in [f for f, at_s in self._booked_s.items() if at_s < oldest_s]:
            del self._booked_s[fingerprint]
        for team in [team for team, at_s in self._next_s.items() if at_s < now_s]:
            del self._next_s[team]
