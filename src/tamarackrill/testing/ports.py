"""Loopback ports for processes that a test starts and restarts."""

import contextlib
import random
import socket
from collections.abc import Iterator

# The kernel assigns outgoing connections local ports from 32768 on.  It could assign
# the port of a router that is being restarted, whose listener then fails to bind, so
# that the router never gets ready.  Lower ports are used only on explicit request.
FIRST_PORT = 12_000
PORT_COUNT = 10_000
# Test processes run concurrently.  A process that gets a port keeps the port at this
# offset above it bound until it exits or `release_ports` ends, so that no other process
# gets the same one.
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
        Free port; no other call in any process returns it while this process lives, or
        until the innermost `release_ports` ends.

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


@contextlib.contextmanager
def release_ports() -> Iterator[None]:
    """Let other processes get the ports that are found within the context.

    Eight processes that run all tests would otherwise hold most of the range.
    """
    before = len(_guard_sockets)
    try:
        yield
    finally:
        for guard_socket in _guard_sockets[before:]:
            guard_socket.close()
        del _guard_sockets[before:]


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
