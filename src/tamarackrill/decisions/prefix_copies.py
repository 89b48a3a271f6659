"""From which engine another one copies the cached parts of a prompt.

Load pattern: a session's prompts go to the engine that holds their parts, until that
engine is full, leaves, or shares its sessions with one that has just joined.  The next
prompt of each of these sessions then reaches an engine without its parts.  Left alone
it computes thousands of tokens again, and every request beside it waits meanwhile:
nine thousand tokens take 80 ms of an engine that makes a step in 6 ms.

Engines of one service can copy parts from each other over a link of their own.  So the
request names the engine that most likely holds them: one that this router sent the
session to, or else the one that rendezvous hashing gave it before the last endpoints
joined, which is where the other routers sent it.  A wrong guess costs next to nothing,
as an engine without the parts has nothing to copy.

Beside sessions this covers the parts that all sessions of a kind begin with: the first
session of a kind at an engine copies them from any engine that had one.
"""

import math
from collections.abc import Collection, Iterable, Sequence

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.cache_index import HOLDERS_KEPT, CacheIndex
from tamarackrill.decisions.placement_news import Holding
from tamarackrill.decisions.pools import RANK_SHORT, EndpointPool
from tamarackrill.decisions.prompts import Prefix

# Engines compute some hundred prompt tokens a millisecond.  A copy that takes longer
# for each token than that would hold the request up, not speed it up.
COPY_TOKEN_MAX_S = 8e-6
# For so long after it joined an endpoint is not where others sent a session before;
# sessions that are in use come back within seconds, and most parts are cold after that.
NEWCOMER_S = 30.0
# Endpoints that a router hears of this soon after the first one were there before it,
# or started with the whole deployment: their entries arrive one by one.
FIRST_HEARD_S = 5.0


class PrefixCopies:
    """What one router knows of the prefixes that engines hold.

    Parameters
    ----------
    index : CacheIndex
        Holders of prefixes, by their keys; what other routers tell is in it too.
    """

    def __init__(self, index: CacheIndex) -> None:
        self._index = index
        self._joined_s: dict[str, float] = {}
        self._first_heard_s = math.inf

    def observe_endpoints(self, names: Iterable[str], now_s: float) -> None:
        """Take all endpoints known now; the first ones are not newcomers."""
        known = self._joined_s
        self._first_heard_s = min(self._first_heard_s, now_s)
        is_first = now_s <= self._first_heard_s + FIRST_HEARD_S
        joined_s = -math.inf if is_first else now_s
        self._joined_s = {name: known.get(name, joined_s) for name in names}

    def forget_engine(self, name: str, now_s: float) -> None:
        """Take that an engine has started anew, and holds nothing."""
        self._index.forget_endpoint(name, now_s)
        self._joined_s[name] = now_s

    def record_send(
        self, prefixes: Sequence[Prefix], engine: str, now_s: float
    ) -> list[Holding]:
        """Remember that an engine reads a prompt; return what others should know.

        Of a prefix that as many engines hold as are remembered nothing is told: what
        all prompts of a kind begin with is soon held by all engines.
        """
        found = []
        for prefix in prefixes:
            holders = self._list_holders(prefix.key, now_s)
            if engine not in holders and len(holders) < HOLDERS_KEPT:
                found.append(Holding(engine, prefix.key, prefix.tokens))
            self._index.record_send(prefix.key, engine, prefix.tokens, now_s)
        return found

    def find_source(
        self,
        prefixes: Sequence[Prefix],
        chosen: str,
        engines: EndpointPool,
        avoid: Collection[str],
        now_s: float,
    ) -> Endpoint | None:
        """Return the engine to copy from, or None if there is none worth asking.

        Parameters
        ----------
        prefixes : sequence of Prefix
            Beginnings of the prompt that others share, the longest first.
        chosen : str
            Engine that the request goes to.
        engines : EndpointPool
            All of the service; those that leave still hold what they held.
        avoid : collection of str
            Engines that failed this request or can't be reached.
        now_s : float
            The present time.
        """

        def find(name: str | None) -> Endpoint | None:
            if name is None or name == chosen or name in avoid:
                return None
            return engines.by_name.get(name)

        # The longest beginning that some engine holds, as what is copied ends there.
        for prefix in prefixes:
            holders = self._list_holders(prefix.key, now_s)
            if chosen in holders:
                return None
            for name in holders:
                source = find(name)
                if source is not None:
                    return source
            # Only the longest beginning is what placements are decided by.
            if prefix is prefixes[0]:
                source = find(self._find_elder(prefix.key, engines, now_s))
                if source is not None:
                    return source
        return None

    def _list_holders(self, key: str, now_s: float) -> list[str]:
        return [holder.endpoint for holder in self._index.holders(key, now_s)]

    def _find_elder(self, key: str, engines: EndpointPool, now_s: float) -> str | None:
        """Return where a prefix was sent before the latest endpoints joined."""
        for count in (RANK_SHORT, len(engines)):
            for name in engines.rank(key, count):
                if self._joined_s.get(name, now_s) <= now_s - NEWCOMER_S:
                    return name
        return None
