"""What callers received, counted and timed."""

import re
from collections import Counter, defaultdict
from typing import Any, Literal, NamedTuple

from hdrh.histogram import HdrHistogram

from tamarackrill.load.plan import CallKind

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
QUANTILES = (50.0, 90.0, 95.0, 99.0, 100.0)

_MARKER = re.compile(r"m\d+x\d+")

Outcome = Literal["answered", "refused", "lost"]


class CallResult(NamedTuple):
    """What the caller of one call got in the end.

    Parameters
    ----------
    team : str
        Team of the caller.
    kind : {"chat", "lookup", "confirmation"}
        What the call was.
    marker : str
        Word sent in the call.
    outcome : {"answered", "refused", "lost"}
        A whole answer, a refusal as final answer, or neither.
    code : str
        Code of the refusal, or reason of the loss.
    text : str
        Body of the answer.
    took_s : float
        From the moment the call was due to the end of the answer.
    first_byte_s : float or None
        From the same moment to the first byte of the answer.
    deadline_s : float
        Deadline that the call named, from the same moment.
    tries : int
        How often the caller sent it.
    gaps_s : tuple of float
        Times between the events of a stream.
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
    """Counts and quantiles over a run."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.losses: Counter[str] = Counter()
        self.histograms: dict[tuple[str, str], HdrHistogram] = defaultdict(
            _make_histogram
        )

    def add(self, result: CallResult) -> None:
        """Count one call that is over."""
        self.counts["calls"] += 1
        self.counts[result.outcome] += 1
        self.counts["sent_again"] += result.tries - 1
        if result.outcome == "refused":
            self.refusals[result.code] += 1
            return
        if result.outcome == "lost":
            self.losses[result.code] += 1
            return
        self._judge_answer(result)

    def add_resend(self, first: CallResult, second: CallResult) -> None:
        """Compare the answers to a call and to its resend with the same key."""
        self.counts["resends"] += 1
        both = first.outcome == second.outcome == "answered"
        if both and first.text != second.text:
            self.counts["resend_differs"] += 1

    def add_run_counts(self, runs: dict[str, int]) -> None:
        """Count the calls that a service says it ran more than once, by key."""
        self.counts["runs_checked"] += len(runs)
        self.counts["doubled"] += sum(1 for count in runs.values() if count > 1)

    @property
    def is_clean(self) -> bool:
        """Whether no answer was lost, doubled or crossed."""
        faults = ("lost", "doubled", "crossed", "resend_differs")
        return not any(self.counts[name] for name in faults)

    def to_dict(self) -> dict[str, Any]:
        """Return all figures; times are in seconds."""
        names = ("calls", "answered", "refused", "lost", "late", "crossed", "doubled")
        more = ("not_sent", "resends", "resend_differs", "sent_again", "runs_checked")
        return {
            "counts": {name: self.counts[name] for name in (*names, *more)},
            "refusals": dict(self.refusals),
            "losses": dict(self.losses),
            "times_s": {
                f"{measure}/{label}": _quantiles(histogram)
                for (measure, label), histogram in sorted(self.histograms.items())
            },
        }

    def _judge_answer(self, result: CallResult) -> None:
        if result.took_s > result.deadline_s:
            self.counts["late"] += 1
        # A marker of another call in the answer means that this caller reads what
        # belongs to someone else; back ends that echo nothing can't be judged so.
        if set(_MARKER.findall(result.text)) - {result.marker}:
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


def _quantiles(histogram: HdrHistogram) -> dict[str, float]:
    found = {
        f"p{quantile:g}": histogram.get_value_at_percentile(quantile) / 1e6
        for quantile in QUANTILES
    }
    return {"count": histogram.get_total_count(), **found}
