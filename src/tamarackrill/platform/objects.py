"""Parses the manifest and the endpoint entries from the platform's object store."""

import math
from collections.abc import Mapping
from typing import Any, TypeVar, cast

from tamarackrill.contracts import Endpoint, EndpointState
from tamarackrill.decisions.addresses import read_address
from tamarackrill.decisions.manifests import (
    ClientLimits,
    Manifest,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    TeamKeys,
)

MANIFEST_KIND = "config"
MANIFEST_NAME = "main"
ENDPOINT_KIND = "servers"
EVACUATION_KIND = "evacuations"

# A draining endpoint accepts no new requests; it may or may not have requests left.
_STATES: Mapping[str, EndpointState] = {"ready": "live", "draining": "leaving"}
_T = TypeVar("_T")


def read_manifest(spec: Mapping[str, Any]) -> Manifest:
    """Parse the object `config/main`.

    Raises
    ------
    KeyError, TypeError, ValueError
        If it does not match the published schema.
    """
    tenants = spec.get("tenants")
    return Manifest(
        version=_read_required(spec, "version", int),
        routes=tuple(_read_route(route) for route in spec["routes"]),
        services=tuple(_read_service(service) for service in spec["services"]),
        limits=_read_limits(spec["limits"]),
        teams=None if tenants is None else tuple(_read_team(t) for t in tenants),
    )


def _read_route(route: Mapping[str, Any]) -> Route:
    split = route.get("traffic_split")
    if split:
        shares = tuple(
            ServiceShare(
                _read_required(share, "service", str), _read_number(share, "weight")
            )
            for share in split
        )
    else:
        shares = (ServiceShare(_read_required(route, "service", str), 1.0),)
    timeout_ms = _read_number(route, "timeout_ms")
    return Route(
        name=_read_required(route, "name", str),
        host=_read_required(route, "host", str),
        path_prefix=_read_required(route, "path_prefix", str),
        # Requests of an unknown kind are sent once.
        kind=cast(RouteKind, _read_required(route, "kind", str)),
        timeout_s=timeout_ms / 1000,
        # Time until the complete answer; for a stream, until its first event.
        objective_s=_read_number(route, "target_latency_ms", timeout_ms) / 1000,
        gap_objective_s=_read_number(route, "gap_aim_ms", 0) / 1000,
        priority=int(route.get("priority", 0)),
        shares=shares,
        # Counts the first attempt, so 1 disables retries.
        attempts_max=int(route.get("attempts", 1)),
        is_anonymous=bool(_read_unless_null(route, "anonymous", bool)),
        # Requests of such a route list the parts of their prompt.
        has_affinity=bool(_read_unless_null(route, "session_affinity", bool)),
        is_resumable=bool(_read_unless_null(route, "stream_resume", bool)),
    )


def _read_service(service: Mapping[str, Any]) -> Service:
    engine = service.get("engine") or {}
    return Service(
        name=_read_required(service, "name", str),
        health_path=_read_unless_null(service, "health_path", str) or "/",
        connections_max=int(service.get("max_connections", 0)),
        is_engine=bool(engine),
        copy_token_s=_read_copy_token_s(engine),
        cold_s=_read_positive(service, "cold_s"),
        cold_rate_per_s=_read_positive(service, "cold_per_s"),
    )


def _read_positive(service: Mapping[str, Any], field: str) -> float:
    number = float(service.get(field, 0.0))
    if not 0.0 <= number < math.inf:
        raise ValueError(f"service {service['name']!r}: {field} is {number}")
    return number


def _read_copy_token_s(engine: Mapping[str, Any]) -> float | None:
    token_bytes = float(engine.get("kv_token_bytes", 0))
    # Link between engines, in Mbit/s; unrelated to `limits.link_mbps` of a router's VM.
    link_bytes_per_s = float(engine.get("link_mbps", 0)) * 1e6 / 8
    if not token_bytes or not link_bytes_per_s:
        return None
    return token_bytes / link_bytes_per_s


def _read_limits(limits: Mapping[str, Any]) -> ClientLimits:
    return ClientLimits(
        header_max_bytes=int(limits["max_header_bytes"]),
        body_max_bytes=int(limits["max_body_bytes"]),
        header_timeout_s=_read_number(limits, "header_timeout_ms") / 1000,
        idle_timeout_s=_read_number(limits, "idle_timeout_ms") / 1000,
    )


def _read_team(tenant: Mapping[str, Any]) -> TeamKeys:
    priority = tenant.get("priority")
    keys = _read_required(tenant, "api_keys", list)
    if not all(isinstance(key, str) for key in keys):
        raise TypeError("api_keys: expected strings")
    return TeamKeys(
        name=_read_required(tenant, "name", str),
        keys=tuple(keys),
        priority=None if priority is None else int(priority),
    )


def read_endpoint(name: str, spec: Mapping[str, Any]) -> Endpoint:
    """Parse an object of kind `servers`.

    Parameters
    ----------
    name : str
        Name of the object: a new id each time the process starts.
    spec : mapping
        Its contents.

    Raises
    ------
    KeyError, TypeError, ValueError
        If it does not match the published schema.  Unused fields are checked too:
        programs other than workers may write such objects, and requests must not be
        sent to something that merely resembles a worker.
    """
    # The name and the address are sent in headers.
    if not name.isascii() or name != name.strip():
        raise ValueError("the name can't be sent in a header")
    _read_required(spec, "sequence", int)
    return Endpoint(
        name=name,
        kind="engine" if _read_optional(spec, "models", list) else "service",
        serves=(_read_required(spec, "service", str),),
        address=_read_address(spec),
        zone=_read_required(spec, "zone", str),
        state=_STATES[_read_required(spec, "state", str)],
        slots=_read_required(spec, "slots", int),
        # Missing from workers of older releases.
        started_ms=_read_optional(spec, "born", int),
        cold_s=max(0.0, _read_number(spec, "cold_remaining_ms")) / 1000,
        # The `version` in `models` is that of the weights.
        software_version=_read_required(spec, "version", str),
    )


def read_evacuation(name: str, spec: Mapping[str, Any]) -> str:
    """Parse an object of kind `evacuations`; return the availability zone.

    Parameters
    ----------
    name : str
        Name of the object: that of the zone.
    spec : mapping
        Its contents, which have no fields.

    Raises
    ------
    TypeError
        If the contents are not an object.
    """
    if not isinstance(spec, Mapping):
        raise TypeError(f"spec: expected an object, got {type(spec).__name__}")
    return name


def _read_required(spec: Mapping[str, Any], field: str, kind: type[_T]) -> _T:
    value = spec[field]
    # `isinstance` treats a bool as an int.
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise TypeError(f"{field}: expected {kind.__name__}")
    return value


def _read_optional(spec: Mapping[str, Any], field: str, kind: type[_T]) -> _T | None:
    return _read_required(spec, field, kind) if field in spec else None


def _read_unless_null(spec: Mapping[str, Any], field: str, kind: type[_T]) -> _T | None:
    return None if spec.get(field) is None else _read_required(spec, field, kind)


def _read_number(
    spec: Mapping[str, Any], field: str, default: float | None = None
) -> float:
    if default is not None and spec.get(field) is None:
        return default
    number = spec[field]
    if isinstance(number, float) and math.isfinite(number):
        return number
    return _read_required(spec, field, int)


def _read_address(spec: Mapping[str, Any]) -> str:
    address = _read_required(spec, "address", str)
    # Host names are rejected: a DNS lookup would delay the first request that needs it.
    read_address(address)
    return address
