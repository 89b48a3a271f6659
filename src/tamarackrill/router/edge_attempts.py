"""One attempt of a request of the platform's interface at one endpoint."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from tamarackrill.decisions.attempt_timeouts import (
    RESPONSE_TRANSIT_S,
    find_chunk_timeout_s,
    find_header_deadline_s,
    find_suspicion_timeout_s,
)
from tamarackrill.decisions.attempts import AttemptHistory, Outcome
from tamarackrill.decisions.event_stream import EventStream, EventStreamError
from tamarackrill.events import CALL_SENT, log_event
from tamarackrill.platform.headers import (
    ResponseHeaders,
    build_request_headers,
    filter_response_headers,
    parse_response_headers,
)
from tamarackrill.router.channel_pool import ChannelPool
from tamarackrill.router.channels import (
    AnswerHead,
    Channel,
    ChannelBroken,
    open_channel,
)
from tamarackrill.router.edge_calls import EdgeCall
from tamarackrill.router.edge_placing import EdgePlaced, EdgePlacer
from tamarackrill.router.edge_reply import EdgeReply
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.paths import CONNECT_TIMEOUT_S, Paths

# Answers that belong to earlier requests, read over before the connection is given up.
FOREIGN_ANSWERS_MAX = 2
OK_MIN, OK_MAX = 200, 299
SERVER_FAILED = 500
# Tells that the request's time was over, not that its endpoint is out of order.
DEADLINE_PASSED = 504
MISPLACED = 421


class WholeAnswer(NamedTuple):
    """A whole answer of an endpoint."""

    head: AnswerHead
    body: bytes


class Result(NamedTuple):
    """How an attempt went."""

    outcome: Outcome
    detail: str = ""
    answer: WholeAnswer | None = None
    first_s: float | None = None
    status: int = 0
    is_broken: bool = False


class Progress:
    """State of one request over its attempts."""

    def __init__(self, call: EdgeCall, reply: EdgeReply) -> None:
        self.call = call
        self.reply = reply
        self.tried = AttemptHistory()
        self.avoid: set[str] = set()
        self.stream = EventStream(call.headers.last_event_id)
        self.last_endpoint = ""
        self.failed_answer: WholeAnswer | None = None


class EdgeAttempts:
    """Sends requests to endpoints and relays their answers.

    Parameters
    ----------
    placer : EdgePlacer
        Hears how each attempt went.
    count_repeats_left : callable
        Returns what the budget still allows for a request.
    note_sent : callable
        Called with a request that is sent, and whether it was before.
    metrics : Metrics
        Counts and times.
    clock : callable
        Returns the present time.

    Attributes
    ----------
    tell_crash : callable
        Called with the fingerprint of a request that has crashed an endpoint.
    """

    def __init__(
        self,
        placer: EdgePlacer,
        count_repeats_left: Callable[[EdgeCall], float],
        note_sent: Callable[[EdgeCall, bool], None],
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._placer = placer
        self._count_repeats_left = count_repeats_left
        self._note_sent = note_sent
        self._metrics = metrics
        self._clock = clock
        self._checks: set[asyncio.Task[None]] = set()
        self.pool = ChannelPool()
        self.paths = Paths(
            placer.reach,
            placer.list_endpoints,
            lambda: placer.list_witnesses(),
            self.pool.drop,
            clock,
        )
        self.tell_crash: Callable[[int], None] = lambda fingerprint: None

    async def run(self, progress: Progress, placed: EdgePlaced) -> Result:
        """Send a request to an endpoint; an answer to it is written to the client.

        Raises
        ------
        tornado.iostream.StreamClosedError
            If the client has left.
        """
        call = progress.call
        endpoint = placed.endpoint
        progress.last_endpoint = endpoint.name
        started_s = self._clock()
        channel = await self._open(call, placed)
        if isinstance(channel, Result):
            return channel
        log_event(
            CALL_SENT,
            request=call.request_id,
            route=call.route.name,
            endpoint=endpoint.name,
            reason=placed.reason,
            load=placed.load,
            bound=placed.bound,
            time_left_s=call.limit_s - started_s,
            copy_from="" if placed.copy_from is None else placed.copy_from.name,
        )
        self._note_sent(call, progress.tried.was_delivered)
        self._placer.start(call, placed, started_s)
        is_clean = False
        suspecting = asyncio.get_running_loop().call_later(
            find_suspicion_timeout_s(call.route), self._placer.observe_silence, endpoint
        )
        try:
            result = await self._exchange(
                progress, placed, channel, started_s, suspecting.cancel
            )
            is_clean = result.outcome in ("answered", "failed", "not_run", "misplaced")
        finally:
            suspecting.cancel()
            self._placer.finish(call, endpoint, self._clock())
            if not is_clean:
                channel.close()
        self._judge(call, placed, result)
        return result

    async def _open(self, call: EdgeCall, placed: EdgePlaced) -> Channel | Result:
        now_s = self._clock()
        endpoint = placed.endpoint
        # A connection that was kept may be closed by the endpoint just as a request is
        # sent, and whether that has run is then unknown.  One that may not run twice
        # would be lost; a new connection costs it a millisecond.
        if call.route.may_repeat:
            kept = self.pool.take(endpoint.name, now_s)
            if kept is not None:
                return kept
        timeout_s = min(CONNECT_TIMEOUT_S, max(0.001, call.limit_s - now_s))
        try:
            return await open_channel(endpoint.address, timeout_s)
        except OSError as error:
            self.paths.note_failure(endpoint, error)
            self._metrics.count("connects_failed", endpoint.zone)
            return Result("not_sent", repr(error))

    async def _exchange(
        self,
        progress: Progress,
        placed: EdgePlaced,
        channel: Channel,
        started_s: float,
        note_first: Callable[[], None],
    ) -> Result:
        call = progress.call
        self._send(progress, placed, channel)
        limit_s = find_header_deadline_s(
            call.route,
            progress.tried.sent,
            self._has_other(progress, placed),
            self._count_repeats_left(call),
            started_s,
            call.limit_s,
        )
        try:
            async with asyncio.timeout_at(limit_s):
                head, facts = await self._read_own_head(call, channel)
            # How long a stream goes on after this says nothing against its engine.
            note_first()
            first_s = self._clock() - started_s
            self._placer.observe_first(call, placed.endpoint, self._clock())
            self.paths.note_answer(placed.endpoint)
            if facts.load is not None:
                self._placer.observe_load(placed, facts.load, self._clock())
            async with asyncio.timeout_at(call.limit_s + RESPONSE_TRANSIT_S):
                result = await self._take(progress, placed, channel, head, facts)
        except TimeoutError:
            return Result("lost", "silent")
        except (ChannelBroken, EventStreamError) as error:
            return Result("lost", str(error), is_broken=True)
        if channel.finish():
            self.pool.give_back(
                placed.endpoint.name, channel, facts.idle_max_s, self._clock()
            )
        return result._replace(first_s=first_s, status=head.status)

    def _send(self, progress: Progress, placed: EdgePlaced, channel: Channel) -> None:
        call = progress.call
        has_body = bool(call.body) or call.method in ("POST", "PUT", "PATCH")
        source = placed.copy_from
        headers = build_request_headers(
            call.headers,
            placed.endpoint.name,
            call.team,
            call.limit_s - self._clock(),
            len(call.body) if has_body else None,
            progress.stream.last_id,
            None if source is None else source.address,
            placed.priority,
        )
        channel.send(call.method, call.target, headers, call.body)

    async def _read_own_head(
        self, call: EdgeCall, channel: Channel
    ) -> tuple[AnswerHead, ResponseHeaders]:
        for _ in range(FOREIGN_ANSWERS_MAX + 1):
            head = await channel.read_head()
            facts = parse_response_headers(head.by_name)
            if facts.request_id == call.request_id:
                return head, facts
            # On a new connection a refusal without an id can be of no other request.
            if not facts.request_id and facts.has_not_run and channel.used == 1:
                return head, facts
            self._metrics.count("foreign_answers")
            await channel.skip_answer()
        raise ChannelBroken("answers of other requests")

    async def _take(
        self,
        progress: Progress,
        placed: EdgePlaced,
        channel: Channel,
        head: AnswerHead,
        facts: ResponseHeaders,
    ) -> Result:
        if head.status == MISPLACED or facts.has_not_run:
            await _read_body(channel)
            outcome: Outcome = "misplaced" if head.status == MISPLACED else "not_run"
            return Result(outcome, f"status {head.status}")
        is_ok = OK_MIN <= head.status <= OK_MAX
        if is_ok and (not facts.is_signed or facts.has_content_encoding):
            raise ChannelBroken("an answer without proof or with an encoding")
        if is_ok and facts.is_event_stream:
            await self._relay(progress, placed, channel, head)
            return Result("answered")
        body = await _read_body(channel)
        whole = WholeAnswer(head, body)
        if head.status >= SERVER_FAILED:
            return Result("failed", f"status {head.status}", whole)
        if progress.reply.has_begun:
            raise ChannelBroken(f"a stream went on with status {head.status}")
        await progress.reply.begin(
            head.status, filter_response_headers(head.headers), body
        )
        return Result("answered")

    async def _relay(
        self,
        progress: Progress,
        placed: EdgePlaced,
        channel: Channel,
        head: AnswerHead,
    ) -> None:
        reply, stream = progress.reply, progress.stream
        # Half an event of an endpoint that was lost may be held, also where the client
        # has got nothing yet.
        stream.resume()
        last_s: float | None = None
        while True:
            piece = await self._read_piece(progress, placed, channel)
            events = stream.take(piece) if piece else stream.finish()
            if events or not piece:
                if not reply.has_begun:
                    await reply.begin(
                        head.status, filter_response_headers(head.headers)
                    )
                if events:
                    await reply.write(events)
                    now_s = self._clock()
                    if last_s is not None:
                        self._metrics.record_gap(now_s - last_s)
                    last_s = now_s
            if not piece:
                reply.finish()
                return

    async def _read_piece(
        self, progress: Progress, placed: EdgePlaced, channel: Channel
    ) -> bytes:
        has_begun = progress.reply.has_begun
        wait_s = find_chunk_timeout_s(
            progress.call.route, progress.tried.sent, has_begun
        )
        while True:
            try:
                async with asyncio.timeout(wait_s):
                    return await channel.read_piece()
            except TimeoutError:
                # Given up with nobody to go on, the stream would end for its client in
                # the middle, where the engine may only be slow.
                if self._has_other(progress, placed):
                    raise

    def _has_other(self, progress: Progress, placed: EdgePlaced) -> bool:
        avoid = progress.avoid | {placed.endpoint.name}
        return self._placer.has_endpoint(progress.call, avoid, self._clock())

    def _judge(self, call: EdgeCall, placed: EdgePlaced, result: Result) -> None:
        now_s = self._clock()
        if result.is_broken:
            self._check_crash(call, placed)
        if result.outcome == "misplaced":
            self._placer.observe_misplaced(placed.endpoint, now_s)
        if result.outcome == "answered":
            is_ok = result.status < SERVER_FAILED
            self._placer.observe_result(call, placed, is_ok, result.first_s, now_s)
        elif (
            result.outcome in ("failed", "lost")
            and result.status != DEADLINE_PASSED
            and now_s < call.limit_s
        ):
            self._placer.observe_result(call, placed, False, None, now_s)

    def _check_crash(self, call: EdgeCall, placed: EdgePlaced) -> None:
        task = asyncio.create_task(self._ask_crashed(call, placed))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _ask_crashed(self, call: EdgeCall, placed: EdgePlaced) -> None:
        # An answer can break off though its endpoint lives.  Only if nobody listens
        # there any more has the process ended, and the request may be why.
        try:
            channel = await open_channel(placed.endpoint.address, CONNECT_TIMEOUT_S)
        except OSError as error:
            self.paths.note_failure(placed.endpoint, error)
            if isinstance(error, ConnectionRefusedError):
                self._note_crash(call, placed.endpoint.name)
        else:
            channel.close()

    def _note_crash(self, call: EdgeCall, name: str) -> None:
        if self._placer.poison.observe_crash(call.fingerprint, name, self._clock()):
            self.tell_crash(call.fingerprint)


async def _read_body(channel: Channel) -> bytes:
    pieces = []
    while piece := await channel.read_piece():
        pieces.append(piece)
    return b"".join(pieces)
