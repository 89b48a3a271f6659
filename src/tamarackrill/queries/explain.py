"""Query: why a call would go where it would go."""

from collections.abc import Iterator
from typing import Any

from tornado.httpclient import AsyncHTTPClient

from tamarackrill.router_client import fetch_explanation

EXPLAINED = ("team", "chat", "model", "service")


async def ask_home(
    client: AsyncHTTPClient, router: str, query: dict[str, str]
) -> dict[str, Any]:
    """Return the explanation of the router that decides.

    Parameters
    ----------
    client : tornado.httpclient.AsyncHTTPClient
        Not owned.
    router : str
        ``host:port`` of the router to ask first; it names the home.
    query : dict of str to str
        Values of `EXPLAINED`.

    Raises
    ------
    NotFound
        If the team has no contract or the contract does not allow the call.
    RouterUnavailable
        If a router did not answer.
    """
    found = await fetch_explanation(client, router, query)
    homes = found["homes"]
    if homes and homes[0] != found["router"]:
        return await fetch_explanation(client, found["home_address"], query)
    return found


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
