"""Objects of other programs in the store that can't be read, beside sound ones."""

import asyncio
import json
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.curl_httpclient import CurlAsyncHTTPClient

from tamarackrill.lenient_json import DEPTH_MAX, decode, is_sound
from tamarackrill.platform.store import STORE_FORM
from tamarackrill.router.peer_api import PeerUnavailable, _parse_changes
from tamarackrill.router.platform_client import PlatformClient, _parse_json
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.edge import EdgeFleet, make_route
from tamarackrill.testing.platform import PlatformState, make_platform

LOOKUP = make_route("/lookup/", "idempotent")
PLACEHOLDER = "bytes of another program"
SETTINGS = {"has_evacuations": True, "zones": ("a", "b")}
UNREADABLE = {
    "control": b'"\x02\x1b"',
    "escaped control": b'"\\u0002\\n"',
    "no utf-8": b'"\x8f\xfe"',
    "both": b'"\x8f\x02\xfe\x00\x1b"',
    "digits": b"7" * 5000,
    "negative digits": b"-" + b"7" * 5000,
    "deep": b"[" * 20000 + b"]" * 20000,
    "deep tables": b'{"a":' * 20000 + b"1" + b"}" * 20000,
    "less deep": b"[" * 300 + b"]" * 300,
    "surrogate": b'"\\ud800"',
    "surrogate key": b'{"\\udc00": 1}',
    "nan": b"NaN",
    "infinite": b"-Infinity",
    "exponent": b"1e999",
    "list": b"[]",
    "null": b"null",
}
NAMES = {
    "surrogate": "import-\ud800",
    "control": "import-\x02\r\n",
    "not ascii": "import-\xe9",
    "space": " import ",
}


async def write_unreadable(fleet):
    """Write objects of all kinds with a placeholder as a field, and as all contents."""
    for kind in ("servers", "evacuations", "config"):
        for name in ("import-1", "z-import"):
            await fleet.store.write(kind, name, {"address": PLACEHOLDER, "x": 1})
        await fleet.store.write(kind, "import-2", PLACEHOLDER)


async def check_changes_arrive(fleet):
    """Change objects of all kinds, and wait for all routers, running and new ones."""
    draining, ready = fleet.workers
    entry = draining.describe("desk", "a", state="draining", sequence=2)
    await fleet.store.write("servers", draining.name, entry)
    await fleet.put_manifest(2, LOOKUP)
    await fleet.evacuate("b")
    await fleet.add_router("later", "a", **SETTINGS)
    # It knows the others only, which hand it what they have read.
    alone = fleet.make_router("alone", "a", store_address="127.0.0.1:1", **SETTINGS)
    await alone.start()
    for router in fleet.routers:
        await fleet.wait(lambda r=router: "b" in r.view.evacuated_zones)
        assert "a" not in router.view.evacuated_zones
        await fleet.wait(lambda r=router: r.view.tell_manifest().version == 2)
        await fleet.wait(lambda r=router: is_leaving(r, draining.name))
        known = {endpoint.name for endpoint in router.view.list_endpoints()}
        assert known == {draining.name, ready.name}


def is_leaving(router, name):
    endpoint = router.view.find_endpoint(name)
    return endpoint is not None and endpoint.state == "leaving"


def run_in_fleet(act):
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, LOOKUP)
            for zone in ("a", "b"):
                await fleet.add_worker(f"w-{zone}", zone=zone)
            for name in ("r1", "r2"):
                await fleet.add_router(name, "a", **SETTINGS)
            await act(fleet)
            await check_changes_arrive(fleet)

    asyncio.run(run())


@pytest.mark.parametrize("substitute", UNREADABLE.values(), ids=UNREADABLE)
def test_unreadable_value_hides_no_change_of_other_objects(substitute):
    # Guards against routers that learn of no change any more, or can't start, because
    # one object in the store can't be read.
    async def act(fleet):
        fleet.store.substitutes[PLACEHOLDER] = substitute
        await write_unreadable(fleet)

    run_in_fleet(act)


@pytest.mark.parametrize("name", NAMES.values(), ids=NAMES)
def test_unreadable_name_hides_no_change_of_other_objects(name):
    # Guards against a router that stops following the store for good at a name that
    # can't be encoded, and against names that can't be sent in a header.
    async def act(fleet):
        entry = fleet.workers[0].describe("desk", "a")
        for kind in ("servers", "config"):
            await fleet.store.write(kind, name, entry)

    run_in_fleet(act)


JUNK = st.one_of(
    st.sampled_from(list(UNREADABLE.values())),
    st.text().map(lambda text: json.dumps(text).encode()),
    st.floats().map(lambda number: json.dumps(number).encode()),
    st.binary(max_size=20).map(
        lambda data: b'"' + data.replace(b"\\", b"").replace(b'"', b"") + b'"'
    ),
)


@given(name=JUNK, value=JUNK, field=JUNK, is_removed=st.booleans())
def test_sound_objects_are_read_beside_any_junk(name, value, field, is_removed):
    # Guards against one object that makes a whole list, a watch's answer or what a
    # router hands on unreadable.
    sound = b'{"metadata": {"name": "w", "revision": 2}, "spec": {"x": 1}}'
    junk = b'{"metadata": {"name": %s, "revision": 3}, "spec": %s, "status": %s}'
    junk %= (name, value, field)
    page = b'{"items": [%s, %s], "store_revision": 9}' % (junk, sound)
    events = b'{"object": %s, "removed": %s}, {"object": %s, "removed": false}'
    events %= (junk, json.dumps(is_removed).encode(), sound)
    events = b'{"events": [%s], "store_revision": 9}' % events
    for items in (
        STORE_FORM.read_page("servers", decode(page)).items,
        STORE_FORM.read_events("servers", decode(events)).items,
    ):
        found = {item.name: item.value for item in items}
        assert found["w"] == {"x": 1}
        # All can be hashed and handed on.
        json.dumps(items, allow_nan=False).encode()
        for item in items:
            item.name.encode()


def test_depth_is_bounded_for_all_values():
    value = 1
    for _ in range(DEPTH_MAX):
        value = [value]
    assert is_sound(value)
    assert not is_sound([value])


def test_changes_of_another_release_are_checked():
    # Guards against objects that a router of an earlier release hands on unchecked.
    objects = [
        ["servers", "sound", 3, {"x": 1}],
        ["servers", "odd", 4, {"x": "\ud800"}],
        ["servers", "\ud800", 5, {}],
        ["servers", 7, 5, {}],
        None,
    ]
    text = json.dumps(["servers", objects, 9, False, 1]).encode()
    changes = _parse_changes(zlib.compress(text))
    assert [item.name for item in changes.objects] == ["sound", "odd"]
    assert changes.objects[1].value == []
    deep = b"[" * 20000 + b"]" * 20000
    with pytest.raises(PeerUnavailable):
        _parse_changes(zlib.compress(deep))


VM = {"name": "r", "address": "10.0.0.1:80", "zone": "a", "peer_address": "[::1]:81"}
ODD_VMS = {
    "port": {**VM, "peer_address": "127.0.0.1:70000"},
    "scope": {**VM, "address": "[fe80::1%" + "e" * 64 + "]:80"},
    "digits": {**VM, "address": "10.0.0.1:8_0"},
    "type of a name": {**VM, "name": ["r"]},
    "type of a zone": {**VM, "zone": 7},
    "state": {**VM, "state": {"live": 1}},
    "missing": {"name": "r"},
    "list": [VM],
    "null": None,
    "number": 7,
}


@pytest.mark.parametrize("odd", ODD_VMS.values(), ids=ODD_VMS)
def test_odd_entry_of_the_vm_list_hides_no_other(odd):
    # Guards against a router that learns of no change of the VM list because of one
    # entry, or that ends the task which reads it.
    async def run():
        state = PlatformState()
        server, address = listen(make_platform(state))
        client = CurlAsyncHTTPClient(force_instance=True)
        platform = PlatformClient(address, "a", client)
        later = {**VM, "name": "later", "rack": "a field of a newer release"}
        state.vms = [VM, odd, later]
        names = [vm.name for vm in await platform.list_vms()]
        client.close()
        server.stop()
        return names

    assert asyncio.run(run()) == ["r", "later"]


@pytest.mark.parametrize("opening", [b'{"a":', b'["\\"[",'])
def test_other_tasks_run_while_a_large_deep_value_is_decoded(opening):
    # Guards against requests that wait for an object of another program, as large as
    # the store allows and nested deeply, each time that it changes.
    async def run():
        count = 600_000 // len(opening)
        closing = b"}" if opening[:1] == b"{" else b"]"
        body = b'{"sound": 1, "deep": %s1%s}' % (opening * count, closing * count)
        beats = 0

        async def beat():
            nonlocal beats
            while True:
                beats += 1
                await asyncio.sleep(0)

        beating = asyncio.create_task(beat())
        found = await _parse_json(body)
        beating.cancel()
        assert beats > 10
        assert found["sound"] == 1
        assert not is_sound(found["deep"])
        assert repr(found) == repr(decode(body))

    asyncio.run(run())
