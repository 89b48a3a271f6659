"""Ports of loopback for processes that a test starts, and starts again."""

import random
import socket

# The kernel gives connections that go out local ports from 32768 on, and may give one
# the port of a router that is just being restarted: its listener then fails to bind,
# and the router is never ready.  Ports below are taken only by who names them.
FIRST_PORT = 12_000
PORTS = 10_000
# Test processes run beside each other.  Whoever was given a port holds this one above
# it until its own end, so that no other is given the same.
GUARD_OFFSET = PORTS
TRIES_MAX = 1_000

_guards: list[socket.socket] = []


def find_free_port(chance: random.Random | None = None) -> int:
    """Return a port of loopback that is free, for TCP and UDP alike.

    Parameters
    ----------
    chance : random.Random, optional
        Where the search begins.

    Returns
    -------
    int
        No other call returns it, in any process, while this process lives.

    Raises
    ------
    OSError
        If none was found.
    """
    chance = chance or random.Random()
    for _ in range(TRIES_MAX):
        port = FIRST_PORT + chance.randrange(PORTS)
        if _hold(port + GUARD_OFFSET) and _is_free(port):
            return port
    raise OSError(f"no free port found in {TRIES_MAX} tries")


def _hold(port: int) -> bool:
    guard = socket.socket()
    try:
        guard.bind(("127.0.0.1", port))
    except OSError:
        guard.close()
        return False
    _guards.append(guard)
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
