"""Finds out whether an endpoint that broke a response off has crashed, and tells it."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any, Literal, NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.events import BROKEN_ATTEMPT_CHECKED, log_event
from tamarackrill.router import lateness
from tamarackrill.router.channels import Connect
from tamarackrill.router.edge_calls import EdgeCall
from tamarackrill.router.edge_placing import EdgePlacer
from tamarackrill.router.endpoint_checks import EndpointChecks
from tamarackrill.router.paths import CONNECT_TIMEOUT_S, PathProber
from tamarackrill.router.prompt_guard import SOUND_EVENTS_MIN, Exposure, PromptGuard

# How long a request waits to learn whether it broke off because its endpoint crashed,
# before it goes to the next one.  Other routers answer in a few milliseconds.
CRASH_CHECK_WAIT_S = 0.05
# The same for a request that one more crash makes a suspect, which could crash the last
# endpoints of a small pool meanwhile.  Routers under load took up to 0.3 s for a check.
SUSPECT_CHECK_WAIT_S = 0.5

Finding = Literal["crashed", "left", "alive", "reached", "unreached"]


class AttemptEnding(NamedTuple):
    """What crash checks need to know of an attempt that has ended.

    Parameters
    ----------
    call : EdgeCall
        The request.
    endpoint : Endpoint
        The endpoint that it was sent to.
    events : int
        Events of a stream that the endpoint sent.
    exposure : Exposure or None
        What the endpoint was exposed to; None if the answer went on past its beginning.
    ended_s : float
        When the attempt ended.
    """

    call: EdgeCall
    endpoint: Endpoint
    events: int
    exposure: Exposure | None
    ended_s: float


class CrashChecks:
    """Checks endpoints whose responses have broken off.

    Parameters
    ----------
    placer : EdgePlacer
        Counts the crashes of each request.
    paths : PathProber
        Is told which endpoints take no connections.
    checks : EndpointChecks
        Asks other routers.
    clock : callable
        Returns the current time.
    connect : callable
        Opens connections to endpoints.

    Attributes
    ----------
    on_crash : callable
        Called with the fingerprint of a request that crashed an endpoint.
    guard : PromptGuard or None
        Is told which prompts crash endpoints.
    tasks : set of asyncio.Task
        Checks that are running.
    """

    def __init__(
        self,
        placer: EdgePlacer,
        paths: PathProber,
        checks: EndpointChecks,
        clock: Callable[[], float],
        connect: Connect,
    ) -> None:
        self.on_crash: Callable[[int], None] = lambda fingerprint: None
        self.guard: PromptGuard | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self._placer = placer
        self._paths = paths
        self._checks = checks
        self._clock = clock
        self._connect = connect

    def start(self, check: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a check in the background."""
        task = asyncio.create_task(check)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def check(self, ending: AttemptEnding) -> None:
        """Check an endpoint; return when the request may go to the next one."""
        is_near_pause = self._placer.poison.is_near_pause(
            ending.call.fingerprint, self._clock(), _is_late(ending)
        )
        wait_s = SUSPECT_CHECK_WAIT_S if is_near_pause else CRASH_CHECK_WAIT_S
        task = self.start(self._check(ending))
        with contextlib.suppress(TimeoutError):
            async with lateness.timeout(wait_s):
                await asyncio.wait([task])

    async def _check(self, ending: AttemptEnding) -> None:
        finding = await self._find(ending)
        if finding == "crashed":
            self.record_crash(ending)
            return
        if finding == "alive":
            self.record_broken(ending)
        _log_check(ending, finding)

    async def _find(self, ending: AttemptEnding) -> Finding:
        endpoint = ending.endpoint
        # A response may break off although the endpoint is alive.  Only a refused
        # connection shows that its process may have ended, because of the request.
        error = await self._try_connect(endpoint)
        if error is None:
            return "alive"
        self._paths.record_failure(endpoint, error)
        if not isinstance(error, ConnectionRefusedError):
            return "unreached"
        if await self.has_crashed(ending):
            return "crashed"
        # Either this router's link is cut, or another process has just started there.
        return "reached" if await self._try_connect(endpoint) else "alive"

    async def has_crashed(self, ending: AttemptEnding) -> bool:
        """Return whether an endpoint that refuses connections has crashed."""
        crashed = self._placer.poison.find_crashed_endpoints(
            ending.call.fingerprint, self._clock()
        )
        return await self._checks.has_crashed(ending.endpoint, crashed=crashed)

    async def _try_connect(self, endpoint: Endpoint) -> OSError | None:
        """Return why an endpoint takes no connection, None if it does."""
        try:
            channel = await self._connect(endpoint.address, CONNECT_TIMEOUT_S)
        except OSError as error:
            return error
        channel.close()
        return None

    def record_crash(self, ending: AttemptEnding) -> None:
        """Record that an endpoint ended while it ran a request."""
        if self._placer.is_draining(ending.endpoint):
            # It has exited as planned, for no fault of the request.
            _log_check(ending, "left")
            return
        _log_check(ending, "crashed")
        if self.guard is not None and ending.exposure is not None:
            self.guard.record_crash(ending.exposure, ending.ended_s)
        fingerprint, name = ending.call.fingerprint, ending.endpoint.name
        poison, now_s = self._placer.poison, self._clock()
        if poison.observe_crash(fingerprint, name, now_s, _is_late(ending)):
            self.on_crash(fingerprint)

    def record_broken(self, ending: AttemptEnding) -> None:
        """Record that an attempt broke off, though its endpoint takes connections.

        Only then has another process at its address taken over within moments.  An
        attempt over a link that is cut ends in the same way, and so says nothing.
        """
        if self.guard is None or ending.exposure is None:
            return
        # An endpoint that leaves may end its connections, and another follows it.
        if not self._placer.is_leaving(ending.endpoint):
            self.guard.record_broken(ending.exposure, ending.ended_s)


def _is_late(ending: AttemptEnding) -> bool:
    return ending.events >= SOUND_EVENTS_MIN


def _log_check(ending: AttemptEnding, finding: Finding) -> None:
    log_event(
        BROKEN_ATTEMPT_CHECKED,
        request=ending.call.request_id,
        endpoint=ending.endpoint.name,
        events=ending.events,
        finding=finding,
        fingerprint=f"{ending.call.fingerprint:016x}",
    )
