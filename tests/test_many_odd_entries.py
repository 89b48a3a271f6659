"""Routers with little memory beside thousands of odd objects that keep changing."""

import asyncio
import os
import resource
import subprocess
import sys
from pathlib import Path

from tamarackrill.testing.edge import EdgeFleet, ask, make_route

MEMORY_MAX_BYTES = 512 * 1024 * 1024
CHILD_MAX_S = 120.0
ENTRIES = 3000
CHANGES = 40
CHANGE_INTERVAL_S = 0.1
KINDS = ("servers", "evacuations", "config", "stream-versions", "stream-records")
PLACEHOLDER = "odd value %d"
# Bytes that the store has in place of a value.
SMALL = (
    b'"\x8f\x02\xfe"',
    b'"\\ud800"',
    b"7" * 5000,
    b"1e99999",
    b"-9223372036854775808",
    b"[" * 300 + b"]" * 300,
    b'"fe80::1%' + b"e" * 64 + b':80"',
    b'"127.0.0.1:70000"',
    b'{"a": 1, "a": 2}',
)
LARGE = (
    b"[" * 400_000 + b"]" * 400_000,
    b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    b"7" * 100_000,
    b'"' + b"x" * 300_000 + b'"',
    b"[" + b",".join([b"1"] * 60_000) + b"]",
    b"{" + b",".join(b'"%d": 1' % number for number in range(30_000)) + b"}",
)


async def follow_beside_odd_entries():
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, make_route("/a/", "idempotent"))
        await fleet.add_worker("sound")
        odd = [*SMALL, *LARGE]
        for number, text in enumerate(odd):
            fleet.store.substitutes[PLACEHOLDER % number] = text
        running = await fleet.add_router("running")
        fields = {"service": "desk", "zone": "z", "version": "v1", "slots": 6}
        fields |= {"state": "ready", "cold_remaining_ms": 0, "sequence": 1}

        async def write(kind, number, choice):
            spec = {**fields, "address": PLACEHOLDER % choice}
            await fleet.store.write(kind, f"odd-{number}", spec)

        for number in range(ENTRIES):
            kind = KINDS[number % len(KINDS)]
            await write(kind, number, number % len(SMALL))
        # All large ones in each kind, once.
        for kind in KINDS:
            for choice in range(len(SMALL), len(odd)):
                await write(kind, ENTRIES + choice, choice)
        later = await fleet.add_router("later")
        for change in range(CHANGES):
            await write("servers", change % 10, change % len(odd))
            for router in (running, later):
                assert (await ask(router, "/a/", f"id-{change}")).status == 200
            await asyncio.sleep(CHANGE_INTERVAL_S)
        await fleet.add_worker("valid")
        for router in (running, later):
            await fleet.wait(lambda r=router: r.view.find_endpoint("valid"))
            known = {endpoint.name for endpoint in router.view.list_endpoints()}
            assert known == {"sound", "valid"}


def run_limited():
    """Run in a process with a memory limit."""
    limits = (MEMORY_MAX_BYTES, MEMORY_MAX_BYTES)
    resource.setrlimit(resource.RLIMIT_AS, limits)
    asyncio.run(follow_beside_odd_entries())


def test_thousands_of_odd_objects_that_change_hide_no_valid_one():
    # Guards against a router that ends, starts without endpoints or stops following the
    # store beside many objects that can't be read.
    folder = str(Path(__file__).parent)
    path = os.pathsep.join([folder, *sys.path])
    ended = subprocess.run(
        [sys.executable, "-c", f"import {Path(__file__).stem} as m; m.run_limited()"],
        env={**os.environ, "PYTHONPATH": path},
        timeout=CHILD_MAX_S,
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == 0, ended.stderr[-3000:]
