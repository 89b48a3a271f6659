"""The settings file that the platform writes for each process, in JSON or YAML."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from tamarackrill.decisions.retry_shares import BudgetTerms
from tamarackrill.exceptions import Finding, FindingsError

PATH_VARIABLE = "TAMARACKRILL_SETTINGS"
BYTES_PER_MBIT = 125_000.0
DEFAULT_LINK_MBPS = 1000.0
_MISSING = object()


class PlatformSettings(NamedTuple):
    """Checked settings of one router on the platform.

    Parameters
    ----------
    name, zone : str
        This VM and its availability zone.
    ip : str
        Address to bind for other routers.
    callers_address, readiness_address : str
        ``host:port`` for clients and for the balancer's question.
    peer_port : int
        For other routers, TCP and UDP.
    seeds : tuple of str
        ``host:port`` of up to three routers, for other routers; may be stale.
    store_address : str
        ``host:port`` of the platform's object store.
    grace_s : float
        From SIGTERM to SIGKILL.
    news_max_s : float
        Time in which a change of the manifest or of an endpoint has to be in force.
    load_cap : float
        Multiple of the mean load that no endpoint may exceed.
    retry_budget : BudgetTerms
        Shared by all routers, for each service.
    link_bytes_per_s : float
        What the link of this VM carries.
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


class _Reader:
    """Reads fields by their dotted names and collects what is wrong."""

    def __init__(self, source: str, fields: Mapping[str, Any]) -> None:
        self._source = source
        self._fields = fields
        self.findings: list[Finding] = []

    def read(self, path: str, kind: type, default: Any = _MISSING) -> Any:
        value: Any = self._fields
        for name in path.split("."):
            value = value.get(name) if isinstance(value, Mapping) else None
        if value is None and default is not _MISSING:
            return default
        accepted = (int, float) if kind is float else kind
        if isinstance(value, accepted) and not (
            isinstance(value, bool) and kind is not bool
        ):
            return kind(value)
        said = "is missing" if value is None else f"{value!r} is no {kind.__name__}"
        self.findings.append(Finding(f"{self._source}: {path}", said))
        return kind()


def parse_settings(source: str, text: str) -> PlatformSettings:
    """Return the settings of a file's text; fields that are not known are passed over.

    Raises
    ------
    FindingsError
        With every field that is missing or of a wrong type.
    """
    fields = _load(source, text)
    if not isinstance(fields, Mapping):
        raise FindingsError([Finding(source, "holds no fields")])
    reader = _Reader(source, fields)
    settings = _read(reader)
    if reader.findings:
        raise FindingsError(reader.findings)
    return settings


def _load(source: str, text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        # Not each file is JSON, and a process that reads one that is starts sooner.
        import yaml
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise FindingsError([Finding(source, f"is no YAML: {error}")]) from error


def _read(reader: _Reader) -> PlatformSettings:
    # The ports from the first to the second are free; the second one is included.
    ports = reader.read("internal_ports", list)
    first, last = ports if len(ports) == 2 else (0, 0)
    if last <= first:
        reader.findings.append(Finding("internal_ports", "is no range of two ports"))
    # `seeds` are addresses of the control port; routers talk on the internal one.
    seeds = [str(seed).rpartition(":")[0] for seed in reader.read("seeds", list, [])]
    return PlatformSettings(
        name=reader.read("node_name", str),
        zone=reader.read("zone", str),
        ip=reader.read("ip", str),
        callers_address=reader.read("listen.front", str),
        readiness_address=reader.read("listen.ready", str),
        peer_port=first,
        seeds=tuple(f"{host}:{first}" for host in seeds),
        store_address=reader.read("platform.address", str),
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
    )


def _read_news_max_s(reader: _Reader) -> float:
    manifest_ms = reader.read("bounds.config_ms", float, 2000.0)
    # Counted from when a worker says that it leaves, not from its end.
    leaving_ms = reader.read("bounds.drain_ms", float, 2000.0)
    return float(min(manifest_ms, leaving_ms)) / 1000
