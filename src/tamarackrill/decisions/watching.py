"""Which routers query the store, and how its answers spread to the others.

Load pattern: every router has to learn of each change within seconds, and every call
to the store costs, a long-polling watch included.  If each router watched, the calls
would grow with the fleet, and at each change all would query anew, beyond the store's
rate limits.

So one router watches for the fleet: the first live one in rendezvous order, which all
compute alike.  It tells the head of each zone, the first of its zone in such an order,
which versions it holds and how old its evidence is, that is, when the store answered.
Heads relay that inside their zones along a tree whose fan-out bounds what each router
sends, and any router answers a peer that asks for it.

The others accept evidence only up to an age that leaves enough time to read a change
(see `news_shares`).  If the watcher or a head is killed, frozen or partitioned, or
datagrams are lost, they all see the evidence expire and query the store themselves:
heads slightly before the others, and each group staggered, so that the loss of a
watcher does not cause 195 calls at once.  A router that has queried tells the others
at once.  A watcher that the store refuses leaves the work to a router that it answers.

A router that has just started knows no others and considers itself the watcher.  It
asks the contacts from its settings for evidence, and yields to evidence from a router
that precedes it in the order.  Until then it accepts its own evidence on endpoint
entries, which all change when a fleet starts, about as long as that of others, and
polls again when it expires.  A manifest changes rarely, so a watch on it costs no more
than polling.

Evidence is never treated as newer than the store's answer: a bulletin is only a reason
to query.  Relayed evidence ages by all of its time in transit (see `transit`), is
relayed only by routers that hold everything it covers, and only a few times.
"""

import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from tamarackrill.decisions import hashing
from tamarackrill.decisions.configuration import ConfigurationDigest, needs_changes
from tamarackrill.decisions.news_shares import (
    STAGGER_MAX_S,
    PropagationTimes,
    ReadTimes,
    split_propagation_time,
)

# Delay between the queries of two routers: an answer takes 4 ms, and telling the others
# a few more.
STAGGER_S = 0.04
# For this long after its start a router polls instead of watching.  In a fleet of 60
# that starts at once, most know all others of their zone by then.
SETTLE_S = 7.0
# A new router polls again slightly before its own evidence expires.
OWN_EVIDENCE_SHARE = 0.85
# A head queries this much before the other routers of its zone, and tells them.
HEAD_LEAD_S = 0.3
# Relays from the watcher to a head, down a large zone's tree, and to a peer that asked.
HOPS_MAX = 6
# Children in a zone's relay tree; 46 routers are within two hops of their head.
FAN_OUT = 8
# A watcher that the store refused retries after this time, if it gets evidence from
# others meanwhile.
REFUSED_BACKOFF_S = 3.0
# Retry interval of routers that leave it to others to detect the store's return.
FOLLOWER_RETRY_S = 6.0

_FLEET = "fleet"


class Evidence(NamedTuple):
    """Proof of how recently the store answered, for one kind of objects.

    Parameters
    ----------
    age_s : float
        Time since the store answered.
    digest : ConfigurationDigest
        What the sender holds.
    origin : str, optional
        Router that the store answered; empty if it was the sender.
    hops : int, optional
        How often the evidence was relayed.
    """

    age_s: float
    digest: ConfigurationDigest
    origin: str = ""
    hops: int = 0


class Bulletin(NamedTuple):
    """Message in which a router tells others what the store answered.

    Parameters
    ----------
    sender : str
        Name of the router.
    session : int
        Start time of its process, in ms since the epoch.
    sequence : int
        Increases with each bulletin of a session.
    evidence : tuple of Evidence
        One for each kind.
    asks : bool, optional
        Whether the sender lacks evidence and requests bulletins.
    sent_s : float or None, optional
        The sender's monotonic clock; None from a router of an earlier release.
    asked_s : float or None, optional
        `sent_s` of the request that this answers; None if it answers none.
    asks_time : bool, optional
        Whether the sender requests the receiver's clock.
    """

    sender: str
    session: int
    sequence: int
    evidence: tuple[Evidence, ...]
    asks: bool = False
    sent_s: float | None = None
    asked_s: float | None = None
    asks_time: bool = False


class _ReceivedEvidence(NamedTuple):
    """Newest evidence of others, and when the store gave it."""

    as_of_s: float
    evidence: Evidence


class WatchPolicy:
    """Decides when one router queries the store and what it relays.

    Parameters
    ----------
    own : str
        Name of this router.
    zone : str
        Its availability zone.
    evidence_max_age_s : float
        Upper bound of the age up to which another router's evidence is accepted.
    settled_s : float, default=0.0
        Time until which the members of the zone are not yet known.
    propagation_max_s : float, optional
        Time in which a change has to be in force; evidence expires early enough to
        read it.
    kinds_watched_at_start : collection of str, optional
        Kinds that are watched before the members of the zone are known.

    Attributes
    ----------
    children : tuple of str
        Routers of its zone that this one relays to.
    """

    def __init__(
        self,
        own: str,
        zone: str,
        evidence_max_age_s: float,
        settled_s: float = 0.0,
        propagation_max_s: float = math.inf,
        kinds_watched_at_start: Collection[str] = (),
    ) -> None:
        self._settled_s = settled_s
        self._own = own
        self._zone = zone
        self._trust_s = evidence_max_age_s
        self._propagation_max_s = propagation_max_s
        self._watched_at_once = kinds_watched_at_start
        # Ranks in the fleet, among the heads of zones and in its zone.
        self._fleet_rank = 0
        self._head_rank = 0
        self._zone_rank = 0
        self.children: tuple[str, ...] = ()
        self._answered_s: dict[str, float] = {}
        self._refused_s: dict[str, float] = {}
        self._reads: dict[str, ReadTimes] = defaultdict(ReadTimes)
        self._last_sequences: dict[str, tuple[int, int]] = {}
        self._received: dict[str, _ReceivedEvidence] = {}
        # Time of the newest evidence that originates from a router that precedes this
        # one in the fleet's order.
        self._received_from_preceding_s: dict[str, float] = {}
        self._precedence_cache: dict[str, bool] = {}

    @property
    def is_watcher(self) -> bool:
        """Whether this router watches the store for the fleet."""
        return self._fleet_rank == 0

    @property
    def is_head(self) -> bool:
        """Whether this router relays to the others of its zone."""
        return self._zone_rank == 0

    def set_members(
        self, names: Iterable[str], others: Mapping[str, Sequence[str]] | None = None
    ) -> None:
        """Update the live routers.

        Parameters
        ----------
        names : iterable of str
            Those of this zone, this one among them.
        others : mapping of str to sequence of str, optional
            Those of each other zone.
        """
        zones: dict[str, Sequence[str]] = dict(others or {})
        zones[self._zone] = sorted({*names, self._own})
        fleet = [name for members in zones.values() for name in members]
        self._fleet_rank = hashing.rank(_FLEET, fleet).index(self._own)
        zone_order = hashing.rank(self._zone, zones[self._zone])
        self._zone_rank = zone_order.index(self._own)
        first = self._zone_rank * FAN_OUT + 1
        self.children = tuple(zone_order[first : first + FAN_OUT])
        heads = {find_zone_head(zone, members) for zone, members in zones.items()}
        order = hashing.rank(_FLEET, sorted({*heads, self._own}))
        self._head_rank = order.index(self._own)

    def observe_answer(self, kind: str, as_of_s: float) -> None:
        """Record that the store has told this router its state as of `as_of_s`."""
        self._answered_s[kind] = max(self._answered_s.get(kind, as_of_s), as_of_s)
        self._refused_s.pop(kind, None)

    def observe_refusal(self, kind: str, now_s: float) -> None:
        """Record that the store has not answered this router."""
        self._refused_s[kind] = now_s

    def observe_read(self, kind: str, read_s: float) -> None:
        """Record how long a change took from its first byte to being in force."""
        self._reads[kind].observe(read_s)

    def find_propagation_times(self, kind: str) -> PropagationTimes:
        """Return how long to wait for changes of a kind."""
        shares = split_propagation_time(
            self._propagation_max_s, self._reads[kind].longest_s
        )
        return shares._replace(
            evidence_max_age_s=min(self._trust_s, shares.evidence_max_age_s)
        )

    def observe_bulletin(self, bulletin: Bulletin, now_s: float) -> bool:
        """Process a bulletin; return False if it is a duplicate or out of order."""
        position = (bulletin.session, bulletin.sequence)
        if position <= self._last_sequences.get(bulletin.sender, (-1, -1)):
            return False
        self._last_sequences[bulletin.sender] = position
        for evidence in bulletin.evidence:
            origin = evidence.origin or bulletin.sender
            if origin != self._own:
                self._merge_evidence(evidence._replace(origin=origin), now_s)
        return True

    def drop_evidence(self) -> None:
        """Drop all evidence, own and received, as its age is no longer known."""
        self._answered_s.clear()
        self._received.clear()
        self._received_from_preceding_s.clear()

    def _merge_evidence(self, evidence: Evidence, now_s: float) -> None:
        kind = evidence.digest.kind
        as_of_s = now_s - max(0.0, evidence.age_s)
        if as_of_s > self._find_received_s(kind):
            self._received[kind] = _ReceivedEvidence(as_of_s, evidence)
        if self._precedes_own(evidence.origin):
            known_s = self._received_from_preceding_s.get(kind, -math.inf)
            self._received_from_preceding_s[kind] = max(known_s, as_of_s)

    def _find_received_s(self, kind: str) -> float:
        received = self._received.get(kind)
        return -math.inf if received is None else received.as_of_s

    def _precedes_own(self, origin: str) -> bool:
        """Return whether a router precedes this one in the fleet's order."""
        if origin not in self._precedence_cache:
            order = hashing.rank(_FLEET, sorted({origin, self._own}))
            self._precedence_cache[origin] = order[0] == origin != self._own
        return self._precedence_cache[origin]

    def find_wait_s(self, kind: str, now_s: float) -> float:
        """Return for how long evidence is still recent enough; 0 to query now."""
        evidence_max_age_s = self.find_propagation_times(kind).evidence_max_age_s
        received_s = self._find_received_s(kind)
        if now_s < self._settled_s and kind not in self._watched_at_once:
            answered_s = self._answered_s.get(kind, -math.inf)
            own_expires_s = answered_s + OWN_EVIDENCE_SHARE * evidence_max_age_s
            return max(0.0, max(received_s + evidence_max_age_s, own_expires_s) - now_s)
        if self.is_watcher:
            refused_s = self._refused_s.get(kind, -math.inf)
            if now_s >= refused_s + REFUSED_BACKOFF_S:
                received_s = self._received_from_preceding_s.get(kind, -math.inf)
            return max(0.0, received_s + evidence_max_age_s - now_s)
        if self.is_head:
            evidence_max_age_s = max(
                evidence_max_age_s - HEAD_LEAD_S, evidence_max_age_s / 2
            )
            stagger_s = STAGGER_S * max(0, self._head_rank - 1)
        else:
            stagger_s = STAGGER_S * (self._zone_rank - 1)
        return max(
            0.0, received_s + evidence_max_age_s + min(STAGGER_MAX_S, stagger_s) - now_s
        )

    def find_retry_s(self, usual_s: float, retry_max_s: float) -> float:
        """Return the delay before retrying a call that the store did not answer.

        The first few routers in the order detect the store's return within about
        `retry_max_s` and tell the others.  The others retry too, less often, as they
        may be the only ones that reach it; the more they are, the sooner one succeeds.

        Parameters
        ----------
        usual_s : float
            Delay of a router that is alone.
        retry_max_s : float
            Longest such delay.
        """
        if self.is_watcher or self.is_head:
            return min(self._propagation_max_s, usual_s * (1 + self._head_rank))
        return max(retry_max_s, min(self._propagation_max_s, FOLLOWER_RETRY_S))

    def must_ask_peers(self, kind: str, now_s: float) -> bool:
        """Return whether to ask other routers for evidence."""
        if self.is_watcher and now_s >= self._settled_s:
            # Nobody tells the watcher; a router that has just started may not be it.
            return False
        # By then the next bulletin should have arrived, and there is time left.
        shares = self.find_propagation_times(kind)
        due_s = (shares.watch_s + shares.evidence_max_age_s) / 2
        return now_s > self._find_received_s(kind) + due_s

    def find_ages_s(self, kinds: Iterable[str], now_s: float) -> dict[str, float]:
        """Return the age of the newest evidence, own or received, by known kind."""
        ages_s = {}
        for kind in kinds:
            received_s = self._find_received_s(kind)
            newest_s = max(received_s, self._answered_s.get(kind, -math.inf))
            if newest_s > -math.inf:
                ages_s[kind] = now_s - newest_s
        return ages_s

    def make_evidence(
        self, digests: Iterable[ConfigurationDigest], now_s: float
    ) -> tuple[Evidence, ...]:
        """Return this router's own evidence."""
        found = []
        for digest in digests:
            answered_s = self._answered_s.get(digest.kind, -math.inf)
            age_s = now_s - answered_s
            if age_s < self._trust_s:
                found.append(Evidence(age_s, digest))
        return tuple(found)

    def make_relayed_evidence(
        self, digests: Iterable[ConfigurationDigest], now_s: float
    ) -> tuple[Evidence, ...]:
        """Return the evidence to relay: that of others where it is newer than its own.

        Parameters
        ----------
        digests : iterable of ConfigurationDigest
            What this router holds.
        now_s : float
            Current time.
        """
        own = {e.digest.kind: e for e in self.make_evidence(digests, now_s)}
        found = []
        for digest in digests:
            relayed = self._relay(digest, now_s)
            known = own.get(digest.kind)
            if known is None or (relayed and relayed.age_s < known.age_s):
                known = relayed
            if known is not None:
                found.append(known)
        return tuple(found)

    def _relay(self, digest: ConfigurationDigest, now_s: float) -> Evidence | None:
        received = self._received.get(digest.kind)
        if received is None or received.evidence.hops >= HOPS_MAX:
            return None
        age_s = now_s - received.as_of_s
        # The receiver will request what it lacks from this router.
        holds_all = not needs_changes(digest, received.evidence.digest)
        if age_s >= self._trust_s or not holds_all:
            return None
        hops = received.evidence.hops + 1
        return Evidence(age_s, digest, received.evidence.origin, hops)


def find_zone_head(zone: str, names: Iterable[str]) -> str:
    """Return the router that relays to the others of a zone."""
    return hashing.rank(zone, sorted(names))[0]
