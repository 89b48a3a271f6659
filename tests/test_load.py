import json

import pytest

from tamarackrill.cli import main
from tamarackrill.contracts import hash_key
from tamarackrill.load.plan import LoadShape, make_plan
from tamarackrill.load.results import CallResult, LoadResults
from tamarackrill.testing.processes import FleetProcesses

SHAPE = LoadShape(calls=300, duration_s=2.0)
TEAMS = tuple("abcdefgh")


def test_plan_is_bounded_and_deterministic():
    sessions = make_plan(1, TEAMS, SHAPE)
    assert sessions == make_plan(1, TEAMS, SHAPE) != make_plan(2, TEAMS, SHAPE)
    calls = [call for session in sessions for call in session.calls]
    assert len(calls) == len({call.marker for call in calls}) == SHAPE.calls
    assert {call.kind for call in calls} == {"chat", "lookup", "confirmation"}
    assert all(0 <= session.start_s <= SHAPE.duration_s for session in sessions)


def receive(**changes):
    common = {
        "team": "a",
        "kind": "chat",
        "marker": "m1x0",
        "outcome": "answered",
        "code": "",
        "text": "m1x0 m1x0",
        "took_s": 0.5,
        "first_byte_s": 0.1,
        "deadline_s": 1.0,
        "tries": 1,
    }
    return CallResult(**{**common, **changes})


@pytest.mark.parametrize(
    ("changes", "count", "is_clean"),
    [
        ({}, "answered", True),
        ({"took_s": 1.5}, "late", True),
        ({"text": "m1x0 m2x0"}, "crossed", False),
        ({"outcome": "lost", "code": "cut"}, "lost", False),
        ({"outcome": "refused", "code": "overloaded"}, "refused", True),
        ({"tries": 2}, "sent_again", True),
    ],
)
def test_call_is_counted_by_outcome(changes, count, is_clean):
    results = LoadResults()
    results.add(receive(**changes))
    assert results.to_dict()["counts"][count] == 1
    assert results.is_clean == is_clean


def test_repeated_execution_and_differing_resend_are_counted():
    results = LoadResults()
    results.add_run_counts({"k1": 1, "k2": 2})
    results.add_resend(receive(text="1"), receive(text="2"))
    counts = results.to_dict()["counts"]
    assert (counts["doubled"], counts["resend_differs"]) == (1, 1)


@pytest.fixture(scope="module")
def bench_arguments(tmp_path_factory):
    directory = tmp_path_factory.mktemp("bench")
    (directory / "keys.json").write_text('{"a": "k"}')
    with FleetProcesses() as fleet:
        fleet.add_engine("engine-1", "m", "--slots=32")
        fleet.add_service("worker-1", "desk", "--slots=32")
        fleet.put_contract(
            {
                "team": "a",
                "key_hashes": [hash_key("k")],
                "models": ["m"],
                "services": ["desk"],
            }
        )
        router = fleet.add_router("router-1")
        fleet.wait_ready()
        yield [
            *("bench", "--router", router.address),
            *("--keys", str(directory / "keys.json")),
            *("--model", "m", "--lookup", "desk/stock"),
            *("--confirmation", "desk/confirm", "--calls", "30", "--seconds", "0.2"),
            *("--pause-s", "0.01", "--json", str(directory / "figures.json")),
            *("--plot", str(directory / "figures.svg")),
        ]


def test_bench_reports_calls_to_a_running_router(bench_arguments):
    assert main(bench_arguments) == 0
    file = bench_arguments[bench_arguments.index("--json") + 1]
    with open(file) as stream:
        figures = json.load(stream)
    assert figures["counts"]["answered"] == figures["counts"]["calls"] == 30
    assert figures["times_s"]["answer/team a"]["count"] == 30
    with open(bench_arguments[-1]) as stream:
        assert "<svg" in stream.read(1000)


def test_bench_fails_if_the_router_is_unreachable(bench_arguments, capsys):
    # Nothing listens at this address, so no call gets an answer or a refusal.
    arguments = [*bench_arguments, "--calls", "1"]
    arguments[2] = "127.0.0.1:1"
    assert main(arguments) == 1
    assert "answers_faulty" in capsys.readouterr().err


def test_invalid_arguments_are_reported_together(bench_arguments, capsys):
    assert main([*bench_arguments, "--calls", "0", "--lookup", "desk"]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 2
