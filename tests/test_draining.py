"""Tests of endpoints that drain while several router processes send to them."""

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

KEY = {"Authorization": "Bearer the-key"}
CONTRACT = {"team": "t", "key_hashes": [hash_key("the-key")], "services": ["s"]}
CALLS = 20


def _leave_by_object(fleet):
    path = "/v1/objects/endpoint/worker-1"
    value = call(fleet.platform.address, path).json()["value"]
    call(fleet.platform.address, path, {**value, "state": "leaving"}, "PUT")


def _leave_by_vm_list(fleet):
    fleet.publish_vms(leaving=["worker-1"])


@pytest.mark.parametrize("leave", [_leave_by_object, _leave_by_vm_list])
def test_leaving_endpoint_gets_no_new_requests_from_any_router(leave):
    # Guards against requests cut off when a worker shuts down.  Its own object or only
    # the platform's VM list says that it leaves; a router that reads just the other
    # source would keep sending to it.
    with FleetProcesses() as fleet:
        leaving, _ = (fleet.add_service(f"worker-{number}") for number in (1, 2))
        fleet.put_contract(CONTRACT)
        routers = [fleet.add_router("a"), fleet.add_router("b")]
        fleet.wait_ready()

        def send_all():
            for router in routers:
                for _ in range(CALLS):
                    answer = call(router.address, "/services/s/look", headers=KEY)
                    assert answer.status == 200

        send_all()
        assert leaving.look()["total"] > 0
        leave(fleet)
        for router in routers:
            router.wait_line(" endpoint_leaving endpoint=worker-1 ")
        before = leaving.look()["total"]
        send_all()
        assert leaving.look()["total"] == before
        fleet.publish_vms()


def test_endpoint_whose_vm_is_not_listed_is_still_used():
    # Guards against refused requests when the VM list lags behind and lacks the VM of a
    # running worker: that must not be taken for leaving.
    with FleetProcesses() as fleet:
        fleet.add_service("worker-1")
        fleet.put_contract(CONTRACT)
        router = fleet.add_router("a")
        fleet.wait_ready()
        reads = fleet.platform.look("counts")["vms"]
        wait_for(
            lambda: fleet.platform.look("counts")["vms"] > reads + 1, "lists are read"
        )
        assert call(router.address, "/services/s/look", headers=KEY).status == 200
