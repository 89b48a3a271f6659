"""Plots the latency quantiles of a run; needs the optional package matplotlib."""

from tamarackrill.exceptions import Finding, FindingsError
from tamarackrill.load.results import LoadResults

PLOT_QUANTILES = (0.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0)


def write_plot(results: LoadResults, path: str) -> None:
    """Plot the latency of complete answers by quantile, one line per kind of call.

    Parameters
    ----------
    results : LoadResults
        Results of the run.
    path : str
        Output file; its extension, ``.svg`` or ``.png``, selects the format.

    Raises
    ------
    FindingsError
        If matplotlib is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        hint = "pip install 'tamarackrill[bench]'"
        finding = Finding("--plot", "needs matplotlib", hint)
        raise FindingsError([finding]) from error
    figure = Figure(figsize=(8, 5))
    axes = figure.subplots()
    for (measure, label), histogram in sorted(results.histograms.items()):
        if measure != "answer" or label.startswith("team "):
            continue
        values_ms = [
            histogram.get_value_at_percentile(quantile) / 1000
            for quantile in PLOT_QUANTILES
        ]
        positions = range(len(PLOT_QUANTILES))
        axes.plot(positions, values_ms, marker="o", label=label)
    axes.set_xticks(range(len(PLOT_QUANTILES)), [f"{q:g}" for q in PLOT_QUANTILES])
    axes.set_yscale("log")
    axes.set_xlabel("quantile, %")
    axes.set_ylabel("time to complete answer, ms")
    if axes.lines:
        axes.legend()
    figure.savefig(path)
