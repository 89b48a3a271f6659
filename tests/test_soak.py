"""A short run of the soak, and the seeds that once failed."""

import pytest
from soak.run import play_seed


# Seeds 3 and 5: a worker crashed in the middle of its first event, and the half event
# was joined to the next worker's stream.
@pytest.mark.parametrize("seed", [1, 2, 3, 5])
def test_promises_hold_while_routers_and_paths_fail(seed, tmp_path):
    # Routers are killed, stopped and paused, paths delayed, silenced and cut, workers
    # lose answers, and all of it overlaps.  A client must never get another's answer, a
    # request that may not repeat must never run twice, and a promise must be true.
    assert play_seed(seed, tmp_path) == []
