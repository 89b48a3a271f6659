"""Objects that are removed and created again by the next change of the store."""

import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from tamarackrill.decisions import configuration
from tamarackrill.decisions.configuration import (
    ChangeSet,
    ConfigurationStore,
    ObjectVersion,
    needs_changes,
)
from tamarackrill.platform.store import STORE_FORM
from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.object_store import RemovalRevision

KINDS = ("servers", "evacuations", "config")
NAMES = ("a", "b")
PAGE_ITEMS = 1
GRACE_S = 3.0
LOOKUP = make_route("/lookup/", "idempotent")


class StoreHistory:
    """Changes of one store, told in its HTTP API's form."""

    def __init__(self):
        self.changes = []
        self.era = 1

    @property
    def revision(self):
        return len(self.changes)

    def write(self, kind, name, spec):
        self.changes.append(ObjectVersion(kind, name, self.revision + 1, spec))

    def restore(self, lost):
        del self.changes[max(0, self.revision - lost) :]
        self.era += 1

    def find_live(self, kind):
        newest = {c.name: c for c in self.changes if c.kind == kind}
        return {n: c for n, c in newest.items() if c.value is not None}

    def watch(self, kind, since, removal_revision):
        events = []
        last_written = {}
        for change in self.changes:
            if change.kind == kind and change.version > since:
                told = change.version
                if change.value is None:
                    told = {
                        RemovalRevision.REMOVAL: change.version,
                        RemovalRevision.BEFORE_REMOVAL: change.version - 1,
                        RemovalRevision.LAST_WRITE: last_written.get(change.name, 0),
                    }[removal_revision]
                metadata = {"name": change.name, "revision": told}
                written = {"metadata": metadata, "spec": change.value}
                events.append({"object": written, "removed": change.value is None})
            if change.kind == kind:
                last_written[change.name] = change.version
        body = {"events": events, "store_revision": self.revision}
        return STORE_FORM.read_events(kind, body)

    def read_page(self, kind, after):
        live = self.find_live(kind)
        names = sorted(name for name in live if name > after)
        items = [
            {
                "metadata": {"name": name, "revision": live[name].version},
                "spec": live[name].value,
            }
            for name in names[:PAGE_ITEMS]
        ]
        body = {
            "items": items,
            "has_more": len(names) > PAGE_ITEMS,
            "store_revision": self.revision,
        }
        return STORE_FORM.read_page(kind, body)


class RecreatedObjects(RuleBasedStateMachine):
    # Routers list, watch and poll a store, whose removal events tell either revision,
    # and pull from one another, while objects are removed and created again and the
    # store is restored.  Guards against a router that holds on to a removal for good.
    removal_revision = RemovalRevision.REMOVAL

    def __init__(self):
        super().__init__()
        self.history = StoreHistory()
        self.stores = [ConfigurationStore() for _ in range(3)]
        self.pages = {}

    kind = st.sampled_from(KINDS)
    name = st.sampled_from(NAMES)
    index = st.sampled_from([0, 1, 2])

    @rule(kind=kind, name=name)
    def object_is_written(self, kind, name):
        self.history.write(kind, name, {"n": self.history.revision})

    @rule(kind=kind, name=name)
    def object_is_removed(self, kind, name):
        if name in self.history.find_live(kind):
            self.history.write(kind, name, None)

    @rule(kind=kind, name=name, times=st.integers(1, 3))
    def object_is_replaced(self, kind, name, times):
        for _ in range(times):
            self.object_is_removed(kind, name)
            self.object_is_written(kind, name)

    @rule(lost=st.integers(1, 4))
    def store_is_restored(self, lost):
        self.history.restore(lost)
        self.pages.clear()

    @rule(index=index, kind=kind)
    def router_lists_the_first_page(self, index, kind):
        self.pages[index, kind] = [self.history.read_page(kind, "")]

    @rule(index=index, kind=kind)
    def router_lists_the_rest(self, index, kind):
        pages = self.pages.pop((index, kind), None)
        if pages is None:
            return
        while pages[-1].after:
            pages.append(self.history.read_page(kind, pages[-1].after))
        items = tuple(ObjectVersion(*item) for page in pages for item in page.items)
        changes = ChangeSet(kind, items, pages[0].revision, True, self.history.era)
        self.stores[index].apply_changes(changes)

    @rule(index=index, kind=kind)
    def router_watches(self, index, kind):
        store = self.stores[index]
        since = store.get_complete(kind)
        if store.get_era(kind) != self.history.era or since > self.history.revision:
            return
        told = self.history.watch(kind, since, self.removal_revision)
        items = tuple(ObjectVersion(*item) for item in told.items)
        store.apply_changes(
            ChangeSet(kind, items, told.revision, False, self.history.era)
        )
        self.check_store(store, kind)
        for other in KINDS:
            if other != kind and store.advance_if_unchanged(
                other, KINDS, told.revision
            ):
                self.check_store(store, other)

    @rule(index=index, other=index)
    def router_hears_of_another(self, index, other):
        own, peer = self.stores[index], self.stores[other]
        for kind in KINDS:
            digest = peer.digest(kind)
            if not own.is_comparable(digest):
                continue
            if needs_changes(own.digest(kind), digest):
                since = own.find_revision_to_pull(digest)
                own.apply_changes(peer.changes_since(kind, since))
            else:
                own.adopt_complete_revision(digest)

    @rule(index=index)
    def router_catches_up(self, index):
        for kind in KINDS:
            self.router_watches(index, kind)
            if self.stores[index].get_era(kind) != self.history.era:
                self.router_lists_the_first_page(index, kind)
                self.router_lists_the_rest(index, kind)
            self.check_store(self.stores[index], kind)

    @rule(index=index, are_all=st.booleans())
    def change_is_told_to_the_others(self, index, are_all):
        self.router_catches_up(index)
        for other in range(len(self.stores)):
            if are_all:
                self.router_catches_up(other)
            else:
                self.router_hears_of_another(other, index)

    @rule(index=index)
    def router_restarts(self, index):
        self.stores[index] = ConfigurationStore()

    def check_store(self, store, kind):
        live = {item.name: item for item in store.items(kind)}
        assert live == self.history.find_live(kind)

    def teardown(self):
        for index in range(len(self.stores)):
            self.router_catches_up(index)


@pytest.fixture(autouse=True)
def few_tombstones(monkeypatch):
    monkeypatch.setattr(configuration, "TOMBSTONES_MAX", 1)


class RecreatedBeforeRemoval(RecreatedObjects):
    removal_revision = RemovalRevision.BEFORE_REMOVAL


class RecreatedLastWrite(RecreatedObjects):
    removal_revision = RemovalRevision.LAST_WRITE


@pytest.mark.parametrize(
    "machine", [RecreatedObjects, RecreatedBeforeRemoval, RecreatedLastWrite]
)
def test_routers_agree_with_the_store_after_any_changes(machine):
    # Guards against a router that holds on to a removal, or misses one, for good.
    run_state_machine_as_test(
        machine, settings=settings(max_examples=300, stateful_step_count=30)
    )


@pytest.mark.parametrize("removal_revision", RemovalRevision)
def test_router_that_pulls_changes_learns_of_a_removal(removal_revision):
    # Guards against a removal that a peer doesn't send, because its event carries a
    # revision that the router has already reached.
    machine = RecreatedObjects()
    machine.removal_revision = removal_revision
    machine.object_is_written("servers", "a")
    machine.object_is_written("servers", "b")
    for index in (0, 1):
        machine.router_catches_up(index)
    machine.object_is_removed("servers", "a")
    machine.router_catches_up(0)
    machine.router_hears_of_another(1, 0)
    machine.check_store(machine.stores[1], "servers")


@pytest.mark.parametrize("removal_revision", RemovalRevision)
@pytest.mark.parametrize("times", [1, 3])
def test_endpoint_that_is_written_again_at_once_gets_requests(removal_revision, times):
    # Guards against a worker that never gets a request again after its entry was
    # removed and written again by the next change of the store.
    async def run():
        async with EdgeFleet() as fleet:
            fleet.store.removal_revision = removal_revision
            await fleet.put_manifest(1, LOOKUP)
            for name in NAMES:
                await fleet.add_worker(name, zone="z")
            routers = [await fleet.add_router(f"r{n}", "z") for n in range(2)]
            entry = fleet.store.state.read("servers", "a").value
            for _ in range(times):
                await fleet.store.write("servers", "a", None)
                await asyncio.sleep(0.3)
                await fleet.store.write("servers", "a", entry)
                await asyncio.sleep(0.3)
            # A router that has just started keeps removed endpoints for a while.
            await asyncio.sleep(GRACE_S)
            for router in routers:
                await fleet.wait(lambda r=router: r.view.find_endpoint("a") is not None)
            fleet.workers[0].requests.clear()
            for number in range(40):
                router = routers[number % 2]
                assert (await ask(router, "/lookup/x", f"id-{number}")).status == 200
            assert fleet.workers[0].requests

    asyncio.run(run())


@pytest.mark.parametrize("removal_revision", RemovalRevision)
def test_zone_that_is_evacuated_again_at_once_gets_no_request(removal_revision):
    # Guards against routers that ignore the second evacuation of a zone.
    async def run():
        async with EdgeFleet() as fleet:
            fleet.store.removal_revision = removal_revision
            await fleet.put_manifest(1, LOOKUP)
            for zone in NAMES:
                await fleet.add_worker(f"worker-{zone}", zone=zone)
            router = await fleet.add_router(zone="a", has_evacuations=True, zones=NAMES)
            for _ in range(3):
                await fleet.evacuate("a")
                await fleet.wait(lambda: router.view.evacuated_zones == {"a"})
                fleet.workers[0].requests.clear()
                for number in range(12):
                    answer = await ask(router, "/lookup/x", f"id-{number}")
                    assert answer.status == 200
                assert not fleet.workers[0].requests
                await fleet.evacuate("a", False)
                await fleet.wait(lambda: not router.view.evacuated_zones)

    asyncio.run(run())
