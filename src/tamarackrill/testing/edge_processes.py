"""Runs routers for the platform interface as separate processes on loopback."""

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import yaml
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from tamarackrill.testing.edge import WAIT_TIMEOUT_S
from tamarackrill.testing.ports import find_free_port

POLL_S = 0.05


class RouterAddresses(NamedTuple):
    """Addresses on which a router listens, unchanged across restarts."""

    callers: str
    readiness: str
    peers: str
    metrics: str


def choose_addresses(
    ip: str = "127.0.0.1", peer_port: int | None = None
) -> RouterAddresses:
    """Return unused loopback addresses for a router.

    Parameters
    ----------
    ip : str, optional
        IP address of the VM.
    peer_port : int, optional
        Port for other routers, the same in a whole fleet; a free one by default.
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
        Name of the router and its availability zone.
    store_address : str
        ``host:port`` of the store, or of a proxy in front of it.
    seeds : list of str
        Addresses of other routers; they use the same peer port as this one, as all
        routers of a fleet do.
    folder : Path
        Folder for the settings file and the log.
    grace_s : int, optional
        Time limit from SIGTERM to exit.
    addresses : RouterAddresses, optional
        Addresses on which it listens; unused ones by default.
    bounds : mapping of str to float, optional
        Bounds in its settings, in addition to the default ones.
    fields : mapping of str to any, optional
        Further fields of its settings file.

    Attributes
    ----------
    peer_address : str
        Address advertised to other routers, if not the one on which it listens.
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
        bounds: Mapping[str, float] | None = None,
        fields: Mapping[str, Any] | None = None,
    ) -> None:
        self.name = name
        self.addresses = addresses or choose_addresses()
        self.peer_address = ""
        self._sent_signals: set[signal.Signals] = set()
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
            "bounds": {"grace_s": grace_s, "budget_slack": 56, **(bounds or {})},
            "platform": {"address": store_address},
            **(fields or {}),
        }
        self._settings_path.write_text(yaml.safe_dump(settings), encoding="utf-8")

    def start(self) -> None:
        """Start the process, appending to its log."""
        self._sent_signals.clear()
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
        """Environment variables that the daemon reads."""
        return {
            "TAMARACKRILL_SETTINGS": str(self._settings_path),
            "TAMARACKRILL_PEER_KEYS": "key-of-tests",
            "TAMARACKRILL_METRICS_PORT": self.addresses.metrics.rpartition(":")[2],
            "TAMARACKRILL_PEER_ADDRESS": self.peer_address,
        }

    @property
    def is_running(self) -> bool:
        """Whether the process exists, even if it is suspended by SIGSTOP."""
        return self._process is not None and self._process.poll() is None

    def read_peak_memory_bytes(self) -> int:
        """Return the most memory that the process has used since its start."""
        assert self._process is not None
        status = Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii")
        peak = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return 1024 * int(peak.split()[1])

    async def signal_listening(
        self, *numbers: signal.Signals, over_s: float = 0
    ) -> bool:
        """Send signals to the current process once clients can connect to it.

        Parameters
        ----------
        *numbers : signal.Signals
            Signals, sent in this order.
        over_s : float, optional
            Time over which the signals are spread.

        Returns
        -------
        bool
            Whether all were sent; False if the process was restarted meanwhile.
        """
        starts = self._starts
        await self.wait_listening()
        for number in numbers:
            await asyncio.sleep(over_s / len(numbers))
            # A restarted process has no signal handlers until the daemon installs them,
            # so a signal would have its default effect.
            if self._starts != starts:
                return False
            self.signal(number)
        return True

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._sent_signals.add(number)
            self._process.send_signal(number)

    def describe_unexpected_exit(self) -> str:
        """Describe an exit that no signal explains or a failed stop, else return ""."""
        code = None if self._process is None else self._process.poll()
        if code is None or signal.SIGKILL in self._sent_signals:
            return ""
        if signal.SIGTERM not in self._sent_signals:
            return f"{self.name} exited unexpectedly with code {code}"
        return f"{self.name} exited with code {code} after SIGTERM" if code else ""

    async def wait_ended(self) -> int:
        """Wait for the process to exit, and return its exit code."""
        # Another task that waits for the exit may replace self._process meanwhile.
        process = self._process
        assert process is not None
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while (code := process.poll()) is None:
                await asyncio.sleep(POLL_S)
        return code

    async def is_ready(self) -> bool:
        """Return whether the readiness check of the load balancer passes."""
        url = f"http://{self.addresses.readiness}/readiness"
        try:
            answer = await AsyncHTTPClient().fetch(
                url, raise_error=False, request_timeout=1.0
            )
        except (OSError, HTTPClientError):
            # The exception depends on the HTTP client that tornado is configured with.
            return False
        return bool(answer.code == 200)

    async def wait_listening(self) -> None:
        """Wait until clients can connect."""
        host, _, port = self.addresses.callers.rpartition(":")
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except ConnectionRefusedError:
                    await asyncio.sleep(POLL_S)
                    continue
                writer.close()
                return

    async def read_metric(self, name: str, label: str = "") -> float | None:
        """Return a gauge with a label, None if it isn't available."""
        url = f"http://{self.addresses.metrics}/metrics"
        try:
            answer = await AsyncHTTPClient().fetch(url, request_timeout=1.0)
        except (OSError, HTTPClientError):
            return None
        begin = f'tamarackrill_{name}{{label="{label}"}} '
        for line in answer.body.decode().splitlines():
            if line.startswith(begin):
                return float(line.removeprefix(begin))
        return None

    async def wait_ready(self) -> None:
        """Wait until the router is ready."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(POLL_S)

    async def wait_logged(self, text: str) -> None:
        """Wait until the log contains a text."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while text not in self.log_path.read_text():
                await asyncio.sleep(POLL_S)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        if self._process is not None:
            self.signal(signal.SIGCONT)
            self._sent_signals.add(signal.SIGKILL)
            self._process.kill()
            self._process.wait()
