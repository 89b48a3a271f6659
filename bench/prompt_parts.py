"""Ways to keep parts of prompts that crash endpoints away from these.

Run ``python bench/prompt_parts.py``.  Fleets in virtual time with the product's own
functions; see `testing.part_fleet`.
"""

import tracemalloc
from collections import Counter
from collections.abc import Sequence

from tamarackrill.decisions.prompt_faults import (
    FREE,
    SUSPECTS_MAX,
    Clearance,
    PromptFaults,
)
from tamarackrill.decisions.prompt_reports import (
    BlockReport,
    CrashReport,
    SoundReport,
    TrialReport,
)
from tamarackrill.protocol.prompt_codec import PromptNews, encode_prompt_news
from tamarackrill.testing.part_fleet import BAD, Load, PartFleet

STABLE_WINDOW_S = 3.0
CRASHES_KNOWN = 5
BLOCKED = Clearance("blocked", 60.0)
MEMORY_PARTS = 10_000
# Address, protocol and length of an IPv4 datagram over UDP.
UDP_BYTES = 28


class ByRequest:
    """Counts crashes of equal requests, of which there are none."""

    routers = 1

    def check(
        self,
        scope: int,
        team: int,
        parts: Sequence[int],
        now_s: float,
        stagger_s: float = 0.0,
    ) -> Clearance:
        """Let each prompt through."""
        return FREE

    def observe_crash(self, report: CrashReport, now_s: float) -> list[BlockReport]:
        """Do nothing."""
        return []

    def observe_sound(
        self, report: SoundReport, is_own: bool = False
    ) -> dict[int, float]:
        """Do nothing."""
        return {}

    def observe_block(self, report: BlockReport) -> list[SoundReport]:
        """Do nothing."""
        return []

    def begin_trial(self, report: TrialReport) -> None:
        """Do nothing."""

    def end_trial(self, report: TrialReport) -> None:
        """Do nothing."""


class Counts(ByRequest):
    """Counts crashed processes by part, minus sound answers to this router."""

    def __init__(self) -> None:
        self.crashes: Counter[int] = Counter()
        self._known: set[tuple[int, int]] = set()

    def check(
        self,
        scope: int,
        team: int,
        parts: Sequence[int],
        now_s: float,
        stagger_s: float = 0.0,
    ) -> Clearance:
        """Block parts with too many crashes."""
        is_bad = any(self.crashes[part] >= CRASHES_KNOWN for part in parts)
        return BLOCKED if is_bad else FREE

    def observe_crash(self, report: CrashReport, now_s: float) -> list[BlockReport]:
        """Count a crash once for each process."""
        for part in report.parts:
            if (part, report.process) not in self._known:
                self._known.add((part, report.process))
                self.crashes[part] += 1
        return []

    def observe_sound(
        self, report: SoundReport, is_own: bool = False
    ) -> dict[int, float]:
        """Take one crash off each part."""
        for part in report.parts:
            self.crashes[part] = max(0, self.crashes[part] - 1)
        return {}


class ClearedCounts(Counts):
    """Counts crashed processes by part since its last sound answer at any router."""

    def observe_sound(
        self, report: SoundReport, is_own: bool = False
    ) -> dict[int, float]:
        """Forget the crashes of each part; tell the others if there were any."""
        cleared = {part: report.seen_s for part in report.parts if self.crashes[part]}
        for part in cleared:
            self.crashes[part] = 0
        return cleared


class Independent(PromptFaults):
    """`PromptFaults` without trials: suspects go on until they are blocked."""

    def check(
        self,
        scope: int,
        team: int,
        parts: Sequence[int],
        now_s: float,
        stagger_s: float = 0.0,
    ) -> Clearance:
        """Let all but blocked parts through."""
        found = super().check(scope, team, parts, now_s, stagger_s)
        return found if found.state == "blocked" else FREE


WAYS = {
    "by request": ByRequest,
    "counts": Counts,
    "counts since an answer": ClearedCounts,
    "independent crashes": Independent,
    "independent crashes, trials": PromptFaults,
}
ENDS = tuple((1.0 + 0.25 * number, 1) for number in range(50))
LOADS = {
    "8 routers, 5 endpoints, 1 of 20 bad": (Load(8, 5, 50.0, 0.05), 12.0, 20),
    "8 routers, 12 endpoints, 1 of 4 bad": (Load(8, 12, 50.0, 0.25), 12.0, 20),
    "the same, 1 of 200 bad": (Load(8, 12, 50.0, 0.005), 60.0, 5),
    "8 routers, 5 of 12 end at once": (
        Load(8, 12, 50.0, kills=((1.0, 5), (6.0, 5))),
        12.0,
        20,
    ),
    "8 routers, 12 endpoints, 50 ends": (Load(8, 12, 50.0, kills=ENDS), 20.0, 20),
    "8 routers, 3 of 10 messages lost": (
        Load(8, 5, 50.0, 0.05, loss=0.3),
        12.0,
        20,
    ),
    "60 routers, 1 of 50 bad": (Load(60, 40, 400.0, 0.02), 10.0, 3),
    "370 routers, 1 of 50 bad": (Load(370, 780, 1000.0, 0.02), 8.0, 1),
}


def main() -> None:
    """Print a table for each load, then memory and sizes."""
    for name, (load, duration_s, seeds) in LOADS.items():
        print(f"\n{name}")
        for way, make_faults in WAYS.items():
            print(f"  {way:28}", _play(load, make_faults, duration_s, seeds))
    print()
    _print_sizes()


def _play(load: Load, make_faults: type, duration_s: float, seeds: int) -> str:
    late, crashes, refused, messages = [], [], [], []
    false_parts = 0
    for seed in range(1, seeds + 1):
        fleet = PartFleet(load, make_faults, seed)
        tally = fleet.run(duration_s)
        late.append(_count_late(tally.crashes_s, tally.sends_s))
        crashes.append(len(tally.crashes_s))
        refused.append(tally.refused / tally.sound)
        messages.append(tally.messages / load.routers)
        false_parts += len(_list_blocked(fleet) - {BAD})
    return (
        f"crashes {min(crashes)} to {max(crashes)}, late sends {max(late)} at most, "
        f"sound refused {sum(refused) / seeds:.4f} (worst {max(refused):.3f}), "
        f"sound parts blocked {false_parts}, "
        f"reports a router {sum(messages) / seeds:.0f}"
    )


def _list_blocked(fleet: PartFleet) -> set[int]:
    blocked: set[int] = set()
    for faults in fleet.faults:
        if isinstance(faults, PromptFaults):
            blocked.update(p for block in faults.list_blocks() for p in block.parts)
        elif isinstance(faults, Counts):
            blocked.update(p for p, n in faults.crashes.items() if n >= CRASHES_KNOWN)
    return blocked


def _count_late(crashes_s: list[float], sends_s: list[float]) -> int:
    if len(crashes_s) < CRASHES_KNOWN:
        return 0
    known_s = crashes_s[CRASHES_KNOWN - 1] + STABLE_WINDOW_S
    return sum(sent_s > known_s for sent_s in sends_s)


def _print_sizes() -> None:
    tracemalloc.start()
    faults = PromptFaults()
    for part in range(MEMORY_PARTS):
        faults.observe_sound(SoundReport(1, (part,), 1.0))
    sound_bytes = tracemalloc.get_traced_memory()[0]
    for part in range(SUSPECTS_MAX):
        report = CrashReport(1, part, 1, (part + MEMORY_PARTS, part), 2.0, 3.0)
        faults.observe_crash(report, 3.0)
    all_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(
        f"memory: {sound_bytes / 1e6:.1f} MB with {MEMORY_PARTS} parts answered, "
        f"{all_bytes / 1e6:.1f} MB with {faults.count()['suspects']} suspects as well"
    )
    parts = tuple(range(2**60, 2**60 + 4))
    block = BlockReport(2**60, parts[:1], parts[:1], 1.0, 0)
    crash = CrashReport(2**60, 2**60, 2**60, parts, 1.0, 1.1)
    for name, report in (("block", block), ("crash of four parts", crash)):
        news = PromptNews("router-123", (report,))
        size = len(encode_prompt_news(news, ("key",), 2.0)) + UDP_BYTES
        print(f"{name}: {size} bytes")


if __name__ == "__main__":
    main()
