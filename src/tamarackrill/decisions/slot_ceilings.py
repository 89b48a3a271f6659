"""How many requests a router lets a brittle endpoint have, on evidence of its own.

Load pattern: a surge on brittle endpoints (see `brittle`) while routers start, are
killed, are late or can't reach one another.  Only one router, the owner, counts the
requests at an endpoint, and each of these changes moves endpoints to owners that know
nothing of them, or leaves routers without the owner's answer.  Whoever then assumes
that the endpoint has free slots assumes it together with all others.

So nobody assumes it.  A request that an endpoint has accepted shows, when it ends, that
one slot is free, for whoever sent it: a *proven* slot, which may be used again for a
while.  Beyond that a router sends *trials*, at a rate of which all routers together
send fewer than the endpoint may turn away.  Each rejection costs a trial or a proven
slot, and each proven slot comes from a trial that was accepted, so that rejections are
bounded by the trials, however many routers decide at the same time.

The whole capacity is granted without proof only by an owner that is established: it has
been the owner for a while, during which the others have told it of their requests that
it has not granted, and it knows of no router that it misses.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Collection
from typing import NamedTuple

from tamarackrill.decisions import hashing

# Share of the rejections that an endpoint may give which trials may use.  Routers send
# them at random times, so that more than the mean fall within one second.
TRIAL_SHARE = 0.25
# How long a slot counts as free after a request has ended there.
PROOF_TTL_S = 1.0
# Time until a new owner is established: gossip reaches all routers of a zone, and those
# that had asked another one tell the new owner of their requests.
SETTLE_S = 3.0
# How long a router that is gone may still be serving callers on the other side of a
# partition.
ROUTER_RETENTION_S = 600.0
# How long a count of another router's requests holds; it is told several times in this.
TOLD_TTL_S = 1.0
# Weight of one answer that was faster than the mean.
DECAY = 0.02


class SlotTerms(NamedTuple):
    """What a router may let one endpoint have.

    Parameters
    ----------
    slots : int
        Slots of the endpoint.
    rejections_max : int
        Requests that it may turn away per second.
    fleet_share : float
        Share of the fleet for which this router decides.
    is_established : bool
        Whether this router's share of the slots needs no proof.
    """

    slots: int
    rejections_max: int
    fleet_share: float
    is_established: bool

    @property
    def unproven(self) -> int:
        """Slots that are granted without proof."""
        return math.floor(self.slots * self.fleet_share) if self.is_established else 0

    @property
    def most(self) -> int:
        """Slots that are granted at the same time, proven or not."""
        if self.is_established:
            return self.slots
        return max(1, math.ceil(self.slots * self.fleet_share))

    @property
    def trial_interval_s(self) -> float:
        """Mean time between two trials of this router."""
        per_s = TRIAL_SHARE * self.rejections_max * self.fleet_share
        return 1.0 / per_s if per_s > 0.0 else math.inf


class SlotCeilings:
    """Proven slots and trials of one router, by endpoint.

    Parameters
    ----------
    router : str
        Name of this router; routers send their trials at different times.
    """

    def __init__(self, router: str) -> None:
        self._router = router
        self._proven_s: dict[str, list[float]] = {}
        self._next_trial_s: dict[str, float] = {}

    def may_start(
        self, endpoint: str, in_use: int, terms: SlotTerms, now_s: float
    ) -> bool:
        """Return whether an endpoint may get one more request, and record that.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        in_use : int
            Slots that this router knows to be in use.
        terms : SlotTerms
            What the endpoint may have.
        now_s : float
            Current time.
        """
        if in_use >= terms.most:
            return False
        if self._take_proven(endpoint, now_s) or in_use < terms.unproven:
            return True
        return self._take_trial(endpoint, terms, now_s)

    def observe_served(self, endpoint: str, now_s: float) -> None:
        """Record that a request has ended which the endpoint had accepted."""
        self._proven_s.setdefault(endpoint, []).append(now_s + PROOF_TTL_S)

    def count_proven(self, endpoint: str, now_s: float) -> int:
        """Return the slots that are known to be free."""
        left = [at_s for at_s in self._proven_s.get(endpoint, ()) if at_s > now_s]
        self._proven_s[endpoint] = left
        return len(left)

    def retain(self, endpoints: Collection[str]) -> None:
        """Forget endpoints that are not among `endpoints`."""
        kept = set(endpoints)
        for name in self._proven_s.keys() - kept:
            del self._proven_s[name]
        for name in self._next_trial_s.keys() - kept:
            del self._next_trial_s[name]

    def _take_proven(self, endpoint: str, now_s: float) -> bool:
        if not self.count_proven(endpoint, now_s):
            return False
        # The one that has been free for the shortest time.
        self._proven_s[endpoint].pop()
        return True

    def _take_trial(self, endpoint: str, terms: SlotTerms, now_s: float) -> bool:
        interval_s = terms.trial_interval_s
        if math.isinf(interval_s):
            return False
        phase = hashing.hash_name(f"{self._router} {endpoint}") % 1000 / 1000
        due_s = self._next_trial_s.setdefault(endpoint, now_s + phase * interval_s)
        if now_s < due_s:
            return False
        self._next_trial_s[endpoint] = now_s + interval_s
        return True


class Tenures:
    """Endpoints that one router owns, since when, and whether it is established."""

    def __init__(self) -> None:
        self._since_s: dict[str, float] = {}
        self._established: set[str] = set()

    def observe(self, owned: Collection[str], is_whole: bool, now_s: float) -> None:
        """Record which endpoints this router owns now.

        Parameters
        ----------
        owned : collection of str
            Names of the endpoints.
        is_whole : bool
            Whether no router of the fleet is missing.
        now_s : float
            Current time.
        """
        for name in self._since_s.keys() - set(owned):
            del self._since_s[name]
        self._established &= self._since_s.keys()
        for name in owned:
            since_s = self._since_s.setdefault(name, now_s)
            if is_whole and now_s >= since_s + SETTLE_S:
                self._established.add(name)

    def is_established(self, endpoint: str) -> bool:
        """Return whether this router may grant slots of an endpoint without proof."""
        return endpoint in self._established


class ToldRequests:
    """Requests at endpoints that other routers have told their owner of."""

    def __init__(self) -> None:
        self._told: defaultdict[str, dict[str, tuple[int, float]]] = defaultdict(dict)

    def observe(self, router: str, endpoint: str, count: int, now_s: float) -> None:
        """Record how many requests a router has there that the owner hasn't granted."""
        self._told[endpoint][router] = (count, now_s + TOLD_TTL_S)

    def count(self, endpoint: str, now_s: float) -> int:
        """Return how many requests routers have told of."""
        told = self._told.get(endpoint, {})
        return sum(count for count, until_s in told.values() if until_s > now_s)

    def expire(self, now_s: float) -> None:
        """Forget what was told too long ago."""
        for endpoint, told in list(self._told.items()):
            for router in [r for r, (_, until_s) in told.items() if until_s <= now_s]:
                del told[router]
            if not told:
                del self._told[endpoint]


class GrantedRequests:
    """Requests in flight that one router sent, by the process that granted them."""

    def __init__(self) -> None:
        self._granted: Counter[tuple[str, str, int]] = Counter()

    def start(self, endpoint: str, owner: str, session: int) -> None:
        """Count a request that an owner's process has granted."""
        self._granted[endpoint, owner, session] += 1

    def finish(self, endpoint: str, owner: str, session: int) -> None:
        """End the count of a request."""
        key = (endpoint, owner, session)
        self._granted[key] -= 1
        if self._granted[key] <= 0:
            del self._granted[key]

    def count_untold(
        self, endpoint: str, owner: str, session: int, in_flight: int
    ) -> int:
        """Return the requests that the present owner's process has not granted.

        Parameters
        ----------
        endpoint, owner : str
            Names of the endpoint, and of its owner.
        session : int
            Number of the owner's process that was last heard of.
        in_flight : int
            All requests that this router has at the endpoint.
        """
        return max(0, in_flight - self._granted[endpoint, owner, session])


class RoundTrips:
    """How long to wait for the answers of each owner.

    Parameters
    ----------
    least_s, most_s : float
        Bounds of the timeout.
    """

    def __init__(self, least_s: float, most_s: float) -> None:
        self._least_s = least_s
        self._most_s = most_s
        self._mean_s: dict[str, float] = {}

    def observe(self, owner: str, took_s: float) -> None:
        """Record an answer, also one that came after its timeout."""
        mean_s = self._mean_s.get(owner, took_s)
        # Slower answers count at once, faster ones bring the mean down slowly.
        self._mean_s[owner] = max(took_s, mean_s + DECAY * (took_s - mean_s))

    def compute_timeout_s(self, owner: str) -> float:
        """Return how long an owner's answer is waited for."""
        mean_s = self._mean_s.get(owner, 0.0)
        return min(self._most_s, max(self._least_s, 2.0 * mean_s))

    def retain(self, owners: Collection[str]) -> None:
        """Forget owners that are not among `owners`."""
        for name in self._mean_s.keys() - set(owners):
            del self._mean_s[name]
