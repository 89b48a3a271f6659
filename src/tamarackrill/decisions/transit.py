"""Upper bounds of datagram transit times between routers without a common clock.

Load pattern: a datagram waits on a congested link, in a queue of its sender, or in the
socket of a router whose event loop is late or that was stopped.  The age that its
sender has written into it does not include that time, so old evidence looks new.

Each datagram carries its sender's monotonic clock, and an answer also the clock of the
request.  The answer was sent after the request, so the difference of the request's
local clock and the answer's remote clock bounds the clock offset.  That bounds from
above how long ago any datagram of this sender was sent, whatever the delays of each
direction, even where every datagram is late; the smallest clock difference seen could
not show that.  One fast request makes the bound tight.

There is no bound for a sender before its first answer, nor after it has restarted.  A
sender that was suspended seems late until it has answered again, as a monotonic clock
does not count that time.  After a suspension of this router datagrams seem to come from
the future: they get no bound, and all offsets are dropped.
"""

import math
from typing import NamedTuple

# A loaded link takes some tens of ms.  If a transit seems longer, perhaps because a
# clock stood still, the sender's clock is requested again.
TYPICAL_TRANSIT_MAX_S = 0.1
# Clocks drift apart by some ms in this time.
SAMPLE_MAX_AGE_S = 30.0
# Between two requests to one router.
CLOCK_REQUEST_INTERVAL_S = 1.0
# Retry interval before the first answer, as a request or its answer may be lost.
FIRST_REQUEST_RETRY_S = 0.25
# Clocks are sent in whole milliseconds.
CLOCK_STEP_S = 0.001


class _Sender(NamedTuple):
    """State of the clock offset of one process.

    Parameters
    ----------
    session : int
        Start time of the process.
    asked_s : float
        When its clock was requested last.
    clock_zero_s : float or None
        Lower bound of the local time at its clock's zero; None before an answer.
    answered_s : float
        When it answered last.
    """

    session: int
    asked_s: float = -math.inf
    clock_zero_s: float | None = None
    answered_s: float = -math.inf


class TransitBounds:
    """Bounds the transit times of datagrams from other routers."""

    def __init__(self) -> None:
        self._senders: dict[str, _Sender] = {}

    def observe_request(self, sender: str, session: int, now_s: float) -> None:
        """Record that a router's clock is being requested."""
        known = self._find(sender, session)
        self._senders[sender] = known._replace(asked_s=now_s)

    def observe_answer(
        self, sender: str, session: int, asked_s: float, sent_s: float, now_s: float
    ) -> None:
        """Record an answer to a request of this router.

        Parameters
        ----------
        sender : str
            Name of the router that answered.
        session : int
            Start of its process.
        asked_s : float
            This router's clock when it sent the request.
        sent_s : float
            The other router's clock when it answered.
        now_s : float
            The present time.
        """
        known = self._find(sender, session)
        clock_zero_s = asked_s - sent_s
        is_old = known.answered_s < now_s - SAMPLE_MAX_AGE_S
        if known.clock_zero_s is None or clock_zero_s > known.clock_zero_s or is_old:
            known = known._replace(clock_zero_s=clock_zero_s)
        self._senders[sender] = known._replace(answered_s=now_s)

    def find_transit_s(
        self, sender: str, session: int, sent_s: float, now_s: float
    ) -> float | None:
        """Return an upper bound of a datagram's transit time, or None if unknown."""
        clock_zero_s = self._find(sender, session).clock_zero_s
        if clock_zero_s is None:
            return None
        transit_s = now_s - (clock_zero_s + sent_s)
        return None if transit_s < -CLOCK_STEP_S else transit_s

    def must_request_clock(
        self, sender: str, session: int, transit_s: float | None, now_s: float
    ) -> bool:
        """Return whether to request a router's clock.

        Parameters
        ----------
        sender : str
            Name of the router.
        session : int
            Start of its process.
        transit_s : float or None
            Result of `find_transit_s` for its last datagram.
        now_s : float
            The present time.
        """
        known = self._find(sender, session)
        if transit_s is None:
            return now_s >= known.asked_s + FIRST_REQUEST_RETRY_S
        is_doubtful = (
            transit_s > TYPICAL_TRANSIT_MAX_S
            or known.answered_s < now_s - SAMPLE_MAX_AGE_S
        )
        return is_doubtful and now_s >= known.asked_s + CLOCK_REQUEST_INTERVAL_S

    def forget(self) -> None:
        """Drop all state, for use after this router's clock has stood still."""
        self._senders.clear()

    def _find(self, sender: str, session: int) -> _Sender:
        known = self._senders.get(sender)
        return known if known and known.session == session else _Sender(session)
