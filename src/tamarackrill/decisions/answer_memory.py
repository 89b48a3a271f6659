"""Memory of the answers that a router passes on, over all calls.

Load pattern: hundreds of long answers at a time, or such that never end, whose callers
read slowly, not at all, or have left.  Each answer is kept up to a megabyte so that it
can be repeated or resumed; without a bound over all of them 200 answers took 570 MB,
and the router's VM, which has 200 to 300 MB, ends the process with all other calls.

Answers are counted as long as they run.  Above `RETAINED_ALL_MAX_BYTES` the oldest ones
are no longer kept for resends, and wait for their readers like those that never were.
Above `BUFFERED_ALL_MAX_BYTES` long answers are passed on in small pieces.
"""

from collections.abc import Hashable

# A process takes 57 MB without calls.  With the buffers of two pieces for each of 300
# calls and the cache of answers this stays below 150 MB.
RETAINED_ALL_MAX_BYTES = 32 * 1024 * 1024
BUFFERED_ALL_MAX_BYTES = 16 * 1024 * 1024
# Memory of a chunk besides its bytes: the object's header and its place in a list.
CHUNK_OVERHEAD_BYTES = 48
# Longest piece in which an answer is passed on, without and with many others.
PIECE_MAX_BYTES = 1024 * 1024
PIECE_MIN_BYTES = 64 * 1024


class AnswerMemory:
    """Bytes that answers hold, in the order in which the answers began.

    Attributes
    ----------
    total_bytes : int
        Bytes that all answers hold.
    """

    def __init__(self) -> None:
        self.total_bytes = 0
        self._retained: dict[Hashable, None] = {}

    def retain(self, answer: Hashable) -> None:
        """Count an answer that is kept for resends as the youngest."""
        self._retained[answer] = None

    def release(self, answer: Hashable) -> None:
        """Remove an answer that has ended or is no longer kept."""
        self._retained.pop(answer, None)

    def pop_excess(self) -> Hashable | None:
        """Return the oldest answer to be kept no longer, or None if all fit."""
        if self.total_bytes <= RETAINED_ALL_MAX_BYTES or not self._retained:
            return None
        oldest = next(iter(self._retained))
        del self._retained[oldest]
        return oldest


def find_piece_max_bytes(total_bytes: int, has_begun: bool) -> int:
    """Return how many bytes of an answer are buffered before they are passed on.

    Parameters
    ----------
    total_bytes : int
        Bytes that all answers hold.
    has_begun : bool
        Whether a part of this answer was passed on, so that it can't be repeated.
    """
    is_crowded = total_bytes > BUFFERED_ALL_MAX_BYTES
    return PIECE_MIN_BYTES if is_crowded or has_begun else PIECE_MAX_BYTES
