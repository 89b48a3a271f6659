"""Keeps the request rate of cold endpoints within what they tolerate, fleet-wide.

Load pattern: the endpoints of an availability zone come back together, with empty
caches, while hundreds of routers have sessions whose first choice they are.  A cold
endpoint crashes if it gets many more requests per second than it tolerates, and no
router sees what the others send: 17 requests per second, divided among 62 routers, are
less than one for each.

So each cold endpoint has one owner, a router of its own zone, which permits single
requests at a limited rate; a router that wants to send a request there asks the owner
first, and sends it elsewhere if it gets no permit.  Owners of the same zone are cut off
together with their endpoints, so a router that can't ask mostly can't send either.

Routers may disagree about the live routers, and so about the owner.  An owner permits
requests only if it sees the majority of its zone, and a router of another zone, which
owns the endpoints of a zone without live routers, only if it sees the majority of the
fleet.  At most these two permit requests at the same time, and each of them uses only a
share of what the endpoint tolerates.  A new owner doesn't know what its predecessor has
permitted, and starts without a permit in hand.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import hashing
from tamarackrill.decisions.manifests import Service

# How long an endpoint that is back counts as cold, unless its entry says more: until
# its next heartbeat, at 1.2 s, has reached this router.
RETURNED_COLD_S = 2.0
# What an owner in the endpoint's zone may permit, and one of another zone, as shares of
# what the endpoint tolerates.  Both may exist at the same time; the second seldom does.
ZONE_OWNER_SHARE = 2 / 3
OTHER_OWNER_SHARE = 1 / 3
# Requests permitted within one second can arrive within less: a router may need this
# long to connect after it got the permit.
PERMIT_USE_S = 0.2
# Permits that an owner saves up while there are no requests, as a share of what it may
# permit per second.  Requests of a session arrive in bursts.
BURST_SHARE = 0.25
# A router that has just started doesn't know most of its zone yet.
OWNER_SETTLE_S = 2.0
# How long a refused router doesn't ask the owner of the same endpoint again.
REFUSED_BACKOFF_S = 0.1


class ColdTolerance(NamedTuple):
    """How far the rate at a cold endpoint may exceed what its service states.

    Parameters
    ----------
    factor : float
        Multiple of the stated rate.
    slack_per_s : float
        Requests per second in addition.
    """

    factor: float = 1.0
    slack_per_s: float = 0.0


class ColdTerms(NamedTuple):
    """How a service's endpoints behave after their start.

    Parameters
    ----------
    cold_s : float
        How long they are cold.
    rate_max_per_s : float
        Requests per second at which a cold endpoint is safe, from all routers together.
    """

    cold_s: float
    rate_max_per_s: float


def list_cold_terms(
    services: Iterable[Service], tolerance: ColdTolerance
) -> dict[str, ColdTerms]:
    """Return the terms by service, of those whose cold endpoints have a limit."""
    return {
        service.name: ColdTerms(
            service.cold_s,
            tolerance.factor * service.cold_rate_per_s + tolerance.slack_per_s,
        )
        for service in services
        if service.cold_s and service.cold_rate_per_s
    }


class ColdEndpoint(NamedTuple):
    """An endpoint that has become cold.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    cold_s, stated_s : float
        How long it stays cold, and how long according to its source; its service's
        `cold_s` limits that.
    source : {"entry", "returned", "evacuation"}
        How this router knows: from its entry, because it was unreachable, or because
        its zone was evacuated.
    """

    endpoint: str
    cold_s: float
    stated_s: float
    source: str


class ColdEndpoints:
    """Which endpoints are cold, as far as one router knows."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}
        self._entries: dict[str, Endpoint] = {}

    def observe_entries(
        self,
        endpoints: Iterable[Endpoint],
        terms: Mapping[str, ColdTerms],
        now_s: float,
    ) -> list[ColdEndpoint]:
        """Process the current entries of all endpoints; return the newly cold ones.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            All endpoints; others are forgotten.
        terms : mapping of str to ColdTerms
            By service, for those whose endpoints start cold.
        now_s : float
            Current time.
        """
        previous, self._entries = self._entries, {e.name: e for e in endpoints}
        found = []
        for name, endpoint in self._entries.items():
            if endpoint is previous.get(name) or endpoint.cold_s <= 0.0:
                continue
            found += self._mark(endpoint, endpoint.cold_s, "entry", terms, now_s)
        gone = self._until_s.keys() - self._entries.keys()
        for name in gone:
            del self._until_s[name]
        return found

    def observe_return(
        self,
        endpoint: Endpoint,
        source: str,
        terms: Mapping[str, ColdTerms],
        now_s: float,
    ) -> list[ColdEndpoint]:
        """Record that an endpoint is back and may have restarted meanwhile.

        Its entry shows that only with its next heartbeat.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        source : {"returned", "evacuation"}
            See `ColdEndpoint`.
        terms : mapping of str to ColdTerms
            By service.
        now_s : float
            Current time.

        Returns
        -------
        list of ColdEndpoint
            The endpoint, unless it was known to be cold or its service has no terms.
        """
        return self._mark(endpoint, RETURNED_COLD_S, source, terms, now_s)

    def _mark(
        self,
        endpoint: Endpoint,
        stated_s: float,
        source: str,
        terms: Mapping[str, ColdTerms],
        now_s: float,
    ) -> list[ColdEndpoint]:
        longest_s = max(
            (terms[name].cold_s for name in endpoint.serves if name in terms),
            default=0.0,
        )
        cold_s = min(stated_s, longest_s)
        known_s = self._until_s.get(endpoint.name, -math.inf)
        if cold_s <= 0.0 or known_s >= now_s + cold_s:
            return []
        self._until_s[endpoint.name] = now_s + cold_s
        if known_s > now_s:
            return []
        return [ColdEndpoint(endpoint.name, cold_s, stated_s, source)]

    def is_cold(self, endpoint: str, now_s: float) -> bool:
        """Return whether an endpoint is cold."""
        return self._until_s.get(endpoint, -math.inf) > now_s

    def find_cold(self, now_s: float) -> set[str]:
        """Return the endpoints that are cold."""
        return {name for name, until_s in self._until_s.items() if until_s > now_s}


def find_owner(endpoint: Endpoint, zones: Mapping[str, Sequence[str]]) -> str | None:
    """Return the router that permits requests to a cold endpoint; None without routers.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    zones : mapping of str to sequence of str
        Live routers of each availability zone.
    """
    routers = zones.get(endpoint.zone) or [n for names in zones.values() for n in names]
    if not routers:
        return None
    return hashing.rank(f"cold/{endpoint.name}", sorted(routers))[0]


def find_share(endpoint: Endpoint, owner_zone: str) -> float:
    """Return the share of what an endpoint tolerates that its owner may permit."""
    return ZONE_OWNER_SHARE if owner_zone == endpoint.zone else OTHER_OWNER_SHARE


class Visibility(NamedTuple):
    """Routers that one router sees, and the most that it has seen recently.

    Parameters
    ----------
    live, largest : int
        Live routers now, and their maximum within the last time, this one included.
    """

    live: int
    largest: int

    @property
    def has_majority(self) -> bool:
        """Whether no other part of a divided fleet can be larger."""
        return 2 * self.live > self.largest


class StartPermits:
    """Permits that one router gives for the cold endpoints that it owns."""

    def __init__(self) -> None:
        # Permits in hand and when they were counted, by endpoint.
        self._saved: dict[str, tuple[float, float]] = {}

    def take(self, endpoint: str, terms: ColdTerms, share: float, now_s: float) -> bool:
        """Return whether one request may be sent to an endpoint now.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        terms : ColdTerms
            Those of its service.
        share : float
            This router's share; see `find_share`.
        now_s : float
            Current time.
        """
        burst, rate_per_s = _split_rate(terms.rate_max_per_s * share)
        permits, counted_s = self._saved.get(endpoint, (0.0, now_s))
        permits = min(burst, permits + rate_per_s * (now_s - counted_s))
        is_permitted = permits >= 1.0
        self._saved[endpoint] = (permits - is_permitted, now_s)
        return is_permitted

    def retain(self, cold: Collection[str]) -> None:
        """Forget all endpoints but those that are cold."""
        for name in self._saved.keys() - set(cold):
            del self._saved[name]


def _split_rate(most_per_s: float) -> tuple[float, float]:
    """Return the burst and the rate that together stay within a number per second."""
    burst = max(1.0, BURST_SHARE * most_per_s)
    return burst, max(0.0, most_per_s - burst) / (1.0 + PERMIT_USE_S)


class Refusals:
    """Cold endpoints that this router doesn't ask for again for a moment."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def observe(self, endpoint: str, now_s: float) -> None:
        """Record that no permit was given for an endpoint."""
        self._until_s[endpoint] = now_s + REFUSED_BACKOFF_S

    def find(self, now_s: float) -> set[str]:
        """Return the endpoints that were refused a moment ago."""
        self._until_s = {n: s for n, s in self._until_s.items() if s > now_s}
        return set(self._until_s)
