import pytest

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import poison as p
from tamarackrill.decisions.health import Health
from tamarackrill.decisions.poison import CrashCount, PoisonTracker
from tamarackrill.decisions.routing import Placement, PlacementRequest
from tamarackrill.exceptions import Refusal

POOL = [f"engine-{i}" for i in range(5)]
ENDPOINTS = [Endpoint(name, "engine", ("m",), "", "kranj-hall") for name in POOL]
BAD = p.shorten_fingerprint("00ff" * 8)
INNOCENT = [101, 102, 103]


class Router:
    """A router's flow around the decisions, without a network."""

    def __init__(self, name):
        self.name = name
        self.poison, self.health, self.placement = (
            PoisonTracker(),
            Health(),
            Placement(2.0),
        )

    def send(self, fingerprint, now_s):
        """Return the endpoint, or raise the refusal that the caller receives."""
        self.poison.check(fingerprint, now_s)
        avoided = self.poison.find_endpoints_to_avoid(fingerprint, now_s)
        allowed = set(self.health.find_allowed(POOL, now_s)) - avoided
        live = [endpoint for endpoint in ENDPOINTS if endpoint.name in allowed]
        request = PlacementRequest("key", "chat")
        return self.placement.choose(request, live, now_s).endpoint.name

    def crash(self, fingerprint, endpoint, now_s):
        self.health.observe_crash(endpoint, now_s)
        self.poison.observe_crash(fingerprint, endpoint, now_s)
        crashed = self.poison.find_crashed_endpoints(fingerprint, now_s)
        if len(crashed) >= p.CRASHES_MAX:
            for name in crashed:
                self.health.forgive(name, now_s)

    def hear(self, peer, now_s):
        for entry in peer.poison.digest(now_s):
            self.poison.observe_peer(peer.name, *entry, now_s)


def test_poison_is_refused_before_a_third_endpoint_across_routers():
    # A request crashes each endpoint that runs it and its caller sends it again, by
    # the balancer to another router.  Without a common count each router would lose
    # two engines of its own to it, and all callers there lose their answers.
    one, other = Router("one"), Router("other")
    one.crash(BAD, one.send(BAD, 0.0), 0.0)
    other.hear(one, 1.0)
    other.crash(BAD, other.send(BAD, 1.0), 1.0)
    one.hear(other, 2.0)
    for router in (one, other):
        with pytest.raises(Refusal) as refusal:
            router.send(BAD, 3.0)
        assert (refusal.value.code, refusal.value.run) == ("poison_request", "unknown")
        assert refusal.value.retry_after_s > 500.0
        assert router.send(INNOCENT[0], 3.0)


def test_endpoints_that_poison_crashed_are_not_ejected():
    # The engines are well again after a restart.  Kept out for the crashes, they would
    # leave their callers to the rest of the pool, which the next resend takes down.
    router = Router("one")
    for endpoint in POOL[:2]:
        router.health.observe_crash(endpoint, 0.0)
    router.crash(BAD, "engine-0", 15.0)
    assert "engine-0" not in router.health.find_allowed(POOL, 15.0)
    router.crash(BAD, "engine-1", 16.0)
    assert router.health.find_allowed(POOL, 16.0) == POOL


def test_innocent_requests_of_a_crash_are_told_apart():
    # A crash breaks all answers in flight, and all are sent again.  Sent together they
    # would crash the next engine together, and callers who did nothing be refused.
    router = Router("one")
    for fingerprint in (BAD, *INNOCENT):
        router.poison.observe_crash(fingerprint, "engine-0", 0.0)
    places = {}
    for fingerprint in (BAD, *INNOCENT):
        places[fingerprint] = router.send(fingerprint, 1.0)
        router.poison.start(fingerprint, places[fingerprint], 1.0)
    assert {"engine-0", *places.values()} == set(POOL)
    router.poison.finish(INNOCENT[0], places[INNOCENT[0]])
    router.poison.observe_success(INNOCENT[0])
    assert router.poison.find_endpoints_to_avoid(INNOCENT[0], 2.0) == set()
    assert places[INNOCENT[0]] not in router.poison.find_endpoints_to_avoid(BAD, 2.0)


def test_one_crash_counts_once_and_a_second_at_the_same_endpoint_again():
    # A pool of one: the stream breaks, and each try to resume it fails at once, which
    # is one crash.  After the engine's restart the caller sends the request again.
    poison = PoisonTracker()
    assert poison.observe_crash(BAD, "only", 0.0)
    assert not poison.observe_crash(BAD, "only", 1.0)
    poison.check(BAD, 2.0)
    assert poison.observe_crash(BAD, "only", 60.0)
    with pytest.raises(Refusal):
        poison.check(BAD, 61.0)


def test_count_is_forgotten_in_time_and_not_kept_alive_by_gossip():
    # Two routers tell each other what they know.  If each passed on what it heard, the
    # request would be refused for ever, also after the model was mended.
    one, other = Router("one"), Router("other")
    for endpoint in POOL[:2]:
        one.poison.observe_crash(BAD, endpoint, 0.0)
    other.hear(one, p.CRASHES_KEPT_S - 20.0)
    one.hear(other, p.CRASHES_KEPT_S - 10.0)
    assert one.send(BAD, p.CRASHES_KEPT_S + 1.0)
    assert other.send(BAD, 2 * p.CRASHES_KEPT_S)
    assert one.poison.observe_crash(BAD, POOL[0], p.CRASHES_KEPT_S + 12.0)


def test_fingerprints_are_bounded():
    poison = PoisonTracker()
    for number in range(p.FINGERPRINTS_KEPT + 10):
        poison.observe_crash(number, "e", float(number) / 100)
    assert len(poison) == p.FINGERPRINTS_KEPT
    digest = poison.digest(11.0)
    assert len(digest) == p.DIGEST_ENTRIES_MAX
    assert digest[0] == CrashCount(p.FINGERPRINTS_KEPT + 9, 1)
