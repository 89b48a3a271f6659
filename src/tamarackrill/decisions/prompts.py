"""The parts of a prompt, and the beginnings under which engines cache them.

An engine keeps the parts of a prompt that it has read, and needn't read a part again if
it holds all parts that stand before it as well.  So what is worth knowing of an engine
is which beginnings it holds, not which parts.
"""

from collections.abc import Sequence
from typing import NamedTuple

from tamarackrill.decisions.hashing import hash_name


class PromptPart(NamedTuple):
    """One part of a prompt; prompts that share it name it alike."""

    id: str
    tokens: int


class Prefix(NamedTuple):
    """A beginning of a prompt.

    Parameters
    ----------
    key : str
        Sixteen hexadecimal digits, the same in every process.
    tokens : int
        Length of all its parts.
    """

    key: str
    tokens: int


def list_prefixes(parts: Sequence[PromptPart]) -> tuple[Prefix, ...]:
    """Return the beginnings of a prompt, the longest first."""
    prefixes = []
    path, tokens = "", 0
    for part in parts:
        path += f"/{part.id}"
        tokens += part.tokens
        prefixes.append(Prefix(f"{hash_name(path):016x}", tokens))
    return tuple(reversed(prefixes))
