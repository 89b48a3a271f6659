"""The way of one request of the platform's interface, from its route to its answer."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from tornado.iostream import StreamClosedError

from tamarackrill.decisions.attempts import (
    Next,
    Outcome,
    Tried,
    add_attempt,
    choose_return_s,
    decide_next,
)
from tamarackrill.decisions.event_stream import EventStream, EventStreamFault
from tamarackrill.decisions.retry_shares import BudgetTerms, RetryShare
from tamarackrill.events import (
    CALL_ANSWERED,
    CALL_ATTEMPT_FAILED,
    CALL_CUT,
    CALL_REFUSED,
    CALL_SENT,
    log_event,
)
from tamarackrill.exceptions import Refusal
from tamarackrill.platform.headers import (
    AnswerHeaders,
    list_passed_back,
    read_answer,
    write_refusal,
    write_request,
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

# An answer that an endpoint ends just at its deadline is on its way for so long.
ANSWER_SLACK_S = 0.08
# An endpoint of lookups that is silent for this many objectives is given up for
# another.
SILENT_OBJECTIVES = 2.5
# A stream that may go on elsewhere and is silent for so long does: a client leaves
# after two seconds, and the other endpoint has to read the prompt first.
STREAM_SILENT_S = 1.0
# Answers that belong to earlier requests, read over before the connection is given up.
FOREIGN_ANSWERS_MAX = 2
OK_MIN, OK_MAX = 200, 299
SERVER_FAILED = 500
MISPLACED = 421


class _Whole(NamedTuple):
    """A whole answer of an endpoint."""

    head: AnswerHead
    body: bytes


class _Result(NamedTuple):
    """How an attempt went."""

    outcome: Outcome
    detail: str = ""
    answer: _Whole | None = None
    first_s: float | None = None
    status: int = 0
    is_broken: bool = False


class _Progress:
    """State of one request over its attempts."""

    def __init__(self, call: EdgeCall, reply: EdgeReply) -> None:
        self.call = call
        self.reply = reply
        self.tried = Tried()
        self.avoid: set[str] = set()
        self.stream = EventStream(call.headers.last_event_id)
        self.last_endpoint = ""
        self.failed_answer: _Whole | None = None


class EdgeFlow:
    """Serves requests.

    Parameters
    ----------
    placer : EdgePlacer
        Chooses endpoints.
    terms : BudgetTerms
        The fleet's budget of repeats for each service.
    count_routers : callable
        Returns how many routers share it.
    metrics : Metrics
        Counts and times.
    clock : callable
        Returns the present time.
    """

    def __init__(
        self,
        placer: EdgePlacer,
        terms: BudgetTerms,
        count_routers: Callable[[], int],
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._placer = placer
        self._terms = terms
        self._count_routers = count_routers
        self._metrics = metrics
        self._clock = clock
        self._retries: dict[str, RetryShare] = {}
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
        self.find_elsewhere_s: Callable[[], float | None] = lambda: None

    def count_repeats_left(self) -> dict[str, float]:
        """Return what this router may still repeat, by service; for metrics."""
        routers, now_s = self._count_routers(), self._clock()
        return {
            service: share.count_left(routers, now_s)
            for service, share in self._retries.items()
        }

    async def serve(self, call: EdgeCall, reply: EdgeReply) -> None:
        """Give a request its final answer.

        Raises
        ------
        tornado.iostream.StreamClosedError
            If the client has left.
        """
        progress = _Progress(call, reply)
        self._find_share(call.service).note_request(self._clock())
        while True:
            now_s = self._clock()
            try:
                placed = self._placer.choose(call, progress.avoid, now_s)
            except Refusal as refusal:
                await self._end(progress, "poison", refusal.retry_after_s)
                return
            if placed is None or call.limit_s <= now_s:
                reason = "no_endpoint" if placed is None else "deadline"
                await self._end(progress, reason)
                return
            result = await self._attempt(progress, placed)
            if result.outcome == "answered":
                self._note_answer(progress, placed, result)
                return
            if await self._follow(progress, placed, result):
                return

    def _find_share(self, service: str) -> RetryShare:
        share = self._retries.get(service)
        if share is None:
            share = self._retries[service] = RetryShare(self._terms)
        return share

    # One attempt

    async def _attempt(self, progress: _Progress, placed: EdgePlaced) -> _Result:
        call = progress.call
        endpoint = placed.endpoint
        progress.last_endpoint = endpoint.name
        started_s = self._clock()
        channel = await self._open(call, placed)
        if isinstance(channel, _Result):
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
        )
        if progress.tried.sent:
            self._find_share(call.service).note_repeat(started_s)
        self._placer.start(call, endpoint, started_s)
        is_clean = False
        try:
            result = await self._exchange(progress, placed, channel, started_s)
            is_clean = result.outcome in ("answered", "failed", "not_run", "misplaced")
        finally:
            self._placer.finish(call, endpoint, self._clock())
            if not is_clean:
                channel.close()
        self._judge(call, placed, result)
        return result

    async def _open(self, call: EdgeCall, placed: EdgePlaced) -> Channel | _Result:
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
            return _Result("not_sent", repr(error))

    async def _exchange(
        self,
        progress: _Progress,
        placed: EdgePlaced,
        channel: Channel,
        started_s: float,
    ) -> _Result:
        call = progress.call
        self._send(progress, placed, channel)
        limit_s = self._find_silence_limit(progress, started_s)
        try:
            async with asyncio.timeout_at(limit_s):
                head, facts = await self._read_own_head(call, channel)
            first_s = self._clock() - started_s
            self.paths.note_answer(placed.endpoint)
            if facts.load is not None:
                now_s = self._clock()
                self._placer.placement.observe_report(
                    placed.endpoint.name, facts.load, now_s, now_s
                )
            async with asyncio.timeout_at(call.limit_s + ANSWER_SLACK_S):
                result = await self._take(progress, channel, head, facts)
        except TimeoutError:
            return _Result("lost", "silent")
        except (ChannelBroken, EventStreamFault) as error:
            return _Result("lost", str(error), is_broken=True)
        if channel.finish():
            self.pool.give_back(
                placed.endpoint.name, channel, facts.idle_max_s, self._clock()
            )
        return result._replace(first_s=first_s, status=head.status)

    def _send(self, progress: _Progress, placed: EdgePlaced, channel: Channel) -> None:
        call = progress.call
        has_body = bool(call.body) or call.method in ("POST", "PUT", "PATCH")
        source = placed.copy_from
        headers = write_request(
            call.headers,
            placed.endpoint.name,
            call.team,
            call.limit_s - self._clock(),
            len(call.body) if has_body else None,
            progress.stream.last_id,
            None if source is None else source.address,
        )
        channel.send(call.method, call.target, headers, call.body)

    def _find_silence_limit(self, progress: _Progress, started_s: float) -> float:
        """Return until when the head of the answer is waited for."""
        call = progress.call
        limit_s = call.limit_s + ANSWER_SLACK_S
        route = call.route
        has_another = progress.tried.sent + 1 < route.attempts_max
        if route.kind != "idempotent" or not has_another:
            return limit_s
        if self._count_repeats_left(call) < 1.0:
            return limit_s
        return min(limit_s, started_s + SILENT_OBJECTIVES * route.objective_s)

    async def _read_own_head(
        self, call: EdgeCall, channel: Channel
    ) -> tuple[AnswerHead, AnswerHeaders]:
        for _ in range(FOREIGN_ANSWERS_MAX + 1):
            head = await channel.read_head()
            facts = read_answer(head.by_name)
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
        progress: _Progress,
        channel: Channel,
        head: AnswerHead,
        facts: AnswerHeaders,
    ) -> _Result:
        if head.status == MISPLACED or facts.has_not_run:
            await _read_body(channel)
            outcome: Outcome = "misplaced" if head.status == MISPLACED else "not_run"
            return _Result(outcome, f"status {head.status}")
        is_ok = OK_MIN <= head.status <= OK_MAX
        if is_ok and (not facts.is_signed or facts.is_encoded):
            raise ChannelBroken("an answer without proof or with an encoding")
        if is_ok and facts.is_event_stream:
            await self._relay(progress, channel, head)
            return _Result("answered")
        body = await _read_body(channel)
        whole = _Whole(head, body)
        if head.status >= SERVER_FAILED:
            return _Result("failed", f"status {head.status}", whole)
        if progress.reply.has_begun:
            raise ChannelBroken(f"a stream went on with status {head.status}")
        await progress.reply.begin(head.status, list_passed_back(head.headers), body)
        return _Result("answered")

    async def _relay(
        self, progress: _Progress, channel: Channel, head: AnswerHead
    ) -> None:
        reply, stream = progress.reply, progress.stream
        # Half an event of an endpoint that was lost may be held, also where the client
        # has got nothing yet.
        stream.resume()
        last_s: float | None = None
        while True:
            piece = await self._read_piece(progress, channel)
            events = stream.take(piece) if piece else stream.finish()
            if events or not piece:
                if not reply.has_begun:
                    await reply.begin(head.status, list_passed_back(head.headers))
                if events:
                    await reply.write(events)
                    now_s = self._clock()
                    if last_s is not None:
                        self._metrics.record_gap(now_s - last_s)
                    last_s = now_s
            if not piece:
                reply.finish()
                return

    async def _read_piece(self, progress: _Progress, channel: Channel) -> bytes:
        route = progress.call.route
        has_another = progress.tried.sent + 1 < route.attempts_max
        if not (route.may_repeat and has_another and progress.reply.has_begun):
            return await channel.read_piece()
        async with asyncio.timeout(STREAM_SILENT_S):
            return await channel.read_piece()

    def _judge(self, call: EdgeCall, placed: EdgePlaced, result: _Result) -> None:
        now_s = self._clock()
        if result.is_broken:
            self._check_crash(call, placed)
        if result.outcome == "answered":
            is_ok = result.status < SERVER_FAILED
            self._placer.observe_result(call, placed, is_ok, result.first_s, now_s)
        elif result.outcome in ("failed", "lost") and now_s < call.limit_s:
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

    # What follows

    def _count_repeats_left(self, call: EdgeCall) -> float:
        share = self._find_share(call.service)
        return share.count_left(self._count_routers(), self._clock())

    async def _follow(
        self, progress: _Progress, placed: EdgePlaced, result: _Result
    ) -> bool:
        """Act on an attempt that brought no answer; return whether it was the last."""
        call = progress.call
        now_s = self._clock()
        progress.tried = add_attempt(progress.tried, result.outcome)
        progress.avoid.add(placed.endpoint.name)
        left = self._count_repeats_left(call)
        following: Next = decide_next(
            result.outcome,
            progress.tried,
            call.route.may_repeat,
            call.route.attempts_max,
            left,
            call.limit_s - now_s,
        )
        if following == "repeat" and self._placer.is_poison(call, now_s):
            following = "give_up" if progress.tried.may_have_run else "refuse"
        log_event(
            CALL_ATTEMPT_FAILED,
            request=call.request_id,
            endpoint=placed.endpoint.name,
            outcome=result.outcome,
            detail=result.detail,
            next=following,
            repeats_left=left,
            after_s=now_s - call.arrived_s,
        )
        self._metrics.count("attempts_failed", result.outcome)
        if result.answer is not None:
            progress.failed_answer = result.answer
        if following == "repeat":
            return False
        await self._end(progress, result.outcome)
        return True

    def _note_answer(
        self, progress: _Progress, placed: EdgePlaced, result: _Result
    ) -> None:
        call = progress.call
        total_s = self._clock() - call.arrived_s
        self._metrics.count("calls_answered", call.route.kind)
        self._metrics.record_first_byte(call.route.kind, result.first_s or 0.0)
        log_event(
            CALL_ANSWERED,
            request=call.request_id,
            endpoint=placed.endpoint.name,
            status=result.status,
            attempts=progress.tried.sent + 1,
            first_s=result.first_s,
            total_s=total_s,
        )

    def _find_client_left_s(self, call: EdgeCall) -> float:
        waits_s = call.headers.wait_s
        if waits_s is None:
            return call.limit_s - self._clock()
        return call.arrived_s + waits_s - self._clock()

    async def _end(
        self, progress: _Progress, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Give the final answer of a request that no endpoint has answered well."""
        call, reply, tried = progress.call, progress.reply, progress.tried
        if reply.has_begun:
            log_event(
                CALL_CUT,
                request=call.request_id,
                route=call.route.name,
                endpoint=progress.last_endpoint,
                events=progress.stream.events,
                reason=reason,
            )
            self._metrics.count("streams_cut", reason)
            reply.cut()
            return
        if progress.failed_answer is not None:
            answer = progress.failed_answer
            await reply.begin(
                answer.head.status,
                list_passed_back(answer.head.headers),
                answer.body,
            )
            self._metrics.count("calls_failed", "endpoint")
            return
        if not tried.may_have_run:
            status = 503
            is_cut = reason in ("no_endpoint", "not_sent")
            wait_s = retry_after_s or choose_return_s(
                call.request_id,
                is_cut,
                self._find_client_left_s(call),
                self.find_elsewhere_s(),
            )
        else:
            is_late = self._clock() >= call.limit_s
            status, wait_s = (504 if is_late else 502), None
        await refuse(call, reply, status, reason, wait_s, tried.sent)
        self._metrics.count_refusal(reason)


async def _read_body(channel: Channel) -> bytes:
    pieces = []
    while piece := await channel.read_piece():
        pieces.append(piece)
    return b"".join(pieces)


async def refuse(
    call: EdgeCall,
    reply: EdgeReply,
    status: int,
    reason: str,
    retry_after_s: float | None,
    sent: int = 0,
) -> None:
    """Answer a request that matched a route with an answer of the router's own."""
    log_event(
        CALL_REFUSED,
        request=call.request_id,
        route=call.route.name,
        status=status,
        reason=reason,
        version=call.manifest_version,
        sent=sent,
        retry_after_s=retry_after_s,
    )
    headers = write_refusal(call.request_id, retry_after_s)
    body = b'{"error": "%s"}\n' % reason.encode()
    try:
        await reply.begin(status, list(headers.items()), body)
    except StreamClosedError:
        return
