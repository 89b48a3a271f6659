from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.reach import (
    PAUSE_MAX_S,
    PAUSE_MIN_S,
    SAME_ZONE_PROBES_MAX,
    Reachability,
)


def make_endpoints(per_zone=3):
    return [
        Endpoint(f"{zone}{number}", "service", ("s",), "h:1", zone)
        for zone in "ab"
        for number in range(per_zone)
    ]


def test_endpoint_that_failed_is_tried_last_until_it_answers():
    endpoints = make_endpoints()
    reach = Reachability()
    assert reach.observe_failure(endpoints[0], 0.0)
    assert reach.find_unreachable(endpoints) == {"a0"}
    assert reach.observe_answer(endpoints[0])
    assert reach.find_unreachable(endpoints) == set()
    assert not reach.observe_answer(endpoints[0])


def test_request_does_not_pay_for_finding_out_whether_a_path_is_back():
    # A zone is cut off for seconds.  Were the endpoints there tried again by requests
    # each time a pause is over, some clients would lose a timeout each time.
    endpoints = make_endpoints()
    reach = Reachability()
    reach.observe_failure(endpoints[0], 0.0)
    assert reach.list_due(endpoints, PAUSE_MIN_S - 0.01) == []
    assert reach.list_due(endpoints, PAUSE_MIN_S) == [endpoints[0]]
    assert reach.find_unreachable(endpoints) == {"a0"}


def test_pause_doubles_up_to_its_bound():
    endpoints = make_endpoints()
    reach = Reachability()
    now_s, pauses = 0.0, []
    for _ in range(6):
        reach.observe_failure(endpoints[0], now_s)
        began_s = now_s
        while not reach.list_due(endpoints, now_s):
            now_s += 0.01
        pauses.append(round(now_s - began_s, 1))
    assert pauses == [0.4, 0.8, 0.8, 0.8, 0.8, 0.8]
    assert pauses[-1] == PAUSE_MAX_S


def test_many_failures_at_once_are_one():
    # Ten requests were waiting for connections to a dark endpoint.  Were each failure
    # to double the pause, the endpoint would be out for seconds after it is back.
    endpoints = make_endpoints()
    reach = Reachability()
    assert [reach.observe_failure(endpoints[0], 0.0) for _ in range(10)].count(
        True
    ) == 1
    assert reach.list_due(endpoints, PAUSE_MIN_S) == [endpoints[0]]


def test_neighbours_of_a_dark_endpoint_are_suspects():
    # A zone is cut off.  Each request sent there would hang for the whole connect
    # timeout; asked at once, the others of the zone are known before more are sent.
    endpoints = make_endpoints(per_zone=10)
    reach = Reachability()
    reach.observe_failure(endpoints[0], 0.0)
    suspects = reach.list_same_zone(endpoints[0], endpoints)
    assert len(suspects) == SAME_ZONE_PROBES_MAX
    assert {suspect.zone for suspect in suspects} == {"a"}
    assert endpoints[0] not in suspects


def test_gone_endpoints_are_forgotten():
    endpoints = make_endpoints()
    reach = Reachability()
    reach.observe_failure(endpoints[0], 0.0)
    reach.observe_failure(endpoints[1], 0.0)
    reach.retain(["a1", "a2"])
    assert reach.find_unreachable(endpoints) == {"a1"}


def test_failure_has_one_endpoint_of_each_other_zone_asked():
    # The router's own zone is cut off, and the first request that notices was for one
    # far zone. Were the other zones left to later requests, each of these would lose a
    # timeout before the router knows where it stands.
    endpoints = make_endpoints()
    reach = Reachability()
    reach.observe_failure(endpoints[0], 0.0)
    names = [e.name for e in reach.list_other_zones(endpoints[0], endpoints)]
    assert names == ["b0"]
