"""Exchanges crash counts and loads with the other routers by gossip."""

from collections.abc import Callable

from tamarackrill.decisions.members import PiggybackedEntries
from tamarackrill.decisions.membership import PeerStateReceived
from tamarackrill.decisions.poison import CrashCount
from tamarackrill.router.members import Members
from tamarackrill.router.owners import Owners
from tamarackrill.router.placing import Placer


class CrashLoadExchange:
    """Provides crash counts and loads for gossip, and applies those of peers.

    Parameters
    ----------
    placer : Placer
        Holds the crash counts, and uses the loads of peers.
    owners : Owners
        Counts the loads of the endpoints that this router owns.
    members : Members
        Live routers.
    report : callable
        Sends entries to one router now, as far as the byte budget allows.
    clock : callable
        Returns the current time.
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
        """Return the entries to piggyback on gossip messages."""
        crashes = self._placer.poison.digest(self._clock())
        return PiggybackedEntries(tuple(crashes), tuple(self._owners.digest()))

    def handle_peer_state(self, peer_state: PeerStateReceived) -> None:
        """Apply the crash counts and loads of a peer."""
        now_s = self._clock()
        for count in peer_state.entries.crashes:
            self._placer.poison.observe_peer(peer_state.sender, *count, now_s)
        self._placer.placement.observe_peer(peer_state.entries.loads, now_s)
        self._owners.reservations.loads.observe_peer(peer_state.entries.loads, now_s)

    def tell_crash(self, count: CrashCount) -> None:
        """Send a crash count to all peers at once.

        Gossip takes many seconds to reach all of them, but the caller of a poison
        request retries at once, and the balancer may pick a router that hasn't heard of
        the crash.
        """
        for member in self._members.list_live():
            if member.name != self._members.own.name:
                self._report(member.name, PiggybackedEntries((count,)))
