"""Estimates of service time from few or very different requests."""

import pytest

from tamarackrill.decisions.estimates import ServiceEstimate

COST = 8.0
FAST_S = 0.002


@pytest.mark.parametrize("fast", [1, 10, 50])
@pytest.mark.parametrize("silence_s, silent", [(1.2, 1), (2.0, 2), (4.0, 8)])
def test_silence_of_an_endpoint_is_not_multiplied_by_its_speed(fast, silence_s, silent):
    # Guards against waiting calls that are refused as unable to meet their deadline for
    # ten times as long as the longest call has taken, after an endpoint was silent.
    estimate = ServiceEstimate()
    for number in range(fast):
        estimate.observe(COST, FAST_S, float(number), short=True)
    for _ in range(silent):
        estimate.observe(COST, silence_s, float(fast), short=True)
    assert estimate.estimate_service_s(COST) <= 2.0 * silence_s
