"""Randomized soak test of streams over two software versions, and of broken-off ones.

``python -m soak.versions --seed 1 --seeds 50`` runs seeds one after the other, with the
router processes and faults of `soak.run`.  Workers of two versions serve streams side
by side and change their version; half of the answers end with their connection, and
some inside an event.  Callers take streams up at any router, as often as it takes.
"""

import asyncio
import random
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

from soak.callers import ANSWER_MAX_S, CONNECTION_ERRORS, Caller
from soak.command import run_seeds
from soak.run import TWO_ZONES, FaultInjector, Soak, report
from tamarackrill.testing.edge import EdgeAnswer, EdgeClient, EdgeFleet
from tamarackrill.testing.worker import (
    Behave,
    WorkerRequest,
    answer_ok,
    frame_answer,
    make_chunk,
)

VERSIONS = ("v1", "v2")
WRITERS = 6
EVENTS = 8
EVENT_PAUSE_S = 0.02
BREAK_OFF_SHARE = 0.1
ATTEMPTS_MAX = 5


class Stream(NamedTuple):
    """What a caller has of a stream after all its attempts.

    Parameters
    ----------
    first_id : str
        The attempt that brought the first event.
    body : bytes
        All events.
    is_whole : bool
        Whether the last answer ended as complete.
    taken_up, went_on : int
        Attempts to take it up, and those that were answered.
    """

    first_id: str
    body: bytes
    is_whole: bool
    taken_up: int
    went_on: int


def make_versioned_event(version: str, number: int) -> bytes:
    """Return an event that names its version."""
    return b"id: %d\ndata: %s\n\n" % (number, version.encode())


def list_bodies() -> set[bytes]:
    """Return the bodies of whole streams."""
    return {
        b"".join(make_versioned_event(v, n) for n in range(1, EVENTS + 1))
        for v in VERSIONS
    }


def make_versioned(version: str, rng: random.Random) -> Behave:
    """Return a behaviour that streams slowly, and breaks some of its answers off."""

    async def act(request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
        is_chunked = rng.random() < 0.5
        last = EVENTS
        if rng.random() < BREAK_OFF_SHARE:
            last = rng.randrange(EVENTS)
        head = frame_answer(request, "close", b"", Content_Type="text/event-stream")
        if is_chunked:
            head = head[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
        frame = make_chunk if is_chunked else bytes
        writer.write(head)
        start = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(start, last + 1):
            writer.write(frame(make_versioned_event(version, number)))
            await asyncio.sleep(EVENT_PAUSE_S)
        if last < EVENTS:
            # Something in front of a crashed worker may complete its frame.
            writer.write(frame(make_versioned_event(version, last + 1)[:-1]))
        if is_chunked:
            writer.write(make_chunk(b""))
        else:
            await writer.drain()
            writer.close()

    return act


class StreamCaller(Caller):
    """Caller that also takes streams up; `streams` gets what it has of each."""

    streams: list[Stream]
    name: str
    addresses: list[str]
    rng: random.Random

    async def run(self, until_s: float) -> None:
        """Send requests and streams until the event loop's clock reaches a time."""
        await asyncio.gather(super().run(until_s), self._run_streams(until_s))

    async def _run_streams(self, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < until_s:
            number += 1
            self.streams.append(await self._follow(f"{self.name}-stream-{number}"))

    async def _follow(self, name: str) -> Stream:
        stream = Stream("", b"", False, 0, 0)
        for attempt in range(ATTEMPTS_MAX):
            request_id = f"{name}-{attempt}"
            headers = {}
            if stream.body:
                last_id = stream.body.count(b"id: ")
                headers = {"Last_Event_Id": str(last_id), "Resumes": stream.first_id}
                stream = stream._replace(taken_up=stream.taken_up + 1)
            answer = await self._ask(request_id, **headers)
            if answer is None or answer.status != 200:
                continue
            stream = stream._replace(
                first_id=stream.first_id or (request_id if answer.body else ""),
                body=stream.body + answer.body,
                is_whole=answer.is_whole,
                went_on=stream.went_on + bool(headers),
            )
            if answer.is_whole:
                break
        return stream

    async def _ask(self, request_id: str, **headers: str) -> EdgeAnswer | None:
        try:
            async with asyncio.timeout(ANSWER_MAX_S):
                client = await EdgeClient.connect(self.rng.choice(self.addresses))
                try:
                    client.send("/resumed/a", request_id, b"x", **headers)
                    return await client.read()
                finally:
                    client.close()
        except (TimeoutError, *CONNECTION_ERRORS):
            return None


class VersionSoak(Soak):
    """Soak test of one seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        super().__init__(seed, folder, TWO_ZONES)
        self.streams: list[Stream] = []
        self._replaced = 0

    async def _start_workers(self, fleet: EdgeFleet) -> None:
        for number in range(3):
            await self._add_worker(fleet, f"desk-{number}", "desk", answer_ok)
        for number in range(WRITERS):
            await self._add_writer(fleet, VERSIONS[number % 2])

    async def _add_writer(self, fleet: EdgeFleet, version: str) -> None:
        self._replaced += 1
        behave = make_versioned(version, self._rng)
        name = f"writer-{self._replaced}"
        await self._add_worker(fleet, name, "writer", behave, version)

    def _make_caller(self, name: str, addresses: list[str]) -> Caller:
        caller = StreamCaller(name, addresses, self._rng, self.exchanges)
        caller.streams, caller.name = self.streams, name
        caller.addresses, caller.rng = addresses, self._rng
        return caller

    def _list_injectors(self) -> tuple[FaultInjector, ...]:
        return (
            self._fault_router,
            self._fault_router,
            self._kill_several,
            self._replace_writer,
            self._fault_worker_path,
            self._fault_peer_datagrams,
            self._partition_zone,
        )

    async def _kill_several(self, fleet: EdgeFleet) -> None:
        """Kill some routers at once, perhaps all."""
        killed = self._rng.sample(
            self._routers, self._rng.randint(2, len(self._routers))
        )
        self.faults.append(f"{len(killed)} routers killed")
        for router in killed:
            router.kill()
        for router in killed:
            if not router.is_running:
                router.start()

    async def _replace_writer(self, fleet: EdgeFleet) -> None:
        """Let a writer leave and another one of any version take its place."""
        writers = [name for name in self._entries if name.startswith("writer")]
        name = self._rng.choice(writers)
        version = self._rng.choice(VERSIONS)
        self.faults.append(f"{name} replaced by {version}")
        await self._add_writer(fleet, version)
        spec = self._entries.pop(name)
        await fleet.store.write("servers", name, {**spec, "state": "draining"})
        await asyncio.sleep(1.0)
        await fleet.store.write("servers", name, None)

    def _find_violations(self, fleet: EdgeFleet) -> list[str]:
        bodies = list_bodies()
        violations = []
        for stream in self.streams:
            is_right = (
                stream.body in bodies
                if stream.is_whole
                else any(body.startswith(stream.body) for body in bodies)
            )
            if not is_right:
                violations.append(f"{stream.first_id} got {stream.body!r}")
        taken_up = sum(stream.taken_up for stream in self.streams)
        went_on = sum(stream.went_on for stream in self.streams)
        begun = [stream for stream in self.streams if stream.body]
        share = len(begun) / max(1, len(self.streams))
        print(f"  {went_on} of {taken_up} taken up went on, {share:.2f} began")
        return violations


def run_seed(seed: int) -> list[str]:
    """Run one seed, and return a description of each violated guarantee."""
    with tempfile.TemporaryDirectory() as name:
        return report(seed, VersionSoak(seed, Path(name)))


if __name__ == "__main__":
    sys.exit(run_seeds("Soak test of streams over versions.", run_seed))
