"""Endpoint entries in the store: valid ones, and those that are malformed."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.platform.objects import read_endpoint
from tamarackrill.platform.store import STORE_FORM
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_app import READERS

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
}


@pytest.mark.parametrize(
    ("state", "found"), [("ready", "live"), ("draining", "leaving")]
)
def test_endpoint_is_parsed(state, found):
    endpoint = read_endpoint("i-1", {**ENTRY, "state": state})
    assert (endpoint.name, endpoint.state, endpoint.slots) == ("i-1", found, 6)
    assert endpoint.kind == "service"
    assert endpoint.started_ms is None


def test_start_time_of_an_endpoint_is_parsed():
    assert read_endpoint("i-1", {**ENTRY, "born": 1_700_000_000_123}).started_ms == (
        1_700_000_000_123
    )


INVALID_FIELDS = [
    ("service", None),
    ("service", 7),
    ("address", "10.0.0.1"),
    ("address", "10.0.0.1:0"),
    ("address", "10.0.0.1:http"),
    ("address", "worker.example:80"),
    ("address", ["10.0.0.1", 80]),
    ("zone", {}),
    ("version", 1),
    ("slots", "6"),
    ("slots", True),
    ("slots", 6.5),
    ("state", "resting"),
    ("state", ["ready"]),
    ("sequence", "1"),
    ("cold_remaining_ms", None),
    ("born", "1700000000123"),
    ("born", 1.5),
    ("born", True),
    ("models", "m"),
]


@pytest.mark.parametrize(("field", "value"), INVALID_FIELDS)
def test_entry_with_an_invalid_field_is_rejected(field, value):
    # A program other than a worker writes an entry that resembles a worker's.  If the
    # router accepted the valid fields alone, it would send clients' requests there.
    with pytest.raises((KeyError, TypeError, ValueError)):
        read_endpoint("i-1", {**ENTRY, field: value})


@pytest.mark.parametrize("field", sorted(ENTRY))
def test_entry_with_a_missing_field_is_rejected(field):
    entry = {name: value for name, value in ENTRY.items() if name != field}
    with pytest.raises((KeyError, TypeError, ValueError)):
        read_endpoint("i-1", entry)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*ENTRY, "born", "models"]), inner)
    ),
    max_leaves=12,
)


@given(spec=JSON_VALUES)
def test_no_entry_ends_the_task_that_follows_the_store(spec):
    # Another program writes arbitrary JSON into an entry.  The router must continue to
    # follow the store, send no requests to that entry and keep using valid entries.
    view = DeploymentView(READERS)
    view.take(ObjectVersion("servers", "sound", 1, ENTRY), 0.0)
    view.take(ObjectVersion("servers", "odd", 2, spec), 0.0)
    assert "sound" in view.find_pool("s").by_name
    for endpoint in view.list_endpoints():
        assert isinstance(endpoint.slots, int) and ":" in endpoint.address


def test_entry_overwritten_with_an_invalid_one_is_removed():
    # A program other than a worker overwrites an entry.  If the previous version were
    # kept, requests would go to an endpoint whose state is unknown.
    view = DeploymentView(READERS)
    view.take(ObjectVersion("servers", "w", 1, ENTRY), 0.0)
    view.take(ObjectVersion("servers", "w", 2, {**ENTRY, "state": "resting"}), 0.0)
    assert view.list_endpoints() == []
    view.take(ObjectVersion("servers", "w", 3, ENTRY), 0.0)
    assert [endpoint.name for endpoint in view.list_endpoints()] == ["w"]


@pytest.mark.parametrize(
    "malformed",
    [
        None,
        "text",
        {},
        {"metadata": None, "spec": {}},
        {"metadata": {"name": "x"}, "spec": {}},
        {"metadata": {"name": 7, "revision": 3}, "spec": {}},
        {"metadata": {"name": "x", "revision": "3"}, "spec": {}},
    ],
)
def test_malformed_object_does_not_hide_others(malformed):
    # One object of a list does not match the published schema.  If the whole list were
    # rejected, the router would receive no more changes of any endpoint.
    valid = {"metadata": {"name": "w", "revision": 2}, "spec": ENTRY}
    page = STORE_FORM.read_page(
        "servers", {"items": [malformed, valid], "has_more": False, "store_revision": 3}
    )
    assert [item.name for item in page.items] == ["w"]
    events = [
        {"object": malformed, "removed": False},
        {"object": valid, "removed": False},
    ]
    listing = STORE_FORM.read_events("servers", {"events": events, "store_revision": 3})
    assert [item.name for item in listing.items] == ["w"]


@pytest.mark.parametrize("fields", [{}, {"spec": None}])
def test_object_without_contents_is_not_a_deletion(fields):
    # An entry without contents exists in the store.  If it were treated as deleted, the
    # router would keep the endpoint as one whose entry expired during a store outage.
    item = {"metadata": {"name": "w", "revision": 2}, **fields}
    page = STORE_FORM.read_page("servers", {"items": [item], "store_revision": 3})
    assert page.items[0].value == {}


def make_entry(version, state="ready", born=1):
    spec = {**ENTRY, "state": state, "born": born} if version else None
    return ObjectVersion("servers", "w1", version or 9, spec)


@pytest.mark.parametrize(
    ("later", "is_live"),
    [
        ([make_entry(3)], False),
        ([make_entry(0), make_entry(10)], False),
        ([make_entry(3, born=2)], True),
    ],
    ids=["heartbeat", "lapsed and back", "restarted"],
)
def test_endpoint_that_said_it_leaves_gets_work_only_after_a_restart(later, is_live):
    # Guards against an old entry, or one that lapses with the store and returns, which
    # would bring a leaving endpoint back into use.
    view = DeploymentView(READERS)
    view.take(make_entry(2), 0.0)
    view.observe_leaving_answer(view.find_endpoint("w1"))
    for item in later:
        view.take(item, 1.0)
    assert bool(view.list_live("s")) is is_live


def test_late_answer_of_an_earlier_process_drains_no_restarted_endpoint():
    # Guards against an idle endpoint: it has restarted before its predecessor's last
    # answer, which says that it leaves, has arrived.
    view = DeploymentView(READERS)
    view.take(make_entry(2), 0.0)
    predecessor = view.find_endpoint("w1")
    view.take(make_entry(3, born=2), 1.0)
    view.observe_leaving_answer(predecessor)
    assert view.list_live("s")


def test_leaving_endpoint_is_not_kept_when_its_entry_ends_in_an_outage():
    # Guards against the grace period for entries that lapse in an outage of the store:
    # the end of a leaving endpoint is expected.
    view = DeploymentView(READERS)
    view.take(make_entry(2), 0.0)
    view.observe_leaving_answer(view.find_endpoint("w1"))
    view.observe_store(True, 1.0)
    view.take(make_entry(0), 2.0)
    assert view.find_endpoint("w1") is None
