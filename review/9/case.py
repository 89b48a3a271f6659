"""DRAIN: the store cuts off waiting watches, then a worker's entry is removed."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import standins

ZONE = "caerdydd-a"
DRAIN_S = 2.0
# How much longer than `DRAIN_S` a worker serves before it exits.
SERVES_ON_S = 0.6
ROUNDS = 5
# How often the store cuts off the watches that are waiting then, with this pause after
# each time; the first cut of a watch on a used channel is hidden by the HTTP client.
CUTS = 3
PAUSE_S = 0.1
# Requests a second that clients send to each machine.
RATE_PER_S = 40
SERVICE = {"name": "booking-desk", "health_path": "/health", "max_connections": 110}


class Traffic:
    """Clients that send requests to each machine at a fixed rate."""

    def __init__(self, scene):
        self._scene = scene
        self._answers = []
        self._is_over = False
        self._tasks = [
            asyncio.create_task(self._send_to(router)) for router in scene.routers
        ]

    async def _send_to(self, router):
        while not self._is_over:
            request_id = f"a{len(self._answers):08x}"
            asking = standins.ask(
                self._scene.record, router, "/puxa403/2f", request_id, b"x" * 200, 1500
            )
            self._answers.append(asyncio.create_task(asking))
            await asyncio.sleep(1 / RATE_PER_S)

    async def end(self):
        """Send nothing more, and return the answers."""
        self._is_over = True
        await asyncio.gather(*self._tasks)
        return await asyncio.gather(*self._answers)


async def replace(scene, leaving, number):
    """Take a worker away that never reports draining; return what came too late."""
    record, store = scene.record, scene.store
    if standins.has_trouble():
        for _ in range(CUTS):
            record.write("store cuts off waiting watches", cut=store.cut_watches())
            await asyncio.sleep(PAUSE_S)
    leaving.stop_beats()
    acknowledged_s = await store.write("servers", leaving.id, None)
    record.write("entry removed", worker=leaving.id)
    await asyncio.sleep(DRAIN_S + SERVES_ON_S)
    after_s = [r.arrived_s - acknowledged_s for r in leaving.ran]
    after_s = [t for t in after_s if t > 0]
    late = [t for t in after_s if t > DRAIN_S]
    record.say(
        f"removal {number}, worker {leaving.id}: {len(after_s)} requests after it was "
        f"acknowledged, the last {max(after_s, default=0):.3f} s after; "
        f"{len(late)} of them later than {DRAIN_S} s"
    )
    await leaving.exit()
    return late


async def play(scene):
    """Replace some workers; return whether the rule held."""
    record, store, network = scene.record, scene.store, scene.network

    def add_worker():
        worker = standins.Worker(
            f"{network}.100", store, record, "booking-desk", ZONE
        )
        return scene.add_worker(worker)

    route = standins.make_route(
        "/puxa403/",
        "non_idempotent",
        "booking-desk",
        timeout_ms=800,
        target_latency_ms=100,
    )
    await store.write(
        "config", "main", standins.make_manifest(7, [route], [SERVICE])
    )
    workers = [add_worker() for _ in range(3)]
    for worker in workers:
        await worker.boot()
    seeds = [f"{network}.1", f"{network}.2"]
    for number in (1, 2):
        scene.add_router(number, ZONE, (ZONE,), seeds).start()
    for router in scene.routers:
        await router.wait_ready()
    await asyncio.sleep(4)
    traffic = Traffic(scene)
    late = []
    for number in range(1, ROUNDS + 1):
        await asyncio.sleep(4)
        workers.append(add_worker())
        await workers[-1].boot()
        await asyncio.sleep(1.5)
        late += await replace(scene, workers.pop(0), number)
    answers = await traffic.end()
    statuses = dict(Counter(answer.status for answer in answers))
    record.say(f"answers by status (0: the channel ended): {statuses}")
    if statuses.get(200, 0) < len(answers) / 2:
        raise standins.CannotRun("less than half of the requests were served")
    record.say(f"requests that reached a worker too late: {len(late)}; allowed 0")
    return not late


if __name__ == "__main__":
    standins.run_case(Path(__file__).resolve().parent, play)
