"""What routers tell one another of leaving and ended endpoints."""

import asyncio
import json

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackrill.decisions.configuration import (
    ChangeSet,
    ConfigurationStore,
    ObjectVersion,
)
from tamarackrill.decisions.lapses import EXPIRY_GRACE_S, SILENT_ENTRY_S
from tamarackrill.decisions.leaving import TOLD_MAX, FleetNews, LeavingEndpoints
from tamarackrill.decisions.leaving import LeavingReport as Report
from tamarackrill.router import fleet_news
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_app import READERS
from tamarackrill.router.fleet_news import (
    ANSWER_TIMEOUT_S,
    ASKED_IN_ALL_MAX,
    ASKED_MAX,
    KNOWS_AFTER_S,
    FleetNewsExchange,
)
from tamarackrill.router.members import Member, Members
from tamarackrill.router.peer_api import PeerUnavailable
from tamarackrill.testing.worker import Worker, answer_ok

NEWS = FleetNews((("w1", 3),), True, (("desk", 6),), 16)


def make_entry(name, state="ready", born=3, revision=5):
    spec = Worker(name, answer_ok).describe("desk", state=state, born=born)
    return ObjectVersion("servers", name, revision, {**spec, "address": "10.0.0.1:80"})


@pytest.mark.parametrize("is_listed_first", [False, True])
def test_entries_of_a_copy_do_not_hide_what_another_router_knows(is_listed_first):
    # Guards against a router that starts from a copy in which a leaving endpoint is
    # ready.
    view = DeploymentView(READERS)

    def take_all():
        for name in ("w1", "w2"):
            view.take(make_entry(name), 1.0)

    def learn():
        view.observe_leaving_news(NEWS, 1.0)

    for act in (take_all, learn) if is_listed_first else (learn, take_all):
        act()
    assert [e.name for e in view.list_live("desk")] == ["w2"]
    # One that restarts is new.
    view.take(make_entry("w1", born=4, revision=6), 6.0)
    assert sorted(e.name for e in view.list_live("desk")) == ["w1", "w2"]


def test_view_tells_what_it_was_told():
    view = DeploymentView(READERS)
    view.observe_leaving_news(NEWS, 1.0)
    assert view.list_leaving_news(1.0).leaving == NEWS.leaving


def test_entry_that_one_router_has_put_aside_is_not_kept_from_others():
    # Guards against routers that tell each other of entries that they have put aside
    # after a restore, until no router uses endpoints that are alive.
    views = [DeploymentView(READERS) for _ in range(2)]
    views[0].take(make_entry("w1"), 0.0)
    views[0].take(ObjectVersion("servers", "w1", 6, None), 1.0)
    views[0].observe_restored("servers", 2.0)
    views[0].take(make_entry("w1"), 2.0)
    assert not views[0].list_live("desk")
    views[1].take(make_entry("w1"), 2.0)
    views[1].observe_leaving_news(views[0].list_leaving_news(2.0), 2.0)
    assert [e.name for e in views[1].list_live("desk")] == ["w1"]


class StoreRouter:
    """What one router knows of the endpoints, by lists and by what others tell it."""

    def __init__(self):
        self.store = ConfigurationStore()
        self.view = DeploymentView(READERS, store=self.store)

    def list_all(self, listing, now_s):
        changes = ChangeSet("servers", listing.objects, listing.revision, True)
        had_era = self.store.get_era("servers")
        applied = self.store.apply_changes(changes._replace(era=listing.era))
        if had_era and listing.era > had_era:
            self.view.observe_restored("servers", now_s)
        for item in applied:
            self.view.take(item, now_s)
        self.view.expire(now_s)

    def learn(self, other, now_s):
        news = other.view.list_leaving_news(now_s)
        text = json.dumps(news).encode()
        self.view.observe_leaving_news(FleetNews.parse(text), now_s)

    def list_used(self):
        return {endpoint.name for endpoint in self.view.list_live("desk")}


class Listing:
    """The store's entries, and its copies."""

    def __init__(self):
        self.era, self.revision, self.objects = 1, 1, ()

    def write(self, name, is_deleted=False):
        self.revision += 1
        kept = tuple(item for item in self.objects if item.name != name)
        entry = () if is_deleted else (make_entry(name, revision=self.revision),)
        self.objects = kept + entry

    def copy(self):
        return self.revision, self.objects

    def restore(self, copy):
        self.era += 1
        self.revision, self.objects = copy

    def list_names(self):
        return {item.name for item in self.objects}


@pytest.mark.parametrize("is_listed_first", [False, True])
@pytest.mark.parametrize("is_rewritten", [False, True])
def test_deletion_before_a_restore_is_told_until_the_entry_is_written(
    is_listed_first, is_rewritten
):
    # Guards against routers that start from a copy and use an endpoint whose entry was
    # deleted, and against ones that don't use it though it has been written again.
    listing, old, new = Listing(), StoreRouter(), StoreRouter()
    listing.write("w1")
    listing.write("w2")
    old.list_all(listing, 0.0)
    copy = listing.copy()
    listing.write("w1", is_deleted=True)
    old.list_all(listing, 1.0)
    listing.restore(copy)
    old.list_all(listing, 2.0)
    if is_rewritten:
        listing.write("w1")
        old.list_all(listing, 2.5)
    steps = [lambda: new.list_all(listing, 3.0), lambda: new.learn(old, 3.0)]
    for act in steps if is_listed_first else reversed(steps):
        act()
    assert ("w1" in old.list_used(), "w1" in new.list_used()) == (is_rewritten,) * 2
    # One that is kept by the store is alive, and no later at the router that was told.
    new.list_all(listing, 2.0 + SILENT_ENTRY_S)
    assert new.list_used() == {"w1", "w2"}


def test_deletion_is_told_to_the_router_after_next():
    # Guards against a rolling update after a restore, whose last routers are told by
    # ones that have been told themselves.
    listing, routers = Listing(), [StoreRouter() for _ in range(4)]
    listing.write("w1")
    routers[0].list_all(listing, 0.0)
    copy = listing.copy()
    listing.write("w1", is_deleted=True)
    routers[0].list_all(listing, 1.0)
    listing.restore(copy)
    routers[0].list_all(listing, 2.0)
    for number, now_s in enumerate((2.5, 3.5, 4.5), start=1):
        routers[number].list_all(listing, now_s)
        routers[number].learn(routers[number - 1], now_s)
        assert not routers[number].list_used()
    # Telling on doesn't keep an endpoint idle for longer.
    routers[3].list_all(listing, 2.0 + SILENT_ENTRY_S)
    assert routers[3].list_used() == {"w1"}


def test_entry_that_a_copy_lacks_is_not_told_as_ended():
    # Guards against routers that keep each other from endpoints that are alive, because
    # their entries were missing after a restore.
    listing, router = Listing(), StoreRouter()
    copy = listing.copy()
    listing.write("w1")
    with_entry = listing.copy()
    router.list_all(listing, 0.0)
    listing.restore(copy)
    for now_s in (10.0, 10.0 + EXPIRY_GRACE_S):
        router.list_all(listing, now_s)
    assert not router.list_used()
    assert not router.view.list_leaving_news(15.0).ended.names
    # It is put aside as it comes back, and is missing again.
    for restored, now_s in ((with_entry, 20.0), (copy, 21.0)):
        listing.restore(restored)
        router.list_all(listing, now_s)
    assert not router.view.list_leaving_news(21.0).ended.names


def test_entry_that_is_kept_after_a_restore_ends_if_another_router_saw_its_end():
    # Guards against a router that had not read a deletion when the store went away, and
    # keeps the entry for the grace period because the copy lacks it.
    listing, old, late = Listing(), StoreRouter(), StoreRouter()
    listing.write("w1")
    for router in (old, late):
        router.list_all(listing, 0.0)
    listing.write("w1", is_deleted=True)
    old.list_all(listing, 1.0)
    listing.restore(listing.copy())
    for router in (old, late):
        router.list_all(listing, 2.0)
    assert late.list_used() == {"w1"}
    late.learn(old, 2.0)
    assert not late.list_used()


def test_endpoint_that_registers_again_after_a_restore_is_used_at_once():
    # Guards against a router that is told of an end in an earlier era, and takes the
    # entry that is written afterwards for one of the copy.
    listing, old, new = Listing(), StoreRouter(), StoreRouter()
    listing.write("w1")
    old.list_all(listing, 0.0)
    listing.write("w1", is_deleted=True)
    old.list_all(listing, 1.0)
    copy = listing.copy()
    listing.restore(copy)
    for router in (old, new):
        router.list_all(listing, 2.0)
    new.learn(old, 2.0)
    listing.write("w1")
    for router in (old, new):
        router.list_all(listing, 2.5)
        assert router.list_used() == {"w1"}


@pytest.mark.parametrize("lacks_entry", [False, True])
def test_end_counts_over_several_restores(lacks_entry):
    # Guards against an ended endpoint that is used after the second of two restores.
    listing, old, new = Listing(), StoreRouter(), StoreRouter()
    empty = listing.copy()
    listing.write("w1")
    old.list_all(listing, 0.0)
    copy = listing.copy()
    listing.write("w1", is_deleted=True)
    old.list_all(listing, 1.0)
    copies = [copy, empty, copy] if lacks_entry else [copy, copy]
    for now_s, restored in enumerate(copies, start=3):
        listing.restore(restored)
        old.list_all(listing, now_s)
    last_s = now_s + SILENT_ENTRY_S - 0.1
    old.list_all(listing, last_s)
    new.learn(old, last_s)
    new.list_all(listing, last_s)
    assert not old.list_used() | new.list_used()


def test_router_told_while_the_store_is_away_holds_the_entry_after_its_return():
    # Guards against a router that starts during an outage, and counts the time in which
    # the entry must end from its start instead of from the restore.
    listing, old, new = Listing(), StoreRouter(), StoreRouter()
    listing.write("w1")
    old.list_all(listing, 0.0)
    copy = listing.copy()
    listing.write("w1", is_deleted=True)
    old.list_all(listing, 1.0)
    new.learn(old, 2.0)
    listing.restore(copy)
    for now_s in (3.0, 3.0 + SILENT_ENTRY_S - 0.1):
        new.list_all(listing, now_s)
        assert not new.list_used()


NAMES = st.sampled_from(["w1", "w2", "w3"])


class RestoreMachine(RuleBasedStateMachine):
    """Routers that list, start and tell each other, beside writes and restores."""

    def __init__(self):
        super().__init__()
        self.now_s = 10.0
        self.listing = Listing()
        self.copies = [self.listing.copy()]
        self.routers = [StoreRouter() for _ in range(3)]
        # Deleted names that each router must not use until they are written.
        self.known_ended = [set() for _ in self.routers]
        self.settled_s = self.restored_s = 0.0
        self.sync()

    def sync(self):
        for router in self.routers:
            router.list_all(self.listing, self.now_s)

    @rule(name=NAMES)
    def write(self, name):
        self.listing.write(name)
        self.sync()
        for known in self.known_ended:
            known.discard(name)

    @rule(name=NAMES)
    def delete(self, name):
        if name not in self.listing.list_names():
            return
        self.listing.write(name, is_deleted=True)
        self.sync()
        if self.now_s >= self.settled_s:
            for known in self.known_ended:
                known.add(name)

    @rule()
    def copy(self):
        self.copies.append(self.listing.copy())

    @rule(number=st.integers(0, 9))
    def restore(self, number):
        self.listing.restore(self.copies[number % len(self.copies)])
        self.restored_s = self.now_s
        self.settled_s = self.now_s + EXPIRY_GRACE_S
        self.sync()

    @rule(index=st.integers(0, 2), other=st.integers(1, 2), is_listed=st.booleans())
    def replace_router(self, index, other, is_listed):
        teller = (index + other) % 3
        started = self.routers[index] = StoreRouter()
        if is_listed:
            started.list_all(self.listing, self.now_s)
        started.learn(self.routers[teller], self.now_s)
        started.list_all(self.listing, self.now_s)
        self.known_ended[index] = set(self.known_ended[teller])

    @rule(index=st.integers(0, 2), other=st.integers(1, 2))
    def tell(self, index, other):
        self.routers[index].learn(self.routers[(index + other) % 3], self.now_s)

    @rule(for_s=st.sampled_from([0.5, 2.0, 5.0]))
    def pass_time(self, for_s):
        self.now_s += for_s
        self.sync()

    @invariant()
    def uses_no_endpoint_that_is_known_to_have_ended(self):
        if self.now_s < self.restored_s + SILENT_ENTRY_S:
            for router, ended in zip(self.routers, self.known_ended, strict=True):
                assert not router.list_used() & ended

    @invariant()
    def uses_all_endpoints_that_the_store_has_kept(self):
        if self.now_s >= self.restored_s + SILENT_ENTRY_S:
            for router in self.routers:
                assert router.list_used() == self.listing.list_names()
            for known in self.known_ended:
                known -= self.listing.list_names()


TestRestoreMachine = RestoreMachine.TestCase
TestRestoreMachine.settings = settings(max_examples=150, stateful_step_count=25)


def test_only_the_latest_leaving_endpoints_are_told():
    leaving = LeavingEndpoints()
    for number in range(TOLD_MAX + 1):
        leaving.observe(Report(f"w{number}", "object", True))
    leaving.observe(Report("w2", "object", False))
    told = [name for name, _ in leaving.list_recent()]
    assert len(told) == TOLD_MAX
    assert "w2" not in told


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{}",
        b"[1, 2, 3]",
        b'[[["w", "x"]], 1, [], 1]',
        b"[[], true, [], 1, 7]",
        b'[[], true, [], 1, [[["w"]], 1, 0.0]]',
        b'[[], true, [], 1, [[["w", 1]], 1, "x"]]',
        b"[[], true, [], 1, [[], 1, 0.0], 7]",
        b'[[], true, [], 1, [[], 1, 0.0], ["x", 1, false]]',
    ],
)
def test_malformed_answer_is_refused(text):
    with pytest.raises(ValueError):
        FleetNews.parse(text)


class Peers:
    """Other routers, and an exchange that asks them."""

    def __init__(self, monkeypatch, answers, contacts=("a:1", "b:1")):
        monkeypatch.setattr(fleet_news, "RETRIES_S", (0.0, 0.0))
        monkeypatch.setattr(fleet_news, "SPREAD_S", 0.0)
        self.answers = answers
        self.asked = []
        self.learned = []
        self.now_s = 100.0
        self.members = Members(Member("own", "own:1", "z", peer_address="own:1"))
        self.exchange = FleetNewsExchange(
            self.members,
            contacts,
            lambda: NEWS._replace(is_complete=False),
            self.learned.append,
            self.pull,
            lambda: self.now_s,
        )

    async def pull(self, address, uri, timeout_s):
        self.asked.append(address)
        if address not in self.answers:
            raise PeerUnavailable("no answer")
        return self.answers[address]

    async def let_ask(self):
        for _ in range(30):
            await asyncio.sleep(0)


ENCODED = b'[[["w1", 3]], true, [["desk", 6]], 16]'


def test_router_is_told_by_the_contact_that_knows(monkeypatch):
    async def run():
        peers = Peers(monkeypatch, {"b:1": ENCODED})
        assert not peers.exchange.may_serve
        peers.exchange.start()
        await peers.let_ask()
        assert peers.learned == [NEWS]
        assert peers.exchange.may_serve
        assert sorted(peers.asked) == ["a:1", "b:1"]
        assert FleetNews.parse(await peers.exchange.encode_news()).is_complete
        await peers.exchange.stop()

    asyncio.run(run())


def test_router_asks_members_if_no_contact_knows(monkeypatch):
    # Guards against a router whose contacts have just started too.
    async def run():
        peers = Peers(monkeypatch, {"a:1": ENCODED.replace(b"true", b"false")})
        peers.members.replace([Member("c", "c:1", "z", peer_address="c:1")])
        peers.answers["c:1"] = ENCODED
        peers.exchange.start()
        await peers.let_ask()
        assert peers.asked[-1] == "c:1"
        assert peers.learned[-1] == NEWS
        await peers.exchange.stop()

    asyncio.run(run())


def test_router_asks_further_contacts_if_the_first_are_gone(monkeypatch):
    # Guards against a router that starts while many others are replaced, and serves
    # without having been told what the rest of them know.
    async def run():
        contacts = [f"{number}:1" for number in range(ASKED_IN_ALL_MAX)]
        peers = Peers(monkeypatch, {contacts[0]: ENCODED}, contacts)
        peers.exchange.start()
        await peers.let_ask()
        assert peers.learned == [NEWS]
        await peers.exchange.stop()

    asyncio.run(run())


def test_fleet_that_starts_as_a_whole_asks_no_more_than_three_each(monkeypatch):
    # Guards against hundreds of routers that start together and spend their time asking
    # each other, as none of them knows.
    async def run():
        contacts = [f"{number}:1" for number in range(ASKED_IN_ALL_MAX)]
        unaware = ENCODED.replace(b"true", b"false")
        peers = Peers(monkeypatch, dict.fromkeys(contacts, unaware), contacts)
        peers.exchange.start()
        await peers.let_ask()
        assert len(peers.asked) == ASKED_MAX
        await peers.exchange.stop()

    asyncio.run(run())


def test_router_that_nobody_answers_serves_after_a_while(monkeypatch):
    async def run():
        peers = Peers(monkeypatch, {})
        peers.exchange.start()
        peers.now_s += ANSWER_TIMEOUT_S
        assert peers.exchange.may_serve
        assert not FleetNews.parse(await peers.exchange.encode_news()).is_complete
        peers.now_s += KNOWS_AFTER_S
        assert FleetNews.parse(await peers.exchange.encode_news()).is_complete
        await peers.exchange.stop()

    asyncio.run(run())


def test_router_that_is_cut_off_asks_until_it_is_told_of_a_restore(monkeypatch):
    # Guards against a router that reaches nobody in the moment in which it reads the
    # copy, and never learns what left before.
    async def run():
        peers = Peers(monkeypatch, {}, contacts=())
        peers.members.replace([Member("c", "c:1", "z", peer_address="c:1")])
        peers.exchange.ask_again()
        while not peers.asked:
            await asyncio.sleep(0)
        peers.answers["c:1"] = ENCODED
        await peers.let_ask()
        assert peers.learned == [NEWS]
        await peers.exchange.stop()

    asyncio.run(run())


def test_router_asks_again_after_a_restore(monkeypatch):
    # Guards against a router that was cut off while an endpoint began to leave, and
    # then reads the copy.
    async def run():
        peers = Peers(monkeypatch, {"c:1": ENCODED}, contacts=())
        peers.members.replace([Member("c", "c:1", "z", peer_address="c:1")])
        peers.exchange.ask_again()
        await peers.let_ask()
        assert peers.learned == [NEWS]
        await peers.exchange.stop()

    asyncio.run(run())
