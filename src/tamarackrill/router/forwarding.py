"""Forwards a call to its home router over HTTP.

The body may be long or streamed, so it is sent like a caller's request; only control
messages between routers use Thrift (docs/design/home.md).
"""

import hashlib
import hmac
from collections.abc import Mapping

from tamarackrill.router.calls import CHAT_PATH, SERVICES_PATH, Call
from tamarackrill.router.members import Member
from tamarackrill.router.upstream import Exchange, UpstreamClient

FORWARDED_HEADER = "Tamarackrill-Forwarded"
SIGNATURE_HEADER = "Tamarackrill-Signature"
# Tells the next home that another router already had the call.  It needs no signature:
# a caller that forges it only receives "unknown" instead of "not_run".
MAY_HAVE_RUN_HEADER = "Tamarackrill-May-Have-Run"


def sign_forwarded_call(peer_key: str, request_id: str, fingerprint: str) -> str:
    """Return the HMAC that proves that a router forwarded a call."""
    message = f"{request_id}\n{fingerprint}".encode()
    return hmac.new(peer_key.encode(), message, hashlib.sha256).hexdigest()


def verify_forwarded_id(
    headers: Mapping[str, str], fingerprint: str, peer_keys: tuple[str, ...]
) -> str:
    """Return the request id of a forwarded call, or an empty string.

    A caller can set the header itself.  Without the signature it could take the id of
    another team's call and receive that call's stream.
    """
    request_id = headers.get(FORWARDED_HEADER, "")
    given_signature = headers.get(SIGNATURE_HEADER, "")
    for peer_key in peer_keys:
        expected = sign_forwarded_call(peer_key, request_id, fingerprint)
        if request_id and hmac.compare_digest(
            given_signature.encode(), expected.encode()
        ):
            return request_id
    return ""


def forward_call(
    client: UpstreamClient,
    call: Call,
    home: Member,
    authorization: str,
    peer_key: str,
    now_s: float,
    may_have_run: bool = False,
) -> Exchange:
    """Send a call to its home router and return the exchange.

    Parameters
    ----------
    client : UpstreamClient
        Not owned.
    call : Call
        The call.
    home : Member
        The home router.
    authorization : str
        The caller's header, which the home router checks again.
    peer_key : str
        Key that signs the forwarded call.
    now_s : float
        Current time.
    may_have_run : bool, default=False
        Whether another router already had the call.

    Returns
    -------
    Exchange
    """
    remaining_s = max(0.001, call.deadline_s - now_s)
    headers = {
        **call.headers,
        "Authorization": authorization,
        "Request-Timeout-Ms": str(max(1, round(remaining_s * 1000))),
        FORWARDED_HEADER: call.request_id,
        SIGNATURE_HEADER: sign_forwarded_call(
            peer_key, call.request_id, call.fingerprint
        ),
    }
    if may_have_run:
        headers[MAY_HAVE_RUN_HEADER] = "1"
    if call.sequence is not None:
        headers["Chat-Sequence"] = str(call.sequence)
    if call.last_event_id:
        headers["Last-Event-ID"] = str(call.last_event_id)
    path = call.path
    if not path.startswith(CHAT_PATH):
        path = f"{SERVICES_PATH}{call.pool}{call.path}"
    url = f"http://{home.address}{path}"
    return Exchange(
        client, call.method, url, headers, call.body, remaining_s, call.idempotent
    )
