"""Arguments of ``tamarackrill bench``, and the load run that they configure."""

import argparse
import asyncio
import sys
import uuid
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient

from tamarackrill.display import format_json
from tamarackrill.documents import read_document
from tamarackrill.exceptions import Finding, FindingsError, TamarackrillError
from tamarackrill.load.calls import Target
from tamarackrill.load.plan import LoadShape, make_plan
from tamarackrill.load.plot import write_plot
from tamarackrill.load.results import LoadResults
from tamarackrill.load.runner import count_runs, run_plan

CALLS_MAX = 1_000_000
CONCURRENCY_MAX = 2000


class AnswersFaulty(TamarackrillError):
    """An answer was lost, doubled, crossed or differed on a resend."""

    code = "answers_faulty"


def add_bench_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the load tool to a parser."""
    add = parser.add_argument
    add("--router", action="append", required=True, metavar="HOST:PORT", dest="routers")
    add("--keys", required=True, metavar="FILE", help='JSON: {"team": "key"}')
    add("--model", required=True, help="model that chats request")
    add("--lookup", required=True, metavar="SERVICE/PATH", help="target of GET lookups")
    add(
        "--confirmation",
        required=True,
        metavar="SERVICE/PATH",
        help="target of POST confirmations; non-idempotent by contract",
    )
    add(
        "--calls",
        type=int,
        default=1000,
        help="total number of calls (default: %(default)s)",
    )
    add(
        "--seconds",
        type=float,
        default=10.0,
        help="time over which sessions start (default: %(default)s)",
    )
    add(
        "--time-max-s", type=float, help="time limit of the run (default: seconds + 60)"
    )
    add(
        "--concurrency", type=int, default=200, help="maximum number of calls in flight"
    )
    add("--deadline-s", type=float, default=10.0, help="deadline of each call")
    add(
        "--chat-share",
        type=float,
        default=0.5,
        help="share of calls that are chat turns",
    )
    add(
        "--lookup-share",
        type=float,
        default=0.4,
        help="share of calls that are lookups",
    )
    add("--pause-s", type=float, default=0.5, help="median pause between turns")
    add("--tokens", type=int, default=16, help="tokens requested per chat turn")
    add("--seed", type=int, default=1, help="the same seed sends the same calls")
    add(
        "--count-runs",
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="service stand-in that reports how often it ran each key",
    )
    add(
        "--json",
        metavar="FILE",
        help="write the results as JSON to this file; - for stdout",
    )
    add("--plot", metavar="FILE", help="write a plot of the quantiles, as .svg or .png")


def run_bench(options: argparse.Namespace) -> None:
    """Run the load that the arguments describe and report the results.

    Raises
    ------
    FindingsError
        If arguments are invalid.
    AnswersFaulty
        If an answer was lost, doubled, crossed or differed on a resend.
    """
    findings = list(_check(options))
    if findings:
        raise FindingsError(findings)
    keys = read_document(options.keys).value
    results = asyncio.run(_run(options, keys))
    _report(options, results)
    if not results.is_clean:
        raise AnswersFaulty(
            "answers were lost, doubled, crossed or changed on resend; see the counts"
        )


def _check(options: argparse.Namespace) -> list[Finding]:
    shares = options.chat_share + options.lookup_share
    rules = (
        ("--calls", 1 <= options.calls <= CALLS_MAX, f"must be 1..{CALLS_MAX}"),
        (
            "--concurrency",
            1 <= options.concurrency <= CONCURRENCY_MAX,
            f"must be 1..{CONCURRENCY_MAX}",
        ),
        (
            "--seconds",
            0 < options.seconds <= 86_400,
            "must be above 0 and at most 86400 s",
        ),
        ("--deadline-s", options.deadline_s > 0, "must be above 0"),
        ("--tokens", options.tokens >= 1, "must be 1 or more"),
        (
            "--chat-share",
            min(options.chat_share, options.lookup_share) >= 0 and shares <= 1,
            "shares must not be negative or add up to more than 1",
        ),
        ("--lookup", "/" in options.lookup, "needs the form SERVICE/PATH"),
        ("--confirmation", "/" in options.confirmation, "needs the form SERVICE/PATH"),
    )
    return [Finding(flag, message) for flag, holds, message in rules if not holds]


async def _run(options: argparse.Namespace, keys: dict[str, str]) -> LoadResults:
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    client = AsyncHTTPClient(max_clients=options.concurrency)
    lookup_service, _, lookup_path = options.lookup.partition("/")
    confirmation_service, _, confirmation_path = options.confirmation.partition("/")
    target = Target(
        routers=tuple(options.routers),
        keys=keys,
        model=options.model,
        lookup_service=lookup_service,
        confirmation_service=confirmation_service,
        tokens=options.tokens,
        lookup_path=f"/{lookup_path}",
        confirmation_path=f"/{confirmation_path}",
        deadline_s=options.deadline_s,
        run=uuid.uuid4().hex[:8],
    )
    shape = LoadShape(
        options.calls,
        options.seconds,
        options.chat_share,
        options.lookup_share,
        options.pause_s,
    )
    sessions = make_plan(options.seed, tuple(keys), shape)
    time_max_s = options.time_max_s or options.seconds + 60
    try:
        results = await run_plan(client, target, sessions, time_max_s)
        if options.count_runs:
            services = tuple(options.count_runs)
            results.add_run_counts(await count_runs(client, services, target.run))
    finally:
        client.close()
    return results


def _report(options: argparse.Namespace, results: LoadResults) -> None:
    figures = results.to_dict()
    if options.json == "-":
        print(format_json(figures))
    else:
        print(_format_figures(figures))
    try:
        if options.json and options.json != "-":
            Path(options.json).write_text(format_json(figures) + "\n", "utf-8")
        if options.plot:
            write_plot(results, options.plot)
    except (OSError, ValueError) as error:
        print(f"Error: could not write the results: {error}", file=sys.stderr)


def _format_figures(figures: dict) -> str:
    lines = ["counts: " + _format_pairs(figures["counts"])]
    lines.append("refusals: " + (_format_pairs(figures["refusals"]) or "none"))
    lines.append("losses: " + (_format_pairs(figures["losses"]) or "none"))
    for label, times in figures["times_s"].items():
        shown = _format_pairs({name: f"{value:.4g}" for name, value in times.items()})
        lines.append(f"{label}, s: {shown}")
    return "\n".join(lines)


def _format_pairs(values: dict) -> str:
    return " ".join(f"{name}={value}" for name, value in values.items())
