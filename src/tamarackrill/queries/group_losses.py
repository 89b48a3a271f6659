"""Query that compares how teams or services were served, from router logs.

Under a shortage of capacity, an operator needs to know which team is served less than
others, which one uses most of the capacity, and when.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from tamarackrill.display import format_table
from tamarackrill.queries.losses import Losses, RequestOutcome

GROUPINGS = ("team", "service")
WORST_WINDOWS = 3
# Rows of one window: an operator looks for the few teams that lost most.
WINDOW_ROWS_MAX = 20
WAIT_QUANTILE = 0.95


class ServedRow(NamedTuple):
    """How a group of requests was served; each attempt of a client counts.

    `waited_mean_s` and `waited_p95_s` are from arrival to the answer that counts
    against the objective, of the answered ones; `refused_mean_s` is from arrival to
    refusal; `work_s` is the time at endpoints.
    """

    group: str
    requests: int
    in_time: int
    late: int
    refused: int
    failed: int
    left: int
    served_share: float
    waited_mean_s: float | None
    waited_p95_s: float | None
    refused_mean_s: float | None
    work_s: float


class WindowRows(NamedTuple):
    """How teams and routes were served in the time window that begins at `from_s`."""

    from_s: float
    rows: tuple[ServedRow, ...]


class GroupLosses(NamedTuple):
    """How teams or services were served, and teams and routes in the worst windows."""

    by_group: tuple[ServedRow, ...]
    worst: tuple[WindowRows, ...]


def summarize_groups(
    outcomes: Sequence[RequestOutcome], by: str, window_s: float
) -> GroupLosses:
    """Summarize outcomes by team or service, and those of the worst windows.

    Parameters
    ----------
    outcomes : sequence of RequestOutcome
        Ordered by time.
    by : {"team", "service"}
        What the first table is about.
    window_s : float
        Length of a time window.
    """
    windows: dict[int, list[RequestOutcome]] = defaultdict(list)
    for outcome in outcomes:
        windows[int((outcome.time_s - outcomes[0].time_s) / window_s)].append(outcome)
    worst = sorted(windows, key=lambda number: -_count_not_in_time(windows[number]))
    return GroupLosses(
        _summarize(outcomes, lambda outcome: getattr(outcome, by) or "-"),
        tuple(
            WindowRows(number * window_s, _summarize_window(windows[number]))
            for number in sorted(worst[:WORST_WINDOWS])
        ),
    )


def _summarize_window(outcomes: Iterable[RequestOutcome]) -> tuple[ServedRow, ...]:
    rows = _summarize(outcomes, lambda e: f"{e.team or '-'} {e.route or '-'}")
    return rows[:WINDOW_ROWS_MAX]


def _summarize(
    outcomes: Iterable[RequestOutcome], find_group: Callable[[RequestOutcome], str]
) -> tuple[ServedRow, ...]:
    """Return a row for each group, first those with most requests lost or late."""
    groups: dict[str, list[RequestOutcome]] = defaultdict(list)
    for outcome in outcomes:
        groups[find_group(outcome)].append(outcome)
    names = sorted(groups, key=lambda name: (-_count_not_in_time(groups[name]), name))
    return tuple(_summarize_group(name, groups[name]) for name in names)


def _count_not_in_time(outcomes: Iterable[RequestOutcome]) -> int:
    return sum(bool(outcome.cause) or outcome.is_late for outcome in outcomes)


def _summarize_group(name: str, outcomes: Sequence[RequestOutcome]) -> ServedRow:
    endings = Counter(outcome.ending for outcome in outcomes)
    late = sum(outcome.is_late for outcome in outcomes)
    waits_s = _list_waits(outcomes, "answered")
    last = int(WAIT_QUANTILE * (len(waits_s) - 1))
    return ServedRow(
        name,
        len(outcomes),
        endings["answered"] - late,
        late,
        endings["refused"],
        endings["failed"],
        endings["left"],
        round(endings["answered"] / len(outcomes), 4),
        _find_mean(waits_s),
        round(waits_s[last], 4) if waits_s else None,
        _find_mean(_list_waits(outcomes, "refused")),
        round(sum(outcome.work_s for outcome in outcomes), 3),
    )


def _list_waits(outcomes: Iterable[RequestOutcome], ending: str) -> list[float]:
    waits_s = (e.waited_s for e in outcomes if e.ending == ending)
    return sorted(wait_s for wait_s in waits_s if wait_s is not None)


def _find_mean(values: Sequence[float]) -> float | None:
    return round(sum(values) / len(values), 4) if values else None


def format_group_losses(groups: GroupLosses, losses: Losses) -> str:
    """Format groups, causes, time windows and each worst window as tables."""
    tables = [groups.by_group, losses.by_cause, losses.by_moment]
    shown = [format_table(table) for table in tables]
    for window in groups.worst:
        shown.append(f"window from {window.from_s:g} s:\n{format_table(window.rows)}")
    return "\n\n".join(shown)
