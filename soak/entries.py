"""Randomized soak test of the store's objects: replaced, unreadable, evacuated again.

``python -m soak.entries --seed 1 --seeds 50`` runs seeds one after the other.  To the
faults of ``soak.run`` come entries that are removed and written again at once, objects
of other programs that can't be read, also in place of the manifest, requests with odd
heads, zones that are evacuated twice, and workers whose events have no end.  Seeds
differ in the revision that the events of removals carry.

No router may log an error that no step declares, and at the end each router answers
each odd head.
"""

import asyncio
import itertools
import sys
import tempfile
from pathlib import Path

from soak.callers import Caller
from soak.command import run_seeds
from soak.run import (
    EVENTS,
    PAUSE_MAX_S,
    ROUTES,
    WORKER_ZONES,
    FaultInjector,
    Soak,
    Topology,
    report,
)
from tamarackrill.testing.edge import HOST, KEY, EdgeFleet, make_manifest
from tamarackrill.testing.object_store import RemovalRevision
from tamarackrill.testing.worker import (
    WorkerRequest,
    make_chunk,
    make_stream_head,
    make_streaming,
)

TOPOLOGY = Topology(("a", "a", "b", "b"), has_peer_faults=True, has_evacuations=True)
REPLACEMENTS_MAX = 3
# Bytes that stand in the store in place of a value.
UNREADABLE = (
    b'"\x8f\x02\xfe\x00\x1b"',
    b'"\\ud800"',
    b"7" * 5000,
    b"[" * 20000 + b"]" * 20000,
    b"NaN",
    b"1e999",
    b"1e99999",
    b"-9223372036854775808",
    b"[" * 100_000 + b"]" * 100_000,
    b'"' + b"x" * 300_000 + b'"',
    b'"127.0.0.1:70000"',
    b'"127.0.0.1:+80"',
    b'"fe80::1%' + b"e" * 64 + b':80"',
    b'"[fe80::1%' + b"e" * 64 + b']:80"',
    b'"::1:80"',
    b'{"a": 1, "a": 2}',
)
# Events that show an error which no step of the code declares.
UNDECLARED = ("unexpected_error", "task_restarted", "task_failed")
# Fields of heads, and bodies, with the statuses that answer them.
ODD_HEADS = (
    (b"X-Note: \xff\xe9\r\nContent-Length: 0\r\n\r\n", (200,)),
    (b"X-Prompt-Prefix: a:1e308,b:1e308,c:1\r\nContent-Length: 0\r\n\r\n", (200,)),
    (b"X-Deadline-Ms: " + b"9" * 5000 + b"\r\nContent-Length: 0\r\n\r\n", (200,)),
    (b"Content-Length: \xb2\r\n\r\n", (400,)),
    (b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n", (400,)),
    (b"X-Note: a\r\n b\r\nContent-Length: 0\r\n\r\n", (400,)),
    (b"X-Note: " + b"a" * 100_000 + b"\r\n\r\n", (431,)),
    (b"Transfer-Encoding: chunked\r\n\r\n2;a=" + b"b" * 100 + b"\r\nhi", (400,)),
)
ODD_ID = "odd"
ODD_TARGET = "/lookup/odd"
HEAD_MAX_S = 5.0
NAMES = ("import-%d", "import-\ud800%d", "import-\x02%d")
KINDS = ("servers", "evacuations", "config", "stream-versions", "stream-records")
PIECE = b"x" * 4096
PIECE_INTERVAL_S = 0.005
# Time for a worker that was ejected to be tried again, and to get a request.
USED_MAX_S = 15.0
USED_POLL_S = 0.5


async def _send_event_without_end(
    request: WorkerRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(make_stream_head(request))
    while not writer.transport.is_closing():
        writer.write(make_chunk(PIECE))
        await asyncio.sleep(PIECE_INTERVAL_S)


async def _ask_odd(address: str, rest: bytes, request_id: str) -> int:
    """Return the status of the answer to an odd head; 0 if there is none."""
    fields = {
        "Host": HOST,
        "X-Request-Attempt-Id": request_id,
        "X-Api-Key": KEY,
    }
    lines = [f"POST {ODD_TARGET} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(HEAD_MAX_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n" + rest)
            head = await reader.readuntil(b"\r\n\r\n")
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    writer.close()
    return int(head.split(b" ")[1])


class EntrySoak(Soak):
    """Soak test of one seed with faults of the store's objects."""

    def __init__(self, seed: int, folder: Path) -> None:
        super().__init__(seed, folder, TOPOLOGY)
        self._removal_revision = list(RemovalRevision)[seed % len(RemovalRevision)]
        self._imports = 0

    async def _start_workers(self, fleet: EdgeFleet) -> None:
        fleet.store.removal_revision = self._removal_revision
        await super()._start_workers(fleet)

    def _list_injectors(self) -> tuple[FaultInjector, ...]:
        return (
            *super()._list_injectors(),
            self._replace_entry,
            self._replace_entry,
            self._write_unreadable,
            self._write_unreadable_manifest,
            self._send_odd_head,
            self._evacuate_twice,
            self._start_endless_events,
        )

    async def _replace_entry(self, fleet: EdgeFleet) -> None:
        """Remove a worker's entry and write it again, up to three times."""
        name = self._rng.choice(list(self._entries))
        self.faults.append(f"entry of {name} replaced")
        for _ in range(self._rng.randint(1, REPLACEMENTS_MAX)):
            await fleet.store.write("servers", name, None)
            await asyncio.sleep(self._rng.choice([0.0, 0.1, PAUSE_MAX_S]))
            await fleet.store.write("servers", name, self._entries[name])

    async def _write_unreadable(self, fleet: EdgeFleet) -> None:
        """Write an object that can't be read; half of them are removed again."""
        self._imports += 1
        placeholder = f"bytes of import {self._imports}"
        fleet.store.substitutes[placeholder] = self._rng.choice(UNREADABLE)
        kind = self._rng.choice(KINDS)
        name = self._rng.choice(NAMES) % self._imports
        self.faults.append(f"unreadable object of {kind}")
        # Apart from its address, it resembles the entry of a worker.
        entry = self._rng.choice(list(self._entries.values()))
        spec = {**entry, "address": placeholder}
        await fleet.store.write(kind, name, spec)
        if self._rng.random() < 0.5:
            await asyncio.sleep(self._rng.random() * PAUSE_MAX_S)
            await fleet.store.write(kind, name, None)

    async def _write_unreadable_manifest(self, fleet: EdgeFleet) -> None:
        """Replace the manifest by one that can't be read, and write the next one."""
        placeholder = f"bytes of manifest {self._version}"
        fleet.store.substitutes[placeholder] = self._rng.choice(UNREADABLE)
        self.faults.append("unreadable manifest")
        odd = {**make_manifest(self._version), "routes": placeholder}
        await fleet.store.write("config", "main", odd)
        await asyncio.sleep(self._rng.random() * PAUSE_MAX_S)
        self._version += 1
        await fleet.put_manifest(self._version, *ROUTES)

    async def _send_odd_head(self, fleet: EdgeFleet) -> None:
        """Send a request with an odd head to a router, which may be about to end."""
        router = self._rng.choice(self._routers)
        rest, _ = self._rng.choice(ODD_HEADS)
        self.faults.append(f"odd head to {router.name}")
        await _ask_odd(router.addresses.callers, rest, ODD_ID)

    def _find_violations(self, fleet: EdgeFleet) -> list[str]:
        # Requests with odd heads come from no caller.
        for worker in fleet.workers:
            for requests in (worker.requests, worker.ran):
                requests[:] = [
                    r for r in requests if not r.request_id.startswith(ODD_ID)
                ]
        return super()._find_violations(fleet)

    async def _find_unanswered_heads(self) -> list[str]:
        """Return the odd heads that a router doesn't answer as it should."""
        found = []
        for router in self._routers:
            for number, (rest, statuses) in enumerate(ODD_HEADS):
                request_id = f"{ODD_ID}-{router.name}-{number}"
                status = await _ask_odd(router.addresses.callers, rest, request_id)
                # Endpoints may still be ejected, or evacuated.
                if status not in (*statuses, 503):
                    found.append(f"{router.name} answers {status} to {rest[:30]!r}")
        return found

    def _find_undeclared_errors(self) -> list[str]:
        """Return the lines of logs that show an undeclared error."""
        return [
            f"{router.name}: {line[:300]}"
            for router in self._routers
            for line in router.log_path.read_text().splitlines()
            if any(f'"{name}"' in line for name in UNDECLARED)
        ]

    async def _evacuate_twice(self, fleet: EdgeFleet) -> None:
        """Evacuate a zone, take it back, and evacuate it again at once."""
        await self._evacuate_zone(fleet)
        await self._evacuate_zone(fleet)

    async def _start_endless_events(self, fleet: EdgeFleet) -> None:
        """Let a worker begin an event that never ends in each stream for a while."""
        writers = [w for w in fleet.workers if w.name.startswith("writer")]
        worker = self._rng.choice(writers)
        self.faults.append(f"{worker.name} sends events without end")
        worker.behave = _send_event_without_end
        await asyncio.sleep(self._rng.random() * PAUSE_MAX_S)
        worker.behave = make_streaming(EVENTS)

    async def _check_evacuation(
        self, fleet: EdgeFleet, caller_tasks: list[asyncio.Task[None]]
    ) -> list[str]:
        """Check that all workers are used, and that second evacuations hold."""
        unused = await self._find_unused_workers(fleet)
        unused += await self._find_unanswered_heads()
        unused += self._find_undeclared_errors()
        for zone in WORKER_ZONES:
            await fleet.evacuate(zone)
            await asyncio.sleep(self._rng.random())
            await fleet.evacuate(zone, False)
        return unused + await super()._check_evacuation(fleet, caller_tasks)

    async def _find_unused_workers(self, fleet: EdgeFleet) -> list[str]:
        """Send requests until each worker has got one; report those that get none.

        Routers prefer workers of their own zones, so only these must get some.
        """
        loop = asyncio.get_running_loop()
        counts = {worker.name: len(worker.requests) for worker in fleet.workers}
        addresses = [router.addresses.callers for router in self._routers]
        unused: list[str] = []
        end_s = loop.time() + USED_MAX_S
        for number in itertools.count():
            if loop.time() >= end_s:
                break
            caller = Caller(f"check-{number}", addresses, self._rng, self.exchanges)
            await caller.run(loop.time() + USED_POLL_S)
            unused = [
                f"{worker.name} gets no request"
                for worker in fleet.workers
                if self._worker_zones[worker.name] in self._topology.zones
                and len(worker.requests) == counts[worker.name]
            ]
            if not unused:
                break
        return unused


def run_seed(seed: int, folder: Path | None = None) -> list[str]:
    """Run one seed, and return a description of each violated guarantee."""
    with tempfile.TemporaryDirectory() as name:
        return report(seed, EntrySoak(seed, folder or Path(name)))


if __name__ == "__main__":
    sys.exit(run_seeds(__doc__, run_seed))
