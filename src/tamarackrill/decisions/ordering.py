"""Order within a chat: which request of a chat may run now, at the chat's home.

A caller numbers the requests of a chat from 1 (``Chat-Sequence``).  They may arrive
out of order, since each may come through another router; here an early one waits for
those before it, and one request of a chat runs at a time.

Load pattern: a caller that sends several requests of one chat at once.  Without the
order the engine would answer the second question before it has seen the first.
"""

from typing import NamedTuple

from tamarackrill.exceptions import RunState

FIRST_SEQUENCE = 1

BASE_WAIT_S = 0.05
"""How long a home that does not know the chat waits for earlier requests.  Requests
sent at once arrive within a few hops of some milliseconds; a chat that returns to a
new home pays this wait once."""

GAP_WAIT_S = 5.0
"""How long a request waits for one that is missing before it.  Longer than the
Retry-After of a refusal, so that a refused request can come again in its place."""

AHEAD_MAX = 32
"""How far ahead a sequence may be, and so how many requests of a chat can wait."""

CHAT_KEPT_S = 3600.0
"""How long an idle chat is remembered."""

CHATS_MAX = 20_000
"""Chats in memory, some 500 bytes each: four times a router's share of 1.9 million
over 370 routers."""

RETRY_S = 1.0


class Arrived(NamedTuple):
    """A request with a place in its chat came in."""

    request: str
    chat: str
    sequence: int
    deadline_s: float


class Ended(NamedTuple):
    """A request is over; `ran` unless no byte of it reached an endpoint."""

    request: str
    chat: str
    ran: bool


class Started(NamedTuple):
    """The request may run now."""

    request: str


class OutOfOrder(NamedTuple):
    """The request is refused."""

    request: str
    code: str
    run: RunState
    retry_after_s: float


Action = Started | OutOfOrder


class Waiting(NamedTuple):
    """A request that came before its turn."""

    request: str
    since_s: float
    deadline_s: float


class Chat:
    """What the home knows of one chat."""

    def __init__(self, now_s: float) -> None:
        self.next_sequence: int | None = None
        self.running = ""
        self.waiting: dict[int, Waiting] = {}
        self.changed_s = now_s


class ChatOrder:
    """Chats by name, the least recently used first, and those where some wait."""

    def __init__(self) -> None:
        self.chats: dict[str, Chat] = {}
        self.waiting: dict[str, Chat] = {}


def handle_arrival(order: ChatOrder, message: Arrived, now_s: float) -> list[Action]:
    """Take a request.

    Parameters
    ----------
    order : Order
        State, changed in place.
    message : Arrived
        The request.
    now_s : float
        Present time.

    Returns
    -------
    list of Action
        Empty if the request has to wait.
    """
    chat = order.chats.pop(message.chat, None) or Chat(now_s)
    order.chats[message.chat] = chat
    _forget(order, now_s)
    code = _find_fault(chat, message.sequence)
    if code:
        # A passed sequence may be one that ran and whose answer is no longer kept.
        run: RunState = "unknown" if code == "sequence_passed" else "not_run"
        return [OutOfOrder(message.request, code, run, RETRY_S)]
    if chat.next_sequence is None and message.sequence == FIRST_SEQUENCE:
        chat.next_sequence = FIRST_SEQUENCE
    chat.waiting[message.sequence] = Waiting(message.request, now_s, message.deadline_s)
    order.waiting[message.chat] = chat
    return _start_next(chat)


def handle_end(order: ChatOrder, message: Ended, now_s: float) -> list[Action]:
    """Take the end of a request, also of one that was still waiting."""
    chat = order.chats.get(message.chat)
    if chat is None:
        return []
    if chat.running != message.request:
        chat.waiting = {
            sequence: waiting
            for sequence, waiting in chat.waiting.items()
            if waiting.request != message.request
        }
        return []
    chat.running = ""
    chat.changed_s = now_s
    # A request that was refused without having run keeps its place: its caller will
    # send it again, and what was asked after it must not overtake it.
    if message.ran and chat.next_sequence is not None:
        chat.next_sequence += 1
    return _start_next(chat)


def handle_timeouts(order: ChatOrder, now_s: float) -> list[Action]:
    """Refuse what has waited too long, and start chats that are new to this home."""
    actions: list[Action] = []
    for name, chat in list(order.waiting.items()):
        if not chat.waiting:
            del order.waiting[name]
            continue
        if chat.next_sequence is None and _find_base_due_s(chat) <= now_s:
            chat.next_sequence = min(chat.waiting)
        actions += _refuse_late(chat, now_s)
        actions += _start_next(chat)
    return actions


def next_due_s(order: ChatOrder) -> float | None:
    """Return when `handle_timeouts` is next due, or None."""
    dues: list[float] = []
    for chat in order.waiting.values():
        if chat.waiting and chat.next_sequence is None:
            dues.append(_find_base_due_s(chat))
        dues += [_find_limit_s(chat, sequence) for sequence in chat.waiting]
    return min(dues, default=None)


def _find_fault(chat: Chat, sequence: int) -> str:
    if sequence in chat.waiting:
        return "sequence_taken"
    if chat.next_sequence is None:
        lowest = min(chat.waiting, default=sequence)
        return "sequence_skipped" if sequence - lowest >= AHEAD_MAX else ""
    if sequence < chat.next_sequence:
        return "sequence_passed"
    if sequence == chat.next_sequence and chat.running:
        return "sequence_taken"
    if sequence - chat.next_sequence >= AHEAD_MAX:
        return "sequence_skipped"
    return ""


def _start_next(chat: Chat) -> list[Action]:
    if chat.running or chat.next_sequence not in chat.waiting:
        return []
    waiting = chat.waiting.pop(chat.next_sequence)
    chat.running = waiting.request
    return [Started(waiting.request)]


def _refuse_late(chat: Chat, now_s: float) -> list[Action]:
    actions: list[Action] = []
    for sequence, waiting in sorted(chat.waiting.items()):
        if _find_limit_s(chat, sequence) > now_s:
            continue
        late = waiting.deadline_s <= now_s
        code = "deadline_passed" if late else "sequence_gap"
        actions.append(OutOfOrder(waiting.request, code, "not_run", RETRY_S))
        del chat.waiting[sequence]
    return actions


def _find_limit_s(chat: Chat, sequence: int) -> float:
    """Return when a waiting request is refused; later if none before it is missing."""
    waiting = chat.waiting[sequence]
    first = chat.next_sequence
    if first is None:
        return waiting.deadline_s
    first += bool(chat.running)
    if all(number in chat.waiting for number in range(first, sequence)):
        return waiting.deadline_s
    since_s = max(waiting.since_s, chat.changed_s)
    return min(waiting.deadline_s, since_s + GAP_WAIT_S)


def _find_base_due_s(chat: Chat) -> float:
    first_s = min(waiting.since_s for waiting in chat.waiting.values())
    return first_s + BASE_WAIT_S


def _forget(order: ChatOrder, now_s: float) -> None:
    for name, chat in list(order.chats.items())[:2]:
        is_idle = not chat.running and not chat.waiting
        is_old = chat.changed_s + CHAT_KEPT_S <= now_s
        if is_idle and (is_old or len(order.chats) > CHATS_MAX):
            del order.chats[name]
