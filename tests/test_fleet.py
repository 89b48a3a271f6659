"""Routers as processes that are killed, frozen and cut off from the platform."""

import signal
import socket

import pytest

from tamarackrill.testing.processes import FleetProcesses, call, wait_for

OUTAGE = {"outage": True}


def make_contract(team, weight=1):
    hashes = ["0" * 64]
    return {"team": team, "key_hashes": hashes, "models": ["m"], "weight": weight}


@pytest.fixture
def fleet():
    with FleetProcesses() as fleet:
        fleet.put_contract(make_contract("t", 1))
        fleet.add_router("a")
        fleet.add_router("b")
        fleet.wait_ready()
        yield fleet


def taken(router, name):
    """Return version and source of each version of a contract, in order."""
    marks = (" configuration_taken ", f" object={name} ")
    lines = [line for line in router.lines if all(mark in line for mark in marks)]
    fields = [dict(w.split("=", 1) for w in line.split() if "=" in w) for line in lines]
    return [(int(f["version"]), f["source"]) for f in fields]


def wait_version(router, name, version):
    wait_for(
        lambda: version in [held for held, _ in taken(router, name)],
        f"{name} at {version} at {router.name}",
    )


def state_seen(router, name):
    members = {m["name"]: m["state"] for m in router.status()["members"]}
    return members.get(name)


def test_router_started_in_an_outage_takes_the_newest_from_its_peers(fleet):
    # The platform and its VM list are down when a VM is replaced.  Without its peers
    # the new router would know no customer and refuse everybody, for as long as the
    # outage lasts.
    newest = fleet.put_contract(make_contract("t", 2))
    for router in fleet.routers.values():
        wait_version(router, "t", newest)
    fleet.platform.set_faults(**OUTAGE)
    address = fleet.routers["a"].read_field("router_started", "peer_address")
    started = fleet.add_router("c", "zone-a", f"--peers={address}")
    wait_version(started, "t", newest)
    assert {source for _, source in taken(started, "t")} <= {"a", "b"}


def test_change_reaches_a_router_whose_watch_is_lost(fleet):
    # A zone is cut off from the platform while an operator lowers a limit.  Its routers
    # would enforce the old one until the cut ends, and the operator is told otherwise.
    cut = fleet.add_router("c", "zone-cut")
    fleet.wait_ready()
    fleet.platform.set_faults(cut=["zone-cut"])
    # A watch that was already open brings one more change; the next ones must come
    # from peers.
    fleet.put_contract(make_contract("t", 2))
    cut.wait_line(" platform_lost ")
    newest = fleet.put_contract(make_contract("t", 3))
    wait_version(cut, "t", newest)
    assert taken(cut, "t")[-1] == (newest, "a") or taken(cut, "t")[-1] == (newest, "b")


def test_frozen_router_never_goes_back_and_never_takes_others_back(fleet):
    # A router is frozen while a contract is changed and another deleted.  Awake, it
    # holds the old ones and gossips them; its peers must not take them, and it must
    # take theirs.
    deleted = fleet.put_contract(make_contract("u"))
    frozen, other = fleet.routers["a"], fleet.routers["b"]
    for router in (frozen, other):
        wait_version(router, "u", deleted)
    frozen.send(signal.SIGSTOP)
    wait_for(lambda: state_seen(other, "a") is None, "the frozen router is removed")
    newest = fleet.put_contract(make_contract("t", 2))
    path = "/v1/objects/contract/u"
    call(fleet.platform.address, path, None, "DELETE", {"If-Match": str(deleted)})
    wait_version(other, "u", newest + 1)
    fleet.platform.set_faults(**OUTAGE, stale_reads=2)
    frozen.send(signal.SIGCONT)
    wait_for(lambda: state_seen(other, "a") == "alive", "it is back")
    wait_version(frozen, "u", newest + 1)
    wait_version(frozen, "t", newest)
    for router in (frozen, other):
        for name in ("t", "u"):
            versions = [version for version, _ in taken(router, name)]
            assert versions == sorted(versions)


def test_stale_reads_after_an_outage_bring_nothing_back(fleet):
    # The platform comes back with an old copy, as a failover of its store does, and a
    # VM is replaced just then.  Neither those that held the newest contract nor the
    # new one may be left with the old one.
    newest = fleet.put_contract(make_contract("t", 2))
    for router in fleet.routers.values():
        wait_version(router, "t", newest)
    fleet.platform.set_faults(**OUTAGE)
    for router in fleet.routers.values():
        router.wait_line(" platform_lost ")
    fleet.platform.set_faults(stale_reads=1)
    started = fleet.add_router("c")
    wait_version(started, "t", newest)
    for router in fleet.routers.values():
        versions = [version for version, _ in taken(router, "t")]
        assert versions == sorted(versions)
        assert versions[-1] == newest
    for name in ("a", "b"):
        fleet.routers[name].wait_line(" platform_back")


def test_strangers_message_is_dropped_counted_and_logged(fleet):
    # Anyone who reaches the peer port can send to it.
    router = fleet.routers["a"]
    host, port = router.read_field("router_started", "peer_address").split(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        stranger.sendto(bytes(64), (host, int(port)))
    line = router.wait_line(" peer_messages_dropped ")
    assert "reason=stranger" in line
    assert router.status()["gossip"]["dropped_stranger"] == 1
    answer = call(router.address, "/internal/v1/configuration?kind=contract&since=0")
    assert answer.status == 403


def test_peer_keys_change_router_by_router():
    # Operators change the key: first each router takes both and signs with the old
    # one, then with the new one, then it drops the old one.  No pair of neighbouring
    # steps may lose sight of one another.
    old, new = "the old key", "the new key"
    steps = [old, f"{old},{new}", f"{new},{old}", new]
    for first, second in zip(steps, steps[1:], strict=False):
        with FleetProcesses() as fleet:
            fleet.add_router("a", "zone-a", f"--peer-keys={first}")
            fleet.add_router("b", "zone-a", f"--peer-keys={second}")
            for router, name in (("a", "b"), ("b", "a")):
                wait_for(
                    lambda r=router, n=name: state_seen(fleet.routers[r], n) == "alive",
                    "they see one another",
                )
