"""Settings of the daemon: flags and environment variables, declared once.

A flag ``--peer-port`` is also the variable ``TAMARACKRILL_PEER_PORT``; the flag
wins.  All faults are reported together, each with its place.
"""

import argparse
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

from tamarackrill.exceptions import Finding, FindingsError

ENVIRONMENT_PREFIX = "TAMARACKRILL_"


class Setting(NamedTuple):
    """Declaration of one setting."""

    name: str
    parse: Callable[[str], Any]
    default: str | None
    doc: str
    least: float | None = None
    most: float | None = None

    @property
    def flag(self) -> str:
        """Name of the flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


class Settings(NamedTuple):
    """Checked settings of one daemon; units are in the names."""

    name: str
    zone: str
    address: str
    port: int
    peer_port: int
    platform: str
    peer_keys: tuple[str, ...]
    load_bound: float
    body_max_bytes: int
    queue_max: int
    drain_max_s: float
    lease_s: float
    log_format: str


def _parse_list(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


SETTINGS = (
    Setting("name", str, None, "name of this VM, unique in the fleet"),
    Setting("zone", str, None, "availability zone of this VM"),
    Setting("address", str, "127.0.0.1", "IP number to listen on"),
    Setting("port", int, "8080", "TCP port for callers", 0, 65535),
    Setting("peer_port", int, "8081", "UDP port for other routers", 0, 65535),
    Setting("platform", str, None, "host:port of the platform's object API"),
    Setting("peer_keys", _parse_list, None, "one or two keys shared by the routers"),
    Setting("load_bound", float, "1.25", "multiple of the mean load", 1.01, 10.0),
    Setting("body_max_bytes", int, "1048576", "longest request body", 1024, 1 << 26),
    Setting("queue_max", int, "512", "waiting requests for each pool", 1, 100_000),
    Setting("drain_max_s", float, "300", "longest wait for work in flight", 0, 86_400),
    Setting("lease_s", float, "10", "lease of the router that orders", 0.5, 600),
    Setting("log_format", str, "text", "text or json"),
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the daemon's flags."""
    parser = argparse.ArgumentParser(
        prog="tamarackrilld", description="One router of the fleet."
    )
    for setting in SETTINGS:
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            help=f"{setting.doc} (variable {setting.variable}, "
            f"default {setting.default or 'none'})",
        )
    return parser


def load_settings(arguments: Sequence[str], environment: Mapping[str, str]) -> Settings:
    """Return the checked settings.

    Parameters
    ----------
    arguments : sequence of str
        Command line without the program's name.
    environment : mapping of str to str
        Environment variables.

    Returns
    -------
    Settings

    Raises
    ------
    FindingsError
        If any setting is absent, malformed or out of range; lists all of them.
    """
    given = vars(build_parser().parse_args(list(arguments)))
    values: dict[str, Any] = {}
    findings: list[Finding] = []
    for setting in SETTINGS:
        place, text = _find_text(setting, given, environment)
        value, fault = _check(setting, place, text)
        values[setting.name] = value
        findings.extend(fault)
    if findings:
        raise FindingsError(findings)
    return Settings(**values)


def _find_text(
    setting: Setting, given: Mapping[str, str | None], environment: Mapping[str, str]
) -> tuple[str, str | None]:
    if given[setting.name] is not None:
        return setting.flag, given[setting.name]
    if setting.variable in environment:
        return setting.variable, environment[setting.variable]
    return setting.flag, setting.default


def _check(setting: Setting, place: str, text: str | None) -> tuple[Any, list[Finding]]:
    if text is None:
        hint = f"give {setting.flag} or set {setting.variable}"
        return None, [Finding(place, f"{setting.doc} is required", hint)]
    try:
        value = setting.parse(text)
    except ValueError:
        return None, [Finding(place, f"{text!r} is no {setting.parse.__name__}")]
    if setting.least is not None and value < setting.least:
        return None, [Finding(place, f"{value} is below {setting.least}")]
    if setting.most is not None and value > setting.most:
        return None, [Finding(place, f"{value} is above {setting.most}")]
    return value, []
