"""Index of which engines hold the cached prefix of which chat.

Load pattern: chats come back after pauses, mostly within minutes, and an engine that
holds a chat's prefix answers its first token without computing the prefix again.
Without the index, a chat that overflowed to another engine would go back to the first,
and one whose prefix was evicted would be sent after it past an idle engine.

What is known comes from own sends, which are exact but do not tell of evictions, and
from engines' cache events, which come late and with gaps.  So an event is taken as
correcting a send only when it is the later one of the two, and after a gap what an
engine was known to hold stays a guess: still the best place to try, but behind an
engine whose events are whole.
"""

from collections import OrderedDict
from typing import Literal, NamedTuple

# Chats that one router keeps: 1.9 M chats over 370 routers are 5,100 for each; room
# for an uneven spread and for the chats of routers that failed.
CHATS_KEPT = 16_384
# Engines remembered for one chat: the last one, the one before an overflow, and one
# more for a flap during the overflow.
HOLDERS_MAX = 3
# Engines cache in limited memory: after this long without use a prefix is taken to be
# gone, so that a chat that comes back after hours goes where hashing sends it.
PREFIX_TTL_S = 3600.0

CacheAction = Literal["stored", "evicted", "cleared"]


class Holder(NamedTuple):
    """An engine that holds part of a chat's prefix."""

    endpoint: str
    tokens: int
    is_certain: bool


class CacheEvent(NamedTuple):
    """What an engine published about its cache.

    Parameters
    ----------
    endpoint : str
        Name of the engine.
    sequence : int
        Number of the event, one higher than of the engine's event before.
    action : {"stored", "evicted", "cleared"}
        ``"cleared"`` tells that the engine holds nothing, such as after a restart.
    chat : str
        The chat whose prefix it is about; empty for ``"cleared"``.
    tokens : int
        Tokens of the prefix that are now held.
    happened_s : float
        When it happened, on this router's clock.
    """

    endpoint: str
    sequence: int
    action: CacheAction
    chat: str
    tokens: int
    happened_s: float


class _Holding(NamedTuple):
    tokens: int
    known_s: float


class CacheIndex:
    """What one router knows of the engines' caches, for the chats it serves."""

    def __init__(self, chats_kept: int = CHATS_KEPT) -> None:
        self._chats_kept = chats_kept
        self._chats: OrderedDict[str, dict[str, _Holding]] = OrderedDict()
        self._sequences: dict[str, int] = {}
        self._uncertain_until_s: dict[str, float] = {}
        self._cleared_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._chats)

    def record_send(self, chat: str, endpoint: str, tokens: int, now_s: float) -> None:
        """Remember that `endpoint` computes, and so holds, `tokens` of `chat`."""
        self._hold(chat, endpoint, _Holding(tokens, now_s))

    def observe_event(self, event: CacheEvent) -> None:
        """Take an engine's cache event, which may be late or follow a gap."""
        last = self._sequences.get(event.endpoint)
        if last is not None and event.sequence > last + 1:
            # An eviction may be among the lost events: a caller would notice it as a
            # slow first token at the engine that was thought to hold the prefix.
            self._uncertain_until_s[event.endpoint] = event.happened_s
        self._sequences[event.endpoint] = max(event.sequence, last or 0)
        if event.action == "cleared":
            self.forget_endpoint(event.endpoint, event.happened_s)
        elif event.action == "evicted":
            self._evict(event)
        else:
            known = self._chats.get(event.chat, {}).get(event.endpoint)
            if known is None or known.known_s <= event.happened_s:
                holding = _Holding(event.tokens, event.happened_s)
                self._hold(event.chat, event.endpoint, holding)

    def forget_endpoint(self, endpoint: str, now_s: float) -> None:
        """Take all that `endpoint` was known to hold by `now_s` as gone."""
        self._cleared_s[endpoint] = now_s

    def holders(self, chat: str, now_s: float) -> list[Holder]:
        """Return the engines that hold `chat`'s prefix, the best place first."""
        found = [
            Holder(endpoint, holding.tokens, self._is_certain(endpoint, holding))
            for endpoint, holding in self._chats.get(chat, {}).items()
            if holding.known_s > now_s - PREFIX_TTL_S
            and holding.known_s > self._cleared_s.get(endpoint, float("-inf"))
        ]
        # The name decides between two that hold as much, as routers that know the same
        # must choose alike.
        return sorted(found, key=lambda h: (-h.is_certain, -h.tokens, h.endpoint))

    def list_recent(self, count: int, now_s: float) -> list[tuple[str, Holder]]:
        """Return up to `count` of the chats last heard of, each with its holders."""
        found: list[tuple[str, Holder]] = []
        for chat in reversed(self._chats):
            found += [(chat, holder) for holder in self.holders(chat, now_s)]
            if len(found) >= count:
                break
        return found[:count]

    def _is_certain(self, endpoint: str, holding: _Holding) -> bool:
        gap_s = self._uncertain_until_s.get(endpoint, float("-inf"))
        return holding.known_s >= gap_s

    def _hold(self, chat: str, endpoint: str, holding: _Holding) -> None:
        holdings = self._chats.setdefault(chat, {})
        self._chats.move_to_end(chat)
        holdings[endpoint] = holding
        if len(holdings) > HOLDERS_MAX:
            oldest = min(holdings, key=lambda name: holdings[name].known_s)
            del holdings[oldest]
        if len(self._chats) > self._chats_kept:
            self._chats.popitem(last=False)

    def _evict(self, event: CacheEvent) -> None:
        holdings = self._chats.get(event.chat, {})
        known = holdings.get(event.endpoint)
        # The eviction of an earlier copy may arrive after the chat was sent to the
        # engine again; taking it would send the chat away from its fresh copy.
        if known is None or known.known_s > event.happened_s:
            return
        del holdings[event.endpoint]
        if not holdings:
            del self._chats[event.chat]
