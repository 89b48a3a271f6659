"""How a router reads the configuration: from the store, from peers, and how much."""

import asyncio
import math

import pytest

from tamarackrill.decisions.configuration import (
    ChangeSet,
    ConfigurationDigest,
    ConfigurationStore,
    ObjectVersion,
)
from tamarackrill.decisions.members import PiggybackedEntries
from tamarackrill.decisions.membership import PeerStateReceived
from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.configuring import Configurer
from tamarackrill.store_api import Listing, PlatformObject

KIND = "config"
PATIENCE_S = 10.0


class Store:
    """A store whose answers begin at once and end when they may."""

    def __init__(self):
        self.version = 1
        self.may_begin = asyncio.Event()
        self.may_end = asyncio.Event()
        self.may_begin.set()
        self.may_end.set()
        self.asked = []
        self.answered = []

    async def list(self, kind, on_begin):
        self.asked.append("list")
        return await self._answer([self.version], on_begin)

    async def watch(self, kind, since, wait_s, on_begin, max_bytes):
        self.asked.append("watch")
        if self.version == since:
            await asyncio.sleep(wait_s)
        return await self._answer(range(since + 1, self.version + 1), on_begin)

    async def _answer(self, versions, on_begin):
        await self.may_begin.wait()
        on_begin()
        revision = self.version
        await self.may_end.wait()
        self.answered.append(f"{self.asked[-1]} of {len(versions)}")
        items = tuple(PlatformObject(KIND, "main", v, {"v": v}) for v in versions)
        return Listing(items, revision)


def make_digest(version):
    held = ConfigurationStore()
    held.apply_version(KIND, "main", version, {"v": version})
    return held.digest(KIND)._replace(complete=version)


class Follower:
    """A configurer with stand-ins around it."""

    def __init__(self):
        self.store = Store()
        self.held = ConfigurationStore()
        self.now_s = 100.0
        self.pulled = []
        self.peer_version = 0
        self.may_send = asyncio.Event()
        self.may_send.set()
        self.answers = []
        self.configurer = Configurer(
            self.held,
            self.store,
            lambda taken: None,
            self._pull,
            lambda: self.now_s,
            (KIND,),
            read_directly=(KIND,),
        )
        self.configurer.on_answer = lambda *answer: self.answers.append(answer)
        self.configurer.find_watch_s = lambda kind: 0.01

    async def _pull(self, address, kind, since):
        self.pulled.append(address)
        version = self.peer_version
        await self.may_send.wait()
        if version <= since:
            return ChangeSet(kind, (), since, False)
        item = ObjectVersion(kind, "main", version, {"v": version})
        return ChangeSet(kind, (item,), version, False)

    def hear(self, version):
        digest = ConfigurationDigest(KIND, version, version, version + 1000)
        heard = PeerStateReceived("peer", "peer:1", (digest,), PiggybackedEntries())
        self.configurer.hear_peer(heard)

    def hear_news(self, version, as_of_s=math.inf):
        digest = make_digest(version)
        self.configurer.hear_news("peer", "peer:1", digest, as_of_s)

    async def wait(self, condition):
        async with asyncio.timeout(PATIENCE_S):
            while not condition():
                await asyncio.sleep(0.001)


def play(act):
    async def run():
        follower = Follower()
        try:
            await act(follower)
        finally:
            await follower.configurer.stop()

    asyncio.run(run())


def test_manifest_that_is_being_read_is_not_pulled_from_a_peer_too():
    # Many routers are restarted at once, and each reads the manifest from the store.
    # Each asked a peer for the same hundreds of kilobytes as well; both came over the
    # same thin link, and the peer's own link was full.  Callers waited, and the next
    # change of the manifest came late.
    async def act(follower):
        follower.store.may_end.clear()
        await follower.configurer.start()
        await follower.wait(lambda: follower.configurer._begun_s)
        follower.hear(1)
        await follower.wait(lambda: not follower.configurer._pulls)
        assert not follower.pulled
        follower.store.may_end.set()
        await follower.wait(lambda: follower.held.get(KIND, "main"))
        assert not follower.pulled

    play(act)


def test_router_that_starts_lets_the_store_answer_before_it_asks_a_peer():
    # Half of a fleet is restarted at once.  Each router hears of one that was left
    # before the store's first byte is there; that one had to send five manifests at
    # once, and refused its own callers for two seconds.
    async def act(follower):
        follower.store.may_begin.clear()
        follower.store.may_end.clear()
        await follower.configurer.start()
        await follower.wait(lambda: follower.store.asked)
        follower.hear(1)
        follower.store.may_begin.set()
        await follower.wait(lambda: not follower.configurer._pulls)
        assert not follower.pulled

    play(act)


def test_router_that_has_started_asks_no_peer_for_what_the_store_has_told():
    async def act(follower):
        follower.store.may_begin.clear()
        await follower.configurer.start()
        await follower.wait(lambda: follower.store.asked)
        follower.hear(1)
        follower.store.may_begin.set()
        await follower.wait(lambda: follower.held.get(KIND, "main"))
        await follower.wait(lambda: not follower.configurer._pulls)
        assert not follower.pulled

    play(act)


def test_router_that_holds_nothing_asks_a_peer_while_the_store_is_silent():
    async def act(follower):
        follower.store.may_begin.clear()
        await follower.configurer.start()
        await follower.wait(lambda: follower.store.asked)
        follower.hear(1)
        await follower.wait(lambda: follower.pulled)

    play(act)


def test_answer_to_a_call_that_was_given_up_is_not_one_that_is_read():
    # The store is slow, and a call is given up; its answer comes all the same.  A
    # router that took it for one being read would ask no peer any more, and send work
    # to endpoints that have long been leaving.
    async def act(follower):
        begins = []

        async def give_up(kind, on_begin):
            begins.append(on_begin)
            raise PlatformUnavailable("the answer did not begin in time")

        follower.store.list = give_up
        await follower.configurer.start()
        await follower.wait(lambda: begins)
        await asyncio.sleep(0)
        begins[0]()
        follower.hear(1)
        await follower.wait(lambda: follower.pulled)

    play(act)


def test_evidence_is_as_old_as_the_beginning_of_the_answer():
    # An answer of half a megabyte takes more than a second over a thin link.  Taken for
    # fresh when its last byte comes, it is believed for a second too long, by the whole
    # zone; a key that was taken away meanwhile goes on being served.
    async def act(follower):
        follower.store.may_end.clear()
        await follower.configurer.start()
        await follower.wait(lambda: follower.configurer._begun_s)
        follower.now_s += 1.2
        follower.store.may_end.set()
        await follower.wait(lambda: follower.answers)
        assert follower.answers[0] == (KIND, 100.0)

    play(act)


def test_answer_is_told_of_after_what_it_brought_was_taken():
    # Guards against fresh evidence of what a router held before the answer: whoever
    # hears it believes that the change has not been made, and passes nothing on.
    async def act(follower):
        held = []
        follower.configurer.on_answer = lambda kind, as_of_s: held.append(
            follower.held.get_complete(kind)
        )
        await follower.configurer.start()
        await follower.wait(lambda: held)
        follower.store.version = 2
        await follower.wait(lambda: 2 in held)
        assert held[0] == 1

    play(act)


def test_router_that_knows_of_a_newer_version_reads_the_newest_alone():
    # Operators change the manifest five times while a router rests on another's word.
    # It then read five manifests over its thin link, one after the other, before the
    # newest was in force.
    async def act(follower):
        rest_s = 3600.0
        follower.configurer.find_rest_s = lambda kind, now_s: rest_s
        await follower.configurer.start()
        await follower.wait(lambda: follower.held.get(KIND, "main"))
        follower.store.version = 6
        follower.hear(6)
        await follower.wait(lambda: follower.held.get_complete(KIND) == 6)
        assert follower.store.asked == ["list", "list"]

    play(act)


def test_router_that_has_missed_versions_lists_until_it_has_caught_up():
    # An answer that holds several versions took long to read, and more were written
    # meanwhile.  Reading each of them, a router falls further behind.
    async def act(follower):
        await follower.configurer.start()
        await follower.wait(lambda: follower.held.get(KIND, "main"))
        follower.store.version = 3
        answered = follower.store.answered
        await follower.wait(lambda: "watch of 2" in answered)
        seen = answered.index("watch of 2")
        await follower.wait(lambda: len(answered) > seen + 2)
        assert answered[seen + 1 : seen + 3] == ["list of 1", "watch of 0"]

    play(act)


async def start_and_rest(follower):
    follower.configurer.find_rest_s = lambda kind, now_s: 3600.0
    await follower.configurer.start()
    await follower.wait(lambda: follower.held.get(KIND, "main"))


def test_changed_manifest_comes_from_the_router_that_tells_of_it():
    # Guards against a call to the store by each router for each change.
    async def act(follower):
        await start_and_rest(follower)
        follower.peer_version = 2
        follower.hear_news(2)
        await follower.wait(lambda: follower.held.get_complete(KIND) == 2)
        assert follower.store.asked == ["list"]

    play(act)


@pytest.mark.parametrize("sends", ["nothing new", "nothing at all"])
def test_store_is_asked_if_the_router_that_tells_does_not_send(sends):
    # Guards against waiting for a router that is frozen, or that has lost what it told.
    async def act(follower):
        await start_and_rest(follower)
        follower.store.version = 2
        if sends == "nothing at all":
            follower.may_send.clear()
        follower.hear_news(2)
        await follower.wait(lambda: follower.held.get_complete(KIND) == 2)
        assert follower.store.asked == ["list", "list"]

    play(act)


def test_another_change_during_a_pull_is_pulled_next():
    # Guards against a call to the store by each router when changes come quickly.
    async def act(follower):
        await start_and_rest(follower)
        follower.may_send.clear()
        follower.peer_version = 2
        follower.hear_news(2)
        await follower.wait(lambda: follower.pulled)
        follower.peer_version = 3
        follower.hear_news(3)
        follower.may_send.set()
        await follower.wait(lambda: follower.held.get_complete(KIND) == 3)
        assert follower.store.asked == ["list"]

    play(act)


def test_what_the_store_said_before_it_was_lost_does_not_tell_that_it_is_back():
    # Guards against calls again and again to a store that is down, since bulletins from
    # before go on arriving.
    async def act(follower):
        lost = []
        follower.configurer.on_store = lost.append
        await start_and_rest(follower)
        follower.now_s = 110.0
        follower.configurer._report(lost=True, reason="silent")
        follower.hear_news(1, as_of_s=109.0)
        assert lost[-1]
        follower.hear_news(1, as_of_s=110.5)
        assert not lost[-1]

    play(act)


def test_store_that_is_lost_is_found_back_with_one_kind_alone():
    # Guards against twice the calls to a store that is down.
    async def act(follower):
        configurer = follower.configurer
        configurer._report(lost=True, reason="silent")
        waiting = asyncio.create_task(
            configurer._pause_before_retry("endpoint", 3600.0)
        )
        await asyncio.sleep(0)
        configurer._report(lost=False)
        await asyncio.wait_for(waiting, PATIENCE_S)

    play(act)
