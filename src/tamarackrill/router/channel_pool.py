"""Idle connections to endpoints, kept for the next request."""

from collections.abc import Iterable

from tamarackrill.router.channels import Channel

# Kept for each endpoint: what a router's share of its requests has in flight at once.
IDLE_MAX = 6
# An endpoint that does not say how long it keeps an idle connection is trusted for this
# long, below the least time that servers commonly use (5 s).
IDLE_DEFAULT_S = 2.0
# The endpoint counts from when it sent its answer, and a request takes time to arrive.
IDLE_SLACK_S = 0.5


class ChannelPool:
    """Idle connections by endpoint."""

    def __init__(self) -> None:
        self._idle: dict[str, list[Channel]] = {}

    def take(self, endpoint: str, now_s: float) -> Channel | None:
        """Return a connection that is safe to use, or None.

        One that may close just as a request arrives is not: whether that request has
        run would then be unknown.
        """
        idle = self._idle.get(endpoint, [])
        while idle:
            channel = idle.pop()
            left_s = channel.idle_since_s + channel.idle_max_s - now_s
            if channel.is_open and left_s > IDLE_SLACK_S:
                return channel
            channel.close()
        return None

    def give_back(
        self, endpoint: str, channel: Channel, idle_max_s: float | None, now_s: float
    ) -> None:
        """Keep a connection whose request has ended in order."""
        idle = self._idle.setdefault(endpoint, [])
        if len(idle) >= IDLE_MAX:
            channel.close()
            return
        channel.idle_since_s = now_s
        channel.idle_max_s = IDLE_DEFAULT_S if idle_max_s is None else idle_max_s
        idle.append(channel)

    def drop(self, endpoint: str) -> None:
        """Close what is idle to an endpoint whose path has failed."""
        for channel in self._idle.pop(endpoint, []):
            channel.close()

    def retain(self, names: Iterable[str]) -> None:
        """Close what is idle to endpoints that are not among `names`."""
        kept = set(names)
        for name in [name for name in self._idle if name not in kept]:
            self.drop(name)

    def close(self) -> None:
        """Close all."""
        self.retain(())
