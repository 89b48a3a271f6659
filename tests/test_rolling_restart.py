import signal
import threading

from tamarackrill.contracts import hash_key
from tamarackrill.testing.processes import FleetProcesses, call

KEY = {"Authorization": "Bearer the-key"}
CONTRACT = {
    "team": "t",
    "key_hashes": [hash_key("the-key")],
    "models": ["m"],
    "services": ["s"],
    "non_idempotent": [{"service": "s", "method": "POST", "path_prefix": "/confirm"}],
}
NAMES = ("a", "b", "c")
CALLERS = 4


class _Caller(threading.Thread):
    """Sends one call after the other; goes to another router only if nothing ran."""

    def __init__(self, number, routers, stop):
        super().__init__()
        self.number = number
        self.routers = routers
        self.stop = stop
        self.sent = []
        self.faults = []

    def run(self):
        while not self.stop.is_set():
            key = f"caller-{self.number}-{len(self.sent)}"
            self.sent.append(key)
            self._call_until_answered(key)

    def _call_until_answered(self, key):
        headers = {**KEY, "Idempotency-Key": key, "Chat-Id": f"chat-{self.number}"}
        for router in self._list_routers():
            try:
                answer = call(router.address, "/services/s/confirm", {}, None, headers)
            except ConnectionRefusedError:
                continue
            except OSError as error:
                self.faults.append((key, repr(error)))
                return
            if answer.status == 200 and answer.json()["key"] == key:
                return
            if answer.status == 200 or answer.json()["run"] != "not_run":
                self.faults.append((key, answer.body))
                return
        self.faults.append((key, "refused everywhere"))

    def _list_routers(self):
        return [self.routers[name] for name in NAMES if name in self.routers] * 20


def test_rolling_restart_loses_and_doubles_nothing():
    # An operator replaces all routers, one after the other, while callers confirm
    # quotes.  A confirmation that was cut off would be sent again and bill twice,
    # one that was dropped would leave a kitchen unstaffed.
    with FleetProcesses() as fleet:
        workers = [fleet.add_service(f"worker-{number}") for number in (1, 2)]
        for worker in workers:
            worker.set_faults(delay_s=0.02)
        fleet.put_contract(CONTRACT)
        for name in NAMES:
            fleet.add_router(name)
        fleet.wait_ready()
        stop = threading.Event()
        routers = dict(fleet.routers)
        callers = [_Caller(number, routers, stop) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        for name in NAMES:
            old = routers.pop(name)
            old.send(signal.SIGTERM)
            assert old.wait() == 0
            assert "in_flight=0" in old.wait_line(" router_stopped ")
            routers[name] = fleet.add_router(name)
            fleet.wait_ready()
        stop.set()
        for caller in callers:
            caller.join()
        assert [fault for caller in callers for fault in caller.faults] == []
        arrivals = sum(len(worker.look()["arrivals"]) for worker in workers)
        most = max(max(worker.look()["arrivals"].values()) for worker in workers)
        sent = sum(len(caller.sent) for caller in callers)
        assert (arrivals, most) == (sent, 1)
