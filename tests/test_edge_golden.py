"""Golden file test of a router process on the platform's interface.

``python tests/test_edge_golden.py`` regenerates the file.
"""

import asyncio
import re
import signal
import sys
import tempfile
from pathlib import Path

from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.worker import (
    answer_ok,
    in_turn,
    make_streaming,
    refuse_full,
)

GOLDEN = Path(__file__).parent / "golden" / "edge.txt"
ROUTES = (
    make_route("/lookup/", "idempotent"),
    make_route("/confirm/", "non_idempotent", attempts=1),
    make_route("/full/", "non_idempotent", attempts=1, service="full"),
    make_route("/draft/", "streaming", attempts=1, service="writer"),
    make_route("/resumed/", "streaming", stream_resume=True, service="crashing"),
)
SHOWN = ("content-type", "connection", "retry-after", "x-response-signature")


def show(title, answer):
    lines = [f"# {title}", f"{answer.status}{'' if answer.is_whole else ' (cut)'}"]
    for name in SHOWN:
        if name in answer.headers:
            value = answer.headers[name]
            lines.append(f"{name}: {'N' if name == 'retry-after' else value}")
    return "\n".join([*lines, answer.body.decode(), ""])


async def run_session(folder):
    shown = []
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, *ROUTES)
        desk = await fleet.add_worker("desk-1", answer_ok)
        await fleet.add_worker("full-1", refuse_full, service="full")
        await fleet.add_worker("writer-1", make_streaming(3), service="writer")
        crashing = in_turn(make_streaming(2, is_cut=True), make_streaming(4))
        for name in ("crashing-1", "crashing-2"):
            await fleet.add_worker(name, crashing, service="crashing")
        router = EdgeProcess("a", "z", fleet.store_address, [], folder)
        router.start()
        try:
            await router.wait_ready()
            address = router.addresses.callers
            for title, target in (
                ("a lookup", "/lookup/june"),
                ("a confirmation", "/confirm/17"),
                ("a confirmation that a full worker refused", "/full/18"),
                ("a stream", "/draft/menu"),
                ("a stream whose worker crashed in its third event", "/resumed/menu"),
                ("a route that there is not", "/nowhere/"),
            ):
                answer = await ask(address, target, f"id {title}", b"body")
                shown.append(show(title, answer))
            confirmations = [r.target for r in desk.requests]
            shown.append(f"# what the desk ran\n{' '.join(confirmations)}\n")
            router.signal(signal.SIGHUP)
            router.signal(signal.SIGTERM)
            code = await router.wait_ended()
        finally:
            router.kill()
    names = re.findall(r'"name": "(router_\w+)"', router.log_path.read_text())
    shown.append(f"# how the process ended\n{code} after {' '.join(names)}\n")
    return "\n".join(shown)


def test_session_with_a_router_process(tmp_path):
    assert asyncio.run(run_session(tmp_path)) == GOLDEN.read_text(encoding="utf-8")


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as name:
        GOLDEN.write_text(asyncio.run(run_session(Path(name))), encoding="utf-8")
    sys.exit(0)
