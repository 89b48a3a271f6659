"""Runs one router on the platform in this process until a stop signal."""

import asyncio
import socket

from tamarackrill.logs import set_up_bounded_logs
from tamarackrill.router.edge_app import EdgeApplication
from tamarackrill.router.edge_options import EdgeOptions
from tamarackrill.router.lifecycle import run_until_stopped
from tamarackrill.router.process import Signals


def run(options: EdgeOptions, listener: socket.socket, signals: Signals) -> None:
    """Run one router, then drain and stop it.

    Parameters
    ----------
    options : EdgeOptions
        Validated options.
    listener : socket.socket
        Socket that already listens for callers.
    signals : Signals
        Signals received by this process.
    """
    log = set_up_bounded_logs()

    def flush_log() -> None:
        log.report_dropped()
        log.flush()

    application = EdgeApplication(
        options.settings,
        options.peer_keys,
        options.metrics_port,
        flush_log,
        options.peer_address,
    )
    asyncio.run(
        run_until_stopped(
            application,
            lambda: application.start(listener),
            signals,
            options.settings.name,
        )
    )
