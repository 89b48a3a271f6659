"""Answers requests whose reading raises an undeclared error.

tornado closes a connection without an answer if a callback that reads a request raises.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from tamarackrill.router.metrics import Metrics
from tamarackrill.router.unexpected_errors import (
    convert_stray_cancellation,
    record_unexpected,
    tolerate,
)


class OwnAnswer(NamedTuple):
    """Complete answer of a router that says that a request has not run.

    Parameters
    ----------
    status : int
        HTTP status code.
    reason : str
        Its reason phrase.
    headers : dict of str to str
        All headers except ``Content-Length``.
    body : bytes
        Complete body.
    """

    status: int
    reason: str
    headers: dict[str, str]
    body: bytes


# Makes the answer from the headers of the request, as far as they were received.
MakeRefusal = Callable[[HTTPHeaders], OwnAnswer]


class RequestGuard(NamedTuple):
    """Guards the requests of a server.

    Parameters
    ----------
    make_refusal : callable
        Returns the answer to a request that could not be read.
    metrics : Metrics
        Counts undeclared errors.
    """

    make_refusal: MakeRefusal
    metrics: Metrics

    def start(
        self, start: Callable[[], HTTPMessageDelegate], connection: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the guarded delegate of a request, which `start` makes."""
        return _GuardedRequest(self, start, connection)


class _GuardedRequest(HTTPMessageDelegate):
    """Passes a request on, and refuses it once a callback has raised."""

    def __init__(
        self,
        guard: RequestGuard,
        start: Callable[[], HTTPMessageDelegate],
        connection: HTTP1Connection,
    ) -> None:
        self._guard = guard
        self._connection = connection
        self._headers = HTTPHeaders()
        self._method = ""
        # None once one of its callbacks has raised.
        self._request: HTTPMessageDelegate | None = None
        try:
            with convert_stray_cancellation():
                self._request = start()
        except Exception as error:
            self._give_up("start", error)

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Pass the head on."""
        assert isinstance(start_line, RequestStartLine)
        self._method, self._headers = start_line.method, headers
        return self._call("head", lambda r: r.headers_received(start_line, headers))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a part of the body on; it is discarded if the request is refused."""
        return self._call("body", lambda r: r.data_received(chunk))

    def finish(self) -> None:
        """Pass the end of the request on, or refuse it."""
        self._call("finish", lambda r: r.finish())
        if self._request is None:
            self._refuse()

    def on_connection_close(self) -> None:
        """Pass the end of the connection on."""
        self._call("close", lambda r: r.on_connection_close())

    def _call(
        self,
        step: str,
        act: Callable[[HTTPMessageDelegate], Awaitable[None] | None],
    ) -> Awaitable[None] | None:
        if self._request is None:
            return None
        try:
            with convert_stray_cancellation():
                waiting = act(self._request)
        except (HTTPInputError, StreamClosedError):
            raise
        except Exception as error:
            self._give_up(step, error)
            return None
        return None if waiting is None else self._wait(step, waiting)

    async def _wait(self, step: str, waiting: Awaitable[None]) -> None:
        try:
            with convert_stray_cancellation():
                await waiting
        except (HTTPInputError, StreamClosedError):
            raise
        except Exception as error:
            self._give_up(step, error)

    def _give_up(self, step: str, error: Exception) -> None:
        metrics = self._guard.metrics
        record_unexpected(metrics, f"read {step}", error)
        request, self._request = self._request, None
        if request is not None and step != "close":
            with tolerate(metrics, "end reading"):
                request.on_connection_close()

    def _refuse(self) -> None:
        answer = self._guard.make_refusal(self._headers)
        send_answer(self._connection, answer, self._method)


def send_answer(connection: HTTP1Connection, answer: OwnAnswer, method: str) -> None:
    """Answer a request of a method that nothing else answers."""
    headers = HTTPHeaders(answer.headers)
    headers["Content-Length"] = str(len(answer.body))
    line = ResponseStartLine("HTTP/1.1", answer.status, answer.reason)
    connection.write_headers(line, headers, None if method == "HEAD" else answer.body)
    connection.finish()
