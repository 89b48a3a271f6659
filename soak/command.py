"""Command line shared by the soak tests."""

import argparse
import tempfile
from collections.abc import Callable
from pathlib import Path


def run_seeds(description: str, run_seed: Callable[[int], list[str]]) -> int:
    """Run the seeds of the command line; return 0 if all passed, else 1.

    Parameters
    ----------
    description : str
        What is tested, for ``--help``.
    run_seed : callable
        Runs one seed, and returns a description of each violated guarantee.
    """
    parser = make_parser(description)
    options = parser.parse_args()
    return _run(options, run_seed)


def run_logged_seeds(
    description: str, run_seed: Callable[[int, Path], list[str]]
) -> int:
    """Run the seeds of the command line like `run_seeds`, perhaps keeping their logs.

    Parameters
    ----------
    description : str
        What is tested, for ``--help``.
    run_seed : callable
        Runs one seed with a folder for logs.
    """
    parser = make_parser(description)
    parser.add_argument(
        "--logs", type=Path, help="folder in which to keep the routers' logs"
    )
    options = parser.parse_args()

    def run_logged(seed: int) -> list[str]:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            if options.logs is not None:
                folder = options.logs / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            return run_seed(seed, folder)

    return _run(options, run_logged)


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that choose the seeds."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    return parser


def _run(options: argparse.Namespace, run_seed: Callable[[int], list[str]]) -> int:
    seeds = range(options.seed, options.seed + options.seeds)
    failed = sum(bool(run_seed(seed)) for seed in seeds)
    print(f"{options.seeds - failed} seeds passed, {failed} failed")
    return 1 if failed else 0
