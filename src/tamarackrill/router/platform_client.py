"""Client of the platform's object API; the only module that knows its form."""

import json
from typing import Any, NamedTuple
from urllib.parse import quote

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from tamarackrill.contracts import Vm
from tamarackrill.exceptions import PlatformUnavailable

CALL_TIMEOUT_S = 2.0
WATCH_WAIT_S = 25.0
CONFLICT = 412
NOT_FOUND = 404
GONE = 410


class PlatformObject(NamedTuple):
    """One version of an object; a value of None is a deletion."""

    kind: str
    name: str
    version: int
    value: Any


class Listing(NamedTuple):
    """Objects of a kind, and the revision up to which they are known."""

    items: tuple[PlatformObject, ...]
    revision: int


class WriteResult(NamedTuple):
    """Outcome of a conditional write that was answered.

    Parameters
    ----------
    version : int or None
        Version written, or None if the condition did not hold.
    current : PlatformObject or None
        What stood there instead, if the condition did not hold.
    """

    version: int | None
    current: PlatformObject | None


class WatchLost(PlatformUnavailable):
    """The platform no longer knows the revision asked for; list again."""

    code = "watch_lost"


class PlatformClient:
    """Calls of the object API.

    Parameters
    ----------
    address : str
        ``host:port`` of the platform.
    zone : str
        Availability zone of this VM, sent with each call.
    client : tornado.httpclient.AsyncHTTPClient
        Not owned; the application object closes it.
    """

    def __init__(self, address: str, zone: str, client: AsyncHTTPClient) -> None:
        self._base = f"http://{address}/v1"
        self._headers = {"Zone": zone}
        self._client = client

    async def get(self, kind: str, name: str) -> PlatformObject | None:
        """Return one object, or None if there is none.

        Raises
        ------
        PlatformUnavailable
            If the platform did not answer.
        """
        code, body = await self._call("GET", self._path(kind, name))
        return PlatformObject(**body) if code != NOT_FOUND else None

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind."""
        _, body = await self._call("GET", f"/objects/{kind}")
        items = _read_items(body, "items")
        return Listing(items, body["revision"])

    async def watch(
        self, kind: str, since: int, wait_s: float | None = None
    ) -> Listing:
        """Return what changed after a revision; waits for a change.

        Parameters
        ----------
        kind : str
            Kind of objects.
        since : int
            Revision.
        wait_s : float, optional
            Longest wait for a change; 0 asks for what there is.

        Raises
        ------
        WatchLost
            If the platform has forgotten that revision.
        PlatformUnavailable
            If the platform did not answer.
        """
        wait_s = WATCH_WAIT_S if wait_s is None else wait_s
        path = f"/watch/{kind}?since={since}&wait_s={wait_s}"
        code, body = await self._call("GET", path, wait_s + CALL_TIMEOUT_S)
        if code == GONE:
            raise WatchLost(f"revision {since} of {kind} is gone")
        items = _read_items(body, "events")
        return Listing(items, body["revision"])

    async def list_vms(self) -> tuple[Vm, ...]:
        """Return the VM list."""
        _, body = await self._call("GET", "/vms")
        _check_form(body, "vms")
        return tuple(Vm(**vm) for vm in body["vms"])

    async def put(
        self, kind: str, name: str, value: Any, expected_version: int | None
    ) -> WriteResult:
        """Write an object if its version is still the expected one.

        Parameters
        ----------
        kind, name : str
            Which object.
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
            If no answer came.  The write may have taken effect.
        """
        text = json.dumps(value)
        return await self._write("PUT", kind, name, expected_version, text)

    async def delete(
        self, kind: str, name: str, expected_version: int | None
    ) -> WriteResult:
        """Delete an object if its version is still the expected one."""
        return await self._write("DELETE", kind, name, expected_version, None)

    async def _write(
        self,
        method: str,
        kind: str,
        name: str,
        expected_version: int | None,
        text: str | None,
    ) -> WriteResult:
        if expected_version is None:
            condition = {"If-None-Match": "*"}
        else:
            condition = {"If-Match": str(expected_version)}
        path = self._path(kind, name)
        code, body = await self._call(method, path, CALL_TIMEOUT_S, condition, text)
        if code == CONFLICT:
            current = body["current"]
            return WriteResult(None, PlatformObject(**current) if current else None)
        return WriteResult(body["version"], None)

    @staticmethod
    def _path(kind: str, name: str) -> str:
        return f"/objects/{kind}/{quote(name, safe='')}"

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float = CALL_TIMEOUT_S,
        headers: dict[str, str] | None = None,
        text: str | None = None,
    ) -> tuple[int, Any]:
        request = HTTPRequest(
            self._base + path,
            method,
            headers={**self._headers, **(headers or {})},
            body=text,
            request_timeout=timeout_s,
            connect_timeout=CALL_TIMEOUT_S,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            raise PlatformUnavailable(f"platform: {error}") from error
        if response.code in (CONFLICT, NOT_FOUND, GONE):
            return response.code, _load(response.body)
        if response.error is not None:
            raise PlatformUnavailable(f"platform: {response.error}")
        return response.code, _load(response.body)


def _read_items(body: Any, field: str) -> tuple[PlatformObject, ...]:
    _check_form(body, field)
    return tuple(PlatformObject(**item) for item in body[field])


def _check_form(body: Any, field: str) -> None:
    # The address may be that of something else, such as a router, which answers JSON
    # of its own.
    if not isinstance(body, dict) or field not in body:
        raise PlatformUnavailable("platform: the answer is not one of an object API")


def _load(body: bytes) -> Any:
    try:
        return json.loads(body or b"null")
    except ValueError as error:
        raise PlatformUnavailable("platform: the answer is no JSON") from error
