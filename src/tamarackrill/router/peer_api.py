"""What a router asks another one for, over HTTP.

A contract list may be a megabyte, and what a router knows of placements is some hundred
kilobytes, so neither goes by UDP.  Request and answer each
carry a keyed digest; the request's nonce is part of both, so that neither an old
answer nor one to another request is taken.
"""

import hashlib
import hmac
import json
import secrets
import time
import zlib
from collections.abc import Callable
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.web import HTTPError, RequestHandler

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

CONFIGURATION_PATH = "/internal/v1/configuration"
PLACEMENTS_PATH = "/internal/v1/placements"
PULL_TIMEOUT_S = 3.0
# A manifest of 281 kB becomes a tenth of that within a few ms.
PACK_LEVEL = 1
# Answers to routers that lack the same; a few revisions of two kinds.
PACKED_KEPT = 8
NONCE = "Tamarackrill-Nonce"
PROOF = "Tamarackrill-Proof"


class PeerUnavailable(TamarackrillError):
    """A peer did not answer, or its answer was not proved."""

    code = "peer_unavailable"


def prove(key: str, nonce: str, text: bytes) -> str:
    """Return the keyed digest of a request or an answer."""
    return hmac.new(
        key.encode(), nonce.encode() + b"\n" + text, hashlib.sha256
    ).hexdigest()


def is_proved(keys: tuple[str, ...], nonce: str, text: bytes, proof: str) -> bool:
    """Return whether any of the keys gives this digest."""
    given = proof.encode()
    found = [
        hmac.compare_digest(given, prove(key, nonce, text).encode()) for key in keys
    ]
    return bool(nonce) and any(found)


class _ProvedHandler(RequestHandler):
    """Answers peers alone, and proves the answer."""

    def initialize(
        self,
        find_answer: Callable[[RequestHandler], bytes],
        peer_keys: tuple[str, ...],
        count: Callable[[str, str], None],
    ) -> None:
        """Take what the handler serves from."""
        self._find_answer = find_answer
        self._peer_keys = peer_keys
        self._count = count

    def get(self) -> None:
        """Answer a peer."""
        nonce = self.request.headers.get(NONCE, "")
        proof = self.request.headers.get(PROOF, "")
        uri = self.request.uri or ""
        if not is_proved(self._peer_keys, nonce, uri.encode(), proof):
            # Contracts tell who the customers are.
            self._count("peer_requests_dropped", "stranger")
            raise HTTPError(403)
        body = self._find_answer(self)
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header(PROOF, prove(self._peer_keys[0], "answer " + nonce, body))
        self.finish(body)


class _PackedChanges:
    """Answers to peers, packed once for all that ask for the same.

    A manifest changes, and all routers of a zone ask for it.
    """

    def __init__(self, store: ConfigurationStore) -> None:
        self._store = store
        self._kept: dict[tuple[str, int], tuple[int, bytes]] = {}

    def find(self, kind: str, since: int) -> bytes:
        digest = self._store.digest(kind)
        mark = hash(digest)
        kept = self._kept.get((kind, since))
        if kept is None or kept[0] != mark:
            text = json.dumps(self._store.changes_since(kind, since)).encode()
            kept = (mark, zlib.compress(text, PACK_LEVEL))
            if len(self._kept) >= PACKED_KEPT:
                self._kept.clear()
            self._kept[kind, since] = kept
        return kept[1]


def list_handlers(
    store: ConfigurationStore,
    peer_keys: tuple[str, ...],
    count: Callable[[str, str], None],
    find_news: Callable[[], bytes] | None = None,
    may_hand_on: Callable[[int], bool] = lambda size_bytes: True,
) -> list[tuple[str, type[RequestHandler], dict[str, Any]]]:
    """Return what a router answers its peers over HTTP.

    Parameters
    ----------
    store : ConfigurationStore
        Configuration held.
    peer_keys : tuple of str
        Keys shared by the routers.
    count : callable
        Counts requests that no peer sent.
    find_news : callable, optional
        Returns what this router knows of placements, encoded.
    may_hand_on : callable, optional
        Returns whether the link bears an answer of so many bytes now.
    """
    packed = _PackedChanges(store)

    def find_changes(handler: RequestHandler) -> bytes:
        try:
            since = int(handler.get_argument("since"))
        except ValueError:
            raise HTTPError(400) from None
        kind = handler.get_argument("kind")
        text = packed.find(kind, since)
        if not may_hand_on(len(text)):
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

    answers = {CONFIGURATION_PATH: find_changes}
    if find_news is not None:
        answers[PLACEMENTS_PATH] = lambda handler: find_news()
    return [
        (
            path,
            _ProvedHandler,
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
    """Ask a peer for changes.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Not owned.
    address : str
        ``host:port`` of the peer.
    kind : str
        Kind of objects.
    since : int
        Revision up to which this router lacks nothing.
    peer_keys : tuple of str
        The first signs, all verify.

    Returns
    -------
    Changes

    Raises
    ------
    PeerUnavailable
        If the peer did not answer, or its answer was not proved.
    """
    uri = f"{CONFIGURATION_PATH}?kind={kind}&since={since}"
    began_s = time.monotonic()
    text = await pull(client, address, uri, peer_keys)
    changes = _read_changes(text)
    log_event(
        CONFIGURATION_PULLED,
        kind=kind,
        peer=address,
        since=since,
        duration_s=round(time.monotonic() - began_s, 4),
        size_bytes=len(text),
        objects=len(changes.objects),
    )
    return changes


async def pull(
    client: CurlAsyncHTTPClient, address: str, uri: str, peer_keys: tuple[str, ...]
) -> bytes:
    """Ask a peer and return its answer, which is proved.

    Raises
    ------
    PeerUnavailable
        If the peer did not answer, or its answer was not proved.
    """
    nonce = secrets.token_hex(16)
    headers = {NONCE: nonce, PROOF: prove(peer_keys[0], nonce, uri.encode())}
    request = HTTPRequest(
        f"http://{address}{uri}",
        headers=headers,
        request_timeout=PULL_TIMEOUT_S,
        connect_timeout=PULL_TIMEOUT_S,
    )
    try:
        response = await client.fetch(request)
    except (HTTPClientError, OSError) as error:
        raise PeerUnavailable(str(error)) from error
    proof = response.headers.get(PROOF, "")
    if not is_proved(peer_keys, "answer " + nonce, response.body, proof):
        raise PeerUnavailable("the answer is not proved by a peer key")
    return response.body


def _read_changes(text: bytes) -> ChangeSet:
    # A peer of another release may prove an answer of another form.
    try:
        kind, objects, complete, whole = json.loads(zlib.decompress(text))
        items = tuple(ObjectVersion(*item) for item in objects)
    except (TypeError, ValueError, zlib.error) as error:
        raise PeerUnavailable("the answer holds no changes") from error
    return ChangeSet(kind, items, complete, whole)
