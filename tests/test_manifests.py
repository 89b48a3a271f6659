import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackrill.decisions.manifests import (
    ClientLimits,
    Manifest,
    Route,
    RouteTable,
    ServiceShare,
    TeamKeys,
    choose_service,
)

LIMITS = ClientLimits(16384, 4194304, 3.0, 15.0)


def make_route(prefix, host="a.example", **fields):
    share = (ServiceShare("s", 1.0),)
    route = Route(prefix, host, prefix, "idempotent", 1.0, 0.1, 0.0, 0, share, 2)
    return route._replace(**fields)


def make_table(*routes, teams=None):
    return RouteTable(Manifest(1, routes, (), LIMITS, teams))


@pytest.mark.parametrize(
    ("path", "found"),
    [
        ("/a/b/c", "/a/b/"),
        ("/a/b/", "/a/b/"),
        ("/a/b", "/a/"),
        ("/a/", "/a/"),
        ("/a", None),
        ("/ab/c", None),
        ("/", None),
        ("", None),
    ],
)
def test_longest_prefix_wins(path, found):
    table = make_table(make_route("/a/"), make_route("/a/b/"))
    route = table.find_route("a.example", path)
    assert (route and route.path_prefix) == found


@pytest.mark.parametrize("host", ["a.example", "A.Example", "a.example:8080"])
def test_host_matches_in_any_case_and_with_a_port(host):
    assert make_table(make_route("/a/")).find_route(host, "/a/x") is not None


def test_other_host_has_no_route():
    assert make_table(make_route("/a/")).find_route("b.example", "/a/x") is None


def test_each_key_names_its_team():
    teams = (TeamKeys("t", ("k1", "k2"), 1), TeamKeys("u", ("k3",), None))
    table = make_table(make_route("/a/"), teams=teams)
    assert [table.find_team(key).name for key in ("k1", "k2", "k3")] == ["t", "t", "u"]
    assert table.find_team("k4") is None
    assert table.needs_keys


def test_manifest_without_teams_needs_no_keys():
    assert not make_table(make_route("/a/")).needs_keys


def test_split_is_kept_within_two_per_cent():
    # An operator moves a tenth of a route to a new service.  A wrong split could send
    # it all of the route's requests on its first day.
    shares = (ServiceShare("old", 90.0), ServiceShare("new", 10.0))
    found = [choose_service(shares, f"request-{n}") for n in range(10_000)]
    assert 0.08 < found.count("new") / len(found) < 0.12


def test_service_with_weight_zero_gets_no_requests():
    shares = (ServiceShare("old", 0.0), ServiceShare("new", 1.0))
    assert {choose_service(shares, str(n)) for n in range(100)} == {"new"}
    assert choose_service((ServiceShare("old", 0.0),), "x") is None


@given(st.lists(st.floats(0.01, 100), min_size=1, max_size=5), st.text())
def test_some_service_is_always_chosen(weights, key):
    shares = [ServiceShare(str(n), weight) for n, weight in enumerate(weights)]
    assert choose_service(shares, key) in {share.service for share in shares}
