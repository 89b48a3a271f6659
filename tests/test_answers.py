import pytest

from tamarackrill.decisions import answers
from tamarackrill.decisions.answers import AnswerCache, Identity

ONE = Identity("cegin", "key quote-1")


def finish(state, identity, size_bytes=0, is_whole=True, expires_s=60.0):
    answers.start(state, identity, "f")
    return answers.finish(state, identity, size_bytes, is_whole, expires_s)


def test_resend_joins_the_run_and_then_gets_the_kept_answer():
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


def test_key_used_for_another_request_is_told_apart():
    # A caller uses a key twice by mistake.  It would get the answer to its other
    # question and take it for this one.
    state = AnswerCache()
    answers.start(state, ONE, "f")
    assert answers.look_up(state, ONE, "g") == "mismatch"
    assert answers.look_up(state, ONE._replace(team="kranj"), "g") == "new"


def test_cut_answer_is_never_kept():
    # The endpoint was lost half way.  A resend would take the half for the whole.
    state = AnswerCache()
    assert finish(state, ONE, 10, is_whole=False) == [ONE]
    assert answers.look_up(state, ONE, "f") == "new"


def test_long_answers_of_one_team_do_not_push_out_another_teams():
    state = AnswerCache()
    finish(state, ONE)
    size_bytes = answers.KEPT_MAX_BYTES // 4
    large = [Identity("kranj", f"key {number}") for number in range(6)]
    dropped = [gone for name in large for gone in finish(state, name, size_bytes)]
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
def test_identity_is_what_a_resend_repeats(request_, identity):
    assert answers.identify(*request_) == identity
