"""Rendezvous hashing: the order of members for a key.

Load pattern: many keys (chats) that come back, over members (engines, routers) that
join, leave and flap.  Every router must find the same member for a key without
coordination.  With a hash modulo the number of members, a change of one member would
move the keys of all the others, and each moved chat would have its whole prefix
computed again.

A score depends only on the key and the member.  So the loss of a member moves only that
member's keys, each to its own second choice, and they return when it does.

Cost: one multiplication chain per member; the members' hashes are cached.  See
docs/design/routing.md for the time at 780 members.
"""

import hashlib
import heapq
from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import NamedTuple

_MASK = (1 << 64) - 1
# Multipliers of MurmurHash3's finalizer, which spreads each input bit over all output
# bits; two rounds suffice because both inputs are full 64-bit hashes already.
_MULTIPLIER_FIRST = 0xFF51AFD7ED558CCD
_MULTIPLIER_SECOND = 0xC4CEB9FE1A85EC53
# Member lists whose hashes are cached: one for each of 23 models, and the routers.
# At 780 members a list takes about 40 KB.
_LISTS_CACHED = 32
# Names whose hashes are cached, some 150 bytes each: endpoints and routers come and go
# one by one, and without the cache a new list of thousands would rehash each of them.
_NAMES_CACHED = 8_192


def hash_name(name: str) -> int:
    """Return a 64-bit hash that is the same in every process and release."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class HashedMembers(NamedTuple):
    """Members with precomputed hashes, for callers that rank the same ones often."""

    names: tuple[str, ...]
    hashes: tuple[int, ...]


@lru_cache(maxsize=_NAMES_CACHED)
def _hash_member(name: str) -> int:
    return hash_name(name)


def hash_members(names: Iterable[str]) -> HashedMembers:
    """Return members with their hashes."""
    listed = tuple(names)
    return HashedMembers(listed, tuple(map(_hash_member, listed)))


@lru_cache(maxsize=_LISTS_CACHED)
def _hash_members_cached(names: tuple[str, ...]) -> HashedMembers:
    return hash_members(names)


def _score_members(key: str, members: HashedMembers) -> list[int]:
    key_hash = hash_name(key)
    # One expression, because a call for each member triples the time, which dominates
    # a decision over 780 members.
    return [
        (
            ((mixed := ((key_hash ^ member) * _MULTIPLIER_FIRST) & _MASK) ^ mixed >> 33)
            * _MULTIPLIER_SECOND
        )
        & _MASK
        for member in members.hashes
    ]


def rendezvous_order(key: str, members: Sequence[str], count: int) -> list[str]:
    """Return the members with the highest scores for `key`, best first.

    Parameters
    ----------
    key : str
        Name of a chat, or of anything else to be placed.
    members : sequence of str
        Names, in any order; the result does not depend on it.
    count : int
        How many to return at most.

    Returns
    -------
    list of str
        At most `count` of `members`.
    """
    return order_members(key, _hash_members_cached(tuple(members)), count)


def order_members(key: str, members: HashedMembers, count: int) -> list[str]:
    """Return the best members for `key`, best first; see `rendezvous_order`."""
    scored = zip(_score_members(key, members), members.names, strict=True)
    return [member for _, member in heapq.nlargest(count, scored)]


def rank(key: str, members: Sequence[str]) -> list[str]:
    """Return all members in their order for `key`, best first."""
    return rendezvous_order(key, members, len(members))
