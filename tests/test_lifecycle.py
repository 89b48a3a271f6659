"""Start and stop of an application."""

import asyncio
import gc
import os
import sys

from tamarackrill.router.lifecycle import run_until_stopped

STOPPED_S = 1.0


class StoppedAtOnce:
    """An application and its signals; a stop was requested before it started."""

    stop_requested_s = STOPPED_S

    def __init__(self):
        self.read_fd, self.write_fd = os.pipe()
        self.examined = 0

    def fileno(self):
        return self.read_fd

    def clear_wakeups(self):
        pass

    def pop_reload_count(self):
        return 0

    async def start(self):
        pass

    async def drain(self, stop_requested_s=None):
        modules = {id(module) for module in sys.modules.values()}
        self.examined = sum(id(found) in modules for found in gc.get_objects())

    async def stop(self):
        os.close(self.read_fd)
        os.close(self.write_fd)


def test_garbage_collection_of_a_started_router_examines_no_modules():
    # Guards against requests that are held up while a router on a small share of a core
    # searches all that it has imported for garbage.
    application = StoppedAtOnce()
    try:
        asyncio.run(
            run_until_stopped(application, application.start, application, "r1")
        )
    finally:
        gc.unfreeze()
    assert application.examined == 0
