"""How much of a store's answers a router reads.

Load pattern: the store, or what answers at its address, sends lists whose pages have no
end, or pages of millions of entries.  Decoded, an answer takes three to ten times its
size, and one of empty objects 24 times.  Without these bounds a list without end took
116 MB in 5 s, and one page of 15 MB 374 MB and all the time of the event loop.

A page has 1 MB at most, and an object as well; the endpoints of 100 services take some
megabytes.
"""

from typing import NamedTuple

ANSWER_SHARE = 1 / 64
# Of all lists that are being read.
LISTS_SHARE = 1 / 32
# The largest deployment lists some thousand objects of a kind.
ENTRIES_MAX = 100_000
# Entries that can't be used are logged up to this number for each answer.
FAULTS_LOGGED = 100
# libcurl passes each chunk on by itself.  Pieces of less than this on average are those
# of no store; each takes some microseconds.
PIECE_MIN_BYTES = 16
PIECES_FREE = 4096


class AnswerLimits(NamedTuple):
    """Bounds of answers.

    Parameters
    ----------
    answer_max_bytes : int
        Size of one answer.
    lists_max_bytes : int
        Size of all pages of the lists that are being read.
    """

    answer_max_bytes: int
    lists_max_bytes: int


def make_answer_limits(memory_bytes: int) -> AnswerLimits:
    """Return the bounds for a VM with that much memory."""
    return AnswerLimits(
        int(ANSWER_SHARE * memory_bytes), int(LISTS_SHARE * memory_bytes)
    )


def has_too_many_entries(text: bytes) -> bool:
    """Return whether an answer holds more arrays and objects than are decoded.

    Only those followed by another one count; decoded, 4.5 MB of empty objects take
    100 MB and more.
    """
    return text.count(b"},") + text.count(b"],") > 2 * ENTRIES_MAX


def is_too_fine(pieces: int, size_bytes: int) -> bool:
    """Return whether an answer comes in pieces that are too small to be read on."""
    return pieces > PIECES_FREE and size_bytes < pieces * PIECE_MIN_BYTES
