"""Retries in the daemon, with a router and engines as processes."""

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.retry import INITIAL_CREDIT
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

CALLS = 30


@pytest.mark.parametrize(
    ("status", "arrivals_max"), [(500, CALLS + INITIAL_CREDIT), (503, CALLS)]
)
def test_failing_engines_get_hardly_more_than_their_callers_send(status, arrivals_max):
    # Every engine fails what it is sent.  With two further tries for each call, the
    # engines would get three times what they fail under already.
    with FleetProcesses() as fleet:
        fleet.put_contract(
            {"team": "t", "key_hashes": [hash_key("k")], "models": ["m"]}
        )
        engines = [fleet.add_engine(f"engine-{i}") for i in range(3)]
        router = fleet.add_router("router-1")
        fleet.wait_ready()
        wait_for(lambda: len(router.status()["endpoints"]) == 3, "the engines")
        for engine in engines:
            engine.set_faults(status=status)
        body = {"model": "m", "messages": [{"content": "x"}], "max_tokens": 2}
        headers = {"Authorization": "Bearer k"}
        path = "/v1/chat/completions"
        for _ in range(CALLS):
            answer = call(router.address, path, body, headers=headers)
            assert answer.status in (status, 502, 503)
        # Probes carry no identity; what a caller sent has one of 32 digits.
        met = [
            sum(n for name, n in engine.look()["arrivals"].items() if len(name) == 32)
            for engine in engines
        ]
    assert 0 < sum(met) <= arrivals_max
