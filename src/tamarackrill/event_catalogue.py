"""The catalogue of log events: ``python -m tamarackrill.event_catalogue``."""

from absl import logging

from tamarackrill.events import list_events

_LEVEL_NAMES = {
    logging.INFO: "info",
    logging.WARNING: "warning",
    logging.ERROR: "error",
}


def format_catalogue() -> str:
    """Return docs/EVENTS.md."""
    lines = [
        "# Log events",
        "",
        "Made by `python -m tamarackrill.event_catalogue`; a test compares it with the "
        "code.",
        "",
        "| number | name | level | fields | meaning | what to do |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for event in list_events():
        fields = ", ".join(f"`{name}`" for name in event.fields) or "none"
        level = _LEVEL_NAMES[event.level]
        lines.append(
            f"| {event.number} | {event.name} | {level} | {fields} "
            f"| {event.meaning} | {event.action} |"
        )
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(format_catalogue(), end="")
