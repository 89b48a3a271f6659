import pytest

from tamarackrill.contracts import Contract, Endpoint
from tamarackrill.decisions.loading import (
    LOAD_TIMEOUT_S,
    LoadOrder,
    PendingLoad,
    drop_finished_loads,
    list_needed_models,
    plan_loads,
)


def _engine(name, *serves, models_max=1):
    return Endpoint(name, "engine", serves, "", "z", models_max=models_max)


@pytest.mark.parametrize(
    ("needed", "engines", "expected"),
    [
        (["a"], [_engine("1", "a")], []),
        (["b"], [_engine("1", "a", models_max=2)], [LoadOrder("1", "b")]),
        (["a", "b"], [_engine("1", "a")], []),
        (["b"], [_engine("1", "a")], [LoadOrder("1", "b", "a")]),
        (
            ["a", "b"],
            [_engine("1", "a"), _engine("2", "a")],
            [LoadOrder("1", "b", "a")],
        ),
        (["b", "c"], [_engine("1", models_max=2)], [LoadOrder("1", "b")]),
    ],
)
def test_needed_model_is_loaded_without_removing_another(needed, engines, expected):
    assert plan_loads(needed, engines, {}) == expected


def test_loads_are_limited_by_the_weight_store():
    # All engines of a zone restart together and all models are missing. The weight
    # store is rate-limited: if all models were loaded at once, none would be ready
    # soon.
    engines = [_engine(str(number), models_max=2) for number in range(5)]
    pending = {}
    most_pending = 0
    for now_s in range(20):
        for order in plan_loads(list("abcdef"), engines, pending):
            pending[order.engine] = PendingLoad(order, now_s)
        most_pending = max(most_pending, len(pending))
        done = [load.order for load in pending.values() if now_s - load.ordered_s > 1]
        engines = [
            engine._replace(
                serves=(
                    *engine.serves,
                    *(o.model for o in done if o.engine == engine.name),
                )
            )
            for engine in engines
        ]
        pending = drop_finished_loads(pending, engines, now_s)
    assert most_pending == 1
    assert {model for engine in engines for model in engine.serves} == set("abcdef")


def test_lost_load_is_ordered_again():
    # The engine accepted the order and crashed. Without a timeout no other engine would
    # be told to load the model, and its callers would be refused indefinitely.
    engines = [_engine("1", models_max=2), _engine("2", models_max=2)]
    pending = {"1": PendingLoad(LoadOrder("1", "a"), 0.0)}
    assert drop_finished_loads(pending, engines, LOAD_TIMEOUT_S - 1) == pending
    assert drop_finished_loads(pending, engines, LOAD_TIMEOUT_S) == {}


def test_most_frequently_named_model_comes_first():
    contracts = [
        Contract("t", (), models=("b",)),
        Contract("u", (), models=("a", "b")),
    ]
    assert list_needed_models(contracts) == ["b", "a"]
