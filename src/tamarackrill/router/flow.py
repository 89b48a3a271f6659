"""Runs calls at their home router, from the team's limits to the answer.

The steps of a call are, in this order: limits of the team, order within the chat,
claim, admission, placement, attempts.  A call waits for its turn in the chat before it
enters a queue, and its claim is made before any byte can reach an endpoint.
"""

import asyncio
from collections.abc import Awaitable, Callable

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.answer_memory import AnswerMemory
from tamarackrill.decisions.error_blame import ErrorBlame
from tamarackrill.decisions.retry import Failure, RetryBudget, RetryDecision
from tamarackrill.decisions.stopping import StopPlan, WorkDurations, decide_at_stop
from tamarackrill.decisions.unexpected_errors import SERVICE_UNAVAILABLE
from tamarackrill.events import REQUEST_REFUSED, REQUEST_ROUTED, log_event
from tamarackrill.exceptions import Refusal, RunState
from tamarackrill.router.admitting import Admitter
from tamarackrill.router.attempts import Attempt, attempt_call
from tamarackrill.router.calls import Call
from tamarackrill.router.chats import ChatCoordinator
from tamarackrill.router.claiming import Claimer
from tamarackrill.router.limiting import Limiter
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.placing import PlacementResult, Placer
from tamarackrill.router.replies import Reply
from tamarackrill.router.unexpected_errors import (
    convert_stray_cancellation,
    describe_origin,
    record_unexpected,
    tolerate,
)
from tamarackrill.router.upstream import UpstreamClient

ATTEMPTS_MAX = 3
# Endpoints that refuse a connection before a call is given up.  Several may have ended
# without this router having noticed; each costs a millisecond, and nothing was sent.
UNCONNECTED_MAX = 8
# Delay before a call queues again that found all endpoints full: some tens of steps
# of an engine, in which a slot may become free.
FULL_RETRY_DELAY_S = 0.05
INTERNAL_ERROR = 500
# A call that a router refuses because it stops.
LEAVING_CODE = "leaving"
# A call that may have run at a router that stopped meanwhile.
STOPPED_CODE = "router_lost"


def _make_internal(may_have_run: bool, message: str) -> Refusal:
    if may_have_run:
        return Refusal("internal", INTERNAL_ERROR, message, "unknown")
    return Refusal("internal", SERVICE_UNAVAILABLE, message, "not_run")


def make_stop_refusal(may_have_run: bool) -> Refusal:
    """Return the refusal of a call that a router which stops won't complete."""
    if may_have_run:
        message = "the router stopped before the answer was complete"
        return Refusal(STOPPED_CODE, 502, message, "unknown")
    return Refusal(LEAVING_CODE, 503, "this router is shutting down")


def _check_not_abandoned(reply: Reply, may_have_run: bool) -> None:
    if reply.abandoned.is_set():
        run: RunState = "unknown" if may_have_run else "not_run"
        raise Refusal("cancelled", 499, "the caller went away", run)


def _find_work_kind(call: Call) -> tuple[str, str]:
    """Return what calls have in common that take about the same time."""
    return (f"{call.kind}:{call.pool}", "" if call.idempotent else call.method)


class CallRunner:
    """Runs each call in a task of its own and starts its retries.

    Parameters
    ----------
    client : UpstreamClient
        For calls to endpoints; not owned.
    chats, claimer, limiter, admitter, placer, metrics
        The steps of a call; not owned.
    clock : callable
        Returns the current time.
    wait_current : callable
        ``await wait_current()`` returns when calls may be decided by what is known.

    Attributes
    ----------
    memory : AnswerMemory
        Memory of the answers that are passed on.
    """

    def __init__(
        self,
        client: UpstreamClient,
        chats: ChatCoordinator,
        claimer: Claimer,
        limiter: Limiter,
        admitter: Admitter,
        placer: Placer,
        metrics: Metrics,
        clock: Callable[[], float],
        wait_current: Callable[[], Awaitable[None]],
    ) -> None:
        self.memory = AnswerMemory()
        self._client = client
        self._wait_current = wait_current
        self._chats = chats
        self._claimer = claimer
        self._limiter = limiter
        self._admitter = admitter
        self._placer = placer
        self._metrics = metrics
        self._clock = clock
        self._budgets: dict[str, RetryBudget] = {}
        self._runs: dict[asyncio.Task[None], tuple[Call, Reply]] = {}
        self._durations = WorkDurations()
        self._stop: StopPlan | None = None
        self._has_others: Callable[[], bool] = lambda: False
        self._blame = ErrorBlame()

    @property
    def running(self) -> int:
        """Number of calls that have not ended."""
        return len(self._runs)

    def open(self, call: Call) -> Reply:
        """Return the reply to a call; starts a run unless a resend can join one.

        Raises
        ------
        Refusal
            If the call contradicts an earlier one of the same key or place in the
            chat, or if the answer it resumes is no longer kept.
        """
        existing = self._chats.find(call, self._clock())
        if existing is not None:
            return existing
        if call.last_event_id:
            # The events that the caller has come from a run that is no longer known
            # here.  A new run would generate a different text, and the caller would
            # join parts of two answers.
            message = "the answer is no longer kept; request it again from the start"
            raise Refusal("answer_gone", 409, message, "unknown")
        reply = Reply(self._chats.can_recognize_resend(call), self.memory)
        self._chats.register(call, reply, self._clock())
        task = asyncio.create_task(self._run(call, reply))
        self._runs[task] = (call, reply)
        task.add_done_callback(self._runs.pop)
        return reply

    def begin_stop(self, plan: StopPlan, has_others: Callable[[], bool]) -> None:
        """Refuse the calls that wait and aren't expected to end before the stop.

        Parameters
        ----------
        plan : StopPlan
            Times of the stop.
        has_others : callable
            Returns whether there is another router that callers can turn to.
        """
        self._stop = plan
        self._has_others = has_others
        for call, reply in list(self._runs.values()):
            if not reply.may_have_run and not self._fits_before_stop(call):
                self._end_at_stop(call, reply)

    def end_all(self) -> None:
        """Tell the callers of all calls that have not ended what is known of them."""
        for call, reply in list(self._runs.values()):
            if not reply.is_finished:
                self._end_at_stop(call, reply)

    def _end_at_stop(self, call: Call, reply: Reply) -> None:
        self._refuse(call, reply, make_stop_refusal(reply.may_have_run))
        # What has not been sent to an endpoint never is, as its caller relies on that.
        reply.abandon()

    def _fits_before_stop(self, call: Call) -> bool:
        if self._stop is None:
            return True
        decision = decide_at_stop(
            self._stop,
            self._clock(),
            call.deadline_s,
            call.idempotent,
            self._has_others(),
            self._durations.list_known_s(_find_work_kind(call)),
            (),
        )
        return decision.must_serve

    async def drain(self) -> None:
        """Wait until every call has ended."""
        while self._runs:
            await asyncio.wait(self._runs)

    async def _run(self, call: Call, reply: Reply) -> None:
        try:
            with convert_stray_cancellation():
                await self._run_limited(call, reply)
        except Refusal as refusal:
            if not reply.is_finished:
                self._refuse(call, reply, refusal)
        except Exception as error:  # noqa: BLE001
            # An internal error must still end the reply.  Otherwise the caller and the
            # later requests of its chat would wait for ever.
            record_unexpected(self._metrics, "call", error, call.request_id)
            if not reply.is_finished:
                message = f"internal error: {type(error).__name__}"
                self._refuse(call, reply, _make_internal(reply.may_have_run, message))
        finally:
            with tolerate(self._metrics, "end of chat call", call.request_id):
                self._chats.finish_call(call, reply, self._clock())
            with tolerate(self._metrics, "outcome", call.request_id):
                self._claimer.record_outcome(call, reply)

    async def _run_limited(self, call: Call, reply: Reply) -> None:
        self._limiter.begin(call, self._clock())
        try:
            await self._chats.wait_turn(call, self._clock())
            await self._claimer.claim(call, self._clock())
            await self._serve(call, reply)
        finally:
            self._limiter.end(call, reply, self._clock())

    def _refuse(self, call: Call, reply: Reply, refusal: Refusal) -> None:
        self._metrics.count_refusal(refusal.code)
        log_event(
            REQUEST_REFUSED,
            team=call.team,
            chat=call.chat,
            code=refusal.code,
            run=refusal.run,
            retry_after_s=refusal.retry_after_s,
        )
        reply.fail(refusal)

    async def _serve(self, call: Call, reply: Reply) -> None:
        avoid: list[str] = []
        silent: list[str] = []
        may_have_run = False
        sent = unconnected = 0
        while True:
            is_last = sent == ATTEMPTS_MAX - 1
            placed, attempt = await self._admit_and_attempt(
                call, reply, avoid, is_last, may_have_run
            )
            if attempt.is_silent:
                is_last = False
            elif attempt.outcome == "not_sent":
                unconnected += 1
                is_last = unconnected == UNCONNECTED_MAX
            else:
                sent += 1
                may_have_run = True
            if attempt.outcome == "cut" and reply.started:
                attempt = await self._resume_stream(call, reply, placed)
            if attempt.outcome in ("answered", "overloaded"):
                self._record_success(call, attempt)
                reply.finish()
                return
            if attempt.outcome == "cancelled":
                raise Refusal("cancelled", 499, "the caller went away", "unknown")
            _check_not_abandoned(reply, may_have_run)
            if may_have_run and not call.idempotent:
                message = "the endpoint did not answer; the call may have run"
                raise Refusal("endpoint_lost", 502, message, "unknown")
            if is_last or self._decide_retry(call, reply, attempt) != "retry":
                break
            avoid.append(placed.endpoint.name)
            if attempt.is_silent:
                silent.append(placed.endpoint.name)
            avoid = self._readmit_silent(call, avoid, silent)
        message = "no endpoint returned a complete answer"
        raise Refusal(
            "endpoint_lost", 502, message, "unknown" if may_have_run else "not_run"
        )

    def _readmit_silent(
        self, call: Call, avoid: list[str], silent: list[str]
    ) -> list[str]:
        """Return the endpoints to avoid, without silent ones if no other is left."""
        if self._placer.is_servable(call, avoid, self._clock()):
            return avoid
        return [name for name in avoid if name not in silent]

    def _record_success(self, call: Call, attempt: Attempt) -> None:
        if attempt.outcome == "answered":
            self._get_retry_budget(call).note_success()

    def _decide_retry(
        self, call: Call, reply: Reply, attempt: Attempt
    ) -> RetryDecision:
        outcome = attempt.outcome
        assert outcome in ("refused", "not_sent", "cut")
        decision = self._get_retry_budget(call).decide(
            Failure(outcome, call.idempotent, reply.started),
            self._admitter.has_waiting(call),
            call.deadline_s - self._clock(),
            self._admitter.estimate_service_s(call),
        )
        self._metrics.count("retry_decisions", decision)
        return decision

    def _get_retry_budget(self, call: Call) -> RetryBudget:
        return self._budgets.setdefault(f"{call.kind}:{call.pool}", RetryBudget())

    async def _resume_stream(
        self, call: Call, reply: Reply, placed: PlacementResult
    ) -> Attempt:
        # Only the engine that generates the stream can resume it.  Another engine
        # would generate a different text, which would not match what was sent.
        attempt = Attempt("cut", chunks=reply.count)
        while call.stream and attempt.outcome == "cut" and attempt.chunks:
            resumed = placed._replace(reason="resume", runners_up=())
            self._log_placed(call, resumed, 0.0)
            attempt = await self._attempt(call, reply, resumed, is_last=False)
        return attempt

    async def _admit_and_attempt(
        self,
        call: Call,
        reply: Reply,
        avoid: list[str],
        is_last: bool,
        may_have_run: bool,
    ) -> tuple[PlacementResult, Attempt]:
        arrived_s = self._clock()
        reply.set_abandoned_callback(lambda: self._admitter.cancel(call))
        while True:
            await self._wait_current()
            self._check_backoff(call, may_have_run)
            await self._wait_for_admission(call, may_have_run)
            is_fitting = self._fits_before_stop(call)
            attempt = Attempt("not_sent")
            placed: PlacementResult | None = None
            try:
                if not is_fitting:
                    raise make_stop_refusal(may_have_run)
                wait_s = self._clock() - arrived_s
                placed = await self._place(call, avoid, wait_s, may_have_run)
                _check_not_abandoned(reply, may_have_run)
                if placed is not None:
                    attempt = await self._attempt(call, reply, placed, is_last)
                    return placed, attempt
            finally:
                with tolerate(self._metrics, "release", call.request_id):
                    if placed is not None:
                        self._placer.release(placed)
                with tolerate(self._metrics, "release slot", call.request_id):
                    self._admitter.release_slot(call, attempt, self._clock())
            # Other routers have filled the endpoints, and their load reports had not
            # arrived when the call was admitted.  The call queues again until its
            # deadline; the delay avoids a busy loop until the loads are known.
            await asyncio.sleep(FULL_RETRY_DELAY_S)
            _check_not_abandoned(reply, may_have_run)

    def _check_backoff(self, call: Call, may_have_run: bool) -> None:
        """Refuse a call that would wait until an endpoint's backoff ends."""
        backoff_s = self._placer.compute_backoff_s(call, self._clock())
        if backoff_s:
            message = "all endpoints have asked for a pause"
            run: RunState = "unknown" if may_have_run else "not_run"
            raise Refusal("no_endpoint", 503, message, run, backoff_s)

    async def _wait_for_admission(self, call: Call, may_have_run: bool) -> None:
        try:
            await self._admitter.acquire_slot(call, self._clock())
        except Refusal as refusal:
            # This attempt was not sent, but an earlier one may have run.
            refusal.run = "unknown" if may_have_run else refusal.run
            raise

    async def _place(
        self, call: Call, avoid: list[str], wait_s: float, may_have_run: bool
    ) -> PlacementResult | None:
        """Return the endpoint for the call, or None if all endpoints are full."""
        now_s = self._clock()
        # A router that was suspended while the call waited resumes with an outdated
        # decision.  By then the caller has given up and may have retried elsewhere.
        run: RunState = "unknown" if may_have_run else "not_run"
        if now_s >= call.deadline_s:
            raise Refusal("too_late", 504, "the deadline has passed", run)
        try:
            placed = await self._placer.place(call, avoid, now_s)
        except Refusal as refusal:
            # This attempt was not sent, but an earlier one may have run.
            refusal.run = "unknown" if may_have_run else refusal.run
            raise
        if placed is None:
            if self._placer.is_servable(call, avoid, now_s):
                return None
            raise Refusal("no_endpoint", 503, "no endpoint can take the call", run)
        self._metrics.record_wait(call.kind, wait_s)
        self._log_placed(call, placed, wait_s)
        return placed

    def _log_placed(self, call: Call, placed: PlacementResult, wait_s: float) -> None:
        log_event(
            REQUEST_ROUTED,
            team=call.team,
            chat=call.chat,
            endpoint=placed.endpoint.name,
            runners_up=placed.runners_up,
            reason=placed.reason,
            wait_s=wait_s,
        )

    async def _attempt(
        self, call: Call, reply: Reply, placed: PlacementResult, is_last: bool
    ) -> Attempt:
        endpoint: Endpoint = placed.endpoint
        self._claimer.check(call)
        names = (call.request_id, endpoint.name)
        try:
            with convert_stray_cancellation():
                self._placer.start(call, endpoint, self._clock())
        except Exception as error:
            record_unexpected(self._metrics, "start", error, *names)
            return Attempt("not_sent", reason=repr(error))
        attempt = Attempt("cut")
        could_have_run, reply.may_have_run = reply.may_have_run, True
        sent_s = self._clock()
        try:
            attempt = await attempt_call(
                self._client,
                call,
                endpoint,
                reply,
                reply.count,
                is_last or not call.idempotent,
                self._clock,
            )
            if attempt.outcome == "not_sent":
                reply.may_have_run = could_have_run
            if attempt.error is not None:
                record_unexpected(self._metrics, "attempt", attempt.error, *names)
            if attempt.outcome == "answered":
                duration_s = self._clock() - sent_s
                self._durations.observe(_find_work_kind(call), duration_s)
            if attempt.first_byte_s is not None:
                self._metrics.record_first_byte(call.kind, attempt.first_byte_s)
        finally:
            with tolerate(self._metrics, "finish", *names):
                self._placer.finish(
                    call,
                    endpoint,
                    self._find_reported(attempt, endpoint),
                    attempt.first_byte_s,
                    self._clock(),
                    attempt.chunks if call.stream else 0,
                )
        if attempt.retry_after_s:
            self._start_backoff(call, endpoint, attempt.retry_after_s)
        return attempt

    def _find_reported(self, attempt: Attempt, endpoint: Endpoint) -> str:
        """Return the outcome of an attempt that counts for its endpoint."""
        if attempt.error is None:
            return attempt.outcome
        origin = describe_origin(attempt.error)
        is_blamed = self._blame.observe(origin, endpoint.name, self._clock())
        # An error of the router's code is no crash; "cancelled" counts as nothing.
        return "refused" if is_blamed else "cancelled"

    def _start_backoff(
        self, call: Call, endpoint: Endpoint, retry_after_s: float
    ) -> None:
        self._placer.observe_retry_after(endpoint, retry_after_s, self._clock())
        # Calls that wait for the endpoint's slots are admitted when it ends.
        loop = asyncio.get_running_loop()
        loop.call_later(retry_after_s, self._admitter.admit_waiting, call.pool)
