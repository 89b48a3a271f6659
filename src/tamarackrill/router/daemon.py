"""``tamarackrilld``: reads the settings and runs one router until SIGTERM."""

import asyncio
import os
import signal
import sys
from collections.abc import Sequence

from tamarackrill.exceptions import Finding, FindingsError, TamarackrillError
from tamarackrill.logs import set_up_logs
from tamarackrill.router.app import RouterApplication
from tamarackrill.settings import Settings, load_settings


async def run_router(settings: Settings) -> None:
    """Run one router until SIGTERM or SIGINT, then drain and stop it."""
    told_to_stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told_to_stop.set)
    application = RouterApplication(settings)
    try:
        await application.start()
    except OSError as error:
        # Most often another process has the port; a traceback would hide which one.
        message = f"can't listen: {error.strerror or error}"
        raise FindingsError([Finding("--address, --port", message)]) from error
    try:
        await told_to_stop.wait()
        await application.drain()
    finally:
        await application.stop()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    try:
        settings = load_settings(
            sys.argv[1:] if arguments is None else arguments, os.environ
        )
        set_up_logs(settings.log_format)
        asyncio.run(run_router(settings))
    except TamarackrillError as error:
        print(error.show(), file=sys.stderr)
        return error.exit_code
    return 0


if __name__ == "__main__":
    sys.exit(main())
