"""Options of the sockets on which a router waits for others."""

import socket

# A path can die without a word, and whoever waits for an answer on it would wait for
# ever.  After this much silence the kernel asks whether the other side is still there,
# and gives up after so many questions without an answer.
PROBE_IDLE_S = 1
PROBE_EVERY_S = 1
PROBES_MAX = 2
# Bytes that were sent and not acknowledged for so long will never arrive: over a path
# of 3 ms they have been sent three times by then.  A client leaves a stream after two
# seconds of silence, and another endpoint still has to read its prompt.
UNACKNOWLEDGED_MAX_MS = 700


def enable_keepalive(sock: socket.socket) -> None:
    """Have the kernel close a connection whose path has died, within three seconds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_MAX)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS)
