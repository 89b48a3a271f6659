"""Polls the load reports of the engines that this router owns.

Only the owner polls an engine: 370 routers polling 780 workers would send 290,000
requests a second.  The other routers get the loads from the owner by gossip.
"""

import asyncio
import json
from collections.abc import Callable

from tamarackrill.contracts import Endpoint
from tamarackrill.router.outlets import Outlet
from tamarackrill.router.owners import Owners
from tamarackrill.router.placing import Placer
from tamarackrill.router.upstream import Exchange, UpstreamClient, UpstreamError

# At full size a router owns two engines; at about 350 bytes per report this costs
# 0.35 KB/s.
POLL_INTERVAL_S = 2.0
LOAD_PATH = "/v1/load"
LOAD_TIMEOUT_S = 1.0
# A report has some hundred bytes; an engine that sends more is faulty.
REPORT_MAX_BYTES = 64 * 1024
OK = 200


class _ReportOutlet(Outlet):
    """Keeps a report, up to its maximum size."""

    def __init__(self) -> None:
        super().__init__()
        self.text = bytearray()

    def take(self, piece: bytes) -> bool:
        """Append a piece; raise an error if there are too many bytes."""
        if len(self.text) + len(piece) > REPORT_MAX_BYTES:
            raise UpstreamError("the load report is too long", sent=True)
        self.text += piece
        return True


class LoadReader:
    """Polls the load reports of the owned engines.

    Parameters
    ----------
    client : UpstreamClient
        HTTP client; closed by the caller.
    owners : Owners
        Lists the owned engines, and uses the reports for reservations.
    placer : Placer
        Uses the reports for this router's own placements.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        client: UpstreamClient,
        owners: Owners,
        placer: Placer,
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._owners = owners
        self._placer = placer
        self._clock = clock

    async def run(self) -> None:
        """Poll all owned engines periodically until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def poll(self) -> None:
        """Poll all owned engines once."""
        engines = [e for e in self._owners.list_owned() if e.kind == "engine"]
        await asyncio.gather(*map(self._poll, engines))

    async def _poll(self, endpoint: Endpoint) -> None:
        # A report counts as of the time of its request: requests sent meanwhile may
        # briefly be counted twice, but none is missed.
        asked_s = self._clock()
        load = await self._fetch_load(endpoint)
        if load is None:
            return
        now_s = self._clock()
        loads = self._owners.reservations.loads
        loads.observe_report(endpoint.name, load, asked_s, now_s)
        self._placer.placement.observe_report(endpoint.name, load, asked_s, now_s)

    async def _fetch_load(self, endpoint: Endpoint) -> int | None:
        url = f"http://{endpoint.address}{LOAD_PATH}"
        report = _ReportOutlet()
        exchange = Exchange(self._client, "GET", url, {}, b"", LOAD_TIMEOUT_S, True)
        try:
            head = await exchange.head()
            if head.status != OK:
                return None
            await exchange.pump(report)
        except UpstreamError:
            return None
        finally:
            await exchange.close()
        return _read_load(bytes(report.text))


def _read_load(text: bytes) -> int | None:
    """Return the requests in flight according to a report, None if malformed."""
    try:
        report = json.loads(text)
        running, waiting = report["running"], report.get("waiting", 0)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None
    if type(running) is not int or type(waiting) is not int:
        return None
    return max(0, running) + max(0, waiting)
