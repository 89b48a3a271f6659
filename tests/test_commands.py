import asyncio
import json
import signal

import pytest
from tornado.httpclient import AsyncHTTPClient

from tamarackrill import cli
from tamarackrill.cli import build_parser, main
from tamarackrill.commands.contracts import apply_contracts, delete_contract
from tamarackrill.contracts import CONTRACT_FORMAT, CONTRACT_KIND, hash_key
from tamarackrill.documents import parse_document
from tamarackrill.exceptions import (
    FindingsError,
    NotInForce,
    PlatformUnavailable,
    VersionConflict,
)
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.platform import Faults, PlatformState, make_platform
from tamarackrill.testing.processes import FleetProcesses, call


def make_contract(**changes):
    return {
        "format": CONTRACT_FORMAT,
        "team": "hall",
        "key_hashes": [hash_key("k")],
        "models": ["m"],
        **changes,
    }


def make_documents(**changes):
    return [parse_document("f.json", json.dumps(make_contract(**changes), indent=1))]


def run_with_platform(scenario):
    async def run():
        state = PlatformState()
        server, address = listen(make_platform(state))
        client = AsyncHTTPClient(force_instance=True)
        try:
            await scenario(state, PlatformClient(address, "", client))
        finally:
            client.close()
            server.stop()

    asyncio.run(run())


def test_apply_reports_changes_and_can_be_repeated():
    async def scenario(state, platform):
        (first,) = await apply_contracts(platform, make_documents())
        (second,) = await apply_contracts(platform, make_documents(rate_per_s=7))
        (third,) = await apply_contracts(platform, make_documents(rate_per_s=7))
        assert (first.outcome, second.outcome, third.outcome) == (
            "created",
            "changed",
            "unchanged",
        )
        assert [change.show() for change in second.changes] == [
            "rate_per_s: 100.0 -> 7"
        ]
        assert third.version == second.version
        assert state.counts["write"] == 2

    run_with_platform(scenario)


class ConcurrentWritePlatform(PlatformClient):
    async def put(self, kind, name, value, expected_version):
        concurrent_value = make_contract(weight=9)
        await super().put(kind, name, concurrent_value, expected_version)
        return await super().put(kind, name, value, expected_version)


def test_concurrent_change_is_reported_as_a_conflict():
    # Two operators change one contract at the same time.  Without the version
    # condition the second write would silently undo the first one.
    async def scenario(state, platform):
        await apply_contracts(platform, make_documents())
        platform.__class__ = ConcurrentWritePlatform
        with pytest.raises(VersionConflict, match="weight: 1 -> 9"):
            await apply_contracts(platform, make_documents(rate_per_s=7))
        assert state.objects[CONTRACT_KIND, "hall"].value == make_contract(weight=9)

    run_with_platform(scenario)


def test_outdated_file_does_not_undo_a_change():
    # An operator edits a copy of a contract while another one raises its weight.
    # Applying the outdated copy must not silently revert the new weight.
    async def scenario(state, platform):
        (first,) = await apply_contracts(platform, make_documents())
        await apply_contracts(platform, make_documents(weight=9))
        with pytest.raises(VersionConflict, match="weight: 1 -> 9"):
            await apply_contracts(platform, make_documents(), first.version)

    run_with_platform(scenario)


@pytest.mark.parametrize("faults", [Faults(lose_answers=1), Faults(drop_writes=1)])
def test_lost_response_to_a_write_is_confirmed(faults):
    # The platform answers a write with an error, whether or not it took effect.
    # The command must report the actual state and not write the change twice.
    async def scenario(state, platform):
        state.faults = faults
        (applied,) = await apply_contracts(platform, make_documents())
        assert applied.version == state.objects[CONTRACT_KIND, "hall"].version
        assert len(state.history) == 1
        state.faults = faults
        deleted = await delete_contract(platform, "hall")
        assert state.objects[CONTRACT_KIND, "hall"].value is None
        assert deleted.version == len(state.history) == 2

    run_with_platform(scenario)


def test_unconfirmed_write_is_not_reported_as_done():
    # All responses are lost, those to reads too, so the write's outcome is unknown and
    # must not be reported as success.
    async def scenario(state, platform):
        async def lose(*arguments):
            state.faults = Faults(outage=True)
            raise PlatformUnavailable("platform: lost")

        platform.put = lose
        with pytest.raises(
            PlatformUnavailable, match="may or may not have taken effect"
        ):
            await apply_contracts(platform, make_documents())

    run_with_platform(scenario)


def test_key_of_an_existing_contract_is_rejected():
    async def scenario(state, platform):
        await apply_contracts(platform, make_documents())
        with pytest.raises(FindingsError) as caught:
            await apply_contracts(platform, make_documents(team="other"))
        assert "same key" in caught.value.show()
        assert state.counts["write"] == 1

    run_with_platform(scenario)


def test_failing_vm_list_does_not_hide_a_written_change():
    # The platform goes down after it answered the write.  An error that says only "not
    # available" would suggest that nothing was written.
    error = PlatformUnavailable("platform: down")

    class Platform:
        async def list_vms(self):
            raise error

    options = build_parser().parse_args(["contract", "delete", "t"])
    with pytest.raises(NotInForce, match="written, but the VM list"):
        asyncio.run(cli._wait_for_rollout(options, cli._Clients(None, Platform()), 1))


@pytest.fixture(scope="module")
def fleet():
    with FleetProcesses() as fleet:
        fleet.add_engine("engine-1")
        fleet.put_contract(make_contract())
        fleet.add_router("router-1")
        fleet.add_router("router-2")
        fleet.wait_ready()
        yield fleet


@pytest.fixture
def run(fleet, capsys):
    def run_command(*arguments):
        code = main([*arguments, "--platform", fleet.platform.address])
        shown = capsys.readouterr()
        return code, shown.out, shown.err

    return run_command


def write_file(directory, **changes):
    path = directory / "hall.json"
    path.write_text(json.dumps(make_contract(**changes)))
    return str(path)


def test_applied_contract_is_in_force_at_all_routers(fleet, run, tmp_path):
    key = {"Authorization": "Bearer fresh"}
    file = write_file(tmp_path, key_hashes=[hash_key("k"), hash_key("fresh")])
    code, out, _ = run("contract", "apply", file)
    assert (code, "In force at 2 router(s)" in out) == (0, True)
    body = {"model": "m", "messages": [{"role": "user", "content": "x"}]}
    for router in fleet.routers.values():
        answer = call(router.address, "/v1/chat/completions", body, headers=key)
        assert answer.status == 200


def test_frozen_router_is_reported_as_not_answering(fleet, run, tmp_path):
    # A VM is frozen for seconds while a contract is applied.  After it resumes, its
    # router still applies the old limits, so the command must not report success.
    frozen = fleet.routers["router-2"]
    frozen.send(signal.SIGSTOP)
    try:
        file = write_file(tmp_path, weight=2)
        code, _, err = run("contract", "apply", file, "--wait-max-s", "0.1")
    finally:
        frozen.send(signal.SIGCONT)
    assert code == 5
    assert f"no answer: {frozen.address}" in err


def test_faulty_object_leaves_the_previous_version_in_force(fleet, run):
    # A contract is written without the command line, with a rate that is not a number.
    # Routers that applied it would fail; they keep the previous version and log it.
    version = fleet.put_contract(make_contract(rate_per_s="fast"))
    for router in fleet.routers.values():
        line = router.wait_line(" object_faulty kind=contract object=hall ")
        assert "rate_per_s" in line
        assert router.status()["faulty"][0]["version"] == version
    fleet.put_contract(make_contract())


def test_queries_answer_as_table_and_json(fleet, run):
    code, out, _ = run("contract", "show", "hall")
    assert (code, json.loads(out)["team"]) == (0, "hall")
    assert "hall" in run("contract", "list")[1]
    assert json.loads(run("contract", "list", "--json")[1])[0]["name"] == "hall"
    lines = json.loads(run("fleet", "status", "--json")[1])
    assert {line["router"] for line in lines} == set(fleet.routers)
    assert "engine-1" in run("endpoint", "list")[1]


def test_evacuated_zone_gets_no_call_until_it_is_restored(fleet, run):
    # Guards against an operator who stops an availability zone's endpoints while some
    # router still sends calls there.
    (engine,) = (e for e in json.loads(run("endpoint", "list", "--json")[1]))
    zone = engine["zone"]
    code, out, _ = run("zone", "evacuate", zone)
    assert (code, "In force at 2 router(s)" in out) == (0, True)
    assert "unchanged" in run("zone", "evacuate", zone)[1]
    (row,) = json.loads(run("zone", "list", "--json")[1])
    assert (row["in_force_at"], row["routers"], row["running"]) == (2, 2, 0)
    assert row["evacuated_since"] > 0
    headers = {"Authorization": "Bearer k", "Request-Timeout-Ms": "300"}
    body = {"model": "m", "messages": [{"role": "user", "content": "x"}]}
    for router in fleet.routers.values():
        path = "/v1/chat/completions"
        answer = call(router.address, path, body, headers=headers)
        assert (answer.status, answer.json()["run"]) == (503, "not_run")
    assert run("zone", "restore", zone)[0] == 0
    (row,) = json.loads(run("zone", "list", "--json")[1])
    assert (row["in_force_at"], row["evacuated_since"]) == (0, None)
    for router in fleet.routers.values():
        answer = call(router.address, path, body, headers=headers)
        assert answer.status == 200


@pytest.mark.parametrize("router", ["router-1", "router-2"])
def test_explanation_is_that_of_the_home_router(fleet, run, router):
    address = fleet.routers[router].address
    asked = ("explain", "--team", "hall", "--model", "m", "--router", address)
    for chat in ("c1", "c2", "c3", "c4"):
        _, out, _ = run(*asked, "--chat", chat, "--json")
        found = json.loads(out)
        assert found["router"] == found["homes"][0]
        assert found["endpoint"] == "engine-1"
        assert found["candidates"][0]["load"] == 0
    code, out, _ = run(*asked)
    assert (code, "endpoint: engine-1" in out) == (0, True)


@pytest.mark.parametrize(
    ("arguments", "code", "part"),
    [
        (("explain", "--team", "nobody", "--model", "m"), 1, "no contract for"),
        (("explain", "--team", "hall", "--model", "x"), 1, "does not allow 'x'"),
        (("explain", "--team", "hall", "--service", "s"), 1, "does not allow 's'"),
        (("contract", "show", "nobody"), 1, "there is no contract 'nobody'"),
        (("contract", "delete", "nobody"), 1, "Hint: see: contract list"),
        (("zone", "evacuate", "nowhere"), 1, "no endpoint is in zone 'nowhere'"),
        (("zone", "restore", "zone-a"), 1, "Hint: see: zone list"),
        (("contract", "apply", "no-such-file.json"), 2, "No such file"),
        (("contract", "apply", "a", "b", "--based-on", "1"), 2, "exactly one FILE"),
        (("explain", "--team", "t", "--model", "m", "--router", "127.0.0.1:1"), 4, ""),
    ],
)
def test_error_prints_one_line_and_sets_the_exit_code(run, arguments, code, part):
    found, out, err = run(*arguments)
    assert (found, out) == (code, "")
    assert part in err
    assert "Traceback" not in err


def test_router_address_is_rejected_as_platform(fleet, capsys):
    address = fleet.routers["router-1"].address
    for query in (("contract", "list"), ("fleet", "status")):
        assert main([*query, "--platform", address]) == 4
    assert "not one of an object API" in capsys.readouterr().err


def test_unreachable_or_missing_platform_is_an_error(capsys):
    code = main(["contract", "list", "--platform", "127.0.0.1:1"])
    assert code == 4
    assert main(["contract", "list"]) == 2
    assert "TAMARACKRILL_PLATFORM" in capsys.readouterr().err
