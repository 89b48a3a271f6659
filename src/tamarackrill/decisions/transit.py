"""How long a datagram was on its way, between routers that have no clock in common.

Load pattern: a datagram waits on a full link, in a queue of its sender, or in the
socket of a router whose loop is late or that was stopped.  The age that its sender has
written into it doesn't count that time, so that what is old looks new.

Each datagram carries its sender's steady clock, and an answer also the clock of the
question.  Whatever the answerer's clock showed when it answered was after the question
left, by the own clock.  That bounds from above how long ago any datagram with that
clock was sent, whatever the ways there and back take, also where each of them is always
late; the least difference of the two clocks that was seen could not tell that.  One
quick way there makes the bound tight.

Nothing is known of a sender until it has answered, and nothing after it has started
anew.  A sender that was suspended seems late until it has answered again, as a steady
clock doesn't count that time; an own suspension shows as a datagram from the future,
and what was known is dropped.
"""

import math
from typing import NamedTuple

# A loaded link takes some tens of ms.  Whatever takes longer, or seems to because a
# clock stood still, is asked about again.
TYPICAL_TRANSIT_MAX_S = 0.1
# Clocks drift by some ms in this time.
SAMPLE_MAX_AGE_S = 30.0
# Between two questions to one router.
CLOCK_REQUEST_INTERVAL_S = 1.0
# A first question or its answer may be lost.
FIRST_REQUEST_RETRY_S = 0.25
# A clock is told in whole milliseconds.
CLOCK_STEP_S = 0.001


class _Sender(NamedTuple):
    """What is known of the clock of one process.

    Parameters
    ----------
    session : int
        Start of the process.
    asked_s : float
        When it was asked last.
    base_s : float or None
        Own time before which its clock did not show 0; None before it has answered.
    based_s : float
        When it answered.
    """

    session: int
    asked_s: float = -math.inf
    base_s: float | None = None
    based_s: float = -math.inf


class TransitBounds:
    """What one router knows of the clocks of others."""

    def __init__(self) -> None:
        self._senders: dict[str, _Sender] = {}

    def observe_request(self, sender: str, session: int, now_s: float) -> None:
        """Take that a router is being asked."""
        known = self._find(sender, session)
        self._senders[sender] = known._replace(asked_s=now_s)

    def observe_answer(
        self, sender: str, session: int, asked_s: float, sent_s: float, now_s: float
    ) -> None:
        """Take an answer to a question of this router's.

        Parameters
        ----------
        sender : str
            Name of the router that answered.
        session : int
            Start of its process.
        asked_s : float
            This router's clock when it asked.
        sent_s : float
            The other's clock when it answered.
        now_s : float
            The present time.
        """
        known = self._find(sender, session)
        base_s = asked_s - sent_s
        is_old = known.based_s < now_s - SAMPLE_MAX_AGE_S
        if known.base_s is None or base_s > known.base_s or is_old:
            known = known._replace(base_s=base_s)
        self._senders[sender] = known._replace(based_s=now_s)

    def find_transit_s(
        self, sender: str, session: int, sent_s: float, now_s: float
    ) -> float | None:
        """Return the longest that a datagram can have been on its way, if known."""
        base_s = self._find(sender, session).base_s
        if base_s is None:
            return None
        transit_s = now_s - (base_s + sent_s)
        return None if transit_s < -CLOCK_STEP_S else transit_s

    def must_request_clock(
        self, sender: str, session: int, transit_s: float | None, now_s: float
    ) -> bool:
        """Return whether to ask a router for its clock.

        Parameters
        ----------
        sender : str
            Name of the router.
        session : int
            Start of its process.
        transit_s : float or None
            What `find_transit_s` has returned for its last datagram.
        now_s : float
            The present time.
        """
        known = self._find(sender, session)
        if transit_s is None:
            return now_s >= known.asked_s + FIRST_REQUEST_RETRY_S
        is_doubtful = (
            transit_s > TYPICAL_TRANSIT_MAX_S
            or known.based_s < now_s - SAMPLE_MAX_AGE_S
        )
        return is_doubtful and now_s >= known.asked_s + CLOCK_REQUEST_INTERVAL_S

    def forget(self) -> None:
        """Drop all that is known, as when the own clock has stood still."""
        self._senders.clear()

    def _find(self, sender: str, session: int) -> _Sender:
        known = self._senders.get(sender)
        return known if known and known.session == session else _Sender(session)
