"""Claims non-idempotent calls on the platform before they are sent.

`tamarackrill.decisions.claims` decides.  This module owns the state, calls the platform
and wakes the calls that wait for a claim.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

from tamarackrill.contracts import CLAIM_KIND
from tamarackrill.decisions.catching_up import Standstill
from tamarackrill.decisions.claim_buckets import (
    Entries,
    UnreadableClaim,
    decode_entries,
    encode_entries,
    hash_claim_key,
    list_unreadable,
)
from tamarackrill.decisions.claim_messages import (
    Action,
    BucketRead,
    BucketWritten,
    ClaimRequested,
    Granted,
    Held,
    Message,
    ReadBucket,
    ReadFailed,
    Refused,
    RunEnded,
    StoodStill,
    TimePassed,
    WriteBucket,
    WriteConflicted,
    WriteUnanswered,
)
from tamarackrill.decisions.claims import (
    Claims,
    find_router_to_ask,
    may_send,
    next_due_s,
    step,
)
from tamarackrill.events import (
    CLAIM_CALL_FAILED,
    CLAIM_GRANTED,
    CLAIM_HELD,
    CLAIM_UNANSWERED,
    OBJECT_FAULTY,
    log_event,
)
from tamarackrill.exceptions import PlatformUnavailable, Refusal
from tamarackrill.router.calls import Call
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.router.replies import Reply
from tamarackrill.store_api import PlatformObject

# Limits how late the timer fires if the wall clock is set back.
TIMER_MAX_S = 1.0


class ClaimHeldElsewhere(Refusal):
    """Another live router holds the claim and is running or has run the call.

    Parameters
    ----------
    router : str
        Name of that router.
    """

    def __init__(self, router: str) -> None:
        message = "another router is running or has run the request"
        super().__init__("claim_held", 409, message, "unknown")
        self.router = router


class Claimer:
    """Obtains, checks and updates the claims of this router.

    Parameters
    ----------
    claims : Claims
        Claim state of this router.
    platform : PlatformClient
        Not owned.
    list_live : callable
        Returns the names of the routers believed to be live.
    wall_clock : callable
        Returns the wall-clock time, since VMs compare the expiry of claims.

    Attributes
    ----------
    notice_standstill : callable
        Calls `observe_standstill` if the process has just stood still.
    """

    def __init__(
        self,
        claims: Claims,
        platform: PlatformClient,
        list_live: Callable[[], list[str]],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._claims = claims
        self._platform = platform
        self._list_live = list_live
        self._wall_clock = wall_clock
        self._pending: dict[int, asyncio.Future[Granted | Held | Refused]] = {}
        self._last_request = 0
        self._grants: dict[str, Granted] = {}
        self.notice_standstill: Callable[[], object] = lambda: None
        self._standstills = 0
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def claim(self, call: Call, now_s: float) -> None:
        """Wait until the call may be sent; return at once if it is idempotent.

        Parameters
        ----------
        call : Call
            The call.
        now_s : float
            Current time on the clock of the call's deadline.

        Raises
        ------
        ClaimHeldElsewhere
            If another live router holds the claim.
        Refusal
            ``unknown`` if another attempt holds the claim or what stands there can't be
            read, ``not_run`` if the claim could not be written.
        """
        if call.idempotent:
            return
        self._last_request += 1
        request = self._last_request
        outcome: asyncio.Future[Granted | Held | Refused]
        outcome = asyncio.get_running_loop().create_future()
        self._pending[request] = outcome
        key_hash = hash_claim_key(call.team, call.key)
        wall_s = self._wall_clock()
        deadline_s = wall_s + call.deadline_s - now_s
        try:
            self._step(ClaimRequested(request, key_hash, deadline_s))
        except Exception:
            del self._pending[request]
            raise
        action = await outcome
        if isinstance(action, Refused):
            raise _build_refusal(action)
        if isinstance(action, Held):
            raise self._refuse_held(call, action)
        self._grants[call.request_id] = action
        log_event(
            CLAIM_GRANTED,
            team=call.team,
            chat=call.chat,
            attempt=action.attempt,
            wait_s=self._wall_clock() - wall_s,
        )

    def check(self, call: Call) -> None:
        """Raise a refusal unless the call may be sent right now.

        Raises
        ------
        Refusal
            ``not_run`` if the granted claim is too old.
        """
        if call.idempotent:
            return
        grant = self._grants.get(call.request_id)
        if grant is None or not may_send(grant, self._wall_clock()):
            message = "the deadline passed before the request was sent"
            raise Refusal("deadline_passed", 504, message)

    def record_outcome(self, call: Call, reply: Reply) -> None:
        """Record on the platform how a claimed call ended."""
        grant = self._grants.pop(call.request_id, None)
        if grant is None:
            return
        refusal = reply.refusal
        if refusal is not None and refusal.run == "not_run":
            self._step(RunEnded(grant.key_hash, grant.attempt, sent=False))
        elif refusal is None and reply.is_finished:
            self._step(RunEnded(grant.key_hash, grant.attempt, sent=True))
        # Otherwise the outcome is unknown, and the claim stays unchanged.

    def observe_standstill(self, standstill: Standstill) -> None:
        """Let claims under way wait on: the platform's answers waited as well."""
        self._standstills += 1
        self._step(StoodStill(standstill.gap_s))

    async def stop(self) -> None:
        """Cancel the timer and the requests to the platform."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _refuse_held(self, call: Call, held: Held) -> Refusal:
        if isinstance(held.claim, UnreadableClaim):
            message = "the claim of the request can't be read; the request may have run"
            return Refusal("claim_unreadable", 409, message, "unknown")
        router = find_router_to_ask(self._claims, held, self._list_live())
        log_event(
            CLAIM_HELD,
            team=call.team,
            chat=call.chat,
            attempt=held.claim.attempt,
            state=held.claim.state,
            asked=router,
        )
        if router:
            return ClaimHeldElsewhere(router)
        if held.claim.state == "done":
            message = "the request ran; its response is no longer cached"
            return Refusal("already_run", 409, message, "unknown")
        message = (
            "the router that claimed the request is gone; the request may have run"
        )
        return Refusal("claim_orphaned", 409, message, "unknown")

    def _step(self, message: Message) -> None:
        now_s = self._wall_clock()
        try:
            actions = step(self._claims, message, now_s)
            due_s = next_due_s(self._claims)
        except Exception:
            # Claims that are under way still time out.
            self._set_timer(TIMER_MAX_S)
            raise
        # From here on nothing may raise: a call of the platform that has begun would
        # be answered twice.
        for action in actions:
            self._carry_out(action)
        self._set_timer(None if due_s is None else due_s - now_s)

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, ReadBucket):
            self._start_task(self._read(action))
        elif isinstance(action, WriteBucket):
            self._start_task(self._write(action))
        else:
            # None after an undeclared error of the request's own first step.
            outcome = self._pending.pop(action.request, None)
            if outcome is not None and not outcome.done():
                outcome.set_result(action)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read(self, action: ReadBucket) -> None:
        standstills = self._standstills
        try:
            found = await self._platform.get(CLAIM_KIND, action.bucket)
            version, entries = _decode_bucket(found)
            self._step(BucketRead(action.bucket, version, entries))
        except PlatformUnavailable:
            self.notice_standstill()
            stood_still = self._standstills > standstills
            self._step(ReadFailed(action.bucket, stood_still))
        except Exception as error:
            # Without an outcome no later claim of the bucket would be made.
            log_event(CLAIM_CALL_FAILED, bucket=action.bucket, error=repr(error))
            self._step(ReadFailed(action.bucket))

    async def _write(self, action: WriteBucket) -> None:
        value = encode_entries(action.entries)
        expected = action.expected_version or None
        try:
            result = await self._platform.put(
                CLAIM_KIND, action.bucket, value, expected
            )
            current_version, current = _decode_bucket(result.current)
            if result.version is not None:
                self._step(BucketWritten(action.bucket, result.version))
            else:
                self._step(WriteConflicted(action.bucket, current_version, current))
        except PlatformUnavailable as error:
            log_event(CLAIM_UNANSWERED, bucket=action.bucket, reason=str(error))
            self._step(WriteUnanswered(action.bucket))
        except Exception as error:
            log_event(CLAIM_CALL_FAILED, bucket=action.bucket, error=repr(error))
            self._step(WriteUnanswered(action.bucket))

    def _set_timer(self, wait_s: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wait_s is not None:
            wait_s = min(TIMER_MAX_S, max(0.0, wait_s))
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(wait_s, self._handle_timer)

    def _handle_timer(self) -> None:
        # This timer may be due before the one that notices standstills.
        self.notice_standstill()
        self._step(TimePassed())


def _decode_bucket(found: PlatformObject | None) -> tuple[int, Entries]:
    if found is None:
        return 0, {}
    try:
        entries = decode_entries(found.value)
    except (TypeError, ValueError, AttributeError) as error:
        # Without readable claims no call may be sent.
        message = f"can't decode the claims of {found.name}: {error}"
        raise PlatformUnavailable(message) from error
    if unreadable := list_unreadable(entries):
        log_event(
            OBJECT_FAULTY,
            kind=found.kind,
            object=found.name,
            version=found.version,
            message=f"unreadable claims: {len(unreadable)}, the first {unreadable[0]}",
        )
    return found.version, entries


def _build_refusal(action: Refused) -> Refusal:
    status, message = _REFUSALS[action.code]
    return Refusal(action.code, status, message, "not_run", action.retry_after_s)


_REFUSALS = {
    "platform_unavailable": (503, "no claim can be made while the platform is down"),
    "claim_timeout": (503, "the platform did not confirm the claim in time"),
    "claims_busy": (503, "too many requests are waiting for a claim"),
    "claims_contended": (503, "too many routers are writing to the same claim bucket"),
    "claims_full": (503, "no room for another claim"),
    "deadline_passed": (504, "the deadline passed before the request was sent"),
}
