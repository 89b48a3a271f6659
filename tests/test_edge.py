"""Tests of the platform's interface over sockets, as clients and workers see it."""

import asyncio

import pytest

from tamarackrill.decisions import attempt_timeouts, engine_waits
from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.endpoint_news import FailureReport
from tamarackrill.router import configuring, edge_app
from tamarackrill.testing.edge import (
    KEY,
    TEAM,
    EdgeFleet,
    ask,
    make_route,
    read_reason,
)
from tamarackrill.testing.tcp_server import TcpServer
from tamarackrill.testing.worker import (
    SIGNATURE,
    answer_ok,
    in_turn,
    make_answer,
    make_chunk,
    make_event,
    make_stream_head,
    make_streaming,
    refuse_full,
)

LOOKUP = make_route("/lookup/", "idempotent")
CONFIRM = make_route("/confirm/", "non_idempotent", attempts=1)
STREAM = make_route("/stream/", "streaming", stream_resume=True)
STREAM_ONCE = make_route("/once/", "streaming", attempts=1)
OPEN = make_route("/open/", "idempotent", anonymous=True)
ROUTES = (LOOKUP, CONFIRM, STREAM, STREAM_ONCE, OPEN)


def run_in_fleet(act):
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, *ROUTES)
            await act(fleet)

    asyncio.run(run())


ENGINE = {"kv_token_bytes": 192_512, "link_mbps": 350_000.0}
PROMPT = "aa:800,bb:4000,cc:90"


def test_session_of_a_draining_engine_is_copied_to_the_next_one():
    # Guards against cached prompts that are read again during a rolling replacement of
    # engines. Sessions of a draining engine move to another one, which can copy their
    # cached prefixes from it instead of keeping its own callers waiting.
    route = make_route("/chat/", "streaming", attempts=1, session_affinity=True)

    async def act(fleet):
        await fleet.put_manifest(2, route, engine=ENGINE)
        workers = [
            await fleet.add_worker(n, make_streaming(1), models=[{"name": "m"}])
            for n in ("w1", "w2")
        ]
        router = await fleet.add_router()
        await fleet.wait(lambda: len(router.view.list_live("desk")) == 2)
        await ask(router, "/chat/a", "id-1", X_Prompt_Prefix=PROMPT)
        (first,) = [worker for worker in workers if worker.requests]
        (other,) = [worker for worker in workers if worker is not first]
        leaving = first.describe("desk", state="draining", models=[{"name": "m"}])
        await fleet.store.write("servers", first.name, leaving)
        await fleet.wait(lambda: len(router.view.list_live("desk")) == 1)
        await ask(router, "/chat/a", "id-2", X_Prompt_Prefix=PROMPT)
        assert other.requests[0].headers["kv-fetch"] == first.address

    run_in_fleet(act)


async def hang(request, writer):
    await asyncio.Event().wait()


OBJECTIVE_S = 0.04
CHAT = make_route(
    "/chat/",
    "streaming",
    attempts=1,
    session_affinity=True,
    target_latency_ms=1000 * OBJECTIVE_S,
)
TOO_LONG_S = engine_waits.compute_wait_limit_s(OBJECTIVE_S, urgency=0, is_cached=True)


def test_prompt_skips_an_overloaded_engine():
    # Guards against requests queued behind an overloaded engine that responds to
    # nobody: its sessions must move to another engine instead of waiting there too.
    async def act(fleet):
        await fleet.put_manifest(2, CHAT)
        engines = [await fleet.add_worker(name, hang) for name in ("w1", "w2")]
        router = await fleet.add_router()
        first = asyncio.create_task(ask(router, "/chat/a", X_Prompt_Prefix=PROMPT))
        await fleet.wait(lambda: any(engine.requests for engine in engines))
        (slow,) = [engine for engine in engines if engine.requests]
        (other,) = [engine for engine in engines if engine is not slow]
        other.behave = make_streaming(1)
        await fleet.wait(
            lambda: (
                router.placer.waits.find_wait_s(slow.name, router.clock()) > TOO_LONG_S
            )
        )
        answer = await ask(router, "/chat/a", "id-2", X_Prompt_Prefix=PROMPT)
        assert answer.is_whole
        assert len(other.requests) == len(slow.requests) == 1
        first.cancel()

    run_in_fleet(act)


def test_prompt_is_refused_at_once_when_all_engines_are_overloaded():
    # Guards against queuing when all engines are overloaded: another prompt would wait
    # for longer than its client does, and delay those behind it.
    async def act(fleet):
        await fleet.put_manifest(2, CHAT)
        engine = await fleet.add_worker("w1", hang)
        router = await fleet.add_router()
        first = asyncio.create_task(ask(router, "/chat/a", X_Prompt_Prefix=PROMPT))
        await fleet.wait(
            lambda: router.placer.waits.find_wait_s("w1", router.clock()) > TOO_LONG_S
        )
        answer = await ask(router, "/chat/a", "id-2", X_Prompt_Prefix=PROMPT)
        assert (answer.status, read_reason(answer)) == (503, "overloaded")
        assert float(answer.headers["retry-after"]) > 0
        assert len(engine.requests) == 1
        first.cancel()

    run_in_fleet(act)


def test_priority_is_sent_to_engines_and_not_to_services():
    async def act(fleet):
        await fleet.put_manifest(2, CHAT, LOOKUP)
        worker = await fleet.add_worker("w1", make_streaming(1))
        router = await fleet.add_router()
        for number in range(2):
            await ask(router, "/chat/a", f"id-{number}", X_Prompt_Prefix=PROMPT)
        await ask(router, "/lookup/a", "id-3", X_Request_Priority="0")
        unread, held, lookup = (
            request.headers.get("x-request-priority") for request in worker.requests
        )
        assert int(held) < int(unread)
        assert lookup is None

    run_in_fleet(act)


async def break_off(request, writer):
    writer.transport.abort()


def test_response_is_unchanged_and_the_worker_gets_its_headers():
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        router = await fleet.add_router()
        answer = await ask(router, "/confirm/a?b=1", body=b"hello", X_Hold="stolen")
        assert (answer.status, answer.body) == (200, b"ok")
        assert answer.headers["x-response-signature"] == SIGNATURE
        (request,) = worker.requests
        assert (request.target, request.body) == ("/confirm/a?b=1", b"hello")
        assert request.headers["x-tenant-id"] == TEAM
        assert request.headers["x-expect-instance"] == "w1"
        assert 0 < int(request.headers["x-deadline-ms"]) <= 3000
        assert not {"x-api-key", "x-hold"} & request.headers.keys()

    run_in_fleet(act)


def test_chunked_request_body_reaches_the_worker_complete():
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        router = await fleet.add_router()
        chunks = make_chunk(b"one ") + make_chunk(b"two") + make_chunk(b"")
        client = await fleet.connect(router)
        client.send(
            "/confirm/a", body=b"", Content_Length="", Transfer_Encoding="chunked"
        )
        client.writer.write(chunks)
        assert (await client.read()).status == 200
        assert worker.requests[0].body == b"one two"
        client.close()

    run_in_fleet(act)


@pytest.mark.parametrize(
    ("target", "headers", "status", "reason"),
    [
        ("/nowhere/a", {}, 404, "no_route"),
        ("/lookup/a", {"X_Api_Key": "wrong"}, 401, "unknown_key"),
        ("/lookup/a", {"X_Api_Key": ""}, 401, "unknown_key"),
        ("/lookup/a", {"X_Long": "x" * 20_000}, 431, "head_too_long"),
        ("/lookup/a", {"Host": "other.example"}, 404, "no_route"),
    ],
)
def test_request_that_the_manifest_does_not_allow_reaches_no_worker(
    target, headers, status, reason
):
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        router = await fleet.add_router()
        answer = await ask(router, target, **headers)
        assert (answer.status, read_reason(answer)) == (status, reason)
        assert not worker.requests

    run_in_fleet(act)


def test_body_beyond_the_limit_is_refused():
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        router = await fleet.add_router()
        answer = await ask(router, "/lookup/a", body=b"x" * 70_000)
        assert answer.status == 413
        assert not worker.requests

    run_in_fleet(act)


def test_route_without_keys_serves_anyone():
    async def act(fleet):
        worker = await fleet.add_worker("w1")
        router = await fleet.add_router()
        assert (await ask(router, "/open/a", X_Api_Key="")).status == 200
        assert "x-tenant-id" not in worker.requests[0].headers

    run_in_fleet(act)


def test_router_without_a_manifest_promises_that_nothing_ran():
    # Guards against a 404 or 401, which clients take for final, from a router that
    # started while the store was unavailable and no peer had a manifest.
    async def act(fleet):
        fleet.store.status = 503
        router = fleet.make_router("alone")
        await router.start()
        answer = await ask(router, "/lookup/a")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert not router.is_ready()

    run_in_fleet(act)


def test_router_that_knows_of_a_newer_manifest_sends_no_final_denial():
    # Guards against a 404 or 401, which clients take for final, for a new route or key
    # that all other routers serve.  The router has been notified of the new manifest
    # but has not yet read it over its slow link.
    async def act(fleet):
        await fleet.add_worker("w1")
        router = await fleet.add_router()
        await router.configuration_sync.stop()
        await fleet.put_manifest(2, LOOKUP)
        revision = fleet.store.state.revision
        newer = ConfigurationDigest("config", revision, revision, 7)
        router.configuration_sync._note_newer_version(newer)
        for target, fields in (("/new/a", {}), ("/lookup/a", {"X_Api_Key": "new"})):
            answer = await ask(router, target, **fields)
            assert answer.status == 503
            assert read_reason(answer) == "manifest_outdated"
            assert float(answer.headers["retry-after"]) > 0
        assert (await ask(router, "/lookup/a")).status == 200
        await router.configuration_sync._list("config")
        assert (await ask(router, "/new/a")).status == 404

    run_in_fleet(act)


def test_router_without_recent_news_of_the_store_sends_no_final_denial():
    # Guards against a final 404 for a route that was added while a busy router had not
    # heard of the store for longer than a change may take to propagate.
    async def act(fleet):
        await fleet.add_worker("w1")
        router = await fleet.add_router()
        assert (await ask(router, "/new/a")).status == 404
        fleet.store.status = 503
        await fleet.wait(router._is_outdated)
        answer = await ask(router, "/new/a")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert (await ask(router, "/lookup/a")).status == 200
        fleet.store.status = 200
        await fleet.wait(lambda: not router._is_outdated())
        assert (await ask(router, "/new/a")).status == 404

    run_in_fleet(act)


def test_router_that_lost_the_store_reads_only_the_newest_manifest():
    # Guards against a router that reads every version of a long manifest it has missed
    # over its slow link, refusing requests on new routes until the last one has
    # arrived.  The store was unreachable during four changes.
    async def act(fleet):
        many = [make_route(f"/s{n}/", "streaming") for n in range(200)]
        await fleet.put_manifest(1, *many)
        await fleet.add_worker("w1")
        router = await fleet.add_router()
        versions = []
        take = router._apply_objects
        router.configuration_sync._on_applied = lambda taken: (
            versions.extend(item.version for item in taken if item.kind == "config"),
            take(taken),
        )
        fleet.store.status = 503
        await fleet.wait(lambda: router.configuration_sync._is_lost)
        for version in (2, 3, 4, 5):
            await fleet.put_manifest(version, *many)
        fleet.store.status = 200
        await fleet.wait(lambda: router.view.routes.manifest.version == 5)
        assert versions == [fleet.store.state.revision]

    run_in_fleet(act)


def test_lookup_that_fails_at_one_worker_is_served_by_another():
    async def act(fleet):
        async def fail(request, writer):
            writer.write(make_answer(request, b"broken", 500))

        failing = await fleet.add_worker("w1", fail)
        sound = await fleet.add_worker("w2")
        router = await fleet.add_router()
        for number in range(6):
            answer = await ask(router, "/lookup/a", f"id-{number}")
            assert answer.status == 200
        assert failing.requests
        assert len(sound.requests) == 6

    run_in_fleet(act)


def test_error_response_is_forwarded_unchanged_when_all_attempts_fail():
    async def act(fleet):
        async def fail(request, writer):
            writer.write(make_answer(request, b"broken", 500))

        for name in ("w1", "w2", "w3"):
            await fleet.add_worker(name, fail)
        router = await fleet.add_router()
        answer = await ask(router, "/lookup/a")
        assert (answer.status, answer.body) == (500, b"broken")
        assert answer.headers["x-response-signature"] == SIGNATURE
        assert sum(len(worker.requests) for worker in fleet.workers) == 2

    run_in_fleet(act)


def test_confirmation_whose_response_is_lost_is_not_retried():
    # Guards against a non-idempotent request that runs twice.  The connection breaks
    # after a worker has received a confirmation, which may have run.
    async def act(fleet):
        for name in ("w1", "w2"):
            await fleet.add_worker(name, break_off)
        router = await fleet.add_router()
        answer = await ask(router, "/confirm/a", body=b"x")
        assert answer.status == 502
        assert "retry-after" not in answer.headers
        assert sum(len(worker.requests) for worker in fleet.workers) == 1

    run_in_fleet(act)


def test_confirmation_refused_by_a_full_worker_is_reported_as_not_run():
    async def act(fleet):
        await fleet.add_worker("w1", refuse_full)
        router = await fleet.add_router()
        answer = await ask(router, "/confirm/a", body=b"x")
        assert answer.status == 503
        assert 0 < float(answer.headers["retry-after"]) < 1

    run_in_fleet(act)


def test_stopped_worker_fails_no_request():
    # Guards against failed requests when the store still lists a worker whose process
    # has ended.  Its port refuses connections, so nothing was sent and even a
    # confirmation may go to the next worker.
    async def act(fleet):
        dead = await fleet.add_worker("w1")
        await dead.stop()
        await fleet.add_worker("w2")
        router = await fleet.add_router()
        for number in range(4):
            answer = await ask(router, "/confirm/a", f"id-{number}", body=b"x")
            assert answer.status == 200

    run_in_fleet(act)


def test_request_to_a_worker_that_has_moved_is_retried():
    async def act(fleet):
        async def misplace(request, writer):
            writer.write(make_answer(request, b"", 421, X_Response_Signature=""))

        await fleet.add_worker("w1", misplace)
        await fleet.add_worker("w2")
        router = await fleet.add_router()
        for number in range(4):
            assert (await ask(router, "/lookup/a", f"id-{number}")).status == 200

    run_in_fleet(act)


def test_duplicate_response_is_not_taken_for_the_next_one():
    # Guards against a client that gets another client's response.  A faulty worker
    # sends each response twice, and the second one arrives where the response to the
    # next request is expected.
    async def act(fleet):
        async def twice(request, writer):
            own = make_answer(request, b"for " + request.request_id.encode())
            writer.write(own + own)

        await fleet.add_worker("w1", twice)
        router = await fleet.add_router()
        for number in range(5):
            answer = await ask(router, "/lookup/a", f"id-{number}")
            assert answer.body == b"for id-%d" % number

    run_in_fleet(act)


def test_late_duplicate_response_on_a_pooled_connection_is_skipped():
    async def act(fleet):
        held = []

        async def behind(request, writer):
            # The extra response is sent just before the next one.
            for extra in held:
                writer.write(extra)
            held[:] = [make_answer(request, b"extra")]
            writer.write(make_answer(request, b"for " + request.request_id.encode()))

        worker = await fleet.add_worker("w1", behind)
        router = await fleet.add_router()
        for number in range(5):
            answer = await ask(router, "/lookup/a", f"id-{number}")
            assert answer.body == b"for id-%d" % number
        assert worker.connections == 1

    run_in_fleet(act)


@pytest.mark.parametrize(
    "fields",
    [{"X_Response_Signature": ""}, {"Content_Encoding": "gzip"}],
)
def test_unsigned_or_encoded_response_is_no_success(fields):
    async def act(fleet):
        async def forge(request, writer):
            writer.write(make_answer(request, b"forged", **fields))

        await fleet.add_worker("w1", forge)
        router = await fleet.add_router()
        answer = await ask(router, "/confirm/a", body=b"x")
        assert answer.status == 502
        assert b"forged" not in answer.body

    run_in_fleet(act)


def test_truncated_response_is_not_forwarded_as_complete():
    async def act(fleet):
        async def truncate(request, writer):
            writer.write(make_answer(request, b"a whole answer")[:-5])
            await writer.drain()
            writer.close()

        await fleet.add_worker("w1", truncate)
        router = await fleet.add_router()
        assert (await ask(router, "/confirm/a", body=b"x")).status == 502

    run_in_fleet(act)


def test_response_without_length_ends_with_its_connection():
    async def act(fleet):
        async def unframed(request, writer):
            writer.write(make_answer(request, b"all of it", Content_Length=""))
            await writer.drain()
            writer.close()

        await fleet.add_worker("w1", unframed)
        router = await fleet.add_router()
        answer = await ask(router, "/confirm/a", body=b"x")
        assert (answer.status, answer.body) == (200, b"all of it")

    run_in_fleet(act)


def test_stream_resumes_at_another_worker_within_one_response():
    # Guards against lost or repeated events when a worker crashes in the middle of an
    # event.  The client must get each event once and the end of the response, with the
    # headers of the first worker.
    async def act(fleet):
        cut_first = in_turn(make_streaming(3, is_cut=True), make_streaming(6))
        workers = [await fleet.add_worker(name, cut_first) for name in ("w1", "w2")]
        router = await fleet.add_router()
        answer = await ask(router, "/stream/a", body=b"x")
        assert answer.is_whole
        assert answer.body == b"".join(make_event(number) for number in range(1, 7))
        sent = [request for worker in workers for request in worker.requests]
        assert {r.headers.get("last-event-id") for r in sent} == {None, "3"}
        assert [len(worker.requests) for worker in workers] == [1, 1]

    run_in_fleet(act)


def test_stream_whose_worker_crashes_in_the_first_event_restarts():
    # Guards against a partial event joined to the first event of the next worker, when
    # a worker crashes in its first event, before the client has received any.
    async def act(fleet):
        cut_first = in_turn(make_streaming(0, is_cut=True), make_streaming(3))
        for name in ("w1", "w2"):
            await fleet.add_worker(name, cut_first)
        router = await fleet.add_router()
        answer = await ask(router, "/stream/a", body=b"x")
        assert answer.is_whole
        assert answer.body == b"".join(make_event(number) for number in range(1, 4))

    run_in_fleet(act)


def test_stream_that_may_not_be_retried_is_cut_off():
    async def act(fleet):
        await fleet.add_worker("w1", make_streaming(3, is_cut=True))
        await fleet.add_worker("w2", make_streaming(3, is_cut=True))
        router = await fleet.add_router()
        answer = await ask(router, "/once/a", body=b"x")
        assert not answer.is_whole
        assert answer.body == b"".join(make_event(number) for number in range(1, 4))

    run_in_fleet(act)


def pause_before(seconds, behave):
    async def act(request, writer):
        await asyncio.sleep(seconds)
        await behave(request, writer)

    return act


def test_stream_of_the_only_engine_continues_after_a_long_stall(monkeypatch):
    # Guards against a stream that is cut on a stall timeout although no other engine
    # can continue it: the client would get a partial response instead of a late one.
    monkeypatch.setattr(attempt_timeouts, "STREAM_STALL_TIMEOUT_S", 0.05)

    async def stall(request, writer):
        writer.write(make_stream_head(request) + make_chunk(make_event(1)))
        await asyncio.sleep(0.4)
        writer.write(make_chunk(make_event(2)) + make_chunk(b""))

    async def act(fleet):
        worker = await fleet.add_worker("w1", stall)
        router = await fleet.add_router()
        answer = await ask(router, "/stream/a", body=b"x")
        assert answer.is_whole
        assert answer.body == make_event(1) + make_event(2)
        assert len(worker.requests) == 1

    run_in_fleet(act)


async def send_slowly(request, writer):
    writer.write(make_stream_head(request))
    for number in range(1, 6):
        writer.write(make_chunk(make_event(number)))
        await writer.drain()
        await asyncio.sleep(0.06)
    writer.write(make_chunk(b""))


@pytest.mark.parametrize(
    ("behave", "is_reported"),
    [(send_slowly, False), (pause_before(0.3, answer_ok), True)],
)
def test_long_stream_is_no_failure_of_its_engine(behave, is_reported):
    # Guards against healthy engines reported as failing because of long streams, which
    # would hide an engine that does fail.
    route = make_route("/chat/", "streaming", target_latency_ms=20)

    async def act(fleet):
        await fleet.put_manifest(2, route)
        await fleet.add_worker("w1", behave)
        router = await fleet.add_router()
        answer = await ask(router.settings.callers_address, "/chat/a")
        assert answer.is_whole
        waiting = [
            f for f in router._endpoint_news.take() if isinstance(f, FailureReport)
        ]
        was_reported = bool(waiting) or not router.placer.fleet_health.has_no_failures
        assert was_reported is is_reported

    run_in_fleet(act)


def test_lookup_waits_for_the_only_remaining_worker():
    # Guards against an attempt that is abandoned in favor of another worker when there
    # is none: the only worker is slow, and its client would get no response at all.
    async def act(fleet):
        await fleet.put_manifest(2, {**LOOKUP, "target_latency_ms": 20})
        worker = await fleet.add_worker("w1", pause_before(0.4, answer_ok))
        router = await fleet.add_router()
        await fleet.wait(lambda: router.view.routes.manifest.version == 2)
        answer = await ask(router, "/lookup/a")
        assert (answer.status, answer.body) == (200, b"ok")
        assert len(worker.requests) == 1

    run_in_fleet(act)


@pytest.mark.parametrize("target", ["/stream/a", "/once/a", "/lookup/a", "/confirm/a"])
def test_request_at_a_hanging_worker_is_cancelled_when_its_client_disconnects(target):
    # Guards against a request that holds a slot at a hanging worker until its deadline
    # after its client has disconnected: no response is written, so no write fails.
    async def act(fleet):
        worker = await fleet.add_worker("w1", hang)
        router = await fleet.add_router()
        client = await fleet.connect(router)
        client.send(target)
        await fleet.wait(lambda: worker.requests)
        client.close()
        await asyncio.wait_for(worker.closed.wait(), 2.0)
        await fleet.wait(lambda: not router.server.in_flight)
        assert router.placer.placement.loads.own("w1") == 0

    run_in_fleet(act)


def test_worker_connection_closes_when_the_client_disconnects():
    # Guards against workers that spend their slots on responses for clients that have
    # disconnected.
    async def act(fleet):
        begun = asyncio.Event()

        async def hang(request, writer):
            begun.set()
            await asyncio.Event().wait()

        worker = await fleet.add_worker("w1", hang)
        router = await fleet.add_router()
        client = await fleet.connect(router)
        client.send("/confirm/a", body=b"x")
        await begun.wait()
        client.close()
        await worker.closed.wait()

    run_in_fleet(act)


def test_request_is_answered_at_its_routes_timeout():
    # Guards against a client that waits beyond the route's timeout for a hanging worker
    # instead of being told that the outcome is unknown.
    async def act(fleet):
        async def hang(request, writer):
            await asyncio.Event().wait()

        await fleet.put_manifest(2, {**CONFIRM, "timeout_ms": 300})
        await fleet.add_worker("w1", hang)
        router = await fleet.add_router()
        answer = await ask(router, "/confirm/a", body=b"x")
        assert answer.status == 504

    run_in_fleet(act)


def test_manifest_change_takes_effect_without_a_restart():
    async def act(fleet):
        await fleet.add_worker("w1")
        router = await fleet.add_router()
        assert (await ask(router, "/new/a")).status == 404
        await fleet.put_manifest(2, *ROUTES, make_route("/new/", "idempotent"))
        await fleet.wait(lambda: router.view.routes.manifest.version == 2)
        assert (await ask(router, "/new/a")).status == 200

    run_in_fleet(act)


def test_dead_watch_does_not_keep_an_old_manifest_in_force():
    # Guards against a revoked key that is still accepted while a dead watch is trusted.
    # The store has dropped its history, so the watch neither reports a change nor ends,
    # though its connection stays open.
    async def act(fleet):
        await fleet.add_worker("w1")
        router = await fleet.add_router()
        fleet.store.watches_hang = True
        watches = len(fleet.store.calls)
        await fleet.wait(lambda: len(fleet.store.calls) >= watches + 2)
        await fleet.put_manifest(2, LOOKUP)
        await fleet.store.compact_history()
        await fleet.wait(lambda: router.view.routes.manifest.version == 2)
        assert (await ask(router, "/open/a")).status == 404

    run_in_fleet(act)


def test_long_manifest_over_a_slow_link_takes_effect():
    # Guards against a router that times out while reading a long manifest, such as one
    # of a thousand routes, over a slow link: it would start over again and again, and
    # refuse requests on the new routes with 404.
    async def act(fleet):
        await fleet.add_worker("w1")
        router = await fleet.add_router()
        fleet.store.body_delay_s = 1.2
        await fleet.put_manifest(2, *ROUTES, make_route("/new/", "idempotent"))
        await fleet.wait(lambda: router.view.routes.manifest.version == 2)
        assert (await ask(router, "/new/a")).status == 200

    run_in_fleet(act)


def test_draining_worker_gets_no_new_work():
    async def act(fleet):
        leaving = await fleet.add_worker("w1")
        await fleet.add_worker("w2")
        router = await fleet.add_router()
        await fleet.store.write(
            "servers", "w1", leaving.describe("desk", state="draining")
        )
        await fleet.wait(lambda: len(router.view.list_live("desk")) == 1)
        for number in range(6):
            assert (await ask(router, "/lookup/a", f"id-{number}")).status == 200
        assert not leaving.requests

    run_in_fleet(act)


def test_removed_worker_gets_no_new_work():
    async def act(fleet):
        gone = await fleet.add_worker("w1")
        await fleet.add_worker("w2")
        router = await fleet.add_router()
        await fleet.store.write("servers", "w1", None)
        await fleet.wait(lambda: len(router.view.list_live("desk")) == 1)
        for number in range(6):
            assert (await ask(router, "/lookup/a", f"id-{number}")).status == 200
        assert not gone.requests

    run_in_fleet(act)


def test_router_rejected_by_the_store_learns_of_a_revoked_key_from_a_peer():
    # Guards against a router that accepts a revoked key for as long as the store
    # rejects its calls, although the other routers have the change.
    async def act(fleet):
        await fleet.add_worker("w1")
        first = await fleet.add_router("a")
        second = await fleet.add_router("b")
        await fleet.wait(lambda: len(first.members.list_live()) == 2)
        await second.configuration_sync.stop()
        second.configuration_sync._set_platform_lost(lost=True, reason="turned away")
        await fleet.put_manifest(2, LOOKUP)
        await fleet.wait(lambda: second.view.routes.manifest.version == 2)

    run_in_fleet(act)


def test_router_started_while_the_store_hangs_asks_a_peer_at_once(monkeypatch):
    # Guards against a restarted router that refuses clients for lack of a manifest
    # while the store hangs, although any other router could provide it.
    async def act(fleet):
        async def say_nothing(reader, writer):
            await asyncio.Event().wait()

        await fleet.add_worker("w1")
        await fleet.add_router("first")
        # Neither of these times may trigger the read of the manifest.
        monkeypatch.setattr(configuring, "PULL_AFTER_S", 3600.0)
        monkeypatch.setattr(edge_app, "STORE_CALL_TIMEOUT_MAX_S", 3600.0)
        monkeypatch.setattr(edge_app, "STORE_CALL_TIMEOUT_SHARE", 1800.0)
        async with TcpServer(say_nothing) as silent:
            fleet.store_address = silent.address
            second = await fleet.add_router("second")
            assert (await ask(second, "/lookup/a")).status == 200

    run_in_fleet(act)


def test_stopping_router_completes_requests_in_flight():
    # Guards against responses that are cut off when a router stops while a worker still
    # runs the request.  They must be complete and announce the connection's close.
    async def act(fleet):
        begun, may_end = asyncio.Event(), asyncio.Event()

        async def slow(request, writer):
            begun.set()
            await may_end.wait()
            writer.write(make_answer(request))

        await fleet.add_worker("w1", slow)
        router = await fleet.add_router()
        client = await fleet.connect(router)
        client.send("/confirm/a", body=b"x")
        await begun.wait()
        draining = asyncio.create_task(router.drain())
        await fleet.wait(lambda: not router.is_ready())
        may_end.set()
        assert (await client.read()).status == 200
        late = await ask(router, "/confirm/a", "id-2", body=b"x")
        assert (late.status, late.headers["connection"]) == (200, "close")
        await draining
        client.close()

    run_in_fleet(act)


def test_request_that_crashes_workers_is_stopped_after_the_second():
    # Guards against a request that crashes each worker that runs it: with its client
    # retrying, it would take down all workers of the service.
    async def act(fleet):
        def crash(worker):
            async def act_once(request, writer):
                writer.transport.abort()
                await worker.stop()

            return act_once

        for name in ("w1", "w2", "w3", "w4", "w5"):
            worker = await fleet.add_worker(name)
            worker.behave = crash(worker)
        router = await fleet.add_router()
        for number in range(6):
            await ask(router, "/confirm/a", f"id-{number}", body=b"poison")
            await asyncio.gather(*router.flow.attempts.crashes.tasks)
        assert sum(len(worker.requests) for worker in fleet.workers) == 2
        answer = await ask(router, "/confirm/a", "id-9", body=b"poison")
        assert (answer.status, read_reason(answer)) == (503, "poison")

    run_in_fleet(act)


def test_key_is_in_no_log_line(caplog):
    async def act(fleet):
        await fleet.add_worker("w1")
        router = await fleet.add_router()
        await ask(router, "/lookup/a")

    run_in_fleet(act)
    assert KEY not in caplog.text


def test_partitioned_router_sends_clients_to_other_zones():
    # Guards against clients that stay with a router that can only refuse them. Its zone
    # is partitioned from the others and has no worker of the service. The router must
    # become unready, so that the balancer uses another zone, and still serve what its
    # own zone can.
    async def act(fleet):
        near_route = make_route("/near/", "idempotent", service="near-desk")
        await fleet.put_manifest(2, *ROUTES, near_route)
        far = [await fleet.add_worker(n, zone=n) for n in ("y", "x")]
        await fleet.add_worker("near", zone="z", service="near-desk")
        router = await fleet.add_router(zone="z")
        await fleet.wait(lambda: len(router.view.list_endpoints()) == 3)
        for worker in far:
            await worker.stop()
        client = await fleet.connect(router)
        client.send("/lookup/a")
        refused = await client.read()
        assert (refused.status, read_reason(refused)) == (503, "no_endpoint")
        assert "retry-after" in refused.headers
        await fleet.wait(lambda: not router.is_ready())
        client.send("/near/a", "id-2")
        answer = await client.read()
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        client.close()
        for worker in far:
            await worker.start()
            spec = worker.describe("desk", zone=worker.name)
            await fleet.store.write("servers", worker.name, spec)
        await fleet.wait(router.is_ready)
        assert (await ask(router, "/lookup/a", "id-3")).status == 200

    run_in_fleet(act)


def test_idle_connection_is_closed_after_the_timeout_of_the_manifest():
    # Guards against a router that runs out of file descriptors because clients vanish
    # without closing their connections, and then can't accept new ones.
    async def act(fleet):
        await fleet.add_worker("w1")
        router = await fleet.add_router()
        idle = await fleet.connect(router)
        idle.send("/lookup/a")
        assert (await idle.read()).status == 200
        await fleet.put_manifest(2, *ROUTES, limits={"idle_timeout_ms": 100})
        await fleet.wait(lambda: router.view.routes.manifest.version == 2)
        later = await fleet.connect(router)
        later.send("/lookup/b", "id-2")
        assert (await later.read()).status == 200
        assert await later.reader.read() == b""

    run_in_fleet(act)
