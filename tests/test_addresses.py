"""Addresses of endpoints and routers, as other programs may write them."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackrill.contracts import read_endpoint as read_native
from tamarackrill.decisions.addresses import read_address, read_router_address
from tamarackrill.exceptions import FindingsError
from tamarackrill.platform.objects import read_endpoint
from tamarackrill.router.channels import open_channel
from tamarackrill.router.datagrams import PeerSocket
from tamarackrill.settings import load_settings
from tamarackrill.testing.edge import EdgeFleet, ask, make_route

ENTRY = {
    "service": "desk",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
}
NATIVE = {"name": "e", "kind": "service", "serves": ["s"], "zone": "z"}
INVALID = [
    "127.0.0.1:70000",
    "127.0.0.1:65536",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1:8_0",
    "127.0.0.1: 80",
    "127.0.0.1:80 ",
    "127.0.0.1:80\n",
    "127.0.0.1:080",
    "127.0.0.1:\u0668\u0660",
    "127.0.0.1:\u00b2",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1",
    "999.1.1.1:80",
    "127.0.0.01:80",
    "::1:80",
    "[::1:80",
    "[127.0.0.1]:80",
    "[::g]:80",
    "[1:2:3]:80",
    "[fe80::1%lo]:80",
    "fe80::1%" + "e" * 64 + ":80",
    "[fe80::1%" + "e" * 64 + "]:80",
    "localhost:80",
    ":80",
    "",
]
# Host names are looked up, and an empty host may have a listener.
CONNECTED = [text for text in INVALID if not text.startswith(("localhost", ":80"))]
VALID = ["127.0.0.1:1", "10.0.0.1:65535", "[::1]:80", "[2001:db8::a]:8080"]


@pytest.mark.parametrize("address", INVALID)
def test_invalid_address_of_an_endpoint_is_rejected(address):
    # Guards against an endpoint whose address raises another error than OSError when a
    # request is sent there, and against one that readers take for different addresses.
    with pytest.raises(ValueError, match="address"):
        read_endpoint("w", {**ENTRY, "address": address})
    with pytest.raises(FindingsError):
        read_native({**NATIVE, "address": address})


@pytest.mark.parametrize("address", VALID)
def test_valid_address_of_an_endpoint_is_read(address):
    assert read_endpoint("w", {**ENTRY, "address": address}).address == address
    assert read_native({**NATIVE, "address": address}).address == address


@pytest.mark.parametrize("address", CONNECTED)
def test_connecting_to_an_invalid_address_raises_oserror(address):
    # Guards against a request that ends without an answer because connecting raises
    # UnicodeError, OverflowError or ValueError.
    with pytest.raises(OSError):
        asyncio.run(open_channel(address, 1.0))


@pytest.mark.parametrize(
    "address", ["fe80::1%" + "e" * 64 + ":80", "127.0.0.1:70000", "[::1:80"]
)
def test_entry_with_an_invalid_address_harms_no_request(address):
    # Guards against client connections that end without an answer at a router that has
    # read an entry with such an address, and against entries that hide later ones.
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, make_route("/a/", "idempotent", attempts=1))
            await fleet.store.write("servers", "odd", {**ENTRY, "address": address})
            await fleet.add_worker("sound")
            router = await fleet.add_router()
            for number in range(20):
                assert (await ask(router, "/a/", f"id-{number}")).status == 200
            await fleet.add_worker("later")
            await fleet.wait(lambda: router.view.find_endpoint("later"))

    asyncio.run(run())


SETTINGS = {
    "TAMARACKRILL_NAME": "r",
    "TAMARACKRILL_ZONE": "z",
    "TAMARACKRILL_PEER_KEYS": "k" * 32,
}


@pytest.mark.parametrize("address", VALID)
def test_valid_address_of_a_setting_is_read(address):
    settings = load_settings([], {**SETTINGS, "TAMARACKRILL_PLATFORM": address})
    assert settings.platform == address


@pytest.mark.parametrize("address", INVALID)
def test_invalid_address_of_a_setting_is_rejected(address):
    # Guards against a router that starts with a store that it can't connect to.
    with pytest.raises(FindingsError) as raised:
        load_settings([], {**SETTINGS, "TAMARACKRILL_PLATFORM": address})
    assert "PLATFORM" in raised.value.findings[0].place


ODD_TEXT = st.one_of(
    st.text(max_size=80),
    st.sampled_from(INVALID + VALID),
    st.builds(
        "{}:{}".format,
        st.one_of(st.ip_addresses().map(str), st.text(max_size=8)),
        st.one_of(st.integers(-9, 99999).map(str), st.text(max_size=6)),
    ),
)


@given(text=ODD_TEXT)
def test_address_is_read_or_rejected_and_means_one_host_and_port(text):
    # Guards against texts that raise another error than ValueError, or that a socket
    # takes for another address.
    for read in (read_address, read_router_address):
        try:
            host, port = read(text)
        except ValueError:
            continue
        assert 0 < port < 65536
        assert text.endswith(f":{port}")
        host.encode("idna") if read is read_address else host.encode("ascii")


@given(text=ODD_TEXT)
def test_datagram_to_any_address_is_sent_or_dropped(text):
    # Guards against an address told by another router that ends the task which sends.
    sent = []

    class Socket:
        def sendto(self, datagram, address):
            sent.append(address)
            raise OSError

    peers = PeerSocket()
    peers._socket = Socket()
    peers.send(text, b"x")
    assert all(0 < port < 65536 for _, port in sent)
