"""Gossip between routers about which engines cache a session's prompt."""

import asyncio
import itertools

import pytest

from tamarackrill.decisions.hashing import rank
from tamarackrill.decisions.prompts import PromptPart, list_prefixes
from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.worker import make_streaming

CHAT = make_route("/chat/", "streaming", attempts=1, session_affinity=True)
ENGINES = ("w1", "w2")
NEWCOMER = "w3"


def find_moving_parts():
    """Return a session that rendezvous hashing assigns to the newcomer."""
    for number in itertools.count():
        parts = [PromptPart("kind", 800), PromptPart(f"s{number}", 4000)]
        if rank(find_key(parts), (*ENGINES, NEWCOMER))[0] == NEWCOMER:
            return parts
    raise AssertionError


def find_key(parts):
    return list_prefixes(parts)[0].key


def write_prompt(parts):
    return ",".join([*(f"{part.id}:{part.tokens}" for part in parts), "own:90"])


async def add_engine(fleet, name):
    engine = await fleet.add_worker(name, make_streaming(1), models=[{"name": "m"}])
    for router in fleet.routers:
        await fleet.wait(
            lambda r=router: name in {e.name for e in r.view.list_live("desk")}
        )
    return engine


def list_holders(router, parts):
    return router.placer.index.holders(find_key(parts), router.clock())


@pytest.mark.parametrize("starts", ["before", "after"])
def test_session_stays_at_its_engine_through_any_router(starts):
    # A new engine is the first in rendezvous order for a session that one router has
    # sent to another engine.  The client returns through a router that has never seen
    # the session, or has only just started.  Without gossip that router would send the
    # prompt of thousands of tokens to the new engine, which would have to read it.
    parts = find_moving_parts()
    prompt = write_prompt(parts)

    async def act(fleet):
        await fleet.put_manifest(1, CHAT)
        engines = [await add_engine(fleet, name) for name in ENGINES]
        first = await fleet.add_router("a")
        others = [await fleet.add_router("b")] if starts == "before" else []
        for router in fleet.routers:
            await fleet.wait(lambda r=router: len(r.view.list_live("desk")) == 2)
            await fleet.wait(
                lambda r=router: len(r.members.list_live()) == len(fleet.routers)
            )
        await ask(first, "/chat/a", "id-1", X_Prompt_Prefix=prompt)
        newcomer = await add_engine(fleet, NEWCOMER)
        if starts == "after":
            others = [await fleet.add_router("b")]
        (other,) = others
        await fleet.wait(lambda: list_holders(other, parts))
        await ask(other, "/chat/a", "id-2", X_Prompt_Prefix=prompt)
        assert not newcomer.requests
        assert [len(engine.requests) for engine in engines if engine.requests] == [2]

    async def run():
        async with EdgeFleet() as fleet:
            await act(fleet)

    asyncio.run(run())
