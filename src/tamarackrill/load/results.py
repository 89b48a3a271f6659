"""Counts and latencies of the responses in a load run."""

import re
from collections import Counter, defaultdict
from typing import Any, Literal, NamedTuple

from hdrh.histogram import HdrHistogram

from tamarackrill.load.plan import CallKind

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
QUANTILES = (50.0, 90.0, 95.0, 99.0, 100.0)

_MARKER_PATTERN = re.compile(r"m\d+x\d+")

Outcome = Literal["answered", "refused", "lost"]


class CallResult(NamedTuple):
    """Final result of one call.

    Parameters
    ----------
    team : str
        Team of the client.
    kind : {"chat", "lookup", "confirmation"}
        Kind of the call.
    marker : str
        Unique word sent in the call.
    outcome : {"answered", "refused", "lost"}
        A complete answer, a refusal, or neither.
    code : str
        Error code of the refusal, or reason for the loss.
    text : str
        Body of the response.
    took_s : float
        Time from when the call was due to the end of the response.
    first_byte_s : float or None
        Time from when the call was due to the first byte of the response.
    deadline_s : float
        Deadline sent with the call, counted from when it was due.
    tries : int
        Number of times the client sent it.
    gaps_s : tuple of float
        Times between the chunks of a stream.
    """

    team: str
    kind: CallKind
    marker: str
    outcome: Outcome
    code: str
    text: str
    took_s: float
    first_byte_s: float | None
    deadline_s: float
    tries: int
    gaps_s: tuple[float, ...] = ()


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


class LoadResults:
    """Counts and latency histograms of a run."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.losses: Counter[str] = Counter()
        self.histograms: dict[tuple[str, str], HdrHistogram] = defaultdict(
            _make_histogram
        )

    def add(self, result: CallResult) -> None:
        """Add the result of one finished call."""
        self.counts["calls"] += 1
        self.counts[result.outcome] += 1
        self.counts["sent_again"] += result.tries - 1
        if result.outcome == "refused":
            self.refusals[result.code] += 1
            return
        if result.outcome == "lost":
            self.losses[result.code] += 1
            return
        self._add_answer(result)

    def add_resend(self, first: CallResult, second: CallResult) -> None:
        """Add the results of a call and of its resend with the same key."""
        self.counts["resends"] += 1
        both = first.outcome == second.outcome == "answered"
        if both and first.text != second.text:
            self.counts["resend_differs"] += 1

    def add_run_counts(self, runs: dict[str, int]) -> None:
        """Add how often a service ran each key; more than once counts as doubled."""
        self.counts["runs_checked"] += len(runs)
        self.counts["doubled"] += sum(1 for count in runs.values() if count > 1)

    @property
    def is_clean(self) -> bool:
        """Whether no answer was lost, doubled, crossed or differed on a resend."""
        faults = ("lost", "doubled", "crossed", "resend_differs")
        return not any(self.counts[name] for name in faults)

    def to_dict(self) -> dict[str, Any]:
        """Return all counts and quantiles; times are in seconds."""
        names = ("calls", "answered", "refused", "lost", "late", "crossed", "doubled")
        more = ("not_sent", "resends", "resend_differs", "sent_again", "runs_checked")
        return {
            "counts": {name: self.counts[name] for name in (*names, *more)},
            "refusals": dict(self.refusals),
            "losses": dict(self.losses),
            "times_s": {
                f"{measure}/{label}": _summarize_histogram(histogram)
                for (measure, label), histogram in sorted(self.histograms.items())
            },
        }

    def _add_answer(self, result: CallResult) -> None:
        if result.took_s > result.deadline_s:
            self.counts["late"] += 1
        # Another call's marker in the response means that this client received data of
        # someone else.  This does not detect back ends that don't echo the marker.
        if set(_MARKER_PATTERN.findall(result.text)) - {result.marker}:
            self.counts["crossed"] += 1
        for label in (result.kind, f"team {result.team}"):
            self._record("answer", label, result.took_s)
            if result.first_byte_s is not None:
                self._record("first_byte", label, result.first_byte_s)
        for gap_s in result.gaps_s:
            self._record("token_gap", result.kind, gap_s)

    def _record(self, measure: str, label: str, duration_s: float) -> None:
        value_us = min(HIGHEST_US, max(LOWEST_US, round(duration_s * 1e6)))
        self.histograms[measure, label].record_value(value_us)


def _summarize_histogram(histogram: HdrHistogram) -> dict[str, float]:
    found = {
        f"p{quantile:g}": histogram.get_value_at_percentile(quantile) / 1e6
        for quantile in QUANTILES
    }
    return {"count": histogram.get_total_count(), **found}
