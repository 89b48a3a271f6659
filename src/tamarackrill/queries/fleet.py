"""Queries about routers and endpoints."""

from typing import Any, NamedTuple

from tornado.httpclient import AsyncHTTPClient

from tamarackrill.contracts import CONTRACT_KIND, ENDPOINT_KIND, read_endpoint
from tamarackrill.exceptions import FindingsError, RouterUnavailable
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.router_client import (
    Statuses,
    fetch_statuses,
    get_complete_revision,
    list_live_members,
)


class RouterRow(NamedTuple):
    """Status of one router, as the platform and its peers see it.

    Parameters
    ----------
    address : str
        ``host:port`` for clients.
    router, zone : str
        Name and zone that it reports; empty if it does not answer.
    state : {"answers", "silent"}
        Whether it answered this query.
    listed : bool
        Whether it is in the platform's VM list.
    behind : int or None
        Number of contract revisions that it has yet to apply.
    in_flight : int or None
        Number of calls in progress.
    unseen_by : tuple of str
        Routers that answer but don't report it as an alive member.
    """

    address: str
    router: str
    zone: str
    state: str
    listed: bool
    behind: int | None
    in_flight: int | None
    unseen_by: tuple[str, ...]


class EndpointRow(NamedTuple):
    """One endpoint object; `fault` describes an invalid one."""

    name: str
    kind: str
    serves: str
    address: str
    zone: str
    state: str
    slots: int
    fault: str = ""


async def list_routers(
    platform: PlatformClient, client: AsyncHTTPClient
) -> list[RouterRow]:
    """Return all routers in the VM list and those that routers report as members."""
    vms = [vm for vm in await platform.list_vms() if vm.peer_address]
    listing = await platform.list(CONTRACT_KIND)
    newest_revision = max((item.version for item in listing.items), default=0)
    listed = {vm.address for vm in vms}
    statuses = await fetch_statuses(client, sorted(listed))
    member_addresses = {
        a for status in statuses.values() for a in list_live_members(status)
    }
    statuses |= await fetch_statuses(client, sorted(member_addresses - listed))
    return [
        _describe_router(address, statuses, address in listed, newest_revision)
        for address in sorted(statuses)
    ]


async def list_endpoints(platform: PlatformClient) -> list[EndpointRow]:
    """Return the endpoint objects of the platform, including invalid ones."""
    listing = await platform.list(ENDPOINT_KIND)
    return sorted(_describe_endpoint(item.name, item.value) for item in listing.items)


async def pick_router(platform: PlatformClient) -> str:
    """Return the address of the first live router in the VM list.

    Raises
    ------
    RouterUnavailable
        If the list has no live router.
    """
    for vm in await platform.list_vms():
        if vm.state == "live" and vm.peer_address:
            return vm.address
    raise RouterUnavailable("the VM list has no live router", "pass --router")


def _describe_router(
    address: str,
    statuses: Statuses,
    is_listed: bool,
    newest_revision: int,
) -> RouterRow:
    status = statuses[address]
    unseen_by = tuple(
        other.get("router", name)
        for name, other in statuses.items()
        if other and name != address and address not in list_live_members(other)
    )
    if status is None:
        return RouterRow(address, "", "", "silent", is_listed, None, None, unseen_by)
    return RouterRow(
        address,
        status.get("router", ""),
        status.get("zone", ""),
        "answers",
        is_listed,
        max(0, newest_revision - get_complete_revision(status)),
        status.get("in_flight"),
        unseen_by,
    )


def _describe_endpoint(name: str, value: Any) -> EndpointRow:
    try:
        endpoint = read_endpoint(value)
    except FindingsError as error:
        fault = "; ".join(finding.show() for finding in error.findings)
        return EndpointRow(name, "", "", "", "", "faulty", 0, fault)
    return EndpointRow(
        endpoint.name,
        endpoint.kind,
        ",".join(endpoint.serves),
        endpoint.address,
        endpoint.zone,
        endpoint.state,
        endpoint.slots,
    )
