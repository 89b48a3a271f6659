"""Encoding and authentication of gossip messages.

A datagram is a message authentication code (MAC) followed by one `Gossip` struct in
Thrift's compact protocol.  The MAC is verified before anything is parsed, so only
holders of a peer key reach the parser.  Two keys are valid during a key rotation: the
first signs, all verify.  `decisions.membership` rejects replays by session and
sequence.
"""

import hashlib
import hmac
from typing import Any

from thriftpy2.protocol.compact import TCompactProtocol
from thriftpy2.transport import TMemoryBuffer

from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.loads import EndpointLoad
from tamarackrill.decisions.members import (
    CrashCount,
    Gossip,
    MemberRecord,
    MemberState,
    PiggybackedEntries,
    Purpose,
)
from tamarackrill.decisions.views import BUCKET_COUNT
from tamarackrill.protocol import structs

# 128 bits cannot be guessed over a network, and the truncated MAC leaves 16 more bytes
# of the size limit to the payload than the full one.
MAC_BYTES = 16
# Prepended to the payload when the MAC is computed.  Each protocol has its own, so that
# no datagram is accepted as one of another protocol with the same keys.
_DOMAIN_SEPARATOR = b"gossip\0"
_I64_MODULUS = 1 << 64
_I64_LIMIT = 1 << 63


class InvalidMessage(ValueError):
    """Raised for a datagram that is malformed or not authentic.

    Parameters
    ----------
    reason : {"stranger", "malformed"}
        ``"stranger"`` if the MAC is invalid, ``"malformed"`` if the contents are.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def sign(payload: bytes, key: str) -> bytes:
    """Return the truncated HMAC-SHA256 of a payload."""
    return hmac.digest(key.encode(), payload, hashlib.sha256)[:MAC_BYTES]


def verify(mac: bytes, payload: bytes, keys: tuple[str, ...]) -> bool:
    """Return whether the MAC is valid for any of the keys.

    All keys are tried and compared in constant time: from the duration of a comparison
    that stops early, an attacker could find the MAC byte by byte.
    """
    matches = [hmac.compare_digest(mac, sign(payload, key)) for key in keys]
    return any(matches)


def encode_gossip(message: Gossip, keys: tuple[str, ...]) -> bytes:
    """Encode a message as a datagram that is authenticated with the first key."""
    buffer = TMemoryBuffer()
    _to_struct(message).write(TCompactProtocol(buffer))
    payload = buffer.getvalue()
    return sign(_DOMAIN_SEPARATOR + payload, keys[0]) + payload


def decode_gossip(datagram: bytes, keys: tuple[str, ...]) -> Gossip:
    """Decode a datagram.

    Raises
    ------
    InvalidMessage
        If it is malformed or not authentic.
    """
    mac, payload = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not verify(mac, _DOMAIN_SEPARATOR + payload, keys):
        raise InvalidMessage("stranger")
    struct = structs.Gossip()
    try:
        struct.read(TCompactProtocol(TMemoryBuffer(payload)))
        return _from_struct(struct)
    # The parser may raise any exception; a message from a peer of a later release must
    # not end the task that reads the socket.
    except Exception as error:
        raise InvalidMessage("malformed") from error


def _to_struct(message: Gossip) -> Any:
    return structs.Gossip(
        sender=message.sender,
        session=message.session,
        sequence=message.sequence,
        purpose=int(message.purpose),
        members=[_write_record(record) for record in message.members],
        page=[_write_record(record) for record in message.page] or None,
        view=to_signed(message.view),
        known=message.known,
        after=message.after or None,
        buckets=message.buckets or None,
        configuration=[
            structs.ConfigurationDigest(
                item.kind,
                item.complete,
                item.newest,
                to_signed(item.content),
                item.era or None,
            )
            for item in message.configuration
        ],
        **_write_entries(message.entries),
    )


def _write_record(record: MemberRecord) -> Any:
    return structs.MemberRecord(
        record.name,
        record.incarnation,
        int(record.state),
        record.zone or None,
        record.address or None,
        record.peer_address or None,
    )


def _write_entries(entries: PiggybackedEntries) -> dict[str, Any]:
    loads = [structs.EndpointLoad(*item) for item in entries.loads]
    crashes = [
        structs.CrashCount(
            to_signed(item.fingerprint), item.crashes, item.late_crashes or None
        )
        for item in entries.crashes
    ]
    lists = {"loads": loads, "crashes": crashes}
    return {name: items or None for name, items in lists.items()}


def _from_struct(struct: Any) -> Gossip:
    return Gossip(
        require_text(struct.sender),
        struct.session + 0,
        struct.sequence + 0,
        Purpose(struct.purpose),
        tuple(_read_record(record) for record in struct.members),
        tuple(_read_record(record) for record in struct.page or ()),
        from_signed(struct.view),
        struct.known + 0,
        struct.after or "",
        _read_buckets(struct.buckets),
        tuple(_read_digest(item) for item in struct.configuration),
        _read_entries(struct),
    )


def _read_record(struct: Any) -> MemberRecord:
    return MemberRecord(
        require_text(struct.name),
        struct.incarnation + 0,
        MemberState(struct.state),
        struct.zone or "",
        struct.address or "",
        struct.peer_address or "",
    )


def _read_digest(struct: Any) -> ConfigurationDigest:
    return ConfigurationDigest(
        require_text(struct.kind),
        struct.complete + 0,
        struct.newest + 0,
        from_signed(struct.content),
        (struct.era or 0) + 0,
    )


def _read_entries(struct: Any) -> PiggybackedEntries:
    loads = [
        EndpointLoad(require_text(item.endpoint), item.in_flight + 0)
        for item in struct.loads or ()
    ]
    crashes = [
        CrashCount(
            from_signed(item.fingerprint), item.crashes + 0, item.late_crashes or 0
        )
        for item in struct.crashes or ()
    ]
    return PiggybackedEntries(tuple(crashes), tuple(loads))


def _read_buckets(value: bytes | None) -> bytes:
    if value and len(value) != BUCKET_COUNT:
        raise ValueError("wrong number of buckets")
    return value or b""


def require_text(value: object) -> str:
    """Return a text field; raise ValueError if it is missing or empty."""
    if not isinstance(value, str) or not value:
        raise ValueError("a text field is missing or empty")
    return value


def to_signed(value: int) -> int:
    """Convert an unsigned 64-bit hash to Thrift's signed i64."""
    return value - _I64_MODULUS if value >= _I64_LIMIT else value


def from_signed(value: int) -> int:
    """Convert Thrift's signed i64 to an unsigned 64-bit hash."""
    return value % _I64_MODULUS
