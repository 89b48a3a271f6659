"""The routers that this router believes to be live."""

from typing import NamedTuple


class Member(NamedTuple):
    """One router of the fleet."""

    name: str
    address: str
    zone: str
    state: str = "alive"
    peer_address: str = ""


class Members:
    """Live routers; this one is always among them.

    Parameters
    ----------
    own : Member
        This router.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._others: dict[str, Member] = {}
        # Asked for with each datagram between routers, and seldom another one.
        self._live: tuple[Member, list[Member]] | None = None

    def replace(self, members: list[Member]) -> None:
        """Take a new list of members."""
        self._others = {m.name: m for m in members if m.name != self.own.name}
        self._live = None

    def list_live(self) -> list[Member]:
        """Return the routers that may be the home of a chat, by name."""
        # A suspect is kept until it is removed: most have only missed two pings, and
        # the chats of a removed router move away and lose their order's memory.
        if self._live is None or self._live[0] != self.own:
            live = [m for m in self._others.values() if m.state in ("alive", "suspect")]
            if self.own.state == "alive":
                live.append(self.own)
            self._live = (self.own, sorted(live))
        return list(self._live[1])

    def list_all(self) -> list[Member]:
        """Return all known routers, by name."""
        return sorted([self.own, *self._others.values()])
