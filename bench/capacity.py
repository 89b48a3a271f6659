"""Measure slopes and write docs/CAPACITY.md: ``make capacity``.

``--from FILE`` writes the page from figures kept by ``--keep FILE``, without
measuring again.
"""

import argparse
import importlib
import json
import platform
import sys
from pathlib import Path
from types import ModuleType
from typing import Any

from capacity_daemon import measure_base, measure_daemon
from capacity_page import NODES, format_page
from capacity_parts import measure_parts
from slopes import Fit, fit

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
TEAMS = (100, 500, 1000, 2300)
GOSSIP_SIZES = (8, 30, 60, 120)


def _measure_overload(module: ModuleType, is_full: bool) -> dict[str, Any]:
    costs = [module.measure_cost(teams) for teams in TEAMS]
    times_us = [cost["offer_take_release_us"] for cost in costs]
    return {"admission_us": fit("µs", "team", TEAMS, times_us), **module.measure()}


def _measure_limits(module: ModuleType, is_full: bool) -> dict[str, Any]:
    times_us = [module.measure_admit_us(teams) for teams in TEAMS]
    figures: dict[str, Any] = {"limits_us": fit("µs", "team", TEAMS, times_us)}
    return figures | (module.measure() if is_full else {})


def _measure_routing(module: ModuleType, is_full: bool) -> dict[str, Any]:
    figures = module.measure()
    rows = figures.pop("decisions")
    sizes = [row["endpoints"] for row in rows]
    for name in ("choose_us", "reserve_us"):
        figures[name] = fit("µs", "endpoint", sizes, [row[name] for row in rows])
    return figures


def _measure_gossip(module: ModuleType, is_full: bool) -> dict[str, Any]:
    # 370 routers take minutes to simulate, and cutting and healing a zone more.
    sizes = module.SIZES if is_full else GOSSIP_SIZES
    rows = [module.measure_size(size, heal=is_full) for size in sizes]
    largest = rows[-1]
    figures: dict[str, Any] = {
        f"gossip_{name}": fit(unit, "router", sizes, [row[name] for row in rows])
        for name, unit in (
            ("steady_bytes_per_s", "bytes/s"),
            ("steady_cpu_us_per_s", "µs/s"),
            ("removed_ticks", "s"),
            ("configuration_ticks", "s"),
        )
    }
    return figures | {
        "gossip_core_share": figures["gossip_steady_cpu_us_per_s"].at(NODES) / 1e6,
        "gossip_bytes_per_s": figures["gossip_steady_bytes_per_s"].at(NODES),
        "gossip_detect_s": largest["removed_ticks"],
        "gossip_largest": largest["routers"],
    }


def _measure_plainly(module: ModuleType, is_full: bool) -> dict[str, Any]:
    return dict(module.measure())


# One that fails or is absent is named on the page as not run, and its rows say so.
OTHER_BENCHES = {
    "overload": _measure_overload,
    "limits": _measure_limits,
    "routing": _measure_routing,
    "gossip": _measure_gossip,
    "claims": _measure_plainly,
}


def measure_all(is_full: bool) -> dict[str, Any]:
    """Run every measurement, one after the other.

    Parameters
    ----------
    is_full : bool
        Also simulate the limits of 370 routers and 2,300 teams, which takes more
        than five minutes.
    """
    figures: dict[str, Any] = {"not_run": {}}
    figures |= measure_parts()
    figures |= measure_base()
    for name, adapt in OTHER_BENCHES.items():
        print(f"bench/{name}.py ...", file=sys.stderr, flush=True)
        try:
            figures |= adapt(importlib.import_module(name), is_full)
        except (ImportError, AttributeError) as error:
            figures["not_run"][name] = str(error)
    print("daemon ...", file=sys.stderr, flush=True)
    figures |= measure_daemon()
    figures["machine"] = f"{platform.machine()}, Python {platform.python_version()}"
    return figures


def _to_json(figures: dict[str, Any]) -> str:
    plain = {
        name: {"fit": value._asdict()} if isinstance(value, Fit) else value
        for name, value in figures.items()
    }
    return json.dumps(plain, indent=1, default=list) + "\n"


def _from_json(text: str) -> dict[str, Any]:
    return {
        name: Fit(**value["fit"])
        if isinstance(value, dict) and "fit" in value
        else value
        for name, value in json.loads(text).items()
    }


def main() -> None:
    """Measure, or read kept figures, and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--full", action="store_true", help="full size: minutes")
    parser.add_argument("--keep", type=Path, help="write the figures here as JSON")
    parser.add_argument("--from", dest="kept", type=Path, help="read figures from here")
    options = parser.parse_args()
    if options.kept:
        figures = _from_json(options.kept.read_text(encoding="utf-8"))
    else:
        figures = measure_all(options.full)
    if options.keep:
        options.keep.write_text(_to_json(figures), encoding="utf-8")
    PAGE.write_text(format_page(figures), encoding="utf-8")


if __name__ == "__main__":
    main()
