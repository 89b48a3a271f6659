"""Endpoint load estimates from delayed reports and this router's own requests.

Load pattern: many routers each send a small share of the traffic to the same endpoints,
and an endpoint's load reports arrive late or not at all.  Without an estimate of what
happened since the last report, all routers send to the endpoint that last reported
idle, and overload it until its next report.

The unit of load is one request in flight.  The estimate is the latest observation (the
endpoint's own report or its owner's count, whichever is newer), minus this router's
requests at that time, plus this router's requests now.

An expired observation is replaced by the mean of the fresh ones, so that an endpoint
that stopped reporting while idle (or full) neither attracts nor loses requests for that
reason.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from tamarackrill.decisions import hashing

# Endpoints report about once a second, with about a second of delay.  The last report
# expires only after three reports in a row are lost.
REPORT_TTL_S = 5.0
# Older observations are deleted; no message is in transit for this long.
OBSERVATION_KEPT_S = 2 * REPORT_TTL_S
CLEANUP_INTERVAL_S = 1.0
# Summaries kept for one point in time: of a pool, of its reachable part, and the same
# of another service.
SUMMARIES_KEPT = 4
# Entries of one digest.  A router owns 2 endpoints with 370 routers and 780 workers,
# and 5 while half of 7 routers are being replaced; 24 entries take about 0.4 KB.
DIGEST_ENTRIES_MAX = 24
# Loads of the most loaded endpoints are relayed by up to two routers, each of which
# delays them by at most a tenth of a second.
NEWS_AGE_S = 0.1
# Requests at an engine end after half a second to a second, so a longer TTL keeps
# sessions off an engine that has already worked off its load.  In a simulation of 76
# routers, 45 engines and hot sessions, 1.1 in 100 requests reached an engine above
# twice the mean load plus 3 with 1 s, 1.6 with 1.5 s, and 9.2 without these messages
# (with loads sent from 0.6 of the bound on).
NEWS_TTL_S = 1.0
# Maximum age of an owner's count on arrival: digests are built once per gossip tick and
# piggybacked on all messages until the next tick.
DIGEST_AGE_MAX_S = 1.0


class EndpointLoad(NamedTuple):
    """Entry of a router's load digest: the load of an endpoint that it owns.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    in_flight : int
        Requests of all routers in flight at the endpoint, as counted by its owner.
    """

    endpoint: str
    in_flight: int


class _Observation(NamedTuple):
    others: int
    counted_s: float
    expires_s: float
    # Whether it counts toward the typical load: gossip reports only the most loaded.
    is_representative: bool = True


class _OwnRequests:
    """Own requests at one endpoint, with recent changes for correcting late reports."""

    __slots__ = ("in_flight", "changes")

    def __init__(self) -> None:
        self.in_flight = 0
        self.changes: deque[tuple[float, int]] = deque()

    def change(self, by: int, now_s: float) -> None:
        self.in_flight += by
        self.changes.append((now_s, by))
        while self.changes[0][0] < now_s - REPORT_TTL_S:
            self.changes.popleft()

    def count_started_since(self, time_s: float) -> int:
        """Return the number of requests that began since a recent time."""
        started = 0
        for changed_s, by in reversed(self.changes):
            if changed_s <= time_s:
                break
            started += by > 0
        return started

    def is_idle(self, now_s: float) -> bool:
        """Return whether no request is in flight or may be part of a late report."""
        return not self.in_flight and self.changes[-1][0] < now_s - REPORT_TTL_S

    def count_at(self, time_s: float) -> int:
        """Return the number of requests in flight at a recent time."""
        since = sum(by for changed_s, by in self.changes if changed_s > time_s)
        return self.in_flight - since

    def peak_since(self, time_s: float) -> int:
        """Return the maximum number of requests in flight since a recent time."""
        peak = count = self.in_flight
        for changed_s, by in reversed(self.changes):
            if changed_s < time_s:
                break
            count -= by
            peak = max(peak, count)
        return peak


class LoadSummary(NamedTuple):
    """Aggregate load of a set of endpoints.

    Parameters
    ----------
    total : int
        Estimated requests in flight at all of them.
    typical : int
        Requests of other routers assumed at an endpoint without a fresh observation.
    """

    total: int
    typical: int


class Loads:
    """Load observations of one router for all endpoints."""

    def __init__(self) -> None:
        self._own: dict[str, _OwnRequests] = {}
        self._observations: dict[str, _Observation] = {}
        self._next_cleanup_s = -math.inf
        # Summaries of the sets that were asked for, as long as nothing changes: a
        # choice asks several times for the same.
        self._summaries: list[tuple[Collection[str], LoadSummary]] = []
        self._summarized_s = -math.inf

    def start(self, endpoint: str, now_s: float) -> None:
        """Count a request that is being sent to `endpoint`."""
        self._summaries.clear()
        self._own.setdefault(endpoint, _OwnRequests()).change(1, now_s)

    def finish(self, endpoint: str, now_s: float) -> None:
        """Count a request that has ended at `endpoint`, regardless of its outcome."""
        self._summaries.clear()
        self._own[endpoint].change(-1, now_s)

    def own(self, endpoint: str) -> int:
        """Return this router's own requests in flight at `endpoint`."""
        requests = self._own.get(endpoint)
        return requests.in_flight if requests else 0

    def observe_report(
        self, endpoint: str, load: int, reported_s: float, now_s: float
    ) -> None:
        """Process a request count from an endpoint itself or from its owner.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        load : int
            Number of requests in flight.
        reported_s : float
            Time of the count, on this router's clock.
        now_s : float
            Current time.
        """
        requests = self._own.get(endpoint)
        own_then = requests.count_at(reported_s) if requests else 0
        others = max(0, load - own_then)
        self._store(endpoint, _Observation(others, reported_s, now_s + REPORT_TTL_S))

    def observe_peer(self, entries: Iterable[EndpointLoad], now_s: float) -> None:
        """Process a peer's digest: the counts of the endpoints that it owns."""
        for entry in entries:
            requests = self._own.get(entry.endpoint)
            # The time of the count is unknown.  If an own request ended since, it
            # would be attributed to other routers until the next digest, and this
            # router would keep its chats off an idle engine.  Subtracting the peak may
            # underestimate the load; the owner, which is asked near the bound, corrects
            # that.
            own_peak = requests.peak_since(now_s - DIGEST_AGE_MAX_S) if requests else 0
            others = max(0, entry.in_flight - own_peak)
            observation = _Observation(others, now_s, now_s + REPORT_TTL_S)
            self._store(entry.endpoint, observation)

    def observe_hot_endpoints(
        self, entries: Iterable[EndpointLoad], now_s: float
    ) -> None:
        """Process gossiped loads of the most loaded endpoints."""
        counted_s = now_s - NEWS_AGE_S
        for entry in entries:
            requests = self._own.get(entry.endpoint)
            own_then = requests.count_at(counted_s) if requests else 0
            others = max(0, entry.in_flight - own_then)
            observation = _Observation(
                others, counted_s, now_s + NEWS_TTL_S, is_representative=False
            )
            self._store(entry.endpoint, observation)

    def _store(self, endpoint: str, observation: _Observation) -> None:
        self._summaries.clear()
        known = self._observations.get(endpoint)
        # Reports can arrive out of order: accepting an older one would restore an
        # outdated load, so that requests are sent to a full endpoint.
        if known is None or observation.counted_s >= known.counted_s:
            self._observations[endpoint] = observation

    def remove(self, endpoint: str) -> None:
        """Delete the observation of an endpoint that has left."""
        self._summaries.clear()
        self._observations.pop(endpoint, None)
        if not self.own(endpoint):
            self._own.pop(endpoint, None)

    def estimate(self, endpoints: Sequence[str], now_s: float) -> list[int]:
        """Return the estimated requests in flight at each of `endpoints`."""
        summary = self.summarize(dict.fromkeys(endpoints), now_s)
        return [self.estimate_one(name, summary, now_s) for name in endpoints]

    def summarize(self, endpoints: Collection[str], now_s: float) -> LoadSummary:
        """Aggregate the load of `endpoints`.

        The cost depends on the number of endpoints with recent observations or own
        requests, not on the size of `endpoints`.

        Parameters
        ----------
        endpoints : collection of str
            Distinct names; membership tests should be fast.  Must not change between
            calls with the same time.
        now_s : float
            Current time.
        """
        if now_s != self._summarized_s:
            self._summaries.clear()
            self._summarized_s = now_s
        for known, summary in self._summaries:
            if known is endpoints:
                return summary
        summary = self._summarize(endpoints, now_s)
        self._summaries.append((endpoints, summary))
        del self._summaries[:-SUMMARIES_KEPT]
        return summary

    def _summarize(self, endpoints: Collection[str], now_s: float) -> LoadSummary:
        self._drop_expired(now_s)
        fresh = [
            observation
            for name, observation in self._observations.items()
            if observation.expires_s >= now_s and name in endpoints
        ]
        representative = [
            observation.others for observation in fresh if observation.is_representative
        ]
        typical = (
            round(sum(representative) / len(representative)) if representative else 0
        )
        own = sum(
            requests.in_flight
            for name, requests in self._own.items()
            if requests.in_flight and name in endpoints
        )
        unobserved = len(endpoints) - len(fresh)
        known = sum(observation.others for observation in fresh)
        return LoadSummary(own + known + unobserved * typical, typical)

    def estimate_one(self, endpoint: str, summary: LoadSummary, now_s: float) -> int:
        """Return the estimated requests in flight at one summarized endpoint."""
        observation = self._observations.get(endpoint)
        if observation is None or observation.expires_s < now_s:
            return self.own(endpoint) + summary.typical
        return self.own(endpoint) + observation.others

    def find_part(
        self,
        endpoint: str,
        room: int,
        router: str,
        routers: int,
        now_s: float,
    ) -> int:
        """Return this router's part of the requests that an endpoint has room for.

        All routers learn of the same observation, and each would use all of its room
        before the next one.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        room : int
            Requests that it may get beyond those that were observed.
        router : str
            Name of this router.
        routers : int
            Routers that use the room.
        now_s : float
            Current time.

        Returns
        -------
        int
            Requests that this router may still send there.  Fractions are rounded up
            or down at random, so that the parts of all routers add up to the room.
        """
        observation = self._observations.get(endpoint)
        if observation is None or observation.expires_s < now_s:
            since_s = math.floor(now_s / NEWS_TTL_S) * NEWS_TTL_S
        else:
            since_s = observation.counted_s
        own = self._own.get(endpoint)
        started = own.count_started_since(since_s) if own is not None else 0
        drawn = hashing.hash_name(f"{router} {endpoint} {since_s:.3f}") % 1000 / 1000
        return math.floor((room + started) / max(1, routers) + drawn) - started

    def _drop_expired(self, now_s: float) -> None:
        """Delete outdated state, at most once per `CLEANUP_INTERVAL_S`.

        Expired observations are kept for a while to detect older ones that arrive late.
        """
        if now_s < self._next_cleanup_s:
            return
        self._next_cleanup_s = now_s + CLEANUP_INTERVAL_S
        oldest_s = now_s - (OBSERVATION_KEPT_S - REPORT_TTL_S)
        self._observations = {
            n: obs for n, obs in self._observations.items() if obs.expires_s > oldest_s
        }
        self._own = {n: r for n, r in self._own.items() if not r.is_idle(now_s)}
