"""Encoding and authentication of the usage reports between routers.

Usage has messages of its own because gossip also carries member records and digests,
which an aggregator does not need with each report.  A report takes some 70 bytes, and
40 to 60 for each entry.  The domain separator prevents other datagrams from being
accepted as usage.
"""

from typing import Any, NamedTuple

from thriftpy2.protocol.compact import TCompactProtocol
from thriftpy2.transport import TMemoryBuffer

from tamarackrill.decisions.limits import TeamUsage, UsageScope
from tamarackrill.protocol import structs
from tamarackrill.protocol.codec import MAC_BYTES, require_text, sign, verify

_SCOPES: tuple[UsageScope, ...] = ("router", "zone", "other_routers", "other_zones")
_DOMAIN_SEPARATOR = b"usage\0"


class UsageMessage(NamedTuple):
    """Usage entries sent by one router.

    Parameters
    ----------
    sender : str
        Name of the router.
    sequence : int
        Increases with each message of a sender, also across its restarts.
    usages : tuple of TeamUsage
        Usage of teams; see `TeamUsage`.
    """

    sender: str
    sequence: int
    usages: tuple[TeamUsage, ...]


def encode_usage(message: UsageMessage, keys: tuple[str, ...]) -> bytes:
    """Encode a message as a datagram that is authenticated with the first key."""
    buffer = TMemoryBuffer()
    usages = [_write_usage(usage) for usage in message.usages]
    struct = structs.UsageMessage(message.sender, message.sequence, usages)
    struct.write(TCompactProtocol(buffer))
    payload = buffer.getvalue()
    return sign(_DOMAIN_SEPARATOR + payload, keys[0]) + payload


def decode_usage(datagram: bytes, keys: tuple[str, ...]) -> UsageMessage | None:
    """Decode a datagram; None if it is malformed or not authentic."""
    mac, payload = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not verify(mac, _DOMAIN_SEPARATOR + payload, keys):
        return None
    struct = structs.UsageMessage()
    try:
        struct.read(TCompactProtocol(TMemoryBuffer(payload)))
        usages = tuple(_read_usage(item) for item in struct.usages)
        return UsageMessage(struct.sender + "", struct.sequence + 0, usages)
    # The parser may raise any exception; a message from a peer of a later release must
    # not end the task that reads the socket.
    except Exception:
        return None


def _write_usage(usage: TeamUsage) -> Any:
    return structs.TeamUsage(
        usage.team,
        _SCOPES.index(usage.scope),
        usage.origin,
        round(usage.requests_per_s * 1000),
        round(usage.tokens_per_s),
        usage.in_flight,
        round(usage.done_per_s * 1000),
    )


def _read_usage(struct: Any) -> TeamUsage:
    return TeamUsage(
        require_text(struct.team),
        _SCOPES[struct.scope],
        require_text(struct.origin),
        struct.requests_milli_per_s / 1000,
        float(struct.tokens_per_s),
        struct.in_flight + 0,
        struct.done_milli_per_s / 1000,
    )
