"""A short soak test run of routers that stand still."""

from soak import standstills


def test_callers_of_routers_that_stand_still_are_served_by_what_is_in_force(tmp_path):
    # Guards against requests that are decided before a standstill is noticed, closed
    # with their connection, or run and left without an answer.
    assert standstills.run_seed(3, tmp_path) == []
