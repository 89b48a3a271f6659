"""Calls to the store, bytes and times of its news, by the size of the fleet.

Plays fleets of 8 to 370 routers in six zones: a calm half minute, then one with a
change each 0.7 s in which the watcher and all heads of zones are killed at once, a
tenth of the datagrams being lost.  The baseline is a fleet in which every router
watches.
"""

from tamarackrill.testing.store_fleet import SimulatedFleet, SimulatedStore

SIZES = (8, 60, 195, 370)
PROPAGATION_MAX_S = 4.0
LOST_SHARE = 0.1
CALM_S = (5.0, 35.0)
KILLED_S = 36.0
END_S = 66.0
CHANGES_S = [KILLED_S + 0.7 * number for number in range(30)]


def measure(count: int) -> list[str]:
    """Return the row of one size."""
    fleet = SimulatedFleet(
        count, SimulatedStore(CHANGES_S), PROPAGATION_MAX_S, loss=LOST_SHARE
    )
    fleet.run(CALM_S[0])
    fleet.bytes.clear()
    fleet.run(CALM_S[1])
    calm_s = CALM_S[1] - CALM_S[0]
    calm_bytes = sorted(fleet.bytes.values())
    fleet.run(KILLED_S)
    fleet.kill(fleet.find(lambda watching: watching.is_watcher or watching.is_head))
    fleet.run(END_S)
    watch_s = next(iter(fleet.routers.values())).find_watch_s("config")
    return [
        str(count),
        f"{count * calm_s / watch_s:.0f}",
        str(fleet.count_calls(*CALM_S)),
        str(fleet.count_calls(KILLED_S, END_S)),
        f"{calm_bytes[-1] / calm_s:.0f}",
        f"{sum(calm_bytes) / count / calm_s:.0f}",
        f"{max(fleet.compute_delays_s()):.2f}",
    ]


def main() -> None:
    """Print a table."""
    print(
        "| routers | calls if all watch | calls, calm 30 s | calls, 30 s of changes "
        "and kills | most bytes/s of one | mean | worst time to in force, s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for count in SIZES:
        print(f"| {' | '.join(measure(count))} |", flush=True)


if __name__ == "__main__":
    main()
