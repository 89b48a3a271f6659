"""Runs a load plan against routers, with limits on concurrency and time."""

import asyncio
import json
import time

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from tamarackrill.load.calls import Target, send_call
from tamarackrill.load.plan import Session
from tamarackrill.load.results import CallResult, LoadResults

STATE_TIMEOUT_S = 5.0


async def run_plan(
    client: AsyncHTTPClient,
    target: Target,
    sessions: list[Session],
    time_max_s: float,
) -> LoadResults:
    """Send all calls of a plan and collect the results.

    Parameters
    ----------
    client : tornado.httpclient.AsyncHTTPClient
        HTTP client, which limits the calls in flight; the caller closes it.
    target : Target
        Routers to call, and what the calls contain.
    sessions : list of Session
        Sessions of the plan.
    time_max_s : float
        Time limit; calls unfinished by then count as lost, for the reason "run ended".

    Returns
    -------
    LoadResults
    """
    results = LoadResults()
    start_s = time.monotonic()
    tasks = [
        asyncio.create_task(
            _run_session(client, target, session, number, start_s, results)
        )
        for number, session in enumerate(sessions)
    ]
    _, unfinished = await asyncio.wait(tasks, timeout=time_max_s)
    for task in unfinished:
        task.cancel()
    task_results = await asyncio.gather(*tasks, return_exceptions=True)
    for task_result in task_results:
        if isinstance(task_result, Exception):
            raise task_result
    planned = sum(len(session.calls) for session in sessions)
    missing = planned - results.counts["calls"]
    if missing:
        results.counts["calls"] += missing
        results.counts["lost"] += missing
        results.losses["run ended"] += missing
    return results


async def count_runs(
    client: AsyncHTTPClient, services: tuple[str, ...], run: str
) -> dict[str, int]:
    """Return how often the service stand-ins ran each idempotency key of a run.

    Parameters
    ----------
    client : tornado.httpclient.AsyncHTTPClient
        HTTP client; the caller closes it.
    services : tuple of str
        ``host:port`` of each stand-in; those that do not answer are skipped.
    run : str
        Identifier of the run.
    """
    runs: dict[str, int] = {}
    for address in services:
        try:
            response = await client.fetch(
                f"http://{address}/admin/state", request_timeout=STATE_TIMEOUT_S
            )
        except (HTTPClientError, OSError):
            continue
        for key, count in json.loads(response.body)["arrivals"].items():
            if key.startswith(f"{run}-"):
                runs[key] = runs.get(key, 0) + count
    return runs


async def _run_session(
    client: AsyncHTTPClient,
    target: Target,
    session: Session,
    number: int,
    start_s: float,
    results: LoadResults,
) -> None:
    due_s = start_s + session.start_s
    for turn, call in enumerate(session.calls):
        due_s += call.pause_s
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        # Round-robin, as a load balancer without affinity does.
        router = number + turn
        first = await send_call(client, target, session, turn, router, due_s)
        results.add(first)
        if call.resend:
            await _resend(client, target, session, turn, router + 1, first, results)
        if first.outcome != "answered":
            # The rest of the chat would be refused for a gap in its sequence numbers.
            _skip_remaining_calls(session, turn + 1, results)
            return
        due_s = time.monotonic()


async def _resend(
    client: AsyncHTTPClient,
    target: Target,
    session: Session,
    turn: int,
    router: int,
    first: CallResult,
    results: LoadResults,
) -> None:
    now_s = time.monotonic()
    second = await send_call(client, target, session, turn, router, now_s)
    results.add_resend(first, second)


def _skip_remaining_calls(session: Session, count: int, results: LoadResults) -> None:
    skipped = len(session.calls) - count
    results.counts["calls"] += skipped
    results.counts["not_sent"] += skipped
