"""Command line shared by the soak tests."""

import argparse
from collections.abc import Callable


def run_seeds(description: str, run_seed: Callable[[int], list[str]]) -> int:
    """Run the seeds of the command line; return 0 if all passed, else 1.

    Parameters
    ----------
    description : str
        What is tested, for ``--help``.
    run_seed : callable
        Runs one seed, and returns a description of each violated guarantee.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    failed = sum(bool(run_seed(seed)) for seed in seeds)
    print(f"{options.seeds - failed} seeds passed, {failed} failed")
    return 1 if failed else 0
