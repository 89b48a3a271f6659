"""Randomized soak test of streams over two software versions, and of broken-off ones.

``python -m soak.versions --seed 1 --seeds 50`` runs seeds one after the other, with the
router processes and faults of `soak.run`.  Workers of two versions serve streams and
replace each other; answers have any framing, and some break off wherever their router
can tell.  Callers take streams up at any router, as often as it takes, and check the
ids, texts and versions of all events.
"""

import asyncio
import random
import re
import signal
import sys
from datetime import datetime
from pathlib import Path
from typing import Literal, NamedTuple

from soak.callers import CONNECTION_ERRORS, Caller
from soak.command import run_logged_seeds
from soak.faults import Proxy
from soak.run import TWO_ZONES, FaultInjector, Soak, report
from tamarackrill.router.sockets import reset_on_close
from tamarackrill.testing.edge import EdgeAnswer, EdgeClient, EdgeFleet
from tamarackrill.testing.worker import (
    Behave,
    Framing,
    WorkerRequest,
    answer_ok,
    make_answer,
    make_chunk,
    reset_connection,
)

VERSIONS = ("v1", "v2")
WRITERS_PER_VERSION = 3
STREAMS_PER_CALLER = 3
EVENTS_MIN, EVENTS_MAX = 8, 60
EVENTS_DEFAULT = 8
EVENT_PAUSE_S = 0.02
SPLIT_SHARE = 0.2
BREAK_OFF_SHARE = 0.15
# Share of the attempts that a caller gives up, and after how long.
GIVE_UP_SHARE = 0.1
GIVE_UP_MAX_S = 1.0
ANSWER_MAX_S = 4.0
STREAM_MAX_S = 8.0
PAUSE_S = 0.15
DOWN_RANGE_S = (0.2, 2.0)
# How long a leaving worker serves on, and how long routers are replaced in turn.
LEAVE_RANGE_S = (0.3, 1.5)
TURN_MAX_S = 3.0
OUT_OF_STEP_RANGE_S = (0.5, 6.0)
RUN_MAX_S = 90.0
# Statuses of failures; 503 says that nothing has run, and when to come back.
UNAVAILABLE = 503
FAILURES = (502, UNAVAILABLE, 504)
Release = Literal["join", "at_once", "one_by_one", "leave"]
_EVENT = re.compile(rb"id: (\d+)\r?\ndata: (v\d) word-(\d+)(?:\r?\n){2}")


class Attempt(NamedTuple):
    """An attempt at a stream after event `last_id`; `answer` is None without one."""

    name: str
    sent_s: float
    last_id: int
    answer: EdgeAnswer | None

    @property
    def has_gone_on(self) -> bool:
        """Whether it took a stream up and was served."""
        return bool(self.last_id and self.answer and self.answer.status == 200)


class WorkerAnswer:
    """How a worker answered an attempt; `ended` is the last thing that it did."""

    def __init__(self, worker: str, framing: Framing, last_id: int) -> None:
        self.worker = worker
        self.framing = framing
        self.last_id = last_id
        self.sent_bytes = 0
        self.ended = "under way"
        self.at = datetime.now()

    def end(self, how: str) -> None:
        """Record how it ended."""
        self.ended, self.at = how, datetime.now()

    def __str__(self) -> str:
        return (
            f"{self.worker} after event {self.last_id}, framing {self.framing}, "
            f"{self.sent_bytes} bytes, {self.ended} at {self.at:%H:%M:%S.%f}"
        )


class Stream:
    """What a caller has of a stream of `events` events after its attempts.

    `version`, `first_name` and `first_s` are the software version of its first event,
    and the attempt that brought it; `faults` is what was wrong, by kind, and
    `short_name` the attempt that looked complete too early.
    """

    def __init__(self, events: int = EVENTS_DEFAULT) -> None:
        self.events = events
        self.attempts: list[Attempt] = []
        self.last_id = 0
        self.version = ""
        self.first_name = ""
        self.first_s = 0.0
        self.short_name = ""
        self.faults: dict[str, str] = {}

    def add(self, attempt: Attempt) -> None:
        """Add an attempt, and check its answer."""
        self.attempts.append(attempt)
        answer = attempt.answer
        if answer is None:
            return
        if answer.status != 200:
            is_proper = answer.status in FAILURES
            if answer.status == UNAVAILABLE:
                is_proper = find_wait_s(answer) > 0
            if not is_proper:
                self._note("refusal", f"{attempt.name} got {answer}")
            return
        self._add_events(attempt, answer)
        if answer.is_whole and self.last_id != self.events and not self.faults:
            self._note("short", f"{attempt.name} complete after {self.last_id}")
            self.short_name = attempt.name

    def _add_events(self, attempt: Attempt, answer: EdgeAnswer) -> None:
        end = 0
        for found in _EVENT.finditer(answer.body):
            number, version = int(found[1]), found[2].decode()
            is_first = not end
            if found.start() != end or int(found[3]) != number:
                self._note("text", f"{attempt.name} got {answer.body!r}")
            end = found.end()
            if number != self.last_id + 1:
                kind = "take-up" if is_first else "order"
                self._note(kind, f"{attempt.name}: {number} after {self.last_id}")
            if not self.version:
                self.version = version
                self.first_name, self.first_s = attempt.name, attempt.sent_s
            if version != self.version:
                kind = "joined" if is_first else "joined in an answer"
                self._note(kind, f"{attempt.name}: {version} after {self.version}")
                return
            self.last_id = number
        if end != len(answer.body):
            self._note("text", f"{attempt.name} got {answer.body!r}")

    def _note(self, kind: str, text: str) -> None:
        self.faults.setdefault(kind, f"{text} ({self.events} events)")


def find_wait_s(answer: EdgeAnswer) -> float:
    """Return how long an answer asks its client to wait."""
    return float(answer.headers.get("retry-after", 0))


def make_versioned_event(version: str, number: int) -> bytes:
    """Return an event that names its version and number."""
    return b"id: %d\ndata: %s word-%d\n\n" % (number, version.encode(), number)


def make_versioned(
    name: str,
    version: str,
    rng: random.Random,
    open_writers: set[asyncio.StreamWriter],
    answers: dict[str, list[WorkerAnswer]],
) -> Behave:
    """Return a behaviour that streams slowly, and breaks some of its answers off.

    `open_writers` holds the connections of the answers under way; `answers` gets how
    each one ended, by its attempt.
    """

    async def act(request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
        open_writers.add(writer)
        framing: Framing = rng.choice(("chunked", "close", "length"))
        last_id = int(request.headers.get("last-event-id", 0))
        answer = WorkerAnswer(name, framing, last_id)
        answers.setdefault(request.request_id, []).append(answer)
        try:
            await _write_stream(version, rng, request, writer, answer)
        except ConnectionError:
            # The router or the end of the worker has closed the connection.
            answer.end("lost")
        finally:
            open_writers.discard(writer)

    return act


async def _write_stream(
    version: str,
    rng: random.Random,
    request: WorkerRequest,
    writer: asyncio.StreamWriter,
    answer: WorkerAnswer,
) -> None:
    framing = answer.framing
    line_end = rng.choice((b"\n", b"\r\n"))
    start = answer.last_id + 1
    name = request.target.rpartition("/")[2]
    last = int(name) if name.isdigit() else EVENTS_DEFAULT
    events = [
        make_versioned_event(version, number).replace(b"\n", line_end)
        for number in range(start, last + 1)
    ]
    size = sum(map(len, events))
    is_cut = size > 0 and rng.random() < BREAK_OFF_SHARE
    left = rng.randrange(size) if is_cut else size
    headers = {"Content_Length": str(size) if framing == "length" else ""}
    if framing == "chunked":
        headers["Transfer_Encoding"] = "chunked"
    headers["Content_Type"] = "text/event-stream"
    writer.write(make_answer(request, b"", **headers))
    is_inside = False
    for event in events:
        sent, left = event[:left], left - len(event)
        is_inside = 0 < len(sent) < len(event)
        split = rng.randrange(len(event)) if rng.random() < SPLIT_SHARE else 0
        for piece in (sent[:split], sent[split:]):
            if piece:
                writer.write(make_chunk(piece) if framing == "chunked" else piece)
                answer.sent_bytes += len(piece)
                await asyncio.sleep(EVENT_PAUSE_S / 2)
        await asyncio.sleep(EVENT_PAUSE_S / 2)
        if left < 0 or writer.is_closing():
            break
    how = f"of {size} bytes, closing {writer.is_closing()}"
    if is_cut and not _can_tell(rng, framing, is_inside):
        answer.end(f"reset {how}")
        await reset_connection(writer)
        return
    answer.end(f"{'cut' if is_cut else 'ended'} {how}")
    # Something in front of a crashed worker may complete its frame.
    if framing == "chunked" and (not is_cut or (is_inside and rng.random() < 0.5)):
        writer.write(make_chunk(b""))
    elif framing == "close" or is_cut:
        await writer.drain()
        writer.close()


def _can_tell(rng: random.Random, framing: Framing, is_inside: bool) -> bool:
    """Return whether to end an answer in order; its router must see that it is cut."""
    return rng.random() < 0.7 and (framing != "close" or is_inside)


class StreamCaller(Caller):
    """Caller that also takes streams up; `streams` gets what it has of each."""

    streams: list[Stream]
    name: str
    addresses: list[str]
    rng: random.Random

    async def run(self, until_s: float) -> None:
        """Send requests and streams until the event loop's clock reaches a time."""
        streams = [
            self._run_streams(f"{self.name}-stream-{number}", until_s)
            for number in range(STREAMS_PER_CALLER)
        ]
        await asyncio.gather(super().run(until_s), *streams)

    async def _run_streams(self, name: str, until_s: float) -> None:
        number = 0
        while asyncio.get_running_loop().time() < until_s:
            number += 1
            stream = Stream(self.rng.randint(EVENTS_MIN, EVENTS_MAX))
            self.streams.append(stream)
            await self._follow(stream, f"{name}-{number}")

    async def _follow(self, stream: Stream, name: str) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + STREAM_MAX_S
        while loop.time() < until_s:
            attempt_name = f"{name}-{len(stream.attempts)}"
            sent_s, last_id = loop.time(), stream.last_id
            left_ms = 1 + int(1000 * (until_s - sent_s))
            headers = {"X_Deadline_Ms": str(left_ms)}
            if last_id:
                headers["Last_Event_Id"] = str(last_id)
                headers["Resumes"] = stream.first_name
            answer = await self._ask(f"/resumed/{stream.events}", attempt_name, headers)
            stream.add(Attempt(attempt_name, sent_s, last_id, answer))
            if stream.last_id >= stream.events or stream.faults:
                return
            wait_s = 0.0 if answer is None else find_wait_s(answer)
            pause_s = max(wait_s, self.rng.random() * PAUSE_S)
            await asyncio.sleep(min(pause_s, until_s - loop.time()))

    async def _ask(
        self, target: str, attempt_name: str, headers: dict[str, str]
    ) -> EdgeAnswer | None:
        wait_s = ANSWER_MAX_S
        if self.rng.random() < GIVE_UP_SHARE:
            wait_s = self.rng.random() * GIVE_UP_MAX_S
        client = None
        try:
            async with asyncio.timeout(wait_s):
                client = await EdgeClient.connect(self.rng.choice(self.addresses))
                # Another body for each stream, so that none is blamed for crashes of
                # workers that have run others.
                body = attempt_name.rpartition("-")[0].encode()
                client.send(target, attempt_name, body, **headers)
                return await client.read()
        except (TimeoutError, *CONNECTION_ERRORS):
            if client is None or not client.received:
                return None
            return EdgeAnswer(200, {}, client.received, False)
        finally:
            if client is not None:
                client.close()


class VersionSoak(Soak):
    """Soak test of one seed."""

    has_long_calls = False

    def __init__(self, seed: int, folder: Path) -> None:
        super().__init__(seed, folder, TWO_ZONES)
        self.streams: list[Stream] = []
        self._writers_added = 0
        self._answers: dict[str, list[WorkerAnswer]] = {}
        # When the processes of writers ended, and how many connections were reset.
        self._ends: dict[str, str] = {}
        self._open_writers: dict[str, set[asyncio.StreamWriter]] = {}
        self._releasing = asyncio.Lock()
        self._leaving: set[asyncio.Task[None]] = set()
        self._all_killed_s: list[float] = []
        self._ended: list[Proxy] = []
        # Versions that serve, from when on.
        self._served: list[tuple[float, set[str]]] = []

    async def run(self) -> list[str]:
        """Run the test, and return a description of each violated guarantee."""
        try:
            async with asyncio.timeout(RUN_MAX_S):
                return await super().run()
        finally:
            for proxy in self._ended:
                await proxy.stop()

    async def _start_workers(self, fleet: EdgeFleet) -> None:
        for number in range(3):
            await self._add_worker(fleet, f"desk-{number}", "desk", answer_ok)
        # With one version at first, routers conclude it until the second one joins.
        count = self._rng.choice([1, len(VERSIONS)])
        for version in VERSIONS[:count]:
            await self._add_writers(fleet, version)

    async def _add_writers(
        self, fleet: EdgeFleet, version: str, count: int = WRITERS_PER_VERSION
    ) -> None:
        for _ in range(count):
            self._writers_added += 1
            name = f"writer-{self._writers_added}"
            self._open_writers[name] = set()
            writers = self._open_writers[name]
            behave = make_versioned(name, version, self._rng, writers, self._answers)
            await self._add_worker(fleet, name, "writer", behave, version)
        self._note_versions()

    def _note_versions(self) -> None:
        versions = {self._entries[name]["version"] for name in self._list_writers()}
        self._served.append((asyncio.get_running_loop().time(), versions))

    def _list_writers(self, other_than: str = "") -> list[str]:
        """Return the writers that aren't leaving, but those of a version."""
        return [
            name
            for name, spec in self._entries.items()
            if name in self._open_writers and spec["version"] != other_than
        ]

    def _make_caller(self, name: str, addresses: list[str]) -> Caller:
        caller = StreamCaller(name, addresses, self._rng, self.exchanges)
        caller.streams, caller.name = self.streams, name
        caller.addresses, caller.rng = addresses, self._rng
        return caller

    def _list_injectors(self) -> tuple[FaultInjector, ...]:
        return (
            self._fault_router,
            self._kill_routers,
            self._kill_routers,
            self._replace_routers,
            self._release,
            self._release,
            self._crash_writer,
            self._fault_worker_path,
            self._fault_store,
            self._lose_revisions,
            self._fault_peer_datagrams,
            self._partition_zone,
            self._release_out_of_step,
            self._release_out_of_step,
        )

    async def _kill_routers(self, fleet: EdgeFleet) -> None:
        """Kill all routers at once, or some; perhaps release while they are down."""
        count = self._rng.choice([2, 3, len(self._routers), len(self._routers)])
        killed = self._rng.sample(self._routers, count)
        down_s = self._rng.uniform(*DOWN_RANGE_S)
        self.faults.append(f"{count} routers killed for {down_s:.1f} s")
        for router in killed:
            router.kill()
        if count == len(self._routers):
            self._all_killed_s.append(asyncio.get_running_loop().time())
        tasks = [asyncio.sleep(down_s)]
        if self._rng.random() < 0.3:
            tasks.append(self._release(fleet))
        await asyncio.gather(*tasks)
        for router in killed:
            if not router.is_running:
                router.start()

    async def _replace_routers(self, fleet: EdgeFleet) -> None:
        """End routers in turn, each one when the one before is ready again."""
        number = self._rng.choice([signal.SIGTERM, signal.SIGKILL])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + TURN_MAX_S
        for router in self._rng.sample(self._routers, len(self._routers)):
            if loop.time() > until_s:
                return
            self.faults.append(f"{router.name} {number.name} in turn")
            if not await router.signal_listening(number):
                continue
            await router.wait_ended()
            if not router.is_running:
                router.start()
            await router.wait_ready()

    async def _release(self, fleet: EdgeFleet) -> None:
        """Let a version join or leave, in any order; versions come back later."""
        if self._releasing.locked():
            return
        async with self._releasing:
            version = self._rng.choice(VERSIONS)
            hows: list[Release] = ["join", "at_once", "one_by_one", "leave"]
            how = self._rng.choice(hows)
            others = self._list_writers(other_than=version)
            has_version = len(others) < len(self._list_writers())
            self.faults.append(f"{version} {how}")
            if how == "one_by_one":
                for name in others:
                    await self._add_writers(fleet, version, 1)
                    self._start_leaving(fleet, name)
                    await asyncio.sleep(self._rng.random() * 0.4)
            else:
                if not has_version:
                    await self._add_writers(fleet, version)
                for name in others if how != "join" else ():
                    self._start_leaving(fleet, name)

    async def _release_out_of_step(self, fleet: EdgeFleet) -> None:
        """Stop a router, or cut it off from the store, while versions change."""
        number = self._rng.randrange(len(self._routers))
        router, store = self._routers[number], self._store_proxies[number]
        is_stopped = self._rng.random() < 0.7
        seconds = self._rng.uniform(*OUT_OF_STEP_RANGE_S)
        how = "stopped" if is_stopped else "without the store"
        self.faults.append(f"{router.name} {how} for {seconds:.1f} s")
        if is_stopped:
            router.signal(signal.SIGSTOP)
        else:
            store.mode = "silence"
        release = self._release
        if len(self._served[-1][1]) == 1:
            release = self._add_missing
        try:
            await asyncio.gather(asyncio.sleep(seconds), release(fleet))
        finally:
            router.signal(signal.SIGCONT)
            store.mode = "pass"

    async def _add_missing(self, fleet: EdgeFleet) -> None:
        """Add writers of the versions that don't serve."""
        if self._releasing.locked():
            return
        async with self._releasing:
            for version in VERSIONS:
                if version not in self._served[-1][1]:
                    self.faults.append(f"{version} join")
                    await self._add_writers(fleet, version)

    async def _crash_writer(self, fleet: EdgeFleet) -> None:
        """Let a writer crash, and another one of any version take its place."""
        name = self._rng.choice(self._list_writers())
        version = self._rng.choice(VERSIONS)
        self.faults.append(f"{name} crashes, {version} in its place")
        await self._add_writers(fleet, version, 1)
        if self._entries.pop(name, None) is None:
            return
        await self._end(fleet, name)
        self._note_versions()
        await asyncio.sleep(self._rng.random() * 2)
        await fleet.store.write("servers", name, None)

    def _start_leaving(self, fleet: EdgeFleet, name: str) -> None:
        spec = self._entries.pop(name, None)
        if spec is None:
            # It has crashed meanwhile.
            return
        self._note_versions()
        task = asyncio.create_task(self._leave(fleet, name, spec))
        self._leaving.add(task)
        task.add_done_callback(self._leaving.discard)

    async def _leave(self, fleet: EdgeFleet, name: str, spec: dict) -> None:
        is_told = self._rng.random() < 0.7
        left = {**spec, "state": "draining"} if is_told else None
        await fleet.store.write("servers", name, left)
        await asyncio.sleep(self._rng.uniform(*LEAVE_RANGE_S))
        await self._end(fleet, name)
        await fleet.store.write("servers", name, None)

    async def _end(self, fleet: EdgeFleet, name: str) -> None:
        """End a writer's process, whatever it sends; some connections are reset."""
        worker = next(worker for worker in fleet.workers if worker.name == name)
        proxy = next(proxy for proxy in self._proxies if proxy.target == worker.address)
        self._proxies.remove(proxy)
        proxy.refuse()
        open_writers = self._open_writers[name]
        reset = [w for w in open_writers if self._rng.random() < 0.5]
        for writer in reset:
            reset_on_close(writer.get_extra_info("socket"))
        self._ends[name] = (
            f"{name} at {proxy.address} ended at {datetime.now():%H:%M:%S.%f} with "
            f"{len(open_writers)} answers, {len(reset)} of them reset"
        )
        await worker.crash()
        self._ended.append(proxy)

    async def _lose_revisions(self, fleet: EdgeFleet) -> None:
        """Restore the store; entries of writers that have ended are removed again."""
        self.faults.append("store restore")
        await self._restore_store(fleet)
        for item in fleet.store.state.list_kind("servers")[0]:
            if item.name not in self._entries:
                await fleet.store.write("servers", item.name, None)

    def _find_violations(self, fleet: EdgeFleet) -> list[str]:
        for item in self.exchanges:
            if item.target.startswith("/resumed/"):
                stream = Stream()
                stream.add(Attempt(item.request_id, item.sent_s, 0, item.response))
                self.streams.append(stream)
        faults = [fault for stream in self.streams for fault in stream.faults.items()]
        kinds = [kind for kind, _ in faults]
        takes = [a for s in self.streams for a in s.attempts if a.last_id and a.answer]
        begun = sum(bool(stream.version) for stream in self.streams)
        after = self._list_after_all_killed()
        print(
            f"  {sum(a.has_gone_on for a in takes)} of {len(takes)} taken up went on, "
            f"{begun} of {len(self.streams)} began, "
            f"{sum(a.has_gone_on for a in after)} of {len(after)} went on after all "
            f"routers were killed while both versions served, "
            f"faults: { {kind: kinds.count(kind) for kind in kinds} }"
        )
        for name in (s.short_name for s in self.streams if s.short_name):
            self._explain(name)
        return [f"{kind}: {text}" for kind, text in faults]

    def _explain(self, name: str) -> None:
        """Print what workers and routers did with an attempt that looked complete."""
        answers = self._answers.get(name, [])
        workers = {answer.worker for answer in answers}
        for line in [*answers, *(self._ends[w] for w in workers if w in self._ends)]:
            print(f"    {line}")
        for router in self._routers:
            for line in router.log_path.read_text(errors="replace").splitlines():
                # Lines of no request tell what routers saw of the endpoints' ends.
                is_near = '"request"' not in line and any(
                    f'"{worker}"' in line for worker in workers
                )
                if is_near or f'"{name}"' in line:
                    print(f"    {router.name}: {line}")

    def _list_after_all_killed(self) -> list[Attempt]:
        """Return the first answered attempts after all routers were killed.

        Only streams count whose version has served since, next to another one.
        """
        listed = []
        for killed_s in self._all_killed_s:
            for stream in self.streams:
                taken = next(
                    (a for a in stream.attempts if a.sent_s > killed_s and a.answer),
                    None,
                )
                if taken is None or not 0 < stream.first_s < killed_s:
                    continue
                if self._serve_both(killed_s, taken.sent_s):
                    listed.append(taken)
        return listed

    def _serve_both(self, from_s: float, until_s: float) -> bool:
        before = [versions for at_s, versions in self._served if at_s <= from_s][-1:]
        since = [v for at_s, v in self._served if from_s < at_s <= until_s]
        return all(len(versions) == len(VERSIONS) for versions in before + since)


def run_seed(seed: int, folder: Path) -> list[str]:
    """Run one seed, and return a description of each violated guarantee."""
    return report(seed, VersionSoak(seed, folder))


if __name__ == "__main__":
    sys.exit(run_logged_seeds("Soak test of streams over versions.", run_seed))
