"""Runs one router on the platform in this process, until it is told to stop."""

import asyncio
import socket

from tamarackrill.logs import set_up_bounded_logs
from tamarackrill.platform.settings_file import PlatformSettings
from tamarackrill.router.edge_app import EdgeApplication
from tamarackrill.router.lifecycle import run_until_told
from tamarackrill.router.process import Signals


def run(
    settings: PlatformSettings,
    peer_keys: tuple[str, ...],
    metrics_port: int,
    listener: socket.socket,
    signals: Signals,
    peer_address: str = "",
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
    signals : Signals
        Those of this process.
    peer_address : str, optional
        Where other routers reach this one, if it isn't what it listens at.
    """
    log = set_up_bounded_logs()

    def flush_log() -> None:
        log.report_left_out()
        log.flush()

    application = EdgeApplication(
        settings, peer_keys, metrics_port, flush_log, peer_address
    )
    asyncio.run(
        run_until_told(
            application, lambda: application.start(listener), signals, settings.name
        )
    )
