"""Asks by connections of its own which endpoints can be reached."""

import asyncio
from collections.abc import Callable

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.reach import Reachability
from tamarackrill.events import ENDPOINT_REACHED, ENDPOINT_UNREACHED, log_event
from tamarackrill.router.background import log_task_failure
from tamarackrill.router.channels import open_channel

# A path inside a region takes 3 ms; the opening packet is sent again after a second,
# and by then another endpoint has answered.
CONNECT_TIMEOUT_S = 0.15


class Paths:
    """Keeps `Reachability` up to date.

    Parameters
    ----------
    reach : Reachability
        What is known.
    list_endpoints : callable
        Returns all endpoints known now.
    list_witnesses : callable
        Returns routers of other zones, whose paths tell a cut from endpoints that have
        ended.
    drop_idle : callable
        Closes the idle connections to an endpoint by its name.
    clock : callable
        Returns the present time.
    """

    def __init__(
        self,
        reach: Reachability,
        list_endpoints: Callable[[], list[Endpoint]],
        list_witnesses: Callable[[], list[Endpoint]],
        drop_idle: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        self._reach = reach
        self._list_endpoints = list_endpoints
        self._list_witnesses = list_witnesses
        self._drop_idle = drop_idle
        self._clock = clock
        self._asked: dict[str, asyncio.Task[None]] = {}

    def note_failure(self, endpoint: Endpoint, error: Exception) -> None:
        """Take that no connection could be made, or that one died."""
        self._drop_idle(endpoint.name)
        if not self._reach.observe_failure(endpoint, self._clock()):
            return
        log_event(
            ENDPOINT_UNREACHED,
            endpoint=endpoint.name,
            zone=endpoint.zone,
            detail=repr(error),
        )
        # One that refuses connections has ended; its neighbours need not have.
        if not isinstance(error, ConnectionRefusedError):
            endpoints = self._list_endpoints()
            suspects = self._reach.list_same_zone(endpoint, endpoints)
            suspects += self._reach.list_other_zones(endpoint, endpoints)
            suspects += self._list_witnesses()
            for suspect in suspects:
                self.ask(suspect)

    def note_answer(self, endpoint: Endpoint) -> None:
        """Take that an endpoint has answered."""
        if self._reach.observe_answer(endpoint):
            log_event(ENDPOINT_REACHED, endpoint=endpoint.name, zone=endpoint.zone)

    def ask_due(self) -> None:
        """Ask those whose pause is over."""
        if not self._reach.unreachable:
            return
        endpoints = [*self._list_endpoints(), *self._list_witnesses()]
        for endpoint in self._reach.list_due(endpoints, self._clock()):
            self.ask(endpoint)

    def ask(self, endpoint: Endpoint) -> None:
        """Ask an endpoint, unless that is under way."""
        if endpoint.name in self._asked:
            return
        task = asyncio.create_task(self._ask(endpoint), name="ask path")
        self._asked[endpoint.name] = task
        task.add_done_callback(lambda done: self._end(endpoint.name, done))

    def _end(self, name: str, task: asyncio.Task[None]) -> None:
        del self._asked[name]
        log_task_failure(task)

    async def _ask(self, endpoint: Endpoint) -> None:
        try:
            channel = await open_channel(endpoint.address, CONNECT_TIMEOUT_S)
        except OSError as error:
            self.note_failure(endpoint, error)
        else:
            channel.close()
            self.note_answer(endpoint)

    async def stop(self) -> None:
        """End all questions."""
        tasks = list(self._asked.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
