"""Selection of the engine from which another one copies cached prompt parts.

Load pattern: a session's prompts go to the engine that caches their parts, until that
engine is full, leaves, or loses part of its sessions to one that has just joined.  The
next prompt of each of these sessions then reaches an engine without its parts.  Without
a copy that engine computes thousands of tokens again and delays all its other requests:
nine thousand tokens take 80 ms on an engine whose step takes 6 ms.

Engines of one service can copy parts from each other over a separate link.  So the
request names the engine that most likely caches them: one to which this router sent the
session, or else the one that was first in rendezvous order before the latest endpoints
joined, which is where the other routers sent it.  A wrong guess costs almost nothing,
since an engine without the parts has nothing to copy.

This also covers the parts with which all sessions of a kind begin: the first session of
a kind at an engine copies them from any engine that has served one.
"""

import math
from collections.abc import Collection, Iterable, Sequence

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.cache_index import HOLDERS_MAX, CacheIndex
from tamarackrill.decisions.placement_news import Holding
from tamarackrill.decisions.pools import SHORTLIST_SIZE, EndpointPool
from tamarackrill.decisions.prompts import Prefix

# Engines compute about a hundred prompt tokens per millisecond.  A copy that takes
# longer per token would delay the request.
COPY_S_PER_TOKEN_MAX = 8e-6
# For this long after an endpoint joined, earlier prompts of a session are assumed to be
# elsewhere.  Active sessions return within seconds; after that most parts are cold.
NEW_ENDPOINT_S = 30.0
# Endpoints observed this soon after the first one are not treated as new: they existed
# before the router, or started with the deployment, whose entries arrive one by one.
STARTUP_WINDOW_S = 5.0


class PrefixCopies:
    """Tracks prefix holders and new endpoints to select copy sources.

    Parameters
    ----------
    index : CacheIndex
        Holders by prefix key, including those reported by other routers.
    """

    def __init__(self, index: CacheIndex) -> None:
        self._index = index
        self._joined_s: dict[str, float] = {}
        self._first_observed_s = math.inf

    def observe_endpoints(self, names: Iterable[str], now_s: float) -> None:
        """Update the set of endpoints; those seen at startup don't count as new."""
        known = self._joined_s
        self._first_observed_s = min(self._first_observed_s, now_s)
        is_first = now_s <= self._first_observed_s + STARTUP_WINDOW_S
        joined_s = -math.inf if is_first else now_s
        self._joined_s = {name: known.get(name, joined_s) for name in names}

    def record_restart(self, name: str, now_s: float) -> None:
        """Record that an engine has restarted with an empty cache."""
        self._index.forget_endpoint(name, now_s)
        self._joined_s[name] = now_s

    def record_send(
        self, prefixes: Sequence[Prefix], engine: str, now_s: float
    ) -> list[Holding]:
        """Record that a prompt is sent to an engine; return the entries to gossip.

        A prefix that already has `HOLDERS_MAX` holders is not gossiped: the beginning
        shared by all prompts of a kind is soon cached by all engines.
        """
        new_entries = []
        for prefix in prefixes:
            holders = self._list_holders(prefix.key, now_s)
            if engine not in holders and len(holders) < HOLDERS_MAX:
                new_entries.append(Holding(engine, prefix.key, prefix.tokens))
            self._index.record_send(prefix.key, engine, prefix.tokens, now_s)
        return new_entries

    def find_source(
        self,
        prefixes: Sequence[Prefix],
        chosen: str,
        engines: EndpointPool,
        avoid: Collection[str],
        now_s: float,
    ) -> Endpoint | None:
        """Return the engine to copy from, or None if there is no candidate.

        Parameters
        ----------
        prefixes : sequence of Prefix
            Prefixes that the prompt may share with others, longest first.
        chosen : str
            Engine selected for the request.
        engines : EndpointPool
            All engines of the service; those that are leaving keep their caches.
        avoid : collection of str
            Engines that failed this request or are unreachable.
        now_s : float
            Current time.
        """

        def get_source(name: str | None) -> Endpoint | None:
            if name is None or name == chosen or name in avoid:
                return None
            return engines.by_name.get(name)

        # Look for the longest prefix that some engine caches, since only that much
        # can be copied.
        for prefix in prefixes:
            holders = self._list_holders(prefix.key, now_s)
            if chosen in holders:
                return None
            for name in holders:
                source = get_source(name)
                if source is not None:
                    return source
            # Requests are routed by their longest prefix only.
            if prefix is prefixes[0]:
                source = get_source(
                    self._find_previous_engine(prefix.key, engines, now_s)
                )
                if source is not None:
                    return source
        return None

    def _list_holders(self, key: str, now_s: float) -> list[str]:
        return [holder.endpoint for holder in self._index.holders(key, now_s)]

    def _find_previous_engine(
        self, key: str, engines: EndpointPool, now_s: float
    ) -> str | None:
        """Return the engine preferred for a prefix before the latest ones joined."""
        for count in (SHORTLIST_SIZE, len(engines)):
            for name in engines.rank(key, count):
                if self._joined_s.get(name, now_s) <= now_s - NEW_ENDPOINT_S:
                    return name
        return None
