"""A loopback TCP proxy that injects network faults."""

import asyncio
import socket
from typing import Literal

from tamarackrill.router.sockets import reset_on_close
from tamarackrill.testing.tcp_server import TcpServer

Mode = Literal["pass", "delay", "silence", "one_way", "refuse"]
DELAY_S = 0.15
CHUNK_BYTES = 65536


class Proxy:
    """A TCP proxy in front of one address, which can inject faults.

    Parameters
    ----------
    target : str
        ``host:port`` to which it forwards.
    ip : str, optional
        IP address on which it listens.
    port : int, optional
        Port on which it listens; a free one by default.

    Attributes
    ----------
    mode : str
        ``"pass"`` forwards bytes; ``"delay"`` delays each chunk; ``"silence"`` accepts
        connections but forwards nothing; ``"one_way"`` forwards only towards the
        target; ``"refuse"`` resets new connections.
    """

    def __init__(self, target: str, ip: str = "127.0.0.1", port: int = 0) -> None:
        self.target = target
        self._ip = ip
        self._port = port
        self.mode: Mode = "pass"
        self.address = ""
        self._server = TcpServer(self._serve)
        self._reserved = socket.socket()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        await self._server.start(f"{self._ip}:{self._port}")
        self.address = self._server.address

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            _reset(writer)

    def refuse(self) -> None:
        """Stop listening, as a target that ends; no other process gets the port."""
        self._server.close()
        host, _, port = self.address.rpartition(":")
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved.bind((host, int(port)))

    async def stop(self) -> None:
        """Stop listening and reset all open connections."""
        self._reserved.close()
        self.reset()
        await self._server.stop()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "refuse":
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        both = {writer, back_writer}
        self._writers |= both
        try:
            await asyncio.gather(
                self._relay(reader, back_writer, to_target=True),
                self._relay(back_reader, writer, to_target=False),
            )
        except (OSError, asyncio.CancelledError):
            # Either side may disconnect at any time, and `stop` cancels open relays.
            for each in both:
                _reset(each)
        finally:
            self._writers -= both
            for each in both:
                each.transport.abort()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if self.mode == "delay":
                await asyncio.sleep(DELAY_S)
            while self.mode == "silence" or (self.mode == "one_way" and not to_target):
                await asyncio.sleep(DELAY_S)
            writer.write(chunk)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; closed without that, it would seem to end properly."""
    if not writer.transport.is_closing():
        reset_on_close(writer.get_extra_info("socket"))
    writer.transport.abort()
