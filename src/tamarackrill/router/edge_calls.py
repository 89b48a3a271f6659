"""A client's request on the platform's interface, matched to its route."""

import hashlib
from typing import NamedTuple

from tamarackrill.decisions.manifests import Route
from tamarackrill.decisions.prompts import Prefix, list_prefixes
from tamarackrill.platform.headers import RequestHeaders

FINGERPRINT_BYTES = 8


class EdgeCall(NamedTuple):
    """One request of a client.

    Parameters
    ----------
    method, target : str
        As the client sent them; the target holds the query.
    headers : RequestHeaders
        What its headers say.
    body : bytes
        The whole body.
    route : Route
        The route that it matched.
    service : str
        The service of the route that runs it.
    team : str or None
        Holder of the key; None on a route without keys.
    arrived_s : float
        When its headers had been read.
    limit_s : float
        When the client's deadline or the route's timeout is reached.
    manifest_version : int
        The manifest that decided all this.
    prefixes : tuple of Prefix
        Beginnings of its prompt that other requests share, the longest first.
    urgency : int
        0 is the most urgent; see `engine_waits.rank_urgency`.
    """

    method: str
    target: str
    headers: RequestHeaders
    body: bytes
    route: Route
    service: str
    team: str | None
    arrived_s: float
    limit_s: float
    manifest_version: int
    prefixes: tuple[Prefix, ...]
    urgency: int

    @property
    def is_stream(self) -> bool:
        """Whether its answer is a stream of events, which an engine generates."""
        return self.route.kind == "streaming"

    @property
    def request_id(self) -> str:
        """Identifies one attempt of the client."""
        return self.headers.request_id

    @property
    def session(self) -> str:
        """Key of the longest prefix that others share; empty if there is none."""
        return self.prefixes[0].key if self.prefixes else ""

    @property
    def fingerprint(self) -> int:
        """Same for a request that comes again: path, caller and body."""
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for field in (self.target.encode(), self.headers.key.encode(), self.body):
            digest.update(len(field).to_bytes(8) + field)
        return int.from_bytes(digest.digest())


def find_shared_prefixes(route: Route, headers: RequestHeaders) -> tuple[Prefix, ...]:
    """Return the beginnings of a prompt that other requests have too.

    The last part of a prompt is the request's own; the one before it is that of the
    session, which endpoints may have cached.
    """
    if not route.has_affinity:
        return ()
    return list_prefixes(headers.prompt_parts[:-1] or headers.prompt_parts)
