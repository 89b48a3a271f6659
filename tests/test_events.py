from pathlib import Path

import pytest

from tamarackrill import event_log, events
from tamarackrill.event_catalogue import format_catalogue


def test_numbers_and_names_are_unique():
    listed = events.list_events()
    assert len({event.number for event in listed}) == len(listed)
    assert len({event.name for event in listed}) == len(listed)


def test_no_field_overwrites_the_reserved_json_keys():
    # A JSON line holds the event's fields next to its time, number and name.  A field
    # with one of these names would overwrite it, and a search of the log for the
    # event's name would miss the line.
    reserved = {"time_s", "event", "name"}
    clashing = [e.name for e in events.list_events() if reserved & set(e.fields)]
    assert not clashing


def test_line_break_in_a_value_is_escaped():
    # Clients choose the chat ID.  If line breaks in it were not escaped, a client could
    # forge log lines.
    event = events.REQUEST_FORWARDED
    line = event_log.format_key_value(event, {"chat": "a\nE1001 router_started"})
    assert "\n" not in line


def test_undeclared_field_is_an_error():
    with pytest.raises(ValueError, match="takes"):
        events.log_event(events.PLATFORM_BACK, key="secret")


def test_catalogue_in_the_docs_is_up_to_date():
    # To regenerate: .venv/bin/python -m tamarackrill.event_catalogue > docs/EVENTS.md
    path = Path(__file__).parent.parent / "docs" / "EVENTS.md"
    assert path.read_text(encoding="utf-8") == format_catalogue()
