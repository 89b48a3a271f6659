"""Parts of prompts that crash the endpoints that begin to answer them.

Load pattern: many requests, no two alike, share one part of their prompts, and each
endpoint that begins to answer such a prompt crashes.  Requests arrive at all routers.
Counted request by request, none crashes more than a few endpoints, so that one endpoint
after another goes down, with everything that runs there.

A crash doesn't tell what caused it.  Suspects are the attempts whose answers had not
yet begun, and all parts of their prompts.  An answer that has gone on past its first
event clears all parts of its prompt: a bad part never gets that far.  Parts that sound
prompts share are in nearly every crash, and are cleared all the time.

Endpoints also end for other reasons, many at a time.  So only independent crashes
count: each of a request that was sent after the crash before was over.  After
`CRASHES_SUSPECTED` of them without a sound answer a part is on trial: one request at a
time, with growing pauses, so that a failure of many endpoints at once has passed before
the part is blocked, at `CRASHES_BLOCKED`.  While prompts without the part have crashes
as well, more are needed: see `CHANCE_MAX`.

Where several parts are equally suspect, only prompts with all of them are held back:
any other prompt tells them apart.  That also keeps one team from getting a part blocked
that it shares with others: a block holds for the teams whose requests crashed
endpoints, and a request of another team is a trial.  The same goes for other scopes: a
part that is bad for one software version, model or service may be sound for another.

A block is tried again with growing pauses, since a part may have been mended.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from typing import Literal, NamedTuple

from tamarackrill.decisions.prompt_reports import (
    BlockReport,
    CrashReport,
    SoundReport,
    TrialReport,
)

CRASHES_SUSPECTED = 2
CRASHES_BLOCKED = 4
# Largest probability that a sound part has had that many crashes by chance, given how
# many other prompts had one at the same time.
CHANCE_MAX = 1e-4
# Prompts with and without a crash that are assumed besides those seen: with none seen,
# one prompt of ten is taken to have had a crash for another reason.
PRIOR_CRASHED = 0.5
PRIOR_SOUND = 4.5
# Sound answers that are told with the crashes whose parts they clear.
SOUND_TOLD_MAX = 16
# Newest crashes, and newest sound answers, that are kept for that.
REPORTS_KEPT = 512
# Pause from a crash to the next trial of a part that is not blocked, and its factor
# from each trial to the next.
TRIAL_WAIT_S = 0.25
TRIAL_FACTOR = 3.0
# A trial counts as over after this time, if its router tells nothing of its end.
TRIAL_MAX_S = 2.0
# Pause from a block to its first trial, and the factor from each trial to the next.
BLOCK_TRIAL_WAIT_S = 60.0
BLOCK_TRIAL_FACTOR = 4.0
BLOCK_TRIAL_WAIT_MAX_S = 3600.0
# The same for the first request that differs from those that crashed endpoints: by its
# team, its scope, or by the parts that it lacks.
OTHER_TRIAL_WAIT_S = 1.0
# Evidence older than this is forgotten: a part that is seldom used may have been
# mended, and its endpoints replaced.
EVIDENCE_TTL_S = 600.0
BLOCK_TTL_S = 86_400.0
# Reports of one endpoint's crash differ by less than this time; a process that is
# started again under the same identity takes longer to crash again.
CRASH_DEDUP_S = 1.0
# Parts with crashes, crashes of one part, parts with sound answers, and blocks that are
# remembered.  Clients choose the parts of their prompts, so that all are bounded; full,
# they take 8 MB with prompts of four parts.
SUSPECTS_MAX = 4096
CRASHES_KEPT = 8
SOUND_MAX = 16_384
BLOCKS_MAX = 256

State = Literal["free", "trial", "wait", "blocked"]


class Clearance(NamedTuple):
    """Whether a prompt may be sent.

    Parameters
    ----------
    state : {"free", "trial", "wait", "blocked"}
        As usual; as a trial; not now, since a trial has to wait or is running; not at
        all.
    wait_s : float
        Time until the next trial.
    parts : tuple of int
        Parts on trial.
    """

    state: State
    wait_s: float = 0.0
    parts: tuple[int, ...] = ()


FREE = Clearance("free")
_SEVERITY: dict[State, int] = {"free": 0, "trial": 1, "wait": 2, "blocked": 3}
_Key = tuple[int, int]


class PromptFaults:
    """What one router knows of parts that crash endpoints.

    Attributes
    ----------
    routers : int
        Size of the fleet.  A router hears of the crashes of all prompts, but sees sound
        answers to its own only.
    """

    def __init__(self) -> None:
        self.routers = 1
        self._crashes: OrderedDict[_Key, list[CrashReport]] = OrderedDict()
        self._sound_s: OrderedDict[_Key, float] = OrderedDict()
        self._trials: dict[_Key, float] = {}
        self._blocks: dict[int, list[BlockReport]] = {}
        # All crashes by process and parts, and this router's own sound answers.
        self._reports: OrderedDict[tuple[int, tuple[int, ...]], CrashReport]
        self._reports = OrderedDict()
        self._answers: deque[SoundReport] = deque(maxlen=REPORTS_KEPT)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is held against any part."""
        return not self._crashes and not self._blocks

    def count(self) -> dict[str, int]:
        """Return the numbers of parts and blocks that are remembered."""
        return {
            "suspects": len(self._crashes),
            "sound": len(self._sound_s),
            "blocks": sum(map(len, self._blocks.values())),
        }

    def list_blocks(self) -> list[BlockReport]:
        """Return all blocks."""
        return [block for blocks in self._blocks.values() for block in blocks]

    def list_crashes(self, since_s: float) -> list[CrashReport]:
        """Return the crashes that are held against any part, the newest first."""
        return [
            report
            for report in reversed(self._reports.values())
            if report.crashed_s >= since_s
            and any((report.scope, part) in self._crashes for part in report.parts)
        ]

    def list_sound(self, crashes: Sequence[CrashReport]) -> list[SoundReport]:
        """Return this router's own sound answers that clear parts of some crashes.

        Whoever is told of the crashes alone would hold them against parts that nearly
        all prompts share.
        """
        since_s = min((crash.crashed_s for crash in crashes), default=math.inf)
        left = {(crash.scope, part) for crash in crashes for part in crash.parts}
        found = []
        for answer in reversed(self._answers):
            cleared = left.intersection((answer.scope, part) for part in answer.parts)
            if cleared and answer.seen_s > since_s:
                found.append(answer)
                left -= cleared
        return found[:SOUND_TOLD_MAX]

    def knows(self, report: CrashReport) -> bool:
        """Return whether a crash has been told before."""
        return (report.process, report.parts) in self._reports

    def check(
        self,
        scope: int,
        team: int,
        parts: Sequence[int],
        now_s: float,
        stagger_s: float = 0.0,
    ) -> Clearance:
        """Return whether a prompt may be sent to endpoints of a scope.

        Parameters
        ----------
        scope : int
            See `hash_scope`.
        team : int
            Hash of its team.
        parts : sequence of int
            Hashes of its shared parts.
        now_s : float
            Current time.
        stagger_s : float, default=0.0
            How much longer this router waits with a trial than the first one, so that
            not all of them begin one at the same moment.
        """
        if self.is_idle:
            return FREE
        worst = FREE
        on_trial: list[int] = []
        for part in parts:
            found = self._check_part(scope, team, part, parts, now_s, stagger_s)
            if found.state != "free":
                on_trial.append(part)
            if (_SEVERITY[found.state], found.wait_s) > (
                _SEVERITY[worst.state],
                worst.wait_s,
            ):
                worst = found
        return worst._replace(parts=tuple(on_trial))

    def _check_part(
        self,
        scope: int,
        team: int,
        part: int,
        parts: Sequence[int],
        now_s: float,
        stagger_s: float,
    ) -> Clearance:
        for blocks in self._blocks.values():
            for block in blocks:
                if part in block.parts:
                    found = self._check_block(
                        block, scope, team, part, parts, now_s - stagger_s
                    )
                    if found.state != "free":
                        return found
        chain = self._find_independent((scope, part), now_s)
        if len(chain) < CRASHES_SUSPECTED:
            return FREE
        if not self._find_equals(part, chain, now_s).issubset(parts):
            # It tells the equally suspect parts apart: no pause, but one at a time.
            return self._make_trial((scope, part), now_s, "wait", now_s)
        newest_s = max(r.crashed_s for r in self._crashes[scope, part])
        factor = TRIAL_FACTOR ** (len(chain) - CRASHES_SUSPECTED)
        due_s = newest_s + factor * TRIAL_WAIT_S + stagger_s
        return self._make_trial((scope, part), due_s, "wait", now_s)

    def _check_block(
        self,
        block: BlockReport,
        scope: int,
        team: int,
        part: int,
        parts: Sequence[int],
        now_s: float,
    ) -> Clearance:
        is_same_scope = scope == block.scope
        if not is_same_scope and self._is_sound((scope, part)):
            return FREE
        is_same_team = len(block.teams) > 1 or team in block.teams
        is_same = is_same_scope and is_same_team and {*block.parts}.issubset(parts)
        wait_s = _compute_block_wait_s(block.trials)
        if not is_same and not block.trials:
            wait_s = OTHER_TRIAL_WAIT_S
        return self._make_trial(
            (scope, part), block.blocked_s + wait_s, "blocked", now_s
        )

    def _make_trial(
        self, key: _Key, due_s: float, otherwise: State, now_s: float
    ) -> Clearance:
        began_s = self._trials.get(key, -math.inf)
        if now_s >= max(due_s, began_s + TRIAL_MAX_S):
            return Clearance("trial")
        # A trial that is running is over sooner, as a rule.
        return Clearance(otherwise, max(due_s - now_s, TRIAL_WAIT_S))

    def _is_sound(self, key: _Key) -> bool:
        return key in self._sound_s and key not in self._crashes

    def begin_trial(self, report: TrialReport) -> None:
        """Record that a router has begun a trial."""
        for part in report.parts:
            key = report.scope, part
            self._trials[key] = max(report.began_s, self._trials.get(key, -math.inf))

    def end_trial(self, report: TrialReport) -> None:
        """Record that a trial is over, whatever came of it."""
        for part in report.parts:
            key = report.scope, part
            if self._trials.get(key, math.inf) <= report.began_s:
                del self._trials[key]

    def observe_crash(self, report: CrashReport, now_s: float) -> list[BlockReport]:
        """Record a crash; return the blocks that are new or were renewed."""
        self._remember(report)
        if self._is_explained(report):
            return []
        renewed = self._observe_failed_trial(report)
        if renewed:
            return renewed
        for part in report.parts:
            self._add_crash((report.scope, part), report)
        guilty = {
            part
            for part in report.parts
            if self._is_guilty((report.scope, part), now_s)
        }
        if not guilty:
            return []
        teams = {
            crash.team
            for part in guilty
            for crash in self._crashes[report.scope, part]
            if guilty.issubset(crash.parts)
        }
        block = BlockReport(
            report.scope,
            tuple(sorted(guilty)),
            tuple(sorted(teams)),
            report.crashed_s,
            0,
        )
        self._add_block(block)
        return [block]

    def _remember(self, report: CrashReport) -> None:
        # Reports are sent several times, each time with a slightly later crash.
        if not self.knows(report):
            self._reports[report.process, report.parts] = report
            if len(self._reports) > REPORTS_KEPT:
                self._reports.popitem(last=False)

    def _is_guilty(self, key: _Key, now_s: float) -> bool:
        """Return whether a part has had too many crashes to be sound."""
        chain = self._find_independent(key, now_s)
        if len(chain) < CRASHES_BLOCKED:
            return False
        scope, part = key
        since_s = chain[0].sent_s
        crashed, sound = PRIOR_CRASHED, PRIOR_SOUND
        for report in self._reports.values():
            if report.scope == scope and report.crashed_s >= since_s:
                crashed += part not in report.parts
        for answer in self._answers:
            if answer.scope == scope and answer.seen_s >= since_s:
                sound += self.routers * (part not in answer.parts)
        return (crashed / (crashed + sound)) ** len(chain) <= CHANCE_MAX

    def _is_explained(self, report: CrashReport) -> bool:
        """Return whether a request crashed an endpoint that was sent before a block."""
        return any(
            report.sent_s < block.blocked_s and set(block.parts).issubset(report.parts)
            for block in self._blocks.get(report.scope, ())
        )

    def _add_crash(self, key: _Key, report: CrashReport) -> None:
        if self._sound_s.get(key, -math.inf) >= report.crashed_s:
            return
        crashes = self._crashes.setdefault(key, [])
        for known in crashes:
            is_near = abs(known.crashed_s - report.crashed_s) < CRASH_DEDUP_S
            if known.process == report.process and is_near:
                return
        crashes.append(report)
        crashes.sort(key=lambda crash: crash.crashed_s)
        del crashes[:-CRASHES_KEPT]
        self._crashes.move_to_end(key)
        if len(self._crashes) > SUSPECTS_MAX:
            self._crashes.popitem(last=False)

    def _observe_failed_trial(self, report: CrashReport) -> list[BlockReport]:
        """Renew the blocks whose parts have crashed an endpoint once more."""
        renewed = []
        for block in self.list_blocks():
            is_same = report.scope == block.scope
            is_complete = set(block.parts).issubset(report.parts)
            if report.sent_s < block.blocked_s:
                continue
            if not set(block.parts).intersection(report.parts):
                continue
            # A request that was sent right after may have come from a router that had
            # not heard of the block.
            is_trial = report.sent_s >= block.blocked_s + OTHER_TRIAL_WAIT_S
            failed = block._replace(
                blocked_s=report.crashed_s, trials=block.trials + is_trial
            )
            if is_complete:
                teams = {*block.teams, report.team}
                failed = failed._replace(teams=tuple(sorted(teams)))
            if is_complete and not is_same:
                self._add_block(failed._replace(scope=report.scope))
                renewed.append(failed._replace(scope=report.scope))
            self._add_block(failed)
            renewed.append(failed)
        return renewed

    def observe_block(self, report: BlockReport) -> list[SoundReport]:
        """Record a block that another router tells.

        Returns
        -------
        list of SoundReport
            Sound answers since then that contradict it, for all routers to hear.
        """
        sound = {}
        for part in report.parts:
            seen_s = self._sound_s.get((report.scope, part), -math.inf)
            if seen_s > report.blocked_s:
                sound[part] = seen_s
        rest = tuple(part for part in report.parts if part not in sound)
        if rest:
            self._add_block(report._replace(parts=rest))
        return [
            SoundReport(report.scope, (part,), seen_s) for part, seen_s in sound.items()
        ]

    def _add_block(self, block: BlockReport) -> None:
        blocks = self._blocks.setdefault(block.scope, [])
        parts = set(block.parts)
        for known in list(blocks):
            if known.parts == block.parts:
                block = _merge_blocks(known, block)
                blocks.remove(known)
            elif parts.issubset(known.parts):
                # Fewer parts explain the same crashes.
                blocks.remove(known)
            elif parts.issuperset(known.parts):
                return
        blocks.append(block)
        if len(blocks) > BLOCKS_MAX:
            blocks.remove(min(blocks, key=lambda known: known.blocked_s))
        self._forget_explained(block)

    def _remove_block(self, block: BlockReport) -> None:
        blocks = self._blocks[block.scope]
        blocks.remove(block)
        if not blocks:
            del self._blocks[block.scope]

    def _forget_explained(self, block: BlockReport) -> None:
        """Forget crashes that the parts of a block have caused."""
        parts = set(block.parts)
        explained = {
            report.process
            for part in block.parts
            for report in self._crashes.get((block.scope, part), ())
            if parts.issubset(report.parts)
        }
        for key in [key for key in self._crashes if key[0] == block.scope]:
            rest = [r for r in self._crashes[key] if r.process not in explained]
            self._set_crashes(key, [] if key[1] in parts else rest)

    def _set_crashes(self, key: _Key, crashes: list[CrashReport]) -> None:
        if crashes:
            self._crashes[key] = crashes
        else:
            self._crashes.pop(key, None)

    def observe_sound(
        self, report: SoundReport, is_own: bool = False
    ) -> dict[int, float]:
        """Clear the parts of a prompt.

        Parameters
        ----------
        report : SoundReport
            The parts.
        is_own : bool, default=False
            Whether this router had sent the request.

        Returns
        -------
        dict of int to float
            Parts that were suspect or blocked, by the time of the newest crash that is
            no longer held against them.
        """
        if is_own:
            self._answers.append(report)
        cleared = {part: self._clear(report, part) for part in report.parts}
        return {part: s for part, s in cleared.items() if s is not None}

    def _clear(self, report: SoundReport, part: int) -> float | None:
        key = report.scope, part
        seen_s = max(report.seen_s, self._sound_s.get(key, -math.inf))
        self._sound_s[key] = seen_s
        self._sound_s.move_to_end(key)
        if len(self._sound_s) > SOUND_MAX:
            self._sound_s.popitem(last=False)
        cleared_s: list[float] = []
        known = self._crashes.get(key)
        if known is not None:
            cleared_s += [c.crashed_s for c in known if c.crashed_s <= seen_s]
            self._set_crashes(key, [c for c in known if c.crashed_s > seen_s])
        for block in list(self._blocks.get(report.scope, ())):
            if part in block.parts and block.blocked_s < seen_s:
                cleared_s.append(block.blocked_s)
                self._remove_block(block)
                rest = tuple(p for p in block.parts if p != part)
                if rest:
                    self._add_block(block._replace(parts=rest))
        return max(cleared_s, default=None)

    def expire(self, now_s: float) -> None:
        """Forget what is too old to matter."""
        for key, crashes in list(self._crashes.items()):
            recent = [r for r in crashes if r.crashed_s > now_s - EVIDENCE_TTL_S]
            self._set_crashes(key, recent)
        for key, began_s in list(self._trials.items()):
            if began_s < now_s - TRIAL_MAX_S:
                del self._trials[key]
        for block in self.list_blocks():
            if block.blocked_s < now_s - BLOCK_TTL_S:
                self._remove_block(block)

    def count_crashes(self, scope: int, part: int, now_s: float) -> int:
        """Return the number of independent crashes that are held against a part."""
        return len(self._find_independent((scope, part), now_s))

    def _find_independent(self, key: _Key, now_s: float) -> list[CrashReport]:
        """Return crashes of requests that were sent after the crash before."""
        found: list[CrashReport] = []
        for report in self._crashes.get(key, ()):
            if report.crashed_s < now_s - EVIDENCE_TTL_S:
                continue
            if not found or report.sent_s >= found[-1].crashed_s:
                found.append(report)
        return found

    def _find_equals(
        self, part: int, chain: Iterable[CrashReport], now_s: float
    ) -> set[int]:
        """Return the parts that come with one, and are at least as suspect."""
        reports = list(chain)
        common = set(reports[0].parts)
        for report in reports[1:]:
            common.intersection_update(report.parts)
        scope = reports[0].scope
        return {
            other
            for other in common
            if len(self._find_independent((scope, other), now_s)) >= len(reports)
        } | {part}


def _merge_blocks(known: BlockReport, told: BlockReport) -> BlockReport:
    """Return what two routers know of a block."""
    newer = max(known, told, key=lambda block: block.trials)
    blocked_s = newer.blocked_s
    if known.trials == told.trials:
        # Each time that a report is passed on, its crash seems to be a little later.
        blocked_s = min(known.blocked_s, told.blocked_s)
    teams = tuple(sorted({*known.teams, *told.teams}))
    return newer._replace(teams=teams, blocked_s=blocked_s)


def _compute_block_wait_s(trials: int) -> float:
    """Return the pause before the next trial of a block."""
    factor = BLOCK_TRIAL_FACTOR ** min(trials, 8)
    return min(BLOCK_TRIAL_WAIT_MAX_S, BLOCK_TRIAL_WAIT_S * factor)
