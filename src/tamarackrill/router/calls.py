"""A caller's request, read and checked, as the tasks of the router pass it on."""

import hashlib
import hmac
import json
import uuid
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from tamarackrill.contracts import Contract, EndpointKind, hash_key
from tamarackrill.decisions.claim_buckets import find_bucket, hash_claim_key
from tamarackrill.exceptions import Refusal

CHAT_PATH = "/v1/chat/completions"
SERVICES_PATH = "/services/"
HEADER_VALUE_MAX = 256
TOKENS_DEFAULT = 256
SERVICE_CALL_TOKENS = 1
PRIORITY_MAX = 9

# Headers of the connection, of the caller's own credentials, and of ours.
_NOT_PASSED_ON = frozenset(
    [
        "Host",
        "Connection",
        "Keep-Alive",
        "Transfer-Encoding",
        "Content-Length",
        "Te",
        "Trailer",
        "Upgrade",
        "Expect",
        "Authorization",
        "Proxy-Authorization",
        "Accept-Encoding",
        "Request-Priority",
        "Request-Timeout-Ms",
        "Last-Event-Id",
        "Chat-Sequence",
        "Request-Id",
        "Tamarackrill-Forwarded",
        "Tamarackrill-May-Have-Run",
        "Tamarackrill-Signature",
    ]
)


class Call(NamedTuple):
    """One request of a team.

    Parameters
    ----------
    request_id : str
        Unique identity, the same at the entry router, home and endpoint.
    contract : Contract
        Contract of the team, as it was in force when the request came.
    kind : {"engine", "service"}
        Which kind of endpoint it needs.
    pool : str
        Model or service.
    method, path : str
        As the endpoint gets them; the path includes the query.
    headers : dict of str to str
        As the endpoint gets them.
    body : bytes
        As the endpoint gets it.
    chat : str
        Name of the chat within the team, or empty.
    sequence : int or None
        Place in the chat, or None if the caller asks for no order.
    key : str
        Idempotency key, or empty.
    idempotent : bool
        False if the contract says that the call may run at most once.
    stream : bool
        Whether the answer is a stream of server-sent events.
    last_event_id : int
        The caller has the events up to this one.
    deadline_s : float
        Latest time of the answer, on the clock of this router.
    size_tokens : int
        Expected cost.
    priority : int
        Higher goes first among the requests of the same team.
    fingerprint : str
        Hash of all that the endpoint would get.
    """

    request_id: str
    contract: Contract
    kind: EndpointKind
    pool: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    chat: str
    sequence: int | None
    key: str
    idempotent: bool
    stream: bool
    last_event_id: int
    deadline_s: float
    size_tokens: int
    priority: int
    fingerprint: str

    @property
    def team(self) -> str:
        """Name of the team."""
        return self.contract.team

    @property
    def home_key(self) -> str:
        """What decides the home router; empty if any router will do."""
        if not self.idempotent and self.sequence is None:
            # Claims of one bucket that come to one router go in one write.  Spread
            # over the routers they would conflict and cost more than one each.
            return f"claims\n{find_bucket(hash_claim_key(self.team, self.key))}"
        name = self.chat or self.key
        return f"{self.team}\n{name}" if name else ""


def authenticate(
    find_holder: Callable[[str], Contract | None], authorization: str
) -> Contract:
    """Return the contract whose key the caller holds.

    Parameters
    ----------
    find_holder : callable
        Returns the contract that holds a key, by the key's hash.
    authorization : str
        Header of the request.

    Raises
    ------
    Refusal
        ``unauthorized`` if no contract has it.
    """
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() == "bearer" and key:
        # Only the hash is looked up and compared.  How long that takes tells a caller
        # something about a hash that it can't steer, and nothing about any key.
        digest = hash_key(key.strip())
        found = find_holder(digest)
        if found and any(hmac.compare_digest(h, digest) for h in found.key_hashes):
            return found
    raise Refusal("unauthorized", 401, "the key is absent or not known")


def read_call(
    contract: Contract,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    now_s: float,
) -> Call:
    """Return the call that a request describes.

    Parameters
    ----------
    contract : Contract
        Contract of the caller's team.
    method, path : str
        Of the request; the path includes the query.
    headers : mapping of str to str
        Of the request.
    body : bytes
        Of the request.
    now_s : float
        Present time on the clock of this router.

    Returns
    -------
    Call

    Raises
    ------
    Refusal
        If the request is malformed or the contract does not allow it.
    """
    kind: EndpointKind
    if path.partition("?")[0] == CHAT_PATH:
        kind, onward_path = "engine", CHAT_PATH
        pool, fields = _read_chat(contract, method, body)
        size_tokens = _read_size(fields)
    else:
        kind, fields = "service", {}
        pool = _read_service(contract, path)
        onward_path = path[len(SERVICES_PATH) + len(pool) :] or "/"
        size_tokens = SERVICE_CALL_TOKENS
    idempotent = kind == "engine" or not _is_non_idempotent(
        contract, pool, method, onward_path
    )
    key = _read_name(headers, "Idempotency-Key")
    if not idempotent and not key:
        message = "this call runs at most once and needs an Idempotency-Key"
        raise Refusal("key_required", 400, message)
    passed = {k: v for k, v in headers.items() if k.title() not in _NOT_PASSED_ON}
    return Call(
        request_id=uuid.uuid4().hex,
        contract=contract,
        kind=kind,
        pool=pool,
        method=method,
        path=onward_path,
        headers=passed,
        body=body,
        chat=_read_name(headers, "Chat-Id"),
        sequence=_read_integer(headers, "Chat-Sequence", 1, 1 << 53),
        key=key,
        idempotent=idempotent,
        stream=bool(fields.get("stream")),
        last_event_id=_read_integer(headers, "Last-Event-ID", 0, 1 << 53) or 0,
        deadline_s=now_s + _read_timeout(contract, headers),
        size_tokens=size_tokens,
        priority=_read_priority(contract, headers),
        fingerprint=_fingerprint(contract.team, pool, method, onward_path, body),
    )


def _read_chat(
    contract: Contract, method: str, body: bytes
) -> tuple[str, dict[str, Any]]:
    if method != "POST":
        raise Refusal("method_not_allowed", 405, "chat completions take POST")
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        raise Refusal("malformed_body", 400, "the body is no JSON") from None
    if not isinstance(fields, dict) or not _has_messages(fields):
        message = "the body must hold a list of messages, each with a content"
        raise Refusal("malformed_body", 400, message)
    model = fields.get("model")
    if not isinstance(model, str) or model not in contract.models:
        raise Refusal("unknown_model", 404, "the contract has no such model")
    return model, fields


def _has_messages(fields: dict[str, Any]) -> bool:
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        return False
    return all(isinstance(item, dict) and "content" in item for item in messages)


def _read_size(fields: dict[str, Any]) -> int:
    size = fields.get("max_tokens", TOKENS_DEFAULT)
    if not isinstance(size, int) or isinstance(size, bool) or size < 1:
        raise Refusal("malformed_body", 400, "max_tokens must be a whole number from 1")
    return size


def _read_service(contract: Contract, path: str) -> str:
    service = path[len(SERVICES_PATH) :].partition("?")[0].partition("/")[0]
    if service not in contract.services:
        raise Refusal("unknown_service", 404, "the contract has no such service")
    return service


def _is_non_idempotent(
    contract: Contract, service: str, method: str, path: str
) -> bool:
    return any(
        pattern.service == service
        and pattern.method in ("*", method)
        and path.startswith(pattern.path_prefix)
        for pattern in contract.non_idempotent
    )


def _read_name(headers: Mapping[str, str], name: str) -> str:
    value = headers.get(name, "")
    if len(value) > HEADER_VALUE_MAX or not value.isprintable():
        message = f"{name} must be printable, {HEADER_VALUE_MAX} characters at most"
        raise Refusal("malformed_header", 400, message)
    return value


def _read_integer(
    headers: Mapping[str, str], name: str, least: int, most: int
) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()) or not least <= int(text[:20]) <= most:
        message = f"{name} must be a whole number from {least}"
        raise Refusal("malformed_header", 400, message)
    return int(text)


def _read_timeout(contract: Contract, headers: Mapping[str, str]) -> float:
    asked_ms = _read_integer(headers, "Request-Timeout-Ms", 1, 86_400_000)
    if asked_ms is None:
        return contract.deadline_s
    return min(asked_ms / 1000, contract.deadline_max_s)


def _read_priority(contract: Contract, headers: Mapping[str, str]) -> int:
    asked = _read_integer(headers, "Request-Priority", 0, PRIORITY_MAX)
    return contract.priority if asked is None else asked


def _fingerprint(team: str, pool: str, method: str, path: str, body: bytes) -> str:
    head = f"{team}\n{pool}\n{method}\n{path}\n".encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()
