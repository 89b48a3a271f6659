"""Synchronization of the configuration with the store and with peers."""

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
from tamarackrill.router.configuring import ConfigurationSync
from tamarackrill.router.platform_client import WatchLost
from tamarackrill.store_api import Listing, PlatformObject

KIND = "config"
TIMEOUT_S = 10.0


class Store:
    """A store whose answers begin and end when the test lets them."""

    def __init__(self):
        self.version = 1
        self.may_begin = asyncio.Event()
        self.may_end = asyncio.Event()
        self.may_begin.set()
        self.may_end.set()
        self.asked = []
        self.answered = []

    async def list(self, kind, on_first_byte):
        self.asked.append("list")
        return await self._answer([self.version], on_first_byte)

    async def watch(self, kind, since, wait_s, on_first_byte, max_bytes):
        self.asked.append("watch")
        if self.version == since:
            await asyncio.sleep(wait_s)
        return await self._answer(range(since + 1, self.version + 1), on_first_byte)

    async def _answer(self, versions, on_first_byte):
        await self.may_begin.wait()
        on_first_byte()
        revision = self.version
        await self.may_end.wait()
        self.answered.append(f"{self.asked[-1]} of {len(versions)}")
        items = tuple(PlatformObject(KIND, "main", v, {"v": v}) for v in versions)
        return Listing(items, revision)


def make_digest(version):
    held = ConfigurationStore()
    held.apply_version(KIND, "main", version, {"v": version})
    return held.digest(KIND)._replace(complete=version)


class Harness:
    """A `ConfigurationSync` with a fake store and a fake peer."""

    def __init__(self):
        self.store = Store()
        self.held = ConfigurationStore()
        self.now_s = 100.0
        self.pulled = []
        self.peer_version = 0
        self.may_send = asyncio.Event()
        self.may_send.set()
        self.answers = []
        self.configuration_sync = ConfigurationSync(
            self.held,
            self.store,
            lambda taken: None,
            self._pull,
            lambda: self.now_s,
            (KIND,),
            large_kinds=(KIND,),
        )
        self.configuration_sync.on_answer = lambda *answer: self.answers.append(answer)
        self.configuration_sync.find_watch_s = lambda kind: 0.01

    async def _pull(self, address, kind, since):
        self.pulled.append(address)
        version = self.peer_version
        await self.may_send.wait()
        if version <= since:
            return ChangeSet(kind, (), since, False)
        item = ObjectVersion(kind, "main", version, {"v": version})
        return ChangeSet(kind, (item,), version, False)

    def receive_peer_state(self, version):
        digest = ConfigurationDigest(KIND, version, version, version + 1000)
        heard = PeerStateReceived("peer", "peer:1", (digest,), PiggybackedEntries())
        self.configuration_sync.observe_peer_state(heard)

    def observe_evidence(self, version, as_of_s=math.inf):
        digest = make_digest(version)
        self.configuration_sync.observe_evidence("peer", "peer:1", digest, as_of_s)

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.001)


def run_scenario(scenario):
    async def run():
        harness = Harness()
        try:
            await scenario(harness)
        finally:
            await harness.configuration_sync.stop()

    asyncio.run(run())


def test_manifest_being_read_is_not_also_pulled_from_a_peer():
    # Many routers restart at once, and each reads the manifest from the store.  If each
    # also pulls the same hundreds of kilobytes from a peer, both transfers share a slow
    # link and the peer's own link is saturated: callers wait, and the next change of
    # the manifest is late.
    async def scenario(harness):
        harness.store.may_end.clear()
        await harness.configuration_sync.start()
        await harness.wait_until(lambda: harness.configuration_sync._first_byte_s)
        harness.receive_peer_state(1)
        await harness.wait_until(lambda: not harness.configuration_sync._pulls)
        assert not harness.pulled
        harness.store.may_end.set()
        await harness.wait_until(lambda: harness.held.get(KIND, "main"))
        assert not harness.pulled

    run_scenario(scenario)


def test_starting_router_waits_for_the_store_before_it_pulls_from_a_peer():
    # Half of a fleet restarts at once.  Each router learns of one that kept running
    # before the store's first byte arrives; if all pull, that one sends five manifests
    # at once and refuses its own callers for two seconds.
    async def scenario(harness):
        harness.store.may_begin.clear()
        harness.store.may_end.clear()
        await harness.configuration_sync.start()
        await harness.wait_until(lambda: harness.store.asked)
        harness.receive_peer_state(1)
        harness.store.may_begin.set()
        await harness.wait_until(lambda: not harness.configuration_sync._pulls)
        assert not harness.pulled

    run_scenario(scenario)


def test_starting_router_does_not_pull_what_the_store_has_delivered():
    async def scenario(harness):
        harness.store.may_begin.clear()
        await harness.configuration_sync.start()
        await harness.wait_until(lambda: harness.store.asked)
        harness.receive_peer_state(1)
        harness.store.may_begin.set()
        await harness.wait_until(lambda: harness.held.get(KIND, "main"))
        await harness.wait_until(lambda: not harness.configuration_sync._pulls)
        assert not harness.pulled

    run_scenario(scenario)


def test_starting_router_pulls_from_a_peer_if_the_store_does_not_answer():
    async def scenario(harness):
        harness.store.may_begin.clear()
        await harness.configuration_sync.start()
        await harness.wait_until(lambda: harness.store.asked)
        harness.receive_peer_state(1)
        await harness.wait_until(lambda: harness.pulled)

    run_scenario(scenario)


def test_late_answer_to_a_timed_out_call_does_not_prevent_pulls():
    # The store is slow and a call times out, but its answer still arrives.  A router
    # that counts it as an answer being read would never pull again, and would send
    # requests to endpoints that have long been leaving.
    async def scenario(harness):
        callbacks = []

        async def time_out(kind, on_first_byte):
            callbacks.append(on_first_byte)
            raise PlatformUnavailable("the answer did not begin in time")

        harness.store.list = time_out
        await harness.configuration_sync.start()
        await harness.wait_until(lambda: callbacks)
        await asyncio.sleep(0)
        callbacks[0]()
        harness.receive_peer_state(1)
        await harness.wait_until(lambda: harness.pulled)

    run_scenario(scenario)


def test_evidence_is_dated_before_the_answer_is_read():
    # An answer of half a megabyte takes more than a second over a slow link.  Dated by
    # its last byte, it counts as fresh a second too long in the whole zone, and a key
    # that was revoked meanwhile is still accepted.
    async def scenario(harness):
        harness.store.may_end.clear()
        await harness.configuration_sync.start()
        await harness.wait_until(lambda: harness.configuration_sync._first_byte_s)
        harness.now_s += 1.2
        harness.store.may_end.set()
        await harness.wait_until(lambda: harness.answers)
        assert harness.answers[0] == (KIND, 100.0)

    run_scenario(scenario)


def test_answer_is_reported_after_its_changes_are_applied():
    # Guards against fresh evidence for the configuration from before the answer: its
    # receivers would conclude that nothing has changed, and forward no change.
    async def scenario(harness):
        held = []
        harness.configuration_sync.on_answer = lambda kind, as_of_s: held.append(
            harness.held.get_complete(kind)
        )
        await harness.configuration_sync.start()
        await harness.wait_until(lambda: held)
        harness.store.version = 2
        await harness.wait_until(lambda: 2 in held)
        assert held[0] == 1

    run_scenario(scenario)


def test_router_that_knows_of_a_newer_version_reads_only_the_newest():
    # Operators change the manifest five times while a router relies on another's
    # evidence.  With a watch it would then read five manifests over its slow link, one
    # after the other, before the newest is in force.
    async def scenario(harness):
        poll_delay_s = 3600.0
        harness.configuration_sync.find_poll_delay_s = lambda kind, now_s: poll_delay_s
        await harness.configuration_sync.start()
        await harness.wait_until(lambda: harness.held.get(KIND, "main"))
        harness.store.version = 6
        harness.receive_peer_state(6)
        await harness.wait_until(lambda: harness.held.get_complete(KIND) == 6)
        assert harness.store.asked == ["list", "list"]

    run_scenario(scenario)


def test_router_that_missed_versions_lists_until_it_has_caught_up():
    # An answer with several versions takes long to read, and more are written
    # meanwhile.  A router that reads every version falls further behind.
    async def scenario(harness):
        await harness.configuration_sync.start()
        await harness.wait_until(lambda: harness.held.get(KIND, "main"))
        harness.store.version = 3
        answered = harness.store.answered
        await harness.wait_until(lambda: "watch of 2" in answered)
        seen = answered.index("watch of 2")
        await harness.wait_until(lambda: len(answered) > seen + 2)
        assert answered[seen + 1 : seen + 3] == ["list of 1", "watch of 0"]

    run_scenario(scenario)


async def start_with_fresh_evidence(harness):
    harness.configuration_sync.find_poll_delay_s = lambda kind, now_s: 3600.0
    await harness.configuration_sync.start()
    await harness.wait_until(lambda: harness.held.get(KIND, "main"))


def test_changed_manifest_is_pulled_from_the_router_that_advertises_it():
    # Guards against one call to the store per router for each change.
    async def scenario(harness):
        await start_with_fresh_evidence(harness)
        harness.peer_version = 2
        harness.observe_evidence(2)
        await harness.wait_until(lambda: harness.held.get_complete(KIND) == 2)
        assert harness.store.asked == ["list"]

    run_scenario(scenario)


@pytest.mark.parametrize("sends", ["nothing new", "nothing at all"])
def test_store_is_read_if_the_advertising_router_does_not_send(sends):
    # Guards against waiting for a peer that is frozen or has lost what it advertised.
    async def scenario(harness):
        await start_with_fresh_evidence(harness)
        harness.store.version = 2
        if sends == "nothing at all":
            harness.may_send.clear()
        harness.observe_evidence(2)
        await harness.wait_until(lambda: harness.held.get_complete(KIND) == 2)
        assert harness.store.asked == ["list", "list"]

    run_scenario(scenario)


def test_another_change_during_a_pull_is_pulled_next():
    # Guards against one call to the store per router when changes follow quickly.
    async def scenario(harness):
        await start_with_fresh_evidence(harness)
        harness.may_send.clear()
        harness.peer_version = 2
        harness.observe_evidence(2)
        await harness.wait_until(lambda: harness.pulled)
        harness.peer_version = 3
        harness.observe_evidence(3)
        harness.may_send.set()
        await harness.wait_until(lambda: harness.held.get_complete(KIND) == 3)
        assert harness.store.asked == ["list"]

    run_scenario(scenario)


def test_evidence_from_before_the_loss_of_the_store_does_not_end_it():
    # Guards against repeated calls to a store that is down, caused by late bulletins
    # from before the outage.
    async def scenario(harness):
        lost = []
        harness.configuration_sync.on_platform_state = lost.append
        await start_with_fresh_evidence(harness)
        harness.now_s = 110.0
        harness.configuration_sync._set_platform_lost(lost=True, reason="silent")
        harness.observe_evidence(1, as_of_s=109.0)
        assert lost[-1]
        harness.observe_evidence(1, as_of_s=110.5)
        assert not lost[-1]

    run_scenario(scenario)


def test_recovery_of_the_store_is_probed_with_one_kind_only():
    # Guards against doubling the calls to a store that is down.
    async def scenario(harness):
        configuration_sync = harness.configuration_sync
        configuration_sync._set_platform_lost(lost=True, reason="silent")
        waiting = asyncio.create_task(
            configuration_sync._pause_before_retry("endpoint", 3600.0)
        )
        await asyncio.sleep(0)
        configuration_sync._set_platform_lost(lost=False)
        await asyncio.wait_for(waiting, TIMEOUT_S)

    run_scenario(scenario)


def test_change_read_after_standing_still_is_dated_when_it_may_have_arrived():
    # Guards against a router that tells others, as of now, what it knew before it stood
    # still.
    async def scenario(harness):
        sync = harness.configuration_sync
        await sync.start()
        await harness.wait_until(lambda: len(harness.answers) > 1)
        harness.store.may_begin.clear()
        harness.store.version = 2
        sync.find_arrived_s = lambda now_s: 100.5
        await asyncio.sleep(0.05)
        harness.now_s = 109.0
        harness.store.may_begin.set()
        await harness.wait_until(lambda: harness.held.get_complete(KIND) == 2)
        assert harness.answers[-1][1] <= 100.5

    run_scenario(scenario)


@pytest.mark.parametrize("is_gone", [False, True])
def test_changes_are_read_by_a_call_that_is_sent_now(is_gone):
    # Guards against a decision that rests on a call sent before its question was asked.
    async def scenario(harness):
        sync, store = harness.configuration_sync, harness.store
        calls, current = [], []
        sync.on_current = lambda *answer: current.append(answer)

        async def watch(kind, since, wait_s):
            calls.append((since, wait_s))
            if is_gone:
                raise WatchLost("gone")
            return Listing((PlatformObject(KIND, "main", 2, {"v": 2}),), 2)

        async def read_all(kind):
            calls.append("list")
            return Listing((PlatformObject(KIND, "main", 2, {"v": 2}),), 2)

        await sync.start()
        await harness.wait_until(lambda: harness.held.get_complete(KIND) == 1)
        await sync.stop()
        store.watch, store.list = watch, read_all
        harness.now_s = 101.0
        await sync.read_changes(KIND)
        assert calls == [(1, 0.0), *["list"] * is_gone]
        assert harness.held.get_complete(KIND) == 2
        assert current == [(KIND, 101.0)]

    run_scenario(scenario)
