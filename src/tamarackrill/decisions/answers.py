"""Which answer a resend gets, and how long answers are kept for that.

A caller whose connection broke sends its request again with the same idempotency key,
or with the same place in the chat.  It joins the run in progress or gets the kept
answer; the request does not run a second time.

Load pattern: many callers that resend at once after a router or a link was lost.
Without kept answers each resend would run again, at the worst moment.  The memory is
bounded in bytes; past it the team that holds most gives up its oldest answers, so
that one team's long answers don't push out another team's.
"""

from collections import Counter
from typing import Literal, NamedTuple

KEPT_MAX_BYTES = 8 * 1024 * 1024
"""Bytes of kept answers of one router.  At 6,500 requests/s over 370 routers, 60 s and
4 KB an answer, a router keeps 4.2 MB."""

RECORD_BYTES = 1024
"""Counted for each record besides its answer: keys, Python objects."""

Verdict = Literal["new", "join", "mismatch"]


class Identity(NamedTuple):
    """What a caller repeats when it sends a request again."""

    team: str
    name: str


class Record(NamedTuple):
    """What is known of one request; `expires_s` is None while it runs."""

    fingerprint: str
    size_bytes: int = 0
    expires_s: float | None = None


class AnswerCache:
    """Records by identity, in the order in which their answers were kept."""

    def __init__(self) -> None:
        self.records: dict[Identity, Record] = {}
        self.size_bytes: Counter[str] = Counter()


def identify(team: str, key: str, chat: str, sequence: int | None) -> Identity | None:
    """Return the identity of a request, or None if it can't be sent again as one."""
    if key:
        return Identity(team, f"key {key}")
    if chat and sequence is not None:
        return Identity(team, f"chat {sequence} {chat}")
    return None


def look_up(answers: AnswerCache, identity: Identity, fingerprint: str) -> Verdict:
    """Return whether a request is new, joins an earlier one or contradicts it.

    Parameters
    ----------
    answers : Answers
        State, left as it is.
    identity : Identity
        Of the request.
    fingerprint : str
        Hash of all that the endpoint would get.  Were it not compared, a key used
        twice by mistake would hand a caller the answer to another question.
    """
    record = answers.records.get(identity)
    if record is None:
        return "new"
    return "join" if record.fingerprint == fingerprint else "mismatch"


def start(answers: AnswerCache, identity: Identity, fingerprint: str) -> None:
    """Note that a new request runs."""
    answers.records[identity] = Record(fingerprint)


def finish(
    answers: AnswerCache,
    identity: Identity,
    size_bytes: int,
    is_kept: bool,
    expires_s: float,
) -> list[Identity]:
    """Take the end of a run and return the identities to forget.

    Parameters
    ----------
    answers : Answers
        State, changed in place.
    identity : Identity
        Of the request.
    size_bytes : int
        Size of the answer.
    is_kept : bool
        Whether a resend gets this answer.  A cut one is never kept: a resend would
        take it for the whole.
    expires_s : float
        Until when it is kept.
    """
    record = answers.records.pop(identity, None)
    if record is None or not is_kept:
        return [identity]
    size_bytes += RECORD_BYTES
    answers.records[identity] = Record(record.fingerprint, size_bytes, expires_s)
    answers.size_bytes[identity.team] += size_bytes
    forgotten: list[Identity] = []
    while answers.size_bytes.total() > KEPT_MAX_BYTES:
        forgotten.append(_drop_oldest(answers))
    return forgotten


def expire(answers: AnswerCache, now_s: float) -> list[Identity]:
    """Drop what has been kept long enough and return the identities to forget."""
    old = [
        identity
        for identity, record in answers.records.items()
        if record.expires_s is not None and record.expires_s <= now_s
    ]
    for identity in old:
        _drop(answers, identity)
    return old


def _drop_oldest(answers: AnswerCache) -> Identity:
    (team, _), *_ = answers.size_bytes.most_common(1)
    kept = (
        identity
        for identity, record in answers.records.items()
        if identity.team == team and record.expires_s is not None
    )
    oldest = next(kept)
    _drop(answers, oldest)
    return oldest


def _drop(answers: AnswerCache, identity: Identity) -> None:
    record = answers.records.pop(identity)
    answers.size_bytes[identity.team] -= record.size_bytes
    if not answers.size_bytes[identity.team]:
        del answers.size_bytes[identity.team]
