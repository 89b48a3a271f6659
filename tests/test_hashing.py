from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from tamarackrill.decisions import hashing

NAMES = [f"engine-{index}" for index in range(20)]
KEYS = [f"chat-{index}" for index in range(4000)]


def _place(members):
    return {key: hashing.rendezvous_order(key, members, 1)[0] for key in KEYS}


def test_hash_is_the_same_in_every_release():
    # Routers of two releases run side by side while VMs are replaced.  If the hash
    # differed, each chat would alternate between two engines and lose its cache.
    assert hashing.hash_name("chat-1") == 0xA5E2AB8FEB90075B
    assert hashing.rank("chat-1", NAMES)[:3] == ["engine-1", "engine-10", "engine-18"]


def test_only_the_keys_of_a_lost_member_move_and_they_return():
    # An engine flaps.  If chats of other engines moved too, their callers would wait
    # for whole prefixes to be computed again although their own engine never failed.
    before = _place(NAMES)
    without = _place([name for name in NAMES if name != "engine-7"])
    moved = {key for key in KEYS if before[key] != without[key]}
    assert moved == {key for key in KEYS if before[key] == "engine-7"}
    assert _place(NAMES[::-1]) == before


def test_keys_are_spread_evenly():
    counts = Counter(_place(NAMES).values())
    expected = len(KEYS) / len(NAMES)
    assert all(abs(count - expected) < 5 * expected**0.5 for count in counts.values())


@given(st.text(), st.sets(st.text(), min_size=1, max_size=12), st.integers(0, 14))
def test_order_is_a_prefix_of_the_whole_ranking(key, members, count):
    whole = hashing.rank(key, sorted(members))
    assert sorted(whole) == sorted(members)
    assert hashing.rendezvous_order(key, list(members), count) == whole[:count]
