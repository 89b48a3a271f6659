"""What becomes of a task that runs for as long as the router does."""

import asyncio

from tamarackrill.events import TASK_FAILED, log_event


def log_task_failure(task: asyncio.Task[None]) -> bool:
    """Log the end of a task by a fault of ours; return whether it was one.

    Without it the router would answer on, and nobody would notice that it no longer
    hears of the configuration, say.
    """
    if task.cancelled() or task.exception() is None:
        return False
    log_event(TASK_FAILED, task=task.get_name(), error=repr(task.exception()))
    return True
