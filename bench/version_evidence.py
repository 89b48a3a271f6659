"""What routers of two groups decide that don't reach each other, by their sizes.

Run ``python bench/version_evidence.py``. The routers of one group reach the store,
which has a second version; those of the other don't, and had a history.  For fleets
of 4 to 370 routers, and groups of whole zones or of routers from all, it prints the
share of streams that the others conclude to be of the first version (with old news,
and in the first two seconds with current ones), and the share of routers with the
store that begin streams at the second one after its time to settle, and at once where
it has most slots.  Streams may be joined where both shares are above zero.
"""

import random
from collections.abc import Callable, Collection
from typing import NamedTuple

from tamarackrill.decisions.stream_versions import KeeperReply, Router, choose_asked
from tamarackrill.decisions.version_evidence import (
    HALF,
    VersionNews,
    conclude,
    find_reach,
    list_told_zones,
)

SAMPLES = 2000
SEED = 7
FLEETS = ((4, 2), (6, 3), (60, 6), (370, 8))
OLD = KeeperReply("", ("v1",), False, True)
CURRENT = KeeperReply("", ("v1",), True, True)


class Group(NamedTuple):
    """Routers that reach each other and the store, the others not."""

    name: str
    routers: frozenset[Router]


def make_fleet(count: int, zones: int) -> tuple[Router, ...]:
    """Return routers, spread evenly over zones."""
    return tuple(Router(f"router-{n}", f"zone-{n % zones}") for n in range(count))


def list_groups(fleet: tuple[Router, ...], zones: int) -> list[Group]:
    """Return groups of some zones, and of routers from all zones."""
    rng = random.Random(SEED)
    groups = [
        Group(
            f"{n} of {zones} zones",
            frozenset(r for r in fleet if int(r.zone.removeprefix("zone-")) < n),
        )
        for n in sorted({1, zones // 2, zones - 1})
    ]
    for share in (0.1, 0.25, 0.4, 0.5, 0.6):
        count = round(share * len(fleet))
        if count and (len(fleet) > 10 or share == 0.25):
            groups.append(
                Group(f"{count} routers", frozenset(rng.sample(fleet, count)))
            )
    return groups


def compute_reach(
    stream: int, router: Router, fleet: tuple[Router, ...], group: Collection[Router]
) -> tuple[float, dict[Router, KeeperReply]]:
    """Return the share of routers that a router reaches, and those that reply."""
    asked = choose_asked(stream, fleet, router)
    near = {r.name: r for r in fleet if (r in group) == (router in group)}
    replied = [name for name in asked if name in near]
    reach = find_reach(router, fleet, 0, asked, replied)
    return reach, {near[name]: OLD for name in replied}


def compute_shares(
    fleet: tuple[Router, ...], group: Collection[Router]
) -> dict[str, float]:
    """Return the shares of what routers without and with the store decide."""
    rng = random.Random(SEED)
    without = [router for router in fleet if router not in group]
    counts = dict.fromkeys(("old news", "current news", "settled", "at once"), 0)
    for _ in range(SAMPLES):
        stream = rng.getrandbits(62)
        router = rng.choice(without)
        reach, replies = compute_reach(stream, router, fleet, group)
        zones = list_told_zones(router, fleet, {r.zone for r in fleet})
        for name, reply in (("old news", OLD), ("current news", CURRENT)):
            news = VersionNews(
                reply,
                dict.fromkeys(replies, reply),
                zones,
                router.zone,
                (),
                False,
                reach,
                "unreachable",
            )
            counts[name] += conclude(news)[0] is not None
        reach, _ = compute_reach(stream, rng.choice([*group]), fleet, group)
        counts["settled"] += reach >= HALF
        counts["at once"] += reach > HALF
    return {name: count / SAMPLES for name, count in counts.items()}


def main(write: Callable[[str], None] = print) -> None:
    """Print the shares for all fleets and groups."""
    for count, zones in FLEETS:
        fleet = make_fleet(count, zones)
        for name, group in list_groups(fleet, zones):
            shares = compute_shares(fleet, group)
            figures = ", ".join(f"{key} {share:.3f}" for key, share in shares.items())
            write(f"{count} routers, store at {name} ({len(group)}): {figures}")


if __name__ == "__main__":
    main()
