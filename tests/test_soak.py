"""A short run of the soak, and the seeds that once failed."""

import pytest
from soak import native
from soak.run import THREE_ZONES, TWO_ZONES, play_seed


# Seeds 3 and 5: a worker crashed in the middle of its first event, and the half event
# was joined to the next worker's stream.
@pytest.mark.parametrize("seed", [1, 2, 3, 5])
def test_promises_hold_while_routers_and_paths_fail(seed, tmp_path):
    # Routers are killed, stopped and paused, paths delayed, silenced and cut, workers
    # lose answers, and all of it overlaps.  A client must never get another's answer, a
    # request that may not repeat must never run twice, and a promise must be true.
    assert play_seed(seed, tmp_path) == []


@pytest.mark.parametrize(("seed", "shape"), [(1, TWO_ZONES), (2, THREE_ZONES)])
def test_promises_hold_while_zones_are_cut_and_routers_signalled_at_their_start(
    seed, shape, tmp_path
):
    # Guards against routers that end untold, and news that a harmed network keeps.
    assert play_seed(seed, tmp_path, shape) == []


def test_native_routers_keep_their_promises_while_they_come_and_go():
    assert native.play_seed(1) == []
