import pytest

from tamarackrill.decisions import answers
from tamarackrill.decisions.answers import AnswerCache, Identity

ONE = Identity("cegin", "key quote-1")


def run_request(state, identity, size_bytes=0, is_complete=True, expires_s=60.0):
    answers.start(state, identity, "f")
    return answers.finish(state, identity, size_bytes, is_complete, expires_s)


def test_resend_joins_the_run_and_then_gets_the_cached_response():
    state = AnswerCache()
    assert answers.look_up(state, ONE, "f") == "new"
    answers.start(state, ONE, "f")
    assert answers.look_up(state, ONE, "f") == "join"
    assert answers.finish(state, ONE, 10, True, 60.0) == []
    assert answers.look_up(state, ONE, "f") == "join"
    assert answers.expire(state, 59.0) == []
    assert answers.expire(state, 60.0) == [ONE]
    assert answers.look_up(state, ONE, "f") == "new"
    assert not state.size_bytes


def test_key_reused_for_a_different_request_is_a_mismatch():
    # A caller reuses a key by mistake. Without the check it would get the response to
    # its other request and take it for the response to this one.
    state = AnswerCache()
    answers.start(state, ONE, "f")
    assert answers.look_up(state, ONE, "g") == "mismatch"
    assert answers.look_up(state, ONE._replace(team="kranj"), "g") == "new"


def test_truncated_response_is_never_cached():
    # The endpoint failed during the response. If the truncated response were cached, a
    # resend would take it for the complete one.
    state = AnswerCache()
    assert run_request(state, ONE, 10, is_complete=False) == [ONE]
    assert answers.look_up(state, ONE, "f") == "new"


def test_long_responses_of_one_team_do_not_evict_another_teams():
    state = AnswerCache()
    run_request(state, ONE)
    size_bytes = answers.CACHE_MAX_BYTES // 4
    large = [Identity("kranj", f"key {number}") for number in range(6)]
    dropped = [gone for name in large for gone in run_request(state, name, size_bytes)]
    assert dropped == large[: len(dropped)] and len(dropped) == 3
    assert answers.look_up(state, ONE, "f") == "join"


@pytest.mark.parametrize(
    ("request_", "identity"),
    [
        (("t", "k", "c", 1), Identity("t", "key k")),
        (("t", "", "c", 1), Identity("t", "chat 1 c")),
        (("t", "", "c", None), None),
        (("t", "", "", 1), None),
    ],
)
def test_identity_is_stable_across_resends(request_, identity):
    assert answers.identify(*request_) == identity
