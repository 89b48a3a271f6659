"""Requests that wait in the sockets of a router process that was stopped."""

import asyncio
from collections import Counter

import pytest

from tamarackrill.testing.edge import make_manifest, make_route
from tamarackrill.testing.stopped_router import StoppedRouter

STOPPED_S = 6.0
COUNT = 10
LOOKUP = make_route("/lookup/", "idempotent")
BEFORE = (
    LOOKUP,
    make_route("/moved/", "idempotent"),
    make_route("/dropped/", "idempotent"),
    make_route("/large/", "idempotent"),
    make_route("/head/", "idempotent"),
)
AFTER = (
    *(BEFORE[0], *BEFORE[3:]),
    make_route("/moved/", "idempotent", service="other"),
    make_route("/added/", "idempotent"),
)


async def change_all(fleet, workers):
    """Put another manifest in force, and take three workers out of service."""
    manifest = make_manifest(2, *AFTER)
    manifest["services"].append({"name": "other", "health_path": "/"})
    manifest["limits"] |= {"max_body_bytes": 200_000, "max_header_bytes": 32_000}
    leaving = workers["leaving"].describe("desk", zone="x", state="draining")
    await fleet.store.write("config", "main", manifest)
    await fleet.store.write("servers", "leaving", leaving)
    await fleet.store.write("servers", "deleted", None)
    await fleet.evacuate("y")


async def play(folder, stopped_s, store_returns):
    async with StoppedRouter() as fleet:
        await fleet.put_manifest(1, *BEFORE)
        workers = {
            name: await fleet.add_worker(name, zone=zone, service=service)
            for name, zone, service in (
                ("stays", "x", "desk"),
                ("leaving", "x", "desk"),
                ("deleted", "x", "desk"),
                ("evacuated", "y", "desk"),
                ("other", "x", "other"),
            )
        }
        await fleet.start(folder)
        kinds = [
            ("/lookup/a", b"x", {}),
            ("/moved/a", b"x", {}),
            ("/dropped/a", b"x", {}),
            ("/added/a", b"x", {}),
            ("/large/a", b"x" * 100_000, {}),
            ("/head/a", b"x", {"X_Long": "x" * 20_000}),
        ]

        async def change():
            await change_all(fleet, workers)
            fleet.store.status = 200 if store_returns else 503

        async def send():
            clients = []
            for target, body, headers in kinds * COUNT:
                client = await fleet.connect_stopped()
                client.send(target, f"id-{len(clients)}", body, **headers)
                clients.append(client)
            return clients

        answers = await fleet.play(stopped_s, change, send)
        statuses = {target: Counter() for target, _, _ in kinds}
        for (target, _, _), answer in zip(kinds * COUNT, answers, strict=True):
            statuses[target][answer and answer.status] += 1
        ran = Counter(
            (name, request.target)
            for name, worker in workers.items()
            for request in worker.ran
        )
        return statuses, ran, [answer for answer in answers if answer is not None]


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    return asyncio.run(play(tmp_path_factory.mktemp("play"), STOPPED_S, True))


@pytest.mark.parametrize("name", ["leaving", "deleted", "evacuated"])
def test_stopped_router_sends_nothing_to_a_worker_taken_out_meanwhile(played, name):
    # Guards against requests decided on endpoints as they were before a standstill.
    _, ran, _ = played
    assert [pair for pair in ran if pair[0] == name] == []


@pytest.mark.parametrize(
    ("target", "status"),
    [
        ("/lookup/a", 200),
        ("/moved/a", 200),
        ("/dropped/a", 404),
        ("/added/a", 200),
        ("/large/a", 200),
        ("/head/a", 200),
    ],
)
def test_stopped_router_decides_by_the_manifest_in_force(played, target, status):
    # Guards against requests decided by a manifest replaced during a standstill.
    statuses, _, _ = played
    if target == "/large/a":
        # A body that was beyond the limit when it was read is gone by then.
        assert set(statuses[target]) <= {200, 503}
    else:
        assert statuses[target] == {status: COUNT}


def test_stopped_router_sends_requests_to_the_service_that_the_route_has_now(played):
    # Guards against requests run by the service that a route had before a standstill.
    _, ran, _ = played
    assert [name for name, path in ran if path == "/moved/a"] == ["other"]


def test_stopped_router_without_a_store_denies_nothing_for_good(tmp_path):
    # Guards against 404, 413 and 431 by a manifest that may have been replaced.
    statuses, _, answers = asyncio.run(play(tmp_path, 2.5, False))
    assert statuses["/lookup/a"] == {200: COUNT}
    for target in ("/added/a", "/large/a", "/head/a"):
        assert set(statuses[target]) <= {200, 503}
    refused = [answer for answer in answers if answer.status == 503]
    assert all("retry-after" in answer.headers for answer in refused)
