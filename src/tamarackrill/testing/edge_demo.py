"""``make demo-platform``: routers for the platform interface, with stand-ins."""

import asyncio

from tamarackrill.testing.edge import EdgeAnswer, EdgeFleet, ask, make_route
from tamarackrill.testing.worker import answer_ok, in_turn, make_streaming

ROUTES = (
    make_route("/dates/", "idempotent"),
    make_route("/confirm/", "non_idempotent", attempts=1),
    make_route("/draft/", "streaming", stream_resume=True, service="writer"),
)
LAST_EVENT = 6


def _show(title: str, answer: EdgeAnswer) -> None:
    end = "" if answer.is_whole else " (truncated)"
    print(f"\n--- {title}: {answer.status}{end}\n{answer.body.decode()}", flush=True)


async def run_demo() -> None:
    """Start everything, send four requests and print the responses."""
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, *ROUTES)
        await fleet.add_worker("desk-1", answer_ok)
        cut_first = in_turn(make_streaming(3, is_cut=True), make_streaming(LAST_EVENT))
        for name in ("writer-1", "writer-2"):
            await fleet.add_worker(name, cut_first, service="writer")
        first = await fleet.add_router("entry-1")
        second = await fleet.add_router("entry-2")
        _show("a lookup", await ask(first, "/dates/june", "id-1"))
        _show("a confirmation", await ask(second, "/confirm/17", "id-2", b"yes"))
        title = "a stream whose first worker crashed in its fourth event"
        _show(title, await ask(first, "/draft/menu", "id-3", b"sixty guests"))
        await fleet.put_manifest(2, *ROUTES[:2])
        await fleet.wait(lambda: _holds(second.view.routes, 2))
        _show("a route that was removed", await ask(second, "/draft/menu", "id-4"))


def _holds(routes: object, version: int) -> bool:
    manifest = getattr(routes, "manifest", None)
    return manifest is not None and manifest.version == version


def main() -> None:
    """Run the demo."""
    asyncio.run(run_demo())


if __name__ == "__main__":
    main()
