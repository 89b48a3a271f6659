"""Single attempts to serve a request on the platform's interface at an endpoint."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.attempt_races import BEGUN_LEAD_S
from tamarackrill.decisions.attempt_timeouts import (
    RESPONSE_TRANSIT_S,
    find_chunk_timeout_s,
    find_header_timeout_s,
    find_link_timeout_s,
    find_suspicion_timeout_s,
)
from tamarackrill.decisions.attempts import Outcome
from tamarackrill.decisions.capacity.buffers import Limit
from tamarackrill.decisions.capacity.early_answers import (
    SERVER_ERROR_MIN,
    decide_early,
    must_read_refusal,
)
from tamarackrill.decisions.error_blame import ErrorBlame
from tamarackrill.decisions.event_stream import EventStreamError, ends_inside_event
from tamarackrill.decisions.unexpected_errors import classify_attempt
from tamarackrill.events import (
    ANSWER_BEGUN_EARLY,
    CALL_OVERTAKEN,
    CALL_REOPENED,
    CALL_SENT,
    log_event,
)
from tamarackrill.platform.headers import (
    ResponseHeaders,
    build_request_headers,
    filter_response_headers,
    parse_response_headers,
)
from tamarackrill.router import lateness
from tamarackrill.router.answer_headers import (
    MISDIRECTED_REQUEST,
    AnswerHeaderObserver,
)
from tamarackrill.router.attempt_results import AttemptResult, CompleteAnswer
from tamarackrill.router.channel_pool import ChannelPool, is_safe
from tamarackrill.router.channels import (
    Channel,
    ChannelError,
    Connect,
    ResponseHead,
    open_channel,
)
from tamarackrill.router.crash_checks import AttemptEnding, CrashChecks
from tamarackrill.router.edge_calls import EdgeCall, describe_call
from tamarackrill.router.edge_placing import EdgePlacement, EdgePlacer
from tamarackrill.router.edge_reply import HeldBody
from tamarackrill.router.endpoint_checks import EndpointChecks
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.paths import CONNECT_TIMEOUT_S, PathProber
from tamarackrill.router.prompt_guard import SOUND_EVENTS_MIN, PromptGuard
from tamarackrill.router.relay_client import RelayClient
from tamarackrill.router.relay_messages import (
    ANSWERED,
    OUTCOME_HEADER,
    RelayedAttempt,
    add_relay_headers,
    remove_relay_headers,
)
from tamarackrill.router.request_progress import RequestAttempt, RequestProgress
from tamarackrill.router.standstill import wait_never
from tamarackrill.router.unexpected_errors import (
    DECLARED,
    convert_stray_cancellation,
    describe_origin,
    record_unexpected,
    tolerate,
)

# Responses to earlier requests that are skipped before the connection is closed.
MISMATCHED_ANSWERS_MAX = 2
OK_MIN, OK_MAX = 200, 299
_LEFT = "the endpoint takes no more work"
# Reports that the request's deadline has passed, not that the endpoint is faulty.
GATEWAY_TIMEOUT = 504


class _RelayRefused(Exception):
    """Another router did not forward an attempt, so that no endpoint received it."""


class _Overtaken(Exception):
    """Another attempt of the same request was the first to bring an answer."""


class EdgeAttempts:
    """Sends requests to endpoints and forwards their responses.

    Parameters
    ----------
    placer : EdgePlacer
        Is told the result of each attempt.
    count_retries_left : callable
        Returns the retries left in the budget of a request's service.
    on_sent : callable
        Called with each attempt that is sent, and whether this is a retry.
    metrics : Metrics
        Records counters and durations.
    clock : callable
        Returns the present time.
    connect : callable, optional
        Opens connections to endpoints.

    Attributes
    ----------
    checks : EndpointChecks
        Checks whether endpoints still live.
    crashes : CrashChecks
        Finds out whether endpoints that broke a response off have crashed.
    on_silent : callable
        Called with an attempt whose endpoint is silent, for how long it has been, and
        how long another attempt is given before the next one.
    on_first_event : callable
        Called with a request and its endpoint's software version before the first event
        of its stream is forwarded.
    may_replace : callable
        Returns whether another attempt may answer the request of one that brings a
        failure.
    relays : RelayClient or None
        Other routers through which endpoints are reached.
    guard : PromptGuard or None
        Is told which parts of prompts crash endpoints.
    wait_current : callable
        Waits for news if the router has just stood still.
    """

    def __init__(
        self,
        placer: EdgePlacer,
        count_retries_left: Callable[[EdgeCall], float],
        on_sent: Callable[[RequestAttempt, bool], None],
        metrics: Metrics,
        clock: Callable[[], float],
        connect: Connect = open_channel,
    ) -> None:
        self._connect = connect
        self._placer = placer
        self._count_retries_left = count_retries_left
        self._on_sent = on_sent
        self._metrics = metrics
        self._clock = clock
        self._observer = AnswerHeaderObserver(placer, metrics, clock)
        self._blame = ErrorBlame()
        self.pool = ChannelPool()
        self.paths = PathProber(
            placer.reach,
            placer.list_endpoints,
            lambda: placer.list_witnesses(),
            self.pool.drop,
            clock,
            connect,
        )
        self.on_silent: Callable[[RequestAttempt, float, float], None] = (
            lambda attempt, silent_s, pause_s: None
        )
        self.on_first_event: Callable[[EdgeCall, str], None] = lambda call, version: (
            None
        )
        self.may_replace: Callable[[RequestAttempt], bool] = lambda attempt: False
        self.checks = EndpointChecks(placer, self.paths, self.pool, clock, connect)
        self.crashes = CrashChecks(placer, self.paths, self.checks, clock, connect)
        self.relays: RelayClient | None = None
        self.guard: PromptGuard | None = None
        self.wait_current: Callable[[], Awaitable[None]] = wait_never
        self._peer_key = ""

    def use_relays(self, relays: RelayClient, peer_key: str) -> None:
        """Send attempts to unreachable endpoints through other routers.

        Parameters
        ----------
        relays : RelayClient
            Knows these routers.
        peer_key : str
            Signs the attempts.
        """
        self.relays = relays
        self.checks.relays = relays
        self._peer_key = peer_key

    def use_guard(self, guard: PromptGuard) -> None:
        """Tell the guard which prompts crash endpoints, and which are answered."""
        self.guard = guard
        self.crashes.guard = guard

    async def run(
        self, attempt: RequestAttempt, placed: EdgePlacement
    ) -> AttemptResult:
        """Send a request to an endpoint and forward its response to the client.

        Raises
        ------
        tornado.iostream.StreamClosedError
            If the client has disconnected.
        ClientTooSlow
            If the endpoint gave up a response that its client did not read.
        """
        try:
            with convert_stray_cancellation():
                return await self._run(attempt, placed)
        except DECLARED:
            raise
        except Exception as error:
            return self._end_unexpected(attempt, placed, error)

    def _end_unexpected(
        self, attempt: RequestAttempt, placed: EdgePlacement, error: Exception
    ) -> AttemptResult:
        """Return the result of an attempt that raised an undeclared error."""
        if attempt.is_writing:
            # The client may have some of the events, so that the stream can't go on.
            raise error
        progress = attempt.progress
        call, name = progress.call, placed.endpoint.name
        record_unexpected(self._metrics, "attempt", error, call.request_id, name)
        if attempt.is_overtaken:
            return AttemptResult("lost", "overtaken", is_overtaken=True)
        attempt.stream.undo()
        outcome = classify_attempt(name in progress.sent_to, progress.reply.is_complete)
        result = AttemptResult(outcome, repr(error))
        progress.avoid.add(name)
        is_blamed = self._blame.observe(describe_origin(error), name, self._clock())
        if outcome == "lost" and is_blamed:
            with tolerate(self._metrics, "report", call.request_id, name):
                self._report_result(call, placed, result)
        return result

    async def _run(
        self, attempt: RequestAttempt, placed: EdgePlacement
    ) -> AttemptResult:
        progress = attempt.progress
        call = progress.call
        endpoint = placed.endpoint
        progress.last_endpoint = attempt.endpoint_name = endpoint.name
        started_s = self._clock()
        relay = self._choose_relay(call, endpoint)
        channel = await self._connect_current(call, endpoint, relay)
        if isinstance(channel, AttemptResult):
            return channel
        log_event(
            CALL_SENT,
            **describe_call(call),
            endpoint=endpoint.name,
            reason=placed.reason,
            load=placed.load,
            bound=placed.bound,
            choice_age_s=round(self._clock() - placed.chosen_s, 4),
            time_left_s=call.deadline_s - started_s,
            copy_from="" if placed.copy_from is None else placed.copy_from.name,
            relay=relay,
            software_version=endpoint.software_version,
            last_event=progress.stream.last_id,
            resumed=call.headers.resumed_id,
            parts=[f"{part:016x}" for part in call.parts],
        )
        attempt.channel = channel
        is_clean = has_started = False
        suspecting = lateness.LateTimer(
            asyncio.get_running_loop().time() + find_suspicion_timeout_s(call.route),
            lambda: self._observe_overdue(endpoint, relay),
        )
        try:
            attempt.note_sent()
            self._on_sent(attempt, attempt.find_history().was_delivered)
            self._placer.start(call, placed, started_s)
            has_started = True
            if self.guard is not None:
                attempt.exposure = self.guard.record_sent(call.prompt, endpoint)
            result = await self._exchange_reopening(
                attempt, placed, relay, channel, started_s, suspecting.cancel
            )
            is_clean = result.outcome in ("answered", "failed", "not_run", "misplaced")
        finally:
            suspecting.cancel()
            channel = attempt.channel or channel
            attempt.channel = None
            if not is_clean:
                channel.close()
            with tolerate(self._metrics, "finish", call.request_id, endpoint.name):
                if has_started:
                    self._placer.finish(call, endpoint, self._clock())
        if result.outcome == "answered" and result.status <= OK_MAX:
            self._record_sound(attempt)
        # The end of an endpoint that was silent for long says little of the prompt.
        exposure = None if attempt.is_silent else attempt.exposure
        ending = AttemptEnding(
            call, endpoint, attempt.stream.own_events, exposure, self._clock()
        )
        result = result._replace(ending=ending)
        if result.is_overtaken and not attempt.is_silent:
            return result
        with tolerate(self._metrics, "report", call.request_id, endpoint.name):
            if relay:
                await self._report_relayed(call, placed, relay, result)
            else:
                self._report_result(call, placed, result)
                if result.is_broken:
                    await self.crashes.check(ending)
        return result

    def _record_sound(self, attempt: RequestAttempt) -> None:
        if self.guard is not None and attempt.exposure is not None:
            self.guard.record_sound(attempt.exposure)
            attempt.exposure = None

    def _choose_relay(self, call: EdgeCall, endpoint: Endpoint) -> str:
        """Return the router through which to send an attempt; empty for none."""
        is_reached = endpoint.name not in self._placer.reach.unreachable
        if self.relays is None or is_reached:
            return ""
        return self.relays.choose(endpoint, call.request_id) or ""

    async def _connect_current(
        self, call: EdgeCall, endpoint: Endpoint, relay: str
    ) -> Channel | AttemptResult:
        """Connect to an endpoint that still takes work then."""
        while True:
            channel = await self._open_channel(call, endpoint, relay)
            if isinstance(channel, AttemptResult):
                return channel
            try:
                await self.wait_current()
            except BaseException:
                channel.close()
                raise
            if not channel.requests_sent or is_safe(channel, self._clock()):
                break
            # A kept connection may have been closed during the wait.
            channel.close()
        # The choice is as old as all that the request has waited for since.
        if not self._placer.takes_work(endpoint):
            channel.close()
            return AttemptResult("not_sent", _LEFT, relay=relay)
        return channel

    async def _open_channel(
        self, call: EdgeCall, endpoint: Endpoint, relay: str
    ) -> Channel | AttemptResult:
        if not self._placer.takes_work(endpoint):
            return AttemptResult("not_sent", _LEFT, relay=relay)
        if relay:
            assert self.relays is not None
            try:
                return await self.relays.open_channel(relay, call.route.may_repeat)
            except OSError as error:
                self.relays.observe_lost(relay, endpoint.name, repr(error))
                return AttemptResult("not_sent", repr(error), relay=relay)
        timeout_s = min(CONNECT_TIMEOUT_S, max(0.001, call.deadline_s - self._clock()))
        try:
            return await self.open_own_channel(
                endpoint, self._may_reopen(call), timeout_s
            )
        except OSError as error:
            self.paths.record_failure(endpoint, error)
            self._metrics.count("connects_failed", endpoint.zone)
            return AttemptResult("not_sent", repr(error))

    def _may_reopen(self, call: EdgeCall) -> bool:
        """Return whether a request may be sent again if its connection is closed."""
        return call.route.may_repeat and self._count_retries_left(call) >= 1.0

    async def _exchange_reopening(
        self,
        attempt: RequestAttempt,
        placed: EdgePlacement,
        relay: str,
        channel: Channel,
        started_s: float,
        on_first_byte: Callable[[], None],
    ) -> AttemptResult:
        """Exchange a request, again if its kept connection ends unanswered."""
        result = await self._exchange(
            attempt, placed, relay, channel, started_s, on_first_byte
        )
        if relay or not channel.has_ended_unanswered:
            return result
        reopened = await self._reopen(attempt, placed.endpoint)
        if reopened is None:
            return result
        attempt.channel = reopened
        return await self._exchange(
            attempt, placed, relay, reopened, started_s, on_first_byte
        )

    async def _reopen(
        self, attempt: RequestAttempt, endpoint: Endpoint
    ) -> Channel | None:
        """Return a new connection for a request whose kept connection was closed.

        An endpoint whose idle timeout has passed while it was silent closes its
        connections, with requests in them that it has not read.  It still serves.

        Returns
        -------
        Channel or None
            None if the request can't be sent to the endpoint again.
        """
        call = attempt.progress.call
        if attempt.is_overtaken or not self._may_reopen(call):
            return None
        # The endpoint has closed the others too.
        self.pool.drop(endpoint.name)
        attempt.note_silent(False)
        # Counted before the wait, as the requests of other connections come at once.
        self._on_sent(attempt, True)
        channel = await self._connect_current(call, endpoint, "")
        if isinstance(channel, AttemptResult):
            return None
        if attempt.is_overtaken:
            channel.close()
            return None
        log_event(
            CALL_REOPENED,
            **describe_call(call),
            endpoint=endpoint.name,
            after_s=self._clock() - call.arrived_s,
        )
        return channel

    async def open_own_channel(
        self, endpoint: Endpoint, may_repeat: bool, timeout_s: float
    ) -> Channel:
        """Return a connection to an endpoint over this router's own link.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        may_repeat : bool
            Whether the request to be sent may be sent once more.
        timeout_s : float
            Timeout for connecting.

        Raises
        ------
        OSError
            If the connection failed or timed out; nothing was sent.
        """
        # The endpoint may close a pooled connection just as a request is sent, so that
        # it is unknown whether the request has run.  A request that may not run twice,
        # or for which no retry is left, would fail, so it gets a new connection, which
        # takes a millisecond.
        if may_repeat:
            kept = self.pool.take(endpoint.name, self._clock())
            if kept is not None:
                return kept
        return await self._connect(endpoint.address, timeout_s)

    async def _exchange(
        self,
        attempt: RequestAttempt,
        placed: EdgePlacement,
        relay: str,
        channel: Channel,
        started_s: float,
        on_first_byte: Callable[[], None],
    ) -> AttemptResult:
        progress = attempt.progress
        call = progress.call
        framing, load = "", None
        self._send(progress, placed, relay, channel)
        try:
            async with lateness.timeout_at(call.deadline_s + RESPONSE_TRANSIT_S):
                has_begun = progress.reply.has_begun
                timeout_s = find_header_timeout_s(call.route, has_begun)
                with self._watch_answer(attempt, channel, timeout_s):
                    head, answer_headers = await self.read_matching_head(
                        call.request_id, placed.endpoint, channel, relay
                    )
            _check_running(attempt)
            attempt.note_silent(False)
            framing = head.framing
            # The duration of a stream after this is no sign that its engine has failed.
            on_first_byte()
            first_s = self._clock() - started_s
            self._placer.observe_response_start(call, placed.endpoint, self._clock())
            if not relay:
                self.paths.record_answer(placed.endpoint)
            load = self._observer.observe_load(placed, head, answer_headers)
            async with lateness.timeout_at(call.deadline_s + RESPONSE_TRANSIT_S):
                result = await self._handle_answer(
                    attempt, placed, relay, channel, head, answer_headers
                )
        except (TimeoutError, ChannelError, EventStreamError, _Overtaken) as error:
            if attempt.is_overtaken:
                return AttemptResult(
                    "lost", "overtaken", framing=framing, is_overtaken=True
                )
            progress.reply.check_unread(channel)
            if isinstance(error, TimeoutError):
                return AttemptResult("lost", "silent", framing=framing, load=load)
            return AttemptResult(
                "lost", str(error), is_broken=True, framing=framing, load=load
            )
        except _RelayRefused:
            return AttemptResult("not_sent", "not forwarded", relay=relay)
        with tolerate(self._metrics, "keep", call.request_id, placed.endpoint.name):
            if channel.finish():
                pool, name = self.pool, placed.endpoint.name
                if relay and self.relays is not None:
                    pool, name = self.relays.pool, relay
                pool.give_back(name, channel, answer_headers.idle_max_s, self._clock())
        return result._replace(
            relay=relay,
            framing=framing,
            first_s=first_s,
            status=head.status,
            is_leaving=answer_headers.is_leaving,
            retry_after_s=answer_headers.retry_after_s,
            load=load,
        )

    def _watch_answer(
        self, attempt: RequestAttempt, channel: Channel, timeout_s: float | None
    ) -> contextlib.AbstractContextManager[None]:
        """Watch an endpoint's silence, or its link if it may be silent for any time."""
        if timeout_s is not None:
            return self._watch_silence(attempt, timeout_s)
        link_timeout_s = find_link_timeout_s(attempt.progress.call.route)
        return self._watch_silence(
            attempt,
            link_timeout_s,
            lambda: channel.find_unacknowledged_s() >= (link_timeout_s or 0.0),
        )

    @contextlib.contextmanager
    def _watch_silence(
        self,
        attempt: RequestAttempt,
        timeout_s: float | None,
        is_suspect: Callable[[], bool] = lambda: True,
    ) -> Iterator[None]:
        """Report an attempt each time that its endpoint has been silent for so long."""
        if timeout_s is None:
            yield
            return
        loop = asyncio.get_running_loop()
        started_s = loop.time()

        period_s = timeout_s
        timer: lateness.LateTimer

        def observe() -> None:
            nonlocal timer
            now_s = loop.time()
            timer = lateness.LateTimer(now_s + period_s, observe)
            if not is_suspect():
                return
            attempt.note_silent(True)
            self.on_silent(attempt, now_s - started_s, period_s)

        timer = lateness.LateTimer(started_s + period_s, observe)
        try:
            yield
        finally:
            timer.cancel()

    def _lead(self, attempt: RequestAttempt) -> None:
        """Let an attempt answer its request, and end the others at once.

        Raises
        ------
        _Overtaken
            If another one does.
        """
        _check_running(attempt)
        call = attempt.progress.call
        for other in attempt.lead():
            log_event(
                CALL_OVERTAKEN,
                **describe_call(call),
                endpoint=other.endpoint_name,
                leader=attempt.endpoint_name,
                events=attempt.progress.stream.events,
                partial_bytes=other.stream.partial_bytes,
                after_s=self._clock() - call.arrived_s,
            )

    def _send(
        self,
        progress: RequestProgress,
        placed: EdgePlacement,
        relay: str,
        channel: Channel,
    ) -> None:
        call = progress.call
        has_body = bool(call.body) or call.method in ("POST", "PUT", "PATCH")
        copy_source = placed.copy_from
        headers = build_request_headers(
            call.headers,
            placed.endpoint.name,
            call.team,
            call.deadline_s - self._clock(),
            len(call.body) if has_body else None,
            progress.stream.last_id,
            None if copy_source is None else copy_source.address,
            placed.priority,
        )
        if relay:
            attempt = RelayedAttempt(
                placed.endpoint.name,
                call.route.may_repeat,
                call.method,
                call.target,
                headers,
                call.body,
            )
            headers = add_relay_headers(attempt, self._peer_key)
        try:
            channel.send(call.method, call.target, headers, call.body)
        finally:
            if channel.has_written:
                progress.sent_to.add(placed.endpoint.name)

    async def read_matching_head(
        self, request_id: str, endpoint: Endpoint, channel: Channel, relay: str = ""
    ) -> tuple[ResponseHead, ResponseHeaders]:
        """Return the head of the response to a request, and what it says.

        Parameters
        ----------
        request_id : str
            Identifies the request; responses to others are skipped.
        endpoint : Endpoint
            The endpoint that responds.
        channel : Channel
            Connection on which the request was sent.
        relay : str, optional
            Router through which it was sent.

        Raises
        ------
        ChannelError
            If the connection ends or its data is invalid.
        """
        for _ in range(MISMATCHED_ANSWERS_MAX + 1):
            head = await channel.read_head()
            if relay and head.by_name.get(OUTCOME_HEADER.lower()) != ANSWERED:
                raise _RelayRefused
            head = head._replace(headers=tuple(remove_relay_headers(head.headers)))
            answer_headers = parse_response_headers(head.by_name)
            self._observer.observe_endpoint(endpoint, head, answer_headers, relay)
            if answer_headers.request_id == request_id:
                return head, answer_headers
            # On a new connection, a refusal without an id belongs to this request; a
            # router that forwards an attempt has already checked that.
            if (
                not answer_headers.request_id
                and answer_headers.has_not_run
                and (relay or channel.requests_sent == 1)
            ):
                return head, answer_headers
            self._metrics.count("foreign_answers")
            await channel.skip_response()
        raise ChannelError("responses belong to other requests")

    async def _handle_answer(
        self,
        attempt: RequestAttempt,
        placed: EdgePlacement,
        relay: str,
        channel: Channel,
        head: ResponseHead,
        answer_headers: ResponseHeaders,
    ) -> AttemptResult:
        reply = attempt.progress.reply
        if head.status == MISDIRECTED_REQUEST or answer_headers.has_not_run:
            await _skip_refusal(channel)
            outcome: Outcome = (
                "misplaced" if head.status == MISDIRECTED_REQUEST else "not_run"
            )
            return AttemptResult(outcome, f"status {head.status}")
        is_ok = OK_MIN <= head.status <= OK_MAX
        if is_ok and (
            not answer_headers.is_signed or answer_headers.has_content_encoding
        ):
            raise ChannelError("response is unsigned or has a content encoding")
        if is_ok and answer_headers.is_event_stream:
            await self._relay(attempt, placed, relay, channel, head)
            return AttemptResult("answered")
        body = HeldBody(reply)
        limit = await body.read(lambda: self._read_chunk(attempt, channel))
        if limit is not None:
            return await self._forward(attempt, placed, channel, head, body, limit)
        try:
            await self._confirm_end(attempt.progress.call, placed.endpoint, head)
            if head.status >= SERVER_ERROR_MIN:
                _check_running(attempt)
                answer = CompleteAnswer(head, body.take())
                return AttemptResult("failed", f"status {head.status}", answer)
            if reply.has_begun:
                raise ChannelError(f"stream resumed with status {head.status}")
            self._lead(attempt)
        except BaseException:
            body.drop()
            raise
        await reply.begin(
            head.status, filter_response_headers(head.headers), body.take()
        )
        return AttemptResult("answered")

    async def _forward(
        self,
        attempt: RequestAttempt,
        placed: EdgePlacement,
        channel: Channel,
        head: ResponseHead,
        body: HeldBody,
        limit: Limit,
    ) -> AttemptResult:
        """Begin an answer whose body can't be held, and pass the rest on as it comes.

        Raises
        ------
        ChannelError
            If the answer breaks off, or can't be begun.
        """
        progress = attempt.progress
        call, reply = progress.call, progress.reply
        try:
            _check_running(attempt)
            may_retry = self.may_replace(attempt)
            step = decide_early(head.status, reply.has_begun, may_retry)
            if step == "begin":
                self._lead(attempt)
        except BaseException:
            body.drop()
            raise
        if step != "begin":
            body.drop()
            if step == "retry":
                return AttemptResult("failed", f"status {head.status}, body not held")
            raise ChannelError(f"stream resumed with status {head.status}")
        self._metrics.count("answers_begun_early", limit)
        log_event(
            ANSWER_BEGUN_EARLY,
            **describe_call(call),
            endpoint=placed.endpoint.name,
            status=head.status,
            framing=head.framing,
            limit=limit,
            after_s=self._clock() - call.arrived_s,
        )
        is_sized = head.framing == "length"
        attempt.is_writing = True
        progress.failed_answer = None
        await reply.begin_early(
            head.status,
            filter_response_headers(head.headers),
            int(head.by_name["content-length"]) if is_sized else None,
            body.take(),
        )
        while chunk := await channel.read_chunk():
            await reply.write(chunk)
        await self._confirm_end(call, placed.endpoint, head)
        reply.finish()
        attempt.is_writing = False
        return AttemptResult("answered")

    async def _confirm_end(
        self, call: EdgeCall, endpoint: Endpoint, head: ResponseHead
    ) -> None:
        may_repeat = call.route.may_repeat
        await self.checks.confirm_end(endpoint, head, may_repeat, call.deadline_s)

    async def _relay(
        self,
        attempt: RequestAttempt,
        placed: EdgePlacement,
        relay: str,
        channel: Channel,
        head: ResponseHead,
    ) -> None:
        progress, stream = attempt.progress, attempt.stream
        reply = progress.reply
        # Another router frames all that it forwards, and can't tell whether the client
        # asked for the rest of the stream or this router did.
        is_framed = head.framing != "close" and not (relay and stream.events)
        last_s: float | None = None
        while True:
            piece = await self._read_piece(attempt, channel)
            if piece:
                events = stream.take(piece)
            else:
                events = stream.finish(is_framed, head.framing == "none")
                await self._confirm_end(progress.call, placed.endpoint, head)
            # Only the attempt that leads may write to the client.
            if self._must_forward(attempt, events, is_end=not piece):
                if not reply.has_begun:
                    await reply.begin(
                        head.status, filter_response_headers(head.headers)
                    )
                if events:
                    self._observe_events(progress, placed.endpoint)
                    if stream.own_events >= SOUND_EVENTS_MIN:
                        self._record_sound(attempt)
                    stream.confirm()
                    attempt.is_writing = True
                    await reply.write(events)
                    attempt.is_writing = False
                    now_s = self._clock()
                    if last_s is not None:
                        self._metrics.record_token_gap(now_s - last_s)
                    last_s = now_s
            if not piece:
                reply.finish()
                return

    def _must_forward(
        self, attempt: RequestAttempt, events: bytes, is_end: bool
    ) -> bool:
        """Return whether to forward events, with which an attempt takes the lead.

        Raises
        ------
        _Overtaken
            If another attempt leads.
        """
        _check_running(attempt)
        if not attempt.progress.race.has_others(attempt.number):
            return is_end or bool(events)
        # Comments are no answer.
        if is_end or ends_inside_event(events):
            self._lead(attempt)
            return True
        if attempt.leading is None and attempt.stream.is_inside_event:
            due_s = asyncio.get_running_loop().time() + BEGUN_LEAD_S
            attempt.leading = lateness.LateTimer(
                due_s, lambda: self._lead_begun(attempt), catch_ups_max=1
            )
        return False

    def _lead_begun(self, attempt: RequestAttempt) -> None:
        """Let an attempt answer whose endpoint has begun an event."""
        if not attempt.is_overtaken:
            self._lead(attempt)

    def _observe_events(self, progress: RequestProgress, endpoint: Endpoint) -> None:
        if progress.first_event_s is None:
            progress.first_event_s = self._clock()
            progress.software_version = endpoint.software_version
            self.on_first_event(progress.call, endpoint.software_version)

    async def _read_chunk(self, attempt: RequestAttempt, channel: Channel) -> bytes:
        """Return the next bytes of an answer that is no stream."""
        progress = attempt.progress
        timeout_s = find_header_timeout_s(progress.call.route, progress.reply.has_begun)
        with self._watch_answer(attempt, channel, timeout_s):
            chunk = await channel.read_chunk()
        _check_running(attempt)
        attempt.note_silent(False)
        return chunk

    async def _read_piece(self, attempt: RequestAttempt, channel: Channel) -> bytes:
        """Return the next bytes of a stream."""
        progress = attempt.progress
        timeout_s = find_chunk_timeout_s(
            progress.call.route,
            progress.history.sent,
            progress.reply.has_begun,
        )
        with self._watch_answer(attempt, channel, timeout_s):
            piece = await channel.read_chunk()
        _check_running(attempt)
        attempt.note_silent(False)
        return piece

    def has_other(self, progress: RequestProgress) -> bool:
        """Return whether an endpoint is available that has not got the request."""
        avoid = progress.find_avoided() | self._placer.find_other_versions(
            progress.call.service, progress.software_version
        )
        return self._placer.has_endpoint(progress.call, avoid, self._clock())

    def _report_result(
        self, call: EdgeCall, placed: EdgePlacement, result: AttemptResult
    ) -> None:
        now_s = self._clock()
        if result.outcome == "misplaced":
            self._placer.observe_misplaced(placed.endpoint, now_s)
            if self.guard is not None:
                self.guard.record_replaced(placed.endpoint)
        if result.outcome == "answered":
            is_ok = result.status < SERVER_ERROR_MIN
            slowdown = (result.load and result.load.slowdown) or 1.0
            self._placer.observe_result(
                call, placed, is_ok, result.first_s, now_s, slowdown
            )
        elif (
            result.outcome in ("failed", "lost")
            and result.status != GATEWAY_TIMEOUT
            and now_s < call.deadline_s
        ):
            self._placer.observe_result(call, placed, False, None, now_s)

    def _observe_overdue(self, endpoint: Endpoint, relay: str) -> None:
        # The other router may be the one that is late.
        if not relay:
            self._placer.observe_overdue(endpoint)

    async def _report_relayed(
        self, call: EdgeCall, placed: EdgePlacement, relay: str, result: AttemptResult
    ) -> None:
        """Record the result of an attempt that another router forwarded.

        An attempt without a response may be due to the endpoint, to the other router or
        to the link between these, so the other router is asked.
        """
        assert self.relays is not None
        if result.outcome == "not_sent":
            self.relays.observe_refused(relay, placed.endpoint.name)
        elif result.is_broken:
            # The next attempt has to know of a crash.
            await self._check_lost(call, placed, relay, result)
        elif result.outcome == "lost":
            self.crashes.start(self._check_lost(call, placed, relay, result))
        else:
            self._report_result(call, placed, result)

    async def _check_lost(
        self, call: EdgeCall, placed: EdgePlacement, relay: str, result: AttemptResult
    ) -> None:
        relays, endpoint = self.relays, placed.endpoint
        assert relays is not None
        is_reached = await relays.is_reached_through(relay, endpoint)
        if is_reached is None:
            relays.observe_lost(relay, endpoint.name, result.detail)
        elif is_reached:
            if result.is_broken and result.ending is not None:
                self.crashes.record_broken(result.ending)
            self._report_result(call, placed, result._replace(is_broken=False))
        else:
            relays.observe_refused(relay, endpoint.name)
            if not result.is_broken or result.ending is None:
                return
            if await self.crashes.has_crashed(result.ending):
                self.crashes.record_crash(result.ending)


async def _skip_refusal(channel: Channel) -> None:
    """Read the body of a refusal, unless it is long; its connection then closes."""
    read_bytes = 0
    while must_read_refusal(read_bytes) and (piece := await channel.read_chunk()):
        read_bytes += len(piece)


def _check_running(attempt: RequestAttempt) -> None:
    if attempt.is_overtaken:
        raise _Overtaken
