"""Records of the routers, the messages that carry them, and what they weigh.

A record is replaced only by a greater one: a higher incarnation, or a later state of
the same incarnation.  So routers that hear the same records in any order, some of
them twice, hold the same view.
"""

import hashlib
from enum import IntEnum
from typing import NamedTuple

from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.loads import EndpointLoad
from tamarackrill.decisions.poison import CrashCount

# Weights of the encoded parts, with UDP and IP headers; test_codec.py checks that no
# message is heavier than its estimate.
_MESSAGE_BYTES = 115
_RECORD_BYTES = 18
_DIGEST_BYTES = 34
_LOAD_BYTES = 8
_CRASH_BYTES = 14


class MemberState(IntEnum):
    """State of a router, in the order in which one replaces another."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    LEAVING_SUSPECT = 3
    DEAD = 4
    LEFT = 5


SUSPECT_STATES = {
    MemberState.ALIVE: MemberState.SUSPECT,
    MemberState.LEAVING: MemberState.LEAVING_SUSPECT,
}
SERVING_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})
GONE_STATES = frozenset({MemberState.DEAD, MemberState.LEFT})


class MemberRecord(NamedTuple):
    """What is known of one router.

    Parameters
    ----------
    name : str
        Unique name of the VM.
    incarnation : int
        Raised by the router itself alone: at its start and to refute a rumour.
    state : MemberState
        State in that incarnation.
    zone : str
        Availability zone.  Empty, like the addresses, in a record that only tells
        of a state.
    address, peer_address : str
        ``host:port`` for requests (TCP) and for other routers (UDP).
    """

    name: str
    incarnation: int
    state: MemberState
    zone: str = ""
    address: str = ""
    peer_address: str = ""

    def replaces(self, other: "MemberRecord") -> bool:
        """Return whether this record is the newer one of the same router."""
        mine = (self.incarnation, self.state)
        return mine > (other.incarnation, other.state)


class PiggybackedEntries(NamedTuple):
    """What other modules exchange through gossip, most urgent first."""

    crashes: tuple[CrashCount, ...] = ()
    loads: tuple[EndpointLoad, ...] = ()


class Purpose(IntEnum):
    """Why a message is sent."""

    PING = 0
    ACK = 1
    PUSH = 2


class Gossip(NamedTuple):
    """One message between routers.

    Parameters
    ----------
    sender : str
        Name of the sending router.
    session : int
        Start of the sending process, in ms since the epoch.
    sequence : int
        Rises with each message of a session; an old one is a replay.
    purpose : Purpose
        A ping wants an ack.
    members : tuple of MemberRecord
        The sender's own record first, then news.
    page : tuple of MemberRecord
        Records that the receiver asked for; no news to others.
    view : int
        Hash over the sender's view; equal views need no records.
    known : int
        Number of routers in the sender's view.
    after : str
        The receiver should send the records that follow this name.
    buckets : bytes
        Hashes of parts of the sender's view, if it knows that it differs from others'.
    configuration : tuple of ConfigurationDigest
        One for each kind of object.
    entries : Entries
        Passed on unread.
    """

    sender: str
    session: int
    sequence: int
    purpose: Purpose
    members: tuple[MemberRecord, ...]
    page: tuple[MemberRecord, ...] = ()
    view: int = 0
    known: int = 0
    after: str = ""
    buckets: bytes = b""
    configuration: tuple[ConfigurationDigest, ...] = ()
    entries: PiggybackedEntries = PiggybackedEntries()


def hash_record(record: MemberRecord) -> int:
    """Return this record's part of the view's hash."""
    key = f"{record.name}\0{record.incarnation}\0{record.state}".encode()
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest())


def estimate_record_bytes(record: MemberRecord) -> int:
    """Return the most bytes that a record takes in a message."""
    texts = (record.name, record.zone, record.address, record.peer_address)
    return _RECORD_BYTES + sum(len(text.encode()) for text in texts)


def estimate_base_bytes(sender: str, after: str, buckets: bytes, digests: int) -> int:
    """Return the most bytes of a message without records and entries."""
    return (
        _MESSAGE_BYTES
        + len(sender.encode())
        + len(after.encode())
        + len(buckets)
        + digests * _DIGEST_BYTES
    )


def choose_entries(
    entries: PiggybackedEntries, limit_bytes: int
) -> tuple[PiggybackedEntries, int]:
    """Return the first entries that fit, and what they weigh in bytes."""
    crashes, left = _fit(entries.crashes, [_CRASH_BYTES], limit_bytes)
    weights = [_LOAD_BYTES + len(item.endpoint.encode()) for item in entries.loads]
    loads, left = _fit(entries.loads, weights, left)
    return PiggybackedEntries(crashes, loads), limit_bytes - left


def _fit(items: tuple, weights: list[int], limit_bytes: int) -> tuple[tuple, int]:
    chosen = []
    if len(weights) != len(items):
        weights = weights * len(items)
    for item, weight in zip(items, weights, strict=True):
        if weight > limit_bytes:
            break
        chosen.append(item)
        limit_bytes -= weight
    return tuple(chosen), limit_bytes
