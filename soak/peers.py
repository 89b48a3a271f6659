"""Network between routers: a proxy at each router's advertised address."""

import asyncio
import random
from typing import Any

from soak.faults import Proxy

LOSS_RATE = 0.5
DELAY_S = 0.4


class PeerNetwork:
    """Forwards datagrams and connections between routers, and injects faults.

    A forwarded datagram has its sender's advertised address as source, as it would
    without a proxy.

    Parameters
    ----------
    rng : random.Random
        Random generator of the soak test's seed.

    Attributes
    ----------
    late, lossy : set of str
        Routers to which datagrams are delayed, or of which half are lost.
    cut : set of tuple of str
        Pairs of availability zones; datagrams from the first to the second are
        dropped.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._nodes: dict[str, _PeerProxy] = {}
        self._names: dict[tuple[str, int], str] = {}
        self._zones: dict[str, str] = {}
        self.late: set[str] = set()
        self.lossy: set[str] = set()
        self.cut: set[tuple[str, str]] = set()

    async def add(
        self, name: str, zone: str, address: str, advertised_address: str
    ) -> None:
        """Put a proxy in front of a router.

        Parameters
        ----------
        name, zone : str
            Name of the router and its availability zone.
        address : str
            Address on which it listens.
        advertised_address : str
            Address at which other routers reach it.
        """
        node = _PeerProxy(self, name, address, advertised_address)
        await node.start()
        self._nodes[name] = node
        self._names[_split(address)] = name
        self._zones[name] = zone

    async def stop(self) -> None:
        """Close all sockets."""
        for node in self._nodes.values():
            await node.stop()

    def forward(self, data: bytes, source: tuple[str, int], receiver: str) -> None:
        """Forward a datagram that a router sent from its listening address."""
        sender = self._names.get(source)
        if sender is None or not self._is_connected(sender, receiver):
            return
        if receiver in self.lossy and self._rng.random() < LOSS_RATE:
            return
        delay_s = DELAY_S if receiver in self.late else 0.0
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._nodes[sender].send, data, self._nodes[receiver])

    def _is_connected(self, sender: str, receiver: str) -> bool:
        return (self._zones[sender], self._zones[receiver]) not in self.cut


class _PeerProxy(asyncio.DatagramProtocol):
    """Proxy in front of one router."""

    def __init__(
        self, network: PeerNetwork, name: str, address: str, advertised_address: str
    ) -> None:
        self._network = network
        self._name = name
        self.address = _split(address)
        self._advertised_address = _split(advertised_address)
        # A connection doesn't identify the router that opened it, so partitions affect
        # only datagrams.
        self._proxy = Proxy(address, *self._advertised_address)
        self._transport: Any = None

    async def start(self) -> None:
        await self._proxy.start()
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=self._advertised_address
        )

    async def stop(self) -> None:
        self._transport.close()
        await self._proxy.stop()

    def send(self, data: bytes, receiver: "_PeerProxy") -> None:
        if not self._transport.is_closing():
            self._transport.sendto(data, receiver.address)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._network.forward(data, (addr[0], addr[1]), self._name)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
