"""From the id of a failed request to its cause, by the log of a router alone."""

import asyncio
import signal

import pytest

from tamarackrill.cli import main
from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.worker import make_streaming

ROUTES = (
    make_route("/gone/", "idempotent", service="gone"),
    make_route("/confirm/", "non_idempotent", attempts=2, service="losing"),
    make_route("/draft/", "streaming", attempts=2, service="writer"),
)


async def lose_answer(request, writer):
    writer.transport.abort()


async def play(folder):
    """Send a request of each story, and return the statuses and the log."""
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(5, *ROUTES)
        gone = await fleet.add_worker("gone-1", service="gone")
        for name in ("losing-1", "losing-2"):
            await fleet.add_worker(name, lose_answer, service="losing")
        stream = make_streaming(2, is_cut=True)
        for name in ("writer-1", "writer-2"):
            await fleet.add_worker(name, stream, service="writer")
        router = EdgeProcess("a", "z", fleet.store_address, [], folder)
        router.start()
        try:
            await router.wait_ready()
            await gone.stop()
            address = router.addresses.callers
            answers = [
                await ask(address, target, request_id)
                for request_id, target in (
                    ("refused", "/gone/a"),
                    ("failed", "/confirm/a"),
                    ("cut", "/draft/a"),
                )
            ]
            router.signal(signal.SIGTERM)
            await router.wait_ended()
        finally:
            router.kill()
    return answers, router.log_path


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    return asyncio.run(play(tmp_path_factory.mktemp("logs")))


def explain(log_path, request_id, capsys):
    assert main(["explain-log", request_id, str(log_path)]) == 0
    return capsys.readouterr().out.splitlines()


def find(lines, name):
    (line,) = [line for line in lines if f" {name} " in line]
    return line


def test_request_refused_before_any_endpoint(played, capsys):
    # The one endpoint of a service is down, and a client is told to come back.
    answers, log_path = played
    assert answers[0].status == 503
    lines = explain(log_path, "refused", capsys)
    assert "outcome=not_sent detail=ConnectionRefused" in find(
        lines, "call_attempt_failed"
    )
    assert "endpoint=gone-1" in find(lines, "endpoint_unreached")
    refused = find(lines, "call_refused")
    assert "reason=no_endpoint version=5 sent=0 retry_after_s=0." in refused


def test_request_that_failed_at_an_endpoint_and_was_not_sent_again(played, capsys):
    # An endpoint loses the answer to a confirmation. It may have run, so it goes to no
    # other endpoint, though attempts and budget are left.
    answers, log_path = played
    assert answers[1].status == 502
    lines = explain(log_path, "failed", capsys)
    failed = find(lines, "call_attempt_failed")
    assert "outcome=lost" in failed and "next=give_up" in failed
    assert float(failed.split("repeats_left=")[1].split()[0]) > 1
    assert "status=502 reason=lost" in find(lines, "call_refused")
    assert not any(" endpoint_unreached " in line for line in lines)


def test_stream_that_was_broken_midway(played, capsys):
    # A stream ends after its second event, and its route allows no other endpoint to go
    # on with it.
    answers, log_path = played
    assert answers[2].status == 200 and not answers[2].is_whole
    lines = explain(log_path, "cut", capsys)
    assert "outcome=lost" in find(lines, "call_attempt_failed")
    assert "events=2 reason=lost" in find(lines, "call_cut")
