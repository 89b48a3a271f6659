"""Lost requests, counted from router logs."""

import json

import pytest

from tamarackrill.cli import main
from tamarackrill.events import (
    CALL_ANSWERED,
    CALL_ATTEMPT_FAILED,
    CALL_CUT,
    CALL_LEFT,
    CALL_REFUSED,
    CALL_SENT,
)
from tamarackrill.queries.losses import find_outcomes, summarize


def write(time_s, event, **fields):
    line = {"time_s": time_s, "event": event.number, "name": event.name, **fields}
    return "edge-1 " + json.dumps(line)


def write_sent(time_s, request, route="chat", endpoint="w1"):
    return write(time_s, CALL_SENT, request=request, route=route, endpoint=endpoint)


LINES = [
    write_sent(0.0, "a"),
    write(0.5, CALL_ANSWERED, request="a", status=200, first_s=0.4),
    write_sent(1.0, "b"),
    write(1.1, CALL_ATTEMPT_FAILED, request="b", next="answer", detail="status 500"),
    write_sent(6.0, "c", endpoint="w2"),
    write(6.1, CALL_ATTEMPT_FAILED, request="c", next="repeat", detail="silent"),
    write_sent(6.2, "c", endpoint="w3"),
    write(6.9, CALL_CUT, request="c", route="chat", reason="lost"),
    write(7.0, CALL_REFUSED, request="d", route="desk", status=503, reason="full"),
    write(7.1, CALL_REFUSED, request="e", route="desk", status=502, reason="lost"),
    write_sent(7.2, "f", route="desk"),
    write(7.3, CALL_LEFT, request="f", route="desk"),
    "Traceback (most recent call last):",
]
CAUSES = {
    "b": "endpoint failed: status 500",
    "c": "stream cut: lost",
    "d": "refused: full",
    "e": "answered 502: lost",
    "f": "client left",
}


def test_each_request_has_one_outcome():
    outcomes = find_outcomes(reversed(LINES))
    assert [outcome.cause for outcome in outcomes] == ["", *CAUSES.values()]
    assert [outcome.route for outcome in outcomes] == ["chat"] * 3 + ["desk"] * 3
    assert outcomes[2].endpoint == "w3"


def test_losses_are_counted_by_route_cause_and_window():
    losses = summarize(find_outcomes(LINES), 5.0)
    desk, chat = losses.by_route
    assert (desk.route, desk.requests, desk.lost, desk.lost_share) == ("desk", 3, 3, 1)
    assert (chat.requests, chat.lost, chat.first_p95_s) == (3, 2, 0.4)
    assert {line.cause: line.endpoints for line in losses.by_cause} == {
        "endpoint failed: status 500": ("w1",),
        "stream cut: lost": ("w3",),
        "refused: full": (),
        "answered 502: lost": (),
        "client left": ("w1",),
    }
    assert [(m.from_s, m.requests, m.lost) for m in losses.by_moment] == [
        (0.0, 2, 1),
        (5.0, 4, 4),
    ]


def test_log_without_requests_has_no_losses():
    assert summarize(find_outcomes(["nothing"]), 5.0) == ((), (), ())


def test_command_shows_three_tables(tmp_path, capsys):
    log = tmp_path / "a.log"
    log.write_text("\n".join(LINES))
    assert main(["losses", str(log), "--window-s", "2"]) == 0
    shown = capsys.readouterr().out
    assert shown.count("lost_share") == 2
    assert "stream cut: lost" in shown


@pytest.mark.parametrize("text", ["0", "-1", "nan", "inf", "x"])
def test_invalid_window_is_rejected(text, capsys):
    with pytest.raises(SystemExit):
        main(["losses", "a.log", "--window-s", text])
    assert "--window-s" in capsys.readouterr().err
