"""A soak of the product's own daemon: confirmations while routers come and go.

``python -m soak.native --seed 7`` plays a seed.  Callers keep their keys when they ask
again, and go to another router only when they were told that nothing ran.
"""

import argparse
import random
import signal
import sys
import threading
import time
from collections import Counter

from tamarackrill.contracts import hash_key
from tamarackrill.testing.processes import FleetProcesses, RouterProcess, call

ZONES = ("a", "b", "c")
WORKERS = 2
CALLERS = 6
FAULTS = 8
PAUSE_MAX_S = 0.8
# A caller that found nobody asks again after this time.
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
    """Confirms one thing after the other."""

    def __init__(self, name: str, soak: "NativeSoak", chance: random.Random) -> None:
        super().__init__(daemon=True)
        self._soak = soak
        self._chance = chance
        self.name = name
        self.sent: list[str] = []
        self.refused: list[str] = []
        self.broken: list[str] = []
        self.statuses: Counter[str] = Counter()

    def run(self) -> None:
        while not self._soak.is_over.is_set():
            key = f"{self.name}-{len(self.sent)}"
            self.sent.append(key)
            self._ask(key)

    def _ask(self, key: str) -> None:
        headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": key}
        address = self._chance.choice(self._soak.list_addresses())
        try:
            answer = call(address, "/services/s/confirm", {}, None, headers, 5.0)
        except OSError as error:
            self.statuses[type(error).__name__] += 1
            self._soak.is_over.wait(RETRY_S)
            return
        self.statuses[str(answer.status)] += 1
        if answer.status == 200:
            if answer.json()["key"] != key:
                self.broken.append(f"{key} got an answer to {answer.json()['key']}")
        elif answer.json()["run"] == "not_run":
            self.refused.append(key)


class NativeSoak:
    """One seed."""

    def __init__(self, seed: int) -> None:
        self._chance = random.Random(seed)
        self._routers: list[RouterProcess] = []
        self._count = 0
        self.is_over = threading.Event()
        self.faults: list[str] = []
        self.statuses: Counter[str] = Counter()

    def list_addresses(self) -> list[str]:
        """Return where callers may ask."""
        return [router.address for router in self._routers]

    def run(self) -> list[str]:
        """Play, and return which promises were broken."""
        with FleetProcesses() as fleet:
            workers = [fleet.add_service(f"worker-{n}") for n in range(WORKERS)]
            fleet.put_contract(CONTRACT)
            for zone in ZONES:
                self._add(fleet, zone)
            fleet.wait_ready()
            callers = [
                _Caller(f"caller-{n}", self, random.Random(self._chance.random()))
                for n in range(CALLERS)
            ]
            for caller in callers:
                caller.start()
            broken = []
            for _ in range(FAULTS):
                time.sleep(self._chance.random() * PAUSE_MAX_S)
                broken += self._harm(fleet)
            self.is_over.set()
            for caller in callers:
                caller.join()
                broken += caller.broken
                self.statuses += caller.statuses
            arrivals: Counter[str] = Counter()
            for worker in workers:
                arrivals.update(worker.look()["arrivals"])
        refused = {key for caller in callers for key in caller.refused}
        broken += [f"{key} ran {n} times" for key, n in arrivals.items() if n > 1]
        broken += [f"{key} ran though refused" for key in refused & arrivals.keys()]
        return broken

    def _add(self, fleet: FleetProcesses, zone: str) -> None:
        self._count += 1
        self._routers.append(fleet.add_router(f"router-{self._count}", zone))

    def _harm(self, fleet: FleetProcesses) -> list[str]:
        router = self._chance.choice(self._routers)
        kind = self._chance.choice(["hups", "stop", "kill", "pause"])
        self.faults.append(f"{router.name} {kind}")
        if kind == "pause":
            router.send(signal.SIGSTOP)
            time.sleep(self._chance.random() * PAUSE_MAX_S)
            router.send(signal.SIGCONT)
            return []
        if kind == "hups":
            for _ in range(self._chance.randint(1, 3)):
                router.send(signal.SIGHUP)
            time.sleep(self._chance.random() * PAUSE_MAX_S)
            return [f"{router.name} ended by SIGHUP"] if router.is_ended() else []
        self._routers.remove(router)
        del fleet.routers[router.name]
        if kind == "stop":
            router.send(signal.SIGTERM)
            for number in (signal.SIGHUP, signal.SIGTERM):
                if not router.is_ended():
                    router.send(number)
            code = router.wait()
        else:
            router.kill()
            code = 0
        self._add(fleet, router.zone)
        return [f"{router.name} was told to stop and ended with {code}"] if code else []


def play_seed(seed: int) -> list[str]:
    """Play a seed, and return which promises were broken."""
    soak = NativeSoak(seed)
    broken = soak.run()
    print(f"seed {seed}: {', '.join(soak.faults)}; {dict(soak.statuses)}", flush=True)
    for line in broken:
        print(f"  BROKEN {line}", flush=True)
    return broken


def main() -> int:
    """Play the seeds of the command line; the exit code tells whether all held."""
    parser = argparse.ArgumentParser(description="Soak of the product's own daemon.")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    failed = sum(bool(play_seed(seed)) for seed in seeds)
    print(f"{options.seeds - failed} seeds held, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
