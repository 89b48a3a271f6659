"""How much of clients' requests a router holds.

Load pattern: clients send bodies and heads that never end, or end one byte short, on
hundreds of connections at a time.  Each is within the limits of one request.  Without a
bound over all of them 200 bodies of 1 MB take 200 MB, and twice that once they are
being served; the process exceeds the memory of its VM, and all that others wait for
ends with it.

Requests up to `SMALL_BYTES` are neither counted nor refused, so that they are served
however much others hold; the number of file descriptors bounds them.  The threshold of
a team is a multiple of what is free, as in `buffers`: one team alone gets three
quarters of the memory, and some is left for teams that hold nothing yet.
"""

from collections import Counter

# A body is in memory up to twice, while it is joined or written to an endpoint.  On a
# VM of 300 MB, two times this, 32 MB of small requests, the buffers of responses and a
# process of 51 MB leave 60 MB.
TOTAL_SHARE = 1 / 5
TEAM_FREE_SHARE = 3.0
# With 4,000 connections these take 32 MB.
SMALL_BYTES = 8 * 1024
# Bytes read from a connection at a time.  A client that sends requests in advance holds
# so many, whether or not they are served.
READ_BYTES = 64 * 1024
READ_SHORT_BYTES = SMALL_BYTES
# Share of the total above which less is read at a time.
SHORT_SHARE = 0.5


class RequestBytes:
    """Bytes of requests that a router holds, by team.

    Parameters
    ----------
    memory_bytes : int
        Memory of the VM.

    Attributes
    ----------
    held_bytes, total_max_bytes : int
        Bytes of all requests, and their bound.
    """

    def __init__(self, memory_bytes: int) -> None:
        self.total_max_bytes = int(TOTAL_SHARE * memory_bytes)
        self.held_bytes = 0
        self._by_team: Counter[str | None] = Counter()

    def add(self, team: str | None, size_bytes: int) -> None:
        """Add bytes that a team's request holds; subtract them if negative.

        The team of a head that is still being read is None, as is that of all requests
        if the manifest has no teams.
        """
        self.held_bytes += size_bytes
        self._by_team[team] += size_bytes
        if not self._by_team[team]:
            del self._by_team[team]

    def must_refuse(self, team: str | None, request_bytes: int) -> bool:
        """Return whether a request is refused, all of whose bytes have been added."""
        if request_bytes <= SMALL_BYTES:
            return False
        free_bytes = self.total_max_bytes - self.held_bytes
        if free_bytes < 0:
            return True
        return team is not None and self._by_team[team] > TEAM_FREE_SHARE * free_bytes

    def choose_read_bytes(self) -> int:
        """Return how much to read from a connection at a time."""
        if self.held_bytes > SHORT_SHARE * self.total_max_bytes:
            return READ_SHORT_BYTES
        return READ_BYTES
