"""Where requests were lost, worked out from the logs of routers.

Each request ends in one way: an endpoint's answer, an endpoint's failure that was
passed on, a refusal, an outcome that is not known, a stream that was cut, or a client
that left.  Counted by route, by cause and by moment, these tell an operator what to
look at first; `explain_log` then tells of a single request.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

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

# Status from which an answer counts as a failure of its endpoint.
FAILED_STATUS = 500
# Refusals that promise that nothing has run; others tell that the outcome is not known.
PROMISES = (429, 503)
ENDPOINTS_SHOWN = 3
LATE_SHARE = 0.95


class RequestOutcome(NamedTuple):
    """How one request ended.

    Parameters
    ----------
    time_s : float
        When, in the log's time.
    route : str
        Its route; empty if it matched none.
    cause : str
        Why it was lost; empty if an endpoint's answer reached its client.
    endpoint : str
        Endpoint that it was sent to last; empty if it was sent to none.
    first_s : float or None
        Time to the first byte of its answer.
    """

    time_s: float
    route: str
    cause: str
    endpoint: str
    first_s: float | None = None


class RouteLosses(NamedTuple):
    """Requests of one route; `first_p95_s` is the time in which 95 in 100 began."""

    route: str
    requests: int
    lost: int
    lost_share: float
    main_cause: str
    first_p95_s: float | None


class CauseLosses(NamedTuple):
    """Requests that were lost for one cause, and the endpoints with most of them."""

    cause: str
    requests: int
    endpoints: tuple[str, ...]


class MomentLosses(NamedTuple):
    """Requests that ended within a span of time."""

    from_s: float
    requests: int
    lost: int
    lost_share: float
    main_cause: str


class Losses(NamedTuple):
    """What was lost, in three views."""

    by_route: tuple[RouteLosses, ...]
    by_cause: tuple[CauseLosses, ...]
    by_moment: tuple[MomentLosses, ...]


def find_outcomes(lines: Iterable[str]) -> list[RequestOutcome]:
    """Return how requests ended, in order of time.

    Parameters
    ----------
    lines : iterable of str
        Lines of JSON, of any number of routers; others are passed over.
    """
    parsed = [line for text in lines if (line := parse_line(text)) is not None]
    parsed.sort(key=lambda line: line[TIME_FIELD])
    sent: dict[str, Mapping[str, Any]] = {}
    ended: dict[str, RequestOutcome] = {}
    for line in parsed:
        request = line.get("request")
        if not request:
            continue
        if line.get("event") == CALL_SENT.number:
            sent[request] = line
        outcome = _read_ending(line, sent.get(request, {}))
        if outcome is not None:
            ended[request] = outcome
    return sorted(ended.values(), key=lambda outcome: outcome.time_s)


def _read_ending(
    line: Mapping[str, Any], sent: Mapping[str, Any]
) -> RequestOutcome | None:
    cause = _find_cause(line)
    if cause is None:
        return None
    return RequestOutcome(
        line[TIME_FIELD],
        line.get("route") or sent.get("route", ""),
        cause,
        sent.get("endpoint", ""),
        line.get("first_s"),
    )


def _find_cause(line: Mapping[str, Any]) -> str | None:
    """Return why a request ended with this line, "" if well, None if it did not end."""
    event = line.get("event")
    if event == CALL_ANSWERED.number:
        status = int(line["status"])
        return f"endpoint answered {status}" if status >= FAILED_STATUS else ""
    if event == CALL_ATTEMPT_FAILED.number and line.get("next") == "answer":
        return f"endpoint failed: {line['detail']}"
    if event == CALL_REFUSED.number:
        kind = "refused" if line["status"] in PROMISES else f"answered {line['status']}"
        return f"{kind}: {line['reason']}"
    if event == CALL_CUT.number:
        return f"stream cut: {line['reason']}"
    return "client left" if event == CALL_LEFT.number else None


def summarize(outcomes: Sequence[RequestOutcome], window_s: float) -> Losses:
    """Return what was lost by route, by cause and in each span of `window_s`."""
    began_s = outcomes[0].time_s if outcomes else 0.0
    routes: dict[str, list[RequestOutcome]] = defaultdict(list)
    moments: dict[int, list[RequestOutcome]] = defaultdict(list)
    for outcome in outcomes:
        routes[outcome.route].append(outcome)
        moments[int((outcome.time_s - began_s) / window_s)].append(outcome)
    by_route = [_sum_route(route, found) for route, found in routes.items()]
    by_moment = [
        _sum_moment(number * window_s, found) for number, found in moments.items()
    ]
    return Losses(
        tuple(sorted(by_route, key=lambda line: (-line.lost, line.route))),
        _sum_causes(outcomes),
        tuple(by_moment),
    )


def _count_lost(outcomes: Iterable[RequestOutcome]) -> Counter[str]:
    return Counter(outcome.cause for outcome in outcomes if outcome.cause)


def _name_main(causes: Counter[str]) -> str:
    return causes.most_common(1)[0][0] if causes else ""


def _sum_route(route: str, outcomes: Sequence[RequestOutcome]) -> RouteLosses:
    causes = _count_lost(outcomes)
    first_s = sorted(e.first_s for e in outcomes if e.first_s is not None)
    late_s = first_s[int(LATE_SHARE * (len(first_s) - 1))] if first_s else None
    lost, count = causes.total(), len(outcomes)
    share = round(lost / count, 4)
    return RouteLosses(route, count, lost, share, _name_main(causes), late_s)


def _sum_moment(from_s: float, outcomes: Sequence[RequestOutcome]) -> MomentLosses:
    causes = _count_lost(outcomes)
    lost, count = causes.total(), len(outcomes)
    share = round(lost / count, 4)
    return MomentLosses(from_s, count, lost, share, _name_main(causes))


def _sum_causes(outcomes: Sequence[RequestOutcome]) -> tuple[CauseLosses, ...]:
    found = []
    for cause, count in _count_lost(outcomes).most_common():
        names = Counter(e.endpoint for e in outcomes if e.cause == cause and e.endpoint)
        worst = tuple(name for name, _ in names.most_common(ENDPOINTS_SHOWN))
        found.append(CauseLosses(cause, count, worst))
    return tuple(found)


def format_losses(losses: Losses) -> str:
    """Return the three views as tables."""
    return "\n\n".join(format_table(view) for view in losses)
