"""Ways to know the versions of streams after all routers that knew them have ended.

``python bench/stream_recovery.py [seed]`` plays the same days and streams for each way,
in simulated time, and prints the shares that go on, those joined from two versions, and
costs.  The larger fleets play one stream of 3 and of 100; figures are scaled up.
"""

import heapq
import itertools
import math
import random
import sys
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any, NamedTuple

from tamarackrill.decisions import (
    stream_archive,
    stream_versions,
    version_evidence,
    version_records,
)
from tamarackrill.decisions.hashing import hash_name
from tamarackrill.decisions.stream_archive import choose_archiver, find_write_interval_s
from tamarackrill.decisions.stream_versions import KeeperReply, Router, StreamRecord
from tamarackrill.decisions.version_evidence import StoreCheck
from tamarackrill.protocol import owner_codec
from tamarackrill.router.version_store import READ_INTERVAL_S, READ_WAIT_S

SERVICE, TIMEOUT_S, DOWN_S, TICK_S, NEWS_MAX_S = "desk", 15.0, 2.0, 0.25, 2.0
RETRY_AFTER_S, TRIES, PAGE_BYTES = 0.5, 3, 1_000_000
# Archivers write at the same moments, so that it matters when the routers are killed.
LATER = (0.0, 0.25, 0.5, 0.75)
# When routers are killed and a day ends; with costs these are of a minute from WARM_S.
SHORT_S, MINUTE_S, WARM_S = (20.0, 26.0), (45.0, 65.0), 5.0
NEAR_MS, ACROSS_MS, STORE_MS, SILENT_MS = 1.0, 2.0, 4.0, 40.0
STREAM_BYTES, EMPTY_BYTES = 32 / 3, len('{"streams": {"v1": "", "v2": ""}}')
UDP_HEADER_BYTES, NUMBER = 28, stream_versions.identify_stream("attempt")
RECORD_BYTES, QUESTION_BYTES, REPLY_BYTES = (
    UDP_HEADER_BYTES + len(owner_codec.encode_owner_message(message, ("key",)))
    for message in (
        StreamRecord(NUMBER, "v1", must_archive=True),
        owner_codec.VersionQuestion(1 << 47, NUMBER, SERVICE),
        owner_codec.VersionReply(1 << 47, "v1", ["v1", "v2"], True, True),
    )
)
COSTS = """way, day | writes/s | KB/s written | reads in the busiest second | MB read |
bytes/s sent before, received | over the minute | KB/s across | added ms median, p99"""
# Assumed: a report of runs, and runs that an endpoint has given up.
PROBE_BYTES, GONE_SHARE, GONE_AFTER_S = 2_200, 0.5, 0.5


class Fleet(NamedTuple):
    """A fleet; one in `thin` of its streams is played."""

    routers: int
    zones: int
    streams_per_s: float
    thin: int
    endpoints: int


FLEETS = Fleet(8, 4, 20, 1, 6), Fleet(60, 6, 150, 3, 20), Fleet(370, 8, 6500, 100, 34)


class Stream(NamedTuple):
    """A stream; `position` is the hash of its attempt, 0 to 1, `picks` are drawn."""

    number: int
    begin_s: float
    duration_s: float
    version: str
    position: float
    is_exception: bool
    picks: tuple[float, ...]


class _Seen(NamedTuple):
    software_version: str
    serves: tuple[str, ...]


# A version and how long it took to find, in ms.
Found = tuple[str | None, float]


class Day(NamedTuple):
    """What happens; `find_share` gives v1's share some seconds after the kill."""

    name: str
    find_share: Callable[[float], float] = lambda s: 0.5
    has_costs: bool = False
    turns: str = ""
    is_silent: bool = False
    exceptions: float = 0.0


DAYS = (
    Day("a half", has_costs=True),
    Day("a 1 to 5", lambda s: 1 / 6),
    # In ten steps, 3.5 to 0.5 s before the kill.
    Day("b replaced", lambda s: 1 - min(10, max(0, math.floor((s + 3.5) / 0.3))) / 10),
    Day("c SIGTERM", turns="told"),
    Day("c killed", turns="killed"),
    Day("d left", lambda s: 0.5 if s <= 0 else 0.0),
    Day("e one", lambda s: 1.0, has_costs=True),
    Day("f silent", is_silent=True),
    Day("g exceptions", exceptions=0.02),
)


class Way(NamedTuple):
    """A way: who writes a stream to the store, and how to find an unknown version."""

    name: str
    choose_writer: Callable[..., str] | None = None
    find: Callable[..., Any] | None = None
    has_records: bool = False
    is_before: bool = False
    has_hashes: bool = False
    hands_on: bool = False


def make_streams(fleet: Fleet, day: Day, seed: int, later_s: float) -> list[Stream]:
    """Return the streams of a day."""
    rng, streams, now_s = random.Random(seed), list[Stream](), 0.0
    kill_s, until_s = MINUTE_S if day.has_costs else SHORT_S
    gap_per_s = fleet.streams_per_s / fleet.thin
    while (now_s := now_s + rng.expovariate(gap_per_s)) < until_s:
        number = stream_versions.identify_stream(f"attempt-{seed}-{len(streams)}")
        duration_s = min(12.0, max(1.0, rng.lognormvariate(math.log(3.0), 0.7)))
        position = hash_name(f"position/{number}") / 2**64
        is_exception = rng.random() < day.exceptions
        drawn = rng.random() if is_exception else position
        version = "v1" if drawn < day.find_share(now_s - kill_s - later_s) else "v2"
        begun = number, now_s, duration_s, version, position, is_exception
        streams.append(Stream(*begun, tuple(rng.random() for _ in range(32))))
    return streams


class _Play:
    """One day of one fleet, played for one way."""

    def __init__(self, way, fleet, day, seed, later_s=0.0) -> None:
        self.way, self.fleet, self.day, self.now_s = way, fleet, day, 0.0
        self.kill_s, self.until_s = MINUTE_S if day.has_costs else SHORT_S
        self.kill_s += later_s
        zones = {f"r{n}": f"z{n % fleet.zones}" for n in range(fleet.routers)}
        self.routers = {name: Router(name, zone) for name, zone in zones.items()}
        self.known = tuple(self.routers.values())
        self.states, self.events, self.order = {}, [], itertools.count()
        self.streams = {s.number: s for s in make_streams(fleet, day, seed, later_s)}
        self.under_way, self.holders = defaultdict(dict), defaultdict(set)
        # Routers told of a stream, when it was broken off and what was left, attempts.
        self.told, self.broken, self.takes = {}, {}, Counter()
        versions = tuple(self.list_serving())
        self.record = version_records.VersionRecord(versions, version_records.FIRST_ERA)
        self.buffers, self.sessions, self.writing = {}, Counter(), set()
        self.archive, self.archived, self.read_s, self.serving = {}, None, {}, []
        self.counts, self.sent, self.received = Counter(), Counter(), Counter()
        self.reads, self.waits_ms = Counter(), []

    def at(self, time_s: float, act: Any, *args: Any) -> None:
        heapq.heappush(self.events, (time_s, next(self.order), act, args))

    def find_share(self) -> float:
        return self.day.find_share(self.now_s - self.kill_s)

    def is_silent(self) -> bool:
        return self.day.is_silent and -1 <= self.now_s - self.kill_s < DOWN_S + 3

    def list_serving(self) -> list[str]:
        return ["v1"] * (self.find_share() > 0) + ["v2"] * (self.find_share() < 1)

    def run(self) -> "_Play":
        self.start(names := list(self.routers), -100.0)
        for stream in self.streams.values():
            self.at(stream.begin_s, self.begin, stream)
        for number in range(int(self.until_s / TICK_S)):
            self.at(number * TICK_S, self.tick)
        size = max(1, len(names) // 20) if self.day.turns else len(names)
        for number, first in enumerate(range(0, len(names), size)):
            at_s, group = self.kill_s + 0.3 * number, names[first : first + size]
            self.at(at_s, self.stop, group)
            self.at(at_s + DOWN_S, self.restart, group)
        while self.events and self.events[0][0] < self.until_s + 10.0:
            self.now_s, _, act, args = heapq.heappop(self.events)
            act(*args)
        return self

    def start(self, names: list[str], started_s: float) -> None:
        for name in names:
            self.states[name] = stream_versions.StreamVersions(started_s)
            self.sessions[name] += 1
            self.buffers[name] = stream_archive.ArchiveBuffer()
            self.writing.discard((name, self.sessions[name] - 1))
            self.read_s.pop(name, None)
            self.observe_endpoints(name)
            if self.way.has_records and started_s >= 0:
                self.at(self.now_s + STORE_MS / 1000, self.read_record, name)

    def observe_endpoints(self, name: str) -> None:
        seen = [_Seen(version, (SERVICE,)) for version in self.list_serving()]
        for record in self.states[name].observe_endpoints(seen, TIMEOUT_S, self.now_s):
            self.tell(name, self.streams[record.stream])

    def read_record(self, name: str) -> None:
        self.count_call("reads", 100)
        if name in self.states and not self.is_silent():
            args = SERVICE, self.record.versions, True, self.now_s
            self.states[name].learn_record(*args, is_news=True)

    def stop(self, group: list[str]) -> None:
        if self.day.turns == "told":
            self.known = tuple(r for r in self.known if r.name not in group)
            self.observe_routers()
        self.states = {n: s for n, s in self.states.items() if n not in group}
        for name in group:
            for number, end_s in self.under_way.pop(name, {}).items():
                self.broken[number] = self.now_s, end_s - self.now_s
                back_s = self.now_s if self.states else self.kill_s + DOWN_S
                drawn = self.streams[number].picks[-1 - self.takes[number] % 8]
                self.at(back_s + 0.005 + 0.295 * drawn, self.take_up, number, 1)

    def restart(self, group: list[str]) -> None:
        self.start(group, self.now_s)
        known = {*self.known, *(self.routers[name] for name in group)}
        self.known = tuple(r for r in self.routers.values() if r in known)
        self.observe_routers()

    def observe_routers(self) -> None:
        alive = {router.name: self.sessions[router.name] for router in self.known}
        for name, state in self.states.items() if not self.way.is_before else ():
            for record in state.list_own():
                told = self.told.get(record.stream, {}).items()
                if len(told) < stream_versions.KEEPERS or not told <= alive.items():
                    self.tell(name, self.streams[record.stream])
        for number, holders in self.holders.items() if self.way.hands_on else ():
            is_over = self.streams[number].begin_s + TIMEOUT_S < self.now_s
            for name in () if is_over else sorted(holders & self.states.keys()):
                version, own = self.states[name].find(number), self.routers[name]
                for n in stream_versions.choose_keepers(number, self.known, own):
                    if version and n in self.states and not self.states[n].find(number):
                        self.send(name, n, StreamRecord(number, version))

    def send(self, name: str, keeper: str, record: StreamRecord) -> None:
        self.count_bytes(name, keeper, RECORD_BYTES)
        if keeper in self.states:
            self.states[keeper].keep(record, self.now_s)
            self.holders[record.stream].add(keeper)

    def count_bytes(self, name: str, to: str, size: int, across: float = 0) -> None:
        if self.now_s < WARM_S or self.now_s >= self.until_s or name == to:
            return
        size *= self.fleet.thin
        self.counts["sent"] += size
        if self.now_s < self.kill_s:
            self.sent[name] += size
            self.received[to] += size
        is_across = to and self.routers[name].zone != self.routers[to].zone
        self.counts["across"] += round(size * (across or is_across))

    def count_call(self, kind: str, size: int, calls: int = 1) -> None:
        self.reads[int(self.now_s)] += calls if kind == "reads" else 0
        if WARM_S <= self.now_s < self.until_s:
            self.counts[kind] += calls
            self.counts[f"{kind} bytes"] += size

    def begin(self, stream: Stream) -> None:
        if not self.states:
            return
        name = list(self.states)[int(stream.picks[0] * len(self.states))]
        joining = self.states[name].list_joining(SERVICE, NEWS_MAX_S, self.now_s)
        if (
            self.way.has_records
            and self.find_share() >= 0.5
            and stream.version in joining
        ):
            stream = self.streams[stream.number] = stream._replace(version="v1")
        self.place(name, stream, stream.duration_s)

    def place(self, name: str, stream: Stream, left_s: float) -> None:
        end_s = self.under_way[name][stream.number] = self.now_s + left_s
        self.at(end_s, self.end, name, stream.number, end_s)
        self.holders[stream.number].add(name)
        self.told.pop(stream.number, None)
        if self.states[name].begin(stream.number, SERVICE, stream.version, self.now_s):
            self.tell(name, stream)

    def end(self, name: str, number: int, end_s: float) -> None:
        if self.under_way[name].get(number) == end_s:
            del self.under_way[name][number]
            self.states[name].end(number)

    def tell(self, name: str, stream: Stream) -> None:
        number, own, names, writer = stream.number, self.routers[name], list[str](), ""
        if stream.is_exception or not self.way.has_hashes:
            names = stream_versions.choose_keepers(number, self.known, own)
        if self.way.choose_writer is not None:
            writer = self.way.choose_writer(number, self.known, own)
        before, record = self.told.get(number, {}), StreamRecord(number, stream.version)
        told = self.told[number] = {n: self.sessions[n] for n in (*names, writer) if n}
        for n, started in told.items():
            if n != name and (n == writer or before.get(n) != started):
                self.send(name, n, record)
        if writer in self.states:
            self.buffers[writer].add(record)
            process = writer, self.sessions[writer]
            if process not in self.writing:
                self.writing.add(process)
                self.write(*process)

    def write(self, name: str, session: int) -> None:
        buffer = self.buffers[name]
        # A thinned sample has fewer streams than there would be to write.
        if not buffer.has_unwritten and self.fleet.thin == 1:
            self.writing.discard((name, session))
        if (name, session) not in self.writing or name not in self.states:
            return
        interval_s = find_write_interval_s(self.known if self.way is ARCHIVED else ())
        if not self.is_silent():
            batch = buffer.take(self.now_s)
            self.archive[name, session, batch.segment] = batch.records
            self.archived = None
            self.count_call("writes", self.find_size(len(batch.records)))
            buffer.observe_written(batch, self.states[name].lifetime_s, self.now_s)
        self.at(self.now_s + interval_s, self.write, name, session)

    def find_size(self, records: int) -> int:
        return EMPTY_BYTES + round(STREAM_BYTES * records * self.fleet.thin)

    def read_streams(self, name: str, stream: Stream) -> Found:
        if self.is_silent() or self.now_s < self.read_s.get(name, 0) + READ_INTERVAL_S:
            return None, READ_WAIT_S * 1000 if self.is_silent() else 0.0
        self.read_s[name] = self.now_s
        if self.archived is None:
            self.archived = stream_archive.ArchivedStreams()
            for records in self.archive.values():
                self.archived.add(stream_archive.format_streams(records))
            self.archived.sort()
        size = self.find_size(len(self.archived)) + EMPTY_BYTES * len(self.archive)
        pages = max(1, -(-size // PAGE_BYTES))
        self.count_call("reads", 0, pages)
        self.counts["largest read"] = max(self.counts["largest read"], size)
        self.states[name].take_archived(self.archived.find, self.now_s)
        return self.archived.find(stream.number), STORE_MS * pages

    def tick(self) -> None:
        before, self.serving = self.serving, self.list_serving()
        is_due = self.now_s % 1 == 0 or before != self.serving
        for name in self.states if is_due else ():
            self.observe_endpoints(name)
        if self.way.has_records and self.states and not self.is_silent():
            args = SERVICE, next(iter(self.states.values())), self.record.era
            wanted = version_records.update_record(self.record, *args, True, self.now_s)
            if wanted is not None:
                self.record = wanted
                self.count_call("writes", 100)
                for state in self.states.values():
                    state.observe_recorded(SERVICE, wanted.versions)

    def conclude(
        self, name: str, number: int, replies: dict, store: StoreCheck = "unasked"
    ) -> str | None:
        own = self.states[name].describe(SERVICE, number, self.now_s)
        own = own._replace(has_history=own.has_history or self.way.is_before)
        router, zones = self.routers[name], {r.zone for r in self.routers.values()}
        told = version_evidence.list_told_zones(router, self.known, zones)
        by_router = {self.routers[n]: reply for n, reply in replies.items()}
        news = version_evidence.VersionNews(own, by_router, told, store=store)
        return version_evidence.conclude(news)[0]

    def ask(self, name: str, number: int) -> tuple[dict[str, KeeperReply], float]:
        own, replies, trips_ms, knowing_ms = self.routers[name], {}, [0.0], []
        asked = stream_versions.choose_asked(number, self.known, own)
        for n in asked:
            self.count_bytes(name, n, QUESTION_BYTES)
            if n in self.states:
                self.count_bytes(n, name, REPLY_BYTES)
                replies[n] = self.states[n].describe(SERVICE, number, self.now_s)
                is_near = self.routers[n].zone == own.zone
                trips_ms.append(NEAR_MS if is_near else ACROSS_MS)
                knowing_ms += trips_ms[-1:] if replies[n].software_version else []
        if knowing_ms or len(replies) == len(asked):
            return replies, min(knowing_ms, default=max(trips_ms))
        if self.conclude(name, number, replies) is not None:
            return replies, SILENT_MS
        for n in {*asked}.difference(replies):
            self.count_bytes(name, n, QUESTION_BYTES)
        return replies, 2 * SILENT_MS

    def find(self, name: str, number: int) -> Found:
        state = self.states[name]
        if (found := state.find(number)) is not None:
            return found, 0.0
        replies, wait_ms = self.ask(name, number)
        state.learn(SERVICE, replies.values(), self.now_s)
        if (found := self.conclude(name, number, replies)) is not None:
            return found, wait_ms
        store: StoreCheck = "unreachable" if self.is_silent() else "confirmed"
        return self.conclude(name, number, replies, store), wait_ms + STORE_MS

    def take_up(self, number: int, tries: int) -> None:
        stream = self.streams[number]
        if self.now_s >= stream.begin_s + TIMEOUT_S:
            return
        self.takes[number] += 1
        drawn = stream.picks[self.takes[number] % 24]
        name = list(self.states)[int(drawn * len(self.states))]
        version, wait_ms = self.find(name, number)
        if version is None and self.way.find is not None:
            version, more_ms = self.way.find(self, name, stream)
            wait_ms += more_ms
        serving = self.list_serving()
        self.counts["taken up"] += tries == 1
        self.counts["served"] += tries == 1 and stream.version in serving
        if version in serving:
            self.waits_ms.append(wait_ms)
            is_same = version == stream.version
            self.counts["gone on" if is_same else "mixed"] += 1
            if is_same:
                self.place(name, stream, self.broken[number][1])
        elif version is None and tries < TRIES:
            self.at(self.now_s + RETRY_AFTER_S, self.take_up, number, tries + 1)


def _find_by_hash(play: _Play, name: str, stream: Stream) -> Found:
    state, since_s = play.states[name], play.now_s - play.kill_s
    ages_s = (TICK_S * number for number in range(int(state.lifetime_s / TICK_S)))
    shares = [play.day.find_share(since_s - age_s) for age_s in ages_s]
    version = "v1" if stream.position < min(shares) else "v2"
    is_sure = version == "v1" or stream.position >= max(shares)
    knows_all = is_sure and state.has_history(SERVICE, play.now_s)
    return version if knows_all else None, 0.0


def _ask_workers(play: _Play, name: str, stream: Stream) -> Found:
    across = 1 - 1 / play.fleet.zones
    play.count_bytes(name, "", PROBE_BYTES * play.fleet.endpoints, across)
    is_late = play.now_s - play.broken[stream.number][0] > GONE_AFTER_S
    is_gone = is_late and stream.picks[24] < GONE_SHARE
    is_there = stream.version in play.list_serving() and not is_gone
    return stream.version if is_there else None, ACROSS_MS


ARCHIVED = Way("3' streams, archivers", choose_archiver, _Play.read_streams, True)
WAYS = (
    Way("0 as before", is_before=True),
    Way("1 refuse"),
    Way("2 versions in the store", has_records=True),
    Way("3 streams, each router", lambda *args: args[2].name, _Play.read_streams, True),
    ARCHIVED,
    Way("4 hash", None, _find_by_hash, True, has_hashes=True),
    Way("5 hand on", hands_on=True),
    Way("6 ask workers", find=_ask_workers),
)


def describe(play: _Play) -> str:
    """Return the shares that go on, of those whose version serves, and of all."""
    counts, mixed = play.counts, play.counts["mixed"] * play.fleet.thin
    shares = (counts["gone on"] / max(1, counts[of]) for of in ("served", "taken up"))
    return " ".join(f"{x:.2f}" for x in shares) + (f" **{mixed}**" if mixed else "")


def describe_costs(play: _Play) -> str:
    """Return what a minute costs."""
    counts, waits, size = play.counts, sorted(play.waits_ms), len(play.routers)
    seconds, before_s = play.until_s - WARM_S, play.kill_s - WARM_S
    figures = (
        counts["writes"] / seconds,
        counts["writes bytes"] / seconds / 1e3,
        max(play.reads.values(), default=0),
        counts["largest read"] / 1e6,
        play.sent.total() / before_s / size,
        max(play.received.values(), default=0) / before_s,
        counts["sent"] / seconds / size,
        counts["across"] / seconds / 1e3,
        *(waits[int(len(waits) * x)] for x in (0.5, 0.99) if waits),
    )
    return " | ".join(f"{figure:.2f}" for figure in figures)


def main() -> None:
    """Print the tables of each fleet."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 7
    for fleet in FLEETS:
        print(f"\n{fleet.routers} routers; go on of those whose version serves, of all")
        print(f"| way | {' | '.join(day.name for day in DAYS)} |")
        costs = []
        for way in WAYS:
            plays = [_Play(way, fleet, day, seed).run() for day in DAYS]
            print(f"| {way.name} | {' | '.join(map(describe, plays))} |", flush=True)
            timed = [play for play in plays if play.day.has_costs]
            costs += [f"{way.name}, {p.day.name} | {describe_costs(p)}" for p in timed]
        taken = [play.counts["taken up"] * fleet.thin for play in plays]
        print(f"taken up (last way): {taken}", COSTS, *costs, sep="\n")
        interval_s = find_write_interval_s(plays[0].known)
        for day in DAYS[1:3]:
            later = [_Play(ARCHIVED, fleet, day, seed, interval_s * x) for x in LATER]
            shares = [describe(play.run()) for play in later]
            print(f"3', {day.name}, later by {LATER} of {interval_s:.2f} s: {shares}")


if __name__ == "__main__":
    main()
