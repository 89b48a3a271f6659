from types import SimpleNamespace

import pytest

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import health as h
from tamarackrill.decisions.health import Health
from tamarackrill.decisions.routing import Placement, PlacementRequest

POOL = [f"engine-{i}" for i in range(5)]
ENDPOINTS = [Endpoint(name, "engine", ("m",), "", "kranj-hall") for name in POOL]


def serve(health, answer, start_s, count, per_s=5.0):
    """Send requests one after the other; return what their callers received.

    `answer` gives the first-token time of an endpoint at a time, None for a failure.
    """
    placement = Placement(2.0)
    received = []
    for number in range(count):
        now_s = start_s + number / per_s
        allowed = set(health.find_allowed(POOL, now_s))
        live = [endpoint for endpoint in ENDPOINTS if endpoint.name in allowed]
        request = PlacementRequest(f"{number}", f"chat-{number}")
        name = placement.choose(request, live, now_s).endpoint.name
        first_token_s = answer(name, now_s)
        is_ok = first_token_s is not None
        is_ejected = health.observe_answer(name, is_ok, first_token_s, POOL, now_s)
        received.append(
            SimpleNamespace(engine=name, wait_s=first_token_s, is_ejected=is_ejected)
        )
    return received


def run_probes(health, answer, start_s, until_s):
    """Answer the probes that fall due; return when they were sent."""
    sent = []
    for tenth in range(int(start_s * 10), int(until_s * 10)):
        name = health.next_probe(tenth / 10)
        if name is not None:
            sent.append(tenth / 10)
            wait_s = answer(name, tenth / 10)
            health.observe_probe(name, wait_s is not None, wait_s, POOL, tenth / 10)
    return sent


def slow_engine(name, _):
    return 3.0 if name == "engine-1" else 0.1


def failing_engine(name, _):
    return None if name == "engine-1" else 0.1


@pytest.mark.parametrize(
    ("answer", "most"),
    [(slow_engine, h.SAMPLES_MIN), (failing_engine, h.CONSECUTIVE_FAILURES)],
)
def test_few_callers_meet_a_bad_endpoint(answer, most):
    # One engine of five answers thirty times slower than the others, or with errors.
    # Without a comparison each fifth caller, and always the same chats, would meet it.
    received = serve(Health(), answer, 0.0, 200)
    bad = sum(one.wait_s is None or one.wait_s > 1.0 for one in received)
    assert 0 < bad <= most


@pytest.mark.parametrize(("wait_s", "left"), [(5.0, 5), (None, 4)])
def test_no_endpoint_is_an_outlier_when_all_are_bad(wait_s, left):
    # The model is slow (or fails) everywhere, as after a bad release.  Ejecting by a
    # threshold would leave no engine, and callers would get nothing at all.
    health = Health()
    received = serve(health, lambda *_: wait_s, 0.0, 300)
    assert sum(one.is_ejected for one in received) == len(POOL) - left
    assert len({one.engine for one in received[-100:]}) == left


def test_cap_holds_when_two_thirds_fail():
    health = Health()
    serve(health, lambda name, _: None if name > "engine-1" else 0.1, 0.0, 300)
    assert len(health.find_allowed(POOL, 60.0)) == 4
    assert h.Health().find_allowed(["only"], 0.0) == ["only"]


def test_recovered_endpoint_returns_by_probes_within_the_budget():
    # An ejected engine is well again.  Without probes it would stay away for good, and
    # the others would carry its callers; without a budget all routers would storm it.
    health = Health()
    serve(health, slow_engine, 0.0, 100)
    sent = run_probes(health, slow_engine, 20.0, 40.0)
    assert "engine-1" not in health.find_allowed(POOL, 40.0)
    assert all(b - a >= h.PROBE_EVERY_S for a, b in zip(sent, sent[1:], strict=False))
    run_probes(health, lambda *_: 0.1, 40.0, 50.0)
    assert "engine-1" in health.find_allowed(POOL, 50.0)
    assert 0.0 < health.find_slow_start_shares(POOL, 44.0)["engine-1"] < 1.0


def test_recovery_needs_a_clearer_answer_than_ejection():
    # Times at the edge of the threshold.  With one mark for both ways the engine would
    # be ejected and readmitted in turn, and its chats would lose their cache each time.
    health = Health()
    serve(health, lambda n, _: 2.0 if n == "engine-1" else 0.5, 0.0, 100)
    run_probes(health, lambda *_: 1.2, 20.0, 60.0)
    assert "engine-1" not in health.find_allowed(POOL, 60.0)


def test_flapping_endpoint_moves_its_chats_a_few_times_only():
    # An engine comes and goes each ten seconds.  Undamped, its chats move each time,
    # and each move costs a caller the whole prefix.
    health = Health()
    moves, was_allowed = 0, True
    for name in POOL:
        health.observe_present(name, 0.0)
    for second in range(300):
        flip = health.observe_absent if second % 10 == 0 else health.observe_present
        if second % 5 == 0:
            flip("engine-1", float(second))
        is_present = second % 10 >= 5
        is_allowed = is_present and "engine-1" in health.find_allowed(POOL, second)
        moves += is_allowed != was_allowed
        was_allowed = is_allowed
    assert moves <= 4
    assert "engine-1" in health.find_allowed(POOL, 300.0 + 4 * h.PENALTY_HALF_LIFE_S)


def test_new_endpoint_starts_slowly_but_a_new_fleet_does_not():
    health = Health()
    for name in POOL:
        health.observe_present(name, 0.0)
    assert health.find_slow_start_shares(POOL, 0.0) == {}
    health.observe_absent("engine-1", 50.0)
    health.observe_present("engine-1", 52.0)
    assert health.find_slow_start_shares(POOL, 52.0) == {"engine-1": h.SLOW_START_SHARE}
    assert health.find_slow_start_shares(POOL, 52.0 + h.SLOW_START_S) == {}
