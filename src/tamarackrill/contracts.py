"""Objects of the platform that the fleet reads: contracts, endpoints and VMs.

A contract is all that an operator writes; every limit that the fleet applies to a
team follows from it.  Endpoints announce themselves; the VM list is the platform's.
"""

import hashlib
from typing import Any, Literal, NamedTuple

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
    """

    name: str
    kind: EndpointKind
    serves: tuple[str, ...]
    address: str
    zone: str
    state: EndpointState = "live"
    slots: int = 8


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


def read_contract(value: dict[str, Any]) -> Contract:
    """Return the contract that an object's value describes.

    Parameters
    ----------
    value : dict
        JSON value of an object of kind ``contract``.

    Returns
    -------
    Contract
    """
    fields = {name: value[name] for name in Contract._fields if name in value}
    for name in ("key_hashes", "models", "services"):
        fields[name] = tuple(value.get(name, ()))
    patterns = value.get("non_idempotent", ())
    fields["non_idempotent"] = tuple(CallPattern(**pattern) for pattern in patterns)
    return Contract(**fields)


def read_endpoint(value: dict[str, Any]) -> Endpoint:
    """Return the endpoint that an object's value describes."""
    fields = {name: value[name] for name in Endpoint._fields if name in value}
    fields["serves"] = tuple(value.get("serves", ()))
    return Endpoint(**fields)
