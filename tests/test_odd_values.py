"""Objects whose fields have odd values: wrong types, bounds, and what JSON allows."""

import asyncio
import contextlib
import copy
import json
import math

from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httputil import HTTPHeaders, HTTPInputError, RequestStartLine

from tamarackrill.contracts import read_contract, read_vm
from tamarackrill.contracts import read_endpoint as read_native_endpoint
from tamarackrill.decisions.claim_buckets import (
    AddClaim,
    UnreadableClaim,
    decode_entries,
    encode_entries,
    merge_changes,
    parse_attempt,
)
from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.decisions.leases import read_lease_record
from tamarackrill.decisions.stream_archive import ArchivedStreams
from tamarackrill.decisions.version_records import VersionRecord
from tamarackrill.exceptions import FindingsError
from tamarackrill.platform.headers import parse_request_headers, parse_response_headers
from tamarackrill.platform.objects import read_endpoint
from tamarackrill.router.app import RouterApplication
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_app import READERS
from tamarackrill.router.edge_server import EdgeServer, _Denied
from tamarackrill.router.known_objects import KnownObjects
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.orders import LEASE_KIND, LEASE_NAME
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.settings import load_settings
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.edge import HOST, KEY, make_manifest, make_route
from tamarackrill.testing.platform import PlatformState, make_platform

DEPTH = 3000
SIZES = (300_000, 60_000, 30_000)
ROUTES = (
    make_route("/a/", "idempotent"),
    make_route(
        "/b/",
        "streaming",
        traffic_split=[{"service": "desk", "weight": 1}, {"service": "x", "weight": 2}],
        gap_aim_ms=50,
    ),
)
MANIFEST = make_manifest(2, *ROUTES)
MANIFEST["services"][0] |= {
    "engine": {"kv_token_bytes": 4, "link_mbps": 9},
    "cold_s": 2,
    "cold_per_s": 3,
}
ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1,
    "models": [{"name": "m", "version": "w1"}],
}
NATIVE = {
    "name": "e",
    "kind": "service",
    "serves": ["s"],
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 3,
    "vm": "v",
    "models_max": 1,
}
CONTRACT = {
    "team": "t",
    "key_hashes": ["0" * 64],
    "models": ["m"],
    "services": ["s"],
    "non_idempotent": [{"service": "s", "method": "*", "path_prefix": "/"}],
}
VM = {"name": "r", "address": "10.0.0.1:80", "zone": "a", "peer_address": "[::1]:81"}


def nest(levels, is_list):
    value = 1
    for _ in range(levels):
        value = [value] if is_list else {"a": value}
    return value


ODD = [
    None,
    True,
    False,
    0,
    -1,
    1,
    6.5,
    -0.0,
    1e308,
    1 << 63,
    (1 << 63) - 1,
    -(1 << 63),
    "",
    "6",
    "\u0668",
    "a\u00e9",
    "x" * SIZES[0],
    [],
    [1],
    ["a", 1],
    [None],
    list(range(SIZES[1])),
    {},
    {"a": 1},
    {str(number): number for number in range(SIZES[2])},
    nest(60, True),
    nest(60, False),
    float("inf"),
    float("nan"),
    "\ud800",
    "a\x02\r\n",
]


def list_paths(value, path=()):
    yield path
    children = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value)
        if isinstance(value, list)
        else ()
    )
    for key, child in children:
        yield from list_paths(child, (*path, key))


def replace(value, path, odd):
    """Return a copy with another value at a path."""
    if not path:
        return odd
    changed = copy.deepcopy(value)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = odd
    return changed


def vary(value):
    """Return a strategy of copies in which one to three values are odd."""
    paths = [path for path in list_paths(value) if path]

    def apply(changes):
        changed = value
        # Longer paths first, as a shorter one may replace what holds them.
        for path, odd in sorted(changes, key=lambda change: -len(change[0])):
            changed = replace(changed, path, odd)
        return changed

    change = st.tuples(st.sampled_from(paths), st.sampled_from(ODD))
    return st.lists(change, min_size=1, max_size=3).map(apply)


def make_server(view):
    return EdgeServer(view, None, Metrics(), lambda: 0.0)


def use_manifest(view):
    """Match requests to all routes, as for clients; an error of any type is a fault."""
    server = make_server(view)
    # As the application does with a new manifest.
    manifest = view.routes.manifest
    server.set_limits(manifest.limits)
    for host in (HOST, "", "other"):
        for path in ("/a/", "/b/x", "/", "/none"):
            for key in (KEY, "", "other"):
                fields = {"X-Request-Attempt-Id": "i", "X-Deadline-Ms": "9"}
                headers = parse_request_headers(
                    HTTPHeaders({**fields, "X-Api-Key": key})
                )
                line = RequestStartLine("POST", path, "HTTP/1.1")
                try:
                    call = server.match(line, host, headers, b"", 0.0)
                except _Denied:
                    continue
                json.dumps((call.route, call.service, call.team), allow_nan=False)
                assert call.deadline_s > -math.inf
                assert isinstance(call.service, str)
                assert call.fingerprint >= 0


@settings(max_examples=600)
@given(manifest=vary(MANIFEST))
def test_manifest_is_left_out_or_serves_each_request(manifest):
    # Guards against a manifest with a value of a wrong type that is put in force and
    # makes each request raise, or the tasks that use it.
    view = DeploymentView(READERS)
    view.take(ObjectVersion("config", "main", 1, MANIFEST), 0.0)
    before = view.routes
    view.take(ObjectVersion("config", "main", 2, manifest), 0.0)
    if view.routes is not before:
        use_manifest(view)
    newer = {**MANIFEST, "version": (1 << 63) - 1}
    view.take(ObjectVersion("config", "main", 3, newer), 0.0)
    use_manifest(view)


@settings(max_examples=400)
@given(entry=vary(ENTRY))
def test_entry_is_left_out_or_can_be_used(entry):
    # Guards against an endpoint with an odd value that is used and makes each placement
    # raise.
    try:
        endpoint = read_endpoint("w", entry)
    except (KeyError, TypeError, ValueError):
        return
    assert endpoint.slots >= 0
    assert 0.0 <= endpoint.cold_s < float("inf")
    for text in (endpoint.zone, endpoint.software_version, *endpoint.serves):
        assert isinstance(text, str)


@settings(max_examples=400)
@given(endpoint=vary(NATIVE), contract=vary(CONTRACT), vm=vary(VM))
def test_objects_of_the_product_are_read_or_findings(endpoint, contract, vm):
    # Guards against an object that raises another error than the declared one.
    known = KnownObjects()
    for read, value in (
        (read_native_endpoint, endpoint),
        (read_contract, contract),
        (read_vm, vm),
    ):
        with contextlib.suppress(FindingsError, TypeError, ValueError):
            read(value)
    for kind, value in (("endpoint", endpoint), ("contract", contract)):
        known.take(ObjectVersion(kind, "odd", 1, value))
    known.list_endpoints()
    assert known.find_holder("0" * 64) is None or known.list_contracts()


HEADER_TEXT = st.one_of(
    st.text(st.characters(max_codepoint=255), max_size=30),
    st.sampled_from(
        ["9" * 5000, "1e99999", "nan", "-1", "\xb2", "inf", "1,2,3", "a=b;c", ",,,"]
    ),
)
HEADERS = (
    "X-Request-Attempt-Id",
    "X-Deadline-Ms",
    "X-Api-Key",
    "Last-Event-Id",
    "Resumes",
    "X-Prompt-Parts",
    "X-Prompt-Tokens",
    "X-Model",
    "X-Instance-Load",
    "Keep-Alive",
    "Content-Type",
    "Retry-After",
    "Server-Brittle",
)


@settings(max_examples=300)
@given(values=st.tuples(*[HEADER_TEXT] * len(HEADERS)))
def test_headers_of_any_value_are_read(values):
    # Guards against a header of a client or an endpoint that raises.
    fields = dict(zip(HEADERS, values, strict=True))
    found = HTTPHeaders()
    for name, text in fields.items():
        with contextlib.suppress(HTTPInputError):
            found.add(name, text)
    parse_request_headers(found)
    parse_response_headers({name.lower(): text for name, text in fields.items()})


LEASE = {"holder": "r/1", "fence": 3, "renewal": 2}
CLAIMS = {
    "claims": {"0" * 24: ["r/1/1", "claimed", 9.0], "1" * 24: ["r/1/2", "done", 1]}
}
RECORD = {"versions": ["v1", "v2"], "era": 1, "writer": "w"}
STREAMS = {"streams": {"v1": "AAAAAAAAAAE=", "v2": "AAAAAAAAAAI="}}


@settings(max_examples=300)
@given(value=st.one_of(vary(LEASE), st.sampled_from(ODD)))
def test_lease_is_read_or_rejected(value):
    # Guards against a task that ends again and again because of one odd lease.
    try:
        record = read_lease_record(value)
    except ValueError:
        return
    json.dumps(record._replace(fence=record.fence + 1, renewal=record.renewal + 1))


@settings(max_examples=400)
@given(value=st.one_of(vary(CLAIMS), st.sampled_from(ODD)))
def test_claims_are_read_or_rejected(value):
    # Guards against a call that waits until its deadline, as the task that reads its
    # claims ended.
    try:
        entries = decode_entries(value)
    except (TypeError, ValueError, AttributeError):
        return
    change = AddClaim(1, "0" * 24, "r/1/3", 1.0, 1.0, 1.0, 1.0)
    merged = merge_changes(entries, [change], 0.0)
    written = encode_entries(merged.entries)["claims"]
    json.dumps(written)
    for key, claim in merged.entries.items():
        if isinstance(claim, UnreadableClaim):
            assert written[key] is value["claims"][key]
        else:
            parse_attempt(claim.attempt)


@settings(max_examples=400)
@given(record=vary(RECORD), streams=vary(STREAMS), odd=st.sampled_from(ODD))
def test_records_of_versions_are_read_or_rejected(record, streams, odd):
    # Guards against the end of the task that reads records, and against versions that
    # no record names.
    archived = ArchivedStreams()
    for value in (record, odd):
        with contextlib.suppress(ValueError):
            found = VersionRecord.parse(value)
            assert all(text in value["versions"] for text in found.versions)
            assert isinstance(value["versions"], list)
    for value in (streams, odd):
        with contextlib.suppress(ValueError):
            archived.add(value)
    archived.sort()
    archived.find(1)


def test_odd_lease_is_taken_over_once_it_has_expired():
    # Guards against engines that get no orders for good because of one odd lease.
    async def run():
        platform, address = listen(make_platform(PlatformState()))
        flags = ["--name=r", "--zone=z", "--port=0", "--peer-port=0"]
        flags += [f"--platform={address}", "--peer-keys=the peer key"]
        client = CurlAsyncHTTPClient(force_instance=True)
        store = PlatformClient(address, "z", client)
        odd = {"holder": ["odd"], "fence": "7"}
        written = await store.put(LEASE_KIND, LEASE_NAME, odd, None)
        router = RouterApplication(load_settings(flags, {}))
        router.known.take(ObjectVersion("contract", "t", 1, CONTRACT))
        await router.start()
        controller = router.load_controller
        async with asyncio.timeout(30.0):
            while not controller._lease.may_order(controller._clock()):
                await asyncio.sleep(0.05)
        # No fencing number of an earlier holder can be above it.
        assert controller._lease.fence > written.version
        await router.stop()
        client.close()
        platform.stop()

    asyncio.run(run())
