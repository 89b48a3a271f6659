"""Which routers of a zone watch the store, and when the others do so themselves.

Load pattern: every router has to hear of each change within seconds, and every call to
the store has its price, a waiting watch included.  Were each router to watch, 60 of
them would make some 6,600 calls in a minute in which little changes, and the calls
would grow with the fleet, which the store's rates do not.

So the first router of a zone, in an order that all of its members compute alike,
watches, and tells the others what it holds and how fresh its evidence is: when the
store last answered it.  The others believe it only for as long as that evidence is
younger than a time that leaves enough to read a change (see `news_shares`).  Whether
the watcher is killed, frozen, cut off, deaf or its datagrams are lost, they see the
same thing, evidence that grows old, and ask the store themselves.  They start one after
the other, so that a watcher's loss is not sixty calls at once: whoever is first has
evidence to tell the others.

A router that has just started doesn't know yet who lives in its zone, and at the start
of a whole fleet all of them would take themselves for the watcher, just while every
endpoint writes its entry and ends all their watches.  So for the entries of endpoints a
new router believes its own evidence as long as that of others, and asks again when it
has grown old.  A manifest is another matter: it changes seldom, so that a watch costs
no more than to ask again; and if all routers of a zone start at once, nobody would hear
of a change but by asking.

Nothing is ever taken to be newer than the store said: news is only a reason to ask.
"""

import math
from collections import defaultdict
from collections.abc import Collection, Iterable
from typing import NamedTuple

from tamarackrill.decisions import hashing
from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.news_shares import (
    STAGGER_MAX_S,
    NewsShares,
    ReadTimes,
    share_news_time,
)

# Between one router's start to ask the store and the next one's: an answer takes 4 ms,
# and its news a few more.
STAGGER_S = 0.04
# A router asks now and then, and watches nothing, for so long after its start.  In a
# fleet of 60 that starts at once, most know all others of their zone by then.
SETTLE_S = 7.0
# A new router asks again a little before its own evidence is too old to be believed.
OWN_TRUST_SHARE = 0.85


class Evidence(NamedTuple):
    """What a router that asks the store itself holds of one kind of objects.

    Parameters
    ----------
    age_s : float
        Time since the store answered it.
    digest : ConfigurationDigest
        What it holds.
    """

    age_s: float
    digest: ConfigurationDigest


class Bulletin(NamedTuple):
    """A message from a router that asks the store to the others of its zone.

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
    """

    sender: str
    session: int
    sequence: int
    evidence: tuple[Evidence, ...]


class Watching:
    """Whether one router asks the store itself.

    Parameters
    ----------
    own : str
        Name of this router.
    zone : str
        Its availability zone.
    trust_s : float
        Age at which another's evidence is no longer believed, at most.
    settled_s : float, default=0.0
        Until then the members of the zone are not yet known.
    news_max_s : float, optional
        Time in which a change has to be in force; trust ends early enough to read it.
    watched_at_once : collection of str, optional
        Kinds that are watched before the members of the zone are known.
    """

    def __init__(
        self,
        own: str,
        zone: str,
        trust_s: float,
        settled_s: float = 0.0,
        news_max_s: float = math.inf,
        watched_at_once: Collection[str] = (),
    ) -> None:
        self._settled_s = settled_s
        self._own = own
        self._zone = zone
        self._trust_s = trust_s
        self._news_max_s = news_max_s
        self._watched_at_once = watched_at_once
        self._rank = 0
        self._answered_s: dict[str, float] = {}
        self._reads: dict[str, ReadTimes] = defaultdict(ReadTimes)
        self._heard: dict[str, tuple[int, int]] = {}
        # What the newest evidence of others is as of.
        self._heard_of_s: dict[str, float] = {}

    @property
    def is_watcher(self) -> bool:
        """Whether this router is the one that watches for its zone."""
        return self._rank == 0

    def set_members(self, names: Iterable[str]) -> None:
        """Take the live routers of the zone, this one among them."""
        members = sorted({*names, self._own})
        order = hashing.rank(self._zone, members)
        self._rank = order.index(self._own)

    def observe_answer(self, kind: str, as_of_s: float) -> None:
        """Take that the store has told this router what held at `as_of_s`."""
        self._answered_s[kind] = as_of_s

    def observe_read(self, kind: str, read_s: float) -> None:
        """Take how long a change took from its first byte to being in force."""
        self._reads[kind].observe(read_s)

    def find_shares(self, kind: str) -> NewsShares:
        """Return how long to wait for news of a kind."""
        shares = share_news_time(self._news_max_s, self._reads[kind].longest_s)
        return shares._replace(trust_s=min(self._trust_s, shares.trust_s))

    def hear(self, bulletin: Bulletin, now_s: float) -> bool:
        """Take a bulletin; return whether it is news and not a late or double one."""
        mark = (bulletin.session, bulletin.sequence)
        if mark <= self._heard.get(bulletin.sender, (-1, -1)):
            return False
        self._heard[bulletin.sender] = mark
        for evidence in bulletin.evidence:
            kind = evidence.digest.kind
            as_of_s = now_s - max(0.0, evidence.age_s)
            known_s = self._heard_of_s.get(kind, -math.inf)
            self._heard_of_s[kind] = max(known_s, as_of_s)
        return True

    def find_wait_s(self, kind: str, now_s: float) -> float:
        """Return for how long the evidence of others is still enough; 0 to ask now."""
        trust_s = self.find_shares(kind).trust_s
        until_s = self._heard_of_s.get(kind, -math.inf) + trust_s
        if now_s < self._settled_s and kind not in self._watched_at_once:
            answered_s = self._answered_s.get(kind, -math.inf)
            own_until_s = answered_s + OWN_TRUST_SHARE * trust_s
            return max(0.0, max(until_s, own_until_s) - now_s)
        if self.is_watcher:
            return 0.0
        stagger_s = min(STAGGER_MAX_S, STAGGER_S * (self._rank - 1))
        return max(0.0, until_s + stagger_s - now_s)

    def find_ages_s(self, kinds: Iterable[str], now_s: float) -> dict[str, float]:
        """Return the age of the newest evidence, own or heard, of each kind known."""
        ages_s = {}
        for kind in kinds:
            heard_s = self._heard_of_s.get(kind, -math.inf)
            newest_s = max(heard_s, self._answered_s.get(kind, -math.inf))
            if newest_s > -math.inf:
                ages_s[kind] = now_s - newest_s
        return ages_s

    def make_evidence(
        self, digests: Iterable[ConfigurationDigest], now_s: float
    ) -> tuple[Evidence, ...]:
        """Return this router's own evidence; that of others is never passed on."""
        found = []
        for digest in digests:
            answered_s = self._answered_s.get(digest.kind, -math.inf)
            age_s = now_s - answered_s
            if age_s < self._trust_s:
                found.append(Evidence(age_s, digest))
        return tuple(found)
