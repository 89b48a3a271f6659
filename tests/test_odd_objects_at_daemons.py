"""Router processes, running and starting, beside objects with odd values."""

import asyncio
import functools
import itertools
import re
import time
from pathlib import Path

from tamarackrill.contracts import hash_key
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.edge import EdgeFleet, ask, make_manifest, make_route
from tamarackrill.testing.edge_processes import EdgeProcess, choose_addresses
from tamarackrill.testing.platform import PlatformState, make_platform
from tamarackrill.testing.ports import find_free_port
from tamarackrill.testing.processes import RouterProcess, call
from tamarackrill.testing.service import ServiceState, make_service

MEMORY_MAX_MB = 300
CHANGE_MAX_S = 10.0
CHANGE_INTERVAL_S = 0.1
SHORT_BYTES = 100
PLACEHOLDER = "odd value %d"
VALUES = (
    b"[" * 400_000 + b"]" * 400_000,
    b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    b"7" * 100_000,
    b"1e99999",
    b"NaN",
    b"-9223372036854775808",
    b"18446744073709551616",
    b'"' + b"x" * 300_000 + b'"',
    b"[" + b",".join([b"1"] * 60_000) + b"]",
    b"{" + b",".join(b'"%d": 1' % number for number in range(30_000)) + b"}",
    b'{"a": 1, "a": 2}',
    b'"127.0.0.1:+80"',
    b'"127.0.0.1:8_0"',
    b'"127.0.0.1: 80"',
    b'"127.0.0.1:70000"',
    b'"[fe80::1%' + b"e" * 64 + b']:80"',
    b'"\\ud800"',
)
FAULTS = ("unexpected_error", "task_restarted", "task_failed", "Traceback")
LOOKUP = make_route("/lookup/", "idempotent")
ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    # An entry that can be read after all gets no requests.
    "state": "draining",
    "cold_remaining_ms": 0,
    "sequence": 1,
}
# Kind, name and value of objects; one field each is replaced by an odd value.
OBJECTS = (
    ("servers", "odd", ENTRY),
    ("evacuations", "odd", {"note": ""}),
    ("config", "other", make_manifest(9, LOOKUP)),
    ("stream-versions", "desk", {"versions": ["v1"], "era": 1, "writer": "w"}),
    ("stream-records", "odd", {"streams": {"v1": "AAAAAAAAAAE="}}),
)
KEY = "the-key"
CONTRACT = {"team": "t", "key_hashes": [hash_key(KEY)], "services": ["s"]}
NATIVE_OBJECTS = (
    ("endpoint", "odd", {"name": "odd", "kind": "service", "serves": ["s"]}),
    ("contract", "odd", {"team": "odd", "key_hashes": ["0" * 64]}),
    ("evacuation", "odd", {"note": ""}),
    ("lease", "engine-orders", {"holder": "r", "fence": 3, "renewal": 2}),
    ("claim", "0", {"claims": {"0" * 24: ["r/1/1", "claimed", 9.0]}}),
)


def read_peak_mb(pid):
    found = re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    return int(found[1]) // 1024


def replace_fields(objects):
    """Return objects, each with one field, or all of it, replaced by an odd value."""
    replaced = []
    for kind, name, value in objects:
        fields = [None, *value]
        for number in range(len(VALUES)):
            odd = PLACEHOLDER % number
            field = fields[number % len(fields)]
            spec = odd if field is None else {**value, field: odd}
            replaced.append((kind, f"{name}-{number}" if number else name, spec))
    return replaced


async def wait_until(condition, limit_s):
    """Return the time until a condition holds, at most the limit."""
    started_s = time.monotonic()
    async with asyncio.timeout(limit_s):
        while not await condition():
            await asyncio.sleep(0.05)
    return time.monotonic() - started_s


async def keep_changing(write, objects, end):
    """Write objects with short odd values ten times a second."""
    short = [n for n, text in enumerate(VALUES) if len(text) <= SHORT_BYTES]
    for number in itertools.count():
        if end.is_set():
            return
        kind, name, _ = objects[number % len(objects)]
        await write(kind, name, PLACEHOLDER % short[number % len(short)])
        await asyncio.sleep(CHANGE_INTERVAL_S)


def test_router_processes_follow_the_store_beside_odd_objects(tmp_path):
    # Guards against routers that end, start without endpoints, take much memory or stop
    # following the store beside objects of any kind that another program has written.
    async def run():
        port = find_free_port()
        processes = []

        def start(name):
            addresses = choose_addresses(f"127.0.0.{31 + len(processes)}", port)
            seeds = [process.addresses.peers for process in processes]
            process = EdgeProcess(
                name,
                "z",
                fleet.store_address,
                seeds,
                tmp_path,
                addresses=addresses,
                bounds={"evacuate_ms": 2000},
            )
            process.start()
            processes.append(process)
            return process

        async def is_served(path):
            async def ask_one(process):
                answer = await ask(process.addresses.callers, path, "id")
                return answer.status == 200

            return all([await ask_one(process) for process in processes])

        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, LOOKUP)
            await fleet.add_worker("sound")
            await start("running").wait_ready()
            for number, text in enumerate(VALUES):
                fleet.store.substitutes[PLACEHOLDER % number] = text
            objects = replace_fields(OBJECTS)
            for item in objects:
                await fleet.store.write(*item)
            end = asyncio.Event()
            changing = asyncio.create_task(
                keep_changing(fleet.store.write, objects, end)
            )
            await start("later").wait_ready()
            for version in (2, 3):
                path = f"/new-{version}/"
                await fleet.put_manifest(
                    version, LOOKUP, make_route(path, "idempotent")
                )
                await wait_until(functools.partial(is_served, path), CHANGE_MAX_S)
            end.set()
            await changing
            for process in processes:
                assert process.is_running
                assert read_peak_mb(process._process.pid) < MEMORY_MAX_MB
                process.kill()
                log = process.log_path.read_text()
                assert not [fault for fault in FAULTS if fault in log]

    asyncio.run(run())


def test_native_router_processes_follow_the_platform_beside_odd_objects():
    # Guards against the same on the product's own interface.
    async def run():
        state = PlatformState()
        platform, address = listen(make_platform(state))
        _, worker = listen(make_service(ServiceState("e1")))
        entry = {"kind": "service", "serves": ["s"], "zone": "z", "address": worker}
        await state.write("endpoint", "e1", {"name": "e1", **entry})
        await state.write("contract", "t", CONTRACT)
        processes = []

        async def start(name):
            process = await asyncio.to_thread(RouterProcess, name, "z", address)
            processes.append(process)

        async def is_served(service):
            headers = {"Authorization": f"Bearer {KEY}"}
            path = f"/services/{service}/look"
            for process in processes:
                found = await asyncio.to_thread(
                    call, process.address, path, headers=headers
                )
                if found.status != 200:
                    return False
            return True

        try:
            await start("running")
            for number, text in enumerate(VALUES):
                state.substitutes[PLACEHOLDER % number] = text
            objects = replace_fields(NATIVE_OBJECTS)
            for item in objects:
                await state.write(*item)
            end = asyncio.Event()
            changing = asyncio.create_task(keep_changing(state.write, objects, end))
            await start("later")
            await wait_until(functools.partial(is_served, "s"), CHANGE_MAX_S)
            serves = ["s", "new"]
            await state.write(
                "endpoint", "e1", {"name": "e1", **entry, "serves": serves}
            )
            await state.write("contract", "t", {**CONTRACT, "services": serves})
            await wait_until(functools.partial(is_served, "new"), CHANGE_MAX_S)
            end.set()
            await changing
            for process in processes:
                assert not process.is_ended()
                assert read_peak_mb(process.pid) < MEMORY_MAX_MB
                text = "\n".join(process.lines)
                assert not [fault for fault in FAULTS if fault in text]
        finally:
            for process in processes:
                process.close()
            platform.stop()

    asyncio.run(run())
