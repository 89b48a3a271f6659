"""Whether an engine is too slow now for a prompt, by how long others wait at it.

Load pattern: engines are taken away, a burst comes, or sessions move, and prompts of
thousands of tokens arrive faster than the engines that are left can read them.  An
engine takes them all and works on all of them in turn.  Without this each of them, and
each short one behind them, waits longer than the last, until all reach their deadlines
and the engine works for clients who have left: an engine that could have served half
of its requests in time serves none.

A router sees it by its own prompts: how long those wait that have not got their first
event, and how long the last ones did.  A count of requests doesn't show it, as one
prompt may be a hundred times another.  So an engine takes a prompt only while others
wait less there than the prompt tolerates.  What can't go to one engine goes to the next
in order, and if all are too slow it is refused at once, truthfully, so that those who
were let in are served in time.

Who is refused first: the least urgent, and the prompts that no engine has read yet.
One that is held at its engine costs a tenth of the time, and refusing it saves little.
"""

from collections.abc import Collection

# Others' waits, in multiples of a prompt's own objective, that the most urgent prompt
# tolerates, and the others, at an engine that holds them.  On a played day on which
# engines were taken away until one was left of five, worth was 0.36 without a limit,
# 0.57 with half of these, and 0.61 with these.  With half, prompts went on to engines
# that had to read them on days on which nothing was overloaded: 634 thousand tokens
# were read again on one instead of 541.
TOLERATED_URGENT = 4.0
TOLERATED = 2.0
# Part of it for a prompt that the engine has yet to read: as long as its own objective
# for the most urgent.
UNREAD_SHARE = 0.25
# A wait that ended so long ago counts half: an engine works off a backlog in tenths of
# a second, and one that was slow and gets no prompts has to be tried again.
HALF_LIFE_S = 0.3
# Waits below this are not looked at: by then they count for less than a millisecond.
FORGET_S = 5.0

PRIORITY_MAX = 9
_RANK_MAX = 2
# Priority without a team's: that of most teams.
_TEAM_USUAL = 1


def rank_urgency(team_priority: int | None, route_priority: int) -> int:
    """Return how urgent a request is, 0 the most.

    The team's priority goes before the route's, which decides between requests of
    teams that have the same.

    Parameters
    ----------
    team_priority : int or None
        0 is the most urgent; None if there is no team, or it has none.
    route_priority : int
        0 is the most urgent.
    """
    team = _TEAM_USUAL if team_priority is None else min(team_priority, _RANK_MAX)
    return max(0, 2 * (team - 1) + min(route_priority, _RANK_MAX))


def choose_priority(urgency: int, is_cached: bool) -> int:
    """Return the priority among an engine's requests, from 0, the first, to 9.

    Without it a few long prompts that have to be read hold up all those behind them.

    Parameters
    ----------
    urgency : int
        See `rank_urgency`.
    is_cached : bool
        Whether the engine holds the prompt.  It is then read in a hundredth of the
        time, so that few wait for it and many would wait behind those that are not.
    """
    return min(PRIORITY_MAX, urgency + (3 if is_cached else 5))


def compute_wait_limit_s(objective_s: float, urgency: int, is_cached: bool) -> float:
    """Return the longest wait of others that a prompt tolerates.

    Parameters
    ----------
    objective_s : float
        Time in which its first event is on time.
    urgency : int
        See `rank_urgency`.
    is_cached : bool
        Whether the engine holds the prompt.
    """
    multiple = TOLERATED if urgency else TOLERATED_URGENT
    return objective_s * multiple * (1.0 if is_cached else UNREAD_SHARE)


class EngineWaits:
    """How long this router's prompts wait at engines for their first event."""

    def __init__(self) -> None:
        # Of each engine, when those were sent that wait, oldest first.
        self._sent_s: dict[str, dict[str, float]] = {}
        self._ended: dict[str, tuple[float, float]] = {}

    def start(self, engine: str, request: str, now_s: float) -> None:
        """Take that a prompt is sent."""
        self._sent_s.setdefault(engine, {})[request] = now_s

    def answer(self, engine: str, request: str, now_s: float) -> None:
        """Take the first event of a prompt."""
        sent_s = self._sent_s.get(engine, {}).get(request)
        if sent_s is not None:
            self._ended[engine] = (now_s, now_s - sent_s)
            self.finish(engine, request)

    def finish(self, engine: str, request: str) -> None:
        """Take the end of a prompt, which may have got no event."""
        waiting = self._sent_s.get(engine, {})
        waiting.pop(request, None)
        if not waiting:
            self._sent_s.pop(engine, None)

    def remove(self, engine: str) -> None:
        """Forget an engine; prompts still in flight there tell nothing of it."""
        self._sent_s.pop(engine, None)
        self._ended.pop(engine, None)

    def find_wait_s(self, engine: str, now_s: float) -> float:
        """Return how long prompts wait at an engine now; 0 if nothing is known."""
        sent_s = self._sent_s.get(engine)
        longest_s = now_s - next(iter(sent_s.values())) if sent_s else 0.0
        ended_s, waited_s = self._ended.get(engine, (now_s, 0.0))
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
            Engines that hold the prompt.
        now_s : float
            The present time.
        """
        self._forget(now_s)
        slow = {}
        for engine in self._sent_s.keys() | self._ended.keys():
            wait_s = self.find_wait_s(engine, now_s)
            if wait_s > compute_wait_limit_s(objective_s, urgency, engine in holders):
                slow[engine] = wait_s
        return slow

    def _forget(self, now_s: float) -> None:
        old = [e for e, (s, _) in self._ended.items() if s < now_s - FORGET_S]
        for engine in old:
            del self._ended[engine]
