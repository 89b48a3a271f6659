"""As of when an answer of the store certainly tells what holds.

Load pattern: the store is slow, the link to it is full, or the loop of the router that
asked is late.  What the store said when it answered is read long after, and counted
from its first byte it would be taken for newer than it is, by all routers that are told
of it.

The store answers a call after it was sent, and a watch that brings nothing after it has
waited in full.  Only of a watch that brings a change no more is known than that; such
an answer is taken to have been on its way for as long as the last one of which that is
known.
"""

from typing import NamedTuple


class StoreAnswer(NamedTuple):
    """When a call was sent and its answer began.

    Parameters
    ----------
    asked_s : float
        When the call was sent.
    begun_s : float
        When the first byte of the answer was read.
    wait_s : float
        Longest wait of the store for a change; 0 if it was not to wait.
    is_empty : bool
        Whether it tells of no change.
    """

    asked_s: float
    begun_s: float
    wait_s: float
    is_empty: bool

    @property
    def has_waited(self) -> bool:
        """Whether the store has waited in full."""
        return self.is_empty and self.begun_s >= self.asked_s + self.wait_s


class AnswerTimes:
    """How long answers of the store are on their way."""

    def __init__(self) -> None:
        self._latency_s = 0.0

    def observe(self, answer: StoreAnswer) -> None:
        """Take an answer; what it took is known of one that waited in full or not."""
        if not answer.wait_s or answer.has_waited:
            self._latency_s = answer.begun_s - answer.asked_s - answer.wait_s

    def find_as_of_s(self, answer: StoreAnswer) -> float:
        """Return a time at which the store held what an answer tells."""
        if answer.has_waited:
            return answer.asked_s + answer.wait_s
        if not answer.wait_s or answer.is_empty:
            return answer.asked_s
        return max(answer.asked_s, answer.begun_s - self._latency_s)
