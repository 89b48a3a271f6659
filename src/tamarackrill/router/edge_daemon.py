"""``tamarackrill-edge``: one router on the platform, until SIGTERM."""

import os
import socket
import sys

from tamarackrill.exceptions import Finding, FindingsError, TamarackrillError
from tamarackrill.platform.settings_file import (
    PATH_VARIABLE,
    PlatformSettings,
    parse_settings,
)
from tamarackrill.router.early_listener import open_listener

PEER_KEYS_VARIABLE = "TAMARACKRILL_PEER_KEYS"
METRICS_PORT_VARIABLE = "TAMARACKRILL_METRICS_PORT"
# Named in the deploy file as well, which knows no ports of the day.
METRICS_PORT = 9464


def main() -> int:
    """Run the daemon and return its exit code."""
    try:
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
        settings = _read_settings(path)
        listener = open_listener(settings.callers_address)
        _run(settings, peer_keys, int(port), listener)
    except TamarackrillError as error:
        print(error.show(), file=sys.stderr)
        return error.exit_code
    return 0


def _read_settings(path: str) -> PlatformSettings:
    with open(path, encoding="utf-8") as file:
        return parse_settings(path, file.read())


def _run(
    settings: PlatformSettings,
    peer_keys: tuple[str, ...],
    metrics_port: int,
    listener: socket.socket,
) -> None:
    # Loading it takes far longer than all before, while callers already connect.
    from tamarackrill.router.edge_process import run

    run(settings, peer_keys, metrics_port, listener)


if __name__ == "__main__":
    sys.exit(main())
