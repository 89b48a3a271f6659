"""Runs a deployment from examples/ in one process, with stand-in back ends.

``python -m tamarackrill.testing.deployment examples/cegin-ddata`` starts the platform,
the services' workers, two engines for each model that a contract names, and one router
for each entry VM, all on loopback.  It runs until SIGINT or SIGTERM, and the command
line and the load tool can be used against it.
"""

import argparse
import asyncio
import json
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer

from tamarackrill.commands.contracts import apply_contracts
from tamarackrill.contracts import Endpoint, read_endpoint
from tamarackrill.documents import read_document
from tamarackrill.logs import set_up_logs
from tamarackrill.router.app import RouterApplication
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.settings import load_settings
from tamarackrill.testing.daemon import announce, listen
from tamarackrill.testing.engine import EngineState, make_engine
from tamarackrill.testing.platform import PlatformState, make_platform
from tamarackrill.testing.service import ServiceState, make_service

# The files don't list engines; two per model are enough to show routing between them.
ENGINES_PER_MODEL = 2
READY_POLL_S = 0.02


class Deployment:
    """All parts of one deployment, run in this process.

    Parameters
    ----------
    directory : pathlib.Path
        Contains ``fleet.env``, ``vms/``, ``contracts/`` and ``endpoints/``.
    free_ports : bool, default=False
        Use free ports instead of those in the files.
    """

    def __init__(self, directory: Path, free_ports: bool = False) -> None:
        self.routers: list[RouterApplication] = []
        self.platform_address = ""
        self._directory = directory
        self._free_ports = free_ports
        self._state = PlatformState()
        self._servers: list[HTTPServer] = []
        self._client = AsyncHTTPClient(force_instance=True)

    async def start(self) -> None:
        """Start everything, and wait until all routers have the whole configuration."""
        common = read_environment(self._directory / "fleet.env")
        port = int(common["TAMARACKRILL_PLATFORM"].rpartition(":")[2])
        self.platform_address = self._serve(make_platform(self._state), port)
        platform = PlatformClient(self.platform_address, "", self._client)
        documents = [read_document(str(path)) for path in self._list("contracts")]
        await apply_contracts(platform, documents)
        for endpoint in self._list_endpoints(documents):
            await announce(platform, endpoint)
        for path in self._list("vms", "*.env"):
            await self._start_router({**common, **read_environment(path)})
        self._state.vms = [router.describe_vm() for router in self.routers]
        while not all(self._is_ready(router, documents) for router in self.routers):
            await asyncio.sleep(READY_POLL_S)

    async def stop(self) -> None:
        """Stop everything that `start` started."""
        for router in self.routers:
            await router.drain()
            await router.stop()
        for server in self._servers:
            server.stop()
        self._client.close()

    def _list(self, part: str, pattern: str = "*.json") -> list[Path]:
        return sorted((self._directory / part).glob(pattern))

    def _serve(self, application: Any, port: int) -> str:
        server, address = listen(application, 0 if self._free_ports else port)
        self._servers.append(server)
        return address

    def _list_endpoints(self, documents: Sequence[Any]) -> list[Endpoint]:
        paths = self._list("endpoints")
        workers = [read_endpoint(json.loads(path.read_text())) for path in paths]
        zones = sorted({worker.zone for worker in workers})
        models = {model for item in documents for model in item.value["models"]}
        endpoints = [self._start_worker(worker) for worker in workers]
        for model in sorted(models):
            for number in range(ENGINES_PER_MODEL):
                zone = zones[number % len(zones)]
                endpoints.append(self._start_engine(f"{model}-{number}", model, zone))
        return endpoints

    def _start_worker(self, worker: Endpoint) -> Endpoint:
        port = int(worker.address.rpartition(":")[2])
        address = self._serve(make_service(ServiceState(worker.name)), port)
        return worker._replace(address=address)

    def _start_engine(self, name: str, model: str, zone: str) -> Endpoint:
        address = self._serve(make_engine(EngineState(name)), 0)
        return Endpoint(name, "engine", (model,), address, zone)

    async def _start_router(self, environment: dict[str, str]) -> None:
        own = {"TAMARACKRILL_PLATFORM": self.platform_address}
        if self._free_ports:
            own |= {"TAMARACKRILL_PORT": "0", "TAMARACKRILL_PEER_PORT": "0"}
        router = RouterApplication(load_settings([], {**environment, **own}))
        await router.start()
        self.routers.append(router)

    def _is_ready(self, router: RouterApplication, documents: Sequence[Any]) -> bool:
        return (
            len(router.list_contracts()) == len(documents)
            and len(router.members.list_live()) == len(self.routers)
            and bool(router.list_endpoints())
        )


def read_environment(path: Path) -> dict[str, str]:
    """Read a file of ``NAME=value`` lines, skipping blank lines and comments."""
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines()]
    pairs = [line.split("=", 1) for line in lines if line and not line.startswith("#")]
    return dict(pairs)


async def run_deployment(directory: Path) -> None:
    """Run a deployment until SIGINT or SIGTERM."""
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    deployment = Deployment(directory)
    await deployment.start()
    print(f"platform {deployment.platform_address}")
    for router in deployment.routers:
        print(f"router {router.settings.name} {router.address}")
    print(f"API keys of the teams: {directory / 'keys.json'}", flush=True)
    await stopped.wait()
    await deployment.stop()


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the deployment in the directory given on the command line."""
    parser = argparse.ArgumentParser(prog="tamarackrill.testing.deployment")
    parser.add_argument("directory", type=Path)
    options = parser.parse_args(arguments)
    set_up_logs("text")
    asyncio.run(run_deployment(options.directory))


if __name__ == "__main__":
    main(sys.argv[1:])
