"""Checks whether an endpoint still lives, by new connections to it."""

from tamarackrill.contracts import Endpoint
from tamarackrill.router.edge_placing import EdgePlacer
from tamarackrill.router.paths import PathProber
from tamarackrill.router.relay_client import RelayClient

# Endpoints with which one that seems to have crashed is compared.
COMPARED_ENDPOINTS_MAX = 3


class EndpointChecks:
    """Tells an endpoint that has crashed from one that this router can't reach.

    Parameters
    ----------
    placer : EdgePlacer
        Knows the other endpoints of a service.
    paths : PathProber
        Probes endpoints over this router's links.

    Attributes
    ----------
    relays : RelayClient or None
        Other routers, which are asked what they reach.
    """

    def __init__(self, placer: EdgePlacer, paths: PathProber) -> None:
        self.relays: RelayClient | None = None
        self._placer = placer
        self._paths = paths

    async def has_crashed(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint that refuses connections has crashed alone.

        The links of this router may be cut, or those of the routers that it asks.  So a
        crash counts only if some router reaches other endpoints of the service, and
        none of those asked reaches this one.
        """
        others = self._placer.list_others(endpoint)[:COMPARED_ENDPOINTS_MAX]
        replies = []
        if self.relays is not None:
            replies = await self.relays.ask_reached(endpoint, others)
        if any(endpoint.name in reached for reached in replies):
            return False
        if not others or any(replies):
            return True
        return bool(await self._paths.confirm_reached(others, is_fresh=True))
