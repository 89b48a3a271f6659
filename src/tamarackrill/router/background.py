"""Failure handling of long-running background tasks."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from tamarackrill.events import TASK_FAILED, TASK_RESTARTED, log_event
from tamarackrill.router.unexpected_errors import convert_stray_cancellation

# Between a failure of a task and its restart.  A task that fails at once again would
# otherwise take all of the processor time.
RESTART_PAUSE_S = 0.5


async def run_restarting(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Await ``run()``, again and again if it raises.

    Parameters
    ----------
    name : str
        Name of the task, for the log.
    run : callable
        Starts the work from its beginning.
    """
    while True:
        try:
            with convert_stray_cancellation():
                return await run()
        except Exception as error:
            log_event(TASK_RESTARTED, task=name, error=repr(error))
        await asyncio.sleep(RESTART_PAUSE_S)


def log_task_failure(task: asyncio.Task[Any]) -> bool:
    """Log the exception that ended a task, if any; return whether there was one.

    Otherwise the router would continue to serve, and nobody would notice that, for
    example, it no longer receives configuration updates.
    """
    if task.cancelled() or task.exception() is None:
        return False
    log_event(TASK_FAILED, task=task.get_name(), error=repr(task.exception()))
    return True


def discard_error(ended: asyncio.Future[Any]) -> None:
    """Drop the error of a future that nobody waits for any more."""
    if not ended.cancelled():
        ended.exception()
