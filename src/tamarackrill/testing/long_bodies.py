"""Endpoints that send long or endless bodies, and clients that read at any pace."""

import asyncio
import contextlib
import socket
import zlib
from typing import Literal, NamedTuple

from tamarackrill.testing.edge import HOST, KEY
from tamarackrill.testing.worker import (
    HEAD_END,
    SIGNATURE,
    WorkerRequest,
    make_chunk,
    reset_connection,
)

Framing = Literal["chunked", "one chunk", "length", "close"]
FRAMINGS: tuple[Framing, ...] = ("chunked", "one chunk", "length", "close")
PIECE_BYTES = 64 * 1024
# Announced by endless bodies whose framing states a size.
ENDLESS_BYTES = 999_999_999_999
# Bytes that a trickling client reads at a time, and its pause after them.
TRICKLE_BYTES = 512
TRICKLE_INTERVAL_S = 0.05

Pace = Literal["fast", "slow", "trickling", "stalled"]


class ReadAnswer(NamedTuple):
    """What a client has received of an answer.

    Parameters
    ----------
    status : int
        HTTP status; 0 without a head.
    size_bytes, checksum : int
        Size and CRC-32 of the body.
    is_whole : bool
        Whether the body is complete according to its framing.
    """

    status: int
    size_bytes: int
    checksum: int
    is_whole: bool


def make_target(
    prefix: str, framing: Framing, status: int, pieces: int = 0, then: str = "end"
) -> str:
    """Return the path of a request whose answer `send_body` writes.

    Parameters
    ----------
    prefix : str
        Prefix of the route.
    framing : {"chunked", "one chunk", "length", "close"}
        What tells where the body ends.
    status : int
        HTTP status.
    pieces : int, default=0
        Number of pieces that are sent of the body; 0 if it never ends.
    then : {"end", "break"}, default="end"
        Whether the body is complete then, or its connection is reset.
    """
    return f"{prefix}{framing.replace(' ', '-')}/{status}/{pieces}/{then}"


def find_checksum(pieces: int) -> int:
    """Return the CRC-32 of the body with this number of pieces."""
    checksum = 0
    for number in range(pieces):
        checksum = zlib.crc32(_make_piece(number), checksum)
    return checksum


def _make_piece(number: int) -> bytes:
    return number.to_bytes(8, "big") * (PIECE_BYTES // 8)


async def send_body(request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
    """Answer as the target says, as fast as the bytes are read."""
    with contextlib.suppress(ConnectionError):
        await _send_body(request, writer)


async def _send_body(request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
    framing, status, pieces_text, then = request.target.split("/")[-4:]
    pieces = int(pieces_text)
    # A body that breaks off lacks its last piece.
    announced = pieces + (then == "break")
    size_bytes = announced * PIECE_BYTES if pieces else ENDLESS_BYTES
    lines = [
        f"HTTP/1.1 {status} Status",
        f"X-Request-Attempt-Id: {request.request_id}",
        f"X-Response-Signature: {SIGNATURE}",
        *(f"{n}: 1" for n in ("X-Not-Executed",) if n.lower() in request.target),
    ]
    if framing == "length":
        lines.append(f"Content-Length: {size_bytes}")
    elif framing != "close":
        lines.append("Transfer-Encoding: chunked")
    writer.write("\r\n".join(lines).encode() + HEAD_END)
    if framing == "one-chunk":
        writer.write(b"%x\r\n" % size_bytes)
    number = 0
    while number < pieces or not pieces:
        piece = _make_piece(number)
        writer.write(make_chunk(piece) if framing == "chunked" else piece)
        await writer.drain()
        number += 1
        # A drain returns at once while the kernel takes everything.
        await asyncio.sleep(0)
    if then == "break":
        await reset_connection(writer)
    elif framing == "close":
        writer.close()
    elif framing != "length":
        writer.write((b"\r\n" if framing == "one-chunk" else b"") + b"0\r\n\r\n")


class BodyClient:
    """One connection of a client that reads bodies without keeping them.

    Parameters
    ----------
    address : str
        Where a router listens for clients.
    pace : {"fast", "slow", "trickling", "stalled"}
        How it reads: at once, 1 MiB after each 20 ms, 512 bytes after each 50 ms, or
        nothing but the head.
    """

    def __init__(self, address: str, pace: Pace) -> None:
        self._address = address
        self._pace = pace
        self._unpaced_bytes = 0

    async def ask(
        self,
        target: str,
        request_id: str,
        deadline_s: float,
        version: str = "HTTP/1.1",
    ) -> ReadAnswer:
        """Send a request, and read its answer until it ends or is late."""
        self._status = self._size_bytes = self._checksum = 0
        try:
            async with asyncio.timeout(deadline_s + 1.0):
                is_whole = await self._ask(target, request_id, deadline_s, version)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            is_whole = False
        return ReadAnswer(self._status, self._size_bytes, self._checksum, is_whole)

    async def _ask(
        self, target: str, request_id: str, deadline_s: float, version: str
    ) -> bool:
        host, _, port = self._address.rpartition(":")
        sock = socket.socket()
        if self._pace != "fast":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        self._reader, writer = await asyncio.open_connection(
            sock=sock, limit=2**18 if self._pace == "fast" else 2**14
        )
        try:
            writer.write(
                f"POST {target} {version}\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
                f"X-Request-Attempt-Id: {request_id}\r\nContent-Length: 0\r\n"
                f"X-Deadline-Ms: {int(1000 * deadline_s)}\r\n\r\n".encode()
            )
            return await self._read()
        finally:
            writer.transport.abort()

    async def _read(self) -> bool:
        head = (await self._reader.readuntil(HEAD_END)).decode("latin-1").lower()
        self._status = int(head.split(" ")[1])
        if self._pace == "stalled":
            await asyncio.Event().wait()
        if "\r\ncontent-length: " in head:
            size = head.partition("\r\ncontent-length: ")[2].split("\r\n")[0]
            await self._read_bytes(int(size))
            return True
        if "\r\ntransfer-encoding: chunked" not in head:
            await self._read_bytes(None)
            return True
        while size_bytes := int(await self._reader.readuntil(b"\r\n"), 16):
            await self._read_bytes(size_bytes)
            await self._reader.readexactly(2)
        return await self._reader.readexactly(2) == b"\r\n"

    async def _read_bytes(self, size_bytes: int | None) -> None:
        piece_bytes = TRICKLE_BYTES if self._pace == "trickling" else PIECE_BYTES
        while size_bytes is None or size_bytes > 0:
            wanted = piece_bytes if size_bytes is None else min(piece_bytes, size_bytes)
            piece = await self._reader.read(wanted)
            if not piece:
                if size_bytes is None:
                    return
                raise asyncio.IncompleteReadError(b"", size_bytes)
            self._size_bytes += len(piece)
            self._checksum = zlib.crc32(piece, self._checksum)
            if size_bytes is not None:
                size_bytes -= len(piece)
            await self._pause(len(piece))

    async def _pause(self, size_bytes: int) -> None:
        if self._pace == "trickling":
            await asyncio.sleep(TRICKLE_INTERVAL_S)
            return
        self._unpaced_bytes += size_bytes
        if self._pace == "slow" and self._unpaced_bytes >= 1 << 20:
            self._unpaced_bytes = 0
            await asyncio.sleep(0.02)
