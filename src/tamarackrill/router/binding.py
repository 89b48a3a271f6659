"""What is told when an address can't be listened at."""

import contextlib
from collections.abc import Iterator

from tamarackrill.exceptions import Finding, FindingsError


@contextlib.contextmanager
def report_unusable(place: str, address: str) -> Iterator[None]:
    """Turn the error of a socket that can't be bound into a finding.

    Parameters
    ----------
    place : str
        Setting that holds the address.
    address : str
        ``host:port``.

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
