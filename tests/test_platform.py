"""The adapter: the platform's names and formats in, the product's types out."""

import re
from pathlib import Path

import pytest
from tornado.httputil import HTTPHeaders

from tamarackrill.exceptions import FindingsError
from tamarackrill.platform.headers import (
    build_error_headers,
    build_request_headers,
    filter_response_headers,
    parse_request_headers,
    parse_response_headers,
)
from tamarackrill.platform.objects import read_manifest
from tamarackrill.platform.settings_file import parse_settings
from tamarackrill.platform.store import STORE_FORM
from tamarackrill.testing.edge import make_manifest, make_route

SOURCE = Path(__file__).parent.parent / "src" / "tamarackrill"
# Words of the platform that no module outside the adapter may know.
WORDS = re.compile(
    r"X-(Request-Attempt-Id|Expect-Instance|Prompt-Prefix|Instance-Load|Tenant-Id"
    r"|Response-Signature|Not-Executed|Deadline-Ms|Token-Count|Api-Key)"
    r"|target_latency_ms|api_keys|store_revision|traffic_split"
    r"|after_revision|internal_ports|gap_aim_ms",
    re.IGNORECASE,
)
SETTINGS = """
node_name: "edge-a-1"
ip: "10.1.0.40"
zone: "a"
listen:
  front: "10.1.0.40:8227"
  ready: "10.1.0.40:8220"
  control: "10.1.0.40:8229"
internal_ports: [7340, 7355]
seeds: ["10.1.0.40:8229", "10.2.0.29:8229"]
bounds: {grace_s: 8, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 56}
platform: {address: "10.200.1.7:8223", form: "objects"}
something_new: [1, 2]
"""


def test_adapter_imports_nothing_of_the_routers():
    # Guards against an adapter that can't be read, or replaced, without the router.
    for path in (SOURCE / "platform").glob("*.py"):
        text = path.read_text(encoding="utf-8")
        assert "tamarackrill.router" not in text, path.name


def test_words_of_the_platform_stand_in_the_adapter_alone():
    for path in SOURCE.rglob("*.py"):
        if path.parent.name in ("platform", "testing"):
            continue
        found = WORDS.search(path.read_text(encoding="utf-8"))
        assert found is None, f"{path.name}: {found}"


def test_settings_are_read_and_unknown_fields_passed_over():
    settings = parse_settings("local.yaml", SETTINGS)
    assert settings.name == "edge-a-1"
    assert settings.peer_port == 7340
    assert settings.seeds == ("10.1.0.40:7340", "10.2.0.29:7340")
    assert settings.retry_budget == (0.2, 10.0, 56.0)
    assert settings.load_cap == 2.0


def test_all_faults_of_the_settings_are_told_with_their_places():
    text = SETTINGS.replace('"edge-a-1"', "7").replace("  front:", "  frond:")
    with pytest.raises(FindingsError) as caught:
        parse_settings("local.yaml", text)
    shown = caught.value.show()
    assert "local.yaml: node_name: 7 is no str" in shown
    assert "local.yaml: listen.front: is missing" in shown


@pytest.mark.parametrize("text", ["", "- a\n", "a: [", "internal_ports: [1]"])
def test_what_is_no_settings_file_is_told(text):
    with pytest.raises(FindingsError):
        parse_settings("local.yaml", text)


def test_manifest_is_read():
    manifest = read_manifest(
        make_manifest(
            7,
            make_route("/a/", "streaming", stream_resume=True, gap_aim_ms=200),
            make_route(
                "/b/",
                "idempotent",
                traffic_split=[
                    {"service": "x", "weight": 90},
                    {"service": "y", "weight": 10},
                ],
            ),
        )
    )
    stream, split = manifest.routes
    assert stream.may_repeat and stream.gap_objective_s == 0.2
    assert stream.timeout_s == 3.0 and stream.objective_s == 0.5
    assert [share.service for share in split.shares] == ["x", "y"]
    assert manifest.limits.body_max_bytes == 65536
    assert manifest.teams[0].keys == ("the-key",)


@pytest.mark.parametrize(
    ("engine", "copy_token_s"),
    [
        ({"kv_token_bytes": 200_000, "link_mbps": 1_600_000.0}, 1e-6),
        ({"kv_token_bytes": 192_512}, None),
        ({"slots": 8}, None),
        (None, None),
    ],
)
def test_time_to_copy_a_token_between_engines_is_read(engine, copy_token_s):
    spec = make_manifest(1)
    spec["services"][0]["engine"] = engine
    (service,) = read_manifest(spec).services
    assert service.copy_token_s == copy_token_s


def test_manifest_without_tenants_asks_for_no_keys():
    spec = make_manifest(1)
    del spec["tenants"]
    assert read_manifest(spec).teams is None


def test_head_of_a_request_is_read():
    call = parse_request_headers(
        HTTPHeaders(
            {
                "X-Request-Attempt-Id": "9c41",
                "X-Deadline-Ms": "1500",
                "X-Api-Key": "k",
                "X-Token-Count": "1460,80",
                "X-Prompt-Prefix": "5c1e:800, 91bd:410,e440:250",
                "Last-Event-Id": "12",
                "X-Model": "m",
                "Connection": "keep-alive, X-Odd",
                "X-Odd": "1",
                "Kv-From": "10.0.0.1:80/h",
            }
        )
    )
    assert call.wait_s == 1.5
    assert call.prompt_parts == (("5c1e", 800), ("91bd", 410), ("e440", 250))
    assert call.tokens == 1460
    assert call.last_event_id == 12
    assert {name for name, _ in call.forwarded} == {
        "X-Request-Attempt-Id",
        "X-Token-Count",
        "X-Prompt-Prefix",
        "X-Model",
    }


@pytest.mark.parametrize("text", ["inf", "-inf", "nan", "1e999"])
def test_numbers_that_are_not_finite_are_left_out(text):
    # A client sends nonsense where a number stands.  Reading it must not end in a fault
    # of the router's own, which would cut the connection without an answer.
    call = parse_request_headers(
        HTTPHeaders(
            {
                "X-Deadline-Ms": text,
                "Last-Event-Id": text,
                "X-Token-Count": text,
                "X-Prompt-Prefix": f"5c1e:{text}",
            }
        )
    )
    assert (call.wait_s, call.last_event_id, call.tokens) == (None, None, 0)
    assert call.prompt_parts == (("5c1e", 0),)


@pytest.mark.parametrize("text", ["", "soon", "-5"])
def test_deadline_that_cannot_be_read_is_none_or_now(text):
    call = parse_request_headers(HTTPHeaders({"X-Deadline-Ms": text}))
    assert call.wait_s in (None, 0.0)


def test_request_to_an_endpoint_names_it_and_the_team():
    call = parse_request_headers(HTTPHeaders({"X-Model": "m", "X-Tenant-Id": "forged"}))
    headers = dict(build_request_headers(call, "i-1", "team", 1.25, 3, 7))
    assert headers["X-Expect-Instance"] == "i-1"
    assert headers["X-Tenant-Id"] == "team"
    assert headers["X-Deadline-Ms"] == "1250"
    assert headers["Last-Event-Id"] == "7"
    assert headers["Content-Length"] == "3"
    assert "Kv-Fetch" not in headers


def test_request_names_the_engine_to_copy_from_whatever_the_client_sent():
    call = parse_request_headers(HTTPHeaders({"Kv-Fetch": "10.0.0.1:80"}))
    headers = build_request_headers(call, "i-1", "team", 1.25, 3, 7, "10.0.0.2:80")
    assert [v for n, v in headers if n == "Kv-Fetch"] == ["10.0.0.2:80"]


def test_head_of_an_answer_is_read():
    facts = parse_response_headers(
        {
            "x-request-attempt-id": "9c41",
            "x-response-signature": "3e1b",
            "x-instance-load": "3,2,8",
            "keep-alive": "timeout=5, max=100",
            "content-type": "text/event-stream; charset=utf-8",
        }
    )
    assert facts.is_signed and facts.is_event_stream and not facts.has_not_run
    assert (facts.load, facts.idle_max_s) == (5, 5.0)


@pytest.mark.parametrize("text", ["", "3", "a,b,c", "3,,8"])
def test_load_that_cannot_be_read_is_none(text):
    assert parse_response_headers({"x-instance-load": text}).load is None


def test_headers_of_one_connection_are_not_passed_back():
    headers = [("Connection", "close"), ("Keep-Alive", "timeout=5"), ("X-A", "1")]
    assert filter_response_headers(headers) == [("X-A", "1")]


def test_refusal_says_when_to_come_back():
    assert build_error_headers("9c41", 0.25)["Retry-After"] == "0.250"
    assert "Retry-After" not in build_error_headers("9c41", None)


def test_removed_object_outranks_its_last_change():
    body = {
        "events": [
            {"removed": True, "object": {"metadata": {"name": "a", "revision": 5}}}
        ],
        "store_revision": 9,
    }
    (item,) = STORE_FORM.read_events("servers", body).items
    assert item.value is None and item.version > 5


def test_pages_of_a_list_follow_one_another():
    body = {
        "items": [{"metadata": {"name": "a", "revision": 5}, "spec": {"x": 1}}],
        "has_more": True,
        "store_revision": 9,
    }
    page = STORE_FORM.read_page("servers", body)
    assert STORE_FORM.list_path("servers", page.after).endswith("?after_revision=a")
    body["has_more"] = False
    assert STORE_FORM.read_page("servers", body).after == ""
