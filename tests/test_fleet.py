"""Router processes that are restarted, frozen or cut off from the platform."""

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
    """Return the versions of a contract that a router applied, and their sources."""
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


def test_router_started_in_an_outage_gets_contracts_from_its_peers(fleet):
    # A VM is replaced while the platform and its VM list are down.  If the new router
    # did not get contracts from its peers, it would know no team and refuse all calls
    # until the outage ends.
    newest = fleet.put_contract(make_contract("t", 2))
    for router in fleet.routers.values():
        wait_version(router, "t", newest)
    fleet.platform.set_faults(**OUTAGE)
    address = fleet.routers["a"].read_field("router_started", "peer_address")
    started = fleet.add_router("c", "zone-a", f"--peers={address}")
    wait_version(started, "t", newest)
    assert {source for _, source in taken(started, "t")} <= {"a", "b"}


def test_change_reaches_a_router_whose_watch_is_lost(fleet):
    # A zone is cut off from the platform while an operator lowers a limit.  Without
    # gossip, its routers would enforce the old limit until the cut ends.
    cut = fleet.add_router("c", "zone-cut")
    fleet.wait_ready()
    fleet.platform.set_faults(cut=["zone-cut"])
    # A watch that is already open delivers one more change; later ones must come from
    # peers.
    fleet.put_contract(make_contract("t", 2))
    cut.wait_line(" platform_lost ")
    newest = fleet.put_contract(make_contract("t", 3))
    wait_version(cut, "t", newest)
    assert taken(cut, "t")[-1] == (newest, "a") or taken(cut, "t")[-1] == (newest, "b")


def test_frozen_router_does_not_revert_contracts(fleet):
    # A router is frozen while one contract is changed and another deleted.  After it
    # resumes, it gossips the old versions; its peers must ignore them, and it must
    # adopt theirs.
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
    wait_for(
        lambda: state_seen(other, "a") == "alive", "the frozen router is alive again"
    )
    wait_version(frozen, "u", newest + 1)
    wait_version(frozen, "t", newest)
    for router in (frozen, other):
        for name in ("t", "u"):
            versions = [version for version, _ in taken(router, name)]
            assert versions == sorted(versions)


def test_stale_reads_after_an_outage_revert_no_contract(fleet):
    # After an outage the platform serves stale data, as after a failover of its store,
    # while a VM is replaced.  Neither the running routers, which hold the newest
    # contract, nor the new router may end up with the old one.
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


def test_message_of_a_stranger_is_dropped_counted_and_logged(fleet):
    # Any host that can reach the peer port can send packets to it.
    router = fleet.routers["a"]
    host, port = router.read_field("router_started", "peer_address").split(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        stranger.sendto(bytes(64), (host, int(port)))
    line = router.wait_line(" peer_messages_dropped ")
    assert "reason=stranger" in line
    assert router.status()["gossip"]["dropped_stranger"] == 1
    answer = call(router.address, "/internal/v1/configuration?kind=contract&since=0")
    assert answer.status == 403


def test_peer_keys_can_be_rotated_router_by_router():
    # Operators rotate the peer key: each router first accepts both keys and signs with
    # the old one, then signs with the new one, then drops the old one.  Routers one
    # step apart must keep seeing each other as alive.
    old, new = "the old key", "the new key"
    steps = [old, f"{old},{new}", f"{new},{old}", new]
    for first, second in zip(steps, steps[1:], strict=False):
        with FleetProcesses() as fleet:
            fleet.add_router("a", "zone-a", f"--peer-keys={first}")
            fleet.add_router("b", "zone-a", f"--peer-keys={second}")
            for router, name in (("a", "b"), ("b", "a")):
                wait_for(
                    lambda r=router, n=name: state_seen(fleet.routers[r], n) == "alive",
                    "the routers see each other",
                )
