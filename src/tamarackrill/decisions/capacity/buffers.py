"""How much of its responses a router holds: whole bodies, and what clients don't read.

Load pattern: clients open responses and read them slowly, or not at all, up to ten
thousand at a time and most of them of one team.  A router that stops reading from the
endpoint until its client reads keeps the endpoint's slot in use, and the endpoint
aborts what stays unread for some seconds.  A router that buffers without a bound runs
out of memory, and takes the responses of all its clients with it.

So a router goes on reading and buffers, up to a bound per response and one for the
process.  Bodies that it reads before it answers count too, on all deployments; one that
reaches a bound is forwarded from then on (`early_answers`).

The threshold of a team is what is free of the process's bound.  It falls as
buffers fill, the same for all teams, so the team that holds most is stopped first: one
team alone gets half of the memory, each of three a quarter, and the rest stays free for
teams that hold nothing yet.  A response whose client keeps up holds nothing and is
never stopped.
"""

from collections import Counter
from typing import Literal, NamedTuple

# A router takes 51 MB without load and some 22 kB for each response, so on the smallest
# VM, 200 MB, this leaves room for some thousand of them.  A body that is sent whole
# takes twice its size while its client does not read it.
TOTAL_SHARE = 1 / 8
# A long response of a model engine, 4,000 events of 250 bytes.
RESPONSE_MAX_BYTES = 1 << 20
# Threshold of a team, as a multiple of the free bytes.
TEAM_FREE_SHARE = 1.0
# A response that is stopped has read one piece too many, and many of them exceed the
# total.  Teams that hold less than the first share of it may go on up to the second.
SMALL_TEAM_SHARE = 1 / 8
RESERVE_SHARE = 1 / 2
# The kernel's buffer of each client connection takes this much of a response.  A body
# up to this size is read in any case, and isn't counted meanwhile, as it usually never
# waits here.
KERNEL_BYTES = 32 * 1024
# A shortage ends when less than this share of the total is in use, so that a total that
# varies around a threshold is not reported each time.
SHORT_END_SHARE = 0.25
# An endpoint aborts what stays unread for some seconds; shorter pauses do not explain
# that a response breaks off.
PAUSE_MIN_S = 0.5
# After a pause, the end of an aborted connection is read within milliseconds; a break
# that comes later has another cause.
ABORT_SEEN_MAX_S = 1.0

Limit = Literal["response", "team", "total"]


class BufferUsage(NamedTuple):
    """What is buffered, for the report of a shortage.

    Parameters
    ----------
    held_bytes, total_max_bytes : int
        Bytes of all responses, and their bound.
    team : str
        Team that holds most.
    team_bytes : int
        What it holds.
    teams : int
        Number of teams that hold anything.
    """

    held_bytes: int
    total_max_bytes: int
    team: str
    team_bytes: int
    teams: int


class ClientBuffers:
    """Bytes that a router holds for its clients, by team.

    Parameters
    ----------
    memory_bytes : int
        Memory of the VM.

    Attributes
    ----------
    held_bytes : int
        Bytes of all responses.
    total_max_bytes, response_max_bytes : int
        Bounds over all responses, and of each response.
    is_short : bool
        Whether responses have been stopped for want of memory.
    """

    def __init__(self, memory_bytes: int) -> None:
        self.total_max_bytes = int(TOTAL_SHARE * memory_bytes)
        self.response_max_bytes = RESPONSE_MAX_BYTES
        self.held_bytes = 0
        self.is_short = False
        self._by_team: Counter[str] = Counter()

    def add(self, team: str, size_bytes: int) -> None:
        """Add bytes that a team's response holds; subtract them if negative."""
        self.held_bytes += size_bytes
        self._by_team[team] += size_bytes
        if not self._by_team[team]:
            del self._by_team[team]
        if self.held_bytes < SHORT_END_SHARE * self.total_max_bytes:
            self.is_short = False

    def find_room_bytes(self, team: str) -> float:
        """Return how much more a team may hold; 0 or less if it is stopped."""
        team_bytes, total_bytes = self._by_team[team], self.total_max_bytes
        free_bytes = total_bytes - self.held_bytes
        reserve_bytes = min(
            free_bytes + RESERVE_SHARE * total_bytes,
            SMALL_TEAM_SHARE * total_bytes - team_bytes,
        )
        return max(
            min(free_bytes, TEAM_FREE_SHARE * free_bytes - team_bytes), reserve_bytes
        )

    def find_limit(
        self, team: str, response_bytes: int, is_forwarded: bool
    ) -> Limit | None:
        """Return the bound that stops a response from being read on, if any does.

        Parameters
        ----------
        team : str
            Team of the response.
        response_bytes : int
            Bytes that it holds.
        is_forwarded : bool
            Whether the client may read what is held, so that the response is stopped;
            a body that is held until it is complete is forwarded from now on.
        """
        if response_bytes <= (0 if is_forwarded else KERNEL_BYTES):
            return None
        if response_bytes >= self.response_max_bytes:
            return "response"
        if self.find_room_bytes(team) > 0:
            return None
        return "total" if self.held_bytes >= self.total_max_bytes else "team"

    def must_cut_body(self, team: str, body_bytes: int) -> bool:
        """Return whether a complete body that its client does not take is dropped.

        Its endpoint has completed it, so that nothing is left to be stopped.  Bodies
        above `KERNEL_BYTES` have been within their team's threshold while they were
        read.
        """
        if self.held_bytes >= self.total_max_bytes:
            return True
        return body_bytes <= KERNEL_BYTES and self.find_room_bytes(team) <= 0

    def note_limit(self, limit: Limit) -> BufferUsage | None:
        """Record that a response was stopped; return the usage if a shortage begins."""
        if limit == "response" or self.is_short:
            return None
        self.is_short = True
        team, team_bytes = self._by_team.most_common(1)[0]
        return BufferUsage(
            self.held_bytes, self.total_max_bytes, team, team_bytes, len(self._by_team)
        )


class ReadPauses:
    """Pauses in which nothing was read from an endpoint's connection.

    Only these count, not the time in which its response was stopped: as long as the
    connection is read between two stops, the endpoint is not kept waiting.
    """

    def __init__(self) -> None:
        self._began_s: float | None = None
        self._long_ended_s = float("-inf")

    def begin(self, now_s: float) -> None:
        """Record that the connection is no longer read."""
        self._began_s = now_s

    def end(self, now_s: float) -> None:
        """Record that it is read again."""
        if self._is_long(now_s):
            self._long_ended_s = now_s
        self._began_s = None

    def explain_abort(self, now_s: float) -> bool:
        """Return whether an endpoint broke a response off as it stayed unread."""
        return self._is_long(now_s) or now_s - self._long_ended_s <= ABORT_SEEN_MAX_S

    def _is_long(self, now_s: float) -> bool:
        return self._began_s is not None and now_s - self._began_s >= PAUSE_MIN_S
