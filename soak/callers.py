"""Callers of a soak, and what they and the workers saw."""

import asyncio
import random
from collections import Counter
from typing import NamedTuple

from tamarackrill.testing.edge import EdgeAnswer, EdgeClient
from tamarackrill.testing.worker import Worker, make_event

EVENTS = 5
STREAM_BODY = b"".join(make_event(number) for number in range(1, EVENTS + 1))
PROMISES = (408, 421, 429, 503)
ANSWER_MAX_S = 6.0
PAUSE_S = 0.05
LOST_CLIENT = (OSError, asyncio.IncompleteReadError, ValueError)


class Asked(NamedTuple):
    """One request and its answer; None if the connection ended without one."""

    request_id: str
    target: str
    answer: EdgeAnswer | None
    asked_s: float


class Caller:
    """Sends requests one after the other, on kept connections until they end.

    Parameters
    ----------
    name : str
        Begins the ids of its requests.
    addresses : list of str
        Routers.
    chance : random.Random
        Of the soak's seed.
    asked : list of Asked
        Gets what it saw.
    """

    def __init__(
        self,
        name: str,
        addresses: list[str],
        chance: random.Random,
        asked: list[Asked],
    ) -> None:
        self._name = name
        self._addresses = addresses
        self._chance = chance
        self._asked = asked

    async def run(self, until_s: float) -> None:
        """Ask until the loop's time is reached."""
        loop = asyncio.get_running_loop()
        client: EdgeClient | None = None
        number = 0
        while loop.time() < until_s:
            number += 1
            request_id = f"{self._name}-{number}"
            target = self._chance.choice(["/lookup/a", "/confirm/a", "/resumed/a"])
            asked_s = loop.time()
            answer = None
            try:
                async with asyncio.timeout(ANSWER_MAX_S):
                    if client is None:
                        address = self._chance.choice(self._addresses)
                        client = await EdgeClient.connect(address)
                    client.send(target, request_id, b"body")
                    answer = await client.read()
            except (TimeoutError, *LOST_CLIENT):
                answer = None
            self._asked.append(Asked(request_id, target, answer, asked_s))
            if client is not None and not _is_kept(answer):
                client.close()
                client = None
            await asyncio.sleep(self._chance.random() * PAUSE_S)
        if client is not None:
            client.close()


def _is_kept(answer: EdgeAnswer | None) -> bool:
    if answer is None or not answer.is_whole:
        return False
    return answer.headers.get("connection") != "close"


def find_broken(asked: list[Asked], workers: list[Worker]) -> list[str]:
    """Return which promises were broken, a line each.

    Parameters
    ----------
    asked : list of Asked
        What callers sent and received.
    workers : list of Worker
        With all requests that reached them, and those that they ran.
    """
    ran = Counter(
        request.request_id
        for worker in workers
        for request in worker.ran
        if request.target.startswith("/confirm/")
    )
    sent = {item.request_id for item in asked}
    broken = [f"{name} ran {count} times" for name, count in ran.items() if count > 1]
    broken += [
        f"{request.request_id} was sent by no caller"
        for worker in workers
        for request in worker.requests
        if request.request_id not in sent
    ]
    for item in asked:
        if item.answer is not None:
            broken += _judge(item, item.answer, ran)
    return broken


def _judge(item: Asked, answer: EdgeAnswer, ran: Counter[str]) -> list[str]:
    broken = []
    owner = answer.headers.get("x-request-attempt-id")
    if owner != item.request_id:
        broken.append(f"{item.request_id} got an answer to {owner}")
    is_confirmation = item.target.startswith("/confirm/")
    if is_confirmation and answer.status in PROMISES and ran[item.request_id]:
        broken.append(f"{item.request_id} was promised not to have run, and has")
    if answer.status in (401, 404):
        broken.append(f"{item.request_id} was denied with {answer.status}")
    if answer.status == 200 and item.target.startswith("/resumed/"):
        is_right = (
            answer.body == STREAM_BODY
            if answer.is_whole
            else STREAM_BODY.startswith(answer.body)
        )
        if not is_right:
            broken.append(f"{item.request_id} got a wrong stream: {answer.body!r}")
    if answer.status == 200 and answer.is_whole and not answer.body:
        broken.append(f"{item.request_id} got an empty answer")
    return broken
