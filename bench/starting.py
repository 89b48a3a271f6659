"""Processor time of a router's start, and the modules that take most of it.

Loads the daemon in processes of their own: what is loaded before callers can connect,
then the rest.
"""

import subprocess
import sys
from collections import Counter

RUNS = 5
SHOWN = 12
TIMED = """
import time
began_s = time.process_time()
import tamarackrill.router.edge_daemon
import tamarackrill.router.early_listener
import tamarackrill.router.edge_options
listens_s = time.process_time()
import tamarackrill.router.edge_process
print(began_s, listens_s, time.process_time())
"""


def measure_times() -> list[float]:
    """Return processor time until the interpreter, the listener and all are there."""
    runs = []
    for _ in range(RUNS):
        done = subprocess.run(
            [sys.executable, "-c", TIMED], capture_output=True, text=True, check=True
        )
        runs.append([float(text) for text in done.stdout.split()])
    return [sorted(times)[RUNS // 2] for times in zip(*runs, strict=True)]


def measure_modules() -> Counter[str]:
    """Return microseconds of each package's own modules."""
    done = subprocess.run(
        [sys.executable, "-X", "importtime", "-c", TIMED],
        capture_output=True,
        text=True,
        check=True,
    )
    found: Counter[str] = Counter()
    for line in done.stderr.splitlines():
        fields = line.removeprefix("import time:").split("|")
        if len(fields) == 3 and fields[0].strip().isdigit():
            found[fields[2].strip().partition(".")[0]] += int(fields[0])
    return found


def main() -> None:
    """Print the times."""
    names = ("interpreter", "until callers can connect", "all modules")
    for name, taken_s in zip(names, measure_times(), strict=True):
        print(f"{name}: {1000 * taken_s:.0f} ms")
    for name, taken_us in measure_modules().most_common(SHOWN):
        print(f"  {name}: {taken_us / 1000:.1f} ms")


if __name__ == "__main__":
    main()
