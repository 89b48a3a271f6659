"""The life of a router's application: started, told to stop, drained, stopped."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from tamarackrill.events import ROUTER_RELOAD, log_event
from tamarackrill.router.process import Signals


class Application(Protocol):
    """What `run_until_stopped` needs of an application object."""

    async def drain(self, stop_requested_s: float | None = None) -> None:
        """Wait for requests in flight, up to a limit.

        The limit counts from `stop_requested_s`, or from now if it is None.
        """

    async def stop(self) -> None:
        """Close all that the start opened."""


async def run_until_stopped(
    application: Application,
    start: Callable[[], Awaitable[None]],
    signals: Signals,
    router: str,
) -> None:
    """Start an application, and drain and stop it once the process is told to stop.

    Parameters
    ----------
    application : Application
        Owns what `start` opens.
    start : callable
        Starts it.  A router that is told to stop meanwhile is started all the same:
        the callers that are connected already are owed an answer.
    signals : Signals
        Those of this process.
    router : str
        Its name, for the log.
    """
    told_to_stop = asyncio.Event()

    def take_signals() -> None:
        signals.clear_wakeups()
        for _ in range(signals.pop_reload_count()):
            # Neither daemon has settings that a running process could take over.
            log_event(ROUTER_RELOAD, router=router)
        if signals.stop_requested_s is not None:
            told_to_stop.set()

    loop = asyncio.get_running_loop()
    loop.add_reader(signals.fileno(), take_signals)
    try:
        take_signals()
        await start()
        try:
            await told_to_stop.wait()
            assert signals.stop_requested_s is not None
            await application.drain(signals.stop_requested_s)
        finally:
            await application.stop()
    finally:
        loop.remove_reader(signals.fileno())
