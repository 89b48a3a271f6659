"""Checks whether an endpoint still lives, by new connections to it."""

import asyncio
import math
from collections.abc import Callable, Collection

from tamarackrill.contracts import Endpoint
from tamarackrill.router.channel_pool import ChannelPool
from tamarackrill.router.channels import (
    Channel,
    ChannelError,
    Connect,
    ResponseHead,
)
from tamarackrill.router.edge_placing import EdgePlacer
from tamarackrill.router.paths import CONNECT_TIMEOUT_S, PathProber
from tamarackrill.router.relay_client import RelayClient

# Endpoints with which one that seems to have crashed is compared.
COMPARED_ENDPOINTS_MAX = 3
# A connection is taken or refused in a few milliseconds.  Shorter than the time that an
# answer has after its deadline, so that a whole one is still passed on.
CHECK_MIN_S = 0.05
# A process that ends closes its connections one after the other, and may take another
# one until it has closed its listening socket.
ENDING_S = 0.01
# It is waited for in so many steps: however late the loop is, it counts as one step.
ENDING_STEPS = 10


class EndpointChecks:
    """Tells an endpoint that has crashed from one that this router can't reach.

    Parameters
    ----------
    placer : EdgePlacer
        Knows the other endpoints of a service.
    paths : PathProber
        Probes endpoints over this router's links.
    pool : ChannelPool
        Idle connections to endpoints.
    clock : callable
        Returns the current time.
    connect : callable
        Opens connections to endpoints.

    Attributes
    ----------
    relays : RelayClient or None
        Other routers, which are asked what they reach.
    """

    def __init__(
        self,
        placer: EdgePlacer,
        paths: PathProber,
        pool: ChannelPool,
        clock: Callable[[], float],
        connect: Connect,
    ) -> None:
        self.relays: RelayClient | None = None
        self._placer = placer
        self._paths = paths
        self._pool = pool
        self._clock = clock
        self._connect = connect

    async def confirm_end(
        self,
        endpoint: Endpoint,
        head: ResponseHead,
        may_repeat: bool,
        deadline_s: float = math.inf,
    ) -> None:
        """Check that a body without framing did not end because its endpoint crashed.

        A process that ends closes its connections in the same way as one that has sent
        all of a response.  An endpoint that takes no connection afterwards has ended
        with it, unless another router still reaches it.  One that leaves may do so
        right after its last response, so that the response counts as complete unless
        another endpoint can repeat or resume it.
        Without an answer by the deadline nothing is known, and it counts as complete.
        But a router that is late may see the end after the deadline for the first time,
        so that the endpoint has `CHECK_MIN_S` to answer in any case.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        head : ResponseHead
            Head of its response.
        may_repeat : bool
            Whether the request may run again.
        deadline_s : float, optional
            When the client gives up.

        Raises
        ------
        ChannelError
            If the endpoint has ended.
        """
        if head.framing != "close":
            return
        if self._placer.is_leaving(endpoint) and not may_repeat:
            return
        left_s = max(CHECK_MIN_S, deadline_s - self._clock())
        timeout_s = min(CONNECT_TIMEOUT_S, left_s)
        try:
            channel = await self._connect(endpoint.address, timeout_s)
        except ConnectionRefusedError:
            await self._check_ended(endpoint)
            return
        except OSError:
            # Nothing is known of the endpoint; its response ended without a fault.
            self._paths.probe(endpoint)
            return
        try:
            await _wait_closed(channel)
        except asyncio.CancelledError:
            channel.close()
            raise
        if not channel.is_open:
            channel.close()
            await self._check_ended(endpoint)
            return
        # The next request finds a connection in place of the one that has ended.
        self._pool.give_back(endpoint.name, channel, None, self._clock())

    async def _check_ended(self, endpoint: Endpoint) -> None:
        if await self.has_crashed(endpoint, if_unknown=True):
            raise ChannelError("the endpoint ended with its response")

    async def has_crashed(
        self,
        endpoint: Endpoint,
        if_unknown: bool = False,
        crashed: Collection[str] = (),
    ) -> bool:
        """Return whether an endpoint that refuses connections has crashed.

        The links of this router may be cut, or those of the routers that it asks.  So a
        crash counts only if some router reaches other endpoints of the service, and
        none of those asked reaches this one.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        if_unknown : bool, default=False
            What to return if the other endpoints aren't reached either: they may have
            crashed too.
        crashed : collection of str, optional
            Endpoints that are known to have crashed.  They aren't reached in any case.
        """
        others = [
            e for e in self._placer.list_others(endpoint) if e.name not in crashed
        ]
        others = others[:COMPARED_ENDPOINTS_MAX]
        replies = []
        if self.relays is not None:
            replies = await self.relays.ask_reached(endpoint, others)
        if any(endpoint.name in reached for reached in replies):
            return False
        if if_unknown or not others or any(replies):
            return True
        return bool(await self._paths.confirm_reached(others, is_fresh=True))


async def _wait_closed(channel: Channel) -> None:
    """Wait until a connection is closed, or would have been if its process ends."""
    for _ in range(ENDING_STEPS):
        if not channel.is_open:
            return
        await asyncio.sleep(ENDING_S / ENDING_STEPS)
