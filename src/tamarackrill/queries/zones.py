"""Queries about availability zones."""

from collections import Counter
from typing import NamedTuple

from tornado.httpclient import AsyncHTTPClient

from tamarackrill.contracts import EVACUATION_KIND
from tamarackrill.queries.fleet import list_endpoints
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.router_client import Statuses, fetch_statuses


class ZoneRow(NamedTuple):
    """One availability zone.

    Parameters
    ----------
    zone : str
        Name of the zone.
    endpoints : int
        Endpoints that are registered there.
    evacuated_since : int or None
        Version of the object that evacuates the zone; None if it is in use.
    in_force_at : int
        Routers that keep new work away from the zone.
    routers : int
        Routers that answered.
    running : int
        Calls that run at the zone's endpoints, at all these routers.
    """

    zone: str
    endpoints: int
    evacuated_since: int | None
    in_force_at: int
    routers: int
    running: int


async def list_zones(
    platform: PlatformClient, client: AsyncHTTPClient
) -> list[ZoneRow]:
    """Return the zones that have endpoints or are evacuated."""
    endpoints = Counter(
        row.zone for row in await list_endpoints(platform) if row.state != "faulty"
    )
    listing = await platform.list(EVACUATION_KIND)
    evacuated = {item.name: item.version for item in listing.items}
    vms = await platform.list_vms()
    addresses = sorted(vm.address for vm in vms if vm.peer_address)
    statuses = await fetch_statuses(client, addresses)
    return [
        _describe_zone(zone, endpoints[zone], evacuated.get(zone), statuses)
        for zone in sorted(endpoints.keys() | evacuated.keys())
    ]


def _describe_zone(
    zone: str, endpoints: int, evacuated_since: int | None, statuses: Statuses
) -> ZoneRow:
    answers = [status for status in statuses.values() if status]
    running = sum(
        endpoint["running"]
        for status in answers
        for endpoint in status["endpoints"]
        if endpoint["zone"] == zone
    )
    in_force_at = sum(zone in status.get("evacuated", ()) for status in answers)
    return ZoneRow(zone, endpoints, evacuated_since, in_force_at, len(answers), running)
