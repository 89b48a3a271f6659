"""The UDP socket for messages between routers."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from tamarackrill.decisions.addresses import read_router_address

Handler = Callable[[bytes, str], bool]

# Largest datagram that UDP carries.
DATAGRAM_MAX_BYTES = 65_535
# Datagrams read at once, before other events of the loop are handled.
READS_MAX = 32


class PeerSocket:
    """Owns the socket and passes each datagram to the handler that accepts it.

    A handler gets a datagram and its source, and returns whether it accepted it.  The
    handlers are tried in the order of `handlers`.

    Parameters
    ----------
    count : callable, optional
        Called with a counter's name, a label and the increment.

    Notes
    -----
    asyncio's own transport reads one datagram for each round of the event loop.  A
    round of a loaded router takes some milliseconds, so that the requests of other
    routers would wait in the socket for longer than these wait for an answer.
    """

    def __init__(
        self, count: Callable[[str, str, int], None] = lambda name, label, by: None
    ) -> None:
        self._count = count
        self.handlers: list[Handler] = []
        self._socket: socket.socket | None = None

    @property
    def port(self) -> int:
        """Port of the socket, 0 if it is closed."""
        return 0 if self._socket is None else int(self._socket.getsockname()[1])

    async def start(self, address: str, port: int) -> str:
        """Bind the socket and return its ``host:port``."""
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(address, port, type=socket.SOCK_DGRAM)
        family, kind, protocol, _, bound = found[0]
        opened = socket.socket(family, kind, protocol)
        try:
            opened.setblocking(False)
            opened.bind(bound)
        except OSError:
            opened.close()
            raise
        self._socket = opened
        loop.add_reader(opened, self._read)
        return f"{address}:{self.port}"

    def send(self, peer_address: str, datagram: bytes) -> None:
        """Send a datagram; one that can't be sent is dropped, as on the network."""
        if self._socket is None or not peer_address:
            return
        self._count("peer_bytes", "sent", len(datagram))
        try:
            # Another router may tell an address that can't be sent to.
            self._socket.sendto(datagram, read_router_address(peer_address))
        except (OSError, ValueError):
            self._count("peer_datagrams", "unsent", 1)

    def stop(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _read(self) -> None:
        for _ in range(READS_MAX):
            if self._socket is None:
                return
            try:
                data, addr = self._socket.recvfrom(DATAGRAM_MAX_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # The error of an earlier send; callers have their own timeouts.
                continue
            self.datagram_received(data, addr)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram to the handlers until one accepts it."""
        self._count("peer_bytes", "received", len(data))
        source = f"{addr[0]}:{addr[1]}"
        for handler in self.handlers:
            if handler(data, source):
                return
