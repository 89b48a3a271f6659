"""Gauges of a router on the platform, read at each scrape."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tamarackrill.router.edge_app import EdgeApplication


def add_gauges(router: EdgeApplication) -> None:
    """Add the gauges of a router, which has been started, to its metrics."""
    metrics, view = router.metrics, router.view
    metrics.add_gauge("ready", lambda: {"": float(router.is_ready())})
    metrics.add_gauge(
        "relayed_in_flight", lambda: {"": len(router.relay_server.in_flight)}
    )
    metrics.add_gauge(
        "relay_endpoints", lambda: dict(router.relays.paths.count_endpoints())
    )
    metrics.add_gauge("in_flight", lambda: {"": len(router.server.in_flight)})
    metrics.add_gauge(
        "request_bytes", lambda: {"": router.server.request_bytes.held_bytes}
    )
    metrics.add_gauge("repeats_left", router.flow.list_retries_left)
    metrics.add_gauge("endpoints", lambda: _count_endpoints(router))
    metrics.add_gauge("streams_known", lambda: dict(router.keepers.versions.count()))
    metrics.add_gauge("stream_versions", lambda: dict(router.keepers.counts))
    metrics.add_gauge("prompt_parts", lambda: dict(router.guard.faults.count()))
    metrics.add_gauge("probes", lambda: dict(router.flow.attempts.paths.probe_outcomes))
    metrics.add_gauge(
        "services_unreached",
        lambda: dict.fromkeys(router.cut_off.unreached_services, 1.0),
    )
    metrics.add_gauge("evacuated", lambda: {zone: 1.0 for zone in view.evacuated_zones})
    metrics.add_gauge("routers", lambda: {"": len(router.members.list_live())})
    metrics.add_gauge(
        "manifest_version",
        lambda: {"": view.routes.manifest.version} if view.routes else {},
    )
    metrics.add_gauge(
        "evidence_age_seconds",
        lambda: router.store_news.find_ages_s(router.clock()),
    )


def _count_endpoints(router: EdgeApplication) -> dict[str, float]:
    endpoints = router.view.list_endpoints()
    found: Counter[str] = Counter(endpoint.state for endpoint in endpoints)
    found["unreached"] = len(router.placer.reach.find_unreachable(endpoints))
    return dict(found)
