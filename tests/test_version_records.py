"""Versions that endpoints had since the store's record of them."""

import pytest

from tamarackrill.decisions.version_records import choose_history_start


@pytest.mark.parametrize("kept", [0, 1, 5, 20, 700, 3000, 100_000])
def test_history_is_searched_as_far_back_as_the_store_tells_it(kept):
    # Guards against many calls, and against stopping at a small part of the history.
    recorded, revision, calls = 1000, 6000, 0
    lost, told, start = recorded, None, recorded
    while start is not None:
        calls += 1
        if revision - start <= kept:
            told = start
        else:
            lost = start
        start = choose_history_start(lost, told, revision)
    assert calls <= 9
    found = 0 if told is None else revision - told
    assert found >= min(kept, revision - recorded) * 0.8 - 1
