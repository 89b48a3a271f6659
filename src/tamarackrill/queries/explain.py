"""Query: why a call would go where it would go."""

from collections.abc import Iterator
from typing import Any


def format_explanation(found: dict[str, Any]) -> str:
    """Return a router's explanation as lines for a terminal.

    Parameters
    ----------
    found : dict
        Answer of ``GET /v1/explain``.
    """
    return "\n".join(
        line for name, value in found.items() for line in _show(name, value)
    )


def _show(name: str, value: Any) -> Iterator[str]:
    title = name.replace("_", " ")
    if isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{title}:"
        for item in value:
            yield "  " + " ".join(f"{key}={part}" for key, part in item.items())
    elif isinstance(value, list):
        yield f"{title}: {', '.join(map(str, value)) or 'none'}"
    else:
        yield f"{title}: {'none' if value in (None, '') else value}"
