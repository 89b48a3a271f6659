"""Ways to know the versions of streams after all routers that knew them have ended.

Run ``python bench/stream_recovery.py``.  For fleets of 8, 60 and 370 routers it plays
the same days, streams and seed for each way, in simulated time, and prints the shares
of the streams taken up that go on, those joined from two versions, and the costs.  The
larger fleets play one stream of 3 and of 100; streams and bytes are scaled up.
"""

import heapq
import itertools
import json
import math
import random
import statistics
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any, NamedTuple

from tamarackrill.decisions.hashing import hash_name
from tamarackrill.decisions.stream_archive import (
    WRITE_INTERVAL_MIN_S,
    ArchiveBuffer,
    choose_archiver,
    find_write_interval_s,
    format_streams,
)
from tamarackrill.decisions.stream_versions import (
    KEEPERS,
    KeeperReply,
    Router,
    StreamRecord,
    StreamVersions,
    choose_asked,
    choose_keepers,
    conclude,
    identify_stream,
)
from tamarackrill.decisions.version_records import (
    FIRST_ERA,
    RECORDER_DELAY_S,
    VersionRecord,
    find_recorder_rank,
    update_record,
)
from tamarackrill.protocol.owner_codec import (
    VersionQuestion,
    VersionReply,
    encode_owner_message,
)
from tamarackrill.router.version_store import (
    FIRST_RETRY_S,
    READ_INTERVAL_MAX_S,
    READ_INTERVAL_S,
    READ_WAIT_S,
    RETRY_S,
)

SEED = 7
SERVICE = "desk"
TIMEOUT_S, DOWN_S, TICK_S = 15.0, 2.0, 0.25
RETRY_AFTER_S, TRIES = 0.5, 3
KILL_S, PLAY_S = 20.0, 26.0
# Archivers write at the same moments, so that it matters when the routers are killed.
LATER = (0.0, 0.25, 0.5, 0.75)
# Days whose costs are counted, from WARM_S on for a minute.
MINUTE_KILL_S, WARM_S, MINUTE_S = 45.0, 5.0, 65.0
NEAR_MS, ACROSS_MS, STORE_MS, SILENT_MS = 1.0, 2.0, 4.0, 40.0
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
EMPTY_BYTES = len(json.dumps({"streams": {"v1": "", "v2": ""}}))
_MANY = [StreamRecord(number, "v1") for number in range(1_200)]
STREAM_BYTES = len(json.dumps(format_streams(_MANY))) / len(_MANY)
UDP_HEADER_BYTES = 28
_NUMBER = identify_stream("attempt")
RECORD_BYTES, QUESTION_BYTES, REPLY_BYTES = (
    UDP_HEADER_BYTES + len(encode_owner_message(message, ("key",)))
    for message in (
        StreamRecord(_NUMBER, "v1", must_archive=True),
        VersionQuestion(1 << 47, _NUMBER, SERVICE),
        VersionReply(1 << 47, "v1", ["v1", "v2"], True),
    )
)
# Assumed: a report of runs, and runs that an endpoint has given up.
PROBE_BYTES = 2_200
GONE_SHARE, GONE_AFTER_S = 0.5, 0.5


class Fleet(NamedTuple):
    """Routers, zones, streams that begin, one in how many is played, and endpoints."""

    routers: int
    zones: int
    streams_per_s: float
    thin: int
    endpoints: int


FLEETS = (
    Fleet(8, 4, 20.0, 1, 6),
    Fleet(60, 6, 150.0, 3, 20),
    Fleet(370, 8, 6500.0, 100, 34),
)


class Day(NamedTuple):
    """What happens.

    `find_share` returns the share of the first version, `s` seconds after the kill.
    """

    name: str
    find_share: Callable[[float], float]
    has_costs: bool = False
    turns: str = ""
    silence_s: tuple[float, float] = (math.inf, math.inf)
    exceptions: float = 0.0


def replace_quickly(s: float) -> float:
    """Return the share of a version replaced in ten steps, 3.5 to 0.5 s before."""
    return 1.0 - min(10, max(0, math.floor((s + 3.5) / 0.3))) / 10


DAYS = (
    Day("a half", lambda s: 0.5, has_costs=True),
    Day("a 1 to 5", lambda s: 1 / 6),
    Day("b replaced", replace_quickly),
    Day("c SIGTERM", lambda s: 0.5, turns="told"),
    Day("c killed", lambda s: 0.5, turns="killed"),
    Day("d left", lambda s: 0.5 if s <= 0 else 0.0),
    Day("e one", lambda s: 1.0, has_costs=True),
    Day("f silent", lambda s: 0.5, silence_s=(-1.0, DOWN_S + 3.0)),
    Day("g exceptions", lambda s: 0.5, exceptions=0.02),
)


class Stream(NamedTuple):
    """A stream; `position` is the hash of its attempt, between 0 and 1."""

    number: int
    begin_s: float
    duration_s: float
    version: str
    position: float
    is_exception: bool
    back_s: tuple[float, ...]
    picks: tuple[float, ...]
    is_gone: bool


class _Seen(NamedTuple):
    """What `observe_endpoints` reads of an endpoint."""

    software_version: str
    serves: tuple[str, ...] = (SERVICE,)


def find_times(day: Day) -> tuple[float, float]:
    """Return when routers are killed, and when a day ends."""
    return (MINUTE_KILL_S, MINUTE_S) if day.has_costs else (KILL_S, PLAY_S)


def make_streams(fleet: Fleet, day: Day, later_s: float = 0.0) -> list[Stream]:
    """Return the streams of a day."""
    kill_s, until_s = find_times(day)
    kill_s += later_s
    rng = random.Random(SEED)
    now_s = 0.0
    streams: list[Stream] = []
    while (
        now_s := now_s + rng.expovariate(fleet.streams_per_s / fleet.thin)
    ) < until_s:
        attempt = f"attempt-{len(streams)}"
        position = hash_name(f"position/{attempt}") / 2**64
        is_exception = rng.random() < day.exceptions
        drawn = rng.random() if is_exception else position
        streams.append(
            Stream(
                identify_stream(attempt),
                now_s,
                min(12.0, max(1.0, rng.lognormvariate(math.log(3.0), 0.7))),
                "v1" if drawn < day.find_share(now_s - kill_s) else "v2",
                position,
                is_exception,
                tuple(rng.uniform(0.005, 0.3) for _ in range(8)),
                tuple(rng.random() for _ in range(32)),
                rng.random() < GONE_SHARE,
            )
        )
    return streams


class Way(NamedTuple):
    """A way.

    `choose_told` returns the routers that are told a stream, `choose_writer` the one
    that writes it to the store, `find` its version, and how long that took, in ms.
    """

    name: str
    choose_told: Callable[[Stream, tuple[Router, ...], Router], list[str]]
    choose_writer: Callable[[Stream, tuple[Router, ...], Router], str]
    find: Callable[["Play", str, Stream], tuple[str | None, float]]
    has_records: bool = False
    has_shares: bool = False
    hands_on: bool = False
    retells: bool = True


class Play:
    """One day of one fleet, played for one way."""

    def __init__(
        self,
        way: Way,
        fleet: Fleet,
        day: Day,
        streams: list[Stream],
        later_s: float = 0.0,
    ) -> None:
        self.way, self.fleet, self.day = way, fleet, day
        self.now_s = 0.0
        kill_s, self.until_s = find_times(day)
        self.kill_s = kill_s + later_s
        self.routers = {
            f"r{n}": Router(f"r{n}", f"z{n % fleet.zones}")
            for n in range(fleet.routers)
        }
        self.known = tuple(self.routers.values())
        self.states: dict[str, StreamVersions] = {}
        self.streams = {stream.number: stream for stream in streams}
        self.under_way: dict[str, dict[int, float]] = defaultdict(dict)
        self.told: dict[int, tuple[str, ...]] = {}
        self.holders: dict[int, set[str]] = defaultdict(set)
        self.broken_s: dict[int, float] = {}
        self.left_s: dict[int, float] = {}
        self.takes: Counter[int] = Counter()
        first = VersionRecord(tuple(sorted(self.list_serving())), FIRST_ERA)
        self.record: VersionRecord | None = first
        self.due_s: dict[str, float] = {}
        self.shares = [(-math.inf, day.find_share(-100.0))]
        self.buffers: dict[str, ArchiveBuffer] = {}
        self.sessions: Counter[str] = Counter()
        self.writing: set[str] = set()
        self.archive: dict[tuple[str, int, int], tuple[StreamRecord, ...]] = {}
        self.sizes: dict[tuple[str, int, int], int] = {}
        self.next_read_s: dict[str, tuple[float, float]] = {}
        self.counts: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.reads: Counter[int] = Counter()
        self.waits_ms: list[float] = []
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()

    def at(self, time_s: float, act: Callable[..., None], *args: Any) -> None:
        """Call a function at a time."""
        heapq.heappush(self._events, (time_s, next(self._order), act, args))

    @property
    def is_silent(self) -> bool:
        """Whether the store is silent."""
        since_s, until_s = self.day.silence_s
        return since_s <= self.now_s - self.kill_s < until_s

    def list_serving(self) -> list[str]:
        """Return the versions that serve."""
        share = self.day.find_share(self.now_s - self.kill_s)
        return ["v1"] * (share > 0) + ["v2"] * (share < 1)

    def run(self) -> "Play":
        """Play the day."""
        for name in self.routers:
            self.start(name, -100.0)
        for stream in self.streams.values():
            self.at(stream.begin_s, self.begin, stream)
        for number in range(int(self.until_s / TICK_S)):
            self.at(number * TICK_S, self.tick)
        names = list(self.routers)
        size = max(1, len(names) // 20) if self.day.turns else len(names)
        for number, first in enumerate(range(0, len(names), size)):
            at_s = self.kill_s + 0.3 * number
            group = names[first : first + size]
            self.at(at_s, self.stop, group)
            self.at(at_s + DOWN_S, self.restart, group)
        while self._events and self._events[0][0] < self.until_s + 10.0:
            self.now_s, _, act, args = heapq.heappop(self._events)
            act(*args)
        return self

    def start(self, name: str, started_s: float) -> None:
        """Start a router with an empty memory."""
        state = self.states[name] = StreamVersions(started_s)
        self.sessions[name] += 1
        self.buffers[name] = ArchiveBuffer()
        self.writing.discard(name)
        self.next_read_s.pop(name, None)
        seen = [_Seen(version) for version in self.list_serving()]
        state.observe_endpoints(seen, TIMEOUT_S, self.now_s)  # type: ignore[arg-type]
        if self.way.has_records and started_s >= 0:
            self.read_record(name, self.sessions[name])

    def read_record(self, name: str, session: int) -> None:
        """Read the record of the service, and again while the store is silent."""
        if self.sessions[name] != session or name not in self.states:
            return
        self.count_call("reads", 100)
        if self.is_silent:
            self.at(self.now_s + RETRY_S, self.read_record, name, session)
        elif self.record is not None:
            is_complete = self.record.era == FIRST_ERA
            self.states[name].learn_record(
                SERVICE, self.record.versions, is_complete, self.now_s
            )

    def stop(self, group: list[str]) -> None:
        """Stop routers; those that are told to say so before."""
        if self.day.turns == "told":
            self.known = tuple(r for r in self.known if r.name not in group)
            self.observe_routers()
        for name in group:
            del self.states[name]
        for name in group:
            for number, end_s in self.under_way.pop(name, {}).items():
                self.broken_s[number] = self.now_s
                self.left_s[number] = end_s - self.now_s
                back_s = self.streams[number].back_s[self.takes[number] % 8]
                back_s += self.now_s if self.states else self.kill_s + DOWN_S
                self.at(back_s, self.take_up, self.streams[number], 1)

    def restart(self, group: list[str]) -> None:
        """Start routers again."""
        for name in group:
            self.start(name, self.now_s)
        if self.day.turns == "told":
            again = {*self.known, *(self.routers[name] for name in group)}
            self.known = tuple(r for r in self.routers.values() if r in again)
            self.observe_routers()
        elif self.way.hands_on:
            self.observe_routers()

    def observe_routers(self) -> None:
        """Tell streams anew after a change of the routers."""
        alive = {router.name for router in self.known}
        for name, state in self.states.items() if self.way.retells else ():
            for record in state.list_own():
                told = self.told.get(record.stream, ())
                if len(told) < KEEPERS or not alive >= {*told}:
                    self.tell(name, self.streams[record.stream])
        for number, holders in self.holders.items() if self.way.hands_on else ():
            for name in sorted(holders & self.states.keys()):
                self.hand_on(name, number)

    def hand_on(self, name: str, number: int) -> None:
        """Give a record to its present keepers, if they don't have it yet."""
        version = self.states[name].find(number)
        stream = self.streams[number]
        if version is None or stream.begin_s + TIMEOUT_S < self.now_s:
            return
        for keeper in choose_keepers(number, self.known, self.routers[name]):
            if keeper in self.states and self.states[keeper].find(number) is None:
                self.send(name, keeper, StreamRecord(number, version))

    def send(self, name: str, keeper: str, record: StreamRecord) -> None:
        """Send a record to a router."""
        self.count_bytes(name, keeper, RECORD_BYTES)
        if keeper in self.states:
            self.states[keeper].keep(record, self.now_s)
            self.holders[record.stream].add(keeper)

    @property
    def is_counted(self) -> bool:
        """Whether costs are counted now."""
        calm = self.day.find_share(0.0) == 1.0
        return WARM_S <= self.now_s < (self.kill_s if calm else MINUTE_S)

    def count_bytes(self, name: str, to: str, size: int) -> None:
        """Count a datagram with its headers."""
        if not self.is_counted or name == to:
            return
        size *= self.fleet.thin
        self.counts["sent"] += size
        if self.now_s < self.kill_s:
            self.sent[name] += size
            self.received[to] += size
        if self.routers[name].zone != self.routers[to].zone:
            self.counts["across"] += size

    def count_call(self, kind: str, size: int, calls: int = 1) -> None:
        """Count calls to the store."""
        if self.is_counted:
            self.counts[kind] += calls
            self.counts[f"{kind} bytes"] += size
        if kind == "reads":
            self.reads[int(self.now_s)] += calls

    def begin(self, stream: Stream) -> None:
        """Begin a stream at a router."""
        if self.states:
            self.place(self.pick(stream.picks[0]), stream, stream.duration_s)

    def pick(self, share: float) -> str:
        """Return a router that serves."""
        return list(self.states)[int(share * len(self.states))]

    def place(self, name: str, stream: Stream, left_s: float) -> None:
        """Begin a stream, or go on with it, at one router."""
        end_s = self.now_s + left_s
        self.under_way[name][stream.number] = end_s
        self.at(end_s, self.end, name, stream.number, end_s)
        self.holders[stream.number].add(name)
        if self.states[name].begin(stream.number, SERVICE, stream.version, self.now_s):
            self.tell(name, stream)

    def end(self, name: str, number: int, end_s: float) -> None:
        """End a stream, unless it has been broken off."""
        if self.under_way[name].get(number) == end_s:
            del self.under_way[name][number]
            self.states[name].end(number)

    def tell(self, name: str, stream: Stream) -> None:
        """Tell a stream to keepers and to the one that writes it."""
        own = self.routers[name]
        record = StreamRecord(stream.number, stream.version)
        writer = self.way.choose_writer(stream, self.known, own)
        names = dict.fromkeys(self.way.choose_told(stream, self.known, own))
        told = names | dict.fromkeys([writer] if writer else [])
        for keeper in told:
            if keeper != name:
                must = keeper == writer
                self.send(name, keeper, record._replace(must_archive=must))
        self.told[stream.number] = tuple(told)
        if writer in self.states:
            self.buffers[writer].add(record)
            if writer not in self.writing:
                self.writing.add(writer)
                self.write(writer, self.sessions[writer])

    def write(self, name: str, session: int) -> None:
        """Write a batch of streams."""
        if self.sessions[name] != session or name not in self.states:
            return
        buffer = self.buffers[name]
        # A thinned sample has fewer streams than there would be to write.
        if not buffer.has_unwritten and self.fleet.thin == 1:
            self.writing.discard(name)
            return
        interval_s = WRITE_INTERVAL_MIN_S
        if self.way.choose_writer is choose_archiver_of:
            interval_s = find_write_interval_s(self.known)
        if self.is_silent:
            self.count_call("writes", 0)
            self.at(self.now_s + max(interval_s, RETRY_S), self.write, name, session)
            return
        batch = buffer.take(self.now_s)
        key = (name, session, batch.segment)
        self.archive[key] = batch.records
        size = EMPTY_BYTES + round(STREAM_BYTES * len(batch.records) * self.fleet.thin)
        self.sizes[key] = size
        self.count_call("writes", size)
        largest = len(batch.records) * self.fleet.thin
        self.counts["largest"] = max(self.counts["largest"], largest)
        buffer.observe_written(batch, self.states[name].lifetime_s, self.now_s)
        self.at(self.now_s + interval_s, self.write, name, session)

    def read_streams(self, name: str) -> float:
        """Read what the store has, unless that was just done; return the time in ms."""
        next_s, interval_s = self.next_read_s.get(name, (0.0, READ_INTERVAL_S))
        if self.now_s < next_s:
            return 0.0
        if self.is_silent:
            self.count_call("reads", 0)
            self.next_read_s[name] = self.now_s + FIRST_RETRY_S, interval_s
            return READ_WAIT_S * 1000
        size = sum(self.sizes.values())
        pages = max(1, -(-len(self.archive) // PAGE_ITEMS), -(-size // PAGE_BYTES))
        self.count_call("reads", size, pages)
        self.counts["read bytes"] = max(self.counts["read bytes"], size)
        records = itertools.chain.from_iterable(self.archive.values())
        is_new = self.states[name].take_archived(records, self.now_s)
        longer_s = min(READ_INTERVAL_MAX_S, 2 * interval_s)
        interval_s = READ_INTERVAL_S if is_new else longer_s
        self.next_read_s[name] = self.now_s + interval_s, interval_s
        return STORE_MS * pages

    def tick(self) -> None:
        """Let routers see the endpoints, and write what the store has to know."""
        seen: Any = [_Seen(version) for version in self.list_serving()]
        for name, state in self.states.items():
            records = state.observe_endpoints(
                seen, TIMEOUT_S, self.now_s, not self.is_silent
            )
            for record in records:
                self.tell(name, self.streams[record.stream])
            if self.now_s % 1 == 0:
                state.expire(self.now_s)
        share = self.day.find_share(self.now_s - self.kill_s)
        is_written = self.way.has_shares and self.states and not self.is_silent
        if is_written and share != self.shares[-1][1]:
            self.shares.append((self.now_s, share))
            self.count_call("writes", 100)
        if self.way.has_records and not self.is_silent:
            for name in self.states:
                self.update_record(name)

    def update_record(self, name: str) -> None:
        """Write the record of the service if this router has to."""
        rank = self.find_rank(name)
        if rank is None:
            return
        state = self.states[name]
        args = SERVICE, state, FIRST_ERA, not self.is_silent, self.now_s
        wanted = update_record(self.record, *args)
        if wanted is None:
            self.due_s.pop(name, None)
            return
        due_s = self.now_s + rank * RECORDER_DELAY_S
        if self.now_s >= self.due_s.setdefault(name, due_s):
            self.record = wanted
            self.count_call("writes", 100)

    def find_rank(self, name: str) -> int | None:
        """Return the rank of a router among those that write records."""
        if not hasattr(self, "_ranks"):
            self._ranks = {n: find_recorder_rank(n, self.routers) for n in self.routers}
        return self._ranks[name]

    def ask(self, name: str, stream: Stream) -> tuple[list[KeeperReply], float]:
        """Return the replies of the keepers, and the time in ms."""
        own, state = self.routers[name], self.states[name]
        asked = choose_asked(stream.number, self.known, own)
        replies, knowing, wait_ms, silent = [], [], 0.0, 0
        for other in asked:
            self.count_bytes(name, other, QUESTION_BYTES)
            if other not in self.states:
                silent += 1
                continue
            known = self.states[other]
            versions = tuple(known.list_versions(SERVICE, self.now_s))
            reply = KeeperReply(
                known.find(stream.number) or "",
                versions,
                known.has_history(SERVICE, self.now_s),
            )
            self.count_bytes(other, name, REPLY_BYTES)
            is_near = self.routers[other].zone == own.zone
            trip_ms = NEAR_MS if is_near else ACROSS_MS
            wait_ms = max(wait_ms, trip_ms)
            knowing += [trip_ms] if reply.software_version else []
            replies.append(reply)
        if knowing:
            return replies, min(knowing)
        if not silent:
            return replies, wait_ms
        versions_here = state.list_versions(SERVICE, self.now_s)
        knows_all = state.has_history(SERVICE, self.now_s)
        is_enough = conclude(versions_here, knows_all, replies) is not None
        return replies, SILENT_MS if is_enough else 2 * SILENT_MS

    def take_up(self, stream: Stream, tries: int) -> None:
        """Let a client come back to a router."""
        if self.now_s >= stream.begin_s + TIMEOUT_S:
            return
        self.takes[stream.number] += 1
        name = self.pick(stream.picks[self.takes[stream.number] % len(stream.picks)])
        version, wait_ms = self.way.find(self, name, stream)
        serving = self.list_serving()
        if tries == 1:
            self.counts["taken up"] += 1
            self.counts["served"] += stream.version in serving
        if version in serving:
            self.waits_ms.append(wait_ms)
            if version == stream.version:
                self.counts["gone on"] += 1
                self.place(name, stream, self.left_s[stream.number])
            else:
                self.counts["mixed"] += 1
        elif version is None and tries < TRIES:
            self.at(self.now_s + RETRY_AFTER_S, self.take_up, stream, tries + 1)


def find_by_keepers(
    play: Play, name: str, stream: Stream, trusts: bool = False
) -> tuple[str | None, float]:
    """Return what keepers know, or the only version of a known history."""
    state = play.states[name]
    found = state.find(stream.number)
    if found is not None:
        return found, 0.0
    replies, wait_ms = play.ask(name, stream)
    state.learn(SERVICE, replies, play.now_s)
    versions = state.list_versions(SERVICE, play.now_s)
    knows_all = trusts or state.has_history(SERVICE, play.now_s)
    version = conclude(versions, knows_all, replies)
    if not replies and play.is_silent:
        version = None
    return version, wait_ms


def find_unchecked(play: Play, name: str, stream: Stream) -> tuple[str | None, float]:
    """Return what keepers know, or the only version that is seen."""
    return find_by_keepers(play, name, stream, trusts=True)


def find_archived(play: Play, name: str, stream: Stream) -> tuple[str | None, float]:
    """Return what keepers know, or the store."""
    version, wait_ms = find_by_keepers(play, name, stream)
    if version is not None:
        return version, wait_ms
    wait_ms += play.read_streams(name)
    return play.states[name].find(stream.number), wait_ms


def find_by_hash(play: Play, name: str, stream: Stream) -> tuple[str | None, float]:
    """Return what keepers know, or the version that the attempt's hash gives."""
    version, wait_ms = find_by_keepers(play, name, stream)
    if version is not None or not play.states[name].has_history(SERVICE, play.now_s):
        return version, wait_ms
    since_s = play.now_s - play.states[name].lifetime_s
    changes = [*play.shares, (math.inf, math.inf)]
    shares = [
        share
        for (_, share), (end_s, _) in itertools.pairwise(changes)
        if end_s > since_s
    ]
    shares.append(play.day.find_share(play.now_s - play.kill_s))
    if stream.position < min(shares):
        return "v1", wait_ms
    return "v2" if stream.position >= max(shares) else None, wait_ms


def find_at_workers(play: Play, name: str, stream: Stream) -> tuple[str | None, float]:
    """Return what keepers know, or the endpoint that has the run."""
    version, wait_ms = find_by_keepers(play, name, stream)
    if version is not None:
        return version, wait_ms
    if play.is_counted:
        size = PROBE_BYTES * play.fleet.endpoints * play.fleet.thin
        play.counts["sent"] += size
        play.counts["across"] += size * (play.fleet.zones - 1) // play.fleet.zones
    late = play.now_s - play.broken_s[stream.number] > GONE_AFTER_S
    is_gone = late and stream.is_gone or stream.version not in play.list_serving()
    return None if is_gone else stream.version, wait_ms + ACROSS_MS


def choose_told(stream: Stream, routers: tuple[Router, ...], own: Router) -> list[str]:
    """Return the keepers of a stream."""
    return choose_keepers(stream.number, routers, own)


def choose_told_exceptions(
    stream: Stream, routers: tuple[Router, ...], own: Router
) -> list[str]:
    """Return the keepers of a stream whose version its hash doesn't give."""
    return choose_told(stream, routers, own) if stream.is_exception else []


def choose_none(stream: Stream, routers: tuple[Router, ...], own: Router) -> str:
    """Return no router."""
    return ""


def choose_own(stream: Stream, routers: tuple[Router, ...], own: Router) -> str:
    """Return the router at which the stream begins."""
    return own.name


def choose_archiver_of(stream: Stream, routers: tuple[Router, ...], own: Router) -> str:
    """Return the archiver of a stream."""
    return choose_archiver(stream.number, routers, own)


WAYS = (
    Way("0 as before", choose_told, choose_none, find_unchecked, retells=False),
    Way("1 refuse", choose_told, choose_none, find_by_keepers),
    Way("2 versions in the store", choose_told, choose_none, find_by_keepers, True),
    Way("3 streams, each router", choose_told, choose_own, find_archived, True),
    Way("3' streams, archivers", choose_told, choose_archiver_of, find_archived, True),
    Way("4 hash", choose_told_exceptions, choose_none, find_by_hash, True, True),
    Way("5 hand on", choose_told, choose_none, find_by_keepers, hands_on=True),
    Way("6 ask workers", choose_told, choose_none, find_at_workers),
)


def describe(play: Play) -> str:
    """Return the shares that go on, of those whose version serves, and of all."""
    counts, thin = play.counts, play.fleet.thin
    of_served = counts["gone on"] / max(1, counts["served"])
    of_all = counts["gone on"] / max(1, counts["taken up"])
    mixed = f" **{counts['mixed'] * thin}**" if counts["mixed"] else ""
    return f"{of_served:.2f} {of_all:.2f}{mixed}"


def describe_costs(play: Play) -> str:
    """Return what a minute costs."""
    seconds = (play.kill_s if play.day.name == "e one" else MINUTE_S) - WARM_S
    counts, waits = play.counts, sorted(play.waits_ms) or [math.nan]
    sent = [play.sent[name] / (play.kill_s - WARM_S) for name in play.routers]
    received = max(play.received.values(), default=0) / (play.kill_s - WARM_S)
    figures = (
        f"{counts['writes'] / seconds:.2f}",
        f"{counts['reads'] / seconds:.2f}",
        str(max(play.reads.values(), default=0)),
        f"{counts['writes bytes'] / seconds / 1000:.1f}",
        f"{counts['read bytes'] / 1e6:.2f}",
        f"{statistics.mean(sent):.0f}, {received:.0f}",
        f"{counts['sent'] / seconds / len(sent):.0f}",
        f"{counts['across'] / seconds / 1000:.1f}",
        f"{statistics.median(waits):.0f}, {waits[int(len(waits) * 0.99)]:.0f}",
        str(counts["largest"]),
    )
    return " | ".join(figures)


def main() -> None:
    """Print the tables of each fleet."""
    for fleet in FLEETS:
        print(f"\n{fleet.routers} routers; go on of those whose version serves, of all")
        print("| way | " + " | ".join(day.name for day in DAYS) + " |")
        costs = []
        traces = {}
        for day in DAYS:
            traces[day.name] = make_streams(fleet, day)
        for way in WAYS:
            plays = [Play(way, fleet, day, traces[day.name]).run() for day in DAYS]
            print(
                f"| {way.name} | " + " | ".join(map(describe, plays)) + " |", flush=True
            )
            costs += [
                f"| {way.name}, {play.day.name} | {describe_costs(play)} |"
                for play in plays
                if play.day.has_costs
            ]
        taken = [play.counts["taken up"] * fleet.thin for play in plays]
        print(f"| taken up (last way) | {' | '.join(map(str, taken))} |")
        print(
            "| way | writes/s | reads/s | reads in the busiest second | KB/s written |"
            " MB in a read | bytes/s sent before the kill, the busiest receives |"
            " over the minute | KB/s between zones |"
            " added ms median, p99 | streams in the largest object |"
        )
        print("\n".join(costs), flush=True)
        interval_s = find_write_interval_s(plays[0].routers.values())
        for day in (DAYS[1], DAYS[2]):
            shares = []
            for later_s in (interval_s * share for share in LATER):
                streams = make_streams(fleet, day, later_s)
                shares.append(
                    describe(Play(WAYS[4], fleet, day, streams, later_s).run())
                )
            print(
                f"{WAYS[4].name}, {day.name}, killed later by {LATER} of an interval:"
            )
            print(" | ".join(shares), flush=True)


if __name__ == "__main__":
    main()
