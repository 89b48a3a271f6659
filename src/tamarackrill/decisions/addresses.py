"""Reads addresses of the form ``host:port``.

Load pattern: other programs write entries whose addresses have ports out of range,
scopes, or digits that only some parsers take for a number.  An address that is read
here can be connected to or fails with an `OSError`, and all readers take it for the
same host and port.
"""

import re
from collections.abc import Callable
from ipaddress import IPv4Address, IPv6Address
from typing import NamedTuple

PORT_MAX = 65535
# Longer texts aren't parsed: an IPv6 address in brackets has 41 characters, and a host
# name at most 253.
ADDRESS_MAX_CHARS = 260
SHOWN_MAX_CHARS = 60
_PORT = re.compile("[1-9][0-9]{0,4}")
# Name of a network interface, of 15 characters at most.
_SCOPE = re.compile("[A-Za-z0-9_.-]{1,15}")
_NAME = re.compile("[A-Za-z0-9_](?:[A-Za-z0-9_.-]*[A-Za-z0-9_])?")


class Address(NamedTuple):
    """Host without brackets, and port."""

    host: str
    port: int


def read_port(text: str) -> int:
    """Return a port from 1 to 65535, given as plain digits.

    Raises
    ------
    ValueError
        If the text is anything else.
    """
    if _PORT.fullmatch(text) is None or int(text) > PORT_MAX:
        raise ValueError(f"{_shorten(text)} is not a port from 1 to {PORT_MAX}")
    return int(text)


def read_address(text: str) -> Address:
    """Return the parts of an address with an IP address as its host.

    An IPv6 address must be in brackets, and have no scope: scopes only mean something
    on the VM that has the interface.

    Raises
    ------
    ValueError
        If the text is anything else.
    """
    host, port = _split(text)
    try:
        if host.startswith("[") and host.endswith("]"):
            if "%" in host:
                raise ValueError("scopes are not supported")
            return Address(str(IPv6Address(host[1:-1])), port)
        return Address(str(IPv4Address(host)), port)
    except ValueError as error:
        message = f"address {_shorten(text)} has no valid IP address"
        raise ValueError(message) from error


def read_router_address(text: str) -> Address:
    """Return the parts of an address of a router or store.

    Operators set these, also with host names, or with IPv6 addresses that have a scope
    or no brackets.

    Raises
    ------
    ValueError
        If the text is anything else.
    """
    host, port = _split(text)
    is_bracketed = host.startswith("[") and host.endswith("]")
    plain = host[1:-1] if is_bracketed else host
    if _NAME.fullmatch(plain) is not None and not is_bracketed:
        return Address(plain, port)
    address, percent, scope = plain.partition("%")
    try:
        if percent and _SCOPE.fullmatch(scope) is None:
            raise ValueError("the scope is no interface")
        return Address(f"{IPv6Address(address)}{percent}{scope}", port)
    except ValueError as error:
        raise ValueError(f"address {_shorten(text)} has no valid host") from error


def is_valid(read: Callable[[str], object], text: str) -> bool:
    """Return whether one of the readers of this module takes a text."""
    try:
        read(text)
    except ValueError:
        return False
    return True


def _split(text: str) -> tuple[str, int]:
    if len(text) > ADDRESS_MAX_CHARS:
        raise ValueError(f"address {_shorten(text)} is too long")
    host, _, port = text.rpartition(":")
    try:
        return host, read_port(port)
    except ValueError as error:
        raise ValueError(f"address {_shorten(text)}: {error}") from error


def _shorten(text: str) -> str:
    shown = ascii(text[:SHOWN_MAX_CHARS])
    return shown if len(text) <= SHOWN_MAX_CHARS else f"{shown}..."
