import asyncio

from tornado.httpclient import AsyncHTTPClient

from tamarackrill.events import STORE_CALL_ENDED
from tamarackrill.router import edge_app
from tamarackrill.router.metrics import Metrics
from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.worker import make_streaming


def test_gauge_is_read_at_each_scrape():
    metrics, believed = Metrics(), {"live": 2.0}
    metrics.add_gauge("endpoints", lambda: believed)
    assert 'tamarackrill_endpoints{label="live"} 2\n' in metrics.format_text()
    believed["live"] = 1
    assert 'tamarackrill_endpoints{label="live"} 1\n' in metrics.format_text()


def test_metrics_show_the_state_that_a_router_acts_on():
    # Users report refusals, and the engineer has only the metrics page.  It must show
    # which manifest is in force, which endpoints are known and which are unreachable,
    # how old that information is, and how much traffic the store and peers cause.
    async def run():
        async with EdgeFleet() as fleet:
            route = make_route("/s/", "streaming", stream_resume=True)
            await fleet.put_manifest(7, route)
            await fleet.add_worker("w1", make_streaming(3))
            gone = await fleet.add_worker("w2", make_streaming(3))
            await fleet.add_router("first")
            router = await fleet.add_router("second")
            await fleet.wait(lambda: len(router.view.list_live("desk")) == 2)
            await fleet.wait(lambda: len(router.members.list_live()) == 2)
            await gone.stop()
            for number in range(8):
                await ask(router, "/s/a", f"id-{number}")
            address = f"127.0.0.1:{router._metrics_port}"
            answer = await AsyncHTTPClient().fetch(f"http://{address}/metrics")
            return answer.body.decode()

    lines = dict(line.rsplit(" ", 1) for line in asyncio.run(run()).splitlines())
    shown = {name.removeprefix("tamarackrill_"): value for name, value in lines.items()}
    assert shown['ready{label=""}'] == "1"
    assert shown['manifest_version{label=""}'] == "7"
    assert shown['endpoints{label="live"}'] == "2"
    assert shown['endpoints{label="unreached"}'] == "1"
    assert shown['routers{label=""}'] == "2"
    assert float(shown['repeats_left{label="desk"}']) > 0
    assert float(shown['evidence_age_seconds{label="config"}']) >= 0
    assert int(shown['peer_bytes_total{label="received"}']) > 0
    assert int(shown['store_calls_total{label="read 200"}']) > 0
    assert int(shown['store_bytes_total{label="read"}']) > 0
    assert shown['calls_answered_total{label="streaming"}'] == "8"
    assert 'token_gap_seconds{label="engine",quantile="0.95"}' in shown


def test_log_shows_why_a_manifest_arrived_late(monkeypatch):
    # A key was revoked, and a router kept serving it for seconds.  Its log must show
    # whether the store was slow, the router's link was saturated, or its process got no
    # CPU time: time to first byte, total duration and size of each response.
    lines = []

    def record(event, **fields):
        lines.append((event, fields))

    # Another test in the same process may have redirected the log.
    monkeypatch.setattr(edge_app, "log_event", record)

    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, make_route("/s/", "streaming"))
            await fleet.add_worker("w1")
            router = await fleet.add_router()
            fleet.store.body_s = 0.1
            many = [make_route(f"/s{n}/", "streaming") for n in range(100)]
            await fleet.put_manifest(2, *many)
            await fleet.wait(lambda: router.view.routes.manifest.version == 2)

    asyncio.run(run())
    calls = [fields for event, fields in lines if event == STORE_CALL_ENDED]
    # Each store call is logged; only the large manifest has a large response.
    assert {fields["path"].partition("?")[0] for fields in calls} == {
        "/objects/config",
        "/objects/routers",
        "/objects/servers",
    }
    answered = [fields for fields in calls if fields["size_bytes"] > 16 * 1024]
    assert len(answered) == 1
    assert answered[0]["outcome"] == "200"
    assert answered[0]["duration_s"] > answered[0]["first_byte_s"]
