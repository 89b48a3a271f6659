"""An availability zone that is cut off from the platform and other zones."""

import signal

from tamarackrill.contracts import hash_key
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

KEY = {"Authorization": "Bearer the-key"}
CONTRACT = {
    "team": "t",
    "key_hashes": [hash_key("the-key")],
    "models": ["m"],
    "services": ["s"],
    "non_idempotent": [{"service": "s", "method": "POST", "path_prefix": "/book"}],
}
CHAT = {"model": "m", "messages": [{"role": "user", "content": "a b"}]}
CHATS = 10


def _list_live(router):
    members = router.status()["members"]
    return {m["name"] for m in members if m["state"] in ("alive", "suspect")}


def _book(router, key):
    headers = {**KEY, "Idempotency-Key": key}
    return call(router.address, "/services/s/book", {}, headers=headers)


def test_cut_zone_serves_what_it_can_and_converges_again():
    # A zone loses its network link: its routers reach neither the platform nor routers
    # of other zones (simulated by SIGSTOP).  Lookups and chats must still be served.  A
    # non-idempotent booking, which another zone might run as well, must be refused at
    # once as not run.
    with FleetProcesses() as fleet:
        fleet.add_engine("engine-1")
        worker = fleet.add_service("worker-1")
        fleet.put_contract(CONTRACT)
        far = fleet.add_router("far", "zone-a")
        near = [fleet.add_router(name, "zone-b") for name in ("near-1", "near-2")]
        fleet.wait_ready()
        fleet.platform.set_faults(cut=["zone-b"])
        far.send(signal.SIGSTOP)
        for router in near:
            router.wait_line(" platform_lost ")
            wait_for(
                lambda router=router: _list_live(router) == {"near-1", "near-2"},
                "the far router is taken off",
            )
        for number in range(CHATS):
            router = near[number % 2]
            chat = {**KEY, "Chat-Id": f"chat-{number}"}
            path = "/v1/chat/completions"
            assert call(router.address, path, CHAT, headers=chat).status == 200
            assert call(router.address, "/services/s/look", headers=KEY).status == 200
        refused = _book(near[0], "quote-1")
        assert refused.status == 503
        assert refused.json()["run"] == "not_run"
        assert "quote-1" not in worker.look()["arrivals"]
        # The contract changes during the partition, and the partition heals.
        version = fleet.put_contract({**CONTRACT, "weight": 7})
        fleet.platform.set_faults()
        far.send(signal.SIGCONT)
        for router in [far, *near]:
            router.wait_line(f" kind=contract object=t version={version} ")
            wait_for(
                lambda router=router: len(_list_live(router)) == 3, "views agree again"
            )
        wait_for(lambda: _book(near[0], "quote-1").status == 200, "the booking is made")
        assert worker.look()["arrivals"]["quote-1"] == 1
