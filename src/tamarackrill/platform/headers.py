"""HTTP headers between clients, routers and endpoints on the platform."""

import math
import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from tornado.httputil import HTTPHeaders

from tamarackrill.decisions.capacity.load_reports import LoadFigures
from tamarackrill.decisions.prompts import PromptPart

# Client headers that are not forwarded.  The API key never leaves the router.  Only the
# router may set the others: otherwise a client could use another team's rights or an
# engine's memory.
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
_HOP_BY_HOP = frozenset(
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

_LOAD_HEADER = "x-instance-load"
# Numbers beyond it are taken for it.  Routers tell each other tokens and rejections as
# 32-bit integers, and numbers of hundreds of digits can't be calculated with.
COUNT_MAX = (1 << 31) - 1
# Three or four integers.  `int` alone would also accept underscores, and the limit
# keeps it from converting thousands of digits.
_LOAD_FORMAT = re.compile(r"[+-]?[0-9]{1,18}(?:\s*,\s*[+-]?[0-9]{1,18}){2,3}")


class RequestHeaders(NamedTuple):
    """Parsed headers of a client's request.

    Parameters
    ----------
    request_id : str
        Identifies one attempt of the client.
    wait_s : float or None
        The client's timeout, counted from now; None if not given.
    key : str
        API key of the team; empty if not given.
    last_event_id : int or None
        Last event of the stream that the client has received.
    resumed_id : str
        The client's attempt that brought the first event of the stream that this one
        takes up; empty if not given.
    prompt_parts : tuple of PromptPart
        Parts of the prompt, in order; the last is specific to this request.
    prompt_tokens : int
        Length of the prompt in tokens.
    model : str
        Model that is to answer; empty if not given.
    forwarded_headers : tuple of (str, str)
        Headers that the endpoint receives unchanged.
    """

    request_id: str
    wait_s: float | None
    key: str
    last_event_id: int | None
    resumed_id: str
    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    model: str
    forwarded_headers: tuple[tuple[str, str], ...]


class ResponseHeaders(NamedTuple):
    """Parsed headers of an endpoint's response.

    Parameters
    ----------
    request_id : str
        The request that it answers; a surplus response may belong to an earlier one.
    is_signed : bool
        Whether it carries an endpoint's signature.
    has_not_run : bool
        Whether the endpoint states that it did not execute the request.
    has_content_encoding : bool
        Whether the body was encoded, and so is not as the endpoint produced it.
    has_load : bool
        Whether the endpoint states its load, possibly malformed.
    load : LoadFigures or None
        That load; None if not given or malformed.
    idle_max_s : float or None
        Idle timeout of the connection; None if not given.
    is_event_stream : bool
        Whether the body is an event stream.
    is_leaving : bool
        Whether the endpoint states that it is leaving.
    retry_after_s : float or None
        How long the endpoint asks for no further requests of this router; None if it
        doesn't.
    rejections_max : int or None
        Requests that the endpoint may turn away per second without falling over; None
        if it doesn't say that it is brittle.
    """

    request_id: str
    is_signed: bool
    has_not_run: bool
    has_content_encoding: bool
    has_load: bool
    load: LoadFigures | None
    idle_max_s: float | None
    is_event_stream: bool
    is_leaving: bool
    retry_after_s: float | None
    rejections_max: int | None


def parse_request_headers(headers: HTTPHeaders) -> RequestHeaders:
    """Parse a client's headers; a malformed value is treated as missing."""
    wait_ms = _read_number(headers.get("X-Deadline-Ms"))
    last_id = _read_number(headers.get("Last-Event-Id"))
    return RequestHeaders(
        request_id=headers.get("X-Request-Attempt-Id", ""),
        wait_s=None if wait_ms is None else wait_ms / 1000,
        key=headers.get("X-Api-Key", ""),
        last_event_id=None if last_id is None else int(last_id),
        resumed_id=headers.get("Resumes", ""),
        prompt_parts=_read_parts(headers.get("X-Prompt-Prefix", "")),
        # The first number is the length of the prompt, the second the maximum length of
        # the answer.
        prompt_tokens=_read_count(headers.get("X-Token-Count", "").partition(",")[0])
        or 0,
        model=headers.get("X-Model", ""),
        forwarded_headers=tuple(_list_forwarded(headers)),
    )


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    prompt_parts = []
    for entry in text.split(","):
        name, _, tokens = entry.strip().partition(":")
        if name:
            prompt_parts.append(PromptPart(name, _read_count(tokens) or 0))
    return tuple(prompt_parts)


def _read_number(text: str | None) -> float | None:
    # `float` also reads underscores and the digits of other scripts.
    if not text or not text.isascii() or "_" in text:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return max(0.0, number) if math.isfinite(number) else None


def _read_count(text: str | None) -> int | None:
    number = _read_number(text)
    return None if number is None else int(min(number, COUNT_MAX))


def _list_forwarded(headers: HTTPHeaders) -> Iterable[tuple[str, str]]:
    connection_options = {
        n.strip().lower() for n in headers.get("Connection", "").split(",")
    }
    for name, value in headers.get_all():
        lowered = name.lower()
        if lowered in _NOT_FORWARDED or lowered in _HOP_BY_HOP:
            continue
        if lowered not in connection_options:
            yield name, value


def build_request_headers(
    client_headers: RequestHeaders,
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
    client_headers : RequestHeaders
        Headers of the client's request.
    endpoint_id : str
        Id of the endpoint.  Another endpoint that has taken over its address answers
        421.
    team : str or None
        Name of the team; None if the route is anonymous.
    time_left_s : float
        Time until the endpoint gives up.
    body_bytes : int or None
        Length of the body; None for a request without one.
    last_event_id : int or None
        The stream resumes after this event.
    copy_from : str or None, default=None
        Address of an engine from which the endpoint copies the cached parts of the
        prompt that it lacks.
    priority : int or None, default=None
        Priority among the requests of an engine, 0 to 9; 0 is served first.
    """
    headers = list(client_headers.forwarded_headers)
    headers.append(("X-Deadline-Ms", str(max(1, int(time_left_s * 1000)))))
    headers.append(("X-Expect-Instance", _encode_text(endpoint_id)))
    if team is not None:
        headers.append(("X-Tenant-Id", _encode_text(team)))
    if last_event_id is not None:
        headers.append(("Last-Event-Id", str(last_event_id)))
    if copy_from is not None:
        headers.append(("Kv-Fetch", copy_from))
    if priority is not None:
        headers.append(("X-Request-Priority", str(priority)))
    if body_bytes is not None:
        headers.append(("Content-Length", str(body_bytes)))
    return headers


def _encode_text(text: str) -> str:
    """Return a text as the value of a header, one character for each byte of it."""
    return text.encode("utf-8", "surrogatepass").decode("latin-1")


def read_request_id(headers: Iterable[tuple[str, str]]) -> str:
    """Return the id of a request to an endpoint; empty if it has none."""
    return _find_header(headers, "x-request-attempt-id")


def is_resumption(headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether a request to an endpoint asks for the rest of a stream."""
    return bool(_find_header(headers, "last-event-id"))


def _find_header(headers: Iterable[tuple[str, str]], lowered: str) -> str:
    return next((value for name, value in headers if name.lower() == lowered), "")


def shorten_deadline(
    headers: Iterable[tuple[str, str]], spent_s: float
) -> list[tuple[str, str]]:
    """Return the headers of a request to an endpoint, with less time left.

    Parameters
    ----------
    headers : iterable of (str, str)
        Headers from `build_request_headers`.
    spent_s : float
        Time since they were built.
    """
    shortened = []
    for name, value in headers:
        if name.lower() == "x-deadline-ms":
            left_ms = (_read_number(value) or 0.0) - 1000 * spent_s
            value = str(max(1, int(left_ms)))
        shortened.append((name, value))
    return shortened


def parse_response_headers(headers: Mapping[str, str]) -> ResponseHeaders:
    """Parse an endpoint's headers, whose names are in lower case."""
    content_type = headers.get("content-type", "")
    return ResponseHeaders(
        request_id=headers.get("x-request-attempt-id", ""),
        is_signed="x-response-signature" in headers,
        has_not_run="x-not-executed" in headers,
        has_content_encoding="content-encoding" in headers,
        has_load=_LOAD_HEADER in headers,
        load=_read_load(headers.get(_LOAD_HEADER, "")),
        idle_max_s=_read_idle_timeout(headers.get("keep-alive", "")),
        is_event_stream=content_type.startswith("text/event-stream"),
        is_leaving=headers.get("server-leaving", "") == "1",
        # In seconds; a date, which HTTP allows too, is not used on the platform.
        retry_after_s=_read_number(headers.get("retry-after")),
        rejections_max=_read_count(headers.get("server-brittle")),
    )


def _read_load(text: str) -> LoadFigures | None:
    if not _LOAD_FORMAT.fullmatch(text.strip()):
        return None
    return LoadFigures(*map(int, text.split(",")))


def _read_idle_timeout(text: str) -> float | None:
    for parameter in text.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout":
            return _read_number(value)
    return None


def filter_response_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers of an endpoint's response that its client receives."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP and name.lower() != "content-length"
    ]


def build_error_headers(request_id: str, retry_after_s: float | None) -> dict[str, str]:
    """Return the headers of an error response that the router generates."""
    headers = {"Content-Type": "application/json"}
    if request_id:
        headers["X-Request-Attempt-Id"] = request_id
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.3f}"
    return headers
