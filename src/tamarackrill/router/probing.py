"""Probes ejected endpoints, one at a time and within the budget of `Health`."""

import asyncio
import json
from collections.abc import Callable

from tamarackrill.contracts import Endpoint
from tamarackrill.events import ENDPOINT_PROBED, log_event
from tamarackrill.router.calls import CHAT_PATH
from tamarackrill.router.placing import Placer
from tamarackrill.router.upstream import (
    CurlAsyncHTTPClient,
    Exchange,
    UpstreamError,
)

LOOK_EVERY_S = 0.25
# Longer than the aim for a first token by as much as an endpoint may be slow and
# still be told from one that is gone.
PROBE_TIMEOUT_S = 2.0
SERVICE_PROBE_PATH = "/healthz"
SERVER_ERROR = 500


class Prober:
    """Sends probes, until cancelled.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Not owned.
    placer : Placer
        Says which endpoint is due, and takes the result.
    list_endpoints : callable
        Returns all endpoints known now.
    on_result : callable
        Called with each probed endpoint, since it may have room for waiting calls.
    clock : callable
        Returns the present time.
    """

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
        placer: Placer,
        list_endpoints: Callable[[], list[Endpoint]],
        on_result: Callable[[Endpoint], None],
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._placer = placer
        self._list_endpoints = list_endpoints
        self._on_result = on_result
        self._clock = clock

    async def run(self) -> None:
        """Probe what is due, until cancelled."""
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            name = self._placer.health.next_probe(self._clock())
            for endpoint in self._list_endpoints():
                if endpoint.name == name:
                    await self._probe(endpoint)

    async def _probe(self, endpoint: Endpoint) -> None:
        sent_s = self._clock()
        try:
            status = await self._ask(endpoint)
        except UpstreamError:
            status = 0
        now_s = self._clock()
        is_ok = 0 < status < SERVER_ERROR
        log_event(ENDPOINT_PROBED, endpoint=endpoint.name, status=status)
        first_byte_s = now_s - sent_s if is_ok else None
        self._placer.observe_probe(endpoint, is_ok, first_byte_s, now_s)
        self._on_result(endpoint)

    async def _ask(self, endpoint: Endpoint) -> int:
        method, path, body = "GET", SERVICE_PROBE_PATH, b""
        if endpoint.kind == "engine":
            method, path, body = "POST", CHAT_PATH, _make_body(endpoint.serves[0])
        url = f"http://{endpoint.address}{path}"
        exchange = Exchange(
            self._client, method, url, {}, body, PROBE_TIMEOUT_S, repeatable=True
        )
        try:
            return (await exchange.head()).status
        finally:
            await exchange.close()


def _make_body(model: str) -> bytes:
    """Return the shortest request that makes an engine compute a token."""
    messages = [{"role": "user", "content": "probe"}]
    return json.dumps({"model": model, "messages": messages, "max_tokens": 1}).encode()
