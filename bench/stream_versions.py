"""Ways to know the software version of a stream at the router that gets it next.

Run ``python bench/stream_versions.py``.  For fleets of 8, 60 and 370 routers it prints
the share of streams whose version the next router finds, and the bytes that a router
sends while a service has several versions; packets are counted with their headers.
"""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.decisions.stream_versions import (
    KEEPER_GROUPS,
    Router,
    choose_asked,
    choose_keepers,
    identify_stream,
)
from tamarackrill.protocol.owner_codec import StreamRecord, encode_owner_message

STREAMS = 2_000
SEED = 7
# At the size expected: 6,500 requests per second over 370 routers.
STREAMS_PER_S = 17.6
UDP_HEADER_BYTES = 28
RECORD_BYTES = UDP_HEADER_BYTES + len(
    encode_owner_message(StreamRecord(identify_stream("attempt"), "v1.2"), ("key",))
)
FLEETS = ((8, 4), (60, 6), (370, 8))


Choose = Callable[[int, tuple[Router, ...], Router], list[str]]


class Way(NamedTuple):
    """A way to know versions.

    Parameters
    ----------
    told : callable
        Returns the routers that a stream's first router tells.
    asked : callable
        Returns the routers that the next one asks.
    """

    name: str
    told: Choose
    asked: Choose


def list_all(stream: int, routers: tuple[Router, ...], own: Router) -> list[str]:
    """Return all routers."""
    return [router.name for router in routers]


def list_none(stream: int, routers: tuple[Router, ...], own: Router) -> list[str]:
    """Return no router."""
    return []


def hash_keepers(count: int) -> Choose:
    """Return a function that finds keepers by the stream alone, wherever it began."""

    def choose(stream: int, routers: tuple[Router, ...], own: Router) -> list[str]:
        names = tuple(router.name for router in routers)
        return rendezvous_order(f"stream/{stream % KEEPER_GROUPS}", names, count)

    return choose


WAYS = (
    Way("tell all", list_all, list_none),
    Way("ask all", list_none, list_all),
    Way("1 of all", hash_keepers(1), hash_keepers(4)),
    Way("2 of all", hash_keepers(2), hash_keepers(4)),
    Way("3 of all", hash_keepers(3), hash_keepers(4)),
    Way("2 in 2 zones", choose_keepers, choose_asked),
)


class Fault(NamedTuple):
    """What happens between two attempts of the clients.

    `list_lost` returns the routers that end, given all and the first one; `is_cut` cuts
    the zone of the first router off, `has_old` lets each second router run a release
    that neither tells nor keeps.
    """

    name: str
    list_lost: Callable[[Sequence[Router], Router], set[str]]
    is_cut: bool = False
    has_old: bool = False


FAULTS = (
    Fault("channel closed", lambda routers, first: set()),
    Fault("first router killed", lambda routers, first: {first.name}),
    Fault(
        "its zone killed",
        lambda routers, first: {r.name for r in routers if r.zone == first.zone},
    ),
    Fault(
        "half killed",
        lambda routers, first: {first.name} | {r.name for r in routers[::2]},
    ),
    Fault("all killed", lambda routers, first: {r.name for r in routers}),
    Fault("zone cut, first killed", lambda routers, first: {first.name}, is_cut=True),
    Fault("half old, first killed", lambda routers, first: {first.name}, has_old=True),
)


def find_share(
    way: Way, fault: Fault, routers: tuple[Router, ...], rng: random.Random
) -> float:
    """Return the share of streams whose version the next router finds."""
    zones = {router.name: router.zone for router in routers}
    old = {router.name for router in routers[1::2]} if fault.has_old else set()
    found = 0
    for number in range(STREAMS):
        stream = identify_stream(f"attempt-{number}")
        first = rng.choice(routers)
        lost = fault.list_lost(routers, first)
        reached = {
            name for name in zones if not fault.is_cut or zones[name] == first.zone
        }
        left = [router for router in routers if router.name not in lost]
        own_zone = [router for router in left if router.zone == first.zone]
        # All routers start again; clients come to their own zone if they can.
        taker = rng.choice(own_zone or left or list(routers))
        knowing = {first.name}
        if first.name not in old:
            knowing |= set(way.told(stream, routers, first)) - old
        if fault.is_cut:
            knowing &= reached
        knowing -= lost
        asked = {taker.name, *way.asked(stream, tuple(left), taker)} & reached
        found += bool(knowing & asked)
    return found / STREAMS


def main() -> None:
    """Print a table for each size of fleet."""
    for count, zone_count in FLEETS:
        routers = tuple(Router(f"r{n}", f"z{n % zone_count}") for n in range(count))
        print(f"{count} routers in {zone_count} zones")
        for way in WAYS:
            told = len(set(way.told(1, routers, routers[0])))
            shares = [
                find_share(way, fault, routers, random.Random(SEED)) for fault in FAULTS
            ]
            cells = "  ".join(
                f"{fault.name} {share:.3f}"
                for fault, share in zip(FAULTS, shares, strict=True)
            )
            bytes_per_s = told * STREAMS_PER_S * RECORD_BYTES
            print(f"  {way.name:12} {bytes_per_s / 1000:8.1f} KB/s  {cells}")


if __name__ == "__main__":
    main()
