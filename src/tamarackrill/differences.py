"""Compare two versions of a contract."""

from typing import Any, NamedTuple

from tamarackrill.contracts import Contract

_DEFAULTS = Contract._field_defaults


class Change(NamedTuple):
    """One changed field; a value of None means that the field is absent."""

    field: str
    before: Any
    after: Any

    def show(self) -> str:
        """Return the change as one line."""
        if isinstance(self.before, list) and isinstance(self.after, list):
            return f"{self.field}: {_format_list_changes(self.before, self.after)}"
        return (
            f"{self.field}: {_format_value(self.before)} -> {_format_value(self.after)}"
        )


def find_changes(before: dict[str, Any] | None, after: dict[str, Any]) -> list[Change]:
    """Return the fields that differ between two versions.

    Parameters
    ----------
    before : dict or None
        Current value, or None if there is no contract yet.
    after : dict
        New value.

    Returns
    -------
    list of Change
        In the order of the fields in `after`, then those only in `before`.  An absent
        field is compared by its default, which is the value that applies.
    """
    if before is None:
        return [Change(name, None, value) for name, value in after.items()]
    names = [*after, *(name for name in before if name not in after)]
    changes = [
        Change(name, _get_value(before, name), _get_value(after, name))
        for name in names
    ]
    return [change for change in changes if change.before != change.after]


def _get_value(value: dict[str, Any], name: str) -> Any:
    default = _DEFAULTS.get(name)
    return value.get(name, list(default) if isinstance(default, tuple) else default)


def _format_value(value: Any) -> str:
    return "none" if value is None else str(value)


def _format_list_changes(before: list[Any], after: list[Any]) -> str:
    added = [f"+{item}" for item in after if item not in before]
    removed = [f"-{item}" for item in before if item not in after]
    return " ".join([*added, *removed]) or "order changed"
