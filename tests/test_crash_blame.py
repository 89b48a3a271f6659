"""Requests that are, or are not, blamed for the crash of an endpoint."""

import asyncio

from tamarackrill.testing.crashing_worker import CrashBehavior, CrashingWorker
from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.worker import make_event

STREAM = make_route("/stream/", "streaming", stream_resume=True, attempts=4)
EVENTS = 100
CRASHES = 3
BEHAVIOR = CrashBehavior(prefill_s=0.0, event_s=0.01, events=EVENTS, down_s=60.0)


async def do_nothing(changed):
    return None


def test_stream_is_not_blamed_for_crashes_after_it_has_begun():
    # Guards against a sound stream that is refused because endpoints that it had been
    # served by crashed for other reasons.
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, STREAM)
            for number in range(CRASHES + 1):
                worker = CrashingWorker(
                    f"w{number}",
                    lambda version, part: False,
                    do_nothing,
                    do_nothing,
                    BEHAVIOR,
                )
                await fleet.register_worker(worker)
            router = await fleet.add_router()
            await fleet.wait(lambda: len(router.view.list_live("desk")) == CRASHES + 1)
            asking = asyncio.create_task(ask(router, "/stream/a", body=b"x"))
            for _ in range(CRASHES):
                await fleet.wait(lambda: find_serving(fleet) is not None)
                await find_serving(fleet).crash()
            answer = await asking
            expected = [make_event(number) for number in range(1, EVENTS + 1)]
            assert answer.is_whole
            assert answer.body == b"".join(expected)

    def find_serving(fleet):
        """Return the worker that has sent several events of the stream, if any."""
        serving = [w for w in fleet.workers if w.events_sent > 5 and not w.crashed_s]
        return serving[0] if serving else None

    asyncio.run(run())
