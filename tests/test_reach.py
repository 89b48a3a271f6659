from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.reach import PAUSE_MAX_S, PAUSE_MIN_S, Reach


def make_endpoints():
    return [
        Endpoint(f"{zone}{number}", "service", ("s",), "h:1", zone)
        for zone in "ab"
        for number in range(3)
    ]


def test_endpoint_that_failed_is_tried_last_for_a_pause():
    endpoints = make_endpoints()
    reach = Reach()
    reach.observe_failure(endpoints[0], 0.0)
    assert reach.find_doubtful(endpoints, PAUSE_MIN_S / 2) == {"a0"}
    assert reach.find_doubtful(endpoints, PAUSE_MIN_S + 0.01) == set()


def test_two_failures_of_a_zone_mark_the_zone():
    # A zone is cut off.  Each request sent there would hang for the whole connect
    # timeout; a client would get its lookup late or not at all while other zones are
    # idle.  What two requests found out holds for the next one too.
    endpoints = make_endpoints()
    reach = Reach()
    reach.observe_failure(endpoints[0], 0.0)
    reach.observe_failure(endpoints[1], 0.1)
    assert reach.find_doubtful(endpoints, 0.2) == {"a0", "a1", "a2"}


def test_pause_doubles_up_to_its_bound():
    endpoints = make_endpoints()
    reach = Reach()
    now_s = 0.0
    for pause_s in (0.5, 1.0, 2.0, 4.0, 4.0):
        reach.observe_failure(endpoints[0], now_s)
        assert reach.find_doubtful(endpoints, now_s + pause_s - 0.01) == {"a0"}
        now_s += pause_s + 0.01
        assert reach.find_doubtful(endpoints, now_s) == set()
    assert pause_s == PAUSE_MAX_S


def test_many_failures_at_once_are_one():
    # Ten requests were waiting for connections to a dark endpoint.  Were each failure
    # to double the pause, the endpoint would be out for seconds after it is back.
    endpoints = make_endpoints()
    reach = Reach()
    for _ in range(10):
        reach.observe_failure(endpoints[0], 0.0)
    assert reach.find_doubtful(endpoints, PAUSE_MIN_S + 0.01) == set()


def test_answer_unmarks_at_once():
    endpoints = make_endpoints()
    reach = Reach()
    reach.observe_failure(endpoints[0], 0.0)
    reach.observe_answer(endpoints[0])
    assert reach.find_doubtful(endpoints, 0.1) == set()


def test_gone_endpoints_are_forgotten():
    endpoints = make_endpoints()
    reach = Reach()
    reach.observe_failure(endpoints[0], 0.0)
    reach.observe_failure(endpoints[1], 0.0)
    reach.retain(["a1", "a2"])
    assert reach.find_doubtful(endpoints, 0.1) == {"a1"}
