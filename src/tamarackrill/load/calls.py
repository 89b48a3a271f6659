"""Sends one call as a caller would, and reads its answer to the end."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import NamedTuple

import pycurl
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from tamarackrill.load.plan import PlannedCall, Session
from tamarackrill.load.results import CallResult, Outcome

TRIES_MAX = 3
RETRY_PAUSE_S = 0.2
# Time past a call's own deadline after which the caller counts it as lost.
GRACE_S = 5.0
STREAM_END = b"data: [DONE]"


class Target(NamedTuple):
    """Where calls go and what they name.

    Parameters
    ----------
    routers : tuple of str
        ``host:port`` of each router; calls go to them in turn.
    keys : dict of str to str
        Key of each team.
    model, lookup_service, confirmation_service : str
        What the three kinds of call name.
    tokens : int
        Tokens asked for in each chat turn.
    lookup_path, confirmation_path : str
        Paths within the services.
    deadline_s : float
        Deadline that each call names.
    run : str
        Identity of this run; makes its chats and keys its own.
    """

    routers: tuple[str, ...]
    keys: dict[str, str]
    model: str
    lookup_service: str
    confirmation_service: str
    tokens: int
    lookup_path: str
    confirmation_path: str
    deadline_s: float
    run: str


class _Try(NamedTuple):
    outcome: Outcome
    code: str
    may_send_again: bool
    text: str = ""
    first_byte_s: float | None = None
    gaps_s: tuple[float, ...] = ()


class _Reading:
    """Chunks of one answer with their times."""

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.times_s: list[float] = []

    def take(self, chunk: bytes) -> None:
        self.chunks.append(chunk)
        self.times_s.append(time.monotonic())


def key_of(target: Target, call: PlannedCall) -> str:
    """Return the idempotency key of a call."""
    return f"{target.run}-{call.marker}"


async def send_call(
    client: AsyncHTTPClient,
    target: Target,
    session: Session,
    turn: int,
    first_router: int,
    due_s: float,
) -> CallResult:
    """Send one call until its final answer, as a patient caller does.

    A caller whose answer is cut or whose router is gone sends the call again, with
    the same key, to the next router; the balancer in front of the routers does the
    same.

    Parameters
    ----------
    client : tornado.httpclient.AsyncHTTPClient
        Not owned.
    target : Target
        Where calls go.
    session : Session
        What the call belongs to.
    turn : int
        Which call of the session.
    first_router : int
        Index of the router to try first.
    due_s : float
        When the call was due, on the monotonic clock.  Waits for a free connection
        count as the caller's wait too, else a slow fleet would look fast.

    Returns
    -------
    Received
    """
    call = session.calls[turn]
    for attempt in range(1, TRIES_MAX + 1):
        router = target.routers[(first_router + attempt - 1) % len(target.routers)]
        left_s = due_s + target.deadline_s + GRACE_S - time.monotonic()
        found = await _try(client, target, session, turn, router, max(0.1, left_s))
        if not found.may_send_again or attempt == TRIES_MAX:
            break
        await asyncio.sleep(RETRY_PAUSE_S)
    first = found.first_byte_s
    return CallResult(
        team=session.team,
        kind=call.kind,
        marker=call.marker,
        outcome=found.outcome,
        code=found.code,
        text=found.text,
        took_s=time.monotonic() - due_s,
        first_byte_s=first - due_s if first is not None else None,
        deadline_s=target.deadline_s,
        tries=attempt,
        gaps_s=found.gaps_s,
    )


async def _try(
    client: AsyncHTTPClient,
    target: Target,
    session: Session,
    turn: int,
    router: str,
    timeout_s: float,
) -> _Try:
    call = session.calls[turn]
    reading = _Reading()
    request = _make_request(target, session, turn, router, timeout_s, reading.take)
    try:
        response = await client.fetch(request, raise_error=False)
    except (HTTPClientError, OSError) as error:
        return _Try("lost", type(error).__name__, may_send_again=True)
    body = b"".join(reading.chunks)
    # 599 is tornado's own: no answer, or one that was cut.
    if response.code == 599:
        reason = "cut" if body else "no answer"
        return _Try("lost", reason, may_send_again=True)
    if response.code >= 400:
        return _read_refusal(response.code, body)
    if call.stream and STREAM_END not in body:
        return _Try("lost", "stream not whole", may_send_again=True)
    times_s = reading.times_s
    gaps_s = tuple(
        later - sooner for sooner, later in zip(times_s, times_s[1:], strict=False)
    )
    first_s = times_s[0] if times_s else None
    text = body.decode("utf-8", "replace")
    return _Try("answered", "", False, text, first_s, gaps_s if call.stream else ())


def _read_refusal(status: int, body: bytes) -> _Try:
    try:
        code = str(json.loads(body)["code"])
    except (ValueError, KeyError, TypeError):
        code = f"status {status}"
    return _Try("refused", code, may_send_again=False)


def _make_request(
    target: Target,
    session: Session,
    turn: int,
    router: str,
    timeout_s: float,
    take: Callable[[bytes], None],
) -> HTTPRequest:
    call = session.calls[turn]
    headers = {
        "Authorization": f"Bearer {target.keys[session.team]}",
        "Request-Timeout-Ms": str(round(target.deadline_s * 1000)),
    }
    if call.kind != "lookup":
        headers["Idempotency-Key"] = key_of(target, call)
    if session.name:
        headers["Chat-Id"] = f"{target.run}-{session.name}"
        headers["Chat-Sequence"] = str(turn + 1)
    if call.kind == "chat":
        path, method, body = "/v1/chat/completions", "POST", _write_chat(target, call)
    elif call.kind == "lookup":
        path = f"/services/{target.lookup_service}{target.lookup_path}"
        path, method, body = f"{path}?marker={call.marker}", "GET", None
    else:
        path = f"/services/{target.confirmation_service}{target.confirmation_path}"
        method, body = "POST", json.dumps({"marker": call.marker})
    return HTTPRequest(
        f"http://{router}{path}",
        method,
        headers=headers,
        body=body,
        request_timeout=timeout_s,
        connect_timeout=min(2.0, timeout_s),
        streaming_callback=take,
        # libcurl sends a POST a second time by itself when a reused connection was
        # closed meanwhile; the run would then count tries that it never made.
        prepare_curl_callback=lambda curl: curl.setopt(pycurl.FRESH_CONNECT, 1),
    )


def _write_chat(target: Target, call: PlannedCall) -> str:
    message = {"role": "user", "content": call.marker}
    return json.dumps(
        {
            "model": target.model,
            "messages": [message],
            "max_tokens": target.tokens,
            "stream": call.stream,
        }
    )
