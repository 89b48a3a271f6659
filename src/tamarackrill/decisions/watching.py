"""Which routers ask the store, and who tells whom what it has said.

Load pattern: every router has to hear of each change within seconds, and every call to
the store has its price, a waiting watch included.  Were each router to watch, the calls
would grow with the fleet, and at each change all would ask anew, which the store's
rates don't bear.

So one router watches for all: the first of those that live, in an order that all
compute alike.  It tells the head of each zone, the first of its zone in such an order,
what it holds and how old its evidence is, that is, when the store answered.  Heads pass
that on inside their zones along a tree whose fan-out bounds what each router sends, and
anyone passes it on to whoever asks for it.

The others believe evidence only for as long as it is younger than a time that leaves
enough to read a change (see `news_shares`).  Whether the watcher or a head is killed,
frozen, cut off, deaf or its datagrams are lost, they see the same thing, evidence that
grows old, and ask the store themselves: heads a little before the others, and each
group one after the other, so that a watcher's loss is not 195 calls at once.  Whoever
has asked tells the others at once.  A watcher that the store turns away leaves the
work to whoever still hears it.

A router that has just started knows nobody, and takes itself for the watcher.  It asks
the routers that its settings name to be told, and yields to evidence of a router that
comes before it in the order.  Until then, for the entries of endpoints, which all
change when a fleet starts, it believes its own evidence as long as that of others, and
asks again when it has grown old.  A manifest changes seldom, so that a watch costs no
more than to ask again.

Nothing is ever taken to be newer than the store said: news is only a reason to ask, and
evidence that is passed on grows older on its way by all the time that it takes (see
`transit`), is passed on only by those who hold all that it tells of, and only a few
times.
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

# Between one router's start to ask the store and the next one's: an answer takes 4 ms,
# and its news a few more.
STAGGER_S = 0.04
# A router asks now and then, and watches nothing, for so long after its start.  In a
# fleet of 60 that starts at once, most know all others of their zone by then.
SETTLE_S = 7.0
# A new router asks again a little before its own evidence is too old to be believed.
OWN_EVIDENCE_SHARE = 0.85
# A head asks before the other routers of its zone do, and tells them.
HEAD_LEAD_S = 0.3
# From the watcher to a head, along the tree of a large zone, and to one that asked.
HOPS_MAX = 6
# Routers of its zone that each tells: 46 are two hops from their head.
FAN_OUT = 8
# A watcher that the store turned away tries again after this time, while it hears of
# the store by others.
REFUSED_BACKOFF_S = 3.0
# Between two calls of a router that leaves it to others to find the store back.
FOLLOWER_RETRY_S = 6.0

_FLEET = "fleet"


class Evidence(NamedTuple):
    """What a router that asks the store itself holds of one kind of objects.

    Parameters
    ----------
    age_s : float
        Time since the store answered it.
    digest : ConfigurationDigest
        What the sender holds.
    origin : str, optional
        Router that the store answered; empty for the sender.
    hops : int, optional
        How often the evidence was passed on.
    """

    age_s: float
    digest: ConfigurationDigest
    origin: str = ""
    hops: int = 0


class Bulletin(NamedTuple):
    """What one router tells others of the store.

    Parameters
    ----------
    sender : str
        Name of the router.
    session : int
        Start of its process, in ms since the epoch.
    sequence : int
        Rises with each bulletin of a session.
    evidence : tuple of Evidence
        One for each kind.
    asks : bool, optional
        Whether the sender hears nothing and asks to be told.
    sent_s : float or None, optional
        The sender's steady clock; None from a router of an earlier release.
    asked_s : float or None, optional
        Clock of the question that this answers; None if it answers none.
    asks_time : bool, optional
        Whether the sender asks for an answer with the receiver's clock.
    """

    sender: str
    session: int
    sequence: int
    evidence: tuple[Evidence, ...]
    asks: bool = False
    sent_s: float | None = None
    asked_s: float | None = None
    asks_time: bool = False


class _Heard(NamedTuple):
    """Newest evidence of others: what it is as of, and where it comes from."""

    as_of_s: float
    evidence: Evidence


class WatchPolicy:
    """Whether one router asks the store itself.

    Parameters
    ----------
    own : str
        Name of this router.
    zone : str
        Its availability zone.
    evidence_max_age_s : float
        Age at which another's evidence is no longer believed, at most.
    settled_s : float, default=0.0
        Until then the members of the zone are not yet known.
    propagation_max_s : float, optional
        Time in which a change has to be in force; trust ends early enough to read it.
    kinds_watched_at_start : collection of str, optional
        Kinds that are watched before the members of the zone are known.

    Attributes
    ----------
    children : tuple of str
        Routers of its zone that this one tells.
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
        self._news_max_s = propagation_max_s
        self._watched_at_once = kinds_watched_at_start
        # Places in the orders of the fleet, of the heads of zones and of its zone.
        self._fleet_rank = 0
        self._head_rank = 0
        self._zone_rank = 0
        self.children: tuple[str, ...] = ()
        self._answered_s: dict[str, float] = {}
        self._refused_s: dict[str, float] = {}
        self._reads: dict[str, ReadTimes] = defaultdict(ReadTimes)
        self._marks: dict[str, tuple[int, int]] = {}
        self._heard: dict[str, _Heard] = {}
        # What the newest evidence is as of that stems from a router that comes before
        # this one in the order of the fleet.
        self._heard_before_s: dict[str, float] = {}
        self._precedes: dict[str, bool] = {}

    @property
    def is_watcher(self) -> bool:
        """Whether this router is the one that watches for all."""
        return self._fleet_rank == 0

    @property
    def is_head(self) -> bool:
        """Whether this router tells the others of its zone."""
        return self._zone_rank == 0

    def set_members(
        self, names: Iterable[str], others: Mapping[str, Sequence[str]] | None = None
    ) -> None:
        """Take the live routers.

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
        """Take that the store has told this router what held at `as_of_s`."""
        self._answered_s[kind] = as_of_s
        self._refused_s.pop(kind, None)

    def observe_refusal(self, kind: str, now_s: float) -> None:
        """Take that the store has not answered this router."""
        self._refused_s[kind] = now_s

    def observe_read(self, kind: str, read_s: float) -> None:
        """Take how long a change took from its first byte to being in force."""
        self._reads[kind].observe(read_s)

    def find_propagation_times(self, kind: str) -> PropagationTimes:
        """Return how long to wait for news of a kind."""
        shares = split_propagation_time(self._news_max_s, self._reads[kind].longest_s)
        return shares._replace(
            evidence_max_age_s=min(self._trust_s, shares.evidence_max_age_s)
        )

    def observe_bulletin(self, bulletin: Bulletin, now_s: float) -> bool:
        """Take a bulletin; return whether it is news and not a late or double one."""
        mark = (bulletin.session, bulletin.sequence)
        if mark <= self._marks.get(bulletin.sender, (-1, -1)):
            return False
        self._marks[bulletin.sender] = mark
        for evidence in bulletin.evidence:
            origin = evidence.origin or bulletin.sender
            if origin != self._own:
                self._take(evidence._replace(origin=origin), now_s)
        return True

    def drop_evidence(self) -> None:
        """Drop all evidence, own and heard, as when its age is no longer known."""
        self._answered_s.clear()
        self._heard.clear()
        self._heard_before_s.clear()

    def _take(self, evidence: Evidence, now_s: float) -> None:
        kind = evidence.digest.kind
        as_of_s = now_s - max(0.0, evidence.age_s)
        if as_of_s > self._find_heard_s(kind):
            self._heard[kind] = _Heard(as_of_s, evidence)
        if self._comes_first(evidence.origin):
            known_s = self._heard_before_s.get(kind, -math.inf)
            self._heard_before_s[kind] = max(known_s, as_of_s)

    def _find_heard_s(self, kind: str) -> float:
        heard = self._heard.get(kind)
        return -math.inf if heard is None else heard.as_of_s

    def _comes_first(self, origin: str) -> bool:
        """Return whether a router comes before this one in the order of the fleet."""
        if origin not in self._precedes:
            order = hashing.rank(_FLEET, sorted({origin, self._own}))
            self._precedes[origin] = order[0] == origin != self._own
        return self._precedes[origin]

    def find_wait_s(self, kind: str, now_s: float) -> float:
        """Return for how long the evidence of others is still enough; 0 to ask now."""
        evidence_max_age_s = self.find_propagation_times(kind).evidence_max_age_s
        heard_s = self._find_heard_s(kind)
        if now_s < self._settled_s and kind not in self._watched_at_once:
            answered_s = self._answered_s.get(kind, -math.inf)
            own_until_s = answered_s + OWN_EVIDENCE_SHARE * evidence_max_age_s
            return max(0.0, max(heard_s + evidence_max_age_s, own_until_s) - now_s)
        if self.is_watcher:
            refused_s = self._refused_s.get(kind, -math.inf)
            if now_s >= refused_s + REFUSED_BACKOFF_S:
                heard_s = self._heard_before_s.get(kind, -math.inf)
            return max(0.0, heard_s + evidence_max_age_s - now_s)
        if self.is_head:
            evidence_max_age_s = max(
                evidence_max_age_s - HEAD_LEAD_S, evidence_max_age_s / 2
            )
            stagger_s = STAGGER_S * max(0, self._head_rank - 1)
        else:
            stagger_s = STAGGER_S * (self._zone_rank - 1)
        return max(
            0.0, heard_s + evidence_max_age_s + min(STAGGER_MAX_S, stagger_s) - now_s
        )

    def find_retry_s(self, usual_s: float, retry_max_s: float) -> float:
        """Return the pause after a call that the store didn't answer.

        The first few in the order find a store that is back within about `retry_max_s`
        and tell the others.  These ask too, more seldom, as they may be the only ones
        that reach it; the more they are, the sooner one of them finds out.

        Parameters
        ----------
        usual_s : float
            What a router that is alone would pause.
        retry_max_s : float
            Most that it would pause.
        """
        if self.is_watcher or self.is_head:
            return min(self._news_max_s, usual_s * (1 + self._head_rank))
        return max(retry_max_s, min(self._news_max_s, FOLLOWER_RETRY_S))

    def must_ask_peers(self, kind: str, now_s: float) -> bool:
        """Return whether to ask other routers to be told of the store."""
        if self.is_watcher and now_s >= self._settled_s:
            # Nobody is to tell the watcher; who has just started may not be it.
            return False
        # By then the next answer should have been told of, and there is time left.
        shares = self.find_propagation_times(kind)
        due_s = (shares.watch_s + shares.evidence_max_age_s) / 2
        return now_s > self._find_heard_s(kind) + due_s

    def find_ages_s(self, kinds: Iterable[str], now_s: float) -> dict[str, float]:
        """Return the age of the newest evidence, own or heard, of each kind known."""
        ages_s = {}
        for kind in kinds:
            heard_s = self._find_heard_s(kind)
            newest_s = max(heard_s, self._answered_s.get(kind, -math.inf))
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
        """Return the evidence to pass on: of others where it is newer than one's own.

        Parameters
        ----------
        digests : iterable of ConfigurationDigest
            What this router holds.
        now_s : float
            Present time.
        """
        own = {e.digest.kind: e for e in self.make_evidence(digests, now_s)}
        found = []
        for digest in digests:
            passed_on = self._pass_on(digest, now_s)
            known = own.get(digest.kind)
            if known is None or (passed_on and passed_on.age_s < known.age_s):
                known = passed_on
            if known is not None:
                found.append(known)
        return tuple(found)

    def _pass_on(self, digest: ConfigurationDigest, now_s: float) -> Evidence | None:
        heard = self._heard.get(digest.kind)
        if heard is None or heard.evidence.hops >= HOPS_MAX:
            return None
        age_s = now_s - heard.as_of_s
        # Whoever is told asks this router for what it lacks.
        holds_all = not needs_changes(digest, heard.evidence.digest)
        if age_s >= self._trust_s or not holds_all:
            return None
        hops = heard.evidence.hops + 1
        return Evidence(age_s, digest, heard.evidence.origin, hops)


def find_zone_head(zone: str, names: Iterable[str]) -> str:
    """Return the router that tells the others of a zone."""
    return hashing.rank(zone, sorted(names))[0]
