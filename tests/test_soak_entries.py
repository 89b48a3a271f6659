"""Short soak test runs of the store's objects."""

import pytest
from soak import entries


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_replaced_and_unreadable_objects_harm_no_guarantee(seed, tmp_path):
    # Guards against workers that are never used again, evacuations that are ignored,
    # and objects of other programs or events without end that harm other requests.
    assert entries.run_seed(seed, tmp_path) == []
