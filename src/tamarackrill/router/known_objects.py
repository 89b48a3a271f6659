"""Contracts, endpoints and evacuated zones in force at this router."""

from collections.abc import Iterable
from typing import NamedTuple

from tamarackrill.contracts import (
    CONTRACT_KIND,
    ENDPOINT_KIND,
    EVACUATION_KIND,
    Contract,
    Endpoint,
    Vm,
    read_contract,
    read_endpoint,
)
from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.decisions.leaving import LeavingEndpoints, LeavingReport
from tamarackrill.events import (
    ENDPOINT_LEAVING,
    EVACUATION_ENDED,
    EVACUATION_IN_FORCE,
    OBJECT_FAULTY,
    log_event,
)
from tamarackrill.exceptions import Finding, FindingsError

_READERS = {CONTRACT_KIND: read_contract, ENDPOINT_KIND: read_endpoint}


class FaultyObject(NamedTuple):
    """An object that can't be read; its previous version stays in force."""

    kind: str
    name: str
    version: int
    message: str


class KnownObjects:
    """Contracts, endpoints and evacuated zones by their newest readable versions.

    An object that was not written with the command line may be malformed.  If it ended
    the task that watches the platform, no later change would come into force at any
    router, while all of them kept answering.  Therefore it is logged and shown in the
    status, and its previous version stays in force.
    """

    def __init__(self) -> None:
        self._contracts: dict[str, Contract] = {}
        self._endpoints: dict[str, Endpoint] = {}
        # Versions of the objects that evacuate availability zones, by zone.
        self._evacuated: dict[str, int] = {}
        self._faulty: dict[tuple[str, str], FaultyObject] = {}
        self._leaving = LeavingEndpoints()
        # Cached result of `list_endpoints`; None after a change.
        self._listed: list[Endpoint] | None = None
        # Cached index of the contracts by key hash; None after a change.
        self._contract_by_key_hash: dict[str, Contract] | None = None

    def take(self, item: ObjectVersion) -> None:
        """Put a newer version of an object, or its deletion, in force."""
        if item.kind not in (*_READERS, EVACUATION_KIND):
            return
        self._contract_by_key_hash = None
        self._listed = None
        self._faulty.pop((item.kind, item.name), None)
        try:
            if item.kind == EVACUATION_KIND:
                self._take_evacuation(item)
            else:
                self._take_object(item)
        except Exception as error:
            message = repr(error)
            if isinstance(error, FindingsError):
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

    def _take_object(self, item: ObjectVersion) -> None:
        objects: dict = (
            self._contracts if item.kind == CONTRACT_KIND else self._endpoints
        )
        if item.value is None:
            objects.pop(item.name, None)
            if item.kind == ENDPOINT_KIND:
                self._leaving.remove(item.name)
            return
        objects[item.name] = _READERS[item.kind](item.value)
        if item.kind == ENDPOINT_KIND:
            self._observe_object_state(objects[item.name])

    def _take_evacuation(self, item: ObjectVersion) -> None:
        zone = item.name
        if item.value is None:
            if self._evacuated.pop(zone, None) is not None:
                log_event(EVACUATION_ENDED, zone=zone, revision=item.version)
            return
        if not isinstance(item.value, dict):
            raise FindingsError([Finding(zone, "expected an object")])
        self._evacuated[zone] = item.version
        log_event(
            EVACUATION_IN_FORCE,
            zone=zone,
            revision=item.version,
            endpoints=sum(e.zone == zone for e in self._endpoints.values()),
        )

    def list_evacuated(self) -> dict[str, int]:
        """Return the evacuated zones, with the versions of their objects."""
        return dict(self._evacuated)

    def find_contract(self, team: str) -> Contract | None:
        """Return the contract of a team, or None if there is none in force."""
        return self._contracts.get(team)

    def find_holder(self, key_hash: str) -> Contract | None:
        """Return the contract with a key, by the key's hash.

        If several contracts have it, all routers choose the first one by name.
        """
        if self._contract_by_key_hash is None:
            ordered = sorted(self._contracts.items(), reverse=True)
            self._contract_by_key_hash = {
                key_hash: contract
                for _, contract in ordered
                for key_hash in contract.key_hashes
            }
        return self._contract_by_key_hash.get(key_hash)

    def list_contracts(self) -> list[Contract]:
        """Return the contracts in force."""
        return list(self._contracts.values())

    def list_endpoints(self) -> list[Endpoint]:
        """Return the endpoints.

        Those that any source reports as leaving, or whose zone is evacuated, are
        leaving: they get no new work, and what they run goes on.
        """
        if self._listed is None:
            self._listed = [
                endpoint._replace(state="leaving")
                if self._leaving.is_leaving(endpoint.name)
                or endpoint.zone in self._evacuated
                else endpoint
                for endpoint in self._endpoints.values()
            ]
        return self._listed

    def update_vm_list(self, vms: Iterable[Vm]) -> None:
        """Apply the platform's VM list, which may show an endpoint's VM as leaving.

        An endpoint whose VM is not listed stays unchanged, because the list lags and
        the VM of a new endpoint may still be missing.
        """
        states = {vm.name: vm.state for vm in vms}
        for endpoint in self._endpoints.values():
            state = states.get(endpoint.vm or endpoint.name)
            if state is not None:
                report = LeavingReport(endpoint.name, "vm_list", state == "leaving")
                self._observe_report(report)

    def _observe_object_state(self, endpoint: Endpoint) -> None:
        is_leaving = endpoint.state == "leaving"
        self._observe_report(LeavingReport(endpoint.name, "object", is_leaving))

    def _observe_report(self, report: LeavingReport) -> None:
        if self._leaving.observe(report):
            self._listed = None
            log_event(ENDPOINT_LEAVING, **report._asdict())

    def list_faulty(self) -> list[FaultyObject]:
        """Return the objects that can't be read, by kind and name."""
        return sorted(self._faulty.values())
