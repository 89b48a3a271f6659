import signal
import time

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.router.orders import LEASE_NAME
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

LEASE_S = 1.0
KEY = {"Authorization": "Bearer the-key"}


def _contract(*models):
    hashes = [hash_key("the-key")]
    return {"team": "t", "key_hashes": hashes, "models": list(models)}


def _lose_renewal_response(fleet):
    fleet.platform.set_faults(lose_answers=1)
    writes = fleet.platform.look("counts")["write"]
    wait_for(lambda: fleet.platform.look("counts")["write"] > writes, "a renewal")


def _let_lease_lapse(fleet, routers):
    """Hold up both routers until the holder has lost its lease, and regained it."""
    for router in routers:
        router.send(signal.SIGSTOP)
    time.sleep(1.5 * LEASE_S)
    writes = fleet.platform.look("counts")["write"]
    routers[0].send(signal.SIGCONT)
    wait_for(lambda: fleet.platform.look("counts")["write"] > writes, "a renewal")
    routers[1].send(signal.SIGCONT)


def _list_orders(router):
    return [line for line in router.lines if " order_given " in line]


def _find_newest_fence(router):
    """Return the fencing number of the last change of holder that a router logged."""
    moves = [line for line in router.lines if " order_lease_moved " in line]
    return int(moves[-1].partition(" fence=")[2].split()[0])


@pytest.mark.parametrize("has_lapsed", [False, True])
@pytest.mark.parametrize("is_renewal_lost", [False, True])
@pytest.mark.parametrize("ignores_numbers", [False, True])
def test_frozen_lease_holder_sends_no_order_when_it_resumes(
    ignores_numbers, is_renewal_lost, has_lapsed
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
            fleet.add_router(name, "zone-a", f"--lease-s={LEASE_S}") for name in names
        )
        holder.wait_line(" order_given ")
        if has_lapsed:
            _let_lease_lapse(fleet, (holder, successor))
        if is_renewal_lost:
            _lose_renewal_response(fleet)
        holder.send(signal.SIGSTOP)
        fleet.platform.set_faults()
        del fleet.routers[holder.name]
        fleet.publish_vms()
        fleet.put_contract(_contract("m", "first", "second"))
        assert "model=second" in successor.wait_line(" order_given ")
        taken_over = _find_newest_fence(successor)
        holder.send(signal.SIGCONT)
        # It now tries to renew and gets a version conflict with the successor's write.
        # If the response to its last renewal was lost, it reads the lease first.
        holder.wait_line(" is_own=False")
        assert _find_newest_fence(holder) >= taken_over
        fleet.put_contract(_contract("m", "first", "second", "third"))
        wait_for(lambda: len(engine.look()["orders"]) == 3, "the third load")
        orders = engine.look()["orders"]
        assert [order["model"] for order in orders] == ["first", "second", "third"]
        wait_for(lambda: len(_list_orders(successor)) == 2, "its log line")
        assert len(_list_orders(holder)) == 1
        # A holder that is held up for longer than its lease takes a new number.
        fences = [order["fence"] for order in orders]
        assert fences[0] < taken_over == fences[1] <= fences[2]
        chat = {"model": "third", "messages": [{"role": "user", "content": "hi"}]}
        path = "/v1/chat/completions"

        def is_served():
            return call(successor.address, path, chat, headers=KEY).status == 200

        wait_for(is_served, "callers of the ordered model are served")
