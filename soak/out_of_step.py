"""Plays of routers out of step, started by hand.

``python -m soak.out_of_step`` runs all combinations of what a router doesn't reach, of
how long it is suspended, and of two groups that don't reach each other, and prints what
became of the streams taken up there.  The exit code is 1 if any was joined to another
version.
"""

import argparse
import asyncio
import itertools
import sys
import tempfile
from pathlib import Path

from tamarackrill.testing.out_of_step import (
    Partition,
    Play,
    Suspension,
    run_partitions,
    run_plays,
    run_suspension,
)

HEALED_S = 6.0
DURATIONS_S = (1.5, 3.0, 6.0, 9.0)
SIDE_BY_SIDE = 4


def list_plays(end_s: float) -> list[Play]:
    """Return all combinations but the one in which the router reaches all."""
    return [
        Play(store, peers, leaves, healed_s, end_s)
        for store, peers, leaves, healed_s in itertools.product(
            ("hangs", "fails", "late", "reached"),
            ("reached", "cut", "late"),
            (False, True),
            (None, HEALED_S),
        )
        if (store, peers) != ("reached", "reached")
    ]


async def _run_plays(plays: list[Play]) -> int:
    joined = 0
    for start in range(0, len(plays), SIDE_BY_SIDE):
        batch = plays[start : start + SIDE_BY_SIDE]
        for play, result in (await run_plays(batch)).items():
            print(*play[:4], *result, flush=True)
            joined += result.out_of_step["joined"] + result.in_touch["joined"]
    return joined


async def _run_suspensions(rounds: int) -> int:
    joined = 0
    combinations = itertools.product(
        DURATIONS_S, (False, True), range(3), range(rounds)
    )
    for duration_s, leaves, number, _ in combinations:
        with tempfile.TemporaryDirectory() as folder:
            suspension = Suspension(duration_s, leaves, number)
            results = await run_suspension(suspension, Path(folder))
        print(*suspension, *results, flush=True)
        joined += sum(result["joined"] for result in results)
    return joined


def list_partitions() -> list[Partition]:
    """Return one router or one zone cut off, with the store on either side or none."""
    return [
        Partition(zones, cut, store, leaves)
        for zones, cut, store, leaves in itertools.product(
            ("aabb", "aabbcc"), (1, 2), ("cut", "rest", "none"), (False, True)
        )
    ]


async def _run_partitions(partitions: list[Partition]) -> int:
    joined = 0
    for partition, result in (await run_partitions(partitions)).items():
        print(*partition[:4], *result, flush=True)
        joined += result.across["joined"] + result.near["joined"]
    return joined


def _main() -> int:
    parser = argparse.ArgumentParser(description="Plays of routers out of step.")
    parser.add_argument("--plays", type=int, default=44, help="how many of the plays")
    parser.add_argument("--rounds", type=int, default=1, help="of each suspension")
    parser.add_argument("--end", type=float, default=12.0, help="of each play, in s")
    parser.add_argument(
        "--partitions", type=int, default=24, help="how many plays of two groups"
    )
    options = parser.parse_args()
    joined = asyncio.run(_run_plays(list_plays(options.end)[: options.plays]))
    joined += asyncio.run(_run_partitions(list_partitions()[: options.partitions]))
    joined += asyncio.run(_run_suspensions(options.rounds))
    print(f"{joined} streams joined")
    return 1 if joined else 0


if __name__ == "__main__":
    sys.exit(_main())
