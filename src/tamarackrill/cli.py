"""Command line for operators: argument parsing, output and exit codes.

`tamarackrill.commands` implements changes, `tamarackrill.queries` read-only commands.
"""

import argparse
import asyncio
import os
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

from tornado.httpclient import AsyncHTTPClient

from tamarackrill.cli_offline import add_file_commands
from tamarackrill.commands.contracts import (
    ContractResult,
    apply_contracts,
    delete_contract,
)
from tamarackrill.commands.rollout import RolloutStatus, wait_for_rollout
from tamarackrill.commands.zones import ZoneResult, evacuate_zone, restore_zone
from tamarackrill.contracts import CONTRACT_KIND, EVACUATION_KIND, check_contracts
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
from tamarackrill.queries.contracts import get_contract, list_contracts
from tamarackrill.queries.explain import (
    EXPLAIN_PARAMETERS,
    fetch_home_explanation,
    format_explanation,
)
from tamarackrill.queries.fleet import list_endpoints, list_routers, pick_router
from tamarackrill.queries.zones import list_zones
from tamarackrill.router.platform_client import PlatformClient

PLATFORM_VARIABLE = "TAMARACKRILL_PLATFORM"
WAIT_MAX_S = 30.0
EXIT_INTERRUPTED = 130

_EPILOG = "exit codes:\n" + "\n".join(
    f"  {code}  {meaning}" for code, meaning in EXIT_CODES.items()
)


class _ContractRow(NamedTuple):
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
    """Run the command line and return its exit code.

    Parameters
    ----------
    arguments : sequence of str, optional
        Arguments without the program name; default: those of the process.

    Returns
    -------
    int
        One of `tamarackrill.exceptions.EXIT_CODES`, or `EXIT_INTERRUPTED`.
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
        print("Interrupted; changes reported above remain in place.", file=sys.stderr)
        return EXIT_INTERRUPTED
    return 0


def build_parser() -> argparse.ArgumentParser:
    """Return the parser for all commands."""
    parser = argparse.ArgumentParser(
        prog="tamarackrill",
        description="Manage the contracts and availability zones of a fleet of "
        "routers, and inspect the fleet.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    groups = parser.add_subparsers(metavar="COMMAND", required=True)
    _add_contract_commands(groups)
    _add_zone_commands(groups)
    _add_query_commands(groups)
    add_file_commands(groups)
    bench = groups.add_parser(
        "bench",
        help="generate load on running routers and check the answers",
        description="Simulates clients of several teams: multi-turn chats with "
        "pauses, short lookups, non-idempotent calls and resends. Exits with code 1 "
        "if an answer was lost or reached another client, or if a call ran twice.",
    )
    add_bench_arguments(bench)
    bench.set_defaults(action=run_bench, is_offline=True)
    return parser


def _add_contract_commands(groups: Any) -> None:
    contract = groups.add_parser(
        "contract", help="write, check and read contracts"
    ).add_subparsers(metavar="COMMAND", required=True)

    apply = _add_online_command(
        contract,
        "apply",
        _apply,
        "write contracts and wait until all routers apply them",
        "Checks all files first, shows the changes, and writes each contract only if "
        "nobody else has changed it in the meantime. Safe to run again.",
    )
    apply.add_argument("files", nargs="+", metavar="FILE", help="contract, as JSON")
    apply.add_argument(
        "--based-on",
        type=int,
        metavar="VERSION",
        help="version that you edited (see 'contract show'); with one FILE only",
    )
    _add_wait(apply)

    delete = _add_online_command(
        contract,
        "delete",
        _delete,
        "delete a contract; all routers refuse its team within seconds",
    )
    delete.add_argument("team", metavar="TEAM")
    _add_wait(delete)

    validate = contract.add_parser(
        "validate",
        help="check contract files without a platform",
        description="Reports every error in every file, with its line and field.",
    )
    validate.add_argument("files", nargs="+", metavar="FILE")
    validate.set_defaults(action=_validate, is_offline=True)

    show = _add_online_command(
        contract, "show", _show, "print a contract in the format of a contract file"
    )
    show.add_argument("team", metavar="TEAM")
    _add_json(show)
    _add_json(_add_online_command(contract, "list", _list, "list all contracts"))


def _add_zone_commands(groups: Any) -> None:
    zone = groups.add_parser(
        "zone", help="evacuate availability zones and take them back"
    ).add_subparsers(metavar="COMMAND", required=True)
    evacuate = _add_online_command(
        zone,
        "evacuate",
        _zone_evacuate,
        "keep new work away from a zone's endpoints",
        "Calls that run there end as usual; see 'zone list' for what still runs.",
    )
    restore = _add_online_command(
        zone, "restore", _zone_restore, "let a zone's endpoints take new work again"
    )
    for parser in (evacuate, restore):
        parser.add_argument("zone", metavar="ZONE")
        _add_wait(parser)
    _add_json(
        _add_online_command(
            zone,
            "list",
            _zone_list,
            "list zones: since when evacuated, at how many routers, what still runs",
        )
    )


def _add_query_commands(groups: Any) -> None:
    fleet = groups.add_parser("fleet", help="inspect the routers").add_subparsers(
        metavar="QUERY", required=True
    )
    status = _add_online_command(
        fleet,
        "status",
        _fleet_status,
        "list routers: which answer, which lag, and which peers don't see them",
    )
    _add_json(status)

    endpoint = groups.add_parser(
        "endpoint", help="inspect model engines and services"
    ).add_subparsers(metavar="QUERY", required=True)
    _add_json(
        _add_online_command(
            endpoint, "list", _endpoint_list, "list endpoints, faulty ones included"
        )
    )

    explain = _add_online_command(
        groups,
        "explain",
        _explain,
        "show where a call would be routed now, and why",
        "Asks the home router of the chat, which chooses the endpoint; without a chat, "
        "any router. Sends nothing to an endpoint.",
    )
    explain.add_argument("--team", required=True)
    explain.add_argument("--chat", default="", help="name of the chat")
    wanted = explain.add_mutually_exclusive_group(required=True)
    wanted.add_argument("--model")
    wanted.add_argument("--service")
    explain.add_argument(
        "--router",
        metavar="HOST:PORT",
        help="router to ask; default: one of the VM list",
    )
    _add_json(explain)


def _add_online_command(
    group: Any, name: str, action: Action, help_text: str, details: str = ""
) -> argparse.ArgumentParser:
    description = f"{help_text[0].upper()}{help_text[1:]}. {details}".strip()
    parser = group.add_parser(name, help=help_text, description=description)
    parser.add_argument(
        "--platform",
        metavar="HOST:PORT",
        default=os.environ.get(PLATFORM_VARIABLE),
        help=f"address of the platform's object API (variable {PLATFORM_VARIABLE})",
    )
    parser.set_defaults(action=action, is_offline=False)
    return parser


def _add_json(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="print JSON")


def _add_wait(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--no-wait", action="store_true", help="don't wait until the routers apply it"
    )
    parser.add_argument(
        "--wait-max-s",
        type=float,
        default=WAIT_MAX_S,
        metavar="S",
        help="maximum wait in seconds (default: %(default)s)",
    )


async def _run_online(options: argparse.Namespace) -> None:
    if not options.platform:
        hint = f"pass --platform or set {PLATFORM_VARIABLE}"
        raise FindingsError([Finding("--platform", "is required", hint)])
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    http = AsyncHTTPClient()
    platform = PlatformClient(options.platform, zone="", client=http)
    try:
        await options.action(options, _Clients(http, platform))
    finally:
        http.close()


def _read_documents(files: Sequence[str]) -> list[Document]:
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
    contracts = check_contracts(_read_documents(options.files))
    print(f"{len(contracts)} contract(s) are valid.")


async def _apply(options: argparse.Namespace, clients: _Clients) -> None:
    if options.based_on is not None and len(options.files) != 1:
        finding = Finding("--based-on", "needs exactly one FILE")
        raise FindingsError([finding])
    documents = _read_documents(options.files)
    results = await apply_contracts(
        clients.platform, documents, options.based_on, _print_result
    )
    await _wait_for_rollout(options, clients, max(item.version for item in results))


async def _delete(options: argparse.Namespace, clients: _Clients) -> None:
    result = await delete_contract(clients.platform, options.team)
    _print_result(result)
    await _wait_for_rollout(options, clients, result.version)


def _print_result(result: ContractResult) -> None:
    print(f"{result.team}: {result.outcome} (version {result.version})")
    for change in result.changes:
        print(f"  {change.show()}")


async def _zone_evacuate(options: argparse.Namespace, clients: _Clients) -> None:
    rows = await list_endpoints(clients.platform)
    zones = frozenset(row.zone for row in rows if row.state != "faulty")
    result = await evacuate_zone(clients.platform, options.zone, zones)
    await _report_zone(options, clients, result)


async def _zone_restore(options: argparse.Namespace, clients: _Clients) -> None:
    result = await restore_zone(clients.platform, options.zone)
    await _report_zone(options, clients, result)


async def _report_zone(
    options: argparse.Namespace, clients: _Clients, result: ZoneResult
) -> None:
    print(f"{result.zone}: {result.outcome} (version {result.version})")
    await _wait_for_rollout(options, clients, result.version, EVACUATION_KIND)


async def _zone_list(options: argparse.Namespace, clients: _Clients) -> None:
    rows = await list_zones(clients.platform, clients.http)
    print(format_json(rows) if options.json else format_table(rows))


async def _wait_for_rollout(
    options: argparse.Namespace,
    clients: _Clients,
    version: int,
    kind: str = CONTRACT_KIND,
) -> None:
    if options.no_wait:
        print("Written; not waiting for the routers.")
        return
    hint = "routers apply it once they reach the platform or a peer; see: fleet status"
    try:
        vms = await clients.platform.list_vms()
    except PlatformUnavailable as error:
        # The bare error would suggest that nothing was written.
        message = f"written, but the VM list can't be read ({error.message})"
        raise NotInForce(message, hint) from error
    rollout = await wait_for_rollout(
        clients.http, vms, version, options.wait_max_s, kind
    )
    if not rollout.is_complete:
        raise NotInForce(_describe_incomplete_rollout(rollout), hint)
    print(
        f"In force at {len(rollout.reached)} router(s) after {rollout.waited_s:.1f} s."
    )


def _describe_incomplete_rollout(rollout: RolloutStatus) -> str:
    if not (rollout.reached or rollout.behind or rollout.silent):
        return "written, but the VM list has no live router"
    total = len(rollout.reached) + len(rollout.behind) + len(rollout.silent)
    parts = [f"written, but in force at {len(rollout.reached)} of {total} routers"]
    if rollout.behind:
        parts.append(f"behind: {', '.join(rollout.behind)}")
    if rollout.silent:
        parts.append(f"no answer: {', '.join(rollout.silent)}")
    return "; ".join(parts)


async def _show(options: argparse.Namespace, clients: _Clients) -> None:
    contract = await get_contract(clients.platform, options.team)
    if options.json:
        print(format_json(contract))
        return
    print(format_json(contract.value))
    # On stderr, so that stdout can be saved as a contract file.
    print(f"version {contract.version}", file=sys.stderr)


async def _list(options: argparse.Namespace, clients: _Clients) -> None:
    contracts = await list_contracts(clients.platform)
    if options.json:
        print(format_json(contracts))
        return
    rows = [
        _ContractRow(
            item.name,
            item.version,
            *(item.value.get(field, "default") for field in _ContractRow._fields[2:]),
        )
        for item in contracts
    ]
    print(format_table(rows))


async def _fleet_status(options: argparse.Namespace, clients: _Clients) -> None:
    rows = await list_routers(clients.platform, clients.http)
    print(format_json(rows) if options.json else format_table(rows))


async def _endpoint_list(options: argparse.Namespace, clients: _Clients) -> None:
    rows = await list_endpoints(clients.platform)
    print(format_json(rows) if options.json else format_table(rows))


async def _explain(options: argparse.Namespace, clients: _Clients) -> None:
    router = options.router or await pick_router(clients.platform)
    query = {name: getattr(options, name) or "" for name in EXPLAIN_PARAMETERS}
    explanation = await fetch_home_explanation(clients.http, router, query)
    print(format_json(explanation) if options.json else format_explanation(explanation))
