"""Keeps parts of prompts that crash endpoints away from these, on all routers."""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.hashing import hash_name
from tamarackrill.decisions.prompt_faults import Clearance, PromptFaults
from tamarackrill.decisions.prompt_reports import (
    BlockReport,
    CrashReport,
    SoundReport,
    TrialReport,
    hash_scope,
)
from tamarackrill.decisions.prompts import Prompt
from tamarackrill.events import (
    PART_BLOCKED,
    PART_CLEARED,
    PART_TRIAL,
    PROMPT_CRASHED,
    log_event,
)
from tamarackrill.exceptions import Refusal
from tamarackrill.protocol.prompt_codec import (
    PromptNews,
    Report,
    decode_prompt_news,
    encode_prompt_news,
)
from tamarackrill.router.members import Member, Members
from tamarackrill.router.metrics import Metrics

# Events after which an answer has begun soundly: an endpoint that a prompt crashes ends
# as it begins to write, at times within its first event.
SOUND_EVENTS_MIN = 2
PART_BLOCKED_CODE = "prompt_part"
BLOCKED_STATUS = 503
# Time between two rounds of housekeeping.
UPDATE_INTERVAL_S = 0.25
# A datagram may be lost, so reports are sent again in the next rounds of housekeeping.
REPEATS = 2
# Between rounds in which all that is known goes to a few routers, among them such as
# have just started or were cut off.
EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_PEERS = 3
# Rounds in which a router that has just started asks for what is known: there may be no
# router of a release that answers.
QUESTIONS_MAX = 20
# Crashes that these rounds tell: older ones have reached all routers or have expired.
EXCHANGE_CRASHES_MAX = 32
EXCHANGE_CRASHES_AGE_S = 30.0
# Reports per datagram, so that it stays below a kilobyte for prompts of a few parts.
REPORTS_MAX = 8
# Time over which routers spread what all of them could tell or begin, per router: the
# others need some milliseconds to hear of the first one.
SOUND_SPREAD_S = 0.0003
TRIAL_SPREAD_S = 0.01
TRIAL_SPREAD_MAX_S = 0.5
# Broken attempts are remembered this long: if a new process takes over the address of
# their endpoint, it has crashed, though it took connections right after.  Its entry
# comes within some tenths of a second; later it may have crashed for another request.
BROKEN_KEPT_S = 2.0
BROKEN_MAX = 256


class Exposure(NamedTuple):
    """An attempt at an endpoint, and the parts of its prompt that others share.

    Parameters
    ----------
    scope, process, team, parts, sent_s
        See `CrashReport`.
    endpoint : Endpoint
        The endpoint.
    """

    scope: int
    process: int
    team: int
    parts: tuple[int, ...]
    sent_s: float
    endpoint: Endpoint


class _Broken(NamedTuple):
    exposure: Exposure
    broken_s: float


class PartBlocked(Refusal):
    """All endpoints of a service are closed to a prompt.

    Parameters
    ----------
    clearance : Clearance
        Of the endpoints that open first.
    """

    def __init__(self, clearance: Clearance) -> None:
        super().__init__(
            PART_BLOCKED_CODE,
            BLOCKED_STATUS,
            "a part of the prompt crashes endpoints",
            retry_after_s=clearance.wait_s,
        )


class PromptGuard:
    """Client of `PromptFaults`, which tells other routers what it learns.

    Parameters
    ----------
    list_candidates : callable
        Returns the endpoints that may answer a prompt.
    list_endpoints : callable
        Returns all known endpoints.
    members : Members
        Live routers, including this one.
    send : callable
        Sends a datagram to a peer address.
    peer_keys : tuple of str
        The first key signs; all of them verify.
    metrics : Metrics
        Records counters.
    clock : callable
        Returns the current time.

    Attributes
    ----------
    faults : PromptFaults
        What is known of parts.
    """

    def __init__(
        self,
        list_candidates: Callable[[Prompt], Iterable[Endpoint]],
        list_endpoints: Callable[[], Iterable[Endpoint]],
        members: Members,
        send: Callable[[str, bytes], None],
        peer_keys: tuple[str, ...],
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.faults = PromptFaults()
        self._list_candidates = list_candidates
        self._list_endpoints = list_endpoints
        self._members = members
        self._send = send
        self._peer_keys = peer_keys
        self._metrics = metrics
        self._clock = clock
        self._broken: deque[_Broken] = deque(maxlen=BROKEN_MAX)
        # When the first attempt at each process broke off, lately.
        self._first_broken_s: dict[int, float] = {}
        self._repeats: deque[tuple[int, tuple[Report, ...]]] = deque()
        self._exchanged_s = clock()
        self._questions_left = QUESTIONS_MAX
        # Parts that some router has just told to be sound.
        self._told_sound_s: dict[tuple[int, int], float] = {}

    def find_closed(self, prompt: Prompt) -> tuple[set[str], TrialReport | None]:
        """Return the endpoints that must not get a prompt, and the trial it begins.

        Raises
        ------
        PartBlocked
            If these are all endpoints of its service.
        """
        if not prompt.parts or self.faults.is_idle:
            return set(), None
        now_s = self._clock()
        endpoints = list(self._list_candidates(prompt))
        versions = {endpoint.software_version for endpoint in endpoints}
        clearances = {v: self._check(prompt, v, now_s) for v in versions}
        opened = {v for v, found in clearances.items() if found.state == "free"}
        if opened == versions:
            return set(), None
        trial = None
        if not opened:
            version, best = min(clearances.items(), key=_rank_clearance)
            if best.state != "trial":
                raise PartBlocked(best)
            opened.add(version)
            scope = hash_scope(prompt.service, prompt.model, version)
            trial = TrialReport(scope, best.parts, now_s, False)
            self._begin_trial(prompt, trial)
        closed = {e.name for e in endpoints if e.software_version not in opened}
        return closed, trial

    def _check(self, prompt: Prompt, software_version: str, now_s: float) -> Clearance:
        scope = hash_scope(prompt.service, prompt.model, software_version)
        team = hash_name(prompt.team)
        stagger_s = self._spread(prompt.parts[-1], TRIAL_SPREAD_S, TRIAL_SPREAD_MAX_S)
        return self.faults.check(scope, team, prompt.parts, now_s, stagger_s)

    def _spread(self, part: int, each_s: float, max_s: float) -> float:
        """Return this router's own share of a time over which routers spread."""
        share = hash_name(f"{self._members.own.name} {part}") % 1000 / 1000
        return share * min(max_s, each_s * len(self._members.list_live()))

    def _begin_trial(self, prompt: Prompt, trial: TrialReport) -> None:
        self.faults.begin_trial(trial)
        self._metrics.count("part_trials", "")
        log_event(
            PART_TRIAL,
            request=prompt.request_id,
            scope=_format_hash(trial.scope),
            parts=_format_hashes(trial.parts),
        )
        self._tell((trial,))

    def end_trial(self, trial: TrialReport) -> None:
        """Record that a trial is over, whatever came of it."""
        self.faults.end_trial(trial)
        self._tell((trial._replace(is_over=True),))

    def record_sent(self, prompt: Prompt, endpoint: Endpoint) -> Exposure | None:
        """Return what an attempt exposes an endpoint to; None if it shares no part."""
        if not prompt.parts:
            return None
        return Exposure(
            hash_scope(prompt.service, prompt.model, endpoint.software_version),
            hash_name(f"{endpoint.name}\n{endpoint.started_ms}"),
            hash_name(prompt.team),
            prompt.parts,
            self._clock(),
            endpoint,
        )

    def record_sound(self, exposure: Exposure) -> None:
        """Record that an answer has gone on past its beginning."""
        report = SoundReport(exposure.scope, exposure.parts, self._clock())
        cleared = self.faults.observe_sound(report, is_own=True)
        if not cleared:
            return
        _log_cleared(report, cleared, self._members.own.name)
        delay_s = self._spread(exposure.parts[-1], SOUND_SPREAD_S, TRIAL_SPREAD_MAX_S)
        asyncio.get_running_loop().call_later(
            delay_s, self._tell_sound, report, cleared
        )

    def _tell_sound(self, report: SoundReport, cleared: Mapping[int, float]) -> None:
        """Tell that parts are sound, unless another router has just told it."""
        untold = tuple(
            part
            for part, crashed_s in cleared.items()
            if self._told_sound_s.get((report.scope, part), -1.0) <= crashed_s
        )
        if untold:
            self._tell_often((report._replace(parts=untold),))

    def record_broken(self, exposure: Exposure, broken_s: float) -> None:
        """Record that an attempt broke off, though its endpoint seems to live."""
        # What was sent after an earlier attempt broke off there didn't end it.
        first_s = self._first_broken_s.setdefault(exposure.process, broken_s)
        if exposure.sent_s > first_s:
            return
        self._broken.append(_Broken(exposure, broken_s))
        # The news of the new process may have come before.
        self.observe_endpoints(())

    def record_crash(self, exposure: Exposure, crashed_s: float) -> None:
        """Record that an endpoint crashed before an answer had begun."""
        report = CrashReport(
            exposure.scope,
            exposure.process,
            exposure.team,
            exposure.parts,
            exposure.sent_s,
            crashed_s,
        )
        own = self._members.own.name
        _log_crash(report, own)
        blocks = self.faults.observe_crash(report, self._clock())
        _log_blocks(blocks, own)
        self._tell_often((report, *blocks))

    def record_replaced(self, endpoint: Endpoint) -> None:
        """Record that another process has taken over an endpoint's address."""
        self._confirm_crashes(lambda broken: broken.endpoint.name == endpoint.name)

    def observe_endpoints(self, restarted: Iterable[str]) -> None:
        """Find broken attempts whose endpoint has been replaced by a new process."""
        if not self._broken:
            return
        restarted = set(restarted)
        names = {e.address: e.name for e in self._list_endpoints()}

        def is_replaced(exposure: Exposure) -> bool:
            endpoint = exposure.endpoint
            known = names.get(endpoint.address, endpoint.name)
            return known != endpoint.name or endpoint.name in restarted

        self._confirm_crashes(is_replaced)

    def _confirm_crashes(self, is_crashed: Callable[[Exposure], bool]) -> None:
        kept: deque[_Broken] = deque(maxlen=BROKEN_MAX)
        while self._broken:
            broken = self._broken.popleft()
            if is_crashed(broken.exposure):
                self.record_crash(broken.exposure, broken.broken_s)
            else:
                kept.append(broken)
        self._broken = kept

    async def run(self) -> None:
        """Update until cancelled."""
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            self.update()

    def ask(self, addresses: Iterable[str]) -> None:
        """Ask routers at some addresses for what is known."""
        for address in addresses:
            self._send_reports(address, (), asks=True)

    def update(self) -> None:
        """Repeat reports, exchange what is known, and forget what is too old."""
        now_s = self._clock()
        self.faults.routers = len(self._members.list_live())
        while self._broken and self._broken[0].broken_s < now_s - BROKEN_KEPT_S:
            self._broken.popleft()
        for _ in range(len(self._repeats)):
            left, reports = self._repeats.popleft()
            self._tell(reports)
            if left > 1:
                self._repeats.append((left - 1, reports))
        if self._questions_left and self._list_peers():
            self._questions_left -= 1
            self._exchange((), asks=True)
        if now_s >= self._exchanged_s + EXCHANGE_INTERVAL_S:
            self._exchanged_s = now_s
            self.faults.expire(now_s)
            self._first_broken_s = {
                process: broken_s
                for process, broken_s in self._first_broken_s.items()
                if broken_s > now_s - EXCHANGE_CRASHES_AGE_S
            }
            self._told_sound_s = {
                key: told_s
                for key, told_s in self._told_sound_s.items()
                if told_s > now_s - EXCHANGE_CRASHES_AGE_S
            }
            if known := self._list_known(now_s):
                self._exchange(known)

    def _list_known(self, now_s: float) -> tuple[Report, ...]:
        crashes = self.faults.list_crashes(now_s - EXCHANGE_CRASHES_AGE_S)
        crashes = crashes[:EXCHANGE_CRASHES_MAX]
        sound = self.faults.list_sound(crashes)
        return (*self.faults.list_blocks(), *sound, *crashes)

    def _list_peers(self) -> list[Member]:
        own = self._members.own.name
        return [m for m in self._members.list_live() if m.name != own]

    def _exchange(self, reports: tuple[Report, ...], asks: bool = False) -> None:
        peers = self._list_peers()
        chosen = random.sample(peers, min(EXCHANGE_PEERS, len(peers)))
        for member in chosen:
            self._send_reports(member.peer_address, reports, asks)

    def _tell_often(self, reports: tuple[Report, ...]) -> None:
        self._tell(reports)
        self._repeats.append((REPEATS, reports))

    def _tell(self, reports: tuple[Report, ...]) -> None:
        datagrams = self._encode(reports)
        for member in self._list_peers():
            for datagram in datagrams:
                self._send(member.peer_address, datagram)

    def _send_reports(
        self,
        address: str,
        reports: tuple[Report, ...],
        asks: bool = False,
        is_reply: bool = False,
    ) -> None:
        for datagram in self._encode(reports, asks, is_reply):
            self._send(address, datagram)

    def _encode(
        self, reports: tuple[Report, ...], asks: bool = False, is_reply: bool = False
    ) -> list[bytes]:
        starts = range(0, max(1, len(reports)), REPORTS_MAX)
        return [
            encode_prompt_news(
                PromptNews(
                    self._members.own.name,
                    reports[start : start + REPORTS_MAX],
                    asks,
                    is_reply,
                ),
                self._peer_keys,
                self._clock(),
            )
            for start in starts
        ]

    def handle_datagram(self, datagram: bytes, source: str) -> bool:
        """Process a datagram; return whether it was about parts of prompts."""
        now_s = self._clock()
        news = decode_prompt_news(datagram, self._peer_keys, now_s)
        if news is None:
            return False
        if news.is_reply:
            self._questions_left = 0
        if news.asks:
            self._send_reports(source, self._list_known(now_s), is_reply=True)
        # What has been cleared since isn't held against a part meanwhile.
        for report in sorted(news.reports, key=_is_no_sound):
            self._observe(report, news.sender, now_s)
        return True

    def _observe(self, report: Report, source: str, now_s: float) -> None:
        if isinstance(report, CrashReport):
            if not self.faults.knows(report):
                _log_crash(report, source)
            _log_blocks(self.faults.observe_crash(report, now_s), source)
        elif isinstance(report, SoundReport):
            for part in report.parts:
                self._told_sound_s[report.scope, part] = report.seen_s
            if cleared := self.faults.observe_sound(report):
                _log_cleared(report, cleared, source)
        elif isinstance(report, BlockReport):
            known = {_strip_time(block) for block in self.faults.list_blocks()}
            contradictions = self.faults.observe_block(report)
            blocks = self.faults.list_blocks()
            _log_blocks((b for b in blocks if _strip_time(b) not in known), source)
            if contradictions:
                self._tell(tuple(contradictions))
        elif report.is_over:
            self.faults.end_trial(report)
        else:
            self.faults.begin_trial(report)


def _is_no_sound(report: Report) -> bool:
    return not isinstance(report, SoundReport)


def _strip_time(block: BlockReport) -> BlockReport:
    """Return a block without its time, which differs a little at each router."""
    return block._replace(blocked_s=0.0)


def _rank_clearance(item: tuple[str, Clearance]) -> tuple[bool, float, str]:
    software_version, clearance = item
    return clearance.state != "trial", clearance.wait_s, software_version


def _format_hash(value: int) -> str:
    return f"{value:016x}"


def _format_hashes(values: Iterable[int]) -> list[str]:
    return [_format_hash(value) for value in values]


def _log_crash(report: CrashReport, source: str) -> None:
    log_event(
        PROMPT_CRASHED,
        process=_format_hash(report.process),
        scope=_format_hash(report.scope),
        parts=_format_hashes(report.parts),
        team=_format_hash(report.team),
        source=source,
    )


def _log_blocks(blocks: Iterable[BlockReport], source: str) -> None:
    for block in blocks:
        log_event(
            PART_BLOCKED,
            scope=_format_hash(block.scope),
            parts=_format_hashes(block.parts),
            teams=len(block.teams),
            trials=block.trials,
            source=source,
        )


def _log_cleared(report: SoundReport, parts: Iterable[int], source: str) -> None:
    log_event(
        PART_CLEARED,
        scope=_format_hash(report.scope),
        parts=_format_hashes(parts),
        source=source,
    )
