"""Prompt parts and the prefixes under which engines cache them.

An engine caches the parts of the prompts that it has read, and can reuse a part only if
it also caches all parts before it.  So routers track which prefixes an engine caches,
not which parts.
"""

from collections.abc import Sequence
from typing import NamedTuple

from tamarackrill.decisions.hashing import hash_name

# Parts of one prompt that are told apart.  A client chooses how many it sends, and each
# takes memory and bytes in messages between routers.
PARTS_MAX = 64


class PromptPart(NamedTuple):
    """A part of a prompt; its ID is the same in all prompts that share it."""

    id: str
    tokens: int


class Prefix(NamedTuple):
    """A prefix of a prompt, ending at a part boundary.

    Parameters
    ----------
    key : str
        Hash as sixteen hexadecimal digits, the same in every process.
    tokens : int
        Total number of tokens of its parts.
    """

    key: str
    tokens: int


class Prompt(NamedTuple):
    """A request for an answer to a prompt.

    Parameters
    ----------
    request_id : str
        Identifies the request.
    service, model : str
        What is to answer it; the model is empty if the service has only one.
    team : str
        Who sends it; empty if unknown.
    parts : tuple of int
        Hashes of the parts that other prompts may share, in order.
    """

    request_id: str
    service: str
    model: str
    team: str
    parts: tuple[int, ...]


# Length of a prefix that routers can tell each other.
TOKENS_MAX = (1 << 31) - 1


def list_prefixes(parts: Sequence[PromptPart]) -> tuple[Prefix, ...]:
    """Return the prefixes of a prompt, longest first."""
    prefixes = []
    path, tokens = "", 0
    for part in parts:
        path += f"/{part.id}"
        tokens = min(tokens + part.tokens, TOKENS_MAX)
        prefixes.append(Prefix(f"{hash_name(path):016x}", tokens))
    return tuple(reversed(prefixes))
