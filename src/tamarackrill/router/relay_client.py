"""Finds routers that reach endpoints for this one, and sends attempts through them."""

import asyncio
import contextlib
import json
import math
from collections.abc import Awaitable, Callable, Sequence
from urllib.parse import urlencode

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import hashing
from tamarackrill.decisions.relays import (
    Question,
    RelayPaths,
    RelayRouter,
    choose_wanted,
)
from tamarackrill.events import RELAY_FOUND, RELAY_LOST, log_event
from tamarackrill.router import lateness
from tamarackrill.router.background import log_task_failure
from tamarackrill.router.channel_pool import ChannelPool
from tamarackrill.router.channels import Channel, open_channel
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_placing import EdgePlacer
from tamarackrill.router.members import Members
from tamarackrill.router.peer_api import FRESH_ARGUMENT, REACH_PATH, PeerUnavailable

# The other router probes endpoints that have not answered it lately; see `paths`.
REPLY_TIMEOUT_S = 0.3
CONNECT_TIMEOUT_S = 0.15
# Routers asked whether they reach an endpoint that seems to have crashed.
CONFIRMING_ROUTERS = 2
# How long a request without a reachable endpoint waits for each reply.
REPLY_WAIT_S = 0.2
# How long after further endpoints went out of reach requests wait for replies at all.
SEARCH_MAX_S = 1.0

Pull = Callable[[str, str, float], Awaitable[bytes]]


class RelayClient:
    """Paths to endpoints through other routers; see `decisions.relays`.

    Parameters
    ----------
    view : DeploymentView
        Current services and endpoints.
    placer : EdgePlacer
        Knows which endpoints this router can't reach, and is told which of them others
        reach.
    members : Members
        Live routers, including this one.
    clock : callable
        Returns the current time.

    Attributes
    ----------
    pull : callable
        ``await pull(peer_address, uri, timeout_s)`` returns a router's signed reply.
    pool : ChannelPool
        Idle connections to other routers.
    """

    def __init__(
        self,
        view: DeploymentView,
        placer: EdgePlacer,
        members: Members,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._placer = placer
        self._members = members
        self._clock = clock
        own = members.own
        self.paths = RelayPaths(RelayRouter(own.name, own.zone))
        self.pool = ChannelPool()
        self.pull: Pull | None = None
        self._addresses: dict[str, str] = {}
        self._questions: dict[str, asyncio.Task[None]] = {}
        self._wanted_since_s = -math.inf

    def update(self) -> None:
        """Update which endpoints need another path, and ask routers about them."""
        unreachable = self._placer.reach.unreachable
        if not (unreachable or self.paths.reachable):
            return
        pools = [pool.by_name for pool in self._view.list_pools().values()]
        own = self._members.own.name
        wanted = choose_wanted(own, pools, unreachable)
        if not wanted <= self.paths.wanted:
            self._wanted_since_s = self._clock()
        self.paths.observe_wanted(wanted)
        live = self._members.list_live()
        self._addresses = {m.name: m.peer_address for m in live}
        self.paths.observe_routers(RelayRouter(m.name, m.zone) for m in live)
        for question in self.paths.list_questions(self._clock(), self._questions):
            self._ask(question)
        self._publish()

    async def wait_replies(self) -> bool:
        """Ask what is due and wait shortly; return whether any router was asked.

        Once routers have had time to answer, there is no use in waiting: either a path
        is known, or no router reaches the endpoints.
        """
        self.update()
        is_settled = self._clock() > self._wanted_since_s + SEARCH_MAX_S
        if is_settled or not self._questions:
            return False
        with contextlib.suppress(TimeoutError):
            async with lateness.timeout(REPLY_WAIT_S):
                await asyncio.wait(
                    list(self._questions.values()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
        return True

    def choose(self, endpoint: Endpoint, request_id: str) -> str | None:
        """Return the router through which to send an attempt, None if there is none."""
        return self.paths.choose(endpoint.name, endpoint.zone, request_id)

    async def open_channel(self, router: str, is_repeatable: bool) -> Channel:
        """Return a connection to another router.

        Raises
        ------
        OSError
            If the connection failed or timed out; nothing was sent.
        """
        if is_repeatable:
            kept = self.pool.take(router, self._clock())
            if kept is not None:
                return kept
        return await open_channel(self._addresses.get(router, ""), CONNECT_TIMEOUT_S)

    async def ask_reached(
        self, endpoint: Endpoint, others: Sequence[Endpoint]
    ) -> list[list[str]]:
        """Return which endpoints some routers reach, by probes of their own.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint in question, by which the routers are chosen.
        others : sequence of Endpoint
            Further endpoints, for comparison.

        Returns
        -------
        list of list of str
            Names of those reached, for each router that answered.
        """
        own = self._members.own.name
        routers = [m.name for m in self._members.list_live() if m.name != own]
        asked = hashing.rendezvous_order(
            f"{own} {endpoint.name}", routers, CONFIRMING_ROUTERS
        )
        endpoints = [endpoint, *others]
        replies = await asyncio.gather(*(self._probe(r, endpoints) for r in asked))
        return [reached for reached in replies if reached is not None]

    async def is_reached_through(self, router: str, endpoint: Endpoint) -> bool | None:
        """Return whether a router reaches an endpoint, None if it doesn't answer."""
        reached = await self._probe(router, [endpoint])
        return None if reached is None else endpoint.name in reached

    async def _probe(
        self, router: str, endpoints: Sequence[Endpoint]
    ) -> list[str] | None:
        """Return the endpoints that a router reaches now, None without an answer."""
        names = ",".join(endpoint.name for endpoint in endpoints)
        query = urlencode({"endpoints": names, FRESH_ARGUMENT: "1"})
        try:
            return await self._pull_reached(router, query)
        except (PeerUnavailable, ValueError, TypeError) as error:
            log_event(
                RELAY_LOST,
                router=router,
                endpoint=endpoints[0].name,
                reason=repr(error),
            )
            return None

    async def _pull_reached(self, router: str, query: str) -> list[str]:
        """Return the endpoints that a router reaches.

        Raises
        ------
        PeerUnavailable
            If the router doesn't answer, or has no such page.
        ValueError, TypeError
            If its answer is malformed.
        """
        assert self.pull is not None
        addresses = {m.name: m.peer_address for m in self._members.list_live()}
        if router not in addresses:
            raise PeerUnavailable(f"router '{router}' is gone")
        uri = f"{REACH_PATH}?{query}"
        text = await self.pull(addresses[router], uri, REPLY_TIMEOUT_S)
        return [str(name) for name in json.loads(text)]

    def observe_refused(self, router: str, endpoint: str) -> None:
        """Record that a router could not forward an attempt to an endpoint."""
        log_event(RELAY_LOST, router=router, endpoint=endpoint, reason="refused")
        self.paths.observe_refused(router, endpoint)
        self._publish()

    def observe_lost(self, router: str, endpoint: str, reason: str) -> None:
        """Record that a router is silent or has ended its connections."""
        log_event(RELAY_LOST, router=router, endpoint=endpoint, reason=reason)
        self.pool.drop(router)
        self.paths.observe_lost(router, self._clock())
        self._publish()

    def _ask(self, question: Question) -> None:
        task = asyncio.create_task(self._ask_router(question), name="ask reach")
        self._questions[question.router] = task
        task.add_done_callback(lambda done: self._end(question.router, done))

    def _end(self, router: str, task: asyncio.Task[None]) -> None:
        del self._questions[router]
        log_task_failure(task)

    async def _ask_router(self, question: Question) -> None:
        query = urlencode({"endpoints": ",".join(question.endpoints)})
        try:
            reached = await self._pull_reached(question.router, query)
        except (PeerUnavailable, ValueError, TypeError) as error:
            # A router of an earlier release has no such page.
            log_event(
                RELAY_LOST, router=question.router, endpoint="", reason=repr(error)
            )
            self.paths.observe_unanswered(question.router, self._clock())
        else:
            now_s = self._clock()
            found = self.paths.observe_reply(question.router, reached, now_s)
            if found:
                log_event(RELAY_FOUND, router=question.router, endpoints=len(found))
        self._publish()

    def _publish(self) -> None:
        self._placer.relayed = self.paths.reachable

    async def stop(self) -> None:
        """Cancel all questions and close the connections."""
        tasks = list(self._questions.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.pool.close()
