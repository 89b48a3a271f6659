"""Bulletins between routers about what the store has answered."""

import math
import random
from collections import defaultdict
from collections.abc import Callable, Iterable

from tamarackrill.decisions.transit import TransitBounds
from tamarackrill.decisions.watching import (
    Bulletin,
    Evidence,
    WatchPolicy,
    find_zone_head,
)
from tamarackrill.events import EVIDENCE_DROPPED, WATCH_ROLE_CHANGED, log_event
from tamarackrill.protocol.bulletin_codec import decode_bulletin, encode_bulletin
from tamarackrill.router.configuring import ConfigurationSync
from tamarackrill.router.members import Member, Members

# How long a router that asked is told.  By then gossip has made it known to the one
# whose task that is.
LISTENER_KEPT_S = 5.0
# A change is told once more, as a datagram may be lost.
REPEATS = 1
# Evidence that is newer by less is not worth a datagram to each router of a zone.
EVIDENCE_STEP_S = 0.2
# A suspension of less changes no age that matters.
SUSPENDED_MIN_S = 0.05


class EvidenceExchange:
    """Tells other routers what the store has said, and hears them.

    Parameters
    ----------
    watching : Watching
        Decides who asks the store.
    members : Members
        Live routers, this one among them.
    configuration_sync : Configurer
        Asks the store, and takes what others hold.
    send : callable
        Sends a datagram to a peer address.
    peer_keys : tuple of str
        The first signs, all verify.
    session : int
        Start of this process, in ms since the epoch.
    clock : callable
        Returns the present time.
    contacts : tuple of str, optional
        Peer addresses of some routers, asked by one that knows no others yet.
    pick : callable, optional
        ``pick(n)`` returns a random number from 0 to n - 1.
    find_suspended_s : callable, optional
        Returns for how long this VM was suspended in all, which the clock doesn't
        count.
    """

    def __init__(
        self,
        watching: WatchPolicy,
        members: Members,
        configuration_sync: ConfigurationSync,
        send: Callable[[str, bytes], None],
        peer_keys: tuple[str, ...],
        session: int,
        clock: Callable[[], float],
        contacts: tuple[str, ...] = (),
        pick: Callable[[int], int] = random.randrange,
        find_suspended_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._watching = watching
        self._members = members
        self._configurer = configuration_sync
        self._send = send
        self._peer_keys = peer_keys
        self._session = session
        self._clock = clock
        self._contacts = contacts
        self._pick = pick
        self._find_suspended_s = find_suspended_s
        self._suspended_s = find_suspended_s()
        self._transit = TransitBounds()
        self._started_s = clock()
        self._sequence = 0
        self._role = ""
        self._zones: dict[str, dict[str, Member]] = {}
        self._heads: list[Member] = []
        # Until when routers that asked are told, by peer address.
        self._listeners: dict[str, float] = {}
        self._told: dict[str, Evidence] = {}
        self._told_s = 0.0
        self._repeats_left = 0
        configuration_sync.on_answer = self._take_answer
        configuration_sync.on_unavailable = watching.observe_refusal
        configuration_sync.on_read = watching.observe_read
        configuration_sync.find_poll_delay_s = watching.find_wait_s
        find_usual_s = configuration_sync.find_retry_s
        configuration_sync.find_retry_s = lambda before_s: watching.find_retry_s(
            find_usual_s(before_s), find_usual_s(math.inf)
        )
        configuration_sync.find_watch_s = lambda kind: (
            watching.find_propagation_times(kind).watch_s
        )

    def find_ages_s(self, now_s: float) -> dict[str, float]:
        """Return how old the newest evidence of the store is, by kind of objects."""
        kinds = [digest.kind for digest in self._configurer.digest()]
        return self._watching.find_ages_s(kinds, now_s)

    def update_members(self) -> None:
        """Take who lives, and where."""
        zones: dict[str, dict[str, Member]] = defaultdict(dict)
        for member in (*self._members.list_live(), self._members.own):
            zones[member.zone][member.name] = member
        if zones == self._zones:
            return
        self._zones = zones
        own_zone = self._members.own.zone
        others = {z: list(names) for z, names in zones.items() if z != own_zone}
        self._watching.set_members(zones[own_zone], others)
        self._heads = [
            names[find_zone_head(zone, list(names))] for zone, names in zones.items()
        ]
        role = _name_role(self._watching)
        if role != self._role:
            self._role = role
            log_event(
                WATCH_ROLE_CHANGED,
                role=role,
                routers=len(zones[own_zone]),
                zones=len(zones),
            )

    def repeat_evidence(self) -> None:
        """Repeat what was told last, and ask to be told if nothing is heard."""
        self._note_suspension()
        self._tell(is_repeated=True)
        self._ask_peers()

    def tell(self) -> None:
        """Tell what is new since it was told last."""
        self._tell(is_repeated=False)

    def _take_answer(self, kind: str, as_of_s: float) -> None:
        self._watching.observe_answer(kind, as_of_s)
        self.tell()
        self._ask_peers()

    def _tell(self, is_repeated: bool) -> None:
        now_s = self._clock()
        digests = self._configurer.digest()
        known = self._watching.make_relayed_evidence(digests, now_s)
        if self._has_changed(known):
            self._repeats_left = REPEATS
        elif is_repeated and self._repeats_left:
            self._repeats_left -= 1
        elif not self._is_newer(known, now_s):
            return
        self._told = {evidence.digest.kind: evidence for evidence in known}
        self._told_s = now_s
        self._tell_heads(known, now_s)
        self._tell_zone(known, now_s)
        self._tell_listeners(known, now_s)

    def _has_changed(self, known: Iterable[Evidence]) -> bool:
        for evidence in known:
            told = self._told.get(evidence.digest.kind)
            if told is None or told.digest.content != evidence.digest.content:
                return True
        return False

    def _is_newer(self, known: Iterable[Evidence], now_s: float) -> bool:
        for evidence in known:
            told = self._told[evidence.digest.kind]
            told_age_s = now_s - self._told_s + told.age_s
            if evidence.age_s < told_age_s - EVIDENCE_STEP_S:
                return True
        return False

    def _tell_zone(self, known: tuple[Evidence, ...], now_s: float) -> None:
        zone = self._zones.get(self._members.own.zone, {})
        watching = self._watching
        if _is_own(known) and not (watching.is_watcher or watching.is_head):
            # Whoever asks the store though it need not has not heard of it, and others
            # may not have either.
            self._send_bulletin(zone.values(), known, now_s)
        else:
            children = (zone[name] for name in watching.children if name in zone)
            self._send_bulletin(children, known, now_s)

    def _tell_heads(self, known: tuple[Evidence, ...], now_s: float) -> None:
        if not (self._watching.is_watcher or self._watching.is_head):
            return
        # What a router of this zone was told by the store, no other head can tell.
        zone = self._zones.get(self._members.own.zone, {})
        near = tuple(e for e in known if not e.hops or e.origin in zone)
        self._send_bulletin(self._heads, near, now_s)

    def _tell_listeners(self, known: tuple[Evidence, ...], now_s: float) -> None:
        self._listeners = {a: s for a, s in self._listeners.items() if s > now_s}
        if known and self._listeners:
            datagram = self._encode(known, now_s)
            for address in self._listeners:
                self._send(address, datagram)

    def _send_bulletin(
        self, members: Iterable[Member], evidence: tuple[Evidence, ...], now_s: float
    ) -> None:
        own = self._members.own
        others = [member for member in members if member.name != own.name]
        if not others or not evidence:
            return
        datagram = self._encode(evidence, now_s)
        for member in others:
            self._send(member.peer_address, datagram)

    def _encode(
        self,
        evidence: tuple[Evidence, ...],
        now_s: float,
        asks: bool = False,
        asks_time: bool = False,
        asked_s: float | None = None,
    ) -> bytes:
        """Return the datagram of a bulletin; see `Bulletin` for the parameters.

        Its time is that of which the ages in it are, so that whatever comes between
        that and the sending counts as time on the way.
        """
        self._sequence += 1
        bulletin = Bulletin(
            self._members.own.name,
            self._session,
            self._sequence,
            evidence,
            asks,
            now_s,
            asked_s,
            asks_time,
        )
        return encode_bulletin(bulletin, self._peer_keys)

    def _ask_peers(self) -> None:
        now_s = self._clock()
        kinds = [digest.kind for digest in self._configurer.digest()]
        if not any(self._watching.must_ask_peers(kind, now_s) for kind in kinds):
            return
        own = self._members.own
        zone = self._zones.get(own.zone, {}).values()
        near = [m.peer_address for m in zone if m.name != own.name]
        # Bytes between zones are dear, and most routers of this one hear of the store.
        asked = self._contacts if self._watching.is_watcher or not near else near
        if asked:
            address = asked[self._pick(len(asked))]
            self._send(address, self._encode((), now_s, asks=True))

    def handle_datagram(self, datagram: bytes, source: str) -> bool:
        """Take a datagram; return whether it was a bulletin."""
        bulletin = decode_bulletin(datagram, self._peer_keys)
        if bulletin is None:
            return False
        self._note_suspension()
        now_s = self._clock()
        transit_s = self._find_transit_s(bulletin, now_s)
        believed = () if transit_s is None else bulletin.evidence
        aged = tuple(e._replace(age_s=e.age_s + (transit_s or 0.0)) for e in believed)
        is_wanted = self._is_wanted(bulletin, now_s)
        if not self._watching.observe_bulletin(bulletin._replace(evidence=aged), now_s):
            return True
        if is_wanted and bulletin.sent_s is not None:
            self._ask_time(bulletin, transit_s, source, now_s)
        if bulletin.asks:
            self._listeners[source] = now_s + LISTENER_KEPT_S
        if bulletin.asks or bulletin.asks_time:
            self._answer(source, bulletin.sent_s, now_s)
        for evidence in aged or bulletin.evidence:
            as_of_s = now_s - evidence.age_s if aged else -math.inf
            digest = evidence.digest
            self._configurer.observe_evidence(bulletin.sender, source, digest, as_of_s)
        if bulletin.evidence:
            self.tell()
        return True

    def _find_transit_s(self, bulletin: Bulletin, now_s: float) -> float | None:
        if bulletin.sent_s is None:
            # A router of an earlier release can't be asked.
            return 0.0
        sender, session, sent_s = bulletin.sender, bulletin.session, bulletin.sent_s
        asked_s = bulletin.asked_s
        # What another process on this address asked is no question of this one.
        if asked_s is not None and self._started_s <= asked_s <= now_s:
            self._transit.observe_answer(sender, session, asked_s, sent_s, now_s)
        return self._transit.find_transit_s(sender, session, sent_s, now_s)

    def _is_wanted(self, bulletin: Bulletin, now_s: float) -> bool:
        """Return whether evidence, if it came without delay, would be news."""
        kinds = [evidence.digest.kind for evidence in bulletin.evidence]
        known_s = self._watching.find_ages_s(kinds, now_s)
        return any(
            evidence.age_s < known_s.get(evidence.digest.kind, math.inf)
            for evidence in bulletin.evidence
        )

    def _ask_time(
        self, bulletin: Bulletin, transit_s: float | None, source: str, now_s: float
    ) -> None:
        sender, session = bulletin.sender, bulletin.session
        if self._transit.must_request_clock(sender, session, transit_s, now_s):
            self._transit.observe_request(sender, session, now_s)
            self._send(source, self._encode((), now_s, asks_time=True))

    def _answer(self, address: str, asked_s: float | None, now_s: float) -> None:
        known = self._watching.make_relayed_evidence(self._configurer.digest(), now_s)
        self._send(address, self._encode(known, now_s, asked_s=asked_s))

    def _note_suspension(self) -> None:
        suspended_s = self._find_suspended_s() - self._suspended_s
        if suspended_s < SUSPENDED_MIN_S:
            return
        self._suspended_s += suspended_s
        # All ages are short by that time.
        self._watching.drop_evidence()
        self._transit.forget()
        log_event(EVIDENCE_DROPPED, suspended_s=round(suspended_s, 3))


def _is_own(known: Iterable[Evidence]) -> bool:
    return any(not evidence.hops for evidence in known)


def _name_role(watching: WatchPolicy) -> str:
    if watching.is_watcher:
        return "watcher"
    return "head" if watching.is_head else "member"
