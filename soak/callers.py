"""Callers of a soak test, and checks of what callers and workers observed."""

import asyncio
import random
from collections import Counter
from typing import NamedTuple

from tamarackrill.testing.edge import EdgeAnswer, EdgeClient
from tamarackrill.testing.worker import Worker, make_event

EVENTS = 5
STREAM_BODY = b"".join(make_event(number) for number in range(1, EVENTS + 1))
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Requests that run at most once.
ONCE_TARGETS = ("/confirm/", "/long/")
ANSWER_MAX_S = 6.0
PAUSE_S = 0.05
LONG_TIMEOUT_MS = 9000
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, ValueError)


class Exchange(NamedTuple):
    """A request and its response, None if the connection ended without one."""

    request_id: str
    target: str
    response: EdgeAnswer | None
    sent_s: float


class Caller:
    """Sends requests one at a time, reusing connections while they stay open.

    Parameters
    ----------
    name : str
        Prefix of its request ids.
    addresses : list of str
        Addresses of the routers.
    rng : random.Random
        Random generator of the soak test's seed.
    exchanges : list of Exchange
        List to which it appends its requests and responses.
    """

    def __init__(
        self,
        name: str,
        addresses: list[str],
        rng: random.Random,
        exchanges: list[Exchange],
    ) -> None:
        self._name = name
        self._addresses = addresses
        self._rng = rng
        self._exchanges = exchanges

    async def run(self, until_s: float) -> None:
        """Send requests until the event loop's clock reaches a time."""
        loop = asyncio.get_running_loop()
        client: EdgeClient | None = None
        number = 0
        while loop.time() < until_s:
            number += 1
            request_id = f"{self._name}-{number}"
            target = self._rng.choice(["/lookup/a", "/confirm/a", "/resumed/a"])
            sent_s = loop.time()
            response = None
            try:
                async with asyncio.timeout(ANSWER_MAX_S):
                    if client is None:
                        address = self._rng.choice(self._addresses)
                        client = await EdgeClient.connect(address)
                    # Another body for each request, so that it isn't blamed for
                    # crashes of workers that have run others.
                    client.send(target, request_id, request_id.encode())
                    response = await client.read()
            except (TimeoutError, *CONNECTION_ERRORS):
                response = None
            self._exchanges.append(Exchange(request_id, target, response, sent_s))
            if client is not None and not _is_kept(response):
                client.close()
                client = None
            await asyncio.sleep(self._rng.random() * PAUSE_S)
        if client is not None:
            client.close()


async def send_long(
    address: str, request_id: str, exchanges: list[Exchange]
) -> str | None:
    """Send a request that takes long; return its id if it got no answer."""
    sent_s = asyncio.get_running_loop().time()
    try:
        client = await EdgeClient.connect(address)
    except OSError:
        return None
    response = None
    try:
        # The router may be suspended meanwhile.
        async with asyncio.timeout(2 * ANSWER_MAX_S):
            body = request_id.encode()
            client.send("/long/a", request_id, body, X_Deadline_Ms=str(LONG_TIMEOUT_MS))
            response = await client.read()
    except (TimeoutError, *CONNECTION_ERRORS):
        response = None
    finally:
        client.close()
    exchanges.append(Exchange(request_id, "/long/a", response, sent_s))
    return request_id if response is None else None


def _is_kept(response: EdgeAnswer | None) -> bool:
    if response is None or not response.is_whole:
        return False
    return response.headers.get("connection") != "close"


def find_violations(exchanges: list[Exchange], workers: list[Worker]) -> list[str]:
    """Return a description of each violated guarantee.

    Parameters
    ----------
    exchanges : list of Exchange
        Requests that callers sent, with their responses.
    workers : list of Worker
        Workers, which record the requests that they received and ran.
    """
    ran = Counter(
        request.request_id
        for worker in workers
        for request in worker.ran
        if request.target.startswith(ONCE_TARGETS)
    )
    sent = {item.request_id for item in exchanges}
    violations = [
        f"{name} ran {count} times" for name, count in ran.items() if count > 1
    ]
    violations += [
        f"{request.request_id} reached a worker but was sent by no caller"
        for worker in workers
        for request in worker.requests
        if request.request_id not in sent
    ]
    for item in exchanges:
        if item.response is not None:
            violations += _check_response(item, item.response, ran)
    return violations


def _check_response(
    item: Exchange, response: EdgeAnswer, ran: Counter[str]
) -> list[str]:
    violations = []
    owner = response.headers.get("x-request-attempt-id")
    if owner != item.request_id:
        violations.append(f"{item.request_id} got the response to {owner}")
    is_confirmation = item.target.startswith(ONCE_TARGETS)
    if is_confirmation and response.status in NOT_RUN_STATUSES and ran[item.request_id]:
        violations.append(
            f"{item.request_id} ran, but its response said that it had not"
        )
    if response.status in (401, 404):
        violations.append(f"{item.request_id} was rejected with {response.status}")
    if response.status == 200 and item.target.startswith("/resumed/"):
        is_right = (
            response.body == STREAM_BODY
            if response.is_whole
            else STREAM_BODY.startswith(response.body)
        )
        if not is_right:
            violations.append(
                f"{item.request_id} got a wrong stream: {response.body!r}"
            )
    if response.status == 200 and response.is_whole and not response.body:
        violations.append(f"{item.request_id} got an empty response")
    return violations
