"""Explains where a call would be routed now, and why, without sending it."""

from typing import Any, NamedTuple

from tamarackrill.contracts import Contract, EndpointKind
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.exceptions import Refusal
from tamarackrill.router.calls import Call
from tamarackrill.router.members import Member
from tamarackrill.router.placing import Placer

HOMES_SHOWN = 3
REQUEST_ID = "explain"
# No request has this fingerprint, so no crash is attributed to an explained call.
NO_FINGERPRINT = "0" * 32


class ExplainQuery(NamedTuple):
    """Call that an operator asks about.

    Parameters
    ----------
    team, chat : str
        Name of the team; name of the chat, or empty.
    model, service : str
        What the call requests; one of them is empty.
    """

    team: str
    chat: str
    model: str
    service: str

    @property
    def kind(self) -> EndpointKind:
        """Kind of endpoint that the call needs."""
        return "engine" if self.model else "service"

    @property
    def pool(self) -> str:
        """Model or service."""
        return self.model or self.service


def explain(
    query: ExplainQuery,
    contracts: list[Contract],
    members: list[Member],
    placer: Placer,
    now_s: float,
) -> dict[str, Any]:
    """Return where a call would be routed now, by what this router knows.

    Parameters
    ----------
    query : ExplainQuery
        Call to explain.
    contracts : list of Contract
        Contracts in force.
    members : list of Member
        Live routers.
    placer : Placer
        Chooses endpoints at this router; the explained call is not counted.
    now_s : float
        Current time.

    Returns
    -------
    dict
        Home routers in order, the endpoint with reason and runners-up, and each
        candidate with its load.

    Raises
    ------
    Refusal
        If the team has no contract, or its contract does not allow the call.
    """
    contract = _find_contract(query, contracts)
    call = _make_call(query, contract, now_s)
    placed = placer.choose(call, (), now_s)
    candidates = placer.list_candidates(call)
    names = [endpoint.name for endpoint in candidates]
    loads = placer.placement.loads.estimate(names, now_s)
    allowed = set(placer.health.find_allowed(names, now_s))
    homes = _find_homes(call, members)
    return {
        "homes": [home.name for home in homes],
        "home_address": homes[0].address if homes else "",
        "endpoint": placed.endpoint.name if placed else None,
        "reason": placed.reason if placed else "no_endpoint",
        "runners_up": list(placed.runners_up) if placed else [],
        "candidates": [
            {
                "endpoint": endpoint.name,
                "zone": endpoint.zone,
                "load": load,
                "slots": endpoint.slots,
                "ejected": endpoint.name not in allowed,
            }
            for endpoint, load in zip(candidates, loads, strict=True)
        ],
    }


def _find_contract(query: ExplainQuery, contracts: list[Contract]) -> Contract:
    for contract in contracts:
        if contract.team == query.team:
            break
    else:
        raise Refusal("unknown_team", 404, f"no contract for {query.team!r}")
    if query.pool not in contract.models + contract.services:
        message = f"the contract does not allow {query.pool!r}"
        raise Refusal(f"unknown_{_name_pool_type(query)}", 404, message)
    return contract


def _name_pool_type(query: ExplainQuery) -> str:
    return "model" if query.model else "service"


def _find_homes(call: Call, members: list[Member]) -> list[Member]:
    if not call.home_key:
        return []
    known = {member.name: member for member in members}
    names = rendezvous_order(call.home_key, list(known), HOMES_SHOWN)
    return [known[name] for name in names]


def _make_call(query: ExplainQuery, contract: Contract, now_s: float) -> Call:
    return Call(
        request_id=REQUEST_ID,
        contract=contract,
        kind=query.kind,
        pool=query.pool,
        method="GET",
        path="/",
        headers={},
        body=b"",
        chat=query.chat,
        sequence=None,
        key="",
        idempotent=True,
        stream=False,
        last_event_id=0,
        deadline_s=now_s,
        size_tokens=1,
        priority=contract.priority,
        fingerprint=NO_FINGERPRINT,
    )
