"""BUDGET: a request that crashes workers comes again after a router was restarted."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import standins2 as standins

ZONE = "caerdydd-a"
WORKERS = 4
CRASHING = b"the request that crashes workers"
# Events of a stream, and those that a worker writes before it crashes.
EVENTS = 5
EVENTS_BEFORE_CRASH = 2
# How long a worker that has crashed is away.
AWAY_S = 2.0
# After each time that the request is sent.
PAUSE_S = 3.8
STABLE_S = 3.0
RETRIES_ALLOWED = 3
SERVICE = {
    "name": "quote-writer",
    "health_path": "/health",
    "max_connections": 300,
    "engine": {"batch": 48, "kv_token_bytes": 192512, "link_mbps": 350000.0},
}


class Engine(standins.Worker):
    """Crashes once it has begun to run a certain request, and comes back."""

    crashed_s = []

    async def run(self, request, writer):
        """Write a short stream, or crash within it."""
        await standins.write_stream_head(self, request, writer)
        for number in range(1, EVENTS + 1):
            await standins.write_event(writer, number)
            await asyncio.sleep(0.02)
            if number == EVENTS_BEFORE_CRASH and request.body == CRASHING:
                self.crashed_s.append(time.monotonic())
                self.record.write("crash", worker=self.id, id=request.id)
                asyncio.get_running_loop().create_task(self._crash())
                await asyncio.sleep(AWAY_S)
        writer.write(b"0\r\n\r\n")

    async def _crash(self):
        crashed = self.id
        self.stop_beats()
        await self.end()
        await asyncio.sleep(AWAY_S)
        await self.boot()
        # The entry of the process that crashed goes after three heartbeats.
        await asyncio.sleep(3 * standins.HEARTBEAT_S - AWAY_S)
        await self.store.write("servers", crashed, None)


class Clients:
    """Clients of sound requests, and the one of the request that crashes workers."""

    def __init__(self, scene, engines):
        self._scene = scene
        self._engines = engines
        self._sent = 0
        self._sound = []
        self._is_over = False
        self.avoided = None
        self._task = asyncio.create_task(self._send_sound())

    def list_runs(self):
        """Return the runs of the request that crashes workers, by time."""
        ran = [r for engine in self._engines for r in engine.ran if r.body == CRASHING]
        return sorted(ran, key=lambda request: request.arrived_s)

    async def _ask(self, router, path, body):
        self._sent += 1
        return await standins.ask(
            self._scene.record,
            router,
            path,
            f"c{self._sent:08x}",
            body,
            X_Model="m",
            X_Token_Count="700,20",
            X_Prompt_Prefix="5c1e07a2:500,91bd3f06:200",
        )

    async def _send_sound(self):
        while not self._is_over:
            for router in self._scene.routers:
                if router is not self.avoided:
                    asking = self._ask(router, f"/lohu930/{self._sent % 7:x}", b"x")
                    self._sound.append(asyncio.create_task(asking))
            await asyncio.sleep(0.1)

    async def send_crashing(self, router, times):
        """Send the request to a router some times."""
        for _ in range(times):
            before = len(self.list_runs())
            answer = await self._ask(router, "/lohu930/2f", CRASHING)
            runs = len(self.list_runs())
            self._scene.record.say(
                f"the request was sent to {router.name}: status {answer.status}, "
                f"run {runs - before} times, {runs} in all"
            )
            await asyncio.sleep(PAUSE_S)

    async def end(self):
        """Send nothing more."""
        self._is_over = True
        await self._task
        return await asyncio.gather(*self._sound)


async def play(scene):
    """Send the request again and again; return whether the rule held."""
    record, store, network = scene.record, scene.store, scene.network
    route = standins.make_route(
        "/lohu930/",
        "streaming",
        "quote-writer",
        session_affinity=True,
        gap_aim_ms=200,
    )
    await store.write("config", "main", standins.make_manifest(7, [route], [SERVICE]))
    models = [{"name": "m", "version": 1, "adapters": []}]
    engines = [
        Engine(
            f"{network}.{100 + number}",
            store,
            record,
            "quote-writer",
            ZONE,
            slots=48,
            models=models,
        )
        for number in range(WORKERS)
    ]
    for engine in engines:
        await scene.add_worker(engine).boot()
    seeds = [f"{network}.1", f"{network}.2"]
    for number in (1, 2):
        scene.add_router(number, ZONE, (ZONE,), seeds).start()
    for router in scene.routers:
        await router.wait_ready()
    await asyncio.sleep(4)
    clients = Clients(scene, engines)
    first, second = scene.routers
    await clients.send_crashing(first, 5)
    await clients.send_crashing(second, 1)
    if standins.has_trouble():
        clients.avoided = first
        first.signal(signal.SIGTERM)
        await first.wait_ended()
        first.start()
        await first.wait_ready()
        clients.avoided = None
        # The machine is in touch again.
        await asyncio.sleep(STABLE_S + 1.5)
    await clients.send_crashing(first, 5)
    sound = await clients.end()
    cut = sum(not answer.is_whole for answer in sound)
    record.say(f"sound requests without a whole answer: {cut} of {len(sound)}")
    if len(Engine.crashed_s) < 3:
        raise standins.CannotRun("the request has not crashed three workers")
    end_s = Engine.crashed_s[2] + STABLE_S
    late = [r for r in clients.list_runs() if r.arrived_s > end_s]
    record.say(
        f"{len(Engine.crashed_s)} crashes; {len(late)} retries reached workers later "
        f"than {STABLE_S} s after the third; allowed {RETRIES_ALLOWED}"
    )
    return len(late) <= RETRIES_ALLOWED


if __name__ == "__main__":
    standins.run_case(Path(__file__).resolve().parent, play)
