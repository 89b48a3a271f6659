"""Buckets: the objects of the platform that hold claims.

A claim is the platform's record that one attempt may run one non-idempotent
request.  Claims stand in a fixed number of buckets, found by the hash of team and
idempotency key, so that many claims go in one write.

Load pattern: many requests a second, each with a key of its own, from all routers.
Without grouping, each would cost one conditional write, and the platform takes
several hundred a second.  The grounds of the figures are in docs/design/claims.md.
"""

import hashlib
from collections.abc import Mapping, Sequence
from typing import Any, Literal, NamedTuple

BUCKETS = 16
"""Number of buckets.  A change moves keys to other buckets, where their claims are
not found: it needs a fleet that accepted no non-idempotent request for `CLAIM_KEPT_S`.
"""

CLAIM_KEPT_S = 3600.0
"""How long a claim lasts at least.  A key sent again after that may run again."""

CLOCK_SKEW_MAX_S = 300.0
"""Added to the life of a claim, since another VM's clock decides when it is over."""

BUCKET_CLAIMS_MAX = 6000
"""Claims in one bucket; at some 93 bytes each a value stays below 0.6 MB."""

ClaimState = Literal["claimed", "done"]


class Claim(NamedTuple):
    """One entry of a bucket.

    Parameters
    ----------
    attempt : str
        Identity of the attempt that may run: ``router/incarnation/number``.
    state : {"claimed", "done"}
        ``"done"`` once the endpoint's whole answer was received.
    expires_s : float
        Wall-clock time after which the entry may be removed.
    """

    attempt: str
    state: ClaimState
    expires_s: float


Entries = dict[str, Claim]


class AddClaim(NamedTuple):
    """Add a claim unless another attempt holds the key.

    `may_stand` says that a write with it went out whose answer was lost.
    """

    request: int
    key_hash: str
    attempt: str
    due_s: float
    wait_until_s: float
    deadline_s: float
    expires_s: float
    may_stand: bool = False


class DropClaim(NamedTuple):
    """Remove the claim of an attempt that has not sent and never will."""

    key_hash: str
    attempt: str
    due_s: float


class MarkDone(NamedTuple):
    """Note that the attempt's answer was received whole."""

    key_hash: str
    attempt: str
    due_s: float


Change = AddClaim | DropClaim | MarkDone


class Merge(NamedTuple):
    """What a list of changes makes of a bucket.

    Parameters
    ----------
    entries : dict
        The bucket after the changes.
    changed : bool
        Whether a write is needed.
    added : list of AddClaim
        Granted once the write is known to have taken effect.
    own : list of AddClaim
        Found in the bucket already under their own attempt.
    held : list of (AddClaim, Claim)
        Another attempt holds the key.
    full : list of AddClaim
        No room.
    later : list of Change
        Wait for the changes of `added`, on which they depend.
    """

    entries: Entries
    changed: bool
    added: list[AddClaim]
    own: list[AddClaim]
    held: list[tuple[AddClaim, Claim]]
    full: list[AddClaim]
    later: list[Change]


def hash_claim_key(team: str, idempotency_key: str) -> str:
    """Return the name of a claim within its bucket, 24 hexadecimal digits."""
    # The length before the team keeps ("ab", "c") and ("a", "bc") apart: else one
    # team's key could be answered with another team's answer.
    text = f"{len(team)}:{team}:{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()[:24]


def find_bucket(key_hash: str) -> str:
    """Return the name of the bucket that holds a key."""
    return f"{int(key_hash[:8], 16) % BUCKETS:03d}-of-{BUCKETS:03d}"


def format_attempt(router: str, incarnation: str, number: int) -> str:
    """Return the identity of an attempt."""
    return f"{router}/{incarnation}/{number}"


def find_holder(attempt: str) -> tuple[str, str]:
    """Return the router and the incarnation that made an attempt."""
    router, incarnation, _ = attempt.rsplit("/", 2)
    return router, incarnation


def decode_entries(value: Mapping[str, Any] | None) -> Entries:
    """Return the claims in an object's value; an absent object has none."""
    claims = (value or {}).get("claims", {})
    return {key_hash: Claim(*fields) for key_hash, fields in claims.items()}


def encode_entries(entries: Entries) -> dict[str, Any]:
    """Return the object's value for claims."""
    return {"claims": {key_hash: list(claim) for key_hash, claim in entries.items()}}


def merge_changes(entries: Entries, changes: Sequence[Change], now_s: float) -> Merge:
    """Return what `changes`, in their order, make of a bucket.

    Parameters
    ----------
    entries : dict
        The bucket as last known; left as it is.
    changes : sequence of Change
        Changes of this router.
    now_s : float
        Wall-clock time.

    Returns
    -------
    Merge
    """
    kept = {key: claim for key, claim in entries.items() if claim.expires_s > now_s}
    merge = Merge(kept, False, [], [], [], [], [])
    changed = False
    added_keys: set[str] = set()
    for change in changes:
        if change.key_hash in added_keys:
            merge.later.append(change)
        elif isinstance(change, AddClaim):
            if _add(merge, change):
                added_keys.add(change.key_hash)
                changed = True
        else:
            changed = _end(kept, change) or changed
    return merge._replace(changed=changed)


def _add(merge: Merge, change: AddClaim) -> bool:
    found = merge.entries.get(change.key_hash)
    if found is not None:
        if found.attempt == change.attempt:
            merge.own.append(change)
        else:
            merge.held.append((change, found))
        return False
    if len(merge.entries) >= BUCKET_CLAIMS_MAX:
        merge.full.append(change)
        return False
    claim = Claim(change.attempt, "claimed", change.expires_s)
    merge.entries[change.key_hash] = claim
    merge.added.append(change)
    return True


def _end(entries: Entries, change: DropClaim | MarkDone) -> bool:
    found = entries.get(change.key_hash)
    # Only the attempt's own entry may be touched.  Were another attempt's removed,
    # its request could be run a second time.
    if found is None or found.attempt != change.attempt:
        return False
    if isinstance(change, DropClaim):
        del entries[change.key_hash]
        return True
    if found.state == "done":
        return False
    entries[change.key_hash] = found._replace(state="done")
    return True
