"""Headers that clients, endpoints and routers exchange on the platform."""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from tornado.httputil import HTTPHeaders

from tamarackrill.decisions.prompts import PromptPart

# The key never leaves the router.  All others here are the router's to set: one that a
# client sent could spend another team's rights or an engine's memory.
_NOT_FORWARDED = frozenset(
    {
        "x-api-key",
        "x-tenant-id",
        "x-deadline-ms",
        "x-expect-instance",
        "x-expect-version",
        "x-request-priority",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        "last-event-id",
        "content-length",
    }
)
_CONNECTION_ONLY = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)


class RequestHeaders(NamedTuple):
    """What the headers of a client's request say.

    Parameters
    ----------
    request_id : str
        Identifies one attempt of the client.
    wait_s : float or None
        How long the client waits from now; None if it did not say.
    key : str
        Key of the team; empty if there is none.
    last_event_id : int or None
        The client has the events of the stream up to this one.
    prompt_parts : tuple of PromptPart
        Parts of the prompt, in order; the last is the request's own.
    tokens : int
        Tokens of the prompt.
    forwarded : tuple of (str, str)
        The client's headers that an endpoint gets unchanged.
    """

    request_id: str
    wait_s: float | None
    key: str
    last_event_id: int | None
    prompt_parts: tuple[PromptPart, ...]
    tokens: int
    forwarded: tuple[tuple[str, str], ...]


class ResponseHeaders(NamedTuple):
    """What the headers of an endpoint's answer say.

    Parameters
    ----------
    request_id : str
        The request that it answers; an extra answer may belong to an earlier one.
    is_signed : bool
        Whether it carries the proof that an endpoint made it.
    has_not_run : bool
        Whether the endpoint says that it did not run the request.
    has_content_encoding : bool
        Whether the body is not the endpoint's own.
    load : int or None
        Requests that run and wait there, if it says.
    idle_max_s : float or None
        How long the connection may be idle; None if it did not say.
    is_event_stream : bool
        Whether the body is a stream of events.
    """

    request_id: str
    is_signed: bool
    has_not_run: bool
    has_content_encoding: bool
    load: int | None
    idle_max_s: float | None
    is_event_stream: bool


def parse_request_headers(headers: HTTPHeaders) -> RequestHeaders:
    """Return what a client's headers say; what can't be read counts as left out."""
    wait_ms = _read_number(headers.get("X-Deadline-Ms"))
    last_id = _read_number(headers.get("Last-Event-Id"))
    return RequestHeaders(
        request_id=headers.get("X-Request-Attempt-Id", ""),
        wait_s=None if wait_ms is None else wait_ms / 1000,
        key=headers.get("X-Api-Key", ""),
        last_event_id=None if last_id is None else int(last_id),
        prompt_parts=_read_parts(headers.get("X-Prompt-Prefix", "")),
        # The first number is the prompt; the second bounds the answer.
        tokens=int(
            _read_number(headers.get("X-Token-Count", "").partition(",")[0]) or 0
        ),
        forwarded=tuple(_list_forwarded(headers)),
    )


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    prompt_parts = []
    for entry in text.split(","):
        name, _, tokens = entry.strip().partition(":")
        if name:
            prompt_parts.append(PromptPart(name, int(_read_number(tokens) or 0)))
    return tuple(prompt_parts)


def _read_number(text: str | None) -> float | None:
    try:
        number = float(text) if text else math.nan
    except ValueError:
        return None
    return max(0.0, number) if math.isfinite(number) else None


def _list_forwarded(headers: HTTPHeaders) -> Iterable[tuple[str, str]]:
    named = {n.strip().lower() for n in headers.get("Connection", "").split(",")}
    for name, value in headers.get_all():
        lowered = name.lower()
        if lowered in _NOT_FORWARDED or lowered in _CONNECTION_ONLY:
            continue
        if lowered not in named:
            yield name, value


def build_request_headers(
    call: RequestHeaders,
    endpoint_id: str,
    team: str | None,
    time_left_s: float,
    body_bytes: int | None,
    last_event_id: int | None,
    copy_from: str | None = None,
    priority: int | None = None,
) -> list[tuple[str, str]]:
    """Return the headers of a request to an endpoint.

    Parameters
    ----------
    call : RequestHeaders
        What the client sent.
    endpoint_id : str
        Any other endpoint that has the address by now answers 421.
    team : str or None
        None if the route is anonymous.
    time_left_s : float
        After it the endpoint stops.
    body_bytes : int or None
        None for a request without a body.
    last_event_id : int or None
        The stream goes on after this event.
    copy_from : str or None, default=None
        Address of an engine from which the endpoint copies what it lacks of the
        prompt's cached parts.
    priority : int or None, default=None
        Rank among the requests of an engine, 0 to 9; the first is served first.
    """
    headers = list(call.forwarded)
    headers.append(("X-Deadline-Ms", str(max(1, int(time_left_s * 1000)))))
    headers.append(("X-Expect-Instance", endpoint_id))
    if team is not None:
        headers.append(("X-Tenant-Id", team))
    if last_event_id is not None:
        headers.append(("Last-Event-Id", str(last_event_id)))
    if copy_from is not None:
        headers.append(("Kv-Fetch", copy_from))
    if priority is not None:
        headers.append(("X-Request-Priority", str(priority)))
    if body_bytes is not None:
        headers.append(("Content-Length", str(body_bytes)))
    return headers


def parse_response_headers(headers: Mapping[str, str]) -> ResponseHeaders:
    """Return what an endpoint's headers say; their names are in lower case."""
    kind = headers.get("content-type", "")
    return ResponseHeaders(
        request_id=headers.get("x-request-attempt-id", ""),
        is_signed="x-response-signature" in headers,
        has_not_run="x-not-executed" in headers,
        has_content_encoding="content-encoding" in headers,
        load=_read_load(headers.get("x-instance-load", "")),
        idle_max_s=_read_idle(headers.get("keep-alive", "")),
        is_event_stream=kind.startswith("text/event-stream"),
    )


def _read_load(text: str) -> int | None:
    # Requests that run, that wait, and slots; the last is known from the list.
    numbers = text.split(",")
    try:
        return int(numbers[0]) + int(numbers[1])
    except (IndexError, ValueError):
        return None


def _read_idle(text: str) -> float | None:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return _read_number(value)
    return None


def filter_response_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return an endpoint's headers that its client gets, unchanged."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _CONNECTION_ONLY and name.lower() != "content-length"
    ]


def build_error_headers(request_id: str, retry_after_s: float | None) -> dict[str, str]:
    """Return the headers of an answer of the router's own."""
    headers = {"Content-Type": "application/json"}
    if request_id:
        headers["X-Request-Attempt-Id"] = request_id
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.3f}"
    return headers
