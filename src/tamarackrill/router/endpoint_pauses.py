"""Finds the endpoints that are paused because many routers see them fail."""

import math

from tamarackrill.decisions.fleet_health import FleetHealth
from tamarackrill.decisions.loads import Loads
from tamarackrill.decisions.pools import EndpointPool
from tamarackrill.events import ENDPOINT_PAUSED, POOL_FAILING, log_event

# Failure reports arrive in batches at twice this interval.
EVALUATION_INTERVAL_S = 0.05
POOL_LOG_INTERVAL_S = 1.0


class EndpointPauses:
    """Evaluates the failures of each service's endpoints at intervals.

    Parameters
    ----------
    fleet_health : FleetHealth
        Failures that all routers have reported.
    loads : Loads
        Load estimates.
    """

    def __init__(self, fleet_health: FleetHealth, loads: Loads) -> None:
        self._fleet_health = fleet_health
        self._loads = loads
        # When the failures of a service's endpoints were last evaluated, and logged.
        self._evaluated_s: dict[str, float] = {}
        self._logged_s: dict[str, float] = {}

    def find(self, service: str, pool: EndpointPool, now_s: float) -> set[str]:
        """Return the endpoints of a service's pool that are paused."""
        if self._fleet_health.has_no_failures:
            return set()
        if now_s >= self._evaluated_s.get(service, -math.inf) + EVALUATION_INTERVAL_S:
            self._evaluated_s[service] = now_s
            self._evaluate(service, pool, now_s)
        if self._fleet_health.has_no_pauses:
            return set()
        slots = {name: endpoint.slots for name, endpoint in pool.by_name.items()}
        in_flight = self._loads.summarize(slots, now_s).total
        return self._fleet_health.find_paused(slots, in_flight, now_s)

    def _evaluate(self, service: str, pool: EndpointPool, now_s: float) -> None:
        is_due = now_s >= self._logged_s.get(service, -math.inf) + POOL_LOG_INTERVAL_S
        if is_due and self._fleet_health.has_evidence:
            self._log_failing(service, pool, now_s)
        for name in self._fleet_health.pause_failing(pool.by_name, now_s):
            log_event(ENDPOINT_PAUSED, endpoint=name, service=service)

    def _log_failing(self, service: str, pool: EndpointPool, now_s: float) -> None:
        known = self._fleet_health.describe(pool.by_name, now_s)
        if known.failing:
            self._logged_s[service] = now_s
            log_event(
                POOL_FAILING,
                service=service,
                endpoints=known.endpoints,
                failing=known.failing,
                paused=known.paused,
                failed_most=known.failed_most,
                failed_mean=round(known.failed_mean, 2),
            )
