"""Slots of endpoints: granted calls, calls that others sent, and reported slowdown.

Load pattern: routers that send without asking (older versions, an earlier allocator,
light load) use the slots that an allocator grants.  Without the endpoint's own reports,
its queue would fill; if the reports alone decided, such routers would leave nothing to
those that ask.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from tamarackrill.decisions.capacity.load_reports import LoadReport
from tamarackrill.decisions.capacity.slowdowns import SLOWDOWN_MIN
from tamarackrill.decisions.capacity.waiting_calls import WaitingCall
from tamarackrill.decisions.capacity.work_estimates import WorkEstimates

# Calls granted beyond the slots, so that the next one is on its way while one ends: a
# grant takes up to 3 ms of 45, and releases of several slots coincide.
OVERLAP_SHARE = 1 / 7
# Share of the slots that is always granted, whatever the endpoint reports.
OWN_SHARE_MIN = 0.5
# Time from a grant until its call is certainly in the endpoint's reports: two round
# trips between zones plus event-loop delay.
GRANT_TRAVEL_S = 0.04
# A call counts as overdue after this multiple of its expected duration, at least after
# the time above and some.  If reports don't show it either, its release was lost: with
# one in twenty lost, throughput at 1.8 times capacity is 0.93, and 0.89 if slots are
# unused until the lease expires.
OVERDUE_FACTOR = 1.5
OVERDUE_MIN_S = 0.05
# How long a report is valid: slowdowns change every 0.6 s, and each response has one.
REPORT_TTL_S = 1.0
# How long a computed rate is reused: a fraction of the time that a call takes.
RATE_TTL_S = 0.01


class _GrantTimes(NamedTuple):
    granted_s: float
    overdue_s: float


class EndpointSlots:
    """Calls at one endpoint, as its allocator knows them.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    slots : int
        Calls that it runs concurrently, above 0.
    """

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        # Granted calls, oldest first.
        self.granted: dict[str, _GrantTimes] = {}
        self._others = 0
        self._slowdown = 1.0
        self._reported_s = -math.inf
        self.set_slots(slots)

    def set_slots(self, slots: int) -> None:
        """Change the number of slots."""
        self.slots = slots
        self.limit = slots + math.ceil(slots * OVERLAP_SHARE)
        self._own_min = math.ceil(slots * OWN_SHARE_MIN)

    def grant(self, key: str, took_s: float, now_s: float) -> None:
        """Record a granted call that is expected to take `took_s`."""
        overdue_s = now_s + max(OVERDUE_MIN_S, OVERDUE_FACTOR * took_s)
        self.granted[key] = _GrantTimes(now_s, overdue_s)

    def observe(self, report: LoadReport, now_s: float) -> list[str]:
        """Record a load report; one older than the last is ignored.

        Returns
        -------
        list of str
            Granted calls that are overdue and, by the report, no longer there.
        """
        if now_s < self._reported_s:
            return []
        self._reported_s = now_s
        times = self.granted.values()
        arrived = sum(t.granted_s <= now_s - GRANT_TRAVEL_S for t in times)
        overdue = [key for key, t in self.granted.items() if t.overdue_s <= now_s]
        ended = overdue[: max(0, arrived - report.total)]
        self._others = max(0, report.total - len(self.granted) + len(ended))
        slowdown = 1.0 if report.slowdown is None else report.slowdown
        self._slowdown = max(SLOWDOWN_MIN, slowdown)
        return ended

    def count_others(self, now_s: float) -> int:
        """Return how many calls there this allocator has not granted."""
        return self._others if now_s < self._reported_s + REPORT_TTL_S else 0

    def find_slowdown(self, now_s: float) -> float:
        """Return the slowdown that the endpoint reports now, 1.0 if unknown."""
        return self._slowdown if now_s < self._reported_s + REPORT_TTL_S else 1.0

    def count_free(self, now_s: float) -> int:
        """Return how many more calls may be granted."""
        granted = len(self.granted)
        free = self.limit - granted - self.count_others(now_s)
        return max(0, free, self._own_min - granted)

    def count_unused(self, now_s: float) -> int:
        """Return how many slots have no call."""
        return max(0, self.slots - len(self.granted) - self.count_others(now_s))

    def count_grantable(self, now_s: float) -> int:
        """Return how many slots are this allocator's to grant, used or not."""
        return max(self._own_min, self.slots - self.count_others(now_s))

    def estimate_factor(self, now_s: float) -> float:
        """Return the duration of a further call over its duration in a free slot."""
        calls = len(self.granted) + self.count_others(now_s)
        return 1.0 + max(0, calls + 1 - self.slots) / self.slots


class EndpointPool:
    """Endpoints of one slot queue, with the estimates of work and speed."""

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointSlots] = {}
        self.estimates = WorkEstimates()
        self._rate = 0.0
        self._slots_grantable = 0
        self._rate_until_s = -math.inf

    def update(self, slots: Mapping[str, int]) -> None:
        """Add endpoints, or change the number of their slots."""
        self._rate_until_s = -math.inf
        for name, count in slots.items():
            if name in self.endpoints:
                self.endpoints[name].set_slots(count)
            elif count >= 1:
                self.endpoints[name] = EndpointSlots(name, count)

    def remove(self, name: str) -> set[str]:
        """Remove an endpoint with its speed, and return the calls granted there."""
        self._rate_until_s = -math.inf
        self.estimates.forget(name)
        removed = self.endpoints.pop(name, None)
        return set(removed.granted) if removed else set()

    def are_all_in(self, names: Collection[str]) -> bool:
        """Return whether a call that avoids `names` has no endpoint left."""
        return all(name in names for name in self.endpoints)

    def list_free(self, now_s: float) -> list[EndpointSlots]:
        """Return the endpoints to which a call can be granted."""
        return [e for e in self.endpoints.values() if e.count_free(now_s) > 0]

    def find_first(
        self,
        call: WaitingCall,
        endpoints: Iterable[EndpointSlots],
        now_s: float,
    ) -> EndpointSlots | None:
        """Return the one of `endpoints` at which `call` would complete first.

        None if the call can't be sent to any of them, or they are too slow for its
        deadline.
        """
        best, best_rank = None, (math.inf, math.inf)
        for endpoint in endpoints:
            if endpoint.name in call.request.avoid:
                continue
            slowdown = self.find_slowdown(endpoint, now_s)
            if now_s + call.work_s * slowdown > call.request.deadline_s:
                continue
            factor = slowdown * endpoint.estimate_factor(now_s)
            rank = (factor, len(endpoint.granted) / endpoint.slots)
            if rank < best_rank:
                best, best_rank = endpoint, rank
        return best

    def find_idle(self, call: WaitingCall, now_s: float) -> EndpointSlots | None:
        """Return an endpoint for a call that finds nothing queued."""
        free = self.list_free(now_s)
        if call.request.is_overflow:
            free = [endpoint for endpoint in free if endpoint.count_unused(now_s)]
        found = self.find_first(call, free, now_s)
        everywhere = self.endpoints.values()
        if found or self.find_first(call, everywhere, now_s):
            return found
        # By the estimates no endpoint can meet the deadline.  Granted all the same:
        # idle capacity costs nothing, and an estimate that is too high would never be
        # corrected if it kept all calls away.
        late = call._replace(request=call.request._replace(deadline_s=math.inf))
        return self.find_first(late, free, now_s)

    def find_slowdown(self, endpoint: EndpointSlots, now_s: float) -> float:
        """Return how long work takes at an endpoint now, 1.0 as usual."""
        speed = self.estimates.find_speed(endpoint.name)
        return speed * endpoint.find_slowdown(now_s)

    def measure_rate(self, now_s: float) -> float:
        """Return the slot-seconds of usual speed that can be granted per second."""
        if now_s >= self._rate_until_s:
            self._rate_until_s = now_s + RATE_TTL_S
            self._rate, self._slots_grantable = 0.0, 0
            for endpoint in self.endpoints.values():
                slots = endpoint.count_grantable(now_s)
                self._slots_grantable += slots
                self._rate += slots / self.find_slowdown(endpoint, now_s)
        return self._rate

    def estimate_took_s(self, work_s: float, now_s: float) -> float:
        """Return the expected duration of a call at an endpoint that is full.

        At the mean slowdown of the slots that can be granted, and behind the call that
        is granted beyond an endpoint's slots.
        """
        rate = self.measure_rate(now_s)
        return (1.0 + OVERLAP_SHARE) * work_s * self._slots_grantable / rate
