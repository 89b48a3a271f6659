"""What operators' commands and queries ask of a router."""

import asyncio
import json
from typing import Any
from urllib.parse import urlencode

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from tamarackrill.contracts import CONTRACT_KIND
from tamarackrill.exceptions import NotFound, RouterUnavailable

CALL_TIMEOUT_S = 2.0
NOT_FOUND = 404
ALIVE = "alive"

# Status of each router by address; None for one that does not answer.
Statuses = dict[str, dict[str, Any] | None]


async def fetch_status(client: AsyncHTTPClient, address: str) -> dict[str, Any]:
    """Return what a router says of itself.

    Raises
    ------
    RouterUnavailable
        If it did not answer.
    """
    return await _fetch(client, address, "/v1/status")


async def fetch_statuses(client: AsyncHTTPClient, addresses: list[str]) -> Statuses:
    """Return the status of each router, or None for one that does not answer."""

    async def fetch(address: str) -> dict[str, Any] | None:
        try:
            return await fetch_status(client, address)
        except RouterUnavailable:
            return None

    found = await asyncio.gather(*(fetch(address) for address in addresses))
    return dict(zip(addresses, found, strict=True))


def list_members(status: dict[str, Any] | None) -> set[str]:
    """Return the addresses of the live members that a router names."""
    members = status.get("members", ()) if status else ()
    return {member["address"] for member in members if member["state"] == ALIVE}


def complete_of(status: dict[str, Any]) -> int:
    """Return the revision up to which a router lacks no contract."""
    return int(status.get("complete", {}).get(CONTRACT_KIND, 0))


async def fetch_explanation(
    client: AsyncHTTPClient, address: str, query: dict[str, str]
) -> dict[str, Any]:
    """Return where a router would send a call, and why.

    Parameters
    ----------
    client : tornado.httpclient.AsyncHTTPClient
        Not owned.
    address : str
        ``host:port`` of the router.
    query : dict of str to str
        Team, chat, and model or service.

    Raises
    ------
    NotFound
        If the router knows no such team or model.
    RouterUnavailable
        If it did not answer.
    """
    return await _fetch(client, address, f"/v1/explain?{urlencode(query)}")


async def _fetch(client: AsyncHTTPClient, address: str, path: str) -> dict[str, Any]:
    request = HTTPRequest(
        f"http://{address}{path}",
        request_timeout=CALL_TIMEOUT_S,
        connect_timeout=CALL_TIMEOUT_S,
    )
    try:
        response = await client.fetch(request, raise_error=False)
        body = json.loads(response.body or b"null")
    except (HTTPClientError, OSError, ValueError) as error:
        raise RouterUnavailable(f"router {address}: {error}") from error
    if response.code == NOT_FOUND and isinstance(body, dict):
        raise NotFound(f"router {address}: {body.get('message', 'not known')}")
    if response.error is not None or not isinstance(body, dict):
        reason = response.error or "the answer has another form"
        raise RouterUnavailable(f"router {address}: {reason}")
    return body
