"""Which software version a stream began at, known to more than its first router.

Load pattern: endpoints of several versions serve side by side for minutes, a router or
a whole zone of routers fails, and its clients take hundreds of streams up at other
routers within milliseconds.  What two versions write doesn't fit together, and
endpoints don't check that.  Without this a router continues such a stream at any
endpoint, and the client joins parts of two answers.

While a service has several versions, the router that forwards a stream's first event
tells the version to two keepers: routers of its own zone and of another one, which any
router finds by hashing the client's attempt.  A router that a client comes back to asks
them.  What routers remember ends with them, so the versions of each service and, while
there are several, those of the streams are in the platform's store too; see
`version_records` and `stream_archive`.  If nobody knows, the stream is refused, as a
client can begin it again but can't tell the parts of two answers from each other; see
`version_evidence`.
While all endpoints have had one version for longer than any stream lasts, nothing is
told.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from functools import lru_cache
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import hashing

# With three, a router of a fleet of 370 would send over 3 KB/s for the 18 streams that
# it begins per second.
KEEPERS = 2
# Routers that are asked in each zone; one more in the own one, whose first may have
# been the router that began the stream.
ASKED_PER_ZONE = 2
# A group of streams shares its keepers, so that their order is computed seldom.
KEEPER_GROUPS = 256
# Longest duration of a stream while no manifest is known.
LIFETIME_DEFAULT_S = 60.0
# A client comes back until its deadline, and then some while it is on its way.
RETURN_SLACK_S = 2.0
# For how long after the news of a new version must have reached all routers its record
# is waited for, in case the store refuses it.
RECORD_WAIT_MAX_S = 3.0


class StreamRecord(NamedTuple):
    """Software version at which a stream began.

    Parameters
    ----------
    stream : int
        Hash of the client's attempt that brought the first event.
    software_version : str
        The version.
    must_archive : bool, default=False
        Whether the router that is told writes the record to the store.
    """

    stream: int
    software_version: str
    must_archive: bool = False


class _KnownStream(NamedTuple):
    """A stream until no client takes it up any more.

    `service` is empty if another router told it.
    """

    service: str
    software_version: str
    expires_s: float


class Router(NamedTuple):
    """A live router, as a possible keeper."""

    name: str
    zone: str


def identify_stream(attempt_id: str) -> int:
    """Return the number of a stream, from the attempt that brought its first event."""
    # Thrift has signed integers only.
    return hashing.hash_name(attempt_id) >> 1


@lru_cache(maxsize=KEEPER_GROUPS)
def _rank_zones(group: int, routers: tuple[Router, ...]) -> dict[str, list[str]]:
    """Return the routers of each zone in their order as keepers; zones are ordered."""
    key = f"stream/{group}"
    names: dict[str, list[str]] = {}
    for router in routers:
        names.setdefault(router.zone, []).append(router.name)
    return {
        zone: hashing.rank(key, names[zone]) for zone in hashing.rank(key, [*names])
    }


def choose_keepers(
    stream: int, routers: tuple[Router, ...], teller: Router
) -> list[str]:
    """Return the routers that are told the version of a stream.

    One is in the zone of the router that tells it, so that a zone that is cut off still
    knows its own streams, and one is in another zone.

    Parameters
    ----------
    stream : int
        The stream.
    routers : tuple of Router
        Live routers.
    teller : Router
        The router that knows the version.
    """
    ranked = _rank_zones(stream % KEEPER_GROUPS, routers)
    own_zone = [n for n in ranked.get(teller.zone, ()) if n != teller.name]
    elsewhere = [names[0] for zone, names in ranked.items() if zone != teller.zone]
    return [*own_zone[:1], *elsewhere, *own_zone[1:]][:KEEPERS]


def choose_asked(stream: int, routers: tuple[Router, ...], asker: Router) -> list[str]:
    """Return the routers that are asked for the version of a stream.

    They are the keepers whatever zone the stream began in, and those that became
    keepers in their place if the router that told them knew a router more or less.
    """
    ranked = _rank_zones(stream % KEEPER_GROUPS, routers)
    asked = [
        name
        for zone, names in ranked.items()
        for name in names[: ASKED_PER_ZONE + (zone == asker.zone)]
    ]
    return [name for name in asked if name != asker.name]


class StreamVersions:
    """What one router knows of the versions of services and streams.

    Parameters
    ----------
    started_s : float
        When this router began to know the endpoints.

    Attributes
    ----------
    lifetime_s : float
        For how long a client may come back to a stream after it began.
    """

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self.lifetime_s = LIFETIME_DEFAULT_S
        # Until when streams that began under a longer lifetime may come back.
        self._lifetime_until_s = started_s
        # When the known endpoints were last older than allowed.
        self._outdated_s = started_s
        # When each version of a service was last seen.
        self._seen_s: dict[str, dict[str, float]] = {}
        # When versions joined that are new to a service, and those on record.
        self._joined_s: dict[str, dict[str, float]] = {}
        self._recorded: dict[str, set[str]] = {}
        # Services whose streams are told to keepers.
        self._told: set[str] = set()
        # When the versions of a service that this router may have missed were learned.
        self._learned_s: dict[str, float] = {}
        self._own: dict[int, _KnownStream] = {}
        self._kept: dict[int, _KnownStream] = {}
        # Streams that the store has, until they are read again or must have ended.
        self._find_archived: Callable[[int], str | None] | None = None
        self._archived_until_s = started_s

    def observe_endpoints(
        self,
        endpoints: Iterable[Endpoint],
        lifetime_s: float,
        now_s: float,
        is_current: bool = True,
    ) -> list[StreamRecord]:
        """Update the versions of all services.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            All known endpoints, including those that are leaving.
        lifetime_s : float
            How long a stream lasts at most, over all attempts of its client.
        now_s : float
            Current time.
        is_current : bool, default=True
            Whether the endpoints are as the platform has them now.

        Returns
        -------
        list of StreamRecord
            Streams of services that have a second version now, to be told to keepers.
        """
        self._observe_lifetime(lifetime_s + RETURN_SLACK_S, now_s)
        if not is_current:
            self._outdated_s = now_s
        seen: dict[str, set[str]] = {}
        for endpoint in endpoints:
            for service in endpoint.serves:
                seen.setdefault(service, set()).add(endpoint.software_version)
        for service, versions in seen.items():
            self._observe_versions(service, versions, now_s)
        several = {
            name for name in self._seen_s if len(self.list_versions(name, now_s)) > 1
        }
        began = several - self._told
        self._told = several
        return [
            StreamRecord(stream, known.software_version)
            for stream, known in self._own.items()
            if known.service in began
        ]

    def _observe_versions(self, service: str, versions: set[str], now_s: float) -> None:
        # What a router finds as it starts may have been there for long.
        if service in self._seen_s:
            joined = versions.difference(self.list_versions(service, now_s))
            if joined:
                joined_s = self._joined_s.setdefault(service, {})
                joined_s |= dict.fromkeys(joined, now_s)
        seen_s = self._seen_s.setdefault(service, {})
        seen_s |= dict.fromkeys(sorted(versions), now_s)

    def list_joining(
        self,
        service: str,
        news_max_s: float,
        now_s: float,
        known: Collection[str] | None = None,
    ) -> set[str]:
        """Return the versions at which streams should not begin yet.

        Other routers may not have heard of them, or they aren't on record, so that a
        stream could be taken for one of an earlier version.

        Parameters
        ----------
        service : str
            The service.
        news_max_s : float
            Time in which news of endpoints reach all routers.
        now_s : float
            Current time.
        known : collection of str, optional
            Versions that enough other routers have said they know; all by default.
        """
        joined_s = self._joined_s.get(service)
        if not joined_s:
            return set()
        recorded = self._recorded.get(service, set())
        joining = set()
        for version, since_s in list(joined_s.items()):
            age_s = now_s - since_s
            wait_s = 0.0 if version in recorded else RECORD_WAIT_MAX_S
            is_known = known is None or version in known
            if is_known and age_s >= news_max_s + wait_s:
                del joined_s[version]
            else:
                joining.add(version)
        return joining

    def list_with_joining(self) -> list[str]:
        """Return the services that have versions which may have joined just now."""
        return [service for service, joined_s in self._joined_s.items() if joined_s]

    def observe_recorded(self, service: str, versions: Iterable[str]) -> None:
        """Process that the store has a record with these versions."""
        self._recorded[service] = set(versions)

    def _observe_lifetime(self, lifetime_s: float, now_s: float) -> None:
        if lifetime_s >= self.lifetime_s:
            self._lifetime_until_s = now_s + lifetime_s
        elif now_s < self._lifetime_until_s:
            return
        self.lifetime_s = lifetime_s

    def list_versions(self, service: str, now_s: float) -> list[str]:
        """Return the versions that streams may have begun at."""
        oldest_s = now_s - self.lifetime_s
        seen_s = self._seen_s.get(service, {})
        return [name for name, last_s in seen_s.items() if last_s >= oldest_s]

    def has_history(self, service: str, now_s: float) -> bool:
        """Return whether no stream can have begun at a version that isn't listed."""
        if now_s - self._outdated_s >= self.lifetime_s:
            return True
        return self._learned_s.get(service, self._outdated_s) > self._outdated_s

    def describe(
        self,
        service: str,
        stream: int,
        now_s: float,
        is_current: bool = True,
        has_paused: bool = False,
        has_stood_still: bool = False,
    ) -> "KeeperReply":
        """Return what this router tells one that asks for the version of a stream.

        Parameters
        ----------
        service : str
            Service of the stream.
        stream : int
            The stream.
        now_s : float
            Current time.
        is_current : bool, default=True
            Whether the known endpoints are as the platform has them now.
        has_paused : bool, default=False
            Whether its event loop has paused since it last heard of them.
        has_stood_still : bool, default=False
            Whether that lasted so long that versions may have come and gone meanwhile.
        """
        has_run = now_s - self._started_s >= self.lifetime_s
        had_history = has_run or service in self._learned_s
        return KeeperReply(
            self.find(stream) or "",
            tuple(self.list_versions(service, now_s)),
            self.has_history(service, now_s) and is_current and not has_paused,
            had_history and not has_stood_still,
        )

    def list_obsolete(
        self, service: str, recorded: Iterable[str], now_s: float
    ) -> list[str]:
        """Return the recorded versions that no stream can go on at any more.

        Parameters
        ----------
        service : str
            The service.
        recorded : iterable of str
            Versions in the store's record, which `learn_record` has been told of.
        now_s : float
            Current time.
        """
        seen_s = self._seen_s.get(service, {})
        return [
            name
            for name in recorded
            if now_s - max(seen_s.get(name, now_s), self._outdated_s) > self.lifetime_s
        ]

    def learn(
        self, service: str, replies: Iterable["KeeperReply"], now_s: float
    ) -> None:
        """Take over the history of other routers, if this one has none."""
        if self.has_history(service, now_s):
            # Routers that took over each other's versions would never forget any.
            return
        for reply in replies:
            if reply.has_history:
                self.learn_record(service, reply.versions, True, now_s, is_news=True)

    def learn_record(
        self,
        service: str,
        versions: Iterable[str],
        is_complete: bool,
        now_s: float,
        *,
        is_news: bool = False,
    ) -> None:
        """Take over the versions that the store has recorded.

        Parameters
        ----------
        service : str
            The service.
        versions : iterable of str
            Versions that streams may have begun at.
        is_complete : bool
            Whether no stream can have begun at a version that is missing.
        now_s : float
            Current time.
        is_news : bool, default=False
            Whether streams may have begun at these versions without this router's
            knowledge, as it has just started or its endpoints were outdated.
        """
        seen_s = self._seen_s.setdefault(service, {})
        current = self.list_versions(service, now_s) if is_news else seen_s
        seen_s |= {name: now_s for name in versions if name not in current}
        if is_complete:
            self._learned_s[service] = now_s

    def list_own(self) -> list[StreamRecord]:
        """Return the streams of this router that keepers have to know."""
        return [
            StreamRecord(stream, known.software_version)
            for stream, known in self._own.items()
            if known.service in self._told
        ]

    @property
    def has_several(self) -> bool:
        """Whether any service has several versions."""
        return bool(self._told)

    def begin(
        self, stream: int, service: str, software_version: str, now_s: float
    ) -> bool:
        """Record a stream that this router begins or continues.

        Returns
        -------
        bool
            Whether its keepers have to know.
        """
        expires_s = now_s + self.lifetime_s
        self._own[stream] = _KnownStream(service, software_version, expires_s)
        return service in self._told

    def keep(self, record: StreamRecord, now_s: float) -> None:
        """Record what another router tells."""
        expires_s = now_s + self.lifetime_s
        self._kept[record.stream] = _KnownStream("", record.software_version, expires_s)

    def take_archived(self, find: Callable[[int], str | None], now_s: float) -> None:
        """Replace the streams read from the store.

        Parameters
        ----------
        find : callable
            Returns the version of a stream, None if it isn't archived.
        now_s : float
            Current time.
        """
        self._find_archived = find
        self._archived_until_s = now_s + self.lifetime_s

    def end(self, stream: int) -> None:
        """Forget a stream that its client has received completely."""
        self._own.pop(stream, None)

    def find(self, stream: int) -> str | None:
        """Return the version of a stream; None if it isn't known here."""
        known = self._own.get(stream) or self._kept.get(stream)
        if known is not None:
            return known.software_version
        return self._find_archived(stream) if self._find_archived else None

    def expire(self, now_s: float) -> list[int]:
        """Forget streams that no client takes up any more; return this router's own."""
        expired = [s for s, known in self._own.items() if known.expires_s <= now_s]
        for stream in expired:
            del self._own[stream]
        for stream in [s for s, k in self._kept.items() if k.expires_s <= now_s]:
            del self._kept[stream]
        if self._archived_until_s <= now_s:
            self._find_archived = None
        return expired

    def count(self) -> Mapping[str, float]:
        """Return the numbers of streams known, for metrics."""
        return {
            "own": len(self._own),
            "kept": len(self._kept),
        }


class KeeperReply(NamedTuple):
    """What a router knows of a stream.

    Parameters
    ----------
    software_version : str
        The stream's version; empty if it isn't known.
    versions : tuple of str
        Versions of the service that streams may have begun at.
    has_history : bool
        Whether no stream can have begun at a version that is missing.
    had_history : bool, default=False
        Whether that held until the router's news of endpoints became outdated.
    """

    software_version: str
    versions: tuple[str, ...]
    has_history: bool
    had_history: bool = False
