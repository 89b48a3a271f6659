import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackrill.decisions.event_stream import (
    EVENT_MAX_BYTES,
    EventStream,
    EventStreamError,
)
from tamarackrill.testing.worker import make_event


def test_half_an_event_does_not_leave():
    stream = EventStream()
    assert stream.take(make_event(1) + make_event(2)[:5]) == make_event(1)
    assert stream.take(make_event(2)[5:]) == make_event(2)
    assert stream.last_id == 2


def test_stream_goes_on_after_the_last_whole_event():
    # An endpoint crashes in the middle of its third event, and another one goes on.
    # Were the half event passed on, the client would read a piece that nobody made.
    stream = EventStream()
    stream.take(make_event(1) + make_event(2) + make_event(3)[:7])
    stream.resume()
    assert stream.last_id == 2
    assert stream.take(make_event(3)) == make_event(3)


def test_events_that_the_client_has_are_dropped_after_a_resume():
    # The second endpoint begins one event too early.  The client would read a piece of
    # its answer twice.
    stream = EventStream()
    stream.take(make_event(1) + make_event(2))
    stream.resume()
    assert stream.take(make_event(2) + make_event(3)) == make_event(3)


def test_rest_of_a_stream_that_ended_in_order_leaves():
    stream = EventStream()
    stream.take(make_event(1) + b": the end")
    assert stream.finish() == b": the end"
    assert stream.finish() == b""


def test_version_line_stays_with_its_event():
    event = b"x-weight-versions: 3\nid: 4\ndata: w\n\n"
    stream = EventStream()
    assert stream.take(event) == event
    assert stream.last_id == 4


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n"])
def test_both_line_ends_are_known(end):
    stream = EventStream()
    event = b"id: 7" + end
    assert stream.take(event) == event
    assert stream.last_id == 7


def test_event_without_end_is_a_fault():
    # A faulty endpoint sends bytes without an end.  Without a bound the router would
    # hold them all until it is killed, and all its clients lose their answers.
    stream = EventStream()
    with pytest.raises(EventStreamError):
        stream.take(b"x" * (EVENT_MAX_BYTES + 1))


@given(st.lists(st.integers(1, 40), max_size=20))
def test_pieces_of_any_size_give_the_same_bytes(sizes):
    whole = b"".join(make_event(number) for number in range(1, 9))
    stream = EventStream()
    out, start = b"", 0
    for size in sizes:
        out += stream.take(whole[start : start + size])
        start += size
    out += stream.take(whole[start:])
    assert out + stream.finish() == whole
    assert stream.events == 8


@given(st.integers(0, 300), st.integers(0, 3))
def test_cut_anywhere_and_resumed_gives_each_event_once(cut, overlap):
    events = [make_event(number) for number in range(1, 9)]
    stream = EventStream()
    out = stream.take(b"".join(events)[:cut])
    stream.resume()
    first = max(0, (stream.last_id or 0) - overlap)
    if stream.last_id is None:
        first = 0
    out += stream.take(b"".join(events[first:]))
    assert out == b"".join(events)
