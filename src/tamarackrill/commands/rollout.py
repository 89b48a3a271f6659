"""Waits until the whole fleet has a version of the configuration in force.

Known routers are those of the platform's VM list and those that any of them names as
a member: the VM list lags, and a router that started a moment ago serves callers too.
"""

import asyncio
import time
from typing import Any, NamedTuple

from tornado.httpclient import AsyncHTTPClient

from tamarackrill.contracts import Vm
from tamarackrill.router_client import (
    Statuses,
    complete_of,
    fetch_statuses,
    list_members,
)

POLL_S = 0.2


class InForce(NamedTuple):
    """How far a version has come.

    Parameters
    ----------
    version : int
        The version waited for.
    reached : tuple of str
        Addresses of routers that have it in force.
    behind : tuple of str
        Addresses of routers that answer but hold an older one.
    silent : tuple of str
        Addresses of routers that did not answer.
    waited_s : float
        How long the wait took.
    """

    version: int
    reached: tuple[str, ...]
    behind: tuple[str, ...]
    silent: tuple[str, ...]
    waited_s: float

    @property
    def is_everywhere(self) -> bool:
        """Whether every known router has the version, and there is any router."""
        return bool(self.reached) and not self.behind and not self.silent


async def wait_in_force(
    client: AsyncHTTPClient, vms: tuple[Vm, ...], version: int, wait_max_s: float
) -> InForce:
    """Return once all known routers have a version in force, or after `wait_max_s`.

    Parameters
    ----------
    client : tornado.httpclient.AsyncHTTPClient
        Not owned.
    vms : tuple of Vm
        The platform's VM list.
    version : int
        Version of the object that was written.
    wait_max_s : float
        Longest wait.

    Returns
    -------
    InForce
    """
    start_s = time.monotonic()
    # A VM without an address for other routers runs none.
    known = {vm.address for vm in vms if vm.state == "live" and vm.peer_address}
    while True:
        if not known:
            return InForce(version, (), (), (), time.monotonic() - start_s)
        statuses = await fetch_statuses(client, sorted(known))
        named = {a for status in statuses.values() for a in list_members(status)}
        waited_s = time.monotonic() - start_s
        found = _sort(statuses, version, waited_s)
        unseen = named - known
        if (found.is_everywhere and not unseen) or waited_s >= wait_max_s:
            return found
        known |= unseen
        if not unseen:
            await asyncio.sleep(POLL_S)


def _sort(statuses: Statuses, version: int, waited_s: float) -> InForce:
    reached, behind, silent = [], [], []
    for address, status in statuses.items():
        if status is None:
            silent.append(address)
        elif _has_in_force(status, version):
            reached.append(address)
        else:
            behind.append(address)
    return InForce(version, tuple(reached), tuple(behind), tuple(silent), waited_s)


def _has_in_force(status: dict[str, Any], version: int) -> bool:
    # A router that can't read the contract holds it, but applies the one before.
    if any(item["version"] == version for item in status.get("faulty", ())):
        return False
    return complete_of(status) >= version
