"""Settings of the daemon, from flags and environment variables.

The flag ``--peer-port`` corresponds to the variable ``TAMARACKRILL_PEER_PORT`` and
takes precedence over it.  All errors are reported together, each with its flag or
variable.  ``--check`` exits after validating the settings and ``--show-settings`` after
listing the effective ones.
"""

import argparse
import difflib
import ipaddress
import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from tamarackrill.decisions.addresses import read_address
from tamarackrill.exceptions import Finding, FindingsError

ENVIRONMENT_PREFIX = "TAMARACKRILL_"


class Setting(NamedTuple):
    """Declaration of one setting.

    Parameters
    ----------
    name : str
        Field of `Settings`; the flag and the variable are derived from it.
    parse : callable
        Parses the text; raises ValueError with a reason.
    default : str or None
        Default, as text; None for a required setting.
    doc : str
        Description for help and findings.
    minimum, maximum : float, optional
        Inclusive range.
    unit : str, optional
        Unit of the value, for help and findings.
    secret : bool, default=False
        Whether to hide the value in all output.
    """

    name: str
    parse: Callable[[str], Any]
    default: str | None
    doc: str
    minimum: float | None = None
    maximum: float | None = None
    unit: str = ""
    secret: bool = False

    @property
    def flag(self) -> str:
        """Name of the flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


class Settings(NamedTuple):
    """Validated settings of one daemon; field names include the units."""

    name: str
    zone: str
    address: str
    port: int
    peer_port: int
    platform: str
    peer_keys: tuple[str, ...]
    peers: tuple[str, ...]
    load_bound: float
    body_max_bytes: int
    queue_max: int
    drain_max_s: float
    lease_s: float
    log_format: str


def _parse_peer_keys(text: str) -> tuple[str, ...]:
    keys = tuple(part.strip() for part in text.split(",") if part.strip())
    if not 1 <= len(keys) <= 2:
        raise ValueError(f"expected one or two keys, got {len(keys)}")
    return keys


def _parse_integer(text: str) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise ValueError(f"{text!r} is not an integer") from error


def _parse_number(text: str) -> float:
    try:
        value = float(text)
    except ValueError as error:
        raise ValueError(f"{text!r} is not a number") from error
    # NaN compares false with both bounds of a range and would pass the range check.
    if not math.isfinite(value):
        raise ValueError(f"{text!r} is not a finite number")
    return value


def _parse_name(text: str) -> str:
    if not text or not all(
        part.isalnum() for part in text.replace("_", "-").split("-")
    ):
        raise ValueError(f"{text!r} is not a name of letters, digits, '-' and '_'")
    return text


def _parse_address(text: str) -> str:
    try:
        ipaddress.ip_address(text)
    except ValueError as error:
        raise ValueError(f"{text!r} is not an IP address") from error
    return text


def _parse_host_and_port(text: str) -> str:
    try:
        read_address(text)
    except ValueError as error:
        raise ValueError(f"{text!r} is not a valid host:port") from error
    return text


def _parse_peers(text: str) -> tuple[str, ...]:
    return tuple(_parse_host_and_port(p.strip()) for p in text.split(",") if p.strip())


def _parse_log_format(text: str) -> str:
    if text not in ("text", "json"):
        raise ValueError(f"{text!r} is neither text nor json")
    return text


SETTINGS = (
    Setting("name", _parse_name, None, "name of this VM, unique in the fleet"),
    Setting("zone", _parse_name, None, "availability zone of this VM"),
    Setting("address", _parse_address, "127.0.0.1", "IP address to listen on"),
    Setting("port", _parse_integer, "8080", "TCP port for clients", 0, 65535),
    Setting(
        "peer_port", _parse_integer, "8081", "UDP port for other routers", 0, 65535
    ),
    Setting(
        "platform", _parse_host_and_port, None, "host:port of the platform's object API"
    ),
    Setting(
        "peer_keys",
        _parse_peer_keys,
        None,
        "key shared by all routers, or two during a rotation: new,old; preferably "
        "set by the variable, since flags are visible to all users of the VM",
        secret=True,
    ),
    Setting(
        "peers",
        _parse_peers,
        "",
        "host:port of some routers' peer ports, asked first if the platform is down",
    ),
    # 1.5 is the lowest value that keeps nearly all cache reuse; see
    # docs/design/routing.md.
    Setting(
        "load_bound",
        _parse_number,
        "1.5",
        "maximum load, as a multiple of the mean load",
        1.01,
        10,
    ),
    Setting(
        "body_max_bytes",
        _parse_integer,
        "1048576",
        "maximum size of a request body",
        1024,
        1 << 26,
        "bytes",
    ),
    Setting(
        "queue_max",
        _parse_integer,
        "512",
        "maximum number of queued requests per pool",
        1,
        100_000,
        "requests",
    ),
    Setting(
        "drain_max_s",
        _parse_number,
        "300",
        "maximum wait for requests in flight at shutdown",
        0,
        86_400,
        "s",
    ),
    Setting(
        "lease_s",
        _parse_number,
        "10",
        "duration of the lease of the router that gives orders to engines",
        0.5,
        600,
        "s",
    ),
    Setting("log_format", _parse_log_format, "text", "log format, text or json"),
)


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the daemon's flags."""
    parser = argparse.ArgumentParser(
        prog="tamarackrilld",
        description="One router of the fleet.",
        epilog="Each setting is a flag or an environment variable; flags take "
        "precedence. Invalid settings end the process with exit code 2.",
        allow_abbrev=False,
    )
    parser.add_argument(
        "--check", action="store_true", help="validate the settings and exit"
    )
    parser.add_argument(
        "--show-settings",
        action="store_true",
        help="list the effective settings and exit",
    )
    for setting in SETTINGS:
        # Accepts any value, even a missing one, so that `load_settings` can report all
        # errors together; argparse would stop at the first.
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            nargs="?",
            const="",
            metavar=_format_range(setting) or "VALUE",
            help=f"{setting.doc} ({setting.variable}, "
            f"default {setting.default or 'none, required'})",
        )
    return parser


def load_settings(arguments: Sequence[str], environment: Mapping[str, str]) -> Settings:
    """Parse and validate the settings.

    Parameters
    ----------
    arguments : sequence of str
        Command line without the program name.
    environment : mapping of str to str
        Environment variables.

    Returns
    -------
    Settings

    Raises
    ------
    FindingsError
        If any setting is missing, malformed, out of range or unknown; lists all.
    SystemExit
        With code 0 after ``--help``, ``--check`` or ``--show-settings``.
    """
    parsed, unknown = build_parser().parse_known_args(list(arguments))
    flag_values = vars(parsed)
    values: dict[str, Any] = {}
    findings = [*_find_unknown_flags(unknown), *_find_unknown_variables(environment)]
    for setting in SETTINGS:
        place, text = _find_source(setting, flag_values, environment)
        value, errors = _parse_setting(setting, place, text)
        values[setting.name] = value
        findings.extend(errors)
    if findings:
        raise FindingsError(findings)
    settings = Settings(**values)
    if flag_values["show_settings"]:
        print(show_settings(settings))
    if flag_values["check"] or flag_values["show_settings"]:
        raise SystemExit(0)
    return settings


def show_settings(settings: Settings) -> str:
    """Format one line per setting; of secrets only the number of values."""
    lines = []
    for setting in SETTINGS:
        value = getattr(settings, setting.name)
        shown = f"({len(value)} given)" if setting.secret else str(value)
        unit = f" {setting.unit}" if setting.unit else ""
        lines.append(f"{setting.flag} {shown}{unit}")
    return "\n".join(lines)


def _format_range(setting: Setting) -> str:
    if setting.minimum is None or setting.maximum is None:
        return setting.unit
    return f"{setting.minimum:g}..{setting.maximum:g} {setting.unit}".strip()


def _find_unknown_flags(unknown: Sequence[str]) -> Iterator[Finding]:
    flags = [setting.flag for setting in SETTINGS]
    for text in unknown:
        flag = text.partition("=")[0]
        if not flag.startswith("-"):
            continue
        yield Finding(flag, "unknown flag", _suggest_name(flag, flags))


def _find_unknown_variables(environment: Mapping[str, str]) -> Iterator[Finding]:
    # A misspelt variable would silently leave the default in effect.
    variables = [setting.variable for setting in SETTINGS]
    for name in sorted(environment):
        if name.startswith(ENVIRONMENT_PREFIX) and name not in variables:
            yield Finding(name, "unknown variable", _suggest_name(name, variables))


def _suggest_name(name: str, known: Sequence[str]) -> str:
    matches = difflib.get_close_matches(name, known, n=1)
    return f"did you mean {matches[0]}?" if matches else ""


def _find_source(
    setting: Setting,
    flag_values: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> tuple[str, str | None]:
    if flag_values[setting.name] is not None:
        return setting.flag, flag_values[setting.name]
    if setting.variable in environment:
        return setting.variable, environment[setting.variable]
    return setting.flag, setting.default


def _parse_setting(
    setting: Setting, place: str, text: str | None
) -> tuple[Any, list[Finding]]:
    if text is None:
        hint = f"pass {setting.flag} or set {setting.variable}"
        return None, [Finding(place, f"is required: {setting.doc}", hint)]
    try:
        value = setting.parse(text)
    except ValueError as error:
        return None, [Finding(place, str(error), setting.doc)]
    unit = f" {setting.unit}" if setting.unit else ""
    if setting.minimum is not None and value < setting.minimum:
        return None, [Finding(place, f"{value} is below {setting.minimum:g}{unit}")]
    if setting.maximum is not None and value > setting.maximum:
        return None, [Finding(place, f"{value} is above {setting.maximum:g}{unit}")]
    return value, []
