"""Membership records, gossip messages and estimates of their encoded size.

Load pattern: records arrive in any order, some of them twice.  A record is replaced
only by a higher incarnation, or by a later state of the same incarnation, so routers
that receive the same records end up with the same view.  Without that order an old
record could bring back a router that has failed.
"""

import hashlib
from enum import IntEnum
from typing import NamedTuple

from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.loads import EndpointLoad
from tamarackrill.decisions.poison import CrashCount

# Upper bounds of the encoded sizes, UDP and IP headers included; test_codec.py checks
# that no message exceeds its estimate.
_MESSAGE_BYTES = 115
_RECORD_BYTES = 18
_DIGEST_BYTES = 40
_LOAD_BYTES = 8
_CRASH_BYTES = 16


class MemberState(IntEnum):
    """State of a router; within an incarnation a higher state replaces a lower one."""

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
    """One router's addresses and state in an incarnation.

    Parameters
    ----------
    name : str
        Unique name of the VM.
    incarnation : int
        Raised only by the router itself, at its start and to refute a suspicion.
    state : MemberState
        State in that incarnation.
    zone : str
        Availability zone.  Empty, like the addresses, in a record that carries only
        a state.
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
        """Return whether this record is newer than another one of the same router."""
        own_order = (self.incarnation, self.state)
        return own_order > (other.incarnation, other.state)


class PiggybackedEntries(NamedTuple):
    """Data of other modules that is piggybacked on gossip, most urgent first."""

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
        Start time of the sending process, in ms since the epoch.
    sequence : int
        Increases with each message of a session; a lower one is a replay.
    purpose : Purpose
        A ping is answered with an ack.
    members : tuple of MemberRecord
        The sender's own record first, then changes to spread.
    page : tuple of MemberRecord
        Records that the receiver requested; it does not spread them further.
    view : int
        Hash over the sender's view; equal views need no records.
    known : int
        Number of routers in the sender's view.
    after : str
        Cursor: the receiver should send the records that follow this name.
    buckets : bytes
        Hashes of parts of the sender's view, if it knows that it differs from others'.
    configuration : tuple of ConfigurationDigest
        One for each kind of object.
    entries : Entries
        Data of other modules; not interpreted here.
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
    """Return what a record contributes to the hash of a view."""
    key = f"{record.name}\0{record.incarnation}\0{record.state}".encode()
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest())


def estimate_record_bytes(record: MemberRecord) -> int:
    """Return an upper bound of a record's encoded size."""
    texts = (record.name, record.zone, record.address, record.peer_address)
    return _RECORD_BYTES + sum(len(text.encode()) for text in texts)


def estimate_base_bytes(sender: str, after: str, buckets: bytes, digests: int) -> int:
    """Return an upper bound of a message's size without records and entries."""
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
    """Return the first entries that fit, and their estimated size in bytes."""
    crashes, left_bytes = _take_while_fitting(
        entries.crashes, [_CRASH_BYTES], limit_bytes
    )
    sizes = [_LOAD_BYTES + len(item.endpoint.encode()) for item in entries.loads]
    loads, left_bytes = _take_while_fitting(entries.loads, sizes, left_bytes)
    return PiggybackedEntries(crashes, loads), limit_bytes - left_bytes


def _take_while_fitting(
    items: tuple, sizes: list[int], limit_bytes: int
) -> tuple[tuple, int]:
    chosen = []
    if len(sizes) != len(items):
        sizes = sizes * len(items)
    for item, size in zip(items, sizes, strict=True):
        if size > limit_bytes:
            break
        chosen.append(item)
        limit_bytes -= size
    return tuple(chosen), limit_bytes
