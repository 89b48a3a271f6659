import socket

import pytest

from tamarackrill.exceptions import FindingsError
from tamarackrill.settings import SETTINGS, load_settings
from tamarackrill.testing.processes import Process

ENVIRONMENT = {
    "TAMARACKRILL_NAME": "vm-1",
    "TAMARACKRILL_ZONE": "kranj-hall",
    "TAMARACKRILL_PLATFORM": "127.0.0.1:7000",
    "TAMARACKRILL_PEER_KEYS": "new-secret,old-secret",
}


def find_errors(arguments, environment):
    with pytest.raises(FindingsError) as caught:
        load_settings(arguments, environment)
    return [finding.show() for finding in caught.value.findings]


def test_flag_takes_precedence_over_variable():
    settings = load_settings(["--zone", "kamnik-hall"], ENVIRONMENT)
    assert (settings.zone, settings.name) == ("kamnik-hall", "vm-1")
    assert settings.peer_keys == ("new-secret", "old-secret")


def test_all_errors_are_reported_together():
    found = find_errors(["--port", "x", "--prot=1"], {"TAMARACKRILL_ZONES": "a"})
    assert [line.split(":")[0] for line in found] == [
        "--prot",
        "TAMARACKRILL_ZONES",
        "--name",
        "--zone",
        "--port",
        "--platform",
        "--peer-keys",
    ]
    assert "did you mean --port?" in found[0]


@pytest.mark.parametrize(
    ("flag", "text", "part"),
    [
        ("--port", "70000", "70000 is above 65535"),
        ("--load-bound", "1", "1.0 is below 1.01"),
        ("--load-bound", "nan", "is not a finite number"),
        ("--body-max-bytes", "5", "5 is below 1024 bytes"),
        ("--address", "router.example", "is not an IP address"),
        ("--platform", "127.0.0.1", "is not a valid host:port"),
        ("--name", "a b", "is not a name"),
        ("--log-format", "xml", "neither text nor json"),
        ("--peer-keys", "a,b,c", "expected one or two keys, got 3"),
        ("--queue-max", "", "is not an integer"),
    ],
)
def test_error_names_its_flag(flag, text, part):
    (line,) = find_errors([flag, text], ENVIRONMENT)
    assert line.startswith(flag)
    assert part in line


@pytest.mark.parametrize(("flag", "lines"), [("--check", 0), ("--show-settings", 1)])
def test_check_and_show_settings_exit(flag, lines, capsys):
    with pytest.raises(SystemExit) as caught:
        load_settings([flag], ENVIRONMENT)
    shown = capsys.readouterr().out
    assert caught.value.code == 0
    assert len(shown.splitlines()) == lines * len(SETTINGS)
    assert "secret" not in shown


def test_help_names_each_variable(capsys):
    with pytest.raises(SystemExit):
        load_settings(["--help"], {})
    shown = "".join(capsys.readouterr().out.split())
    assert all(setting.variable in shown for setting in SETTINGS)


def test_port_in_use_is_reported():
    with socket.create_server(("127.0.0.1", 0)) as taken:
        flags = [f"--port={taken.getsockname()[1]}", "--name=a", "--zone=z"]
        flags += ["--platform=127.0.0.1:1", "--peer-keys=k"]
        daemon = Process(["tamarackrill.router.daemon", *flags])
        assert daemon.wait() == 2
        daemon.close()
    (line,) = daemon.lines
    assert line.startswith("Error: --address, --port: can't listen: ")
