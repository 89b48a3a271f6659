"""What reaches the clients of random races of attempts, and what these leave behind."""

import asyncio
import random
from collections import Counter
from typing import Any, NamedTuple

import pytest
from soak.links import EndpointLinks

from tamarackrill.testing.edge import EdgeAnswer, EdgeFleet, make_route
from tamarackrill.testing.worker import (
    make_answer,
    make_chunk,
    make_event,
    make_stream_head,
    reset_connection,
)

EVENTS = 12
WHOLE = b"".join(make_event(number) for number in range(1, EVENTS + 1))
REQUESTS = 24
KINDS: dict[str, dict[str, Any]] = {
    "idempotent": {},
    "non_idempotent": {},
    "streaming": {},
    "resumable": {"stream_resume": True},
}


class Play(NamedTuple):
    """What the clients got, and what was left."""

    answers: dict[str, EdgeAnswer | None]
    sent: Counter[str]
    ran: Counter[str]
    together: int
    in_flight: list[int]
    tasks: list[str]
    errors: list[Any]


class RandomWorkers:
    """Behaviour of workers that fall silent, go on, break off or refuse at random."""

    def __init__(self, rng, is_stream):
        self.rng, self.is_stream = rng, is_stream
        self.ran, self.working = Counter(), Counter()

    async def act(self, request, writer):
        kind = self.rng.random()
        if kind < 0.15:
            headers = {"X_Not_Executed": "1", "X_Response_Signature": ""}
            writer.write(make_answer(request, b"", 503, **headers))
            return
        self.ran[request.request_id] += 1
        self.working[request.request_id] += 1
        try:
            if kind < 0.2:
                writer.write(make_answer(request, b"broken", 500))
            elif self.is_stream:
                await self.stream(request, writer)
            else:
                await asyncio.sleep(self.rng.choice((0.0, 0.6, 0.8, 1.5)))
                writer.write(make_answer(request, b"answer"))
        finally:
            self.working[request.request_id] -= 1

    async def stream(self, request, writer):
        rng = self.rng
        writer.write(make_stream_head(request))
        start = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(start, EVENTS + 1):
            event, chance = make_event(number), rng.random()
            cut = rng.randrange(len(event)) if chance < 0.11 else 0
            if cut:
                writer.write(make_chunk(event[:cut]))
                await writer.drain()
            if chance < 0.08:
                await asyncio.sleep(rng.choice((1.5, 1.6, 1.7, 2.5)))
            elif chance < 0.11:
                await reset_connection(writer)
                return
            writer.write(make_chunk(event[cut:]))
            await writer.drain()
        writer.write(make_chunk(b""))


async def play(seed, kind, has_slow_peers, is_relayed):
    rng = random.Random(seed)
    is_stream = kind in ("streaming", "resumable")
    workers, links = RandomWorkers(rng, is_stream), EndpointLinks()
    links.is_direct = True
    attempts = rng.choice((2, 3, 4))
    route = make_route(
        "/r/",
        "streaming" if is_stream else kind,
        attempts=attempts,
        timeout_ms=6000,
        target_latency_ms=200,
        **KINDS[kind],
    )
    errors: list[Any] = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: errors.append(context)
    )
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, route)
        for number in range(4):
            await fleet.add_worker(f"w{number}", workers.act, slots=64)
        router = await fleet.add_router(
            connect=links.connect, has_slow_peers=has_slow_peers
        )
        if is_relayed:
            await fleet.add_router("helper", "y")
            await fleet.wait(lambda: len(router.members.list_live()) == 2)
            links.cut("new", [worker.address for worker in fleet.workers[:2]])

        async def request(name):
            client = await fleet.connect(router)
            method = "GET" if kind == "idempotent" else "POST"
            body = b"" if kind == "idempotent" else b"x"
            client.send("/r/a", name, body, method, X_Deadline_Ms="5000")
            if rng.random() < 0.15:
                await asyncio.sleep(rng.uniform(0.0, 2.5))
                client.close()
                return None
            return await asyncio.wait_for(client.read(), 7.0)

        names = [f"id-{seed}-{number}" for number in range(REQUESTS)]
        answers = await asyncio.gather(*map(request, names))
        await asyncio.sleep(0.5)
        together = sum(workers.working.values())
        loads = router.flow.attempts._placer.placement.loads
        in_flight = [loads.own(worker.name) for worker in fleet.workers]
        tasks = [
            coroutine.__qualname__
            for task in asyncio.all_tasks()
            if "_run_series" in (coroutine := task.get_coro()).__qualname__
        ]
        sent = Counter(r.request_id for w in fleet.workers for r in w.requests)
        await links.stop()
    found = dict(zip(names, answers, strict=True))
    return attempts, Play(found, sent, workers.ran, together, in_flight, tasks, errors)


@pytest.mark.parametrize(
    ("has_slow_peers", "is_relayed"), [(False, False), (True, False), (False, True)]
)
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("seed", range(2))
def test_random_races_answer_once_and_leave_nothing(
    seed, kind, has_slow_peers, is_relayed
):
    # Guards against events that come twice or go missing, untrue answers, attempts
    # beyond those allowed, and work that goes on after its request.
    attempts, found = asyncio.run(play(seed, kind, has_slow_peers, is_relayed))
    assert not found.errors
    assert (found.tasks, found.together) == ([], 0)
    assert not any(found.in_flight)
    assert max(found.sent.values()) <= attempts
    if kind in ("non_idempotent", "streaming"):
        assert max(found.ran.values()) <= 1
    for name, answer in found.answers.items():
        if answer is None:
            continue
        if answer.status == 503:
            assert not found.ran[name]
        elif answer.status != 200:
            assert answer.status in (500, 502, 504)
        elif kind in ("streaming", "resumable"):
            assert WHOLE.startswith(answer.body)
            assert answer.is_whole == (answer.body == WHOLE)
        else:
            assert answer.body == b"answer"
