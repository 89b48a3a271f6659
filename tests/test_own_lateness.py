"""Timeouts of a router whose own loop is late."""

import asyncio
import socket
import time
from types import SimpleNamespace
from unittest import mock

import pytest
from soak.links import EndpointLinks

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.poison import LATE_CRASHES_MAX, PoisonTracker
from tamarackrill.protocol.owner_codec import (
    Answer,
    Ask,
    decode_owner_message,
    encode_owner_message,
)
from tamarackrill.router import lateness
from tamarackrill.router.channels import open_channel
from tamarackrill.router.crash_checks import (
    CRASH_CHECK_WAIT_S,
    AttemptEnding,
    CrashChecks,
)
from tamarackrill.router.edge_reserving import NEWS_WAITS_MAX
from tamarackrill.router.members import Member, Members
from tamarackrill.router.owners import Owners
from tamarackrill.router.peer_api import PeerUnavailable, pull
from tamarackrill.router.prompt_guard import SOUND_EVENTS_MIN
from tamarackrill.router.relay_client import REPLY_WAIT_S
from tamarackrill.router.upstream import close_client, make_client
from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.worker import (
    make_answer,
    make_chunk,
    make_event,
    make_stream_head,
)
from test_platform_client import SlowStore

TIMEOUT_S = 0.15
KEYS = ("a key",)
MIB = 1024 * 1024
FINGERPRINT = 17


def block_s(*blocks_s):
    """Block the loop for some times, with an iteration after each."""

    def block(left):
        if left:
            time.sleep(left[0])
            asyncio.get_running_loop().call_soon(block, left[1:])

    asyncio.get_running_loop().call_soon(block, blocks_s)


@pytest.mark.parametrize(
    "blocks_s", [(0.3,), (0.1, 0.1, 0.1), (0.0, 0.2, 0.2), (0.14, 0.1)]
)
def test_connection_made_in_time_is_taken_though_the_loop_is_late(blocks_s):
    # Guards against a busy router that takes all endpoints for unreachable.
    async def run():
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
            block_s(*blocks_s)
            channel = await open_channel(f"127.0.0.1:{port}", TIMEOUT_S)
            channel.close()

    asyncio.run(run())


@pytest.mark.parametrize("is_late", [False, True])
def test_connection_that_is_never_made_times_out(is_late):
    # Guards against a router that waits for a silent endpoint without end.
    async def run():
        loop = asyncio.get_running_loop()
        never = loop.create_future()
        if is_late:
            block_s(0.2)
        with (
            mock.patch.object(loop, "create_connection", lambda *args: never),
            pytest.raises(TimeoutError),
        ):
            await open_channel("127.0.0.1:1", TIMEOUT_S)

    asyncio.run(run())


def test_timer_of_a_loop_that_is_always_late_fires_at_last():
    # Guards against a timeout that never ends in a router that is overloaded for good.
    async def run():
        loop = asyncio.get_running_loop()
        fired = asyncio.Event()

        def keep_late():
            time.sleep(2 * lateness.LATE_S)
            loop.call_later(0.0, keep_late)

        keep_late()
        lateness.LateTimer(loop.time(), fired.set)
        await fired.wait()

    asyncio.run(run())


class FakeLoop:
    """Event loop with one timer, whose clock the test sets."""

    def __init__(self):
        self.now_s = 0.0

    def time(self):
        return self.now_s

    def call_at(self, due_s, act, *arguments):
        self.due = due_s, act, arguments

    def run(self, late_s):
        due_s, act, arguments = self.due
        self.now_s = due_s + late_s
        act(*arguments)


@pytest.mark.parametrize(
    ("late_s", "has_progress", "waits"),
    [(0.0, True, 0), (0.2, False, 1), (0.2, True, lateness.CATCH_UPS_MAX)],
)
def test_timer_waits_for_progress_once_the_loop_was_late(late_s, has_progress, waits):
    # Guards against a client that reads slowly and is served past its deadline for as
    # long as it likes, and against one that is cut though it reads.
    loop, fired_s = FakeLoop(), []
    with mock.patch.object(asyncio, "get_running_loop", return_value=loop):
        lateness.LateTimer(
            1.0, lambda: fired_s.append(loop.now_s), lambda: has_progress
        )
    loop.run(late_s)
    while not fired_s:
        loop.run(0.0)
    assert fired_s == [pytest.approx(1.0 + late_s + waits * lateness.CATCH_UP_S)]


@pytest.mark.parametrize("late_s", [0.02, 0.2, 0.5])
def test_deadline_ends_soon_however_late_the_loop_is(late_s):
    # Guards against a loop held up by one request, whose deadline is put off each time.
    loop, fired_s = FakeLoop(), []
    with mock.patch.object(asyncio, "get_running_loop", return_value=loop):
        lateness.LateTimer(1.0, lambda: fired_s.append(loop.now_s))
    while not fired_s:
        loop.run(late_s)
    # It may be late once more when it is due for good.
    assert fired_s[0] <= 1.0 + late_s + 0.5 + late_s


def test_owner_that_answers_while_the_loop_is_late_isnt_silent():
    # Guards against late routers that leave answered owners of brittle endpoints out.
    async def run():
        loop = asyncio.get_running_loop()
        members = Members(Member("own", "own", "z", peer_address="own"))
        owner = Member("owner", "owner", "z", peer_address="owner")
        members.replace([members.own, owner])
        endpoint = Endpoint("w", "service", ("desk",), "127.0.0.1:1", "z")

        def answer(address, datagram):
            ask = decode_owner_message(datagram, KEYS)
            if not isinstance(ask, Ask):
                return
            reply = encode_owner_message(Answer(ask.ticket, True, 1, session=1), KEYS)
            time.sleep(TIMEOUT_S)
            # The loop reads the datagram after the timeout that became due meanwhile.
            loop.call_later(0.01, owners.handle_datagram, reply, "owner")

        def send(address, datagram):
            loop.call_soon(answer, address, datagram)

        owners = Owners(
            members,
            1.0,
            lambda: [endpoint],
            send,
            KEYS,
            time.monotonic,
            lambda endpoint, count, routers: "owner",
        )
        reply, ticket = await owners.reserve(endpoint, 1.0, is_last=True)
        assert reply is not None and reply.is_granted
        assert ticket.owner == "owner"

    asyncio.run(run())


async def reply_late(*blocks):
    """Return after the loop was blocked several times, as replies are read later."""
    for seconds in blocks:
        await asyncio.sleep(0.01)
        time.sleep(seconds)
    await asyncio.sleep(0.01)


def test_answer_of_another_router_is_read_though_the_loop_is_late():
    # Guards against a late router that takes those through which it reaches endpoints
    # for lost, and refuses the next requests.
    other = SlowStore()

    async def run():
        client = make_client()
        asking = asyncio.create_task(pull(client, other.address, "/", KEYS, TIMEOUT_S))
        while not other.has_asked.is_set():
            await asyncio.sleep(0.001)
        other.may_answer.set()
        other.has_answered.wait()
        time.sleep(2 * TIMEOUT_S)
        with pytest.raises(PeerUnavailable, match="not signed"):
            await asking
        close_client(client)

    try:
        asyncio.run(run())
    finally:
        other.close()


def test_reply_about_another_path_is_awaited_though_the_loop_is_late():
    # Guards against a late router, cut off from its endpoints, that refuses what
    # another router would forward.
    async def run():
        links = EndpointLinks()
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, make_route("/lookup/", "idempotent"))
            worker = await fleet.add_worker("w")
            router = await fleet.add_router(connect=links.connect)
            await fleet.add_router("helper", "y")
            await fleet.wait(
                lambda: all(
                    len(r.members.list_live()) == 2 and r.view.list_endpoints()
                    for r in fleet.routers
                )
            )
            links.cut("new", [worker.address])
            pull = router.relays.pull

            async def pull_late(*args):
                reply = await pull(*args)
                await reply_late(*(REPLY_WAIT_S + 0.05,) * NEWS_WAITS_MAX)
                return reply

            router.relays.pull = pull_late
            answer = await ask(router, "/lookup/a", X_Deadline_Ms="30000")
            assert answer.status == 200
            await links.stop()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("crashes", "wait"),
    [(0, reply_late), (LATE_CRASHES_MAX - 2, asyncio.sleep)],
    ids=["late loop", "slow check"],
)
def test_crash_check_is_awaited_though_the_loop_is_late_or_it_is_slow(crashes, wait):
    # Guards against a request that goes to the next endpoint before a late router has
    # read that it crashed the last one, and against one that crashes all of a small
    # pool before the checks of the first ones have ended.
    async def run():
        loop = asyncio.get_running_loop()
        endpoint = Endpoint("w", "service", ("desk",), "127.0.0.1:1", "z")
        recorded = []
        placer = SimpleNamespace(poison=PoisonTracker())
        for number in range(crashes):
            placer.poison.observe_crash(FINGERPRINT, f"w{number}", loop.time(), True)
        checks = CrashChecks(placer, None, None, loop.time, open_channel)
        checks.record_crash = recorded.append

        async def find(ending):
            await wait(2 * CRASH_CHECK_WAIT_S)
            return "crashed"

        checks._find = find
        call = SimpleNamespace(fingerprint=FINGERPRINT)
        ending = AttemptEnding(call, endpoint, SOUND_EVENTS_MIN, None, loop.time())
        await checks.check(ending)
        assert recorded == [ending]

    asyncio.run(run())


@pytest.mark.parametrize("is_stream", [False, True])
def test_answer_that_arrived_before_the_deadline_of_a_late_router_is_passed_on(
    is_stream,
):
    # Guards against answers that are cut though they are whole when a late router goes
    # on after their deadline.
    async def act(request, writer):
        parts = [make_event(1), make_event(2)] if is_stream else [b"o", b"k"]
        head = make_stream_head(request)
        if not is_stream:
            head = head.replace(b"text/event-stream", b"text/plain")
        writer.write(head + make_chunk(parts[0]))
        await asyncio.sleep(0.8)
        writer.write(make_chunk(parts[1]) + make_chunk(b""))
        time.sleep(1.0)

    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(
                1,
                make_route("/stream/", "streaming"),
                make_route("/lookup/", "idempotent"),
            )
            await fleet.add_worker("w", act)
            router = await fleet.add_router()
            target = "/stream/a" if is_stream else "/lookup/a"
            answer = await ask(router, target, X_Deadline_Ms="1000")
            assert (answer.status, answer.is_whole) == (200, True)

    asyncio.run(run())


@pytest.mark.parametrize("size_bytes", [5 * MIB // 8, 8 * MIB])
def test_client_of_a_late_router_isnt_taken_for_slow(size_bytes):
    # Guards against whole answers that are cut because a late router goes on after
    # their deadline, before their clients could read them.
    async def act(request, writer):
        writer.write(make_answer(request, b"x" * size_bytes))
        await writer.drain()
        await asyncio.sleep(0)
        time.sleep(1.2)

    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, make_route("/lookup/", "idempotent"))
            await fleet.add_worker("w", act)
            router = await fleet.add_router(has_slow_peers=True)
            answer = await ask(router, "/lookup/a", X_Deadline_Ms="1000")
            assert (answer.status, len(answer.body)) == (200, size_bytes)

    asyncio.run(run())
