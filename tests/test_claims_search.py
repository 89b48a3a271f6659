"""Searches every interleaving of a few routers, one platform and one key."""

import io
import pickle
from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from tamarackrill.decisions import claim_buckets, claims
from tamarackrill.decisions import claim_messages as messages

KEY = claim_buckets.hash_claim_key("cegin", "quote-1")
BUCKET = claim_buckets.find_bucket(KEY)
TIMEOUT_S = 10.0
CLOCK_S = (0.0, 12.0)


class World:
    """Routers that run `claims.step`, the platform's bucket and the callers."""

    def __init__(self, routers=2, requests=2, lost=1, crashes=1, stale=1):
        self.states = [self._start(name, 0) for name in range(routers)]
        self.starts = [0] * routers
        self.remaining = {"request": requests, "lose": lost, "crash": crashes}
        self.remaining["stale"] = stale
        self.tick = 0
        self.history = [(0, {})]
        self.in_flight = []  # [router, start, action, platform response]
        self.grants = []  # (router, grant), not yet sent
        self.outcomes = {}  # request: "open", "granted", "sent" or "not_run"
        self.faults = []

    @staticmethod
    def _start(router, start):
        return claims.Claims(f"r{router}", str(start))

    @property
    def now_s(self):
        return CLOCK_S[self.tick]

    @property
    def sends(self):
        return sum(outcome == "sent" for outcome in self.outcomes.values())

    def list_moves(self):
        moves = [("clock", 0)] if self.tick + 1 < len(CLOCK_S) else []
        for router, state in enumerate(self.states):
            if self.remaining["request"]:
                moves.append(("request", router))
            if self.remaining["crash"]:
                moves.append(("crash", router))
            due_s = claims.next_due_s(state)
            if due_s is not None and due_s <= self.now_s:
                moves.append(("time", router))
        for number, (_, _, action, answer) in enumerate(self.in_flight):
            if isinstance(action, messages.WriteBucket) and answer is None:
                moves.append(("apply", number))
            else:
                moves.append(("answer", number))
            if self.remaining["lose"]:
                moves.append(("lose", number))
            if isinstance(action, messages.ReadBucket) and self.remaining["stale"]:
                moves.append(("stale", number))
        return moves + [("send", number) for number in range(len(self.grants))]

    def move(self, name, number):
        if name in self.remaining:
            self.remaining[name] -= 1
        getattr(self, f"_move_{name}")(number)

    def _move_clock(self, _):
        self.tick += 1

    def _move_request(self, router):
        request = len(self.outcomes)
        self.outcomes[request] = "open"
        deadline_s = self.now_s + TIMEOUT_S
        self._step(router, messages.ClaimRequested(request, KEY, deadline_s))
        self._step(router, messages.TimePassed(), claims.BATCH_DELAY_S)

    def _move_time(self, router):
        self._step(router, messages.TimePassed())

    def _move_crash(self, router):
        self.starts[router] += 1
        self.states[router] = self._start(router, self.starts[router])
        self.grants = [item for item in self.grants if item[0] != router]

    def _move_apply(self, number):
        action = self.in_flight[number][2]
        version, entries = self.history[-1]
        if action.expected_version == version:
            self.history.append((version + 1, action.entries))
            answer = messages.BucketWritten(BUCKET, version + 1)
        else:
            answer = messages.WriteConflicted(BUCKET, version, entries)
        self.in_flight[number][3] = answer

    def _move_answer(self, number):
        router, start, _, answer = self.in_flight.pop(number)
        self._answer(router, start, answer or self._read(-1))

    def _move_stale(self, number):
        router, start, _, _ = self.in_flight.pop(number)
        self._answer(router, start, self._read(-2 if len(self.history) > 1 else -1))

    def _move_lose(self, number):
        router, start, action, answer = self.in_flight[number]
        if isinstance(action, messages.ReadBucket) or answer is not None:
            self.in_flight.pop(number)
        else:
            # The write is still in flight and may take effect later.
            self.in_flight[number][0] = None
        if isinstance(action, messages.ReadBucket):
            self._answer(router, start, messages.ReadFailed(BUCKET))
        else:
            self._answer(router, start, messages.WriteUnanswered(BUCKET))

    def _move_send(self, number):
        router, grant = self.grants.pop(number)
        may_send = claims.may_send(grant, self.now_s)
        self.outcomes[grant.request] = "sent" if may_send else "not_run"
        if may_send and grant.send_until_s <= self.now_s:
            self.faults.append("sent past the deadline")
        if self.sends > 1:
            self.faults.append("sent twice")
        self._step(router, messages.RunEnded(KEY, grant.attempt, may_send))

    def _read(self, index):
        return messages.BucketRead(BUCKET, *self.history[index])

    def _answer(self, router, start, message):
        if router is not None and self.starts[router] == start:
            self._step(router, message)

    def _step(self, router, message, later_s=0.0):
        now_s = self.now_s + later_s
        for action in claims.step(self.states[router], message, now_s):
            if isinstance(action, messages.ReadBucket | messages.WriteBucket):
                self.in_flight.append([router, self.starts[router], action, None])
                continue
            granted = isinstance(action, messages.Granted)
            if self.outcomes[action.request] != "open":
                self.faults.append(f"second answer: {action}")
            self.outcomes[action.request] = "granted" if granted else "not_run"
            if granted:
                self.grants.append((router, action))


def serialize(world):
    """Return identical bytes for equal worlds."""
    text = io.BytesIO()
    pickler = pickle.Pickler(text)
    pickler.fast = True  # no references to equal objects
    pickler.dump(world)
    return text.getvalue()


def search(world, states_max):
    """Visit every state; return the moves to the first fault and the outcomes seen."""
    seen, seen_outcomes = set(), Counter()
    stack = [(serialize(world), ())]
    while stack:
        serialized, path = stack.pop()
        for move in pickle.loads(serialized).list_moves():
            world = pickle.loads(serialized)
            world.move(*move)
            if world.faults:
                return world.faults, (*path, move), seen_outcomes
            key = serialize(world)
            digest = hash(key)
            if digest not in seen:
                seen.add(digest)
                seen_outcomes.update(world.outcomes.values())
                stack.append((key, (*path, move)))
        assert len(seen) < states_max, "the search was cut short"
    return [], len(seen), seen_outcomes


WORLDS = {
    "lost answer": {"lost": 1, "crashes": 0, "stale": 0},
    "crash": {"lost": 0, "crashes": 1, "stale": 0},
    "stale read": {"lost": 0, "crashes": 0, "stale": 1},
    "three routers": {"routers": 3, "lost": 0, "crashes": 0, "stale": 0},
}


@pytest.mark.parametrize("world", WORLDS.values(), ids=WORLDS)
def test_no_interleaving_sends_twice(world):
    # A booking is confirmed through two routers at once while the platform loses a
    # response, a router restarts or a read is stale. Without claims the family would be
    # billed twice.
    faults, states, outcomes = search(World(**world), 40_000)
    assert not faults
    assert states > 500 and outcomes["sent"] and outcomes["not_run"]


def grant_at_once(state, message, now_s):
    if not isinstance(message, messages.ClaimRequested):
        return []
    return [messages.Granted(message.request, KEY, "r/0/0", message.deadline_s)]


def assume_written(bucket):
    written = messages.BucketWritten(bucket.name, (bucket.version or 0) + 1)
    return claims._handle_written(claims.Claims("r0", "0"), bucket, written, 0.0)


def ignore_version(world, number):
    action = world.in_flight[number][2]
    version = world.history[-1][0] + 1
    world.history.append((version, action.entries))
    world.in_flight[number][3] = messages.BucketWritten(BUCKET, version)


MUTANTS = {
    "no claim": (claims, "step", grant_at_once, "sent twice"),
    "no read-back": (claims, "_handle_unanswered_write", assume_written, "sent twice"),
    "no version check": (World, "_move_apply", ignore_version, "sent twice"),
    "no deadline check": (claims, "may_send", lambda *_: True, "sent past"),
}


@pytest.mark.parametrize("mutant", MUTANTS.values(), ids=MUTANTS)
def test_search_detects_each_mutant(monkeypatch, mutant):
    place, name, replacement, fault = mutant
    monkeypatch.setattr(place, name, replacement)
    faults, _, _ = search(World(lost=1, crashes=0, stale=0), 40_000)
    assert any(fault in found for found in faults)


class ClaimMachine(RuleBasedStateMachine):
    """Longer runs than the search covers, with all faults combined."""

    def __init__(self):
        super().__init__()
        self.world = World(routers=3, requests=6, lost=4, crashes=3, stale=3)

    @rule(pick=st.integers(0, 1_000_000))
    def move(self, pick):
        moves = self.world.list_moves()
        if moves:
            self.world.move(*moves[pick % len(moves)])
        assert not self.world.faults


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(max_examples=150, stateful_step_count=60)
