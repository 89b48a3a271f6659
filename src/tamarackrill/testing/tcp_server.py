"""Loopback TCP server that leaves no connection open."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Self

Handle = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]
]
ANY_PORT = "127.0.0.1:0"


class TcpServer:
    """TCP server that closes each connection when its handler ends.

    An asyncio server leaves this to the handler, which never runs if it is cancelled
    before its first step.

    Parameters
    ----------
    handle : callable
        ``await handle(reader, writer)`` serves a connection.

    Attributes
    ----------
    address : str
        ``host:port`` of the listener.
    """

    def __init__(self, handle: Handle) -> None:
        self.address = ""
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def start(self, address: str = ANY_PORT) -> None:
        """Listen on a loopback address, by default on a free port."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening; open connections are still served."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def stop(self) -> None:
        """Stop listening, cancel all handlers and close their connections."""
        self.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._server is None:
            # The listener accepted the connection just before it was closed.
            writer.close()
            return

        def end(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            writer.close()

        task = asyncio.create_task(self._handle(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(end)
