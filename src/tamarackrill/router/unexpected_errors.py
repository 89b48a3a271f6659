"""Handles errors that a step of a request doesn't declare.

An attempt that raises one counts as failed at its endpoint, so that others serve the
request; a step that only records something is passed over.
"""

import asyncio
import contextlib
import traceback
from collections.abc import Callable, Collection, Iterator
from pathlib import PurePath
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


@contextlib.contextmanager
def convert_stray_cancellation() -> Iterator[None]:
    """Raise `StrayCancellation` instead of a cancellation of another task."""
    try:
        yield
    except asyncio.CancelledError as error:
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        raise StrayCancellation("a step was cancelled elsewhere") from error


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


@contextlib.contextmanager
def tolerate(
    metrics: Metrics, step: str, request_id: str = "", endpoint: str = ""
) -> Iterator[None]:
    """Go on after an undeclared error, for a step that the request can do without."""
    try:
        with convert_stray_cancellation():
            yield
    except DECLARED:
        raise
    except Exception as error:
        record_unexpected(metrics, step, error, request_id, endpoint)


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
