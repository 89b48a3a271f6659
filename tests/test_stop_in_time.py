"""Requests around the planned stop of a router."""

import asyncio
import signal
from collections import Counter

import pytest
from soak.links import EndpointLinks

from tamarackrill.decisions.stopping import decide_at_stop, plan_stop
from tamarackrill.router.attempt_tasks import AttemptTasks
from tamarackrill.testing.edge import EdgeFleet, ask, make_route, read_reason
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.stopping_routers import SILENT_S, StoppingRouters

# A balancer sends new connections for up to two checks after the signal.
BALANCER_S = 2.0
# A request that is sent while a router closes its connections may cross the close.
CLOSING_S = 0.5
# Default grace period of `EdgeProcess`.
GRACE_S = 4


def check(play, item):
    """Return the rules that the router has broken for a request."""
    ran_s = play.ran_s.get(item.request_id)
    if ran_s is not None:
        yield from check_run(item, ran_s, play.told_s[item.grace_s])
    if item.answer is not None:
        yield from check_answer(item)
    elif (
        item.sent_s is not None and item.sent_s < play.ended_s[item.grace_s] - CLOSING_S
    ):
        yield "read and closed without an answer"


def check_run(item, ran_s, told_s):
    if item.answer is None:
        yield "ran and was closed without an answer"
    elif item.answer.status == 503:
        yield "refused as not run, and has run"
    if item.kind in ("lookup", "resumed") or ran_s < told_s:
        return
    if ran_s + item.work_s > item.grace_s:
        yield "passed on though it can't end in time"
    if item.answer is not None and not item.answer.is_whole:
        yield "stream begun after the signal and cut"


def check_answer(item):
    status = item.answer.status
    if status not in (200, 502, 503):
        yield f"answered with {status}"
    if status == 503 and "retry-after" not in item.answer.headers:
        yield "refused without a time to come back"
    is_early = item.sent_s < min(BALANCER_S, item.grace_s / 3)
    fits = item.work_s <= (item.grace_s - max(0.0, item.sent_s)) / 2
    is_served = status == 200 and item.answer.is_whole
    if is_early and fits and not is_served:
        yield "not served though it fits"


def find_violations(play):
    return Counter(
        (rule, item.kind, item.work_s, item.grace_s)
        for item in play.sent
        for rule in check(play, item)
    )


def test_requests_around_a_stop_are_served_refused_or_told_what_is_known():
    # Guards against requests that a stopping router takes though they outlast its
    # grace, and against connections that end without a word of what was sent on.
    play = StoppingRouters((8, 4, 2), (0.05, 1.8, 4.0, SILENT_S))
    asyncio.run(play.run())
    assert find_violations(play) == {}


PLAN = plan_stop(0.0, 8.0, 2.6)


@pytest.mark.parametrize(
    ("left_s", "may_repeat", "has_others", "known_s", "ages_s", "must_serve"),
    [
        # Known to fit, and known not to.
        (4.0, False, True, [3.0] * 3, [], True),
        (4.0, False, True, [3.0, 3.0, 3.5], [], False),
        (4.0, True, True, [3.5] * 9 + [9.0], [], True),
        # Others of its kind are at work for longer than any has taken.
        (4.0, True, True, [0.1] * 3, [5.0] * 3, False),
        (4.0, False, True, [0.1] * 3, [5.0], False),
        # Unknown: a lookup may take half of its timeout.
        (4.0, False, True, [0.1], [], False),
        (4.6, True, True, [], [], True),
        (4.4, True, True, [], [], False),
        # Nobody else can serve it before this router has been started again.
        (4.0, False, False, [], [], True),
        (4.0, False, False, [3.5, 9.0], [], True),
        (4.0, False, False, [9.0], [], False),
        (-0.1, True, False, [], [], False),
    ],
)
def test_request_is_passed_on_if_it_can_be_expected_to_end(
    left_s, may_repeat, has_others, known_s, ages_s, must_serve
):
    # Guards against taking what outlasts the grace period, and refusing what fits.
    now_s = PLAN.answers_end_s - left_s
    decision = decide_at_stop(
        PLAN, now_s, now_s + 9.0, may_repeat, has_others, known_s, ages_s
    )
    assert decision.must_serve is must_serve


def test_request_whose_timeout_ends_in_time_is_always_passed_on():
    # Guards against refusing requests that their timeout ends before the router does.
    deadline_s = PLAN.answers_end_s - 0.1
    assert decide_at_stop(PLAN, 0.0, deadline_s, False, True, [], []).must_serve


def test_durations_are_known_though_clients_leave_at_once(monkeypatch):
    # Guards against requests that are refused at a stop as if nothing was known of
    # them, as each client leaves before a silent attempt beside its answer has ended.
    async def wait(tasks):
        await asyncio.Event().wait()

    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, make_route("/lookup/", "idempotent"))
            await fleet.add_worker("w")
            router = await fleet.add_router(has_slow_peers=True)
            monkeypatch.setattr(AttemptTasks, "cancel", wait)
            answer = await ask(router, "/lookup/a")
            await fleet.wait(lambda: not router.server.in_flight)
            known_s = router.flow.stopping.list_known_s("r-lookup", "desk")
            return answer.status, len(known_s)

    assert asyncio.run(run()) == (200, 1)


async def hold(request, writer):
    await asyncio.Event().wait()


def test_hundreds_of_unanswered_requests_are_told_that_they_may_have_run(tmp_path):
    # Guards against answers that come too late for some of many requests in flight,
    # and against a client that is still sending its body when the connection closes.
    async def run():
        async with EdgeFleet() as fleet:
            route = make_route("/confirm/", "non_idempotent", timeout_ms=9000)
            await fleet.put_manifest(1, route, service={"max_connections": 999})
            worker = await fleet.add_worker("w", hold, slots=999)
            # The router has a process, and so a core, of its own.
            router = EdgeProcess("router", "z", fleet.store_address, [], tmp_path)
            router.start()
            try:
                await router.wait_ready()
                address = router.addresses.callers
                clients = []
                for number in range(300):
                    clients.append(await fleet.connect(address))
                    clients[-1].send("/confirm/a", f"{number}", X_Deadline_Ms="9000")
                    await fleet.wait(lambda: len(worker.requests) == len(clients))
                clients.append(await fleet.connect(address))
                # Its client still waits when the grace period ends.
                fields = {"Content_Length": "8", "X_Deadline_Ms": "9000"}
                clients[-1].send("/confirm/a", "unread", b"half", **fields)
                router.signal(signal.SIGTERM)
                ending = asyncio.create_task(router.wait_ended())
                await asyncio.wait([ending], timeout=GRACE_S)
            finally:
                router.kill()
            answers = [await client.read() for client in clients]
            assert all(a.headers["connection"] == "close" for a in answers)
            reasons = Counter((a.status, read_reason(a)) for a in answers)
            return reasons, len(worker.requests)

    reasons, runs = asyncio.run(run())
    assert reasons == {(502, "stopping"): 300, (503, "leaving"): 1}
    assert runs == 300


def test_attempt_through_a_router_that_stops_is_told_as_what_it_is():
    # Guards against a request that is sent again, or refused as not run, because the
    # router that passed it on to its endpoint has stopped.
    async def run():
        links = EndpointLinks()
        async with EdgeFleet() as fleet:
            route = make_route("/confirm/", "non_idempotent", timeout_ms=9000)
            await fleet.put_manifest(1, route)
            worker = await fleet.add_worker("w", hold)
            router = await fleet.add_router(connect=links.connect)
            helper = await fleet.add_router("helper", "y", grace_s=1.0)
            await fleet.wait(lambda: len(router.members.list_live()) == 2)
            links.cut("new", [worker.address])
            client, number = await fleet.connect(router), 0
            while not worker.requests:
                number += 1
                client.send("/confirm/a", f"id-{number}", X_Deadline_Ms="9000")
                reading = asyncio.create_task(client.read())
                await fleet.wait(lambda r=reading: worker.requests or r.done())
            await helper.drain()
            answer = await reading
            await links.stop()
            return answer, len(worker.requests)

    answer, runs = asyncio.run(run())
    assert (answer.status, runs) == (502, 1)


def test_request_that_waits_for_a_slot_is_refused_once_it_could_not_end():
    # Guards against requests that keep waiting in a router that stops, and are sent
    # when a slot is free at last, though they may not run twice and can't end.
    async def run():
        async with EdgeFleet() as fleet:
            route = make_route("/confirm/", "non_idempotent", timeout_ms=9000)
            await fleet.put_manifest(1, route)
            worker = await fleet.add_worker("w", hold)
            router = await fleet.add_router()
            await fleet.add_router("other")
            await fleet.wait(lambda: len(router.members.list_live()) == 2)
            running = await fleet.connect(router)
            running.send("/confirm/a", "running", X_Deadline_Ms="9000")
            await fleet.wait(lambda: worker.requests)
            placing = asyncio.Event()

            async def wait(attempt):
                placing.set()
                await asyncio.Event().wait()

            router.flow.reserver.place = wait
            waiting = await fleet.connect(router)
            waiting.send("/confirm/a", "waiting", X_Deadline_Ms="9000")
            await placing.wait()
            draining = asyncio.create_task(router.drain())
            refused = await waiting.read()
            is_early = router.clock() < router.flow.stopping.plan.answers_end_s
            await draining
            ended = await running.read()
            runs = [request.request_id for request in worker.requests]
            return refused, ended, is_early, runs

    refused, ended, is_early, runs = asyncio.run(run())
    assert (refused.status, read_reason(refused)) == (503, "stopping")
    assert (ended.status, read_reason(ended)) == (502, "stopping")
    assert is_early and runs == ["running"]
