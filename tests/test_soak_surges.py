"""Short soak test runs of surges and leaving workers."""

import pytest
from soak import surges


@pytest.mark.parametrize("seed", [1, 2, 60])
def test_surges_and_leaving_workers_survive_changes_of_the_fleet(seed):
    # Guards against brittle workers that fall over, and requests to a worker that
    # leaves, while routers are replaced, killed, late and cut off from each other, the
    # store comes back from a copy, and requests wait for slots.
    assert surges.run_seed(seed) == []
