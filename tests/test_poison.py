import pytest

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import poison as p
from tamarackrill.decisions.health import Health
from tamarackrill.decisions.poison import CrashCount, PoisonTracker
from tamarackrill.decisions.routing import LoadBalancer, PlacementRequest
from tamarackrill.exceptions import Refusal

POOL = [f"engine-{i}" for i in range(5)]
ENDPOINTS = [Endpoint(name, "engine", ("m",), "", "kranj-hall") for name in POOL]
POISON = p.shorten_fingerprint("00ff" * 8)
INNOCENT = [101, 102, 103]


class Router:
    """A router's request flow around the decision modules, without a network."""

    def __init__(self, name):
        self.name = name
        self.poison, self.health, self.placement = (
            PoisonTracker(),
            Health(),
            LoadBalancer(2.0),
        )

    def send(self, fingerprint, now_s):
        """Return the chosen endpoint, or raise the refusal that the caller receives."""
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
                self.health.retract_crash(name, now_s)

    def receive_digest(self, peer, now_s):
        for entry in peer.poison.digest(now_s):
            self.poison.observe_peer(peer.name, *entry, now_s)


def test_poison_request_is_refused_before_a_third_endpoint_across_routers():
    # A request crashes each endpoint that runs it, and its caller resends it, which the
    # load balancer sends to another router. Without a shared count each router would
    # lose two engines to it, and all callers of these engines would lose their
    # responses.
    one, other = Router("one"), Router("other")
    one.crash(POISON, one.send(POISON, 0.0), 0.0)
    other.receive_digest(one, 1.0)
    other.crash(POISON, other.send(POISON, 1.0), 1.0)
    one.receive_digest(other, 2.0)
    for router in (one, other):
        with pytest.raises(Refusal) as refusal:
            router.send(POISON, 3.0)
        assert (refusal.value.code, refusal.value.run) == ("poison_request", "unknown")
        assert refusal.value.retry_after_s > 500.0
        assert router.send(INNOCENT[0], 3.0)


def test_endpoints_crashed_by_a_poison_request_are_not_ejected():
    # The engines are healthy again after a restart. If they stayed ejected, their load
    # would move to the rest of the pool, which the next resend takes down.
    router = Router("one")
    for endpoint in POOL[:2]:
        router.health.observe_crash(endpoint, 0.0)
    router.crash(POISON, "engine-0", 15.0)
    assert "engine-0" not in router.health.find_allowed(POOL, 15.0)
    router.crash(POISON, "engine-1", 16.0)
    assert router.health.find_allowed(POOL, 16.0) == POOL


def test_suspects_are_separated_to_identify_the_poison_request():
    # A crash breaks all responses in flight, and all requests are resent. If they ran
    # together, the next engine would crash with all of them, and innocent callers would
    # be refused.
    router = Router("one")
    for fingerprint in (POISON, *INNOCENT):
        router.poison.observe_crash(fingerprint, "engine-0", 0.0)
    places = {}
    for fingerprint in (POISON, *INNOCENT):
        places[fingerprint] = router.send(fingerprint, 1.0)
        router.poison.start(fingerprint, places[fingerprint], 1.0)
    assert {"engine-0", *places.values()} == set(POOL)
    router.poison.finish(INNOCENT[0], places[INNOCENT[0]])
    router.poison.observe_success(INNOCENT[0])
    assert router.poison.find_endpoints_to_avoid(INNOCENT[0], 2.0) == set()
    assert places[INNOCENT[0]] not in router.poison.find_endpoints_to_avoid(POISON, 2.0)


def test_crash_counts_once_and_a_later_one_at_the_same_endpoint_counts_again():
    # A pool of one endpoint: the stream breaks and each attempt to resume it fails
    # immediately, which is one crash. After the engine's restart the caller sends the
    # request again.
    poison = PoisonTracker()
    assert poison.observe_crash(POISON, "only", 0.0)
    assert not poison.observe_crash(POISON, "only", 1.0)
    poison.check(POISON, 2.0)
    assert poison.observe_crash(POISON, "only", 60.0)
    with pytest.raises(Refusal):
        poison.check(POISON, 61.0)


def test_counts_expire_and_are_not_kept_alive_by_gossip():
    # Two routers exchange their counts. If each forwarded what it received, the request
    # would be refused forever, even after the model was fixed.
    one, other = Router("one"), Router("other")
    for endpoint in POOL[:2]:
        one.poison.observe_crash(POISON, endpoint, 0.0)
    other.receive_digest(one, p.CRASH_TTL_S - 20.0)
    one.receive_digest(other, p.CRASH_TTL_S - 10.0)
    assert one.send(POISON, p.CRASH_TTL_S + 1.0)
    assert other.send(POISON, 2 * p.CRASH_TTL_S)
    assert one.poison.observe_crash(POISON, POOL[0], p.CRASH_TTL_S + 12.0)


def test_fingerprints_are_bounded():
    poison = PoisonTracker()
    for number in range(p.FINGERPRINTS_MAX + 10):
        poison.observe_crash(number, "e", float(number) / 100)
    assert len(poison) == p.FINGERPRINTS_MAX
    digest = poison.digest(11.0)
    assert len(digest) == p.DIGEST_ENTRIES_MAX
    assert digest[0] == CrashCount(p.FINGERPRINTS_MAX + 9, 1)


@pytest.mark.parametrize(
    ("early", "late", "is_refused"),
    [
        (0, 3, False),
        (0, 4, True),
        (1, 1, False),
        (1, 2, True),
        (2, 0, True),
    ],
)
def test_late_crashes_count_half_of_early_ones_at_every_router(early, late, is_refused):
    # Guards against a request that crashes one endpoint after another, each only after
    # its response has begun.
    one, other = Router("one"), Router("other")
    for number in range(early + late):
        is_late = number >= early
        one.poison.observe_crash(POISON, f"engine-{number}", 0.0, is_late)
    other.receive_digest(one, 1.0)
    other.receive_digest(one, 2.0)
    for router in (one, other):
        assert router.poison.is_poison(POISON, 3.0) == is_refused


def test_count_of_many_crashes_fits_into_a_message():
    # Guards against a router whose messages to others can't be encoded any more.
    poison = PoisonTracker()
    for number in range(300):
        poison.observe_crash(POISON, f"e{number}", 0.0, is_late=number % 2 == 0)
    count = poison.count_own(POISON, 1.0)
    assert count == CrashCount(POISON, p.CRASHES_MAX, p.LATE_CRASHES_MAX)


def test_suspect_waits_before_the_run_that_decides():
    # Guards against a pool of which all endpoints crash before the first is back.
    poison = PoisonTracker()
    for number in range(2):
        poison.observe_crash(POISON, f"e{number}", number / 10, is_late=True)
    assert poison.find_pause_s(POISON, 0.2) == 0.0
    poison.observe_crash(POISON, "e2", 0.2, is_late=True)
    assert poison.find_pause_s(POISON, 0.3) == pytest.approx(0.9)
    assert poison.find_pause_s(POISON, 1.3) == 0.0
