"""Tamarackrill: a fleet of routers for large numbers of long-lived chats.

The names in ``__all__`` and the stand-ins in `tamarackrill.testing` are the public
API; everything else may change.
"""

import importlib

# `typing` is not imported: loading it takes too long before a starting daemon can
# handle its first signal.
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

# Loaded on first access: a starting router needs few of these modules, and its clients
# wait until it has started.
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
