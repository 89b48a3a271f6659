import pytest

from tamarackrill.decisions.attempt_timeouts import (
    ATTEMPT_TIMEOUT_OBJECTIVES,
    RESPONSE_TRANSIT_S,
    STREAM_STALL_TIMEOUT_S,
    find_chunk_timeout_s,
    find_header_deadline_s,
)
from tamarackrill.decisions.manifests import Route, ServiceShare

STARTED_S, LIMIT_S, OBJECTIVE_S = 10.0, 13.0, 0.2
LAST_S = LIMIT_S + RESPONSE_TRANSIT_S


def make_route(kind, attempts_max=2, is_resumable=False):
    shares = (ServiceShare("desk", 1.0),)
    return Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=kind,
        timeout_s=3.0,
        objective_s=OBJECTIVE_S,
        gap_objective_s=0.2,
        priority=0,
        shares=shares,
        attempts_max=attempts_max,
        is_resumable=is_resumable,
    )


def find_limit(
    kind, sent=0, has_other=True, repeats_left=5.0, attempts_max=2, limit_s=LIMIT_S
):
    route = make_route(kind, attempts_max)
    return find_header_deadline_s(
        route, sent, has_other, repeats_left, STARTED_S, limit_s
    )


def test_idempotent_request_is_retried_when_an_endpoint_stops_answering():
    # An endpoint reads a request and hangs.  If the router waited until the deadline,
    # the client would get nothing although other endpoints are healthy.
    assert (
        find_limit("idempotent") == STARTED_S + ATTEMPT_TIMEOUT_OBJECTIVES * OBJECTIVE_S
    )


@pytest.mark.parametrize("kind", ["non_idempotent", "streaming"])
def test_request_that_may_have_run_waits_until_its_limit(kind):
    # A confirmation must run at most once, so giving up gains nothing, and a late
    # answer is still useful.
    assert find_limit(kind) == LAST_S


def test_request_without_attempts_left_waits_until_its_limit():
    assert find_limit("idempotent", sent=1) == LAST_S


def test_request_without_another_endpoint_waits_until_its_limit():
    # All other endpoints are gone or unreachable, so giving up would mean no answer.
    assert find_limit("idempotent", has_other=False) == LAST_S


def test_request_waits_until_its_limit_when_the_retry_budget_is_spent():
    # All endpoints of a service are slow.  Each request that gave up early would be
    # sent again and make them slower.
    assert find_limit("idempotent", repeats_left=0.9) == LAST_S


def test_client_deadline_limits_the_attempt_timeout():
    assert find_limit("idempotent", limit_s=10.1) == pytest.approx(10.18)


def test_resumable_stream_times_out_at_a_stalled_endpoint():
    # An endpoint hangs in the middle of a stream.  The client disconnects after two
    # seconds without data, and the next endpoint needs part of that time to read the
    # prompt.
    route = make_route("streaming", is_resumable=True)
    assert find_chunk_timeout_s(route, 0, has_begun=True) == STREAM_STALL_TIMEOUT_S


@pytest.mark.parametrize(
    ("is_resumable", "sent", "has_begun"),
    [(False, 0, True), (True, 1, True), (True, 0, False)],
)
def test_stream_that_cannot_be_resumed_has_no_chunk_timeout(
    is_resumable, sent, has_begun
):
    route = make_route("streaming", is_resumable=is_resumable)
    assert find_chunk_timeout_s(route, sent, has_begun) is None
