"""Encoding and authentication of bulletins; see `decisions.watching`."""

import math
from typing import Any

from thriftpy2.protocol.compact import TCompactProtocol
from thriftpy2.transport import TMemoryBuffer

from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.watching import Bulletin, Evidence
from tamarackrill.protocol import structs
from tamarackrill.protocol.codec import (
    MAC_BYTES,
    from_signed,
    sign,
    to_signed,
    verify,
)

_DOMAIN_SEPARATOR = b"bulletin\0"


def encode_bulletin(bulletin: Bulletin, keys: tuple[str, ...]) -> bytes:
    """Encode a bulletin as a datagram that is authenticated with the first key."""
    struct = structs.Bulletin(
        sender=bulletin.sender,
        session=bulletin.session,
        sequence=bulletin.sequence,
        evidence=[_write_evidence(evidence) for evidence in bulletin.evidence],
        asks=bulletin.asks,
        sent_ms=_to_ms(bulletin.sent_s),
        asked_ms=_to_ms(bulletin.asked_s),
        asks_time=bulletin.asks_time or None,
    )
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocol(buffer))
    payload = buffer.getvalue()
    return sign(_DOMAIN_SEPARATOR + payload, keys[0]) + payload


def decode_bulletin(datagram: bytes, keys: tuple[str, ...]) -> Bulletin | None:
    """Decode a datagram; None if it is malformed or not authentic."""
    mac, payload = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not verify(mac, _DOMAIN_SEPARATOR + payload, keys):
        return None
    struct = structs.Bulletin()
    try:
        struct.read(TCompactProtocol(TMemoryBuffer(payload)))
        evidence = tuple(_read_evidence(item) for item in struct.evidence)
        return Bulletin(
            str(struct.sender),
            int(struct.session),
            int(struct.sequence),
            evidence,
            bool(struct.asks),
            _from_ms(struct.sent_ms),
            _from_ms(struct.asked_ms),
            bool(struct.asks_time),
        )
    # The parser may raise any exception; a message from a peer of a later release must
    # not end the task that reads the socket.
    except Exception:
        return None


def _to_ms(time_s: float | None) -> int | None:
    return None if time_s is None else math.floor(time_s * 1000)


def _from_ms(time_ms: int | None) -> float | None:
    return None if time_ms is None else time_ms / 1000


def _write_evidence(evidence: Evidence) -> Any:
    digest = evidence.digest
    return structs.Evidence(
        kind=digest.kind,
        age_ms=round(evidence.age_s * 1000),
        complete=digest.complete,
        newest=digest.newest,
        content=to_signed(digest.content),
        origin=evidence.origin,
        hops=evidence.hops,
        era=digest.era or None,
    )


def _read_evidence(struct: Any) -> Evidence:
    digest = ConfigurationDigest(
        str(struct.kind),
        int(struct.complete),
        int(struct.newest),
        from_signed(struct.content),
        int(struct.era or 0),
    )
    # Routers of the previous release don't relay evidence, and omit these fields.
    origin, hops = str(struct.origin or ""), int(struct.hops or 0)
    return Evidence(struct.age_ms / 1000, digest, origin, hops)
