"""Decodes JSON in which some values can't be used, and finds these values.

Load pattern: one object of a list holds bytes of another program, such as control
characters, an integer of thousands of digits, or arrays nested thousands deep.  A
strict parser refuses the whole list for it, and a router would learn of no further
change.  Finding the end of a value that is nested too deep takes 0.13 s of processor
time for each 600 kB.  An object that changes ten times a second would hold up all
requests with that, so that it is done in steps, between which other tasks may run.
"""

import json
import math
import re
from collections.abc import Generator
from typing import Any

# Levels of nested arrays and objects that a value may have; a manifest has four.
DEPTH_MAX = 64
# The same for a text that holds such values.
_TEXT_DEPTH_MAX = 2 * DEPTH_MAX
# Digits of an integer that fits into 64 bits.
_DIGITS_MAX = 18
# Strings, and runs of brackets that open or close arrays and objects.
_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+', re.DOTALL)
# Tokens that are handled in one step, which takes some milliseconds.
_STEP_TOKENS = 4096
# Control characters, halves of surrogate pairs, and what replaces invalid UTF-8.
_UNREADABLE = re.compile("[\x00-\x1f\x7f\ud800-\udfff\ufffd]")
# Stands for a value that can't be decoded.
_NOT_DECODED = "NaN"


def decode(text: bytes) -> Any:
    """Decode JSON as far as its syntax allows.

    Invalid UTF-8 becomes U+FFFD, control characters in strings are kept, and an integer
    that doesn't fit into 64 bits, or a value nested too deep, becomes a float that is
    not finite.  `is_sound` finds all of these.

    Raises
    ------
    ValueError
        If the text isn't JSON.
    """
    steps = decode_in_steps(text)
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            return ended.value


def decode_in_steps(text: bytes) -> Generator[None, None, Any]:
    """Do the same as `decode` in steps of some milliseconds; return the value."""
    content = text.decode(errors="replace")
    try:
        return _load(content)
    except RecursionError:
        return _load((yield from _replace_deep_values(content)))


def is_sound(value: Any) -> bool:
    """Return whether a decoded value can be used, with all values in it.

    Strings must have no control characters and be encodable, numbers finite, and the
    value must not be nested deeper than `DEPTH_MAX`.
    """
    texts: list[str] = []
    levels: list[tuple[Any, int]] = [([value], 0)]
    while levels:
        container, depth = levels.pop()
        if depth > DEPTH_MAX:
            return False
        if type(container) is dict:
            texts.extend(container)
            container = container.values()
        for child in container:
            kind = type(child)
            if kind is str:
                texts.append(child)
            elif kind is dict or kind is list:
                levels.append((child, depth + 1))
            elif kind is float and not math.isfinite(child):
                return False
    return _UNREADABLE.search("".join(texts)) is None


def _load(content: str) -> Any:
    return json.loads(content or "null", strict=False, parse_int=_parse_integer)


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= _DIGITS_MAX else math.inf


def _replace_deep_values(content: str) -> Generator[None, None, str]:
    """Replace all arrays and objects below `_TEXT_DEPTH_MAX` levels, in steps."""
    kept = []
    start = depth = 0
    for number, token in enumerate(_TOKEN.finditer(content), 1):
        if number % _STEP_TOKENS == 0:
            yield
        count = len(token[0])
        if token[0][0] in "[{":
            if depth <= _TEXT_DEPTH_MAX < depth + count:
                kept.append(content[start : token.start() + _TEXT_DEPTH_MAX - depth])
            depth += count
        elif token[0][0] in "]}":
            if depth - count <= _TEXT_DEPTH_MAX < depth:
                kept.append(_NOT_DECODED)
                start = token.start() + depth - _TEXT_DEPTH_MAX
            depth -= count
    if depth > _TEXT_DEPTH_MAX:
        raise ValueError("an array or object has no end")
    return "".join([*kept, content[start:]])
