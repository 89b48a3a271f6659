"""Accepts connections as far as there are descriptors for them."""

import asyncio
import resource
import socket
from collections.abc import Callable

from tamarackrill.events import ACCEPT_FAILED, log_event

# Accepted in one iteration of the event loop, so that requests go on meanwhile.
ACCEPTS_MAX = 64
# Pause after which accepting is tried again without a free descriptor.
RETRY_PAUSE_S = 0.05


def read_descriptor_limit() -> int:
    """Return how many descriptors this process may have."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 1 << 20 if limit == resource.RLIM_INFINITY else limit


class Acceptor:
    """Accepts the connections of one listener.

    Parameters
    ----------
    listener : socket.socket
        Listening socket, which this object closes.
    may_accept : callable
        Returns whether there is a descriptor for another connection.
    on_connection : callable
        Called with each connection and its address.
    """

    def __init__(
        self,
        listener: socket.socket,
        may_accept: Callable[[], bool],
        on_connection: Callable[[socket.socket, tuple], None],
    ) -> None:
        self._listener = listener
        self._may_accept = may_accept
        self._on_connection = on_connection
        self._loop = asyncio.get_running_loop()
        self._resuming: asyncio.TimerHandle | None = None
        self._loop.add_reader(listener, self._accept_some)

    def accept_waiting(self, accepts_max: int | None = None) -> bool:
        """Accept what waits; return whether that was all.

        Parameters
        ----------
        accepts_max : int or None, optional
            How many to accept; all of them by default.
        """
        accepted = 0
        while self._may_accept():
            if accepted == accepts_max:
                return True
            try:
                connection, address = self._listener.accept()
            except BlockingIOError:
                return True
            except ConnectionAbortedError:
                continue
            except OSError as error:
                log_event(ACCEPT_FAILED, reason=repr(error))
                return False
            accepted += 1
            connection.setblocking(False)
            self._on_connection(connection, address)
        return False

    def _accept_some(self) -> None:
        if self.accept_waiting(ACCEPTS_MAX):
            return
        # The listener stays readable, so that the loop would do nothing else.
        self._loop.remove_reader(self._listener)
        self._resuming = self._loop.call_later(RETRY_PAUSE_S, self._resume)

    def _resume(self) -> None:
        self._resuming = None
        self._loop.add_reader(self._listener, self._accept_some)

    def close(self) -> None:
        """Stop accepting, and close the listener."""
        if self._resuming is not None:
            self._resuming.cancel()
        if self._listener.fileno() >= 0:
            self._loop.remove_reader(self._listener)
            self._listener.close()
