"""Routers of the platform's interface as processes of their own, on loopback."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import yaml
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from tamarackrill.testing.edge import PATIENCE_S
from tamarackrill.testing.ports import find_free_port

ASK_EVERY_S = 0.05


class RouterAddresses(NamedTuple):
    """Where a router listens; it keeps them over restarts."""

    callers: str
    readiness: str
    peers: str
    metrics_port: int


def choose_addresses() -> RouterAddresses:
    """Return addresses of loopback that no other process is given."""
    ports = [find_free_port() for _ in range(4)]
    callers, readiness, peers = (f"127.0.0.1:{port}" for port in ports[:3])
    return RouterAddresses(callers, readiness, peers, ports[3])


class EdgeProcess:
    """One router process.

    Parameters
    ----------
    name, zone : str
        The router and its availability zone.
    store_address : str
        ``host:port`` of the store, or of a proxy before it.
    seeds : list of str
        Peer addresses of other routers.
    folder : Path
        Gets the settings file and the log.
    grace_s : int, optional
        From SIGTERM to the end.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store_address: str,
        seeds: list[str],
        folder: Path,
        grace_s: int = 4,
    ) -> None:
        self.name = name
        self.addresses = choose_addresses()
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.yaml"
        self._process: subprocess.Popen[bytes] | None = None
        peer_port = int(self.addresses.peers.rpartition(":")[2])
        settings = {
            "node_name": name,
            "zone": zone,
            "ip": "127.0.0.1",
            "listen": {
                "front": self.addresses.callers,
                "ready": self.addresses.readiness,
            },
            "internal_ports": [peer_port, peer_port + 1],
            "seeds": seeds,
            "bounds": {"grace_s": grace_s, "budget_slack": 56},
            "platform": {"address": store_address},
        }
        self._settings_path.write_text(yaml.safe_dump(settings), encoding="utf-8")

    def start(self) -> None:
        """Start the process; its log is appended to."""
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "tamarackrill.router.edge_daemon"],
                env={**os.environ, **self.environment},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def environment(self) -> dict[str, str]:
        """Variables that the daemon reads."""
        return {
            "TAMARACKRILL_SETTINGS": str(self._settings_path),
            "TAMARACKRILL_PEER_KEYS": "key-of-tests",
            "TAMARACKRILL_METRICS_PORT": str(self.addresses.metrics_port),
        }

    @property
    def is_running(self) -> bool:
        """Whether the process lives, stopped or not."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it lives."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait_ended(self) -> int:
        """Return the exit code once the process has ended."""
        # Whoever else waits for it may start the next process meanwhile.
        process = self._process
        assert process is not None
        async with asyncio.timeout(PATIENCE_S):
            while (code := process.poll()) is None:
                await asyncio.sleep(ASK_EVERY_S)
        return code

    async def is_ready(self) -> bool:
        """Return whether the balancer would send clients here."""
        url = f"http://{self.addresses.readiness}/readiness"
        try:
            answer = await AsyncHTTPClient().fetch(
                url, raise_error=False, request_timeout=1.0
            )
        except (OSError, HTTPClientError):
            # Which one it is depends on the client that is configured in this process.
            return False
        return bool(answer.code == 200)

    async def wait_ready(self) -> None:
        """Wait until the router is ready."""
        async with asyncio.timeout(PATIENCE_S):
            while not await self.is_ready():
                await asyncio.sleep(ASK_EVERY_S)

    async def wait_logged(self, text: str) -> None:
        """Wait until the log holds a text."""
        async with asyncio.timeout(PATIENCE_S):
            while text not in self.log_path.read_text():
                await asyncio.sleep(ASK_EVERY_S)

    def kill(self) -> None:
        """End the process at once, and wait for its end."""
        if self._process is not None:
            self.signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
