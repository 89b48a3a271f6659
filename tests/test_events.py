from pathlib import Path

import pytest

from tamarackrill import event_log, events
from tamarackrill.event_catalogue import format_catalogue


def test_numbers_and_names_are_unique():
    listed = events.list_events()
    assert len({event.number for event in listed}) == len(listed)
    assert len({event.name for event in listed}) == len(listed)


def test_no_field_hides_what_says_which_event_a_line_is():
    # A line of JSON holds the fields beside its own time, number and name.  A field of
    # one of these names takes its place: whoever searches the log for an event by its
    # name finds none, as if it had not come about.
    own = {"time_s", "event", "name"}
    hidden = [e.name for e in events.list_events() if own & set(e.fields)]
    assert not hidden


def test_value_cannot_start_a_line_of_its_own():
    # A caller chooses the chat's name.  Were a line break written as it is, the
    # caller could write log lines that look like the router's.
    event = events.REQUEST_FORWARDED
    line = event_log.format_key_value(event, {"chat": "a\nE1001 router_started"})
    assert "\n" not in line


def test_undeclared_field_is_an_error():
    with pytest.raises(ValueError, match="takes"):
        events.log_event(events.PLATFORM_BACK, key="secret")


def test_catalogue_is_the_one_in_the_docs():
    # Regenerate it: .venv/bin/python -m tamarackrill.event_catalogue > docs/EVENTS.md
    path = Path(__file__).parent.parent / "docs" / "EVENTS.md"
    assert path.read_text(encoding="utf-8") == format_catalogue()
