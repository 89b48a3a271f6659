"""Probes which endpoints are reachable, by connections of its own."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.reach import Reachability
from tamarackrill.events import ENDPOINT_REACHED, ENDPOINT_UNREACHED, log_event
from tamarackrill.router.background import log_task_failure
from tamarackrill.router.channels import Connect, DescriptorsExhausted, open_channel

# Connecting within a region takes 3 ms.  A lost SYN is sent again only after 1 s, and
# by then another endpoint has answered.
CONNECT_TIMEOUT_S = 0.15


class PathProber:
    """Keeps `Reachability` up to date from probes and from the results of requests.

    Parameters
    ----------
    reach : Reachability
        Reachability of the endpoints, updated here.
    list_endpoints : callable
        Returns all endpoints known now.
    list_witnesses : callable
        Returns routers of other zones; probes of them tell a network partition from
        endpoints that have stopped.
    drop_idle : callable
        Closes the idle connections to an endpoint by its name.
    clock : callable
        Returns the current time.
    connect : callable, optional
        Opens connections to endpoints.

    Attributes
    ----------
    on_reached : callable
        Called with each endpoint that can be reached again.
    probe_outcomes : Counter
        Number of probes that ended, by outcome: ``"reached"`` or ``"failed"``.
    """

    def __init__(
        self,
        reach: Reachability,
        list_endpoints: Callable[[], list[Endpoint]],
        list_witnesses: Callable[[], list[Endpoint]],
        drop_idle: Callable[[str], None],
        clock: Callable[[], float],
        connect: Connect = open_channel,
    ) -> None:
        self._connect = connect
        self._reach = reach
        self._list_endpoints = list_endpoints
        self._list_witnesses = list_witnesses
        self._drop_idle = drop_idle
        self._clock = clock
        self.on_reached: Callable[[Endpoint], None] = lambda endpoint: None
        self.probe_outcomes: Counter[str] = Counter()
        self._probes: dict[str, asyncio.Task[bool]] = {}

    def record_failure(self, endpoint: Endpoint, error: Exception) -> None:
        """Record that a connection could not be made or was lost."""
        if isinstance(error, DescriptorsExhausted):
            return
        self._drop_idle(endpoint.name)
        if not self._reach.observe_failure(endpoint, self._clock()):
            return
        log_event(
            ENDPOINT_UNREACHED,
            endpoint=endpoint.name,
            zone=endpoint.zone,
            detail=repr(error),
        )
        # A refused connection means that only this endpoint has stopped; other errors
        # may affect other endpoints too.
        if not isinstance(error, ConnectionRefusedError):
            endpoints = self._list_endpoints()
            suspects = self._reach.list_same_zone(endpoint, endpoints)
            suspects += self._reach.list_other_zones(endpoint, endpoints)
            suspects += self._list_witnesses()
            for suspect in suspects:
                self.probe(suspect)

    def record_answer(self, endpoint: Endpoint) -> None:
        """Record that an endpoint has answered."""
        self._reach.record_answer_time(endpoint.name, self._clock())
        if self._reach.observe_answer(endpoint):
            log_event(ENDPOINT_REACHED, endpoint=endpoint.name, zone=endpoint.zone)
            self.on_reached(endpoint)

    def probe_due(self) -> None:
        """Probe the unreachable endpoints whose backoff has passed."""
        if not self._reach.unreachable:
            return
        endpoints = [*self._list_endpoints(), *self._list_witnesses()]
        for endpoint in self._reach.list_due(endpoints, self._clock()):
            self.probe(endpoint)

    async def confirm_reached(
        self, endpoints: Iterable[Endpoint], is_fresh: bool = False
    ) -> list[str]:
        """Return which endpoints can be reached, after probing some of them.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Endpoints in question.
        is_fresh : bool, default=False
            Whether only connections count that are opened after this call.
        """
        wanted = list(endpoints)
        if is_fresh:
            found = await asyncio.gather(*map(self._probe_afresh, wanted))
            return [e.name for e, ok in zip(wanted, found, strict=True) if ok]
        now_s = self._clock()
        probed = [
            endpoint
            for endpoint in wanted
            if not self._reach.has_answered(endpoint.name, now_s)
        ]
        for endpoint in probed:
            self.probe(endpoint)
        tasks = [t for e in probed if (t := self._probes.get(e.name)) is not None]
        if tasks:
            await asyncio.wait(tasks)
        now_s = self._clock()
        return [e.name for e in wanted if self._reach.has_answered(e.name, now_s)]

    async def _probe_afresh(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint takes a connection that is opened from now on.

        A process that has just ended may have taken the connection of a probe that is
        still running, and its last answers may be read late.
        """
        running = self._probes.get(endpoint.name)
        if running is not None:
            await asyncio.wait([running])
        # Whoever waited for the same probe shares the next one.
        self.probe(endpoint)
        task = self._probes[endpoint.name]
        await asyncio.wait([task])
        is_done = not task.cancelled() and task.exception() is None
        return is_done and task.result()

    def probe(self, endpoint: Endpoint) -> None:
        """Start a probe of an endpoint, unless one is running."""
        if endpoint.name in self._probes:
            return
        task = asyncio.create_task(self._probe(endpoint), name="ask path")
        self._probes[endpoint.name] = task
        task.add_done_callback(lambda done: self._end(endpoint.name, done))

    def _end(self, name: str, task: asyncio.Task[bool]) -> None:
        del self._probes[name]
        log_task_failure(task)

    async def _probe(self, endpoint: Endpoint) -> bool:
        try:
            channel = await self._connect(endpoint.address, CONNECT_TIMEOUT_S)
        except OSError as error:
            self.probe_outcomes["failed"] += 1
            self.record_failure(endpoint, error)
            return False
        self.probe_outcomes["reached"] += 1
        channel.close()
        self.record_answer(endpoint)
        return True

    async def stop(self) -> None:
        """Cancel all running probes."""
        tasks = list(self._probes.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
