"""Contracts and endpoints in force at this router, read from the platform's objects."""

from collections.abc import Iterable
from typing import NamedTuple

from tamarackrill.contracts import (
    CONTRACT_KIND,
    ENDPOINT_KIND,
    Contract,
    Endpoint,
    Vm,
    read_contract,
    read_endpoint,
)
from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.decisions.leaving import LeavingEndpoints, LeavingReport
from tamarackrill.events import ENDPOINT_LEAVING, OBJECT_FAULTY, log_event
from tamarackrill.exceptions import FindingsError

_READERS = {CONTRACT_KIND: read_contract, ENDPOINT_KIND: read_endpoint}


class FaultyObject(NamedTuple):
    """An object that can't be read; the version before it stays in force."""

    kind: str
    name: str
    version: int
    message: str


class KnownObjects:
    """What the newest objects that can be read say.

    An object that someone wrote past the command line may be malformed.  Were it to
    end the task that follows the platform, no later change would come into force at
    any router, though all of them would go on answering.  So it is logged, shown in
    the status, and the version before it is kept.
    """

    def __init__(self) -> None:
        self._contracts: dict[str, Contract] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self._faulty: dict[tuple[str, str], FaultyObject] = {}
        self._leaving = LeavingEndpoints()
        # Endpoints as `list_endpoints` returns them; None once one has changed.
        self._listed: list[Endpoint] | None = None
        # Contract of each key's hash; None once a contract has changed.
        self._holders: dict[str, Contract] | None = None

    def take(self, item: ObjectVersion) -> None:
        """Put a newer version of an object in force, or a deletion."""
        reader = _READERS.get(item.kind)
        if reader is None:
            return
        self._holders = None
        self._listed = None
        known: dict = self._contracts if item.kind == CONTRACT_KIND else self._endpoints
        self._faulty.pop((item.kind, item.name), None)
        if item.value is None:
            known.pop(item.name, None)
            if item.kind == ENDPOINT_KIND:
                self._leaving.remove(item.name)
            return
        try:
            known[item.name] = reader(item.value)
            if item.kind == ENDPOINT_KIND:
                self._note_object(known[item.name])
        except FindingsError as error:
            message = "; ".join(finding.show() for finding in error.findings)
            faulty = FaultyObject(item.kind, item.name, item.version, message)
            self._faulty[item.kind, item.name] = faulty
            log_event(
                OBJECT_FAULTY,
                kind=item.kind,
                object=item.name,
                version=item.version,
                message=message,
            )

    def find_contract(self, team: str) -> Contract | None:
        """Return the contract of a team, or None if there is none in force."""
        return self._contracts.get(team)

    def find_holder(self, key_hash: str) -> Contract | None:
        """Return the contract that holds a key, by the key's hash.

        If two contracts hold it, the first by name is taken, at every router alike.
        """
        if self._holders is None:
            ordered = sorted(self._contracts.items(), reverse=True)
            self._holders = {
                known: contract
                for _, contract in ordered
                for known in contract.key_hashes
            }
        return self._holders.get(key_hash)

    def list_contracts(self) -> list[Contract]:
        """Return the contracts in force."""
        return list(self._contracts.values())

    def list_endpoints(self) -> list[Endpoint]:
        """Return the endpoints known now; one that leaves by any news says so."""
        if self._listed is None:
            self._listed = [
                endpoint._replace(state="leaving")
                if self._leaving.is_leaving(endpoint.name)
                else endpoint
                for endpoint in self._endpoints.values()
            ]
        return self._listed

    def update_vm_list(self, vms: Iterable[Vm]) -> None:
        """Take the platform's list, which may call the VM of an endpoint leaving.

        An endpoint whose VM is not listed is left as it is: the list lags, and the
        VM of a new endpoint may not be on it yet.
        """
        states = {vm.name: vm.state for vm in vms}
        for endpoint in self._endpoints.values():
            state = states.get(endpoint.vm or endpoint.name)
            if state is not None:
                news = LeavingReport(endpoint.name, "vm_list", state == "leaving")
                self._observe(news)

    def _note_object(self, endpoint: Endpoint) -> None:
        is_leaving = endpoint.state == "leaving"
        self._observe(LeavingReport(endpoint.name, "object", is_leaving))

    def _observe(self, news: LeavingReport) -> None:
        if self._leaving.observe(news):
            self._listed = None
            log_event(ENDPOINT_LEAVING, **news._asdict())

    def list_faulty(self) -> list[FaultyObject]:
        """Return the objects that can't be read, by kind and name."""
        return sorted(self._faulty.values())
