"""The way of one request of the platform's interface, from its route to its answer."""

from collections.abc import Callable

from tornado.iostream import StreamClosedError

from tamarackrill.decisions.attempts import (
    NextStep,
    add_attempt,
    choose_retry_after_s,
    decide_next,
)
from tamarackrill.decisions.retry_shares import BudgetTerms, RetryShare
from tamarackrill.events import (
    CALL_ANSWERED,
    CALL_ATTEMPT_FAILED,
    CALL_CUT,
    CALL_OVERLOADED,
    CALL_REFUSED,
    log_event,
)
from tamarackrill.exceptions import Refusal
from tamarackrill.platform.headers import (
    build_error_headers,
    filter_response_headers,
)
from tamarackrill.router.edge_attempts import EdgeAttempts, Progress, Result
from tamarackrill.router.edge_calls import EdgeCall
from tamarackrill.router.edge_placing import EdgePlaced, EdgePlacer, Overloaded
from tamarackrill.router.edge_reply import EdgeReply
from tamarackrill.router.metrics import Metrics


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
        self.attempts = EdgeAttempts(
            placer, self._count_repeats_left, self._note_sent, metrics, clock
        )
        self.compute_failover_s: Callable[[], float | None] = lambda: None

    def count_repeats_left(self) -> dict[str, float]:
        """Return what this router may still repeat, by service; for metrics."""
        routers, now_s = self._count_routers(), self._clock()
        return {
            service: share.count_retries_left(routers, now_s)
            for service, share in self._retries.items()
        }

    async def serve(self, call: EdgeCall, reply: EdgeReply) -> None:
        """Give a request its final answer.

        Raises
        ------
        tornado.iostream.StreamClosedError
            If the client has left.
        """
        progress = Progress(call, reply)
        self._find_share(call.service).note_request(self._clock())
        while True:
            now_s = self._clock()
            try:
                placed = self._placer.choose(
                    call, progress.avoid, now_s, may_refuse=not progress.tried.sent
                )
            except Overloaded as overloaded:
                _log_overloaded(call, overloaded)
                await self._end(progress, overloaded.code)
                return
            except Refusal as refusal:
                await self._end(progress, "poison", refusal.retry_after_s)
                return
            if placed is None or call.limit_s <= now_s:
                reason = "no_endpoint" if placed is None else "deadline"
                await self._end(progress, reason)
                return
            result = await self.attempts.run(progress, placed)
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

    def _note_sent(self, call: EdgeCall, is_repeat: bool) -> None:
        if is_repeat:
            self._find_share(call.service).note_retry(self._clock())

    def _count_repeats_left(self, call: EdgeCall) -> float:
        share = self._find_share(call.service)
        return share.count_retries_left(self._count_routers(), self._clock())

    async def _follow(
        self, progress: Progress, placed: EdgePlaced, result: Result
    ) -> bool:
        """Act on an attempt that brought no answer; return whether it was the last."""
        call = progress.call
        now_s = self._clock()
        progress.tried = add_attempt(progress.tried, result.outcome)
        progress.avoid.add(placed.endpoint.name)
        left = self._count_repeats_left(call)
        following: NextStep = decide_next(
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
        self, progress: Progress, placed: EdgePlaced, result: Result
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
        self, progress: Progress, reason: str, retry_after_s: float | None = None
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
                filter_response_headers(answer.head.headers),
                answer.body,
            )
            self._metrics.count("calls_failed", "endpoint")
            return
        if not tried.may_have_run:
            status = 503
            is_cut = reason in ("no_endpoint", "not_sent")
            wait_s = retry_after_s or choose_retry_after_s(
                call.request_id,
                is_cut,
                self._find_client_left_s(call),
                self.compute_failover_s(),
            )
        else:
            is_late = self._clock() >= call.limit_s
            status, wait_s = (504 if is_late else 502), None
        await refuse(call, reply, status, reason, wait_s, tried.sent)
        self._metrics.count_refusal(reason)


def _log_overloaded(call: EdgeCall, overloaded: Overloaded) -> None:
    log_event(
        CALL_OVERLOADED,
        request=call.request_id,
        route=call.route.name,
        urgency=call.urgency,
        objective_s=call.route.objective_s,
        engines=len(overloaded.waits_s),
        least_wait_s=min(overloaded.waits_s.values()),
    )


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
    headers = build_error_headers(call.request_id, retry_after_s)
    body = b'{"error": "%s"}\n' % reason.encode()
    try:
        await reply.begin(status, list(headers.items()), body)
    except StreamClosedError:
        return
