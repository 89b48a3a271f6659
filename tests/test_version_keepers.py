"""Decisions about the versions of streams, without a network."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.loop_activity import TICK_S, LoopActivity
from tamarackrill.decisions.stream_archive import (
    ArchiveBuffer,
    ArchivedStreams,
    choose_archiver,
    find_archive_wait,
    find_write_interval_s,
    format_streams,
)
from tamarackrill.decisions.stream_versions import (
    KEEPERS,
    RETURN_SLACK_S,
    KeeperReply,
    Router,
    StreamRecord,
    StreamVersions,
    choose_asked,
    choose_keepers,
    identify_stream,
)
from tamarackrill.decisions.version_evidence import (
    HALF,
    VersionNews,
    conclude,
    find_reach,
    list_told_zones,
    must_check_store,
)
from tamarackrill.decisions.version_records import (
    VersionRecord,
    find_recorder_rank,
    lacks_version,
    update_record,
)

LIFETIME_S = 15.0
LATE_MAX_S = 1.5
NEWS_MAX_S = 2.0
STANDSTILL_MIN_S = 1.0
READ_S = 0.004
HOUSEKEEPING_S = 0.25
SERVICE = "writer"


def make_endpoint(version):
    return Endpoint(
        f"e-{version}", "engine", (SERVICE,), "", "z", software_version=version
    )


def make_routers(count, zones):
    return tuple(Router(f"router-{n}", f"zone-{n % zones}") for n in range(count))


@pytest.mark.parametrize("count", [8, 60, 370])
@given(stream=st.integers(0, 1 << 62), number=st.integers(0, 7))
def test_keepers_are_in_the_own_zone_and_in_another(count, stream, number):
    routers = make_routers(count, 4)
    teller = routers[number]
    zones = {router.name: router.zone for router in routers}
    own, other = choose_keepers(stream, routers, teller)
    assert own != teller.name
    assert zones[own] == teller.zone
    assert zones[other] != teller.zone


@given(st.integers(0, 1 << 62))
def test_only_router_of_its_zone_tells_two_other_zones(stream):
    routers = (*make_routers(6, 3), Router("alone", "zone-9"))
    zones = {router.name: router.zone for router in routers}
    told = choose_keepers(stream, routers, routers[-1])
    assert len({zones[name] for name in told}) == KEEPERS


@given(st.integers(0, 1 << 62), st.data())
def test_keepers_are_asked_after_the_loss_of_a_router(stream, data):
    # Guards against questions that miss the keepers as the lists of routers differ.
    routers = make_routers(60, 4)
    teller, asker, lost = data.draw(
        st.lists(st.sampled_from(routers), min_size=3, max_size=3, unique=True)
    )
    left = tuple(router for router in routers if router != lost)
    for before, after in ((routers, left), (left, routers)):
        told = set(choose_keepers(stream, before, teller)) - {lost.name, asker.name}
        assert told <= set(choose_asked(stream, after, asker))


def test_streams_begun_before_a_second_version_are_told_once_it_serves():
    versions = StreamVersions(0.0)
    versions.observe_endpoints([make_endpoint("v1")], LIFETIME_S, 0.0)
    assert not versions.begin(1, SERVICE, "v1", 1.0)
    assert not versions.begin(2, SERVICE, "v1", 1.0)
    versions.end(2)
    both = [make_endpoint("v1"), make_endpoint("v2")]
    told = versions.observe_endpoints(both, LIFETIME_S, 2.0)
    assert told == [StreamRecord(1, "v1")]
    assert versions.observe_endpoints(both, LIFETIME_S, 3.0) == []
    assert versions.begin(3, SERVICE, "v2", 3.0)


def test_version_counts_as_long_as_its_streams_may_last():
    # Guards against a stream of a version that has just left, which is taken for one of
    # the version that is left.
    versions = StreamVersions(0.0)
    both = [make_endpoint("v1"), make_endpoint("v2")]
    versions.observe_endpoints(both, LIFETIME_S, 0.0)
    left_s = LIFETIME_S + RETURN_SLACK_S
    versions.observe_endpoints(both[1:], LIFETIME_S, left_s)
    assert versions.list_versions(SERVICE, left_s) == ["v1", "v2"]
    assert versions.list_versions(SERVICE, left_s + 0.1) == ["v2"]


UNKNOWING = KeeperReply("", ("v2",), False)
KNOWING = KeeperReply("", ("v2",), True)
# A router whose news are outdated.
CUT = KeeperReply("", ("v2",), False, True)
BOTH = KeeperReply("", ("v1", "v2"), False)
FOUND = KeeperReply("v2", (), False)


def make_news(own, near=None, far=None, **fields):
    """Return the news of a router with replies of a near and a far one."""
    replies = {Router("near", "a"): near, Router("far", "b"): far}
    given = {router: reply for router, reply in replies.items() if reply is not None}
    reach = (1 + len(given)) / (1 + len(replies))
    return VersionNews(own, given, {"a", "b"}, "a", **{"reach": reach, **fields})


@pytest.mark.parametrize(
    "own, near, far, store, expected",
    [
        (BOTH, KNOWING, FOUND, "unasked", ("v2", "")),
        (BOTH, KNOWING, KNOWING, "confirmed", (None, "")),
        (KNOWING, KNOWING, BOTH, "confirmed", (None, "")),
        (CUT, KNOWING, KNOWING, "unasked", ("v2", "peers")),
        (UNKNOWING, KNOWING, KNOWING, "unasked", ("v2", "peers")),
        (KNOWING, None, None, "unasked", (None, "")),
        (KNOWING, None, None, "unreachable", (None, "")),
        (KNOWING, None, None, "confirmed", ("v2", "store")),
        (KNOWING, KNOWING, None, "unasked", (None, "")),
        (KNOWING, KNOWING, None, "unreachable", ("v2", "outage")),
        (UNKNOWING, KNOWING, None, "confirmed", ("v2", "store")),
        (UNKNOWING, UNKNOWING, UNKNOWING, "unreachable", (None, "")),
        (UNKNOWING, UNKNOWING, UNKNOWING, "confirmed", (None, "")),
        (UNKNOWING, None, None, "confirmed", (None, "")),
        (CUT, CUT, None, "unreachable", ("v2", "outage")),
        (CUT, None, None, "unreachable", (None, "")),
        (UNKNOWING, UNKNOWING, None, "unreachable", (None, "")),
        (BOTH, CUT, CUT, "unreachable", (None, "")),
        (KNOWING, UNKNOWING, KNOWING, "unasked", ("v2", "peers")),
        (UNKNOWING, UNKNOWING, KNOWING, "unasked", (None, "")),
        (CUT, CUT, CUT, "unasked", (None, "")),
        (CUT, CUT, CUT, "confirmed", (None, "")),
        (CUT, CUT, CUT, "unreachable", ("v2", "outage")),
        (UNKNOWING, CUT, UNKNOWING, "unreachable", ("v2", "outage")),
        (KeeperReply("", (), True), KNOWING, KNOWING, "unasked", ("v2", "peers")),
        (KeeperReply("", (), True), None, None, "confirmed", (None, "")),
    ],
)
def test_version_is_concluded_only_if_no_other_is_possible(
    own, near, far, store, expected
):
    # Guards against streams joined from two versions after all routers have restarted,
    # or by a router that nobody could tell: the only version that they see need not be
    # the one that began the stream.
    assert conclude(make_news(own, near, far, store=store)) == expected


@pytest.mark.parametrize(
    "store, expected", [("unasked", None), ("confirmed", "v2"), ("unreachable", "v2")]
)
def test_other_keepers_do_not_stand_for_one_that_is_silent(store, expected):
    # Guards against a stream of a version that nobody who replies has heard of yet, and
    # whose keepers are silent, or can't be found as it isn't named.
    news = make_news(KNOWING, KNOWING, KNOWING, store=store, is_certain=False)
    assert conclude(news)[0] == expected


@pytest.mark.parametrize(
    "reply, store, expected",
    [(KNOWING, "unasked", "v2"), (CUT, "confirmed", None), (CUT, "unreachable", None)],
)
def test_zone_without_routers_counts_in_an_outage_only(reply, store, expected):
    # Guards against a read of the store for each stream in a deployment with such a
    # zone, and against routers of it that were always cut off and begin streams.
    news = make_news(CUT, reply, reply, store=store, unseen_zones=["c"])
    assert conclude(news)[0] == expected


@pytest.mark.parametrize(
    "own, reach, expected",
    [(KNOWING, 0.5, "v2"), (KNOWING, 0.49, None), (CUT, 0.51, "v2"), (CUT, 0.5, None)],
)
def test_enough_routers_must_reply_while_the_store_is_away(own, reach, expected):
    # Guards against routers that are cut off from others, which may begin streams at a
    # new version.
    news = make_news(own, far=CUT, reach=reach, store="unreachable", is_certain=False)
    assert conclude(news)[0] == expected
    assert conclude(news._replace(replies={}))[0] is None


@pytest.mark.parametrize(
    "routers, zones, lost, silent_zones, reach",
    [
        (4, 2, 0, 1, 1 / 2),
        (4, 2, 2, 0, 2 / 3),
        (6, 3, 0, 1, 2 / 3),
        (60, 6, 0, 2, 2 / 3),
        (370, 8, 0, 8, 1 / 370),
        (370, 8, 370, 0, 1 / 2),
    ],
)
def test_few_routers_of_each_zone_stand_for_all(
    routers, zones, lost, silent_zones, reach
):
    fleet = make_routers(routers, zones)
    silent = {f"zone-{number}" for number in range(zones - silent_zones, zones)}
    asked = choose_asked(7, fleet, fleet[0])
    near = {router.name for router in fleet if router.zone not in silent}
    replied = near.intersection(asked)
    found = find_reach(fleet[0], fleet, lost, asked, replied)
    if silent_zones == zones:
        # This router stands for one of the four that are asked in its zone.
        reach *= 370 / 8 / 4
    assert found == pytest.approx(reach, abs=0.01)


def test_new_version_is_held_back_where_few_know_it():
    # Guards against routers that are cut off and begin streams at a version of which
    # the others, which don't reach the store, can't hear.
    versions = StreamVersions(0.0)
    versions.observe_endpoints([make_endpoint("v1")], LIFETIME_S, 0.0)
    both = [make_endpoint("v1"), make_endpoint("v2")]
    versions.observe_endpoints(both, LIFETIME_S, 30.0)
    versions.observe_recorded(SERVICE, ["v1", "v2"])
    for now_s, known, joining in (
        (30.0 + NEWS_MAX_S, ["v1"], {"v2"}),
        (60.0, ["v1"], {"v2"}),
        (60.0, ["v1", "v2"], set()),
        (61.0, [], set()),
    ):
        assert versions.list_joining(SERVICE, NEWS_MAX_S, now_s, known) == joining
    assert versions.list_with_joining() == []


@pytest.mark.parametrize("own, expected", [(CUT, "v2"), (UNKNOWING, None)])
def test_only_router_needs_nobody(own, expected):
    news = VersionNews(own, {}, (), is_alone=True)
    assert conclude(news)[0] == expected
    # One that has found no other router isn't the only one.
    assert conclude(news._replace(is_alone=False))[0] is None


@pytest.mark.parametrize(
    "own, zones", [("router-0", {"zone-0", "zone-1"}), ("alone", {"zone-0", "zone-1"})]
)
def test_own_zone_counts_if_it_has_other_routers(own, zones):
    routers = (*make_routers(4, 2), Router("alone", "zone-9"))
    (router,) = (r for r in routers if r.name == own)
    told = list_told_zones(router, routers, {r.zone for r in routers} - {"zone-9"})
    assert told == zones
    assert list_told_zones(router, [router], {router.zone}) == set()


def test_pause_is_noticed_before_any_timer():
    # Guards against a router that answers what waited for it before it has noticed that
    # it stood still.
    activity = LoopActivity(0.0, 0.0)
    for tick in range(1, 21):
        activity.observe(tick * TICK_S, tick * TICK_S)
    assert activity.find_resumed_s(2.1, 2.1) < 0.0
    assert activity.find_resumed_s(5.0, 5.0) == 5.0
    assert activity.find_arrived_s(5.05, 5.05) == pytest.approx(2.1)
    assert activity.find_resumed_s(5.1, 5.1) == 5.0
    assert activity.find_arrived_s(5.2, 5.2) == 5.2
    # Suspension of the VM counts, though the other clock stands still.
    assert activity.find_resumed_s(5.25, 9.0) == 5.25


def test_router_that_stood_still_has_no_history_to_tell():
    # Guards against a router that answers the questions that waited for it from what it
    # knew before.
    versions = StreamVersions(0.0)
    for now_s in range(60):
        versions.observe_endpoints([make_endpoint("v1")], LIFETIME_S, now_s)
    told = [
        versions.describe(SERVICE, 0, 60.0, *state)[2:]
        for state in (
            (True, False, False),
            (False, False, False),
            (True, True, False),
            (True, True, True),
        )
    ]
    assert told == [(True, True), (False, True), (False, True), (False, False)]


def test_version_that_left_is_forgotten_though_routers_learn_from_each_other():
    # Guards against routers that tell each other of a version for ever after it left.
    routers = [StreamVersions(0.0) for _ in range(4)]
    for now_s in range(120):
        serving = ["v2"] if now_s >= 20 else ["v1", "v2"]
        for router in routers:
            router.observe_endpoints(map(make_endpoint, serving), LIFETIME_S, now_s)
        asker = routers[now_s % 4]
        replies = [r.describe(SERVICE, 0, now_s) for r in routers if r is not asker]
        asker.learn(SERVICE, replies, now_s)
    assert {*map(tuple, (r.list_versions(SERVICE, 120) for r in routers))} == {("v2",)}


def test_router_without_news_has_no_history():
    # Guards against a router that doesn't know of versions which came and went while it
    # had no news, and whose knowledge others rely on.
    versions = StreamVersions(0.0)
    versions.observe_endpoints([make_endpoint("v1")], LIFETIME_S, 0.0)
    versions.observe_endpoints([make_endpoint("v1")], LIFETIME_S, 60.0, False)
    versions.observe_endpoints([make_endpoint("v1")], LIFETIME_S, 61.0)
    assert versions.describe(SERVICE, 0, 61.0)[2:] == (False, True)
    versions.learn_record(SERVICE, ["v1", "v2"], True, 62.0, is_news=True)
    assert versions.describe(SERVICE, 0, 62.0)[1:] == (("v1", "v2"), True, True)


def test_streams_begun_under_a_longer_timeout_are_remembered():
    # Guards against versions forgotten too early, once a manifest shortens timeouts.
    versions = StreamVersions(0.0)
    versions.observe_endpoints([make_endpoint("v1")], 0.0, 0.0)
    versions.observe_endpoints([make_endpoint("v1")], LIFETIME_S, 1.0)
    versions.observe_endpoints([make_endpoint("v2")], 1.0, 2.0)
    assert versions.list_versions(SERVICE, LIFETIME_S) == ["v1", "v2"]
    late_s = 1.0 + LIFETIME_S + RETURN_SLACK_S
    versions.observe_endpoints([make_endpoint("v2")], 1.0, late_s)
    assert versions.list_versions(SERVICE, late_s) == ["v2"]


@pytest.mark.parametrize("count, archivers", [(1, 1), (16, 1), (17, 2), (46, 3)])
@given(stream=st.integers(0, (1 << 63) - 1))
def test_archiver_is_one_of_a_few_routers_of_the_zone(count, archivers, stream):
    routers = make_routers(count * 8, 8)
    names = {choose_archiver(s, routers, routers[0]) for s in range(8)}
    assert len(names) <= archivers
    zones = {router.name: router.zone for router in routers}
    assert zones[choose_archiver(stream, routers, routers[3])] == routers[3].zone


@pytest.mark.parametrize("count, interval_s", [(8, 0.3), (370, 0.5)])
def test_writes_of_a_fleet_are_bounded(count, interval_s):
    routers = make_routers(count, 8)
    assert find_write_interval_s(routers) == pytest.approx(interval_s)


@given(
    st.lists(
        st.builds(
            StreamRecord,
            st.integers(0, (1 << 63) - 1),
            st.sampled_from(["v1", "v2"]),
            st.just(False),
        ),
        unique_by=lambda record: record.stream,
    )
)
def test_records_of_streams_are_read_as_written(records):
    archived = ArchivedStreams()
    for half in (records[::2], records[1::2]):
        archived.add(json.loads(json.dumps(format_streams(half))))
    archived.sort()
    assert len(archived) == len(records)
    assert archived.find(-1) is None
    for record in records:
        assert archived.find(record.stream) == record.software_version


@pytest.mark.parametrize(
    "value",
    [None, [], {}, {"streams": 1}, {"streams": {"v": 3}}, {"streams": {"v": "AA=="}}],
)
def test_objects_of_others_are_invalid(value):
    with pytest.raises(ValueError):
        ArchivedStreams().add(value)
    with pytest.raises(ValueError):
        VersionRecord.parse(value)


def test_archive_keeps_what_clients_may_still_take_up():
    # Guards against records that are overwritten while their streams may come back.
    buffer, objects, written_s = ArchiveBuffer(), {}, {}
    for step in range(200):
        now_s = step * 0.5
        buffer.add(StreamRecord(step, "v1"))
        batch = buffer.take(now_s)
        objects[batch.segment] = {record.stream for record in batch.records}
        buffer.observe_written(batch, LIFETIME_S, now_s)
        assert not buffer.has_unwritten
        written_s[step] = now_s
        kept = set().union(*objects.values())
        assert {s for s in written_s if now_s - written_s[s] <= LIFETIME_S} <= kept
    assert len(kept) < 2.5 * LIFETIME_S / 0.5


@pytest.mark.parametrize(
    "silent, lost_s, lost_zones, deadline_s, expected",
    [
        # All have replied: it is refused at once.
        ((), {}, (), 120.0, None),
        ((), {"a": 100.0 - LIFETIME_S - 0.1}, (), 120.0, None),
        ((), {"a": 99.0}, (), 120.0, (100.4, 101.5)),
        ((), {}, ("zone-9",), 120.0, (100.4, 101.5)),
        (("a",), {}, (), 120.0, (100.4, 101.5)),
        (("a",), {}, (), 102.0, (100.4, 101.0)),
        # No time would be left for the stream.
        (("a",), {}, (), 100.6, None),
    ],
)
def test_stream_that_a_lost_router_may_archive_is_waited_for(
    silent, lost_s, lost_zones, deadline_s, expected
):
    # Guards against refusals of streams that the archive has a moment later, and
    # against waits for streams that it can't have.
    found = find_archive_wait(
        silent, lost_s, lost_zones, make_routers(8, 4), LIFETIME_S, 100.0, deadline_s
    )
    assert found == (expected and pytest.approx(expected))


class StoreModel:
    """Store with the record of one service, and the streams of archivers."""

    def __init__(self):
        self.is_up = True
        self.era = 1
        self.record = None
        self.streams = {}
        self.copy = (None, {})


class RouterModel:
    """One process of a router, and what it has read from the store.

    Attributes
    ----------
    unreached : set of str
        "store" and "peers" if it reaches these not.
    queue : list of StreamRecord or None
        What it is told while it stands still.
    """

    def __init__(self, router, fleet):
        self.own = router
        self.fleet = fleet
        self.state = StreamVersions(fleet.now_s)
        self.buffer = ArchiveBuffer()
        self.session = fleet.sessions = fleet.sessions + 1
        self.era = None
        self.was_current = True
        self.unreached = set()
        self.queue = None
        # Stood still, perhaps for long, and has not heard of the endpoints since.
        self.has_paused = self.has_stood_still = False
        self.stopped_s = fleet.now_s
        self.observed_s = fleet.now_s

    def reaches_store(self):
        return self.fleet.store.is_up and "store" not in self.unreached

    def reaches(self, process):
        is_near = self.fleet.is_near(self.own, process.own)
        return is_near and "peers" not in (self.unreached | process.unreached)

    def stop(self):
        self.queue = []
        self.stopped_s = self.fleet.now_s

    def go_on(self):
        self.has_paused = True
        self.has_stood_still |= self.fleet.now_s - self.stopped_s >= STANDSTILL_MIN_S
        self.read_queue()
        self.queue = None

    def read_queue(self):
        for record in self.queue or ():
            self.state.keep(record, self.fleet.now_s)

    def describe(self, stream):
        now_s, is_current = self.fleet.now_s, self.fleet.is_current(self)
        is_current = is_current and now_s - self.observed_s <= NEWS_MAX_S
        return self.state.describe(
            SERVICE, stream, now_s, is_current, self.has_paused, self.has_stood_still
        )

    def list_known(self):
        """Return the routers that it doesn't take for dead."""
        if "peers" in self.unreached and self.fleet.now_s - self.unreached_s > 5.0:
            return (self.own,)
        if self.fleet.now_s - self.fleet.partitioned_s > 5.0:
            return tuple(
                r for r in self.fleet.routers if self.fleet.is_near(self.own, r)
            )
        return self.fleet.list_up()

    def observe(self):
        if self.queue is not None:
            return
        endpoints = [make_endpoint(version) for version in self.fleet.seen_by(self)]
        is_current = self.fleet.is_current(self)
        observed_s, self.observed_s = self.observed_s, self.fleet.now_s
        is_current = is_current and self.observed_s - observed_s <= NEWS_MAX_S
        if self.own.name not in self.fleet.outdated and self.fleet.store.is_up:
            self.has_paused = self.has_stood_still = False
        if is_current and not self.was_current:
            self.era = None
        self.was_current = is_current
        for record in self.state.observe_endpoints(
            endpoints, LIFETIME_S, self.fleet.now_s, is_current
        ):
            self.tell(record)

    def tell(self, record):
        routers = self.list_known()
        for name in choose_keepers(record.stream, routers, self.own):
            keeper = self.fleet.processes[name]
            if self.reaches(keeper) and keeper.queue is None:
                keeper.state.keep(record, self.fleet.now_s)
            elif self.reaches(keeper):
                keeper.queue.append(record)
        archiver = self.fleet.processes[
            choose_archiver(record.stream, routers, self.own)
        ]
        if archiver is self or (self.reaches(archiver) and archiver.queue is None):
            archiver.buffer.add(record)

    def read_record(self, is_news=False):
        store = self.fleet.store
        self.era = store.era
        if store.record is not None:
            self.state.learn_record(
                SERVICE,
                store.record.versions,
                store.record.era == store.era,
                self.fleet.now_s,
                is_news=is_news,
            )
            self.state.observe_recorded(SERVICE, store.record.versions)

    def use_records(self):
        """Do what a router does with the store's records within a second."""
        fleet, store = self.fleet, self.fleet.store
        if self.era != store.era:
            self.read_record(is_news=True)
        if store.record is not None and lacks_version(
            store.record, SERVICE, self.state, fleet.now_s
        ):
            self.read_record()
        names = [router.name for router in fleet.list_up()]
        if find_recorder_rank(self.own.name, names) is not None:
            is_current = fleet.is_current(self)
            if store.record is not None:
                self.read_record()
            wanted = update_record(
                store.record, SERVICE, self.state, store.era, is_current, fleet.now_s
            )
            store.record = wanted or store.record
            self.read_record()

    def find(self, stream):
        fleet, state, now_s = self.fleet, self.state, self.fleet.now_s
        known = state.find(stream)
        if known is not None:
            return known
        asked = choose_asked(stream, self.list_known(), self.own)
        replies = self.ask(stream)
        state.learn(SERVICE, replies.values(), now_s)
        news = VersionNews(
            self.describe(stream),
            replies,
            list_told_zones(
                self.own, self.list_known(), {router.zone for router in fleet.routers}
            ),
            self.own.zone,
            (),
            len(replies) == len(asked),
            self.find_reach(stream, replies),
        )
        if must_check_store(news):
            is_read = self.reaches_store()
            if is_read:
                self.check_store()
                now_s = fleet.now_s
            news = news._replace(
                own=self.describe(stream),
                store="confirmed" if is_read else "unreachable",
            )
        found = conclude(news)[0]
        if found is not None or not self.reaches_store():
            return found
        self.read_archive()
        wait = find_archive_wait(
            set(asked).difference(router.name for router in replies),
            {} if self.list_known() == fleet.routers else {"lost": now_s},
            (),
            self.list_known(),
            state.lifetime_s,
            now_s,
            now_s + LIFETIME_S,
        )
        if state.find(stream) is None and wait is not None:
            fleet.archive(wait.sent_s)
            self.read_archive()
        return state.find(stream)

    def ask(self, stream):
        """Return the replies of those that may know a stream."""
        asked = choose_asked(stream, self.list_known(), self.own)
        return {
            process.own: process.describe(stream)
            for process in map(self.fleet.processes.get, asked)
            if self.reaches(process) and process.queue is None
        }

    def find_reach(self, stream, replies, ended=()):
        known = self.list_known()
        return find_reach(
            self.own,
            known,
            len(set(self.fleet.routers).difference(known, ended)),
            choose_asked(stream, known, self.own),
            {router.name for router in replies},
        )

    def list_joining(self, is_most):
        """Return the versions at which no stream begins if they have most slots."""
        stream, fleet = identify_stream(SERVICE), self.fleet
        replies = self.ask(stream)
        ended = self.list_ended()
        if is_most and self.find_reach(stream, replies, ended) > HALF:
            return set()
        known = [
            version
            for version in self.state.list_versions(SERVICE, fleet.now_s)
            if self.find_reach(
                stream,
                {r for r, reply in replies.items() if version in reply.versions},
                ended,
            )
            >= HALF
        ]
        return self.state.list_joining(SERVICE, NEWS_MAX_S, fleet.now_s, known)

    def list_ended(self):
        """Return the routers whose addresses refuse connections."""
        fleet = self.fleet
        return {
            router
            for router in fleet.routers
            if router.name not in fleet.processes
            and fleet.is_near(self.own, router)
            and "peers" not in self.unreached
        }

    def misses_reply(self, stream):
        """Return whether a router doesn't reply that may know a stream."""
        asked = choose_asked(stream, self.list_known(), self.own)
        processes = [self.fleet.processes[name] for name in asked]
        return not all(self.reaches(p) and p.queue is None for p in processes)

    def read_archive(self):
        store = self.fleet.store
        records = [r for batch in store.streams.values() for r in batch]
        self.state.take_archived(dict(r[:2] for r in records).get, self.fleet.now_s)

    def write_archive(self):
        if self.buffer.has_unwritten:
            batch = self.buffer.take(self.fleet.now_s)
            name = self.own.name, self.session, batch.segment
            self.fleet.store.streams[name] = batch.records
            self.buffer.observe_written(batch, self.state.lifetime_s, self.fleet.now_s)

    def check_store(self):
        """Read what has changed."""
        fleet, name = self.fleet, self.own.name
        fleet.now_s += READ_S
        fleet.late.pop(name, None)
        if name in fleet.outdated:
            fleet.outdated[name] = list(fleet.serving)
            fleet.cut_s[name] = fleet.now_s
        self.has_paused = self.has_stood_still = False
        self.observe()
        if self.era is None or not self.state.has_history(SERVICE, fleet.now_s):
            self.read_record(is_news=True)


class StreamsOfAFleet(RuleBasedStateMachine):
    """Routers that begin streams, end, and get the streams of others."""

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.sessions = 0
        self.serving = ["v1"]
        self.served = {"v1": 0.0}
        # What routers without news know, and those whose news are on the way.
        self.outdated, self.late, self.cut_s = {}, {}, {}
        # Zones that don't reach the others.
        self.cut_zones, self.partitioned_s = set(), 0.0
        self.store = StoreModel()
        self.routers = make_routers(8, 4)
        self.processes = {}
        self.begun = {}
        self.start_routers([router.name for router in self.routers])
        self.wait(1.0)

    def is_near(self, router, other):
        return (router.zone in self.cut_zones) == (other.zone in self.cut_zones)

    def list_up(self):
        return tuple(r for r in self.routers if r.name in self.processes)

    def will_archive(self, stream):
        """Return whether a running archiver has a stream still to write."""
        return any(
            any(
                record.stream == stream
                for record in process.buffer.take(self.now_s).records
            )
            for process in self.processes.values()
            if process.queue is None and process.reaches_store()
        )

    def archive(self, until_s):
        """Let the archivers that run write what they have."""
        self.now_s = until_s
        for process in self.processes.values():
            if process.queue is None and process.reaches_store():
                process.write_archive()

    def seen_by(self, process):
        name = process.own.name
        return self.outdated.get(name) or self.late.get(name) or self.serving

    def is_current(self, process):
        is_cut = process.own.name in self.outdated
        cut_s = self.cut_s[process.own.name] if is_cut else self.now_s
        down_s = self.now_s if self.store.is_up else self.down_s
        return self.now_s - min(cut_s, down_s) < NEWS_MAX_S

    def start_routers(self, names):
        for router in self.routers:
            if router.name in names:
                self.processes[router.name] = RouterModel(router, self)
        self.observe()

    def observe(self):
        self.served |= dict.fromkeys(self.serving, self.now_s)
        for process in self.processes.values():
            process.observe()

    @rule(data=st.data())
    def begin(self, data):
        self.begin_stream(data)

    def begin_stream(self, data, names=()):
        names = sorted(names or self.processes)
        process = self.processes[data.draw(st.sampled_from(names))]
        if process.queue is not None:
            return
        usable = set(self.seen_by(process)).intersection(self.serving)
        joining = process.list_joining(data.draw(st.booleans()))
        # With new versions only, streams begin at once, and may be refused.
        if not usable.difference(joining):
            return
        version = data.draw(st.sampled_from(sorted(usable.difference(joining))))
        stream = identify_stream(f"attempt-{len(self.begun)}")
        self.begun[stream] = (version, self.now_s)
        if process.state.begin(stream, SERVICE, version, self.now_s):
            process.tell(StreamRecord(stream, version))

    @rule(
        versions=st.sampled_from([["v1"], ["v2"], ["v1", "v2"], ["v2", "v3"]]),
        wait_s=st.sampled_from([0.0, 0.5]),
        data=st.data(),
    )
    def change_versions(self, versions, wait_s, data):
        if not self.store.is_up:
            return
        names = st.sets(st.sampled_from(sorted(self.processes)))
        self.late = dict.fromkeys(data.draw(names), self.serving)
        self.serving = versions
        self.observe()
        self.wait(wait_s)

    @rule(seconds=st.sampled_from([0.1, 0.5, 5.0, 20.0]))
    def wait(self, seconds):
        for _ in range(max(1, round(seconds))):
            self.now_s += min(1.0, seconds)
            if seconds >= LATE_MAX_S:
                self.late.clear()
            self.observe()
            for process in list(self.processes.values()):
                if process.queue is not None:
                    continue
                process.state.expire(self.now_s)
                if process.reaches_store() and seconds >= 0.5:
                    process.use_records()
                    process.write_archive()

    @rule(data=st.data())
    def restart_routers(self, data):
        names = data.draw(st.sets(st.sampled_from(sorted(self.processes)), min_size=1))
        self.replace_routers(names, self.serving)

    @rule(versions=st.sampled_from([None, ["v1"], ["v2"], ["v2", "v3"]]))
    def restart_all_routers(self, versions):
        """Kill all routers; endpoints may be replaced while these are down.

        What a router finds as it starts is on record before all are killed again.
        """
        if not self.store.is_up:
            versions = None
        for process in self.processes.values():
            if process.queue is None and process.reaches_store():
                process.use_records()
        self.replace_routers(set(self.processes), versions or self.serving)

    def replace_routers(self, names, versions):
        for name in names:
            del self.processes[name]
            self.outdated.pop(name, None)
            self.late.pop(name, None)
        self.serving = versions
        self.start_routers(names)

    @rule()
    def restart_in_turn(self):
        for router in self.routers:
            self.replace_routers([router.name], self.serving)
            self.wait(0.5)

    @rule(data=st.data())
    def cut_off(self, data):
        name = data.draw(st.sampled_from(sorted(self.processes)))
        if self.processes[name].unreached:
            return
        if self.outdated.pop(name, None) is None:
            self.outdated[name] = list(self.seen_by(self.processes[name]))
            self.cut_s[name] = self.now_s
        self.observe()

    @rule(
        unreached=st.sampled_from([{"store"}, {"peers"}, {"store", "peers"}]),
        data=st.data(),
    )
    def isolate(self, unreached, data):
        """Cut a router off from the store, the others or both, or heal that."""
        name = data.draw(st.sampled_from(sorted(self.processes)))
        process = self.processes[name]
        self.outdated.pop(name, None)
        if process.unreached:
            process.unreached = set()
        else:
            process.unreached, process.unreached_s = unreached, self.now_s
            if "store" in unreached:
                self.outdated[name] = list(self.seen_by(process))
                self.cut_s[name] = self.now_s

    @rule(
        zones=st.sampled_from([{"zone-0"}, {"zone-0", "zone-1"}]),
        has_store=st.sampled_from([(True, True), (True, False), (False, True)]),
    )
    def partition(self, zones, has_store):
        """Cut zones off from the others, and one side from the store, or heal that."""
        is_healed, self.partitioned_s = bool(self.cut_zones), self.now_s
        self.cut_zones = set() if is_healed else zones
        for name, process in self.processes.items():
            self.outdated.pop(name, None)
            process.unreached = set()
            if not is_healed and not has_store[process.own.zone not in zones]:
                process.unreached, process.unreached_s = {"store"}, self.now_s
                self.outdated[name] = list(self.seen_by(process))
                self.cut_s[name] = self.now_s

    @rule(data=st.data())
    def stand_still(self, data):
        """Stop a router, or let it go on; it looks at nothing by itself."""
        process = self.processes[data.draw(st.sampled_from(sorted(self.processes)))]
        if process.queue is None:
            process.stop()
        else:
            process.go_on()

    @rule()
    def toggle_store(self):
        self.down_s = self.now_s
        self.store.is_up = not self.store.is_up

    @rule()
    def copy_store(self):
        self.store.copy = self.store.record, dict(self.store.streams)

    @rule()
    def restore_store(self):
        self.store.record, self.store.streams = self.store.copy
        self.store.copy = self.store.record, dict(self.store.streams)
        self.store.era += 1

    @precondition(lambda self: self.begun)
    @rule(data=st.data())
    def take_up(self, data):
        stream = data.draw(st.sampled_from(sorted(self.begun)))
        process = self.processes[data.draw(st.sampled_from(sorted(self.processes)))]
        self.check(stream, process)

    @precondition(lambda self: self.store.is_up)
    @rule(
        versions=st.sampled_from([["v2"], ["v1", "v2"]]),
        waits_s=st.sampled_from([(0.5,), (0.9, 1.0), (5.0,), (6.0,)]),
        zones=st.sampled_from([{"zone-0"}, {"zone-0", "zone-1"}]),
        is_inside=st.booleans(),
        was_calm=st.booleans(),
        data=st.data(),
    )
    def release_while_partitioned(
        self, versions, waits_s, zones, is_inside, was_calm, data
    ):
        """Begin a stream on the side that reaches the store; take it up everywhere.

        The other side's news become too old before it looks at its endpoints again.
        """
        if was_calm:
            self.calm_down()
        if not self.cut_zones:
            self.partition(zones, (is_inside, not is_inside))
        self.late, self.serving = {}, versions
        self.observe()
        for wait_s in waits_s:
            self.wait(wait_s)
        self.now_s += HOUSEKEEPING_S
        for process in self.processes.values():
            if process.reaches_store():
                process.observe()
        self.begin_stream(
            data, [n for n, p in self.processes.items() if p.reaches_store()]
        )
        for process in self.processes.values() if self.begun else ():
            self.check([*self.begun][-1], process)

    def calm_down(self):
        """Let one version serve all routers for longer than any stream lasts."""
        self.cut_zones, self.outdated, self.late = set(), {}, {}
        self.partitioned_s = self.now_s
        for process in self.processes.values():
            process.unreached = set()
            if process.queue is not None:
                process.go_on()
        self.serving = ["v1"]
        self.wait(3 * LIFETIME_S)

    @precondition(lambda self: any(p.unreached for p in self.processes.values()))
    @rule(data=st.data())
    def take_up_unreached(self, data):
        """Begin a stream beside another version, and take it up at a cut-off router."""
        if self.store.is_up:
            self.serving = ["v1", "v2"]
            self.observe()
        self.begin_stream(data)
        cut = sorted(name for name, p in self.processes.items() if p.unreached)
        process = self.processes[data.draw(st.sampled_from(cut))]
        if self.begun:
            self.check([*self.begun][-1], process)

    def check(self, stream, process):
        """Check what a router finds of a stream."""
        version, begun_s = self.begun[stream]
        if self.now_s - begun_s > LIFETIME_S or process.queue is not None:
            return
        batches = self.store.streams.values()
        is_archived = any(r.stream == stream for batch in batches for r in batch)
        is_archived |= process.misses_reply(stream) and self.will_archive(stream)
        found = process.find(stream)
        assert found in (version, None)
        oldest_s = self.now_s - 3 * (LIFETIME_S + RETURN_SLACK_S)
        versions = {v for v, last_s in self.served.items() if last_s >= oldest_s}
        versions.update(self.serving)
        is_known = is_archived or versions == {version}
        if process.reaches_store() and self.store.era == 1 and is_known:
            assert found == version


TestStreamsOfAFleet = StreamsOfAFleet.TestCase
