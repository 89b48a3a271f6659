import asyncio
import json
from pathlib import Path

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from tamarackrill.cli import main
from tamarackrill.contracts import check_contracts, hash_key, read_endpoint
from tamarackrill.documents import read_document
from tamarackrill.settings import load_settings
from tamarackrill.testing.deployment import Deployment, read_environment

EXAMPLES = Path(__file__).parent.parent / "examples"
ZONES = {
    "cegin-ddata": {"caerdydd-a", "caerdydd-b", "abertawe", "casnewydd"},
    "klobucarska-zadruga": {"kranj-hall", "kamnik-hall", "skofja-hall"},
}
WORKERS = {
    "cegin-ddata": {"quote-writer": 5, "booking-desk": 4},
    "klobucarska-zadruga": {"krojni-model": 5, "zadruga-app": 3},
}


@pytest.mark.parametrize("name", ZONES)
def test_deployment_is_complete(name):
    directory = EXAMPLES / name
    files = sorted((directory / "contracts").glob("*.json"))
    contracts = check_contracts([read_document(str(file)) for file in files])
    keys = json.loads((directory / "keys.json").read_text())
    assert {c.team: c.key_hashes for c in contracts} == {
        team: (hash_key(key),) for team, key in keys.items()
    }
    assert len(contracts) == 10
    common = read_environment(directory / "fleet.env")
    settings = [
        load_settings([], {**common, **read_environment(vm)})
        for vm in (directory / "vms").glob("*.env")
    ]
    assert 6 <= len(settings) <= 8
    assert {vm.zone for vm in settings} == ZONES[name]
    files = (directory / "endpoints").glob("*.json")
    endpoints = [read_endpoint(json.loads(file.read_text())) for file in files]
    served = [endpoint.serves[0] for endpoint in endpoints]
    assert {service: served.count(service) for service in served} == WORKERS[name]
    assert {endpoint.zone for endpoint in endpoints} <= ZONES[name]


def test_typo_is_reported_with_its_line(tmp_path, capsys):
    source = EXAMPLES / "cegin-ddata" / "contracts" / "arlwyo-teifi.json"
    file = tmp_path / "typo.json"
    file.write_text(source.read_text().replace("deadline_s", "deadlin_s"))
    assert main(["contract", "validate", str(file)]) == 2
    line = 1 + source.read_text().splitlines().index('  "deadline_s": 60,')
    place = f"{file}:{line}: deadlin_s"
    assert capsys.readouterr().err.strip() == (
        f"Error: {place}: unknown field (did you mean 'deadline_s'?)"
    )


def make_request(address, contract, key):
    chat = {"messages": [{"role": "user", "content": "sixty guests"}], "max_tokens": 2}
    return HTTPRequest(
        f"http://{address}/v1/chat/completions",
        "POST",
        {"Authorization": f"Bearer {key}"},
        json.dumps({"model": contract.models[0], **chat}),
    )


@pytest.mark.parametrize("name", ZONES)
def test_deployment_runs_and_serves_each_team(name):
    async def run():
        deployment = Deployment(EXAMPLES / name, free_ports=True)
        await deployment.start()
        keys = json.loads((EXAMPLES / name / "keys.json").read_text())
        router = deployment.routers[0]
        client = AsyncHTTPClient(force_instance=True)
        for contract in router.list_contracts():
            request = make_request(router.address, contract, keys[contract.team])
            assert (await client.fetch(request)).code == 200
        assert len(router.list_contracts()) == 10
        client.close()
        await deployment.stop()

    asyncio.run(run())
