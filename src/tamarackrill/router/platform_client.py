"""Client of an object store: lists, watches and conditional writes.

The same client serves all stores that routers read; what differs between them (paths
and fields) is passed as a `StoreApi`.
"""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar
from urllib.parse import quote

import pycurl
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
)

from tamarackrill.contracts import Vm, read_vm
from tamarackrill.decisions.capacity.store_answers import (
    AnswerLimits,
    has_too_many_entries,
)
from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.lenient_json import decode_in_steps
from tamarackrill.router.store_fetch import CallProgress, fetch, make_curl_setup
from tamarackrill.store_api import (
    Listing,
    ObjectPage,
    PlatformObject,
    Reading,
    StoreApi,
    WriteRequest,
    WriteResult,
    make_object,
    read_each,
    read_revision,
)

_T = TypeVar("_T")
CALL_TIMEOUT_S = 2.0
# The largest value that the store holds, a megabyte, takes 1.7 s over 5 Mbit/s.
BODY_MAX_S = 3.0
WATCH_WAIT_S = 25.0
# Digits of a number that fits into 64 bits.
_ERA_DIGITS_MAX = 18
# Of an answer in memory; decoded, it takes up to ten times that.  A page of a list has
# a megabyte at most, but the product's own store lists a kind at once.
ANSWER_MAX_BYTES = 16 * 1024 * 1024
DEFAULT_LIMITS = AnswerLimits(ANSWER_MAX_BYTES, 4 * ANSWER_MAX_BYTES)
CONFLICTS = (409, 412)
NOT_FOUND = 404
GONE = 410


class StoreTiming(NamedTuple):
    """Timeouts of a client of a store.

    Parameters
    ----------
    call_s : float
        Timeout of a call; added to its wait for a watch.
    watch_wait_s : float
        Maximum wait of a watch for a change.
    """

    call_s: float = CALL_TIMEOUT_S
    watch_wait_s: float = WATCH_WAIT_S


class StoreCall(NamedTuple):
    """A completed call to a store.

    Parameters
    ----------
    kind : {"read", "watch", "write"}
        Type of call.
    path : str
        Path and query of the call.
    outcome : str
        Status of the answer, or why there was none.
    first_byte_s : float
        Time from the call to the first byte of the answer, or to the end if none came.
    duration_s : float
        Time from the call to its end.
    size_bytes : int
        Size of the answer.
    era : int
        Era of the store according to the answer; 0 if unknown.
    """

    kind: str
    path: str
    outcome: str
    first_byte_s: float
    duration_s: float
    size_bytes: int
    era: int


UNANSWERED = "unanswered"
TOO_LONG = "too long"


class _Answer(NamedTuple):
    """Status, parsed body, size and era of an answer."""

    code: int
    body: Any
    size_bytes: int
    era: int


class WatchLost(PlatformUnavailable):
    """The platform no longer has the requested revision; list again."""

    code = "watch_lost"


class AnswerTooLong(PlatformUnavailable):
    """The answer exceeds the size limit and was not read."""

    code = "answer_too_long"


class PlatformClient:
    """Client of the platform's object API.

    Parameters
    ----------
    address : str
        ``host:port`` of the platform.
    zone : str
        Availability zone of this VM, sent with each call.
    client : tornado.httpclient.AsyncHTTPClient
        Not owned; the application object closes it.
    form : StoreApi, optional
        Paths and fields of the store; by default those of the stand-in for tests.
    timing : StoreTiming, optional
        Timeouts.

    Attributes
    ----------
    on_call : callable
        Called with each `StoreCall` that has ended.
    limits : AnswerLimits
        Bounds of the store's answers.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        client: AsyncHTTPClient,
        form: StoreApi | None = None,
        timing: StoreTiming | None = None,
    ) -> None:
        self._form = form or STAND_IN_FORM
        self._timing = timing or StoreTiming()
        self._base = f"http://{address}{self._form.base}"
        self._headers = {"Zone": zone}
        self._client = client
        self.on_call: Callable[[StoreCall], None] = lambda call: None
        self.limits = DEFAULT_LIMITS
        # Pages of the lists that are being read.
        self._listed_bytes = 0

    @property
    def watch_wait_s(self) -> float:
        """Default maximum wait of a watch."""
        return self._timing.watch_wait_s

    async def get(self, kind: str, name: str) -> PlatformObject | None:
        """Return one object, or None if there is none.

        Raises
        ------
        PlatformUnavailable
            If the platform did not answer.
        """
        return (await self.read(kind, name)).found

    async def read(self, kind: str, name: str) -> Reading:
        """Return one object, or None if there is none, and the era of the answer.

        Raises
        ------
        PlatformUnavailable
            If the platform did not answer.
        """
        answer = await self._call("GET", self._form.object_path(kind, name))
        if answer.code == NOT_FOUND:
            _check_missing(answer.body)
            return Reading(None, answer.era)
        return Reading(_parse(self._form.read_object, kind, answer.body), answer.era)

    async def list(
        self,
        kind: str,
        on_first_byte: Callable[[], None] = lambda: None,
        allows_stale: bool = False,
    ) -> Listing:
        """Return all objects of a kind, page by page.

        The revision is that of the first page, so that the next watch reports objects
        that change between two pages again, and none is missed.

        Parameters
        ----------
        kind : str
            Kind of objects.
        on_first_byte : callable, optional
            Called when the first page begins to arrive.
        allows_stale : bool, default=False
            Whether the answer may be seconds old.
        """

        def find_path(after: str) -> str:
            path = self._form.list_path(kind, after)
            return self._form.stale_path(path) if allows_stale else path

        answer = await self._call("GET", find_path(""), on_first_byte=on_first_byte)
        page = _parse(self._form.read_page, kind, answer.body)
        revision, era = page.revision, answer.era
        items = list(page.items)
        size_bytes = 0
        try:
            while True:
                size_bytes += answer.size_bytes
                self._listed_bytes += answer.size_bytes
                if not page.after:
                    return Listing(tuple(items), revision, size_bytes, era)
                if self._listed_bytes > self.limits.lists_max_bytes:
                    raise PlatformUnavailable(f"platform: the list of {kind} is long")
                answer = await self._call("GET", find_path(page.after))
                if answer.era != era:
                    raise WatchLost(f"the store was restored while {kind} was listed")
                before = page.after
                page = _parse(self._form.read_page, kind, answer.body)
                if page.after == before:
                    raise PlatformUnavailable(
                        f"platform: the list of {kind} has no end"
                    )
                items += page.items
        finally:
            self._listed_bytes -= size_bytes

    async def watch(
        self,
        kind: str,
        since: int,
        wait_s: float | None = None,
        on_first_byte: Callable[[], None] = lambda: None,
        max_bytes: int | None = None,
    ) -> Listing:
        """Return the changes after a revision; waits until there is one.

        Parameters
        ----------
        kind : str
            Kind of objects.
        since : int
            Revision.
        wait_s : float, optional
            Maximum wait for a change; 0 returns at once.
        on_first_byte : callable, optional
            Called when the answer begins to arrive.
        max_bytes : int, optional
            Size above which the answer is not read.

        Raises
        ------
        WatchLost
            If the platform no longer has that revision.
        AnswerTooLong
            If the answer exceeds `max_bytes`.
        PlatformUnavailable
            If the platform did not answer.
        """
        wait_s = self._timing.watch_wait_s if wait_s is None else wait_s
        path = self._form.watch_path(kind, since, wait_s)
        return await self._read_changes(
            kind, since, path, self._form.read_events, wait_s, on_first_byte, max_bytes
        )

    async def read_history(self, kind: str, since: int) -> Listing:
        """Return past changes, of removed objects with their last contents if told.

        The answer may lack the changes of the last seconds.

        Parameters
        ----------
        kind : str
            Kind of objects.
        since : int
            Revision.

        Raises
        ------
        WatchLost
            If the platform no longer has that revision.
        AnswerTooLong
            If there are too many changes.
        PlatformUnavailable
            If the platform did not answer.
        """
        path = self._form.stale_path(self._form.watch_path(kind, since, 0.0))
        return await self._read_changes(kind, since, path, self._form.read_history)

    async def _read_changes(
        self,
        kind: str,
        since: int,
        path: str,
        read: Callable[[str, Any], Listing],
        wait_s: float = 0.0,
        on_first_byte: Callable[[], None] = lambda: None,
        max_bytes: int | None = None,
    ) -> Listing:
        timeout_s = wait_s + self._timing.call_s
        answer = await self._call(
            "GET", path, timeout_s, on_first_byte=on_first_byte, max_bytes=max_bytes
        )
        if answer.code == GONE:
            raise WatchLost(f"revision {since} of {kind} is gone")
        listing = _parse(read, kind, answer.body)
        return listing._replace(size_bytes=answer.size_bytes, era=answer.era)

    async def list_vms(self) -> tuple[Vm, ...]:
        """Return the VM list."""
        answer = await self._call("GET", "/vms")
        _check_field(answer.body, "vms")
        try:
            return read_each("vm", read_vm, answer.body["vms"])
        except TypeError as error:
            raise PlatformUnavailable("platform: the VM list is malformed") from error

    async def put(
        self, kind: str, name: str, value: Any, expected_version: int | None
    ) -> WriteResult:
        """Write an object if it still has the expected version.

        Parameters
        ----------
        kind, name : str
            Kind and name of the object.
        value : object
            JSON value.
        expected_version : int or None
            None if the object must not exist.

        Returns
        -------
        WriteResult

        Raises
        ------
        PlatformUnavailable
            If there was no answer; the write may have taken effect.
        """
        request = self._form.make_put(kind, name, value, expected_version)
        return await self._write(kind, request, is_new=expected_version is None)

    async def delete(self, kind: str, name: str, expected_version: int) -> WriteResult:
        """Delete an object if it still has the expected version."""
        request = self._form.make_delete(kind, name, expected_version)
        return await self._write(kind, request, is_new=False)

    async def _write(
        self, kind: str, request: WriteRequest, is_new: bool
    ) -> WriteResult:
        method, path, headers, text, read_version = request
        answer = await self._call(method, path, None, headers, text)
        if answer.code in CONFLICTS:
            current = _parse(self._form.read_conflict, kind, answer.body)
            return WriteResult(None, current, answer.era)
        if answer.code == NOT_FOUND and not is_new:
            _check_missing(answer.body)
            return WriteResult(None, None, answer.era)
        if answer.code in (NOT_FOUND, GONE):
            raise PlatformUnavailable(f"platform: status {answer.code} for a write")
        version = _parse(lambda kind, body: read_version(body), kind, answer.body)
        return WriteResult(version, None, answer.era)

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float | None = None,
        headers: dict[str, str] | None = None,
        text: str | None = None,
        on_first_byte: Callable[[], None] = lambda: None,
        max_bytes: int | None = None,
    ) -> _Answer:
        started_s = time.monotonic()
        kind = "watch" if timeout_s else "read" if method == "GET" else "write"
        progress = CallProgress(on_first_byte)
        outcome, era = UNANSWERED, 0
        try:
            answer = await self._send(
                method, path, timeout_s, headers, text, progress, max_bytes
            )
            outcome, era = str(answer.code), answer.era
            return answer
        except AnswerTooLong:
            outcome = TOO_LONG
            raise
        finally:
            ended_s = time.monotonic()
            first_byte_s = (progress.first_byte_s or ended_s) - started_s
            self.on_call(
                StoreCall(
                    kind,
                    path,
                    outcome,
                    first_byte_s,
                    ended_s - started_s,
                    progress.size_bytes,
                    era,
                )
            )

    async def _send(
        self,
        method: str,
        path: str,
        timeout_s: float | None,
        headers: dict[str, str] | None,
        text: str | None,
        progress: CallProgress,
        max_bytes: int | None,
    ) -> _Answer:
        first_byte_s = timeout_s or self._timing.call_s
        answer_max_bytes = self.limits.answer_max_bytes
        is_write = method != "GET"
        request = HTTPRequest(
            self._base + path,
            method,
            headers={**self._headers, **(headers or {})},
            body=text,
            request_timeout=first_byte_s + BODY_MAX_S,
            connect_timeout=self._timing.call_s,
            allow_nonstandard_methods=True,
            prepare_curl_callback=make_curl_setup(
                progress, min(max_bytes or answer_max_bytes, answer_max_bytes), is_write
            ),
            header_callback=progress.handle_header_line,
        )
        try:
            response = await fetch(
                self._client, request, progress.first_byte, first_byte_s
            )
        except (HTTPClientError, OSError) as error:
            is_long = getattr(error, "errno", None) == pycurl.E_FILESIZE_EXCEEDED
            # The list that replaces a watch comes in pages.
            if (is_long or progress.is_too_long) and timeout_s is not None:
                raise AnswerTooLong("the answer exceeds the size limit") from error
            # The TimeoutError of a missing first byte has no message.
            raise PlatformUnavailable(f"platform: {error or repr(error)}") from error
        progress.size_bytes = len(response.body or b"")
        is_expected = response.code in (*CONFLICTS, NOT_FOUND, GONE)
        if response.error is not None and not is_expected:
            raise PlatformUnavailable(f"platform: {response.error}")
        if not progress.has_head:
            raise PlatformUnavailable("platform: the answer ended within its head")
        era = _parse_era(response.headers.get(self._form.era_header, ""))
        body = await _parse_json(response.body)
        return _Answer(response.code, body, progress.size_bytes, era)


def _parse_era(text: str) -> int:
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= _ERA_DIGITS_MAX else 0


def _parse(read: Callable[[str, Any], _T], kind: str, body: Any) -> _T:
    # The address may belong to another service, such as a router, whose JSON differs.
    try:
        return read(kind, body)
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise PlatformUnavailable(
            "platform: the answer is not one of an object API"
        ) from error


def _check_missing(body: Any) -> None:
    # A server that isn't a store has a 404 of its own, often without JSON.
    if not isinstance(body, dict):
        raise PlatformUnavailable("platform: the 404 is not one of an object API")


def _check_field(body: Any, field: str) -> None:
    # The address may belong to another service, such as a router, whose JSON differs.
    if not isinstance(body, dict) or field not in body:
        raise PlatformUnavailable("platform: the answer is not one of an object API")


async def _decode_yielding(body: bytes) -> Any:
    """Decode JSON, and let other tasks run meanwhile if that takes long."""
    steps = decode_in_steps(body)
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            return ended.value
        await asyncio.sleep(0)


async def _parse_json(body: bytes) -> Any:
    if has_too_many_entries(body):
        raise PlatformUnavailable("platform: the answer has too many entries")
    try:
        return await _decode_yielding(body)
    except ValueError as error:
        raise PlatformUnavailable("platform: the answer is not valid JSON") from error


def _parse_object(kind: str, fields: Any) -> PlatformObject:
    return make_object(kind, fields["name"], fields["version"], fields["value"])


def _parse_conflict(kind: str, body: Any) -> PlatformObject | None:
    return _parse_object(kind, body["current"]) if body["current"] else None


def _make_write(
    method: str, kind: str, name: str, text: str | None, expected_version: int | None
) -> WriteRequest:
    condition = (
        {"If-None-Match": "*"}
        if expected_version is None
        else {"If-Match": str(expected_version)}
    )
    return WriteRequest(
        method,
        _object_path(kind, name),
        condition,
        text,
        lambda body: read_revision(body["version"]),
    )


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{kind}/{quote(name, safe='')}"


def _parse_objects(
    kind: str, body: Any, field: str
) -> tuple[tuple[PlatformObject, ...], int]:
    """Return the objects of an answer, and its revision."""
    objects = read_each(kind, lambda fields: _parse_object(kind, fields), body[field])
    return objects, read_revision(body["revision"])


STAND_IN_FORM = StoreApi(
    base="/v1",
    list_path=lambda kind, after: f"/objects/{kind}",
    watch_path=lambda kind, since, wait_s: (
        f"/watch/{kind}?since={since}&wait_s={wait_s}"
    ),
    stale_path=lambda path: path,
    object_path=_object_path,
    make_put=lambda kind, name, value, expected_version: _make_write(
        "PUT", kind, name, json.dumps(value), expected_version
    ),
    make_delete=lambda kind, name, expected_version: _make_write(
        "DELETE", kind, name, None, expected_version
    ),
    read_page=lambda kind, body: ObjectPage(*_parse_objects(kind, body, "items")),
    read_events=lambda kind, body: Listing(*_parse_objects(kind, body, "events")),
    read_history=lambda kind, body: Listing(*_parse_objects(kind, body, "events")),
    read_object=_parse_object,
    read_conflict=_parse_conflict,
)
