import pytest

from tamarackrill.decisions.attempt_timeouts import (
    ATTEMPT_TIMEOUT_OBJECTIVES,
    STREAM_STALL_TIMEOUT_S,
    find_chunk_timeout_s,
    find_header_timeout_s,
)
from tamarackrill.decisions.manifests import Route, ServiceShare

OBJECTIVE_S = 0.2


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


def test_idempotent_request_is_sent_elsewhere_when_an_endpoint_stops_answering():
    # An endpoint reads a request and hangs.  If the router waited until the deadline,
    # the client would get nothing although other endpoints are healthy.
    timeout_s = find_header_timeout_s(make_route("idempotent"))
    assert timeout_s == ATTEMPT_TIMEOUT_OBJECTIVES * OBJECTIVE_S


@pytest.mark.parametrize("kind", ["non_idempotent", "streaming"])
def test_request_that_may_have_run_waits_until_its_limit(kind):
    # A confirmation must run at most once, so sending it elsewhere would be wrong, and
    # a late answer is still useful.
    assert find_header_timeout_s(make_route(kind)) is None


def test_resumable_stream_times_out_at_a_stalled_endpoint():
    # An endpoint hangs in the middle of a stream.  The client disconnects after two
    # seconds without data, and the next endpoint needs part of that time to read the
    # prompt.
    route = make_route("streaming", is_resumable=True)
    assert find_chunk_timeout_s(route, 0, has_begun=True) == STREAM_STALL_TIMEOUT_S


@pytest.mark.parametrize("is_resumable", [False, True])
def test_rest_of_a_stream_times_out_before_its_headers(is_resumable):
    # Guards against a stream that waits for a dead endpoint which was asked for its
    # rest.
    route = make_route("streaming", is_resumable=is_resumable)
    assert find_header_timeout_s(route, has_begun=False) is None
    timeout_s = STREAM_STALL_TIMEOUT_S if is_resumable else None
    assert find_header_timeout_s(route, has_begun=True) == timeout_s


@pytest.mark.parametrize(
    ("is_resumable", "sent", "has_begun"),
    [(False, 0, True), (True, 1, True), (True, 0, False)],
)
def test_stream_that_cannot_be_resumed_has_no_chunk_timeout(
    is_resumable, sent, has_begun
):
    route = make_route("streaming", is_resumable=is_resumable)
    assert find_chunk_timeout_s(route, sent, has_begun) is None
