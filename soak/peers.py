"""The network between routers: a proxy at the address at which others reach each."""

import asyncio
import random
from typing import Any

from soak.faults import Proxy

LOST_SHARE = 0.5
LATE_S = 0.4


class PeerNetwork:
    """Carries datagrams and connections between routers, and harms them.

    A datagram comes from the address at which its sender is reached, as if there were
    no proxy.

    Parameters
    ----------
    chance : random.Random
        Of the soak's seed.

    Attributes
    ----------
    late, lossy : set of str
        Routers to which datagrams come late, or half of them don't.
    cut : set of tuple of str
        Pairs of availability zones; nothing goes from the first to the second.
    """

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._nodes: dict[str, _Node] = {}
        self._names: dict[tuple[str, int], str] = {}
        self._zones: dict[str, str] = {}
        self.late: set[str] = set()
        self.lossy: set[str] = set()
        self.cut: set[tuple[str, str]] = set()

    async def add(self, name: str, zone: str, address: str, reached_at: str) -> None:
        """Stand before a router.

        Parameters
        ----------
        name, zone : str
            The router and its availability zone.
        address : str
            Where it listens.
        reached_at : str
            Where others reach it.
        """
        node = _Node(self, name, address, reached_at)
        await node.start()
        self._nodes[name] = node
        self._names[_split(address)] = name
        self._zones[name] = zone

    async def stop(self) -> None:
        """Close all sockets."""
        for node in self._nodes.values():
            await node.stop()

    def carry(self, data: bytes, source: tuple[str, int], receiver: str) -> None:
        """Carry a datagram from where a router listens."""
        sender = self._names.get(source)
        if sender is None or not self._has_path(sender, receiver):
            return
        if receiver in self.lossy and self._chance.random() < LOST_SHARE:
            return
        delay_s = LATE_S if receiver in self.late else 0.0
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._nodes[sender].send, data, self._nodes[receiver])

    def _has_path(self, sender: str, receiver: str) -> bool:
        return (self._zones[sender], self._zones[receiver]) not in self.cut


class _Node(asyncio.DatagramProtocol):
    """What stands before one router."""

    def __init__(
        self, network: PeerNetwork, name: str, address: str, reached_at: str
    ) -> None:
        self._network = network
        self._name = name
        self.address = _split(address)
        self._reached_at = _split(reached_at)
        # Connections don't say who made them, and are not cut.
        self._proxy = Proxy(address, *self._reached_at)
        self._transport: Any = None

    async def start(self) -> None:
        await self._proxy.start()
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=self._reached_at
        )

    async def stop(self) -> None:
        self._transport.close()
        await self._proxy.stop()

    def send(self, data: bytes, receiver: "_Node") -> None:
        if not self._transport.is_closing():
            self._transport.sendto(data, receiver.address)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._network.carry(data, (addr[0], addr[1]), self._name)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
