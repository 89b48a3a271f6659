import pytest

from tamarackrill.decisions import claim_buckets, claims
from tamarackrill.decisions import claim_messages as messages

KEY = claim_buckets.hash_claim_key("cegin", "quote-1")
BUCKET = claim_buckets.find_bucket(KEY)
TIMEOUT_S = 10.0


class Caller:
    """Claims of one router; the test supplies the platform's responses."""

    def __init__(self):
        self.state = claims.Claims("r1", "a")
        self.requests = 0

    def ask(self, now_s, key=KEY):
        self.requests += 1
        message = messages.ClaimRequested(self.requests, key, now_s + TIMEOUT_S)
        early = claims.step(self.state, message, now_s)
        return early + self.wait(now_s + claims.BATCH_DELAY_S)

    def wait(self, now_s):
        return claims.step(self.state, messages.TimePassed(), now_s)

    def tell(self, message, now_s):
        return claims.step(self.state, message, now_s)

    def grant(self, now_s):
        assert self.ask(now_s) == [messages.ReadBucket(BUCKET)]
        (write,) = self.tell(messages.BucketRead(BUCKET, 0, {}), now_s)
        assert write.expected_version == 0
        (granted,) = self.tell(messages.BucketWritten(BUCKET, 1), now_s)
        return granted, write.entries


def other_claim(now_s, expires_s=5000.0):
    return {KEY: claim_buckets.Claim("r2/b/1", "claimed", now_s + expires_s)}


def test_claims_are_batched_into_one_write():
    caller = Caller()
    keys = [
        f"{number:08x}{'0' * 16}"
        for number in range(0, 10 * claim_buckets.BUCKETS, claim_buckets.BUCKETS)
    ]
    for number, key in enumerate(keys):
        message = messages.ClaimRequested(number, key, TIMEOUT_S)
        assert caller.tell(message, 0.0) == []
    assert len(caller.wait(claims.BATCH_DELAY_S)) == 1
    name = claim_buckets.find_bucket(keys[0])
    (write,) = caller.tell(messages.BucketRead(name, 0, {}), 0.02)
    assert len(write.entries) == len(keys) == 10
    granted = caller.tell(messages.BucketWritten(name, 1), 0.03)
    assert [type(action) for action in granted] == [messages.Granted] * 10


def test_outage_refuses_at_once_and_retries_the_platform_later():
    # The platform is down. If each request waited for its own timeout, callers would
    # learn too late that they can try elsewhere.
    caller = Caller()
    caller.ask(0.0)
    (refused,) = caller.tell(messages.ReadFailed(BUCKET), 0.1)
    assert (refused.code, refused.retry_after_s) == ("platform_unavailable", 1.0)
    (refused,) = caller.ask(0.2)
    assert refused.code == "platform_unavailable"
    assert caller.ask(1.2) == [messages.ReadBucket(BUCKET)]


def test_claim_of_an_unsent_request_is_removed():
    # The deadline passes while the response to a write is lost. The caller was told
    # "not_run", so a resend must not get "unknown".
    caller = Caller()
    caller.ask(0.0)
    (write,) = caller.tell(messages.BucketRead(BUCKET, 0, {}), 0.02)
    assert caller.tell(messages.WriteUnanswered(BUCKET), 0.1) == [
        messages.ReadBucket(BUCKET)
    ]
    (refused,) = caller.wait(3.0)
    assert refused.code == "claim_timeout"
    (cleared,) = caller.tell(messages.BucketRead(BUCKET, 1, write.entries), 3.1)
    assert (cleared.expected_version, cleared.entries) == (1, {})


@pytest.mark.parametrize("is_fresh", [True, False])
def test_held_claim_is_reread_before_it_is_reported(is_fresh):
    caller = Caller()
    granted, entries = caller.grant(0.0)
    entries = entries | other_claim(0.0) if is_fresh else {}
    assert caller.ask(1.0) == [messages.ReadBucket(BUCKET)]
    (action,) = caller.tell(messages.BucketRead(BUCKET, 2, entries), 1.0)
    assert isinstance(action, messages.Held if is_fresh else messages.WriteBucket)


def test_claim_outlives_the_send_window_of_a_frozen_router():
    # A router holding a grant freezes until its claim has expired, and another router
    # runs the request. Once resumed, the first router must not send it.
    granted, entries = Caller().grant(0.0)
    expires_s = entries[KEY].expires_s
    assert claims.may_send(granted, TIMEOUT_S - 1)
    assert not claims.may_send(granted, TIMEOUT_S)
    assert expires_s >= TIMEOUT_S + claim_buckets.CLAIM_TTL_S
    later = Caller()
    later.ask(expires_s)
    (write,) = later.tell(messages.BucketRead(BUCKET, 1, entries), expires_s)
    assert write.entries[KEY].attempt == "r1/a/1"


def test_full_bucket_refuses_and_contended_bucket_gives_up(monkeypatch):
    caller = Caller()
    for number in range(1, claims.WRITE_ATTEMPTS_MAX + 1):
        entries = {"f" * 24: other_claim(0.0)[KEY]}
        message = messages.WriteConflicted(BUCKET, number, entries)
        if number == 1:
            caller.ask(0.0)
            message = messages.BucketRead(BUCKET, number, entries)
        (write,) = caller.tell(message, 0.1)
        assert write.expected_version == number
    (refused,) = caller.tell(messages.WriteConflicted(BUCKET, 99, {}), 0.2)
    assert refused.code == "claims_contended"
    monkeypatch.setattr(claim_buckets, "BUCKET_CLAIMS_MAX", 0)
    caller.ask(0.3)
    (refused,) = caller.tell(messages.BucketRead(BUCKET, 99, {}), 0.4)
    assert refused.code == "claims_full"


def test_only_the_attempt_itself_marks_its_claim_done():
    caller = Caller()
    granted, entries = caller.grant(0.0)
    caller.tell(messages.RunEnded(KEY, granted.attempt, True), 1.0)
    (write,) = caller.wait(1.0 + claims.DONE_BATCH_DELAY_S)
    assert write.entries[KEY] == entries[KEY]._replace(state="done")
    foreign = other_claim(0.0)
    assert caller.tell(messages.WriteConflicted(BUCKET, 2, foreign), 7.0) == []


def test_cached_claims_are_bounded(monkeypatch):
    monkeypatch.setattr(claims, "CACHED_CLAIMS_MAX", 0)
    caller = Caller()
    caller.grant(0.0)
    caller.wait(1.0)
    assert caller.state.buckets[BUCKET].entries == {}
