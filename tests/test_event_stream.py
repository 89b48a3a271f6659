import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackrill.decisions import event_stream
from tamarackrill.decisions.event_stream import (
    EVENT_MAX_BYTES,
    EventStream,
    EventStreamError,
)
from tamarackrill.testing.worker import make_event


def test_partial_event_is_not_forwarded():
    stream = EventStream()
    assert stream.take(make_event(1) + make_event(2)[:5]) == make_event(1)
    assert stream.take(make_event(2)[5:]) == make_event(2)
    assert stream.last_id == 2


def test_stream_resumes_after_the_last_complete_event():
    # An endpoint crashes in the middle of its third event, and another one continues.
    # If the partial event were forwarded, the client would read a corrupt event.
    stream = EventStream()
    stream.take(make_event(1) + make_event(2) + make_event(3)[:7])
    stream.resume()
    assert stream.last_id == 2
    assert stream.take(make_event(3)) == make_event(3)


def test_events_that_the_client_has_are_dropped_after_a_resume():
    # The second endpoint starts one event too early. Without the check the client would
    # read part of its response twice.
    stream = EventStream()
    stream.take(make_event(1) + make_event(2))
    stream.resume()
    assert stream.take(make_event(2) + make_event(3)) == make_event(3)


def test_bytes_after_the_last_event_are_forwarded_at_the_end():
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
def test_both_line_endings_are_accepted(end):
    stream = EventStream()
    event = b"id: 7" + end
    assert stream.take(event) == event
    assert stream.last_id == 7


def test_unterminated_event_is_an_error():
    # A faulty endpoint sends an unterminated event. Without a limit the router would
    # buffer it until it is killed, and all its clients would lose their responses.
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


def test_work_is_linear_in_the_bytes_of_an_event_without_end(monkeypatch):
    # Guards against one endpoint whose event never ends, and that takes so much of the
    # router's time that the requests to all others fail.
    searched = []

    class Searching:
        def finditer(self, data, start=0):
            searched.append(len(data) - start)
            return event_end.finditer(data, start)

    event_end = event_stream._EVENT_END
    monkeypatch.setattr(event_stream, "_EVENT_END", Searching())
    splitter = event_stream.EventSplitter()
    for _ in range(256):
        assert splitter.take(b"x" * 4096) == []
    assert splitter.partial_bytes == 256 * 4096
    assert sum(searched) <= 2 * splitter.partial_bytes
    assert splitter.take(b"\n\n")[0].endswith(b"x\n\n")


@pytest.mark.parametrize("digits", [19, 5000])
def test_number_of_too_many_digits_is_no_id(digits):
    # Guards against a request that ends without a response, because an endpoint sends
    # an id that can't be converted.
    stream = EventStream(last_id=4)
    event = b"id: " + b"7" * digits + b"\ndata: x\n\n"
    assert stream.take(event) == event
    assert stream.last_id == 4
