"""Turns of an event loop in which answers in tiny pieces are parsed."""

import asyncio
import weakref

from tamarackrill.decisions.parsing_turns import TurnQueue, count_turns


class _LoopTurns:
    """Grants turns in each iteration of an event loop, while any are waited for."""

    def __init__(self) -> None:
        self._queue: TurnQueue[asyncio.Future[None]] = TurnQueue()
        self._is_scheduled = False

    async def wait(self) -> None:
        """Wait for a turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._queue.add(turn)
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._grant, loop, loop.time())
        try:
            await turn
        except asyncio.CancelledError:
            self._queue.remove(turn)
            raise

    def _grant(self, loop: asyncio.AbstractEventLoop, before_s: float) -> None:
        now_s = loop.time()
        for _ in range(count_turns(now_s - before_s)):
            turn = self._queue.take_next()
            while turn is not None and turn.done():
                turn = self._queue.take_next()
            self._is_scheduled = turn is not None
            if turn is None:
                return
            turn.set_result(None)
        loop.call_soon(self._grant, loop, now_s)


_turns: "weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, _LoopTurns]" = (
    weakref.WeakKeyDictionary()
)


async def wait_turn() -> None:
    """Wait for the next turn of this event loop."""
    loop = asyncio.get_running_loop()
    turns = _turns.get(loop)
    if turns is None:
        turns = _turns[loop] = _LoopTurns()
    await turns.wait()
