"""How long a router reads a request.

Load pattern: clients send bodies that never end or stop before their end.  A body read
for ever takes all the processor time of a router: one connection 4.9 s of 5 s.

A body that exceeds the manifest's limit is read a little further, as a manifest that
allows it may come into force, and as a client that is still sending may not read the
answer.
"""

from typing import NamedTuple

# Read of a body beyond the limit before it is refused.
EXCESS_MAX_BYTES = 1 << 20
EXCESS_MAX_S = 1.0


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
