"""Answers of sound endpoints that are lost to a take-over, or to an idle timeout."""

import asyncio

import pytest

from tamarackrill.decisions.retry_shares import BudgetTerms
from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.worker import (
    Worker,
    answer_ok,
    make_answer,
    make_chunk,
    make_event,
    make_stream_head,
    reset_connection,
)
from test_take_over import (
    EVENTS_BEFORE,
    WHOLE,
    fall_silent,
    play_stream,
)

SILENCE_S = 2.8
REQUESTS = 20
# Half of the time that a client has.
CLIENT_WAITS_S = 1.5
NO_RETRIES = BudgetTerms(ratio=0.0, window_s=10.0, fixed=0.0)


def break_begun_event(after_s, is_reset):
    """Return a behaviour that begins an event, and breaks off some time later."""

    async def act(request, writer):
        event = make_event(EVENTS_BEFORE + 1)
        writer.write(make_stream_head(request) + make_chunk(event[:5]))
        await writer.drain()
        await asyncio.sleep(after_s)
        if is_reset:
            await reset_connection(writer)
        else:
            writer.close()

    return act


@pytest.mark.parametrize("attempts", [2, 3])
@pytest.mark.parametrize("is_reset", [False, True])
def test_stream_goes_on_if_its_take_over_breaks_off_inside_a_slow_event(
    is_reset, attempts
):
    # Guards against a sound endpoint that is let go of before another one has brought
    # a whole event: the stream is cut, though the first one goes on.
    other = break_begun_event(0.5, is_reset)
    play = asyncio.run(play_stream(fall_silent(SILENCE_S), other, attempts))
    assert play.other_requests
    assert (play.answer.is_whole, play.answer.body) == (True, WHOLE)


class TimingOutWorker(Worker):
    """Worker whose idle timeout ends a kept connection as a request arrives on it.

    A process that stood still, or was late, looks at its timers before it reads.
    """

    def __init__(self, name):
        super().__init__(name, answer_ok)
        self.is_timing_out = False
        self.served = set()

    async def _answer_all(self, reader, writer):
        while first := await reader.read(1):
            if self.is_timing_out and writer in self.served:
                writer.close()
                return
            head = (first + await reader.readuntil(b"\r\n\r\n")).decode()
            name = head.split("X-Request-Attempt-Id: ")[1].split("\r\n")[0]
            self.ran.append(name)
            self.served.add(writer)
            writer.write(make_answer(_Named(name)))
            await writer.drain()


class _Named:
    def __init__(self, request_id):
        self.request_id = request_id


@pytest.mark.parametrize(
    ("attempts", "budget"), [(1, None), (2, NO_RETRIES)], ids=["attempts", "budget"]
)
def test_request_on_a_connection_that_its_sound_endpoint_has_timed_out_is_answered(
    attempts, budget
):
    # Guards against requests that fail, though nothing has run them, because an
    # endpoint that paused ends its idle connections before it reads them.
    async def run():
        async with EdgeFleet() as fleet:
            route = make_route("/l/", "idempotent", attempts=attempts)
            await fleet.put_manifest(1, route)
            worker = TimingOutWorker("w0")
            await fleet.register_worker(worker)
            settings = {} if budget is None else {"retry_budget": budget}
            router = await fleet.add_router(**settings)
            await fleet.wait(lambda: len(router.view.list_endpoints()) == 1)

            async def request(number):
                return await ask(router, "/l/a", f"id-{number}", method="GET")

            statuses = []
            for number in range(REQUESTS):
                # Each second request finds a connection that is about to end.
                worker.is_timing_out = bool(number % 2)
                statuses.append((await request(number)).status)
            return statuses, len(worker.ran)

    statuses, ran = asyncio.run(run())
    assert (statuses.count(200), ran) == (REQUESTS, REQUESTS)


def test_failure_beside_a_hung_endpoint_reaches_a_client_that_can_come_back():
    # Guards against a failure that is kept until the deadline because another endpoint
    # hangs for good, when a client that retries could have been served.
    async def hang(request, writer):
        await asyncio.Event().wait()

    async def fail(request, writer):
        writer.write(make_answer(request, b"broken", 500))

    async def run():
        async with EdgeFleet() as fleet:
            route = make_route("/l/", "idempotent", target_latency_ms=300)
            await fleet.put_manifest(1, route)
            behaviours = [hang, fail]
            asked = []

            async def act(request, writer):
                asked.append(request)
                await behaviours[min(len(asked), 2) - 1](request, writer)

            for number in range(2):
                await fleet.add_worker(f"w{number}", act)
            router = await fleet.add_router()
            await fleet.wait(lambda: len(router.view.list_endpoints()) == 2)
            async with asyncio.timeout(CLIENT_WAITS_S):
                answer = await ask(router, "/l/a", method="GET", X_Deadline_Ms="3000")
            return answer.status

    assert asyncio.run(run()) in (500, 502)
