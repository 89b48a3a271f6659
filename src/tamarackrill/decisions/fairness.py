"""Start-time fair queueing between the teams that wait for one endpoint pool.

Load pattern: one team surges, or sends much longer work than the others.  Without
this, the order of arrival decides, and every other team waits behind the surge:
its callers see waits that grow with somebody else's load.

Each team carries a tag, the virtual time at which its next request may start.
The team with the lowest tag is served and its tag moves on by cost / weight.  A team
that was away starts at the present virtual time, so it neither saves up service nor
pays for having been away.  docs/design/admission.md has the comparison with deficit
round robin.
"""

from bisect import bisect_left, insort
from typing import Literal, NamedTuple

SizeClass = Literal["any", "short", "long"]


class _Place(NamedTuple):
    tag: float
    sequence: int
    team: str


class FairScheduler:
    """Whose turn it is, by weight.

    A team stands in lane ``"any"`` while it has work waiting, and also in the lanes
    ``"short"`` and ``"long"`` while it has such work.  The lanes share one tag, so
    that neither can be used to get more than the team's share.
    """

    def __init__(self) -> None:
        self._virtual = 0.0
        self._sequence = 0
        self._places: dict[str, _Place] = {}
        self._queues: dict[SizeClass, list[_Place]] = {
            "any": [],
            "short": [],
            "long": [],
        }

    def join(self, team: str, size_class: SizeClass) -> None:
        """Let `team` take its turn in `size_class`; does nothing if it stands there."""
        place = self._places.get(team)
        if place is None or not self._is_standing(place, "any"):
            place = self._make_place(
                team, max(place.tag if place else 0.0, self._virtual)
            )
        if not self._is_standing(place, size_class):
            insort(self._queues[size_class], place)

    def leave(self, team: str, size_class: SizeClass) -> None:
        """Remove `team` from `size_class`; its tag is kept until others catch up."""
        place = self._places[team]
        line = self._queues[size_class]
        del line[bisect_left(line, place)]
        if not self._queues["any"]:
            # Nobody waits: whoever comes next starts even, and the tags of teams
            # that are gone would otherwise stay in memory for good.
            self._places.clear()
            self._virtual = 0.0

    def serve(self, team: str, cost: float, weight: float) -> None:
        """Charge `team` for work that starts now, and move virtual time on."""
        place = self._places[team]
        line = self._queues["any"]
        # Not the tag of the served team: short work may overtake a team whose long
        # work has no slot, and that team must not lose its place by it.
        self._virtual = max(self._virtual, min(line[0].tag, place.tag))
        self.charge(team, cost, weight)

    def charge(self, team: str, cost: float, weight: float) -> None:
        """Move the turn of `team` by `cost`; negative for work that cost less."""
        place = self._places.get(team)
        if place is None:
            return
        lanes = [
            size_class
            for size_class in self._queues
            if self._is_standing(place, size_class)
        ]
        for size_class in lanes:
            line = self._queues[size_class]
            del line[bisect_left(line, place)]
        moved = self._make_place(team, max(self._virtual, place.tag + cost / weight))
        for size_class in lanes:
            insort(self._queues[size_class], moved)

    def remove_idle(self) -> None:
        """Drop teams that wait for nothing and owe nothing."""
        for place in list(self._places.values()):
            if place.tag <= self._virtual and not self._is_standing(place, "any"):
                del self._places[place.team]

    def find_first(self, size_class: SizeClass) -> str | None:
        """Return the team that is served next, or None if none waits."""
        line = self._queues[size_class]
        return line[0].team if line else None

    def count_teams_ahead(self, team: str, size_class: SizeClass) -> int:
        """Return how many teams have their turn in `size_class` before `team`."""
        place = self._places.get(team)
        if place is None or not self._is_standing(place, "any"):
            tag = max(place.tag if place else 0.0, self._virtual)
            place = _Place(tag, self._sequence + 1, "")
        return bisect_left(self._queues[size_class], place)

    def list_in_order(self) -> list[str]:
        """Return the teams that wait, first turn first."""
        return [place.team for place in self._queues["any"]]

    def _make_place(self, team: str, tag: float) -> _Place:
        self._sequence += 1
        place = _Place(tag, self._sequence, team)
        self._places[team] = place
        return place

    def _is_standing(self, place: _Place, size_class: SizeClass) -> bool:
        line = self._queues[size_class]
        index = bisect_left(line, place)
        return index < len(line) and line[index] == place
