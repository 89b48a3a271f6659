"""``tamarackrill-edge``: one router on the platform, until SIGTERM."""

import sys

from tamarackrill.router.process import Signals, run_process


def main() -> int:
    """Run the daemon and return its exit code."""
    return run_process(_run)


def _run(signals: Signals) -> None:
    # Each import comes as late as it may: first the handlers of signals stand, then
    # callers are let in, and the rest takes far longer than both.
    from tamarackrill.router.binding import check_usable, report_unusable
    from tamarackrill.router.early_listener import open_listener
    from tamarackrill.router.edge_options import list_uses, read_options

    options = read_options()
    if signals.stop_told_s is not None:
        return
    check_usable(list_uses(options))
    settings = options.settings
    address = settings.callers_address
    with report_unusable(settings.get_field_location("callers_address"), address):
        listener = open_listener(address)

    from tamarackrill.router.edge_process import run

    run(options, listener, signals)


if __name__ == "__main__":
    sys.exit(main())
