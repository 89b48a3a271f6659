"""Queries about routers and endpoints."""

from typing import Any, NamedTuple

from tornado.httpclient import AsyncHTTPClient

from tamarackrill.contracts import CONTRACT_KIND, ENDPOINT_KIND, read_endpoint
from tamarackrill.exceptions import FindingsError, RouterUnavailable
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.router_client import (
    Statuses,
    complete_of,
    fetch_statuses,
    list_members,
)


class RouterLine(NamedTuple):
    """One router, as the platform and its peers see it.

    Parameters
    ----------
    address : str
        ``host:port`` for callers.
    router, zone : str
        Its own name and zone; empty if it does not answer.
    state : {"answers", "silent"}
        Whether it answered this query.
    listed : bool
        Whether the platform's VM list has it.
    behind : int or None
        Revisions of contracts that it still has to apply.
    in_flight : int or None
        Calls that it works on.
    unseen_by : tuple of str
        Routers that answer but don't count it among their live members.
    """

    address: str
    router: str
    zone: str
    state: str
    listed: bool
    behind: int | None
    in_flight: int | None
    unseen_by: tuple[str, ...]


class EndpointLine(NamedTuple):
    """One endpoint object, or what is wrong with it."""

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
) -> list[RouterLine]:
    """Return every router that the VM list or any router names."""
    vms = [vm for vm in await platform.list_vms() if vm.peer_address]
    listing = await platform.list(CONTRACT_KIND)
    newest = max((item.version for item in listing.items), default=0)
    listed = {vm.address for vm in vms}
    statuses = await fetch_statuses(client, sorted(listed))
    named = {a for status in statuses.values() for a in list_members(status)}
    statuses |= await fetch_statuses(client, sorted(named - listed))
    return [
        _describe(address, statuses, address in listed, newest)
        for address in sorted(statuses)
    ]


async def list_endpoints(platform: PlatformClient) -> list[EndpointLine]:
    """Return the endpoint objects of the platform, faulty ones included."""
    listing = await platform.list(ENDPOINT_KIND)
    return sorted(_read_line(item.name, item.value) for item in listing.items)


async def pick_router(platform: PlatformClient) -> str:
    """Return the address of a router of the VM list.

    Raises
    ------
    RouterUnavailable
        If the list names no live one.
    """
    for vm in await platform.list_vms():
        if vm.state == "live" and vm.peer_address:
            return vm.address
    raise RouterUnavailable("the VM list names no live router", "give --router")


def _describe(
    address: str,
    statuses: Statuses,
    is_listed: bool,
    newest: int,
) -> RouterLine:
    status = statuses[address]
    unseen_by = tuple(
        other.get("router", name)
        for name, other in statuses.items()
        if other and name != address and address not in list_members(other)
    )
    if status is None:
        return RouterLine(address, "", "", "silent", is_listed, None, None, unseen_by)
    return RouterLine(
        address,
        status.get("router", ""),
        status.get("zone", ""),
        "answers",
        is_listed,
        max(0, newest - complete_of(status)),
        status.get("in_flight"),
        unseen_by,
    )


def _read_line(name: str, value: Any) -> EndpointLine:
    try:
        endpoint = read_endpoint(value)
    except FindingsError as error:
        fault = "; ".join(finding.show() for finding in error.findings)
        return EndpointLine(name, "", "", "", "", "faulty", 0, fault)
    return EndpointLine(
        endpoint.name,
        endpoint.kind,
        ",".join(endpoint.serves),
        endpoint.address,
        endpoint.zone,
        endpoint.state,
        endpoint.slots,
    )
