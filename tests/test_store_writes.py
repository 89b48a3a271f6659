"""Conditional writes to both stores, and their outcome as the client reports it."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.web import Application, RequestHandler

from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.platform.store import STORE_FORM
from tamarackrill.router.platform_client import (
    STAND_IN_FORM,
    PlatformClient,
    StoreTiming,
)
from tamarackrill.store_api import Reading, WriteResult
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.object_store import ObjectStore
from tamarackrill.testing.platform import Faults, PlatformState, make_platform

KIND, NAME = "notes", "a b/c"
each_form = pytest.mark.parametrize("form", [STAND_IN_FORM, STORE_FORM])


@asynccontextmanager
async def serve(application, form):
    server, address = listen(application)
    client = CurlAsyncHTTPClient(force_instance=True)
    try:
        yield PlatformClient(address, "z", client, form, StoreTiming(0.5, 1.0))
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()


def run_on_store(form, use):
    async def run():
        if form is STORE_FORM:
            store = ObjectStore()
            store.era = 7
            application = store.make_application()
        else:
            store = PlatformState()
            application = make_platform(store)
        async with serve(application, form) as platform:
            await use(platform, store)

    asyncio.run(run())


@each_form
def test_writes_take_effect_only_on_their_condition(form):
    # Guards against two routers that overwrite each other's objects.
    async def use(platform, store):
        assert (await platform.list(KIND)).items == ()
        assert (await platform.put(KIND, NAME, {}, 3))[:2] == (None, None)
        assert (await platform.delete(KIND, NAME, 3))[:2] == (None, None)
        created = (await platform.put(KIND, NAME, {"n": 1}, None)).version
        again = await platform.put(KIND, NAME, {"n": 2}, None)
        assert again.version is None
        assert again.current == (KIND, NAME, created, {"n": 1})
        replaced = (await platform.put(KIND, NAME, {"n": 3}, created)).version
        assert replaced > created
        for stale in (
            await platform.put(KIND, NAME, {"n": 4}, created),
            await platform.delete(KIND, NAME, created),
        ):
            assert stale.version is None
            assert stale.current == (KIND, NAME, replaced, {"n": 3})
        assert (await platform.list(KIND)).items == (stale.current,)
        assert (await platform.delete(KIND, NAME, replaced)).version > replaced
        assert await platform.get(KIND, NAME) is None
        assert (await platform.put(KIND, NAME, {}, None)).version > replaced

    run_on_store(form, use)


@each_form
@pytest.mark.parametrize("fault", ["lost", "late"])
def test_write_without_an_answer_may_have_taken_effect(form, fault):
    # Guards against a write that libcurl sends again by itself, and that fails on the
    # condition that the first one met.
    async def use(platform, store):
        version = (await platform.put(KIND, NAME, {"n": 1}, None)).version
        lost, delay_s = (1, 0.0) if fault == "lost" else (0, 1.0)
        if form is STAND_IN_FORM:
            store.faults = Faults(lose_answers=lost, answer_delay_s=delay_s)
        else:
            store.writes_lost, store.write_delay_s = lost, delay_s
        with pytest.raises(PlatformUnavailable):
            await platform.put(KIND, NAME, {"n": 2}, version)
        assert (await platform.get(KIND, NAME)).value == {"n": 2}
        if form is STORE_FORM:
            assert store.write_calls == {KIND: 2}

    run_on_store(form, use)


def test_era_is_reported_and_an_equal_write_keeps_the_version():
    async def use(platform, store):
        assert await platform.read(KIND, NAME) == Reading(None, 7)
        assert await platform.put(KIND, NAME, {}, None) == WriteResult(1, None, 7)
        assert await platform.put(KIND, NAME, {}, 1) == WriteResult(1, None, 7)
        assert await platform.read(KIND, NAME) == Reading((KIND, NAME, 1, {}), 7)
        assert (await platform.put(KIND, NAME, {}, None)).era == 7
        assert await platform.delete(KIND, NAME, 1) == WriteResult(2, None, 7)
        assert await platform.delete(KIND, NAME, 1) == WriteResult(None, None, 7)

    run_on_store(STORE_FORM, use)


@each_form
@pytest.mark.parametrize(
    ("status", "body"),
    [
        *((404, body) for body in (b"", b"<html>", b"[]")),
        *((status, b"{}") for status in (409, 410, 429, 503)),
    ],
)
def test_refusal_or_answer_of_another_server_is_no_outcome(form, status, body):
    # Guards against an object that is taken for missing because the address of the
    # store belongs to another server for a while.
    class Handler(RequestHandler):
        def prepare(self):
            self.set_status(status)
            self.finish(body)

    async def run():
        async with serve(Application([(".*", Handler)]), form) as platform:
            with pytest.raises(PlatformUnavailable):
                await platform.read(KIND, NAME)
            for version in (None, 3):
                with pytest.raises(PlatformUnavailable):
                    await platform.put(KIND, NAME, {}, version)
            with pytest.raises(PlatformUnavailable):
                await platform.delete(KIND, NAME, 3)

    asyncio.run(run())
