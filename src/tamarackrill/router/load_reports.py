"""Asks the engines that this router owns for their load.

Only the owner asks: were all routers to, 370 of them would send 290,000 requests a
second to 780 workers.  The others hear the loads from the owner.
"""

import asyncio
import json
from collections.abc import Callable

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from tamarackrill.contracts import Endpoint
from tamarackrill.router.owners import Owners
from tamarackrill.router.placing import Placer

# Two owned engines at full size, at some 350 bytes each, are 0.35 KB/s.
LOOK_EVERY_S = 2.0
LOAD_PATH = "/v1/load"
LOAD_TIMEOUT_S = 1.0
OK = 200


class LoadReader:
    """Reads load reports until cancelled.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Not owned.
    owners : Owners
        Says which engines to ask, and takes the reports as their owner.
    placer : Placer
        Takes the reports for this router's own choices.
    clock : callable
        Returns the present time.
    """

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
        owners: Owners,
        placer: Placer,
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._owners = owners
        self._placer = placer
        self._clock = clock

    async def run(self) -> None:
        """Ask all owned engines again and again."""
        while True:
            await self.look()
            await asyncio.sleep(LOOK_EVERY_S)

    async def look(self) -> None:
        """Ask all owned engines once."""
        engines = [e for e in self._owners.list_owned() if e.kind == "engine"]
        await asyncio.gather(*map(self._look, engines))

    async def _look(self, endpoint: Endpoint) -> None:
        # Taken as counted when it was asked for.  What is sent meanwhile may then be
        # counted twice for a moment, and never not at all.
        asked_s = self._clock()
        load = await self._ask(endpoint)
        if load is None:
            return
        now_s = self._clock()
        loads = self._owners.reservations.loads
        loads.observe_report(endpoint.name, load, asked_s, now_s)
        self._placer.placement.observe_report(endpoint.name, load, asked_s, now_s)

    async def _ask(self, endpoint: Endpoint) -> int | None:
        request = HTTPRequest(
            f"http://{endpoint.address}{LOAD_PATH}",
            connect_timeout=LOAD_TIMEOUT_S,
            request_timeout=LOAD_TIMEOUT_S,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            return None
        return _read_load(response.body) if response.code == OK else None


def _read_load(text: bytes) -> int | None:
    """Return the requests in flight that a report tells, or None if it tells none."""
    try:
        report = json.loads(text)
        running, waiting = report["running"], report.get("waiting", 0)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None
    if type(running) is not int or type(waiting) is not int:
        return None
    return max(0, running) + max(0, waiting)
