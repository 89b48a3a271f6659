"""What races of attempts leave behind, and what reaches the client of random ones."""

import asyncio
import random

import pytest

from tamarackrill.testing.edge import EdgeFleet, make_route
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


def behave_at_random(rng, is_stream):
    """Return a behaviour that is silent, goes on, breaks off or refuses at random."""

    async def refuse(request, writer):
        headers = {"X_Not_Executed": "1", "X_Response_Signature": ""}
        writer.write(make_answer(request, b"", 503, **headers))

    async def act(request, writer):
        kind = rng.random()
        if kind < 0.15:
            await refuse(request, writer)
            return
        if kind < 0.2:
            writer.write(make_answer(request, b"broken", 500))
            return
        if not is_stream:
            await asyncio.sleep(rng.choice((0.0, 0.6, 0.8, 1.5)))
            writer.write(make_answer(request, b"answer"))
            return
        writer.write(make_stream_head(request))
        start = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(start, EVENTS + 1):
            event = make_event(number)
            cut = rng.randrange(len(event))
            if rng.random() < 0.08:
                writer.write(make_chunk(event[:cut])) if cut else None
                await writer.drain()
                await asyncio.sleep(rng.choice((1.55, 1.6, 1.7, 2.5)))
                writer.write(make_chunk(event[cut:]))
            elif rng.random() < 0.03:
                writer.write(make_chunk(event[:cut])) if cut else None
                await writer.drain()
                await reset_connection(writer)
                return
            else:
                writer.write(make_chunk(event))
            await writer.drain()
        writer.write(make_chunk(b""))

    return act


async def play(seed, is_stream, has_slow_peers):
    rng = random.Random(seed)
    route = make_route(
        "/r/",
        "streaming" if is_stream else "idempotent",
        stream_resume=is_stream,
        attempts=rng.choice((2, 3, 4)),
        timeout_ms=6000,
        target_latency_ms=200,
    )
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, route)
        for number in range(4):
            await fleet.add_worker(
                f"w{number}", behave_at_random(rng, is_stream), slots=64
            )
        router = await fleet.add_router(has_slow_peers=has_slow_peers)
        errors = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: errors.append(context)
        )

        async def request(number):
            client = await fleet.connect(router)
            method = "POST" if is_stream else "GET"
            body = b"x" if is_stream else b""
            name = f"id-{seed}-{number}"
            client.send("/r/a", name, body, method, X_Deadline_Ms="5000")
            if rng.random() < 0.15:
                await asyncio.sleep(rng.uniform(0.0, 2.5))
                client.close()
                return None
            return await asyncio.wait_for(client.read(), 7.0)

        answers = await asyncio.gather(*(request(n) for n in range(REQUESTS)))
        await asyncio.sleep(0.3)
        left = {
            task.get_coro().__qualname__
            for task in asyncio.all_tasks()
            if "_run_series" in task.get_coro().__qualname__
        }
        loads = (
            [
                router.placer.placement.loads.summarize(
                    {worker.name: None}, router.clock()
                ).total
                for worker in fleet.workers
            ]
            if hasattr(router, "placer")
            else []
        )
        sent = {}
        for worker in fleet.workers:
            for got in worker.requests:
                sent[got.request_id] = sent.get(got.request_id, 0) + 1
        return route, answers, errors, left, loads, sent


@pytest.mark.parametrize("has_slow_peers", [False, True])
@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_random_races_answer_once_and_leave_nothing(seed, is_stream, has_slow_peers):
    # Guards against events that come twice or go missing, answers of two attempts,
    # more attempts than allowed, and tasks that go on after their request.
    route, answers, errors, left, _, sent = asyncio.run(
        play(seed, is_stream, has_slow_peers)
    )
    assert not errors
    assert not left
    assert max(sent.values()) <= route["attempts"]
    for answer in filter(None, answers):
        if answer.status != 200:
            assert answer.status in (500, 502, 503, 504)
        elif is_stream:
            assert WHOLE.startswith(answer.body)
            assert answer.is_whole == (answer.body == WHOLE)
        else:
            assert answer.body == b"answer"
