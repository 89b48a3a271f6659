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


def test_requests_do_not_probe_an_unreachable_endpoint():
    # A zone is cut off for seconds.  If requests retried its endpoints after each
    # backoff, some clients would lose a timeout each time.
    endpoints = make_endpoints()
    reach = Reachability()
    reach.observe_failure(endpoints[0], 0.0)
    assert reach.list_due(endpoints, PAUSE_MIN_S - 0.01) == []
    assert reach.list_due(endpoints, PAUSE_MIN_S) == [endpoints[0]]
    assert reach.find_unreachable(endpoints) == {"a0"}


def test_backoff_doubles_up_to_its_maximum():
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


def test_simultaneous_failures_count_once():
    # Ten requests wait for connections to an unreachable endpoint.  If each failure
    # doubled the backoff, the endpoint would be unused for seconds after it is back.
    endpoints = make_endpoints()
    reach = Reachability()
    assert [reach.observe_failure(endpoints[0], 0.0) for _ in range(10)].count(
        True
    ) == 1
    assert reach.list_due(endpoints, PAUSE_MIN_S) == [endpoints[0]]


def test_endpoints_in_the_zone_of_an_unreachable_one_are_probed():
    # A zone is cut off.  Each request sent there would hang for the whole connect
    # timeout; probing the rest of the zone at once avoids most of these.
    endpoints = make_endpoints(per_zone=10)
    reach = Reachability()
    reach.observe_failure(endpoints[0], 0.0)
    suspects = reach.list_same_zone(endpoints[0], endpoints)
    assert len(suspects) == SAME_ZONE_PROBES_MAX
    assert {suspect.zone for suspect in suspects} == {"a"}
    assert endpoints[0] not in suspects


def test_removed_endpoints_are_forgotten():
    endpoints = make_endpoints()
    reach = Reachability()
    reach.observe_failure(endpoints[0], 0.0)
    reach.observe_failure(endpoints[1], 0.0)
    reach.retain(["a1", "a2"])
    assert reach.find_unreachable(endpoints) == {"a1"}


def test_failure_has_one_endpoint_of_each_other_zone_probed():
    # The router's own zone is cut off, and the first failed request was for one other
    # zone.  If the remaining zones were not probed, later requests would each lose a
    # timeout before the router detects the cut.
    endpoints = make_endpoints()
    reach = Reachability()
    reach.observe_failure(endpoints[0], 0.0)
    names = [e.name for e in reach.list_other_zones(endpoints[0], endpoints)]
    assert names == ["b0"]
