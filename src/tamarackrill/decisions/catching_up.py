"""What a router may decide after its process stood still.

Load pattern: a VM is paused, or short of processor time, for a second or more.  Calls,
the platform's answers and the datagrams of other routers wait in sockets meanwhile, and
the event loop handles the calls first.  Without this module they are decided by what
was known before: they go to endpoints that have left, are refused by contracts that
have changed, exceed limits that other routers have used up, run after their deadline,
or run in a chat that another router has taken over.
"""

from typing import NamedTuple

from tamarackrill.decisions.membership import SUSPICION_TIMEOUT_S, TICK_S

STANDSTILL_MIN_S = 0.5
"""Shorter gaps are ordinary lateness of a loaded router, and what it knows is no older
than on a router that keeps pace."""

CATCH_UP_MAX_S = 1.0
"""How long calls wait for the platform after a standstill.  A router that is cut off
from it then serves by what it knows."""

CHATS_MOVED_AFTER_S = SUSPICION_TIMEOUT_S + TICK_S
"""Other routers remove one that has not answered for this long, at the earliest, and
its chats then have another home."""


class Standstill(NamedTuple):
    """A time in which the process did not run.

    Parameters
    ----------
    gap_s : float
        Its length.
    ended_s : float
        When it ended.
    """

    gap_s: float
    ended_s: float


def find_standstill(gap_s: float, now_s: float) -> Standstill | None:
    """Return the standstill that has just ended, or None.

    Parameters
    ----------
    gap_s : float
        Time since the event loop last ran.
    now_s : float
        Current time.
    """
    return Standstill(gap_s, now_s) if gap_s >= STANDSTILL_MIN_S else None


def find_waited_s(standstill: Standstill, received_s: float, now_s: float) -> float:
    """Return how long a call waited in its socket during and after a standstill.

    Parameters
    ----------
    standstill : Standstill
        The latest one.
    received_s : float
        How long ago the kernel received the call.
    now_s : float
        Current time.

    Returns
    -------
    float
        Zero if the call came after the standstill.
    """
    since_end_s = now_s - standstill.ended_s
    if received_s <= since_end_s:
        return 0.0
    return min(received_s, standstill.gap_s + since_end_s)


def moves_chats(standstill: Standstill) -> bool:
    """Return whether chats may have got another home during a standstill."""
    return standstill.gap_s >= CHATS_MOVED_AFTER_S


def may_have_moved(standstill: Standstill | None, waited_s: float) -> bool:
    """Return whether the chat of a call that waited may have another home now."""
    return standstill is not None and waited_s > 0.0 and moves_chats(standstill)
