"""Sums the usage of each team over the fleet, through homes found by hashing.

Load pattern: 2,300 teams over 370 routers.  If each router told every other of each
team, a node would receive some 80 KB/s at 6,500 requests a second.  Here a router
tells one router of its zone, the team's zone home; that tells the zone's sum to one
router of the fleet, the team's fleet home; and the fleet's sum comes back on the same
way.  No home has more than a zone's routers, or the zones, to listen to.

How often an entry is sent follows what it can decide: each second if the team is at
half of a limit or above and the origin has a twentieth of the limit or more; each 4 s
if the origin has less, since the noise of many small parts averages out; else each
16 s, and when the origin's part has changed by a twentieth of the limit.  What is
below a request a second is only sampled each minute, so that the many teams that send
now and then do not take the bytes of the few that are at a limit.

A home that is lost costs a report and a reply: the next in rendezvous order collects
the reports for `SETTLE_S` before it answers, so that nobody takes a part of a sum
for the whole.  A zone that cannot reach the fleet home goes on with the last sum,
corrected by its own changes, for `HOLD_S`, then with its own sum alone.
"""

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from tamarackrill.contracts import Contract
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.decisions.limits import (
    HOLD_S,
    TeamUsage,
    UsageScope,
    add_usage,
    hash_unit,
    measure_pressure,
)

# Most bytes of one encoded entry: names of 24 and 12 bytes, a byte of scope, four
# numbers of 4 bytes, and the framing of thrift's compact form.
ENTRY_BYTES = 62
# IP and UDP headers, signature and framing of one datagram.
DIGEST_OVERHEAD_BYTES = 72
REPORT_MIN_S = 1.0
REPORT_SMALL_S = 4.0
REPORT_MAX_S = 16.0
REPORT_SAMPLED_S = 64.0
# Less than this is a visit: two or three requests in the meter's window.  In a fleet of
# fewer routers it is less in proportion, as there are fewer reports to save.
VISIT_PER_S = 1.0
VISIT_IN_FLIGHT = 4
VISIT_ROUTERS = 370
PRESSURE_HIGH = 0.5
PRESSURE_STEP = 0.05
PART_LARGE = 0.05
# A router that hears nothing takes what it heard last for right, or its own usage for
# all there is.  Up to half of the limit that decides nothing, and answers would be
# half of all bytes.
PRESSURE_TOLD = 0.5
# A usage below this is not worth a report: one request, 8 s ago.
EMPTY_PER_S = 0.02
# After a change of membership, two reports of a contended team.
SETTLE_S = 2.0
# A home tells an origin again when the sum has moved by a twentieth of the limit.
TOLD_STEP = 0.05
TOLD_MAX_S = 8.0
# Bytes not used are saved up for so long: a home has to tell all its routers of a
# surge within a second or two, and has little to say in between.
SAVED_S = 10.0
# An origin that missed a report at the slowest pace is gone.
ORIGIN_LOST_S = 2 * REPORT_SAMPLED_S
# Due messages shift by up to a tick; a report must not wait for one more.
_TICK_SLACK_S = 0.1


class RouterLocation(NamedTuple):
    """A router and its availability zone."""

    name: str
    zone: str


class UsageDigest(NamedTuple):
    """Entries for one router."""

    peer: str
    entries: tuple[TeamUsage, ...]


class _Sent(NamedTuple):
    """What was last reported of a team, and how large it was."""

    at_s: float
    part: float
    empty: bool
    visit: bool


class _Sum:
    """Reports of one team from several origins, and whom to answer."""

    def __init__(self, now_s: float) -> None:
        self.since_s = now_s
        self.reports: dict[str, tuple[TeamUsage, float]] = {}
        # Sender of a report that has not been answered, by origin.
        self.unanswered: dict[str, str] = {}
        # What each origin was last told: when, and the pressure.
        self.told: dict[str, tuple[float, float]] = {}

    def forget(self, lost_s: float, now_s: float) -> None:
        """Drop origins that were not heard of for `lost_s`."""
        for origin, (_, at_s) in list(self.reports.items()):
            if now_s - at_s > lost_s:
                del self.reports[origin]
                self.unanswered.pop(origin, None)
                self.told.pop(origin, None)

    def count_untold_s(self, origin: str, now_s: float) -> float:
        """Return for how long `origin` was not told anything."""
        at_s, _ = self.told.get(origin, (-math.inf, 0.0))
        return min(now_s - at_s, REPORT_MAX_S)

    def is_news(self, origin: str, pressure: float, now_s: float) -> bool:
        """Return whether `origin` should hear of a sum of this pressure."""
        at_s, told = self.told.get(origin, (-math.inf, 0.0))
        step = TOLD_STEP * max(1.0, told)
        return abs(pressure - told) > step or now_s - at_s >= TOLD_MAX_S

    def note_answer(self, origin: str, pressure: float, now_s: float) -> None:
        """Take note that `origin` was told a sum of this pressure."""
        self.unanswered.pop(origin, None)
        self.told[origin] = now_s, pressure

    def total(self, team: str, scope: UsageScope, origin: str) -> TeamUsage:
        """Return the sum of all reports."""
        usages = [usage for usage, _ in self.reports.values()]
        return TeamUsage(
            team,
            scope,
            origin,
            sum(usage.requests_per_s for usage in usages),
            sum(usage.tokens_per_s for usage in usages),
            sum(usage.in_flight for usage in usages),
            sum(usage.done_per_s for usage in usages),
        )


# How often the entry could have been sent since it was due, its receiver, and itself.
_Due = tuple[float, str, TeamUsage]


class UsageExchange:
    """One router's part in summing the usage of all teams.

    Parameters
    ----------
    router, zone : str
        Of this router.
    find_contract : callable
        Returns the contract of a team, or None.
    """

    def __init__(
        self,
        router: str,
        zone: str,
        find_contract: Callable[[str], Contract | None],
    ) -> None:
        self._router = router
        self._zone = zone
        self._find_contract = find_contract
        self._names: tuple[str, ...] = (router,)
        self._zone_names: tuple[str, ...] = (router,)
        self._zones: frozenset[str] = frozenset([zone])
        self._homes: dict[str, tuple[str, str]] = {}
        self._changed_s = -math.inf
        self._zone_lost_s = -math.inf
        self._router_sent: dict[str, _Sent] = {}
        self._zone_sent: dict[str, _Sent] = {}
        self._zone_sums: dict[str, _Sum] = {}
        self._fleet_sums: dict[str, _Sum] = {}
        # As home in this zone: the usage of all other zones, and when it was heard.
        self._other_zones: dict[str, tuple[TeamUsage, float]] = {}
        # As any router: the usage of all other routers, likewise.
        self._other_routers: dict[str, tuple[TeamUsage, float]] = {}
        self._heard: dict[str, TeamUsage] = {}
        self._saved_bytes = 0.0
        self._collected_s = -math.inf

    def set_routers(self, routers: Sequence[RouterLocation], now_s: float) -> None:
        """Replace the list of live routers, this one included."""
        names = tuple(sorted(place.name for place in routers))
        zone_names = tuple(sorted(p.name for p in routers if p.zone == self._zone))
        if (names, zone_names) == (self._names, self._zone_names):
            return
        zones = frozenset(place.zone for place in routers)
        if self._zones - zones:
            self._zone_lost_s = now_s
        self._names, self._zone_names, self._zones = names, zone_names, zones
        self._homes.clear()
        self._changed_s = now_s

    def find_homes(self, team: str) -> tuple[str, str]:
        """Return the home of a team in this zone and the one of the fleet."""
        if team not in self._homes:
            zone_home = rendezvous_order(team, self._zone_names, 1)[0]
            fleet_home = rendezvous_order(team, self._names, 1)[0]
            self._homes[team] = zone_home, fleet_home
        return self._homes[team]

    def collect(
        self, own: Sequence[TeamUsage], now_s: float, bytes_per_s: float
    ) -> list[UsageDigest]:
        """Return what to send now; call it each half second.

        Parameters
        ----------
        own : sequence of TeamUsage
            Own usage of this router, each team.
        now_s : float
            Present time.
        bytes_per_s : float
            Most bytes of all digests together, as a mean over `SAVED_S`.  What does
            not fit is sent the next time; what has waited longest, measured by how
            often it should be sent, goes first.

        Returns
        -------
        list of UsageDigest
        """
        self._forget(now_s)
        due: list[_Due] = []
        for usage in own:
            due += self._report(usage, self._router_sent, now_s)
        for team, zone_sum in self._zone_sums.items():
            usage = zone_sum.total(team, "zone", self._zone)
            due += self._report(usage, self._zone_sent, now_s)
        for team, fleet_sum in self._fleet_sums.items():
            due += self._answer(team, fleet_sum, "other_zones", now_s)
        for team, zone_sum in self._zone_sums.items():
            due += self._answer(team, zone_sum, "other_routers", now_s)
        elapsed_s = min(SAVED_S, now_s - self._collected_s)
        self._collected_s = now_s
        saved_bytes = self._saved_bytes + elapsed_s * bytes_per_s
        self._saved_bytes = min(saved_bytes, SAVED_S * bytes_per_s)
        return self._pack(due, now_s)

    def observe(self, sender: str, entries: Sequence[TeamUsage], now_s: float) -> None:
        """Take in the entries of a digest from another router."""
        for usage in entries:
            zone_home, fleet_home = self.find_homes(usage.team)
            if usage.scope == "router" and zone_home == self._router:
                _take_report(self._zone_sums, sender, usage, now_s)
            elif usage.scope == "zone" and fleet_home == self._router:
                _take_report(self._fleet_sums, sender, usage, now_s)
            elif usage.scope == "other_zones" and usage.origin == self._zone:
                self._take_other_zones(usage, now_s)
            elif usage.scope == "other_routers" and usage.origin == self._router:
                self._heard[usage.team] = usage
                self._other_routers[usage.team] = usage, now_s

    def drain_updates(self) -> list[TeamUsage]:
        """Return what was heard of all other routers since the last call."""
        heard = list(self._heard.values())
        self._heard.clear()
        return heard

    def _take_other_zones(self, usage: TeamUsage, now_s: float) -> None:
        known, at_s = self._other_zones.get(usage.team, (None, -math.inf))
        holding = known is not None and now_s - self._zone_lost_s < HOLD_S
        # The fleet home of this side of a partition hears nothing of the other side.
        # Its sum would give each side the whole limit at once.
        if holding and known and known.requests_per_s > usage.requests_per_s:
            return
        self._other_zones[usage.team] = usage, now_s

    def _forget(self, now_s: float) -> None:
        for sums, home, lost_s in (
            (self._zone_sums, 0, ORIGIN_LOST_S),
            (self._fleet_sums, 1, HOLD_S),
        ):
            for team, team_sum in list(sums.items()):
                team_sum.forget(lost_s, now_s)
                is_home = self.find_homes(team)[home] == self._router
                if not is_home or not team_sum.reports:
                    del sums[team]
        for others in (self._other_zones, self._other_routers):
            for team, (_, at_s) in list(others.items()):
                if now_s - at_s > HOLD_S:
                    del others[team]
        for sent in (self._router_sent, self._zone_sent):
            for team, last in list(sent.items()):
                if last.empty and now_s - last.at_s > ORIGIN_LOST_S:
                    del sent[team]

    def _report(
        self, usage: TeamUsage, sent: dict[str, _Sent], now_s: float
    ) -> list[_Due]:
        contract = self._find_contract(usage.team)
        if contract is None:
            return []
        is_zone = usage.scope == "zone"
        known = self._other_zones if is_zone else self._other_routers
        others = known.get(usage.team)
        whole = add_usage(usage, others[0]) if others else usage
        part = measure_pressure(usage, contract)
        pressure = measure_pressure(whole, contract)
        if usage.team not in sent:
            sent[usage.team] = self._schedule_first(usage, now_s)
        last = sent[usage.team]
        # Both must be small: were only the rise reported soon and the fall late, the
        # sums would be too high, and teams be refused below their limits.
        visit = self._is_visit(usage) and last.visit and not is_zone
        pace_s = _choose_pace_s(pressure, max(part, last.part), visit)
        if abs(part - last.part) > PRESSURE_STEP and not visit:
            pace_s = REPORT_MIN_S
        overdue = (now_s - last.at_s + _TICK_SLACK_S) / pace_s
        if overdue < 1.0:
            return []
        if last.empty and _is_empty(usage):
            # A sample too, though not worth a message.  If the next visit were taken
            # instead, sums would be too high by the pauses between the visits.
            sent[usage.team] = last._replace(at_s=now_s)
            return []
        return [(overdue, self.find_homes(usage.team)[int(is_zone)], usage)]

    def _schedule_first(self, usage: TeamUsage, now_s: float) -> _Sent:
        # Somewhere in the first interval: short visits of a team are sampled, and not
        # each of them is reported.
        unit = hash_unit(f"{usage.team}/{self._router}")
        pace_s = REPORT_MAX_S if usage.scope == "zone" else REPORT_SAMPLED_S
        return _Sent(now_s - unit * pace_s, 0.0, True, True)

    def _is_visit(self, usage: TeamUsage) -> bool:
        scale = min(1.0, len(self._names) / VISIT_ROUTERS)
        return (
            usage.requests_per_s < VISIT_PER_S * scale
            and usage.in_flight < VISIT_IN_FLIGHT * scale
        )

    def _answer(
        self, team: str, team_sum: _Sum, scope: UsageScope, now_s: float
    ) -> list[_Due]:
        contract = self._find_contract(team)
        if contract is None or not self._is_settled(team_sum, now_s):
            return []
        total = team_sum.total(team, scope, "")
        if scope == "other_routers" and team in self._other_zones:
            total = add_usage(total, self._other_zones[team][0])
        pressure = measure_pressure(total, contract)
        due = []
        for origin, sender in list(team_sum.unanswered.items()):
            others = add_usage(total, team_sum.reports[origin][0], -1)
            theirs = measure_pressure(others, contract)
            # News for an origin is what the others do: it knows its own part, and
            # arrivals that move to it change the others' usage but not the sum.
            if pressure >= PRESSURE_TOLD and team_sum.is_news(origin, theirs, now_s):
                overdue = team_sum.count_untold_s(origin, now_s) / REPORT_SMALL_S
                due.append((overdue, sender, others._replace(origin=origin)))
            else:
                del team_sum.unanswered[origin]
        return due

    def _is_settled(self, team_sum: _Sum, now_s: float) -> bool:
        is_new_home = team_sum.since_s - self._changed_s < ORIGIN_LOST_S
        return not is_new_home or now_s - team_sum.since_s >= SETTLE_S

    def _pack(self, due: list[_Due], now_s: float) -> list[UsageDigest]:
        due.sort(key=lambda item: -item[0])
        packed: dict[str, list[TeamUsage]] = {}
        for _, peer, usage in due:
            if peer == self._router:
                self._note_sent(usage, now_s)
                self.observe(peer, (usage,), now_s)
                continue
            overhead = 0 if peer in packed else DIGEST_OVERHEAD_BYTES
            if self._saved_bytes < ENTRY_BYTES + overhead:
                continue
            self._saved_bytes -= ENTRY_BYTES + overhead
            packed.setdefault(peer, []).append(usage)
            self._note_sent(usage, now_s)
        return [UsageDigest(peer, tuple(found)) for peer, found in packed.items()]

    def _note_sent(self, usage: TeamUsage, now_s: float) -> None:
        contract = self._find_contract(usage.team)
        if contract is None:
            return
        pressure = measure_pressure(usage, contract)
        sent = _Sent(now_s, pressure, _is_empty(usage), self._is_visit(usage))
        if usage.scope == "router":
            self._router_sent[usage.team] = sent
        elif usage.scope == "zone":
            self._zone_sent[usage.team] = sent
        elif usage.scope == "other_zones":
            fleet_sum = self._fleet_sums[usage.team]
            fleet_sum.note_answer(usage.origin, pressure, now_s)
        else:
            zone_sum = self._zone_sums[usage.team]
            zone_sum.note_answer(usage.origin, pressure, now_s)


def _take_report(
    sums: dict[str, _Sum], sender: str, usage: TeamUsage, now_s: float
) -> None:
    team_sum = sums.setdefault(usage.team, _Sum(now_s))
    team_sum.reports[usage.origin] = usage, now_s
    team_sum.unanswered[usage.origin] = sender


def _is_empty(usage: TeamUsage) -> bool:
    return not usage.in_flight and usage.requests_per_s < EMPTY_PER_S


def _choose_pace_s(pressure: float, part: float, visit: bool) -> float:
    if pressure < PRESSURE_HIGH:
        return REPORT_SAMPLED_S if visit else REPORT_MAX_S
    return REPORT_MIN_S if part >= PART_LARGE and not visit else REPORT_SMALL_S
