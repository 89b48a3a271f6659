"""Simulated model engine.

It batches continuously (one token of each running request per step), caches the prompt
prefixes of a limited number of chats, resumes and cancels streams, publishes cache
events, reports its load and executes orders that carry a fencing number.

====== ========================== ===========================================
POST   /v1/chat/completions       whole or with ``stream``; headers ``Request-Id``,
                                  ``Chat-Id``, ``Last-Event-ID``
POST   /v1/cancel/<request id>    cancels a request
GET    /v1/load                   number of running requests
GET    /v1/cache_events           cache events after number ``since``
POST   /v1/orders                 loads a model, unless the fencing number is old
GET    /admin/state               arrivals, cancelled, orders, cached chats, running
PUT    /admin/faults              replaces all fields of `EngineFaults`
====== ========================== ===========================================
"""

import asyncio
import contextlib
import json
from collections import Counter, OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from tornado.iostream import StreamClosedError
from tornado.web import Application, HTTPError, RequestHandler

CRASH_WORD = "crash-the-engine"
# Crashes the engine in any message but the last.
CRASH_PART = "part-that-crashes-the-engine"
STREAMS_MAX = 1000
RESUME_GRACE_S = 5.0


class EngineFaults(NamedTuple):
    """Faults that the engine injects.

    Parameters
    ----------
    hold : bool
        Requests are counted as arrived and wait until the fault is cleared.
    status : int
        Status of every response; 0 injects no fault.
    cut_after_tokens : int
        Tokens after which the connection is closed; 0 injects no fault.  A response
        that isn't a stream is cut in half.
    extra_step_s : float
        Time added to every step.
    ignore_fencing : bool
        Whether orders with an old fencing number are accepted.
    """

    hold: bool = False
    status: int = 0
    cut_after_tokens: int = 0
    extra_step_s: float = 0.0
    ignore_fencing: bool = False


class Stream(NamedTuple):
    """Tokens generated for one request, and whether it has ended."""

    tokens: list[str]
    finished: asyncio.Event
    cancelled: asyncio.Event


class EngineState:
    """Batch, prefix cache, streams, orders and faults of one engine.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    slots : int
        Maximum batch size; further requests wait.
    step_s, prefill_token_s : float
        Duration of one step, and of the prefill of one uncached prompt token.
    cache_chats : int
        Number of chats whose prefixes fit into the cache.
    crash : callable
        Called when the last message of a request contains `CRASH_WORD`.
    on_loaded : callable, optional
        Called with the models served after an order to load a model was executed.
    serves : tuple of str
        Models loaded at the start.
    """

    def __init__(
        self,
        name: str,
        slots: int = 8,
        step_s: float = 0.001,
        prefill_token_s: float = 0.0,
        cache_chats: int = 100,
        crash: Callable[[], None] = lambda: None,
        on_loaded: Callable[[tuple[str, ...]], Awaitable[None]] | None = None,
        serves: tuple[str, ...] = (),
    ) -> None:
        self.name = name
        self.step_s = step_s
        self.prefill_token_s = prefill_token_s
        self.cache_chats = cache_chats
        self.crash = crash
        self.on_loaded = on_loaded
        self.serves = serves
        self.batch = asyncio.Semaphore(slots)
        self.running = 0
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.cache_events: list[dict[str, Any]] = []
        self.streams: OrderedDict[str, Stream] = OrderedDict()
        self.arrivals: Counter[str] = Counter()
        self.cancelled: list[str] = []
        self.readers: Counter[str] = Counter()
        self.orders: list[dict[str, Any]] = []
        self.fence = 0
        self.faults = EngineFaults()
        self.faults_changed = asyncio.Condition()
        self.tasks: set[asyncio.Task[None]] = set()

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return whether it was unfinished."""
        stream = self.streams.get(request_id)
        if stream is None or stream.finished.is_set() or stream.cancelled.is_set():
            return False
        stream.cancelled.set()
        self.cancelled.append(request_id)
        return True

    async def cancel_later(self, request_id: str) -> None:
        """Cancel a request after `RESUME_GRACE_S` unless a client resumes it."""
        self.readers[request_id] -= 1
        await asyncio.sleep(RESUME_GRACE_S)
        if not self.readers[request_id]:
            self.cancel(request_id)

    def get_or_start_stream(
        self, request_id: str, body: dict[str, Any], chat: str
    ) -> Stream:
        """Return the stream of a request, started if there is none."""
        stream = self.streams.get(request_id)
        if stream is None:
            stream = Stream([], asyncio.Event(), asyncio.Event())
            self.streams[request_id] = stream
            while len(self.streams) > STREAMS_MAX:
                self.streams.popitem(last=False)
            task = asyncio.create_task(self._generate(stream, body, chat))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return stream

    async def _generate(self, stream: Stream, body: dict[str, Any], chat: str) -> None:
        async with self.batch:
            self.running += 1
            try:
                await self._prefill(body, chat)
                words = _make_answer_tokens(body)
                for word in words:
                    if stream.cancelled.is_set():
                        break
                    await asyncio.sleep(self.step_s + self.faults.extra_step_s)
                    stream.tokens.append(word)
            finally:
                self.running -= 1
                stream.finished.set()

    async def _prefill(self, body: dict[str, Any], chat: str) -> None:
        length = sum(len(str(m["content"]).split()) for m in body["messages"])
        cached = self.cache.pop(chat, 0) if chat else 0
        if chat:
            self._cache_prefix(chat, length)
        uncached = max(0, length - cached)
        if self.prefill_token_s:
            await asyncio.sleep(uncached * self.prefill_token_s)

    def _cache_prefix(self, chat: str, length: int) -> None:
        self.cache[chat] = length
        self._publish("stored", chat)
        while len(self.cache) > self.cache_chats:
            evicted, _ = self.cache.popitem(last=False)
            self._publish("evicted", evicted)

    def _publish(self, what: str, chat: str) -> None:
        number = len(self.cache_events) + 1
        self.cache_events.append({"number": number, "event": what, "chat": chat})

    async def take_order(self, order: dict[str, Any]) -> bool:
        """Execute an order unless its fencing number is old; return whether it was."""
        if order["fence"] < self.fence and not self.faults.ignore_fencing:
            return False
        self.fence = max(self.fence, order["fence"])
        self.orders.append(order)
        kept = tuple(name for name in self.serves if name != order.get("replaces"))
        self.serves = (*kept, order["model"])
        if self.on_loaded is not None:
            await self.on_loaded(self.serves)
        return True

    def describe(self) -> dict[str, Any]:
        """Return the state that tests inspect."""
        return {
            "arrivals": dict(self.arrivals),
            "cancelled": self.cancelled,
            "cached": list(self.cache),
            "orders": self.orders,
            "running": self.running,
        }


def _make_answer_tokens(body: dict[str, Any]) -> list[str]:
    prompt = str(body["messages"][-1]["content"]).split() or ["nothing"]
    count = int(body.get("max_tokens", 16))
    return [prompt[i % len(prompt)] for i in range(count)]


class _Handler(RequestHandler):
    def initialize(self, state: EngineState) -> None:
        self.state = state


class _ChatHandler(_Handler):
    async def post(self) -> None:
        body = json.loads(self.request.body)
        request_id = self.request.headers.get("Request-Id", str(id(self)))
        self.state.arrivals[request_id] += 1
        async with self.state.faults_changed:
            await self.state.faults_changed.wait_for(lambda: not self.state.faults.hold)
        if self.state.faults.status:
            raise HTTPError(self.state.faults.status)
        *shared, last = (str(message["content"]) for message in body["messages"])
        if CRASH_WORD in last or any(CRASH_PART in text for text in shared):
            self.state.crash()
            self._cut()
            return
        chat = self.request.headers.get("Chat-Id", "")
        self._request_id = request_id
        # A stream of another engine can't be resumed here: with sampling, this engine
        # would continue a different answer.
        resumed = self.request.headers.get("Last-Event-ID", "0") != "0"
        if resumed and request_id not in self.state.streams:
            raise HTTPError(404)
        stream = self.state.get_or_start_stream(request_id, body, chat)
        self.state.readers[request_id] += 1
        self._counted = True
        with contextlib.suppress(StreamClosedError):
            if body.get("stream"):
                await self._send_stream(stream)
            else:
                await self._send_whole(stream, body)

    def _cut(self) -> None:
        connection = self.request.connection
        assert connection is not None
        connection.detach().close()

    async def _send_whole(self, stream: Stream, body: dict[str, Any]) -> None:
        await stream.finished.wait()
        message = {"role": "assistant", "content": " ".join(stream.tokens)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        usage = {"completion_tokens": len(stream.tokens)}
        answer = {"model": body["model"], "choices": [choice], "usage": usage}
        text = json.dumps(answer).encode()
        if self.state.faults.cut_after_tokens:
            self.set_header("Content-Length", len(text))
            self.write(text[: len(text) // 2])
            await self.flush()
            self._cut()
            return
        self.set_header("Content-Type", "application/json")
        self.finish(text)

    async def _send_stream(self, stream: Stream) -> None:
        self.set_header("Content-Type", "text/event-stream")
        sent = int(self.request.headers.get("Last-Event-ID", "0"))
        limit = self.state.faults.cut_after_tokens + sent
        while not (stream.finished.is_set() and sent >= len(stream.tokens)):
            if sent >= len(stream.tokens):
                await asyncio.sleep(self.state.step_s)
                continue
            delta = {"content": stream.tokens[sent] + " "}
            data = json.dumps({"choices": [{"index": 0, "delta": delta}]})
            sent += 1
            self.write(f"id: {sent}\ndata: {data}\n\n")
            await self.flush()
            if self.state.faults.cut_after_tokens and sent >= limit:
                self._cut()
                return
        self.write("data: [DONE]\n\n")

    def on_connection_close(self) -> None:
        if getattr(self, "_counted", False):
            task = asyncio.create_task(self.state.cancel_later(self._request_id))
            self.state.tasks.add(task)
            task.add_done_callback(self.state.tasks.discard)


class _CancelHandler(_Handler):
    def post(self, request_id: str) -> None:
        self.finish({"cancelled": self.state.cancel(request_id)})


class _LoadHandler(_Handler):
    def get(self) -> None:
        self.finish({"running": self.state.running})


class _CacheEventsHandler(_Handler):
    def get(self) -> None:
        since = int(self.get_argument("since", "0"))
        self.finish({"events": self.state.cache_events[since:]})


class _OrderHandler(_Handler):
    async def post(self) -> None:
        taken = await self.state.take_order(json.loads(self.request.body))
        self.set_status(200 if taken else 409)
        self.finish({"taken": taken, "fence": self.state.fence})


class _AdminHandler(_Handler):
    def get(self, what: str) -> None:
        self.finish(self.state.describe())

    async def put(self, what: str) -> None:
        self.state.faults = EngineFaults(**json.loads(self.request.body))
        async with self.state.faults_changed:
            self.state.faults_changed.notify_all()
        self.finish({})


def make_engine(state: EngineState) -> Application:
    """Return the tornado application that serves the engine."""
    bound = {"state": state}
    return Application(
        [
            (r"/v1/chat/completions", _ChatHandler, bound),
            (r"/v1/cancel/(.+)", _CancelHandler, bound),
            (r"/v1/load", _LoadHandler, bound),
            (r"/v1/cache_events", _CacheEventsHandler, bound),
            (r"/v1/orders", _OrderHandler, bound),
            (r"/admin/(state|faults)", _AdminHandler, bound),
        ],
        log_function=lambda handler: None,
    )
