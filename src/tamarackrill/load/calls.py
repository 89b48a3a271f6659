"""Sends one call as a client would, with retries, and reads its whole response."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import NamedTuple

import pycurl
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from tamarackrill.load.plan import PlannedCall, Session
from tamarackrill.load.results import CallResult, Outcome

ATTEMPTS_MAX = 3
RETRY_DELAY_S = 0.2
# Time past a call's deadline after which the client gives up and counts it as lost.
DEADLINE_GRACE_S = 5.0
STREAM_END = b"data: [DONE]"


class Target(NamedTuple):
    """Routers to call, and what the calls contain.

    Parameters
    ----------
    routers : tuple of str
        ``host:port`` of each router; calls go to them in round-robin order.
    keys : dict of str to str
        API key of each team.
    model, lookup_service, confirmation_service : str
        Model or service that each of the three kinds of call requests.
    tokens : int
        Tokens requested in each chat turn.
    lookup_path, confirmation_path : str
        Paths within the services.
    deadline_s : float
        Deadline sent with each call.
    run : str
        Identifier of this run; prefixes its chat IDs and idempotency keys.
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


class _Attempt(NamedTuple):
    outcome: Outcome
    code: str
    may_send_again: bool
    text: str = ""
    first_byte_s: float | None = None
    gaps_s: tuple[float, ...] = ()


class _ChunkRecorder:
    """Records the chunks of one response and their arrival times."""

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.times_s: list[float] = []

    def record(self, chunk: bytes) -> None:
        self.chunks.append(chunk)
        self.times_s.append(time.monotonic())


def make_idempotency_key(target: Target, call: PlannedCall) -> str:
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
    """Send one call and retry it until it has a final response.

    If the response is cut or the router does not answer, the client sends the call
    again, with the same key, to the next router, as the load balancer in front of the
    routers does.

    Parameters
    ----------
    client : tornado.httpclient.AsyncHTTPClient
        HTTP client; the caller closes it.
    target : Target
        Routers to call, and what the calls contain.
    session : Session
        Session of the call.
    turn : int
        Index of the call in the session.
    first_router : int
        Index of the router to try first.
    due_s : float
        When the call was due, on the monotonic clock.  Latency is taken from here, so
        that it includes waiting for a free connection; otherwise a slow fleet would
        look fast.

    Returns
    -------
    CallResult
    """
    call = session.calls[turn]
    for attempt in range(1, ATTEMPTS_MAX + 1):
        router = target.routers[(first_router + attempt - 1) % len(target.routers)]
        remaining_s = due_s + target.deadline_s + DEADLINE_GRACE_S - time.monotonic()
        last_attempt = await _attempt(
            client, target, session, turn, router, max(0.1, remaining_s)
        )
        if not last_attempt.may_send_again or attempt == ATTEMPTS_MAX:
            break
        await asyncio.sleep(RETRY_DELAY_S)
    first = last_attempt.first_byte_s
    return CallResult(
        team=session.team,
        kind=call.kind,
        marker=call.marker,
        outcome=last_attempt.outcome,
        code=last_attempt.code,
        text=last_attempt.text,
        took_s=time.monotonic() - due_s,
        first_byte_s=first - due_s if first is not None else None,
        deadline_s=target.deadline_s,
        tries=attempt,
        gaps_s=last_attempt.gaps_s,
    )


async def _attempt(
    client: AsyncHTTPClient,
    target: Target,
    session: Session,
    turn: int,
    router: str,
    timeout_s: float,
) -> _Attempt:
    call = session.calls[turn]
    recorder = _ChunkRecorder()
    request = _make_request(target, session, turn, router, timeout_s, recorder.record)
    try:
        response = await client.fetch(request, raise_error=False)
    except (HTTPClientError, OSError) as error:
        return _Attempt("lost", type(error).__name__, may_send_again=True)
    body = b"".join(recorder.chunks)
    # Tornado reports status 599 for a missing or truncated response.
    if response.code == 599:
        reason = "cut" if body else "no answer"
        return _Attempt("lost", reason, may_send_again=True)
    if response.code >= 400:
        return _read_refusal(response.code, body)
    if call.stream and STREAM_END not in body:
        return _Attempt("lost", "stream not whole", may_send_again=True)
    times_s = recorder.times_s
    gaps_s = tuple(
        later - sooner for sooner, later in zip(times_s, times_s[1:], strict=False)
    )
    first_s = times_s[0] if times_s else None
    text = body.decode("utf-8", "replace")
    return _Attempt("answered", "", False, text, first_s, gaps_s if call.stream else ())


def _read_refusal(status: int, body: bytes) -> _Attempt:
    try:
        code = str(json.loads(body)["code"])
    except (ValueError, KeyError, TypeError):
        code = f"status {status}"
    return _Attempt("refused", code, may_send_again=False)


def _make_request(
    target: Target,
    session: Session,
    turn: int,
    router: str,
    timeout_s: float,
    record: Callable[[bytes], None],
) -> HTTPRequest:
    call = session.calls[turn]
    headers = {
        "Authorization": f"Bearer {target.keys[session.team]}",
        "Request-Timeout-Ms": str(round(target.deadline_s * 1000)),
    }
    if call.kind != "lookup":
        headers["Idempotency-Key"] = make_idempotency_key(target, call)
    if session.name:
        headers["Chat-Id"] = f"{target.run}-{session.name}"
        headers["Chat-Sequence"] = str(turn + 1)
    if call.kind == "chat":
        path, method, body = (
            "/v1/chat/completions",
            "POST",
            _make_chat_body(target, call),
        )
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
        streaming_callback=record,
        # libcurl itself resends a POST if a reused connection has been closed; the
        # run would then count attempts that this tool never made.
        prepare_curl_callback=lambda curl: curl.setopt(pycurl.FRESH_CONNECT, 1),
    )


def _make_chat_body(target: Target, call: PlannedCall) -> str:
    message = {"role": "user", "content": call.marker}
    return json.dumps(
        {
            "model": target.model,
            "messages": [message],
            "max_tokens": target.tokens,
            "stream": call.stream,
        }
    )
