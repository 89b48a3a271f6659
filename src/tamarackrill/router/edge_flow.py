"""Serves requests on the platform's interface, from route to final response."""

import asyncio
from collections.abc import Callable

from tornado.iostream import StreamClosedError

from tamarackrill.decisions.attempt_races import (
    decide_on_silence,
    find_failure_wait_s,
    may_give_up,
    must_await_others,
)
from tamarackrill.decisions.attempts import (
    NextStep,
    add_attempt,
    choose_retry_after_s,
    decide_next,
)
from tamarackrill.decisions.retry_shares import BudgetTerms, RetryShare
from tamarackrill.decisions.stopping import RETRY_AFTER_S as STOPPING_RETRY_AFTER_S
from tamarackrill.decisions.unexpected_errors import RETRY_AFTER_S, choose_status
from tamarackrill.events import (
    CALL_ANSWERED,
    CALL_ATTEMPT_FAILED,
    CALL_CUT,
    CALL_GIVEN_UP,
    CALL_OVERLOADED,
    CALL_PAUSED,
    CALL_REFUSED,
    CALL_SILENT,
    log_event,
)
from tamarackrill.exceptions import Refusal
from tamarackrill.platform.headers import (
    build_error_headers,
    filter_response_headers,
)
from tamarackrill.router.attempt_results import AttemptResult
from tamarackrill.router.attempt_tasks import SeriesEnd
from tamarackrill.router.channels import Connect, open_channel
from tamarackrill.router.edge_attempts import EdgeAttempts
from tamarackrill.router.edge_calls import EdgeCall, describe_answer, describe_call
from tamarackrill.router.edge_placing import EdgePlacement, EdgePlacer, Overloaded
from tamarackrill.router.edge_reply import ClientTooSlow, EdgeReply
from tamarackrill.router.edge_reserving import (
    UNAVAILABLE_STATUS,
    EdgeReserver,
    PlacementRefusal,
)
from tamarackrill.router.lateness import LateTimer
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.planned_stop import STOPPING, PlannedStop
from tamarackrill.router.prompt_guard import PART_BLOCKED_CODE, PromptGuard
from tamarackrill.router.request_progress import RequestAttempt, RequestProgress
from tamarackrill.router.unexpected_errors import (
    DECLARED,
    convert_stray_cancellation,
    record_unexpected,
    tolerate,
)

# Reasons that clients are told, by the code of a refusal.
_REASONS = {
    "poison_request": "poison",
    PART_BLOCKED_CODE: PART_BLOCKED_CODE,
    "no_capacity": "no_capacity",
}


class EdgeFlow:
    """Serves requests: chooses endpoints, retries failed attempts, sends the response.

    Parameters
    ----------
    placer : EdgePlacer
        Chooses endpoints.
    terms : BudgetTerms
        The fleet's retry budget for each service.
    count_routers : callable
        Returns how many routers share the budget.
    metrics : Metrics
        Records counters and durations.
    clock : callable
        Returns the present time.
    connect : callable, optional
        Opens connections to endpoints.

    Attributes
    ----------
    reserver : EdgeReserver
        Places requests, and reserves what they need at their endpoints.
    stopping : PlannedStop
        Decides what becomes of requests when the router stops.
    """

    def __init__(
        self,
        placer: EdgePlacer,
        terms: BudgetTerms,
        count_routers: Callable[[], int],
        metrics: Metrics,
        clock: Callable[[], float],
        connect: Connect = open_channel,
    ) -> None:
        self._placer = placer
        self._terms = terms
        self._count_routers = count_routers
        self._metrics = metrics
        self._clock = clock
        self._retries: dict[str, RetryShare] = {}
        self.attempts = EdgeAttempts(
            placer, self._count_retries_left, self._record_sent, metrics, clock, connect
        )
        self.attempts.on_silent = self._handle_silence
        self.attempts.may_replace = self._may_replace
        self.compute_failover_s: Callable[[], float | None] = lambda: None
        self.reserver = EdgeReserver(placer, clock, metrics)
        self.stopping = PlannedStop(metrics, clock)
        self.stopping.send_final_answer = self._send_final_answer
        self.attempts.may_send = self.stopping.may_send

    def use_guard(self, guard: PromptGuard) -> None:
        """Keep parts of prompts that crash endpoints away from these."""
        self.reserver.guard = guard
        self.attempts.use_guard(guard)

    def list_retries_left(self) -> dict[str, float]:
        """Return the retries left in this router's budget by service, for metrics."""
        routers, now_s = self._count_routers(), self._clock()
        return {
            service: share.count_retries_left(routers, now_s)
            for service, share in self._retries.items()
        }

    async def serve(self, call: EdgeCall, reply: EdgeReply) -> None:
        """Serve a request up to its final response.

        Raises
        ------
        tornado.iostream.StreamClosedError
            If the client has disconnected.
        """
        progress = await self._begin(call, reply)
        if progress is None:
            return
        self.stopping.in_flight[progress] = asyncio.current_task()
        try:
            with convert_stray_cancellation():
                self._find_share(call.service).note_request(self._clock())
                await self._serve(progress)
        except ClientTooSlow:
            progress.history = add_attempt(progress.history, "lost")
            await self._send_final_answer(progress, "slow_client")
        except Exception as error:
            if isinstance(error, StreamClosedError) and reply.is_client_gone:
                raise
            self._record_unexpected(progress, error)
            await self._answer_unexpected(progress)
        finally:
            del self.stopping.in_flight[progress]

    async def _begin(self, call: EdgeCall, reply: EdgeReply) -> RequestProgress | None:
        """Return the progress of a request, None if it is refused."""
        with tolerate(self._metrics, "begin", call.request_id):
            return RequestProgress(call, reply)
        after_s = self._clock() - call.arrived_s
        status = choose_status(has_sent=False, is_late=False)
        await send_refusal(call, reply, status, "internal", RETRY_AFTER_S, 0, after_s)
        return None

    def _record_unexpected(self, progress: RequestProgress, error: Exception) -> None:
        """Record an undeclared error of a step that concerns no single attempt."""
        name = progress.last_endpoint
        record_unexpected(self._metrics, "flow", error, progress.call.request_id, name)
        # It isn't known how far the step that raised it has got.
        if progress.sent_to:
            progress.history = progress.history._replace(may_have_run=True)

    async def _answer_unexpected(self, progress: RequestProgress) -> None:
        """Answer a request that an undeclared error has ended.

        Raises
        ------
        tornado.iostream.StreamClosedError
            If the client has disconnected.
        """
        call, reply, has_sent = progress.call, progress.reply, bool(progress.sent_to)
        if reply.is_complete or reply.is_over:
            return
        with tolerate(self._metrics, "final answer", call.request_id):
            await self._send_final_answer(progress, "internal")
            return
        if reply.has_begun:
            reply.abort()
            return
        now_s = self._clock()
        await send_refusal(
            call,
            reply,
            choose_status(has_sent, now_s >= call.deadline_s),
            "internal",
            None if has_sent else RETRY_AFTER_S,
            len(progress.sent_to),
            now_s - call.arrived_s,
        )

    async def _serve(self, progress: RequestProgress) -> None:
        try:
            # Only a race needs tasks of its own.
            attempt = progress.start_attempt(self._clock())
            ended = await self._run_series(attempt)
            ended = await progress.tasks.wait_end(ended)
        finally:
            progress.plan_giving_up(None)
            await progress.tasks.cancel()
        if await self.stopping.has_ended(progress):
            return
        if ended.answer is None or ended.placed is None:
            if self._clock() >= progress.call.deadline_s:
                self.stopping.observe_end(progress)
            await self._send_final_answer(progress, ended.reason, ended.retry_after_s)
            return
        await progress.reply.deliver(progress.call.deadline_s)
        self._record_answered(progress, ended.placed, ended.answer)

    async def _run_series(self, attempt: RequestAttempt) -> SeriesEnd:
        """Make an attempt, and others that retry it."""
        progress = attempt.progress
        while True:
            try:
                with convert_stray_cancellation():
                    ended = await self._run_attempt(attempt)
            except DECLARED:
                raise
            except Exception as error:
                # Other attempts of the request may be under way.
                self._record_unexpected(progress, error)
                ended = SeriesEnd(self._clock(), "internal")
            finally:
                with tolerate(self._metrics, "end trial", progress.call.request_id):
                    self.reserver.end_trial(attempt)
                self._end_attempt(attempt)
            if ended is not None:
                if ended.answer is None:
                    self._plan_giving_up(progress)
                return ended
            task = attempt.task
            if task is None and progress.race.has_others(attempt.number):
                # An attempt beside others must end as soon as one of them answers.
                self._start_beside(progress)
                return SeriesEnd(self._clock(), "retried")
            attempt = self._start_retry(progress)
            attempt.task = task

    def _start_retry(self, progress: RequestProgress) -> RequestAttempt:
        attempt = progress.start_attempt(self._clock())
        if attempt.find_history().was_delivered:
            self._find_share(progress.call.service).reserve()
            attempt.has_reserved = True
        return attempt

    def _end_reservation(self, attempt: RequestAttempt) -> None:
        if attempt.has_reserved:
            attempt.has_reserved = False
            self._find_share(attempt.progress.call.service).release()

    def _start_beside(self, progress: RequestProgress) -> None:
        attempt = self._start_retry(progress)
        task = progress.tasks.start(self._run_series(attempt))
        attempt.task = task
        # A task that is cancelled before its first step runs nothing of the series.
        task.add_done_callback(lambda _: self._end_unbegun(attempt))

    def _end_unbegun(self, attempt: RequestAttempt) -> None:
        self._end_reservation(attempt)
        attempt.end()

    def _end_attempt(self, attempt: RequestAttempt) -> None:
        progress = attempt.progress
        self._end_reservation(attempt)
        if attempt.is_overtaken and attempt.is_sent:
            progress.history = add_attempt(progress.history, "lost")
            if attempt.is_silent:
                progress.avoid.add(attempt.endpoint_name)
        attempt.end()

    async def _run_attempt(self, attempt: RequestAttempt) -> SeriesEnd | None:
        """Make an attempt; return how the series ended, None if it is to be retried."""
        progress = attempt.progress
        call = progress.call
        try:
            placed = await self._place(attempt)
        except Overloaded as overloaded:
            _log_overloaded(call, overloaded)
            return SeriesEnd(self._clock(), overloaded.code)
        except PlacementRefusal as refusal:
            return SeriesEnd(self._clock(), refusal.code)
        except Refusal as refusal:
            reason = _REASONS[refusal.code]
            return SeriesEnd(self._clock(), reason, refusal.retry_after_s)
        if placed is None:
            return SeriesEnd(self._clock(), "no_endpoint")
        result: AttemptResult | None = None
        try:
            if call.deadline_s > self._clock():
                result = await self.attempts.run(attempt, placed)
        finally:
            name = placed.endpoint.name
            with tolerate(self._metrics, "release", call.request_id, name):
                self.reserver.finish(placed, result)
        if result is None:
            return SeriesEnd(self._clock(), "deadline")
        if result.outcome == "answered":
            # At once, as a client may leave when it has all of the response.
            self.stopping.observe_end(progress)
            return SeriesEnd(self._clock(), placed=placed, answer=result)
        if attempt.is_overtaken:
            return SeriesEnd(self._clock(), "overtaken", is_overtaken=True)
        if self._must_retry(attempt, placed, result):
            return None
        return SeriesEnd(self._clock(), result.outcome)

    async def _place(self, attempt: RequestAttempt) -> EdgePlacement | None:
        """Choose an endpoint once the request may be sent; see `EdgeReserver.place`.

        Raises
        ------
        Refusal
            If no endpoint may get it now.
        """
        progress = attempt.progress
        if not self.stopping.may_send(progress):
            message = "the request could not end before the router does"
            raise PlacementRefusal(STOPPING, UNAVAILABLE_STATUS, message)
        await self._pause_suspect(progress.call)
        return await self.reserver.place(attempt)

    def _handle_silence(
        self, attempt: RequestAttempt, silent_s: float, pause_s: float
    ) -> None:
        """Send another attempt beside one whose endpoint is silent, if that may be."""
        progress, now_s = attempt.progress, self._clock()
        if attempt.is_overtaken:
            return
        call = progress.call
        others = progress.race.list_others(attempt.number)
        history = add_attempt(attempt.find_history(), "lost")
        step = decide_on_silence(
            others,
            pause_s,
            history,
            call.route.attempts_max,
            self._count_retries_left(call),
            call.deadline_s - now_s,
            self.attempts.has_other(progress),
            now_s,
        )
        log_event(
            CALL_SILENT,
            **describe_call(call),
            endpoint=attempt.endpoint_name,
            silent_s=silent_s,
            events=progress.stream.events,
            partial_bytes=attempt.stream.partial_bytes,
            next=step,
            attempts=history.sent,
            after_s=now_s - call.arrived_s,
        )
        if step == "race":
            self._metrics.count("attempt_races", call.route.kind)
            self._start_beside(progress)
        else:
            self._plan_giving_up(progress)

    def _plan_giving_up(self, progress: RequestProgress) -> None:
        """Answer with a failure in time for the client to come back."""
        wait_s = self._find_failure_wait_s(progress)
        if wait_s is None:
            progress.plan_giving_up(None)
            return
        due_s = asyncio.get_running_loop().time() + wait_s
        progress.plan_giving_up(LateTimer(due_s, lambda: self._give_up(progress)))

    def _find_failure_wait_s(self, progress: RequestProgress) -> float | None:
        if progress.reply.has_begun:
            return None
        call = progress.call
        return find_failure_wait_s(
            progress.race.list_others(0),
            progress.history,
            call.route.objective_s,
            self._find_client_time_left_s(call),
        )

    def _give_up(self, progress: RequestProgress) -> None:
        """End silent attempts, unless one of them has gone on."""
        others = progress.race.list_others(0)
        if progress.reply.has_begun or not may_give_up(others, progress.history):
            return
        call = progress.call
        for attempt in progress.give_up():
            log_event(
                CALL_GIVEN_UP,
                **describe_call(call),
                endpoint=attempt.endpoint_name,
                after_s=self._clock() - call.arrived_s,
            )

    async def _pause_suspect(self, call: EdgeCall) -> None:
        """Wait until endpoints that a request has crashed may have come back."""
        now_s = self._clock()
        pause_s = self._placer.poison.find_pause_s(call.fingerprint, now_s)
        if pause_s and not self._placer.is_poison(call, now_s):
            log_event(CALL_PAUSED, **describe_call(call), wait_s=pause_s)
            await asyncio.sleep(min(pause_s, max(0.0, call.deadline_s - now_s)))

    def _find_share(self, service: str) -> RetryShare:
        if service not in self._retries:
            self._retries[service] = RetryShare(self._terms)
        return self._retries[service]

    def _record_sent(self, attempt: RequestAttempt, is_retry: bool) -> None:
        self._end_reservation(attempt)
        if attempt.progress.sent_s is None:
            attempt.progress.sent_s = self._clock()
        if is_retry:
            service = attempt.progress.call.service
            self._find_share(service).note_retry(self._clock())

    def _count_retries_left(self, call: EdgeCall) -> float:
        share = self._find_share(call.service)
        return share.count_retries_left(self._count_routers(), self._clock())

    def _may_replace(self, attempt: RequestAttempt) -> bool:
        """Return whether another attempt may answer if this one brings a failure."""
        progress = attempt.progress
        call, now_s = progress.call, self._clock()
        if progress.race.has_others(attempt.number):
            return True
        next_step = decide_next(
            "failed",
            add_attempt(attempt.find_history(), "failed"),
            call.route.may_repeat,
            call.route.attempts_max,
            self._count_retries_left(call),
            call.deadline_s - now_s,
        )
        is_repeated = next_step == "repeat" and not self._placer.is_poison(call, now_s)
        return is_repeated and self.attempts.has_other(progress)

    def _must_retry(
        self, attempt: RequestAttempt, placed: EdgePlacement, result: AttemptResult
    ) -> bool:
        """Process a failed attempt; return whether it is retried."""
        progress = attempt.progress
        call = progress.call
        now_s = self._clock()
        progress.history = add_attempt(progress.history, result.outcome)
        # An endpoint that could not be reached may be reached by another way.
        if result.outcome != "not_sent":
            progress.avoid.add(placed.endpoint.name)
        retries_left = self._count_retries_left(call)
        history = attempt.find_history()
        next_step: NextStep = decide_next(
            result.outcome,
            history,
            call.route.may_repeat,
            call.route.attempts_max,
            retries_left,
            call.deadline_s - now_s,
        )
        if next_step == "repeat" and self._placer.is_poison(call, now_s):
            next_step = "give_up" if history.may_have_run else "refuse"
        if progress.reply.is_early:
            next_step = "give_up"
        others = progress.race.list_others(attempt.number)
        is_awaited = bool(others) and (
            next_step != "repeat" or must_await_others(others)
        )
        log_event(
            CALL_ATTEMPT_FAILED,
            **describe_call(call),
            endpoint=placed.endpoint.name,
            outcome=result.outcome,
            detail=result.detail,
            next="await" if is_awaited else next_step,
            repeats_left=retries_left,
            after_s=now_s - call.arrived_s,
            framing=result.framing,
            partial_bytes=attempt.stream.partial_bytes,
            is_leaving=result.is_leaving,
            retry_after_s=result.retry_after_s,
        )
        self._metrics.count("attempts_failed", result.outcome)
        if result.answer is not None:
            progress.keep_failed(result.answer)
        return next_step == "repeat" and not is_awaited

    def _record_answered(
        self, progress: RequestProgress, placed: EdgePlacement, result: AttemptResult
    ) -> None:
        call = progress.call
        if progress.first_event_s is not None and self.reserver.keepers is not None:
            self.reserver.keepers.record_end(call)
        self._metrics.count("calls_answered", call.route.kind)
        self._metrics.record_first_byte(call.route.kind, result.first_s or 0.0)
        log_event(
            CALL_ANSWERED,
            **describe_call(call),
            **describe_answer(call, progress.first_event_s, self._clock()),
            endpoint=placed.endpoint.name,
            status=result.status,
            attempts=progress.history.sent + 1,
            first_s=result.first_s,
            framing=result.framing,
            partial_bytes=progress.stream.partial_bytes,
            is_leaving=result.is_leaving,
        )

    def _find_client_time_left_s(self, call: EdgeCall) -> float:
        wait_s = call.headers.wait_s
        end_s = call.deadline_s if wait_s is None else call.arrived_s + wait_s
        return end_s - self._clock()

    async def _send_final_answer(
        self, progress: RequestProgress, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Send the final response of a request that no endpoint served successfully."""
        call, reply, history = progress.call, progress.reply, progress.history
        if reply.has_begun:
            log_event(
                CALL_CUT,
                **describe_call(call),
                endpoint=progress.last_endpoint,
                events=progress.stream.events,
                reason=reason,
            )
            self._metrics.count(
                "bodies_cut" if reply.is_early else "streams_cut", reason
            )
            reply.abort()
            return
        if self.stopping.plan is not None:
            # The client has to turn to another router.
            reply.close_after()
        if progress.failed_answer is not None:
            answer = progress.failed_answer
            await reply.begin(
                answer.head.status,
                filter_response_headers(answer.head.headers),
                answer.body,
            )
            self._metrics.count("calls_failed", "endpoint")
            return
        if not history.may_have_run:
            status = UNAVAILABLE_STATUS
            wait_s = retry_after_s or self._choose_retry_after_s(call, reason)
        else:
            is_late = self._clock() >= call.deadline_s
            status, wait_s = (504 if is_late else 502), None
        after_s = self._clock() - call.arrived_s
        await send_refusal(call, reply, status, reason, wait_s, history.sent, after_s)
        self._metrics.count_refusal(reason)

    def _choose_retry_after_s(self, call: EdgeCall, reason: str) -> float:
        if reason == STOPPING:
            return STOPPING_RETRY_AFTER_S
        backoff_s = self._placer.compute_backoff_s(call, self._clock())
        is_unreachable = reason in ("no_endpoint", "not_sent") or backoff_s is not None
        times_s = [backoff_s, self.compute_failover_s()]
        return choose_retry_after_s(
            call.request_id,
            is_unreachable,
            self._find_client_time_left_s(call),
            min((time_s for time_s in times_s if time_s is not None), default=None),
        )


def _log_overloaded(call: EdgeCall, overloaded: Overloaded) -> None:
    log_event(
        CALL_OVERLOADED,
        **describe_call(call),
        urgency=call.urgency,
        objective_s=call.route.objective_s,
        engines=len(overloaded.waits_s),
        least_wait_s=min(overloaded.waits_s.values()),
    )


async def send_refusal(
    call: EdgeCall,
    reply: EdgeReply,
    status: int,
    reason: str,
    retry_after_s: float | None,
    sent: int,
    after_s: float,
) -> None:
    """Send the router's own error response to a request that matched a route."""
    log_event(
        CALL_REFUSED,
        **describe_call(call),
        status=status,
        reason=reason,
        version=call.manifest_version,
        sent=sent,
        retry_after_s=retry_after_s,
        after_s=after_s,
    )
    headers = build_error_headers(call.request_id, retry_after_s)
    body = b'{"error": "%s"}\n' % reason.encode()
    try:
        await reply.begin(status, list(headers.items()), body)
    except StreamClosedError:
        return
