"""What callers receive while a router is killed or frozen, by the load tool.

Three routers, three engines and two workers of a service, each its own process on
loopback.  The same calls are sent in each run, so that the runs differ by the fault.
``--page`` prints the table of docs/operations/load.md.
"""

import argparse
import asyncio
import json
import signal
from collections.abc import Callable
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient

from tamarackrill.contracts import CONTRACT_FORMAT, hash_key
from tamarackrill.load.calls import Target
from tamarackrill.load.plan import LoadShape, make_plan
from tamarackrill.load.results import LoadResults
from tamarackrill.load.runner import count_runs, run_plan
from tamarackrill.testing.processes import FleetProcesses, RouterProcess

SEED = 1
CALLS = 1500
DURATION_S = 12.0
FAULT_S = 4.0
FREEZE_S = 4.0
TIME_MAX_S = 90.0
TEAMS = tuple(f"team-{letter}" for letter in "abcdefgh")
CONCURRENCY = 100

COUNTS = (
    "answered",
    "refused",
    "lost",
    "late",
    "crossed",
    "runs_checked",
    "doubled",
    "resend_differs",
    "sent_again",
    "not_sent",
)


async def _do_nothing(router: RouterProcess) -> None:
    return None


async def _kill(router: RouterProcess) -> None:
    await asyncio.sleep(FAULT_S)
    router.kill()


async def _freeze(router: RouterProcess) -> None:
    await asyncio.sleep(FAULT_S)
    router.send(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    router.send(signal.SIGCONT)


FAULTS: dict[str, Callable[[RouterProcess], Any]] = {
    "none": _do_nothing,
    "killed": _kill,
    "frozen": _freeze,
}


def measure_fault(name: str) -> LoadResults:
    """Run the load while one of three routers meets a fault."""
    with FleetProcesses() as fleet:
        for number in range(3):
            fleet.add_engine(f"engine-{number}", "m", "--slots=32")
        services = tuple(
            fleet.add_service(f"worker-{number}", "desk", "--slots=32").address
            for number in range(2)
        )
        for team in TEAMS:
            fleet.put_contract(_make_contract(team))
        routers = [fleet.add_router(f"router-{number}") for number in range(3)]
        fleet.wait_ready()
        addresses = tuple(router.address for router in routers)
        return asyncio.run(_run(addresses, services, FAULTS[name], routers[1]))


async def _run(
    addresses: tuple[str, ...],
    services: tuple[str, ...],
    fault: Callable[[RouterProcess], Any],
    router: RouterProcess,
) -> LoadResults:
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=CONCURRENCY)
    target = Target(
        routers=addresses,
        keys={team: f"key-{team}" for team in TEAMS},
        model="m",
        lookup_service="desk",
        confirmation_service="desk",
        tokens=16,
        lookup_path="/stock",
        confirmation_path="/confirm",
        deadline_s=10.0,
        run="faults",
    )
    sessions = make_plan(SEED, TEAMS, LoadShape(CALLS, DURATION_S))
    task = asyncio.create_task(fault(router))
    results = await run_plan(client, target, sessions, TIME_MAX_S)
    await task
    results.add_run_counts(await count_runs(client, services, target.run))
    client.close()
    return results


def _make_contract(team: str) -> dict[str, Any]:
    return {
        "format": CONTRACT_FORMAT,
        "team": team,
        "key_hashes": [hash_key(f"key-{team}")],
        "models": ["m"],
        "services": ["desk"],
        "rate_per_s": 10_000,
        "rate_burst": 10_000,
        "in_flight_max": 10_000,
        "tokens_per_s": 10_000_000,
        "tokens_burst": 10_000_000,
        "non_idempotent": [
            {"service": "desk", "method": "POST", "path_prefix": "/confirm"}
        ],
    }


def _format_page(runs: dict[str, dict[str, Any]]) -> str:
    lines = ["| | " + " | ".join(runs) + " |", "| --- |" + " --- |" * len(runs)]
    for count in COUNTS:
        cells = " | ".join(str(run["counts"][count]) for run in runs.values())
        lines.append(f"| {count} | {cells} |")
    for what in ("refusals", "losses"):
        cells = " | ".join(_join(run[what]) for run in runs.values())
        lines.append(f"| {what} by reason | {cells} |")
    for measure in ("answer/lookup", "answer/chat", "answer/confirmation"):
        for quantile in ("p50", "p99", "p100"):
            cells = " | ".join(
                f"{run['times_s'].get(measure, {}).get(quantile, float('nan')):.3f}"
                for run in runs.values()
            )
            lines.append(f"| {measure} {quantile}, s | {cells} |")
    return "\n".join(lines)


def _join(reasons: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in reasons.items()) or "none"


def main() -> None:
    """Run all faults one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--page", action="store_true", help="print a table")
    options = parser.parse_args()
    runs = {name: measure_fault(name).to_dict() for name in FAULTS}
    print(_format_page(runs) if options.page else json.dumps(runs, indent=1))


if __name__ == "__main__":
    main()
