"""Streams that clients take up after all routers that knew them have ended."""

import asyncio
from collections import Counter
from itertools import cycle

import pytest

from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.router.version_store import RECORD_KIND
from tamarackrill.testing.versioned_fleet import (
    BEGUN,
    LAST,
    VersionedFleet,
    find_versions,
    make_versioned_event,
    stream_of,
)

STREAMS = 24
ONE = ("v1",) * 3
TWO = (*ONE, "v2", "v2", "v2")
# Longer than any test, so that each stream may still be taken up at its end.
TIMEOUT_MS = 15_000
# Routers that are told to stop end within this time.
GRACE_S = 1.0


async def let_leave(fleet, wait_s=0.0):
    """Delete the entries of the first version's endpoints."""
    for worker, version in zip(fleet.workers, fleet.versions, strict=True):
        if version == "v1":
            await fleet.store.write("servers", worker.name, None)
    await asyncio.sleep(wait_s)


async def register(fleet, **changes):
    """Start endpoints again at their ids and addresses, with other versions."""
    for worker, version in zip(fleet.workers, fleet.versions, strict=True):
        version = changes.get(version, version)
        worker.behave = stream_of(version)
        spec = worker.describe("desk", version=version, sequence=2)
        await fleet.store.write("servers", worker.name, spec)


async def replace_version(fleet):
    for _ in range(3):
        await fleet.add_version("v2")
    await let_leave(fleet)


async def upgrade(fleet):
    await register(fleet, v1="v3", v2="v3")


async def swap(fleet):
    await register(fleet, v1="v2", v2="v1")


async def restore_first_version(fleet):
    # The manifest and the entries of the first version.
    await fleet.store.restore(1 + len(ONE))


async def restore_and_register(fleet):
    await restore_first_version(fleet)
    await register(fleet)


async def restart_all(fleet, change=None):
    """Kill all routers at once and start them again.

    Parameters
    ----------
    fleet : VersionedFleet
        The fleet.
    change : callable, optional
        ``await change(fleet)`` changes endpoints while all routers are down.
    """
    killed = list(fleet.routers)
    await kill_all(fleet, killed)
    if change is not None:
        await change(fleet)
    await fleet.start_routers([fleet.remake_router(router) for router in killed])


def restart_after(change):
    async def act(fleet):
        await restart_all(fleet, change)

    return act


async def restart_late(fleet):
    await asyncio.sleep(1.0)
    await restart_all(fleet)


async def leave_and_restart(fleet):
    await let_leave(fleet, wait_s=0.5)
    await restart_all(fleet)


async def leave_restart_and_wait(fleet):
    await leave_and_restart(fleet)
    await asyncio.sleep(4.0)


async def leave_and_restart_in_turn(fleet):
    await let_leave(fleet, wait_s=0.3)
    for router in list(fleet.routers):
        await fleet.restart_router(router)


async def restart_and_leave(fleet):
    await restart_all(fleet)
    await let_leave(fleet, wait_s=0.5)


async def restart_while_store_is_silent(fleet, change=None):
    fleet.store.status = 503
    killed = list(fleet.routers)
    await kill_all(fleet, killed)
    if change is not None:
        await change(fleet)
    again = [fleet.remake_router(router) for router in killed]
    await asyncio.gather(*(router.start() for router in again))
    await asyncio.sleep(0.5)
    fleet.store.status = 200
    await fleet.wait(lambda: all(router.is_ready() for router in again))


async def leave_while_store_is_silent(fleet):
    await restart_while_store_is_silent(fleet, let_leave)


async def add_successors(fleet, *routers):
    """Start routers in place of these, and wait until all others know them."""
    new = [
        fleet.make_router(f"next-{r.settings.name}", r.settings.zone, grace_s=GRACE_S)
        for r in routers
    ]
    await fleet.start_routers(new)
    names = {router.settings.name for router in new}
    await fleet.wait(
        lambda: all(
            names <= {member.name for member in router.members.list_live()}
            for router in fleet.routers
        )
    )


async def kill_all(fleet, routers):
    await asyncio.gather(*(fleet.kill_router(router) for router in routers))


async def drain_all(fleet, routers):
    await asyncio.gather(*(router.drain() for router in routers))
    await kill_all(fleet, routers)


def replace_routers(end, at_once):
    """Return an act that replaces some routers, of different zones, at a time."""

    async def act(fleet):
        first = list(fleet.routers)
        steps = len(first) // at_once
        for step in range(steps):
            replaced = first[step::steps]
            await add_successors(fleet, *replaced)
            await end(fleet, replaced)

    return act


replace_by_kill = replace_routers(kill_all, at_once=2)
replace_by_drain = replace_routers(drain_all, at_once=2)
double_and_kill = replace_routers(kill_all, at_once=4)


def judge(answer, versions):
    """Return what became of a stream that began at `versions`."""
    if answer.status == 200:
        if find_versions(answer.body) - versions:
            return "joined"
        (version,) = versions
        rest = [
            make_versioned_event(version.decode(), number)
            for number in range(BEGUN + 1, LAST + 1)
        ]
        is_rest = answer.is_whole and answer.body == b"".join(rest)
        return "went_on" if is_rest else "not whole"
    if answer.status == 503 and float(answer.headers.get("retry-after", 0)) > 0:
        return "refused"
    return f"status {answer.status}"


def count_outcomes(act, versions=TWO, names_first=True):
    """Break streams off, let something happen, and take all of them up.

    Parameters
    ----------
    act : callable
        ``await act(fleet)`` happens in between.
    versions : tuple of str, optional
        Versions of the endpoints at first.
    names_first : bool, default=True
        Whether clients name the attempt that began their stream.

    Returns
    -------
    Counter
        Streams by what became of them.
    """

    async def run():
        async with VersionedFleet() as fleet:
            await fleet.start(versions, timeout_ms=TIMEOUT_MS, grace_s=GRACE_S)
            begun = await fleet.begin_all(STREAMS, *fleet.routers)
            began = {version.encode() for version in versions}
            assert set.union(*begun.values()) == began
            await act(fleet)
            # Each at another router than the one that began it.
            routers = cycle(fleet.routers[1:] + fleet.routers[:1])
            answers = await asyncio.gather(
                *(
                    fleet.take_up(next(routers), f"take-{name}", name * names_first)
                    for name in begun
                )
            )
            return Counter(map(judge, answers, begun.values()))

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("versions", "act"),
    [
        pytest.param(TWO, restart_all, id="both_serve"),
        pytest.param(TWO, leave_and_restart, id="left_before"),
        pytest.param(TWO, leave_restart_and_wait, id="left_before_asked_late"),
        pytest.param(TWO, restart_after(let_leave), id="left_meanwhile"),
        pytest.param(ONE, restart_after(replace_version), id="replaced_meanwhile"),
        pytest.param(TWO, restart_and_leave, id="left_afterwards"),
        pytest.param(TWO, leave_and_restart_in_turn, id="left_then_in_turn"),
        pytest.param(TWO, replace_by_kill, id="routers_replaced_by_kill"),
        pytest.param(TWO, replace_by_drain, id="routers_replaced_by_drain"),
        pytest.param(TWO, double_and_kill, id="routers_doubled_then_killed"),
        pytest.param(TWO, restart_after(upgrade), id="upgraded_in_place"),
        pytest.param(ONE, restart_after(upgrade), id="only_one_upgraded_in_place"),
        pytest.param(TWO, restart_after(swap), id="swapped_in_place"),
        pytest.param(TWO, restart_after(restore_first_version), id="store_restored"),
        pytest.param(
            TWO, restart_after(restore_and_register), id="store_restored_registered"
        ),
        pytest.param(TWO, restart_while_store_is_silent, id="store_silent"),
        pytest.param(TWO, leave_while_store_is_silent, id="store_silent_left"),
    ],
)
def test_stream_is_not_joined_to_another_versions_after_all_routers_ended(
    versions, act
):
    # Guards against streams of two software versions after everything that routers
    # knew of them is gone.
    outcomes = count_outcomes(act, versions)
    assert set(outcomes) <= {"went_on", "refused"}, outcomes


def test_stream_without_its_first_attempt_is_not_joined_after_all_routers_ended():
    # Guards against a client that doesn't say which stream it goes on with.
    outcomes = count_outcomes(restart_all, names_first=False)
    assert set(outcomes) <= {"went_on", "refused"}, outcomes


@pytest.mark.parametrize(
    ("versions", "act", "least"),
    [
        pytest.param(TWO, restart_late, STREAMS / 2, id="both_serve"),
        pytest.param(ONE, restart_all, STREAMS, id="one_version"),
        pytest.param(TWO, replace_by_kill, STREAMS / 2, id="replaced_by_kill"),
        pytest.param(TWO, replace_by_drain, STREAMS / 2, id="replaced_by_drain"),
        pytest.param(TWO, double_and_kill, STREAMS / 2, id="doubled_then_killed"),
    ],
)
def test_streams_go_on_after_all_routers_ended(versions, act, least):
    # Guards against refusing streams whose version still serves, only because the
    # routers that began them are gone.
    outcomes = count_outcomes(act, versions)
    assert outcomes["went_on"] >= least, outcomes
    assert set(outcomes) <= {"went_on", "refused"}, outcomes


def test_late_write_does_not_remove_a_version_that_serves_again(monkeypatch):
    # Guards against a record without a version that serves, because a write that got
    # no answer took effect seconds later.
    late = []

    async def lose(platform, kind, name, value, expected_version):
        if kind != RECORD_KIND:
            return await put(platform, kind, name, value, expected_version)
        late.append((value, expected_version))
        raise PlatformUnavailable("no answer")

    async def act(fleet):
        state = fleet.store.state

        def list_recorded():
            found = state.read(RECORD_KIND, "desk")
            return found and found.value["versions"]

        await fleet.wait(lambda: list_recorded() == ["v1", "v2"])
        monkeypatch.setattr(PlatformClient, "put", lose)
        await let_leave(fleet)
        await fleet.wait(lambda: ["v2"] in [value["versions"] for value, _ in late])
        await register(fleet)
        await fleet.wait_known(fleet.routers)
        monkeypatch.undo()
        await asyncio.sleep(2.0)
        for value, expected_version in late:
            if expected_version == state.read(RECORD_KIND, "desk").version:
                await fleet.store.write(RECORD_KIND, "desk", value)
        await asyncio.sleep(1.0)
        assert list_recorded() == ["v1", "v2"]

    put = PlatformClient.put

    async def run():
        async with VersionedFleet() as fleet:
            await fleet.start(TWO, timeout_ms=300)
            await act(fleet)

    asyncio.run(run())
