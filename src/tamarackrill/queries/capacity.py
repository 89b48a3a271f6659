"""Queries about plain services that are short of capacity.

Router logs tell since when a service is saturated, whose calls are queued, and who is
rejected for which reason; the metrics of the routers tell the present state.  Only the
router that grants the slots of a service in a zone has figures about it.
"""

import asyncio
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime, timedelta
from typing import Any, NamedTuple

from tornado.httpclient import AsyncHTTPClient

from tamarackrill.display import format_table
from tamarackrill.exceptions import RouterUnavailable
from tamarackrill.queries.explain_log import TIME_FIELD, parse_line
from tamarackrill.router_client import fetch_metrics

TEAMS_SHOWN = 3
ASK_OUTCOMES = (
    "granted",
    "queued",
    "rejected",
    "overflow_granted",
    "overflow_rejected",
    "silent",
    "overdue",
)
_SAMPLE = re.compile(
    r'^tamarackrill_(slots_in_use|slots_waiting|slot_asks_total)\{label="([^"]*)"\} '
    r"(\S+)$",
    re.MULTILINE,
)


class SaturationRow(NamedTuple):
    """Last known state of a service in a zone; `teams` have the most queued work."""

    service: str
    zone: str
    state: str
    since: str
    lasted_s: float
    slots: int | None
    in_use: int | None
    waiting: int | None
    teams: tuple[str, ...]

    @property
    def is_open(self) -> bool:
        """Whether the service is still saturated, as far as the logs tell."""
        return self.state == "saturated"


class RejectionRow(NamedTuple):
    """Calls of a team that were queued, or rejected for one reason."""

    team: str
    service: str
    outcome: str
    calls: int
    retry_after_mean_s: float | None


class SlotsRow(NamedTuple):
    """Slots that a router grants now; `service` is empty if it grants none."""

    router: str
    state: str
    service: str
    in_use: float | None
    waiting: float | None


class AsksRow(NamedTuple):
    """How the asks of a router for slots have ended since it started."""

    router: str
    granted: int
    queued: int
    rejected: int
    overflow_granted: int
    overflow_rejected: int
    silent: int
    overdue: int


def list_log_tables(
    lines: Iterable[str],
) -> tuple[tuple[SaturationRow, ...], tuple[RejectionRow, ...]]:
    """Return the saturated services, and the calls queued or rejected.

    Parameters
    ----------
    lines : iterable of str
        JSON log lines of any number of routers; other lines are ignored.
    """
    parsed = [line for text in lines if (line := parse_line(text)) is not None]
    parsed.sort(key=lambda line: line[TIME_FIELD])
    states: dict[tuple[str, str], SaturationRow] = {}
    waits_s: dict[tuple[str, str, str], list[float]] = defaultdict(list)
    calls: Counter[tuple[str, str, str]] = Counter()
    for line in parsed:
        name = line.get("name")
        if name in ("service_saturated", "service_relieved"):
            place = line["service"], line["zone"]
            previous = states.get(place)
            # An allocator that took over may log the same relief again.
            if name == "service_saturated" or not previous or previous.is_open:
                states[place] = _read_state(line, previous)
        elif name in ("slot_queued", "slot_rejected"):
            outcome = "queued" if name == "slot_queued" else f"{line['reason']}"
            key = line.get("team", ""), line["service"], outcome
            calls[key] += 1
            if name == "slot_rejected" and line.get("retry_after_s") is not None:
                waits_s[key].append(line["retry_after_s"])
    rejections = (
        RejectionRow(*key, count, _find_mean(waits_s[key]))
        for key, count in calls.most_common()
    )
    # Saturated services first, the most recent first.
    saturations = sorted(states.values(), key=lambda row: row.since, reverse=True)
    saturations.sort(key=lambda row: not row.is_open)
    return tuple(saturations), tuple(rejections)


def _read_state(
    line: Mapping[str, Any], previous: SaturationRow | None
) -> SaturationRow:
    is_saturated = line["name"] == "service_saturated"
    since = datetime.fromtimestamp(line[TIME_FIELD], UTC)
    lasted_s = line.get("seconds") or 0.0
    teams = line.get("teams") or ()
    # At its relief, a service has no queued work any more, and no begin.
    if not is_saturated and previous is not None:
        begin = datetime.fromisoformat(previous.since)
        lasted_s = (since - begin).total_seconds()
        teams = previous.teams
    since -= timedelta(seconds=lasted_s)
    return SaturationRow(
        line["service"],
        line["zone"],
        "saturated" if is_saturated else "relieved",
        since.isoformat(" ", "seconds"),
        round(lasted_s, 1),
        line.get("slots"),
        line.get("in_use"),
        line.get("waiting"),
        tuple(teams)[:TEAMS_SHOWN],
    )


def _find_mean(values: Sequence[float]) -> float | None:
    return round(sum(values) / len(values), 3) if values else None


async def list_router_tables(
    client: AsyncHTTPClient, addresses: Sequence[str]
) -> tuple[tuple[SlotsRow, ...], tuple[AsksRow, ...]]:
    """Return the slots that routers grant now, and how their own asks ended.

    Parameters
    ----------
    client : tornado.httpclient.AsyncHTTPClient
        HTTP client; the caller closes it.
    addresses : sequence of str
        ``host:port`` of the routers' metrics.

    Raises
    ------
    RouterUnavailable
        If none of them answered.
    """
    texts = await asyncio.gather(
        *(fetch_metrics(client, address) for address in addresses),
        return_exceptions=True,
    )
    slots: list[SlotsRow] = []
    asks: list[AsksRow] = []
    faults: list[RouterUnavailable] = []
    for address, text in zip(addresses, texts, strict=True):
        if isinstance(text, RouterUnavailable):
            faults.append(text)
            slots.append(SlotsRow(address, "silent", "", None, None))
        elif isinstance(text, BaseException):
            raise text
        else:
            slots += _read_slots(address, text)
            asks.append(_read_asks(address, text))
    if len(faults) == len(addresses):
        raise faults[0]
    return tuple(slots), tuple(asks)


def _read_slots(address: str, text: str) -> list[SlotsRow]:
    samples = _read_samples(text)
    in_use, waiting = samples["slots_in_use"], samples["slots_waiting"]
    rows = [
        SlotsRow(address, "answers", service, number, waiting.get(service))
        for service, number in sorted(in_use.items())
    ]
    return rows or [SlotsRow(address, "answers", "", None, None)]


def _read_asks(address: str, text: str) -> AsksRow:
    counts = _read_samples(text)["slot_asks_total"]
    return AsksRow(address, *(int(counts.get(name, 0)) for name in ASK_OUTCOMES))


def _read_samples(text: str) -> dict[str, dict[str, float]]:
    """Return the samples that concern slots, by metric and label."""
    samples: dict[str, dict[str, float]] = defaultdict(dict)
    for name, label, number in _SAMPLE.findall(text):
        samples[name][label] = float(number)
    return samples


def format_tables(tables: Iterable[Sequence[Any]]) -> str:
    """Format tables, with an empty line between two."""
    return "\n\n".join(format_table(table) for table in tables)
