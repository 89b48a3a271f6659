"""Takes callers' connections while the rest of a router is still being loaded."""

import socket

# All callers of a router come back at once after a loss of all; the kernel of a caller
# beyond these repeats its handshake only after a second.
BACKLOG = 1024


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens at ``host:port``.

    A process needs most of a second of a small VM's processor to load its modules.
    Callers that find nobody give up or spend a retry; those that are connected wait.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener
