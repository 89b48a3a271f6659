"""The operators' command line: arguments, exit codes and what is printed.

What is done stands in `tamarackrill.commands` (changes) and `tamarackrill.queries`.
"""

import argparse
import asyncio
import math
import os
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

from tornado.httpclient import AsyncHTTPClient

from tamarackrill.commands.contracts import Applied, apply_contracts, delete_contract
from tamarackrill.commands.rollout import InForce, wait_in_force
from tamarackrill.contracts import check_contracts
from tamarackrill.display import format_json, format_table
from tamarackrill.documents import Document, read_document
from tamarackrill.exceptions import (
    EXIT_CODES,
    Finding,
    FindingsError,
    NotInForce,
    PlatformUnavailable,
    TamarackrillError,
)
from tamarackrill.load.arguments import add_bench_arguments, run_bench
from tamarackrill.platform.settings_file import parse_settings
from tamarackrill.queries.contracts import get_contract, list_contracts
from tamarackrill.queries.explain import EXPLAINED, ask_home, format_explanation
from tamarackrill.queries.explain_log import find_lines, format_lines
from tamarackrill.queries.fleet import list_endpoints, list_routers, pick_router
from tamarackrill.queries.losses import find_outcomes, format_losses, summarize
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.text_files import read_text

PLATFORM_VARIABLE = "TAMARACKRILL_PLATFORM"
WAIT_MAX_S = 30.0
# Faults last seconds, and a span of so long still holds enough requests to compare.
LOSSES_WINDOW_S = 5.0
EXIT_INTERRUPTED = 130

_EPILOG = "exit codes:\n" + "\n".join(
    f"  {code}  {meaning}" for code, meaning in EXIT_CODES.items()
)


class _ContractLine(NamedTuple):
    team: str
    version: int
    weight: int
    rate_per_s: float
    in_flight_max: int
    models: tuple[str, ...]
    services: tuple[str, ...]


class _Clients(NamedTuple):
    http: AsyncHTTPClient
    platform: PlatformClient


Action = Callable[[argparse.Namespace, _Clients], Awaitable[None]]


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line.

    Parameters
    ----------
    arguments : sequence of str, optional
        Arguments without the program's name; those of the process if left out.

    Returns
    -------
    int
        Exit code, one of `tamarackrill.exceptions.EXIT_CODES`.
    """
    options = build_parser().parse_args(arguments)
    try:
        if options.is_offline:
            options.action(options)
        else:
            asyncio.run(_run_online(options))
    except TamarackrillError as error:
        print(error.show(), file=sys.stderr)
        return error.exit_code
    except KeyboardInterrupt:
        print("Interrupted; what was reported above stands.", file=sys.stderr)
        return EXIT_INTERRUPTED
    return 0


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="tamarackrill",
        description="Operate a fleet of routers by contracts, and look at it.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    groups = parser.add_subparsers(metavar="COMMAND", required=True)
    _add_contract_commands(groups)
    _add_queries(groups)
    _add_files(groups)
    bench = groups.add_parser(
        "bench",
        help="put load on running routers and judge the answers",
        description="Act as the callers of several teams: returning chats with "
        "pauses, short lookups, non-idempotent calls and resends. Ends with exit "
        "code 1 if an answer was lost, doubled or crossed.",
    )
    add_bench_arguments(bench)
    bench.set_defaults(action=run_bench, is_offline=True)
    return parser


def _add_contract_commands(groups: Any) -> None:
    contract = groups.add_parser(
        "contract", help="write, check and read contracts"
    ).add_subparsers(metavar="COMMAND", required=True)

    apply = _add(
        contract,
        "apply",
        _apply,
        "write contracts and wait until all routers have them in force",
        "Checks all files first, shows what changes, and writes each contract on the "
        "condition that nobody else changed it meanwhile. Safe to run again.",
    )
    apply.add_argument("files", nargs="+", metavar="FILE", help="contract, as JSON")
    apply.add_argument(
        "--based-on",
        type=int,
        metavar="VERSION",
        help="version that you edited ('contract show' names it); with one FILE only",
    )
    _add_wait(apply)

    delete = _add(
        contract,
        "delete",
        _delete,
        "delete a contract: its team is refused everywhere within seconds",
    )
    delete.add_argument("team", metavar="TEAM")
    _add_wait(delete)

    validate = contract.add_parser(
        "validate",
        help="check contract files without a platform",
        description="Reports all faults of all files, each with its line and field.",
    )
    validate.add_argument("files", nargs="+", metavar="FILE")
    validate.set_defaults(action=_validate, is_offline=True)

    show = _add(contract, "show", _show, "print a contract in the form of a file")
    show.add_argument("team", metavar="TEAM")
    _add_json(show)
    _add_json(_add(contract, "list", _list, "list all contracts"))


def _add_files(groups: Any) -> None:
    explain_log = groups.add_parser(
        "explain-log",
        help="tell from the logs of routers what became of a request",
        description="Gathers the lines that name a request over all files, and those "
        "of the endpoints that it was sent to, in order of time.",
    )
    explain_log.add_argument("request", metavar="ID", help="id of the client's attempt")
    explain_log.add_argument("files", nargs="+", metavar="FILE")
    explain_log.set_defaults(action=_explain_log, is_offline=True)
    losses = groups.add_parser(
        "losses",
        help="tell from the logs of routers where requests were lost",
        description="Counts how requests ended, by route, by cause and by moment; "
        "explain-log tells of a single one.",
    )
    losses.add_argument("files", nargs="+", metavar="FILE")
    losses.add_argument(
        "--window-s",
        metavar="SECONDS",
        type=_read_window_s,
        default=LOSSES_WINDOW_S,
        help="length of a moment (default: %(default)s)",
    )
    losses.set_defaults(action=_show_losses, is_offline=True)
    check = groups.add_parser(
        "check-settings",
        help="check a settings file of the platform",
        description="Reports all fields that are missing or of a wrong type, each with "
        "its place; fields that are not known are passed over.",
    )
    check.add_argument("file", metavar="FILE")
    check.set_defaults(action=_check_settings, is_offline=True)


def _explain_log(options: argparse.Namespace) -> None:
    print(format_lines(find_lines(options.request, _read_lines(options.files))))


def _show_losses(options: argparse.Namespace) -> None:
    outcomes = find_outcomes(_read_lines(options.files))
    print(format_losses(summarize(outcomes, options.window_s)))


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


def _add_queries(groups: Any) -> None:
    fleet = groups.add_parser("fleet", help="look at the routers").add_subparsers(
        metavar="QUERY", required=True
    )
    status = _add(
        fleet,
        "status",
        _fleet_status,
        "list routers: who answers, who lags, who is not seen by whom",
    )
    _add_json(status)

    endpoint = groups.add_parser(
        "endpoint", help="look at model engines and services"
    ).add_subparsers(metavar="QUERY", required=True)
    _add_json(
        _add(endpoint, "list", _endpoint_list, "list endpoints, faulty ones included")
    )

    explain = _add(
        groups,
        "explain",
        _explain,
        "tell where a call would go now, and why",
        "Asks the home router of the chat, which decides; without a chat, any router. "
        "Nothing is sent to an endpoint.",
    )
    explain.add_argument("--team", required=True)
    explain.add_argument("--chat", default="", help="name of the chat")
    wanted = explain.add_mutually_exclusive_group(required=True)
    wanted.add_argument("--model")
    wanted.add_argument("--service")
    explain.add_argument(
        "--router", metavar="HOST:PORT", help="router to ask; else one of the VM list"
    )
    _add_json(explain)


def _add(
    group: Any, name: str, action: Action, help_text: str, more: str = ""
) -> argparse.ArgumentParser:
    description = f"{help_text[0].upper()}{help_text[1:]}. {more}".strip()
    parser = group.add_parser(name, help=help_text, description=description)
    parser.add_argument(
        "--platform",
        metavar="HOST:PORT",
        default=os.environ.get(PLATFORM_VARIABLE),
        help=f"the platform's object API (variable {PLATFORM_VARIABLE})",
    )
    parser.set_defaults(action=action, is_offline=False)
    return parser


def _add_json(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="print JSON")


def _add_wait(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--no-wait", action="store_true", help="don't wait for the routers"
    )
    parser.add_argument(
        "--wait-max-s",
        type=float,
        default=WAIT_MAX_S,
        metavar="S",
        help="longest wait in seconds (default %(default)s)",
    )


async def _run_online(options: argparse.Namespace) -> None:
    if not options.platform:
        hint = f"give --platform or set {PLATFORM_VARIABLE}"
        raise FindingsError([Finding("--platform", "is required", hint)])
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    http = AsyncHTTPClient()
    platform = PlatformClient(options.platform, zone="", client=http)
    try:
        await options.action(options, _Clients(http, platform))
    finally:
        http.close()


def _read_files(files: Sequence[str]) -> list[Document]:
    documents: list[Document] = []
    findings: list[Finding] = []
    for file in files:
        try:
            documents.append(read_document(file))
        except FindingsError as error:
            findings.extend(error.findings)
    if findings:
        raise FindingsError(findings)
    return documents


def _validate(options: argparse.Namespace) -> None:
    contracts = check_contracts(_read_files(options.files))
    print(f"{len(contracts)} contract(s) are valid.")


async def _apply(options: argparse.Namespace, clients: _Clients) -> None:
    if options.based_on is not None and len(options.files) != 1:
        finding = Finding("--based-on", "needs exactly one FILE")
        raise FindingsError([finding])
    documents = _read_files(options.files)
    applied = await apply_contracts(
        clients.platform, documents, options.based_on, _report
    )
    await _wait_for_rollout(options, clients, max(item.version for item in applied))


async def _delete(options: argparse.Namespace, clients: _Clients) -> None:
    applied = await delete_contract(clients.platform, options.team)
    _report(applied)
    await _wait_for_rollout(options, clients, applied.version)


def _report(applied: Applied) -> None:
    print(f"{applied.team}: {applied.outcome} (version {applied.version})")
    for change in applied.changes:
        print(f"  {change.show()}")


async def _wait_for_rollout(
    options: argparse.Namespace, clients: _Clients, version: int
) -> None:
    if options.no_wait:
        print("Written; not waiting for the routers.")
        return
    hint = "routers take it once they reach the platform or a peer; see: fleet status"
    try:
        vms = await clients.platform.list_vms()
    except PlatformUnavailable as error:
        # Passed on as it is, this would read as if nothing had been written.
        message = f"written, but the VM list can't be read ({error.message})"
        raise NotInForce(message, hint) from error
    found = await wait_in_force(clients.http, vms, version, options.wait_max_s)
    if not found.is_everywhere:
        raise NotInForce(_describe_missing(found), hint)
    print(f"In force at {len(found.reached)} router(s) after {found.waited_s:.1f} s.")


def _describe_missing(found: InForce) -> str:
    if not (found.reached or found.behind or found.silent):
        return "written, but the VM list names no live router"
    total = len(found.reached) + len(found.behind) + len(found.silent)
    parts = [f"written, but in force at {len(found.reached)} of {total} routers"]
    if found.behind:
        parts.append(f"behind: {', '.join(found.behind)}")
    if found.silent:
        parts.append(f"no answer: {', '.join(found.silent)}")
    return "; ".join(parts)


async def _show(options: argparse.Namespace, clients: _Clients) -> None:
    found = await get_contract(clients.platform, options.team)
    if options.json:
        print(format_json(found))
        return
    print(format_json(found.value))
    # Apart from the contract, so that the output can be kept as a file.
    print(f"version {found.version}", file=sys.stderr)


async def _list(options: argparse.Namespace, clients: _Clients) -> None:
    found = await list_contracts(clients.platform)
    if options.json:
        print(format_json(found))
        return
    lines = [
        _ContractLine(
            item.name,
            item.version,
            *(item.value.get(field, "default") for field in _ContractLine._fields[2:]),
        )
        for item in found
    ]
    print(format_table(lines))


async def _fleet_status(options: argparse.Namespace, clients: _Clients) -> None:
    lines = await list_routers(clients.platform, clients.http)
    print(format_json(lines) if options.json else format_table(lines))


async def _endpoint_list(options: argparse.Namespace, clients: _Clients) -> None:
    lines = await list_endpoints(clients.platform)
    print(format_json(lines) if options.json else format_table(lines))


async def _explain(options: argparse.Namespace, clients: _Clients) -> None:
    router = options.router or await pick_router(clients.platform)
    query = {name: getattr(options, name) or "" for name in EXPLAINED}
    found = await ask_home(clients.http, router, query)
    print(format_json(found) if options.json else format_explanation(found))
