"""How long a router reads a request, and in which pieces.

Load pattern: clients send bodies that never end or stop before their end, and bodies in
chunks of one byte.  A body read for ever takes all the processor time of a router: one
connection 4.9 s of 5 s.  One chunk takes some 7 us however small it is, so that 200
clients that send chunks of one byte keep the event loop from anything else: of 24
requests of other clients none was answered within 6 s.

A body that exceeds the manifest's limit is read a little further, as a manifest that
allows it may come into force, and as a client that is still sending may not read the
answer.
"""

from typing import NamedTuple

# Read of a body beyond the limit before it is refused.
EXCESS_MAX_BYTES = 1 << 20
EXCESS_MAX_S = 1.0
# Chunks of a body that are read at once.  Further ones wait for a turn unless they are
# long.  With one turn at a time, they take up to half of a processor.
CHUNKS_PER_TURN = 64
TURN_S = 0.002
LONG_CHUNK_BYTES = 512


class BodyProgress(NamedTuple):
    """A request whose body is being read.

    Parameters
    ----------
    arrived_s : float
        When its head arrived.
    read_s : float
        When bytes of its body arrived last.
    excess_s : float or None
        When the body exceeded the limit.
    wait_s : float or None
        Time in which the client waits for an answer, from the arrival; None if unknown.
    """

    arrived_s: float
    read_s: float
    excess_s: float | None
    wait_s: float | None


def is_overdue(
    progress: BodyProgress, idle_max_s: float, wait_max_s: float, now_s: float
) -> bool:
    """Return whether a body is not read any further.

    Parameters
    ----------
    progress : BodyProgress
        How far it is.
    idle_max_s : float
        Time in which more of it must arrive.
    wait_max_s : float
        Longest timeout of any route, counted from the arrival of the head.
    now_s : float
        Present time.
    """
    if progress.excess_s is not None and now_s >= progress.excess_s + EXCESS_MAX_S:
        return True
    wait_s = wait_max_s
    if progress.wait_s is not None:
        wait_s = min(wait_s, progress.wait_s)
    return now_s >= min(progress.arrived_s + wait_s, progress.read_s + idle_max_s)


def needs_turn(chunks: int, body_bytes: int) -> bool:
    """Return whether the next chunk of a body waits until it is its turn.

    Parameters
    ----------
    chunks : int
        Chunks of the body that have been read.
    body_bytes : int
        Their size.
    """
    return (
        chunks > 0
        and chunks % CHUNKS_PER_TURN == 0
        and body_bytes < chunks * LONG_CHUNK_BYTES
    )
