import json

import pytest

from tamarackrill import contracts
from tamarackrill.documents import parse_document
from tamarackrill.exceptions import FindingsError

GOOD = {
    "format": contracts.CONTRACT_FORMAT,
    "team": "hall",
    "key_hashes": [contracts.hash_key("k")],
    "models": ["pattern"],
    "services": ["booking"],
    "non_idempotent": [
        {"service": "booking", "method": "POST", "path_prefix": "/confirm"}
    ],
}


def find_errors(**changes):
    value = {k: v for k, v in {**GOOD, **changes}.items() if v is not None}
    document = parse_document("f.json", json.dumps(value, indent=1))
    with pytest.raises(FindingsError) as caught:
        contracts.check_contract(document)
    return [finding.show() for finding in caught.value.findings]


def test_valid_contract_keeps_all_fields():
    document = parse_document("f.json", json.dumps({**GOOD, "weight": 3}))
    contract = contracts.check_contract(document)
    assert (contract.weight, contract.models) == (3, ("pattern",))
    assert contract.non_idempotent[0].path_prefix == "/confirm"


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"wieght": 2}, ["wieght: unknown field (did you mean 'weight'?)"]),
        ({"rate_per_s": 0}, ["rate_per_s: 0 is below the minimum of 0.01 requests"]),
        (
            {"deadline_s": 1e9},
            ["deadline_s: 1000000000.0 is above the maximum of 86400 s"],
        ),
        ({"in_flight_max": True}, ["in_flight_max: true is not of type integer"]),
        ({"key_hashes": []}, ["key_hashes: needs at least 1 item(s)"]),
        ({"key_hashes": ["s3cret"]}, ["key_hashes[0]: "]),
        ({"key_hashes": [contracts.hash_key("")]}, ["key_hashes[0]: is the hash of"]),
        ({"team": None}, ["f.json:1: field 'team' is missing"]),
        ({"format": "tamarackrill/contract/v9"}, ["format: "]),
        ({"deadline_s": 400}, ["deadline_s: 400 s exceeds deadline_max_s"]),
        ({"services": ["bookings"]}, ["service: 'booking' is not listed in services"]),
        (
            {"models": [], "services": [], "non_idempotent": []},
            ["may not call anything"],
        ),
        ({"weight": 0, "priorty": 1}, ["priorty: unknown field", "weight: 0 is below"]),
    ],
)
def test_each_error_is_reported_with_its_location(changes, expected):
    found = find_errors(**changes)
    assert len(found) == len(expected)
    assert all(any(part in line for line in found) for part in expected)
    assert "s3cret" not in "".join(found)


def test_finding_gives_line_and_field():
    text = '{\n "kind": "x",\n "calls": [\n  1,\n  {"a": NULL}\n ]\n}'
    with pytest.raises(FindingsError) as caught:
        parse_document("f.json", text)
    assert caught.value.findings[0].place == "f.json:5"
    document = parse_document("f.json", text.replace("NULL", "2"))
    assert document.place(("calls", 1, "a")) == "f.json:5: calls[1].a"
    assert document.value == {"kind": "x", "calls": [1, {"a": 2}]}


def test_duplicate_field_is_reported():
    # An operator pastes a field into a contract and leaves the old one below it.  JSON
    # parsers silently keep the last of the two, so the change would have no effect.
    text = json.dumps(GOOD)[:-1] + ',\n"team": "other"}'
    with pytest.raises(FindingsError, match="1 fault") as caught:
        contracts.check_contract(parse_document("f.json", text))
    assert caught.value.findings[0].show() == "f.json:2: team: field is given twice"


def test_key_shared_by_two_teams_is_reported():
    # With the same key in two contracts, a client could act as either team.
    files = [{**GOOD, "team": name} for name in ("a", "b")]
    documents = [
        parse_document(f"{f['team']}.json", json.dumps(f, indent=1)) for f in files
    ]
    with pytest.raises(FindingsError) as caught:
        contracts.check_contracts(documents)
    assert "same key as a.json:5" in caught.value.findings[0].show()


def test_router_ignores_fields_of_a_newer_command_line():
    contract = contracts.read_contract({**GOOD, "field_of_next_year": 1})
    assert contract.team == "hall"


@pytest.mark.parametrize(
    "value",
    [None, [], {}, {**GOOD, "weight": "much"}, {**GOOD, "non_idempotent": [{}]}],
)
def test_invalid_contract_object_raises_findings(value):
    with pytest.raises(FindingsError):
        contracts.read_contract(value)


ENDPOINT = {
    "name": "e1",
    "kind": "engine",
    "serves": ["pattern"],
    "address": "127.0.0.1:9001",
    "zone": "hall-a",
}


def test_valid_endpoint_is_read():
    endpoint = contracts.read_endpoint({**ENDPOINT, "later_field": 1})
    assert endpoint == contracts.Endpoint(
        "e1", "engine", ("pattern",), "127.0.0.1:9001", "hall-a"
    )


@pytest.mark.parametrize(
    "changes",
    [{"address": "e1.example:80"}, {"slots": 0}, {"kind": "db"}, {"serves": "a"}],
)
def test_invalid_endpoint_object_raises_findings(changes):
    with pytest.raises(FindingsError):
        contracts.read_endpoint({**ENDPOINT, **changes})
    with pytest.raises(FindingsError):
        contracts.read_endpoint(None)
