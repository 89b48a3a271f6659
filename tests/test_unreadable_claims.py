"""Claims beside which another program has written something else."""

import asyncio
import time

import pytest
from tornado.curl_httpclient import CurlAsyncHTTPClient

from tamarackrill.contracts import CLAIM_KIND
from tamarackrill.decisions.claim_buckets import find_bucket, hash_claim_key
from tamarackrill.decisions.claims import Claims
from tamarackrill.exceptions import Refusal
from tamarackrill.router.claiming import Claimer
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.platform import PlatformState, make_platform
from test_upstream import make_call

ODD = (
    None,
    "r/1/1",
    {"attempt": "r/1/1"},
    ["r/1/1", "claimed"],
    ["r/1", "claimed", 9e9],
    ["r/1/1", "odd", 9e9],
    ["r/1/1", "claimed", "9e9"],
)


def make_booking(key):
    return make_call()._replace(idempotent=False, key=key, request_id=key)


def find_neighbour(call):
    """Return a call whose claim stands in the same bucket."""
    bucket = find_bucket(hash_claim_key(call.team, call.key))
    for number in range(1000):
        other = make_booking(f"other-{number}")
        if find_bucket(hash_claim_key(other.team, other.key)) == bucket:
            return other, bucket
    raise AssertionError


async def claim(claimer, call):
    try:
        await claimer.claim(call, time.monotonic())
    except Refusal as refusal:
        return refusal.code, refusal.run
    return "granted"


@pytest.mark.parametrize("odd", ODD)
def test_only_the_call_whose_claim_is_unreadable_is_refused(odd):
    # Guards against a bucket of claims that takes no calls because of one odd entry,
    # and against a request that runs twice because its claim was written over.
    async def run():
        state = PlatformState()
        server, address = listen(make_platform(state))
        client = CurlAsyncHTTPClient(force_instance=True)
        platform = PlatformClient(address, "z", client)
        claimers = [Claimer(Claims(name, "1"), platform, list) for name in "ab"]
        call = make_booking("k")
        other, bucket = find_neighbour(call)
        key_hash = hash_claim_key(call.team, call.key)
        await state.write(CLAIM_KIND, bucket, {"claims": {key_hash: odd}})
        try:
            found = [
                await claim(claimer, each)
                for claimer in claimers
                for each in (call, other)
            ]
        finally:
            for claimer in claimers:
                await claimer.stop()
            client.close()
            server.stop()
        unreadable = ("claim_unreadable", "unknown")
        orphaned = ("claim_orphaned", "unknown")
        assert found == [unreadable, "granted", unreadable, orphaned]
        stored = state.objects[CLAIM_KIND, bucket].value["claims"]
        assert stored.keys() == {key_hash, hash_claim_key(other.team, other.key)}
        assert stored[key_hash] == odd

    asyncio.run(run())
