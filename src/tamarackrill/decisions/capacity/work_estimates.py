"""Expected work of calls by route and team, and the speed of endpoints.

Load pattern: calls of one route take ten times as long as those of another, and some
endpoints are slower than others for the same call.  Without estimates, a team that
sends heavy calls gets a multiple of its share, and waits can't be predicted.

A team may use a route for heavier calls than the others do, so each has an average of
its own.  With one for all, its queued calls would be counted as a fraction of their
work, and its waits would be longer than it was told.

Work is the time that a call takes at an endpoint of average speed that reports no
slowdown.  The speed of an endpoint is relative to the geometric mean of all of them:
time is work times speed, so without that reference one could grow while the other
shrinks, and neither would mean anything.
"""

import math
from collections import OrderedDict

# Weight of a new observation: the averages follow within 20 calls, which is less than
# half a second at 50 calls/s.
WORK_WEIGHT = 0.05
# Slower than the work, so that a run of heavy calls isn't taken for a slow endpoint.
SPEED_WEIGHT = 0.03
# An observation counts as at most this multiple of the average: a single call that hung
# for a second must not stop admission, but a real change is followed within five calls.
OUTLIER_FACTOR = 4.0
# Work of a call of an unknown route, as a share of its objective: objectives are set to
# a few times the usual duration.
UNKNOWN_WORK_SHARE = 0.25
# Work is at least this: costs of zero would let a team's calls pass without limit.
WORK_MIN_S = 0.001
# Longest duration that is taken as an observation; deadlines are shorter.
TOOK_MAX_S = 300.0
# Range of an endpoint's speed; beyond it, outlier detection ejects the endpoint.
SPEED_MIN = 0.25
SPEED_MAX = 8.0
# Routes and teams whose work is known, some 250 bytes each: 1 MB at most.
AVERAGES_MAX = 4_096


class WorkEstimates:
    """Moving averages of the work of routes and the speed of endpoints."""

    def __init__(self) -> None:
        # By route and team; with team None, of all teams.
        self._work_s: OrderedDict[tuple[str, str | None], float] = OrderedDict()
        self._speeds: dict[str, float] = {}
        # Sum of the logarithms of the speeds, for their geometric mean.
        self._log_sum = 0.0

    def expect_s(self, route: str, team: str, objective_left_s: float) -> float:
        """Return the expected work of a call of `route`.

        Parameters
        ----------
        route : str
            Name of the route.
        team : str
            Team of the caller.
        objective_left_s : float
            Time until the call's objective; used while the route is unknown.
        """
        known_s = self._find_known_s(route, team)
        if known_s is not None:
            return known_s
        return max(WORK_MIN_S, UNKNOWN_WORK_SHARE * objective_left_s)

    def find_speed(self, endpoint: str) -> float:
        """Return how long work takes at `endpoint`, 1.0 at one of average speed."""
        speed = self._speeds.get(endpoint)
        if speed is None:
            return 1.0
        return speed / math.exp(self._log_sum / len(self._speeds))

    def observe(
        self, route: str, team: str, endpoint: str, took_s: float, slowdown: float
    ) -> float | None:
        """Record the duration of a call, and return its work.

        Parameters
        ----------
        route : str
            Name of its route.
        team : str
            Team of the caller.
        endpoint : str
            Where it ran.
        took_s : float
            Its duration.
        slowdown : float
            What the endpoint reported at that time.

        Returns
        -------
        float or None
            Work of this call in slot-seconds; None if `took_s` can't be true.
        """
        if not 0.0 <= took_s <= TOOK_MAX_S:
            return None
        usual_s = took_s / slowdown
        work_s = max(WORK_MIN_S, usual_s / self.find_speed(endpoint))
        average_s = self._find_known_s(route, team)
        if average_s is not None:
            work_s = min(work_s, OUTLIER_FACTOR * average_s)
            self._set_speed(endpoint, usual_s / average_s)
        for key in ((route, team), (route, None)):
            old_s = self._work_s.get(key, work_s)
            self._set_work(key, old_s + WORK_WEIGHT * (work_s - old_s))
        return work_s

    def forget(self, endpoint: str) -> None:
        """Discard the speed of an endpoint that has gone or restarted."""
        speed = self._speeds.pop(endpoint, None)
        if speed is not None:
            self._log_sum -= math.log(speed)
        if not self._speeds:
            self._log_sum = 0.0

    def _find_known_s(self, route: str, team: str) -> float | None:
        known_s = self._work_s.get((route, team))
        return self._work_s.get((route, None)) if known_s is None else known_s

    def _set_work(self, key: tuple[str, str | None], work_s: float) -> None:
        self._work_s[key] = work_s
        self._work_s.move_to_end(key)
        if len(self._work_s) > AVERAGES_MAX:
            self._work_s.popitem(last=False)

    def _set_speed(self, endpoint: str, observed: float) -> None:
        old = self._speeds.get(endpoint, 1.0)
        observed = min(max(observed, SPEED_MIN), SPEED_MAX)
        new = old + SPEED_WEIGHT * (observed - old)
        self._log_sum += math.log(new)
        if endpoint in self._speeds:
            self._log_sum -= math.log(old)
        self._speeds[endpoint] = new
