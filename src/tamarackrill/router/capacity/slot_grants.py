"""Identifies the slot that an allocator has granted to a request."""

from typing import NamedTuple


class SlotGrant(NamedTuple):
    """A granted slot.

    Parameters
    ----------
    allocator : str
        Name of the router that granted it; empty if there is none.
    address : str
        Its address for other routers.
    ticket : int
        Identifies the grant there.
    """

    allocator: str
    address: str
    ticket: int


NO_GRANT = SlotGrant("", "", 0)
