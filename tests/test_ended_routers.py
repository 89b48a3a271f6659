"""Decisions about routers that were taken for dead, without a network."""

import pytest

from tamarackrill.decisions.ended_routers import (
    CHECK_INTERVAL_S,
    CHECKS_MAX,
    REFUSAL_VALID_S,
    EndedRouters,
)
from tamarackrill.decisions.stream_versions import KeeperReply, Router, choose_asked
from tamarackrill.decisions.version_evidence import (
    HALF,
    VersionNews,
    conclude,
    find_reach,
)

SIZES = [3, 8, 60, 370]
CURRENT = KeeperReply("", ("v1",), True)
# Of a router whose news are outdated.
OLD = KeeperReply("", ("v1",), False, True)


def find_group_reach(size, lost):
    """Return the reach of a group of routers in touch that know each other only."""
    group = tuple(Router(f"router-{n}", "a") for n in range(size))
    asked = choose_asked(7, group, group[0])
    return find_reach(group[0], group, lost, asked, asked)


def observe(fleet, lost, ended, now_s):
    for address in fleet.start_checks(lost, now_s):
        fleet.observe(address, address in ended, now_s)


def check_all(lost, ended):
    """Return how many of the lost may run once all were checked."""
    fleet, now_s = EndedRouters(), 0.0
    while now_s < CHECK_INTERVAL_S:
        observe(fleet, lost, ended, now_s)
        now_s += CHECK_INTERVAL_S / 4
    return fleet.count_running(lost, now_s)


@pytest.mark.parametrize("routers", SIZES)
def test_version_begins_where_all_others_have_died_or_is_concluded_elsewhere(routers):
    # Guards against a new version that gets no streams beside dead routers, and against
    # one that gets some beside routers that are cut off and conclude the old one.
    lost = [f"10.0.0.0:{n}" for n in range(1, routers)]
    assert find_group_reach(1, check_all(lost, lost)) == 1.0
    assert find_group_reach(1, check_all(lost, ())) < HALF
    for ended in {0, 1, routers // 2, routers - 2}:
        for cut in {1, routers // 2, routers - ended - 1}:
            group = routers - ended - cut
            if group < 1:
                continue
            gone = lost[: ended + cut]
            begins = find_group_reach(group, check_all(gone, lost[:ended]))
            reach = find_group_reach(cut, routers - cut)
            replies = {Router("other", "a"): CURRENT} if cut > 1 else {}
            news = VersionNews(
                CURRENT, replies, {"a"}, "a", (), False, reach, "unreachable"
            )
            is_concluded = conclude(news)[0] is not None
            old = conclude(news._replace(own=OLD, replies=dict.fromkeys(replies, OLD)))
            assert not (begins > HALF and is_concluded), (ended, cut)
            assert not (begins >= HALF and old[0]), (ended, cut)


def test_router_that_starts_again_or_cannot_be_checked_may_run():
    # Guards against a refusal that counts for longer than it shows anything.
    fleet, lost = EndedRouters(), ["a", "b"]
    observe(fleet, lost, lost, 0.0)
    assert fleet.count_running(lost, REFUSAL_VALID_S) == 0
    assert fleet.count_running(lost, REFUSAL_VALID_S + 0.1) == 2
    observe(fleet, lost, ["b"], CHECK_INTERVAL_S)
    assert fleet.count_running(lost, CHECK_INTERVAL_S) == 1
    observe(fleet, ["a"], [], 2 * CHECK_INTERVAL_S)
    assert fleet.count_running(lost, 2 * CHECK_INTERVAL_S) == 2


def test_checks_of_many_lost_routers_are_spread():
    fleet = EndedRouters()
    lost = [f"10.0.0.0:{n}" for n in range(2 * CHECKS_MAX)]
    first, second = (set(fleet.start_checks(lost, now_s)) for now_s in (0.0, 0.1))
    assert len(first) == CHECKS_MAX
    assert first | second == set(lost)
    assert fleet.start_checks(lost, 0.2) == []
