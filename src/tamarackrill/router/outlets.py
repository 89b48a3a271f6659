"""Interface for passing on the chunks of a response, with backpressure.

Chunks are passed on by direct calls, not between tasks: a streamed token goes through
libcurl, the reply and the caller's connection in one iteration of the event loop.  See
docs/design/streams.md for what that saves.
"""

from collections.abc import Callable


class Outlet:
    """Receives chunks, and notifies their source when it can accept more.

    Attributes
    ----------
    on_writable : callable
        Set by the source; called when it may send again after `take` returned False.
    parts : int
        Number of parts that the last chunk was split into; each takes time to handle.
    """

    def __init__(self) -> None:
        self.on_writable: Callable[[], None] = lambda: None
        self.parts = 1

    def take(self, piece: bytes) -> bool:
        """Accept a chunk in any case; return whether the source may send another."""
        raise NotImplementedError
