"""The way of a call through its home router.

Limits of the team, order within the chat, claim, admission, placement, attempts, in
that order: a call waits for its turn before it takes a place in a queue, and a claim
is made before any byte can reach an endpoint.
"""

import asyncio
from collections.abc import Callable

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.retry import Failure, RetryBudget, RetryDecision
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
from tamarackrill.router.upstream import CurlAsyncHTTPClient

ATTEMPTS_MAX = 3
# Some tens of steps of an engine, in which a slot may become free.
FULL_PAUSE_S = 0.05


class Flow:
    """Runs calls; owns one task for each run.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        For calls to endpoints; not owned.
    chats, claimer, limiter, admitter, placer, metrics
        The parts that decide.
    clock : callable
        Returns the present time.
    """

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
        chats: ChatCoordinator,
        claimer: Claimer,
        limiter: Limiter,
        admitter: Admitter,
        placer: Placer,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._chats = chats
        self._claimer = claimer
        self._limiter = limiter
        self._admitter = admitter
        self._placer = placer
        self._metrics = metrics
        self._clock = clock
        self._budgets: dict[str, RetryBudget] = {}
        self._runs: set[asyncio.Task[None]] = set()

    @property
    def running(self) -> int:
        """Number of runs that have not ended."""
        return len(self._runs)

    def open(self, call: Call) -> Reply:
        """Return the reply to a call; starts a run unless there is one already.

        Raises
        ------
        Refusal
            If the call can't be joined to what is known of its key or chat.
        """
        known = self._chats.find(call, self._clock())
        if known is not None:
            return known
        if call.after_event:
            # The events that the caller has are of a run that is no longer known
            # here.  A new run would go on with other words, and the caller would put
            # two half answers together.
            message = "the answer is no longer kept; ask for all of it again"
            raise Refusal("answer_gone", 409, message, "unknown")
        reply = Reply(keep=self._chats.can_recognize_resend(call))
        self._chats.register(call, reply, self._clock())
        task = asyncio.create_task(self._run(call, reply))
        self._runs.add(task)
        task.add_done_callback(self._runs.discard)
        return reply

    async def drain(self) -> None:
        """Return when every run has ended."""
        while self._runs:
            await asyncio.wait(self._runs)

    async def _run(self, call: Call, reply: Reply) -> None:
        try:
            self._limiter.begin(call, self._clock())
            try:
                await self._chats.wait_turn(call, self._clock())
                await self._claimer.claim(call, self._clock())
                await self._serve(call, reply)
            finally:
                self._limiter.end(call, reply, self._clock())
        except Refusal as refusal:
            self._refuse(call, reply, refusal)
        except Exception as error:  # noqa: BLE001
            # A fault of our own must still end the reply: the caller would wait
            # for ever, and the chat's later requests behind it.
            message = f"internal error: {type(error).__name__}"
            self._refuse(call, reply, Refusal("internal", 500, message, "unknown"))
            raise
        finally:
            self._chats.finish_call(call, reply, self._clock())
            self._claimer.record_outcome(call, reply)

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
        sent = False
        for number in range(ATTEMPTS_MAX):
            is_last = number == ATTEMPTS_MAX - 1
            placed, attempt = await self._admit_and_attempt(
                call, reply, avoid, is_last, sent
            )
            sent = sent or attempt.outcome != "not_sent"
            if attempt.outcome == "cut" and reply.started:
                attempt = await self._resume(call, reply, placed)
            if attempt.outcome in ("answered", "overloaded"):
                self._note_answer(call, attempt)
                reply.finish()
                return
            if attempt.outcome == "cancelled":
                raise Refusal("cancelled", 499, "the caller went away", "unknown")
            if sent and not call.idempotent:
                message = "the endpoint did not answer; the call may have run"
                raise Refusal("endpoint_lost", 502, message, "unknown")
            if is_last or self._decide_retry(call, reply, attempt) != "retry":
                break
            avoid.append(placed.endpoint.name)
        message = "no endpoint gave a whole answer"
        raise Refusal("endpoint_lost", 502, message, "unknown" if sent else "not_run")

    def _note_answer(self, call: Call, attempt: Attempt) -> None:
        if attempt.outcome == "answered":
            self._find_budget(call).note_success()

    def _decide_retry(
        self, call: Call, reply: Reply, attempt: Attempt
    ) -> RetryDecision:
        outcome = attempt.outcome
        assert outcome in ("refused", "not_sent", "cut")
        reason = self._find_budget(call).decide(
            Failure(outcome, call.idempotent, reply.started),
            self._admitter.has_waiting(call),
            call.deadline_s - self._clock(),
            self._admitter.estimate_service_s(call),
        )
        self._metrics.count("retry_decisions", reason)
        return reason

    def _find_budget(self, call: Call) -> RetryBudget:
        return self._budgets.setdefault(f"{call.kind}:{call.pool}", RetryBudget())

    async def _resume(
        self, call: Call, reply: Reply, placed: PlacementResult
    ) -> Attempt:
        # Only the engine that runs the stream can go on with it.  The rest of
        # another engine's answer would be spliced to this one's beginning.
        attempt = Attempt("cut", chunks=reply.count)
        while call.stream and attempt.outcome == "cut" and attempt.chunks:
            resumed = placed._replace(reason="resume", runners_up=())
            self._log_placed(call, resumed, 0.0)
            attempt = await self._attempt(call, reply, resumed, is_last=False)
        return attempt

    async def _admit_and_attempt(
        self, call: Call, reply: Reply, avoid: list[str], is_last: bool, sent: bool
    ) -> tuple[PlacementResult, Attempt]:
        arrived_s = self._clock()
        reply.when_abandoned(lambda: self._admitter.cancel(call))
        while True:
            await self._enter(call, sent)
            attempt = Attempt("not_sent")
            placed: PlacementResult | None = None
            try:
                wait_s = self._clock() - arrived_s
                placed = await self._place(call, avoid, wait_s, sent)
                if placed is not None:
                    attempt = await self._attempt(call, reply, placed, is_last)
                    return placed, attempt
            finally:
                if placed is not None:
                    self._placer.release(placed)
                self._admitter.release_slot(call, attempt, self._clock())
            # Other routers have filled the endpoints, which this one had not heard
            # when it let the call pass.  The call has time to wait, so it queues
            # again; the pause keeps it from spinning until the loads are known.
            await asyncio.sleep(FULL_PAUSE_S)
            if reply.abandoned.is_set():
                run: RunState = "unknown" if sent else "not_run"
                raise Refusal("cancelled", 499, "the caller went away", run)

    async def _enter(self, call: Call, sent: bool) -> None:
        try:
            await self._admitter.acquire_slot(call, self._clock())
        except Refusal as refusal:
            # This attempt was not sent, but an earlier one may have run.
            refusal.run = "unknown" if sent else refusal.run
            raise

    async def _place(
        self, call: Call, avoid: list[str], wait_s: float, sent: bool
    ) -> PlacementResult | None:
        """Return where the call goes, or None if all endpoints are full."""
        now_s = self._clock()
        # A router that was frozen while the call waited wakes up with an old
        # decision.  The caller has given up by then and may have asked elsewhere.
        run: RunState = "unknown" if sent else "not_run"
        if now_s >= call.deadline_s:
            raise Refusal("too_late", 504, "the deadline has passed", run)
        placed = await self._placer.place(call, avoid, now_s)
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
        self._placer.start(call, endpoint, self._clock())
        attempt = Attempt("cut")
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
            if attempt.first_byte_s is not None:
                self._metrics.record_first_byte(call.kind, attempt.first_byte_s)
        finally:
            self._placer.finish(
                call, endpoint, attempt.outcome, attempt.first_byte_s, self._clock()
            )
        return attempt
