"""Counters and hdrhistogram quantiles of one router, as text for scraping."""

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


class Metrics:
    """What one router has counted and timed, and what it believes now."""

    def __init__(self) -> None:
        self._gauges: dict[str, Callable[[], Mapping[str, float]]] = {}
        self._counters: Counter[tuple[str, str]] = Counter()
        self._times: dict[tuple[str, str], HdrHistogram] = defaultdict(_make_histogram)

    def count_refusal(self, code: str) -> None:
        """Count a refusal by its code."""
        self._counters["refusals", code] += 1

    def count(self, name: str, label: str = "", by: int = 1) -> None:
        """Count an event of some other sort, or what it adds."""
        self._counters[name, label] += by

    def add_gauge(self, name: str, read: Callable[[], Mapping[str, float]]) -> None:
        """Show what `read` returns at each scrape: a value for each label."""
        self._gauges[name] = read

    def record_wait(self, kind: str, wait_s: float) -> None:
        """Record how long a call waited for an endpoint."""
        self._record("wait", kind, wait_s)

    def record_first_byte(self, kind: str, first_byte_s: float) -> None:
        """Record the time from sending to the first byte of the answer."""
        self._record("first_byte", kind, first_byte_s)

    def record_token_gap(self, gap_s: float) -> None:
        """Record the time between two events of a stream, as the caller gets them."""
        self._record("token_gap", "engine", gap_s)

    def record_store_call(
        self, kind: str, outcome: str, duration_s: float, size_bytes: int
    ) -> None:
        """Record a call to the platform's store.

        Parameters
        ----------
        kind, outcome : str
            What was asked, and how it ended.
        duration_s : float
            From the call to its end.
        size_bytes : int
            Size of the answer.
        """
        self._counters["store_calls", f"{kind} {outcome}"] += 1
        self._counters["store_bytes", kind] += size_bytes
        self._record("store_call", kind, duration_s)

    def record_loop_lag(self, lag_s: float) -> None:
        """Record by how much the event loop was late with a task of its own."""
        self._record("loop_lag", "", lag_s)

    def _record(self, name: str, label: str, duration_s: float) -> None:
        value_us = min(HIGHEST_US, max(LOWEST_US, round(duration_s * 1e6)))
        self._times[name, label].record_value(value_us)

    def format_text(self) -> str:
        """Return all metrics in the text form that scrapers read."""
        lines = []
        for name, read in sorted(self._gauges.items()):
            for label, number in sorted(read().items()):
                lines.append(f'tamarackrill_{name}{{label="{label}"}} {number:g}')
        for (name, label), value in sorted(self._counters.items()):
            lines.append(f'tamarackrill_{name}_total{{label="{label}"}} {value}')
        for (name, label), histogram in sorted(self._times.items()):
            metric = f"tamarackrill_{name}_seconds"
            for quantile in QUANTILES:
                value_s = histogram.get_value_at_percentile(quantile) / 1e6
                labels = f'label="{label}",quantile="{quantile / 100}"'
                lines.append(f"{metric}{{{labels}}} {value_s:.6f}")
            count = histogram.get_total_count()
            lines.append(f'{metric}_count{{label="{label}"}} {count}')
        return "\n".join(lines) + "\n"
