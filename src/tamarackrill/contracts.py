"""Objects of the platform that the fleet reads: contracts, endpoints and VMs.

A contract is all that an operator writes; every limit that the fleet applies to a
team follows from it.  Endpoints announce themselves; the VM list is the platform's.

The published schemas are contract.schema.json and endpoint.schema.json, beside this
module.  An operator's file is checked in full (`check_contract`); a router passes
over fields that it does not know (`read_contract`), so that a fleet in the middle of
an upgrade can read what a newer command line wrote.
"""

import hashlib
import json
from collections.abc import Iterable, Iterator
from functools import cache
from typing import Any, Literal, NamedTuple

from tamarackrill.documents import Document, FieldPath
from tamarackrill.exceptions import Finding, FindingsError

CONTRACT_KIND = "contract"
ENDPOINT_KIND = "endpoint"
CLAIM_KIND = "claim"
CONTRACT_FORMAT = "tamarackrill/contract/v1"

EndpointKind = Literal["engine", "service"]
EndpointState = Literal["live", "leaving"]


class CallPattern(NamedTuple):
    """Calls of a service: a method (``*`` for any) and a prefix of the path."""

    service: str
    method: str
    path_prefix: str


class Contract(NamedTuple):
    """What one team may do and what it is promised.

    Parameters
    ----------
    team : str
        Name of the team; also the name of the object on the platform.
    key_hashes : tuple of str
        SHA-256 of each accepted key, in hexadecimal.
    models, services : tuple of str
        What the team may call.
    weight : int
        Share of a contended endpoint pool, relative to other teams.
    priority : int
        Priority of a request that names none, among the team's own requests; higher
        goes first.
    rate_per_s, rate_burst : float
        Requests a second over the whole fleet, and how many may come at once.
    in_flight_max : int
        Requests at endpoints or waiting, over the whole fleet.
    tokens_per_s, tokens_burst : float
        Generated tokens a second over the whole fleet.
    deadline_s, deadline_max_s : float
        Deadline of a request that names none, and the latest that one may name.
    non_idempotent : tuple of CallPattern
        Calls that run at most once; they need an ``Idempotency-Key``.
    answers_kept_s : float
        How long an answer is kept for a resend.
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
    """One back end: a model engine or one worker of a plain service.

    Parameters
    ----------
    name : str
        Unique name.
    kind : {"engine", "service"}
        Model engine, or worker of a plain service.
    serves : tuple of str
        Models of an engine, or the one name of a service.
    address : str
        ``host:port`` by IP number.
    zone : str
        Availability zone.
    state : {"live", "leaving"}
        A leaving endpoint gets no new work.
    slots : int
        Requests that it works on at once; the unit of load is one request.
    models_max : int
        Models that an engine can hold; it may be ordered to load more than it
        serves now.
    vm : str
        Name of its VM on the platform's list; empty if it is the endpoint's own.
    started_ms : int or None
        Start of its process in ms since the epoch, by its own clock; None if it does
        not tell.
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


class Vm(NamedTuple):
    """One line of the platform's VM list, which lags.

    Parameters
    ----------
    name : str
        Name of the VM.
    address : str
        ``host:port`` for callers.
    zone : str
        Availability zone.
    state : {"live", "leaving"}
        As the platform saw it some time ago.
    peer_address : str
        ``host:port`` for other routers; empty for a VM that runs no router.
    """

    name: str
    address: str
    zone: str
    state: Literal["live", "leaving"] = "live"
    peer_address: str = ""


def hash_key(key: str) -> str:
    """Return the hash of a team's key as a contract holds it."""
    return hashlib.sha256(key.encode()).hexdigest()


def read_contract(value: Any) -> Contract:
    """Return the contract that an object's value describes.

    Parameters
    ----------
    value : dict
        JSON value of an object of kind ``contract``.  Unknown fields are passed over.

    Returns
    -------
    Contract

    Raises
    ------
    FindingsError
        If a known field is absent, malformed or out of range.
    """
    if isinstance(value, dict):
        value = {"format": CONTRACT_FORMAT, **value}
    findings = _find_faults("contract", Document("contract", value, {}), strict=False)
    if findings:
        raise FindingsError(findings)
    return _build_contract(value)


def check_contract(document: Document) -> Contract:
    """Return the contract that an operator's file describes.

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
        Lists all faults of the file, unknown fields included, with their lines.
    """
    findings = [*document.findings]
    findings.extend(_find_faults("contract", document, strict=True))
    if findings:
        raise FindingsError(findings)
    return _build_contract(document.value)


def check_contracts(documents: list[Document]) -> list[Contract]:
    """Return the contracts of several files, which must fit each other.

    Raises
    ------
    FindingsError
        Lists the faults of all files together, and teams or keys that stand twice.
    """
    findings: list[Finding] = []
    contracts: list[Contract] = []
    places: dict[str, str] = {}
    for document in documents:
        try:
            contract = check_contract(document)
        except FindingsError as error:
            findings.extend(error.findings)
            continue
        contracts.append(contract)
        findings.extend(_find_repeated(document, contract, places))
    if findings:
        raise FindingsError(findings)
    return contracts


def read_endpoint(value: Any) -> Endpoint:
    """Return the endpoint that an object's value describes.

    Raises
    ------
    FindingsError
        If a known field is absent, malformed or out of range.
    """
    findings = _find_faults("endpoint", Document("endpoint", value, {}), strict=False)
    if findings:
        raise FindingsError(findings)
    fields = {name: value[name] for name in Endpoint._fields if name in value}
    fields["serves"] = tuple(value["serves"])
    return Endpoint(**fields)


def load_schema(kind: str) -> dict[str, Any]:
    """Return the published schema of ``"contract"`` or ``"endpoint"``."""
    # Takes 15 ms to load, which a router that reads no contracts is spared.
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


def _find_nearest(name: str, known: Iterable[str]) -> list[str]:
    # Needed for a file with faults alone.
    import difflib

    return difflib.get_close_matches(name, list(known), n=1)


@cache
def _make_validator(kind: str) -> Any:
    # Loading it takes 60 ms and 9 MB, which a router that reads no contracts is spared.
    import jsonschema

    return jsonschema.Draft202012Validator(load_schema(kind))


def _find_faults(kind: str, document: Document, strict: bool) -> list[Finding]:
    findings: list[Finding] = []
    for error in _make_validator(kind).iter_errors(document.value):
        if error.validator == "additionalProperties":
            findings.extend(_find_unknown(document, error) if strict else ())
        else:
            place = document.place(tuple(error.absolute_path))
            findings.append(Finding(place, _describe(error)))
    if not findings and kind == "contract":
        findings.extend(_find_contradictions(document))
    return findings


def _find_unknown(document: Document, error: Any) -> Iterator[Finding]:
    known = error.schema["properties"]
    for name in error.instance:
        if name in known:
            continue
        nearest = _find_nearest(name, known)
        hint = f"did you mean {nearest[0]!r}?" if nearest else ""
        place = document.place((*error.absolute_path, name))
        yield Finding(place, "unknown field", hint)


def _describe(error: Any) -> str:
    unit = error.schema.get("unit")
    suffix = f" {unit}" if unit else ""
    # An operator may paste the key itself in place of its hash; findings are shown
    # and logged, so the value isn't repeated there.
    secret = "key_hashes" in error.absolute_path
    shown = "the value" if secret else _shorten(error.instance)
    match error.validator:
        case "minimum":
            return f"{shown} is below the least value, {error.validator_value}{suffix}"
        case "maximum":
            return f"{shown} is above the most, {error.validator_value}{suffix}"
        case "required":
            missing = error.message.split("'")[1]
            return f"field {missing!r} is missing"
        case "pattern":
            wanted = error.schema.get("description") or error.validator_value
            return f"{shown} does not have the form wanted: {wanted}"
        case "minItems":
            return f"needs at least {error.validator_value} item(s)"
        case "const" | "enum":
            wanted = error.validator_value
            choices = wanted if isinstance(wanted, list) else [wanted]
            return f"{shown} is none of {', '.join(map(str, choices))}"
        case "type":
            return f"{shown} is no {error.validator_value}"
    return f"{shown} breaks the rule {error.validator}"


def _shorten(value: Any, length: int = 40) -> str:
    text = json.dumps(value, default=str)
    return text if len(text) <= length else text[: length - 3] + "..."


def _find_contradictions(document: Document) -> Iterator[Finding]:
    """Yield faults that only show when fields are read together."""
    contract = _build_contract(document.value)

    def find(path: FieldPath, message: str, hint: str = "") -> Finding:
        return Finding(document.place(path), message, hint)

    if contract.deadline_s > contract.deadline_max_s:
        yield find(
            ("deadline_s",),
            f"{contract.deadline_s:g} s is later than deadline_max_s, "
            f"{contract.deadline_max_s:g} s",
        )
    if not contract.models and not contract.services:
        yield find((), "the team may call nothing", "give models or services")
    if hash_key("") in contract.key_hashes:
        number = contract.key_hashes.index(hash_key(""))
        yield find(("key_hashes", number), "is the hash of an empty key")
    for number, pattern in enumerate(contract.non_idempotent):
        if pattern.service not in contract.services:
            path = ("non_idempotent", number, "service")
            nearest = _find_nearest(pattern.service, contract.services)
            hint = f"did you mean {nearest[0]!r}?" if nearest else "add it to services"
            yield find(path, f"{pattern.service!r} is not among services", hint)


def _find_repeated(
    document: Document, contract: Contract, places: dict[str, str]
) -> Iterator[Finding]:
    """Yield teams and keys that another file holds already; extends `places`."""
    listed: list[tuple[FieldPath, str, str]] = [(("team",), contract.team, "team")]
    listed += [
        (("key_hashes", number), key_hash, "key")
        for number, key_hash in enumerate(contract.key_hashes)
    ]
    for path, value, what in listed:
        place = document.place(path)
        # A key that two teams hold would name either of them, by chance.
        if value in places:
            yield Finding(place, f"same {what} as {places[value]}")
        places.setdefault(value, place)
