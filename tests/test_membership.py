import pytest

from tamarackrill.contracts import Vm
from tamarackrill.decisions import membership
from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.loads import EndpointLoad
from tamarackrill.decisions.members import MemberState, PiggybackedEntries, Purpose
from tamarackrill.decisions.membership import (
    FREEZE_THRESHOLD_S,
    GONE_RETENTION_S,
    SENT_BURST_BYTES,
    SENT_BYTES_PER_S,
    SUSPICION_TIMEOUT_S,
    MemberChanged,
    MemberForgotten,
    Membership,
    ProcessFroze,
    Send,
    StaleMessageDropped,
)
from tamarackrill.testing.gossip import GossipNetwork

ROUTERS = 24
TARGET = "vm-0005"
TICKS_MAX = 120


@pytest.fixture(params=[1, 2, 3])
def network(request):
    network = GossipNetwork(request.param)
    network.start_many(ROUTERS, 3)
    network.run_until(network.has_converged, TICKS_MAX)
    network.changes.clear()
    return network


def is_gone(network, name):
    return set(network.list_seen(name).values()) == {None}


def names_seen(network, name):
    return {record.name for record in network.states[name].live_members()}


def test_killed_router_is_removed_everywhere_though_the_vm_list_has_it(network):
    # A VM fails but stays on the platform's list for minutes.  The chats assigned to it
    # would still be forwarded there, and each would wait for a timeout.
    network.kill(TARGET)
    network.run_until(lambda: is_gone(network, TARGET), TICKS_MAX)
    network.run_until(network.has_converged, TICKS_MAX)


def test_stale_vm_list_removes_no_reachable_router(network):
    # The platform's list comes from a stale copy and lacks most routers.  Removing them
    # would move all their chats at once and lose their caches.
    for state in network.states.values():
        state.update_vm_list([Vm(TARGET, TARGET, "zone-2", peer_address=TARGET)])
    assert network.has_converged()
    network.run(20)
    assert network.has_converged()


def test_vm_listed_as_leaving_gets_no_new_work(network):
    # The platform announces that a VM will go before its router knows.  New chats
    # assigned to it would be cut off or moved within the minute.
    leaving = Vm(TARGET, TARGET, "zone-2", "leaving", TARGET)
    network.states["vm-0000"].update_vm_list([leaving])
    assert TARGET not in names_seen(network, "vm-0000")


def test_healthy_suspect_refutes_before_it_is_removed():
    # The network loses one message in twenty, so healthy routers often miss pings.  If
    # they were removed, chats would move to other routers every minute.
    network = GossipNetwork(1, loss=0.05)
    network.start_many(ROUTERS, 3)
    network.run_until(network.has_converged, TICKS_MAX)
    network.changes.clear()
    network.run(200)
    states = [change.record.state for change in network.changes]
    assert MemberState.SUSPECT in states
    assert MemberState.DEAD not in states


def test_leaving_router_gets_no_new_work_and_is_not_suspected(network):
    # A router is told to stop, finishes its requests and ends.  Without its
    # announcement the others would send it chats until its pings were missed.
    state = network.states[TARGET]
    network.act(TARGET, state.announce(MemberState.LEAVING, network.pick))
    others = [name for name in network.states if name != TARGET]
    network.run_until(
        lambda: all(TARGET not in names_seen(network, name) for name in others), 10
    )
    assert set(network.list_seen(TARGET).values()) == {MemberState.LEAVING}
    network.act(TARGET, state.announce(MemberState.LEFT, network.pick))
    network.kill(TARGET)
    network.run_until(lambda: is_gone(network, TARGET), TICKS_MAX)
    network.run(20)
    states = {change.record.state for change in network.changes}
    assert not states & {MemberState.SUSPECT, MemberState.DEAD}
    assert not any(state.list_dead() for state in network.states.values())


@pytest.mark.parametrize("has_left", [False, True])
def test_router_that_died_may_still_run_unlike_one_that_has_left(network, has_left):
    # Guards against a zone that was taken out of service and is waited for for good.
    if has_left:
        state = network.states[TARGET]
        network.act(TARGET, state.announce(MemberState.LEFT, network.pick))
    network.kill(TARGET)
    network.run_until(lambda: is_gone(network, TARGET), TICKS_MAX)
    observer = network.states["vm-0000"]
    dead = {record.name for record in observer.list_dead()}
    assert dead == (set() if has_left else {TARGET})
    observer.update_vm_list([])
    actions = observer.tick(network.now_s + GONE_RETENTION_S, network.pick)
    assert MemberForgotten(TARGET) in actions
    assert not observer.list_dead()


def test_frozen_router_rejoins_and_suspects_nobody(network):
    # A VM is paused until all others have removed its router.  When it resumes, all its
    # timers are overdue; if they fired, it would remove the whole fleet from its view,
    # and the fleet would not accept it again.
    network.freeze(TARGET)
    network.run_until(lambda: is_gone(network, TARGET), TICKS_MAX)
    network.changes.clear()
    network.wake(TARGET)
    network.run_until(network.has_converged, TICKS_MAX)
    suspected = {
        c.record.name for c in network.changes if c.record.state.name != "ALIVE"
    }
    assert not suspected - {TARGET}


def test_freeze_is_detected_and_pending_pings_are_dropped(network):
    state = network.states[TARGET]
    incarnation = state.own.incarnation
    state.tick(network.now_s, network.pick)
    later_s = network.now_s + FREEZE_THRESHOLD_S + SUSPICION_TIMEOUT_S
    actions = state.tick(later_s, network.pick)
    assert [a for a in actions if isinstance(a, ProcessFroze)]
    assert not [a for a in actions if isinstance(a, MemberChanged)]
    assert state.own.incarnation == incarnation + 1


def test_partitioned_zone_keeps_working_and_views_converge_afterwards(network):
    # A zone is partitioned from the others for longer than the suspicion timeout.  Each
    # side must go on with its own routers, and must not treat the other as dead for
    # good: chats would remain assigned to two routers.
    network.cut_zones = {"zone-1"}
    inside = {n for n, s in network.states.items() if s.own.zone == "zone-1"}

    def is_split():
        outside = set(network.states) - inside
        return all(
            names_seen(network, name) == side
            for side in (inside, outside)
            for name in side
        )

    network.run_until(is_split, TICKS_MAX)
    network.cut_zones = set()
    network.run_until(network.has_converged, TICKS_MAX)


def test_routers_that_do_not_hear_each_other_leave_one_another_their_shares(network):
    # The two sides of a partition have declared each other dead.  If each shared the
    # retry budget among those that it hears, a service would get it twice.
    network.cut_zones = {"zone-1"}
    network.run(TICKS_MAX)
    known = [
        len(state.list_members()) + len(state.list_dead())
        for state in network.states.values()
    ]
    assert known == [ROUTERS] * ROUTERS


def test_router_of_the_same_name_replaces_its_predecessor(network):
    # A VM is replaced by one of the same name before its failure is detected.  Late
    # messages of the old process must not count as those of the new one.
    old = network.states[TARGET]
    late = old.tick(network.now_s, network.pick)
    network.kill(TARGET)
    new = network.start(TARGET, "zone-2", session_ms=old.own.incarnation + 60_000)
    network.publish_vms()
    network.run_until(network.has_converged, TICKS_MAX)
    observer = network.states["vm-0000"]
    message = next(action.message for action in late if isinstance(action, Send))
    assert observer.receive(message, network.now_s) == [StaleMessageDropped(TARGET)]
    held = next(r for r in observer.list_members() if r.name == TARGET)
    assert held.incarnation == new.own.incarnation


def test_replayed_message_is_dropped(network):
    # An attacker records a message of a router that leaves and replays it later.
    sender, receiver = network.states[TARGET], network.states["vm-0000"]
    message = next(
        action.message
        for action in sender.announce(MemberState.LEAVING, network.pick)
        if isinstance(action, Send)
    )
    receiver.receive(message, network.now_s)
    assert receiver.receive(message, network.now_s) == [StaleMessageDropped(TARGET)]


def test_entries_and_digests_reach_peers_within_the_budget(network):
    # Other modules supply more entries than fit.  Gossip must still carry membership,
    # and must stay within its byte budget, which protects the callers' bandwidth.
    digest = ConfigurationDigest("contract", 7, 7, 1 << 63)
    heard = []
    for state in network.states.values():
        state.configuration = (digest,)
        state.entries = PiggybackedEntries(
            loads=tuple(EndpointLoad(f"engine-{i}", i) for i in range(300)),
        )
    before = dict(network.sent_bytes)
    ticks = 60
    network.run(ticks - 1)
    for state in list(network.states.values()):
        for action in state.tick(network.now_s, network.pick):
            if isinstance(action, Send) and action.message.purpose == Purpose.PING:
                receiver = network.states[action.peer_address]
                heard += receiver.receive(action.message, network.now_s)
    news = [
        action for action in heard if isinstance(action, membership.PeerStateReceived)
    ]
    assert len(news) >= ROUTERS
    assert all(n.configuration == (digest,) and n.entries.loads for n in news)
    sent = [network.sent_bytes[name] - before[name] for name in before]
    limit = membership.SENT_BYTES_PER_S * ticks + membership.SENT_BURST_BYTES
    assert max(sent) <= limit
    assert 2 * limit <= 3_000 * ticks


def test_suspect_that_left_the_vm_list_is_removed_at_once(network):
    # A VM is replaced without warning: the platform has removed it from its list and
    # its router misses pings.  Waiting any longer only delays the chats assigned to it.
    network.kill(TARGET)
    network.publish_vms()
    network.run_until(lambda: is_gone(network, TARGET), TICKS_MAX)
    suspected, removed = (
        {c.seen_by: c.time_s for c in network.changes if c.record.state == state}
        for state in (MemberState.SUSPECT, MemberState.DEAD)
    )
    both = suspected.keys() & removed.keys()
    assert both
    assert all(
        removed[name] - suspected[name] < SUSPICION_TIMEOUT_S / 2 for name in both
    )


def start_with_contacts(count):
    """Start routers that know only three contacts from their settings."""
    network = GossipNetwork(seed=1)
    names = [f"router-{number:03d}" for number in range(count)]
    digests = tuple(
        ConfigurationDigest(kind, 9, 9, 1 << 60) for kind in ("config", "servers")
    )
    for number, name in enumerate(names):
        state = network.start(name, f"zone-{number % 6}")
        contacts = tuple(contact for contact in names[:3] if contact != name)
        network.states[name] = Membership(state.own, contacts)
        network.states[name].configuration = digests
    return network


@pytest.mark.parametrize("count", [18, 76, 195])
def test_fleet_that_starts_at_once_with_three_contacts_discovers_all_members(count):
    # The contacts' byte budgets are spent within a second.  Without introductions all
    # others would know only these three for good.
    network = start_with_contacts(count)
    network.run(20)
    known = [len(state.live_members()) for state in network.states.values()]
    assert min(known) >= 0.9 * count


def test_bytes_of_a_start_stay_within_the_budget_of_a_minute():
    # Guards against introductions that overload the links of the few contacts.
    network = start_with_contacts(76)
    network.run(60)
    sent = sorted(network.sent_bytes.values())
    assert sent[len(sent) // 2] <= SENT_BURST_BYTES + 60 * SENT_BYTES_PER_S
    assert sent[-1] <= 2 * (SENT_BURST_BYTES + 60 * SENT_BYTES_PER_S)
