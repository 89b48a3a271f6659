"""Links between the routers of one process, whose datagrams can be lost or late."""

import asyncio
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from typing import Any

from tamarackrill.router.datagrams import PeerSocket


class PeerLinks:
    """Links between all routers that run within `intercept`.

    Attributes
    ----------
    groups : list of collection of int
        Ports of the routers that reach one another; all do if there are no groups.
        Routers in none of them reach nobody.
    isolated : set of int
        Ports of routers that reach nobody, whatever the groups are.
    latency_s : float
        Additional latency of all datagrams.
    latencies_s : dict of int to float
        Additional latency of the datagrams to and from a port.
    """

    def __init__(self) -> None:
        self.groups: list[Collection[int]] = []
        self.isolated: set[int] = set()
        self.latency_s = 0.0
        self.latencies_s: dict[int, float] = {}

    def restore(self) -> None:
        """Let all datagrams pass."""
        self.groups = []
        self.isolated.clear()
        self.latency_s = 0.0
        self.latencies_s.clear()

    @contextmanager
    def intercept(self) -> Iterator[None]:
        """Apply the links to the datagrams of all routers of this process."""
        receive = PeerSocket.datagram_received

        def deliver(peer_socket: PeerSocket, data: bytes, addr: Any) -> None:
            own = peer_socket.port
            if self.isolated and not self.isolated.isdisjoint((own, addr[1])):
                return
            if self.groups and not self._is_connected(addr[1], own):
                return
            latency_s = self.latency_s + max(
                self.latencies_s.get(port, 0.0) for port in (addr[1], own)
            )
            if latency_s:
                loop = asyncio.get_running_loop()
                loop.call_later(latency_s, receive, peer_socket, data, addr)
            else:
                receive(peer_socket, data, addr)

        PeerSocket.datagram_received = deliver  # type: ignore[method-assign, assignment]
        try:
            yield
        finally:
            PeerSocket.datagram_received = receive  # type: ignore[method-assign]

    def _is_connected(self, port: int, other: int) -> bool:
        return any(port in group and other in group for group in self.groups)
