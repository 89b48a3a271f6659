"""Exchanges evidence of the store's latest answers with other routers."""

import math
import random
from collections import defaultdict
from collections.abc import Callable, Iterable

from tamarackrill.decisions.configuration import ConfigurationDigest
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

# How long a router that requested evidence is sent updates directly.  By then gossip
# has announced it to the router that is responsible for sending to it.
SUBSCRIPTION_S = 5.0
# A change is sent once more, because a datagram may be lost.
RETRANSMISSIONS = 1
# Evidence that is newer by less doesn't justify a datagram to each router of a zone.
EVIDENCE_STEP_S = 0.2
# Shorter suspensions don't change any age significantly.
SUSPENDED_MIN_S = 0.05


class EvidenceExchange:
    """Sends evidence of the store's answers to other routers and processes theirs.

    Parameters
    ----------
    watch_policy : WatchPolicy
        Decides which routers call the store.
    members : Members
        Live routers, including this one.
    configuration_sync : ConfigurationSync
        Calls the store, and pulls what other routers hold.
    send : callable
        Sends a datagram to a peer address.
    peer_keys : tuple of str
        The first key signs; all of them verify.
    session : int
        Start of this process, in ms since the epoch.
    clock : callable
        Returns the current time.
    contacts : tuple of str, optional
        Peer addresses of some routers, for a router that knows no others yet.
    pick : callable, optional
        ``pick(n)`` returns a random number from 0 to n - 1.
    find_suspended_s : callable, optional
        Returns the total time this VM has been suspended, which the clock doesn't
        count.
    """

    def __init__(
        self,
        watch_policy: WatchPolicy,
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
        self._watch_policy = watch_policy
        self._members = members
        self._configuration_sync = configuration_sync
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
        self._zone_heads: list[Member] = []
        # When subscriptions expire, by peer address.
        self._subscribers: dict[str, float] = {}
        self._sent: dict[str, Evidence] = {}
        self._sent_s = 0.0
        self._retransmissions_left = 0
        configuration_sync.on_answer = self._handle_answer
        configuration_sync.on_unchanged = watch_policy.observe_answer
        # Known to this router only: such reads come in bursts.
        configuration_sync.on_current = watch_policy.observe_answer
        configuration_sync.on_unavailable = watch_policy.observe_refusal
        configuration_sync.on_read = watch_policy.observe_read
        configuration_sync.find_poll_delay_s = watch_policy.find_wait_s
        find_default_s = configuration_sync.find_retry_s
        configuration_sync.find_retry_s = lambda before_s: watch_policy.find_retry_s(
            find_default_s(before_s), find_default_s(math.inf)
        )
        configuration_sync.find_watch_s = lambda kind: (
            watch_policy.find_propagation_times(kind).watch_s
        )

    def find_ages_s(self, now_s: float) -> dict[str, float]:
        """Return the age of the newest evidence of the store by object kind."""
        kinds = [digest.kind for digest in self._configuration_sync.digest()]
        return self._watch_policy.find_ages_s(kinds, now_s)

    def update_members(self) -> None:
        """Update the zones, their heads and this router's role from `Members`."""
        zones: dict[str, dict[str, Member]] = defaultdict(dict)
        for member in (*self._members.list_live(), self._members.own):
            zones[member.zone][member.name] = member
        if zones == self._zones:
            return
        self._zones = zones
        own_zone = self._members.own.zone
        others = {z: list(names) for z, names in zones.items() if z != own_zone}
        self._watch_policy.set_members(zones[own_zone], others)
        self._zone_heads = [
            names[find_zone_head(zone, list(names))] for zone, names in zones.items()
        ]
        role = _name_role(self._watch_policy)
        if role != self._role:
            self._role = role
            log_event(
                WATCH_ROLE_CHANGED,
                role=role,
                routers=len(zones[own_zone]),
                zones=len(zones),
            )

    def repeat_evidence(self) -> None:
        """Send changes once more, and request evidence if none arrives."""
        self._handle_suspension()
        self._broadcast(is_retransmission=True)
        self._request_evidence()

    def tell(self) -> None:
        """Send evidence that is newer than what was sent last."""
        self._broadcast(is_retransmission=False)

    def _handle_answer(self, kind: str, as_of_s: float) -> None:
        self._watch_policy.observe_answer(kind, as_of_s)
        self.tell()
        self._request_evidence()

    def _broadcast(self, is_retransmission: bool) -> None:
        now_s = self._clock()
        digests = self._configuration_sync.digest()
        known = self._watch_policy.make_relayed_evidence(digests, now_s)
        if self._has_changed(known):
            self._retransmissions_left = RETRANSMISSIONS
        elif is_retransmission and self._retransmissions_left:
            self._retransmissions_left -= 1
        elif not self._is_newer(known, now_s):
            return
        self._sent = {evidence.digest.kind: evidence for evidence in known}
        self._sent_s = now_s
        self._send_to_heads(known, now_s)
        self._send_to_zone(known, now_s)
        self._send_to_subscribers(known, now_s)

    def _has_changed(self, known: Iterable[Evidence]) -> bool:
        for evidence in known:
            sent = self._sent.get(evidence.digest.kind)
            if sent is None or _identify(sent.digest) != _identify(evidence.digest):
                return True
        return False

    def _is_newer(self, known: Iterable[Evidence], now_s: float) -> bool:
        for evidence in known:
            sent = self._sent[evidence.digest.kind]
            sent_age_s = now_s - self._sent_s + sent.age_s
            if evidence.age_s < sent_age_s - EVIDENCE_STEP_S:
                return True
        return False

    def _send_to_zone(self, known: tuple[Evidence, ...], now_s: float) -> None:
        zone = self._zones.get(self._members.own.zone, {})
        watch_policy = self._watch_policy
        if _is_firsthand(known) and not (
            watch_policy.is_watcher or watch_policy.is_head
        ):
            # A router that calls the store without being watcher or head has received
            # no evidence, and others may have missed it too.
            self._send_bulletin(zone.values(), known, now_s)
        else:
            children = (zone[name] for name in watch_policy.children if name in zone)
            self._send_bulletin(children, known, now_s)

    def _send_to_heads(self, known: tuple[Evidence, ...], now_s: float) -> None:
        if not (self._watch_policy.is_watcher or self._watch_policy.is_head):
            return
        # No other head can send what the store answered to a router of this zone.
        zone = self._zones.get(self._members.own.zone, {})
        near = tuple(e for e in known if not e.hops or e.origin in zone)
        self._send_bulletin(self._zone_heads, near, now_s)

    def _send_to_subscribers(self, known: tuple[Evidence, ...], now_s: float) -> None:
        self._subscribers = {a: s for a, s in self._subscribers.items() if s > now_s}
        if known and self._subscribers:
            datagram = self._encode(known, now_s)
            for address in self._subscribers:
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
        """Encode a bulletin as a datagram; see `Bulletin` for the parameters.

        Its timestamp is the time to which its ages refer, so that any delay before
        sending counts as transit time.
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

    def _request_evidence(self) -> None:
        now_s = self._clock()
        kinds = [digest.kind for digest in self._configuration_sync.digest()]
        if not any(self._watch_policy.must_ask_peers(kind, now_s) for kind in kinds):
            return
        own = self._members.own
        zone = self._zones.get(own.zone, {}).values()
        near = [m.peer_address for m in zone if m.name != own.name]
        # Traffic between zones is expensive, and most routers here have evidence.
        candidates = (
            self._contacts if self._watch_policy.is_watcher or not near else near
        )
        if candidates:
            address = candidates[self._pick(len(candidates))]
            self._send(address, self._encode((), now_s, asks=True))

    def handle_datagram(self, datagram: bytes, source: str) -> bool:
        """Process a datagram; return whether it was a bulletin."""
        bulletin = decode_bulletin(datagram, self._peer_keys)
        if bulletin is None:
            return False
        self._handle_suspension()
        now_s = self._clock()
        transit_s = self._find_transit_s(bulletin, now_s)
        # A router of an earlier release takes the store's revisions for those of before
        # its restore, and its evidence would keep this one from asking the store.
        comparable = tuple(
            evidence
            for evidence in bulletin.evidence
            if self._configuration_sync.is_comparable(evidence.digest)
        )
        bulletin = bulletin._replace(evidence=comparable)
        usable = () if transit_s is None else bulletin.evidence
        aged = tuple(e._replace(age_s=e.age_s + (transit_s or 0.0)) for e in usable)
        is_newer = self._is_newer_than_known(bulletin, now_s)
        if not self._watch_policy.observe_bulletin(
            bulletin._replace(evidence=aged), now_s
        ):
            return True
        if is_newer and bulletin.sent_s is not None:
            self._request_clock(bulletin, transit_s, source, now_s)
        if bulletin.asks:
            self._subscribers[source] = now_s + SUBSCRIPTION_S
        if bulletin.asks or bulletin.asks_time:
            self._reply(source, bulletin.sent_s, now_s)
        for evidence in aged or bulletin.evidence:
            as_of_s = now_s - evidence.age_s if aged else -math.inf
            digest = evidence.digest
            self._configuration_sync.observe_evidence(
                bulletin.sender, source, digest, as_of_s
            )
        if bulletin.evidence:
            self.tell()
        return True

    def _find_transit_s(self, bulletin: Bulletin, now_s: float) -> float | None:
        if bulletin.sent_s is None:
            # Routers of earlier releases can't be asked for their clock.
            return 0.0
        sender, session, sent_s = bulletin.sender, bulletin.session, bulletin.sent_s
        asked_s = bulletin.asked_s
        # Ignores replies to requests of an earlier process on this address.
        if asked_s is not None and self._started_s <= asked_s <= now_s:
            self._transit.observe_answer(sender, session, asked_s, sent_s, now_s)
        return self._transit.find_transit_s(sender, session, sent_s, now_s)

    def _is_newer_than_known(self, bulletin: Bulletin, now_s: float) -> bool:
        """Return whether any evidence would be newer, had it arrived without delay."""
        kinds = [evidence.digest.kind for evidence in bulletin.evidence]
        known_s = self._watch_policy.find_ages_s(kinds, now_s)
        return any(
            evidence.age_s < known_s.get(evidence.digest.kind, math.inf)
            for evidence in bulletin.evidence
        )

    def _request_clock(
        self, bulletin: Bulletin, transit_s: float | None, source: str, now_s: float
    ) -> None:
        sender, session = bulletin.sender, bulletin.session
        if self._transit.must_request_clock(sender, session, transit_s, now_s):
            self._transit.observe_request(sender, session, now_s)
            self._send(source, self._encode((), now_s, asks_time=True))

    def _reply(self, address: str, asked_s: float | None, now_s: float) -> None:
        known = self._watch_policy.make_relayed_evidence(
            self._configuration_sync.digest(), now_s
        )
        self._send(address, self._encode(known, now_s, asked_s=asked_s))

    def _handle_suspension(self) -> None:
        suspended_s = self._find_suspended_s() - self._suspended_s
        if suspended_s < SUSPENDED_MIN_S:
            return
        self._suspended_s += suspended_s
        # All ages are too low by the suspended time.
        self._watch_policy.drop_evidence()
        self._transit.forget()
        log_event(EVIDENCE_DROPPED, suspended_s=round(suspended_s, 3))


def _identify(digest: ConfigurationDigest) -> tuple[int, int]:
    """Return what differs between two states of the same kind."""
    return digest.era, digest.content


def _is_firsthand(known: Iterable[Evidence]) -> bool:
    return any(not evidence.hops for evidence in known)


def _name_role(watch_policy: WatchPolicy) -> str:
    if watch_policy.is_watcher:
        return "watcher"
    return "head" if watch_policy.is_head else "member"
