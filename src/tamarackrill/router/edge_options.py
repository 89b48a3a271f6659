"""Reads the options of the platform's daemon from settings file and environment."""

import os
import socket
from typing import NamedTuple

from tamarackrill.decisions.addresses import (
    is_valid,
    read_port,
    read_router_address,
)
from tamarackrill.decisions.capacity.sharing_scope import SHARING_MODES
from tamarackrill.exceptions import Finding, FindingsError
from tamarackrill.platform.settings_file import (
    SETTINGS_PATH_VARIABLE,
    PlatformSettings,
    parse_settings,
)
from tamarackrill.router.binding import ListenAddress
from tamarackrill.text_files import read_text

PEER_KEYS_VARIABLE = "TAMARACKRILL_PEER_KEYS"
METRICS_PORT_VARIABLE = "TAMARACKRILL_METRICS_PORT"
# Address at which other routers reach this one behind address translation.
PEER_ADDRESS_VARIABLE = "TAMARACKRILL_PEER_ADDRESS"
CAPACITY_SHARING_VARIABLE = "TAMARACKRILL_CAPACITY_SHARING"
# Default port, repeated in the deploy file, which can't use ports assigned at run time.
METRICS_PORT = 9464


class EdgeOptions(NamedTuple):
    """Validated options of one router.

    Parameters
    ----------
    settings : PlatformSettings
        Contents of the settings file.
    peer_keys : tuple of str
        Keys that authenticate messages between routers; the first one signs, all of
        them verify.
    metrics_port : int
        Port of the metrics endpoint.
    peer_address : str
        Address at which other routers reach this one, if it differs from the listen
        address.
    """

    settings: PlatformSettings
    peer_keys: tuple[str, ...]
    metrics_port: int
    peer_address: str


def read_options() -> EdgeOptions:
    """Read and validate the options of this process.

    Raises
    ------
    FindingsError
        With all errors in the environment or, if there are none, in the settings file.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    keys = os.environ.get(PEER_KEYS_VARIABLE, "").split(",")
    peer_keys = tuple(key.strip() for key in keys if key.strip())
    port = os.environ.get(METRICS_PORT_VARIABLE, str(METRICS_PORT))
    peer_address = os.environ.get(PEER_ADDRESS_VARIABLE, "")
    sharing = os.environ.get(CAPACITY_SHARING_VARIABLE, "auto")
    mode = next((mode for mode in SHARING_MODES if mode == sharing), None)
    findings = []
    if not path:
        findings.append(Finding(SETTINGS_PATH_VARIABLE, "is not set"))
    if not peer_keys:
        findings.append(Finding(PEER_KEYS_VARIABLE, "contains no key"))
    if not is_valid(read_port, port):
        findings.append(Finding(METRICS_PORT_VARIABLE, f"{port!r} is no port"))
    if peer_address and not is_valid(read_router_address, peer_address):
        message = f"{peer_address!r} is no host:port"
        findings.append(Finding(PEER_ADDRESS_VARIABLE, message))
    if mode is None:
        message = f"{sharing!r} is none of {', '.join(SHARING_MODES)}"
        findings.append(Finding(CAPACITY_SHARING_VARIABLE, message))
    if findings:
        raise FindingsError(findings)
    settings = parse_settings(path, read_text(path))
    settings = settings._replace(capacity_sharing=mode or "auto")
    return EdgeOptions(settings, peer_keys, int(port), peer_address)


def list_listen_addresses(options: EdgeOptions) -> list[ListenAddress]:
    """Return all addresses that a router listens on."""
    settings = options.settings
    peer_address = f"{settings.ip}:{settings.peer_port}"
    peers = settings.get_field_location("peer_port")
    return [
        ListenAddress(
            settings.get_field_location("callers_address"), settings.callers_address
        ),
        ListenAddress(
            settings.get_field_location("readiness_address"), settings.readiness_address
        ),
        ListenAddress(peers, peer_address),
        ListenAddress(peers, peer_address, socket.SOCK_DGRAM),
        ListenAddress(METRICS_PORT_VARIABLE, f"{settings.ip}:{options.metrics_port}"),
    ]
