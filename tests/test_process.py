"""Signals to a daemon during startup, serving and shutdown, as clients see them."""

import asyncio
import contextlib
import signal

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.edge import EdgeClient, EdgeFleet, make_route
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.held_process import PausedProcess
from tamarackrill.testing.platform import PlatformState, make_platform
from tamarackrill.testing.ports import find_free_port
from tamarackrill.testing.processes import FleetProcesses, wait_for
from tamarackrill.testing.worker import answer_ok

LOOKUP = make_route("/lookup/", "idempotent")
HUP, TERM = signal.SIGHUP, signal.SIGTERM
# Modules in import order.
BEFORE_LISTENING = ("tamarackrill.exceptions", "json", "socket")
WHILE_LOADING = ("asyncio", "absl", "tornado", "pycurl", "tamarackrill.router.edge_app")


@contextlib.asynccontextmanager
async def start_paused(step, folder):
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, LOOKUP)
        await fleet.add_worker("w1")
        router = EdgeProcess("router", "z", fleet.store_address, [], folder)
        process = PausedProcess(
            "tamarackrill.router.edge_daemon",
            [],
            router.environment,
            step,
            folder / "held.log",
        )
        try:
            await process.wait_paused()
            yield router.addresses.callers, process
        finally:
            process.close()


async def ask(address):
    client = await EdgeClient.connect(address)
    client.send("/lookup/a")
    return client


def is_valid_answer(answer):
    if answer.status == 503:
        return answer.is_whole and float(answer.headers["retry-after"]) > 0
    return answer.is_whole and answer.status == 200


@pytest.mark.parametrize("step", WHILE_LOADING)
@pytest.mark.parametrize("signals", [(HUP,), (HUP, HUP, HUP)])
def test_router_reloaded_during_startup_serves_connected_clients(
    step, signals, tmp_path
):
    # Guards against SIGHUP ending a router that already has client connections.
    async def act():
        async with start_paused(step, tmp_path) as (address, process):
            client = await ask(address)
            process.signal(*signals)
            process.release()
            answer = await client.read()
            client.close()
            process.signal(TERM)
            return answer, await process.wait_ended()

    answer, code = asyncio.run(act())
    assert is_valid_answer(answer)
    assert code == 0


@pytest.mark.parametrize("step", WHILE_LOADING)
@pytest.mark.parametrize("signals", [(TERM,), (HUP, TERM, TERM), (TERM, HUP)])
def test_router_stopped_during_startup_answers_connected_clients(
    step, signals, tmp_path
):
    # Guards against a router that exits during startup and resets connections, so that
    # clients don't learn that nothing has run.
    async def act():
        async with start_paused(step, tmp_path) as (address, process):
            client = await ask(address)
            process.signal(*signals)
            process.release()
            answer = await client.read()
            client.close()
            return answer, await process.wait_ended()

    answer, code = asyncio.run(act())
    assert is_valid_answer(answer)
    assert answer.headers["connection"] == "close"
    assert code == 0


@pytest.mark.parametrize("step", BEFORE_LISTENING)
def test_router_stopped_before_it_listens_exits_with_success(step, tmp_path):
    # Guards against a stop with a failure exit code, which leads to a restart.
    async def act():
        async with start_paused(step, tmp_path) as (_, process):
            process.signal(HUP, TERM)
            process.release()
            return await process.wait_ended()

    assert asyncio.run(act()) == 0


@pytest.mark.parametrize("signals", [(HUP,), (TERM,), (HUP, TERM, HUP, TERM)])
def test_draining_router_finishes_requests_despite_further_signals(signals, tmp_path):
    # Guards against a further signal that aborts requests being drained.
    async def act():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, LOOKUP)
            arrived, may_answer = asyncio.Event(), asyncio.Event()

            async def answer_late(request, writer):
                arrived.set()
                await may_answer.wait()
                await answer_ok(request, writer)

            await fleet.add_worker("w1", answer_late)
            router = EdgeProcess("router", "z", fleet.store_address, [], tmp_path)
            router.start()
            try:
                await router.wait_ready()
                client = await ask(router.addresses.callers)
                await arrived.wait()
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
async def start_paused_native(step, folder):
    state = PlatformState()
    server, platform = listen(make_platform(state))
    await state.write("contract", "t", NATIVE_CONTRACT)
    flags = ["--name=a", "--zone=z", f"--platform={platform}", "--log-format=json"]
    flags += [f"--port={find_free_port()}", "--peer-port=0"]
    process = PausedProcess(
        "tamarackrill.router.daemon",
        flags,
        {"TAMARACKRILL_PEER_KEYS": "a key that is long enough"},
        step,
        folder / "held.log",
    )
    try:
        await process.wait_paused()
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
def test_native_router_keeps_running_on_reload_signals(step, tmp_path):
    # Guards against SIGHUP ending the native daemon, during startup or later.
    async def act():
        async with start_paused_native(step, tmp_path) as (port, process):
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
def test_native_router_stopped_during_startup_exits_with_success(
    step, signals, tmp_path
):
    # Guards against a stop with a failure exit code, which leads to a restart.
    async def act():
        async with start_paused_native(step, tmp_path) as (_, process):
            process.signal(*signals)
            process.release()
            return await process.wait_ended()

    assert asyncio.run(act()) == 0


def has_configuration(router, version):
    status = router.status()
    return status["complete"]["contract"] >= version and status["endpoints"]


@pytest.mark.parametrize("signals", [(HUP,), (TERM,), (HUP, TERM, HUP, TERM)])
def test_draining_native_router_answers_despite_further_signals(signals, tmp_path):
    # Guards against a further signal that ends a router while it drains a request.
    async def act():
        with FleetProcesses() as fleet:
            service = fleet.add_service("s1")
            service.set_faults(hold=True)
            router = fleet.add_router("a")
            version = fleet.put_contract(NATIVE_CONTRACT)
            wait_for(
                lambda: has_configuration(router, version),
                "contract and worker are known",
            )
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
