"""Runs one router on the platform in this process, until SIGTERM."""

import asyncio
import signal
import socket

from tamarackrill.events import ROUTER_RELOAD, log_event
from tamarackrill.logs import BoundedHandler, set_up_bounded_logs
from tamarackrill.platform.settings_file import PlatformSettings
from tamarackrill.router.edge_app import EdgeApplication


def run(
    settings: PlatformSettings,
    peer_keys: tuple[str, ...],
    metrics_port: int,
    listener: socket.socket,
) -> None:
    """Run one router, then drain and stop it.

    Parameters
    ----------
    settings : PlatformSettings
        Checked settings.
    peer_keys : tuple of str
        Prove the messages between routers.
    metrics_port : int
        Where metrics are served.
    listener : socket.socket
        Listens for callers already.
    """
    log = set_up_bounded_logs()
    asyncio.run(_run_until_told(settings, peer_keys, metrics_port, listener, log))


async def _run_until_told(
    settings: PlatformSettings,
    peer_keys: tuple[str, ...],
    metrics_port: int,
    listener: socket.socket,
    log: BoundedHandler,
) -> None:
    told_to_stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told_to_stop.set)

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
    await application.start(listener)
    try:
        await told_to_stop.wait()
        await application.drain()
    finally:
        await application.stop()
