"""What is told when an address can't be listened at."""

import contextlib
import socket
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from tamarackrill.exceptions import Finding, FindingsError


class ListenAddress(NamedTuple):
    """An address that a process is going to listen at.

    Parameters
    ----------
    place : str
        Setting that holds it.
    address : str
        ``host:port``.
    kind : socket.SocketKind, optional
        Stream or datagrams.
    """

    place: str
    address: str
    kind: socket.SocketKind = socket.SOCK_STREAM


@contextlib.contextmanager
def report_bind_error(place: str, address: str) -> Iterator[None]:
    """Turn the error of a socket that can't be bound into a finding.

    Raises
    ------
    FindingsError
        If the body raises what a socket raises for an address that is in use, that is
        not this VM's, or that is none.
    """
    try:
        yield
    except (OSError, OverflowError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        message = f"can't listen: {address}: {reason}"
        raise FindingsError([Finding(place, message)]) from error


def check_bindable(uses: Iterable[ListenAddress]) -> None:
    """Try all addresses before callers are let in at one of them.

    A router that finds out later that it can't run cuts the callers off that have
    connected meanwhile, again and again as it is started again.

    Raises
    ------
    FindingsError
        With each address that can't be listened at.
    """
    findings: list[Finding] = []
    for use in uses:
        try:
            with report_bind_error(use.place, use.address):
                _bind_and_close(use)
        except FindingsError as error:
            findings += error.findings
    if findings:
        raise FindingsError(findings)


def _bind_and_close(use: ListenAddress) -> None:
    host, _, port = use.address.rpartition(":")
    with socket.socket(type=use.kind) as tried:
        if use.kind == socket.SOCK_STREAM:
            tried.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        tried.bind((host, int(port)))
