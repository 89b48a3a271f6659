"""Tracks which endpoints are cold, from their entries and from what happens to them."""

from collections.abc import Callable

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.cold_endpoints import (
    ColdEndpoint,
    ColdEndpoints,
    ColdTerms,
    ColdTolerance,
    list_cold_terms,
)
from tamarackrill.events import ENDPOINT_COLD, ENDPOINT_COLD_TOO_LONG, log_event
from tamarackrill.router.deployment_view import DeploymentView


class ColdMonitor:
    """Tracks cold endpoints; see `decisions.cold_endpoints`.

    Parameters
    ----------
    view : DeploymentView
        Current services, endpoints and evacuated zones.
    tolerance : ColdTolerance
        How far the request rate at a cold endpoint may exceed what its service states.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        view: DeploymentView,
        tolerance: ColdTolerance,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._tolerance = tolerance
        self._clock = clock
        self._cold = ColdEndpoints()
        self._evacuated: frozenset[str] = frozenset()

    def update(self) -> None:
        """Process the current entries and evacuated zones."""
        if self._view.routes is None:
            # The entries may arrive before the manifest, which says what they mean.
            return
        now_s = self._clock()
        terms = self._list_terms()
        endpoints = self._view.list_endpoints()
        found = self._cold.observe_entries(endpoints, terms, now_s)
        returned = self._evacuated - self._view.evacuated_zones
        self._evacuated = self._view.evacuated_zones
        for endpoint in endpoints:
            if endpoint.zone in returned:
                found += self._cold.observe_return(endpoint, "evacuation", terms, now_s)
        _log(found)

    def observe_reached(self, endpoint: Endpoint) -> None:
        """Record that an unreachable endpoint can be reached again."""
        terms = self._list_terms()
        _log(self._cold.observe_return(endpoint, "returned", terms, self._clock()))

    def is_cold(self, endpoint: str) -> bool:
        """Return whether an endpoint is cold."""
        return self._cold.is_cold(endpoint, self._clock())

    def find_cold(self) -> set[str]:
        """Return the endpoints that are cold."""
        return self._cold.find_cold(self._clock())

    def find_terms(self, name: str) -> tuple[Endpoint, ColdTerms] | None:
        """Return an endpoint and the terms of its service; None if it has none."""
        endpoint = self._view.find_endpoint(name)
        terms = self._list_terms()
        if endpoint is None or endpoint.serves[0] not in terms:
            return None
        return endpoint, terms[endpoint.serves[0]]

    def _list_terms(self) -> dict[str, ColdTerms]:
        table = self._view.routes
        services = () if table is None else table.manifest.services
        return list_cold_terms(services, self._tolerance)


def _log(found: list[ColdEndpoint]) -> None:
    for cold in found:
        log_event(
            ENDPOINT_COLD,
            endpoint=cold.endpoint,
            cold_s=round(cold.cold_s, 3),
            source=cold.source,
        )
        if cold.stated_s > cold.cold_s:
            log_event(
                ENDPOINT_COLD_TOO_LONG,
                endpoint=cold.endpoint,
                cold_s=cold.stated_s,
                cold_max_s=cold.cold_s,
            )
