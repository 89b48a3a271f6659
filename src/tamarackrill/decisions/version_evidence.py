"""What shows that no other software version than the known one began a stream.

Load pattern: a second version joins within a second, while one router of the fleet is
stopped, suspended or reaches neither the store nor the others.  Streams begin at the
new version, break off, and their clients take them up at that router within
milliseconds after it goes on.  All it knows is the first version, from long before, and
that nobody told it of another one shows nothing: nobody could.

So that a version is the only one is concluded from evidence that was asked for after
the request had arrived: from replies of keepers in all availability zones, or from a
read of the store.  If neither can be had, the stream is refused, as its client can come
back, but can't tell the parts of two answers from each other.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import Literal, NamedTuple

from tamarackrill.decisions.stream_versions import KeeperReply, Router

# Reads of the store that all routers together send at most, of the 2,000 a second that
# its users allow for.
CHECKS_PER_S = 1000.0
# Shortest interval between two reads of one router.
CHECK_INTERVAL_MIN_S = 0.05

# What a read of the store that was sent after the request had arrived has shown.
StoreCheck = Literal["unasked", "confirmed", "unreachable"]
# What a version was concluded from; empty if that isn't possible.
Evidence = Literal["", "alone", "peers", "store", "outage"]


class VersionNews(NamedTuple):
    """What a router knows when it is to conclude the version of a stream.

    Parameters
    ----------
    own : KeeperReply
        What it knows itself.
    replies : mapping of Router to KeeperReply
        Replies to questions that it sent after the request had arrived.
    zones : collection of str
        Zones of routers that may have been told the version; see `list_told_zones`.
    unseen_zones : collection of str, optional
        Zones of the deployment in which no router was ever known.
    is_certain : bool
        Whether all routers replied that may be keepers of the stream.  If its client
        doesn't name it, nobody knows which these are.
    store : {"unasked", "confirmed", "unreachable"}
        What a read of the store has shown that was sent after the request had arrived.
    is_alone : bool
        Whether there is no other router, and never was.
    """

    own: KeeperReply
    replies: Mapping[Router, KeeperReply]
    zones: Collection[str]
    unseen_zones: Collection[str] = ()
    is_certain: bool = True
    store: StoreCheck = "unasked"
    is_alone: bool = False

    @property
    def known(self) -> tuple[KeeperReply, ...]:
        """What this router and the others know."""
        return (self.own, *self.replies.values())


def list_told_zones(
    own: Router, routers: Iterable[Router], zones: Iterable[str]
) -> set[str]:
    """Return the zones in which another router may have been told of a stream.

    Parameters
    ----------
    own : Router
        The asking router.
    routers : iterable of Router
        Live routers.
    zones : iterable of str
        Zones with routers that may run.
    """
    has_neighbours = any(
        router.zone == own.zone and router.name != own.name for router in routers
    )
    return {zone for zone in zones if has_neighbours or zone != own.zone}


def find_evidence(news: VersionNews) -> Evidence:
    """Return what shows that no version is missing among those known.

    Replies count if their routers know the endpoints as they are now and have known
    them for as long as any stream lasts, one in each zone.  If a keeper is silent, it
    may be the only one that was told, and the store is read.  With that, one such
    history suffices.  While the store is away for all zones, no router hears of a new
    version, and it suffices that a history was complete until then.  A zone in which no
    router was ever known may have some that are cut off; others that reach the store
    hear of a new version as soon as these.
    """
    current = {r.zone for r, reply in news.replies.items() if reply.has_history}
    has_history = any(reply.has_history for reply in news.known)
    had_history = has_history or any(reply.had_history for reply in news.known)
    if news.is_alone:
        return "alone" if had_history else ""
    if not news.zones:
        # Other routers exist, but none is known.
        return "store" if news.store == "confirmed" and has_history else ""
    if current.issuperset(news.zones) and (
        news.is_certain or news.store == "unreachable"
    ):
        return "peers"
    if news.store == "confirmed":
        return "store" if has_history else ""
    replied = {router.zone for router in news.replies}
    is_outage = news.store == "unreachable" and replied.issuperset(
        {*news.zones, *news.unseen_zones}
    )
    return "outage" if is_outage and had_history else ""


def conclude(news: VersionNews) -> tuple[str | None, Evidence]:
    """Return the version of a stream from what routers know, and the evidence.

    Returns
    -------
    software_version : str or None
        None if the stream may have begun at more than one version, or at one that
        nobody knows.
    evidence : str
        What shows that no other version is possible; empty if some router knows the
        stream, or if the version isn't known.
    """
    for reply in news.known:
        if reply.software_version:
            return reply.software_version, ""
    versions = {version for reply in news.known for version in reply.versions}
    evidence = find_evidence(news)
    if not evidence or len(versions) != 1:
        return None, ""
    return versions.pop(), evidence


def must_check_store(news: VersionNews) -> bool:
    """Return whether a read of the store may show what version a stream has."""
    versions = {version for reply in news.known for version in reply.versions}
    has_one = len(versions) <= 1 and not any(r.software_version for r in news.known)
    return has_one and news.store == "unasked" and not find_evidence(news)


def find_check_interval_s(routers: int) -> float:
    """Return the least time between two reads of one of so many routers."""
    return max(CHECK_INTERVAL_MIN_S, routers / CHECKS_PER_S)
