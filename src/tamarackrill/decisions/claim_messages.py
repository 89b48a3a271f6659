"""Messages consumed and actions produced by the claim state machine."""

from typing import NamedTuple

from tamarackrill.decisions.claim_buckets import Claim, Entries, UnreadableClaim


class ClaimRequested(NamedTuple):
    """A non-idempotent request arrived."""

    request: int
    key_hash: str
    deadline_s: float


class RunEnded(NamedTuple):
    """The attempt has ended; `sent` if a byte may have reached an endpoint."""

    key_hash: str
    attempt: str
    sent: bool


class BucketRead(NamedTuple):
    """The platform responded to a read; version 0 means that there is no object."""

    bucket: str
    version: int
    entries: Entries


class ReadFailed(NamedTuple):
    """The platform did not respond to a read; `stood_still` if the process did."""

    bucket: str
    stood_still: bool = False


class BucketWritten(NamedTuple):
    """The platform accepted a write."""

    bucket: str
    version: int


class WriteConflicted(NamedTuple):
    """A write failed on a version mismatch; carries the bucket's current contents."""

    bucket: str
    version: int
    entries: Entries


class WriteUnanswered(NamedTuple):
    """A write got no response, so it is unknown whether it took effect."""

    bucket: str


class TimePassed(NamedTuple):
    """The time returned by `next_due_s` has been reached."""


class StoodStill(NamedTuple):
    """The process did not run for `gap_s`, in which it could get no answer."""

    gap_s: float


Message = (
    ClaimRequested
    | RunEnded
    | BucketRead
    | ReadFailed
    | BucketWritten
    | WriteConflicted
    | WriteUnanswered
    | TimePassed
    | StoodStill
)


class ReadBucket(NamedTuple):
    """Read a bucket from the platform."""

    bucket: str


class WriteBucket(NamedTuple):
    """Write a bucket if its version is still `expected_version` (0: no object)."""

    bucket: str
    expected_version: int
    entries: Entries


class Granted(NamedTuple):
    """The request may be sent once, as long as `may_send` permits it."""

    request: int
    key_hash: str
    attempt: str
    send_until_s: float


class Held(NamedTuple):
    """Another attempt holds the key, or may hold it; this request must not be sent."""

    request: int
    key_hash: str
    claim: Claim | UnreadableClaim


class Refused(NamedTuple):
    """The request got no claim and was not sent."""

    request: int
    code: str
    retry_after_s: float


Action = ReadBucket | WriteBucket | Granted | Held | Refused
