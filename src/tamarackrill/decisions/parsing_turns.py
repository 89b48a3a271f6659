"""When the parsing of an answer gives way to the other work of a router.

Load pattern: an endpoint sends its answer in tiny pieces at full speed: chunks of one
byte, interim responses, empty lines or comments.  One read of a socket brings some
40,000 of them, and each takes tens of microseconds.  A router that parses all that has
arrived holds up everybody else's requests for a second and more, and takes sound
endpoints for unreachable.  Several such answers at once add up.

So each connection has an allowance of protocol elements that is refilled with time.
One that has used it up waits for a turn, in which it gets another small one.  Turns are
granted in order of arrival, one for each iteration of the event loop, so that all such
answers together take one turn beside everybody else's work.  If that work is long, they
get a tenth of the time: long answers in chunks of a few kilobytes wait for turns too,
and would starve in a busy router.  A stream of events stays below the allowance; one
that repeats many events at once, as it was resumed, waits for its next turn.
"""

from collections import deque
from typing import Generic, TypeVar

# Elements of a turn: some 2 ms of work, if each is an event that is passed on.
TURN_ELEMENTS = 16
# Elements of a connection that has been idle.  An answer that isn't chunked has three;
# with 32, a hundred endless answers that began within a second made iterations of 50 to
# 140 ms.
IDLE_ELEMENTS = 8
# Time of the event loop for which a turn is granted; a turn takes some 2 ms of it, and
# 4 on a busy machine.  With 8 ms, iterations there had two turns on average.
SHARE_S = 0.02
# Turns of one iteration, so that it stays short after a pause of the process.
TURNS_MAX = 4
# An engine sends a token each 46 ms.  A hundred connections that use it up take a third
# of a processor without turns, at 60 µs for each element.
ELEMENTS_PER_S = 50.0
# Lines of an event stream that are split into events at once.  Events of two lines take
# some 2 µs each, beside the 60 µs of a chunk.
LINES_MAX = 256
LINES_PER_ELEMENT = 16

_Waiter = TypeVar("_Waiter")


class ParsingAllowance:
    """Protocol elements of one connection that may be parsed without a turn.

    Parameters
    ----------
    now_s : float
        Current time.
    """

    __slots__ = ("_counted_s", "_left")

    def __init__(self, now_s: float) -> None:
        self._left: float = IDLE_ELEMENTS
        self._counted_s = now_s

    def take(self, elements: int = 1) -> bool:
        """Count elements that are about to be parsed; return whether they may be.

        If not, `refill` tells whether they wait for a turn, which covers them.
        """
        self._left -= elements
        return self._left >= 0.0

    def refill(self, now_s: float, has_waited: bool) -> bool:
        """Add what has accrued; return whether it covers the elements counted.

        Parameters
        ----------
        now_s : float
            Current time.
        has_waited : bool
            Whether all that had arrived was parsed since the last call or turn.  If
            not, nothing accrues: its client is slow, or others have turns.
        """
        if has_waited:
            accrued = (now_s - self._counted_s) * ELEMENTS_PER_S
            self._left = min(IDLE_ELEMENTS, self._left + max(0.0, accrued))
            self._counted_s = now_s
        return self._left >= 0.0

    def grant(self, now_s: float) -> None:
        """Start a turn."""
        self._left = TURN_ELEMENTS
        self._counted_s = now_s


class TurnQueue(Generic[_Waiter]):
    """Those that wait for a turn, in order of arrival."""

    def __init__(self) -> None:
        self._waiting: deque[_Waiter] = deque()

    def add(self, waiter: _Waiter) -> None:
        """Add one that waits."""
        self._waiting.append(waiter)

    def remove(self, waiter: _Waiter) -> None:
        """Remove one that no longer waits, if its turn hasn't come."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    def take_next(self) -> _Waiter | None:
        """Remove and return the one whose turn it is, if any."""
        return self._waiting.popleft() if self._waiting else None


def count_turns(iteration_s: float) -> int:
    """Return how many turns to grant after an iteration of the loop that took so long.

    The time of the turns themselves is part of it.
    """
    return max(1, min(TURNS_MAX, int(iteration_s / SHARE_S)))


def find_text_end(text: bytes, start: int) -> int:
    """Return where to end a piece of an event stream that is split at once."""
    if len(text) - start <= LINES_MAX or text.count(b"\n", start) <= LINES_MAX:
        return len(text)
    end = start
    for _ in range(LINES_MAX):
        end = text.index(b"\n", end) + 1
    return end


def count_text_elements(text: bytes) -> int:
    """Return for how many elements the events in a piece of a stream count."""
    return text.count(b"\n") // LINES_PER_ELEMENT
