"""Parses the settings file, JSON or YAML, that the platform writes for each process."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from tamarackrill.decisions.addresses import PORT_MAX, is_valid, read_router_address
from tamarackrill.decisions.capacity.sharing_scope import SharingMode
from tamarackrill.decisions.cold_endpoints import ColdTolerance
from tamarackrill.decisions.retry_shares import BudgetTerms
from tamarackrill.exceptions import Finding, FindingsError

SETTINGS_PATH_VARIABLE = "TAMARACKRILL_SETTINGS"
BYTES_PER_MBIT = 125_000.0
DEFAULT_LINK_MBPS = 1000.0
BYTES_PER_MB = 1_000_000
# The smallest known VM of a router.
DEFAULT_MEMORY_MB = 200.0
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Default of a field that has to be present.
_REQUIRED = object()
# Keys of the listening addresses in the file.
_ADDRESS_KEYS = {
    "callers_address": "listen.front",
    "readiness_address": "listen.ready",
    "peer_port": "internal_ports",
}


class PlatformSettings(NamedTuple):
    """Validated settings of one router on the platform.

    Parameters
    ----------
    name, zone : str
        Name of this VM and its availability zone.
    ip : str
        Address to listen at for other routers.
    callers_address, readiness_address : str
        ``host:port`` for clients and for the load balancer's readiness probe.
    peer_port : int
        TCP and UDP port for other routers.
    seeds : tuple of str
        ``host:port`` at which up to three routers listen for other routers; may be
        outdated.
    store_address : str
        ``host:port`` of the platform's object store.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    news_max_s : float
        Time in which a change of the manifest, of an endpoint or of the evacuated zones
        has to take effect.
    load_cap : float
        Upper bound of an endpoint's load, as a multiple of the mean load.
    retry_budget : BudgetTerms
        Budget of each service, shared by all routers.
    link_bytes_per_s : float
        Bandwidth of this VM's network link.
    cold_tolerance : ColdTolerance
        How far the request rate at a cold endpoint may exceed what its service states.
    zones : tuple of str
        Availability zones of the deployment.
    has_evacuations : bool
        Whether operators may evacuate zones.
    capacity_sharing : {"auto", "on", "off"}
        Whether allocators share the capacity of plain services; see
        docs/design/capacity-sharing.md.  Not from the file.
    has_slow_peers : bool
        Whether callers compete for capacity, clients may read slowly, and endpoints
        abort responses that stay unread.
    memory_bytes : int
        Memory of this VM.
    sockets_max : int or None
        How many sockets and pipes the process may have open, if that is limited.
    source : str
        Path of the file.
    """

    name: str
    zone: str
    ip: str
    callers_address: str
    readiness_address: str
    peer_port: int
    seeds: tuple[str, ...]
    store_address: str
    grace_s: float
    news_max_s: float
    load_cap: float
    retry_budget: BudgetTerms
    link_bytes_per_s: float = DEFAULT_LINK_MBPS * BYTES_PER_MBIT
    cold_tolerance: ColdTolerance = ColdTolerance()
    zones: tuple[str, ...] = ()
    has_evacuations: bool = False
    capacity_sharing: SharingMode = "auto"
    has_slow_peers: bool = False
    memory_bytes: int = int(DEFAULT_MEMORY_MB * BYTES_PER_MB)
    sockets_max: int | None = None
    source: str = ""

    def get_field_location(self, field: str) -> str:
        """Return the file and key that set a field, for error messages."""
        return f"{self.source}: {_ADDRESS_KEYS[field]}"


class _Reader:
    """Reads fields by their dotted keys and collects errors."""

    def __init__(self, source: str, fields: Mapping[str, Any]) -> None:
        self.source = source
        self._fields = fields
        self.findings: list[Finding] = []

    def report(self, path: str, message: str) -> None:
        self.findings.append(Finding(f"{self.source}: {path}", message))

    def read_address(self, path: str) -> str:
        text = str(self.read(path, str))
        if text and not is_valid(read_router_address, text):
            self.report(path, f"{text!r} is no host:port")
        return text

    def read(self, path: str, kind: type, default: Any = _REQUIRED) -> Any:
        value: Any = self._fields
        for name in path.split("."):
            value = value.get(name) if isinstance(value, Mapping) else None
        if value is None and default is not _REQUIRED:
            return default
        accepted = (int, float) if kind is float else kind
        if isinstance(value, accepted) and not (
            isinstance(value, bool) and kind is not bool
        ):
            return kind(value)
        message = (
            "is missing"
            if value is None
            else f"expected {kind.__name__}, got {value!r}"
        )
        self.report(path, message)
        return kind()


def parse_settings(source: str, text: str) -> PlatformSettings:
    """Parse and validate the text of a settings file; unknown fields are ignored.

    Raises
    ------
    FindingsError
        Lists all fields that are missing or have an invalid value.
    """
    fields = _parse_text(source, text)
    if not isinstance(fields, Mapping):
        raise FindingsError([Finding(source, "holds no fields")])
    reader = _Reader(source, fields)
    settings = _read_settings(reader)
    if reader.findings:
        raise FindingsError(reader.findings)
    return settings


def _parse_text(source: str, text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError as error:
        # JSON is tried first: without importing YAML a process starts faster.
        return _parse_yaml(source, text, error)


def _parse_yaml(source: str, text: str, json_error: ValueError) -> Any:
    import yaml

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        if text.lstrip().startswith("{"):
            # For malformed JSON, the YAML parser reports the wrong position.
            line = getattr(json_error, "lineno", 1)
            message = f"is no JSON: {getattr(json_error, 'msg', json_error)}"
        else:
            mark = getattr(error, "problem_mark", None)
            line = 1 if mark is None else mark.line + 1
            message = f"is no YAML: {getattr(error, 'problem', None) or error}"
        raise FindingsError([Finding(f"{source}:{line}", message)]) from error


def _read_settings(reader: _Reader) -> PlatformSettings:
    # An inclusive range of ports that the router may use.
    ports = reader.read("internal_ports", list)
    is_range = len(ports) == 2 and all(isinstance(port, int) for port in ports)
    first, last = ports if is_range else (0, 0)
    if not 0 < first < last <= PORT_MAX:
        reader.report("internal_ports", f"{ports!r} is no range of two ports")
    # `seeds` have the control port; routers exchange messages at the internal port.
    seeds = [str(seed).rpartition(":")[0] for seed in reader.read("seeds", list, [])]
    return PlatformSettings(
        name=reader.read("node_name", str),
        zone=reader.read("zone", str),
        ip=reader.read("ip", str),
        callers_address=reader.read_address("listen.front"),
        readiness_address=reader.read_address("listen.ready"),
        peer_port=first,
        seeds=tuple(f"{host}:{first}" for host in seeds),
        store_address=reader.read_address("platform.address"),
        grace_s=reader.read("bounds.grace_s", float),
        news_max_s=_read_news_max_s(reader),
        load_cap=reader.read("bounds.cap_x", float, 2.0),
        retry_budget=BudgetTerms(
            reader.read("bounds.retry_budget_ratio", float, 0.2),
            reader.read("bounds.budget_window_s", float, 10.0),
            reader.read("bounds.budget_slack", float, 0.0),
        ),
        link_bytes_per_s=BYTES_PER_MBIT
        * reader.read("limits.link_mbps", float, DEFAULT_LINK_MBPS),
        cold_tolerance=ColdTolerance(
            reader.read("bounds.cold_over", float, 1.0),
            reader.read("bounds.cold_slack", float, 0.0),
        ),
        # Names of zones with their regions.
        zones=tuple(reader.read("zones", dict, {})),
        has_evacuations=_read_evacuation_ms(reader) is not None,
        has_slow_peers="pressure" in reader.read("contracts", list, []),
        source=reader.source,
        memory_bytes=int(
            BYTES_PER_MB * reader.read("limits.memory_mb", float, DEFAULT_MEMORY_MB)
        ),
        sockets_max=_read_sockets_max(reader),
    )


def _read_sockets_max(reader: _Reader) -> int | None:
    descriptors: int | None = reader.read("limits.max_fds", int, None)
    return None if descriptors is None else max(0, descriptors - FILE_DESCRIPTORS)


def _read_news_max_s(reader: _Reader) -> float:
    manifest_ms = reader.read("bounds.config_ms", float, 2000.0)
    # Counted from when a worker announces that it drains, not from its exit.
    leaving_ms = reader.read("bounds.drain_ms", float, 2000.0)
    evacuation_ms = _read_evacuation_ms(reader)
    bounds_ms = [manifest_ms, leaving_ms]
    if evacuation_ms is not None:
        bounds_ms.append(evacuation_ms)
    return float(min(bounds_ms)) / 1000


def _read_evacuation_ms(reader: _Reader) -> float | None:
    evacuation_ms: float | None = reader.read("bounds.evacuate_ms", float, None)
    return evacuation_ms
