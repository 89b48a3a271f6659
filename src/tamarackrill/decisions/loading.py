"""Model loading: decides which engine loads which model, paced to the weight store.

Load pattern: a contract names a model that no live engine serves, because the model is
new or the engines that served it are gone. Without this its callers would be refused
until an operator noticed. Without pacing, engines of a zone that restart together would
all read from the rate-limited weight store at once and none would be ready soon.

A model is unloaded from an engine only if another live engine serves it or no contract
needs it, so an order never makes a needed model unavailable.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from tamarackrill.contracts import Contract, Endpoint

# Concurrent loads that the weight store can serve without slowing each other. The
# capacity of a real store is unknown (docs/QUESTIONS.md), so one at a time.
CONCURRENT_LOADS_MAX = 1
# Time after which an ordered load that has not completed is considered lost.
LOAD_TIMEOUT_S = 300.0


class LoadOrder(NamedTuple):
    """Tells an engine to load a model, replacing another one if the engine is full."""

    engine: str
    model: str
    replaces: str = ""


class PendingLoad(NamedTuple):
    """An order that was sent, and when."""

    order: LoadOrder
    ordered_s: float


def list_needed_models(contracts: Iterable[Contract]) -> list[str]:
    """Return the models that contracts name, the most frequently named first."""
    counts = Counter(model for contract in contracts for model in contract.models)
    return [model for model, _ in sorted(counts.items(), key=lambda i: (-i[1], i[0]))]


def drop_finished_loads(
    pending: Mapping[str, PendingLoad], engines: Sequence[Endpoint], now_s: float
) -> dict[str, PendingLoad]:
    """Return the pending loads, by engine, that are neither completed nor lost."""
    serves = {engine.name: engine.serves for engine in engines}
    return {
        name: load
        for name, load in pending.items()
        if load.order.model not in serves.get(name, (load.order.model,))
        and now_s < load.ordered_s + LOAD_TIMEOUT_S
    }


def plan_loads(
    needed: Sequence[str],
    engines: Sequence[Endpoint],
    pending: Mapping[str, PendingLoad],
    concurrent_loads_max: int = CONCURRENT_LOADS_MAX,
) -> list[LoadOrder]:
    """Return the load orders to send now.

    Parameters
    ----------
    needed : sequence of str
        Models, the most urgent first.
    engines : sequence of Endpoint
        Live engines.
    pending : mapping of str to PendingLoad
        Outstanding orders by engine.
    concurrent_loads_max : int, default=CONCURRENT_LOADS_MAX
        Concurrent loads that the weight store can serve.

    Returns
    -------
    list of LoadOrder
        No more than the concurrency limit leaves room for.
    """
    served = Counter(model for engine in engines for model in engine.serves)
    loading = {load.order.model for load in pending.values()}
    missing = [m for m in needed if not served[m] and m not in loading]
    idle = [engine for engine in engines if engine.name not in pending]
    orders: list[LoadOrder] = []
    for model in missing[: max(0, concurrent_loads_max - len(pending))]:
        order = _plan_load(model, idle, served, needed)
        if order is not None:
            orders.append(order)
            idle = [engine for engine in idle if engine.name != order.engine]
            served[order.replaces] -= 1
    return orders


def _plan_load(
    model: str,
    idle: Sequence[Endpoint],
    served: Mapping[str, int],
    needed: Sequence[str],
) -> LoadOrder | None:
    with_room = [engine for engine in idle if len(engine.serves) < engine.models_max]
    if with_room:
        chosen = min(with_room, key=lambda engine: (len(engine.serves), engine.name))
        return LoadOrder(chosen.name, model)
    replaceable = [
        (other in needed, -served[other], engine.name, other)
        for engine in idle
        for other in engine.serves
        if other not in needed or served[other] > 1
    ]
    if not replaceable:
        return None
    _, _, name, replaced = min(replaceable)
    return LoadOrder(name, model, replaced)
