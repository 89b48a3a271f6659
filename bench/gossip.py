"""Cost and speed of gossip by number of routers, with real encoding.

Run ``python bench/gossip.py``; ``measure`` returns the figures for bench/capacity.py.
The states of all routers tick in one process (`testing.gossip`), so bytes and rounds
are those of the daemon, and processor time is that of one router's share.
"""

import json
import time
from typing import TypedDict

from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.loads import EndpointLoad
from tamarackrill.decisions.members import Gossip, PiggybackedEntries
from tamarackrill.protocol.codec import decode_gossip, encode_gossip
from tamarackrill.testing.gossip import SESSION_MS, GossipNetwork

SIZES = (8, 50, 150, 370)
ZONES = 8
SEED = 1
STEADY_TICKS = 20
TICKS_MAX = 400
HEADERS_BYTES = 28
KEYS = ("a key of the benchmark",)


class Figures(TypedDict):
    """Figures for one number of routers; a tick is one second.

    Bytes are those sent and received by one router, with UDP and IP headers.
    """

    routers: int
    steady_bytes_per_s: float
    steady_cpu_us_per_s: float
    full_bytes_per_s: float
    removed_ticks: int
    joined_ticks: int
    cold_start_ticks: int
    cold_start_bytes_per_s: float
    healed_ticks: int
    configuration_ticks: int


class _Wire:
    """Encodes, decodes and counts each message."""

    def __init__(self) -> None:
        self.sent_bytes = 0

    def carry(self, message: Gossip) -> Gossip:
        datagram = encode_gossip(message, KEYS)
        self.sent_bytes += len(datagram) + HEADERS_BYTES
        return decode_gossip(datagram, KEYS)


def measure_size(routers: int, heal: bool = True) -> Figures:
    """Return the figures for one number of routers.

    Parameters
    ----------
    routers : int
        Number of routers.
    heal : bool, default=True
        Whether to cut a zone off for a minute and heal it, which takes long at 370.
    """
    wire = _Wire()
    network = GossipNetwork(SEED, carry=wire.carry)
    network.start_many(routers, ZONES)
    cold_start = network.run_until(network.has_converged, TICKS_MAX)
    cold_bytes = _per_router(wire.sent_bytes, routers, cold_start)
    network.run(STEADY_TICKS)
    wire.sent_bytes = 0
    started_s = time.process_time()
    network.run(STEADY_TICKS)
    spent_us = (time.process_time() - started_s) * 1e6
    steady_bytes = _per_router(wire.sent_bytes, routers, STEADY_TICKS)
    full_bytes = _fill_entries(network, wire)
    changed = _spread_configuration(network)
    network.kill("vm-0003")
    removed = network.run_until(
        lambda: set(network.list_seen("vm-0003").values()) == {None}, TICKS_MAX
    )
    network.start("vm-0003", "zone-3", SESSION_MS + 10_000_000)
    network.publish_vms()
    joined = network.run_until(network.has_converged, TICKS_MAX)
    return Figures(
        routers=routers,
        steady_bytes_per_s=round(steady_bytes),
        steady_cpu_us_per_s=round(spent_us / routers / STEADY_TICKS),
        full_bytes_per_s=round(full_bytes),
        removed_ticks=removed,
        joined_ticks=joined,
        cold_start_ticks=cold_start,
        cold_start_bytes_per_s=round(cold_bytes),
        healed_ticks=_heal(network) if heal else -1,
        configuration_ticks=changed,
    )


def _per_router(sent_bytes: int, routers: int, ticks: int) -> float:
    return 2 * sent_bytes / routers / max(1, ticks)


def _fill_entries(network: GossipNetwork, wire: _Wire) -> float:
    """Return the bytes a second while other modules hand over more than fits."""
    loads = tuple(EndpointLoad(f"engine-{i:04d}", 100) for i in range(100))
    for state in network.states.values():
        state.entries = PiggybackedEntries(loads=loads)
    wire.sent_bytes = 0
    network.run(STEADY_TICKS)
    sent_bytes = wire.sent_bytes
    for state in network.states.values():
        state.entries = PiggybackedEntries()
    return _per_router(sent_bytes, len(network.states), STEADY_TICKS)


def _spread_configuration(network: GossipNetwork) -> int:
    """Return the ticks until a change that one router holds is at all others.

    Every router but one lost its watch; each takes the change from the first peer
    whose digest is ahead, in the tick in which it hears of it.
    """
    held = dict.fromkeys(network.states, 0)
    held["vm-0001"] = 1
    for ticks in range(TICKS_MAX):
        if all(held.values()):
            return ticks
        for name, state in network.states.items():
            state.configuration = (
                ConfigurationDigest("contract", held[name], held[name], held[name]),
            )
        network.heard.clear()
        network.run(1)
        for receiver, news in network.heard:
            held[receiver] = max(held[receiver], news.configuration[0].newest)
    return TICKS_MAX


def _heal(network: GossipNetwork) -> int:
    network.cut_zones = {"zone-1"}
    network.run(60)
    network.cut_zones = set()
    return network.run_until(network.has_converged, TICKS_MAX)


def measure(sizes: tuple[int, ...] = SIZES) -> dict[str, list[Figures]]:
    """Return the figures by number of routers.

    Parameters
    ----------
    sizes : tuple of int
        Numbers of routers.

    Returns
    -------
    dict
        Under ``"sizes"``, one entry for each size.
    """
    return {"sizes": [measure_size(size) for size in sizes]}


if __name__ == "__main__":
    for size in SIZES:
        print(json.dumps(measure_size(size)), flush=True)
