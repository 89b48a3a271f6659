"""Parses and validates a caller's request, and authenticates the caller."""

import hashlib
import hmac
import json
import uuid
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from tamarackrill.contracts import Contract, EndpointKind, hash_key
from tamarackrill.decisions.claim_buckets import find_bucket, hash_claim_key
from tamarackrill.decisions.hashing import hash_name
from tamarackrill.decisions.prompts import PARTS_MAX, Prompt
from tamarackrill.decisions.request_targets import is_sendable
from tamarackrill.exceptions import Refusal

CHAT_PATH = "/v1/chat/completions"
SERVICES_PATH = "/services/"
HEADER_VALUE_MAX = 256
MAX_TOKENS_DEFAULT = 256
# Usage is calculated as floating-point numbers.
MAX_TOKENS_MAX = 1 << 31
SERVICE_CALL_TOKENS = 1
PRIORITY_MAX = 9

# Headers that are not forwarded to the endpoint: those of the connection, the caller's
# credentials, and those that the router itself handles.
_DROPPED_REQUEST_HEADERS = frozenset(
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
    """One validated request of a team.

    Parameters
    ----------
    request_id : str
        Unique identifier, the same at the entry router, the home router and the
        endpoint.
    contract : Contract
        Contract of the team, as in force when the request arrived.
    kind : {"engine", "service"}
        Kind of endpoint that the call needs.
    pool : str
        Model or service.
    method, path : str
        As sent to the endpoint; the path includes the query.
    headers : dict of str to str
        As sent to the endpoint.
    body : bytes
        As sent to the endpoint.
    chat : str
        Name of the chat within the team, or empty.
    sequence : int or None
        Position in the chat, or None if the caller does not ask for ordering.
    key : str
        Idempotency key, or empty.
    idempotent : bool
        False if the contract says that the call may run at most once.
    stream : bool
        Whether the answer is a stream of server-sent events.
    last_event_id : int
        Number of the last event that the caller has received, or 0.
    deadline_s : float
        Latest time for the answer, on the clock of this router.
    size_tokens : int
        Expected cost in tokens.
    priority : int
        Requests of the same team with a higher priority go first.
    fingerprint : str
        Hash of team, pool, method, path and body.
    parts : tuple of int
        Hashes of the messages of a chat but the last, which other calls may share.
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
    parts: tuple[int, ...] = ()

    @property
    def prompt(self) -> Prompt:
        """The prompt, as far as other calls may share it."""
        return Prompt(self.request_id, self.pool, "", self.team, self.parts)

    @property
    def team(self) -> str:
        """Name of the team."""
        return self.contract.team

    @property
    def home_key(self) -> str:
        """Key that selects the home router; empty if any router can run the call."""
        if not self.idempotent and self.sequence is None:
            # One router batches its claims of a bucket into one write.  Made by several
            # routers they would conflict and take more than one write each.
            return f"claims\n{find_bucket(hash_claim_key(self.team, self.key))}"
        name = self.chat or self.key
        return f"{self.team}\n{name}" if name else ""


def authenticate(
    find_contract_by_key_hash: Callable[[str], Contract | None], authorization: str
) -> Contract:
    """Return the contract that the caller's API key belongs to.

    Parameters
    ----------
    find_contract_by_key_hash : callable
        Returns the contract that a key belongs to, by the key's hash.
    authorization : str
        Value of the request's Authorization header.

    Raises
    ------
    Refusal
        ``unauthorized`` if the key is absent or belongs to no contract.
    """
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() == "bearer" and key:
        # Only the hash is looked up and compared.  The time this takes can reveal
        # something about a hash, which a caller can't control, but nothing about a key.
        digest = hash_key(key.strip())
        found = find_contract_by_key_hash(digest)
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
    """Parse and validate a request.

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
        Current time on the clock of this router.

    Returns
    -------
    Call

    Raises
    ------
    Refusal
        If the request is malformed or the contract does not allow it.
    """
    if not is_sendable(path) or "#" in path:
        message = "the target must be visible ASCII without a fragment"
        raise Refusal("malformed_target", 400, message)
    kind: EndpointKind
    if path.partition("?")[0] == CHAT_PATH:
        kind, endpoint_path = "engine", CHAT_PATH
        pool, fields = _read_chat(contract, method, body)
        size_tokens = _read_max_tokens(fields)
    else:
        kind, fields = "service", {}
        pool = _read_service(contract, path)
        endpoint_path = path[len(SERVICES_PATH) + len(pool) :] or "/"
        size_tokens = SERVICE_CALL_TOKENS
    idempotent = kind == "engine" or not _is_non_idempotent(
        contract, pool, method, endpoint_path
    )
    key = _read_name(headers, "Idempotency-Key")
    if not idempotent and not key:
        message = "this call runs at most once and needs an Idempotency-Key"
        raise Refusal("key_required", 400, message)
    forwarded_headers = {
        k: v for k, v in headers.items() if k.title() not in _DROPPED_REQUEST_HEADERS
    }
    return Call(
        request_id=uuid.uuid4().hex,
        contract=contract,
        kind=kind,
        pool=pool,
        method=method,
        path=endpoint_path,
        headers=forwarded_headers,
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
        fingerprint=_hash_request(contract.team, pool, method, endpoint_path, body),
        parts=_hash_messages(fields),
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


def _hash_messages(fields: dict[str, Any]) -> tuple[int, ...]:
    messages = fields.get("messages", ())[:-1][:PARTS_MAX]
    return tuple(hash_name(json.dumps(item, sort_keys=True)) for item in messages)


def _read_max_tokens(fields: dict[str, Any]) -> int:
    size = fields.get("max_tokens", MAX_TOKENS_DEFAULT)
    is_number = isinstance(size, int) and not isinstance(size, bool)
    if not is_number or not 1 <= size <= MAX_TOKENS_MAX:
        message = f"max_tokens must be a whole number from 1 to {MAX_TOKENS_MAX}"
        raise Refusal("malformed_body", 400, message)
    return int(size)


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
    headers: Mapping[str, str], name: str, minimum: int, maximum: int
) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    if (
        not (text.isascii() and text.isdigit())
        or not minimum <= int(text[:20]) <= maximum
    ):
        message = f"{name} must be a whole number from {minimum}"
        raise Refusal("malformed_header", 400, message)
    return int(text)


def _read_timeout(contract: Contract, headers: Mapping[str, str]) -> float:
    requested_ms = _read_integer(headers, "Request-Timeout-Ms", 1, 86_400_000)
    if requested_ms is None:
        return contract.deadline_s
    return min(requested_ms / 1000, contract.deadline_max_s)


def _read_priority(contract: Contract, headers: Mapping[str, str]) -> int:
    requested = _read_integer(headers, "Request-Priority", 0, PRIORITY_MAX)
    return contract.priority if requested is None else requested


def _hash_request(team: str, pool: str, method: str, path: str, body: bytes) -> str:
    head = f"{team}\n{pool}\n{method}\n{path}\n".encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()
