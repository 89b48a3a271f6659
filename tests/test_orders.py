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


def _lose_a_renewal(fleet):
    fleet.platform.set_faults(lose_answers=1)
    writes = fleet.platform.look("counts")["write"]
    wait_for(lambda: fleet.platform.look("counts")["write"] > writes, "a renewal")


@pytest.mark.parametrize("is_renewal_lost", [False, True])
@pytest.mark.parametrize("ignores_numbers", [False, True])
def test_paused_holder_gives_no_order_when_it_wakes(ignores_numbers, is_renewal_lost):
    # The router that orders engines is frozen; its lease lapses and another router
    # takes over.  When it wakes it still believes that it holds the lease.  Were it
    # to order then, an engine that ignores fencing numbers would undo what the
    # successor ordered, and callers of that model would be refused.
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
            _lose_a_renewal(fleet)
        holder.send(signal.SIGSTOP)
        fleet.platform.set_faults()
        del fleet.routers[holder.name]
        fleet.publish_vms()
        fleet.put_contract(_contract("m", "first", "second"))
        assert "model=second" in successor.wait_line(" order_given ")
        holder.send(signal.SIGCONT)
        # Awake, it tries to renew and meets the successor's version.  If the answer to
        # its last renewal was lost before it froze, it reads without trying.
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
