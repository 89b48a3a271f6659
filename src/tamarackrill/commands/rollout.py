"""Waits until the whole fleet applies a version of the configuration.

The routers of the fleet are those of the platform's VM list and those that any of them
reports as a member: the VM list lags, and a newly started router serves callers too.
"""

import asyncio
import time
from typing import Any, NamedTuple

from tornado.httpclient import AsyncHTTPClient

from tamarackrill.contracts import CONTRACT_KIND, Vm
from tamarackrill.router_client import (
    Statuses,
    fetch_statuses,
    get_complete_revision,
    list_live_members,
)

POLL_INTERVAL_S = 0.2


class RolloutStatus(NamedTuple):
    """Progress of the rollout of a version.

    Parameters
    ----------
    version : int
        Version to roll out.
    reached : tuple of str
        Addresses of routers that apply it.
    behind : tuple of str
        Addresses of routers that answer but apply an older one.
    silent : tuple of str
        Addresses of routers that did not answer.
    waited_s : float
        Duration of the wait.
    """

    version: int
    reached: tuple[str, ...]
    behind: tuple[str, ...]
    silent: tuple[str, ...]
    waited_s: float

    @property
    def is_complete(self) -> bool:
        """Whether there is a router and every known router applies the version."""
        return bool(self.reached) and not self.behind and not self.silent


async def wait_for_rollout(
    client: AsyncHTTPClient,
    vms: tuple[Vm, ...],
    version: int,
    wait_max_s: float,
    kind: str = CONTRACT_KIND,
) -> RolloutStatus:
    """Wait until all known routers apply a version, for at most `wait_max_s`.

    Parameters
    ----------
    client : tornado.httpclient.AsyncHTTPClient
        HTTP client; the caller closes it.
    vms : tuple of Vm
        The platform's VM list.
    version : int
        Version of the object that was written.
    wait_max_s : float
        Maximum wait.
    kind : str, optional
        Kind of the object.

    Returns
    -------
    RolloutStatus
    """
    start_s = time.monotonic()
    # A VM without a peer address runs no router.
    known_addresses = {
        vm.address for vm in vms if vm.state == "live" and vm.peer_address
    }
    while True:
        if not known_addresses:
            return RolloutStatus(version, (), (), (), time.monotonic() - start_s)
        statuses = await fetch_statuses(client, sorted(known_addresses))
        member_addresses = {
            a for status in statuses.values() for a in list_live_members(status)
        }
        waited_s = time.monotonic() - start_s
        rollout = _classify_routers(statuses, version, kind, waited_s)
        new_addresses = member_addresses - known_addresses
        if (rollout.is_complete and not new_addresses) or waited_s >= wait_max_s:
            return rollout
        known_addresses |= new_addresses
        if not new_addresses:
            await asyncio.sleep(POLL_INTERVAL_S)


def _classify_routers(
    statuses: Statuses, version: int, kind: str, waited_s: float
) -> RolloutStatus:
    reached, behind, silent = [], [], []
    for address, status in statuses.items():
        if status is None:
            silent.append(address)
        elif _has_applied(status, version, kind):
            reached.append(address)
        else:
            behind.append(address)
    return RolloutStatus(
        version, tuple(reached), tuple(behind), tuple(silent), waited_s
    )


def _has_applied(status: dict[str, Any], version: int, kind: str) -> bool:
    # A router that finds the new object faulty keeps applying the previous one.
    if any(item["version"] == version for item in status.get("faulty", ())):
        return False
    return get_complete_revision(status, kind) >= version
