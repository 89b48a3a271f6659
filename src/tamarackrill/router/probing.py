"""Probes ejected endpoints, one at a time and within the probe budget of `Health`."""

import asyncio
import json
from collections.abc import Callable

from tamarackrill.contracts import Endpoint
from tamarackrill.events import ENDPOINT_PROBED, log_event
from tamarackrill.router.calls import CHAT_PATH
from tamarackrill.router.placing import Placer
from tamarackrill.router.upstream import (
    Exchange,
    UpstreamClient,
    UpstreamError,
)

POLL_INTERVAL_S = 0.25
# Exceeds the target time to first token by enough to distinguish a slow endpoint from
# one that is gone.
PROBE_TIMEOUT_S = 2.0
SERVICE_PROBE_PATH = "/healthz"
SERVER_ERROR = 500


class Prober:
    """Sends health probes to ejected endpoints.

    Parameters
    ----------
    client : UpstreamClient
        Not owned.
    placer : Placer
        Its health state selects the endpoint, and it receives the result.
    list_endpoints : callable
        Returns all known endpoints.
    on_result : callable
        Called with each probed endpoint, which may have slots for waiting calls.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        client: UpstreamClient,
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
        """Probe endpoints that are due, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            name = self._placer.health.next_probe(self._clock())
            if name is None:
                continue
            try:
                for endpoint in self._list_endpoints():
                    if endpoint.name == name:
                        await self._probe(endpoint)
            finally:
                self._placer.health.end_probe(name)

    async def _probe(self, endpoint: Endpoint) -> None:
        sent_s = self._clock()
        try:
            status = await self._send_probe(endpoint)
        except UpstreamError:
            status = 0
        now_s = self._clock()
        is_ok = 0 < status < SERVER_ERROR
        log_event(ENDPOINT_PROBED, endpoint=endpoint.name, status=status)
        first_byte_s = now_s - sent_s if is_ok else None
        self._placer.observe_probe(endpoint, is_ok, first_byte_s, now_s)
        self._on_result(endpoint)

    async def _send_probe(self, endpoint: Endpoint) -> int:
        method, path, body = "GET", SERVICE_PROBE_PATH, b""
        if endpoint.kind == "engine":
            method, path, body = "POST", CHAT_PATH, _make_probe_body(endpoint.serves[0])
        url = f"http://{endpoint.address}{path}"
        exchange = Exchange(
            self._client, method, url, {}, body, PROBE_TIMEOUT_S, repeatable=True
        )
        try:
            return (await exchange.head()).status
        finally:
            await exchange.close()


def _make_probe_body(model: str) -> bytes:
    """Return the smallest request that makes an engine generate a token."""
    messages = [{"role": "user", "content": "probe"}]
    return json.dumps({"model": model, "messages": messages, "max_tokens": 1}).encode()
