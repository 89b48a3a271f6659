"""Raises errors in chosen calls of functions, for tests of what nobody expects."""

import contextlib
import inspect
from collections.abc import Iterator
from typing import Any
from unittest import mock


@contextlib.contextmanager
def raising(
    owner: Any, name: str, error: BaseException, skipped: int = 0, calls_max: int = 1
) -> Iterator[None]:
    """Let calls of a function, or the coroutines that it returns, raise an error.

    Parameters
    ----------
    owner : module or class
        What the function is an attribute of.
    name : str
        Name of the function.
    error : BaseException
        The error.
    skipped : int, optional
        Calls before the first one that raises.
    calls_max : int, optional
        Calls that raise.

    Raises
    ------
    AssertionError
        If none has raised.
    """
    original = getattr(owner, name)
    calls = 0

    def count() -> None:
        nonlocal calls
        calls += 1
        if skipped < calls <= skipped + calls_max:
            raise error

    def act(*args: Any, **kwargs: Any) -> Any:
        count()
        return original(*args, **kwargs)

    async def act_later(*args: Any, **kwargs: Any) -> Any:
        count()
        return await original(*args, **kwargs)

    is_coroutine = inspect.iscoroutinefunction(original)
    with mock.patch.object(owner, name, act_later if is_coroutine else act):
        yield
    assert calls > skipped, f"{name} was not called"
