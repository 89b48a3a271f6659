"""Streams taken up at a router that stood still, or reached nobody, for a while."""

import asyncio
from collections import Counter

import pytest

from tamarackrill.testing.out_of_step import (
    Partition,
    Play,
    Suspension,
    run_partitions,
    run_plays,
    run_suspension,
)

END_S = 6.0
HEALED_S = 3.0
CUT_END_S = 3.0
# Routers that don't reach others take them for dead by then.
LOST_END_S = 12.0


@pytest.mark.parametrize(
    ("store", "peers"),
    [
        ("hangs", "cut"),
        ("hangs", "late"),
        ("fails", "cut"),
        ("late", "late"),
        ("reached", "cut"),
        ("reached", "late"),
    ],
)
def test_router_that_reaches_not_all_joins_no_versions(store, peers):
    # Guards against a router that takes the only version it knows for that of every
    # stream, while nobody could tell it of another one.
    plays = [
        Play(store, peers, leaves, HEALED_S if leaves else None, END_S)
        for leaves in (False, True)
    ]
    results = asyncio.run(run_plays(plays))
    for play, result in results.items():
        assert set(result.out_of_step) <= {"went_on", "refused"}, (play, result)
        assert set(result.in_touch) <= {"went_on", "refused"}, (play, result)
        assert result.began["v2"], (play, result)
        taken = sum(result.in_touch.values())
        assert result.in_touch["went_on"] >= taken / 2, (play, result)


@pytest.mark.parametrize(
    ("zones", "cut", "end_s"),
    [("aabb", 1, CUT_END_S), ("aabbcc", 2, CUT_END_S), ("aab", 1, LOST_END_S)],
)
def test_few_routers_with_the_store_begin_no_version_that_others_cannot_know(
    zones, cut, end_s
):
    # Guards against a router or a zone that is cut off and begins streams at a version
    # of which the others don't hear, and against others that refuse all for that.
    play = Partition(zones, cut, "cut", leaves=True, end_s=end_s)
    (result,) = asyncio.run(run_partitions([play])).values()
    assert result.began["v1"]
    assert set(result.across) <= {"went_on", "refused"}, result
    assert result.across["went_on"] >= sum(result.across.values()) / 2, result


@pytest.mark.parametrize(
    ("duration_s", "leaves"), [(1.5, True), (3.0, False), (6.0, False)]
)
def test_router_that_stood_still_joins_no_versions(duration_s, leaves, tmp_path):
    # Guards against a router that answers what waited for it from what it knew before.
    async def run():
        folders = [tmp_path / str(number) for number in range(3)]
        for folder in folders:
            folder.mkdir()
        return await asyncio.gather(
            *(
                run_suspension(Suspension(duration_s, leaves, number), folder)
                for number, folder in enumerate(folders)
            )
        )

    for before, soon in asyncio.run(run()):
        taken: Counter[str] = before + soon
        assert set(taken) <= {"went_on", "refused"}, (before, soon)
