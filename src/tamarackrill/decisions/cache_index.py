"""Index of the engines that cache each chat's prefix.

Load pattern: chats return after pauses, mostly within minutes, and an engine that
caches a chat's prefix produces the first token without computing the prefix again.
Without the index, a chat that overflowed to another engine would return to the first
one, and a chat whose prefix was evicted would be sent past an idle engine to the one
that evicted it.

The index is built from this router's own sends, which are exact but don't show
evictions, and from engines' cache events, which arrive late and with gaps.  So an event
overrides a send only if it is the later of the two.  After a gap, an engine's earlier
entries are uncertain: still worth trying, but ranked behind engines without a gap.
"""

from collections import OrderedDict
from typing import Literal, NamedTuple

# Chats in the index of one router: 1.9 M chats over 370 routers are 5,100 each, plus
# headroom for uneven distribution and the chats of failed routers.
CACHED_CHATS_MAX = 16_384
# Engines indexed per chat: the latest, the one before an overflow, and one more in case
# an engine flaps during the overflow.
HOLDERS_MAX = 3
# Engine caches are limited: a prefix unused for this long is assumed to be evicted, so
# a chat that returns after hours goes to its first engine in rendezvous order.
PREFIX_TTL_S = 3600.0

CacheAction = Literal["stored", "evicted", "cleared"]


class PrefixHolder(NamedTuple):
    """An engine that caches part of a chat's prefix."""

    endpoint: str
    tokens: int
    is_certain: bool


class CacheEvent(NamedTuple):
    """Cache event published by an engine.

    Parameters
    ----------
    endpoint : str
        Name of the engine.
    sequence : int
        Sequence number, one higher than that of the engine's previous event.
    action : {"stored", "evicted", "cleared"}
        ``"cleared"`` means that the cache is empty, for example after a restart.
    chat : str
        Chat of the prefix; empty for ``"cleared"``.
    tokens : int
        Number of tokens of the prefix that are now cached.
    happened_s : float
        Time of the event, on this router's clock.
    """

    endpoint: str
    sequence: int
    action: CacheAction
    chat: str
    tokens: int
    happened_s: float


class _CachedPrefix(NamedTuple):
    tokens: int
    observed_s: float


class CacheIndex:
    """One router's index of engine caches, for the chats that it serves."""

    def __init__(self, chats_max: int = CACHED_CHATS_MAX) -> None:
        self._chats_max = chats_max
        self._chats: OrderedDict[str, dict[str, _CachedPrefix]] = OrderedDict()
        self._sequences: dict[str, int] = {}
        self._uncertain_until_s: dict[str, float] = {}
        self._cleared_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._chats)

    def record_send(self, chat: str, endpoint: str, tokens: int, now_s: float) -> None:
        """Record that `endpoint` computes, and then caches, `tokens` of `chat`."""
        self._store(chat, endpoint, _CachedPrefix(tokens, now_s))

    def observe_event(self, event: CacheEvent) -> None:
        """Process an engine's cache event, which may be late or follow a gap."""
        last = self._sequences.get(event.endpoint)
        if last is not None and event.sequence > last + 1:
            # An eviction may be among the lost events: the caller would get a slow
            # first token from an engine that no longer caches the prefix.
            self._uncertain_until_s[event.endpoint] = event.happened_s
        self._sequences[event.endpoint] = max(event.sequence, last or 0)
        if event.action == "cleared":
            self.forget_endpoint(event.endpoint, event.happened_s)
        elif event.action == "evicted":
            self._evict(event)
        else:
            current = self._chats.get(event.chat, {}).get(event.endpoint)
            if current is None or current.observed_s <= event.happened_s:
                prefix = _CachedPrefix(event.tokens, event.happened_s)
                self._store(event.chat, event.endpoint, prefix)

    def forget_endpoint(self, endpoint: str, now_s: float) -> None:
        """Invalidate all prefixes recorded for `endpoint` up to `now_s`."""
        self._cleared_s[endpoint] = now_s

    def holders(self, chat: str, now_s: float) -> list[PrefixHolder]:
        """Return the engines that cache `chat`'s prefix, best first."""
        found = [
            PrefixHolder(endpoint, prefix.tokens, self._is_certain(endpoint, prefix))
            for endpoint, prefix in self._chats.get(chat, {}).items()
            if prefix.observed_s > now_s - PREFIX_TTL_S
            and prefix.observed_s > self._cleared_s.get(endpoint, float("-inf"))
        ]
        # Ties are broken by name, since routers with the same information must make
        # the same choice.
        return sorted(found, key=lambda h: (-h.is_certain, -h.tokens, h.endpoint))

    def list_recent(self, count: int, now_s: float) -> list[tuple[str, PrefixHolder]]:
        """Return up to `count` pairs of chat and holder, latest updated chats first."""
        found: list[tuple[str, PrefixHolder]] = []
        for chat in reversed(self._chats):
            found += [(chat, holder) for holder in self.holders(chat, now_s)]
            if len(found) >= count:
                break
        return found[:count]

    def _is_certain(self, endpoint: str, prefix: _CachedPrefix) -> bool:
        gap_s = self._uncertain_until_s.get(endpoint, float("-inf"))
        return prefix.observed_s >= gap_s

    def _store(self, chat: str, endpoint: str, prefix: _CachedPrefix) -> None:
        prefixes = self._chats.setdefault(chat, {})
        self._chats.move_to_end(chat)
        prefixes[endpoint] = prefix
        if len(prefixes) > HOLDERS_MAX:
            oldest = min(prefixes, key=lambda name: prefixes[name].observed_s)
            del prefixes[oldest]
        if len(self._chats) > self._chats_max:
            self._chats.popitem(last=False)

    def _evict(self, event: CacheEvent) -> None:
        prefixes = self._chats.get(event.chat, {})
        current = prefixes.get(event.endpoint)
        # The eviction of an earlier copy may arrive after the chat was sent to the
        # engine again; applying it would route the chat away from its fresh copy.
        if current is None or current.observed_s > event.happened_s:
            return
        del prefixes[event.endpoint]
        if not prefixes:
            del self._chats[event.chat]
