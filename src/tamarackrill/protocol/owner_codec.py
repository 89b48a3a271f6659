"""Encoding and authentication of the messages to and from owners and keepers.

Owners count the requests at endpoints, keepers know the versions of streams.

Gossip uses the same socket and keys; the domain separator prevents its datagrams from
being accepted as these messages.
"""

from typing import Any, NamedTuple

from thriftpy2.protocol.compact import TCompactProtocol
from thriftpy2.transport import TMemoryBuffer

from tamarackrill.decisions.stream_versions import StreamRecord
from tamarackrill.protocol import structs
from tamarackrill.protocol.codec import MAC_BYTES, sign, verify

_DOMAIN_SEPARATOR = b"owners\0"


class Ask(NamedTuple):
    """Request of a home router to an owner for a reservation.

    Parameters
    ----------
    sender : str
        Name of the home router.
    ticket : int
        Identifies the reservation at the sender.
    endpoint : str
        Name of the endpoint.
    lapses_ms : int
        The reservation expires after this time unless it is released.
    is_last : bool
        See `Reservations.reserve`.
    """

    sender: str
    ticket: int
    endpoint: str
    lapses_ms: int
    is_last: bool


class Answer(NamedTuple):
    """Response of an owner; see `ReservationReply`.

    `session` is the owner's process, 0 if unknown, as of an earlier release.
    """

    ticket: int
    is_granted: bool
    in_flight: int
    session: int = 0


class Release(NamedTuple):
    """Notice of a home router that it no longer needs a reservation.

    `is_served` tells whether the endpoint had accepted the request.
    """

    sender: str
    ticket: int
    is_served: bool = False


class Told(NamedTuple):
    """Number of a router's requests at an endpoint that the owner hasn't granted."""

    sender: str
    endpoint: str
    requests: int


class PermitRequest(NamedTuple):
    """Request for one permit; see `decisions.cold_endpoints`.

    Parameters
    ----------
    ticket : int
        Identifies the request at its sender.
    endpoint : str
        Name of the cold endpoint.
    """

    ticket: int
    endpoint: str


class PermitReply(NamedTuple):
    """Response of the owner of a cold endpoint."""

    ticket: int
    is_granted: bool


class VersionQuestion(NamedTuple):
    """Question for the version of a stream of a service."""

    ticket: int
    stream: int
    service_name: str


class VersionReply(NamedTuple):
    """Reply of a keeper; see `KeeperReply`."""

    ticket: int
    software_version: str
    versions: list[str]
    has_history: bool
    had_history: bool = False


OwnerMessage = (
    Ask
    | Answer
    | Release
    | Told
    | PermitRequest
    | PermitReply
    | StreamRecord
    | VersionQuestion
    | VersionReply
)

_KINDS: tuple[type[Any], ...] = (
    Ask,
    Answer,
    Release,
    Told,
    PermitRequest,
    PermitReply,
    StreamRecord,
    VersionQuestion,
    VersionReply,
)


def encode_owner_message(message: OwnerMessage, keys: tuple[str, ...]) -> bytes:
    """Encode a message as a datagram that is authenticated with the first key."""
    name = type(message).__name__
    struct = getattr(structs, name)(**message._asdict())
    buffer = TMemoryBuffer()
    structs.OwnerMessage(**{name.lower(): struct}).write(TCompactProtocol(buffer))
    payload = buffer.getvalue()
    return sign(_DOMAIN_SEPARATOR + payload, keys[0]) + payload


def decode_owner_message(datagram: bytes, keys: tuple[str, ...]) -> OwnerMessage | None:
    """Decode a datagram; None if it is malformed or not authentic."""
    mac, payload = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not verify(mac, _DOMAIN_SEPARATOR + payload, keys):
        return None
    struct = structs.OwnerMessage()
    try:
        struct.read(TCompactProtocol(TMemoryBuffer(payload)))
        for kind in _KINDS:
            found = getattr(struct, kind.__name__.lower())
            if found is not None:
                received = {name: getattr(found, name) for name in kind._fields}
                defaults = kind._field_defaults
                # A field that an earlier release doesn't send has its default.
                fields = {
                    name: defaults.get(name) if value is None else value
                    for name, value in received.items()
                }
                return None if None in fields.values() else kind(**fields)
    # The parser may raise any exception; a message from a peer of a later release must
    # not end the task that reads the socket.
    except Exception:
        return None
    return None
