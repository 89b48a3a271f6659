"""Client for the router API that commands and queries use."""

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

# Status of each router by address; None if the router did not answer.
Statuses = dict[str, dict[str, Any] | None]


async def fetch_status(client: AsyncHTTPClient, address: str) -> dict[str, Any]:
    """Return a router's status.

    Raises
    ------
    RouterUnavailable
        If the router did not answer.
    """
    return await _fetch_json(client, address, "/v1/status")


async def fetch_statuses(client: AsyncHTTPClient, addresses: list[str]) -> Statuses:
    """Return the status of each router, or None if it did not answer."""

    async def fetch(address: str) -> dict[str, Any] | None:
        try:
            return await fetch_status(client, address)
        except RouterUnavailable:
            return None

    statuses = await asyncio.gather(*(fetch(address) for address in addresses))
    return dict(zip(addresses, statuses, strict=True))


def list_live_members(status: dict[str, Any] | None) -> set[str]:
    """Return the addresses of the members that a router reports as alive."""
    members = status.get("members", ()) if status else ()
    return {member["address"] for member in members if member["state"] == ALIVE}


def get_complete_revision(status: dict[str, Any], kind: str = CONTRACT_KIND) -> int:
    """Return the revision up to which a router has received all objects of a kind."""
    return int(status.get("complete", {}).get(kind, 0))


async def fetch_metrics(client: AsyncHTTPClient, address: str) -> str:
    """Return a router's metrics as text.

    Raises
    ------
    RouterUnavailable
        If the router did not answer.
    """
    try:
        response = await client.fetch(_make_request(address, "/metrics"))
    except (HTTPClientError, OSError) as error:
        raise RouterUnavailable(f"router {address}: {error}") from error
    return response.body.decode(errors="replace")


async def fetch_explanation(
    client: AsyncHTTPClient, address: str, query: dict[str, str]
) -> dict[str, Any]:
    """Return where a router would send a call, and why.

    Parameters
    ----------
    client : tornado.httpclient.AsyncHTTPClient
        HTTP client; the caller closes it.
    address : str
        ``host:port`` of the router.
    query : dict of str to str
        Team, chat, and model or service.

    Raises
    ------
    NotFound
        If the router does not know the team or the model.
    RouterUnavailable
        If the router did not answer.
    """
    return await _fetch_json(client, address, f"/v1/explain?{urlencode(query)}")


async def _fetch_json(
    client: AsyncHTTPClient, address: str, path: str
) -> dict[str, Any]:
    try:
        response = await client.fetch(_make_request(address, path), raise_error=False)
        body = json.loads(response.body or b"null")
    except (HTTPClientError, OSError, ValueError) as error:
        raise RouterUnavailable(f"router {address}: {error}") from error
    if response.code == NOT_FOUND and isinstance(body, dict):
        raise NotFound(f"router {address}: {body.get('message', 'not known')}")
    if response.error is not None or not isinstance(body, dict):
        reason = response.error or "unexpected response format"
        raise RouterUnavailable(f"router {address}: {reason}")
    return body


def _make_request(address: str, path: str) -> HTTPRequest:
    return HTTPRequest(
        f"http://{address}{path}",
        request_timeout=CALL_TIMEOUT_S,
        connect_timeout=CALL_TIMEOUT_S,
    )
