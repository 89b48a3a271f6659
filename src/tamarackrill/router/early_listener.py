"""Opens the callers' listener before the rest of a router is loaded."""

import socket

# After an outage of all routers, all callers reconnect at once.  When the backlog is
# full, a caller's kernel retries the handshake only after a second.
BACKLOG = 1024


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens on ``host:port``.

    Loading the modules takes most of a second of CPU time on a small VM.  Callers whose
    connection is refused give up or use up a retry; connected ones wait.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener
