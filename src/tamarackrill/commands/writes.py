"""Conditional writes whose outcome is always settled.

A write to the platform may take effect though its answer is lost.  Assuming either
outcome is wrong: an operator who is told "failed" repeats a change that stands, and
one who is told "done" relies on a limit that nobody applies.  So the object is read
back.  If it holds what was written, the write stands; if it still has the version
that the write was based on, the write is sent again, on the same condition, which
keeps a first try that arrives late from being applied twice.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.platform_client import PlatformClient, WriteResult
from tamarackrill.store_api import PlatformObject

TRIES_MAX = 4
# Pauses between tries; together with the timeouts of the calls they span an outage of
# some seconds, which is as long as someone at a terminal will wait.
PAUSES_S = (0.2, 0.5, 1.0)


class Written(NamedTuple):
    """Outcome of a settled write.

    Parameters
    ----------
    version : int or None
        Version written, or None on a conflict.
    current : PlatformObject or None
        On a conflict, what stands there instead; None if nothing does.
    """

    version: int | None
    current: PlatformObject | None = None


async def put_settled(
    platform: PlatformClient, kind: str, name: str, value: Any, base: int | None
) -> Written:
    """Write an object on the condition that `base` is still its version.

    Parameters
    ----------
    platform : PlatformClient
        The platform.
    kind, name : str
        Which object.
    value : object
        JSON value.
    base : int or None
        Version that the change is based on; None if there must be no object.

    Returns
    -------
    Written

    Raises
    ------
    PlatformUnavailable
        If it can't be told whether the write took effect.
    """

    def is_ours(current: PlatformObject | None) -> bool:
        return current is not None and current.value == value

    return await _settle(
        lambda: platform.put(kind, name, value, base),
        lambda: platform.get(kind, name),
        is_ours,
        base,
    )


async def delete_settled(
    platform: PlatformClient, kind: str, name: str, base: int
) -> Written:
    """Delete an object on the condition that `base` is still its version."""
    return await _settle(
        lambda: platform.delete(kind, name, base),
        lambda: platform.get(kind, name),
        lambda current: current is None or current.value is None,
        base,
    )


async def _settle(
    write: Callable[[], Awaitable[WriteResult]],
    read: Callable[[], Awaitable[PlatformObject | None]],
    is_ours: Callable[[PlatformObject | None], bool],
    base: int | None,
) -> Written:
    answer_lost = False
    for attempt in range(TRIES_MAX):
        try:
            result = await write()
        except PlatformUnavailable:
            answer_lost = True
            if attempt < len(PAUSES_S):
                await asyncio.sleep(PAUSES_S[attempt])
            continue
        if result.version is not None:
            return Written(result.version)
        # Without a lost answer a conflict is a conflict, also if someone else wrote
        # the same value.  With one, our own first try may be what stands there.
        if answer_lost and is_ours(result.current):
            return Written(_version_of(result.current, base))
        return Written(None, result.current)
    return await _read_back(read, is_ours, base)


async def _read_back(
    read: Callable[[], Awaitable[PlatformObject | None]],
    is_ours: Callable[[PlatformObject | None], bool],
    base: int | None,
) -> Written:
    hint = "run the command again: it is safe, and tells what stands"
    try:
        current = await read()
    except PlatformUnavailable as error:
        message = f"{error.message}; the change may or may not stand"
        raise PlatformUnavailable(message, hint) from error
    if is_ours(current):
        return Written(_version_of(current, base))
    if (current.version if current else None) == base:
        message = "platform: no write was answered, and none stands so far"
        raise PlatformUnavailable(message, hint)
    return Written(None, current)


def _version_of(current: PlatformObject | None, base: int | None) -> int:
    # A deletion that is read back no longer shows its version; it is above `base`.
    return current.version if current else (base or 0) + 1
