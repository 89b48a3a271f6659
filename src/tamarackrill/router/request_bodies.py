"""The body of one request, while it is read and served."""

from collections.abc import Callable

from tamarackrill.decisions.capacity.request_bytes import SMALL_BYTES, RequestBytes
from tamarackrill.decisions.request_reading import EXCESS_MAX_BYTES


class RequestBody:
    """Collects a body within the memory for requests.

    Parameters
    ----------
    held : RequestBytes
        Bytes of all requests.
    find_team : callable
        Returns the team of the request, called once the body is not small.

    Attributes
    ----------
    size_bytes : int
        What has arrived.
    is_discarded : bool
        Whether the body was beyond the limit when some of it arrived.
    read_s, excess_s : float or None
        When bytes arrived last, and when the body exceeded the limit.
    """

    def __init__(self, held: RequestBytes, find_team: Callable[[], str | None]) -> None:
        self._held = held
        self._find_team = find_team
        self._team: str | None = None
        self._chunks: list[bytes] = []
        self._counted_bytes = 0
        self._limit_bytes = 0
        self.size_bytes = 0
        self.is_discarded = False
        self.read_s: float | None = None
        self.excess_s: float | None = None

    def take(self, chunk: bytes, limit_bytes: int | None, now_s: float) -> bool:
        """Take a chunk; return False if there is no memory for it.

        A body beyond `limit_bytes` is discarded.
        """
        self.read_s = now_s
        self.size_bytes += len(chunk)
        if self.is_discarded:
            return True
        if limit_bytes is not None and self.size_bytes > limit_bytes:
            self.is_discarded, self.excess_s = True, now_s
            self._limit_bytes = limit_bytes
            self.release()
            return True
        self._chunks.append(chunk)
        if self.size_bytes <= SMALL_BYTES:
            return True
        if not self._counted_bytes:
            self._team = self._find_team()
        self._held.add(self._team, self.size_bytes - self._counted_bytes)
        self._counted_bytes = self.size_bytes
        return not self._held.must_refuse(self._team, self.size_bytes)

    @property
    def is_far_beyond(self) -> bool:
        """Whether so much has arrived beyond the limit that no more is read."""
        excess_bytes = self.size_bytes - self._limit_bytes
        return self.is_discarded and excess_bytes > EXCESS_MAX_BYTES

    def join(self) -> bytes:
        """Return the complete body, which stays counted until it is released."""
        chunks, self._chunks = self._chunks, []
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    def release(self) -> None:
        """Drop the body."""
        self._chunks.clear()
        if self._counted_bytes:
            self._held.add(self._team, -self._counted_bytes)
            self._counted_bytes = 0
