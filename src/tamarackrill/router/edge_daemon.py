"""``tamarackrill-edge``: one router on the platform, until SIGTERM."""

import sys
from typing import TYPE_CHECKING

from tamarackrill.router.process import Signals, run_process

if TYPE_CHECKING:
    from tamarackrill.platform.settings_file import PlatformSettings
    from tamarackrill.router.binding import Use

PEER_KEYS_VARIABLE = "TAMARACKRILL_PEER_KEYS"
METRICS_PORT_VARIABLE = "TAMARACKRILL_METRICS_PORT"
# Where other routers reach this one, if addresses are translated on the way.
PEER_ADDRESS_VARIABLE = "TAMARACKRILL_PEER_ADDRESS"
# Named in the deploy file as well, which knows no ports of the day.
METRICS_PORT = 9464


def main() -> int:
    """Run the daemon and return its exit code."""
    return run_process(_run)


def _run(signals: Signals) -> None:
    import os

    from tamarackrill.exceptions import Finding, FindingsError
    from tamarackrill.platform.settings_file import (
        PATH_VARIABLE,
        PORT_MAX,
        is_address,
        parse_settings,
    )
    from tamarackrill.router.binding import check_usable, report_unusable
    from tamarackrill.router.early_listener import open_listener
    from tamarackrill.text_files import read_text

    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise FindingsError([Finding(PATH_VARIABLE, "is not set")])
    keys = os.environ.get(PEER_KEYS_VARIABLE, "")
    peer_keys = tuple(key.strip() for key in keys.split(",") if key.strip())
    if not peer_keys:
        raise FindingsError([Finding(PEER_KEYS_VARIABLE, "holds no key")])
    port = os.environ.get(METRICS_PORT_VARIABLE, str(METRICS_PORT))
    if not port.isdigit() or not 0 < int(port) <= PORT_MAX:
        message = f"{port!r} is no port"
        raise FindingsError([Finding(METRICS_PORT_VARIABLE, message)])
    peer_address = os.environ.get(PEER_ADDRESS_VARIABLE, "")
    if peer_address and not is_address(peer_address):
        message = f"{peer_address!r} is no host:port"
        raise FindingsError([Finding(PEER_ADDRESS_VARIABLE, message)])
    settings = parse_settings(path, read_text(path))
    if signals.stop_told_s is not None:
        return
    check_usable(_list_uses(settings, int(port)))
    address = settings.callers_address
    with report_unusable(settings.find_place("callers_address"), address):
        listener = open_listener(address)
    # Loading it takes far longer than all before, while callers already connect.
    from tamarackrill.router.edge_process import run

    run(settings, peer_keys, int(port), listener, signals, peer_address)


def _list_uses(settings: "PlatformSettings", metrics_port: int) -> "list[Use]":
    from socket import SOCK_DGRAM

    from tamarackrill.router.binding import Use

    callers, readiness, peers = (
        settings.find_place(field)
        for field in ("callers_address", "readiness_address", "peer_port")
    )
    peer_address = f"{settings.ip}:{settings.peer_port}"
    return [
        Use(callers, settings.callers_address),
        Use(readiness, settings.readiness_address),
        Use(peers, peer_address),
        Use(peers, peer_address, SOCK_DGRAM),
        Use(METRICS_PORT_VARIABLE, f"{settings.ip}:{metrics_port}"),
    ]


if __name__ == "__main__":
    sys.exit(main())
