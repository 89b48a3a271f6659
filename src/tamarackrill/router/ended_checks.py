"""Checks whether routers that were taken for dead have ended."""

import asyncio
from collections.abc import Awaitable, Callable

from tamarackrill.decisions.ended_routers import EndedRouters
from tamarackrill.router.channels import Channel
from tamarackrill.router.members import Members
from tamarackrill.router.paths import CONNECT_TIMEOUT_S


class EndedChecks:
    """Connects to lost routers; see `decisions.ended_routers`.

    Parameters
    ----------
    members : Members
        Routers, and those that were taken for dead.
    connect : callable
        ``await connect(address, timeout_s)`` opens a connection.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        members: Members,
        connect: Callable[[str, float], Awaitable[Channel]],
        clock: Callable[[], float],
    ) -> None:
        self._members = members
        self._connect = connect
        self._clock = clock
        self._ended = EndedRouters()
        self._tasks: set[asyncio.Task[None]] = set()

    def update(self) -> None:
        """Start the checks that are due."""
        for address in self._ended.start_checks(self._list_lost(), self._clock()):
            task = asyncio.create_task(self._check(address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def count_running(self) -> int:
        """Return how many of the routers that were taken for dead may run."""
        return self._ended.count_running(self._list_lost(), self._clock())

    async def stop(self) -> None:
        """Cancel the checks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _list_lost(self) -> list[str]:
        return [member.peer_address for member in self._members.lost]

    async def _check(self, address: str) -> None:
        sent_s = self._clock()
        is_refused = False
        try:
            (await self._connect(address, CONNECT_TIMEOUT_S)).close()
        except OSError as error:
            is_refused = isinstance(error, ConnectionRefusedError)
        self._ended.observe(address, is_refused, sent_s)
