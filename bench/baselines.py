"""What the decisions under load are compared with."""

from collections import deque

from tamarackrill.decisions.admission import Action, Refuse, Start
from tamarackrill.decisions.fairness import SizeClass
from tamarackrill.decisions.waiting import WaitingRequest

# A usual quantum: about one mean request.
QUANTUM_TOKENS = 200.0


class FifoQueue:
    """A bounded queue in order of arrival that knows no deadlines.

    Parameters
    ----------
    queue_max : int
        Most requests that wait.
    cancels : bool, default=False
        Whether a request leaves the queue when its caller has gone.
    """

    def __init__(self, queue_max: int, cancels: bool = False) -> None:
        self._queue_max = queue_max
        self._cancels = cancels
        self._waiting: dict[str, None] = {}

    def offer(self, request: WaitingRequest, now_s: float) -> list[Refuse]:
        """Queue `request` unless the queue is full."""
        if len(self._waiting) >= self._queue_max:
            return [Refuse(request.id, "queue_full", 1.0)]
        self._waiting[request.id] = None
        return []

    def dispatch(self, pool_name: str, slots_free: int, now_s: float) -> list[Action]:
        """Start the oldest requests."""
        ids = list(self._waiting)[:slots_free] if slots_free > 0 else []
        for request_id in ids:
            del self._waiting[request_id]
        return [Start(request_id) for request_id in ids]

    def release(self, request_id: str, now_s: float) -> None:
        """Do nothing."""

    def expire(self, now_s: float) -> list[Refuse]:
        """Refuse nothing."""
        return []

    def cancel(self, request_id: str) -> bool:
        """Forget a request, if this baseline looks at its callers."""
        if not self._cancels or request_id not in self._waiting:
            return False
        del self._waiting[request_id]
        return True


class DeficitRoundRobin:
    """Deficit round robin in the form of `FairScheduler`.

    A team is served while its credit is above 0, and gets a quantum times its
    weight when its turn comes round.  Credit may go below 0 by one request, so
    that the cost need not be known beforehand.
    """

    def __init__(self) -> None:
        self._queues: dict[SizeClass, deque[str]] = {
            "any": deque(),
            "short": deque(),
            "long": deque(),
        }
        self._credit: dict[str, float] = {}
        self._weights: dict[str, float] = {}

    def join(self, team: str, size_class: SizeClass) -> None:
        """Let `team` take its turn in `size_class`."""
        if team not in self._queues[size_class]:
            self._queues[size_class].append(team)
            if size_class == "any":
                self._credit[team] = 0.0

    def leave(self, team: str, size_class: SizeClass) -> None:
        """Take `team` out of `size_class`."""
        self._queues[size_class].remove(team)
        if size_class == "any":
            del self._credit[team]

    def serve(self, team: str, cost: float, weight: float) -> None:
        """Charge `team` for work that starts now."""
        self._weights[team] = weight
        self.charge(team, cost, weight)

    def charge(self, team: str, cost: float, weight: float) -> None:
        """Take `cost` from the credit of `team`."""
        if team in self._credit:
            self._credit[team] -= cost

    def remove_idle(self) -> None:
        """Do nothing: no idle team is remembered."""

    def find_first(self, size_class: SizeClass) -> str | None:
        """Return the team whose turn it is, going round until one has credit."""
        line = self._queues[size_class]
        while line and self._credit[line[0]] <= 0:
            team = line[0]
            self._credit[team] += QUANTUM_TOKENS * self._weights.get(team, 1.0)
            line.rotate(-1)
        return line[0] if line else None

    def count_teams_ahead(self, team: str, size_class: SizeClass) -> int:
        """Return how many teams wait: each may have its turn before."""
        return len(self._queues[size_class])

    def list_in_order(self) -> list[str]:
        """Return the teams that wait."""
        return list(self._queues["any"])
