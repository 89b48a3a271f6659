import pytest

from tamarackrill.decisions import claim_buckets, claims
from tamarackrill.decisions import claim_messages as messages

KEY = claim_buckets.hash_claim_key("cegin", "quote-1")
BUCKET = claim_buckets.find_bucket(KEY)
TIMEOUT_S = 10.0


class Caller:
    """One router's claims with the platform's answers given by the test."""

    def __init__(self):
        self.state = claims.Claims("r1", "a")
        self.requests = 0

    def ask(self, now_s, key=KEY):
        self.requests += 1
        message = messages.ClaimRequested(self.requests, key, now_s + TIMEOUT_S)
        early = claims.step(self.state, message, now_s)
        return early + self.wait(now_s + claims.GATHER_S)

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


def test_claims_of_some_milliseconds_go_in_one_write():
    caller = Caller()
    keys = [
        f"{number:08x}{'0' * 16}"
        for number in range(0, 10 * claim_buckets.BUCKETS, claim_buckets.BUCKETS)
    ]
    for number, key in enumerate(keys):
        message = messages.ClaimRequested(number, key, TIMEOUT_S)
        assert caller.tell(message, 0.0) == []
    assert len(caller.wait(claims.GATHER_S)) == 1
    name = claim_buckets.find_bucket(keys[0])
    (write,) = caller.tell(messages.BucketRead(name, 0, {}), 0.02)
    assert len(write.entries) == len(keys) == 10
    granted = caller.tell(messages.BucketWritten(name, 1), 0.03)
    assert [type(action) for action in granted] == [messages.Granted] * 10


def test_outage_refuses_at_once_and_the_platform_is_asked_again_later():
    # The platform is down.  Each request would wait for a timeout, and the callers
    # would learn too late that they may try elsewhere.
    caller = Caller()
    caller.ask(0.0)
    (refused,) = caller.tell(messages.ReadFailed(BUCKET), 0.1)
    assert (refused.code, refused.retry_after_s) == ("platform_unavailable", 1.0)
    (refused,) = caller.ask(0.2)
    assert refused.code == "platform_unavailable"
    assert caller.ask(1.2) == [messages.ReadBucket(BUCKET)]


def test_claim_of_a_request_that_was_never_sent_is_taken_back():
    # The deadline passes while the write's answer is lost.  The caller was told
    # "not_run"; sending again must not be answered with "unknown".
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
def test_held_claim_is_looked_at_again_before_the_caller_hears_of_it(is_fresh):
    caller = Caller()
    granted, entries = caller.grant(0.0)
    entries = entries | other_claim(0.0) if is_fresh else {}
    assert caller.ask(1.0) == [messages.ReadBucket(BUCKET)]
    (action,) = caller.tell(messages.BucketRead(BUCKET, 2, entries), 1.0)
    assert isinstance(action, messages.Held if is_fresh else messages.WriteBucket)


def test_claim_outlives_the_send_window_of_a_frozen_router():
    # A router is frozen with a grant for more than the life of its claim; another
    # router then runs the request.  Awake again, it must not send.
    granted, entries = Caller().grant(0.0)
    expires_s = entries[KEY].expires_s
    assert claims.may_send(granted, TIMEOUT_S - 1)
    assert not claims.may_send(granted, TIMEOUT_S)
    assert expires_s >= TIMEOUT_S + claim_buckets.CLAIM_KEPT_S
    later = Caller()
    later.ask(expires_s)
    (write,) = later.tell(messages.BucketRead(BUCKET, 1, entries), expires_s)
    assert write.entries[KEY].attempt == "r1/a/1"


def test_full_bucket_refuses_and_contended_bucket_gives_up(monkeypatch):
    caller = Caller()
    for number in range(1, claims.WRITES_MAX + 1):
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


def test_finished_run_is_marked_and_only_by_its_own_attempt():
    caller = Caller()
    granted, entries = caller.grant(0.0)
    caller.tell(messages.RunEnded(KEY, granted.attempt, True), 1.0)
    (write,) = caller.wait(1.0 + claims.DONE_GATHER_S)
    assert write.entries[KEY] == entries[KEY]._replace(state="done")
    foreign = other_claim(0.0)
    assert caller.tell(messages.WriteConflicted(BUCKET, 2, foreign), 7.0) == []


def test_memory_is_bounded(monkeypatch):
    monkeypatch.setattr(claims, "CACHED_CLAIMS_MAX", 0)
    caller = Caller()
    caller.grant(0.0)
    caller.wait(1.0)
    assert caller.state.buckets[BUCKET].entries == {}
