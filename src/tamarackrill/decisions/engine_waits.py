"""Overload protection: rejects prompts for engines where others wait too long.

Load pattern: engines are removed, a burst arrives, or sessions move, and prompts of
thousands of tokens arrive faster than the remaining engines can read them.  An engine
accepts them all and processes them in turn.  Without a limit each prompt, and each
short one queued behind it, waits longer than the last, until all reach their deadlines
and the engine works for clients that have disconnected: an engine that could have
served half of its requests in time serves none.

A router detects this from its own prompts: how long those without a first event have
been waiting, and how long the latest answered ones waited.  A request count doesn't
show it, as one prompt may be a hundred times as long as another.  So an engine gets a
prompt only while the wait there is within the prompt's limit.  A prompt that an engine
can't take goes to the next in order.  If all engines are too slow, it is rejected
immediately, so that admitted prompts are served in time.

Less urgent prompts and prompts that are not cached are rejected first.  A cached one
takes a tenth of the time, so rejecting it saves little.
"""

from collections.abc import Collection

# Wait limits at an engine that caches the prompt, in multiples of the prompt's own
# objective, for the most urgent prompts and for all others.  In a load test that
# removes engines until one of five is left, the value of the answers was 0.36 without a
# limit, 0.57 with half these limits, and 0.61 with these.  Half the limits also move
# prompts to engines that have to read them when nothing is overloaded: in one load test
# without overload 634 thousand tokens were read again instead of 541.
WAIT_LIMIT_OBJECTIVES_URGENT = 4.0
WAIT_LIMIT_OBJECTIVES = 2.0
# Share of the limit for an uncached prompt, so that the most urgent uncached prompt
# accepts a wait of one objective.
UNCACHED_SHARE = 0.25
# Half-life of the latest completed wait: an engine works off a backlog in tenths of a
# second, and a slow one that gets no prompts has to be tried again.
HALF_LIFE_S = 0.3
# Completed waits older than this are dropped; they count for less than a millisecond.
LAST_WAIT_TTL_S = 5.0

PRIORITY_MAX = 9
_PRIORITY_RANK_MAX = 2
# Used for requests without a team priority; most teams have this one.
_TEAM_PRIORITY_DEFAULT = 1


def rank_urgency(team_priority: int | None, route_priority: int) -> int:
    """Combine team and route priority into an urgency; 0 is the most urgent.

    The team's priority takes precedence over the route's, which decides between
    requests of teams with equal priority.

    Parameters
    ----------
    team_priority : int or None
        0 is the most urgent; None without a team or a team priority.
    route_priority : int
        0 is the most urgent.
    """
    team = (
        _TEAM_PRIORITY_DEFAULT
        if team_priority is None
        else min(team_priority, _PRIORITY_RANK_MAX)
    )
    return max(0, 2 * (team - 1) + min(route_priority, _PRIORITY_RANK_MAX))


def choose_priority(urgency: int, is_cached: bool) -> int:
    """Return the priority in an engine's queue, from 0 (first) to 9.

    Without priorities a few long uncached prompts block all those behind them.

    Parameters
    ----------
    urgency : int
        See `rank_urgency`.
    is_cached : bool
        Whether the engine caches the prompt.  It is then read in a hundredth of the
        time, so it delays few others, while many such would wait behind uncached ones.
    """
    return min(PRIORITY_MAX, urgency + (3 if is_cached else 5))


def compute_wait_limit_s(objective_s: float, urgency: int, is_cached: bool) -> float:
    """Return the longest wait at an engine with which a prompt is still sent there.

    Parameters
    ----------
    objective_s : float
        The prompt's latency objective for its first event.
    urgency : int
        See `rank_urgency`.
    is_cached : bool
        Whether the engine caches the prompt.
    """
    multiple = WAIT_LIMIT_OBJECTIVES if urgency else WAIT_LIMIT_OBJECTIVES_URGENT
    return objective_s * multiple * (1.0 if is_cached else UNCACHED_SHARE)


class EngineWaits:
    """Tracks how long this router's prompts wait at engines for their first event."""

    def __init__(self) -> None:
        # Send times of the waiting prompts by engine, oldest first.
        self._sent_s: dict[str, dict[str, float]] = {}
        self._last_wait: dict[str, tuple[float, float]] = {}

    def start(self, engine: str, request: str, now_s: float) -> None:
        """Record that a prompt is sent."""
        self._sent_s.setdefault(engine, {})[request] = now_s

    def answer(self, engine: str, request: str, now_s: float) -> None:
        """Record the first event of a prompt."""
        sent_s = self._sent_s.get(engine, {}).get(request)
        if sent_s is not None:
            self._last_wait[engine] = (now_s, now_s - sent_s)
            self.finish(engine, request)

    def finish(self, engine: str, request: str) -> None:
        """Record the end of a prompt, which may have got no event."""
        waiting = self._sent_s.get(engine, {})
        waiting.pop(request, None)
        if not waiting:
            self._sent_s.pop(engine, None)

    def remove(self, engine: str) -> None:
        """Delete an engine's state; its prompts still in flight are ignored."""
        self._sent_s.pop(engine, None)
        self._last_wait.pop(engine, None)

    def find_wait_s(self, engine: str, now_s: float) -> float:
        """Return the current wait at an engine; 0 without data."""
        sent_s = self._sent_s.get(engine)
        longest_s = now_s - next(iter(sent_s.values())) if sent_s else 0.0
        ended_s, waited_s = self._last_wait.get(engine, (now_s, 0.0))
        return max(longest_s, waited_s * 0.5 ** ((now_s - ended_s) / HALF_LIFE_S))

    def find_slow_engines(
        self,
        objective_s: float,
        urgency: int,
        holders: Collection[str],
        now_s: float,
    ) -> dict[str, float]:
        """Return the engines that are too slow for a prompt, with their waits.

        Parameters
        ----------
        objective_s, urgency
            See `compute_wait_limit_s`.
        holders : collection of str
            Engines that cache the prompt.
        now_s : float
            Current time.
        """
        self._drop_expired(now_s)
        limit_s = compute_wait_limit_s(objective_s, urgency, is_cached=False)
        cached_limit_s = compute_wait_limit_s(objective_s, urgency, is_cached=True)
        found = {
            engine: self.find_wait_s(engine, now_s)
            for engine in self._find_waiting(limit_s, now_s)
        }
        return {
            engine: wait_s
            for engine, wait_s in found.items()
            if wait_s > (cached_limit_s if engine in holders else limit_s)
        }

    def _find_waiting(self, limit_s: float, now_s: float) -> set[str]:
        """Return the engines at which a prompt waits, or has waited, for longer."""
        waiting = {
            engine
            for engine, sent_s in self._sent_s.items()
            if now_s - next(iter(sent_s.values())) > limit_s
        }
        waited = {e for e, (_, s) in self._last_wait.items() if s > limit_s}
        return waiting | waited

    def _drop_expired(self, now_s: float) -> None:
        expired = [
            e for e, (s, _) in self._last_wait.items() if s < now_s - LAST_WAIT_TTL_S
        ]
        for engine in expired:
            del self._last_wait[engine]
