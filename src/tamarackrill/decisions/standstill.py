"""When a router that stood still may decide on what it knew before.

Load pattern: a process gets no processor time for seconds (a paused VM, swapping, a
suspended container) while endpoints leave and manifests change.  When it goes on,
requests wait in its sockets beside the news, and most of them are read first.  Decided
at once, they would go to endpoints that have left, by routes that are gone.

No timer has fired by then, so that the gap since the last regular beat is the only sign
of a standstill.  News that was asked for afterwards arrives within milliseconds if the
store is there.  Requests wait for it, but not for long: a router that the store doesn't
answer goes on serving by what it knows, and denies nothing for good.

A process that stands still every second, beside a slow store, would begin that wait
anew each time, and hold all requests over the next standstill.  So standstills share
one wait, which is regained only while the process runs with news.
"""

import math
from collections.abc import Collection, Mapping

from tamarackrill.decisions.news_shares import WATCH_MAX_SHARE

# How long requests wait for news after a standstill.  A store takes 4 ms, 250 ms when
# it is slow.
NEWS_WAIT_MAX_S = 0.3


def find_gap_s(last_beat_s: float, now_s: float, news_max_s: float) -> float:
    """Return how long a process has stood still until now; 0 if it hasn't.

    A watch that waited at the store before a standstill has ended after it, so that
    the next call isn't held up behind it.  Knowledge is no older after a shorter gap
    than at a router that keeps running.

    Parameters
    ----------
    last_beat_s : float
        When the process last showed that it runs.
    now_s : float
        Current time.
    news_max_s : float
        Time in which a change has to be in force.
    """
    gap_s = now_s - last_beat_s
    return gap_s if gap_s >= WATCH_MAX_SHARE * news_max_s else 0.0


def has_news(
    kinds: Collection[str], as_of_s: Mapping[str, float], resumed_s: float
) -> bool:
    """Return whether all kinds of objects were read since a standstill.

    Parameters
    ----------
    kinds : collection of str
        Kinds of objects that decisions depend on.
    as_of_s : mapping of str to float
        As of when the store has last told each kind.
    resumed_s : float
        When the process went on; minus infinity if it never stood still.
    """
    return all(as_of_s.get(kind, -math.inf) >= resumed_s for kind in kinds)


def find_spent_wait_s(spent_s: float, waited_s: float, current_s: float) -> float:
    """Return how much of the wait for news is spent when a process goes on again.

    Parameters
    ----------
    spent_s : float
        How much was spent when the process went on the last time.
    waited_s : float
        How long it ran without news then.
    current_s : float
        How long it ran on with news, up to the next standstill.
    """
    spent_s = min(NEWS_WAIT_MAX_S, spent_s + waited_s)
    return max(0.0, spent_s - max(0.0, current_s))


def find_news_wait_s(
    is_current: bool, resumed_s: float, now_s: float, spent_s: float = 0.0
) -> float:
    """Return how long a decision waits for news; 0 to decide now.

    Parameters
    ----------
    is_current : bool
        Whether there was news since the process went on; see `has_news`.
    resumed_s : float
        When the process went on.
    now_s : float
        Current time.
    spent_s : float
        Part of the wait that earlier standstills have used; see `find_spent_wait_s`.
    """
    if is_current:
        return 0.0
    return max(0.0, NEWS_WAIT_MAX_S - spent_s - (now_s - resumed_s))


def is_outdated(
    age_s: float, news_max_s: float, resumed_s: float, now_s: float
) -> bool:
    """Return whether something may have changed since it was last confirmed.

    Parameters
    ----------
    age_s : float
        Age of the newest evidence.
    news_max_s : float
        Time in which a change has to be in force.
    resumed_s : float
        When the process went on after a standstill; minus infinity if it never did.
    now_s : float
        Current time.
    """
    return age_s > news_max_s or now_s - age_s < resumed_s
