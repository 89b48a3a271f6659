"""Conditional writes whose outcome is confirmed.

A write to the platform may take effect although its response is lost.  Assuming either
outcome is wrong: an operator who is told "failed" repeats a change that took effect,
and one who is told "done" relies on a limit that nobody applies.  So the write is
retried on the same condition, which prevents a delayed first attempt from being applied
twice; a conflict with an object that matches the write means that an earlier attempt
took effect.  If no attempt is answered, the object is read back.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.store_api import PlatformObject, WriteResult

ATTEMPTS_MAX = 4
# Delays between attempts; with the call timeouts they cover an outage of a few seconds,
# which is as long as someone at a terminal will wait.
RETRY_DELAYS_S = (0.2, 0.5, 1.0)


class WriteOutcome(NamedTuple):
    """Confirmed outcome of a write.

    Parameters
    ----------
    version : int or None
        Version written, or None on a conflict.
    current : PlatformObject or None
        On a conflict, the object as it is now; None if there is none.
    """

    version: int | None
    current: PlatformObject | None = None


async def put_confirmed(
    platform: PlatformClient, kind: str, name: str, value: Any, base_version: int | None
) -> WriteOutcome:
    """Write an object only if its version is still `base_version`.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform.
    kind, name : str
        Kind and name of the object.
    value : object
        JSON value.
    base_version : int or None
        Version that the change is based on; None if the object must not exist.

    Returns
    -------
    WriteOutcome

    Raises
    ------
    PlatformUnavailable
        If it is unknown whether the write took effect.
    """

    def matches_write(current: PlatformObject | None) -> bool:
        return current is not None and current.value == value

    return await _write_confirmed(
        lambda: platform.put(kind, name, value, base_version),
        lambda: platform.get(kind, name),
        matches_write,
        base_version,
    )


async def delete_confirmed(
    platform: PlatformClient, kind: str, name: str, base_version: int
) -> WriteOutcome:
    """Delete an object only if its version is still `base_version`."""
    return await _write_confirmed(
        lambda: platform.delete(kind, name, base_version),
        lambda: platform.get(kind, name),
        lambda current: current is None or current.value is None,
        base_version,
    )


async def _write_confirmed(
    write: Callable[[], Awaitable[WriteResult]],
    read: Callable[[], Awaitable[PlatformObject | None]],
    matches_write: Callable[[PlatformObject | None], bool],
    base_version: int | None,
) -> WriteOutcome:
    response_lost = False
    for attempt in range(ATTEMPTS_MAX):
        try:
            result = await write()
        except PlatformUnavailable:
            response_lost = True
            if attempt < len(RETRY_DELAYS_S):
                await asyncio.sleep(RETRY_DELAYS_S[attempt])
            continue
        if result.version is not None:
            return WriteOutcome(result.version)
        # If no response was lost, this is a conflict even if someone else wrote the
        # same value.  Otherwise an earlier attempt of ours may have taken effect.
        if response_lost and matches_write(result.current):
            return WriteOutcome(_get_version(result.current, base_version))
        return WriteOutcome(None, result.current)
    return await _read_back(read, matches_write, base_version)


async def _read_back(
    read: Callable[[], Awaitable[PlatformObject | None]],
    matches_write: Callable[[PlatformObject | None], bool],
    base_version: int | None,
) -> WriteOutcome:
    hint = "run the command again: it is safe and shows the current state"
    try:
        current = await read()
    except PlatformUnavailable as error:
        message = f"{error.message}; the change may or may not have taken effect"
        raise PlatformUnavailable(message, hint) from error
    if matches_write(current):
        return WriteOutcome(_get_version(current, base_version))
    if (current.version if current else None) == base_version:
        message = "platform: no write was answered, and none has taken effect so far"
        raise PlatformUnavailable(message, hint)
    return WriteOutcome(None, current)


def _get_version(current: PlatformObject | None, base_version: int | None) -> int:
    # Reading back a deletion gives no version; it is above `base_version`.
    return current.version if current else (base_version or 0) + 1
