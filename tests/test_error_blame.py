"""Blame of endpoints for undeclared errors."""

from tamarackrill.decisions.error_blame import MEMORY_S, ErrorBlame


def observe_all(blame, *errors):
    return [blame.observe(place, name, now_s) for place, name, now_s in errors]


def test_endpoint_is_blamed_for_errors_that_only_it_raises():
    # Guards against an endpoint whose answers raise each time and that goes on getting
    # requests.
    errors = (("p", "e1", 0.0), ("q", "e2", 0.5), ("p", "e1", 1.0))
    assert observe_all(ErrorBlame(), *errors) == [False, False, True]


def test_endpoint_is_not_blamed_for_errors_that_others_raise_too():
    # Guards against a pool that is ejected for a fault of the router.
    errors = (("p", "e1", 0.0), ("p", "e2", 0.5), ("p", "e1", 1.0), ("p", "e2", 1.5))
    assert not any(observe_all(ErrorBlame(), *errors))


def test_errors_are_forgotten():
    # Guards against an endpoint that is never blamed as another one once raised.
    later_s = MEMORY_S + 1.0
    errors = (("p", "e1", 0.0), ("p", "e2", later_s), ("p", "e2", later_s))
    assert observe_all(ErrorBlame(), *errors) == [False, False, True]
