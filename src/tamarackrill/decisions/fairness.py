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

Lane = Literal["any", "short", "long"]


class _Place(NamedTuple):
    tag: float
    sequence: int
    team: str


class FairShares:
    """Whose turn it is, by weight.

    A team stands in lane ``"any"`` while it has work waiting, and also in the lanes
    ``"short"`` and ``"long"`` while it has such work.  The lanes share one tag, so
    that neither can be used to get more than the team's share.
    """

    def __init__(self) -> None:
        self._virtual = 0.0
        self._sequence = 0
        self._places: dict[str, _Place] = {}
        self._lanes: dict[Lane, list[_Place]] = {"any": [], "short": [], "long": []}

    def join(self, team: str, lane: Lane) -> None:
        """Let `team` take its turn in `lane`; does nothing if it stands there."""
        place = self._places.get(team)
        if place is None or not self._is_standing(place, "any"):
            place = self._make_place(
                team, max(place.tag if place else 0.0, self._virtual)
            )
        if not self._is_standing(place, lane):
            insort(self._lanes[lane], place)

    def leave(self, team: str, lane: Lane) -> None:
        """Take `team` out of `lane`; it keeps what it owes until others caught up."""
        place = self._places[team]
        line = self._lanes[lane]
        del line[bisect_left(line, place)]
        if not self._lanes["any"]:
            # Nobody waits: whoever comes next starts even, and the tags of teams
            # that are gone would otherwise stay in memory for good.
            self._places.clear()
            self._virtual = 0.0

    def serve(self, team: str, cost: float, weight: float) -> None:
        """Charge `team` for work that starts now, and move virtual time on."""
        place = self._places[team]
        line = self._lanes["any"]
        # Not the tag of the served team: short work may overtake a team whose long
        # work has no slot, and that team must not lose its place by it.
        self._virtual = max(self._virtual, min(line[0].tag, place.tag))
        self.charge(team, cost, weight)

    def charge(self, team: str, cost: float, weight: float) -> None:
        """Move the turn of `team` by `cost`; negative for work that cost less."""
        place = self._places.get(team)
        if place is None:
            return
        lanes = [lane for lane in self._lanes if self._is_standing(place, lane)]
        for lane in lanes:
            line = self._lanes[lane]
            del line[bisect_left(line, place)]
        moved = self._make_place(team, max(self._virtual, place.tag + cost / weight))
        for lane in lanes:
            insort(self._lanes[lane], moved)

    def forget_idle(self) -> None:
        """Drop teams that wait for nothing and owe nothing."""
        for place in list(self._places.values()):
            if place.tag <= self._virtual and not self._is_standing(place, "any"):
                del self._places[place.team]

    def find_first(self, lane: Lane) -> str | None:
        """Return the team whose turn it is, or None if nobody stands in `lane`."""
        line = self._lanes[lane]
        return line[0].team if line else None

    def count_before(self, team: str, lane: Lane) -> int:
        """Return how many teams have their turn in `lane` before `team`."""
        place = self._places.get(team)
        if place is None or not self._is_standing(place, "any"):
            tag = max(place.tag if place else 0.0, self._virtual)
            place = _Place(tag, self._sequence + 1, "")
        return bisect_left(self._lanes[lane], place)

    def list_in_order(self) -> list[str]:
        """Return the teams that wait, first turn first."""
        return [place.team for place in self._lanes["any"]]

    def _make_place(self, team: str, tag: float) -> _Place:
        self._sequence += 1
        place = _Place(tag, self._sequence, team)
        self._places[team] = place
        return place

    def _is_standing(self, place: _Place, lane: Lane) -> bool:
        line = self._lanes[lane]
        index = bisect_left(line, place)
        return index < len(line) and line[index] == place
