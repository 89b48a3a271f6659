"""Errors of types that nobody expects, at each step of a call."""

import asyncio
import itertools
import json
import time

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.claims import Claims
from tamarackrill.exceptions import PlatformUnavailable, Refusal
from tamarackrill.router import attempts, callers, claiming, flow
from tamarackrill.router.app import RouterApplication
from tamarackrill.router.catching_up import CatchUp
from tamarackrill.router.claiming import Claimer
from tamarackrill.settings import load_settings
from tamarackrill.store_api import WriteResult
from tamarackrill.testing.injection import raising
from tamarackrill.testing.processes import PEER_KEY, FleetProcesses, call, wait_for
from test_upstream import make_call

CONTRACT = {
    "team": "t",
    "key_hashes": [hash_key("the-key")],
    "models": ["m"],
    "services": ["s"],
    "non_idempotent": [{"service": "s", "method": "POST", "path_prefix": "/book"}],
}


STANDSTILL_S = 0.7
# Well above the longest wait for a claim.
DECISION_MAX_S = 8.0


class UnexpectedError(Exception):
    """Not a subclass of anything that is caught by name."""


class FaultyPlatform:
    """Platform that holds no claims, and whose client fails once."""

    def __init__(self, faulty):
        self._faulty = faulty

    async def get(self, kind, name):
        self._raise_once("get")

    async def put(self, kind, name, value, expected):
        self._raise_once("put")
        return WriteResult(1, None)

    def _raise_once(self, method):
        if self._faulty == method:
            self._faulty = ""
            raise UnexpectedError


@pytest.mark.parametrize("faulty", ["get", "put"])
def test_claims_go_on_after_an_unexpected_error_of_the_platform_client(
    faulty, monkeypatch
):
    # Guards against a bucket whose claims all time out until the router is restarted.
    monkeypatch.setattr("tamarackrill.decisions.claims.OUTAGE_BACKOFF_S", 0.0)

    async def claim(claimer, number):
        booking = make_call()._replace(
            idempotent=False, key="k", request_id=f"{number}"
        )
        try:
            await claimer.claim(booking, time.monotonic())
        except Refusal as refusal:
            return refusal.code
        return "granted"

    async def run():
        claimer = Claimer(Claims("a", "1"), FaultyPlatform(faulty), list)
        try:
            return [await claim(claimer, number) for number in range(2)]
        finally:
            await claimer.stop()

    assert asyncio.run(run()) == ["granted"] * 2


@pytest.mark.parametrize("skipped", [1, 2, 3])
def test_claims_go_on_after_an_unexpected_error_of_a_decision(skipped, monkeypatch):
    # Guards against calls that wait until their deadlines, and a bucket whose claims
    # all time out, after one undeclared error.
    monkeypatch.setattr("tamarackrill.decisions.claims.OUTAGE_BACKOFF_S", 0.0)

    async def run():
        claimer = Claimer(Claims("a", "1"), FaultyPlatform(""), list)
        try:
            for number in range(2):
                booking = make_call()._replace(
                    idempotent=False, key="k", request_id=f"{number}"
                )
                async with asyncio.timeout(DECISION_MAX_S):
                    try:
                        await claimer.claim(booking, time.monotonic())
                    except Refusal as refusal:
                        assert number == 0
                        assert refusal.run == "not_run"
        finally:
            await claimer.stop()

    with raising(claiming, "step", UnexpectedError("odd"), skipped=skipped):
        asyncio.run(run())


class StoppedPlatform(FaultyPlatform):
    """Platform during whose first answer the router's process stands still."""

    async def get(self, kind, name):
        if not self._faulty:
            return
        answer, self._faulty = self._faulty, ""
        time.sleep(STANDSTILL_S)
        if answer == "timed out":
            raise PlatformUnavailable("the process saw the timeout first")
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("answer", ["timed out", "late"])
def test_claim_waits_for_an_answer_that_a_standstill_has_delayed(answer, monkeypatch):
    # Guards against a router that stood still and refuses bookings, the one whose claim
    # was under way and those of the next second, as if the platform were down.
    monkeypatch.setattr("tamarackrill.decisions.claims.CLAIM_WAIT_MAX_S", 0.2)

    async def run():
        claimer = Claimer(Claims("a", "1"), StoppedPlatform(answer), list)
        catch_up = CatchUp(lambda: asyncio.sleep(0, True), time.monotonic)
        catch_up.on_standstill = claimer.observe_standstill
        claimer.notice_standstill = catch_up.is_current
        booking = make_call()._replace(idempotent=False, key="k", request_id="1")
        try:
            await claimer.claim(booking, time.monotonic())
        finally:
            await claimer.stop()
            await catch_up.stop()

    asyncio.run(run())


# What a call may get that fails at an unknown step, besides "not_run" if it has arrived
# nowhere.
TRUE_ANSWERS = {"unknown", "200"}


def list_steps(router):
    """Return the steps of a call: objects, and the attributes that are called."""
    return [
        *((router.limiter, name) for name in ("begin", "end")),
        *((router.chats, name) for name in ("find", "register", "wait_turn")),
        (router.chats, "finish_call"),
        *((router.claimer, name) for name in ("claim", "check", "record_outcome")),
        (router.platform, "put"),
        *((router.admitter, name) for name in ("acquire_slot", "release_slot")),
        *((router.placer, name) for name in ("place", "start", "finish", "release")),
        (router.placer, "compute_backoff_s"),
        *((flow, name) for name in ("attempt_call", "log_event")),
        *((attempts, name) for name in ("Exchange", "_pump_buffered", "_strip_head")),
        (attempts, "_pump_events"),
        *((router.metrics, name) for name in ("record_first_byte", "record_wait")),
        *((router.metrics, name) for name in ("record_token_gap", "count")),
        *((callers, name) for name in ("read_call", "forward_call", "log_event")),
        (callers, "verify_forwarded_id"),
        *((router.call_runner, name) for name in ("open", "_serve")),
        *((callers.CallHandler, name) for name in ("start_answer", "_answer")),
        *((callers._CallerOutlet, name) for name in ("take", "finish")),
        (router.members, "list_live"),
        (router._endpoint_client, "fetch_impl"),
        (router._router_client, "fetch_impl"),
    ]


def send(address, kind, number):
    """Return "200" for a whole answer, else what the refusal says of the run."""
    headers = {"Authorization": "Bearer the-key", "Request-Timeout-Ms": "8000"}
    path, body = "/services/s/look", {"number": number}
    if kind == "booking":
        path, headers["Idempotency-Key"] = "/services/s/book", f"key-{number}"
    elif kind == "chat":
        headers |= {"Chat-Id": f"chat-{number}", "Chat-Sequence": "1"}
    elif kind == "stream":
        path = "/v1/chat/completions"
        messages = [{"role": "user", "content": f"word-{number}"}]
        body = {"model": "m", "messages": messages, "max_tokens": 4, "stream": True}
    answer = call(address, path, body, headers=headers)
    if kind == "stream" and answer.status == 200:
        last = answer.body.split(b"data: ")[-1]
        return "200" if last == b"[DONE]\n\n" else json.loads(last)["run"]
    return "200" if answer.status == 200 else answer.json()["run"]


def count_arrivals(endpoints):
    """Return how many calls have arrived at endpoints, without health checks."""
    return sum(sum(e.look()["arrivals"].values()) for e in endpoints)


async def fail_once(router, owner, attribute, kind, number, endpoints):
    """Send a call whose step fails; return what its caller got, None if unreached.

    "not_run" of a call that has arrived at an endpoint is returned as "untrue".
    """
    arrived = await asyncio.to_thread(count_arrivals, endpoints)
    is_own = attribute in vars(owner)
    before = getattr(owner, attribute)
    reached = []

    def restore():
        if is_own:
            setattr(owner, attribute, before)
        else:
            delattr(owner, attribute)

    def fail(*args, **kwargs):
        reached.append(attribute)
        restore()
        raise UnexpectedError

    setattr(owner, attribute, fail)
    got = await asyncio.to_thread(send, router.address, kind, number)
    if not reached:
        restore()
        return None
    if got != "not_run":
        return got
    later = await asyncio.to_thread(count_arrivals, endpoints)
    return got if later == arrived else "untrue"


async def play_errors(fleet, other, endpoints):
    flags = [
        "--name=own",
        "--zone=zone-a",
        "--port=0",
        "--peer-port=0",
        f"--platform={fleet.platform.address}",
        f"--peers={other.read_field('router_started', 'peer_address')}",
        f"--peer-keys={PEER_KEY}",
    ]
    router = RouterApplication(load_settings(flags, {}))
    await router.start()
    results = []
    kinds = ("look", "booking", "chat", "stream")
    try:
        await asyncio.to_thread(
            wait_for,
            lambda: (
                all(send(router.address, k, -1) == "200" for k in kinds)
                and len(router.members.list_live()) == 2
            ),
            "the router serves",
        )
        numbers = itertools.count()
        for owner, attribute in list_steps(router):
            for kind in kinds:
                got = await fail_once(
                    router, owner, attribute, kind, next(numbers), endpoints
                )
                later = await asyncio.to_thread(
                    send, router.address, kind, next(numbers)
                )
                results.append((attribute, kind, got, later))
        return results, router.open_calls.count, router.call_runner.running
    finally:
        await router.stop()


def test_unexpected_error_at_any_step_of_a_call_gets_a_true_answer():
    # Guards against callers that get no answer, or "not_run" for a call that ran, and
    # against later calls that suffer from the error.
    with FleetProcesses() as fleet:
        worker = fleet.add_service("worker-1")
        engine = fleet.add_engine("engine-1")
        fleet.put_contract(CONTRACT)
        other = fleet.add_router("other")
        fleet.wait_ready()
        played = asyncio.run(play_errors(fleet, other, (worker, engine)))
        results, open_calls, running = played
        arrivals = worker.look()["arrivals"]
    reached = [result for result in results if result[2] is not None]
    assert len(reached) > 100
    assert [r for r in reached if r[2] not in TRUE_ANSWERS | {"not_run"}] == []
    assert [r for r in results if r[3] != "200"] == []
    assert (open_calls, running) == (0, 0)
    assert all(count == 1 for key, count in arrivals.items() if key)
