"""Handles errors that a step of a request doesn't declare.

An attempt that raises one counts as failed at its endpoint, so that others serve the
request; a step that only records something is passed over.
"""

import asyncio
import traceback
from collections.abc import Callable, Collection
from contextlib import AbstractContextManager
from pathlib import PurePath
from types import TracebackType
from typing import TypeVar

from tornado.iostream import StreamClosedError

from tamarackrill.decisions.set_aside import SetAside
from tamarackrill.events import UNEXPECTED_ERROR, log_event
from tamarackrill.exceptions import ClientTooSlow, Refusal
from tamarackrill.router.metrics import Metrics

Chosen = TypeVar("Chosen")

# Innermost calls of a traceback that are logged, and the characters of an error.
PLACES_MAX = 4
ERROR_MAX_CHARS = 300
# Errors that steps of a request declare.
DECLARED = (StreamClosedError, ClientTooSlow, Refusal)


class StrayCancellation(Exception):
    """A step was cancelled in a task that nobody has cancelled.

    This happens if it awaits a task or future that is cancelled elsewhere.  Taken for
    the end of its own task, it would end a request without an answer.
    """


class _CancellationConverter:
    """Context of `convert_stray_cancellation`."""

    # A generator would take several times as long, and each request enters dozens.
    def __enter__(self) -> None:
        pass

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if isinstance(error, asyncio.CancelledError) and _is_stray():
            raise _make_stray() from error


_CONVERTER = _CancellationConverter()


def convert_stray_cancellation() -> AbstractContextManager[None]:
    """Raise `StrayCancellation` instead of a cancellation of another task."""
    return _CONVERTER


def _is_stray() -> bool:
    task = asyncio.current_task()
    return task is not None and not task.cancelling()


def _make_stray() -> StrayCancellation:
    return StrayCancellation("a step was cancelled elsewhere")


def describe_place(error: BaseException) -> tuple[str, ...]:
    """Return the innermost calls of an error's traceback, the last one last."""
    # Without the lines of the source, which would be read from files.
    frames = list(traceback.walk_tb(error.__traceback__))[-PLACES_MAX:]
    return tuple(
        f"{PurePath(frame.f_code.co_filename).name}:{line} {frame.f_code.co_name}"
        for frame, line in frames
    )


def describe_origin(error: BaseException) -> str:
    """Return the type of an error and the function that raised it."""
    place = describe_place(error)[-1:]
    return " ".join((type(error).__name__, *place))


def record_unexpected(
    metrics: Metrics,
    step: str,
    error: BaseException,
    request_id: str = "",
    endpoint: str = "",
) -> None:
    """Log and count an error that a step of a request doesn't declare."""
    metrics.count("unexpected_errors", step)
    log_unexpected(step, error, request_id, endpoint)


def log_unexpected(
    step: str, error: BaseException, request_id: str = "", endpoint: str = ""
) -> None:
    """Log an error that a step of a request doesn't declare."""
    log_event(
        UNEXPECTED_ERROR,
        step=step,
        request=request_id,
        endpoint=endpoint,
        error=repr(error)[:ERROR_MAX_CHARS],
        place=describe_place(error),
    )


class _Tolerance:
    """Context of `tolerate`."""

    __slots__ = ("_endpoint", "_metrics", "_request_id", "_step")

    def __init__(
        self, metrics: Metrics, step: str, request_id: str, endpoint: str
    ) -> None:
        self._metrics = metrics
        self._step = step
        self._request_id = request_id
        self._endpoint = endpoint

    def __enter__(self) -> None:
        pass

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        if isinstance(error, asyncio.CancelledError) and _is_stray():
            error = _make_stray().with_traceback(trace)
        if not isinstance(error, Exception) or isinstance(error, DECLARED):
            return False
        record_unexpected(
            self._metrics, self._step, error, self._request_id, self._endpoint
        )
        return True


def tolerate(
    metrics: Metrics, step: str, request_id: str = "", endpoint: str = ""
) -> AbstractContextManager[None]:
    """Go on after an undeclared error, for a step that the request can do without."""
    return _Tolerance(metrics, step, request_id, endpoint)


def leave_out_faulty(
    act: Callable[[Collection[str]], Chosen],
    names: Collection[str],
    set_aside: SetAside,
    now_s: float,
    request_id: str = "",
) -> Chosen:
    """Compare endpoints without those for which that raises an undeclared error.

    Parameters
    ----------
    act : callable
        Compares all endpoints but those that it is given, and returns the result.
    names : collection of str
        All endpoints.
    set_aside : SetAside
        Remembers endpoints for which it raises.
    now_s : float
        Current time.
    request_id : str, optional
        Request for which they are compared, for the log.
    """
    try:
        return act(())
    except Refusal:
        raise
    except Exception as error:
        found = set_aside.search(
            sorted(names), lambda some: _works(act, set(names).difference(some)), now_s
        )
        log_unexpected("choose", error, request_id, ",".join(found))
        return act(found)


def _works(act: Callable[[Collection[str]], Chosen], left_out: Collection[str]) -> bool:
    try:
        act(left_out)
    except Refusal:
        return True
    except Exception:
        return False
    return True
