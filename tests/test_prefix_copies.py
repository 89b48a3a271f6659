import pytest

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.cache_index import HOLDERS_MAX, CacheIndex
from tamarackrill.decisions.hashing import rank
from tamarackrill.decisions.pools import EndpointPool
from tamarackrill.decisions.prefix_copies import (
    NEW_ENDPOINT_S,
    STARTUP_WINDOW_S,
    PrefixCopies,
)
from tamarackrill.decisions.prompts import PromptPart, list_prefixes

NAMES = [f"engine-{number}" for number in range(5)]


def make_prompt(kind="kind", session="session"):
    return list_prefixes([PromptPart(kind, 1000), PromptPart(session, 3000)])


PROMPT = make_prompt()
JOINED_S = 60.0


def make_engine(name, state="live"):
    return Endpoint(name, "engine", ("writer",), f"{name}:1", "z", state)


def make_copies(names=NAMES, started_s=0.0):
    copies = PrefixCopies(CacheIndex())
    copies.observe_endpoints(names, started_s)
    return copies


def find(copies, chosen, names=NAMES, avoid=(), now_s=JOINED_S + 1, prompt=PROMPT):
    engines = EndpointPool(make_engine(name) for name in names)
    source = copies.find_source(prompt, chosen, engines, avoid, now_s)
    return None if source is None else source.name


def rank_engines(prompt=PROMPT, names=NAMES):
    return rank(prompt[0].key, names)


def find_home(prompt=PROMPT, names=NAMES):
    return rank_engines(prompt, names)[0]


def find_moved(names):
    prompts = (make_prompt(session=str(number)) for number in range(99))
    return next(p for p in prompts if find_home(p, names) == names[-1])


def test_overflowing_session_is_copied_from_its_full_engine():
    # A burst of one session fills its engine, and the next prompts go to another one.
    # Without a copy it would read thousands of tokens again and delay its other
    # requests.
    home, second, *_ = rank_engines()
    assert find(make_copies(), second) == home


def test_new_engine_copies_from_the_previous_engine_of_a_session():
    # An engine is added, and rendezvous hashing assigns it a share of the sessions.
    # Only other routers have sent requests of these sessions so far.
    copies = make_copies()
    grown = [*NAMES, "engine-new"]
    copies.observe_endpoints(grown, JOINED_S)
    moved = find_moved(grown)
    assert find(copies, "engine-new", grown, prompt=moved) == find_home(moved)


def test_leaving_engine_is_a_copy_source():
    # Engines are replaced one after the other.  A leaving engine takes no new requests,
    # but caches the parts of all its sessions until it stops.
    home, second, *_ = rank_engines()
    states = {home: "leaving"}
    engines = EndpointPool(make_engine(n, states.get(n, "live")) for n in NAMES)
    copies = make_copies()
    source = copies.find_source(PROMPT, second, engines, (), JOINED_S)
    assert source.name == home


def test_known_holder_takes_precedence_over_a_guess():
    copies = make_copies()
    home, second, third, *_ = rank_engines()
    copies.record_send(PROMPT, third, JOINED_S)
    assert find(copies, second) == third


def test_engine_that_caches_the_session_copies_nothing():
    copies = make_copies()
    home = find_home()
    copies.record_send(PROMPT, home, JOINED_S)
    assert find(copies, home) is None


def test_first_session_of_a_kind_copies_the_shared_prefix():
    # All prompts of a kind begin alike, and a new session goes to an engine that has
    # not read this beginning yet.
    copies = make_copies()
    home, other, *_ = rank_engines()
    copies.record_send(make_prompt(session="another"), other, JOINED_S)
    assert find(copies, home) == other


@pytest.mark.parametrize("known", [True, False])
def test_failed_or_unreachable_engine_is_no_copy_source(known):
    # Copying from an engine in a zone that is cut off would delay the request for
    # longer than reading its prompt takes.
    copies = make_copies()
    home, second, *_ = rank_engines()
    if known:
        copies.record_send(PROMPT, home, JOINED_S)
    assert find(copies, second, avoid={home}) != home


def test_endpoints_observed_during_startup_are_not_new():
    # When a deployment starts, its endpoints appear one after the other.  If all but
    # the first counted as new, every guess would name that one engine.
    copies = make_copies(NAMES[:1])
    copies.observe_endpoints(NAMES, STARTUP_WINDOW_S)
    home, second, *_ = rank_engines()
    assert find(copies, second, now_s=STARTUP_WINDOW_S) == home


def test_new_engine_is_a_copy_source_after_a_while():
    copies = make_copies()
    grown = [*NAMES, "engine-new"]
    copies.observe_endpoints(grown, JOINED_S)
    now_s = JOINED_S + NEW_ENDPOINT_S
    moved = find_moved(grown)
    assert find(copies, NAMES[0], grown, (), now_s, moved) == "engine-new"


def test_new_holder_is_reported_once():
    copies = make_copies()
    found = copies.record_send(PROMPT, NAMES[0], JOINED_S)
    assert [(held.engine, held.tokens) for held in found] == [
        (NAMES[0], 4000),
        (NAMES[0], 1000),
    ]
    assert copies.record_send(PROMPT, NAMES[0], JOINED_S) == []
    other = make_prompt(session="another")
    assert copies.record_send(other, NAMES[0], JOINED_S) == [
        (NAMES[0], other[0].key, 4000)
    ]


def test_prefix_cached_by_all_engines_is_not_reported():
    # All prompts of a kind begin alike, and each engine soon caches this beginning.
    # Only a few holders are indexed, so without a limit each send would be gossiped.
    copies = make_copies()
    for name in NAMES[:HOLDERS_MAX]:
        copies.record_send(PROMPT, name, JOINED_S)
    other = make_prompt(session="another")
    found = copies.record_send(other, NAMES[HOLDERS_MAX], JOINED_S)
    assert [held.key for held in found] == [other[0].key]
