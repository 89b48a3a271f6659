"""The socket for messages between routers."""

import asyncio

import pytest

from tamarackrill.router.datagrams import READS_MAX, PeerSocket


async def receive_from(count, rounds):
    """Return how many of `count` datagrams a socket passes on within some rounds."""
    received = []
    sockets = [PeerSocket(), PeerSocket()]
    sockets[1].handlers.append(lambda data, source: received.append(data) or True)
    addresses = [await each.start("127.0.0.1", 0) for each in sockets]
    try:
        for number in range(count):
            sockets[0].send(addresses[1], b"%d" % number)
        for _ in range(rounds):
            await asyncio.sleep(0)
        return len(received)
    finally:
        for each in sockets:
            each.stop()


@pytest.mark.parametrize("count", [1, READS_MAX])
def test_datagrams_that_have_arrived_are_read_at_once(count):
    # Guards against messages that wait for one round of a loaded event loop each, until
    # the router that sent them takes this one for silent.
    assert asyncio.run(receive_from(count, rounds=3)) == count


def test_datagram_that_cannot_be_sent_is_dropped():
    async def run():
        peer_socket = PeerSocket()
        peer_socket.send("127.0.0.1:1", b"closed")
        address = await peer_socket.start("127.0.0.1", 0)
        peer_socket.send(address, bytes(70_000))
        peer_socket.send("no-port", b"x")
        peer_socket.stop()
        assert peer_socket.port == 0

    asyncio.run(run())


def test_occupied_port_is_reported():
    async def run():
        first, second = PeerSocket(), PeerSocket()
        address = await first.start("127.0.0.1", 0)
        port = int(address.rpartition(":")[2])
        with pytest.raises(OSError):
            await second.start("127.0.0.1", port)
        first.stop()

    asyncio.run(run())
