"""Application lifecycle: start, wait for a stop signal, drain, stop."""

import asyncio
import gc
from collections.abc import Awaitable, Callable
from typing import Protocol

from tamarackrill.events import ROUTER_RELOAD, log_event
from tamarackrill.router.process import Signals


class Application(Protocol):
    """Interface of the applications that `run_until_stopped` runs."""

    async def drain(self, stop_requested_s: float | None = None) -> None:
        """Wait for requests in flight, up to a limit.

        The limit counts from `stop_requested_s`, or from now if it is None.
        """

    async def stop(self) -> None:
        """Close everything that the start opened."""


async def run_until_stopped(
    application: Application,
    start: Callable[[], Awaitable[None]],
    signals: Signals,
    router: str,
) -> None:
    """Run an application until a stop signal arrives, then drain and stop it.

    Parameters
    ----------
    application : Application
        The application; owns everything that `start` opens.
    start : callable
        Starts the application.  The start completes even if a stop signal arrives
        meanwhile, so that callers that are already connected get a response.
    signals : Signals
        Signals of this process.
    router : str
        Name of the router, for the log.
    """
    stop_event = asyncio.Event()

    def handle_signals() -> None:
        signals.clear_wakeups()
        for _ in range(signals.pop_reload_count()):
            # Neither daemon has settings that can be reloaded at run time.
            log_event(ROUTER_RELOAD, router=router)
        if signals.stop_requested_s is not None:
            stop_event.set()

    loop = asyncio.get_running_loop()
    loop.add_reader(signals.fileno(), handle_signals)
    try:
        handle_signals()
        await start()
        # A full garbage collection would examine all modules each time, which takes a
        # VM with an eighth of a core a quarter of a second.
        gc.freeze()
        try:
            await stop_event.wait()
            assert signals.stop_requested_s is not None
            await application.drain(signals.stop_requested_s)
        finally:
            await application.stop()
    finally:
        loop.remove_reader(signals.fileno())
