"""Manifest of a deployment (routes, services, limits, teams) and its look-ups.

Load pattern: operators move routes between services, split them, add hundreds at a time
and revoke keys while requests arrive.  A router serves each request from a single
version of the manifest: if routes and keys were read separately, a request could match
a route of the new version with a key of the old one.

Finding a route costs one look-up per slash of the path, not one per route, so 600 more
routes do not make requests slower.
"""

from collections.abc import Iterator, Sequence
from typing import Literal, NamedTuple

from tamarackrill.decisions import hashing

RouteKind = Literal["idempotent", "non_idempotent", "streaming"]
# Resolution of a split.  Weights are whole per cent or finer; a millionth loses no
# request of a day.
_SPLIT_STEPS = 1_000_000


class ServiceShare(NamedTuple):
    """A service of a split route, with its weight among the others."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route of a manifest.

    Parameters
    ----------
    name : str
        Unique name.
    host, path_prefix : str
        Requests that it matches; the prefix begins and ends with a slash.
    kind : {"idempotent", "non_idempotent", "streaming"}
        Whether requests may be repeated, and whether the answer is an event stream.
    timeout_s : float
        Longest time until the final answer of a request.
    objective_s : float
        Response-time objective; for a stream that of its first event.
    gap_objective_s : float
        Objective for the time between events of a stream; 0 if unknown.
    priority : int
        0 is the most urgent.
    shares : tuple of ServiceShare
        Services that run its requests.
    attempts_max : int
        Number of endpoints that one request may be sent to.
    is_anonymous : bool
        Whether requests need no key.
    has_affinity : bool
        Whether requests belong to sessions whose prompts endpoints cache.
    is_resumable : bool
        Whether a stream may be resumed at another endpoint.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    gap_objective_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    attempts_max: int
    is_anonymous: bool = False
    has_affinity: bool = False
    is_resumable: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "idempotent" or (
            self.kind == "streaming" and self.is_resumable
        )


class Service(NamedTuple):
    """A service of a manifest.

    Parameters
    ----------
    name : str
        Unique name.
    health_path : str
        Path of its endpoints' health probe.
    connections_max : int
        Connections that one endpoint accepts from all routers together.
    is_engine : bool
        Whether its endpoints are model engines.
    copy_token_s : float or None
        Time to copy one cached token from another engine; None if engines do not
        copy.
    cold_s : float
        How long its endpoints are cold after their start; 0 if they aren't.
    cold_rate_per_s : float
        Requests per second that a cold endpoint tolerates from all routers together; 0
        if there is no limit.
    """

    name: str
    health_path: str
    connections_max: int
    is_engine: bool
    copy_token_s: float | None = None
    cold_s: float = 0.0
    cold_rate_per_s: float = 0.0


class ClientLimits(NamedTuple):
    """What a client may send, and how long it may take."""

    header_max_bytes: int
    body_max_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class TeamKeys(NamedTuple):
    """A team with its keys.

    Parameters
    ----------
    name : str
        Unique name.
    keys : tuple of str
        Keys in force.
    priority : int or None
        Overrides that of the route; None if the team has none of its own.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None


class Manifest(NamedTuple):
    """One complete version of a deployment's manifest.

    `teams` is None if the manifest requires no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: ClientLimits
    teams: tuple[TeamKeys, ...] | None


class RouteTable:
    """A manifest, indexed for look-ups.

    Parameters
    ----------
    manifest : Manifest
        The version in force.
    """

    def __init__(self, manifest: Manifest) -> None:
        self.manifest = manifest
        self.services = {service.name: service for service in manifest.services}
        self._routes = {
            (route.host.lower(), route.path_prefix): route for route in manifest.routes
        }
        self._teams = {key: team for team in manifest.teams or () for key in team.keys}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix, or None if none matches.

        Parameters
        ----------
        host : str
            Host named by the client; a port is ignored.
        path : str
            Path without its query.
        """
        name = host.partition(":")[0].lower()
        for prefix in _list_prefixes(path):
            route = self._routes.get((name, prefix))
            if route is not None:
                return route
        return None

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that are not anonymous need a key."""
        return self.manifest.teams is not None

    def find_team(self, key: str) -> TeamKeys | None:
        """Return the team that holds a key, or None if none does."""
        return self._teams.get(key)


def choose_service(shares: Sequence[ServiceShare], key: str) -> str | None:
    """Return the service that a request is sent to; None if all weights are 0.

    Parameters
    ----------
    shares : sequence of ServiceShare
        The split of the request's route.
    key : str
        Identifies the request; every router chooses the same service for it.
    """
    weighted = [share for share in shares if share.weight > 0]
    if len(weighted) <= 1:
        return weighted[0].service if weighted else None
    total = sum(share.weight for share in weighted)
    point = hashing.hash_name(key) % _SPLIT_STEPS / _SPLIT_STEPS * total
    for share in weighted:
        point -= share.weight
        if point < 0:
            return share.service
    return weighted[-1].service


def _list_prefixes(path: str) -> Iterator[str]:
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
