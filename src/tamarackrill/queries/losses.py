"""Query that counts lost requests in router logs by route, cause and time window.

Each request has one outcome: an endpoint's answer, an endpoint's failure that was
passed on, a refusal, an unknown outcome, a truncated stream, or a client that
disconnected.  The counts show an operator what to look at first; `explain_log` then
shows a single request.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Literal, NamedTuple

from tamarackrill.display import format_table
from tamarackrill.events import (
    CALL_ANSWERED,
    CALL_ATTEMPT_FAILED,
    CALL_CUT,
    CALL_LEFT,
    CALL_REFUSED,
    CALL_SENT,
)
from tamarackrill.queries.explain_log import TIME_FIELD, parse_line

# Answers with this status or a higher one count as failures of their endpoint.
FAILURE_STATUS_MIN = 500
# Refusals that guarantee that nothing has run; after others the outcome is unknown.
NOT_RUN_STATUSES = (429, 503)
ENDPOINTS_SHOWN = 3
FIRST_BYTE_QUANTILE = 0.95
_ATTEMPT_ENDS = frozenset(
    event.number
    for event in (
        CALL_ANSWERED,
        CALL_ATTEMPT_FAILED,
        CALL_CUT,
        CALL_LEFT,
        CALL_REFUSED,
    )
)

Ending = Literal["answered", "refused", "failed", "left"]


class RequestOutcome(NamedTuple):
    """Outcome of one request.

    Parameters
    ----------
    time_s : float
        Time of the outcome, by the log's clock.
    route : str
        Route of the request; empty if it matched none.
    cause : str
        Why it was lost; empty if it got an endpoint's answer.
    endpoint : str
        Last endpoint that it was sent to; empty if it was sent to none.
    first_s : float or None
        Time to the first byte of the answer.
    service, team : str
        Service that runs the request, and owner of its key; empty if unknown.
    ending : {"answered", "refused", "failed", "left"}
        How it ended; `refused` guarantees that nothing has run.
    is_late : bool
        Whether it was answered after the objective of its route.
    waited_s : float or None
        Time from its arrival to the answer, or to its refusal.
    work_s : float
        Time that its attempts took at endpoints.
    """

    time_s: float
    route: str
    cause: str
    endpoint: str
    first_s: float | None = None
    service: str = ""
    team: str = ""
    ending: Ending = "answered"
    is_late: bool = False
    waited_s: float | None = None
    work_s: float = 0.0


class _SentRequest:
    """Last attempt of a request, and the work of those that have ended."""

    def __init__(self) -> None:
        self.line: Mapping[str, Any] = {}
        self.started_s: float | None = None
        self.work_s = 0.0

    def begin(self, line: Mapping[str, Any]) -> None:
        """Record that an attempt was sent."""
        self.line, self.started_s = line, line[TIME_FIELD]

    def end(self, now_s: float) -> None:
        """Add the time that the attempt took, if one is running."""
        if self.started_s is not None:
            self.work_s += now_s - self.started_s
            self.started_s = None


class RouteLosses(NamedTuple):
    """Losses on one route; `first_p95_s` is the 95th percentile of `first_s`."""

    route: str
    requests: int
    lost: int
    lost_share: float
    main_cause: str
    first_p95_s: float | None


class CauseLosses(NamedTuple):
    """Losses with one cause, and the endpoints with the most of them."""

    cause: str
    requests: int
    endpoints: tuple[str, ...]


class WindowLosses(NamedTuple):
    """Losses among the requests that ended in one time window."""

    from_s: float
    requests: int
    lost: int
    lost_share: float
    main_cause: str


class Losses(NamedTuple):
    """Lost requests by route, by cause and by time window."""

    by_route: tuple[RouteLosses, ...]
    by_cause: tuple[CauseLosses, ...]
    by_moment: tuple[WindowLosses, ...]


def find_outcomes(lines: Iterable[str]) -> list[RequestOutcome]:
    """Return the outcome of each request, ordered by time.

    Parameters
    ----------
    lines : iterable of str
        JSON log lines of any number of routers; other lines are ignored.
    """
    parsed = [line for text in lines if (line := parse_line(text)) is not None]
    parsed.sort(key=lambda line: line[TIME_FIELD])
    sent: dict[str, _SentRequest] = defaultdict(_SentRequest)
    ended: dict[str, RequestOutcome] = {}
    for line in parsed:
        request = line.get("request")
        if not request:
            continue
        if line.get("event") == CALL_SENT.number:
            sent[request].begin(line)
        elif line.get("event") in _ATTEMPT_ENDS:
            sent[request].end(line[TIME_FIELD])
        outcome = _read_outcome(line, sent[request])
        if outcome is not None:
            ended[request] = outcome
    return sorted(ended.values(), key=lambda outcome: outcome.time_s)


def _read_outcome(line: Mapping[str, Any], sent: _SentRequest) -> RequestOutcome | None:
    cause = _find_cause(line)
    if cause is None:
        return None
    # Lines of routers of an older version have neither team nor objective.
    objective_s = line.get("objective_s")
    waited_s = line.get("answer_s", line.get("after_s"))
    return RequestOutcome(
        line[TIME_FIELD],
        line.get("route") or sent.line.get("route", ""),
        cause,
        sent.line.get("endpoint", ""),
        line.get("first_s"),
        line.get("service") or sent.line.get("service", ""),
        line.get("team") or sent.line.get("team", ""),
        _find_ending(line, cause),
        not cause and objective_s is not None and line["answer_s"] > objective_s,
        waited_s,
        sent.work_s,
    )


def _find_ending(line: Mapping[str, Any], cause: str) -> Ending:
    if not cause:
        return "answered"
    if line["event"] == CALL_REFUSED.number and line["status"] in NOT_RUN_STATUSES:
        return "refused"
    return "left" if line["event"] == CALL_LEFT.number else "failed"


def _find_cause(line: Mapping[str, Any]) -> str | None:
    """Return why a request was lost, "" if answered, None if it has not ended."""
    event = line.get("event")
    if event == CALL_ANSWERED.number:
        status = int(line["status"])
        return f"endpoint answered {status}" if status >= FAILURE_STATUS_MIN else ""
    if event == CALL_ATTEMPT_FAILED.number and line.get("next") == "answer":
        return f"endpoint failed: {line['detail']}"
    if event == CALL_REFUSED.number:
        kind = (
            "refused"
            if line["status"] in NOT_RUN_STATUSES
            else f"answered {line['status']}"
        )
        return f"{kind}: {line['reason']}"
    if event == CALL_CUT.number:
        return f"stream cut: {line['reason']}"
    return "client left" if event == CALL_LEFT.number else None


def summarize(outcomes: Sequence[RequestOutcome], window_s: float) -> Losses:
    """Count losses by route, by cause and by time window of `window_s`."""
    start_s = outcomes[0].time_s if outcomes else 0.0
    routes: dict[str, list[RequestOutcome]] = defaultdict(list)
    windows: dict[int, list[RequestOutcome]] = defaultdict(list)
    for outcome in outcomes:
        routes[outcome.route].append(outcome)
        windows[int((outcome.time_s - start_s) / window_s)].append(outcome)
    by_route = [_summarize_route(route, group) for route, group in routes.items()]
    by_moment = [
        _summarize_window(number * window_s, group) for number, group in windows.items()
    ]
    return Losses(
        tuple(sorted(by_route, key=lambda line: (-line.lost, line.route))),
        _summarize_causes(outcomes),
        tuple(by_moment),
    )


def _count_causes(outcomes: Iterable[RequestOutcome]) -> Counter[str]:
    return Counter(outcome.cause for outcome in outcomes if outcome.cause)


def _find_main_cause(causes: Counter[str]) -> str:
    return causes.most_common(1)[0][0] if causes else ""


def _summarize_route(route: str, outcomes: Sequence[RequestOutcome]) -> RouteLosses:
    causes = _count_causes(outcomes)
    first_s = sorted(e.first_s for e in outcomes if e.first_s is not None)
    p95_s = first_s[int(FIRST_BYTE_QUANTILE * (len(first_s) - 1))] if first_s else None
    lost, count = causes.total(), len(outcomes)
    share = round(lost / count, 4)
    return RouteLosses(route, count, lost, share, _find_main_cause(causes), p95_s)


def _summarize_window(
    from_s: float, outcomes: Sequence[RequestOutcome]
) -> WindowLosses:
    causes = _count_causes(outcomes)
    lost, count = causes.total(), len(outcomes)
    share = round(lost / count, 4)
    return WindowLosses(from_s, count, lost, share, _find_main_cause(causes))


def _summarize_causes(outcomes: Sequence[RequestOutcome]) -> tuple[CauseLosses, ...]:
    losses = []
    for cause, count in _count_causes(outcomes).most_common():
        names = Counter(e.endpoint for e in outcomes if e.cause == cause and e.endpoint)
        worst = tuple(name for name, _ in names.most_common(ENDPOINTS_SHOWN))
        losses.append(CauseLosses(cause, count, worst))
    return tuple(losses)


def format_losses(losses: Losses) -> str:
    """Format the losses as three tables."""
    return "\n\n".join(format_table(view) for view in losses)
