"""Buckets: the platform objects that store claims.

A claim records on the platform that one attempt may run one non-idempotent request.
Claims are stored in a fixed number of buckets, selected by the hash of team and
idempotency key, so that one write can carry many claims.

Load pattern: many requests per second from all routers, each with its own key. Without
batching, each request would cost one conditional write, and the platform handles only
several hundred per second. See docs/design/claims.md for the calculations.
"""

import hashlib
import math
from collections.abc import Mapping, Sequence
from typing import Any, Literal, NamedTuple, get_args

BUCKETS = 16
"""Number of buckets. Changing it moves keys to other buckets, where their existing
claims are not found, so the fleet must not have accepted any non-idempotent request for
`CLAIM_TTL_S` before the change."""

CLAIM_TTL_S = 3600.0
"""Minimum lifetime of a claim. A key that is sent again after it expired may run again.
"""

CLOCK_SKEW_MAX_S = 300.0
"""Added to the lifetime of a claim, because another VM's clock decides when it has
expired."""

BUCKET_CLAIMS_MAX = 6000
"""Maximum number of claims in one bucket; at about 93 bytes each, the object stays
below 0.6 MB."""

ClaimState = Literal["claimed", "done"]


class Claim(NamedTuple):
    """One entry of a bucket.

    Parameters
    ----------
    attempt : str
        Identity of the attempt that may run the request: ``router/incarnation/number``.
    state : {"claimed", "done"}
        ``"done"`` once the endpoint's complete response was received.
    expires_s : float
        Wall-clock time after which the entry may be removed.
    """

    attempt: str
    state: ClaimState
    expires_s: float


class UnreadableClaim(NamedTuple):
    """An entry that isn't a claim, as another program may have written it.

    It is written back as it is, and holds its key: the claim that stood there may have
    let a request run.
    """

    content: Any


Entries = dict[str, Claim | UnreadableClaim]


class AddClaim(NamedTuple):
    """Add a claim unless another attempt holds the key.

    `may_be_stored` is true if a write that contained it went unanswered.
    """

    request: int
    key_hash: str
    attempt: str
    due_s: float
    wait_until_s: float
    deadline_s: float
    expires_s: float
    may_be_stored: bool = False


class DropClaim(NamedTuple):
    """Remove the claim of an attempt that has not sent its request and never will."""

    key_hash: str
    attempt: str
    due_s: float


class MarkDone(NamedTuple):
    """Record that the attempt received a complete response."""

    key_hash: str
    attempt: str
    due_s: float


Change = AddClaim | DropClaim | MarkDone


class MergeResult(NamedTuple):
    """Result of applying a list of changes to a bucket.

    Parameters
    ----------
    entries : dict
        The bucket after the changes.
    changed : bool
        Whether a write is needed.
    added : list of AddClaim
        To be granted once the write is known to have taken effect.
    already_stored : list of AddClaim
        Already in the bucket under the same attempt.
    held : list of (AddClaim, Claim or UnreadableClaim)
        Another attempt holds the key, or may hold it.
    full : list of AddClaim
        Rejected because the bucket is full.
    deferred : list of Change
        Must wait until the changes in `added`, on which they depend, are written.
    """

    entries: Entries
    changed: bool
    added: list[AddClaim]
    already_stored: list[AddClaim]
    held: list[tuple[AddClaim, Claim | UnreadableClaim]]
    full: list[AddClaim]
    deferred: list[Change]


def hash_claim_key(team: str, idempotency_key: str) -> str:
    """Return the key of a claim within its bucket, 24 hexadecimal digits."""
    # The length prefix keeps ("ab", "c") and ("a", "bc") apart. Without it one team's
    # key could get another team's response.
    text = f"{len(team)}:{team}:{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()[:24]


def find_bucket(key_hash: str) -> str:
    """Return the name of the bucket that holds a key."""
    return f"{int(key_hash[:8], 16) % BUCKETS:03d}-of-{BUCKETS:03d}"


def format_attempt(router: str, incarnation: str, number: int) -> str:
    """Return the identity of an attempt."""
    return f"{router}/{incarnation}/{number}"


def parse_attempt(attempt: str) -> tuple[str, str]:
    """Return the router and the incarnation of an attempt."""
    router, incarnation, _ = attempt.rsplit("/", 2)
    return router, incarnation


def decode_entries(value: Mapping[str, Any] | None) -> Entries:
    """Return the claims in an object's value; a missing object has none.

    Raises
    ------
    AttributeError, TypeError, ValueError
        If the value isn't a bucket.  Of a bucket, malformed entries are returned as
        `UnreadableClaim`.
    """
    if value is None:
        return {}
    claims = value.get("claims", {})
    return {key_hash: _decode_claim(content) for key_hash, content in claims.items()}


def _decode_claim(content: Any) -> Claim | UnreadableClaim:
    if not isinstance(content, list):
        return UnreadableClaim(content)
    try:
        claim = Claim(*content)
        parse_attempt(claim.attempt)
        is_valid = (
            claim.state in get_args(ClaimState)
            and type(claim.expires_s) in (int, float)
            and math.isfinite(claim.expires_s)
        )
    except (TypeError, ValueError, AttributeError):
        is_valid = False
    return claim if is_valid else UnreadableClaim(content)


def list_unreadable(entries: Entries) -> list[str]:
    """Return the keys of the entries that aren't claims."""
    return [key for key, claim in entries.items() if isinstance(claim, UnreadableClaim)]


def encode_entries(entries: Entries) -> dict[str, Any]:
    """Return the object value that stores the claims."""
    return {
        "claims": {
            key_hash: claim.content
            if isinstance(claim, UnreadableClaim)
            else list(claim)
            for key_hash, claim in entries.items()
        }
    }


def merge_changes(
    entries: Entries, changes: Sequence[Change], now_s: float
) -> MergeResult:
    """Apply `changes` to a bucket in order and return the result.

    Parameters
    ----------
    entries : dict
        The bucket as last known; not modified.
    changes : sequence of Change
        Changes of this router.
    now_s : float
        Wall-clock time.

    Returns
    -------
    MergeResult
    """
    kept = {
        key: claim
        for key, claim in entries.items()
        if isinstance(claim, UnreadableClaim) or claim.expires_s > now_s
    }
    merge = MergeResult(kept, False, [], [], [], [], [])
    changed = False
    added_keys: set[str] = set()
    for change in changes:
        if change.key_hash in added_keys:
            merge.deferred.append(change)
        elif isinstance(change, AddClaim):
            if _add_claim(merge, change):
                added_keys.add(change.key_hash)
                changed = True
        else:
            changed = _remove_or_mark_done(kept, change) or changed
    return merge._replace(changed=changed)


def _add_claim(merge: MergeResult, change: AddClaim) -> bool:
    found = merge.entries.get(change.key_hash)
    if found is not None:
        if isinstance(found, Claim) and found.attempt == change.attempt:
            merge.already_stored.append(change)
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


def _remove_or_mark_done(entries: Entries, change: DropClaim | MarkDone) -> bool:
    found = entries.get(change.key_hash)
    # Only modify the attempt's own entry. Removing another attempt's entry would allow
    # its request to run a second time.
    if not isinstance(found, Claim) or found.attempt != change.attempt:
        return False
    if isinstance(change, DropClaim):
        del entries[change.key_hash]
        return True
    if found.state == "done":
        return False
    entries[change.key_hash] = found._replace(state="done")
    return True
