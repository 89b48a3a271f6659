"""Addresses of endpoints and routers, as other programs may write them."""

import asyncio

import pytest

from tamarackrill.contracts import read_endpoint as read_native
from tamarackrill.exceptions import FindingsError
from tamarackrill.platform.objects import read_endpoint
from tamarackrill.router.channels import open_channel
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
