"""Request ordering within a chat, decided by the chat's home router.

A caller numbers the requests of a chat from 1 (``Chat-Sequence``). They may arrive out
of order, because each may come through a different router. Early requests wait here for
the ones before them, and a chat runs one request at a time.

Load pattern: a caller that sends several requests of one chat at once. Without ordering
the engine could answer the second question before it has seen the first.
"""

from typing import NamedTuple

from tamarackrill.exceptions import RunState

FIRST_SEQUENCE = 1

NEW_CHAT_WAIT_S = 0.05
"""How long a home that does not know the chat waits for earlier requests. Requests sent
at once arrive within a few hops of some milliseconds each; a chat incurs this wait once
per new home."""

GAP_WAIT_S = 5.0
"""How long a request waits for a missing predecessor. Longer than the Retry-After of a
refusal, so that a refused request can be resent in its place."""

SEQUENCE_WINDOW = 32
"""How far ahead of the next sequence a request may be, which also limits how many
requests of a chat can wait."""

CHAT_TTL_S = 3600.0
"""How long an idle chat is kept."""

CHATS_MAX = 20_000
"""Chats in memory, about 500 bytes each: four times a router's share of 1.9 million
chats over 370 routers."""

RETRY_AFTER_S = 1.0

HOME_MOVED = "home_moved"
"""Code of the refusal of a request that the chat's new home may take."""


class Arrived(NamedTuple):
    """A request with a sequence number in its chat arrived."""

    request: str
    chat: str
    sequence: int
    deadline_s: float


class Ended(NamedTuple):
    """A request ended; `ran` unless no byte of it reached an endpoint."""

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


class WaitingRequest(NamedTuple):
    """A request waiting for its turn."""

    request: str
    waiting_since_s: float
    deadline_s: float


class Chat:
    """Ordering state of one chat."""

    def __init__(self, now_s: float) -> None:
        self.next_sequence: int | None = None
        self.running = ""
        self.waiting: dict[int, WaitingRequest] = {}
        self.last_change_s = now_s


class ChatOrder:
    """All chats by name, least recently used first, and those with waiting requests."""

    def __init__(self) -> None:
        self.chats: dict[str, Chat] = {}
        self.waiting: dict[str, Chat] = {}


def handle_arrival(order: ChatOrder, message: Arrived, now_s: float) -> list[Action]:
    """Process the arrival of a request.

    Parameters
    ----------
    order : ChatOrder
        State, modified in place.
    message : Arrived
        The request.
    now_s : float
        Current time.

    Returns
    -------
    list of Action
        Empty if the request has to wait.
    """
    chat = order.chats.pop(message.chat, None) or Chat(now_s)
    order.chats[message.chat] = chat
    _evict_idle_chats(order, now_s)
    code = _find_sequence_error(chat, message.sequence)
    if code:
        # A passed sequence may have run and its cached response expired.
        run: RunState = "unknown" if code == "sequence_passed" else "not_run"
        return [OutOfOrder(message.request, code, run, RETRY_AFTER_S)]
    if chat.next_sequence is None and message.sequence == FIRST_SEQUENCE:
        chat.next_sequence = FIRST_SEQUENCE
    chat.waiting[message.sequence] = WaitingRequest(
        message.request, now_s, message.deadline_s
    )
    order.waiting[message.chat] = chat
    return _start_next(chat)


def handle_end(order: ChatOrder, message: Ended, now_s: float) -> list[Action]:
    """Process the end of a request, including one that was still waiting."""
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
    chat.last_change_s = now_s
    # A request that was refused without having run keeps its place: its caller will
    # resend it, and later requests must not overtake it.
    if message.ran and chat.next_sequence is not None:
        chat.next_sequence += 1
    return _start_next(chat)


def handle_timeouts(order: ChatOrder, now_s: float) -> list[Action]:
    """Refuse requests that waited too long, and start chats new to this home."""
    actions: list[Action] = []
    for name, chat in list(order.waiting.items()):
        if not chat.waiting:
            del order.waiting[name]
            continue
        if chat.next_sequence is None and _find_first_start_s(chat) <= now_s:
            chat.next_sequence = min(chat.waiting)
        actions += _refuse_timed_out(chat, now_s)
        actions += _start_next(chat)
    return actions


def forget_chats(order: ChatOrder) -> list[Action]:
    """Forget the chats, which may have another home, and refuse what waits for a turn.

    That home may have run later requests.  A chat whose request runs here is kept, so
    that no other request of it runs at the same time if it comes back.
    """
    actions: list[Action] = []
    for name, chat in list(order.chats.items()):
        actions += [
            OutOfOrder(waiting.request, HOME_MOVED, "not_run", RETRY_AFTER_S)
            for waiting in chat.waiting.values()
        ]
        chat.waiting.clear()
        if not chat.running:
            del order.chats[name]
    order.waiting.clear()
    return actions


def next_due_s(order: ChatOrder) -> float | None:
    """Return when `handle_timeouts` should next be called, or None."""
    due_times: list[float] = []
    for chat in order.waiting.values():
        if chat.waiting and chat.next_sequence is None:
            due_times.append(_find_first_start_s(chat))
        due_times += [_find_wait_limit_s(chat, sequence) for sequence in chat.waiting]
    return min(due_times, default=None)


def _find_sequence_error(chat: Chat, sequence: int) -> str:
    if sequence in chat.waiting:
        return "sequence_taken"
    if chat.next_sequence is None:
        lowest = min(chat.waiting, default=sequence)
        return "sequence_skipped" if sequence - lowest >= SEQUENCE_WINDOW else ""
    if sequence < chat.next_sequence:
        return "sequence_passed"
    if sequence == chat.next_sequence and chat.running:
        return "sequence_taken"
    if sequence - chat.next_sequence >= SEQUENCE_WINDOW:
        return "sequence_skipped"
    return ""


def _start_next(chat: Chat) -> list[Action]:
    if chat.running or chat.next_sequence not in chat.waiting:
        return []
    waiting = chat.waiting.pop(chat.next_sequence)
    chat.running = waiting.request
    return [Started(waiting.request)]


def _refuse_timed_out(chat: Chat, now_s: float) -> list[Action]:
    actions: list[Action] = []
    for sequence, waiting in sorted(chat.waiting.items()):
        if _find_wait_limit_s(chat, sequence) > now_s:
            continue
        late = waiting.deadline_s <= now_s
        code = "deadline_passed" if late else "sequence_gap"
        actions.append(OutOfOrder(waiting.request, code, "not_run", RETRY_AFTER_S))
        del chat.waiting[sequence]
    return actions


def _find_wait_limit_s(chat: Chat, sequence: int) -> float:
    """Return when a waiting request times out; later if no predecessor is missing."""
    waiting = chat.waiting[sequence]
    first = chat.next_sequence
    if first is None:
        return waiting.deadline_s
    first += bool(chat.running)
    if all(number in chat.waiting for number in range(first, sequence)):
        return waiting.deadline_s
    waiting_since_s = max(waiting.waiting_since_s, chat.last_change_s)
    return min(waiting.deadline_s, waiting_since_s + GAP_WAIT_S)


def _find_first_start_s(chat: Chat) -> float:
    first_s = min(waiting.waiting_since_s for waiting in chat.waiting.values())
    return first_s + NEW_CHAT_WAIT_S


def _evict_idle_chats(order: ChatOrder, now_s: float) -> None:
    for name, chat in list(order.chats.items())[:2]:
        is_idle = not chat.running and not chat.waiting
        is_old = chat.last_change_s + CHAT_TTL_S <= now_s
        if is_idle and (is_old or len(order.chats) > CHATS_MAX):
            del order.chats[name]
