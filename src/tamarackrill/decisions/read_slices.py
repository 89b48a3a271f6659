"""How much of one response a router reads before it gives way to everything else.

Load pattern: an endpoint sends as fast as it is read, in chunks of one byte, in empty
lines or in megabytes, while callers of other endpoints wait.  The HTTP client passes on
all that has arrived in one go, piece by piece.  Without a bound, a single such response
takes most of the event loop's time, and calls to sound endpoints are refused as late.

Each response has a share, which its pieces use up and which time refills.  A response
whose share is used up is paused; paused ones are resumed one after the other, each with
a full share, for at most `TURN_MAX_S` of each turn of the loop.  What arrives meanwhile
is joined by the HTTP client, so that pieces become longer as soon as there are many.
"""

# As much as a socket of the loopback interface or of a fast link holds: an answer of
# ordinary size passes without a pause, and long ones lose little throughput.
SHARE_BYTES = 256 * 1024
# A piece takes about as long to handle as 2 KB of a long one.  A share thus holds 128
# pieces, more than an ordinary head has fields.
PIECE_BYTES = 2048
# A stream of 1,000 events of a kilobyte each second never pauses; engines make some
# hundred, and each holds a few tokens.
REFILL_BYTES_PER_S = 1000 * 3 * 1024
# What the HTTP client has read and dropped, if it reports progress without a piece; it
# does so for the extension of a chunk, which may have no end.
UNSEEN_BYTES = 64 * 1024
# It also reports progress a few times around each piece, and once a second.
UNSEEN_FREE = 4
# A twentieth of the targeted time between tokens, 46 ms.
TURN_MAX_S = 0.002


class ReadShare:
    """What a response may still use of its share.

    Attributes
    ----------
    left_bytes : float
        Bytes of pieces that may be read before a pause.
    updated_s : float
        When `left_bytes` was computed.
    unseen : int
        Reports of progress since the last piece.
    """

    __slots__ = ("left_bytes", "unseen", "updated_s")

    def __init__(self, now_s: float) -> None:
        self.left_bytes = float(SHARE_BYTES)
        self.updated_s = now_s
        self.unseen = 0


def take_piece(share: ReadShare, size_bytes: int, now_s: float) -> bool:
    """Use up a part of the share for a piece; return False if the share is used up.

    Parameters
    ----------
    share : ReadShare
        Modified in place.
    size_bytes : int
        Size of the piece.  The last piece may exceed what is left, since the HTTP
        client doesn't split pieces.
    now_s : float
        Current time.
    """
    share.unseen = 0
    return _take(share, PIECE_BYTES + size_bytes, now_s)


def take_unseen(share: ReadShare, now_s: float) -> bool:
    """Use up a part of the share for progress without a piece, as `take_piece` does."""
    share.unseen += 1
    return share.unseen <= UNSEEN_FREE or _take(share, UNSEEN_BYTES, now_s)


def _take(share: ReadShare, cost_bytes: int, now_s: float) -> bool:
    refill_bytes = (now_s - share.updated_s) * REFILL_BYTES_PER_S
    left_bytes = min(SHARE_BYTES, share.left_bytes + refill_bytes)
    share.updated_s = now_s
    if left_bytes <= 0:
        share.left_bytes = left_bytes
        return False
    share.left_bytes = left_bytes - cost_bytes
    return True


def use_up(share: ReadShare, parts: int) -> None:
    """Use up more of the share for a piece that was split into parts."""
    share.left_bytes -= (parts - 1) * PIECE_BYTES


def refill(share: ReadShare, now_s: float) -> None:
    """Give a response that is resumed a full share."""
    share.left_bytes = float(SHARE_BYTES)
    share.updated_s = now_s


def may_resume_another(started_s: float, now_s: float) -> bool:
    """Return whether this turn of the loop has time for another paused response."""
    return now_s - started_s < TURN_MAX_S
