"""HTTP API between routers for configuration changes and placements.

A contract list may be a megabyte, and the placements that a router knows some hundred
kilobytes, which is too large for UDP.  Requests and answers carry an HMAC that includes
the request's nonce, so that a replayed answer, or one to another request, is rejected.
"""

import asyncio
import hashlib
import hmac
import json
import secrets
import time
import zlib
from collections.abc import Awaitable, Callable
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.web import HTTPError, RequestHandler

from tamarackrill.decisions.capacity.store_answers import is_too_fine
from tamarackrill.decisions.configuration import (
    ChangeSet,
    ConfigurationStore,
    ObjectVersion,
)
from tamarackrill.events import (
    CONFIGURATION_PULLED,
    CONFIGURATION_SERVED,
    log_event,
)
from tamarackrill.exceptions import TamarackrillError
from tamarackrill.lenient_json import decode
from tamarackrill.router import lateness
from tamarackrill.router.background import discard_error
from tamarackrill.store_api import make_object, read_each, read_revision

CONFIGURATION_PATH = "/internal/v1/configuration"
REACH_PATH = "/internal/v1/reach"
NEWS_PATH = "/internal/v1/news"
FRESH_ARGUMENT = "fresh"
MANIFEST_PATH = "/internal/v1/manifest"
PLACEMENTS_PATH = "/internal/v1/placements"
PULL_TIMEOUT_S = 3.0
# A manifest of a thousand routes takes some hundred kilobytes.
PULL_MAX_BYTES = 8 * 1024 * 1024
# Lateness of this process that a call survives.
LATENESS_MAX_S = 2.0
# Compresses a manifest of 281 kB to a tenth within a few ms.
COMPRESSION_LEVEL = 1
# Enough for a few revisions of two kinds.
CACHE_ENTRIES_MAX = 8
_ERA_ARGUMENT = "era"
NONCE_HEADER = "Tamarackrill-Nonce"
PROOF_HEADER = "Tamarackrill-Proof"


class PeerUnavailable(TamarackrillError):
    """A peer did not answer, or its answer was not authentic."""

    code = "peer_unavailable"


def sign(key: str, nonce: str, text: bytes) -> str:
    """Return the HMAC of a request or an answer."""
    return hmac.new(
        key.encode(), nonce.encode() + b"\n" + text, hashlib.sha256
    ).hexdigest()


def is_authentic(
    keys: tuple[str, ...], nonce: str, text: bytes, signature: str
) -> bool:
    """Return whether the signature matches any of the keys."""
    received = signature.encode()
    matches = [
        hmac.compare_digest(received, sign(key, nonce, text).encode()) for key in keys
    ]
    return bool(nonce) and any(matches)


class _AuthenticatedHandler(RequestHandler):
    """Answers only authenticated peers, and signs the answers."""

    def initialize(
        self,
        find_answer: Callable[[RequestHandler], Awaitable[bytes]],
        peer_keys: tuple[str, ...],
        count: Callable[[str, str], None],
    ) -> None:
        """Set what the handler serves from."""
        self._find_answer = find_answer
        self._peer_keys = peer_keys
        self._count = count

    async def get(self) -> None:
        """Answer an authenticated peer; others get 403."""
        nonce = self.request.headers.get(NONCE_HEADER, "")
        signature = self.request.headers.get(PROOF_HEADER, "")
        uri = self.request.uri or ""
        if not is_authentic(self._peer_keys, nonce, uri.encode(), signature):
            # Contracts reveal who the customers are.
            self._count("peer_requests_dropped", "stranger")
            raise HTTPError(403)
        body = await self._find_answer(self)
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header(PROOF_HEADER, sign(self._peer_keys[0], "answer " + nonce, body))
        self.finish(body)


class _CompressedChanges:
    """Cache of compressed answers, so that equal requests are compressed once.

    When a manifest changes, all routers of a zone request it.
    """

    def __init__(self, store: ConfigurationStore) -> None:
        self._store = store
        self._cache: dict[tuple[str, int, bool], tuple[int, bytes]] = {}

    def find(self, kind: str, since: int, with_era: bool) -> bytes:
        key = (kind, since, with_era)
        content_hash = hash(self._store.digest(kind))
        cached = self._cache.get(key)
        if cached is None or cached[0] != content_hash:
            fields = tuple(self._store.changes_since(kind, since))
            text = json.dumps(fields if with_era else fields[:-1]).encode()
            cached = (content_hash, zlib.compress(text, COMPRESSION_LEVEL))
            if len(self._cache) >= CACHE_ENTRIES_MAX:
                self._cache.clear()
            self._cache[key] = cached
        return cached[1]


def list_handlers(
    store: ConfigurationStore,
    peer_keys: tuple[str, ...],
    count: Callable[[str, str], None],
    find_placements: Callable[[], bytes] | None = None,
    has_link_capacity: Callable[[int], bool] = lambda size_bytes: True,
    find_reached: Callable[[list[str], bool], Awaitable[list[str]]] | None = None,
    find_fleet_news: Callable[[], Awaitable[bytes]] | None = None,
    find_manifest: Callable[[], bytes] | None = None,
) -> list[tuple[str, type[RequestHandler], dict[str, Any]]]:
    """Return the HTTP handlers for requests of peers.

    Parameters
    ----------
    store : ConfigurationStore
        Configuration held.
    peer_keys : tuple of str
        Keys shared by the routers; the first signs, all of them verify.
    count : callable
        Counts requests that are dropped.
    find_placements : callable, optional
        Returns the placements that this router knows, encoded.
    has_link_capacity : callable, optional
        Returns whether the link has capacity now for an answer of so many bytes.
    find_reached : callable, optional
        ``await find_reached(names, is_fresh)`` returns the endpoints that this router
        reaches, by probes of all of them if `is_fresh`.
    find_fleet_news : callable, optional
        Returns what a router that has just started asks for, encoded.
    find_manifest : callable, optional
        Returns the manifest in force, encoded.
    """
    compressed = _CompressedChanges(store)

    async def find_changes(handler: RequestHandler) -> bytes:
        try:
            since = int(handler.get_argument("since"))
        except ValueError:
            raise HTTPError(400) from None
        kind = handler.get_argument("kind")
        # Routers of an earlier release don't ask for the era and can't parse it.
        with_era = bool(handler.get_argument(_ERA_ARGUMENT, ""))
        text = compressed.find(kind, since, with_era)
        if not has_link_capacity(len(text)):
            count("peer_requests_dropped", "link full")
            raise HTTPError(503)
        log_event(
            CONFIGURATION_SERVED,
            kind=kind,
            peer=handler.request.remote_ip,
            since=since,
            size_bytes=len(text),
        )
        return text

    async def find_snapshot(handler: RequestHandler) -> bytes:
        return b"" if find_placements is None else find_placements()

    async def find_reach(handler: RequestHandler) -> bytes:
        assert find_reached is not None
        names = handler.get_argument("endpoints").split(",")
        is_fresh = bool(handler.get_argument(FRESH_ARGUMENT, ""))
        return json.dumps(await find_reached(names, is_fresh)).encode()

    async def find_news(handler: RequestHandler) -> bytes:
        assert find_fleet_news is not None
        return await find_fleet_news()

    async def find_manifest_in_force(handler: RequestHandler) -> bytes:
        assert find_manifest is not None
        text = find_manifest()
        if not has_link_capacity(len(text)):
            count("peer_requests_dropped", "link full")
            raise HTTPError(503)
        return text

    answers: dict[str, Callable[[RequestHandler], Awaitable[bytes]]]
    answers = {CONFIGURATION_PATH: find_changes}
    optional = {
        PLACEMENTS_PATH: (find_placements, find_snapshot),
        REACH_PATH: (find_reached, find_reach),
        NEWS_PATH: (find_fleet_news, find_news),
        MANIFEST_PATH: (find_manifest, find_manifest_in_force),
    }
    answers |= {
        path: answer
        for path, (source, answer) in optional.items()
        if source is not None
    }
    return [
        (
            path,
            _AuthenticatedHandler,
            {"find_answer": f, "peer_keys": peer_keys, "count": count},
        )
        for path, f in answers.items()
    ]


async def pull_changes(
    client: CurlAsyncHTTPClient,
    address: str,
    kind: str,
    since: int,
    peer_keys: tuple[str, ...],
) -> ChangeSet:
    """Pull configuration changes from a peer.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Not owned.
    address : str
        ``host:port`` of the peer.
    kind : str
        Kind of objects.
    since : int
        Revision up to which this router is complete.
    peer_keys : tuple of str
        The first key signs; all of them verify.

    Returns
    -------
    ChangeSet

    Raises
    ------
    PeerUnavailable
        If the peer did not answer, or its answer was not authentic or not valid.
    """
    uri = f"{CONFIGURATION_PATH}?kind={kind}&since={since}&{_ERA_ARGUMENT}=1"
    started_s = time.monotonic()
    text = await pull(client, address, uri, peer_keys)
    changes = _parse_changes(text)
    log_event(
        CONFIGURATION_PULLED,
        kind=kind,
        peer=address,
        since=since,
        duration_s=round(time.monotonic() - started_s, 4),
        size_bytes=len(text),
        objects=len(changes.objects),
    )
    return changes


async def pull(
    client: CurlAsyncHTTPClient,
    address: str,
    uri: str,
    peer_keys: tuple[str, ...],
    timeout_s: float = PULL_TIMEOUT_S,
) -> bytes:
    """Send a signed request to a peer and return its verified answer.

    Raises
    ------
    PeerUnavailable
        If the peer did not answer, or its answer was not authentic.
    """
    nonce = secrets.token_hex(16)
    headers = {
        NONCE_HEADER: nonce,
        PROOF_HEADER: sign(peer_keys[0], nonce, uri.encode()),
    }
    # libcurl would count the lateness of this process.
    client_timeout_s = timeout_s + LATENESS_MAX_S
    request = HTTPRequest(
        f"http://{address}{uri}",
        headers=headers,
        request_timeout=client_timeout_s,
        connect_timeout=client_timeout_s,
        prepare_curl_callback=_limit_answer,
    )
    fetching = asyncio.ensure_future(client.fetch(request))
    # After the timeout here the client ends the call at its own; its error would be
    # logged as never retrieved.
    fetching.add_done_callback(discard_error)
    try:
        async with lateness.timeout(timeout_s):
            response = await asyncio.shield(fetching)
    except (HTTPClientError, OSError) as error:
        raise PeerUnavailable(str(error) or "no answer in time") from error
    signature = response.headers.get(PROOF_HEADER, "")
    if not is_authentic(peer_keys, "answer " + nonce, response.body, signature):
        raise PeerUnavailable("the answer is not signed with a peer key")
    return response.body


def _limit_answer(curl: Any) -> None:
    """End a call whose answer is too long, before its signature can be checked."""
    body = curl.info["buffer"]
    pieces = 0

    def write(chunk: bytes) -> int:
        nonlocal pieces
        pieces += 1
        is_long = body.tell() + len(chunk) > PULL_MAX_BYTES
        if is_long or is_too_fine(pieces, body.tell()):
            return 0
        return int(body.write(chunk))

    curl.setopt(pycurl.WRITEFUNCTION, write)


def _parse_changes(text: bytes) -> ChangeSet:
    # A peer of another release may send a signed answer in another format, and objects
    # that it has not checked.
    try:
        kind, objects, complete, is_snapshot, *rest = decode(zlib.decompress(text))
        items = read_each(str(kind), lambda fields: make_object(*fields), objects)
        return ChangeSet(
            str(kind),
            tuple(ObjectVersion(*item) for item in items),
            read_revision(complete),
            bool(is_snapshot),
            *map(read_revision, rest),
        )
    except (TypeError, ValueError, zlib.error) as error:
        raise PeerUnavailable("the answer is not a valid set of changes") from error
