"""Who of a zone asks the store: calls, bytes and ages, by the size of the zone.

Simulates the pure module at the zones of 8, 60 and 370 routers (2, 15 and 46 of a
zone).  The watcher is killed at half time, and every tenth datagram is lost.  The
baseline is a zone in which every router watches.
"""

import random
import time

from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.watching import Bulletin, Evidence, Watching
from tamarackrill.protocol.bulletin_codec import decode_bulletin, encode_bulletin

ZONES = {8: 2, 60: 15, 370: 46}
KINDS = ("config", "servers")
NEWS_MAX_S = 2.0
WATCH_S = 0.5 * NEWS_MAX_S
TRUST_S = 0.8 * NEWS_MAX_S
TELL_EVERY_S = 0.25
PLAY_S = 60.0
STEP_S = 0.01
LOST_SHARE = 0.1
HEADERS_BYTES = 28
KEYS = ("key",)
DIGESTS = [ConfigurationDigest(kind, 123456, 123450, 1 << 60) for kind in KINDS]


class Zone:
    """Routers of one zone, and what their exchange has cost."""

    def __init__(self, count, chance):
        self.chance = chance
        self.names = [f"router-{number}" for number in range(count)]
        self.routers = {name: Watching(name, "zone", TRUST_S) for name in self.names}
        for router in self.routers.values():
            router.set_members(self.names)
        self.due_s = {(name, kind): 0.0 for name in self.names for kind in KINDS}
        self.fresh_s = dict.fromkeys(self.due_s, 0.0)
        self.killed = ""
        self.calls = self.sent_bytes = self.sequence = 0
        self.worst_s = 0.0

    def kill_watcher(self):
        """Kill the router that watches, once."""
        if not self.killed:
            live = self.routers.items()
            self.killed = next(name for name, router in live if router.is_watcher)

    def ask(self, now_s):
        """Let each router ask the store that must."""
        for (name, kind), due_s in self.due_s.items():
            if name == self.killed:
                continue
            self.worst_s = max(self.worst_s, now_s - self.fresh_s[name, kind])
            router = self.routers[name]
            if due_s <= now_s and router.find_wait_s(kind, now_s) == 0.0:
                self.calls += 1
                router.observe_answer(kind, now_s)
                self.fresh_s[name, kind] = now_s
                self.due_s[name, kind] = now_s + WATCH_S

    def tell(self, now_s):
        """Let each router with evidence tell the others."""
        for name in self.names:
            evidence = self.routers[name].make_evidence(DIGESTS, now_s)
            if name != self.killed and evidence:
                self.sequence += 1
                self._send(Bulletin(name, 1, self.sequence, evidence), now_s)

    def _send(self, bulletin, now_s):
        size_bytes = len(encode_bulletin(bulletin, KEYS)) + HEADERS_BYTES
        for other in self.names:
            if other == bulletin.sender:
                continue
            self.sent_bytes += size_bytes
            if self.chance.random() < LOST_SHARE:
                continue
            self.routers[other].hear(bulletin, now_s)
            for item in bulletin.evidence:
                key = other, item.digest.kind
                told_s = now_s - item.age_s
                self.fresh_s[key] = max(self.fresh_s[key], told_s)


def play(count, chance):
    """Return calls a minute, bytes a second of the zone, and the worst age."""
    zone = Zone(count, chance)
    now_s, tell_s = 0.0, 0.0
    while now_s < PLAY_S:
        now_s += STEP_S
        if now_s > PLAY_S / 2:
            zone.kill_watcher()
        zone.ask(now_s)
        if now_s >= tell_s:
            tell_s += TELL_EVERY_S
            zone.tell(now_s)
    return zone.calls * 60 / PLAY_S, zone.sent_bytes / PLAY_S, zone.worst_s


def time_codec():
    """Return µs to encode and to decode a bulletin."""
    evidence = tuple(Evidence(0.5, digest) for digest in DIGESTS)
    bulletin, rounds = Bulletin("router-1", 1, 1, evidence), 2000
    datagram = encode_bulletin(bulletin, KEYS)
    began_s = time.perf_counter()
    for _ in range(rounds):
        encode_bulletin(bulletin, KEYS)
    encoded_s = time.perf_counter()
    for _ in range(rounds):
        decode_bulletin(datagram, KEYS)
    decoded_s = time.perf_counter()
    return tuple(
        round(took_s / rounds * 1e6)
        for took_s in (encoded_s - began_s, decoded_s - encoded_s)
    )


def main():
    """Print one line for each size."""
    print("routers zone  calls/min  (all watch)  bytes/s of a zone  worst age s")
    for routers, count in ZONES.items():
        calls, sent_bytes, worst_s = play(count, random.Random(1))
        every = count * len(KINDS) * 60 / WATCH_S
        print(
            f"{routers:7} {count:4} {calls:10.0f} {every:12.0f} "
            f"{sent_bytes:18.0f} {worst_s:12.2f}"
        )
    encode_us, decode_us = time_codec()
    print(f"a bulletin: {encode_us} µs to encode, {decode_us} µs to decode")


if __name__ == "__main__":
    main()
