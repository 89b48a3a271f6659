"""At-most-once execution: claim a non-idempotent request before sending it.

A request may be sent only by the attempt recorded in its claim on the platform. Claims
are added with a conditional update, so when two routers want to run the same request,
one of them gets a version conflict and then finds the other's claim. Correctness does
not depend on leases or clocks; the clock only decides when an expired claim is removed.

Load pattern: a burst of non-idempotent requests, each resent through every router at
once, while routers crash or freeze and the platform loses responses to writes. Without
claims a booking could be confirmed twice.

`step` takes a message and returns actions. Each `ReadBucket` and `WriteBucket` must be
answered by exactly one message. ``now_s`` is wall-clock time throughout, because claim
expiry is compared between VMs.
"""

from collections.abc import Collection

from tamarackrill.decisions.claim_buckets import (
    CLAIM_TTL_S,
    CLOCK_SKEW_MAX_S,
    AddClaim,
    Change,
    DropClaim,
    Entries,
    MarkDone,
    UnreadableClaim,
    find_bucket,
    format_attempt,
    merge_changes,
    parse_attempt,
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
    StoodStill,
    TimePassed,
    WriteBucket,
    WriteConflicted,
)

BATCH_DELAY_S = 0.02
"""How long claims of one bucket are collected into one write. A router writes a bucket
at most 1 / (batch delay + response time) times per second, whatever the claim rate."""

DONE_BATCH_DELAY_S = 5.0
"""How long a done mark waits to be included in another write."""

CLAIM_WAIT_MAX_S = 2.0
"""Longest wait for a claim, so that a slow platform does not use up the whole deadline.
"""

WRITE_ATTEMPTS_MAX = 8
"""Write attempts for one batch of claims. Beyond this, too many routers are writing the
same bucket."""

QUEUE_MAX = 2048
"""Maximum number of changes queued for one bucket."""

OUTAGE_BACKOFF_S = 1.0
"""How long claims are refused without contacting the platform after it failed to
respond. Otherwise every request would wait for its own timeout."""

CACHED_CLAIMS_MAX = 20_000
"""Claims cached in memory over all buckets, about 280 bytes each."""

RETRY_AFTER_BUSY_S = 0.5
RETRY_AFTER_FULL_S = 60.0


class Bucket:
    """One router's cached copy of a bucket and its pending changes."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.phase = "idle"
        self.version: int | None = None
        self.entries: Entries = {}
        self.is_fresh = False
        self.queue: list[Change] = []
        self.in_flight: list[Change] = []
        self.pending_entries: Entries = {}
        self.writes = 0
        self.last_used_s = 0.0


class Claims:
    """Claim state of one router.

    Parameters
    ----------
    router : str
        Name of the router.
    incarnation : str
        Unique for each start of the router. Without it a restarted router would mistake
        claims of its previous process for its own.
    """

    def __init__(self, router: str, incarnation: str) -> None:
        self.router = router
        self.incarnation = incarnation
        self.attempts = 0
        self.buckets: dict[str, Bucket] = {}
        self.outage_until_s = 0.0


def step(claims: Claims, message: Message, now_s: float) -> list[Action]:
    """Process one message.

    Parameters
    ----------
    claims : Claims
        State, modified in place.
    message : Message
        The event to process.
    now_s : float
        Wall-clock time.

    Returns
    -------
    list of Action
        Actions to perform, in order.
    """
    if isinstance(message, TimePassed):
        return _handle_timer(claims, now_s)
    if isinstance(message, StoodStill):
        return _handle_standstill(claims, message)
    if isinstance(message, ClaimRequested):
        return _handle_request(claims, message, now_s)
    if isinstance(message, RunEnded):
        return _handle_run_end(claims, message, now_s)
    bucket = claims.buckets[message.bucket]
    if isinstance(message, BucketRead):
        return _handle_read(claims, bucket, message, now_s)
    if isinstance(message, ReadFailed):
        return _handle_read_failure(claims, bucket, message, now_s)
    if isinstance(message, BucketWritten):
        return _handle_written(claims, bucket, message, now_s)
    if isinstance(message, WriteConflicted):
        return _handle_conflict(claims, bucket, message, now_s)
    return _handle_unanswered_write(bucket)


def may_send(grant: Granted, now_s: float) -> bool:
    """Return whether a granted request may still be sent.

    Call this right before the first byte is sent. A router that froze after the grant
    could otherwise send after the client stopped waiting, or even after its claim
    expired and another router ran the request.
    """
    return now_s < grant.send_until_s


def next_due_s(claims: Claims) -> float | None:
    """Return when `TimePassed` should next be delivered, or None."""
    return min(
        (
            due
            for bucket in claims.buckets.values()
            for due in _list_due_times(claims, bucket)
        ),
        default=None,
    )


def find_router_to_ask(
    claims: Claims, held: Held, live_routers: Collection[str]
) -> str:
    """Return the live router that holds a claim, or an empty string.

    That router is running the request or has its response. The outcome is unknown if
    the router is not live, or if it is this router, which would have found the request
    locally if it still knew it.
    """
    if isinstance(held.claim, UnreadableClaim):
        return ""
    router, _ = parse_attempt(held.claim.attempt)
    return router if router != claims.router and router in live_routers else ""


def _list_due_times(claims: Claims, bucket: Bucket) -> list[float]:
    wait_limits = [
        change.wait_until_s
        for change in bucket.queue + bucket.in_flight
        if isinstance(change, AddClaim)
    ]
    batch_starts = [max(change.due_s, claims.outage_until_s) for change in bucket.queue]
    return wait_limits + (batch_starts if bucket.phase == "idle" else [])


def _handle_request(
    claims: Claims, message: ClaimRequested, now_s: float
) -> list[Action]:
    if now_s >= message.deadline_s:
        return [Refused(message.request, "deadline_passed", RETRY_AFTER_BUSY_S)]
    if now_s < claims.outage_until_s:
        return [_refuse_outage(claims, message.request, now_s)]
    bucket = _get_or_create_bucket(claims, message.key_hash)
    if len(bucket.queue) >= QUEUE_MAX:
        return [Refused(message.request, "claims_busy", RETRY_AFTER_BUSY_S)]
    claims.attempts += 1
    change = AddClaim(
        request=message.request,
        key_hash=message.key_hash,
        attempt=format_attempt(claims.router, claims.incarnation, claims.attempts),
        due_s=now_s + BATCH_DELAY_S,
        wait_until_s=min(message.deadline_s, now_s + CLAIM_WAIT_MAX_S),
        deadline_s=message.deadline_s,
        expires_s=message.deadline_s + CLAIM_TTL_S + CLOCK_SKEW_MAX_S,
    )
    bucket.queue.append(change)
    return _process_queue(claims, bucket, now_s)


def _handle_run_end(claims: Claims, message: RunEnded, now_s: float) -> list[Action]:
    bucket = _get_or_create_bucket(claims, message.key_hash)
    if message.sent:
        done = MarkDone(message.key_hash, message.attempt, now_s + DONE_BATCH_DELAY_S)
        _enqueue(bucket, done)
    else:
        drop = DropClaim(message.key_hash, message.attempt, now_s + BATCH_DELAY_S)
        _enqueue(bucket, drop)
    return _process_queue(claims, bucket, now_s)


def _handle_timer(claims: Claims, now_s: float) -> list[Action]:
    actions: list[Action] = []
    for bucket in list(claims.buckets.values()):
        timed_out = [
            change
            for change in bucket.queue + bucket.in_flight
            if isinstance(change, AddClaim) and change.wait_until_s <= now_s
        ]
        for change in timed_out:
            actions.append(Refused(change.request, "claim_timeout", RETRY_AFTER_BUSY_S))
            _cancel_claim(bucket, change, now_s)
        actions += _process_queue(claims, bucket, now_s)
    _evict_cached_entries(claims)
    return actions


def _handle_standstill(claims: Claims, message: StoodStill) -> list[Action]:
    def extend(change: Change) -> Change:
        if not isinstance(change, AddClaim):
            return change
        wait_until_s = change.wait_until_s + message.gap_s
        return change._replace(wait_until_s=min(change.deadline_s, wait_until_s))

    for bucket in claims.buckets.values():
        bucket.queue = [extend(change) for change in bucket.queue]
        bucket.in_flight = [extend(change) for change in bucket.in_flight]
    return []


def _handle_read(
    claims: Claims, bucket: Bucket, message: BucketRead, now_s: float
) -> list[Action]:
    _update_entries(bucket, message.version, message.entries)
    return _merge_queue(claims, bucket, now_s)


def _handle_conflict(
    claims: Claims, bucket: Bucket, message: WriteConflicted, now_s: float
) -> list[Action]:
    _requeue(bucket)
    _update_entries(bucket, message.version, message.entries)
    return _merge_queue(claims, bucket, now_s)


def _handle_written(
    claims: Claims, bucket: Bucket, message: BucketWritten, now_s: float
) -> list[Action]:
    actions = [
        _grant(bucket, change, now_s)
        for change in list(bucket.in_flight)
        if isinstance(change, AddClaim)
    ]
    bucket.in_flight = []
    bucket.version = message.version
    bucket.entries = bucket.pending_entries
    return actions + _return_to_idle(claims, bucket, now_s)


def _handle_unanswered_write(bucket: Bucket) -> list[Action]:
    # The write may have taken effect. Assuming that it did could run the request
    # alongside another router's attempt. Assuming that it did not, and claiming again
    # under a new attempt, would find this router's own claim and answer "unknown". So
    # read the bucket and grant the attempts found in it.
    bucket.in_flight = [
        change._replace(may_be_stored=True) if isinstance(change, AddClaim) else change
        for change in bucket.in_flight
    ]
    _requeue(bucket)
    return _request_read(bucket)


def _handle_read_failure(
    claims: Claims, bucket: Bucket, message: ReadFailed, now_s: float
) -> list[Action]:
    if message.stood_still:
        # The call timed out while its answer waited: the platform may be available.
        return _request_read(bucket)
    claims.outage_until_s = now_s + OUTAGE_BACKOFF_S
    # There are changes in flight only if processing the last answer raised an error,
    # so that no write was made.
    _requeue(bucket)
    bucket.version = None
    bucket.entries = {}
    bucket.phase = "idle"
    actions: list[Action] = []
    for other in claims.buckets.values():
        actions += _process_queue(claims, other, now_s)
    return actions


def _process_queue(claims: Claims, bucket: Bucket, now_s: float) -> list[Action]:
    if bucket.phase != "idle" or not bucket.queue:
        return []
    if now_s < claims.outage_until_s:
        return _refuse_queued(
            bucket, now_s, "platform_unavailable", claims.outage_until_s - now_s
        )
    if min(change.due_s for change in bucket.queue) > now_s:
        return []
    bucket.writes = 0
    bucket.is_fresh = False
    bucket.last_used_s = now_s
    if bucket.version is None:
        return _request_read(bucket)
    return _merge_queue(claims, bucket, now_s)


def _merge_queue(claims: Claims, bucket: Bucket, now_s: float) -> list[Action]:
    merge = merge_changes(bucket.entries, bucket.queue, now_s)
    if (merge.held or merge.full) and not bucket.is_fresh:
        # The holder may have dropped its claim since this router last read the bucket.
        # Using the cached entries would report "unknown" for a request that never ran.
        return _request_read(bucket)
    if merge.changed and bucket.writes >= WRITE_ATTEMPTS_MAX:
        refused = _refuse_queued(bucket, now_s, "claims_contended", RETRY_AFTER_BUSY_S)
        return refused + _return_to_idle(claims, bucket, now_s)
    settled = {
        id(change) for change in (*merge.already_stored, *merge.full, *merge.deferred)
    }
    settled.update(id(change) for change, _ in merge.held)
    included = [change for change in bucket.queue if id(change) not in settled]
    bucket.queue = list(merge.deferred)
    actions: list[Action] = [
        _grant(bucket, change, now_s) for change in merge.already_stored
    ]
    actions += [Held(add.request, add.key_hash, claim) for add, claim in merge.held]
    actions += [
        Refused(add.request, "claims_full", RETRY_AFTER_FULL_S) for add in merge.full
    ]
    if not merge.changed:
        return actions + _return_to_idle(claims, bucket, now_s)
    bucket.in_flight = included
    bucket.pending_entries = merge.entries
    bucket.phase = "writing"
    bucket.writes += 1
    version = bucket.version or 0
    return [*actions, WriteBucket(bucket.name, version, merge.entries)]


def _grant(bucket: Bucket, change: AddClaim, now_s: float) -> Action:
    if now_s < change.deadline_s:
        return Granted(
            change.request, change.key_hash, change.attempt, change.deadline_s
        )
    _enqueue(bucket, DropClaim(change.key_hash, change.attempt, now_s + BATCH_DELAY_S))
    return Refused(change.request, "deadline_passed", RETRY_AFTER_BUSY_S)


def _request_read(bucket: Bucket) -> list[Action]:
    bucket.phase = "reading"
    return [ReadBucket(bucket.name)]


def _update_entries(bucket: Bucket, version: int, entries: Entries) -> None:
    bucket.version = version
    bucket.entries = entries
    bucket.is_fresh = True


def _return_to_idle(claims: Claims, bucket: Bucket, now_s: float) -> list[Action]:
    bucket.phase = "idle"
    return _process_queue(claims, bucket, now_s)


def _requeue(bucket: Bucket) -> None:
    bucket.queue = bucket.in_flight + bucket.queue
    bucket.in_flight = []


def _refuse_queued(
    bucket: Bucket, now_s: float, code: str, retry_after_s: float
) -> list[Action]:
    adds = [change for change in bucket.queue if isinstance(change, AddClaim)]
    for change in adds:
        _cancel_claim(bucket, change, now_s)
    bucket.queue = [
        change._replace(due_s=max(change.due_s, now_s + OUTAGE_BACKOFF_S))
        for change in bucket.queue
    ]
    return [Refused(change.request, code, retry_after_s) for change in adds]


def _refuse_outage(claims: Claims, request: int, now_s: float) -> Refused:
    return Refused(request, "platform_unavailable", claims.outage_until_s - now_s)


def _cancel_claim(bucket: Bucket, change: AddClaim, now_s: float) -> None:
    may_be_stored = change.may_be_stored or change in bucket.in_flight
    bucket.queue = [other for other in bucket.queue if other != change]
    bucket.in_flight = [other for other in bucket.in_flight if other != change]
    if may_be_stored:
        # The caller was told "not_run" and will send again. If the claim stayed, that
        # request would get "unknown" although nothing ever ran.
        _enqueue(
            bucket, DropClaim(change.key_hash, change.attempt, now_s + BATCH_DELAY_S)
        )


def _enqueue(bucket: Bucket, change: Change) -> None:
    # A done mark or drop that exceeds the queue limit is discarded. The claim then
    # remains until it expires and answers "unknown", which is safe.
    if len(bucket.queue) < QUEUE_MAX:
        bucket.queue.append(change)


def _get_or_create_bucket(claims: Claims, key_hash: str) -> Bucket:
    name = find_bucket(key_hash)
    if name not in claims.buckets:
        claims.buckets[name] = Bucket(name)
    return claims.buckets[name]


def _evict_cached_entries(claims: Claims) -> None:
    cached = sum(len(bucket.entries) for bucket in claims.buckets.values())
    idle = [bucket for bucket in claims.buckets.values() if bucket.phase == "idle"]
    for bucket in sorted(idle, key=lambda bucket: bucket.last_used_s):
        if cached <= CACHED_CLAIMS_MAX:
            return
        cached -= len(bucket.entries)
        bucket.entries = {}
        bucket.version = None
