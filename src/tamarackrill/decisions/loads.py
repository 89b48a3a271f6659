"""Estimate of each endpoint's load from lagging reports, own sends and peers' digests.

Load pattern: many routers each send a sliver of the traffic to the same endpoints,
and an endpoint's own report of its load arrives late or not at all.  Without an
estimate of what happened since, all routers send to the endpoint that last reported
idle, which is then the fullest one until its next report.

The unit of load is one request in flight.  The estimate is the larger of two counts:

- what the endpoint reported, less the part of it that was ours at that time, plus what
  is ours now: complete, but as old as the report;
- what is ours now, plus what each peer's last digest says is the peer's: fresh, but
  complete only where a router hears all the others.

A report that has grown old says nothing about now.  It is replaced by the mean of the
fresh ones, so that an endpoint that fell silent when idle (or when full) neither draws
nor loses work for that.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

# An endpoint reports about once a second with about a second of lag; three reports in
# a row must be lost before what it said last is dropped.
REPORT_KEPT_S = 5.0
# Digests come several times a second from few peers, or each some seconds at 370
# routers; a peer that is silent for longer has failed or is cut off.
DIGEST_KEPT_S = 5.0
# Entries of one digest: all endpoints of today's deployments (17 at most), and about
# 0.4 KB with names of 16 bytes.
DIGEST_ENTRIES_MAX = 24


class EndpointLoad(NamedTuple):
    """One entry of a router's digest: its own requests in flight at an endpoint.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    in_flight : int
        Requests that the sender of the digest has at the endpoint.
    """

    endpoint: str
    in_flight: int


class _Report(NamedTuple):
    others: int
    reported_s: float
    received_s: float


class _OwnRequests:
    """Own requests at one endpoint, with the changes that a late report needs."""

    __slots__ = ("in_flight", "changes")

    def __init__(self) -> None:
        self.in_flight = 0
        self.changes: deque[tuple[float, int]] = deque()

    def change(self, by: int, now_s: float) -> None:
        self.in_flight += by
        self.changes.append((now_s, by))
        while self.changes[0][0] < now_s - REPORT_KEPT_S:
            self.changes.popleft()

    def at(self, time_s: float) -> int:
        """Return the requests in flight at a recent time."""
        since = sum(by for changed_s, by in self.changes if changed_s > time_s)
        return self.in_flight - since


class Loads:
    """What one router knows of the load of all endpoints."""

    def __init__(self) -> None:
        self._own: dict[str, _OwnRequests] = {}
        self._reports: dict[str, _Report] = {}
        self._digests: dict[str, tuple[float, dict[str, int]]] = {}
        self._peers: dict[str, int] = {}

    def start(self, endpoint: str, now_s: float) -> None:
        """Count a request that is being sent to `endpoint`."""
        self._own.setdefault(endpoint, _OwnRequests()).change(1, now_s)

    def finish(self, endpoint: str, now_s: float) -> None:
        """Count a request that has ended at `endpoint`, whatever its outcome."""
        self._own[endpoint].change(-1, now_s)

    def own(self, endpoint: str) -> int:
        """Return this router's own requests in flight at `endpoint`."""
        requests = self._own.get(endpoint)
        return requests.in_flight if requests else 0

    def observe_report(
        self, endpoint: str, load: int, reported_s: float, now_s: float
    ) -> None:
        """Take an endpoint's own report of its requests in flight.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        load : int
            Requests that it counted.
        reported_s : float
            When it counted, on this router's clock.
        now_s : float
            The present time.
        """
        known = self._reports.get(endpoint)
        # Reports can arrive out of order: an older one taken last would bring back a
        # load that has gone, seen as work sent to an endpoint that is full.
        if known is not None and reported_s < known.reported_s:
            return
        requests = self._own.get(endpoint)
        own_then = requests.at(reported_s) if requests else 0
        others = max(0, load - own_then)
        self._reports[endpoint] = _Report(others, reported_s, now_s)

    def observe_peer(
        self, peer: str, entries: Iterable[EndpointLoad], now_s: float
    ) -> None:
        """Take a peer's digest, which replaces its last one.

        Parameters
        ----------
        peer : str
            Name of the router that sent it.
        entries : iterable of EndpointLoad
            Its own requests in flight; an endpoint that is not listed counts 0.
        now_s : float
            The present time.
        """
        self._forget_peer(peer)
        counts = {entry.endpoint: entry.in_flight for entry in entries}
        self._digests[peer] = (now_s, counts)
        for endpoint, in_flight in counts.items():
            self._peers[endpoint] = self._peers.get(endpoint, 0) + in_flight

    def _forget_peer(self, peer: str) -> None:
        _, counts = self._digests.pop(peer, (0.0, {}))
        for endpoint, in_flight in counts.items():
            self._peers[endpoint] -= in_flight

    def expire(self, now_s: float) -> None:
        """Drop what is too old to say anything; call about once a second."""
        for peer, (heard_s, _) in list(self._digests.items()):
            if heard_s < now_s - DIGEST_KEPT_S:
                self._forget_peer(peer)

    def remove(self, endpoint: str) -> None:
        """Forget what an endpoint that has left had reported."""
        self._reports.pop(endpoint, None)
        if not self.own(endpoint):
            self._own.pop(endpoint, None)

    def estimate(self, endpoints: Sequence[str], now_s: float) -> list[int]:
        """Return the estimated requests in flight at each of `endpoints`."""
        oldest_s = now_s - REPORT_KEPT_S
        reports = [self._reports.get(endpoint) for endpoint in endpoints]
        fresh = [
            report.others
            for report in reports
            if report is not None and report.received_s >= oldest_s
        ]
        typical = round(sum(fresh) / len(fresh)) if fresh else 0
        estimates = []
        for endpoint, report in zip(endpoints, reports, strict=True):
            is_fresh = report is not None and report.received_s >= oldest_s
            others = report.others if report is not None and is_fresh else typical
            others = max(others, self._peers.get(endpoint, 0))
            estimates.append(self.own(endpoint) + others)
        return estimates

    def digest(self, limit: int = DIGEST_ENTRIES_MAX) -> list[EndpointLoad]:
        """Return this router's entries for its next digest, the largest first."""
        entries = [
            EndpointLoad(endpoint, requests.in_flight)
            for endpoint, requests in self._own.items()
            if requests.in_flight
        ]
        return sorted(entries, key=lambda entry: -entry.in_flight)[:limit]
