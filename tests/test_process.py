"""Signals at each step of a daemon's life, as its callers see it."""

import asyncio
import contextlib
import signal

import pytest

from tamarackrill.testing.edge import EdgeClient, EdgeFleet, make_route
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.held_process import HeldProcess
from tamarackrill.testing.worker import answer_ok

LOOKUP = make_route("/lookup/", "idempotent")
HUP, TERM = signal.SIGHUP, signal.SIGTERM
# Modules in the order in which they are loaded.
BEFORE_LISTENING = ("tamarackrill.exceptions", "json", "socket")
WHILE_LOADING = ("asyncio", "absl", "tornado", "pycurl", "tamarackrill.router.edge_app")


@contextlib.asynccontextmanager
async def start_held(step, folder):
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, LOOKUP)
        await fleet.add_worker("w1")
        router = EdgeProcess("router", "z", fleet.store_address, [], folder)
        process = HeldProcess(
            "tamarackrill.router.edge_daemon",
            [],
            router.environment,
            step,
            folder / "held.log",
        )
        try:
            await process.wait_held()
            yield router.addresses.callers, process
        finally:
            process.close()


async def ask(address):
    client = await EdgeClient.connect(address)
    client.send("/lookup/a")
    return client


def is_true_answer(answer):
    if answer.status == 503:
        return answer.is_whole and float(answer.headers["retry-after"]) > 0
    return answer.is_whole and answer.status == 200


@pytest.mark.parametrize("step", WHILE_LOADING)
@pytest.mark.parametrize("signals", [(HUP,), (HUP, HUP, HUP)])
def test_router_told_to_reload_while_it_starts_serves_who_has_connected(
    step, signals, tmp_path
):
    # Guards against SIGHUP ending a router under its first callers.
    async def act():
        async with start_held(step, tmp_path) as (address, process):
            client = await ask(address)
            process.signal(*signals)
            process.release()
            answer = await client.read()
            client.close()
            process.signal(TERM)
            return answer, await process.wait_ended()

    answer, code = asyncio.run(act())
    assert is_true_answer(answer)
    assert code == 0


@pytest.mark.parametrize("step", WHILE_LOADING)
@pytest.mark.parametrize("signals", [(TERM,), (HUP, TERM, TERM), (TERM, HUP)])
def test_router_told_to_stop_while_it_starts_answers_who_has_connected(
    step, signals, tmp_path
):
    # Guards against callers whose connections are reset by a router that ends without
    # having told them that nothing has run.
    async def act():
        async with start_held(step, tmp_path) as (address, process):
            client = await ask(address)
            process.signal(*signals)
            process.release()
            answer = await client.read()
            client.close()
            return answer, await process.wait_ended()

    answer, code = asyncio.run(act())
    assert is_true_answer(answer)
    assert answer.headers["connection"] == "close"
    assert code == 0


@pytest.mark.parametrize("step", BEFORE_LISTENING)
def test_router_told_to_stop_before_it_listens_ends_as_stopped(step, tmp_path):
    # Guards against a stop that looks like a failure, and so is answered by a restart.
    async def act():
        async with start_held(step, tmp_path) as (_, process):
            process.signal(HUP, TERM)
            process.release()
            return await process.wait_ended()

    assert asyncio.run(act()) == 0


@pytest.mark.parametrize("signals", [(HUP,), (TERM,), (HUP, TERM, HUP, TERM)])
def test_router_that_leaves_finishes_its_work_whatever_signals_come(signals, tmp_path):
    # Guards against a second signal that cuts what the first one lets end.
    async def act():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, LOOKUP)
            came, may_answer = asyncio.Event(), asyncio.Event()

            async def answer_late(request, writer):
                came.set()
                await may_answer.wait()
                await answer_ok(request, writer)

            await fleet.add_worker("w1", answer_late)
            router = EdgeProcess("router", "z", fleet.store_address, [], tmp_path)
            router.start()
            try:
                await router.wait_ready()
                client = await ask(router.addresses.callers)
                await came.wait()
                router.signal(TERM)
                await router.wait_logged('"router_leaving"')
                for number in signals:
                    router.signal(number)
                may_answer.set()
                answer = await client.read()
                client.close()
                await router.wait_logged('"router_stopped"')
                for number in signals:
                    router.signal(number)
                return answer, await router.wait_ended()
            finally:
                router.kill()

    answer, code = asyncio.run(act())
    assert (answer.status, answer.is_whole) == (200, True)
    assert code == 0
