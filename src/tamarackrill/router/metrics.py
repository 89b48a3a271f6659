"""Counters, gauges and HdrHistogram quantiles of one router, as text for scraping."""

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping

from hdrh.histogram import HdrHistogram

DURATION_MIN_US = 1
DURATION_MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(DURATION_MIN_US, DURATION_MAX_US, SIGNIFICANT_DIGITS)


class Metrics:
    """Counters, duration histograms and gauges of one router."""

    def __init__(self) -> None:
        self._gauges: dict[str, Callable[[], Mapping[str, float]]] = {}
        self._counters: Counter[tuple[str, str]] = Counter()
        self._histograms: dict[tuple[str, str], HdrHistogram] = defaultdict(
            _make_histogram
        )

    def count_refusal(self, code: str) -> None:
        """Count a refusal by its code."""
        self._counters["refusals", code] += 1

    def count(self, name: str, label: str = "", by: int = 1) -> None:
        """Add `by` to the counter `name` with the given label."""
        self._counters[name, label] += by

    def add_gauge(self, name: str, read: Callable[[], Mapping[str, float]]) -> None:
        """Add a gauge whose values by label `read` returns at each scrape."""
        self._gauges[name] = read

    def record_wait(self, kind: str, wait_s: float) -> None:
        """Record how long a call waited for an endpoint."""
        self._record("wait", kind, wait_s)

    def record_first_byte(self, kind: str, first_byte_s: float) -> None:
        """Record the time from sending to the first byte of the response."""
        self._record("first_byte", kind, first_byte_s)

    def record_token_gap(self, gap_s: float) -> None:
        """Record the time between two events of a stream sent to the caller."""
        self._record("token_gap", "engine", gap_s)

    def record_store_call(
        self, kind: str, outcome: str, duration_s: float, size_bytes: int
    ) -> None:
        """Record a request to the platform's store.

        Parameters
        ----------
        kind, outcome : str
            Kind of the request, and its outcome.
        duration_s : float
            From the start to the end of the request.
        size_bytes : int
            Size of the response.
        """
        self._counters["store_calls", f"{kind} {outcome}"] += 1
        self._counters["store_bytes", kind] += size_bytes
        self._record("store_call", kind, duration_s)

    def record_loop_lag(self, lag_s: float) -> None:
        """Record how late the event loop ran a scheduled task."""
        self._record("loop_lag", "", lag_s)

    def _record(self, name: str, label: str, duration_s: float) -> None:
        value_us = min(DURATION_MAX_US, max(DURATION_MIN_US, round(duration_s * 1e6)))
        self._histograms[name, label].record_value(value_us)

    def format_text(self) -> str:
        """Return all metrics in the text exposition format."""
        lines = []
        for name, read in sorted(self._gauges.items()):
            for label, number in sorted(read().items()):
                lines.append(f'tamarackrill_{name}{{label="{label}"}} {number:g}')
        for (name, label), value in sorted(self._counters.items()):
            lines.append(f'tamarackrill_{name}_total{{label="{label}"}} {value}')
        for (name, label), histogram in sorted(self._histograms.items()):
            metric = f"tamarackrill_{name}_seconds"
            for quantile in QUANTILES:
                value_s = histogram.get_value_at_percentile(quantile) / 1e6
                labels = f'label="{label}",quantile="{quantile / 100}"'
                lines.append(f"{metric}{{{labels}}} {value_s:.6f}")
            count = histogram.get_total_count()
            lines.append(f'{metric}_count{{label="{label}"}} {count}')
        return "\n".join(lines) + "\n"
