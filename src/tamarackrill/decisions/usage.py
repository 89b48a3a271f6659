"""Sums the usage of each team over the fleet, by aggregators found by hashing.

Load pattern: 2,300 teams over 370 routers.  If each router reported each team to
every other, a node would receive some 80 KB/s at 6,500 requests a second.  Here a
router reports to one router of its zone, the team's zone aggregator, which reports
the zone's sum to one router of the fleet, the team's fleet aggregator; the fleet's
sum returns the same way.  An aggregator receives at most the reports of the routers
of a zone, or of the zones.

The report interval depends on how much an entry can affect a decision: 1 s if the
team is at half of a limit or above and the origin has a twentieth of the limit or
more; 4 s if the origin has less, since the noise of many small shares averages out;
else 16 s, or once the origin's share has changed by a twentieth of the limit.  Usage
below one request a second is only sampled each 64 s, so that the many teams that send
sporadically do not use up the bytes of the few that are at a limit.

The loss of an aggregator costs a report and a reply: the next router in rendezvous
order collects reports for `SETTLE_S` before it replies, so that no router takes a
partial sum for the whole.  A zone that cannot reach the fleet aggregator keeps using
the last sum, corrected by its own changes, for `REMOTE_USAGE_TTL_S`, then its own sum
alone.
"""

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from tamarackrill.contracts import Contract
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.decisions.limits import (
    REMOTE_USAGE_TTL_S,
    TeamUsage,
    UsageScope,
    add_usage,
    compute_utilization,
    hash_to_fraction,
)

# Upper bound of one encoded entry: names of 24 and 12 bytes, a byte of scope, four
# numbers of 4 bytes, and the framing of Thrift's compact protocol.
ENTRY_BYTES = 62
# IP and UDP headers, signature and framing of one datagram.
DIGEST_OVERHEAD_BYTES = 72
REPORT_INTERVAL_MIN_S = 1.0
REPORT_INTERVAL_SMALL_S = 4.0
REPORT_INTERVAL_MAX_S = 16.0
REPORT_INTERVAL_SPORADIC_S = 64.0
# Usage below these values is sporadic: two or three requests in the meter's window.
# The values are scaled down for fewer routers, which have fewer reports to save.
SPORADIC_PER_S = 1.0
SPORADIC_IN_FLIGHT = 4
SPORADIC_ROUTERS = 370
UTILIZATION_HIGH = 0.5
UTILIZATION_STEP = 0.05
SHARE_LARGE = 0.05
# Lowest utilization at which aggregators reply.  A router without replies uses the
# last one, or its own usage alone.  Up to half of the limit that does not change a
# decision, and replies would be half of all bytes.
REPLY_UTILIZATION_MIN = 0.5
# Usage below this is not worth a report: one request, 8 s ago.
EMPTY_PER_S = 0.02
# After a change of membership, two reports of a team at a limit.
SETTLE_S = 2.0
# An origin gets another reply when the sum has changed by a twentieth of the limit.
REPLY_STEP = 0.05
REPLY_INTERVAL_MAX_S = 8.0
# Unused bytes accumulate for this long: an aggregator has to inform all its routers
# of a surge within a second or two, and sends little in between.
BUDGET_WINDOW_S = 10.0
# An origin that missed a report at the longest interval is removed.
ORIGIN_TTL_S = 2 * REPORT_INTERVAL_SPORADIC_S
# Messages become due up to a tick late; a report must not wait for another tick.
_TICK_SLACK_S = 0.1


class RouterLocation(NamedTuple):
    """A router and its availability zone."""

    name: str
    zone: str


class UsageDigest(NamedTuple):
    """Entries to send to one router."""

    peer: str
    entries: tuple[TeamUsage, ...]


class _LastReport(NamedTuple):
    """Time and properties of the last report of a team."""

    at_s: float
    share: float
    empty: bool
    sporadic: bool


class _Aggregate:
    """Reports of one team from several origins, and the replies they need."""

    def __init__(self, now_s: float) -> None:
        self.created_s = now_s
        self.reports: dict[str, tuple[TeamUsage, float]] = {}
        # Sender of a report without a reply, by origin.
        self.unanswered: dict[str, str] = {}
        # Time and utilization of the last reply to each origin.
        self.replied: dict[str, tuple[float, float]] = {}

    def expire(self, ttl_s: float, now_s: float) -> None:
        """Remove origins without a report for `ttl_s`."""
        for origin, (_, at_s) in list(self.reports.items()):
            if now_s - at_s > ttl_s:
                del self.reports[origin]
                self.unanswered.pop(origin, None)
                self.replied.pop(origin, None)

    def compute_reply_age_s(self, origin: str, now_s: float) -> float:
        """Return the time since the last reply to `origin`, bounded."""
        at_s, _ = self.replied.get(origin, (-math.inf, 0.0))
        return min(now_s - at_s, REPORT_INTERVAL_MAX_S)

    def needs_reply(self, origin: str, utilization: float, now_s: float) -> bool:
        """Return whether `origin` needs a reply about a sum of this utilization."""
        at_s, last = self.replied.get(origin, (-math.inf, 0.0))
        step = REPLY_STEP * max(1.0, last)
        return abs(utilization - last) > step or now_s - at_s >= REPLY_INTERVAL_MAX_S

    def record_reply(self, origin: str, utilization: float, now_s: float) -> None:
        """Record a reply to `origin` about a sum of this utilization."""
        self.unanswered.pop(origin, None)
        self.replied[origin] = now_s, utilization

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


# Elapsed time as a multiple of the entry's interval, its receiver, and the entry.
_Due = tuple[float, str, TeamUsage]


class UsageExchange:
    """Reports, aggregates and receives the usage of all teams at one router.

    Parameters
    ----------
    router, zone : str
        Name and zone of this router.
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
        self._aggregators: dict[str, tuple[str, str]] = {}
        self._membership_changed_s = -math.inf
        self._zone_lost_s = -math.inf
        self._router_reports: dict[str, _LastReport] = {}
        self._zone_reports: dict[str, _LastReport] = {}
        self._zone_sums: dict[str, _Aggregate] = {}
        self._fleet_sums: dict[str, _Aggregate] = {}
        # As zone aggregator: the usage of all other zones, and when it was received.
        self._other_zones: dict[str, tuple[TeamUsage, float]] = {}
        # As any router: the usage of all other routers, and when it was received.
        self._other_routers: dict[str, tuple[TeamUsage, float]] = {}
        self._updates: dict[str, TeamUsage] = {}
        self._budget_bytes = 0.0
        self._collected_s = -math.inf

    def set_routers(self, routers: Sequence[RouterLocation], now_s: float) -> None:
        """Replace the list of live routers, which includes this one."""
        names = tuple(sorted(router.name for router in routers))
        zone_names = tuple(sorted(r.name for r in routers if r.zone == self._zone))
        if (names, zone_names) == (self._names, self._zone_names):
            return
        zones = frozenset(router.zone for router in routers)
        if self._zones - zones:
            self._zone_lost_s = now_s
        self._names, self._zone_names, self._zones = names, zone_names, zones
        self._aggregators.clear()
        self._membership_changed_s = now_s

    def find_aggregators(self, team: str) -> tuple[str, str]:
        """Return the zone aggregator and the fleet aggregator of a team."""
        if team not in self._aggregators:
            zone_aggregator = rendezvous_order(team, self._zone_names, 1)[0]
            fleet_aggregator = rendezvous_order(team, self._names, 1)[0]
            self._aggregators[team] = zone_aggregator, fleet_aggregator
        return self._aggregators[team]

    def collect(
        self, own: Sequence[TeamUsage], now_s: float, bytes_per_s: float
    ) -> list[UsageDigest]:
        """Return the digests to send now; call it every half second.

        Parameters
        ----------
        own : sequence of TeamUsage
            Usage of each team at this router.
        now_s : float
            Current time.
        bytes_per_s : float
            Byte rate of all digests together, as a mean over `BUDGET_WINDOW_S`.
            Entries that do not fit are deferred; the most overdue, as a multiple of
            their interval, are sent first.

        Returns
        -------
        list of UsageDigest
        """
        self._expire(now_s)
        due: list[_Due] = []
        for usage in own:
            due += self._collect_reports(usage, self._router_reports, now_s)
        for team, zone_sum in self._zone_sums.items():
            usage = zone_sum.total(team, "zone", self._zone)
            due += self._collect_reports(usage, self._zone_reports, now_s)
        for team, fleet_sum in self._fleet_sums.items():
            due += self._collect_replies(team, fleet_sum, "other_zones", now_s)
        for team, zone_sum in self._zone_sums.items():
            due += self._collect_replies(team, zone_sum, "other_routers", now_s)
        elapsed_s = min(BUDGET_WINDOW_S, now_s - self._collected_s)
        self._collected_s = now_s
        budget_bytes = self._budget_bytes + elapsed_s * bytes_per_s
        self._budget_bytes = min(budget_bytes, BUDGET_WINDOW_S * bytes_per_s)
        return self._pack(due, now_s)

    def observe(self, sender: str, entries: Sequence[TeamUsage], now_s: float) -> None:
        """Process the entries of a digest from another router."""
        for usage in entries:
            zone_aggregator, fleet_aggregator = self.find_aggregators(usage.team)
            if usage.scope == "router" and zone_aggregator == self._router:
                _add_report(self._zone_sums, sender, usage, now_s)
            elif usage.scope == "zone" and fleet_aggregator == self._router:
                _add_report(self._fleet_sums, sender, usage, now_s)
            elif usage.scope == "other_zones" and usage.origin == self._zone:
                self._update_other_zones(usage, now_s)
            elif usage.scope == "other_routers" and usage.origin == self._router:
                self._updates[usage.team] = usage
                self._other_routers[usage.team] = usage, now_s

    def drain_updates(self) -> list[TeamUsage]:
        """Return usage of other routers received since the last call."""
        updates = list(self._updates.values())
        self._updates.clear()
        return updates

    def _update_other_zones(self, usage: TeamUsage, now_s: float) -> None:
        known, at_s = self._other_zones.get(usage.team, (None, -math.inf))
        holding = known is not None and now_s - self._zone_lost_s < REMOTE_USAGE_TTL_S
        # In a partition, the fleet aggregator of this side gets no reports from the
        # other side.  Its sum would give each side the whole limit at once.
        if holding and known and known.requests_per_s > usage.requests_per_s:
            return
        self._other_zones[usage.team] = usage, now_s

    def _expire(self, now_s: float) -> None:
        for sums, index, ttl_s in (
            (self._zone_sums, 0, ORIGIN_TTL_S),
            (self._fleet_sums, 1, REMOTE_USAGE_TTL_S),
        ):
            for team, team_sum in list(sums.items()):
                team_sum.expire(ttl_s, now_s)
                is_aggregator = self.find_aggregators(team)[index] == self._router
                if not is_aggregator or not team_sum.reports:
                    del sums[team]
        for others in (self._other_zones, self._other_routers):
            for team, (_, at_s) in list(others.items()):
                if now_s - at_s > REMOTE_USAGE_TTL_S:
                    del others[team]
        for reports in (self._router_reports, self._zone_reports):
            for team, last in list(reports.items()):
                if last.empty and now_s - last.at_s > ORIGIN_TTL_S:
                    del reports[team]

    def _collect_reports(
        self, usage: TeamUsage, reports: dict[str, _LastReport], now_s: float
    ) -> list[_Due]:
        contract = self._find_contract(usage.team)
        if contract is None:
            return []
        is_zone = usage.scope == "zone"
        known = self._other_zones if is_zone else self._other_routers
        others = known.get(usage.team)
        total = add_usage(usage, others[0]) if others else usage
        share = compute_utilization(usage, contract)
        utilization = compute_utilization(total, contract)
        if usage.team not in reports:
            reports[usage.team] = self._schedule_first(usage, now_s)
        last = reports[usage.team]
        # Both must be small: if a rise were reported soon but a fall late, sums would
        # be too high and teams would be refused below their limits.
        sporadic = self._is_sporadic(usage) and last.sporadic and not is_zone
        interval_s = _choose_interval_s(utilization, max(share, last.share), sporadic)
        if abs(share - last.share) > UTILIZATION_STEP and not sporadic:
            interval_s = REPORT_INTERVAL_MIN_S
        overdue = (now_s - last.at_s + _TICK_SLACK_S) / interval_s
        if overdue < 1.0:
            return []
        if last.empty and _is_empty(usage):
            # Counts as a sample, though not worth a message.  Otherwise the sums of
            # sporadic usage would leave out the pauses and be too high.
            reports[usage.team] = last._replace(at_s=now_s)
            return []
        return [(overdue, self.find_aggregators(usage.team)[int(is_zone)], usage)]

    def _schedule_first(self, usage: TeamUsage, now_s: float) -> _LastReport:
        # At a hashed time in the first interval, so that sporadic usage is sampled
        # instead of reported each time it starts.
        offset = hash_to_fraction(f"{usage.team}/{self._router}")
        interval_s = (
            REPORT_INTERVAL_MAX_S
            if usage.scope == "zone"
            else REPORT_INTERVAL_SPORADIC_S
        )
        return _LastReport(now_s - offset * interval_s, 0.0, True, True)

    def _is_sporadic(self, usage: TeamUsage) -> bool:
        scale = min(1.0, len(self._names) / SPORADIC_ROUTERS)
        return (
            usage.requests_per_s < SPORADIC_PER_S * scale
            and usage.in_flight < SPORADIC_IN_FLIGHT * scale
        )

    def _collect_replies(
        self, team: str, team_sum: _Aggregate, scope: UsageScope, now_s: float
    ) -> list[_Due]:
        contract = self._find_contract(team)
        if contract is None or not self._is_settled(team_sum, now_s):
            return []
        total = team_sum.total(team, scope, "")
        if scope == "other_routers" and team in self._other_zones:
            total = add_usage(total, self._other_zones[team][0])
        utilization = compute_utilization(total, contract)
        due = []
        for origin, sender in list(team_sum.unanswered.items()):
            others = add_usage(total, team_sum.reports[origin][0], -1)
            others_utilization = compute_utilization(others, contract)
            # Compares the usage of the others: an origin knows its own, and arrivals
            # that move to it change the others' usage but not the sum.
            if utilization >= REPLY_UTILIZATION_MIN and team_sum.needs_reply(
                origin, others_utilization, now_s
            ):
                overdue = (
                    team_sum.compute_reply_age_s(origin, now_s)
                    / REPORT_INTERVAL_SMALL_S
                )
                due.append((overdue, sender, others._replace(origin=origin)))
            else:
                del team_sum.unanswered[origin]
        return due

    def _is_settled(self, team_sum: _Aggregate, now_s: float) -> bool:
        is_new_aggregator = (
            team_sum.created_s - self._membership_changed_s < ORIGIN_TTL_S
        )
        return not is_new_aggregator or now_s - team_sum.created_s >= SETTLE_S

    def _pack(self, due: list[_Due], now_s: float) -> list[UsageDigest]:
        due.sort(key=lambda item: -item[0])
        packed: dict[str, list[TeamUsage]] = {}
        for _, peer, usage in due:
            if peer == self._router:
                self._record_sent(usage, now_s)
                self.observe(peer, (usage,), now_s)
                continue
            overhead = 0 if peer in packed else DIGEST_OVERHEAD_BYTES
            if self._budget_bytes < ENTRY_BYTES + overhead:
                continue
            self._budget_bytes -= ENTRY_BYTES + overhead
            packed.setdefault(peer, []).append(usage)
            self._record_sent(usage, now_s)
        return [UsageDigest(peer, tuple(entries)) for peer, entries in packed.items()]

    def _record_sent(self, usage: TeamUsage, now_s: float) -> None:
        contract = self._find_contract(usage.team)
        if contract is None:
            return
        utilization = compute_utilization(usage, contract)
        report = _LastReport(
            now_s, utilization, _is_empty(usage), self._is_sporadic(usage)
        )
        if usage.scope == "router":
            self._router_reports[usage.team] = report
        elif usage.scope == "zone":
            self._zone_reports[usage.team] = report
        elif usage.scope == "other_zones":
            fleet_sum = self._fleet_sums[usage.team]
            fleet_sum.record_reply(usage.origin, utilization, now_s)
        else:
            zone_sum = self._zone_sums[usage.team]
            zone_sum.record_reply(usage.origin, utilization, now_s)


def _add_report(
    sums: dict[str, _Aggregate], sender: str, usage: TeamUsage, now_s: float
) -> None:
    team_sum = sums.setdefault(usage.team, _Aggregate(now_s))
    team_sum.reports[usage.origin] = usage, now_s
    team_sum.unanswered[usage.origin] = sender


def _is_empty(usage: TeamUsage) -> bool:
    return not usage.in_flight and usage.requests_per_s < EMPTY_PER_S


def _choose_interval_s(utilization: float, share: float, sporadic: bool) -> float:
    if utilization < UTILIZATION_HIGH:
        return REPORT_INTERVAL_SPORADIC_S if sporadic else REPORT_INTERVAL_MAX_S
    return (
        REPORT_INTERVAL_MIN_S
        if share >= SHARE_LARGE and not sporadic
        else REPORT_INTERVAL_SMALL_S
    )
