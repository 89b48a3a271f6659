"""Manifest, endpoints and evacuated zones that this router knows from the store."""

from collections.abc import Callable, Collection, Mapping
from typing import Any, NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.configuration import ConfigurationStore, ObjectVersion
from tamarackrill.decisions.lapses import EndedEntries, ExpiryGrace
from tamarackrill.decisions.leaving import (
    FleetNews,
    LeavingEndpoints,
    LeavingReport,
    Source,
)
from tamarackrill.decisions.lost_manifests import ToldManifest
from tamarackrill.decisions.manifests import Manifest, RouteTable
from tamarackrill.decisions.pools import EndpointPool, make_pool
from tamarackrill.events import (
    ENDPOINT_GONE,
    ENDPOINT_HELD,
    ENDPOINT_KNOWN,
    ENDPOINT_LEAVING,
    ENDPOINT_SUSPECT,
    EVACUATION_ENDED,
    EVACUATION_IN_FORCE,
    EVACUATION_UNKNOWN_ZONE,
    MANIFEST_IGNORED,
    MANIFEST_IN_FORCE,
    OBJECT_FAULTY,
    log_event,
)


class ObjectReaders(NamedTuple):
    """Names and parsers of the store objects that routers read.

    Parameters
    ----------
    manifest_kind, manifest_name, endpoint_kind, evacuation_kind : str
        Kind and name of the manifest object, and kinds of the objects of endpoints and
        of evacuated zones.
    read_manifest, read_endpoint, read_evacuation : callable
        Parse an object; KeyError, TypeError, ValueError or AttributeError mean that it
        is malformed.
    """

    manifest_kind: str
    manifest_name: str
    endpoint_kind: str
    evacuation_kind: str
    read_manifest: Callable[[Mapping[str, Any]], Manifest]
    read_endpoint: Callable[[str, Mapping[str, Any]], Endpoint]
    read_evacuation: Callable[[str, Mapping[str, Any]], str]


class DeploymentView:
    """The deployment according to the latest well-formed objects.

    Parameters
    ----------
    readers : ObjectReaders
        Names and parsers of the objects.
    knows_evacuations : callable, optional
        Returns whether all evacuated zones are known.  Until then no endpoint may be
        used, as its zone may be evacuated.
    zones : collection of str, optional
        Availability zones of the deployment; others can't be evacuated.
    store : ConfigurationStore, optional
        Holds the objects.  Without it their eras are unknown.

    Attributes
    ----------
    find_known_s : callable
        ``find_known_s(now_s)`` returns as of when the store's endpoints are known.
    """

    def __init__(
        self,
        readers: ObjectReaders,
        knows_evacuations: Callable[[], bool] = lambda: True,
        zones: Collection[str] = (),
        store: ConfigurationStore | None = None,
    ) -> None:
        self._readers = readers
        self._store = store or ConfigurationStore()
        self._knows_evacuations = knows_evacuations
        self._zones = frozenset(zones)
        self._evacuated: dict[str, str] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self._leaving = LeavingEndpoints()
        # Cache, None after a change.  Rebuilt on the next lookup, not on each change: a
        # list of thousands of endpoints arrives as one change per endpoint.
        self._pools: dict[str, _Pools] | None = None
        self._expiry_grace = ExpiryGrace()
        self._evacuation_grace = ExpiryGrace()
        self._ended_entries = EndedEntries()
        self.routes: RouteTable | None = None
        # The object of the manifest in force, and whether the store has an older one.
        self.manifest_item: ObjectVersion | None = None
        self._is_manifest_lost = False
        self.has_endpoint_data = False
        self.find_known_s: Callable[[float], float] = lambda now_s: now_s

    @property
    def is_complete(self) -> bool:
        """Whether the manifest, any endpoint and all evacuated zones are known."""
        has_objects = self.routes is not None and self.has_endpoint_data
        return has_objects and self._knows_evacuations()

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Availability zones whose endpoints get no new requests."""
        return frozenset(self._evacuated.values())

    def observe_store(self, is_lost: bool, now_s: float) -> None:
        """Record whether the store is unreachable."""
        self._expiry_grace.observe_store(is_lost, now_s)

    def observe_restored(self, kind: str, now_s: float) -> None:
        """Record that the store came back from a copy, before its objects are taken.

        The copy may lack what was acknowledged since it was made, until that is written
        again.
        """
        if kind == self._readers.endpoint_kind:
            self._expiry_grace.observe_restored(now_s)
            self._ended_entries.observe_restored(now_s)
            for endpoint in self._endpoints.values():
                # The copy's entry may say that an endpoint is live that was leaving.
                if endpoint.state == "leaving":
                    self._leaving.observe(_make_report(endpoint, "endpoint"))
        elif kind == self._readers.evacuation_kind:
            self._evacuation_grace.observe_restored(now_s)

    def list_leaving_news(self, now_s: float) -> FleetNews:
        """Return the endpoints that must get no new work, for other routers."""
        ended = self._ended_entries.list_confirmed(self._find_era(), now_s)
        return FleetNews(self._leaving.list_recent(), ended=ended)

    def observe_leaving_news(self, news: FleetNews, now_s: float) -> None:
        """Apply what another router knows of endpoints that must get no new work."""
        for name, incarnation in news.leaving:
            self._observe_leaving(LeavingReport(name, "endpoint", True, incarnation))
        for name, ended_era in news.ended.names:
            known = self._store.get(self._readers.endpoint_kind, name)
            if self._expiry_grace.is_kept(name):
                # Its entry isn't only missing in a copy.
                self._expiry_grace.observe_present(name)
                self._drop(name, ended_era)
            elif known is None or name not in self._endpoints:
                self._ended_entries.observe_told(name, ended_era, news.ended, now_s)
            elif ended_era < self._find_era() and not self._store.is_of_era(known):
                self._ended_entries.observe_told(name, ended_era, news.ended, now_s)
                if self._must_hold(known, now_s):
                    del self._endpoints[name]
                    self._pools = None

    def _find_era(self) -> int:
        return self._store.get_era(self._readers.endpoint_kind)

    def _must_hold(self, item: ObjectVersion, now_s: float) -> bool:
        is_new = self._store.is_of_era(item)
        must_hold = self._ended_entries.must_hold(
            item, now_s, self._find_era(), is_new, self.find_known_s(now_s)
        )
        if must_hold:
            log_event(ENDPOINT_SUSPECT, endpoint=item.name, revision=item.version)
        return must_hold

    def take(self, item: ObjectVersion, now_s: float) -> None:
        """Apply a newer version of an object, or its deletion."""
        try:
            self._take(item, now_s)
        except Exception as error:
            # A malformed object must not end the task that follows the store, or this
            # router would get no later change.  The previous manifest stays in force;
            # an endpoint with a malformed entry gets no work.
            log_event(
                OBJECT_FAULTY,
                kind=item.kind,
                object=item.name,
                version=item.version,
                message=repr(error),
            )
            if item.kind == self._readers.endpoint_kind:
                self._drop(item.name)
            elif self._is_manifest(item):
                self._is_manifest_lost = True

    def _is_manifest(self, item: ObjectVersion) -> bool:
        names = (self._readers.manifest_kind, self._readers.manifest_name)
        return (item.kind, item.name) == names

    def _take(self, item: ObjectVersion, now_s: float) -> None:
        readers = self._readers
        if item.kind == readers.endpoint_kind:
            self.has_endpoint_data = True
            self._take_endpoint(item, now_s)
        elif item.kind == readers.evacuation_kind:
            self._take_evacuation(item, now_s)
        elif item.name == readers.manifest_name and item.value is not None:
            self._take_manifest(readers.read_manifest(item.value), item)

    def tell_manifest(self) -> ToldManifest:
        """Return the version of the manifest in force, for other routers."""
        version = 0 if self.routes is None else self.routes.manifest.version
        era = self._store.get_era(self._readers.manifest_kind)
        return ToldManifest(version, era, self._is_manifest_lost)

    def recover_manifest(self, item: ObjectVersion) -> None:
        """Put a manifest in force that another router has, if it is newer.

        Raises
        ------
        KeyError, TypeError, ValueError, AttributeError
            If it is malformed.
        """
        manifest = self._readers.read_manifest(item.value or {})
        if self.routes is None or manifest.version > self.routes.manifest.version:
            self._take_manifest(manifest, item)
            self._is_manifest_lost = True

    def _take_manifest(self, manifest: Manifest, item: ObjectVersion) -> None:
        known = None if self.routes is None else self.routes.manifest
        # Operators number manifests themselves, so that these numbers outlast a restore
        # of the store from a copy, in which an older manifest is the current one.
        if known is not None and manifest.version < known.version:
            log_event(
                MANIFEST_IGNORED,
                version=manifest.version,
                version_in_force=known.version,
                revision=item.version,
            )
            self._is_manifest_lost = True
            return
        self.routes = RouteTable(manifest)
        self.manifest_item, self._is_manifest_lost = item, False
        log_event(
            MANIFEST_IN_FORCE,
            version=manifest.version,
            revision=item.version,
            routes=len(manifest.routes),
        )

    def _take_evacuation(self, item: ObjectVersion, now_s: float) -> None:
        if item.value is None:
            if self._evacuation_grace.observe_removed(item.name, now_s):
                return
            self._end_evacuation(item.name, item.version)
        else:
            self._evacuation_grace.observe_present(item.name)
            zone = self._readers.read_evacuation(item.name, item.value)
            if self._zones and zone not in self._zones:
                log_event(EVACUATION_UNKNOWN_ZONE, zone=zone, revision=item.version)
            self._evacuated[item.name] = zone
            endpoints = sum(e.zone == zone for e in self._endpoints.values())
            log_event(
                EVACUATION_IN_FORCE,
                zone=zone,
                revision=item.version,
                endpoints=endpoints,
            )
        self._pools = None

    def _end_evacuation(self, name: str, revision: int | None = None) -> None:
        zone = self._evacuated.pop(name, None)
        if zone is not None:
            self._pools = None
            log_event(EVACUATION_ENDED, zone=zone, revision=revision)

    def _take_endpoint(self, item: ObjectVersion, now_s: float) -> None:
        name = item.name
        if item.value is None:
            self._remove(name, now_s)
            return
        endpoint = self._readers.read_endpoint(name, item.value)
        if self._must_hold(item, now_s):
            return
        self._expiry_grace.observe_present(name)
        self._leaving.observe(_make_report(endpoint, "object"))
        if self._leaving.is_leaving(name):
            endpoint = endpoint._replace(state="leaving")
        if self._endpoints.get(name) != endpoint:
            log_event(
                ENDPOINT_KNOWN,
                endpoint=name,
                address=endpoint.address,
                state=endpoint.state,
                software_version=endpoint.software_version,
                revision=item.version,
            )
        self._endpoints[name] = endpoint
        self._pools = None

    def observe_leaving_answer(self, endpoint: Endpoint) -> None:
        """Record that an endpoint's answer says that it is leaving.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint as it was known when its request was sent.
        """
        stated = endpoint._replace(state="leaving")
        self._observe_leaving(_make_report(stated, "endpoint"))

    def _observe_leaving(self, report: LeavingReport) -> None:
        if not self._leaving.observe(report):
            return
        log_event(ENDPOINT_LEAVING, **report._asdict())
        known = self._endpoints.get(report.endpoint)
        if known is not None:
            self._endpoints[known.name] = known._replace(state="leaving")
            self._pools = None

    def _remove(self, name: str, now_s: float) -> None:
        known = self._endpoints.get(name)
        is_confirmed = self._expiry_grace.is_settled(now_s)
        confirmed_era = self._find_era() if is_confirmed else None
        if known is None:
            self._ended_entries.observe_ended(name, confirmed_era)
            return
        if known.state == "live" and self._expiry_grace.observe_removed(name, now_s):
            log_event(ENDPOINT_HELD, endpoint=name)
            return
        self._drop(name, confirmed_era)

    def expire(self, now_s: float) -> None:
        """Apply the ends of all grace periods."""
        for item in self._ended_entries.release(self.find_known_s(now_s)):
            self.take(item, now_s)
        for name in self._expiry_grace.expire(now_s):
            self._drop(name)
        for name in self._evacuation_grace.expire(now_s):
            self._end_evacuation(name)

    def _drop(self, name: str, confirmed_era: int | None = None) -> None:
        self._ended_entries.observe_ended(name, confirmed_era)
        if self._endpoints.pop(name, None) is not None:
            self._pools = None
            log_event(ENDPOINT_GONE, endpoint=name)

    def list_endpoints(self) -> list[Endpoint]:
        """Return all known endpoints."""
        return list(self._endpoints.values())

    def find_endpoint(self, name: str) -> Endpoint | None:
        """Return an endpoint by its name, None if it is unknown."""
        return self._endpoints.get(name)

    def takes_work(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may still get requests where it was known to be.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint as it was when a request was placed.
        """
        known = self._endpoints.get(endpoint.name)
        if known is None or known.state != "live":
            return False
        is_there = known.address == endpoint.address
        return is_there and known.zone not in self.evacuated_zones

    def list_usable_endpoints(self) -> list[Endpoint]:
        """Return the known endpoints outside the evacuated zones."""
        if not self._knows_evacuations():
            return []
        evacuated = self.evacuated_zones
        return [e for e in self._endpoints.values() if e.zone not in evacuated]

    def find_pool(self, service: str) -> EndpointPool:
        """Return the endpoints of a service that may take new work."""
        return self._find_pools(service).live

    def find_full_pool(self, service: str) -> EndpointPool:
        """Return the endpoints of a service, including those that are leaving.

        Those of evacuated zones are missing: engines may not copy from them either.
        """
        return self._find_pools(service).all

    def list_pools(self) -> dict[str, EndpointPool]:
        """Return the endpoints that may take new work, by service."""
        return {name: pools.live for name, pools in self._get_pools().items()}

    def _find_pools(self, service: str) -> "_Pools":
        return self._get_pools().get(service, _NO_POOLS)

    def _get_pools(self) -> dict[str, "_Pools"]:
        if not self._knows_evacuations():
            return {}
        if self._pools is None:
            found: dict[str, list[Endpoint]] = {}
            for endpoint in self.list_usable_endpoints():
                for name in endpoint.serves:
                    found.setdefault(name, []).append(endpoint)
            self._pools = {name: _make_pools(all_) for name, all_ in found.items()}
        return self._pools

    def list_live(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that may take new work."""
        return list(self.find_pool(service).by_name.values())


class _Pools(NamedTuple):
    """Endpoints of one service: those that take new work, and all."""

    live: EndpointPool
    all: EndpointPool


def _make_report(endpoint: Endpoint, source: Source) -> LeavingReport:
    is_leaving = endpoint.state == "leaving"
    return LeavingReport(endpoint.name, source, is_leaving, endpoint.started_ms or 0)


def _make_pools(endpoints: list[Endpoint]) -> _Pools:
    live = make_pool(endpoints)
    is_same = len(live) == len(endpoints)
    return _Pools(live, live if is_same else EndpointPool(endpoints))


_NO_POOLS = _make_pools([])
