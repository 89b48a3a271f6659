"""Weighted rendezvous hashing: the order in which a key prefers its members.

Load pattern: many keys (chats) that come back, over members (engines, routers) that
join, leave and flap.  Every router must find the same member for a key without asking
anyone.  Without it, a change of one member would move the keys of all the others
(as a hash modulo the number of members does), and each moved chat would pay for its
whole prefix again.

A key's score at a member depends on these two alone.  So the loss of a member moves
only that member's keys, each to its own second choice, and they come back with it.

Cost: one multiplication chain for each member, with the member's own hash kept.  See
docs/design/routing.md for the measured time at 780 members.
"""

import hashlib
import heapq
from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import NamedTuple

_MASK = (1 << 64) - 1
# Multipliers of the finalizer of MurmurHash3, which spreads each input bit over all
# output bits; two rounds suffice because both inputs are full 64-bit hashes already.
_MULTIPLIER_FIRST = 0xFF51AFD7ED558CCD
_MULTIPLIER_SECOND = 0xC4CEB9FE1A85EC53
# Lists of members whose hashes are kept: one for each of 23 models, and the routers.
# At 780 members a list takes about 40 KB.
_LISTS_KEPT = 32
# Names whose hashes are kept, some 150 bytes each: endpoints and routers come and go
# one by one, and a new list of thousands would cost a digest for each of them.
_NAMES_KEPT = 8_192


def hash_name(name: str) -> int:
    """Return a 64-bit hash that is the same in every process and release."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class HashedMembers(NamedTuple):
    """Members with their hashes, for those who rank the same ones over and over."""

    names: tuple[str, ...]
    hashes: tuple[int, ...]


@lru_cache(maxsize=_NAMES_KEPT)
def _hash_member(name: str) -> int:
    return hash_name(name)


def hash_members(names: Iterable[str]) -> HashedMembers:
    """Return members with their hashes."""
    listed = tuple(names)
    return HashedMembers(listed, tuple(map(_hash_member, listed)))


@lru_cache(maxsize=_LISTS_KEPT)
def _remember_members(names: tuple[str, ...]) -> HashedMembers:
    return hash_members(names)


def _score(key: str, members: HashedMembers) -> list[int]:
    key_hash = hash_name(key)
    # Written as one expression: a call for each member trebles the time, which is
    # what limits a decision over 780 members.
    return [
        (
            ((mixed := ((key_hash ^ member) * _MULTIPLIER_FIRST) & _MASK) ^ mixed >> 33)
            * _MULTIPLIER_SECOND
        )
        & _MASK
        for member in members.hashes
    ]


def rendezvous_order(key: str, members: Sequence[str], count: int) -> list[str]:
    """Return the members that `key` prefers, best first.

    Parameters
    ----------
    key : str
        Name of a chat, or of anything else that needs a place.
    members : sequence of str
        Names, in any order; the result does not depend on it.
    count : int
        How many to return at most.

    Returns
    -------
    list of str
        At most `count` of `members`.
    """
    return order_members(key, _remember_members(tuple(members)), count)


def order_members(key: str, members: HashedMembers, count: int) -> list[str]:
    """Return the members that `key` prefers, best first; see `rendezvous_order`."""
    scored = zip(_score(key, members), members.names, strict=True)
    return [member for _, member in heapq.nlargest(count, scored)]


def rank(key: str, members: Sequence[str]) -> list[str]:
    """Return all members in the order in which `key` prefers them."""
    return rendezvous_order(key, members, len(members))
