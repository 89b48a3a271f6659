import pytest

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import poison as p
from tamarackrill.decisions.health import Health
from tamarackrill.decisions.poison import Crash, Poison, compute_fingerprint
from tamarackrill.decisions.routing import Placement, PlacementRequest
from tamarackrill.exceptions import Refusal

POOL = [f"engine-{i}" for i in range(5)]
ENDPOINTS = [Endpoint(name, "engine", ("m",), "", "kranj-hall") for name in POOL]
BAD = compute_fingerprint("/v1/chat/completions", b"bad")


class Router:
    """A router's flow around the decisions, without a network."""

    def __init__(self):
        self.poison, self.health, self.placement = Poison(), Health(), Placement(2.0)

    def send(self, fingerprint, now_s):
        """Return the endpoint, or raise the refusal that the caller receives."""
        self.poison.check(fingerprint, now_s)
        avoided = self.poison.find_avoided(fingerprint, now_s)
        allowed = set(self.health.find_allowed(POOL, now_s)) - avoided
        live = [endpoint for endpoint in ENDPOINTS if endpoint.name in allowed]
        request = PlacementRequest(fingerprint, fingerprint)
        return self.placement.choose(request, live, now_s).endpoint.name

    def crash(self, fingerprint, endpoint, now_s):
        self.health.observe_crash(endpoint, now_s)
        self.poison.observe_crash(Crash(fingerprint, endpoint), now_s)
        crashed = self.poison.list_crashed(fingerprint, now_s)
        if len(crashed) >= p.CRASHES_MAX:
            for name in crashed:
                self.health.forgive(name, now_s)


def test_poison_is_refused_before_a_third_endpoint_across_routers():
    # A request crashes each endpoint that runs it and its caller sends it again, by
    # the balancer to another router.  Without a common count each router would lose
    # two engines of its own to it, and all callers there lose their answers.
    one, other = Router(), Router()
    crashed = [one.send(BAD, 0.0)]
    one.crash(BAD, crashed[0], 0.0)
    other.poison.observe_peer(one.poison.digest(1.0), 1.0)
    crashed.append(other.send(BAD, 1.0))
    other.crash(BAD, crashed[1], 1.0)
    one.poison.observe_peer(other.poison.digest(2.0), 2.0)
    assert len(set(crashed)) == 2
    for router in (one, other):
        with pytest.raises(Refusal) as refusal:
            router.send(BAD, 3.0)
        assert (refusal.value.code, refusal.value.run) == ("poison_request", "unknown")
        assert refusal.value.retry_after_s > 500.0
        assert router.send("another", 3.0)


def test_endpoints_that_poison_crashed_are_not_ejected():
    # The engines are well again after a restart.  Kept out for the crashes, they would
    # leave their callers to the rest of the pool, which the next resend takes down.
    router = Router()
    for endpoint in POOL[:2]:
        router.health.observe_crash(endpoint, 0.0)
    router.crash(BAD, "engine-0", 15.0)
    assert "engine-0" not in router.health.find_allowed(POOL, 15.0)
    router.crash(BAD, "engine-1", 16.0)
    assert router.health.find_allowed(POOL, 16.0) == POOL


def test_innocent_requests_of_a_crash_are_told_apart():
    # A crash breaks all answers in flight, and all are sent again.  Sent together they
    # would crash the next engine together, and callers who did nothing be refused.
    router = Router()
    suspects = [BAD, "innocent-1", "innocent-2", "innocent-3"]
    for fingerprint in suspects:
        router.poison.observe_crash(Crash(fingerprint, "engine-0"), 0.0)
    places = {}
    for fingerprint in suspects:
        places[fingerprint] = router.send(fingerprint, 1.0)
        router.poison.start(fingerprint, places[fingerprint], 1.0)
    assert {"engine-0", *places.values()} == set(POOL)
    router.poison.finish("innocent-1", places["innocent-1"])
    router.poison.observe_success("innocent-1")
    assert router.poison.find_avoided("innocent-1", 2.0) == set()
    assert places["innocent-1"] not in router.poison.find_avoided(BAD, 2.0)


def test_count_is_forgotten_in_time_and_not_kept_alive_by_gossip():
    # Two routers repeat each other's entries.  If each took them as new, the request
    # would be refused for ever, also after the model was mended.
    one, other = Poison(), Poison()
    for endpoint in POOL[:2]:
        one.observe_crash(Crash(BAD, endpoint), 0.0)
    for second in range(0, int(p.CRASHES_KEPT_S) + 10, 5):
        assert not other.observe_peer(one.digest(second), second) or second == 0
        one.observe_peer(other.digest(second), second)
    late = Poison()
    late.observe_peer(other.digest(p.CRASHES_KEPT_S - 1.0), p.CRASHES_KEPT_S - 1.0)
    for router in (one, other, late):
        router.check(BAD, p.CRASHES_KEPT_S + 1.0)
    assert one.observe_crash(Crash(BAD, POOL[0]), p.CRASHES_KEPT_S + 2.0)


def test_fingerprints_are_bounded():
    poison = Poison()
    for number in range(p.FINGERPRINTS_KEPT + 10):
        poison.observe_crash(Crash(f"f{number}", "e"), float(number) / 100)
    assert len(poison) == p.FINGERPRINTS_KEPT
    assert len(poison.digest(11.0)) == p.DIGEST_ENTRIES_MAX
