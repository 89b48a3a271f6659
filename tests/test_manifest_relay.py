import pytest

from tamarackrill.decisions.manifest_relay import BURST_S, LINK_SHARE, RelayBudget

LINK_BYTES_PER_S = 2_500_000.0


def relay(budget, size_bytes, requests, now_s):
    return sum(budget.take(size_bytes, now_s) for _ in range(requests))


def test_short_manifest_is_relayed_to_a_whole_zone_at_once():
    budget = RelayBudget(LINK_BYTES_PER_S)
    assert relay(budget, 3_000, 45, 10.0) == 45


def test_long_manifest_does_not_saturate_the_link():
    # Guards against responses to callers waiting while a manifest is relayed to a whole
    # zone.
    budget = RelayBudget(LINK_BYTES_PER_S)
    relayed = relay(budget, 281_000, 45, 10.0)
    assert relayed * 281_000 <= BURST_S * LINK_BYTES_PER_S
    assert relayed == 2


@pytest.mark.parametrize("later_s", [0.1, 1.0, 60.0])
def test_budget_refills_over_time(later_s):
    budget = RelayBudget(LINK_BYTES_PER_S)
    relay(budget, 10_000, 1000, 10.0)
    refilled = relay(budget, 10_000, 1000, 10.0 + later_s)
    refill_max_bytes = min(LINK_SHARE * later_s, BURST_S) * LINK_BYTES_PER_S
    assert refill_max_bytes - 20_000 < refilled * 10_000 <= refill_max_bytes + 10_000
