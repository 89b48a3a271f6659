"""Simulated worker of the users' platform, with full control of the bytes it sends."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Literal, NamedTuple

from tamarackrill.router.sockets import reset_on_close
from tamarackrill.testing.tcp_server import TcpServer

HEAD_END = b"\r\n\r\n"
SIGNATURE = "made-by-a-worker"


class WorkerRequest(NamedTuple):
    """A request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Id of the client's attempt."""
        return self.headers.get("x-request-attempt-id", "")


Behave = Callable[[WorkerRequest, asyncio.StreamWriter], Awaitable[None]]
Framing = Literal["length", "chunked", "close"]


class Worker:
    """HTTP/1.1 server whose responses a callable writes.

    Parameters
    ----------
    name : str
        Id under which the store lists the worker.
    behave : callable
        ``await behave(request, writer)`` writes the bytes of the response; it may close
        the writer to end the connection.

    Attributes
    ----------
    requests, ran : list of WorkerRequest
        Requests received, and those whose execution began.
    """

    def __init__(self, name: str, behave: Behave) -> None:
        self.name = name
        self.behave = behave
        self.address = ""
        self.requests: list[WorkerRequest] = []
        self.ran: list[WorkerRequest] = []
        self.connections = 0
        self.closed = asyncio.Event()
        self._server = TcpServer(self._serve)

    async def start(self) -> None:
        """Listen on a free loopback port."""
        await self._server.start()
        self.address = self._server.address

    async def crash(self) -> None:
        """End like a process that crashes: connections close and new ones fail."""
        await Worker.stop(self)

    async def stop(self) -> None:
        """Stop listening and close all open connections."""
        await self._server.stop()

    def describe(self, service: str, zone: str = "z", **fields: object) -> dict:
        """Return the worker's entry in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            **fields,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            await self._answer_all(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            self.closed.set()

    async def _answer_all(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while not writer.is_closing():
            request = await _read_request(reader)
            self.requests.append(request)
            if self.behave is not refuse_full:
                self.ran.append(request)
            disconnected = asyncio.create_task(reader.read(1))
            # A reset is an end like any other.
            disconnected.add_done_callback(lambda t: t.cancelled() or t.exception())
            answering = asyncio.ensure_future(self.behave(request, writer))
            await asyncio.wait(
                [disconnected, answering], return_when=asyncio.FIRST_COMPLETED
            )
            if not answering.done():
                # The router closed the connection before the response was complete.
                answering.cancel()
                self.closed.set()
                return
            disconnected.cancel()
            await asyncio.gather(disconnected, return_exceptions=True)
            await answering
            await writer.drain()


class BrittleWorker(Worker):
    """Worker that falls over if it turns too many requests away within a second.

    Parameters
    ----------
    name : str
        Id under which the store lists the worker.
    slots, waiting_max : int
        Requests that it processes at the same time, and that may wait for that.
    rejected_max : int
        Requests that it may turn away per second; each answer states it.
    work_s : float
        Time that it takes for a request.
    down_s : float
        Time from its fall until it listens again.

    Attributes
    ----------
    falls : int
        How often it has fallen over.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        waiting_max: int,
        rejected_max: int,
        work_s: float = 0.02,
        down_s: float = 1.0,
    ) -> None:
        super().__init__(name, self._act)
        self.slots = slots
        self.waiting_max = waiting_max
        self.rejected_max = rejected_max
        self.falls = 0
        self._work_s = work_s
        self._down_s = down_s
        self._in_work = asyncio.Semaphore(slots)
        self._accepted = 0
        self._rejected_s: deque[float] = deque()
        self._fall_task: asyncio.Task[None] | None = None

    async def stop(self) -> None:
        """Stop for good, also if it has fallen over."""
        if self._fall_task is not None:
            self._fall_task.cancel()
            await asyncio.gather(self._fall_task, return_exceptions=True)
        await super().stop()

    def describe(self, service: str, zone: str = "z", **fields: object) -> dict:
        """Return the worker's entry in the store."""
        return super().describe(service, zone, **{"slots": self.slots, **fields})

    async def _act(self, request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
        if self._accepted >= self.slots + self.waiting_max:
            self.ran.remove(request)
            self._reject(asyncio.get_running_loop().time())
            self._answer(request, writer, 503, X_Not_Executed="1")
            return
        self._accepted += 1
        try:
            async with self._in_work:
                await asyncio.sleep(self._work_s)
        finally:
            self._accepted -= 1
        self._answer(request, writer, 200)

    def _answer(
        self,
        request: WorkerRequest,
        writer: asyncio.StreamWriter,
        status: int,
        **headers: str,
    ) -> None:
        running = min(self.slots, self._accepted)
        load = f"{running},{self._accepted - running},{self.slots}"
        headers |= {"X_Instance_Load": load, "Server_Brittle": str(self.rejected_max)}
        writer.write(make_answer(request, b"ok", status, **headers))

    def _reject(self, now_s: float) -> None:
        self._rejected_s.append(now_s)
        while self._rejected_s[0] <= now_s - 1.0:
            self._rejected_s.popleft()
        is_down = self._fall_task is not None and not self._fall_task.done()
        if len(self._rejected_s) > self.rejected_max and not is_down:
            self.falls += 1
            self._fall_task = asyncio.create_task(self._fall())

    async def _fall(self) -> None:
        await super().stop()
        self._rejected_s.clear()
        await asyncio.sleep(self._down_s)
        await self._server.start(self.address)


async def _read_request(reader: asyncio.StreamReader) -> WorkerRequest:
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    line, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = line.split(" ")
    headers = {}
    for text in lines:
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return WorkerRequest(method, target, headers, body)


def make_answer(
    request: WorkerRequest, body: bytes = b"ok", status: int = 200, **headers: str
) -> bytes:
    """Return the bytes of a response; the header argument `X_Y` is sent as ``X-Y``."""
    fields = {
        "X-Request-Attempt-Id": request.request_id,
        "X-Response-Signature": SIGNATURE,
        "Content-Length": str(len(body)),
    }
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items() if value]
    return "\r\n".join(lines).encode("latin-1") + HEAD_END + body


def make_stream_head(request: WorkerRequest) -> bytes:
    """Return the status line and headers of an event stream."""
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Request-Attempt-Id: {request.request_id}",
        f"X-Response-Signature: {SIGNATURE}",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    return "\r\n".join(lines).encode("latin-1") + HEAD_END


def frame_answer(
    request: WorkerRequest,
    framing: Framing,
    body: bytes,
    **headers: str,
) -> bytes:
    """Return a complete response in the given framing.

    Parameters
    ----------
    request : WorkerRequest
        The request.
    framing : {"length", "chunked", "close"}
        How the response states where its body ends; with ``"close"`` by the end of its
        connection alone.
    body : bytes
        Complete body.
    **headers : str
        Further headers; `X_Y` is sent as ``X-Y``.
    """
    if framing == "length":
        return make_answer(request, body, 200, **headers)
    headers |= {"Content_Length": ""}
    if framing == "chunked":
        headers |= {"Transfer_Encoding": "chunked"}
        body = make_chunk(body) + make_chunk(b"")
    return make_answer(request, body, 200, **headers)


async def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Send what is buffered, then reset the connection."""
    await writer.drain()
    reset_on_close(writer.get_extra_info("socket"))
    writer.transport.abort()


def make_chunk(data: bytes) -> bytes:
    """Return an HTTP chunk; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def make_event(number: int) -> bytes:
    """Return one server-sent event."""
    return b"id: %d\ndata: word-%d\n\n" % (number, number)


async def answer_ok(request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
    """Answer with status 200."""
    writer.write(make_answer(request))


async def refuse_full(request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
    """Answer like a full worker: 503, marked as not executed."""
    writer.write(
        make_answer(request, b"", 503, X_Not_Executed="1", X_Response_Signature="")
    )


def make_streaming(last: int, is_cut: bool = False, first: int = 1) -> Behave:
    """Return a behaviour that streams events up to number `last`.

    Parameters
    ----------
    last : int
        Number of the last complete event.
    is_cut : bool, default=False
        Whether the connection is closed in the middle of the next event.
    first : int, default=1
        Number of the first event, unless the request has a ``Last-Event-ID``.
    """

    async def act(request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_stream_head(request))
        start = int(request.headers.get("last-event-id", first - 1)) + 1
        for number in range(start, last + 1):
            writer.write(make_chunk(make_event(number)))
        if is_cut:
            writer.write(make_chunk(make_event(last + 1)[:5]))
            await writer.drain()
            writer.close()
        else:
            writer.write(make_chunk(b""))

    return act


def in_turn(*behaviours: Behave) -> Behave:
    """Return a shared behaviour that applies the given ones in turn.

    Each request gets the next behaviour; the last one repeats.
    """
    remaining = list(behaviours)

    async def act(request: WorkerRequest, writer: asyncio.StreamWriter) -> None:
        behave = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        await behave(request, writer)

    return act
