"""What the platform's daemon is told: its settings file, and its environment."""

import os
import socket
from typing import NamedTuple

from tamarackrill.exceptions import Finding, FindingsError
from tamarackrill.platform.settings_file import (
    PORT_MAX,
    SETTINGS_PATH_VARIABLE,
    PlatformSettings,
    is_address,
    parse_settings,
)
from tamarackrill.router.binding import Use
from tamarackrill.text_files import read_text

PEER_KEYS_VARIABLE = "TAMARACKRILL_PEER_KEYS"
METRICS_PORT_VARIABLE = "TAMARACKRILL_METRICS_PORT"
# Where other routers reach this one, if addresses are translated on the way.
PEER_ADDRESS_VARIABLE = "TAMARACKRILL_PEER_ADDRESS"
# Named in the deploy file as well, which knows no ports of the day.
METRICS_PORT = 9464


class EdgeOptions(NamedTuple):
    """Checked options of one router.

    Parameters
    ----------
    settings : PlatformSettings
        Those of the file.
    peer_keys : tuple of str
        Prove the messages between routers; the first signs, all verify.
    metrics_port : int
        Where metrics are served.
    peer_address : str
        Where other routers reach this one, if it isn't what it listens at.
    """

    settings: PlatformSettings
    peer_keys: tuple[str, ...]
    metrics_port: int
    peer_address: str


def read_options() -> EdgeOptions:
    """Return the options of this process.

    Raises
    ------
    FindingsError
        With all faults of the environment, or else of the file.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    keys = os.environ.get(PEER_KEYS_VARIABLE, "").split(",")
    peer_keys = tuple(key.strip() for key in keys if key.strip())
    port = os.environ.get(METRICS_PORT_VARIABLE, str(METRICS_PORT))
    peer_address = os.environ.get(PEER_ADDRESS_VARIABLE, "")
    findings = []
    if not path:
        findings.append(Finding(SETTINGS_PATH_VARIABLE, "is not set"))
    if not peer_keys:
        findings.append(Finding(PEER_KEYS_VARIABLE, "holds no key"))
    if not port.isdigit() or not 0 < int(port) <= PORT_MAX:
        findings.append(Finding(METRICS_PORT_VARIABLE, f"{port!r} is no port"))
    if peer_address and not is_address(peer_address):
        message = f"{peer_address!r} is no host:port"
        findings.append(Finding(PEER_ADDRESS_VARIABLE, message))
    if findings:
        raise FindingsError(findings)
    settings = parse_settings(path, read_text(path))
    return EdgeOptions(settings, peer_keys, int(port), peer_address)


def list_uses(options: EdgeOptions) -> list[Use]:
    """Return all addresses that a router listens at."""
    settings = options.settings
    peer_address = f"{settings.ip}:{settings.peer_port}"
    peers = settings.get_field_location("peer_port")
    return [
        Use(settings.get_field_location("callers_address"), settings.callers_address),
        Use(
            settings.get_field_location("readiness_address"), settings.readiness_address
        ),
        Use(peers, peer_address),
        Use(peers, peer_address, socket.SOCK_DGRAM),
        Use(METRICS_PORT_VARIABLE, f"{settings.ip}:{options.metrics_port}"),
    ]
