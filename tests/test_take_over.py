"""Endpoints that fall silent and go on, while the take-over elsewhere fails."""

import asyncio
from typing import NamedTuple

import pytest
from soak.links import EndpointLinks

from tamarackrill.decisions.retry_shares import BudgetTerms
from tamarackrill.testing.edge import EdgeAnswer, EdgeFleet, make_route
from tamarackrill.testing.worker import (
    in_turn,
    make_answer,
    make_chunk,
    make_event,
    make_stream_head,
    make_streaming,
    refuse_full,
    reset_connection,
)

EVENTS_BEFORE, EVENTS = 4, 8
WHOLE = b"".join(make_event(number) for number in range(1, EVENTS + 1))
# Far above the time after which a take-over is due, as a late router waits longer, and
# below twice that time, so that there is one.
STREAM_SILENCE_S = 2.8
LOOKUP_SILENCE_S = 1.2
# Long enough for a second take-over, if no path through another router is known in time
# for the first one.
RELAYED_SILENCE_S = 5.0
# An endpoint must not work on for longer after another one has answered.
CLOSE_MAX_S = 0.35
# Far longer than any silence, as endpoints join while the request is under way.
TIMEOUT_MS = 30_000
DEADLINE_MS = str(TIMEOUT_MS)
# Plays at a time, so that none waits for the others.
PLAYS_MAX = 16


def answer_not_run(status):
    async def act(request, writer):
        headers = {"X_Not_Executed": "1", "X_Response_Signature": ""}
        writer.write(make_answer(request, b"", status, **headers))

    return act


async def answer_500(request, writer):
    writer.write(make_answer(request, b"broken", 500))


async def close_at_once(request, writer):
    writer.close()


async def reset_at_once(request, writer):
    await reset_connection(writer)


async def cut_first_event(request, writer):
    number = int(request.headers.get("last-event-id", 0)) + 1
    writer.write(make_stream_head(request) + make_chunk(make_event(number)[:5]))
    await writer.drain()
    writer.close()


async def cut_body(request, writer):
    writer.write(make_answer(request, b"part of a body")[:-5])
    await writer.drain()
    writer.close()


async def hang(request, writer):
    await asyncio.Event().wait()


FAILURES = {
    "503": refuse_full,
    "429": answer_not_run(429),
    "421": answer_not_run(421),
    "500": answer_500,
    "close": close_at_once,
    "reset": reset_at_once,
    "hang": hang,
}
STREAM_FAILURES = {**FAILURES, "cut_event": cut_first_event}
LOOKUP_FAILURES = {**FAILURES, "cut_body": cut_body}


def fall_silent(silence_s, cut_bytes=0, end=None):
    """Return a behaviour that streams, is silent for a while, and goes on.

    The silence begins after `cut_bytes` bytes of an event.  The endpoint behaves like
    `end` afterwards if that is given.
    """

    async def act(request, writer):
        numbers = range(EVENTS_BEFORE + 1, EVENTS + 1)
        rest = b"".join(make_event(number) for number in numbers)
        writer.write(make_stream_head(request))
        for number in range(1, EVENTS_BEFORE + 1):
            writer.write(make_chunk(make_event(number)))
        if cut_bytes:
            writer.write(make_chunk(rest[:cut_bytes]))
        await writer.drain()
        await asyncio.sleep(silence_s)
        if end is not None:
            await end(request, writer)
            return
        writer.write(make_chunk(rest[cut_bytes:]) + make_chunk(b""))

    return act


def answer_late(silence_s):
    async def act(request, writer):
        await asyncio.sleep(silence_s)
        writer.write(make_answer(request, b"late"))

    return act


def stop_in_body(silence_s):
    """Return a behaviour that is silent in the middle of its answer."""

    async def act(request, writer):
        answer = make_answer(request, b"late")
        writer.write(answer[:-2])
        await writer.drain()
        await asyncio.sleep(silence_s)
        writer.write(answer[-2:])

    return act


def note_ended(behave, ended):
    """Return the same behaviour, which notes requests that the router ends."""

    async def act(request, writer):
        try:
            await behave(request, writer)
        except asyncio.CancelledError:
            ended.append(request)
            raise

    return act


class Play(NamedTuple):
    """What a client got, and what its request met."""

    answer: EdgeAnswer
    other_requests: int
    # Answers that the router ended before they were complete.
    first_ended: int
    others_ended: int


async def play_stream(first, other, attempts=2, cut_links="", stays_s=None, **settings):
    """Begin a stream at the only endpoint, and let two others join.

    The router reaches the `others`, or `all` endpoints, only through another router if
    these links are cut.  The client leaves `stays_s` after the fourth event.
    """
    route = make_route(
        "/s/", "streaming", stream_resume=True, attempts=attempts, timeout_ms=TIMEOUT_MS
    )
    links, ended, others_ended = EndpointLinks(), [], []
    first, other = note_ended(first, ended), note_ended(other, others_ended)
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, route)
        worker = await fleet.add_worker("w0", first)
        router = await fleet.add_router(connect=links.connect, **settings)
        if cut_links:
            await fleet.add_router("helper", "y")
        await _wait_known(fleet)
        if cut_links == "all":
            links.cut("new", [worker.address])
        client = await fleet.connect(router)
        reading = await _begin_stream(fleet, client)
        others = [await fleet.add_worker(f"w{n}", other) for n in (1, 2)]
        await _wait_known(fleet)
        if cut_links:
            links.cut("new", [w.address for w in fleet.workers])
        if stays_s is not None:
            await asyncio.sleep(stays_s)
            client.close()
        answer = await _end_play(reading)
        play = Play(answer, _count_requests(others), len(ended), len(others_ended))
        await links.stop()
        return play


async def play_lookup(first, other, attempts=2, deadline_ms=DEADLINE_MS):
    """Send an idempotent request to three endpoints, of which one acts like `first`."""
    route = make_route(
        "/l/",
        "idempotent",
        attempts=attempts,
        target_latency_ms=300,
        timeout_ms=TIMEOUT_MS,
    )
    asked, ended = [], []

    async def act(request, writer):
        asked.append(request)
        behave = first if len(asked) == 1 else other
        await note_ended(behave, ended)(request, writer)

    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, route)
        workers = [await fleet.add_worker(f"w{n}", act) for n in range(3)]
        router = await fleet.add_router()
        await fleet.wait(lambda: len(router.view.list_endpoints()) == 3)
        client = await fleet.connect(router)
        client.send("/l/a", method="GET", X_Deadline_Ms=deadline_ms)
        answer = await _end_play(asyncio.create_task(client.read()))
        return Play(answer, _count_requests(workers) - 1, 0, len(ended))


async def _wait_known(fleet):
    """Wait until all routers know each other and all endpoints.

    A router that doesn't know an endpoint yet says that it can't reach it, and isn't
    asked again for a second.
    """
    await fleet.wait(
        lambda: all(
            len(router.members.list_live()) == len(fleet.routers)
            and len(router.view.list_endpoints()) == len(fleet.workers)
            for router in fleet.routers
        )
    )


async def _begin_stream(fleet, client):
    """Begin a stream, and return the task that reads it.

    A router that asks for a path longer than it waits refuses the request, unrun.
    """
    while True:
        client.send("/s/a", body=b"x", X_Deadline_Ms=DEADLINE_MS)
        reading = asyncio.create_task(client.read())
        await fleet.wait(
            lambda r=reading: r.done() or make_event(EVENTS_BEFORE) in client.received
        )
        if not reading.done():
            return reading
        assert (reading.result().status, fleet.workers[0].requests) == (503, [])


async def _end_play(reading):
    answer = await asyncio.wait_for(reading, TIMEOUT_MS / 1000)
    # The end of a connection reaches its worker, maybe through another router.
    await asyncio.sleep(CLOSE_MAX_S)
    return answer


def _count_requests(workers):
    return sum(len(worker.requests) for worker in workers)


def _make_plays():
    """Return all plays by their names, as coroutines."""
    plays = {}
    silent, whole = fall_silent(STREAM_SILENCE_S), make_streaming(EVENTS)
    for name, failure in STREAM_FAILURES.items():
        for attempts in (2, 3):
            plays[f"stream-{name}-{attempts}"] = play_stream(silent, failure, attempts)
    for name in ("503", "close", "hang"):
        first = fall_silent(STREAM_SILENCE_S, cut_bytes=5)
        plays[f"inside_event-{name}"] = play_stream(first, FAILURES[name])
        for cut in ("others", "all"):
            plays[f"relayed-{name}-{cut}"] = play_stream(
                fall_silent(RELAYED_SILENCE_S), FAILURES[name], cut_links=cut
            )
        plays[f"slow_peers-{name}"] = play_stream(
            silent, FAILURES[name], has_slow_peers=True
        )
    for name, cut in (("taken_over", ""), ("others", "others"), ("all", "all")):
        plays[name] = play_stream(fall_silent(RELAYED_SILENCE_S), whole, cut_links=cut)
    plays["inside_event"] = play_stream(fall_silent(5.0, cut_bytes=5), whole)
    for name, first in (("head", answer_late(5.0)), ("body", stop_in_body(5.0))):
        plays[f"elsewhere-{name}"] = play_lookup(first, answer_late(0.0))
    plays["first_of_two_hangs"] = play_stream(
        fall_silent(5.0), in_turn(hang, whole), attempts=3
    )
    for name in ("close", "reset"):
        plays[f"ended_then_hangs-{name}"] = play_stream(
            fall_silent(2.0, end=FAILURES[name]), in_turn(hang, whole), attempts=3
        )
    plays["no_budget"] = play_stream(
        silent, whole, retry_budget=BudgetTerms(ratio=0.0, window_s=10.0, fixed=0.0)
    )
    plays["left"] = play_stream(fall_silent(5.0), hang, stays_s=2.5)
    return plays | _make_lookup_plays()


def _make_lookup_plays():
    plays = {}
    for name, failure in LOOKUP_FAILURES.items():
        for attempts in (2, 3):
            plays[f"lookup-{name}-{attempts}"] = play_lookup(
                answer_late(LOOKUP_SILENCE_S), failure, attempts
            )
        plays[f"body-{name}"] = play_lookup(stop_in_body(STREAM_SILENCE_S), failure)
        late = answer_late(STREAM_SILENCE_S)
        for kind, first in (("hang", hang), ("late", late)):
            plays[f"short-{name}-{kind}"] = play_lookup(
                first, failure, deadline_ms="6000"
            )
    return plays


@pytest.fixture(scope="module")
def plays():
    """Run many plays at the same time, as most of their time is silence."""

    async def run():
        named = _make_plays()
        turns = asyncio.Semaphore(PLAYS_MAX)

        async def take_turn(play):
            async with turns:
                return await play

        results = await asyncio.gather(
            *map(take_turn, named.values()), return_exceptions=True
        )
        return dict(zip(named, results, strict=True))

    return asyncio.run(run())


def find_play(plays, name):
    play = plays[name]
    if isinstance(play, BaseException):
        raise play
    return play


@pytest.mark.parametrize("attempts", [2, 3])
@pytest.mark.parametrize("failure", STREAM_FAILURES)
def test_stream_goes_on_at_its_endpoint_if_the_take_over_fails(
    plays, failure, attempts
):
    # Guards against a stream that is cut although its endpoint goes on, because it was
    # given up for silence before another endpoint had it.
    play = find_play(plays, f"stream-{failure}-{attempts}")
    assert (play.answer.body, play.answer.is_whole) == (WHOLE, True)
    assert not play.first_ended
    assert play.other_requests >= 1


@pytest.mark.parametrize("failure", ["503", "close", "hang"])
def test_event_that_a_silence_divides_is_forwarded_once_and_whole(plays, failure):
    # Guards against a partial event that is joined to the data of another endpoint.
    play = find_play(plays, f"inside_event-{failure}")
    assert (play.answer.body, play.answer.is_whole) == (WHOLE, True)
    assert not play.first_ended


@pytest.mark.parametrize("attempts", [2, 3])
@pytest.mark.parametrize("failure", LOOKUP_FAILURES)
def test_late_answer_is_forwarded_if_the_second_attempt_fails(plays, failure, attempts):
    # Guards against a request that fails although its first endpoint answers, because
    # nobody waits for that answer any more.
    play = find_play(plays, f"lookup-{failure}-{attempts}")
    assert (play.answer.status, play.answer.body) == (200, b"late")


@pytest.mark.parametrize("failure", LOOKUP_FAILURES)
def test_failure_that_is_answered_beside_a_silent_endpoint_promises_nothing(
    plays, failure
):
    # Guards against a promise that a request hasn't run which a silent endpoint may
    # run, and against a sound endpoint that is given up although time is left.
    hung = find_play(plays, f"short-{failure}-hang").answer
    expected = {"500": 500, "hang": 504}.get(failure, 502)
    assert (hung.status, "retry-after" in hung.headers) == (expected, False)
    late = find_play(plays, f"short-{failure}-late").answer
    assert (late.status, late.body) == (200, b"late")


@pytest.mark.parametrize("cut", ["others", "all"])
@pytest.mark.parametrize("failure", ["503", "close", "hang"])
def test_stream_goes_on_if_its_take_over_through_another_router_fails(
    plays, failure, cut
):
    # Guards against the same where one or both attempts pass through another router.
    play = find_play(plays, f"relayed-{failure}-{cut}")
    assert (play.answer.body, play.answer.is_whole) == (WHOLE, True)
    assert not play.first_ended
    assert play.other_requests >= 1


@pytest.mark.parametrize("failure", ["503", "close", "hang"])
def test_buffered_stream_goes_on_if_its_take_over_fails(plays, failure):
    play = find_play(plays, f"slow_peers-{failure}")
    assert (play.answer.body, play.answer.is_whole) == (WHOLE, True)


@pytest.mark.parametrize("name", ["taken_over", "inside_event", "others", "all"])
def test_stream_goes_on_elsewhere_if_its_endpoint_stays_silent(plays, name):
    # Guards against a stream that waits for a dead endpoint, or runs on at two.
    play = find_play(plays, name)
    assert (play.answer.body, play.answer.is_whole) == (WHOLE, True)
    assert play.first_ended == 1
    assert play.other_requests == 1


@pytest.mark.parametrize("failure", LOOKUP_FAILURES)
def test_answer_that_stops_in_its_body_is_forwarded_whole(plays, failure):
    # Guards against an answer that is given up or cut because its endpoint is silent
    # in the middle of it.
    play = find_play(plays, f"body-{failure}")
    assert (play.answer.status, play.answer.body) == (200, b"late")
    assert play.other_requests >= 1


@pytest.mark.parametrize("where", ["head", "body"])
def test_request_is_answered_elsewhere_if_its_endpoint_stays_silent(plays, where):
    # Guards against a request that waits for a dead endpoint until its deadline, also
    # once that has sent a part of its answer.
    play = find_play(plays, f"elsewhere-{where}")
    assert (play.answer.status, play.answer.body) == (200, b"late")
    assert (play.other_requests, play.others_ended) == (1, 1)


@pytest.mark.parametrize("attempts", [2, 3])
def test_attempt_beside_an_endpoint_that_goes_on_is_ended(plays, attempts):
    # Guards against two endpoints that work on a stream of which one has gone on.
    play = find_play(plays, f"stream-hang-{attempts}")
    assert (play.other_requests, play.others_ended) == (1, 1)


def test_third_attempt_starts_if_the_second_is_silent_too(plays):
    # Guards against a stream that waits for two dead endpoints, though its route allows
    # a third one.
    play = find_play(plays, "first_of_two_hangs")
    assert (play.answer.body, play.answer.is_whole) == (WHOLE, True)
    assert (play.other_requests, play.first_ended, play.others_ended) == (2, 1, 1)


@pytest.mark.parametrize("end", ["close", "reset"])
def test_third_attempt_starts_if_the_first_has_ended_and_the_second_hangs(plays, end):
    # Guards against a stream that waits for an endpoint which doesn't answer at all,
    # once the endpoint beside which it was asked has ended.
    play = find_play(plays, f"ended_then_hangs-{end}")
    assert (play.answer.body, play.answer.is_whole) == (WHOLE, True)
    assert (play.other_requests, play.others_ended) == (2, 1)


def test_client_that_leaves_ends_both_attempts(plays):
    # Guards against an endpoint that works on for a client that has gone.
    play = find_play(plays, "left")
    assert not play.answer.is_whole
    assert play.first_ended == 1
    assert (play.other_requests, play.others_ended) == (1, 1)


def test_silent_endpoint_is_awaited_if_the_retry_budget_is_spent(plays):
    # Guards against take-overs beyond the retry budget, and against a stream that is
    # cut for want of one.
    play = find_play(plays, "no_budget")
    assert (play.answer.body, play.answer.is_whole) == (WHOLE, True)
    assert play.other_requests == 0


@pytest.mark.parametrize("ends_s", [0.1, 2.0])
def test_end_of_an_endpoint_is_checked_though_it_was_silent(ends_s):
    # Guards against a request that crashes one endpoint after the other unnoticed, as
    # each falls silent before it ends.
    async def run():
        route = make_route("/l/", "idempotent", timeout_ms=8000)
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, route)
            worker = await fleet.add_worker("w0", hang)
            router = await fleet.add_router()
            await fleet.wait(lambda: router.view.list_endpoints())
            checked = []

            async def check(ending):
                checked.append(ending)

            router.flow.attempts.crashes.check = check
            client = await fleet.connect(router)
            client.send("/l/a", method="GET", X_Deadline_Ms=DEADLINE_MS)
            await fleet.wait(lambda: worker.requests)
            await asyncio.sleep(ends_s)
            await worker.crash()
            await client.read()
            assert len(checked) == 1

    asyncio.run(run())
