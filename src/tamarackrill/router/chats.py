"""Request ordering within chats and response caching for resends, at the home router.

`tamarackrill.decisions.ordering` and `tamarackrill.decisions.answers` decide; this
module stores the replies and wakes the waiting calls.
"""

import asyncio
from collections.abc import Callable

from tamarackrill.decisions.answers import (
    AnswerCache,
    Identity,
    expire,
    finish,
    identify,
    look_up,
    start,
)
from tamarackrill.decisions.catching_up import Standstill, moves_chats
from tamarackrill.decisions.ordering import (
    HOME_MOVED,
    Action,
    Arrived,
    ChatOrder,
    Ended,
    Started,
    forget_chats,
    handle_arrival,
    handle_end,
    handle_timeouts,
    next_due_s,
)
from tamarackrill.events import REQUEST_JOINED, log_event
from tamarackrill.exceptions import Refusal
from tamarackrill.router.calls import Call
from tamarackrill.router.claiming import ClaimHeldElsewhere
from tamarackrill.router.replies import Reply

CACHE_EXPIRY_INTERVAL_S = 1.0


class ChatCoordinator:
    """Orders the calls of each chat and finds the replies that resends join.

    Parameters
    ----------
    clock : callable
        Returns the current time, on the clock of the calls' deadlines.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._answers = AnswerCache()
        self._replies: dict[Identity, Reply] = {}
        self._order = ChatOrder()
        self._turn_futures: dict[str, asyncio.Future[Action]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def can_recognize_resend(self, call: Call) -> bool:
        """Return whether a resend can be distinguished from a new call."""
        return _identify(call) is not None

    def find(self, call: Call, now_s: float) -> Reply | None:
        """Return the reply to a call that is a resend, or None for a new call.

        Raises
        ------
        Refusal
            If the key or the sequence number was used for another request.
        """
        identity = _identify(call)
        if identity is None:
            return None
        result = look_up(self._answers, identity, call.fingerprint)
        if result == "mismatch":
            message = "the key or the sequence belongs to another request"
            raise Refusal("key_reused", 422, message)
        if result == "new":
            return None
        log_event(REQUEST_JOINED, team=call.team, chat=call.chat)
        return self._replies[identity]

    def register(self, call: Call, reply: Reply, now_s: float) -> None:
        """Store the reply of a new call."""
        identity = _identify(call)
        if identity is not None:
            start(self._answers, identity, call.fingerprint)
            self._replies[identity] = reply

    async def wait_turn(self, call: Call, now_s: float) -> None:
        """Wait until the earlier calls of the chat have ended.

        Raises
        ------
        Refusal
            If the sequence number is taken or passed, or earlier calls are missing.
        """
        if not call.chat or call.sequence is None:
            return
        turn: asyncio.Future[Action] = asyncio.get_running_loop().create_future()
        self._turn_futures[call.request_id] = turn
        arrived = Arrived(
            call.request_id, call.home_key, call.sequence, call.deadline_s
        )
        self._carry_out(handle_arrival(self._order, arrived, now_s), now_s)
        action = await turn
        if not isinstance(action, Started):
            status, message = _REFUSALS[action.code]
            raise Refusal(
                action.code, status, message, action.run, action.retry_after_s
            )

    def finish_call(self, call: Call, reply: Reply, now_s: float) -> None:
        """Start the next call of the chat, and cache or drop the reply."""
        if call.chat and call.sequence is not None:
            refusal = reply.refusal
            ran = refusal is None or refusal.run == "unknown"
            ended = Ended(call.request_id, call.home_key, ran)
            self._turn_futures.pop(call.request_id, None)
            self._carry_out(handle_end(self._order, ended, now_s), now_s)
        identity = _identify(call)
        if identity is not None:
            expires_s = now_s + call.contract.answers_kept_s
            is_kept = reply.is_complete or _is_held_elsewhere_in_chat(call, reply)
            self._drop_replies(
                finish(self._answers, identity, reply.size_bytes, is_kept, expires_s)
            )

    def observe_standstill(self, standstill: Standstill) -> None:
        """Forget the chats that may have got another home meanwhile."""
        if moves_chats(standstill):
            self._carry_out(forget_chats(self._order), self._clock())

    async def run(self) -> None:
        """Drop expired responses, until cancelled."""
        while True:
            await asyncio.sleep(CACHE_EXPIRY_INTERVAL_S)
            self._drop_replies(expire(self._answers, self._clock()))

    def _drop_replies(self, identities: list[Identity]) -> None:
        for identity in identities:
            self._replies.pop(identity, None)

    def _carry_out(self, actions: list[Action], now_s: float) -> None:
        for action in actions:
            turn = self._turn_futures.pop(action.request, None)
            if turn is not None and not turn.done():
                turn.set_result(action)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_s = next_due_s(self._order)
        if due_s is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, due_s - now_s), self._handle_timeout)

    def _handle_timeout(self) -> None:
        now_s = self._clock()
        self._carry_out(handle_timeouts(self._order, now_s), now_s)


def _identify(call: Call) -> Identity | None:
    return identify(call.team, call.key, call.chat, call.sequence)


def _is_held_elsewhere_in_chat(call: Call, reply: Reply) -> bool:
    """Return whether a call of a chat was refused because another router claimed it.

    Such a call gives up its place in the chat because it may have run.  The refusal
    that names the other router is cached, since a later resend would otherwise be
    refused for its sequence number although the other router has the response.
    """
    is_held = isinstance(reply.refusal, ClaimHeldElsewhere)
    return is_held and call.sequence is not None


_REFUSALS = {
    HOME_MOVED: (503, "the chat may have another home router now"),
    "sequence_passed": (409, "a later request of the chat has run"),
    "sequence_taken": (409, "another request has this place in the chat"),
    "sequence_skipped": (409, "the place is too far ahead in the chat"),
    "sequence_gap": (409, "an earlier request of the chat is missing"),
    "deadline_passed": (504, "the deadline passed before the request was sent"),
}
