"""Decisions about parts of prompts that crash endpoints."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackrill.decisions.prompt_faults import (
    BLOCK_TRIAL_WAIT_S,
    CRASHES_BLOCKED,
    CRASHES_SUSPECTED,
    EVIDENCE_TTL_S,
    FREE,
    OTHER_TRIAL_WAIT_S,
    REPORTS_KEPT,
    SOUND_MAX,
    SUSPECTS_MAX,
    TRIAL_MAX_S,
    TRIAL_WAIT_S,
    PromptFaults,
)
from tamarackrill.decisions.prompt_reports import (
    BlockReport,
    CrashReport,
    SoundReport,
    TrialReport,
)
from tamarackrill.router.members import Member, Members
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.prompt_guard import PromptGuard
from tamarackrill.testing.part_fleet import BAD, Load, PartFleet

SCOPE, OTHER_SCOPE = 1, 2
TEAM, OTHER_TEAM = 1, 2
SHARED, SESSION = 100, 1000
PROMPT = (SHARED, BAD, SESSION)
# Time after which routers in touch know of what happened before.
STABLE_WINDOW_S = 3.0
LATE_SENDS_MAX = 3
# Wanted: nine of ten sound requests are not held up.
REFUSED_MAX = 0.1


def crash(faults, number, parts=PROMPT, scope=SCOPE, team=TEAM):
    """Record crash number `number`, of a request that was sent after the one before."""
    report = CrashReport(scope, number, team, parts, number - 0.1, float(number))
    return faults.observe_crash(report, float(number))


def answer(faults, time_s, parts, scope=SCOPE):
    return faults.observe_sound(SoundReport(scope, parts, time_s))


def make_blocked(parts=PROMPT, sound=(SHARED, SESSION)):
    """Return faults of which only the bad part is blocked, and when it was."""
    faults = PromptFaults()
    number = 0
    while not faults.list_blocks():
        number += 1
        crash(faults, number, parts)
        for seen in range(10):
            faults.observe_sound(
                SoundReport(SCOPE, sound, number + 0.01 * seen), is_own=True
            )
    return faults, float(number)


def check(faults, now_s, parts=PROMPT, scope=SCOPE, team=TEAM):
    return faults.check(scope, team, parts, now_s)


def test_bad_part_is_blocked_and_the_parts_beside_it_are_not():
    faults, blocked_s = make_blocked()
    (block,) = faults.list_blocks()
    assert (block.parts, block.teams) == ((BAD,), (TEAM,))
    assert check(faults, blocked_s).state == "blocked"
    assert check(faults, blocked_s, (SHARED, SESSION)) == FREE
    assert check(faults, blocked_s, (BAD, 5, 6)).state == "blocked"


def test_part_with_sound_answers_is_never_suspect():
    faults = PromptFaults()
    for number in range(1, 100):
        crash(faults, number, (SHARED, 1000 + number))
        answer(faults, number + 0.05, (SHARED,))
        assert check(faults, number + 0.1, (SHARED, 5)) == FREE


def test_crashes_at_one_moment_block_nothing():
    # Guards against sound parts that are blocked when many endpoints are lost at once.
    faults = PromptFaults()
    for process in range(50):
        report = CrashReport(SCOPE, process, TEAM, (SHARED, SESSION), 0.9, 1.0)
        faults.observe_crash(report, 1.0)
    assert faults.count_crashes(SCOPE, SHARED, 1.0) == 1
    assert check(faults, 1.0, (SHARED, SESSION)) == FREE
    assert not faults.list_blocks()


def test_part_is_not_blocked_while_others_crash_as_often():
    # Guards against a part that is blocked because endpoints go on ending for other
    # reasons, also under prompts without it.
    faults = PromptFaults()
    for number in range(1, 2 * CRASHES_BLOCKED):
        crash(faults, number, (SESSION,))
        for other in range(3):
            report = (SCOPE, 100 * number + other, TEAM, (2000 + other,))
            times_s = (number - 0.1, float(number))
            faults.observe_crash(CrashReport(*report, *times_s), float(number))
    assert not faults.list_blocks()


def test_suspect_part_goes_one_request_at_a_time_with_growing_pauses():
    faults = PromptFaults()
    for number in range(1, CRASHES_SUSPECTED + 1):
        assert check(faults, float(number)) == FREE
        crash(faults, number, (BAD,))
    crashed_s = float(CRASHES_SUSPECTED)
    assert check(faults, crashed_s, (BAD,)).state == "wait"
    due_s = crashed_s + TRIAL_WAIT_S
    assert check(faults, due_s, (BAD,)).state == "trial"
    trial = TrialReport(SCOPE, (BAD,), due_s, False)
    faults.begin_trial(trial)
    assert check(faults, due_s, (BAD,)).state == "wait"
    assert check(faults, due_s + TRIAL_MAX_S, (BAD,)).state == "trial"
    faults.end_trial(trial)
    assert check(faults, due_s, (BAD,)).state == "trial"
    crash(faults, CRASHES_SUSPECTED + 1, (BAD,))
    assert check(faults, crashed_s + 1 + TRIAL_WAIT_S, (BAD,)).state == "wait"


def test_prompts_that_tell_equal_suspects_apart_are_tried_without_a_pause():
    # Guards against sound prompts that wait, or are blocked, because they share a part
    # with bad ones and have not been seen before.
    faults = PromptFaults()
    for number in range(1, CRASHES_SUSPECTED + 1):
        crash(faults, number)
    assert check(faults, float(CRASHES_SUSPECTED)).state == "wait"
    sound = check(faults, float(CRASHES_SUSPECTED), (SHARED, 5))
    assert (sound.state, sound.parts) == ("trial", (SHARED,))


def test_block_holds_for_a_team_until_another_team_has_tried():
    # Guards against a team that gets a part blocked which it shares with others.
    faults, blocked_s = make_blocked()
    now_s = blocked_s + OTHER_TRIAL_WAIT_S
    assert check(faults, now_s).state == "blocked"
    assert check(faults, now_s, team=OTHER_TEAM).state == "trial"
    answer(faults, now_s + 0.1, PROMPT)
    assert check(faults, now_s + 0.2, team=OTHER_TEAM) == FREE
    assert not faults.list_blocks()


def test_block_holds_for_all_teams_once_two_have_crashed_endpoints():
    faults, blocked_s = make_blocked()
    crash(faults, blocked_s + 2, team=OTHER_TEAM)
    now_s = blocked_s + 3 + OTHER_TRIAL_WAIT_S
    assert check(faults, now_s, team=3).state == "blocked"


def test_other_scope_is_tried_once():
    # Guards against a part that is tried again and again with other software versions.
    faults, blocked_s = make_blocked()
    now_s = blocked_s + OTHER_TRIAL_WAIT_S
    assert check(faults, now_s, scope=OTHER_SCOPE).state == "trial"
    crash(faults, blocked_s + 2, scope=OTHER_SCOPE)
    assert check(faults, blocked_s + 3, scope=OTHER_SCOPE).state == "blocked"
    assert check(faults, blocked_s + 3).state == "blocked"


def test_scope_with_sound_answers_is_free():
    faults, blocked_s = make_blocked()
    answer(faults, blocked_s - 5.0, PROMPT, OTHER_SCOPE)
    assert check(faults, blocked_s, scope=OTHER_SCOPE) == FREE


def test_mended_part_is_found_by_a_trial():
    faults, blocked_s = make_blocked()
    now_s = blocked_s + BLOCK_TRIAL_WAIT_S
    assert check(faults, now_s - 0.1).state == "blocked"
    assert check(faults, now_s).state == "trial"
    crash(faults, now_s + 1)
    assert check(faults, now_s + 1 + BLOCK_TRIAL_WAIT_S).state == "blocked"
    answer(faults, now_s + 300, PROMPT)
    assert check(faults, now_s + 300) == FREE


@pytest.mark.parametrize("sent_s", [-0.1, 0.1, OTHER_TRIAL_WAIT_S / 2])
def test_requests_on_their_way_at_a_block_are_no_failed_trials(sent_s):
    # Guards against a mended part that stays blocked for an hour, because routers that
    # had not heard of the block sent several requests.
    faults, blocked_s = make_blocked()
    times_s = blocked_s + sent_s, blocked_s + sent_s + 0.2
    faults.observe_crash(CrashReport(SCOPE, 99, TEAM, PROMPT, *times_s), times_s[1])
    assert [block.trials for block in faults.list_blocks()] == [0]


def test_block_that_was_passed_on_does_not_grow_younger():
    # Guards against blocks whose trial never comes, since each router takes the time at
    # which it heard of the crash for that of the crash.
    faults, blocked_s = make_blocked()
    (block,) = faults.list_blocks()
    faults.observe_block(block._replace(blocked_s=blocked_s + 5.0))
    assert faults.list_blocks() == [block]


def test_block_that_sound_answers_contradict_is_not_taken():
    faults = PromptFaults()
    answer(faults, 5.0, (SHARED,))
    told = faults.observe_block(BlockReport(SCOPE, (SHARED,), (TEAM,), 4.0, 0))
    assert told == [SoundReport(SCOPE, (SHARED,), 5.0)]
    assert not faults.list_blocks()


def test_router_that_starts_later_is_told_what_was_sound_since():
    # Guards against a part that all prompts share, blocked at a router that has heard
    # of all crashes, but of no answer between them.
    sent = []

    def make_guard(name):
        own = Members(Member(name, name, "z", peer_address=name))
        nothing = lambda *given: ()  # noqa: E731
        send = lambda address, datagram: sent.append(datagram)  # noqa: E731
        clock = lambda: CRASHES_BLOCKED + 2.0  # noqa: E731
        return PromptGuard(nothing, nothing, own, send, ("key",), Metrics(), clock)

    known, started = make_guard("known"), make_guard("started")
    for number in range(1, CRASHES_BLOCKED + 2):
        crash(known.faults, number, (SHARED, SESSION + number))
        sound = SoundReport(SCOPE, (SHARED, 5), number + 0.5)
        known.faults.observe_sound(sound, is_own=True)
    started.ask(["known"])
    known.handle_datagram(sent.pop(), "started")
    while sent:
        started.handle_datagram(sent.pop(0), "known")
    assert not started.faults.list_blocks()
    assert started.faults.count_crashes(SCOPE, SESSION + 1, CRASHES_BLOCKED) == 1


def test_evidence_is_forgotten():
    faults = PromptFaults()
    for number in range(1, CRASHES_SUSPECTED + 1):
        crash(faults, number)
    faults.expire(CRASHES_SUSPECTED + EVIDENCE_TTL_S)
    assert faults.is_idle


def test_memory_is_bounded():
    # Guards against a client that fills the memory with parts of its choice.
    faults = PromptFaults()
    for number in range(2 * SOUND_MAX):
        answer(faults, 1.0, (number,))
    for number in range(2 * SUSPECTS_MAX):
        crash(faults, 1, (number,))
    counts = faults.count()
    assert counts["sound"] == SOUND_MAX
    assert counts["suspects"] == SUSPECTS_MAX
    assert len(faults.list_crashes(0.0)) <= REPORTS_KEPT


def count_late(tally):
    if len(tally.crashes_s) < 5:
        return 0
    known_s = tally.crashes_s[4] + STABLE_WINDOW_S
    return sum(sent_s > known_s for sent_s in tally.sends_s)


BAD_LOADS = {
    "few": Load(8, 12, 50.0, 0.05),
    "many": Load(8, 12, 50.0, 0.25),
    "few_endpoints": Load(8, 5, 50.0, 0.05),
    "rare": Load(8, 12, 50.0, 0.005),
    "lost_messages": Load(8, 12, 50.0, 0.05, loss=0.3),
    "middle": Load(60, 40, 400.0, 0.02),
    "large": Load(370, 780, 1000.0, 0.02),
}


@pytest.mark.parametrize("load", BAD_LOADS.values(), ids=BAD_LOADS)
def test_fleet_stops_sending_a_bad_part(load):
    # Guards against one part of many prompts that crashes one endpoint after another.
    fleet = PartFleet(load, seed=3)
    tally = fleet.run(8.0 if load.routers > 60 else 20.0)
    assert tally.crashes_s
    assert count_late(tally) <= LATE_SENDS_MAX
    assert tally.refused <= REFUSED_MAX * tally.sound
    blocked = {p for f in fleet.faults for b in f.list_blocks() for p in b.parts}
    assert blocked <= {BAD}


KILLS = {
    "at_once": ((1.0, 10), (5.0, 10), (9.0, 12)),
    "five": ((1.0, 5),),
    "one_after_another": tuple((1.0 + 0.25 * n, 1) for n in range(50)),
}


@pytest.mark.parametrize("kills", KILLS.values(), ids=KILLS)
def test_fleet_blocks_no_part_when_endpoints_end_for_other_reasons(kills):
    # Guards against sound parts that are refused after crashes that have other causes.
    fleet = PartFleet(Load(8, 12, 50.0, kills=kills), seed=3)
    tally = fleet.run(20.0)
    assert tally.refused <= REFUSED_MAX * tally.sound
    assert not any(faults.list_blocks() for faults in fleet.faults)


class PromptFaultsMachine(RuleBasedStateMachine):
    """Crashes and sound answers, told late, twice and in any order."""

    def __init__(self):
        super().__init__()
        self.faults = PromptFaults()
        self.now_s = 0.0
        self.processes = 0
        self.newest_s = {}
        self.sound_s = {}

    @rule(
        parts=st.lists(st.integers(1, 5), min_size=1, max_size=4, unique=True),
        age_s=st.floats(0.0, 2.0),
        taken_s=st.floats(0.01, 1.0),
        team=st.integers(1, 2),
    )
    def hear_crash(self, parts, age_s, taken_s, team):
        self.processes += 1
        crashed_s = self.now_s - age_s
        sent_s = crashed_s - taken_s
        report = (SCOPE, self.processes, team, tuple(parts), sent_s, crashed_s)
        for _ in range(2):
            self.faults.observe_crash(CrashReport(*report), self.now_s)
        for part in parts:
            known_s = self.newest_s.get(part, crashed_s)
            self.newest_s[part] = max(known_s, crashed_s)

    @rule(
        parts=st.lists(st.integers(1, 5), min_size=1, max_size=4, unique=True),
        age_s=st.floats(0.0, 2.0),
    )
    def hear_sound(self, parts, age_s):
        seen_s = self.now_s - age_s
        answer(self.faults, seen_s, tuple(parts))
        for part in parts:
            self.sound_s[part] = max(self.sound_s.get(part, seen_s), seen_s)

    @rule(elapsed_s=st.floats(0.0, 30.0))
    def wait(self, elapsed_s):
        self.now_s += elapsed_s
        self.faults.expire(self.now_s)

    @invariant()
    def parts_that_were_answered_since_are_free(self):
        for part, sound_s in self.sound_s.items():
            if sound_s > self.newest_s.get(part, sound_s - 1.0):
                assert check(self.faults, self.now_s, (part,)) == FREE

    @invariant()
    def no_block_contains_another(self):
        blocks = [set(block.parts) for block in self.faults.list_blocks()]
        for block in blocks:
            assert sum(other <= block for other in blocks) == 1


TestPromptFaults = PromptFaultsMachine.TestCase
