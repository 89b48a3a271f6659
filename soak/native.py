"""Soak test of the native daemon: non-idempotent calls while routers come and go.

Workers fall silent meanwhile, and routers stand still, for up to `SILENCE_MAX_S`.
``python -m soak.native --seed 7`` runs one seed.  Each call has its own idempotency key
and goes to a random router.
"""

import random
import signal
import sys
import threading
import time
from collections import Counter

from soak.command import run_seeds
from tamarackrill.contracts import hash_key
from tamarackrill.testing.processes import (
    FleetProcesses,
    Process,
    RouterProcess,
    StandIn,
    call,
)

ZONES = ("a", "b", "c")
WORKERS = 2
CALLERS = 6
FAULTS = 8
PAUSE_MAX_S = 0.8
SILENCE_MIN_S = 1.0
SILENCE_MAX_S = 4.0
# Pause of a caller after a call that failed without a response.
RETRY_S = 0.05
KEY = "a key of the soak"
CONTRACT = {
    "team": "t",
    "key_hashes": [hash_key(KEY)],
    "models": ["m"],
    "services": ["s"],
    "non_idempotent": [{"service": "s", "method": "POST", "path_prefix": "/confirm"}],
}


class _Caller(threading.Thread):
    """Sends non-idempotent calls one at a time."""

    def __init__(self, name: str, soak: "NativeSoak", rng: random.Random) -> None:
        super().__init__(daemon=True)
        self._soak = soak
        self._rng = rng
        self.name = name
        self.sent: list[str] = []
        self.refused: list[str] = []
        self.violations: list[str] = []
        self.statuses: Counter[str] = Counter()

    def run(self) -> None:
        while not self._soak.finished.is_set():
            key = f"{self.name}-{len(self.sent)}"
            self.sent.append(key)
            self._ask(key)

    def _ask(self, key: str) -> None:
        headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": key}
        address = self._rng.choice(self._soak.list_addresses())
        try:
            answer = call(address, "/services/s/confirm", {}, None, headers, 5.0)
        except OSError as error:
            self.statuses[type(error).__name__] += 1
            self._soak.finished.wait(RETRY_S)
            return
        self.statuses[str(answer.status)] += 1
        if answer.status == 200:
            if answer.json()["key"] != key:
                self.violations.append(
                    f"{key} got the response to {answer.json()['key']}"
                )
        elif answer.json()["run"] == "not_run":
            self.refused.append(key)


class NativeSoak:
    """Soak test of one seed."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._routers: list[RouterProcess] = []
        self._count = 0
        self._workers: list[StandIn] = []
        self._timers: list[threading.Timer] = []
        self.finished = threading.Event()
        self.faults: list[str] = []
        self.statuses: Counter[str] = Counter()

    def list_addresses(self) -> list[str]:
        """Return the addresses of the routers that callers may use."""
        return [router.address for router in self._routers]

    def run(self) -> list[str]:
        """Run the test, and return a description of each violated guarantee."""
        with FleetProcesses() as fleet:
            workers = [fleet.add_service(f"worker-{n}") for n in range(WORKERS)]
            self._workers = workers
            fleet.put_contract(CONTRACT)
            for zone in ZONES:
                self._add(fleet, zone)
            fleet.wait_ready()
            callers = [
                _Caller(f"caller-{n}", self, random.Random(self._rng.random()))
                for n in range(CALLERS)
            ]
            for caller in callers:
                caller.start()
            violations = []
            for _ in range(FAULTS):
                time.sleep(self._rng.random() * PAUSE_MAX_S)
                violations += self._inject_fault(fleet)
            for timer in self._timers:
                timer.join()
            self.finished.set()
            for caller in callers:
                caller.join()
                violations += caller.violations
                self.statuses += caller.statuses
            arrivals: Counter[str] = Counter()
            for worker in workers:
                arrivals.update(worker.look()["arrivals"])
        refused = {key for caller in callers for key in caller.refused}
        violations += [f"{key} ran {n} times" for key, n in arrivals.items() if n > 1]
        violations += [
            f"{key} ran although it was refused" for key in refused & arrivals.keys()
        ]
        return violations

    def _add(self, fleet: FleetProcesses, zone: str) -> None:
        self._count += 1
        self._routers.append(fleet.add_router(f"router-{self._count}", zone))

    def _inject_fault(self, fleet: FleetProcesses) -> list[str]:
        router = self._rng.choice(self._routers)
        kind = self._rng.choice(["hups", "stop", "kill", "pause", "silence"])
        self.faults.append(f"{router.name} {kind}")
        if kind in ("pause", "silence"):
            stopped = router if kind == "pause" else self._rng.choice(self._workers)
            stopped.send(signal.SIGSTOP)
            silence_s = self._rng.uniform(SILENCE_MIN_S, SILENCE_MAX_S)
            # The next faults overlap with it.
            timer = threading.Timer(silence_s, _resume, [stopped])
            self._timers.append(timer)
            timer.start()
            return []
        if kind == "hups":
            for _ in range(self._rng.randint(1, 3)):
                router.send(signal.SIGHUP)
            time.sleep(self._rng.random() * PAUSE_MAX_S)
            return [f"{router.name} exited on SIGHUP"] if router.is_ended() else []
        self._routers.remove(router)
        del fleet.routers[router.name]
        if kind == "stop":
            # One that still stands still would not end in time.
            router.send(signal.SIGCONT)
            router.send(signal.SIGTERM)
            for number in (signal.SIGHUP, signal.SIGTERM):
                if not router.is_ended():
                    router.send(number)
            code = router.wait()
        else:
            router.kill()
            code = 0
        self._add(fleet, router.zone)
        return [f"{router.name} exited with code {code} after SIGTERM"] if code else []


def _resume(process: Process) -> None:
    if not process.is_ended():
        process.send(signal.SIGCONT)


def run_seed(seed: int) -> list[str]:
    """Run one seed, and return a description of each violated guarantee."""
    soak = NativeSoak(seed)
    violations = soak.run()
    print(f"seed {seed}: {', '.join(soak.faults)}; {dict(soak.statuses)}", flush=True)
    for line in violations:
        print(f"  BROKEN {line}", flush=True)
    return violations


if __name__ == "__main__":
    sys.exit(run_seeds("Soak test of the native daemon.", run_seed))
