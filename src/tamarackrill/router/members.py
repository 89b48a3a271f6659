"""The routers that this router considers live."""

from collections.abc import Callable, Iterable
from typing import NamedTuple


class Member(NamedTuple):
    """One router of the fleet; `incarnation` differs between its processes."""

    name: str
    address: str
    zone: str
    state: str = "alive"
    peer_address: str = ""
    incarnation: int = 0


class Members:
    """Known routers, always including this one.

    Parameters
    ----------
    own : Member
        This router.

    Attributes
    ----------
    lost : tuple of Member
        Routers that were taken for dead.  They may run, and not be reached.
    on_replaced : list of callable
        Called after the other members have been replaced.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self.lost: tuple[Member, ...] = ()
        self.on_replaced: list[Callable[[], None]] = []
        self._others: dict[str, Member] = {}
        # Cached: it is read for each datagram between routers and seldom changes.
        self._live: tuple[Member, list[Member]] | None = None

    def replace(self, members: list[Member], lost: Iterable[Member] = ()) -> None:
        """Replace the list of other members, and those that were taken for dead."""
        self.lost = tuple(lost)
        self._others = {m.name: m for m in members if m.name != self.own.name}
        self._live = None
        for call in self.on_replaced:
            call()

    def list_live(self) -> list[Member]:
        """Return the routers that may be the home of a chat, sorted by name."""
        # Suspects stay until they are removed: most have only missed two pings, and the
        # chats of a removed router move to another home and lose their ordering state.
        if self._live is None or self._live[0] != self.own:
            live = [m for m in self._others.values() if m.state in ("alive", "suspect")]
            if self.own.state == "alive":
                live.append(self.own)
            self._live = (self.own, sorted(live))
        return list(self._live[1])

    def count_serving(self) -> int:
        """Return how many routers may be serving, including those taken for dead.

        One that isn't heard of may be cut off and serve on, or this one is cut off.
        """
        return len(self.list_all()) + len(self.lost)

    def list_all(self) -> list[Member]:
        """Return all known routers, sorted by name."""
        return sorted([self.own, *self._others.values()])
