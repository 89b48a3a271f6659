import json
import os
from contextlib import contextmanager

from absl import logging

from tamarackrill import events
from tamarackrill.events import CALL_LEFT, CALL_REFUSED, log_event
from tamarackrill.logs import BoundedHandler, LineBuffer


@contextmanager
def logging_to(fd):
    handler = BoundedHandler(fd)
    logger = logging.get_absl_logger()
    before = logging.get_verbosity()
    level = logger.level
    logging.set_verbosity(logging.INFO)
    logger.addHandler(handler)
    try:
        yield handler
    finally:
        logger.removeHandler(handler)
        logging.set_verbosity(before)
        # Setting the verbosity back sets a level that the logger didn't have.  Lines of
        # information would be lost to later tests of this process, and one that looks
        # for a key in the log would find none whatever the log held.
        logger.setLevel(level)


def refuse(number):
    log_event(
        CALL_REFUSED,
        request=f"id-{number}",
        route="r",
        status=503,
        reason="full",
        version=1,
        sent=0,
        retry_after_s=0.5,
    )


def test_flood_of_one_event_is_bounded_and_counted():
    buffer = LineBuffer(event_lines_per_s=10)
    for _ in range(100):
        buffer.offer("a", b"line\n", False, 5.2)
    assert buffer.size_bytes == 50
    assert buffer.take_drop_counts() == {"a": 90}
    buffer.offer("a", b"line\n", False, 6.0)
    assert buffer.take_drop_counts() == {}


def test_lines_of_served_requests_are_left_out_before_those_of_refused_ones():
    # A router refuses some requests in a flood that it mostly serves.  A client that
    # complains was refused; its line must be the one that is still there.
    buffer = LineBuffer(max_bytes=100, event_lines_per_s=1000)
    buffer.offer("refused", b"refused..\n", True, 0.0)
    for _ in range(50):
        buffer.offer("served", b"served...\n", False, 0.0)
    assert b"refused" in buffer.take(1000)
    assert buffer.take_drop_counts() == {"served": 41}


def test_whole_lines_are_taken():
    buffer = LineBuffer()
    for number in range(10):
        buffer.offer("a", b"%d.......\n" % number, False, 0.0)
    assert buffer.take(25) == b"0.......\n1.......\n"
    assert buffer.take(3) == b"2.......\n"


def test_stuck_reader_of_the_log_costs_lines_and_never_the_router():
    # Whoever reads the log has stopped.  Were the router to wait for room in the pipe,
    # all its clients would wait as well.
    reading, writing = os.pipe()
    with logging_to(writing) as handler:
        for number in range(2000):
            refuse(number)
            handler.flush()
    assert handler.buffer.dropped["call_refused"] > 0
    os.close(reading)
    os.close(writing)


def test_lines_are_json_with_all_fields():
    reading, writing = os.pipe()
    with logging_to(writing) as handler:
        refuse(1)
        log_event(CALL_LEFT, request="id-2", route="r", after_s=1.5)
        handler.flush()
    os.close(writing)
    with os.fdopen(reading) as pipe:
        lines = [json.loads(line) for line in pipe]
    assert [line["name"] for line in lines] == ["call_refused", "call_left"]
    assert lines[0]["request"] == "id-1"
    assert set(lines[1]) == {"time_s", "event", "name", *events.CALL_LEFT.fields}
