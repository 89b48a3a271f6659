"""Requests for slots of a plain service, and the decisions about them."""

from typing import NamedTuple


class SlotRequest(NamedTuple):
    """A call that needs a slot.

    Parameters
    ----------
    key : str
        ``"{router}/{ticket}"``, unique.
    route : str
        Name of its route; calls of one route take about the same time.
    team : str
        Team of the caller; empty on a route without keys.
    weight : float
        Weight of the team, above 0.
    urgency : int
        0 is the most urgent.
    fingerprint : int
        64-bit hash that is the same for each attempt of the client.
    objective_s : float
        Time after which its response is late, on the clock of ``now_s``.
    deadline_s : float
        Time after which its response is useless.
    arrived_s : float
        When it was offered.
    is_overflow : bool, default=False
        Whether the caller's own availability zone has endpoints of the service.
    avoid : frozenset of str, default=frozenset()
        Endpoints that it can't be sent to.
    """

    key: str
    route: str
    team: str
    weight: float
    urgency: int
    fingerprint: int
    objective_s: float
    deadline_s: float
    arrived_s: float
    is_overflow: bool = False
    avoid: frozenset[str] = frozenset()


class Granted(NamedTuple):
    """The call may be sent to the endpoint now."""

    key: str
    endpoint: str


class Queued(NamedTuple):
    """The call is queued, with the expected wait."""

    key: str
    wait_s: float


class Rejected(NamedTuple):
    """The call gets no slot; `reason` is ``"no_capacity"`` or ``"deadline"``."""

    key: str
    retry_after_s: float
    reason: str


Decision = Granted | Queued | Rejected


class QueueSummary(NamedTuple):
    """State of a slot queue, for logs and metrics.

    Parameters
    ----------
    slots : int
        Slots of all endpoints.
    in_use : int
        Calls granted and not released, and others that endpoints report.
    waiting : int
        Queued calls.
    waiting_work_s : float
        Their expected work, in slot-seconds at usual speed.
    waiting_by_team : dict of str to float
        The same by team.
    saturated_since_s : float or None
        Since when calls have been queued or rejected without a second's break.
    """

    slots: int
    in_use: int
    waiting: int
    waiting_work_s: float
    waiting_by_team: dict[str, float]
    saturated_since_s: float | None
