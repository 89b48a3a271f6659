"""Bulletins between the routers of a zone about what the store has answered."""

from collections.abc import Callable

from tamarackrill.decisions.watching import Bulletin, Watching
from tamarackrill.events import WATCH_ROLE_CHANGED, log_event
from tamarackrill.protocol.bulletin_codec import decode_bulletin, encode_bulletin
from tamarackrill.router.configuring import Configurer
from tamarackrill.router.members import Members


class ZoneNews:
    """Tells the others of the zone, and hears them.

    Parameters
    ----------
    watching : Watching
        Decides who asks the store.
    members : Members
        Live routers, this one among them.
    configurer : Configurer
        Asks the store, and takes what others hold.
    send : callable
        Sends a datagram to a peer address.
    peer_keys : tuple of str
        The first signs, all verify.
    session : int
        Start of this process, in ms since the epoch.
    clock : callable
        Returns the present time.
    """

    def __init__(
        self,
        watching: Watching,
        members: Members,
        configurer: Configurer,
        send: Callable[[str, bytes], None],
        peer_keys: tuple[str, ...],
        session: int,
        clock: Callable[[], float],
    ) -> None:
        self._watching = watching
        self._members = members
        self._configurer = configurer
        self._send = send
        self._peer_keys = peer_keys
        self._session = session
        self._clock = clock
        self._sequence = 0
        self._was_watcher = True
        configurer.on_answer = watching.observe_answer
        configurer.on_read = watching.observe_read
        configurer.find_rest_s = watching.find_wait_s
        configurer.find_watch_s = lambda kind: watching.find_shares(kind).watch_s

    def find_ages_s(self, now_s: float) -> dict[str, float]:
        """Return how old the newest evidence of the store is, by kind of objects."""
        kinds = [digest.kind for digest in self._configurer.digest()]
        return self._watching.find_ages_s(kinds, now_s)

    def take_members(self) -> None:
        """Take who lives in the zone."""
        own = self._members.own
        live = [m.name for m in self._members.list_live() if m.zone == own.zone]
        self._watching.set_members(live)
        if self._watching.is_watcher != self._was_watcher:
            self._was_watcher = self._watching.is_watcher
            log_event(
                WATCH_ROLE_CHANGED, is_watcher=self._was_watcher, routers=len(live)
            )

    def tell(self) -> None:
        """Send what the store has answered this router to the others of the zone."""
        own = self._members.own
        others = [
            member
            for member in self._members.list_live()
            if member.zone == own.zone and member.name != own.name
        ]
        digests = self._configurer.digest()
        evidence = self._watching.make_evidence(digests, self._clock())
        if not others or not evidence:
            return
        self._sequence += 1
        bulletin = Bulletin(own.name, self._session, self._sequence, evidence)
        datagram = encode_bulletin(bulletin, self._peer_keys)
        for member in others:
            self._send(member.peer_address, datagram)

    def take_datagram(self, datagram: bytes, source: str) -> bool:
        """Take a datagram; return whether it was a bulletin."""
        bulletin = decode_bulletin(datagram, self._peer_keys)
        if bulletin is None:
            return False
        if self._watching.hear(bulletin, self._clock()):
            for evidence in bulletin.evidence:
                self._configurer.hear_news(bulletin.sender, source, evidence.digest)
        return True
