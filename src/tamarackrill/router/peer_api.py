"""Configuration from router to router, over HTTP.

A contract list may be a megabyte, so it does not go by UDP.  Request and answer each
carry a keyed digest; the request's nonce is part of both, so that neither an old
answer nor one to another request is taken.
"""

import hashlib
import hmac
import json
import secrets
from collections.abc import Callable

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.web import HTTPError, RequestHandler

from tamarackrill.decisions.configuration import (
    Changes,
    ConfigurationStore,
    ObjectVersion,
)
from tamarackrill.exceptions import TamarackrillError

CONFIGURATION_PATH = "/internal/v1/configuration"
PULL_TIMEOUT_S = 3.0
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


class ConfigurationHandler(RequestHandler):
    """Answers a peer that asks for changes."""

    def initialize(
        self,
        store: ConfigurationStore,
        peer_keys: tuple[str, ...],
        count: Callable[[str, str], None],
    ) -> None:
        """Take what the handler serves from."""
        self._store = store
        self._peer_keys = peer_keys
        self._count = count

    def get(self) -> None:
        """Answer with the changes of one kind after a revision."""
        nonce = self.request.headers.get(NONCE, "")
        proof = self.request.headers.get(PROOF, "")
        uri = self.request.uri or ""
        if not is_proved(self._peer_keys, nonce, uri.encode(), proof):
            # Contracts tell who the customers are.
            self._count("peer_requests_dropped", "stranger")
            raise HTTPError(403)
        try:
            since = int(self.get_argument("since"))
        except ValueError:
            raise HTTPError(400) from None
        changes = self._store.changes_since(self.get_argument("kind"), since)
        body = json.dumps(changes).encode()
        self.set_header("Content-Type", "application/json")
        self.set_header(PROOF, prove(self._peer_keys[0], "answer " + nonce, body))
        self.finish(body)


async def pull_changes(
    client: CurlAsyncHTTPClient,
    address: str,
    kind: str,
    since: int,
    peer_keys: tuple[str, ...],
) -> Changes:
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
    nonce = secrets.token_hex(16)
    uri = f"{CONFIGURATION_PATH}?kind={kind}&since={since}"
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
    return _read_changes(response.body)


def _read_changes(text: bytes) -> Changes:
    # A peer of another release may prove an answer of another form.
    try:
        kind, objects, complete, whole = json.loads(text)
        items = tuple(ObjectVersion(*item) for item in objects)
    except (TypeError, ValueError) as error:
        raise PeerUnavailable("the answer holds no changes") from error
    return Changes(kind, items, complete, whole)
