"""Ends the requests of a router that stops, each with what is known of it."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from tornado.iostream import StreamClosedError

from tamarackrill.decisions.attempts import add_attempt
from tamarackrill.decisions.stopping import StopPlan, WorkDurations, decide_at_stop
from tamarackrill.events import CALL_ENDED_AT_STOP, CALL_UNFIT_AT_STOP, log_event
from tamarackrill.router.edge_calls import EdgeCall, describe_call
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.request_progress import RequestProgress
from tamarackrill.router.unexpected_errors import tolerate

# Reason that clients are told.
STOPPING = "stopping"
# How often requests that wait are checked, and how old the ages of others may be.
CHECK_INTERVAL_S = 0.1
# Time for answers of a router that is late; a third of what is left until SIGKILL.
LATE_ANSWERS_S = 0.1

_Kind = tuple[str, str]


class PlannedStop:
    """Requests in flight, and what becomes of them when the router stops.

    Parameters
    ----------
    metrics : Metrics
        Records counters.
    clock : callable
        Returns the present time.

    Attributes
    ----------
    plan : StopPlan or None
        The stop; None until the router is told to stop.
    has_others : callable
        Returns whether there are other routers that clients can turn to.
    send_final_answer : callable
        ``await send_final_answer(progress, reason)`` answers a request that no endpoint
        has served.
    in_flight : dict of RequestProgress to asyncio.Task
        Requests that have matched a route, and the tasks that serve them.
    """

    def __init__(self, metrics: Metrics, clock: Callable[[], float]) -> None:
        self.plan: StopPlan | None = None
        self.has_others: Callable[[], bool] = lambda: False
        self.send_final_answer: Callable[[RequestProgress, str], Awaitable[None]]
        self.in_flight: dict[RequestProgress, asyncio.Task[object] | None] = {}
        self._metrics = metrics
        self._clock = clock
        self._durations = WorkDurations()
        self._ages_s: dict[_Kind, list[float]] = {}
        self._ages_read_s = -CHECK_INTERVAL_S

    def observe_end(self, progress: RequestProgress) -> None:
        """Record how long a request took that was answered, or reached its deadline."""
        if progress.sent_s is not None:
            work_s = self._clock() - progress.sent_s
            self._durations.observe(_find_kind(progress.call), work_s)

    def list_known_s(self, route: str, service: str) -> Sequence[float]:
        """Return how long the last requests of a route and service took."""
        return self._durations.list_known_s((route, service))

    def may_send(self, progress: RequestProgress) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        plan = self.plan
        if plan is None:
            return True
        if progress.ending is not None:
            return False
        if progress.reply.has_begun:
            # A stream that its client has begun to read may still be complete in time.
            return self._clock() < plan.answers_end_s
        return self._fits(plan, progress)

    def _fits(self, plan: StopPlan, progress: RequestProgress) -> bool:
        call, now_s = progress.call, self._clock()
        kind = _find_kind(call)
        known_s = self.list_known_s(*kind)
        decision = decide_at_stop(
            plan,
            now_s,
            call.deadline_s,
            call.route.may_repeat,
            self.has_others(),
            known_s,
            self._find_ages_s(kind, now_s),
        )
        if not decision.must_serve:
            self._metrics.count("calls_unfit_at_stop", call.route.kind)
            log_event(
                CALL_UNFIT_AT_STOP,
                **describe_call(call),
                left_s=decision.left_s,
                timeout_left_s=call.deadline_s - now_s,
                work_s=decision.work_s,
                known=len(known_s),
                after_s=now_s - call.arrived_s,
            )
        return decision.must_serve

    def _find_ages_s(self, kind: _Kind, now_s: float) -> list[float]:
        """Return for how long requests of a kind have been at work."""
        if now_s >= self._ages_read_s + CHECK_INTERVAL_S:
            self._ages_read_s = now_s
            self._ages_s = {}
            for progress in self.in_flight:
                if progress.sent_s is not None:
                    ages_s = self._ages_s.setdefault(_find_kind(progress.call), [])
                    ages_s.append(now_s - progress.sent_s)
        return self._ages_s.get(kind, [])

    async def refuse_unfit(self) -> None:
        """Refuse requests while they wait, once they could not end in time."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for progress in list(self.in_flight):
                if progress.reply.has_begun or _is_sent(progress):
                    continue
                with tolerate(self._metrics, "stop", progress.call.request_id):
                    if not self.may_send(progress):
                        self._end(progress)

    def end_unanswered(self) -> None:
        """Answer all requests whose response has not begun."""
        for progress in list(self.in_flight):
            if not progress.reply.has_begun:
                self._end(progress)

    async def cut_begun(self) -> None:
        """Cut off what is left, so that no partial response passes for complete."""
        # A router that is late has only just begun to answer these.
        endings = [p.ending for p in self.in_flight if p.ending is not None]
        if endings:
            await asyncio.wait(endings, timeout=LATE_ANSWERS_S)
        for progress in list(self.in_flight):
            with tolerate(self._metrics, "stop", progress.call.request_id):
                await self._cut(progress)

    async def _cut(self, progress: RequestProgress) -> None:
        reply = progress.reply
        if reply.is_over:
            return
        self._log_ended(progress, 0)
        if reply.has_begun and not reply.is_complete:
            await self.send_final_answer(progress, STOPPING)
        reply.abort()

    async def has_ended(self, progress: RequestProgress) -> bool:
        """Return whether a request was answered here, once that is known."""
        if progress.ending is not None:
            await asyncio.wait([progress.ending])
        return progress.ending is not None

    def _end(self, progress: RequestProgress) -> None:
        if progress.ending is None:
            progress.ending = asyncio.create_task(self._answer(progress))

    async def _answer(self, progress: RequestProgress) -> None:
        """Answer a request, then end its attempts."""
        task, reply = self.in_flight.get(progress), progress.reply
        if reply.has_begun or task is None:
            progress.ending = None
            return
        sent = [a for a in progress.attempts.values() if a.is_sent]
        for _ in sent:
            progress.history = add_attempt(progress.history, "lost")
        # No attempt may answer any more, or be sent.
        progress.race.give_up()
        self._log_ended(progress, 502 if progress.history.may_have_run else 503)
        try:
            with tolerate(self._metrics, "stop", progress.call.request_id):
                await self.send_final_answer(progress, STOPPING)
                assert self.plan is not None
                await reply.deliver(self.plan.end_s)
        except StreamClosedError:
            pass
        finally:
            # Endpoints see the end only after the client has its answer.
            task.cancel()

    def _log_ended(self, progress: RequestProgress, status: int) -> None:
        call = progress.call
        self._metrics.count("calls_ended_at_stop", str(status) if status else "cut")
        log_event(
            CALL_ENDED_AT_STOP,
            **describe_call(call),
            endpoint=progress.last_endpoint,
            status=status,
            sent=progress.history.sent,
            events=progress.stream.events,
            after_s=self._clock() - call.arrived_s,
        )


def _find_kind(call: EdgeCall) -> _Kind:
    return call.route.name, call.service


def _is_sent(progress: RequestProgress) -> bool:
    return any(attempt.is_sent for attempt in progress.attempts.values())
