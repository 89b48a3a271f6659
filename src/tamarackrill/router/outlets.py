"""How the pieces of an answer go from one owner to the next, and are held back.

Pieces are handed on by plain calls and not by tasks that wake each other: a streamed
token passes libcurl, the reply and the caller's connection in one turn of the loop.
docs/design/streams.md has what that saves.
"""

from collections.abc import Callable


class Outlet:
    """Takes pieces, and tells its source when it has room again.

    Attributes
    ----------
    on_writable : callable
        Set by the source; called once there is room after `take` returned False.
    """

    def __init__(self) -> None:
        self.on_writable: Callable[[], None] = lambda: None

    def take(self, piece: bytes) -> bool:
        """Take a piece, always; return whether there is room for another one."""
        raise NotImplementedError
