"""What differs between two versions of a contract."""

from typing import Any, NamedTuple

from tamarackrill.contracts import Contract

_DEFAULTS = Contract._field_defaults


class Change(NamedTuple):
    """One field that differs; a value of None means absent."""

    field: str
    before: Any
    after: Any

    def show(self) -> str:
        """Return the change as one line."""
        if isinstance(self.before, list) and isinstance(self.after, list):
            return f"{self.field}: {_show_lists(self.before, self.after)}"
        return f"{self.field}: {_show(self.before)} -> {_show(self.after)}"


def find_changes(before: dict[str, Any] | None, after: dict[str, Any]) -> list[Change]:
    """Return the fields whose values differ.

    Parameters
    ----------
    before : dict or None
        Value that stands, or None if there is no contract yet.
    after : dict
        Value to be written.

    Returns
    -------
    list of Change
        In the order of the fields in `after`, then those that only `before` has.  A
        field that is absent counts with its default, since that is what is applied.
    """
    if before is None:
        return [Change(name, None, value) for name, value in after.items()]
    names = [*after, *(name for name in before if name not in after)]
    changes = [Change(name, _read(before, name), _read(after, name)) for name in names]
    return [change for change in changes if change.before != change.after]


def _read(value: dict[str, Any], name: str) -> Any:
    default = _DEFAULTS.get(name)
    return value.get(name, list(default) if isinstance(default, tuple) else default)


def _show(value: Any) -> str:
    return "none" if value is None else str(value)


def _show_lists(before: list[Any], after: list[Any]) -> str:
    added = [f"+{item}" for item in after if item not in before]
    removed = [f"-{item}" for item in before if item not in after]
    return " ".join([*added, *removed]) or "order changed"
