"""Client requests on the platform's interface, matched to their routes."""

import hashlib
from typing import NamedTuple

from tamarackrill.decisions.hashing import hash_name
from tamarackrill.decisions.manifests import Route
from tamarackrill.decisions.prompts import PARTS_MAX, Prefix, Prompt, list_prefixes
from tamarackrill.platform.headers import RequestHeaders

FINGERPRINT_BYTES = 8


class EdgeCall(NamedTuple):
    """A client request and the route, service and deadline that apply to it.

    Parameters
    ----------
    method, target : str
        As the client sent them; the target includes the query.
    headers : RequestHeaders
        Parsed headers.
    body : bytes
        Complete body.
    route : Route
        Matching route.
    service : str
        Service chosen among those of the route.
    team : str or None
        Owner of the API key; None on a route without keys.
    arrived_s : float
        When the headers were read.
    deadline_s : float
        The client's deadline or the end of the route's timeout, whichever is earlier.
    manifest_version : int
        Version of the manifest that these values are based on.
    prefixes : tuple of Prefix
        Prefixes of the prompt that other requests share, the longest first.
    urgency : int
        0 is the most urgent; see `engine_waits.rank_urgency`.
    parts : tuple of int
        Hashes of the parts of the prompt that other requests may share, in order.
    weight : float
        Weight of the team in the shares of a plain service's capacity.
    """

    method: str
    target: str
    headers: RequestHeaders
    body: bytes
    route: Route
    service: str
    team: str | None
    arrived_s: float
    deadline_s: float
    manifest_version: int
    prefixes: tuple[Prefix, ...]
    urgency: int
    parts: tuple[int, ...] = ()
    weight: float = 1.0

    @property
    def is_stream(self) -> bool:
        """Whether the response is an event stream, which an engine generates."""
        return self.route.kind == "streaming"

    @property
    def is_taken_up(self) -> bool:
        """Whether the client has received part of the stream by an earlier attempt."""
        return self.is_stream and self.headers.last_event_id is not None

    @property
    def stream_id(self) -> str:
        """The client's attempt that began the stream, this one if it is new."""
        return find_first_attempt(self.headers)

    @property
    def request_id(self) -> str:
        """Identifier of one attempt of the client."""
        return self.headers.request_id

    @property
    def session(self) -> str:
        """Key of the longest shared prefix; empty if there is none."""
        return self.prefixes[0].key if self.prefixes else ""

    @property
    def prompt(self) -> Prompt:
        """The prompt, as far as other requests may share it."""
        return Prompt(
            self.request_id,
            self.service,
            self.headers.model,
            self.team or "",
            self.parts,
        )

    @property
    def fingerprint(self) -> int:
        """Hash of target, API key and body, the same for each retry by the client."""
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for field in (self.target.encode(), self.headers.key.encode(), self.body):
            digest.update(len(field).to_bytes(8) + field)
        return int.from_bytes(digest.digest())


def describe_call(call: EdgeCall) -> dict[str, object]:
    """Return the fields that the log events of a request have in common."""
    return {
        "request": call.request_id,
        "route": call.route.name,
        "service": call.service,
        "team": call.team or "",
    }


def describe_answer(
    call: EdgeCall, first_event_s: float | None, now_s: float
) -> dict[str, object]:
    """Return the fields that tell whether an answer that ends now was in time.

    Parameters
    ----------
    call : EdgeCall
        The request.
    first_event_s : float or None
        When the first event of its stream was forwarded; None if it had none.
    now_s : float
        Present time.
    """
    answered_s = now_s if first_event_s is None else first_event_s
    return {
        "is_stream": call.is_stream,
        "objective_s": call.route.objective_s,
        "answer_s": answered_s - call.arrived_s,
        "total_s": now_s - call.arrived_s,
    }


def find_first_attempt(headers: RequestHeaders) -> str:
    """Return the client's attempt that began a stream, or the request's own."""
    if headers.last_event_id is None:
        return headers.request_id
    return headers.resumed_id or headers.request_id


def hash_shared_parts(headers: RequestHeaders) -> tuple[int, ...]:
    """Return the hashes of a prompt's parts but the last, which no other has."""
    shared = headers.prompt_parts[:-1][:PARTS_MAX]
    return tuple(hash_name(part.id) for part in shared)


def find_shared_prefixes(route: Route, headers: RequestHeaders) -> tuple[Prefix, ...]:
    """Return the prefixes of a prompt that other requests share.

    The last part of a prompt is unique to the request; the part before it belongs to
    the session, which endpoints may have cached.
    """
    if not route.has_affinity:
        return ()
    return list_prefixes(headers.prompt_parts[:-1] or headers.prompt_parts)
