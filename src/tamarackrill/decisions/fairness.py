"""Start-time fair queueing between the teams that wait for one endpoint pool.

Load pattern: one team surges, or sends much longer work than the others.  Without
fair queueing, requests are served in order of arrival, and the other teams wait
behind the surge: their latency grows with another team's load.

Each team has a start tag, the virtual time at which its next request may start.
The team with the lowest tag is served and its tag advances by cost / weight.  A team
that was idle resumes at the current virtual time, so it neither accumulates credit
nor is penalized.  docs/design/admission.md has the comparison with deficit round
robin.
"""

from bisect import bisect_left, insort
from typing import Literal, NamedTuple

SizeClass = Literal["any", "short", "long"]


class _Position(NamedTuple):
    start_tag: float
    sequence: int
    team: str


class FairScheduler:
    """Weighted fair order in which the teams of a pool are served.

    A team is queued in class ``"any"`` while it has requests waiting, and also in
    ``"short"`` and ``"long"`` while it has requests of that class.  The classes share
    one tag, so that no class can be used to exceed the team's share.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._sequence = 0
        self._positions: dict[str, _Position] = {}
        self._queues: dict[SizeClass, list[_Position]] = {
            "any": [],
            "short": [],
            "long": [],
        }

    def join(self, team: str, size_class: SizeClass) -> None:
        """Queue `team` in `size_class` unless it is queued there already."""
        position = self._positions.get(team)
        if position is None or not self._is_queued(position, "any"):
            position = self._set_position(
                team, max(position.start_tag if position else 0.0, self._virtual_time)
            )
        if not self._is_queued(position, size_class):
            insort(self._queues[size_class], position)

    def leave(self, team: str, size_class: SizeClass) -> None:
        """Remove `team` from `size_class`; its tag is kept until others catch up."""
        position = self._positions[team]
        queue = self._queues[size_class]
        del queue[bisect_left(queue, position)]
        if not self._queues["any"]:
            # With no team waiting, all tags can be reset; otherwise the tags of teams
            # that never return would stay in memory.
            self._positions.clear()
            self._virtual_time = 0.0

    def serve(self, team: str, cost: float, weight: float) -> None:
        """Charge `team` for work that starts now, and advance the virtual time."""
        position = self._positions[team]
        queue = self._queues["any"]
        # Not the tag of the served team: short requests may overtake a team whose
        # long requests have no slot, and that team must not lose its position.
        self._virtual_time = max(
            self._virtual_time, min(queue[0].start_tag, position.start_tag)
        )
        self.charge(team, cost, weight)

    def charge(self, team: str, cost: float, weight: float) -> None:
        """Advance the tag of `team` by `cost`; negative if work cost less."""
        position = self._positions.get(team)
        if position is None:
            return
        classes = [name for name in self._queues if self._is_queued(position, name)]
        for size_class in classes:
            queue = self._queues[size_class]
            del queue[bisect_left(queue, position)]
        updated = self._set_position(
            team, max(self._virtual_time, position.start_tag + cost / weight)
        )
        for size_class in classes:
            insort(self._queues[size_class], updated)

    def remove_idle(self) -> None:
        """Remove teams with nothing waiting whose tag is not ahead of virtual time."""
        for position in list(self._positions.values()):
            if position.start_tag <= self._virtual_time and not self._is_queued(
                position, "any"
            ):
                del self._positions[position.team]

    def find_first(self, size_class: SizeClass) -> str | None:
        """Return the team that is served next, or None if none waits."""
        queue = self._queues[size_class]
        return queue[0].team if queue else None

    def count_teams_ahead(self, team: str, size_class: SizeClass) -> int:
        """Return how many teams in `size_class` are served before `team`."""
        position = self._positions.get(team)
        if position is None or not self._is_queued(position, "any"):
            start_tag = max(position.start_tag if position else 0.0, self._virtual_time)
            position = _Position(start_tag, self._sequence + 1, "")
        return bisect_left(self._queues[size_class], position)

    def list_in_order(self) -> list[str]:
        """Return the waiting teams in the order in which they are served."""
        return [position.team for position in self._queues["any"]]

    def _set_position(self, team: str, start_tag: float) -> _Position:
        self._sequence += 1
        position = _Position(start_tag, self._sequence, team)
        self._positions[team] = position
        return position

    def _is_queued(self, position: _Position, size_class: SizeClass) -> bool:
        queue = self._queues[size_class]
        index = bisect_left(queue, position)
        return index < len(queue) and queue[index] == position
