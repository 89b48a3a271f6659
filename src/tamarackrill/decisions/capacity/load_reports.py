"""Validation of the load that an endpoint states with its responses.

Load pattern: an endpoint shares its machine with others, so that work takes several
times as long from one moment to the next, and says so with each response.  Without the
value, routers count such an endpoint's slots like those of the others.  With it, a
single false value would empty or flood an endpoint, so a value that can't be true is
reported as a finding and the load that was known before is kept.
"""

from typing import Literal, NamedTuple

# An endpoint runs at most as many requests as it has slots; the margin allows for an
# entry in the store that is older than a change of the slots.
RUNNING_MAX_SLOTS = 4
# Queues are a few times as long as the slots; a longer one than this has never been
# offered to callers, whose deadlines pass earlier.
WAITING_MAX_SLOTS = 64
SLOWDOWN_MIN_PERCENT = 10
SLOWDOWN_MAX_PERCENT = 10_000

LoadFinding = Literal["malformed", "negative", "too_many", "slowdown"]


class LoadFigures(NamedTuple):
    """The integers of a load header, as the endpoint sent them.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that are processed and queued, and how many are processed at most.
    slowdown_percent : int or None, default=None
        How long work takes now, 100 as usual; None if not given.
    """

    running: int
    waiting: int
    slots: int
    slowdown_percent: int | None = None


class LoadReport(NamedTuple):
    """Valid load of an endpoint.

    Parameters
    ----------
    running, waiting : int
        Requests that are processed and queued.
    slowdown : float or None, default=None
        How long work takes now, 1.0 as usual; None if not given.
    """

    running: int
    waiting: int
    slowdown: float | None = None

    @property
    def total(self) -> int:
        """Requests at the endpoint."""
        return self.running + self.waiting


def check_load(figures: LoadFigures | None, slots: int) -> LoadReport | LoadFinding:
    """Return the load that an endpoint states, or what is wrong with it.

    Parameters
    ----------
    figures : LoadFigures or None
        None if the header is malformed.
    slots : int
        Slots of the endpoint's entry in the store.
    """
    if figures is None:
        return "malformed"
    running, waiting, _, percent = figures
    if min(running, waiting, figures.slots) < 0:
        return "negative"
    slots = max(1, slots)
    if running > RUNNING_MAX_SLOTS * slots or waiting > WAITING_MAX_SLOTS * slots:
        return "too_many"
    if percent is None:
        return LoadReport(running, waiting)
    if not SLOWDOWN_MIN_PERCENT <= percent <= SLOWDOWN_MAX_PERCENT:
        return "slowdown"
    return LoadReport(running, waiting, percent / 100)
