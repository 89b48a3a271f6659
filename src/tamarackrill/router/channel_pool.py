"""Pool of idle connections to endpoints."""

from collections.abc import Iterable

from tamarackrill.router.channels import Channel

# Idle connections kept per endpoint: as many as this router's share of its requests
# uses at once.
IDLE_MAX = 6
# Idle timeout assumed for an endpoint that announces none, well below the shortest that
# servers commonly use (5 s).
IDLE_DEFAULT_S = 2.0
# Safety margin: the endpoint's timeout starts when it sends its response, and the next
# request takes time to arrive.
IDLE_SLACK_S = 0.5


def is_safe(channel: Channel, now_s: float) -> bool:
    """Return whether a request can be sent on an idle connection.

    A connection that may be closed just as a request arrives is not safe: it would be
    unknown whether that request has run.
    """
    left_s = channel.idle_since_s + channel.idle_max_s - now_s
    return channel.is_open and left_s > IDLE_SLACK_S


class ChannelPool:
    """Idle connections by endpoint name."""

    def __init__(self) -> None:
        self._idle: dict[str, list[Channel]] = {}

    def take(self, endpoint: str, now_s: float) -> Channel | None:
        """Return a connection that is safe to use, or None."""
        idle = self._idle.get(endpoint, [])
        while idle:
            channel = idle.pop()
            if is_safe(channel, now_s):
                return channel
            channel.close()
        return None

    def give_back(
        self, endpoint: str, channel: Channel, idle_max_s: float | None, now_s: float
    ) -> None:
        """Return a connection to the pool after its request completed normally."""
        idle = self._idle.setdefault(endpoint, [])
        if len(idle) >= IDLE_MAX:
            channel.close()
            return
        channel.idle_since_s = now_s
        channel.idle_max_s = IDLE_DEFAULT_S if idle_max_s is None else idle_max_s
        idle.append(channel)

    def drop(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint that is unreachable."""
        for channel in self._idle.pop(endpoint, []):
            channel.close()

    def retain(self, names: Iterable[str]) -> None:
        """Close the idle connections to endpoints that are not among `names`."""
        kept = set(names)
        for name in [name for name in self._idle if name not in kept]:
            self.drop(name)

    def close(self) -> None:
        """Close all idle connections."""
        self.retain(())
