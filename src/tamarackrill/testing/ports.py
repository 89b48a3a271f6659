"""Loopback ports for processes that a test starts and restarts."""

import random
import socket

# The kernel assigns outgoing connections local ports from 32768 on.  It could assign
# the port of a router that is being restarted, whose listener then fails to bind, so
# that the router never gets ready.  Lower ports are used only on explicit request.
FIRST_PORT = 12_000
PORT_COUNT = 10_000
# Test processes run concurrently.  A process that gets a port keeps the port at this
# offset above it bound until it exits, so that no other process gets the same one.
GUARD_OFFSET = PORT_COUNT
TRIES_MAX = 1_000

_guard_sockets: list[socket.socket] = []


def find_free_port(chance: random.Random | None = None) -> int:
    """Return a loopback port that is free for both TCP and UDP.

    Parameters
    ----------
    chance : random.Random, optional
        Source of the candidate ports.

    Returns
    -------
    int
        Free port; no other call in any process returns it while this process lives.

    Raises
    ------
    OSError
        If no free port was found.
    """
    chance = chance or random.Random()
    for _ in range(TRIES_MAX):
        port = FIRST_PORT + chance.randrange(PORT_COUNT)
        if _reserve(port + GUARD_OFFSET) and _is_free(port):
            return port
    raise OSError(f"no free port found in {TRIES_MAX} tries")


def _reserve(port: int) -> bool:
    guard_socket = socket.socket()
    try:
        guard_socket.bind(("127.0.0.1", port))
    except OSError:
        guard_socket.close()
        return False
    _guard_sockets.append(guard_socket)
    return True


def _is_free(port: int) -> bool:
    with (
        socket.socket() as stream,
        socket.socket(type=socket.SOCK_DGRAM) as datagrams,
    ):
        try:
            stream.bind(("127.0.0.1", port))
            datagrams.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
