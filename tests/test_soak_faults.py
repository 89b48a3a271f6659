"""Short soak test runs of routers and network paths that fail."""

import pytest
from soak.run import (
    EVACUATED_ZONES,
    RESTORED_STORE,
    THREE_ZONES,
    TWO_ZONES,
    run_seed,
)


# Regression seeds 3 and 5: a worker crashed in the middle of its first event, and the
# partial event was joined to the next worker's stream.
@pytest.mark.parametrize("seed", [1, 2, 3, 5])
def test_guarantees_hold_while_routers_and_paths_fail(seed, tmp_path):
    # Routers are killed, stopped and paused, network paths delayed, silenced and reset,
    # and workers drop responses, with overlaps.  Guards against a client that gets
    # another's response, a non-idempotent request that runs twice, and a response that
    # says that nothing ran although it did.
    assert run_seed(seed, tmp_path) == []


@pytest.mark.parametrize(("seed", "topology"), [(1, TWO_ZONES), (2, THREE_ZONES)])
def test_guarantees_hold_while_zones_are_partitioned_and_starting_routers_signalled(
    seed, topology, tmp_path
):
    # Guards against routers that exit unexpectedly, and against routers that don't get
    # a new manifest after network faults.
    assert run_seed(seed, tmp_path, topology) == []


def test_evacuated_zones_get_no_request_after_faults(tmp_path):
    # Guards against routers that miss an evacuation because they were killed, paused or
    # cut off from the store and from each other, and go on sending to the zone.
    assert run_seed(3, tmp_path, EVACUATED_ZONES) == []


def test_restored_store_costs_no_manifest_and_no_endpoint(tmp_path):
    # Guards against routers that ignore what a store writes after it has come back from
    # a copy, while routers and paths fail.
    assert run_seed(1, tmp_path, RESTORED_STORE) == []
