"""Query that explains how a call would be routed."""

from collections.abc import Iterator
from typing import Any

from tornado.httpclient import AsyncHTTPClient

from tamarackrill.router_client import fetch_explanation

EXPLAIN_PARAMETERS = ("team", "chat", "model", "service")


async def fetch_home_explanation(
    client: AsyncHTTPClient, router: str, query: dict[str, str]
) -> dict[str, Any]:
    """Return the explanation of the home router, which routes the call.

    Parameters
    ----------
    client : tornado.httpclient.AsyncHTTPClient
        HTTP client; the caller closes it.
    router : str
        ``host:port`` of the router to ask first; it reports the home router.
    query : dict of str to str
        Values of `EXPLAIN_PARAMETERS`.

    Raises
    ------
    NotFound
        If the team has no contract or the contract does not allow the call.
    RouterUnavailable
        If a router did not answer.
    """
    explanation = await fetch_explanation(client, router, query)
    homes = explanation["homes"]
    if homes and homes[0] != explanation["router"]:
        return await fetch_explanation(client, explanation["home_address"], query)
    return explanation


def format_explanation(explanation: dict[str, Any]) -> str:
    """Format a router's explanation as lines of text.

    Parameters
    ----------
    explanation : dict
        Response of ``GET /v1/explain``.
    """
    return "\n".join(
        line for name, value in explanation.items() for line in _show(name, value)
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
