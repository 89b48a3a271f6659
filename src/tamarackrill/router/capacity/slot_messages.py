"""Conversions between calls, decisions about slots, and messages."""

import math
from collections.abc import Collection

from tamarackrill.decisions.capacity.load_reports import LoadReport
from tamarackrill.decisions.capacity.slots import (
    Decision,
    Granted,
    Queued,
    SlotRequest,
)
from tamarackrill.protocol.slot_codec import (
    UNKNOWN,
    SlotAnswer,
    SlotAsk,
    SlotRelease,
    Verdict,
)
from tamarackrill.router.edge_calls import EdgeCall

# Limits of the values in an ask, beyond those of any deployment.
TIME_LEFT_MAX_MS = 600_000
WEIGHT_MAX_MILLI = 1_000_000
URGENCY_MAX = 9
_HASHES = 2**64


def make_ask(
    call: EdgeCall, zone: str, avoid: Collection[str], is_overflow: bool, now_s: float
) -> SlotAsk:
    """Return an ask for a request, without sender and ticket."""
    objective_s = call.arrived_s + call.route.objective_s
    fingerprint = call.fingerprint
    return SlotAsk(
        sender="",
        ticket=0,
        service_name=call.service,
        zone=zone,
        route=call.route.name,
        team=call.team or "",
        weight_milli=round(1000 * call.weight),
        urgency=min(URGENCY_MAX, call.route.priority),
        fingerprint=fingerprint - _HASHES
        if fingerprint >= _HASHES // 2
        else fingerprint,
        objective_left_ms=_limit_ms(1000 * (objective_s - now_s)),
        deadline_left_ms=_limit_ms(1000 * (call.deadline_s - now_s)),
        is_overflow=is_overflow,
        avoid=list(avoid),
    )


def make_release(
    endpoint: str, load: LoadReport | None, took_s: float | None
) -> SlotRelease:
    """Return a release without sender and ticket."""
    took_ms = UNKNOWN if took_s is None else max(0, _limit_ms(1000 * took_s))
    if load is None:
        return SlotRelease("", 0, endpoint, took_ms, UNKNOWN, UNKNOWN, UNKNOWN)
    slowdown = load.slowdown
    percent = UNKNOWN if slowdown is None else round(100 * slowdown)
    return SlotRelease("", 0, endpoint, took_ms, load.running, load.waiting, percent)


def remove_load(release: SlotRelease) -> SlotRelease:
    """Return a release without its load, which is out of date when it is repeated."""
    return release._replace(running=UNKNOWN, waiting=UNKNOWN, slowdown_percent=UNKNOWN)


def make_cancellation() -> SlotRelease:
    """Return the release of an ask that is withdrawn, without sender and ticket."""
    return make_release("", None, None)


def name_request(router: str, ticket: int) -> str:
    """Return the key of an ask in a slot queue."""
    return f"{router}/{ticket}"


def make_request(ask: SlotAsk, now_s: float) -> SlotRequest:
    """Return the request in an ask that has just arrived."""
    return SlotRequest(
        key=name_request(ask.sender, ask.ticket),
        route=ask.route,
        team=ask.team,
        weight=max(1, min(WEIGHT_MAX_MILLI, ask.weight_milli)) / 1000,
        urgency=max(0, min(URGENCY_MAX, ask.urgency)),
        fingerprint=ask.fingerprint,
        objective_s=now_s + _limit_ms(ask.objective_left_ms) / 1000,
        deadline_s=now_s + _limit_ms(ask.deadline_left_ms) / 1000,
        arrived_s=now_s,
        is_overflow=ask.is_overflow,
        avoid=frozenset(ask.avoid),
    )


def make_answer(ticket: int, decision: Decision) -> SlotAnswer:
    """Return the answer that tells a decision."""
    if isinstance(decision, Granted):
        return SlotAnswer(ticket, Verdict.GRANTED, decision.endpoint, 0, "")
    if isinstance(decision, Queued):
        wait_ms = _limit_ms(math.ceil(1000 * decision.wait_s))
        return SlotAnswer(ticket, Verdict.QUEUED, "", wait_ms, "")
    wait_ms = _limit_ms(math.ceil(1000 * decision.retry_after_s))
    return SlotAnswer(ticket, Verdict.REJECTED, "", wait_ms, decision.reason)


def read_report(release: SlotRelease) -> LoadReport | None:
    """Return the load in a release, None if it has none."""
    if min(release.running, release.waiting) < 0:
        return None
    percent = release.slowdown_percent
    slowdown = percent / 100 if percent > 0 else None
    return LoadReport(release.running, release.waiting, slowdown)


def _limit_ms(time_ms: float) -> int:
    return int(max(-TIME_LEFT_MAX_MS, min(TIME_LEFT_MAX_MS, time_ms)))
