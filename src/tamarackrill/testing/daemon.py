"""Runs one stand-in as a process: ``python -m tamarackrill.testing.daemon``.

It prints ``listening <host:port>`` once it accepts connections.  An engine or service
registers itself on the platform, as a real endpoint does.
"""

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from typing import Any

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from tamarackrill.contracts import ENDPOINT_KIND, Endpoint
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.testing.engine import EngineState, make_engine
from tamarackrill.testing.platform import PlatformState, make_platform
from tamarackrill.testing.service import ServiceState, make_service

LOOPBACK = "127.0.0.1"
CRASH_EXIT_CODE = 70


def listen(application: Application, port: int = 0) -> tuple[HTTPServer, str]:
    """Serve an application on the loopback interface.

    Parameters
    ----------
    application : tornado.web.Application
        Application to serve.
    port : int, default=0
        TCP port; 0 picks a free one.

    Returns
    -------
    server : tornado.httpserver.HTTPServer
        Server, already listening; ``server.stop()`` stops it.
    address : str
        ``host:port`` on which it listens.
    """
    sockets = bind_sockets(port, LOOPBACK)
    server = HTTPServer(application)
    server.add_sockets(sockets)
    return server, f"{LOOPBACK}:{sockets[0].getsockname()[1]}"


async def announce(platform: PlatformClient, endpoint: Endpoint) -> None:
    """Register an endpoint on the platform, replacing any existing version."""
    current = await platform.get(ENDPOINT_KIND, endpoint.name)
    version = current.version if current else None
    await platform.put(ENDPOINT_KIND, endpoint.name, endpoint._asdict(), version)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="tamarackrill.testing.daemon")
    parser.add_argument("what", choices=("platform", "engine", "service"))
    parser.add_argument("--name", default="stand-in")
    parser.add_argument("--zone", default="zone-a")
    parser.add_argument(
        "--serves", default="", help="models or service, comma-separated"
    )
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--models-max", type=int, default=1)
    parser.add_argument("--step-s", type=float, default=0.001)
    parser.add_argument("--platform", help="host:port of the platform to register on")
    parser.add_argument("--port", type=int, default=0)
    return parser


def _make_application(options: argparse.Namespace) -> tuple[Application, Any]:
    if options.what == "platform":
        return make_platform(PlatformState()), None
    if options.what == "service":
        return make_service(ServiceState(options.name)), None
    state = EngineState(
        options.name,
        options.slots,
        options.step_s,
        crash=lambda: os._exit(CRASH_EXIT_CODE),
        serves=tuple(options.serves.split(",")),
    )
    return make_engine(state), state


def _make_endpoint(options: argparse.Namespace, address: str) -> Endpoint:
    return Endpoint(
        options.name,
        options.what,
        tuple(options.serves.split(",")),
        address,
        options.zone,
        slots=options.slots,
        models_max=options.models_max,
    )


async def _run(options: argparse.Namespace) -> None:
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    application, engine = _make_application(options)
    server, address = listen(application, options.port)
    if options.platform:
        client = PlatformClient(options.platform, options.zone, AsyncHTTPClient())
        endpoint = _make_endpoint(options, address)
        await announce(client, endpoint)
        if engine is not None:
            engine.on_loaded = lambda serves: announce(
                client, endpoint._replace(serves=serves)
            )
    print(f"listening {address}", flush=True)
    await stopped.wait()
    server.stop()


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one stand-in until SIGTERM."""
    asyncio.run(_run(_build_parser().parse_args(arguments)))


if __name__ == "__main__":
    main(sys.argv[1:])
