"""Paths to endpoints through other routers, decided by one router."""

from collections import Counter

import pytest

from tamarackrill.decisions.relays import (
    QUESTION_INTERVAL_S,
    ROUTER_PAUSE_S,
    ROUTERS_PER_ZONE,
    WANTED_MAX,
    RelayPaths,
    RelayRouter,
    choose_wanted,
)

OWN = RelayRouter("own", "a")
ROUTERS = [
    OWN,
    *(RelayRouter(f"{zone}{number}", zone) for zone in "abc" for number in range(4)),
]
ENDPOINTS = {f"e-{zone}": zone for zone in "abc"}


def make_paths(wanted=ENDPOINTS):
    paths = RelayPaths(OWN)
    paths.observe_routers(ROUTERS)
    paths.observe_wanted(wanted)
    return paths


def find_routers(questions):
    return {question.router for question in questions}


def ask_all(paths, reach, now_s=0.0):
    """Answer all questions that are due; `reach` are the routers that reach all."""
    for question in paths.list_questions(now_s):
        reached = question.endpoints if question.router in reach else ()
        paths.observe_reply(question.router, reached, now_s)


def test_single_endpoint_out_of_reach_costs_no_question():
    # A crashed endpoint is unreachable for all routers, and the others serve.
    assert choose_wanted("own", [["e1", "e2", "e3"]], {"e1"}) == set()


def test_endpoints_of_a_service_mostly_out_of_reach_are_wanted():
    # The one endpoint left would get all requests of this router.
    assert choose_wanted("own", [["e1", "e2", "e3"], ["f"]], {"e1", "e2"}) == {
        "e1",
        "e2",
    }


def test_wanted_endpoints_are_limited_and_differ_between_routers():
    pool = [f"e{number}" for number in range(780)]
    wanted = [choose_wanted(f"r{number}", [pool], set(pool)) for number in range(2)]
    assert [len(names) for names in wanted] == [WANTED_MAX, WANTED_MAX]
    assert wanted[0] != wanted[1]


def test_few_routers_of_each_zone_are_asked():
    zones = Counter(name[0] for name in find_routers(make_paths().list_questions(0.0)))
    assert zones == {
        "a": ROUTERS_PER_ZONE,
        "b": ROUTERS_PER_ZONE,
        "c": ROUTERS_PER_ZONE,
    }


def test_router_that_reaches_nothing_is_replaced_by_another():
    # Most of this router's zone is cut off with it.
    paths = make_paths()
    first = find_routers(paths.list_questions(0.0))
    for router in first:
        paths.observe_reply(router, (), 0.0)
    second = find_routers(paths.list_questions(0.0))
    assert second and not first & second
    assert first <= find_routers(paths.list_questions(ROUTER_PAUSE_S))


def test_same_question_is_repeated_only_after_a_while():
    paths = make_paths()
    asked = paths.list_questions(0.0)
    for question in asked:
        paths.observe_reply(question.router, ["e-a"], 0.0)
    assert paths.list_questions(0.0) == []
    later = paths.list_questions(QUESTION_INTERVAL_S)
    assert {q.endpoints for q in later} == {("e-b", "e-c")}


def test_question_about_other_endpoints_is_asked_at_once():
    paths = make_paths({"e-a"})
    ask_all(paths, {router.name for router in ROUTERS})
    paths.observe_wanted(ENDPOINTS)
    assert {q.endpoints for q in paths.list_questions(0.0)} == {("e-b", "e-c")}


def test_question_about_other_endpoints_follows_the_answer_to_the_last_one():
    # Guards against endpoints that are never asked about, because another question was
    # under way when they went out of reach.
    paths = make_paths({"e-a"})
    asked = find_routers(paths.list_questions(0.0))
    paths.observe_wanted(ENDPOINTS)
    assert paths.list_questions(0.0, asked) == []
    assert find_routers(paths.list_questions(0.0)) == asked


@pytest.mark.parametrize("endpoint", ENDPOINTS)
def test_attempt_crosses_zones_at_most_once(endpoint):
    paths = make_paths()
    ask_all(paths, {router.name for router in ROUTERS})
    zone = ENDPOINTS[endpoint]
    chosen = {paths.choose(endpoint, zone, f"id-{n}") for n in range(50)}
    assert {name[0] for name in chosen} == {"a", zone}


def test_endpoint_is_reached_through_another_zone_if_its_own_zone_is_cut_off():
    paths = make_paths()
    ask_all(paths, {"b0", "b1", "b2", "b3"})
    assert paths.choose("e-a", "a", "id")[0] == "b"


def test_refused_attempt_ends_one_path():
    paths = make_paths()
    ask_all(paths, {router.name for router in ROUTERS})
    refused = paths.choose("e-a", "a", "id")
    paths.observe_refused(refused, "e-a")
    assert paths.choose("e-a", "a", "id") not in (None, refused)


def test_silent_router_is_neither_used_nor_asked_for_a_while():
    paths = make_paths()
    ask_all(paths, {router.name for router in ROUTERS})
    lost = paths.choose("e-a", "a", "id")
    paths.observe_lost(lost, 0.0)
    used = {paths.choose(e, z, f"{n}") for e, z in ENDPOINTS.items() for n in range(50)}
    assert lost not in used
    assert lost not in find_routers(paths.list_questions(0.0))


def test_routers_that_were_all_silent_are_asked_again_at_once():
    # Guards against a router that finds no path for a second because it was late itself
    # and took all others for silent.
    paths = make_paths()
    for router in ROUTERS[1:]:
        paths.observe_lost(router.name, 0.0)
    assert paths.list_questions(0.1)


def test_question_without_an_answer_is_repeated_once_before_a_pause():
    # Guards against a router that was late itself, and asks those that didn't answer in
    # time only a second later.
    paths = make_paths()
    first = find_routers(paths.list_questions(0.0))
    for answered in (False, True):
        for router in first:
            paths.observe_unanswered(router, 0.0)
        assert (find_routers(paths.list_questions(0.0)) == first) is not answered


def test_routers_that_reach_nothing_are_not_asked_all_the_time():
    paths = make_paths()
    while questions := paths.list_questions(0.0):
        for question in questions:
            paths.observe_reply(question.router, (), 0.0)
    assert paths.list_questions(QUESTION_INTERVAL_S - 0.1) == []


def test_router_that_has_left_is_not_used():
    paths = make_paths()
    ask_all(paths, {"b0", "b1", "b2", "b3"})
    paths.observe_routers([router for router in ROUTERS if router.zone != "b"])
    assert paths.reachable == set()


def test_no_path_is_kept_to_an_endpoint_that_is_reached_again():
    paths = make_paths()
    ask_all(paths, {router.name for router in ROUTERS})
    paths.observe_wanted({"e-b"})
    assert paths.reachable == {"e-b"}
    paths.observe_wanted(())
    assert paths.reachable == set()
    assert paths.list_questions(9.0) == []


def test_half_of_a_large_fleet_spreads_over_the_other_half():
    # Guards against a cut of half of 368 routers that makes a few of the others carry
    # all requests of those that are cut off.
    routers = [RelayRouter(f"r{n}", f"zone-{n % 8}") for n in range(368)]
    cut = {router.name for router in routers[::2]} | {"r1"}
    carried = Counter()
    for own in (router for router in routers if router.name in cut):
        paths = RelayPaths(own)
        paths.observe_routers(routers)
        paths.observe_wanted({"e"})
        now_s = 0.0
        while not paths.reachable:
            ask_all(paths, {r.name for r in routers if r.name not in cut}, now_s)
            now_s += 0.1
        assert now_s <= 1.0
        for number in range(20):
            carried[paths.choose("e", own.zone, f"{own.name}-{number}")] += 1
    mean = sum(carried.values()) / (len(routers) - len(cut))
    assert max(carried.values()) <= 4 * mean


def test_reply_of_a_router_that_has_gone_gives_no_path():
    # Guards against requests that end without an answer, as there is no address for
    # the router through which they should go.
    paths = make_paths()
    (question, *_) = paths.list_questions(0.0)
    left = [router for router in ROUTERS if router.name != question.router]
    paths.observe_routers(left)
    assert paths.observe_reply(question.router, question.endpoints, 0.1) == []
    assert not paths.reachable
