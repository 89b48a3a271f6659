"""Tests of how much is buffered for clients that read slowly."""

from tamarackrill.decisions.capacity import buffers


def test_threshold_falls_for_the_team_that_holds_most():
    # Guards against one team that takes the memory that others need, and against a
    # response that is stopped though its client keeps up.
    held = buffers.ClientBuffers(800)
    held.response_max_bytes = 40
    held.add("large", 60)
    assert held.find_limit("large", 30, True) == "team"
    assert held.find_limit("small", 30, True) is None
    assert held.find_limit("small", 40, True) == "response"
    assert held.find_limit("large", 0, True) is None
    held.add("small", 45)
    assert held.find_limit("small", 30, True) == "total"
    assert held.find_limit("small", 0, True) is None
    assert held.must_cut_body("none", buffers.KERNEL_BYTES + 1)


def test_a_body_is_held_up_to_all_bounds_only():
    # Guards against a body of any length that is read into memory that is not there.
    held = buffers.ClientBuffers(800_000_000)
    assert held.find_limit("team", held.response_max_bytes - 1, False) is None
    assert held.find_limit("team", held.response_max_bytes, False) == "response"
    held.add("team", 50_000_000)
    assert held.find_limit("team", buffers.KERNEL_BYTES + 1, False) == "team"
    assert held.find_limit("team", buffers.KERNEL_BYTES, False) is None
    held.add("team", 50_000_000)
    assert held.find_limit("team", buffers.KERNEL_BYTES + 1, False) == "total"


def test_a_team_that_holds_little_goes_on_beyond_the_total():
    # Guards against clients that keep up and are stopped because each of many stopped
    # responses of another team has read one piece too many.
    held = buffers.ClientBuffers(800)
    held.add("large", 120)
    assert held.find_limit("small", 1, True) is None
    assert held.find_limit("large", 1, True) == "total"
    held.add("small", 13)
    assert held.find_limit("small", 1, True) == "total"
    held.add("large", 30)
    assert held.find_limit("other", 1, True) == "total"


def test_shortage_is_reported_once_until_it_has_ended():
    # Guards against a log line for each of ten thousand stopped responses.
    held = buffers.ClientBuffers(800)
    held.add("large", 60)
    usage = held.note_limit("team")
    assert usage == buffers.BufferUsage(60, 100, "large", 60, 1)
    assert held.note_limit("total") is None
    held.add("large", -40)
    held.add("large", 40)
    assert held.note_limit("response") is None
    assert held.note_limit("team") is not None


def test_only_a_break_right_after_a_long_pause_is_due_to_the_client():
    # Guards against crashes that go unnoticed because a client was once slow, or reads
    # steadily with many short pauses.
    pauses = buffers.ReadPauses()
    assert not pauses.explain_abort(0.0)
    for begin_s in range(10):
        pauses.begin(begin_s)
        assert not pauses.explain_abort(begin_s + 0.1)
        pauses.end(begin_s + 0.1)
    assert not pauses.explain_abort(9.2)
    pauses.begin(10.0)
    assert pauses.explain_abort(13.0)
    pauses.end(13.0)
    assert pauses.explain_abort(13.01)
    pauses.begin(13.02)
    pauses.end(13.03)
    assert pauses.explain_abort(13.04)
    assert not pauses.explain_abort(18.0)
