"""Slopes over sizes: least squares, with the residual shown."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

SIZES_LEAST = 4
REPEATS = 5


class Fit(NamedTuple):
    """A straight line through measured values.

    Parameters
    ----------
    unit : str
        Unit of the values.
    per : str
        What one step of size is.
    sizes, values : tuple of float
        What was measured.
    intercept, slope : float
        Of the line, in `unit` and `unit` per `per`.
    residual : float
        Largest distance of a value from the line, as a share of the largest value.
    """

    unit: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    intercept: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(unit: str, per: str, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the line of least squares through at least four values.

    Raises
    ------
    ValueError
        If there are fewer: a line through two or three fits by itself.
    """
    if len(sizes) < SIZES_LEAST:
        raise ValueError(f"a slope needs {SIZES_LEAST} sizes, not {len(sizes)}")
    slope, intercept = statistics.linear_regression(sizes, values)
    distances = [
        abs(value - intercept - slope * size)
        for size, value in zip(sizes, values, strict=True)
    ]
    largest = max(abs(value) for value in values) or 1.0
    return Fit(
        unit,
        per,
        tuple(sizes),
        tuple(values),
        intercept,
        slope,
        max(distances) / largest,
    )


def time_us(work: Callable[[], Any], rounds: int) -> float:
    """Return the time of one call in µs: the least mean of some repeats.

    The least is taken since whatever else the machine does only adds to it.
    """
    best_s = float("inf")
    for _ in range(REPEATS):
        start_s = time.process_time()
        for _ in range(rounds):
            work()
        best_s = min(best_s, time.process_time() - start_s)
    return best_s / rounds * 1e6


def count_bytes(make: Callable[[], Any]) -> int:
    """Return the bytes that what `make` returns keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del kept
    return size
