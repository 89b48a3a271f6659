"""Checks listen addresses and reports those that can't be bound."""

import contextlib
import socket
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from tamarackrill.exceptions import Finding, FindingsError


class ListenAddress(NamedTuple):
    """An address that a process is going to listen on.

    Parameters
    ----------
    place : str
        Setting that contains the address.
    address : str
        ``host:port``.
    kind : socket.SocketKind, optional
        Stream or datagram socket.
    """

    place: str
    address: str
    kind: socket.SocketKind = socket.SOCK_STREAM


@contextlib.contextmanager
def report_bind_error(place: str, address: str) -> Iterator[None]:
    """Convert the error of a failed bind into a finding.

    Raises
    ------
    FindingsError
        If the body raises the error of a socket for an address that is in use, does
        not belong to this VM or is malformed.
    """
    try:
        yield
    except (OSError, OverflowError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        message = f"can't listen: {address}: {reason}"
        raise FindingsError([Finding(place, message)]) from error


def check_bindable(addresses: Iterable[ListenAddress]) -> None:
    """Check that all addresses can be bound before any of them accepts callers.

    A router that fails later in its start drops the callers that have connected
    meanwhile, and does so again at each restart.

    Raises
    ------
    FindingsError
        One finding for each address that can't be bound.
    """
    findings: list[Finding] = []
    for entry in addresses:
        try:
            with report_bind_error(entry.place, entry.address):
                _bind_and_close(entry)
        except FindingsError as error:
            findings += error.findings
    if findings:
        raise FindingsError(findings)


def _bind_and_close(entry: ListenAddress) -> None:
    host, _, port = entry.address.rpartition(":")
    with socket.socket(type=entry.kind) as test_socket:
        if entry.kind == socket.SOCK_STREAM:
            test_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        test_socket.bind((host, int(port)))
