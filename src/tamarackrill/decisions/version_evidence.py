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

While the store is away, some routers have perhaps ended too, and can't be told from
such that are cut off and hear of a new version.  Then it suffices that more than half
of all routers reply, as streams begin at a new version only where at least half know
it.  Half of them suffice while their news are current: streams begin later than that at
a new version, or at once where more than half reply.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import Literal, NamedTuple

from tamarackrill.decisions.stream_versions import KeeperReply, Router

# Reads of the store that all routers together send at most, of the 2,000 a second that
# its users allow for.
CHECKS_PER_S = 1000.0
# Shortest interval between two reads of one router.
CHECK_INTERVAL_MIN_S = 0.05

# Shares above it are a majority of all routers.
HALF = 0.5

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
    own_zone : str, optional
        Zone of the asking router.
    unseen_zones : collection of str, optional
        Zones of the deployment in which no router was ever known.
    is_certain : bool
        Whether all routers replied that may be keepers of the stream.  If its client
        doesn't name it, nobody knows which these are.
    reach : float
        Share of all routers that have replied, this one included; see `find_reach`.
    store : {"unasked", "confirmed", "unreachable"}
        What a read of the store has shown that was sent after the request had arrived.
    is_alone : bool
        Whether there is no other router, and never was.
    """

    own: KeeperReply
    replies: Mapping[Router, KeeperReply]
    zones: Collection[str]
    own_zone: str = ""
    unseen_zones: Collection[str] = ()
    is_certain: bool = True
    reach: float = 0.0
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
    history suffices.  While the store is away, no router in touch hears of a new
    version, and it suffices that a majority replies and that a history was complete
    until then, or that half of them reply and a history is complete.  A zone in which
    no router was ever known may have some that are cut off, and don't know how many
    others there are.
    """
    current = {r.zone for r, reply in news.replies.items() if reply.has_history}
    if news.own.has_history:
        current.add(news.own_zone)
    has_history = any(reply.has_history for reply in news.known)
    had_history = has_history or any(reply.had_history for reply in news.known)
    if news.is_alone:
        return "alone" if had_history else ""
    if news.replies and current.issuperset(news.zones) and news.is_certain:
        return "peers"
    if news.store == "confirmed":
        return "store" if has_history else ""
    is_outage = news.store == "unreachable" and not news.unseen_zones
    has_most = news.reach > HALF or (news.reach >= HALF and has_history)
    return "outage" if is_outage and news.replies and has_most and had_history else ""


def find_reach(
    own: Router,
    routers: Iterable[Router],
    lost: int,
    asked: Collection[str],
    replied: Collection[str],
) -> float:
    """Return the share of all routers that have replied, this one included.

    Some routers of each zone are asked and stand for the others there.

    Parameters
    ----------
    own : Router
        The asking router.
    routers : iterable of Router
        Live routers.
    lost : int
        How many others were taken for dead.
    asked, replied : collection of str
        The routers that were asked, and those that have replied.
    """
    zones: dict[str, list[str]] = {}
    for router in {own, *routers}:
        zones.setdefault(router.zone, []).append(router.name)
    reached = 0.0
    for names in zones.values():
        known = [name for name in names if name in asked or name == own.name]
        met = [name for name in known if name in replied or name == own.name]
        reached += len(names) * len(met) / max(1, len(known))
    return reached / (sum(map(len, zones.values())) + lost)


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
