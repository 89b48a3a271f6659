import signal

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.router.orders import LEASE_NAME
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

KEY = {"Authorization": "Bearer the-key"}


def _contract(*models):
    hashes = [hash_key("the-key")]
    return {"team": "t", "key_hashes": hashes, "models": list(models)}


def _lose_renewal_response(fleet):
    fleet.platform.set_faults(lose_answers=1)
    writes = fleet.platform.look("counts")["write"]
    wait_for(lambda: fleet.platform.look("counts")["write"] > writes, "a renewal")


@pytest.mark.parametrize("is_renewal_lost", [False, True])
@pytest.mark.parametrize("ignores_numbers", [False, True])
def test_frozen_lease_holder_sends_no_order_when_it_resumes(
    ignores_numbers, is_renewal_lost
):
    # The lease holder is frozen, its lease expires and another router takes over.  When
    # it resumes, it still believes that it holds the lease.  If it sent an order, an
    # engine that ignores fencing numbers would undo the successor's order, and callers
    # of that model would be refused.
    with FleetProcesses() as fleet:
        engine = fleet.add_engine("engine-1", "m", "--models-max=9")
        engine.set_faults(ignore_fencing=ignores_numbers)
        fleet.put_contract(_contract("m", "first"))
        names = rendezvous_order(LEASE_NAME, ["a", "b"], 2)
        holder, successor = (
            fleet.add_router(name, "zone-a", "--lease-s=1") for name in names
        )
        holder.wait_line(" order_given ")
        if is_renewal_lost:
            _lose_renewal_response(fleet)
        holder.send(signal.SIGSTOP)
        fleet.platform.set_faults()
        del fleet.routers[holder.name]
        fleet.publish_vms()
        fleet.put_contract(_contract("m", "first", "second"))
        assert "model=second" in successor.wait_line(" order_given ")
        holder.send(signal.SIGCONT)
        # It now tries to renew and gets a version conflict with the successor's write.
        # If the response to its last renewal was lost, it reads the lease first.
        holder.wait_line("fence=2 is_own=False")
        fleet.put_contract(_contract("m", "first", "second", "third"))
        wait_for(lambda: len(engine.look()["orders"]) == 3, "the third load")
        orders = engine.look()["orders"]
        assert [order["fence"] for order in orders] == [1, 2, 2]
        chat = {"model": "third", "messages": [{"role": "user", "content": "hi"}]}
        path = "/v1/chat/completions"

        def is_served():
            return call(successor.address, path, chat, headers=KEY).status == 200

        wait_for(is_served, "callers of the ordered model are served")
