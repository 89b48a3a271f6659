import json

import pytest

from tamarackrill.cli import main
from tamarackrill.queries.explain_log import find_lines, format_lines


def write(time_s, name, **fields):
    return json.dumps({"time_s": time_s, "event": 1, "name": name, **fields})


LINES = [
    write(2.0, "call_attempt_failed", request="a", endpoint="w1", outcome="lost"),
    write(1.0, "call_sent", request="a", endpoint="w1"),
    write(1.5, "call_sent", request="b", endpoint="w1"),
    write(2.1, "endpoint_unreached", endpoint="w1"),
    write(90.0, "endpoint_unreached", endpoint="w1"),
    write(2.1, "endpoint_unreached", endpoint="w2"),
    "Traceback (most recent call last):",
    "{broken",
    '   1.2 edge-1 {"time_s": 2.2, "name": "call_refused", "request": "a"}',
]


def test_lines_of_a_request_and_its_endpoints_come_in_order():
    names = [line["name"] for line in find_lines("a", LINES)]
    assert names == [
        "call_sent",
        "call_attempt_failed",
        "endpoint_unreached",
        "call_refused",
    ]


def test_request_without_log_lines():
    assert "no line" in format_lines(find_lines("z", LINES))


def test_command_merges_files(tmp_path, capsys):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text("\n".join(LINES[:4]))
    second.write_text("\n".join(LINES[4:]))
    assert main(["explain-log", "a", str(first), str(second)]) == 0
    shown = capsys.readouterr().out.splitlines()
    assert shown[0].startswith("  0.0000 s  call_sent")
    assert len(shown) == 4


@pytest.mark.parametrize("command", ["explain-log a", "check-settings"])
def test_missing_file_is_reported(command, tmp_path, capsys):
    missing = str(tmp_path / "missing")
    assert main([*command.split(), missing]) == 2
    assert missing in capsys.readouterr().err
