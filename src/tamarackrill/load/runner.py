"""Runs a plan against routers, bounded in calls and in time."""

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
    """Send all calls of a plan and judge what came back.

    Parameters
    ----------
    client : tornado.httpclient.AsyncHTTPClient
        Bounds the calls in flight; not owned.
    target : Target
        Where calls go.
    sessions : list of Session
        The plan.
    time_max_s : float
        Calls that are not over by then count as lost, with the reason "run ended".

    Returns
    -------
    Judgement
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
    """Return how often the service stand-ins ran each key of a run.

    Parameters
    ----------
    client : tornado.httpclient.AsyncHTTPClient
        Not owned.
    services : tuple of str
        ``host:port`` of each worker; the stand-ins tell what they ran.
    run : str
        Identity of the run.
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
        # The routers are taken in turn, as a balancer without affinity does.
        router = number + turn
        first = await send_call(client, target, session, turn, router, due_s)
        results.add(first)
        if call.resend:
            await _resend(client, target, session, turn, router + 1, first, results)
        if first.outcome != "answered":
            # The rest of the chat would only meet refusals of its order.
            _drop_rest(session, turn + 1, results)
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


def _drop_rest(session: Session, count: int, results: LoadResults) -> None:
    dropped = len(session.calls) - count
    results.counts["calls"] += dropped
    results.counts["not_sent"] += dropped
