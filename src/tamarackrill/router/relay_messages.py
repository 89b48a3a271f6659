"""Signed headers of attempts that one router forwards for another."""

import secrets
from collections.abc import Iterable
from typing import NamedTuple

from tamarackrill.router.peer_api import NONCE_HEADER, is_authentic, sign

ENDPOINT_HEADER = "Tamarackrill-Relay-Endpoint"
REPEATABLE_HEADER = "Tamarackrill-Relay-Repeatable"
PROOF_HEADER = "Tamarackrill-Relay-Proof"
# Header of each response to a forwarded attempt: the endpoint has answered, or the
# attempt was not sent to it.
OUTCOME_HEADER = "Tamarackrill-Relay-Outcome"
ANSWERED = "answered"
NOT_SENT = "not_sent"

_OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        ENDPOINT_HEADER,
        REPEATABLE_HEADER,
        PROOF_HEADER,
        OUTCOME_HEADER,
        NONCE_HEADER,
    )
)

Headers = list[tuple[str, str]]


class RelayedAttempt(NamedTuple):
    """An attempt that another router is asked to forward.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    is_repeatable : bool
        Whether the request may run more than once, so that a pooled connection may be
        used.
    method, target : str
        Method and target, unchanged.
    headers : list of (str, str)
        Headers that the endpoint receives.
    body : bytes
        Complete body.
    """

    endpoint: str
    is_repeatable: bool
    method: str
    target: str
    headers: Headers
    body: bytes


def add_relay_headers(attempt: RelayedAttempt, key: str) -> Headers:
    """Return the headers of an attempt, with those that address and sign it."""
    nonce = secrets.token_hex(16)
    # A client may have sent headers of these names.
    attempt = attempt._replace(headers=remove_relay_headers(attempt.headers))
    return [
        *attempt.headers,
        (ENDPOINT_HEADER, attempt.endpoint),
        (REPEATABLE_HEADER, str(int(attempt.is_repeatable))),
        (NONCE_HEADER, nonce),
        (PROOF_HEADER, sign(key, nonce, _encode(attempt))),
    ]


def read_attempt(
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    keys: tuple[str, ...],
) -> RelayedAttempt | None:
    """Return the attempt that a peer asks to forward; None if it is not authentic."""
    own = {n.lower(): value for n, value in headers if n.lower() in _OWN_HEADERS}
    attempt = RelayedAttempt(
        own.get(ENDPOINT_HEADER.lower(), ""),
        own.get(REPEATABLE_HEADER.lower()) == "1",
        method,
        target,
        remove_relay_headers(headers),
        body,
    )
    nonce = own.get(NONCE_HEADER.lower(), "")
    proof = own.get(PROOF_HEADER.lower(), "")
    return attempt if is_authentic(keys, nonce, _encode(attempt), proof) else None


def remove_relay_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers without those between routers."""
    return [
        (name, value) for name, value in headers if name.lower() not in _OWN_HEADERS
    ]


def _encode(attempt: RelayedAttempt) -> bytes:
    # HTTP allows a server to reorder headers with different names, and to change the
    # case of names.
    pairs = sorted(f"{name.lower()}:{value.strip()}" for name, value in attempt.headers)
    lines = (
        attempt.endpoint,
        str(int(attempt.is_repeatable)),
        attempt.method,
        attempt.target,
        *pairs,
    )
    # No part can contain a line break, so different attempts have different texts.
    return "\n".join(lines).encode("latin-1") + b"\n\n" + attempt.body
