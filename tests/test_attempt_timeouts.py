import pytest

from tamarackrill.decisions.attempt_timeouts import (
    RESPONSE_TRANSIT_S,
    SILENT_OBJECTIVES,
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


def test_lookup_leaves_a_silent_endpoint_in_time_for_another():
    # An endpoint reads a lookup and hangs. Were the router to wait for it until the
    # deadline, the client would get nothing, though other endpoints are well.
    assert find_limit("idempotent") == STARTED_S + SILENT_OBJECTIVES * OBJECTIVE_S


@pytest.mark.parametrize("kind", ["non_idempotent", "streaming"])
def test_request_that_may_have_run_is_waited_for(kind):
    # A confirmation may run once only, so nothing is won by giving it up; its answer
    # may be late and still comes.
    assert find_limit(kind) == LAST_S


def test_lookup_without_another_attempt_is_waited_for():
    assert find_limit("idempotent", sent=1) == LAST_S


def test_lookup_without_another_endpoint_is_waited_for():
    # All others are gone or can't be reached.  One given up for them gets no answer.
    assert find_limit("idempotent", has_other=False) == LAST_S


def test_lookups_are_waited_for_when_the_budget_is_spent():
    # All endpoints of a service are slow. Each lookup that gave up early would be sent
    # once more, and make them slower.
    assert find_limit("idempotent", repeats_left=0.9) == LAST_S


def test_deadline_goes_before_silence():
    assert find_limit("idempotent", limit_s=10.1) == pytest.approx(10.18)


def test_resumable_stream_leaves_an_endpoint_that_has_stalled():
    # An endpoint hangs in the middle of a stream. Its client leaves after two seconds
    # of silence, and the next endpoint needs the rest of that to read the prompt.
    route = make_route("streaming", is_resumable=True)
    assert find_chunk_timeout_s(route, 0, has_begun=True) == STREAM_STALL_TIMEOUT_S


@pytest.mark.parametrize(
    ("is_resumable", "sent", "has_begun"),
    [(False, 0, True), (True, 1, True), (True, 0, False)],
)
def test_stream_that_cannot_go_on_elsewhere_is_waited_for(
    is_resumable, sent, has_begun
):
    route = make_route("streaming", is_resumable=is_resumable)
    assert find_chunk_timeout_s(route, sent, has_begun) is None
