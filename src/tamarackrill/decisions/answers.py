"""Response cache that deduplicates resent requests.

A caller that lost its connection sends the request again with the same idempotency key
or the same sequence number in the chat. The resent request joins the run in progress or
gets the cached response; it does not run a second time.

Load pattern: many callers resend at once after a router or a network link failed.
Without the cache every resent request would run again, when capacity is lowest. Memory
is bounded in bytes: above the limit, the oldest responses of the team that uses the
most are evicted, so that long responses of one team don't displace another team's.
"""

from collections import Counter
from typing import Literal, NamedTuple

CACHE_MAX_BYTES = 8 * 1024 * 1024
"""Bytes of cached responses of one router. At 6,500 requests/s over 370 routers, 60 s
and 4 KB per response, a router holds 4.2 MB."""

RECORD_OVERHEAD_BYTES = 1024
"""Memory counted per record in addition to the response: keys, Python objects."""

LookupResult = Literal["new", "join", "mismatch"]


class Identity(NamedTuple):
    """Identifies a request across resends."""

    team: str
    name: str


class Record(NamedTuple):
    """State of one request; `expires_s` is None while it runs."""

    fingerprint: str
    size_bytes: int = 0
    expires_s: float | None = None


class AnswerCache:
    """Records by identity, in the order in which their responses were cached."""

    def __init__(self) -> None:
        self.records: dict[Identity, Record] = {}
        self.size_bytes: Counter[str] = Counter()


def identify(team: str, key: str, chat: str, sequence: int | None) -> Identity | None:
    """Return the identity of a request, or None if resends can't be recognized."""
    if key:
        return Identity(team, f"key {key}")
    if chat and sequence is not None:
        return Identity(team, f"chat {sequence} {chat}")
    return None


def look_up(answers: AnswerCache, identity: Identity, fingerprint: str) -> LookupResult:
    """Return whether a request is new, a resend, or reuses another's identity.

    Parameters
    ----------
    answers : AnswerCache
        State, not modified.
    identity : Identity
        Identity of the request.
    fingerprint : str
        Hash of everything that the endpoint would receive. Without comparing it, a key
        reused by mistake would return the response to a different request.
    """
    record = answers.records.get(identity)
    if record is None:
        return "new"
    return "join" if record.fingerprint == fingerprint else "mismatch"


def start(answers: AnswerCache, identity: Identity, fingerprint: str) -> None:
    """Record that a new request is running."""
    answers.records[identity] = Record(fingerprint)


def finish(
    answers: AnswerCache,
    identity: Identity,
    size_bytes: int,
    is_replayable: bool,
    expires_s: float,
) -> list[Identity]:
    """Record the end of a run and return the identities that were removed.

    Parameters
    ----------
    answers : AnswerCache
        State, modified in place.
    identity : Identity
        Identity of the request.
    size_bytes : int
        Size of the response.
    is_replayable : bool
        Whether a resent request gets this response. Truncated responses are never
        cached, because a caller would take them for complete ones.
    expires_s : float
        When the cached response expires.
    """
    record = answers.records.pop(identity, None)
    if record is None or not is_replayable:
        return [identity]
    size_bytes += RECORD_OVERHEAD_BYTES
    answers.records[identity] = Record(record.fingerprint, size_bytes, expires_s)
    answers.size_bytes[identity.team] += size_bytes
    evicted: list[Identity] = []
    while answers.size_bytes.total() > CACHE_MAX_BYTES:
        evicted.append(_evict_oldest(answers))
    return evicted


def expire(answers: AnswerCache, now_s: float) -> list[Identity]:
    """Remove expired responses and return their identities."""
    expired = [
        identity
        for identity, record in answers.records.items()
        if record.expires_s is not None and record.expires_s <= now_s
    ]
    for identity in expired:
        _remove(answers, identity)
    return expired


def _evict_oldest(answers: AnswerCache) -> Identity:
    (team, _), *_ = answers.size_bytes.most_common(1)
    kept = (
        identity
        for identity, record in answers.records.items()
        if identity.team == team and record.expires_s is not None
    )
    oldest = next(kept)
    _remove(answers, oldest)
    return oldest


def _remove(answers: AnswerCache, identity: Identity) -> None:
    record = answers.records.pop(identity)
    answers.size_bytes[identity.team] -= record.size_bytes
    if not answers.size_bytes[identity.team]:
        del answers.size_bytes[identity.team]
