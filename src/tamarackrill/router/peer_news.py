"""Exchanges crashes and loads with the other routers, through the gossip."""

from collections.abc import Callable

from tamarackrill.decisions.members import PiggybackedEntries
from tamarackrill.decisions.membership import PeerStateReceived
from tamarackrill.decisions.poison import CrashCount
from tamarackrill.router.members import Members
from tamarackrill.router.owners import Owners
from tamarackrill.router.placing import Placer


class CrashLoadExchange:
    """What this router tells of endpoints and requests, and what it hears.

    Parameters
    ----------
    placer : Placer
        Knows the crashes and takes the loads.
    owners : Owners
        Counts the loads of the endpoints owned here.
    members : Members
        Live routers.
    report : callable
        Sends entries to one router now, as far as the byte budget allows.
    clock : callable
        Returns the present time.
    """

    def __init__(
        self,
        placer: Placer,
        owners: Owners,
        members: Members,
        report: Callable[[str, PiggybackedEntries], None],
        clock: Callable[[], float],
    ) -> None:
        self._placer = placer
        self._owners = owners
        self._members = members
        self._report = report
        self._clock = clock

    def collect(self) -> PiggybackedEntries:
        """Return what goes along with each message of the gossip."""
        crashes = self._placer.poison.digest(self._clock())
        return PiggybackedEntries(tuple(crashes), tuple(self._owners.digest()))

    def handle_peer_state(self, heard: PeerStateReceived) -> None:
        """Take what a peer told."""
        now_s = self._clock()
        for count in heard.entries.crashes:
            self._placer.poison.observe_peer(heard.sender, *count, now_s)
        self._placer.placement.observe_peer(heard.entries.loads, now_s)
        self._owners.reservations.loads.observe_peer(heard.entries.loads, now_s)

    def tell_crash(self, count: CrashCount) -> None:
        """Tell all peers of a crash at once.

        Gossip takes many seconds to reach all.  The caller of a poison request sends
        it again at once, and the balancer hands it to a router that knows of nothing.
        """
        for member in self._members.list_live():
            if member.name != self._members.own.name:
                self._report(member.name, PiggybackedEntries((count,)))
