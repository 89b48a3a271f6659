"""Encoding and proof of origin of the messages to and from owners of endpoints.

The keyed digest covers a word of its own, so that a datagram of the gossip, on the
same socket and with the same keys, is never taken for one of these.
"""

from typing import NamedTuple

from thriftpy2.protocol.compact import TCompactProtocol
from thriftpy2.transport import TMemoryBuffer

from tamarackrill.protocol import structs
from tamarackrill.protocol.codec import MAC_BYTES, sign, verify

_DOMAIN_SEPARATOR = b"owners\0"


class Ask(NamedTuple):
    """A home router asks an owner for a reservation.

    Parameters
    ----------
    sender : str
        Name of the home router.
    ticket : int
        Identifies the reservation at the sender.
    endpoint : str
        Name of the endpoint.
    lapses_ms : int
        The reservation lapses after this time if nobody releases it.
    is_last : bool
        See `Reservations.reserve`.
    """

    sender: str
    ticket: int
    endpoint: str
    lapses_ms: int
    is_last: bool


class Answer(NamedTuple):
    """An owner's answer; see `ReservationReply`."""

    ticket: int
    is_granted: bool
    in_flight: int


class Release(NamedTuple):
    """A home router ends a reservation."""

    sender: str
    ticket: int


OwnerMessage = Ask | Answer | Release


def encode_owner_message(message: OwnerMessage, keys: tuple[str, ...]) -> bytes:
    """Return the datagram of a message, signed with the first key."""
    name = type(message).__name__
    struct = getattr(structs, name)(**message._asdict())
    buffer = TMemoryBuffer()
    structs.OwnerMessage(**{name.lower(): struct}).write(TCompactProtocol(buffer))
    payload = buffer.getvalue()
    return sign(_DOMAIN_SEPARATOR + payload, keys[0]) + payload


def decode_owner_message(datagram: bytes, keys: tuple[str, ...]) -> OwnerMessage | None:
    """Return the message of a datagram, or None if it holds none of a peer's."""
    digest, payload = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not verify(digest, _DOMAIN_SEPARATOR + payload, keys):
        return None
    struct = structs.OwnerMessage()
    try:
        struct.read(TCompactProtocol(TMemoryBuffer(payload)))
        for kind in (Ask, Answer, Release):
            found = getattr(struct, kind.__name__.lower())
            if found is not None:
                fields = {name: getattr(found, name) for name in kind._fields}
                return None if None in fields.values() else kind(**fields)
    # The parser raises whatever the bytes lead it to; a peer of a later release must
    # not be able to end the task that reads the socket.
    except Exception:
        return None
    return None
