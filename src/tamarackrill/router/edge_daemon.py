"""``tamarackrill-edge``: one router on the platform, until SIGTERM."""

import sys

from tamarackrill.router.process import Signals, run_process

PEER_KEYS_VARIABLE = "TAMARACKRILL_PEER_KEYS"
METRICS_PORT_VARIABLE = "TAMARACKRILL_METRICS_PORT"
# Named in the deploy file as well, which knows no ports of the day.
METRICS_PORT = 9464


def main() -> int:
    """Run the daemon and return its exit code."""
    return run_process(_run)


def _run(signals: Signals) -> None:
    import os

    from tamarackrill.exceptions import Finding, FindingsError
    from tamarackrill.platform.settings_file import PATH_VARIABLE, parse_settings
    from tamarackrill.router.early_listener import open_listener

    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise FindingsError([Finding(PATH_VARIABLE, "is not set")])
    keys = os.environ.get(PEER_KEYS_VARIABLE, "")
    peer_keys = tuple(key.strip() for key in keys.split(",") if key.strip())
    if not peer_keys:
        raise FindingsError([Finding(PEER_KEYS_VARIABLE, "holds no key")])
    port = os.environ.get(METRICS_PORT_VARIABLE, str(METRICS_PORT))
    if not port.isdigit():
        message = f"{port!r} is no port"
        raise FindingsError([Finding(METRICS_PORT_VARIABLE, message)])
    with open(path, encoding="utf-8") as file:
        settings = parse_settings(path, file.read())
    if signals.stop_told_s is not None:
        return
    listener = open_listener(settings.callers_address)
    # Loading it takes far longer than all before, while callers already connect.
    from tamarackrill.router.edge_process import run

    run(settings, peer_keys, int(port), listener, signals)


if __name__ == "__main__":
    sys.exit(main())
