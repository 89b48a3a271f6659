"""Tamarackrill: a router fleet for very many returning chats.

The names of this module are the public ones; nothing else is promised to stay, but
for the stand-ins of `tamarackrill.testing`.
"""

from typing import Any

from tamarackrill.contracts import CallPattern, Contract, hash_key, read_contract
from tamarackrill.exceptions import (
    Finding,
    FindingsError,
    PlatformUnavailable,
    Refusal,
    TamarackrillError,
    VersionConflict,
)
from tamarackrill.settings import Settings, load_settings

__all__ = [
    "CallPattern",
    "Contract",
    "Finding",
    "FindingsError",
    "PlatformUnavailable",
    "Refusal",
    "RouterApplication",
    "Settings",
    "TamarackrillError",
    "VersionConflict",
    "hash_key",
    "load_settings",
    "read_contract",
]


def __getattr__(name: str) -> Any:
    # The daemon brings its server and clients with it, which someone who only wants
    # a decision or a contract does not need; so it is loaded when it is asked for.
    if name == "RouterApplication":
        from tamarackrill.router.app import RouterApplication

        return RouterApplication
    raise AttributeError(f"module 'tamarackrill' has no attribute {name!r}")
