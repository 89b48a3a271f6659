"""Router processes of which one is stopped while its surroundings change."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from tamarackrill.testing.edge import EdgeAnswer, EdgeClient, EdgeFleet
from tamarackrill.testing.edge_processes import EdgeProcess, choose_addresses
from tamarackrill.testing.ports import find_free_port
from tamarackrill.testing.worker import Worker

ANSWER_TIMEOUT_S = 5.0
# Time from sending requests to a stopped router until it goes on.
SENT_BEFORE_S = 0.1
NEWS_MAX_S = 2.0


class StoppedRouter(EdgeFleet):
    """Store, workers and three router processes, the first of which is stopped.

    Attributes
    ----------
    processes : list of EdgeProcess
        The routers.
    """

    def __init__(self) -> None:
        super().__init__()
        self.processes: list[EdgeProcess] = []

    async def __aexit__(self, *exc_info: object) -> None:
        for process in self.processes:
            process.kill()
        await super().__aexit__(*exc_info)

    async def start(self, folder: Path, **fields: Any) -> None:
        """Start the routers, and wait until they are ready and know each other."""
        port = find_free_port()
        ips = [f"127.0.0.{number}" for number in (11, 12, 13)]
        for ip in ips:
            seeds = [f"{other}:{port}" for other in ips if other != ip]
            process = EdgeProcess(
                f"router-{ip.rpartition('.')[2]}",
                "z",
                self.store_address,
                seeds,
                folder,
                addresses=choose_addresses(ip, port),
                bounds={"evacuate_ms": int(NEWS_MAX_S * 1000)},
                fields=fields,
            )
            self.processes.append(process)
            process.start()
        for process in self.processes:
            await process.wait_ready()
        for process in self.processes:
            for other in ips:
                if not process.name.endswith(other.rpartition(".")[2]):
                    name = f"router-{other.rpartition('.')[2]}"
                    await process.wait_logged(f'"router": "{name}"')

    @property
    def stopped(self) -> EdgeProcess:
        """The router that is stopped."""
        return self.processes[0]

    async def connect_stopped(self) -> EdgeClient:
        """Connect a client to the router that is stopped."""
        return await self.connect(self.stopped.addresses.callers)

    async def play(
        self,
        stopped_s: float,
        change: Callable[[], Awaitable[object]],
        send: Callable[[], Awaitable[list[EdgeClient]]],
    ) -> list[EdgeAnswer | None]:
        """Stop the first router, change something, and send it requests.

        Parameters
        ----------
        stopped_s : float
            Time for which it stands still.
        change : callable
            Makes the change, right after the router has stopped.
        send : callable
            Sends requests, shortly before it goes on; returns their clients.

        Returns
        -------
        list of EdgeAnswer or None
            The answers; None where the connection ended without one.
        """
        self.stopped.signal(signal.SIGSTOP)
        try:
            await change()
            await asyncio.sleep(stopped_s - SENT_BEFORE_S)
            clients = await send()
            await asyncio.sleep(SENT_BEFORE_S)
        finally:
            self.stopped.signal(signal.SIGCONT)
        return list(await asyncio.gather(*map(read_answer, clients)))


async def read_answer(client: EdgeClient) -> EdgeAnswer | None:
    """Read an answer; None if the connection ends without one."""
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await client.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def count_ran(worker: Worker) -> int:
    """Return how many requests a worker has run."""
    return len(worker.ran)
