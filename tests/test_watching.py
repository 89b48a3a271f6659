"""Which routers query the store under kills, partitions, freezes and message loss."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.watching import (
    STAGGER_MAX_S,
    Bulletin,
    Evidence,
    WatchPolicy,
)
from tamarackrill.protocol.bulletin_codec import decode_bulletin, encode_bulletin

KIND = "config"
TRUST_S = 1.6
ROUTERS = [f"router-{number}" for number in range(5)]
KEYS = ("key",)


def make_digest(complete=1):
    return ConfigurationDigest(KIND, complete, complete, complete)


def make_zone(names=ROUTERS):
    routers = {name: WatchPolicy(name, "zone", TRUST_S) for name in names}
    for router in routers.values():
        router.set_members(names)
    return routers


def make_bulletin(sender, sequence, age_s=0.0, session=1):
    return Bulletin(sender, session, sequence, (Evidence(age_s, make_digest()),))


def test_one_router_of_a_zone_watches():
    routers = make_zone()
    assert sum(router.is_watcher for router in routers.values()) == 1


def test_router_without_peers_watches():
    assert WatchPolicy("alone", "zone", TRUST_S).find_wait_s(KIND, 0.0) == 0.0


def test_new_router_polls_and_does_not_watch():
    # A fleet of sixty starts at once, and every endpoint writes its entry.  If each
    # router watched until it knows its zone, each entry would cost sixty calls.
    new = WatchPolicy("a", "zone", TRUST_S, settled_s=7.0)
    assert new.find_wait_s(KIND, 0.0) == 0.0
    new.observe_answer(KIND, 0.0)
    assert 1.0 < new.find_wait_s(KIND, 0.0) < TRUST_S
    assert new.find_wait_s(KIND, TRUST_S) == 0.0
    new.observe_answer(KIND, 7.0)
    assert new.find_wait_s(KIND, 7.0) == 0.0


def test_only_recent_evidence_of_another_router_is_accepted():
    # The watcher of a zone is killed.  If the others accepted its last evidence without
    # limit, a key that is revoked meanwhile would be accepted for ever.
    routers = make_zone()
    follower = next(r for r in routers.values() if not r.is_watcher)
    follower.observe_bulletin(make_bulletin("router-x", 1, age_s=0.4), 10.0)
    wait_s = follower.find_wait_s(KIND, 10.0)
    assert TRUST_S - 0.4 <= wait_s <= TRUST_S - 0.4 + STAGGER_MAX_S
    assert follower.find_wait_s(KIND, 10.0 + wait_s) == 0.0


def test_watcher_with_expired_evidence_sends_none():
    # The store refuses the watcher.  If it kept sending bulletins, no other router of
    # the zone would notice that it has to query the store itself.
    watcher = WatchPolicy("a", "zone", TRUST_S)
    watcher.observe_answer(KIND, 0.0)
    assert len(watcher.make_evidence([make_digest()], 1.0)) == 1
    assert watcher.make_evidence([make_digest()], TRUST_S) == ()


def test_evidence_of_others_is_not_presented_as_own():
    # Two routers that renewed each other's evidence would never query the store.
    follower = WatchPolicy("a", "zone", TRUST_S)
    follower.observe_bulletin(make_bulletin("b", 1), 0.0)
    assert follower.make_evidence([make_digest()], 0.0) == ()


def test_evidence_is_relayed_by_a_router_that_holds_newer_objects():
    # Guards against a head that has pulled a change but tells its zone only after the
    # store's next answer.
    head = WatchPolicy("a", "zone", TRUST_S)
    head.observe_bulletin(make_bulletin("b", 1), 0.0)
    newer = ConfigurationDigest(KIND, 2, 2, 2)
    (relayed,) = head.make_relayed_evidence([newer], 0.0)
    assert (relayed.digest, relayed.origin, relayed.hops) == (newer, "b", 1)


def test_evidence_is_not_relayed_by_a_router_that_lacks_its_objects():
    head = WatchPolicy("a", "zone", TRUST_S)
    head.observe_bulletin(make_bulletin("b", 1), 0.0)
    assert head.make_relayed_evidence([ConfigurationDigest(KIND, 0, 0, 7)], 0.0) == ()


def test_late_and_duplicate_bulletins_are_ignored():
    follower = WatchPolicy("a", "zone", TRUST_S)
    assert follower.observe_bulletin(make_bulletin("b", 2), 0.0)
    assert not follower.observe_bulletin(make_bulletin("b", 2), 5.0)
    assert not follower.observe_bulletin(make_bulletin("b", 1), 5.0)
    assert follower.observe_bulletin(make_bulletin("b", 1, session=2), 5.0)


def test_followers_do_not_all_query_at_once():
    routers = make_zone([f"r{number}" for number in range(15)])
    followers = [r for r in routers.values() if not r.is_watcher]
    for follower in followers:
        follower.observe_bulletin(make_bulletin("x", 1), 0.0)
    starts = {round(follower.find_wait_s(KIND, 0.0), 3) for follower in followers}
    assert len(starts) >= 5
    assert max(starts) <= TRUST_S + STAGGER_MAX_S


def test_bulletin_survives_its_encoding():
    bulletin = make_bulletin("a", 3, age_s=0.25)
    assert decode_bulletin(encode_bulletin(bulletin, KEYS), KEYS) == bulletin
    assert decode_bulletin(encode_bulletin(bulletin, ("other",)), KEYS) is None


@pytest.mark.parametrize("data", [b"", b"x" * 40, b"\0" * 200])
def test_foreign_bytes_are_no_bulletin(data):
    assert decode_bulletin(data, KEYS) is None


class ZoneMachine(RuleBasedStateMachine):
    """Routers that are killed, frozen and cut from the store, and lossy datagrams.

    The store answers every router that reaches it.  Invariant: a router that runs and
    reaches the store never goes for longer than the evidence's maximum age plus stagger
    without querying it or receiving evidence from a router that has.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.routers = make_zone()
        self.fresh_s = dict.fromkeys(ROUTERS, 0.0)
        self.running_since_s = dict.fromkeys(ROUTERS, 0.0)
        self.cut = set()
        self.frozen = set()
        self.sequence = 0
        self.delayed = []

    @rule(name=st.sampled_from(ROUTERS))
    def kill(self, name):
        self.routers[name] = WatchPolicy(name, "zone", TRUST_S)
        self.frozen.discard(name)
        self.fresh_s[name] = self.running_since_s[name] = self.now_s

    @rule(name=st.sampled_from(ROUTERS), names=st.sets(st.sampled_from(ROUTERS)))
    def change_view(self, name, names):
        self.routers[name].set_members(names)

    @rule(name=st.sampled_from(ROUTERS))
    def freeze(self, name):
        self.frozen.add(name)

    @rule(name=st.sampled_from(ROUTERS))
    def thaw(self, name):
        if name in self.frozen:
            self.frozen.discard(name)
            self.running_since_s[name] = self.now_s

    @rule(name=st.sampled_from(ROUTERS))
    def cut_from_store(self, name):
        self.cut.add(name)

    @rule(name=st.sampled_from(ROUTERS))
    def heal(self, name):
        if name in self.cut:
            self.cut.discard(name)
            self.running_since_s[name] = self.now_s

    @rule(name=st.sampled_from(ROUTERS), lost=st.sets(st.sampled_from(ROUTERS)))
    def tell(self, name, lost):
        if name in self.frozen:
            return
        evidence = self.routers[name].make_evidence([make_digest()], self.now_s)
        if not evidence:
            return
        self.sequence += 1
        sent = Bulletin(name, 1, self.sequence, evidence)
        for other in ROUTERS:
            if other != name and other not in lost and other not in self.frozen:
                self._deliver(other, sent)
            elif other in lost:
                self.delayed.append((other, sent))

    @rule()
    def deliver_late(self):
        while self.delayed:
            other, sent = self.delayed.pop()
            if other not in self.frozen:
                self._deliver(other, sent)

    def _deliver(self, other, sent):
        if self.routers[other].observe_bulletin(sent, self.now_s):
            age_s = sent.evidence[0].age_s
            self.fresh_s[other] = max(self.fresh_s[other], self.now_s - age_s)

    @rule(step_s=st.sampled_from([0.05, 0.2, 0.5]))
    def pass_time(self, step_s):
        end_s = self.now_s + step_s
        while self.now_s < end_s:
            self.now_s += 0.01
            for name, router in self.routers.items():
                if name in self.frozen or name in self.cut:
                    continue
                if router.find_wait_s(KIND, self.now_s) == 0.0:
                    router.observe_answer(KIND, self.now_s)
                    self.fresh_s[name] = self.now_s

    @invariant()
    def evidence_is_never_old(self):
        for name in ROUTERS:
            if name in self.frozen or name in self.cut:
                continue
            since_s = max(self.fresh_s[name], self.running_since_s[name])
            late_s = max((s.evidence[0].age_s for _, s in self.delayed), default=0.0)
            bound_s = TRUST_S + STAGGER_MAX_S + late_s + 0.02
            assert self.now_s - since_s <= bound_s


TestZone = ZoneMachine.TestCase
TestZone.settings = settings(max_examples=60, stateful_step_count=40)
