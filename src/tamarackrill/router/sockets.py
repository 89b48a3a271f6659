"""Socket options that detect dead connections."""

import errno
import socket
import struct

# A network path can fail without closing its connections, and a reader would wait
# forever.  After this idle time, in seconds, the kernel sends TCP keepalive probes, and
# closes the connection after this many without a reply.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES_MAX = 2
# Data unacknowledged for this long is considered lost: over a path of 3 ms it has been
# sent three times by then.  It also limits the keepalive probes, whatever their number.
USER_TIMEOUT_MS = 700


# Offset in Linux's `struct tcp_info` of the milliseconds since data was last received.
_LAST_RECEIVED_OFFSET = 52
_LAST_RECEIVED = struct.Struct("=I")
_LINGER_NOT = struct.pack("ii", 1, 0)
# Errors of a process or machine that is short of descriptors or memory for a socket.
_SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def reset_on_close(sock: socket.socket) -> None:
    """Let the close of a connection reset it; data that is not yet sent is dropped.

    Without chunks or a length, the end of its connection ends a response, so only a
    reset tells that part of it is missing.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NOT)


# Of ``struct tcp_info``: keepalive and window probes without a reply, segments that are
# not acknowledged, and the time since the last acknowledgement.
_TCP_INFO = struct.Struct("=3xB20xI28xI")


def find_unacknowledged_s(sock: socket.socket) -> float:
    """Return for how long a peer's machine has owed an acknowledgement, 0 if not.

    A machine acknowledges data and probes also while its process is silent.
    """
    data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    probes, unacked, last_ms = _TCP_INFO.unpack(data)
    return last_ms / 1000 if probes or unacked else 0.0


def read_received_s(sock: socket.socket) -> float:
    """Return how long ago the kernel last received data; 0 if that isn't known."""
    size_bytes = _LAST_RECEIVED_OFFSET + _LAST_RECEIVED.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size_bytes)
        (received_ms,) = _LAST_RECEIVED.unpack_from(info, _LAST_RECEIVED_OFFSET)
    except (OSError, struct.error):
        return 0.0
    return float(received_ms) / 1000


def enable_keepalive(
    sock: socket.socket, user_timeout_ms: int = USER_TIMEOUT_MS
) -> None:
    """Let the kernel close a connection whose path has failed.

    Parameters
    ----------
    sock : socket.socket
        Connected TCP socket.
    user_timeout_ms : int, optional
        Time without an acknowledgement after which the connection is closed.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES_MAX)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


def is_shortage(error: OSError) -> bool:
    """Return whether a socket couldn't be opened for want of this machine's means."""
    return error.errno in _SHORTAGES
