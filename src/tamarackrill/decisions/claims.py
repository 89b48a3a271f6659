"""At most once: claim a non-idempotent request before any byte of it is sent.

A request may be sent only by the attempt that stands in its claim on the platform.
The claim is added by a conditional update, so that of two routers that both want to
run a request one meets a version conflict and then finds the other's claim.  Leases
and clocks play no part in this; the clock only decides when an old claim is removed.

Load pattern: a burst of requests that may not repeat, each resent through every
router at once, while routers are killed or frozen and the platform loses the answers
to writes.  Without the claim a booking would be confirmed twice.

`step` takes a message and returns actions.  Each `ReadBucket` and `WriteBucket` is
answered by exactly one message.  ``now_s`` is wall-clock time in all of them, since
the expiry of claims is compared between VMs.
"""

from collections.abc import Collection

from tamarackrill.decisions.claim_buckets import (
    CLAIM_KEPT_S,
    CLOCK_SKEW_MAX_S,
    AddClaim,
    Change,
    DropClaim,
    Entries,
    MarkDone,
    find_bucket,
    find_holder,
    format_attempt,
    merge_changes,
)
from tamarackrill.decisions.claim_messages import (
    Action,
    BucketRead,
    BucketWritten,
    ClaimRequested,
    Granted,
    Held,
    Message,
    ReadBucket,
    ReadFailed,
    Refused,
    RunEnded,
    TimePassed,
    WriteBucket,
    WriteConflicted,
)

GATHER_S = 0.02
"""How long claims of one bucket are gathered for one write.  A router writes a bucket
at most 1 / (gather + answer time) times a second, whatever the rate of claims."""

DONE_GATHER_S = 5.0
"""How long a mark of a finished run waits for another write to ride on."""

CLAIM_WAIT_MAX_S = 2.0
"""Longest wait for a claim; a slow platform must not eat the whole deadline."""

WRITES_MAX = 8
"""Writes for one group of claims; past it too many routers write the same bucket."""

QUEUE_MAX = 2048
"""Changes that wait in one bucket."""

OUTAGE_S = 1.0
"""After the platform failed to answer, claims are refused without asking it for this
long: else each request would wait for a timeout of its own."""

CACHED_CLAIMS_MAX = 20_000
"""Claims held in memory, over all buckets; about 280 bytes each."""

RETRY_BUSY_S = 0.5
RETRY_FULL_S = 60.0


class Bucket:
    """What one router knows of one bucket and wants of it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.phase = "idle"
        self.version: int | None = None
        self.entries: Entries = {}
        self.is_fresh = False
        self.queue: list[Change] = []
        self.in_flight: list[Change] = []
        self.written: Entries = {}
        self.writes = 0
        self.used_s = 0.0


class Claims:
    """State of the claims of one router.

    Parameters
    ----------
    router : str
        Name of the router.
    incarnation : str
        Differs for each start of the router; without it, a router that was
        restarted would take the claims of its earlier self for its own.
    """

    def __init__(self, router: str, incarnation: str) -> None:
        self.router = router
        self.incarnation = incarnation
        self.attempts = 0
        self.buckets: dict[str, Bucket] = {}
        self.outage_until_s = 0.0


def step(claims: Claims, message: Message, now_s: float) -> list[Action]:
    """Take one message.

    Parameters
    ----------
    claims : Claims
        State, changed in place.
    message : Message
        What happened.
    now_s : float
        Wall-clock time.

    Returns
    -------
    list of Action
        In the order in which they are to be carried out.
    """
    if isinstance(message, TimePassed):
        return _take_time(claims, now_s)
    if isinstance(message, ClaimRequested):
        return _take_request(claims, message, now_s)
    if isinstance(message, RunEnded):
        return _take_end(claims, message, now_s)
    bucket = claims.buckets[message.bucket]
    if isinstance(message, BucketRead):
        return _take_bucket(claims, bucket, message, now_s)
    if isinstance(message, ReadFailed):
        return _take_outage(claims, bucket, now_s)
    if isinstance(message, BucketWritten):
        return _take_written(claims, bucket, message, now_s)
    if isinstance(message, WriteConflicted):
        return _take_conflict(claims, bucket, message, now_s)
    return _take_unanswered(bucket)


def may_send(grant: Granted, now_s: float) -> bool:
    """Return whether a granted request may be sent now.

    To be asked right before the first byte is sent.  A router that was frozen after
    the grant would otherwise send when nobody waits for the answer any more, or even
    when its claim has expired and another router has run the request.
    """
    return now_s < grant.send_until_s


def next_due_s(claims: Claims) -> float | None:
    """Return when `TimePassed` is next due, or None."""
    return min(
        (
            due
            for bucket in claims.buckets.values()
            for due in _list_dues(claims, bucket)
        ),
        default=None,
    )


def find_router_to_ask(
    claims: Claims, held: Held, live_routers: Collection[str]
) -> str:
    """Return the live router that made a claim, or an empty string.

    That router runs the request or keeps its answer.  Without one, or if this router
    itself made the claim and knows nothing of it any more, the outcome is unknown.
    """
    router, _ = find_holder(held.claim.attempt)
    return router if router != claims.router and router in live_routers else ""


def _list_dues(claims: Claims, bucket: Bucket) -> list[float]:
    waits = [
        change.wait_until_s
        for change in bucket.queue + bucket.in_flight
        if isinstance(change, AddClaim)
    ]
    starts = [max(change.due_s, claims.outage_until_s) for change in bucket.queue]
    return waits + (starts if bucket.phase == "idle" else [])


def _take_request(
    claims: Claims, message: ClaimRequested, now_s: float
) -> list[Action]:
    if now_s >= message.deadline_s:
        return [Refused(message.request, "deadline_passed", RETRY_BUSY_S)]
    if now_s < claims.outage_until_s:
        return [_refuse_outage(claims, message.request, now_s)]
    bucket = _open_bucket(claims, message.key_hash)
    if len(bucket.queue) >= QUEUE_MAX:
        return [Refused(message.request, "claims_busy", RETRY_BUSY_S)]
    claims.attempts += 1
    change = AddClaim(
        request=message.request,
        key_hash=message.key_hash,
        attempt=format_attempt(claims.router, claims.incarnation, claims.attempts),
        due_s=now_s + GATHER_S,
        wait_until_s=min(message.deadline_s, now_s + CLAIM_WAIT_MAX_S),
        deadline_s=message.deadline_s,
        expires_s=message.deadline_s + CLAIM_KEPT_S + CLOCK_SKEW_MAX_S,
    )
    bucket.queue.append(change)
    return _advance(claims, bucket, now_s)


def _take_end(claims: Claims, message: RunEnded, now_s: float) -> list[Action]:
    bucket = _open_bucket(claims, message.key_hash)
    if message.sent:
        done = MarkDone(message.key_hash, message.attempt, now_s + DONE_GATHER_S)
        _enqueue(bucket, done)
    else:
        drop = DropClaim(message.key_hash, message.attempt, now_s + GATHER_S)
        _enqueue(bucket, drop)
    return _advance(claims, bucket, now_s)


def _take_time(claims: Claims, now_s: float) -> list[Action]:
    actions: list[Action] = []
    for bucket in list(claims.buckets.values()):
        late = [
            change
            for change in bucket.queue + bucket.in_flight
            if isinstance(change, AddClaim) and change.wait_until_s <= now_s
        ]
        for change in late:
            actions.append(Refused(change.request, "claim_timeout", RETRY_BUSY_S))
            _abandon(bucket, change, now_s)
        actions += _advance(claims, bucket, now_s)
    _shrink_cache(claims)
    return actions


def _take_bucket(
    claims: Claims, bucket: Bucket, message: BucketRead, now_s: float
) -> list[Action]:
    _learn(bucket, message.version, message.entries)
    return _merge(claims, bucket, now_s)


def _take_conflict(
    claims: Claims, bucket: Bucket, message: WriteConflicted, now_s: float
) -> list[Action]:
    _requeue(bucket)
    _learn(bucket, message.version, message.entries)
    return _merge(claims, bucket, now_s)


def _take_written(
    claims: Claims, bucket: Bucket, message: BucketWritten, now_s: float
) -> list[Action]:
    actions = [
        _grant(bucket, change, now_s)
        for change in list(bucket.in_flight)
        if isinstance(change, AddClaim)
    ]
    bucket.in_flight = []
    bucket.version = message.version
    bucket.entries = bucket.written
    return actions + _settle(claims, bucket, now_s)


def _take_unanswered(bucket: Bucket) -> list[Action]:
    # The write may have taken effect.  Taking it for done would run the request
    # beside another router's; taking it for lost and claiming under another identity
    # would find one's own claim and answer "unknown".  So the bucket is read, and the
    # attempts that stand in it are granted.
    bucket.in_flight = [
        change._replace(may_stand=True) if isinstance(change, AddClaim) else change
        for change in bucket.in_flight
    ]
    _requeue(bucket)
    return _read(bucket)


def _take_outage(claims: Claims, bucket: Bucket, now_s: float) -> list[Action]:
    claims.outage_until_s = now_s + OUTAGE_S
    bucket.version = None
    bucket.entries = {}
    bucket.phase = "idle"
    actions: list[Action] = []
    for other in claims.buckets.values():
        actions += _advance(claims, other, now_s)
    return actions


def _advance(claims: Claims, bucket: Bucket, now_s: float) -> list[Action]:
    if bucket.phase != "idle" or not bucket.queue:
        return []
    if now_s < claims.outage_until_s:
        return _refuse_all(
            bucket, now_s, "platform_unavailable", claims.outage_until_s - now_s
        )
    if min(change.due_s for change in bucket.queue) > now_s:
        return []
    bucket.writes = 0
    bucket.is_fresh = False
    bucket.used_s = now_s
    if bucket.version is None:
        return _read(bucket)
    return _merge(claims, bucket, now_s)


def _merge(claims: Claims, bucket: Bucket, now_s: float) -> list[Action]:
    merge = merge_changes(bucket.entries, bucket.queue, now_s)
    if (merge.held or merge.full) and not bucket.is_fresh:
        # The holder may have dropped its claim since this router last looked; the
        # caller would be told "unknown" of a request that never ran.
        return _read(bucket)
    if merge.changed and bucket.writes >= WRITES_MAX:
        refused = _refuse_all(bucket, now_s, "claims_contended", RETRY_BUSY_S)
        return refused + _settle(claims, bucket, now_s)
    settled = {id(change) for change in (*merge.own, *merge.full, *merge.later)}
    settled.update(id(change) for change, _ in merge.held)
    going = [change for change in bucket.queue if id(change) not in settled]
    bucket.queue = list(merge.later)
    actions: list[Action] = [_grant(bucket, change, now_s) for change in merge.own]
    actions += [Held(add.request, add.key_hash, claim) for add, claim in merge.held]
    actions += [Refused(add.request, "claims_full", RETRY_FULL_S) for add in merge.full]
    if not merge.changed:
        return actions + _settle(claims, bucket, now_s)
    bucket.in_flight = going
    bucket.written = merge.entries
    bucket.phase = "writing"
    bucket.writes += 1
    version = bucket.version or 0
    return [*actions, WriteBucket(bucket.name, version, merge.entries)]


def _grant(bucket: Bucket, change: AddClaim, now_s: float) -> Action:
    if now_s < change.deadline_s:
        return Granted(
            change.request, change.key_hash, change.attempt, change.deadline_s
        )
    _enqueue(bucket, DropClaim(change.key_hash, change.attempt, now_s + GATHER_S))
    return Refused(change.request, "deadline_passed", RETRY_BUSY_S)


def _read(bucket: Bucket) -> list[Action]:
    bucket.phase = "reading"
    return [ReadBucket(bucket.name)]


def _learn(bucket: Bucket, version: int, entries: Entries) -> None:
    bucket.version = version
    bucket.entries = entries
    bucket.is_fresh = True


def _settle(claims: Claims, bucket: Bucket, now_s: float) -> list[Action]:
    bucket.phase = "idle"
    return _advance(claims, bucket, now_s)


def _requeue(bucket: Bucket) -> None:
    bucket.queue = bucket.in_flight + bucket.queue
    bucket.in_flight = []


def _refuse_all(
    bucket: Bucket, now_s: float, code: str, retry_after_s: float
) -> list[Action]:
    adds = [change for change in bucket.queue if isinstance(change, AddClaim)]
    for change in adds:
        _abandon(bucket, change, now_s)
    bucket.queue = [
        change._replace(due_s=max(change.due_s, now_s + OUTAGE_S))
        for change in bucket.queue
    ]
    return [Refused(change.request, code, retry_after_s) for change in adds]


def _refuse_outage(claims: Claims, request: int, now_s: float) -> Refused:
    return Refused(request, "platform_unavailable", claims.outage_until_s - now_s)


def _abandon(bucket: Bucket, change: AddClaim, now_s: float) -> None:
    may_stand = change.may_stand or change in bucket.in_flight
    bucket.queue = [other for other in bucket.queue if other != change]
    bucket.in_flight = [other for other in bucket.in_flight if other != change]
    if may_stand:
        # The caller was told "not_run" and will send again.  Left standing, the claim
        # would answer that with "unknown", though nothing ever ran.
        _enqueue(bucket, DropClaim(change.key_hash, change.attempt, now_s + GATHER_S))


def _enqueue(bucket: Bucket, change: Change) -> None:
    # A mark or a drop that finds no room is lost; its claim then stands until it
    # expires and answers "unknown", which is safe.
    if len(bucket.queue) < QUEUE_MAX:
        bucket.queue.append(change)


def _open_bucket(claims: Claims, key_hash: str) -> Bucket:
    name = find_bucket(key_hash)
    if name not in claims.buckets:
        claims.buckets[name] = Bucket(name)
    return claims.buckets[name]


def _shrink_cache(claims: Claims) -> None:
    cached = sum(len(bucket.entries) for bucket in claims.buckets.values())
    idle = [bucket for bucket in claims.buckets.values() if bucket.phase == "idle"]
    for bucket in sorted(idle, key=lambda bucket: bucket.used_s):
        if cached <= CACHED_CLAIMS_MAX:
            return
        cached -= len(bucket.entries)
        bucket.entries = {}
        bucket.version = None
