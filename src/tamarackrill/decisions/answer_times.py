"""Time as of which an answer of the store is certainly valid.

Load pattern: the store is slow, the link to it is saturated, or the calling router
stands still, so an answer is read long after the store produced it.  Dated
by its first byte it would appear newer than it is, to all routers that receive it.

The store answers a plain call after the call was sent, and a watch without a change
after the full wait.  For a watch that returns a change the time of the answer is not
known; its latency is assumed to equal the last known one, and it may have arrived as
soon as the router stood still.
"""

from typing import NamedTuple


class StoreAnswer(NamedTuple):
    """Timing of a call to the store and its answer.

    Parameters
    ----------
    asked_s : float
        When the call was sent.
    begun_s : float
        When the first byte of the answer was read.
    wait_s : float
        Maximum time the store waits for a change (long polling); 0 for a plain call.
    is_empty : bool
        Whether the answer contains no change.
    arrived_s : float or None, optional
        A time after which the first byte has arrived; when it was read by default.
    """

    asked_s: float
    begun_s: float
    wait_s: float
    is_empty: bool
    arrived_s: float | None = None

    @property
    def was_held_up(self) -> bool:
        """Whether it may have waited for the calling router to read it."""
        return self.arrived_s is not None and self.arrived_s < self.begun_s

    @property
    def waited_in_full(self) -> bool:
        """Whether the store waited for the maximum time."""
        return self.is_empty and self.begun_s >= self.asked_s + self.wait_s


class AnswerTimes:
    """Estimates the latency of the store's answers."""

    def __init__(self) -> None:
        self._latency_s = 0.0

    def observe(self, answer: StoreAnswer) -> None:
        """Update the latency from an answer to a plain call or after a full wait."""
        if answer.was_held_up:
            return
        if not answer.wait_s or answer.waited_in_full:
            self._latency_s = answer.begun_s - answer.asked_s - answer.wait_s

    def find_as_of_s(self, answer: StoreAnswer) -> float:
        """Return a time at which the content of an answer was valid."""
        if answer.waited_in_full:
            return answer.asked_s + answer.wait_s
        if not answer.wait_s or answer.is_empty:
            return answer.asked_s
        arrived_s = answer.begun_s if answer.arrived_s is None else answer.arrived_s
        return max(answer.asked_s, arrived_s - self._latency_s)
