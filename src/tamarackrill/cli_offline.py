"""Commands that read router logs, metrics of routers and settings files.

They need no platform; `tamarackrill.cli` adds them to its parser.
"""

import argparse
import asyncio
import math
from collections.abc import Sequence
from typing import Any

from tornado.httpclient import AsyncHTTPClient

from tamarackrill.exceptions import Finding, FindingsError
from tamarackrill.platform.settings_file import parse_settings
from tamarackrill.queries.capacity import (
    format_tables,
    list_log_tables,
    list_router_tables,
)
from tamarackrill.queries.explain_log import find_lines, format_lines
from tamarackrill.queries.group_losses import (
    GROUPINGS,
    format_group_losses,
    summarize_groups,
)
from tamarackrill.queries.losses import find_outcomes, format_losses, summarize
from tamarackrill.text_files import read_text

# Faults last seconds, and a window of this length still holds enough requests to
# compare.
LOSSES_WINDOW_S = 5.0


def add_file_commands(groups: Any) -> None:
    """Add the commands that need no platform to the parsers of `groups`."""
    explain_log = groups.add_parser(
        "explain-log",
        help="show from router logs what happened to a request",
        description="Collects the lines about a request from all files, and those "
        "about the endpoints that it was sent to, ordered by time.",
    )
    explain_log.add_argument("request", metavar="ID", help="ID of the client's attempt")
    explain_log.add_argument("files", nargs="+", metavar="FILE")
    explain_log.set_defaults(action=_explain_log, is_offline=True)
    losses = groups.add_parser(
        "losses",
        help="show from router logs where requests were lost",
        description="Counts lost requests by route, by cause and by time window; "
        "explain-log shows a single request. Each attempt of a client counts as a "
        "request: the logs don't tell that a client tries the same request again, so "
        "a team whose clients do so has more requests and a smaller share served.",
    )
    losses.add_argument("files", nargs="+", metavar="FILE")
    losses.add_argument(
        "--window-s",
        metavar="SECONDS",
        type=_read_window_s,
        default=LOSSES_WINDOW_S,
        help="length of a time window (default: %(default)s)",
    )
    losses.add_argument(
        "--by",
        choices=("route", *GROUPINGS),
        default="route",
        help="first table; team and service also show who was served in time or late, "
        "who waited how long, the seconds of work at endpoints, and teams and routes "
        "in the worst time windows (default: %(default)s)",
    )
    losses.set_defaults(action=_show_losses, is_offline=True)
    capacity = groups.add_parser(
        "capacity",
        help="show which plain services are short of capacity, and who is rejected",
        description="Log files show which services are saturated, since when, the "
        "teams with the most queued work, and who was queued or rejected why; the "
        "metrics of routers show the slots in use and waiting now, and how the "
        "routers' asks for slots ended. Give either or both.",
    )
    capacity.add_argument("files", nargs="*", metavar="FILE", help="router log")
    capacity.add_argument(
        "--router",
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="address of a router's metrics; may be given several times",
    )
    capacity.set_defaults(action=_show_capacity, is_offline=True)
    check = groups.add_parser(
        "check-settings",
        help="check a platform settings file",
        description="Reports all fields that are missing or have the wrong type, with "
        "their location; unknown fields are ignored.",
    )
    check.add_argument("file", metavar="FILE")
    check.set_defaults(action=_check_settings, is_offline=True)


def _explain_log(options: argparse.Namespace) -> None:
    print(format_lines(find_lines(options.request, _read_lines(options.files))))


def _show_losses(options: argparse.Namespace) -> None:
    outcomes = find_outcomes(_read_lines(options.files))
    losses = summarize(outcomes, options.window_s)
    if options.by == "route":
        print(format_losses(losses))
        return
    groups = summarize_groups(outcomes, options.by, options.window_s)
    print(format_group_losses(groups, losses))


def _show_capacity(options: argparse.Namespace) -> None:
    if not options.files and not options.router:
        hint = "pass router logs, or --router HOST:PORT of a router's metrics"
        raise FindingsError([Finding("FILE", "is required", hint)])
    tables: list[Sequence[Any]] = []
    if options.router:
        tables += asyncio.run(_read_router_tables(options.router))
    if options.files:
        tables += list_log_tables(_read_lines(options.files))
    print(format_tables(tables))


async def _read_router_tables(addresses: Sequence[str]) -> Sequence[Sequence[Any]]:
    client = AsyncHTTPClient()
    try:
        return await list_router_tables(client, addresses)
    finally:
        client.close()


def _read_window_s(text: str) -> float:
    window_s = float(text)
    if not 0.0 < window_s < math.inf:
        raise ValueError("must be above 0")
    return window_s


def _read_lines(names: Sequence[str]) -> list[str]:
    return [line for name in names for line in read_text(name, "replace").splitlines()]


def _check_settings(options: argparse.Namespace) -> None:
    settings = parse_settings(options.file, read_text(options.file))
    for name, value in settings._asdict().items():
        print(f"{name} = {value}")
