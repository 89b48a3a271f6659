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
    metrics: str


def choose_addresses(
    ip: str = "127.0.0.1", peer_port: int | None = None
) -> RouterAddresses:
    """Return addresses of loopback that no other process is given.

    Parameters
    ----------
    ip : str, optional
        Address of the VM.
    peer_port : int, optional
        Port for other routers; all of a fleet have the same one.
    """
    ports = [find_free_port() for _ in range(3)]
    if peer_port is None:
        peer_port = find_free_port()
    return RouterAddresses(
        *(f"{ip}:{port}" for port in (*ports[:2], peer_port, ports[2]))
    )


class EdgeProcess:
    """One router process.

    Parameters
    ----------
    name, zone : str
        The router and its availability zone.
    store_address : str
        ``host:port`` of the store, or of a proxy before it.
    seeds : list of str
        Addresses of other routers; their ports are this one's own peer port, since all
        routers of a fleet have the same.
    folder : Path
        Gets the settings file and the log.
    grace_s : int, optional
        From SIGTERM to the end.
    addresses : RouterAddresses, optional
        Where it listens; chosen by default.

    Attributes
    ----------
    peer_address : str
        Where other routers reach it, if not where it listens.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store_address: str,
        seeds: list[str],
        folder: Path,
        grace_s: int = 4,
        addresses: RouterAddresses | None = None,
    ) -> None:
        self.name = name
        self.addresses = addresses or choose_addresses()
        self.peer_address = ""
        self._told: set[signal.Signals] = set()
        self._starts = 0
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.yaml"
        self._process: subprocess.Popen[bytes] | None = None
        ip, _, port = self.addresses.peers.rpartition(":")
        peer_port = int(port)
        settings = {
            "node_name": name,
            "zone": zone,
            "ip": ip,
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
        self._told.clear()
        self._starts += 1
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
            "TAMARACKRILL_METRICS_PORT": self.addresses.metrics.rpartition(":")[2],
            "TAMARACKRILL_PEER_ADDRESS": self.peer_address,
        }

    @property
    def is_running(self) -> bool:
        """Whether the process lives, stopped or not."""
        return self._process is not None and self._process.poll() is None

    async def signal_listening(
        self, *numbers: signal.Signals, over_s: float = 0
    ) -> bool:
        """Send signals to the process that runs now, once callers can connect to it.

        Parameters
        ----------
        *numbers : signal.Signals
            Sent in their order.
        over_s : float, optional
            Time over which they are spread.

        Returns
        -------
        bool
            Whether all were sent, and the process has not been started anew meanwhile.
        """
        starts = self._starts
        await self.wait_listening()
        for number in numbers:
            await asyncio.sleep(over_s / len(numbers))
            # Until the interpreter runs the daemon, signals have their default effect.
            if self._starts != starts:
                return False
            self.signal(number)
        return True

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it lives."""
        if self._process is not None and self._process.poll() is None:
            self._told.add(number)
            self._process.send_signal(number)

    def find_fault(self) -> str:
        """Return how the process ended otherwise than it was told, "" if it did not."""
        code = None if self._process is None else self._process.poll()
        if code is None or signal.SIGKILL in self._told:
            return ""
        if signal.SIGTERM not in self._told:
            return f"{self.name} ended by itself with {code}"
        return f"{self.name} was told to stop and ended with {code}" if code else ""

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

    async def wait_listening(self) -> None:
        """Wait until a caller could connect."""
        host, _, port = self.addresses.callers.rpartition(":")
        async with asyncio.timeout(PATIENCE_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except ConnectionRefusedError:
                    await asyncio.sleep(ASK_EVERY_S)
                    continue
                writer.close()
                return

    async def read_metric(self, name: str) -> float | None:
        """Return a gauge without a label, None if it isn't there."""
        url = f"http://{self.addresses.metrics}/metrics"
        try:
            answer = await AsyncHTTPClient().fetch(url, request_timeout=1.0)
        except (OSError, HTTPClientError):
            return None
        begin = f'tamarackrill_{name}{{label=""}} '
        for line in answer.body.decode().splitlines():
            if line.startswith(begin):
                return float(line.removeprefix(begin))
        return None

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
            self._told.add(signal.SIGKILL)
            self._process.kill()
            self._process.wait()
