"""``tamarackrill-edge``: runs one router on the platform until SIGTERM."""

import sys

from tamarackrill.router.process import Signals, run_process


def main() -> int:
    """Run the daemon and return its exit code."""
    return run_process(_run)


def _run(signals: Signals) -> None:
    # Imports are deferred: signal handlers are installed first, then the listener is
    # opened, and loading the remaining modules takes far longer than both.
    from tamarackrill.router.binding import check_bindable, report_bind_error
    from tamarackrill.router.early_listener import open_listener
    from tamarackrill.router.edge_options import list_listen_addresses, read_options

    options = read_options()
    if signals.stop_requested_s is not None:
        return
    check_bindable(list_listen_addresses(options))
    settings = options.settings
    address = settings.callers_address
    with report_bind_error(settings.get_field_location("callers_address"), address):
        listener = open_listener(address)

    from tamarackrill.router.edge_process import run

    run(options, listener, signals)


if __name__ == "__main__":
    sys.exit(main())
