"""Which engine should load which model, paced to the weight store.

Load pattern: a contract names a model that no live engine serves, because it is new
or because the engines that served it went.  Without this its callers would be
refused until somebody noticed; without pacing, a zone's engines that restart together
would all read the rate-limited weight store at once and none would be ready soon.

Nothing is taken off an engine unless another live engine serves it or no contract
needs it: an order can therefore make a model available but never unavailable.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from tamarackrill.contracts import Contract, Endpoint

# Loads that the weight store serves at once without slowing each other.  There is no
# measured figure of a real store yet (docs/QUESTIONS.md), so one at a time.
LOADS_AT_ONCE = 1
# After so long an ordered load that has not shown up is taken for lost.
LOAD_MAX_S = 300.0


class LoadOrder(NamedTuple):
    """Have an engine load a model, in the place of another one if it is full."""

    engine: str
    model: str
    replaces: str = ""


class PendingLoad(NamedTuple):
    """An order that was given, and when."""

    order: LoadOrder
    ordered_s: float


def list_needed_models(contracts: Iterable[Contract]) -> list[str]:
    """Return the models that contracts name, the most named first."""
    counts = Counter(model for contract in contracts for model in contract.models)
    return [model for model, _ in sorted(counts.items(), key=lambda i: (-i[1], i[0]))]


def drop_finished_loads(
    pending: Mapping[str, PendingLoad], engines: Sequence[Endpoint], now_s: float
) -> dict[str, PendingLoad]:
    """Return the pending loads, by engine, that are neither done nor lost."""
    serves = {engine.name: engine.serves for engine in engines}
    return {
        name: load
        for name, load in pending.items()
        if load.order.model not in serves.get(name, (load.order.model,))
        and now_s < load.ordered_s + LOAD_MAX_S
    }


def plan_loads(
    needed: Sequence[str],
    engines: Sequence[Endpoint],
    pending: Mapping[str, PendingLoad],
    loads_at_once: int = LOADS_AT_ONCE,
) -> list[LoadOrder]:
    """Return the orders to give now.

    Parameters
    ----------
    needed : sequence of str
        Models, the most urgent first.
    engines : sequence of Endpoint
        Live engines.
    pending : mapping of str to PendingLoad
        Orders given before and not done, by engine.
    loads_at_once : int, default=LOADS_AT_ONCE
        Loads that the weight store stands.

    Returns
    -------
    list of LoadOrder
        At most as many as the pace leaves room for.
    """
    served = Counter(model for engine in engines for model in engine.serves)
    coming = {load.order.model for load in pending.values()}
    missing = [m for m in needed if not served[m] and m not in coming]
    idle = [engine for engine in engines if engine.name not in pending]
    orders: list[LoadOrder] = []
    for model in missing[: max(0, loads_at_once - len(pending))]:
        order = _find_engine(model, idle, served, needed)
        if order is not None:
            orders.append(order)
            idle = [engine for engine in idle if engine.name != order.engine]
            served[order.replaces] -= 1
    return orders


def _find_engine(
    model: str,
    idle: Sequence[Endpoint],
    served: Mapping[str, int],
    needed: Sequence[str],
) -> LoadOrder | None:
    with_room = [engine for engine in idle if len(engine.serves) < engine.models_max]
    if with_room:
        chosen = min(with_room, key=lambda engine: (len(engine.serves), engine.name))
        return LoadOrder(chosen.name, model)
    spare = [
        (other in needed, -served[other], engine.name, other)
        for engine in idle
        for other in engine.serves
        if other not in needed or served[other] > 1
    ]
    if not spare:
        return None
    _, _, name, replaced = min(spare)
    return LoadOrder(name, model, replaced)
