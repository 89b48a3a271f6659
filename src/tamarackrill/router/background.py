"""Failure handling of long-running background tasks."""

import asyncio

from tamarackrill.events import TASK_FAILED, log_event


def log_task_failure(task: asyncio.Task[None]) -> bool:
    """Log the exception that ended a task, if any; return whether there was one.

    Otherwise the router would continue to serve, and nobody would notice that, for
    example, it no longer receives configuration updates.
    """
    if task.cancelled() or task.exception() is None:
        return False
    log_event(TASK_FAILED, task=task.get_name(), error=repr(task.exception()))
    return True
