"""Test fixture: streams taken up at a router that was out of step with its fleet."""

import asyncio
import itertools
import signal
import time
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, Literal, NamedTuple

from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.edge_app import EdgeApplication
from tamarackrill.testing.edge import EdgeAnswer, EdgeClient, ask
from tamarackrill.testing.edge_processes import EdgeProcess, choose_addresses
from tamarackrill.testing.peer_links import PeerLinks
from tamarackrill.testing.ports import find_free_port
from tamarackrill.testing.versioned_fleet import (
    BEGUN,
    DEADLINE_MS,
    VersionedFleet,
    find_versions,
)

StoreFault = Literal["hangs", "fails", "late", "reached"]
PeerFault = Literal["reached", "cut", "late"]
# Longer than any play, so that each stream may still be taken up at its end.
TIMEOUT_MS = 15_000
STORE_TIMEOUT_S = 0.5
STORE_DELAY_S = 3.0
PEER_DELAY_S = 1.5
PAUSE_S = 0.06
# After a router went on.
SOON_S = 0.5
STREAMS = 80
BEGIN_MAX_S = 20.0


class Play(NamedTuple):
    """What a router doesn't reach while a second version joins.

    Parameters
    ----------
    store : {"hangs", "fails", "late", "reached"}
        What it gets from the store.
    peers : {"reached", "cut", "late"}
        What it gets from other routers.
    leaves : bool
        Whether most endpoints of the first version leave.
    healed_s : float or None
        When it reaches all again; None if it doesn't.
    end_s : float
        When the play ends.
    """

    store: StoreFault
    peers: PeerFault
    leaves: bool
    healed_s: float | None = None
    end_s: float = 12.0


class PlayResult(NamedTuple):
    """What became of streams that were taken up.

    Parameters
    ----------
    out_of_step, in_touch : Counter
        Streams taken up at the router that was out of step and at others, by what
        became of them.
    began : Counter
        Streams that began at the others, by their version.
    store_calls : int
        Calls of the router that was out of step.
    longest_s : float
        Longest time until it answered.
    """

    out_of_step: Counter[str]
    in_touch: Counter[str]
    began: Counter[str]
    store_calls: int = 0
    longest_s: float = 0.0


def judge(answer: EdgeAnswer, began: set[bytes]) -> str:
    """Return what became of a stream that began at `began`."""
    if answer.status == 200:
        return "joined" if find_versions(answer.body) - began else "went_on"
    is_refused = answer.status == 503 and float(answer.headers.get("retry-after", 0))
    return "refused" if is_refused else f"status {answer.status}"


def fail_store(router: EdgeApplication, fault: StoreFault) -> Callable[[], int]:
    """Let a router's calls to the store fail; return what ends that.

    That returns the number of calls.
    """
    platform: Any = router._platform
    call = platform._call
    calls = 0

    async def act(*args: Any, **kwargs: Any) -> Any:
        nonlocal calls
        calls += 1
        if fault == "hangs":
            await asyncio.sleep(STORE_TIMEOUT_S)
        if fault in ("hangs", "fails"):
            await asyncio.sleep(0.01)
            raise PlatformUnavailable("cut off")
        if fault == "late":
            await asyncio.sleep(STORE_DELAY_S)
        return await call(*args, **kwargs)

    def restore() -> int:
        platform._call = call
        return calls

    platform._call = act
    return restore


async def replace_versions(fleet: VersionedFleet, leaves: bool) -> None:
    """Add endpoints of a second version, and remove most of the first one."""
    for _ in range(3):
        await fleet.add_version("v2")
    if leaves:
        for worker in fleet.workers[:2]:
            await fleet.store.write("servers", worker.name, None)


async def run_play(play: Play, links: PeerLinks) -> PlayResult:
    """Let one of four routers be out of step, and take streams up there.

    Parameters
    ----------
    play : Play
        What happens.
    links : PeerLinks
        Links that intercept the datagrams of this process.
    """
    async with VersionedFleet() as fleet:
        await fleet.start(("v1",) * 3, timeout_ms=TIMEOUT_MS)
        *others, router = fleet.routers
        port = router.settings.peer_port
        restore = fail_store(router, play.store)
        if play.peers == "cut":
            links.isolated.add(port)
        elif play.peers == "late":
            links.latencies_s[port] = PEER_DELAY_S
        await replace_versions(fleet, play.leaves)
        result = PlayResult(Counter(), Counter(), Counter())
        longest_s, store_calls = 0.0, 0
        started_s = time.monotonic()
        healed_s, is_healed = play.healed_s or play.end_s, False
        number = 0
        while True:
            played_s = time.monotonic() - started_s
            # Beside load, streams begin later at the new version.
            if played_s >= (play.end_s if result.began["v2"] else BEGIN_MAX_S):
                break
            if played_s >= healed_s and not is_healed:
                is_healed = True
                store_calls = restore()
                links.isolated.discard(port)
                links.latencies_s.pop(port, None)
            name = f"first-{number}"
            begins, takes = others[number % 3], others[(number + 1) % 3]
            client, began = await fleet.begin(begins, name)
            client.close()
            result.began[min(began).decode()] += 1
            asked_s = time.monotonic()
            answer = await fleet.take_up(router, f"take-{number}", name)
            longest_s = max(longest_s, time.monotonic() - asked_s)
            result.out_of_step[judge(answer, began)] += 1
            answer = await fleet.take_up(takes, f"again-{number}", name)
            result.in_touch[judge(answer, began)] += 1
            number += 1
            await asyncio.sleep(PAUSE_S)
        links.isolated.discard(port)
        links.latencies_s.pop(port, None)
        store_calls = store_calls or restore()
        return result._replace(store_calls=store_calls, longest_s=longest_s)


async def run_plays(plays: Iterable[Play]) -> dict[Play, PlayResult]:
    """Run plays side by side."""
    links = PeerLinks()
    plays = list(plays)
    with links.intercept():
        results = await asyncio.gather(*(run_play(play, links) for play in plays))
    return dict(zip(plays, results, strict=True))


class Partition(NamedTuple):
    """Two groups of routers that don't reach each other while a second version joins.

    Parameters
    ----------
    zones : str
        Availability zones of the routers.
    cut : int
        How many of the last ones don't reach the others.
    store : {"cut", "rest", "none"}
        Which group reaches the store.
    leaves : bool
        Whether most endpoints of the first version leave.
    end_s : float
        When the play ends.
    """

    zones: str
    cut: int
    store: Literal["cut", "rest", "none"]
    leaves: bool
    end_s: float = 6.0


class PartitionResult(NamedTuple):
    """What became of streams of the group that reaches the store.

    Parameters
    ----------
    began : Counter
        Streams that began there, by their version.
    across, near : Counter
        Streams taken up in the other group and there, by what became of them.
    """

    began: Counter[str]
    across: Counter[str]
    near: Counter[str]


async def run_partition(partition: Partition, links: PeerLinks) -> PartitionResult:
    """Cut routers off from the others, and take streams up in both groups.

    Parameters
    ----------
    partition : Partition
        What happens.
    links : PeerLinks
        Links that intercept the datagrams of this process.
    """
    async with VersionedFleet() as fleet:
        zones = tuple(partition.zones)
        await fleet.start(("v1",) * 3, zones=zones, timeout_ms=TIMEOUT_MS)
        near, far = fleet.routers[: -partition.cut], fleet.routers[-partition.cut :]
        if partition.store == "cut":
            near, far = far, near
        links.groups = [[r.settings.peer_port for r in group] for group in (near, far)]
        for router in fleet.routers if partition.store == "none" else far:
            fail_store(router, "fails")
        await replace_versions(fleet, partition.leaves)
        result = PartitionResult(Counter(), Counter(), Counter())
        loop = asyncio.get_running_loop()
        end_s = loop.time() + partition.end_s
        number = 0
        while loop.time() < end_s:
            number += 1
            name = f"first-{number}"
            client, began = await fleet.begin(near[number % len(near)], name)
            client.close()
            result.began[min(began).decode()] += 1
            for group, counts in ((far, result.across), (near, result.near)):
                router = group[(number + 1) % len(group)]
                answer = await fleet.take_up(router, f"take-{name}", name)
                counts[judge(answer, began)] += 1
            await asyncio.sleep(PAUSE_S)
        links.restore()
        return result


async def run_partitions(
    partitions: Iterable[Partition],
) -> dict[Partition, PartitionResult]:
    """Run plays one after the other."""
    links = PeerLinks()
    with links.intercept():
        return {play: await run_partition(play, links) for play in partitions}


class Suspension(NamedTuple):
    """A router process that is suspended while a second version joins.

    Parameters
    ----------
    duration_s : float
        How long it is suspended.
    leaves : bool
        Whether most endpoints of the first version leave.
    number : int, default=0
        Which of three routers; the last one is alone in its zone.
    """

    duration_s: float
    leaves: bool
    number: int = 0


async def run_suspension(
    suspension: Suspension, folder: Path, streams: int = STREAMS
) -> tuple[Counter[str], Counter[str]]:
    """Suspend one of three router processes, and take streams up there.

    Returns
    -------
    tuple of Counter
        What became of streams that were taken up before the router went on, and soon
        after.
    """
    async with VersionedFleet() as fleet:
        await fleet.start(("v1",) * 3, zones=(), timeout_ms=TIMEOUT_MS)
        peer_ports = [find_free_port() for _ in range(3)]
        seeds = [f"127.0.0.1:{port}" for port in peer_ports]
        routers = [
            EdgeProcess(
                f"router-{number}",
                "aab"[number],
                fleet.store_address,
                seeds,
                folder,
                addresses=choose_addresses(peer_port=port),
            )
            for number, port in enumerate(peer_ports)
        ]
        try:
            for router in routers:
                router.start()
            for router in routers:
                await router.wait_ready()
            await asyncio.sleep(SOON_S)
            return await _suspend(fleet, routers, suspension, streams)
        finally:
            for router in routers:
                router.kill()


async def _suspend(
    fleet: VersionedFleet,
    routers: list[EdgeProcess],
    suspension: Suspension,
    streams: int,
) -> tuple[Counter[str], Counter[str]]:
    suspended = routers[suspension.number]
    others = [r.addresses.callers for r in routers if r is not suspended]
    address = suspended.addresses.callers
    loop = asyncio.get_running_loop()
    go_on_s = loop.time() + suspension.duration_s
    suspended.signal(signal.SIGSTOP)
    await replace_versions(fleet, suspension.leaves)
    before: list[asyncio.Task[EdgeAnswer]] = []
    names: list[str] = []
    # All are sent a moment before the router goes on.
    begin_until_s = go_on_s - 0.2
    for number in itertools.count():
        if loop.time() > begin_until_s or len(names) >= streams:
            break
        name = f"first-{number}"
        client, began = await _begin(fleet, others[number % 2], name)
        client.close()
        if began == {b"v2"}:
            names.append(name)
        await asyncio.sleep(0.01)
    for name in names[::2]:
        asking = _take_up(address, f"take-{name}", name)
        before.append(asyncio.create_task(asking))
    await asyncio.sleep(go_on_s - loop.time())
    suspended.signal(signal.SIGCONT)
    soon = []
    for name in names[1::2]:
        asking = _take_up(address, f"take-{name}", name)
        soon.append(asyncio.create_task(asking))
        await asyncio.sleep(SOON_S / max(1, len(names)))
    return (
        Counter(judge(answer, {b"v2"}) for answer in await asyncio.gather(*before)),
        Counter(judge(answer, {b"v2"}) for answer in await asyncio.gather(*soon)),
    )


async def _begin(
    fleet: VersionedFleet, address: str, name: str
) -> tuple[EdgeClient, set[bytes]]:
    client = await fleet.connect(address)
    client.send("/stream/a", name, b"x", X_Deadline_Ms=DEADLINE_MS)
    body = b""
    while body.count(b"data: ") < BEGUN:
        piece = await client.reader.read(1000)
        if not piece:
            raise ConnectionError(f"{name} ended: {body!r}")
        body += piece
    return client, find_versions(body)


async def _take_up(address: str, request_id: str, resumed: str) -> EdgeAnswer:
    return await ask(
        address,
        "/stream/a",
        request_id,
        b"x",
        X_Deadline_Ms=DEADLINE_MS,
        Last_Event_Id=str(BEGUN),
        Resumes=resumed,
    )
