"""The UDP socket for messages between routers."""

import asyncio
from collections.abc import Callable
from typing import Any

Handler = Callable[[bytes, str], bool]


class PeerSocket(asyncio.DatagramProtocol):
    """Owns the socket and passes each datagram to the handler that accepts it.

    A handler gets a datagram and its source, and returns whether it accepted it.  The
    handlers are tried in the order of `handlers`.

    Parameters
    ----------
    count : callable, optional
        Called with a counter's name, a label and the increment.
    """

    def __init__(
        self, count: Callable[[str, str, int], None] = lambda name, label, by: None
    ) -> None:
        self._count = count
        self.handlers: list[Handler] = []
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str, port: int) -> str:
        """Bind the socket and return its ``host:port``."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address, port)
        )
        self._transport = transport
        return f"{address}:{transport.get_extra_info('sockname')[1]}"

    def send(self, peer_address: str, datagram: bytes) -> None:
        """Send a datagram; one that can't be sent is dropped, as on the network."""
        host, _, port = peer_address.rpartition(":")
        if self._transport is not None and port.isdigit():
            self._count("peer_bytes", "sent", len(datagram))
            self._transport.sendto(datagram, (host.strip("[]"), int(port)))

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram to the handlers until one accepts it."""
        self._count("peer_bytes", "received", len(data))
        source = f"{addr[0]}:{addr[1]}"
        for handler in self.handlers:
            if handler(data, source):
                return

    def error_received(self, exc: Exception) -> None:
        """Ignore the error of an earlier send; callers have their own timeouts."""
