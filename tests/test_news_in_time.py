"""A changed manifest is in force everywhere in time, even over slow links.

Simulates zones of routers in virtual time over the pure modules that decide which
router queries the store, when, and how.  A read takes a fixed time for each version in
the answer, as over a slow link.
"""

import math

import pytest

from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.news_shares import (
    EVIDENCE_AGE_MAX_SHARE,
    split_propagation_time,
)
from tamarackrill.decisions.reading import ReadPlanner
from tamarackrill.decisions.watching import SETTLE_S, Bulletin, WatchPolicy

KIND = "config"
PROPAGATION_MAX_S = 3.0
STEP_S = 0.01
TELL_EVERY_S = 0.25
CALL_S = 0.02
PAUSE_S = 0.1
# A manifest of 281 kB over a link of 10 Mbit/s that carries calls as well.
SLOW_READ_S = 0.55
ROUTERS = [f"router-{number}" for number in range(4)]


class Store:
    """Versions of one object, and when they were acknowledged."""

    def __init__(self, acked_s):
        self.acked_s = acked_s

    def newest(self, now_s):
        return sum(acked_s <= now_s for acked_s in self.acked_s)


def make_digest(version):
    return ConfigurationDigest(KIND, version, version, version)


class Router:
    """One router: the version that it holds, and its pending call to the store."""

    def __init__(self, name, read_s, now_s, settled_s):
        self.name = name
        self.started_s = now_s
        self.read_s = read_s
        self.watching = WatchPolicy(
            name,
            "zone",
            EVIDENCE_AGE_MAX_SHARE * PROPAGATION_MAX_S,
            settled_s,
            PROPAGATION_MAX_S,
            (KIND,),
        )
        self.watching.set_members(ROUTERS)
        self.reading = ReadPlanner()
        self.version = 0
        self.held_since_s = {}
        self.sequence = 0
        self.free_s = now_s
        self.has_waited = False
        self.asking_until_s = math.inf
        self.is_watching = False
        self.answer = None

    def step(self, store, now_s):
        if self.answer is not None:
            self._end_read(now_s)
        elif self.asking_until_s < math.inf:
            self._wait(store, now_s)
        elif now_s >= self.free_s:
            self._ask(now_s)

    def _ask(self, now_s):
        own = make_digest(self.version)
        must_list = self.version == 0 or self.reading.must_list(own)
        wait_limit_s = self.watching.find_wait_s(KIND, now_s)
        if not must_list and wait_limit_s > 0.0:
            self.has_waited = True
            return
        watch_s = self.watching.find_propagation_times(KIND).watch_s
        has_waited, self.has_waited = self.has_waited, False
        wait_s = 0.0 if must_list or has_waited else watch_s
        self.is_watching = not must_list
        self.asking_until_s = now_s + CALL_S + wait_s

    def _wait(self, store, now_s):
        newest = store.newest(now_s)
        has_changed = self.is_watching and newest > self.version
        if not has_changed and now_s < self.asking_until_s:
            return
        versions = newest - self.version if self.is_watching else 1
        self.asking_until_s = math.inf
        self.answer = (newest, now_s, versions)

    def _end_read(self, now_s):
        newest, begun_s, versions = self.answer
        if now_s < begun_s + versions * self.read_s:
            return
        self.answer = None
        self.free_s = now_s + PAUSE_S
        self.watching.observe_answer(KIND, begun_s)
        is_changed = newest > self.version
        if is_changed:
            self.watching.observe_read(KIND, now_s - begun_s)
        if self.is_watching:
            self.reading.observe_watch(["main"] * versions)
        else:
            self.reading.observe_list(is_changed)
        self.version = newest
        self.held_since_s.setdefault(newest, now_s)

    def tell(self, now_s):
        digests = [make_digest(self.version)]
        evidence = self.watching.make_evidence(digests, now_s)
        self.sequence += 1
        session = round(self.started_s * 1000)
        return Bulletin(self.name, session, self.sequence, evidence)

    def hear(self, bulletin, now_s):
        if not self.watching.observe_bulletin(bulletin, now_s):
            return
        for evidence in bulletin.evidence:
            self.reading.observe_peer(evidence.digest)

    def find_delay_s(self, version, acked_s):
        """Return the delay from a version's acknowledgement until it was in force.

        A later version counts too.  For a router that was started later, the delay
        counts from its start.
        """
        held_s = [s for v, s in self.held_since_s.items() if v >= version]
        return min(held_s, default=math.inf) - max(acked_s, self.started_s)


def simulate(store, read_s, until_s, killed_s=math.inf, killed=(), down_s=0.6):
    """Simulate a zone; routers of `killed` end at `killed_s` and restart."""
    routers = {name: Router(name, read_s, 0.0, 0.0) for name in ROUTERS}
    told_s = 0.0
    now_s = 0.0
    has_restarted = False
    while now_s < until_s:
        now_s += STEP_S
        is_down = killed_s <= now_s < killed_s + down_s
        if now_s >= killed_s + down_s and not has_restarted:
            has_restarted = True
            for name in killed:
                routers[name] = Router(name, read_s, now_s, now_s + SETTLE_S)
        live = [r for r in routers.values() if not (is_down and r.name in killed)]
        for router in live:
            router.step(store, now_s)
        if now_s >= told_s + TELL_EVERY_S:
            told_s = now_s
            for sender in live:
                bulletin = sender.tell(now_s)
                for other in live:
                    if other is not sender and bulletin.evidence:
                        other.hear(bulletin, now_s)
    return routers


def check_in_time(routers, store, until_s):
    for router in routers.values():
        for version, acked_s in enumerate(store.acked_s, 1):
            if acked_s + PROPAGATION_MAX_S < until_s:
                assert router.find_delay_s(version, acked_s) <= PROPAGATION_MAX_S


def find_watcher():
    routers = {name: Router(name, 0.0, 0.0, 0.0) for name in ROUTERS}
    return next(n for n, router in routers.items() if router.watching.is_watcher)


@pytest.mark.parametrize("killed_s", [10.0, 10.3, 10.6, 11.0, 11.4])
@pytest.mark.parametrize("read_s", [0.01, 0.3, SLOW_READ_S])
def test_routers_apply_changes_in_time_after_their_watcher_is_killed(killed_s, read_s):
    # Operators change the manifest about once a second, and the zone's watcher is
    # killed.  If the others accepted its last evidence for most of the time in which a
    # change has to be in force, they would then have to read two or three long
    # manifests over a slow link: 404 on routes added four seconds before, and revoked
    # keys accepted.
    store = Store([0.0, 5.0] + [10.0 + 1.15 * number for number in range(5)])
    routers = simulate(store, read_s, 22.0, killed_s, {find_watcher()}, down_s=30.0)
    del routers[find_watcher()]
    check_in_time(routers, store, 22.0)


@pytest.mark.parametrize("killed_s", [10.0, 10.3, 10.6, 11.0, 11.4])
@pytest.mark.parametrize("killed", [ROUTERS, ROUTERS[1:], ROUTERS[:3]])
def test_restarted_zone_applies_changes_in_time(killed_s, killed):
    # Most processes of a zone are killed and restarted while operators change the
    # manifest.  If no new process watched the store in its first seconds, all would
    # rely on the others' last query and query together after two seconds: 404 on new
    # routes for almost four seconds.
    store = Store([0.0, 5.0] + [10.0 + 1.15 * number for number in range(7)])
    routers = simulate(store, SLOW_READ_S, 24.0, killed_s, killed)
    check_in_time(routers, store, 24.0)


def test_versions_that_come_faster_than_they_can_be_read_do_not_pile_up():
    # Operators change a long manifest ten times a second.  A router that reads every
    # version over its slow link falls further behind with each answer.
    store = Store([0.0, 5.0] + [10.0 + 0.1 * number for number in range(20)])
    routers = simulate(store, 0.2, 20.0)
    check_in_time(routers, store, 20.0)


@pytest.mark.parametrize("propagation_max_s", [1.0, 2.0, 3.0, 12.0])
@pytest.mark.parametrize("read_s", [0.0, 0.02, 0.2, 0.5])
def test_time_for_a_read_remains_when_evidence_expires(propagation_max_s, read_s):
    times = split_propagation_time(propagation_max_s, read_s)
    assert times.watch_s > 0.0
    assert times.evidence_max_age_s <= EVIDENCE_AGE_MAX_SHARE * propagation_max_s
    if read_s <= 0.2 * propagation_max_s:
        assert times.evidence_max_age_s + read_s < propagation_max_s


def test_short_manifests_do_not_shorten_the_waits():
    # Calls to the store are costly: shorter waits are used only where reads are slow.
    assert (
        split_propagation_time(2.0, 0.02).evidence_max_age_s
        == EVIDENCE_AGE_MAX_SHARE * 2.0
    )
    assert split_propagation_time(2.0, 0.02).watch_s == 1.0
