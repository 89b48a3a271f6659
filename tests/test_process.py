"""Signals at each step of a daemon's life, as its callers see it."""

import asyncio
import contextlib
import signal

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.edge import EdgeClient, EdgeFleet, make_route
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.held_process import HeldProcess
from tamarackrill.testing.platform import PlatformState, make_platform
from tamarackrill.testing.ports import find_free_port
from tamarackrill.testing.processes import FleetProcesses, wait_for
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


NATIVE_CONTRACT = {
    "format": "tamarackrill/contract/v1",
    "team": "t",
    "key_hashes": [hash_key("k")],
    "models": ["m"],
    "services": ["s"],
}
NATIVE_REQUEST = (
    b"POST /services/s/look HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k\r\n"
    b"Content-Length: 2\r\n\r\n{}"
)
NATIVE_STEPS = ("tamarackrill.exceptions", "asyncio", "tornado", "pycurl")


@contextlib.asynccontextmanager
async def start_held_native(step, folder):
    state = PlatformState()
    server, platform = listen(make_platform(state))
    await state.write("contract", "t", NATIVE_CONTRACT)
    flags = ["--name=a", "--zone=z", f"--platform={platform}", "--log-format=json"]
    flags += [f"--port={find_free_port()}", "--peer-port=0"]
    process = HeldProcess(
        "tamarackrill.router.daemon",
        flags,
        {"TAMARACKRILL_PEER_KEYS": "a key that is long enough"},
        step,
        folder / "held.log",
    )
    try:
        await process.wait_held()
        yield flags[4].removeprefix("--port="), process
    finally:
        process.close()
        server.stop()
        await server.close_all_connections()


async def read_refusal(port, process):
    reader, writer = await asyncio.open_connection("127.0.0.1", int(port))
    writer.write(NATIVE_REQUEST)
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return head.decode()


@pytest.mark.parametrize("step", NATIVE_STEPS)
def test_native_router_runs_on_whatever_reloads_it_is_told(step, tmp_path):
    # Guards against SIGHUP ending the product's own daemon, at its start or later.
    async def act():
        async with start_held_native(step, tmp_path) as (port, process):
            process.signal(HUP, HUP)
            process.release()
            await process.wait_logged('"router_reload"')
            await process.wait_logged('"router_started"')
            process.signal(HUP)
            head = await read_refusal(port, process)
            process.signal(TERM)
            return head, await process.wait_ended()

    head, code = asyncio.run(act())
    assert head.startswith("HTTP/1.1 ")
    assert code == 0


@pytest.mark.parametrize("step", NATIVE_STEPS)
@pytest.mark.parametrize("signals", [(TERM,), (HUP, TERM, TERM), (TERM, HUP)])
def test_native_router_told_to_stop_while_it_starts_ends_as_stopped(
    step, signals, tmp_path
):
    # Guards against a stop that looks like a failure, and so is answered by a restart.
    async def act():
        async with start_held_native(step, tmp_path) as (_, process):
            process.signal(*signals)
            process.release()
            return await process.wait_ended()

    assert asyncio.run(act()) == 0


def knows(router, version):
    status = router.status()
    return status["complete"]["contract"] >= version and status["endpoints"]


@pytest.mark.parametrize("signals", [(HUP,), (TERM,), (HUP, TERM, HUP, TERM)])
def test_native_router_that_leaves_answers_its_caller_whatever_signals_come(
    signals, tmp_path
):
    # Guards against a second signal that ends a router under the call that it finishes.
    async def act():
        with FleetProcesses() as fleet:
            service = fleet.add_service("s1")
            service.set_faults(hold=True)
            router = fleet.add_router("a")
            version = fleet.put_contract(NATIVE_CONTRACT)
            wait_for(lambda: knows(router, version), "contract and worker are known")
            host, _, port = router.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(NATIVE_REQUEST)
            wait_for(lambda: service.look()["total"], "the call has arrived")
            router.send(TERM)
            router.wait_line(" router_leaving ")
            for number in signals:
                router.send(number)
            service.set_faults()
            answer = await reader.read()
            writer.close()
            router.wait_line(" router_stopped ")
            for number in signals:
                router.send(number)
            return answer.decode(), router.wait()

    answer, code = asyncio.run(act())
    assert answer.startswith("HTTP/1.1 200 ")
    assert code == 0
