"""Short soak test runs of endpoints and clients that send without end."""

import pytest
from soak import endless


@pytest.mark.parametrize("seed", [2, 4])
def test_bytes_without_end_fill_no_memory_and_hold_up_no_others(seed, tmp_path):
    # Guards against routers that run out of memory, end, or leave requests to sound
    # endpoints without an answer, while endpoints and clients send without end and
    # routers are stopped.
    assert endless.run_seed(seed, tmp_path) == []
