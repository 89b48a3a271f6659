"""Objects that the fleet reads: contracts, endpoints, evacuations and VMs.

Operators write contracts, from which every limit that the fleet applies to a team is
derived, and evacuations of availability zones.  Endpoints register themselves, and the
platform maintains the VM list.

The published schemas are contract.schema.json and endpoint.schema.json, next to this
module.  An operator's file is validated strictly (`check_contract`).  A router ignores
unknown fields (`read_contract`), so that during a rolling upgrade it can read what a
newer command line wrote.
"""

import hashlib
import json
from collections.abc import Iterable, Iterator
from functools import cache
from typing import Any, Literal, NamedTuple, get_args

from tamarackrill.decisions.addresses import is_valid, read_address, read_router_address
from tamarackrill.documents import Document, FieldPath
from tamarackrill.exceptions import Finding, FindingsError
from tamarackrill.lenient_json import is_sound

CONTRACT_KIND = "contract"
ENDPOINT_KIND = "endpoint"
CLAIM_KIND = "claim"
# Objects named like availability zones; their values have no fields.
EVACUATION_KIND = "evacuation"
CONTRACT_FORMAT = "tamarackrill/contract/v1"

EndpointKind = Literal["engine", "service"]
EndpointState = Literal["live", "leaving"]
VmState = Literal["live", "leaving"]


class CallPattern(NamedTuple):
    """Matches calls to a service by method (``*`` for any) and path prefix."""

    service: str
    method: str
    path_prefix: str


class Contract(NamedTuple):
    """Access rights, limits and defaults of one team.

    Parameters
    ----------
    team : str
        Name of the team, and of its object on the platform.
    key_hashes : tuple of str
        Hexadecimal SHA-256 hash of each accepted key.
    models, services : tuple of str
        Models and services that the team may call.
    weight : int
        Share of a contended endpoint pool, relative to other teams.
    priority : int
        Default priority among the team's own requests; higher is served first.
    rate_per_s, rate_burst : float
        Requests per second across the fleet, and the burst size.
    in_flight_max : int
        Requests queued or at endpoints, across the fleet.
    tokens_per_s, tokens_burst : float
        Generated tokens per second across the fleet, and the burst size.
    deadline_s, deadline_max_s : float
        Default deadline, and the longest one that a request may set.
    non_idempotent : tuple of CallPattern
        Calls that run at most once; they require an ``Idempotency-Key``.
    answers_kept_s : float
        How long a response is kept for retries.
    """

    team: str
    key_hashes: tuple[str, ...]
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    weight: int = 1
    rate_per_s: float = 100.0
    rate_burst: float = 100.0
    in_flight_max: int = 100
    tokens_per_s: float = 100_000.0
    tokens_burst: float = 200_000.0
    deadline_s: float = 30.0
    deadline_max_s: float = 300.0
    non_idempotent: tuple[CallPattern, ...] = ()
    answers_kept_s: float = 60.0
    priority: int = 0


class Endpoint(NamedTuple):
    """One endpoint: a model engine or a worker of a plain service.

    Parameters
    ----------
    name : str
        Unique name.
    kind : {"engine", "service"}
        Model engine, or worker of a plain service.
    serves : tuple of str
        Models of an engine, or the name of the one service.
    address : str
        ``host:port`` with an IP address as the host.
    zone : str
        Availability zone.
    state : {"live", "leaving"}
        A leaving endpoint gets no new requests.
    slots : int
        Requests processed concurrently; load is counted in requests.
    models_max : int
        Maximum number of models that an engine can have loaded, which may exceed
        the number that it serves now.
    vm : str
        Name of its VM on the platform's list; empty if the VM is the endpoint's own.
    started_ms : int or None
        Start time of its process in ms since the epoch, by its own clock; None if
        not reported.
    cold_s : float
        How long it remained cold, so that it tolerates few requests per second, when
        its entry was written.
    software_version : str
        Version of its software, not of a model's weights; empty if not reported.
    """

    name: str
    kind: EndpointKind
    serves: tuple[str, ...]
    address: str
    zone: str
    state: EndpointState = "live"
    slots: int = 8
    models_max: int = 1
    vm: str = ""
    started_ms: int | None = None
    cold_s: float = 0.0
    software_version: str = ""


class Vm(NamedTuple):
    """One entry of the platform's VM list, which may be out of date.

    Parameters
    ----------
    name : str
        Name of the VM.
    address : str
        ``host:port`` for clients.
    zone : str
        Availability zone.
    state : {"live", "leaving"}
        Last state that the platform observed.
    peer_address : str
        ``host:port`` for other routers; empty for a VM that runs no router.
    """

    name: str
    address: str
    zone: str
    state: VmState = "live"
    peer_address: str = ""


def hash_key(key: str) -> str:
    """Return the hash of a team's key as stored in `Contract.key_hashes`."""
    return hashlib.sha256(key.encode()).hexdigest()


def read_contract(value: Any) -> Contract:
    """Build a contract from the value of a stored object.

    Parameters
    ----------
    value : dict
        JSON value of an object of kind ``contract``.  Unknown fields are ignored.

    Returns
    -------
    Contract

    Raises
    ------
    FindingsError
        If a known field is missing, malformed or out of range.
    """
    if isinstance(value, dict):
        value = {"format": CONTRACT_FORMAT, **value}
    findings = _validate("contract", Document("contract", value, {}), strict=False)
    if findings:
        raise FindingsError(findings)
    return _build_contract(value)


def check_contract(document: Document) -> Contract:
    """Validate an operator's file and return its contract.

    Parameters
    ----------
    document : Document
        The parsed file.

    Returns
    -------
    Contract

    Raises
    ------
    FindingsError
        Lists all errors in the file, including unknown fields, with their lines.
    """
    findings = [*document.findings]
    findings.extend(_validate("contract", document, strict=True))
    if findings:
        raise FindingsError(findings)
    return _build_contract(document.value)


def check_contracts(documents: list[Document]) -> list[Contract]:
    """Validate several files together and return their contracts.

    Raises
    ------
    FindingsError
        Lists the errors of all files, including duplicate teams and keys.
    """
    findings: list[Finding] = []
    contracts: list[Contract] = []
    seen: dict[str, str] = {}
    for document in documents:
        try:
            contract = check_contract(document)
        except FindingsError as error:
            findings.extend(error.findings)
            continue
        contracts.append(contract)
        findings.extend(_find_duplicates(document, contract, seen))
    if findings:
        raise FindingsError(findings)
    return contracts


def read_endpoint(value: Any) -> Endpoint:
    """Build an endpoint from the value of a stored object.

    Raises
    ------
    FindingsError
        If a known field is missing, malformed or out of range.
    """
    findings = _validate("endpoint", Document("endpoint", value, {}), strict=False)
    if not findings and not is_valid(read_address, value["address"]):
        findings.append(Finding("endpoint: address", "is not a valid IP:port"))
    if findings:
        raise FindingsError(findings)
    fields = {name: value[name] for name in Endpoint._fields if name in value}
    fields["serves"] = tuple(value["serves"])
    return Endpoint(**fields)


def read_vm(value: Any) -> Vm:
    """Build an entry of the VM list from its JSON value; unknown fields are ignored.

    Raises
    ------
    TypeError, ValueError
        If a field is missing or invalid.
    """
    if not isinstance(value, dict) or not is_sound(value):
        raise TypeError("expected an object that can be encoded")
    fields = {name: value[name] for name in Vm._fields if name in value}
    vm = Vm(**fields)
    if not all(isinstance(text, str) for text in vm):
        raise TypeError("each field must be a string")
    if not vm.name or vm.state not in get_args(VmState):
        raise ValueError("the name or the state is invalid")
    for address in filter(None, (vm.address, vm.peer_address)):
        read_router_address(address)
    return vm


def load_schema(kind: str) -> dict[str, Any]:
    """Return the published schema of ``"contract"`` or ``"endpoint"``."""
    # Imported late: takes 15 ms; a router without contracts never needs it.
    from importlib import resources

    file = resources.files("tamarackrill").joinpath(f"{kind}.schema.json")
    return json.loads(file.read_text(encoding="utf-8"))


def _build_contract(value: dict[str, Any]) -> Contract:
    fields = {name: value[name] for name in Contract._fields if name in value}
    for name in ("key_hashes", "models", "services"):
        fields[name] = tuple(value.get(name, ()))
    patterns = value.get("non_idempotent", ())
    fields["non_idempotent"] = tuple(
        CallPattern(item["service"], item["method"], item["path_prefix"])
        for item in patterns
    )
    return Contract(**fields)


def _find_close_matches(name: str, known: Iterable[str]) -> list[str]:
    # Imported late: only needed for an invalid file.
    import difflib

    return difflib.get_close_matches(name, list(known), n=1)


@cache
def _make_validator(kind: str) -> Any:
    # Imported late: takes 60 ms and 9 MB; a router without contracts never needs it.
    import jsonschema

    return jsonschema.Draft202012Validator(load_schema(kind))


def _validate(kind: str, document: Document, strict: bool) -> list[Finding]:
    findings: list[Finding] = []
    for error in _make_validator(kind).iter_errors(document.value):
        if error.validator == "additionalProperties":
            findings.extend(_find_unknown_fields(document, error) if strict else ())
        else:
            place = document.place(tuple(error.absolute_path))
            findings.append(Finding(place, _describe_error(error)))
    if not findings and kind == "contract":
        findings.extend(_find_inconsistencies(document))
    return findings


def _find_unknown_fields(document: Document, error: Any) -> Iterator[Finding]:
    known = error.schema["properties"]
    for name in error.instance:
        if name in known:
            continue
        matches = _find_close_matches(name, known)
        hint = f"did you mean {matches[0]!r}?" if matches else ""
        place = document.place((*error.absolute_path, name))
        yield Finding(place, "unknown field", hint)


def _describe_error(error: Any) -> str:
    unit = error.schema.get("unit")
    suffix = f" {unit}" if unit else ""
    # An operator may paste the key itself instead of its hash.  Findings are printed
    # and logged, so they must not contain the value.
    secret = "key_hashes" in error.absolute_path
    shown = "the value" if secret else _truncate(error.instance)
    match error.validator:
        case "minimum":
            return f"{shown} is below the minimum of {error.validator_value}{suffix}"
        case "maximum":
            return f"{shown} is above the maximum of {error.validator_value}{suffix}"
        case "required":
            missing = error.message.split("'")[1]
            return f"field {missing!r} is missing"
        case "pattern":
            expected = error.schema.get("description") or error.validator_value
            return f"{shown} does not match the expected format: {expected}"
        case "minItems":
            return f"needs at least {error.validator_value} item(s)"
        case "const" | "enum":
            expected = error.validator_value
            choices = expected if isinstance(expected, list) else [expected]
            return f"{shown} is not one of {', '.join(map(str, choices))}"
        case "type":
            return f"{shown} is not of type {error.validator_value}"
    return f"{shown} violates the schema rule {error.validator}"


def _truncate(value: Any, length: int = 40) -> str:
    text = json.dumps(value, default=str)
    return text if len(text) <= length else text[: length - 3] + "..."


def _find_inconsistencies(document: Document) -> Iterator[Finding]:
    """Yield errors in combinations of fields that are valid by themselves."""
    contract = _build_contract(document.value)

    def find(path: FieldPath, message: str, hint: str = "") -> Finding:
        return Finding(document.place(path), message, hint)

    if contract.deadline_s > contract.deadline_max_s:
        yield find(
            ("deadline_s",),
            f"{contract.deadline_s:g} s exceeds deadline_max_s, "
            f"{contract.deadline_max_s:g} s",
        )
    if not contract.models and not contract.services:
        yield find((), "the team may not call anything", "give models or services")
    if hash_key("") in contract.key_hashes:
        number = contract.key_hashes.index(hash_key(""))
        yield find(("key_hashes", number), "is the hash of an empty key")
    for number, pattern in enumerate(contract.non_idempotent):
        if pattern.service not in contract.services:
            path = ("non_idempotent", number, "service")
            matches = _find_close_matches(pattern.service, contract.services)
            hint = f"did you mean {matches[0]!r}?" if matches else "add it to services"
            yield find(path, f"{pattern.service!r} is not listed in services", hint)


def _find_duplicates(
    document: Document, contract: Contract, seen: dict[str, str]
) -> Iterator[Finding]:
    """Yield teams and keys already used in another file; adds to `seen`."""
    listed: list[tuple[FieldPath, str, str]] = [(("team",), contract.team, "team")]
    listed += [
        (("key_hashes", number), key_hash, "key")
        for number, key_hash in enumerate(contract.key_hashes)
    ]
    for path, value, label in listed:
        place = document.place(path)
        # With one key for two teams, the fleet could not tell which team is calling.
        if value in seen:
            yield Finding(place, f"same {label} as {seen[value]}")
        seen.setdefault(value, place)
