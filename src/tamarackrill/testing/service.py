"""Simulated worker of a plain service.

It echoes each request and counts the requests by ``Idempotency-Key``, so that a test
can tell whether a call ran more than once.  A test that gives each attempt its own
``Sending-Id`` can tell which attempts arrived.

====== ================ =====================================================
any    /<path>          echoes method, path, key and body as JSON
GET    /admin/state     arrivals by key, their total, attempts in order, health checks
PUT    /admin/faults    replaces all fields of `ServiceFaults`
====== ================ =====================================================
"""

import asyncio
import json
from collections import Counter, deque
from typing import NamedTuple

from tornado.web import Application, RequestHandler

SENDINGS_MAX = 1000
# Path of health checks, which routers send on their own and without a key.
HEALTH_PATH = "/healthz"


class ServiceFaults(NamedTuple):
    """Faults that the worker injects.

    Parameters
    ----------
    hold : bool
        Calls are counted and wait until the fault is cleared.
    close : int
        Number of next calls that are counted and whose connection is closed before
        any byte of a response.
    status : int
        Status of every response, after the call is counted; 0 injects no fault.
    delay_s : float
        Delay of every response.
    retry_after_s : float
        ``Retry-After`` of responses with `status`; 0 leaves it out.
    """

    hold: bool = False
    close: int = 0
    status: int = 0
    delay_s: float = 0.0
    retry_after_s: float = 0.0


class ServiceState:
    """Request counts and faults of one worker."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.arrivals: Counter[str] = Counter()
        self.total = 0
        self.probes = 0
        self.sendings: deque[str] = deque(maxlen=SENDINGS_MAX)
        self.faults = ServiceFaults()
        self.faults_changed = asyncio.Condition()


class _CallHandler(RequestHandler):
    def initialize(self, state: ServiceState) -> None:
        self.state = state

    async def prepare(self) -> None:
        state = self.state
        key = self.request.headers.get("Idempotency-Key", "")
        if self.request.path == HEALTH_PATH:
            state.probes += 1
        else:
            state.arrivals[key] += 1
            state.total += 1
            state.sendings.append(self.request.headers.get("Sending-Id", ""))
        async with state.faults_changed:
            await state.faults_changed.wait_for(lambda: not state.faults.hold)
        if state.faults.delay_s:
            await asyncio.sleep(state.faults.delay_s)
        if state.faults.close:
            state.faults = state.faults._replace(close=state.faults.close - 1)
            connection = self.request.connection
            assert connection is not None
            connection.detach().close()
            self._finished = True
            return
        if state.faults.status:
            if state.faults.retry_after_s:
                self.set_header("Retry-After", f"{state.faults.retry_after_s:g}")
            self.set_status(state.faults.status)
            self.finish()
            return
        self.finish(
            {
                "worker": state.name,
                "method": self.request.method,
                "path": self.request.path,
                "key": key,
                "body": self.request.body.decode("utf-8", "replace"),
            }
        )


class _AdminHandler(RequestHandler):
    def initialize(self, state: ServiceState) -> None:
        self.state = state

    def get(self, what: str) -> None:
        state = self.state
        self.finish(
            {
                "arrivals": dict(state.arrivals),
                "total": state.total,
                "probes": state.probes,
                "sendings": list(state.sendings),
            }
        )

    async def put(self, what: str) -> None:
        self.state.faults = ServiceFaults(**json.loads(self.request.body))
        async with self.state.faults_changed:
            self.state.faults_changed.notify_all()
        self.finish({})


def make_service(state: ServiceState) -> Application:
    """Return the tornado application that serves the worker."""
    bound = {"state": state}
    return Application(
        [
            (r"/admin/(state|faults)", _AdminHandler, bound),
            (r"/.*", _CallHandler, bound),
        ],
        log_function=lambda handler: None,
    )
