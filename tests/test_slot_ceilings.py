"""Proven slots and trials at brittle endpoints."""

import math

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackrill.decisions.slot_ceilings import (
    PROOF_TTL_S,
    SETTLE_S,
    TOLD_TTL_S,
    TRIAL_SHARE,
    GrantedRequests,
    RoundTrips,
    SlotCeilings,
    SlotTerms,
    Tenures,
    ToldRequests,
)

ROUTERS = 16
SLOTS = 2
LIMIT = 6


def make_terms(share, is_established=False, slots=SLOTS, limit=LIMIT):
    return SlotTerms(slots, limit, share, is_established)


@pytest.mark.parametrize(
    ("share", "is_established", "unproven", "most"),
    [(1.0, True, 48, 48), (0.5, True, 24, 48), (0.5, False, 0, 24), (1 / 370, 0, 0, 1)],
)
def test_only_an_established_owner_grants_slots_without_proof(
    share, is_established, unproven, most
):
    terms = make_terms(share, bool(is_established), slots=48)
    assert (terms.unproven, terms.most) == (unproven, most)


def test_slot_of_an_accepted_request_may_be_used_again_for_a_while():
    ceilings = SlotCeilings("r")
    ceilings.observe_served("e", 1.0)
    terms = make_terms(1 / ROUTERS, limit=0)
    assert not ceilings.may_start("f", 0, terms, 1.0)
    assert ceilings.may_start("e", 0, terms, 1.0)
    assert not ceilings.may_start("e", 0, terms, 1.0)
    ceilings.observe_served("e", 2.0)
    assert not ceilings.may_start("e", 0, terms, 2.0 + PROOF_TTL_S)


def test_trials_of_all_routers_together_stay_below_the_limit():
    # Guards against routers that miss the owner at the same moment, and each send one
    # request to the same endpoint.
    terms = make_terms(1 / ROUTERS)
    all_ceilings = [SlotCeilings(f"r{number}") for number in range(ROUTERS)]
    trials = 0
    for step in range(3000):
        trials += sum(c.may_start("e", 0, terms, step / 100) for c in all_ceilings)
    assert 0.5 <= trials / 30 / (TRIAL_SHARE * LIMIT) <= 1.1


def test_endpoint_that_may_reject_nothing_gets_no_trials():
    terms = make_terms(1.0, limit=0)
    assert math.isinf(terms.trial_interval_s)
    assert not SlotCeilings("r").may_start("e", 0, terms, 1e9)


def test_owner_is_established_once_it_has_settled_and_misses_no_router():
    # Guards against a new owner that grants all slots beside its predecessor's grants.
    tenures = Tenures()
    tenures.observe(["e"], True, 0.0)
    tenures.observe(["e"], True, SETTLE_S - 0.1)
    assert not tenures.is_established("e")
    tenures.observe(["e"], False, SETTLE_S)
    assert not tenures.is_established("e")
    tenures.observe(["e"], True, SETTLE_S)
    assert tenures.is_established("e")
    # It keeps its share while routers are missing.
    tenures.observe(["e"], False, SETTLE_S + 1.0)
    assert tenures.is_established("e")
    tenures.observe([], True, SETTLE_S + 2.0)
    tenures.observe(["e"], True, SETTLE_S + 3.0)
    assert not tenures.is_established("e")


def test_requests_that_routers_tell_of_count_until_they_are_told_no_more():
    told = ToldRequests()
    told.observe("r1", "e", 2, 0.0)
    told.observe("r2", "e", 1, 0.5)
    told.observe("r1", "e", 1, 0.6)
    assert told.count("e", 0.6) == 2
    told.expire(0.5 + TOLD_TTL_S)
    assert told.count("e", 0.5 + TOLD_TTL_S) == 1
    assert told.count("f", 0.6) == 0


@pytest.mark.parametrize(
    ("owner", "session", "untold"), [("o", 1, 1), ("o", 2, 2), ("p", 1, 3)]
)
def test_router_tells_of_what_the_owners_process_has_not_granted(
    owner, session, untold
):
    # Guards against an owner that restarts under its name and knows nothing of the
    # requests that its predecessor has granted.
    granted = GrantedRequests()
    granted.start("e", "o", 1)
    granted.start("e", "o", 1)
    granted.start("e", "o", 2)
    granted.start("e", "o", 1)
    granted.finish("e", "o", 1)
    assert granted.count_untold("e", owner, session, 3) == untold


def test_owner_that_answers_late_is_waited_for_longer():
    # Guards against owners that count as silent for the whole of a slow link.
    trips = RoundTrips(0.05, 0.4)
    assert trips.compute_timeout_s("o") == 0.05
    trips.observe("o", 0.16)
    assert trips.compute_timeout_s("o") == 0.32
    trips.observe("o", 3.0)
    assert trips.compute_timeout_s("o") == 0.4
    for _ in range(500):
        trips.observe("o", 0.002)
    assert trips.compute_timeout_s("o") == 0.05
    trips.retain([])
    assert trips.compute_timeout_s("o") == 0.05


class Deciders(RuleBasedStateMachine):
    """Routers that decide for one endpoint by themselves, and the endpoint.

    They come, go and are cut into groups of any size at any time.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.deciders = [SlotCeilings(f"r{number}") for number in range(4)]
        self.shares = [1 / 4] * 4
        self.in_use = [0] * 4
        self.trials = self.rejected = 0

    @rule(wait_s=st.sampled_from([0.01, 0.3, 1.0, 3.0]))
    def wait(self, wait_s):
        self.now_s += wait_s

    @rule(router=st.integers(0, 3), sizes=st.sampled_from([1 / 4, 1 / 2, 3 / 4, 1.0]))
    def see_fleet(self, router, sizes):
        self.shares[router] = sizes

    @rule(router=st.integers(0, 3))
    def replace(self, router):
        # Its requests go on at the endpoint until they end.
        self.deciders[router] = SlotCeilings(f"new-{router}-{self.now_s}")

    @rule(router=st.integers(0, 3))
    def send(self, router):
        decider = self.deciders[router]
        proven = decider.count_proven("e", self.now_s)
        terms = make_terms(self.shares[router])
        if not decider.may_start("e", self.in_use[router], terms, self.now_s):
            return
        self.trials += not proven
        if sum(self.in_use) >= SLOTS:
            self.rejected += 1
        else:
            self.in_use[router] += 1

    @rule(router=st.integers(0, 3))
    def end_request(self, router):
        if self.in_use[router]:
            self.in_use[router] -= 1
            self.deciders[router].observe_served("e", self.now_s)

    @invariant()
    def each_rejection_costs_a_trial(self):
        # Guards against rejections that nothing bounds while nobody counts for all.
        assert self.rejected <= self.trials


TestDeciders = Deciders.TestCase
TestDeciders.settings = settings(max_examples=100, stateful_step_count=60)
