"""Estimate of each endpoint's load from lagging reports and own sends.

Load pattern: many routers each send a sliver of the traffic to the same endpoints,
and an endpoint's own report of its load arrives late or not at all.  Without an
estimate of what happened since, all routers send to the endpoint that last reported
idle, which is then the fullest one until its next report.

The unit of load is one request in flight.  The estimate is the last word on the
endpoint (its own report, or the count of its owner, whichever is newer), less the part
of it that was ours at that time, plus what is ours now.

A word that has grown old says nothing about now.  It is replaced by the mean of the
fresh ones, so that an endpoint that fell silent when idle (or when full) neither draws
nor loses work for that.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

# An endpoint reports about once a second with about a second of lag; three reports in
# a row must be lost before what it said last is dropped.
REPORT_KEPT_S = 5.0
# Older words are dropped; none is on its way for so long.
WORD_KEPT_S = 2 * REPORT_KEPT_S
FORGET_EVERY_S = 1.0
# Entries of one digest.  A router owns 2 endpoints at 370 routers and 780 workers, and
# 5 while half of 7 routers are being replaced; 24 entries take about 0.4 KB.
DIGEST_ENTRIES_MAX = 24
# News of the fullest endpoints is passed on by up to two routers, each of which holds
# it for a tenth of a second at most.
NEWS_AGE_S = 0.1
# Requests at an engine end after half a second to a second.  Believed for longer, news
# keeps sessions off an engine that has long worked off its load: of the requests of 76
# routers to 45 engines with hot sessions, 1.1 in 100 came to one above twice the mean
# and 3 with 1 s, 1.6 with 1.5 s, and 9.2 without news (simulated, three seeds, loads
# told from 0.6 of the bound on).
NEWS_TTL_S = 1.0
# Longest time from an owner's count to its arrival here: digests are collected once a
# tick of the gossip, and ride on all messages until the next one.
DIGEST_AGE_MAX_S = 1.0


class EndpointLoad(NamedTuple):
    """One entry of a router's digest: the load of an endpoint that it owns.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    in_flight : int
        Requests of all routers in flight there, as its owner counts them.
    """

    endpoint: str
    in_flight: int


class _Word(NamedTuple):
    others: int
    counted_s: float
    until_s: float
    # Whether it tells what an endpoint usually has: news is of the fullest alone.
    is_usual: bool = True


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

    def is_idle(self, now_s: float) -> bool:
        """Return whether nothing runs, and no late report can be about what did."""
        return not self.in_flight and self.changes[-1][0] < now_s - REPORT_KEPT_S

    def at(self, time_s: float) -> int:
        """Return the requests in flight at a recent time."""
        since = sum(by for changed_s, by in self.changes if changed_s > time_s)
        return self.in_flight - since

    def most_since(self, time_s: float) -> int:
        """Return the most requests in flight at any moment since a recent time."""
        most = count = self.in_flight
        for changed_s, by in reversed(self.changes):
            if changed_s < time_s:
                break
            count -= by
            most = max(most, count)
        return most


class LoadSummary(NamedTuple):
    """What is known of the load of some endpoints together.

    Parameters
    ----------
    total : int
        Estimated requests in flight at all of them.
    typical : int
        Requests of other routers at one of which nothing was heard lately.
    """

    total: int
    typical: int


class Loads:
    """What one router knows of the load of all endpoints."""

    def __init__(self) -> None:
        self._own: dict[str, _OwnRequests] = {}
        self._words: dict[str, _Word] = {}
        self._forget_s = -math.inf

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
        """Take a count of an endpoint's requests, by itself or by its owner.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        load : int
            Requests in flight that were counted.
        reported_s : float
            When they were counted, on this router's clock.
        now_s : float
            The present time.
        """
        requests = self._own.get(endpoint)
        own_then = requests.at(reported_s) if requests else 0
        others = max(0, load - own_then)
        self._take_word(endpoint, _Word(others, reported_s, now_s + REPORT_KEPT_S))

    def observe_peer(self, entries: Iterable[EndpointLoad], now_s: float) -> None:
        """Take the digest of a peer: the counts of the endpoints that it owns."""
        for entry in entries:
            requests = self._own.get(entry.endpoint)
            # When it was counted is not known.  Had an own request ended since, it
            # would pass for another router's until the next digest, and this router
            # would keep its chats off an idle engine.  The owner, which is asked near
            # the bound, makes good what is counted too low by this.
            own_most = requests.most_since(now_s - DIGEST_AGE_MAX_S) if requests else 0
            others = max(0, entry.in_flight - own_most)
            word = _Word(others, now_s, now_s + REPORT_KEPT_S)
            self._take_word(entry.endpoint, word)

    def observe_hot_endpoints(
        self, entries: Iterable[EndpointLoad], now_s: float
    ) -> None:
        """Take loads of the fullest endpoints, as other routers have heard of them."""
        counted_s = now_s - NEWS_AGE_S
        for entry in entries:
            requests = self._own.get(entry.endpoint)
            own_then = requests.at(counted_s) if requests else 0
            others = max(0, entry.in_flight - own_then)
            word = _Word(others, counted_s, now_s + NEWS_TTL_S, is_usual=False)
            self._take_word(entry.endpoint, word)

    def _take_word(self, endpoint: str, word: _Word) -> None:
        known = self._words.get(endpoint)
        # Reports can arrive out of order: an older one taken last would bring back a
        # load that has gone, seen as work sent to an endpoint that is full.
        if known is None or word.counted_s >= known.counted_s:
            self._words[endpoint] = word

    def remove(self, endpoint: str) -> None:
        """Forget what was said of an endpoint that has left."""
        self._words.pop(endpoint, None)
        if not self.own(endpoint):
            self._own.pop(endpoint, None)

    def estimate(self, endpoints: Sequence[str], now_s: float) -> list[int]:
        """Return the estimated requests in flight at each of `endpoints`."""
        summary = self.summarize(dict.fromkeys(endpoints), now_s)
        return [self.estimate_one(name, summary, now_s) for name in endpoints]

    def summarize(self, endpoints: Collection[str], now_s: float) -> LoadSummary:
        """Return what is known of `endpoints` together.

        It takes as long as there are endpoints that this router has heard of or sent to
        lately, however many there are.

        Parameters
        ----------
        endpoints : collection of str
            Names, each once; whether one is among them is asked often.
        now_s : float
            The present time.
        """
        self._forget(now_s)
        fresh = [
            word
            for name, word in self._words.items()
            if word.until_s >= now_s and name in endpoints
        ]
        usual = [word.others for word in fresh if word.is_usual]
        typical = round(sum(usual) / len(usual)) if usual else 0
        own = sum(
            requests.in_flight
            for name, requests in self._own.items()
            if requests.in_flight and name in endpoints
        )
        silent = len(endpoints) - len(fresh)
        known = sum(word.others for word in fresh)
        return LoadSummary(own + known + silent * typical, typical)

    def estimate_one(self, endpoint: str, summary: LoadSummary, now_s: float) -> int:
        """Return the estimated requests in flight at one of those summarized."""
        word = self._words.get(endpoint)
        if word is None or word.until_s < now_s:
            return self.own(endpoint) + summary.typical
        return self.own(endpoint) + word.others

    def _forget(self, now_s: float) -> None:
        """Drop what is of no more use, now and then.

        A word that is no longer fresh still shows that an older one came late.
        """
        if now_s < self._forget_s:
            return
        self._forget_s = now_s + FORGET_EVERY_S
        oldest_s = now_s - (WORD_KEPT_S - REPORT_KEPT_S)
        self._words = {n: w for n, w in self._words.items() if w.until_s > oldest_s}
        self._own = {n: o for n, o in self._own.items() if not o.is_idle(now_s)}
