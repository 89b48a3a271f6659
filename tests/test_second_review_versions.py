"""Streams that clients take up while a router, a zone or the store is away."""

import asyncio
import random
import time

import pytest

from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.testing.versioned_fleet import VersionedFleet

STREAMS = 20
# A store that is away ends no watch that it has answered before.
STORE_AWAY_S = 2.5
SPACING_S = 0.05
# A read of the store for each of a few takes, as in a fleet without a fault.
READS_MAX = 8
LOST_SHARE = 0.2
WAIT_MAX_S = 0.6


class OneVersion(VersionedFleet):
    """Routers that have known one version for longer than any stream lasts."""

    async def start_settled(self, zones):
        add_router = self.add_router
        self.add_router = lambda *args, **fields: add_router(
            *args, **fields, zones=tuple(sorted(set(zones)))
        )
        await self.start(("v1",) * 3, zones=zones, timeout_ms=2000)

    async def wait_settled(self):
        await asyncio.sleep(self.routers[0].keepers.versions.lifetime_s + 0.5)

    def lose_store(self):
        async def call(*args, **kwargs):
            raise PlatformUnavailable("the store is away")

        for router in self.routers:
            router._platform._call = call

    def count_reads(self):
        reads = []
        for router in self.routers:
            router._platform._call = _note(router._platform._call, reads)
        return reads

    async def take_up_all(self):
        """Take up streams of which no router that is asked knows; count those served.

        In a fleet of many routers that is the usual case, as nothing is told of the
        streams of an only version.
        """

        async def take_up(number):
            await asyncio.sleep(number * SPACING_S)
            name = f"take-{number}"
            return await self.take_up(self.routers[0], name, f"elsewhere-{number}")

        answers = await asyncio.gather(*map(take_up, range(STREAMS)))
        return sum(answer.status == 200 and answer.is_whole for answer in answers)


def _note(call, reads):
    async def noted(*args, **kwargs):
        reads.append(args)
        return await call(*args, **kwargs)

    return noted


@pytest.mark.parametrize(
    ("zones", "killed"),
    [("aabb", (1,)), ("aabb", (2, 3)), ("aabbcc", (1,)), ("aabbcc", (4, 5))],
)
def test_streams_of_the_only_version_go_on_beside_dead_routers_without_the_store(
    zones, killed
):
    # Guards against a fleet that refuses all streams that are taken up because a router
    # or a zone has died just as the store is away, though its news are fresh.
    async def run():
        async with OneVersion() as fleet:
            await fleet.start_settled(zones)
            await fleet.wait_settled()
            for router in [fleet.routers[number] for number in killed]:
                await fleet.kill_router(router)
            fleet.lose_store()
            return await fleet.take_up_all()

    assert asyncio.run(run()) >= STREAMS / 2


def test_streams_of_the_only_version_go_on_after_a_short_pause_without_the_store():
    # Guards against an event loop that was late by a third of a second once, after
    # which all streams are refused until the store is back.
    async def run():
        async with OneVersion() as fleet:
            await fleet.start_settled("aabb")
            await fleet.wait_settled()
            fleet.lose_store()
            await asyncio.sleep(STORE_AWAY_S)
            # Blocks the loops of all routers.
            time.sleep(0.35)
            await asyncio.sleep(0.3)
            return await fleet.take_up_all()

    assert asyncio.run(run()) >= STREAMS / 2


async def remove_zone(fleet):
    await fleet.start_settled("aabb")
    await asyncio.sleep(1.5)
    for router in fleet.routers[2:]:
        fleet.routers.remove(router)
        await router.stop()
    await fleet.wait(lambda: len(fleet.routers[0].members.list_live()) == 2)
    await fleet.wait_settled()


def test_streams_go_on_without_the_store_after_a_zone_was_taken_out_of_service():
    # Guards against a zone whose routers were stopped in order and that is waited for
    # until the last other router has restarted.
    async def run():
        async with OneVersion() as fleet:
            await remove_zone(fleet)
            fleet.lose_store()
            return await fleet.take_up_all()

    assert asyncio.run(run()) >= STREAMS / 2


def test_calm_fleet_reads_no_store_after_a_zone_was_taken_out_of_service():
    # Guards against a read of the store for each stream that is taken up, for good.
    async def run():
        async with OneVersion() as fleet:
            await remove_zone(fleet)
            reads = fleet.count_reads()
            served = await fleet.take_up_all()
            return served, len(reads)

    served, reads = asyncio.run(run())
    assert served == STREAMS
    assert reads <= READS_MAX


@pytest.mark.parametrize("is_away", [False, True])
def test_streams_go_on_if_keepers_reply_after_sixty_milliseconds(is_away):
    # Guards against streams that are refused, or read the store each, because the event
    # loops of other routers are a little late.
    async def run():
        async with OneVersion() as fleet:
            await fleet.start_settled("aabb")
            await fleet.wait_settled()
            loop = asyncio.get_running_loop()
            for router in fleet.routers[1:]:
                router.keepers._send = _delay(loop, router.keepers._send)
            if is_away:
                fleet.lose_store()
            reads = fleet.count_reads()
            served = await fleet.take_up_all()
            return served, 0 if is_away else len(reads)

    served, reads = asyncio.run(run())
    assert served >= STREAMS / 2
    assert reads <= READS_MAX


def _delay(loop, send):
    return lambda *message: loop.call_later(0.06, send, *message)


async def hang(*args, **kwargs):
    await asyncio.sleep(STORE_AWAY_S)
    raise PlatformUnavailable("the store hangs")


async def take_up_in_turn(fleet, resumed):
    """Take streams up, and return how long each took."""
    waits_s = []
    for number in range(STREAMS):
        asked_s = time.monotonic()
        answer = await fleet.take_up(fleet.routers[0], f"take-{number}", resumed)
        assert (answer.status, answer.is_whole) == (200, True)
        waits_s.append(time.monotonic() - asked_s)
    return waits_s


def test_lost_datagrams_do_not_let_streams_wait_for_a_store_that_hangs():
    # Guards against requests that wait for the store though the replies that they lack
    # come when they are asked for again.
    rng = random.Random(7)

    async def run():
        async with OneVersion() as fleet:
            await fleet.start_settled("aabb")
            await fleet.wait_settled()
            for router in fleet.routers[1:]:
                router.keepers._send = _lose(rng, router.keepers._send)
            fleet.routers[0]._platform._call = hang
            return await take_up_in_turn(fleet, "elsewhere")

    waits_s = asyncio.run(run())
    assert max(waits_s) <= WAIT_MAX_S


def _lose(rng, send):
    return lambda *message: None if rng.random() < LOST_SHARE else send(*message)


@pytest.mark.parametrize("is_away", [False, True])
def test_streams_that_clients_do_not_name_go_on_without_a_read_of_the_store(is_away):
    # Guards against a read of the store for each stream whose client doesn't say which
    # attempt began it, and against a wait for it while the store hangs.
    async def run():
        async with OneVersion() as fleet:
            await fleet.start_settled("aabb")
            await fleet.wait_settled()
            if is_away:
                for router in fleet.routers:
                    router._platform._call = hang
                # A watch that has begun is answered, and the next one fails.
                await asyncio.sleep(2 * STORE_AWAY_S)
            reads = fleet.count_reads()
            waits_s = await take_up_in_turn(fleet, "")
            return waits_s, len(reads)

    waits_s, reads = asyncio.run(run())
    assert max(waits_s) <= WAIT_MAX_S
    assert is_away or reads <= READS_MAX
