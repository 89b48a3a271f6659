"""Tamarackrill: a router fleet for very many returning chats.

The names of this module are the public ones; nothing else is promised to stay, but
for the stand-ins of `tamarackrill.testing`.
"""

import importlib

# The module `typing` takes longer to load than a daemon has before its first signal.
TYPE_CHECKING = False
if TYPE_CHECKING:
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
    from tamarackrill.router.app import RouterApplication
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

# Loaded when they are asked for: a router that starts needs few of them, and until it
# has started its callers wait.
_MODULES = {
    "contracts": ("CallPattern", "Contract", "hash_key", "read_contract"),
    "exceptions": (
        "Finding",
        "FindingsError",
        "PlatformUnavailable",
        "Refusal",
        "TamarackrillError",
        "VersionConflict",
    ),
    "router.app": ("RouterApplication",),
    "settings": ("Settings", "load_settings"),
}


def __getattr__(name: str) -> "Any":
    for module, names in _MODULES.items():
        if name in names:
            return getattr(importlib.import_module(f"tamarackrill.{module}"), name)
    raise AttributeError(f"module 'tamarackrill' has no attribute {name!r}")
