"""``tamarackrilld``: loads the settings and runs one router until SIGTERM."""

import sys
from collections.abc import Sequence

from tamarackrill.router.process import Signals, run_process


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    command_line = sys.argv[1:] if arguments is None else arguments
    return run_process(lambda signals: _run(command_line, signals))


def _run(arguments: Sequence[str], signals: Signals) -> None:
    import asyncio
    import os

    from tamarackrill.logs import set_up_logs
    from tamarackrill.router.app import RouterApplication
    from tamarackrill.router.lifecycle import run_until_stopped
    from tamarackrill.settings import load_settings

    settings = load_settings(arguments, os.environ)
    set_up_logs(settings.log_format)
    application = RouterApplication(settings)
    asyncio.run(
        run_until_stopped(application, application.start, signals, settings.name)
    )


if __name__ == "__main__":
    sys.exit(main())
