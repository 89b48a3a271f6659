import pytest

from tamarackrill.decisions.manifest_relay import BURST_S, LINK_SHARE, RelayBudget

LINK_BYTES_PER_S = 2_500_000.0


def hand_on(budget, size_bytes, asked, now_s):
    return sum(budget.take(size_bytes, now_s) for _ in range(asked))


def test_short_manifest_is_handed_on_to_a_whole_zone_at_once():
    budget = RelayBudget(LINK_BYTES_PER_S)
    assert hand_on(budget, 3_000, 45, 10.0) == 45


def test_long_manifest_does_not_fill_the_link():
    # Guards against answers to callers that wait behind a manifest for a whole zone.
    budget = RelayBudget(LINK_BYTES_PER_S)
    handed_on = hand_on(budget, 281_000, 45, 10.0)
    assert handed_on * 281_000 <= BURST_S * LINK_BYTES_PER_S
    assert handed_on == 2


@pytest.mark.parametrize("later_s", [0.1, 1.0, 60.0])
def test_what_may_be_handed_on_comes_back_with_time(later_s):
    budget = RelayBudget(LINK_BYTES_PER_S)
    hand_on(budget, 10_000, 1000, 10.0)
    gained = hand_on(budget, 10_000, 1000, 10.0 + later_s)
    most = min(LINK_SHARE * later_s, BURST_S) * LINK_BYTES_PER_S
    assert most - 20_000 < gained * 10_000 <= most + 10_000
