"""Runs routers and stand-ins as separate processes, for tests and benchmarks.

All waits are for an event: a line that a process prints, a response, or a condition
that is polled.  `WAIT_TIMEOUT_S` only bounds how long a broken test hangs.
"""

import json
import os
import signal
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Collection, Mapping
from typing import Any, NamedTuple

WAIT_TIMEOUT_S = 30.0
POLL_S = 0.02
PEER_KEY = "a key of the tests, shared by all routers"


class Answer(NamedTuple):
    """Status, headers and body of an HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body, parsed as JSON."""
        return json.loads(self.body)


def call(
    address: str,
    path: str,
    body: Any = None,
    method: str | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = WAIT_TIMEOUT_S,
) -> Answer:
    """Send an HTTP request and return the response, whatever its status.

    Parameters
    ----------
    address, path : str
        ``host:port`` and path of the URL.
    body : object, optional
        Sent as JSON; bytes are sent as they are.
    method : str, optional
        HTTP method; POST with a body and GET without one by default.
    headers : mapping, optional
        Request headers.
    timeout_s : float, default=WAIT_TIMEOUT_S
        Timeout of each read from the connection.

    Returns
    -------
    Answer

    Raises
    ------
    OSError
        If the connection failed or the response was truncated.
    """
    data = body if body is None or isinstance(body, bytes) else json.dumps(body)
    request = urllib.request.Request(
        f"http://{address}{path}",
        data.encode() if isinstance(data, str) else data,
        dict(headers or {}),
        method=method,
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return Answer(response.status, dict(response.headers), response.read())
    except urllib.error.HTTPError as error:
        return Answer(error.code, dict(error.headers), error.read())


def wait_for(condition: Callable[[], Any], what: str) -> Any:
    """Poll until the condition returns a true value, and return that value.

    Raises
    ------
    TimeoutError
        If it returns none within `WAIT_TIMEOUT_S`.
    """
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < end_s:
        found = condition()
        if found:
            return found
        time.sleep(POLL_S)
    raise TimeoutError(f"timed out waiting for: {what}")


class Process:
    """A child process whose output is read by a background thread.

    Parameters
    ----------
    arguments : list of str
        Module to run with this Python interpreter, and its arguments.
    """

    def __init__(self, arguments: list[str]) -> None:
        self.lines: list[str] = []
        self._process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def _read(self) -> None:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            self.lines.append(line.rstrip("\n"))

    def find_line(self, text: str) -> str:
        """Return the first output line that contains a text, or ""."""
        return next((line for line in list(self.lines) if text in line), "")

    def wait_line(self, text: str) -> str:
        """Wait for an output line that contains a text, and return the first."""

        def find() -> str:
            if self._process.poll() is not None:
                self._reader.join()
                found = self.find_line(text)
                if not found:
                    raise RuntimeError("process exited:\n" + "\n".join(self.lines))
            return self.find_line(text)

        return str(wait_for(find, f"a line with {text!r}"))

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self._process.kill()
        self._process.wait()

    def wait(self) -> int:
        """Wait for the process to exit, and return its exit code."""
        return self._process.wait(WAIT_TIMEOUT_S)

    def is_ended(self) -> bool:
        """Return whether the process has exited."""
        return self._process.poll() is not None

    def close(self) -> None:
        """Kill the process if it still runs, and close its pipe."""
        if self._process.poll() is None:
            self.kill()
        self._reader.join()
        assert self._process.stdout is not None
        self._process.stdout.close()


class StandIn(Process):
    """A stand-in that runs as a separate process.

    Parameters
    ----------
    what : {"platform", "engine", "service"}
        Kind of stand-in.
    *arguments : str
        Further command-line flags.
    """

    def __init__(self, what: str, *arguments: str) -> None:
        super().__init__(["tamarackrill.testing.daemon", what, *arguments])
        self.address = self.wait_line("listening ").split()[-1]

    def look(self, what: str = "state") -> Any:
        """Return the state or the counters of the stand-in."""
        return call(self.address, f"/admin/{what}").json()

    def set_faults(self, **faults: Any) -> None:
        """Replace the injected faults; faults not named are removed."""
        call(self.address, "/admin/faults", faults, "PUT")


class RouterProcess(Process):
    """A router daemon, `tamarackrilld`, that runs as a separate process."""

    def __init__(self, name: str, zone: str, platform: str, *arguments: str) -> None:
        self.name = name
        self.zone = zone
        super().__init__(
            [
                "tamarackrill.router.daemon",
                f"--name={name}",
                f"--zone={zone}",
                "--port=0",
                "--peer-port=0",
                f"--platform={platform}",
                f"--peer-keys={PEER_KEY}",
                *arguments,
            ]
        )
        self.wait_line(" router_started ")
        self.address = self.read_field("router_started", "address")

    def read_field(self, event: str, field: str) -> str:
        """Wait for the first log line of an event, and return one of its fields."""
        words = self.wait_line(f" {event} ").split()
        pairs = dict(word.split("=", 1) for word in words if "=" in word)
        return pairs[field]

    def status(self) -> Any:
        """Return the status of the router."""
        return call(self.address, "/v1/status").json()


class FleetProcesses:
    """A platform, routers and endpoints, each in a separate process.

    Use it as a context manager; on exit it ends every process that it started.
    """

    def __init__(self) -> None:
        self._started: list[Process] = []
        self.routers: dict[str, RouterProcess] = {}

    def __enter__(self) -> "FleetProcesses":
        self.platform = StandIn("platform")
        self._started.append(self.platform)
        return self

    def __exit__(self, *exc_info: object) -> None:
        for process in reversed(self._started):
            process.close()

    def add_engine(self, name: str, model: str = "m", *arguments: str) -> StandIn:
        """Start an engine, which registers itself on the platform."""
        return self._add_endpoint("engine", name, model, arguments)

    def add_service(self, name: str, service: str = "s", *arguments: str) -> StandIn:
        """Start a worker of a service, which registers itself on the platform."""
        return self._add_endpoint("service", name, service, arguments)

    def _add_endpoint(
        self, what: str, name: str, serves: str, arguments: tuple[str, ...]
    ) -> StandIn:
        flags = (f"--name={name}", f"--serves={serves}")
        platform = f"--platform={self.platform.address}"
        started = StandIn(what, *flags, platform, *arguments)
        self._started.append(started)
        return started

    def add_router(
        self, name: str, zone: str = "zone-a", *arguments: str
    ) -> RouterProcess:
        """Start a router and add it to the VM list."""
        router = RouterProcess(name, zone, self.platform.address, *arguments)
        self._started.append(router)
        self.routers[name] = router
        self.publish_vms()
        return router

    def publish_vms(self, leaving: Collection[str] = ()) -> None:
        """Write the VM list to the platform: all routers, and the VMs in `leaving`."""
        vms = [
            {
                "name": router.name,
                "address": router.address,
                "zone": router.zone,
                "peer_address": router.read_field("router_started", "peer_address"),
            }
            for router in self.routers.values()
        ]
        for name in leaving:
            vm = {"name": name, "address": "", "zone": "", "state": "leaving"}
            vms.append(vm)
        call(self.platform.address, "/admin/vms", {"vms": vms}, "PUT")

    def put_contract(self, value: dict[str, Any]) -> int:
        """Write a contract, replacing any existing version, and return its version."""
        path = f"/v1/objects/contract/{value['team']}"
        return int(call(self.platform.address, path, value, "PUT").json()["version"])

    def wait_ready(self, members: int | None = None) -> None:
        """Wait until all routers have the same configuration and see all members."""
        wanted = members or len(self.routers)

        def is_ready() -> bool:
            statuses = [router.status() for router in self.routers.values()]
            revisions = {status["revision"] for status in statuses}
            counts = [len(status["members"]) for status in statuses]
            return len(revisions) == 1 and 0 not in revisions and min(counts) >= wanted

        wait_for(is_ready, "one configuration and all members at every router")
