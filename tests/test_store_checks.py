"""Reads of the store for requests that wait for one."""

import asyncio

import pytest

from tamarackrill.decisions.version_evidence import (
    CHECK_INTERVAL_MIN_S,
    find_check_interval_s,
)
from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.store_checks import CHECK_TIMEOUT_S, StoreChecks


class Reads:
    """Counts reads, which end when the test lets them."""

    def __init__(self):
        self.count = 0
        self.may_end = asyncio.Event()
        self.error = None
        clock = asyncio.get_running_loop().time
        self.checks = StoreChecks(self._read, lambda: 8, clock)

    async def _read(self):
        self.count += 1
        await self.may_end.wait()
        if self.error is not None:
            raise self.error


def test_request_does_not_use_a_read_that_was_sent_before_it_arrived():
    # Guards against a version that is concluded from what the store answered to an
    # earlier request.
    async def run():
        reads = Reads()
        first = [asyncio.create_task(reads.checks.check()) for _ in range(20)]
        await asyncio.sleep(0.01)
        assert reads.count == 1
        later = [asyncio.create_task(reads.checks.check()) for _ in range(20)]
        reads.may_end.set()
        assert all(await asyncio.gather(*first))
        assert reads.count == 1
        assert all(await asyncio.gather(*later))
        assert reads.count == 2

    asyncio.run(run())


@pytest.mark.parametrize("error", [None, PlatformUnavailable("lost")])
def test_requests_do_not_wait_for_a_store_that_has_just_failed(error):
    # Guards against clients that wait for a store that doesn't answer, one after the
    # other, instead of being refused.
    async def run():
        reads = Reads()
        reads.error = error
        if error is not None:
            reads.may_end.set()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        assert not await reads.checks.check()
        assert error is not None or loop.time() - began_s >= CHECK_TIMEOUT_S
        assert not any([await reads.checks.check() for _ in range(20)])
        assert reads.count == 1
        await reads.checks.stop()

    asyncio.run(run())


def test_client_that_leaves_does_not_end_the_read_of_others():
    async def run():
        reads = Reads()
        leaving, staying = (asyncio.create_task(reads.checks.check()) for _ in "ab")
        await asyncio.sleep(0.01)
        leaving.cancel()
        reads.may_end.set()
        assert await staying

    asyncio.run(run())


@pytest.mark.parametrize("routers", [1, 8, 100, 370])
def test_reads_of_a_fleet_are_bounded(routers):
    interval_s = find_check_interval_s(routers)
    assert interval_s >= CHECK_INTERVAL_MIN_S
    assert routers / interval_s <= 1000.0 + 1e-6
