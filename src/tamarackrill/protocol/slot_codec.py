"""Encoding and authentication of the messages to and from slot allocators.

Gossip uses the same socket and keys; the domain separator prevents its datagrams from
being accepted as these messages.
"""

import enum
from typing import Any, NamedTuple, get_origin, get_type_hints

from thriftpy2.protocol.compact import TCompactProtocol
from thriftpy2.transport import TMemoryBuffer

from tamarackrill.protocol import structs
from tamarackrill.protocol.codec import MAC_BYTES, sign, verify

_DOMAIN_SEPARATOR = b"slots\0"
# Endpoints that an ask lists at most, so that it fits into one datagram.
AVOID_MAX = 8
# Values of fields that are not known.
UNKNOWN = -1


class SlotAsk(NamedTuple):
    """Request of a router for a slot of a plain service.

    Parameters
    ----------
    sender : str
        Name of the router.
    ticket : int
        Identifies the ask at the sender; above 0.
    service_name, zone : str
        Whose slots are asked for.
    route, team : str
        Of the call; the team is empty on a route without keys.
    weight_milli : int
        Thousandths of the team's weight.
    urgency : int
        0 is the most urgent.
    fingerprint : int
        64 bits, signed, the same for each attempt of the client.
    objective_left_ms, deadline_left_ms : int
        Time until the response is late, and until it is useless.
    is_overflow : bool
        Whether the caller's own zone has endpoints of the service.
    avoid : list of str
        Endpoints that the call can't be sent to.
    """

    sender: str
    ticket: int
    service_name: str
    zone: str
    route: str
    team: str
    weight_milli: int
    urgency: int
    fingerprint: int
    objective_left_ms: int
    deadline_left_ms: int
    is_overflow: bool
    avoid: list[str]


class Verdict(enum.IntEnum):
    """Decision of an allocator about an ask."""

    GRANTED = 0
    QUEUED = 1
    REJECTED = 2


class SlotAnswer(NamedTuple):
    """Response of an allocator.

    Parameters
    ----------
    ticket : int
        That of the ask.
    decision : int
        A `Verdict`.
    endpoint : str
        Where the call may be sent, if the ask is granted.
    wait_ms : int
        Expected wait of a queued ask; time after which the client of a rejected one
        may return.
    reason : str
        Of a rejection.
    """

    ticket: int
    decision: int
    endpoint: str
    wait_ms: int
    reason: str


class SlotRelease(NamedTuple):
    """Notice of a router that an attempt has ended, or that it cancels an ask.

    Parameters
    ----------
    sender : str
        Name of the router.
    ticket : int
        That of the ask; 0 if this only reports a load.
    endpoint : str
        Where the call was sent; empty if the ask is cancelled.
    took_ms : int
        How long it took; -1 without a response.
    running, waiting, slowdown_percent : int
        Load of the endpoint by its response; -1 if not known.
    """

    sender: str
    ticket: int
    endpoint: str
    took_ms: int
    running: int
    waiting: int
    slowdown_percent: int


SlotMessage = SlotAsk | SlotAnswer | SlotRelease

_KINDS: tuple[type[Any], ...] = (SlotAsk, SlotAnswer, SlotRelease)
_TYPES = {
    kind: {name: get_origin(t) or t for name, t in get_type_hints(kind).items()}
    for kind in _KINDS
}


def encode_slot_message(message: SlotMessage, keys: tuple[str, ...]) -> bytes:
    """Encode a message as a datagram that is authenticated with the first key."""
    name = type(message).__name__
    struct = getattr(structs, name)(**message._asdict())
    buffer = TMemoryBuffer()
    structs.SlotMessage(**{name.lower(): struct}).write(TCompactProtocol(buffer))
    payload = buffer.getvalue()
    return sign(_DOMAIN_SEPARATOR + payload, keys[0]) + payload


def decode_slot_message(datagram: bytes, keys: tuple[str, ...]) -> SlotMessage | None:
    """Decode a datagram; None if it is malformed or not authentic."""
    mac, payload = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not verify(mac, _DOMAIN_SEPARATOR + payload, keys):
        return None
    struct = structs.SlotMessage()
    try:
        struct.read(TCompactProtocol(TMemoryBuffer(payload)))
        for kind in _KINDS:
            found = getattr(struct, kind.__name__.lower())
            if found is not None:
                return _check_message(kind, found)
    # The parser may raise any exception; a message from a router of a later release
    # must not end the task that reads the socket.
    except Exception:
        return None
    return None


def _check_message(kind: type[Any], struct: Any) -> SlotMessage | None:
    fields = {name: getattr(struct, name) for name in kind._fields}
    # The parser returns bytes for a text that is not valid UTF-8.
    if not all(isinstance(fields[name], t) for name, t in _TYPES[kind].items()):
        return None
    message: SlotMessage = kind(**fields)
    if isinstance(message, SlotAnswer):
        # A decision of a later release is treated like no answer.
        return message if message.decision in list(Verdict) else None
    if isinstance(message, SlotAsk):
        avoid = message.avoid[:AVOID_MAX]
        is_text = all(isinstance(name, str) for name in avoid)
        return message._replace(avoid=avoid) if is_text else None
    return message
