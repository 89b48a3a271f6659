"""``tamarackrill-edge``: one router on the platform, until SIGTERM."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from tamarackrill.events import ROUTER_RELOAD, log_event
from tamarackrill.exceptions import Finding, FindingsError, TamarackrillError
from tamarackrill.logs import BoundedHandler, set_up_bounded_logs
from tamarackrill.platform.settings_file import PATH_VARIABLE, parse_settings
from tamarackrill.router.edge_app import METRICS_PORT, EdgeApplication

PEER_KEYS_VARIABLE = "TAMARACKRILL_PEER_KEYS"
METRICS_PORT_VARIABLE = "TAMARACKRILL_METRICS_PORT"


async def run_router(
    path: Path, peer_keys: tuple[str, ...], metrics_port: int, log: BoundedHandler
) -> None:
    """Run one router until SIGTERM or SIGINT, then drain and stop it."""
    told_to_stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told_to_stop.set)
    settings = parse_settings(str(path), path.read_text(encoding="utf-8"))

    def note_reload() -> None:
        # Settings hold nothing that a running process could take over: addresses are
        # bound, and manifest and endpoints come from the store.  Without a handler the
        # signal would end the process.
        log_event(ROUTER_RELOAD, router=settings.name)

    loop.add_signal_handler(signal.SIGHUP, note_reload)

    def flush_log() -> None:
        log.report_left_out()
        log.flush()

    application = EdgeApplication(settings, peer_keys, metrics_port, flush_log)
    await application.start()
    try:
        await told_to_stop.wait()
        await application.drain()
    finally:
        await application.stop()


def main() -> int:
    """Run the daemon and return its exit code."""
    try:
        path = os.environ.get(PATH_VARIABLE)
        if not path:
            raise FindingsError([Finding(PATH_VARIABLE, "is not set")])
        keys = os.environ.get(PEER_KEYS_VARIABLE, "")
        peer_keys = tuple(key.strip() for key in keys.split(",") if key.strip())
        if not peer_keys:
            raise FindingsError([Finding(PEER_KEYS_VARIABLE, "holds no key")])
        port = os.environ.get(METRICS_PORT_VARIABLE, str(METRICS_PORT))
        if not port.isdigit():
            message = f"{port!r} is no port"
            raise FindingsError([Finding(METRICS_PORT_VARIABLE, message)])
        log = set_up_bounded_logs()
        asyncio.run(run_router(Path(path), peer_keys, int(port), log))
    except TamarackrillError as error:
        print(error.show(), file=sys.stderr)
        return error.exit_code
    return 0


if __name__ == "__main__":
    sys.exit(main())
