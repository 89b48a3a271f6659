"""Retries in the daemon, with a router and engines as processes."""

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.retry import INITIAL_CREDIT
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

CALLS = 30


@pytest.mark.parametrize(
    ("status", "arrivals_max"), [(500, CALLS + INITIAL_CREDIT), (503, CALLS)]
)
def test_failing_engines_get_few_retries(status, arrivals_max):
    # Every engine fails every call.  With two retries per call and no retry budget, the
    # engines would get three times the load that they already fail under.
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
        # Probes have no request id; calls have one of 32 digits.
        arrivals = [
            sum(n for name, n in engine.look()["arrivals"].items() if len(name) == 32)
            for engine in engines
        ]
    assert 0 < sum(arrivals) <= arrivals_max
